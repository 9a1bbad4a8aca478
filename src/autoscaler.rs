//! The autoscaler: rents machines for pending and expected tasks, and returns surplus machines.
//!
//! Each pass estimates the demand of each class of jobs ([`demand`]), allocates the existing machines to the classes
//! ([`coverage`]), plans rentals for the uncovered demand from pools that are not exhausted ([`rentals`]), and selects
//! surplus machines to drain or return ([`surplus`]). The autoscaler only decides; `leader::scaling` carries out its
//! decisions.

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

/// Interval between passes, in heartbeat intervals; at most [`PASS_INTERVAL_S_MAX`].
const PASS_INTERVAL_HEARTBEATS: f64 = 0.3;
/// The longest interval between passes, in seconds.
const PASS_INTERVAL_S_MAX: f64 = 1.0;
/// The maximum number of machines rented with one request, set by the cloud's protocol.
const MACHINES_PER_RENT_MAX: u32 = 50;

/// The state of the autoscaler between passes.
pub(crate) struct Autoscaler {
    /// The classes of the jobs that arrived in this term.
    classes: JobClasses,
    /// Arrival rates and run times. Shared with the rest of this controller, which keeps them across terms.
    forecast: Rc<RefCell<ArrivalForecast>>,
    /// Queued calls to the cloud, and what its answers have shown.
    pub(crate) cloud: CloudState,
    /// When the last pass began. None if the next one is due at once.
    last_pass_at: Option<Time>,
}

/// The state that a pass reads.
pub(crate) struct ScalingInputs<'a> {
    pub(crate) config: &'a Config,
    pub(crate) catalog: &'a MachineCatalog,
    pub(crate) fleet: &'a Fleet,
    pub(crate) jobs: &'a JobTable,
    /// Jobs with pending tasks.
    pub(crate) waiting_jobs: &'a BTreeSet<JobIndex>,
    /// Decides which tasks count as large.
    pub(crate) pricing_rule: PricingRule,
    pub(crate) now: Time,
}

impl ScalingInputs<'_> {
    fn waiting_jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting_jobs.iter().map(|index| &self.jobs[index])
    }

    /// Whether a task of a class counts as large on every machine type that the class may use.
    fn is_large(&self, class: &JobClass) -> bool {
        class.is_large(self.catalog, &self.pricing_rule)
    }

    /// The lowest price per CPU among the machine types that a job may use. Infinite if it may use none.
    fn lowest_unit_price(&self, spec: &Submission) -> f64 {
        self.catalog
            .options(spec)
            .iter()
            .map(|o| self.catalog.unit_price(o.type_index, o.spot))
            .fold(f64::INFINITY, f64::min)
    }
}

/// The decisions of a pass.
pub(crate) struct ScalingPlan {
    /// The machines, including those to be rented, each with the role for which it is needed, if any.
    pub(crate) units: Vec<CapacityUnit>,
    /// Classes with large pending tasks, in the order in which they are covered. They may preempt tasks on the machines
    /// allocated to large tasks.
    pub(crate) preempting_classes: Vec<JobClass>,
    /// The machines to rent, by pool and role.
    rentals: RentalPlan,
}

impl Autoscaler {
    /// The autoscaler at the start of a term, with the forecast that this controller already has.
    pub(crate) fn new(forecast: Rc<RefCell<ArrivalForecast>>, now: Time) -> Self {
        Autoscaler {
            classes: JobClasses::default(),
            forecast,
            cloud: CloudState::new(now),
            last_pass_at: None,
        }
    }

    /// The expected run time of a job's tasks, in seconds. The leader and the scheduler use it too, for example for
    /// deadlines and the scheduling order.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        self.classes.expected_run_s(job)
    }

    /// Records the arrival of a job. The next pass is due at once, since large tasks may have to preempt others.
    pub(crate) fn record_arrival(&mut self, spec: &Rc<Submission>) {
        self.classes.record_arrival(spec);
        self.request_pass();
    }

    /// Records the observed run time of a task, in seconds.
    pub(crate) fn record_run_time(&mut self, class_key: &str, run_s: f64) {
        self.forecast.borrow_mut().record_run_time(class_key, run_s);
    }

    /// The priority below which jobs may borrow those machines of a type that are kept for large tasks: every class
    /// with large tasks may preempt the borrowers. None if no job may borrow, because large tasks wait for such
    /// machines or no class has large tasks.
    pub(crate) fn borrowing_priority_limit(
        &self,
        type_index: usize,
        catalog: &MachineCatalog,
        pricing_rule: &PricingRule,
        jobs: &JobTable,
        waiting_jobs: &BTreeSet<JobIndex>,
    ) -> Option<Priority> {
        self.classes
            .borrowing_priority_limit(type_index, catalog, pricing_rule, jobs, waiting_jobs)
    }

    /// Makes the next pass due at once.
    fn request_pass(&mut self) {
        self.last_pass_at = None;
    }

    /// Returns whether a pass is due. If so, the caller must run it now: the next interval starts here.
    pub(crate) fn begin_pass_if_due(&mut self, heartbeat_interval_s: f64, now: Time) -> bool {
        let interval_s = (heartbeat_interval_s * PASS_INTERVAL_HEARTBEATS).min(PASS_INTERVAL_S_MAX);
        let due = self.last_pass_at.is_none_or(|at| now - at >= interval_s);
        if due {
            self.last_pass_at = Some(now);
        }
        due
    }

    /// Runs a pass: decides which machines are needed in which role, and which to rent.
    pub(crate) fn plan(&mut self, inputs: &ScalingInputs) -> ScalingPlan {
        self.classes.update(inputs, &self.forecast.borrow());
        let mut pass = ScalingPass::new(inputs, &self.cloud.pool_backoffs);
        pass.cover_exceptions(&mut self.classes);
        let classes = self.classes.in_scaling_order(inputs);
        let turnover = inputs.turnover(&self.classes);
        for class in &classes {
            let demand = inputs.demand_of(class, turnover, &self.forecast.borrow());
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

    /// Queues the rental requests of a plan, unless earlier ones have no answer yet or the fleet is not known well
    /// enough.
    pub(crate) fn queue_rentals(
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
