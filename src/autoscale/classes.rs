//! Classes of jobs: how often they come, how large they are, how long they run.

use super::Class;
use crate::arrivals::{JOBS_KEPT, Mean, class_name};
use crate::jobs::{Job, JobIndex, amount};
use crate::leader::{Leader, type_allowed};
use crate::pricing::Amount;
use crate::wire::{Priority, Submission};

impl Leader {
    /// A job came: its class is seen.
    pub(crate) fn note_arrival(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        let spec = job.spec.clone();
        let amount_each = amount(&spec);
        let class = self
            .classes
            .entry(class_name(&spec))
            .or_insert_with(|| Class {
                amount: amount_each,
                job_tasks: Mean::default(),
                estimate_s: Mean::default(),
                deadline_s: Mean::default(),
                run_s: spec.estimate_s,
                shares: [Mean::default(); 3],
                pending: 0.0,
                bound: 0.0,
                spec: spec.clone(),
            });
        // Large work may have to be made room for: look at once.
        self.cloud.sized_at = f64::NEG_INFINITY;
        class.job_tasks.add(f64::from(spec.tasks), JOBS_KEPT);
        class.estimate_s.add(spec.estimate_s, JOBS_KEPT);
        if let Some(deadline_s) = spec.deadline_s {
            class.deadline_s.add(deadline_s, JOBS_KEPT);
        }
        let mut mean = |at: usize, value: f64| {
            class.shares[at].add(value, JOBS_KEPT);
            class.shares[at].get().unwrap_or(value)
        };
        class.amount = Amount {
            cpus: mean(0, amount_each.cpus),
            gpus: mean(1, amount_each.gpus),
            memory_gb: mean(2, amount_each.memory_gb),
        };
    }

    /// A task ran for so long.
    pub(crate) fn note_run(&mut self, index: JobIndex, ran: f64) {
        let name = &self.jobs[&index].class;
        self.forecast.borrow_mut().note_run(name, ran);
    }

    /// How long tasks like a job's run.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.classes
            .get(&*job.class)
            .map_or(job.spec.estimate_s, Class::run_s)
    }

    /// Below which priority jobs may borrow machines of a type that are kept for large work: those
    /// that all such work may stop. None while large work waits for such machines.
    pub(crate) fn lend_below(&self, type_index: usize) -> Option<Priority> {
        let machine_type = &self.types[type_index];
        let large = |spec: &Submission| {
            type_allowed(spec, machine_type) && self.is_large_on(amount(spec), type_index)
        };
        let waits = self
            .active
            .iter()
            .any(|index| large(&self.jobs[index].spec));
        if waits {
            return None;
        }
        self.classes
            .values()
            .filter(|c| large(&c.spec))
            .map(|c| c.spec.priority)
            .min()
    }

    pub(crate) fn is_large_on(&self, amount: Amount, type_index: usize) -> bool {
        amount.largest_share(self.capacity_of(type_index)) > self.config.tunables.large_share
    }

    pub(super) fn is_large_class(&self, class: &Class) -> bool {
        let kinds = self.kinds(&class.spec);
        !kinds.is_empty()
            && kinds
                .iter()
                .all(|(t, _)| self.is_large_on(class.amount, *t))
    }
}
