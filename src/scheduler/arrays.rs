//! Placement of job arrays: as many of the tasks as find room.

use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::is_type_allowed;
use crate::jobs::{Job, JobIndex};
use crate::scheduler::candidates::CandidateMachine;
use crate::scheduler::pass::{Assignment, Placement, SchedulingView, Shortfall};
use crate::scheduler::zone_constraint::ZoneConstraint;

/// Gaps are reserved for tasks that take at most this share of a machine: others would leave too much of it unused for
/// too long.
const GAP_TASK_SHARE_MAX: f64 = 0.125;

impl SchedulingView<'_> {
    /// Places what it can of an array's pending tasks.
    pub(super) fn place_array(
        &self,
        index: JobIndex,
        candidates: &mut [CandidateMachine],
    ) -> Placement {
        let job = &self.jobs[&index];
        let resources = job.task_resources();
        let mut usage = self.team_usage.clone();
        let mut zones = ZoneConstraint::new(&job.spec, self.tasks_by_zone(index));
        let mut queue = self.candidate_queue(job, candidates, |_| true);
        let mut placement = Placement::default();
        for _ in 0..job.pending_tasks() {
            if !self.is_within_quota(&usage, job.team, resources) {
                return placement;
            }
            let Some(selection) = queue.pop(|at| zones.allows(&candidates[at].zone)) else {
                placement.shortfall = Some(if queue.has_omissions() {
                    Shortfall::ImageTooFar
                } else {
                    Shortfall::NoRoom
                });
                return placement;
            };
            let candidate = &mut candidates[selection.candidate];
            candidate.load = selection.load_after;
            zones.add(&candidate.zone);
            usage.add(job.team, resources);
            placement.assignments.push(Assignment {
                machine: candidate.machine,
                price_after: candidate.load.price,
            });
        }
        placement
    }

    /// Reserves machines whose free resources are too little for a task that waits, against all that comes later in
    /// this pass: as many machines as there are such tasks. Small tasks once took each gap that came free on a full
    /// fleet, and urgent ones that take a little more waited for minutes.
    pub(super) fn reserve_gaps(
        &self,
        job: &Job,
        waiting_tasks: u32,
        candidates: &mut [CandidateMachine],
    ) {
        let spec = &job.spec;
        let resources = job.task_resources();
        let mut left = waiting_tasks;
        for candidate in candidates.iter_mut() {
            if left == 0 {
                return;
            }
            let share = resources.largest_share(candidate.load.capacity);
            if !candidate.reserved
                && share <= GAP_TASK_SHARE_MAX
                && is_type_allowed(spec, &self.catalog[candidate.type_index])
                && candidate.is_allowed_by(spec)
                && candidate.role == MachineRole::Shared
            {
                candidate.reserved = true;
                left -= 1;
            }
        }
    }
}
