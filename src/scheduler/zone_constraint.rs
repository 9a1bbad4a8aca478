//! Placement constraints over zones: all of a job's tasks in one zone, or spread over several.

use std::collections::HashMap;
use std::rc::Rc;

use crate::jobs::JobIndex;
use crate::protocol::users::Submission;
use crate::scheduler::pass::SchedulingView;

/// Decides in which zones further tasks of a job may be placed.
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// The maximum number of tasks in each zone, for a job that must be spread: half of its tasks, rounded up. None for
    /// other jobs.
    max_tasks_per_zone: Option<u32>,
    tasks_by_zone: HashMap<Rc<str>, u32>,
}

impl ZoneConstraint {
    /// Creates the constraint for a job. `tasks_by_zone` is the number of its tasks that are already placed in each
    /// zone.
    pub(super) fn new(spec: &Submission, tasks_by_zone: HashMap<Rc<str>, u32>) -> Self {
        ZoneConstraint {
            one_zone: spec.one_zone,
            max_tasks_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
            tasks_by_zone,
        }
    }

    /// Whether the next task may be placed in this zone.
    pub(super) fn allows(&self, zone: &Rc<str>) -> bool {
        let has_tasks_elsewhere = self.tasks_by_zone.keys().any(|other| other != zone);
        let tasks_in_zone = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        !(self.one_zone && has_tasks_elsewhere)
            && self
                .max_tasks_per_zone
                .is_none_or(|max| tasks_in_zone < max)
    }

    /// Records that a task was placed in this zone.
    pub(super) fn add_task(&mut self, zone: &Rc<str>) {
        if self.one_zone || self.max_tasks_per_zone.is_some() {
            *self.tasks_by_zone.entry(zone.clone()).or_insert(0) += 1;
        }
    }
}

impl SchedulingView<'_> {
    /// Returns the number of attempts of a job's tasks that are or may be on the machines of each zone. Earlier
    /// attempts count, completed ones don't. Empty for a job without a zone constraint.
    pub(super) fn tasks_by_zone(&self, index: JobIndex) -> HashMap<Rc<str>, u32> {
        let mut tasks_by_zone = HashMap::new();
        let spec = &self.jobs[&index].spec;
        if !spec.one_zone && !spec.spread {
            return tasks_by_zone;
        }
        for machine in self.fleet.machines.values() {
            let tasks = machine
                .attempts
                .iter()
                .filter(|(key, task_attempt)| key.job == index && !task_attempt.completed)
                .count();
            if tasks > 0 {
                *tasks_by_zone.entry(machine.zone.clone()).or_insert(0) += tasks as u32;
            }
        }
        tasks_by_zone
    }
}
