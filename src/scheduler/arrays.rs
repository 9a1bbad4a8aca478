//! Placement of job arrays: as many of the pending tasks as possible are placed.

use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::is_type_allowed;
use crate::jobs::{Job, JobIndex};
use crate::scheduler::candidates::CandidateMachine;
use crate::scheduler::pass::{Assignment, Placement, SchedulingView, UnplacedReason};
use crate::scheduler::zone_constraint::ZoneConstraint;

/// Gaps are reserved only for tasks whose dominant share of the machine is at most this: a reservation for a larger
/// task would leave too much of the machine unused for too long.
const GAP_TASK_SHARE_MAX: f64 = 0.125;

impl SchedulingView<'_> {
    /// Chooses machines for as many of an array's pending tasks as possible, at most `tasks_max`, within its team's limit.
    pub(super) fn place_array(
        &self,
        index: JobIndex,
        tasks_max: u32,
        candidates: &mut [CandidateMachine],
    ) -> Placement {
        let job = &self.jobs[&index];
        let resources = job.task_resources();
        let mut usage = self.team_usage.clone();
        let mut zones = ZoneConstraint::new(&job.spec, self.tasks_by_zone(index));
        let mut queue = self.candidate_queue(job, candidates, |_| true);
        let mut placement = Placement::default();
        for _ in 0..job.pending_tasks().min(tasks_max) {
            if !self.is_within_team_limit(&usage, job.team, resources) {
                return placement;
            }
            let is_zone_allowed = |index: usize| zones.allows(&candidates[index].zone);
            let Some(selection) = queue.select_next(is_zone_allowed) else {
                placement.unplaced_reason = Some(if queue.has_slow_fetch() {
                    UnplacedReason::ImageFetchTooSlow
                } else {
                    UnplacedReason::NoCapacity
                });
                return placement;
            };
            let candidate = &mut candidates[selection.candidate_index];
            candidate.load = selection.load_after;
            zones.add_task(&candidate.zone);
            usage.add(job.team, resources);
            placement.assignments.push(Assignment {
                machine: candidate.machine,
                price_after: candidate.load.price,
            });
        }
        placement
    }

    /// Reserves one shared machine for each task of a job that could not be placed. Later jobs of this pass don't get
    /// its free capacity (the gap), which can therefore grow until the task fits.
    ///
    /// Without the reservation, small tasks take each gap as soon as it is free on a full fleet, and urgent tasks that
    /// need slightly more wait for minutes.
    pub(super) fn reserve_gaps(
        &self,
        job: &Job,
        unplaced_tasks: u32,
        candidates: &mut [CandidateMachine],
    ) {
        let spec = &job.spec;
        let resources = job.task_resources();
        let mut gaps_to_reserve = unplaced_tasks;
        for candidate in candidates.iter_mut() {
            if gaps_to_reserve == 0 {
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
                gaps_to_reserve -= 1;
            }
        }
    }
}
