//! Jobs whose machines the means of their class don't tell: outliers, and steps of chains with a deadline.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::coverage::ScalingPass;
use super::demand::Demand;
use super::job_classes::{JobClass, JobClasses};
use super::{PoolKey, ScalingInputs};
use crate::jobs::Job;
use crate::resources::tasks_that_fit;
use crate::scheduler::LARGE_JOB_START_TARGET_S;

/// A job that has not begun after this share of the time within which the largest work is to begin is examined as
/// an outlier.
const OUTLIER_WAIT_SHARE: f64 = 0.5;
/// Outliers that one pass looks after.
const OUTLIERS_MAX: usize = 8;
/// A pool that has room, as far as known, counts for as much as so many tasks in the choice of a zone.
const OPEN_POOL_TASKS: f64 = 0.5;

/// Tasks that are given machines apart from the rest of their class.
pub(super) struct Exception {
    /// The key of their class.
    class_key: Rc<str>,
    /// What they need, as a class of its own.
    needs: JobClass,
}

impl ScalingPass<'_> {
    /// Finds machines for jobs that the means of their classes don't fit, and takes these off their classes.
    pub(super) fn cover_exceptions(&mut self, classes: &mut JobClasses) {
        for outlier in self.inputs.outliers(classes, self) {
            if let Some(class) = classes.get_mut(&outlier.class_key) {
                class.pending_tasks -= outlier.needs.pending_tasks;
            }
            let demand = Demand::at_any_price(outlier.needs.pending_tasks);
            self.cover_demand(&outlier.needs, demand);
        }
        for steps in self.inputs.chain_steps_with_deadline(classes) {
            let tasks = steps.needs.pending_tasks + steps.needs.assigned_tasks;
            let uncovered = self.cover_demand(&steps.needs, Demand::at_any_price(tasks));
            if let Some(class) = classes.get_mut(&steps.class_key) {
                class.subtract_tasks(tasks - uncovered.at_low_price.max(0.0));
            }
        }
    }

    /// In which of several zones there is or may be most room for a gang that must be in one, or in which two for one
    /// that must be spread. None for other jobs.
    fn zones_for(&self, job: &Job) -> Vec<String> {
        let spec = &job.spec;
        let bound_to_zones = spec.one_zone || (spec.spread && spec.tasks > 1);
        if !job.is_gang() || !bound_to_zones || spec.zone.is_some() {
            return Vec::new();
        }
        let room = self.room_by_zone(job);
        if room.len() < 2 {
            return Vec::new();
        }
        let mut zones: Vec<(&str, f64)> = room.into_iter().collect();
        zones.sort_by(|a, b| b.1.total_cmp(&a.1).then(b.0.cmp(a.0)));
        zones.truncate(if spec.one_zone { 1 } else { 2 });
        zones.into_iter().map(|(zone, _)| zone.to_owned()).collect()
    }

    /// For how many tasks of a job there are machines in each zone, pools that have room counted in.
    fn room_by_zone(&self, job: &Job) -> BTreeMap<&str, f64> {
        let catalog = self.inputs.catalog;
        let options = catalog.options(&job.spec);
        let mut room: BTreeMap<&str, f64> = BTreeMap::new();
        for option in &options {
            for zone in &catalog[option.type_index].zones {
                let pool = PoolKey {
                    type_index: option.type_index,
                    spot: option.spot,
                    zone: zone.as_str().into(),
                };
                let open = !self
                    .pools
                    .get(&pool)
                    .is_some_and(|pool| pool.is_exhausted(self.inputs.now));
                *room.entry(zone).or_default() += f64::from(u8::from(open)) * OPEN_POOL_TASKS;
            }
        }
        for unit in self.units.iter().filter(|u| options.contains(&u.option)) {
            if let Some(room) = room.get_mut(&*unit.zone) {
                *room += tasks_that_fit(
                    job.task_resources(),
                    catalog.capacity(unit.option.type_index),
                );
            }
        }
        room
    }
}

impl ScalingInputs<'_> {
    /// The steps of chains with a deadline that run or may run next, as classes of their own that use no spot machines:
    /// a task that is lost with one makes the whole chain late.
    fn chain_steps_with_deadline(&self, classes: &JobClasses) -> Vec<Exception> {
        let mut found: BTreeMap<Rc<str>, JobClass> = BTreeMap::new();
        let open = self.jobs.values().filter(|j| j.end.is_none());
        for job in open.filter(|j| j.spec.spot && j.is_chain_step_with_deadline()) {
            if job.is_blocked && !self.may_run_next(job) {
                continue;
            }
            let class = classes.get(&job.class);
            let Some(class) = class.filter(|c| !self.is_large(c)) else {
                continue;
            };
            let steps = found.entry(job.class.clone()).or_insert_with(|| {
                let mut spec = (*class.spec).clone();
                spec.spot = false;
                class.part(spec)
            });
            steps.pending_tasks += f64::from(job.pending_tasks());
            steps.assigned_tasks += f64::from(job.assigned_tasks);
        }
        found
            .into_iter()
            .map(|(class_key, needs)| Exception { class_key, needs })
            .collect()
    }

    /// Whether everything that a job depends on has begun.
    fn may_run_next(&self, job: &Job) -> bool {
        let dependencies = job.spec.waits_on.iter();
        let mut known = dependencies.filter_map(|id| self.jobs.get(&self.jobs.index_of(id)?));
        known.all(|dependency| !dependency.is_blocked)
    }

    /// Jobs that have waited for long and that the means of their class don't tell: tasks larger than usual, a gang for
    /// a single zone where the class has several, or a gang that must be spread over zones. By the mean there was room
    /// for them all the time, and one once waited for ever.
    fn outliers(&self, classes: &JobClasses, pass: &ScalingPass) -> Vec<Exception> {
        let has_not_begun = |job: &&Job| {
            let begun = job.assigned_tasks + job.done_tasks > 0;
            !begun
                && job.backoff_until <= self.now
                && self.now - job.ready_at > LARGE_JOB_START_TARGET_S * OUTLIER_WAIT_SHARE
        };
        let mut found: Vec<Exception> = self
            .waiting_jobs()
            .filter(has_not_begun)
            .flat_map(|job| {
                let needs = outlier_needs(job, classes, pass);
                needs.into_iter().map(|needs| Exception {
                    class_key: job.class.clone(),
                    needs,
                })
            })
            .take(OUTLIERS_MAX)
            .collect();
        // Those that take most choose first.
        found.sort_by(|a, b| {
            let (a, b) = (a.needs.task_resources, b.needs.task_resources);
            b.cpus.total_cmp(&a.cpus)
        });
        found
    }
}

/// What a job needs that its class doesn't tell: one class for each zone that it must be in, if there are such.
fn outlier_needs(job: &Job, classes: &JobClasses, pass: &ScalingPass) -> Vec<JobClass> {
    let Some(class) = classes.get(&job.class) else {
        return Vec::new();
    };
    let needs = |zone: Option<String>, tasks: u32| {
        let mut spec = (*job.spec).clone();
        spec.zone = zone.or(spec.zone);
        let mut needs = class.part(spec);
        needs.task_resources = job.task_resources();
        needs.pending_tasks = f64::from(tasks);
        needs
    };
    let tasks = job.pending_tasks();
    match pass.zones_for(job).as_slice() {
        [] if job.task_resources().fits(class.task_resources) => Vec::new(),
        [] => vec![needs(None, tasks)],
        [zone] => vec![needs(Some(zone.clone()), tasks)],
        [first, second, ..] => vec![
            needs(Some(first.clone()), tasks.div_ceil(2)),
            needs(Some(second.clone()), tasks / 2),
        ],
    }
}
