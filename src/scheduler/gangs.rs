//! Gang scheduling: all tasks of a gang are placed at once, and machines are reserved for gangs that have waited long.

use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;

use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::is_type_allowed;
use crate::jobs::{Job, JobIndex};
use crate::scheduler::LARGE_JOB_START_TARGET_S;
use crate::scheduler::attempt_limits::FreeCapacity;
use crate::scheduler::candidate_queue::Selection;
use crate::scheduler::candidates::{CandidateMachine, is_zone_and_spot_allowed};
use crate::scheduler::pass::{Assignment, Placement, SchedulingView, UnplacedReason};
use crate::scheduler::zone_constraint::ZoneConstraint;

/// A gang is in its reservation window while its wait, as a ratio to [`LARGE_JOB_START_TARGET_S`], is in this range. An
/// earlier window would delay small gangs by more than the large gang gains.
const RESERVATION_WINDOW_RATIO: Range<f64> = 0.75..1.5;
/// The period after which the reservation window recurs, as a ratio to [`LARGE_JOB_START_TARGET_S`].
const RESERVATION_PERIOD_RATIO: f64 = 1.75;

impl SchedulingView<'_> {
    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(
        &self,
        index: JobIndex,
        candidates: &mut [CandidateMachine],
    ) -> Placement {
        let job = &self.jobs[&index];
        // Tasks of the previous attempt still hold machines and zones.
        if job.assigned_tasks > 0 || job.live_attempts > 0 {
            return Placement::default();
        }
        let demand = job.task_resources().times(f64::from(job.spec.tasks));
        if !self.is_within_team_limit(self.team_usage, job.team, demand) {
            return Placement::default();
        }
        for zone in zones_to_try(job, candidates) {
            let Some(selections) = self.select_for_gang(job, candidates, zone.as_ref()) else {
                continue;
            };
            let mut placement = Placement::default();
            for selection in selections {
                let candidate = &mut candidates[selection.candidate_index];
                candidate.load = selection.load_after;
                placement.assignments.push(Assignment {
                    machine: candidate.machine,
                    price_after: candidate.load.price,
                });
            }
            return placement;
        }
        Placement {
            assignments: Vec::new(),
            unplaced_reason: Some(UnplacedReason::NoCapacity),
        }
    }

    /// Selects machines for all tasks of a gang, only in `zone` if given. Returns None if not all of them can be
    /// placed.
    fn select_for_gang(
        &self,
        job: &Job,
        candidates: &[CandidateMachine],
        zone: Option<&Rc<str>>,
    ) -> Option<Vec<Selection>> {
        let demand = job.task_resources();
        let mut zones = ZoneConstraint::new(&job.spec, HashMap::new());
        let is_in_zone =
            |candidate: &CandidateMachine| zone.is_none_or(|zone| *zone == candidate.zone);
        // Selecting machines for tens of thousands of tasks in vain takes long.
        let may_hold =
            |candidate: &CandidateMachine| candidate.load.tasks_that_may_be_added(demand);
        let suitable = candidates
            .iter()
            .filter(|candidate| is_in_zone(candidate) && candidate.is_allowed_by(&job.spec));
        if suitable.map(may_hold).sum::<f64>() < f64::from(job.spec.tasks) {
            return None;
        }
        let mut queue = self.candidate_queue(job, candidates, is_in_zone);
        let mut selections = Vec::new();
        while selections.len() < job.spec.tasks as usize {
            let selection = queue.select_next(|index| zones.allows(&candidates[index].zone))?;
            zones.add_task(&candidates[selection.candidate_index].zone);
            selections.push(selection);
        }
        Some(selections)
    }

    /// Whether a job is a gang in its reservation window: it goes before other jobs of its priority, and machines may
    /// be reserved for it. A gang that can't be placed within the window lets others go first until the next one.
    pub(super) fn is_in_reservation_window(&self, job: &Job) -> bool {
        let wait_ratio = (self.now - job.ready_at) / LARGE_JOB_START_TARGET_S;
        job.is_gang() && RESERVATION_WINDOW_RATIO.contains(&(wait_ratio % RESERVATION_PERIOD_RATIO))
    }

    /// Reserves the machines that suit a gang and have free capacity for at least one of its tasks: later jobs of this
    /// pass don't get them. For a gang that must run in one zone, these are machines of the zone with the largest
    /// capacity. The reservation replaces the gap reservations made earlier in the pass. Returns false and changes
    /// nothing if the schedulable machines could not hold the gang even if they were empty.
    ///
    /// Without the reservation, small gangs take each large machine as soon as it is free, and gangs of sixteen tasks
    /// wait for minutes.
    pub(super) fn reserve_for_gang(&self, job: &Job, candidates: &mut [CandidateMachine]) -> bool {
        let tasks = job.spec.tasks as usize;
        let capacity_by_zone = self.gang_capacity_by_zone(job);
        let zone = if job.spec.one_zone {
            // Of the zones with the largest capacity, the first by name is chosen.
            let largest = capacity_by_zone
                .into_iter()
                .max_by(|a, b| (a.1, &b.0).cmp(&(b.1, &a.0)));
            match largest.filter(|(_, capacity)| *capacity >= tasks) {
                Some((zone, _)) => Some(zone),
                None => return false,
            }
        } else if capacity_by_zone.values().sum::<usize>() < tasks {
            return false;
        } else {
            None
        };
        let resources = job.task_resources();
        for candidate in candidates.iter_mut() {
            candidate.reserved = zone.as_ref().is_none_or(|zone| *zone == candidate.zone)
                && self.suits_gang(job, candidate.type_index, candidate.role)
                && candidate.is_allowed_by(&job.spec)
                && resources.fits(candidate.load.free());
        }
        true
    }

    /// Returns how many tasks of a gang the schedulable machines of each zone could hold if they were empty.
    fn gang_capacity_by_zone(&self, job: &Job) -> HashMap<Rc<str>, usize> {
        let mut capacity_by_zone: HashMap<Rc<str>, usize> = HashMap::new();
        for machine in self.fleet.machines.values() {
            let is_suitable = machine.type_index.is_some_and(|type_index| {
                self.suits_gang(job, type_index, machine.role)
                    && is_zone_and_spot_allowed(&job.spec, machine.spot, &machine.zone)
            });
            if is_suitable && self.fleet.is_schedulable(machine, self.now) {
                let empty = FreeCapacity::of_empty_machine(machine.capacity);
                let tasks = empty.tasks(job.task_resources()) as usize;
                *capacity_by_zone.entry(machine.zone.clone()).or_insert(0) += tasks;
            }
        }
        capacity_by_zone
    }

    /// Whether machines of a type and role count as capacity for a gang, and are reserved for it. If its tasks are
    /// large on the type, only machines kept for large tasks count, although the tasks may also be placed on shared
    /// ones.
    fn suits_gang(&self, job: &Job, type_index: usize, role: MachineRole) -> bool {
        let capacity = self.catalog.capacity(type_index);
        is_type_allowed(&job.spec, &self.catalog[type_index])
            && (role == MachineRole::Large
                || !self
                    .scheduler
                    .pricing_rule
                    .is_large(job.task_resources(), capacity))
    }
}

/// Returns the zones in which to try to place a gang, in order. Only a gang that must run in one zone is tried zone by
/// zone; for others, the single None stands for all zones together.
fn zones_to_try(job: &Job, candidates: &[CandidateMachine]) -> Vec<Option<Rc<str>>> {
    if !job.spec.one_zone {
        return vec![None];
    }
    let mut zones: Vec<Rc<str>> = candidates
        .iter()
        .map(|candidate| candidate.zone.clone())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}
