//! Scales the fleet: rents machines for work that waits or is expected, and returns those that nothing needs.
//!
//! Each pass estimates per class of jobs for how many tasks there should be machines ([`demand`]), gives the classes the
//! machines that are there ([`coverage`]), rents what lacks from the pools that have room ([`rentals`]) and lets go of what
//! is too many ([`surplus`]). A pass decides; `leader::scaling` carries out.

pub(crate) mod arrival_forecast;
mod capacity_units;
mod cloud;
mod coverage;
mod demand;
pub(crate) mod diagnostics;
mod exceptions;
mod inventory;
mod job_classes;
mod pools;
mod rentals;
mod surplus;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::autoscaler::cloud::CloudState;
use crate::autoscaler::coverage::ScalingPass;
use crate::autoscaler::job_classes::JobClasses;
use crate::autoscaler::pools::{PoolKey, RentalPlan};
use crate::config::Config;
use crate::fleet::Fleet;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::jobs::job_table::JobTable;
use crate::jobs::{Job, JobIndex};
use crate::protocol::users::{Priority, Submission};
use crate::runtime::Time;
use crate::scheduler::pricing::PricingRule;

pub(crate) use capacity_units::CapacityUnit;
pub use cloud::{CloudAnswer, CloudCall};
pub use job_classes::JobClass;

/// Interval of the passes in heartbeat intervals, and the longest one in seconds.
const PASS_INTERVAL_HEARTBEATS: f64 = 0.3;
/// See [`PASS_INTERVAL_HEARTBEATS`].
const PASS_INTERVAL_S_MAX: f64 = 1.0;
/// Machines rented with one request, at most, as the protocol says.
const MACHINES_PER_RENT_MAX: u32 = 50;

/// What the autoscaler keeps between its passes.
pub(crate) struct Autoscaler {
    /// The classes of jobs seen in this term.
    classes: JobClasses,
    /// What this controller has observed and learnt of arrivals and run times, in this term and before.
    forecast: Rc<RefCell<ArrivalForecast>>,
    /// The dealings with the cloud.
    pub(crate) cloud: CloudState,
    /// When the last pass began. None if the next one is due at once.
    last_pass_at: Option<Time>,
}

/// What a pass reads.
pub(crate) struct ScalingInputs<'a> {
    pub(crate) config: &'a Config,
    pub(crate) catalog: &'a MachineCatalog,
    pub(crate) fleet: &'a Fleet,
    pub(crate) jobs: &'a JobTable,
    /// Jobs of which tasks wait to be placed.
    pub(crate) waiting_jobs: &'a BTreeSet<JobIndex>,
    /// Tells which tasks count as large.
    pub(crate) rule: PricingRule,
    pub(crate) now: Time,
}

impl ScalingInputs<'_> {
    /// Jobs of which tasks wait to be placed.
    fn waiting_jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting_jobs.iter().map(|index| &self.jobs[index])
    }

    /// Whether a task of a class counts as large on each type of machines that it may use.
    fn is_large(&self, class: &JobClass) -> bool {
        class.is_large(self.catalog, &self.rule)
    }

    /// What a CPU costs on the cheapest machines that a job may use.
    fn lowest_unit_price(&self, spec: &Submission) -> f64 {
        self.catalog
            .options(spec)
            .iter()
            .map(|o| self.catalog.unit_price(o.type_index, o.spot))
            .fold(f64::INFINITY, f64::min)
    }
}

/// What a pass has decided on.
pub(crate) struct ScalingPlan {
    /// All machines, each with the work that it is kept for.
    pub(crate) units: Vec<CapacityUnit>,
    /// Classes of large work that waits, in order: they may preempt what is on machines kept for them.
    pub(crate) preempting_classes: Vec<JobClass>,
    /// Machines to be rented.
    rentals: RentalPlan,
}

impl Autoscaler {
    /// Nothing seen but what this controller forecasts.
    pub(crate) fn new(forecast: Rc<RefCell<ArrivalForecast>>, now: Time) -> Self {
        Autoscaler {
            classes: JobClasses::default(),
            forecast,
            cloud: CloudState::new(now),
            last_pass_at: None,
        }
    }

    /// The expected run time of a job's tasks, in seconds.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        self.classes.expected_run_s(job)
    }

    /// Records the arrival of a job. Large work may have to preempt others: the next pass is due at once.
    pub(crate) fn record_arrival(&mut self, spec: &Rc<Submission>) {
        self.classes.record_arrival(spec);
        self.request_pass();
    }

    /// Records the run time of a task, in seconds.
    pub(crate) fn record_run_time(&mut self, class_key: &str, run_s: f64) {
        self.forecast.borrow_mut().record_run_time(class_key, run_s);
    }

    /// Below which priority jobs may borrow machines of a type that are kept for large work: those that all such work
    /// may preempt. None while large work waits for such machines.
    pub(crate) fn borrowing_priority_limit(
        &self,
        type_index: usize,
        catalog: &MachineCatalog,
        rule: &PricingRule,
        jobs: &JobTable,
        waiting_jobs: &BTreeSet<JobIndex>,
    ) -> Option<Priority> {
        self.classes
            .borrowing_priority_limit(type_index, catalog, rule, jobs, waiting_jobs)
    }

    /// The next pass is due at once.
    fn request_pass(&mut self) {
        self.last_pass_at = None;
    }

    /// Whether a pass is due; if so, it is taken to begin now.
    pub(crate) fn begin_pass_if_due(&mut self, heartbeat_interval_s: f64, now: Time) -> bool {
        let interval_s = (heartbeat_interval_s * PASS_INTERVAL_HEARTBEATS).min(PASS_INTERVAL_S_MAX);
        let due = self.last_pass_at.is_none_or(|at| now - at >= interval_s);
        if due {
            self.last_pass_at = Some(now);
        }
        due
    }

    /// Decides which machines are needed, for which work, and what lacks.
    pub(crate) fn plan(&mut self, inputs: &ScalingInputs) -> ScalingPlan {
        self.classes.update(inputs, &self.forecast.borrow());
        let mut pass = ScalingPass::new(inputs, &self.cloud.pools);
        pass.cover_exceptions(&mut self.classes);
        let classes = self.classes.in_scaling_order(inputs);
        for class in &classes {
            let demand = inputs.demand_of(class, &self.classes, &self.forecast.borrow());
            tracing::debug!(
                class = %class.spec.class,
                pending_tasks = class.pending_tasks,
                assigned_tasks = class.assigned_tasks,
                run_s = class.expected_run_s(),
                ?demand,
                "demand of a class"
            );
            pass.cover_demand(class, demand);
        }
        let ScalingPass { units, rentals, .. } = pass;
        let mut preempting_classes = classes;
        preempting_classes.retain(|c| c.pending_tasks > 0.0 && inputs.is_large(c));
        ScalingPlan {
            units,
            preempting_classes,
            rentals,
        }
    }

    /// Queues the requests for what a plan rents, unless former ones still wait or the fleet is not known well enough.
    pub(crate) fn rent(
        &mut self,
        plan: ScalingPlan,
        inputs: &ScalingInputs,
        term_started_at: Time,
        fencing_token: u64,
    ) {
        let ScalingInputs {
            config, fleet, now, ..
        } = inputs;
        if !self.cloud.has_queued_rentals()
            && self
                .cloud
                .is_fleet_known(config, fleet, term_started_at, *now)
        {
            self.cloud
                .queue_rentals(plan.rentals, inputs.catalog, fencing_token);
        }
    }
}
