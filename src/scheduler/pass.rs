//! One pass of the scheduler over the waiting jobs.

use std::rc::Rc;

use crate::autoscaler::Autoscaler;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::jobs::job_table::JobTable;
use crate::jobs::team_usage::TeamUsage;
use crate::jobs::{JobIndex, MachineIndex, task_resources};
use crate::protocol::users::{Priority, Submission};
use crate::resources::Resources;
use crate::runtime::Time;
use crate::scheduler::Scheduler;
use crate::scheduler::candidates::CandidateMachine;

/// What the scheduler reads of the leader's state.
#[derive(Clone, Copy)]
pub(crate) struct SchedulingView<'a> {
    pub(crate) config: &'a Config,
    pub(crate) catalog: &'a MachineCatalog,
    pub(crate) fleet: &'a Fleet,
    pub(crate) jobs: &'a JobTable,
    pub(crate) team_usage: &'a TeamUsage,
    /// Estimates the run times of jobs.
    pub(crate) autoscaler: &'a Autoscaler,
    pub(crate) scheduler: &'a Scheduler,
    pub(crate) now: Time,
}

impl SchedulingView<'_> {
    /// Whether a team stays within its quota if it uses so much more than `usage` says.
    pub(super) fn is_within_quota(&self, usage: &TeamUsage, team: usize, more: Resources) -> bool {
        usage.is_within(team, more, &self.config.deployment.teams[team])
    }
}

/// A machine chosen for the next pending task of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    pub(crate) machine: MachineIndex,
    /// The machine's price by the pricing rule, once it has the task.
    pub(crate) price_after: f64,
}

/// Why tasks of a job that may run now were not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortfall {
    /// No machine had room for more.
    NoRoom,
    /// Machines had room, but the image would come too late there.
    ImageTooFar,
}

/// What the scheduler decided on one job.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// One for each task placed, in the order in which they were chosen.
    pub(super) assignments: Vec<Assignment>,
    /// Why there are no more. None if all are placed, or if the others may not run yet, as by the team's quota.
    pub(super) shortfall: Option<Shortfall>,
}

/// A job that found no room in this pass: others that need at least as much are not tried.
struct FailedPlacement {
    spec: Rc<Submission>,
    tasks_at_once: u32,
    shortfall: Shortfall,
}

impl FailedPlacement {
    /// Whether it follows that so many tasks at once of another job find no room either.
    fn implies_failure(&self, spec: &Submission, tasks_at_once: u32) -> bool {
        let failed = &self.spec;
        let same_image_matters = self.shortfall == Shortfall::ImageTooFar;
        tasks_at_once >= self.tasks_at_once
            && (!same_image_matters || failed.image == spec.image)
            && task_resources(failed).fits(task_resources(spec))
            && failed.priority == spec.priority
            && failed.spot == spec.spot
            && failed.one_zone == spec.one_zone
            && failed.spread == spec.spread
            && failed.zone == spec.zone
            && failed.types == spec.types
    }
}

/// One pass over the waiting jobs. It keeps the candidate machines with the load that its own decisions give them.
pub(crate) struct SchedulingPass {
    candidates: Vec<CandidateMachine>,
    failed: Vec<FailedPlacement>,
    /// Machines are reserved for a gang: for one only in a pass.
    gang_has_reservation: bool,
}

impl SchedulingPass {
    /// A pass over the machines as they are now. `borrowing_priority_limit` says below which priority jobs may borrow
    /// machines of a type that are kept for large work, if any may.
    pub(crate) fn new(
        view: &SchedulingView<'_>,
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) -> Self {
        SchedulingPass {
            candidates: view.candidates(borrowing_priority_limit),
            failed: Vec::new(),
            gang_has_reservation: false,
        }
    }

    /// Whether no machine has room for any waiting task.
    pub(crate) fn has_no_candidates(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Decides on the tasks of a job. None if it wasn't tried, as a like job found no room before.
    ///
    /// The assignments are to be carried out before the next job is decided on.
    pub(crate) fn place(
        &mut self,
        view: &SchedulingView<'_>,
        index: JobIndex,
    ) -> Option<Vec<Assignment>> {
        let job = &view.jobs[&index];
        let tasks_at_once = if job.is_gang() { job.spec.tasks } else { 1 };
        let implies_failure =
            |failed: &FailedPlacement| failed.implies_failure(&job.spec, tasks_at_once);
        if self.failed.iter().any(implies_failure) {
            return None;
        }
        let placement = if job.is_gang() {
            view.place_gang(index, &mut self.candidates)
        } else {
            view.place_array(index, &mut self.candidates)
        };
        if let Some(shortfall) = placement.shortfall {
            if !job.is_gang() {
                let left = job.pending_tasks() - placement.assignments.len() as u32;
                view.reserve_gaps(job, left, &mut self.candidates);
            }
            if !self.gang_has_reservation && view.is_gathering_machines(job) {
                self.gang_has_reservation = view.reserve_for_gang(job, &mut self.candidates);
            }
            self.failed.push(FailedPlacement {
                spec: job.spec.clone(),
                tasks_at_once,
                shortfall,
            });
        }
        Some(placement.assignments)
    }
}
