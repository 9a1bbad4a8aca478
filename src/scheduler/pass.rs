//! One pass of the scheduler over the waiting jobs.

use std::rc::Rc;

use crate::autoscaler::Autoscaler;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::jobs::job_table::JobTable;
use crate::jobs::team_usage::TeamUsage;
use crate::jobs::{JobIndex, MachineIndex, task_resources};
use crate::protocol::users::{JobKind, Priority, Submission};
use crate::resources::Resources;
use crate::runtime::Time;
use crate::scheduler::Scheduler;
use crate::scheduler::attempt_limits::FreeAttempts;
use crate::scheduler::candidates::CandidateMachine;

/// The parts of the leader's state that the scheduler reads.
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
    /// Whether a team stays within the limit in its settings if it uses `more` on top of `usage`.
    pub(super) fn is_within_team_limit(
        &self,
        usage: &TeamUsage,
        team: usize,
        more: Resources,
    ) -> bool {
        usage.is_within(team, more, &self.config.deployment.teams[team])
    }
}

/// A machine chosen for the next pending task of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    pub(crate) machine: MachineIndex,
    /// The machine's price by the pricing rule, with the task on it.
    pub(crate) price_after: f64,
}

/// Why pending tasks of a job were not placed although the job may run more of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnplacedReason {
    /// No allowed machine had enough free capacity.
    NoCapacity,
    /// Machines had enough free capacity, but would take too long to fetch the image.
    ImageFetchTooSlow,
}

/// What the scheduler decided for one job.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// One for each task that is placed, in the order in which the machines were chosen.
    pub(super) assignments: Vec<Assignment>,
    /// Why pending tasks are left. None if all are placed, or if the job may not run more of them yet, for example
    /// because of its team's limit or of the limit on attempts.
    pub(super) unplaced_reason: Option<UnplacedReason>,
}

/// A job with tasks that could not be placed. Later jobs that need at least as much are not tried in the same pass.
struct FailedPlacement {
    spec: Rc<Submission>,
    /// The number of tasks that have to be placed together: all tasks of a gang, 1 for an array.
    tasks_at_once: u32,
    unplaced_reason: UnplacedReason,
}

impl FailedPlacement {
    /// Whether another job, of which `tasks_at_once` tasks have to be placed together, is assumed to fail as well.
    fn implies_failure(&self, spec: &Submission, tasks_at_once: u32) -> bool {
        let failed = &self.spec;
        let is_image_specific = self.unplaced_reason == UnplacedReason::ImageFetchTooSlow;
        tasks_at_once >= self.tasks_at_once
            && (!is_image_specific || failed.image == spec.image)
            && task_resources(failed).fits(task_resources(spec))
            && failed.priority == spec.priority
            && failed.spot == spec.spot
            && failed.one_zone == spec.one_zone
            && failed.spread == spec.spread
            && failed.zone == spec.zone
            && failed.types == spec.types
    }
}

/// The maximum number of candidate machines that one pass visits, summed over its jobs, and of tasks that it places. A
/// pass is one turn of the event loop, so its work must not grow with the number of waiting jobs.
const WORK_PER_PASS_MAX: usize = 1_000_000;

/// One pass over the waiting jobs. It tracks the load of the candidate machines, its own decisions included.
pub(crate) struct SchedulingPass {
    candidates: Vec<CandidateMachine>,
    failed: Vec<FailedPlacement>,
    free_attempts: FreeAttempts,
    /// Whether machines are already reserved for a gang. A pass reserves machines for at most one gang.
    has_gang_reservation: bool,
    /// What is left of [`WORK_PER_PASS_MAX`].
    work_left: usize,
}

impl SchedulingPass {
    /// Starts a pass with the current state of the machines.
    ///
    /// `borrowing_priority_limit` takes the index of a machine type. Jobs of a priority below the returned one may
    /// borrow the machines of this type that are kept for large tasks. None means that no job may.
    /// `unstored` is the number of task states that wait to be stored.
    pub(crate) fn new(
        view: &SchedulingView<'_>,
        unstored: usize,
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) -> Self {
        SchedulingPass {
            candidates: view.candidates(borrowing_priority_limit),
            failed: Vec::new(),
            free_attempts: FreeAttempts::new(view, unstored),
            has_gang_reservation: false,
            work_left: WORK_PER_PASS_MAX,
        }
    }

    /// Whether the pass has done as much as one turn of the event loop may take. The jobs after it are left to the next
    /// pass.
    pub(crate) fn is_work_used_up(&self) -> bool {
        self.work_left == 0
    }

    /// Whether the pass has no candidate machines. In this case, no schedulable machine has enough free capacity for
    /// any pending task.
    pub(crate) fn has_no_candidates(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Whether no more tasks are placed before some of the earlier decisions are stored.
    pub(crate) fn waits_for_writes(&self) -> bool {
        self.free_attempts.wait_for_writes()
    }

    fn use_work(&mut self, work: usize) {
        self.work_left = self.work_left.saturating_sub(work);
    }

    /// Chooses machines for the pending tasks of a job. Returns None if the job is not tried because a similar one
    /// failed earlier in this pass.
    ///
    /// The caller must carry out the assignments before the next call, so that the `view` of that call includes them.
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
        let gang_tasks = if job.is_gang() { job.spec.tasks } else { 0 };
        self.use_work(self.candidates.len() + gang_tasks as usize);
        let placement = if !job.is_gang() {
            let tasks_max = if job.spec.kind == JobKind::Service {
                self.free_attempts.for_service(index, job.live_attempts)
            } else {
                self.free_attempts.for_array(index, job.live_attempts)
            };
            view.place_array(index, tasks_max, &mut self.candidates)
        } else if self.free_attempts.suffice_for_gang(job.spec.tasks) {
            view.place_gang(index, &mut self.candidates)
        } else {
            if view.is_in_reservation_window(job) {
                self.free_attempts.reserve_for_gang();
            }
            Placement::default()
        };
        self.free_attempts.take(placement.assignments.len());
        if !job.is_gang() {
            self.use_work(placement.assignments.len());
        }
        if let Some(unplaced_reason) = placement.unplaced_reason {
            if !job.is_gang() {
                let unplaced_tasks = job.pending_tasks() - placement.assignments.len() as u32;
                view.reserve_gaps(job, unplaced_tasks, &mut self.candidates);
            }
            if !self.has_gang_reservation && view.is_in_reservation_window(job) {
                self.has_gang_reservation = view.reserve_for_gang(job, &mut self.candidates);
            }
            self.failed.push(FailedPlacement {
                spec: job.spec.clone(),
                tasks_at_once,
                unplaced_reason,
            });
        }
        Some(placement.assignments)
    }
}
