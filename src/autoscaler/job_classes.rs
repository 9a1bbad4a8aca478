//! Classes of jobs: average job size and run time, and the numbers of pending and assigned tasks.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use super::ScalingInputs;
use super::arrival_forecast::{ArrivalForecast, DecayingMean, MEAN_JOBS};
use crate::fleet::machine_catalog::{MachineCatalog, is_type_allowed};
use crate::jobs::class_key::class_key;
use crate::jobs::job_table::JobTable;
use crate::jobs::{Job, JobIndex, task_resources};
use crate::protocol::users::{JobKind, Priority, Submission};
use crate::resources::{Resources, tasks_that_fit};
use crate::scheduler::attempt_limits::FreeCapacity;
use crate::scheduler::pricing::PricingRule;

/// The weight of the run time that job owners estimate, as a number of observed run times.
const ESTIMATE_WEIGHT_RUNS: f64 = 20.0;

/// Longer estimates of job owners count as this, in seconds (a year): sums and products of estimates stay finite.
const ESTIMATE_S_MAX: f64 = 365.0 * 24.0 * 3600.0;

/// The mean of each resource that a task requests.
#[derive(Debug, Clone, Default)]
struct MeanResources {
    cpus: DecayingMean,
    gpus: DecayingMean,
    memory_gb: DecayingMean,
}

impl MeanResources {
    /// Adds the resources that a task requests, and returns the updated means.
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

/// A class of jobs: all may use the same machines. The averages describe recent jobs of the class.
#[derive(Debug, Clone)]
pub struct JobClass {
    /// The first job of the class in this term. It represents the class in what the jobs have in common.
    pub(crate) spec: Rc<Submission>,
    /// The mean resources that a task requests.
    pub(super) task_resources: Resources,
    mean_resources: MeanResources,
    tasks_per_job: DecayingMean,
    /// The run time of a task as job owners estimate it, in seconds.
    estimated_run_s: DecayingMean,
    /// The deadline of the jobs that have one of their own, in seconds.
    pub(super) deadline_s: DecayingMean,
    /// The expected run time of a task in seconds: the weighted mean of observed and estimated run times.
    run_s: f64,
    /// Unfinished tasks that are on no machine and may be placed now: those of jobs in backoff and of blocked jobs are
    /// left out.
    pub(crate) pending_tasks: f64,
    /// Tasks that are assigned to machines and not completed.
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
            run_s: spec.estimate_s.min(ESTIMATE_S_MAX),
            pending_tasks: 0.0,
            assigned_tasks: 0.0,
            spec,
        }
    }

    /// Adds a job to the averages.
    fn add_job(&mut self, spec: &Submission) {
        self.tasks_per_job.add(f64::from(spec.tasks), MEAN_JOBS);
        self.estimated_run_s
            .add(spec.estimate_s.min(ESTIMATE_S_MAX), MEAN_JOBS);
        if let Some(deadline_s) = spec.deadline_s {
            self.deadline_s.add(deadline_s, MEAN_JOBS);
        }
        self.task_resources = self.mean_resources.add(task_resources(spec));
    }

    /// A class with the averages of this one and the requirements of `spec`, without tasks.
    pub(super) fn subclass(&self, spec: Submission) -> Self {
        JobClass {
            spec: Rc::new(spec),
            pending_tasks: 0.0,
            assigned_tasks: 0.0,
            ..self.clone()
        }
    }

    /// The mean number of tasks per job.
    pub(super) fn tasks_per_job(&self) -> f64 {
        self.tasks_per_job.get().unwrap_or(1.0)
    }

    /// How many tasks of the class a machine with this free capacity counts for. The tasks of a gang run at the same time,
    /// so each of them must have an attempt. Tasks of an array may run one after the other, and are counted by resources:
    /// spread over as many machines as have attempts for all of them, they would take more memory when they complete
    /// than they are measured by.
    pub(super) fn tasks_on(&self, free: &FreeCapacity) -> f64 {
        if self.spec.kind == JobKind::Gang {
            free.tasks(self.task_resources)
        } else {
            tasks_that_fit(self.task_resources, free.resources)
        }
    }

    /// Subtracts tasks that are covered by machines, pending ones first.
    pub(super) fn subtract_tasks(&mut self, tasks: f64) {
        let pending = self.pending_tasks.min(tasks);
        self.pending_tasks -= pending;
        self.assigned_tasks = (self.assigned_tasks - (tasks - pending)).max(0.0);
    }

    /// The expected run time of a task, in seconds. At least one second: the run times observed first are those of the
    /// shortest tasks, so early means are too low.
    pub(super) fn expected_run_s(&self) -> f64 {
        self.run_s.max(1.0)
    }

    /// Whether a task counts as large on every machine type that the class may use.
    pub(super) fn is_large(&self, catalog: &MachineCatalog, pricing_rule: &PricingRule) -> bool {
        let options = catalog.options(&self.spec);
        !options.is_empty()
            && options
                .iter()
                .all(|o| pricing_rule.is_large(self.task_resources, catalog.capacity(o.type_index)))
    }
}

/// The classes of the jobs that arrived in this term, by class key.
#[derive(Debug, Default)]
pub(crate) struct JobClasses {
    by_key: HashMap<String, JobClass>,
}

impl JobClasses {
    pub(super) fn get(&self, class_key: &str) -> Option<&JobClass> {
        self.by_key.get(class_key)
    }

    pub(super) fn get_mut(&mut self, class_key: &str) -> Option<&mut JobClass> {
        self.by_key.get_mut(class_key)
    }

    /// All classes, in no particular order.
    pub(super) fn values(&self) -> impl Iterator<Item = &JobClass> {
        self.by_key.values()
    }

    /// Adds an arriving job to the averages of its class.
    pub(super) fn record_arrival(&mut self, spec: &Rc<Submission>) {
        self.by_key
            .entry(class_key(spec))
            .or_insert_with(|| JobClass::new(spec.clone()))
            .add_job(spec);
    }

    /// The expected run time of a job's tasks, in seconds: the owner's estimate if the class is unknown.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        self.get(&job.class).map_or(
            job.spec.estimate_s.min(ESTIMATE_S_MAX),
            JobClass::expected_run_s,
        )
    }

    /// Recounts the pending and assigned tasks of each class and updates the expected run times.
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

    /// The classes in the order in which they are covered: first those with large tasks, then those that may use the
    /// fewest machine types.
    pub(super) fn in_scaling_order(&self, inputs: &ScalingInputs) -> Vec<JobClass> {
        let mut classes: Vec<JobClass> = self.values().cloned().collect();
        classes.sort_by_cached_key(|class| {
            let large = inputs.is_large(class);
            let options = inputs.catalog.options(&class.spec).len();
            (!large, options, class.spec.class.clone())
        });
        classes
    }

    /// The priority below which jobs may borrow machines of a type with the role [`MachineRole::Large`]: the lowest
    /// priority of the classes with large tasks, so that each of these may preempt the borrowers. None while a job with
    /// large tasks waits for such machines, or if no class has large tasks.
    ///
    /// [`MachineRole::Large`]: crate::fleet::MachineRole::Large
    pub(super) fn borrowing_priority_limit(
        &self,
        type_index: usize,
        catalog: &MachineCatalog,
        pricing_rule: &PricingRule,
        jobs: &JobTable,
        waiting_jobs: &BTreeSet<JobIndex>,
    ) -> Option<Priority> {
        let machine_type = &catalog[type_index];
        let has_large_tasks = |spec: &Submission| {
            is_type_allowed(spec, machine_type)
                && pricing_rule.is_large(task_resources(spec), catalog.capacity(type_index))
        };
        if waiting_jobs
            .iter()
            .any(|index| has_large_tasks(&jobs[index].spec))
        {
            return None;
        }
        self.values()
            .filter(|class| has_large_tasks(&class.spec))
            .map(|class| class.spec.priority)
            .min()
    }
}
