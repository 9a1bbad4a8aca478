//! Scaling of the fleet: provides the autoscaler with its inputs, carries out its decisions, and handles the answers of
//! the cloud.

use std::rc::Rc;

use super::Leader;
use crate::autoscaler::{
    Autoscaler, CapacityUnit, CloudAnswer, CloudCall, ScalingInputs, diagnostics,
};
use crate::fleet::machine_catalog::MachineCatalog;
use crate::jobs::{JobIndex, MachineIndex};
use crate::protocol::users::Priority;
use crate::runtime::Time;

impl Leader {
    /// Releases attempts whose worker's lease has expired, returns lost machines, and runs the autoscaler's pass if it
    /// is due. Called periodically.
    pub fn maintain_fleet(&mut self, now: Time) {
        // The end of a machine's or job's backoff is no event, so placement is tried again here.
        self.request_scheduling_pass();
        self.expire_leases(now);
        self.return_lost_machines(now);
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        if self.autoscaler.begin_pass_if_due(heartbeat_interval_s, now) {
            self.update_image_prevalence(now);
            self.run_scaling_pass(now);
        }
    }

    /// Returns to the cloud the machines that count as lost: silent, unresponsive, quarantined, never in contact, or
    /// with a launch in doubt for too long. Also detects partitions of zones, unless the machines' silence may be the
    /// fault of this controller.
    fn return_lost_machines(&mut self, now: Time) {
        let evidence = self.fleet.silence_evidence(now);
        let lost: Vec<MachineIndex> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| {
                !machine.terminating && self.fleet.is_lost(machine, &self.catalog, &evidence, now)
            })
            .map(|(index, _)| *index)
            .collect();
        for index in lost {
            self.return_machine(index, "lost");
        }
        if evidence.controller_is_connected {
            self.fleet.detect_partitions(&self.catalog, now);
        }
    }

    /// Decides which machines are needed, preempts for large work that waits, returns surplus machines, and rents those
    /// that are missing.
    fn run_scaling_pass(&mut self, now: Time) {
        let (autoscaler, inputs) = self.autoscaler_with_inputs(now);
        let plan = autoscaler.plan(&inputs);
        self.assign_roles(&plan.units);
        for class in &plan.preempting_classes {
            self.preempt_for_class(class, &plan.units, now);
        }
        // Scale-in and renting see the state after preemption.
        self.scale_in(&plan.units, now);
        if tracing::enabled!(tracing::Level::DEBUG) {
            diagnostics::log_fleet(&self.fleet, &self.catalog);
        }
        let (term_started_at, fencing_token) = (self.term_started_at, self.fencing_token);
        let (autoscaler, inputs) = self.autoscaler_with_inputs(now);
        autoscaler.queue_rentals(plan, &inputs, term_started_at, fencing_token);
    }

    /// Borrows the autoscaler together with the parts of the leader's state that its decisions need.
    fn autoscaler_with_inputs(&mut self, now: Time) -> (&mut Autoscaler, ScalingInputs<'_>) {
        let inputs = ScalingInputs {
            config: &self.config,
            catalog: &self.catalog,
            fleet: &self.fleet,
            jobs: &self.jobs,
            waiting_jobs: &self.scheduler.waiting_jobs,
            pricing_rule: self.scheduler.pricing_rule,
            now,
        };
        (&mut self.autoscaler, inputs)
    }

    /// Sets the role of each machine that the plan keeps for large or shared work, and ends the machine's draining.
    fn assign_roles(&mut self, units: &[CapacityUnit]) {
        for unit in units {
            let Some(role) = unit.planned_role else {
                continue;
            };
            if let Some(machine) = unit
                .machine_index
                .and_then(|index| self.fleet.machines.get_mut(&index))
            {
                machine.draining = false;
                // Small tasks that run on a machine now kept for large work may complete there.
                machine.role = role;
            }
        }
    }

    /// Records which machines are surplus, and drains, evicts or returns those that have been surplus for some time.
    fn scale_in(&mut self, units: &[CapacityUnit], now: Time) {
        let (_, inputs) = self.autoscaler_with_inputs(now);
        let plan = inputs.scale_in_plan(units);
        let machines = &mut self.fleet.machines;
        for index in plan.needed {
            if let Some(machine) = machines.get_mut(&index) {
                machine.surplus_since = None;
            }
        }
        for index in plan.surplus {
            if let Some(machine) = machines.get_mut(&index) {
                machine.surplus_since.get_or_insert(now);
            }
        }
        for index in plan.drain {
            if let Some(machine) = machines.get_mut(&index) {
                machine.draining = true;
            }
        }
        for index in plan.evict {
            self.evict_gracefully(index);
        }
        for index in plan.return_now {
            self.return_machine(index, "not needed");
        }
    }

    /// Stops the attempts on a machine with time to save a checkpoint, so that their tasks continue on other machines.
    /// Otherwise, when demand falls, a single long task on each of a hundred machines keeps all of them rented for
    /// minutes.
    fn evict_gracefully(&mut self, index: MachineIndex) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        for (key, task_attempt) in machine
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.completed)
        {
            task_attempt
                .stop_grace_s
                .get_or_insert(self.jobs[&key.job].spec.save_s);
        }
        machine.direct_call_requested = true;
        self.fleet.direct_call_queue.insert(index);
    }

    /// Begins the return of a machine to the cloud; `reason` is logged.
    pub(crate) fn return_machine(&mut self, index: MachineIndex, reason: &str) {
        let cloud = &mut self.autoscaler.cloud;
        cloud.return_machine(index, reason, &mut self.fleet);
    }

    /// Returns the next call to the cloud, if one is due. A rental is repeated until the cloud grants it or has no
    /// capacity, and a return until the cloud confirms it.
    pub fn next_cloud_call(&mut self, now: Time) -> Option<CloudCall> {
        let cloud = &mut self.autoscaler.cloud;
        cloud.next_call(&self.config.deployment, &self.fleet, now)
    }

    /// Handles the answer to a call to the cloud.
    pub fn on_cloud_answer(&mut self, call: CloudCall, answer: CloudAnswer, now: Time) {
        let autoscaler = &mut self.autoscaler;
        match (call, answer) {
            // Only prices are updated during a term. A list with other machine types is ignored.
            (CloudCall::MachineTypes, CloudAnswer::MachineTypes(types))
                if self.catalog.has_same_types(&types) =>
            {
                self.catalog = MachineCatalog::new(Rc::new(types));
            }
            (CloudCall::List { .. }, CloudAnswer::List(page, more)) => {
                autoscaler.on_list_page(&page, more, &mut self.fleet, &self.catalog, now);
            }
            (CloudCall::List { .. }, _) => autoscaler.cloud.record_list_failure(),
            (CloudCall::Rent(rent, role), CloudAnswer::Rented(names)) => {
                autoscaler.cloud.dequeue_rental();
                let (fleet, catalog) = (&mut self.fleet, &self.catalog);
                autoscaler.on_rented(&rent, role, &names, fleet, catalog, now);
            }
            (CloudCall::Rent(rent, _), CloudAnswer::NoCapacity) => {
                autoscaler.cloud.dequeue_rental();
                autoscaler.on_no_capacity(&rent, &self.fleet, &self.catalog, now);
            }
            (CloudCall::Delete(names), CloudAnswer::Deleted) => {
                for name in names {
                    self.on_machine_returned(&name, now);
                }
            }
            // After a failure, prices are requested at the next interval, and a rental or return is repeated.
            (CloudCall::MachineTypes | CloudCall::Rent(..) | CloudCall::Delete(_), _) => {}
        }
    }

    /// Removes a machine whose return the cloud has confirmed.
    fn on_machine_returned(&mut self, name: &str, now: Time) {
        if let Some(index) = self.fleet.find(name) {
            self.autoscaler.cloud.dequeue_return(index);
            self.remove_machine(index, now);
        }
        self.autoscaler.cloud.record_returned(name.into());
    }

    /// Adds a job to its class, from which the autoscaler computes demand, and makes the next scaling pass due.
    pub(crate) fn record_arrival(&mut self, index: JobIndex) {
        self.autoscaler.record_arrival(&self.jobs[&index].spec);
    }

    /// Records the run time of a completed task for the estimates of its job's class.
    pub(crate) fn record_run_time(&mut self, index: JobIndex, run_s: f64) {
        self.autoscaler
            .record_run_time(&self.jobs[&index].class, run_s);
    }

    /// The priority below which jobs may borrow machines of a type that are kept for large work. None if no job may.
    pub(crate) fn borrowing_priority_limit(&self, type_index: usize) -> Option<Priority> {
        self.autoscaler.borrowing_priority_limit(
            type_index,
            &self.catalog,
            &self.scheduler.pricing_rule,
            &self.jobs,
            &self.scheduler.waiting_jobs,
        )
    }
}
