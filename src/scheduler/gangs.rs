//! Gang scheduling: all tasks of a gang are placed at once, and machines are gathered for gangs that waited long.

use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;

use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::is_type_allowed;
use crate::jobs::{Job, JobIndex};
use crate::resources::tasks_that_fit;
use crate::scheduler::LARGE_JOB_START_TARGET_S;
use crate::scheduler::candidate_queue::Selection;
use crate::scheduler::candidates::{CandidateMachine, is_offer_allowed};
use crate::scheduler::pass::{Assignment, Placement, SchedulingView, Shortfall};
use crate::scheduler::zone_constraint::ZoneConstraint;

/// Machines are gathered for a gang while its wait, as a ratio to [`LARGE_JOB_START_TARGET_S`], is in this range.
/// Earlier, the small gangs that wait meanwhile cost more than the large one gains.
const GATHERING_WINDOW_RATIO: Range<f64> = 0.75..1.5;
/// The window recurs after this ratio to the same time.
const GATHERING_PERIOD_RATIO: f64 = 1.75;

impl SchedulingView<'_> {
    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(
        &self,
        index: JobIndex,
        candidates: &mut [CandidateMachine],
    ) -> Placement {
        let job = &self.jobs[&index];
        // Tasks of the former attempt keep their machines and zones until they are off.
        if job.assigned_tasks > 0 || job.live_attempts > 0 {
            return Placement::default();
        }
        let demand = job.task_resources().times(f64::from(job.spec.tasks));
        if !self.is_within_quota(self.team_usage, job.team, demand) {
            return Placement::default();
        }
        for zone in zones_to_try(job, candidates) {
            let Some(selections) = self.select_for_gang(job, candidates, zone.as_ref()) else {
                continue;
            };
            let mut placement = Placement::default();
            for selection in selections {
                let candidate = &mut candidates[selection.candidate];
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
            shortfall: Some(Shortfall::NoRoom),
        }
    }

    /// Machines for all tasks of a gang, within one zone if it is given. None if not all find room.
    fn select_for_gang(
        &self,
        job: &Job,
        candidates: &[CandidateMachine],
        zone: Option<&Rc<str>>,
    ) -> Option<Vec<Selection>> {
        let mut zones = ZoneConstraint::new(&job.spec, HashMap::new());
        let is_in_zone = |candidate: &CandidateMachine| zone.is_none_or(|z| *z == candidate.zone);
        let mut queue = self.candidate_queue(job, candidates, is_in_zone);
        let mut selections = Vec::new();
        while selections.len() < job.spec.tasks as usize {
            let selection = queue.pop(|at| zones.allows(&candidates[at].zone))?;
            zones.add(&candidates[selection.candidate].zone);
            selections.push(selection);
        }
        Some(selections)
    }

    /// Whether a gang has waited so long that machines are gathered for it. Not without end: one that can't be placed
    /// then lets others go first for a while.
    pub(super) fn is_gathering_machines(&self, job: &Job) -> bool {
        let wait_ratio = (self.now - job.ready_at) / LARGE_JOB_START_TARGET_S;
        job.is_gang() && GATHERING_WINDOW_RATIO.contains(&(wait_ratio % GATHERING_PERIOD_RATIO))
    }

    /// Reserves the machines with room that a gang could use against all that comes later in this pass, if there are
    /// machines enough for it in the end; returns whether there are. Small gangs once took each large machine that came
    /// free, and those of sixteen tasks waited for minutes.
    pub(super) fn reserve_for_gang(&self, job: &Job, candidates: &mut [CandidateMachine]) -> bool {
        let tasks = job.spec.tasks as usize;
        let capacity_by_zone = self.gang_capacity_by_zone(job);
        let zone = if job.spec.one_zone {
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
            candidate.reserved = zone.as_ref().is_none_or(|z| *z == candidate.zone)
                && self.suits_gang(job, candidate.type_index, candidate.role)
                && candidate.is_allowed_by(&job.spec)
                && resources.fits(candidate.load.free());
        }
        true
    }

    /// How many tasks of a gang the schedulable machines of each zone could hold if they were empty.
    fn gang_capacity_by_zone(&self, job: &Job) -> HashMap<Rc<str>, usize> {
        let mut capacity_by_zone: HashMap<Rc<str>, usize> = HashMap::new();
        for machine in self.fleet.machines.values() {
            let is_suitable = machine.type_index.is_some_and(|type_index| {
                self.suits_gang(job, type_index, machine.role)
                    && is_offer_allowed(&job.spec, machine.spot, &machine.zone)
            });
            if is_suitable && self.fleet.is_schedulable(machine, self.now) {
                let tasks = tasks_that_fit(job.task_resources(), machine.capacity) as usize;
                *capacity_by_zone.entry(machine.zone.clone()).or_insert(0) += tasks;
            }
        }
        capacity_by_zone
    }

    /// Whether machines of a type and role are for the tasks of a gang: large ones use only those kept for
    /// large work.
    fn suits_gang(&self, job: &Job, type_index: usize, role: MachineRole) -> bool {
        let capacity = self.catalog.capacity(type_index);
        is_type_allowed(&job.spec, &self.catalog[type_index])
            && (role == MachineRole::Large
                || !self.scheduler.rule.is_large(job.task_resources(), capacity))
    }
}

/// The zones to try one after the other for a gang that must be in one; a single None for any other.
fn zones_to_try(job: &Job, candidates: &[CandidateMachine]) -> Vec<Option<Rc<str>>> {
    if !job.spec.one_zone {
        return vec![None];
    }
    let mut zones: Vec<Rc<str>> = candidates.iter().map(|c| c.zone.clone()).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}
