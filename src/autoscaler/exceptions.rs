//! Exceptions: tasks that need other machines than the averages of their class show, and are covered separately. These
//! are outliers and the steps of chains with a deadline.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::coverage::ScalingPass;
use super::demand::Demand;
use super::job_classes::{JobClass, JobClasses};
use super::{PoolKey, ScalingInputs};
use crate::jobs::Job;
use crate::scheduler::LARGE_JOB_START_TARGET_S;
use crate::scheduler::attempt_limits::FreeCapacity;

/// A job that has not started any task after this share of [`LARGE_JOB_START_TARGET_S`] is examined as an outlier.
const OUTLIER_WAIT_SHARE: f64 = 0.5;
/// The maximum number of outliers that one pass covers.
const OUTLIERS_MAX: usize = 8;
/// How many tasks a pool that is not exhausted counts for in the choice of a zone.
const AVAILABLE_POOL_TASKS: f64 = 0.5;

/// Tasks that are covered separately from the rest of their class.
pub(super) struct ClassException {
    /// The key of the class that the tasks belong to.
    class_key: Rc<str>,
    /// The tasks and their requirements, as a class of its own.
    subclass: JobClass,
}

impl ScalingPass<'_> {
    /// Covers the exceptions and subtracts their tasks from their classes. Of the steps of chains, only the covered
    /// tasks are subtracted.
    pub(super) fn cover_exceptions(&mut self, classes: &mut JobClasses) {
        for outlier in self.inputs.outliers(classes, self) {
            if let Some(class) = classes.get_mut(&outlier.class_key) {
                class.pending_tasks -= outlier.subclass.pending_tasks;
            }
            let demand = Demand::at_any_price(outlier.subclass.pending_tasks);
            self.cover_demand(&outlier.subclass, demand);
        }
        for steps in self.inputs.chain_steps_with_deadline(classes) {
            let tasks = steps.subclass.pending_tasks + steps.subclass.assigned_tasks;
            let uncovered = self.cover_demand(&steps.subclass, Demand::at_any_price(tasks));
            if let Some(class) = classes.get_mut(&steps.class_key) {
                class.subtract_tasks(tasks - uncovered.at_low_price.max(0.0));
            }
        }
    }

    /// The zones with the most capacity for a gang: one zone if the gang must run in a single zone, two if it must be
    /// spread over zones. Empty for other jobs, for gangs that request a zone, and if there is no choice of zones.
    fn zones_for_gang(&self, job: &Job) -> Vec<String> {
        let spec = &job.spec;
        let has_zone_constraint = spec.one_zone || (spec.spread && spec.tasks > 1);
        if !job.is_gang() || !has_zone_constraint || spec.zone.is_some() {
            return Vec::new();
        }
        let capacity = self.task_capacity_by_zone(job);
        if capacity.len() < 2 {
            return Vec::new();
        }
        let mut zones: Vec<(&str, f64)> = capacity.into_iter().collect();
        zones.sort_by(|a, b| b.1.total_cmp(&a.1).then(b.0.cmp(a.0)));
        zones.truncate(if spec.one_zone { 1 } else { 2 });
        zones.into_iter().map(|(zone, _)| zone.to_owned()).collect()
    }

    /// How many tasks of a job fit onto the machines of each zone, empty or not, plus [`AVAILABLE_POOL_TASKS`] for each
    /// pool that is not exhausted.
    fn task_capacity_by_zone(&self, job: &Job) -> BTreeMap<&str, f64> {
        let catalog = self.inputs.catalog;
        let options = catalog.options(&job.spec);
        let mut capacity: BTreeMap<&str, f64> = BTreeMap::new();
        for option in &options {
            for zone in &catalog[option.type_index].zones {
                let pool = PoolKey {
                    type_index: option.type_index,
                    spot: option.spot,
                    zone: zone.as_str().into(),
                };
                let is_available = !self
                    .pool_backoffs
                    .get(&pool)
                    .is_some_and(|backoff| backoff.is_exhausted(self.inputs.now));
                *capacity.entry(zone).or_default() +=
                    f64::from(u8::from(is_available)) * AVAILABLE_POOL_TASKS;
            }
        }
        for unit in self.units.iter().filter(|u| options.contains(&u.option)) {
            if let Some(zone_capacity) = capacity.get_mut(&*unit.zone) {
                let empty = FreeCapacity::of_empty_machine(unit.free.total);
                let tasks_on_each = empty.tasks(job.task_resources());
                *zone_capacity += tasks_on_each * f64::from(unit.machine_count);
            }
        }
        capacity
    }
}

impl ScalingInputs<'_> {
    /// The steps of chains with a deadline that are running, ready or become ready next, as classes of their own
    /// without spot machines: a task that is lost with a spot machine makes the whole chain late.
    fn chain_steps_with_deadline(&self, classes: &JobClasses) -> Vec<ClassException> {
        let mut subclasses: BTreeMap<Rc<str>, JobClass> = BTreeMap::new();
        let not_ended = self.jobs.values().filter(|j| j.end.is_none());
        for job in not_ended.filter(|j| j.spec.spot && j.is_chain_step_with_deadline()) {
            if job.is_blocked && !self.has_only_unblocked_dependencies(job) {
                continue;
            }
            let class = classes.get(&job.class);
            let Some(class) = class.filter(|c| !self.is_large(c)) else {
                continue;
            };
            let steps = subclasses.entry(job.class.clone()).or_insert_with(|| {
                let mut spec = (*class.spec).clone();
                spec.spot = false;
                class.subclass(spec)
            });
            steps.pending_tasks += f64::from(job.pending_tasks());
            steps.assigned_tasks += f64::from(job.assigned_tasks);
        }
        subclasses
            .into_iter()
            .map(|(class_key, subclass)| ClassException {
                class_key,
                subclass,
            })
            .collect()
    }

    /// Whether all known dependencies of a job are unblocked: the job becomes ready as soon as they are done. Unknown
    /// dependencies are ignored.
    fn has_only_unblocked_dependencies(&self, job: &Job) -> bool {
        let dependencies = job.spec.waits_on.iter();
        let mut known = dependencies.filter_map(|id| self.jobs.get(&self.jobs.index_of(id)?));
        known.all(|dependency| !dependency.is_blocked)
    }

    /// Jobs that have waited for long without starting a task, and whose requirements the averages of their class don't
    /// show: tasks that are larger than average, and gangs, whose tasks need machines at the same time and perhaps in
    /// certain zones. By the averages there is capacity for such a job all the time, so nothing is rented for it and it
    /// never starts.
    fn outliers(&self, classes: &JobClasses, pass: &ScalingPass) -> Vec<ClassException> {
        let has_waited_too_long = |job: &&Job| {
            let has_started = job.assigned_tasks + job.done_tasks > 0;
            !has_started
                && job.backoff_until <= self.now
                && self.now - job.ready_at > LARGE_JOB_START_TARGET_S * OUTLIER_WAIT_SHARE
        };
        let mut outliers: Vec<ClassException> = self
            .waiting_jobs()
            .filter(has_waited_too_long)
            .flat_map(|job| {
                let subclasses = outlier_subclasses(job, classes, pass);
                subclasses.into_iter().map(|subclass| ClassException {
                    class_key: job.class.clone(),
                    subclass,
                })
            })
            .take(OUTLIERS_MAX)
            .collect();
        // The outliers with the largest tasks are covered first.
        outliers.sort_by(|a, b| {
            let (a, b) = (a.subclass.task_resources, b.subclass.task_resources);
            b.cpus.total_cmp(&a.cpus)
        });
        outliers
    }
}

/// The requirements of a job as classes of their own, one for each zone that must have machines for the job. Empty if
/// the averages of the job's class cover them.
fn outlier_subclasses(job: &Job, classes: &JobClasses, pass: &ScalingPass) -> Vec<JobClass> {
    let Some(class) = classes.get(&job.class) else {
        return Vec::new();
    };
    let subclass = |zone: Option<String>, tasks: u32| {
        let mut spec = (*job.spec).clone();
        spec.zone = zone.or(spec.zone);
        let mut subclass = class.subclass(spec);
        subclass.task_resources = job.task_resources();
        subclass.pending_tasks = f64::from(tasks);
        subclass
    };
    let tasks = job.pending_tasks();
    match pass.zones_for_gang(job).as_slice() {
        // All tasks of a gang need machines at once, whatever the average of the class or the price of the machines.
        [] if !job.is_gang() && job.task_resources().fits(class.task_resources) => Vec::new(),
        [] => vec![subclass(None, tasks)],
        [zone] => vec![subclass(Some(zone.clone()), tasks)],
        [first, second, ..] => vec![
            subclass(Some(first.clone()), tasks.div_ceil(2)),
            subclass(Some(second.clone()), tasks / 2),
        ],
    }
}
