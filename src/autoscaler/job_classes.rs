//! Classes of jobs: how large their jobs are, how long these run, how much of them waits and runs now.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use super::ScalingInputs;
use super::arrival_forecast::{ArrivalForecast, DecayingMean, MEAN_JOBS};
use crate::fleet::machine_catalog::{MachineCatalog, is_type_allowed};
use crate::jobs::class_key::class_key;
use crate::jobs::job_table::JobTable;
use crate::jobs::{Job, JobIndex, task_resources};
use crate::protocol::users::{Priority, Submission};
use crate::resources::Resources;
use crate::scheduler::pricing::PricingRule;

/// The owners' estimates of run times count for as much as so many run times observed.
const ESTIMATE_WEIGHT_RUNS: f64 = 20.0;

/// Means of what a task takes, one for each resource.
#[derive(Debug, Clone, Default)]
struct MeanResources {
    cpus: DecayingMean,
    gpus: DecayingMean,
    memory_gb: DecayingMean,
}

impl MeanResources {
    /// Adds what a task takes; the means after that.
    fn add(&mut self, resources: Resources) -> Resources {
        let add = |mean: &mut DecayingMean, value: f64| {
            mean.add(value, MEAN_JOBS);
            mean.get().unwrap_or(value)
        };
        Resources {
            cpus: add(&mut self.cpus, resources.cpus),
            gpus: add(&mut self.gpus, resources.gpus),
            memory_gb: add(&mut self.memory_gb, resources.memory_gb),
        }
    }
}

/// Jobs of one class that may use the same machines.
#[derive(Debug, Clone)]
pub struct JobClass {
    /// The first job seen of it, which stands for all in what they have in common.
    pub(crate) spec: Rc<Submission>,
    /// What a task takes, on the mean.
    pub(super) task_resources: Resources,
    mean_resources: MeanResources,
    /// Tasks of a job.
    tasks_per_job: DecayingMean,
    /// Run time of a task as its owner estimates it, in seconds.
    estimated_run_s: DecayingMean,
    /// When a job should be done, in seconds, for those that have a deadline of their own.
    pub(super) deadline_s: DecayingMean,
    /// Run time of a task as observed and estimated, in seconds.
    run_s: f64,
    /// Unfinished tasks that are on no machine and may be placed now.
    pub(crate) pending_tasks: f64,
    /// Unfinished tasks that are on machines.
    pub(super) assigned_tasks: f64,
}

impl JobClass {
    fn new(spec: Rc<Submission>) -> Self {
        JobClass {
            task_resources: task_resources(&spec),
            mean_resources: MeanResources::default(),
            tasks_per_job: DecayingMean::default(),
            estimated_run_s: DecayingMean::default(),
            deadline_s: DecayingMean::default(),
            run_s: spec.estimate_s,
            pending_tasks: 0.0,
            assigned_tasks: 0.0,
            spec,
        }
    }

    /// Adds a job to the means.
    fn add_job(&mut self, spec: &Submission) {
        self.tasks_per_job.add(f64::from(spec.tasks), MEAN_JOBS);
        self.estimated_run_s.add(spec.estimate_s, MEAN_JOBS);
        if let Some(deadline_s) = spec.deadline_s {
            self.deadline_s.add(deadline_s, MEAN_JOBS);
        }
        self.task_resources = self.mean_resources.add(task_resources(spec));
    }

    /// A part of the class that needs machines of its own, with no tasks yet.
    pub(super) fn part(&self, spec: Submission) -> Self {
        JobClass {
            spec: Rc::new(spec),
            pending_tasks: 0.0,
            assigned_tasks: 0.0,
            ..self.clone()
        }
    }

    /// Tasks of a job, on the mean.
    pub(super) fn tasks_per_job(&self) -> f64 {
        self.tasks_per_job.get().unwrap_or(1.0)
    }

    /// Takes away tasks for which there are machines: pending ones first.
    pub(super) fn subtract_tasks(&mut self, tasks: f64) {
        let pending = self.pending_tasks.min(tasks);
        self.pending_tasks -= pending;
        self.assigned_tasks = (self.assigned_tasks - (tasks - pending)).max(0.0);
    }

    /// The expected run time of a task, in seconds. Never less than a second: the first run times that are observed
    /// are the shortest ones.
    pub(super) fn expected_run_s(&self) -> f64 {
        self.run_s.max(1.0)
    }

    /// Whether a task counts as large on each type of machines that the class may use.
    pub(super) fn is_large(&self, catalog: &MachineCatalog, rule: &PricingRule) -> bool {
        let options = catalog.options(&self.spec);
        !options.is_empty()
            && options
                .iter()
                .all(|o| rule.is_large(self.task_resources, catalog.capacity(o.type_index)))
    }
}

/// The classes of jobs seen in this term, by their key.
#[derive(Debug, Default)]
pub(crate) struct JobClasses {
    by_key: HashMap<String, JobClass>,
}

impl JobClasses {
    /// The class with this key.
    pub(super) fn get(&self, class_key: &str) -> Option<&JobClass> {
        self.by_key.get(class_key)
    }

    /// The class with this key, to change it.
    pub(super) fn get_mut(&mut self, class_key: &str) -> Option<&mut JobClass> {
        self.by_key.get_mut(class_key)
    }

    /// All classes, in no particular order.
    pub(super) fn values(&self) -> impl Iterator<Item = &JobClass> {
        self.by_key.values()
    }

    /// Records the arrival of a job.
    pub(super) fn record_arrival(&mut self, spec: &Rc<Submission>) {
        self.by_key
            .entry(class_key(spec))
            .or_insert_with(|| JobClass::new(spec.clone()))
            .add_job(spec);
    }

    /// The expected run time of a job's tasks, in seconds.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        self.get(&job.class)
            .map_or(job.spec.estimate_s, JobClass::expected_run_s)
    }

    /// Counts the tasks of each class that are pending and assigned, and updates the expected run times.
    pub(super) fn update(&mut self, inputs: &ScalingInputs, forecast: &ArrivalForecast) {
        for class in self.by_key.values_mut() {
            class.pending_tasks = 0.0;
            class.assigned_tasks = 0.0;
        }
        let jobs = inputs.jobs.values();
        for job in jobs.filter(|j| j.end.is_none() && !j.is_blocked) {
            let pending = if job.backoff_until > inputs.now {
                0
            } else {
                job.pending_tasks()
            };
            if let Some(class) = self.get_mut(&job.class) {
                class.pending_tasks += f64::from(pending);
                class.assigned_tasks += f64::from(job.assigned_tasks);
            }
        }
        for (class_key, class) in &mut self.by_key {
            let estimate_s = class.estimated_run_s.get().unwrap_or(1.0);
            let observed = forecast.run_time(class_key);
            class.run_s = observed.with_prior(estimate_s, ESTIMATE_WEIGHT_RUNS);
        }
    }

    /// The classes in the order in which they choose machines: those whose tasks take most of a machine first, then
    /// those that may use the fewest types.
    pub(super) fn in_scaling_order(&self, inputs: &ScalingInputs) -> Vec<JobClass> {
        let mut classes: Vec<JobClass> = self.values().cloned().collect();
        classes.sort_by_key(|class| {
            let large = inputs.is_large(class);
            let options = inputs.catalog.options(&class.spec).len();
            (!large, options, class.spec.class.clone())
        });
        classes
    }

    /// Below which priority jobs may borrow machines of a type that are kept for large work: those that all such work
    /// may preempt. None while large work waits for such machines.
    pub(super) fn borrowing_priority_limit(
        &self,
        type_index: usize,
        catalog: &MachineCatalog,
        rule: &PricingRule,
        jobs: &JobTable,
        waiting_jobs: &BTreeSet<JobIndex>,
    ) -> Option<Priority> {
        let machine_type = &catalog[type_index];
        let large = |spec: &Submission| {
            is_type_allowed(spec, machine_type)
                && rule.is_large(task_resources(spec), catalog.capacity(type_index))
        };
        if waiting_jobs.iter().any(|index| large(&jobs[index].spec)) {
            return None;
        }
        self.values()
            .filter(|class| large(&class.spec))
            .map(|class| class.spec.priority)
            .min()
    }
}
