//! Carries out what the autoscaler decides, and passes it what it decides on.

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
    /// Looks after machines: lost ones, needed ones, unneeded ones.
    pub fn maintain_fleet(&mut self, now: Time) {
        // Backoffs of machines and jobs end without an event.
        self.request_placement();
        self.expire_leases(now);
        self.return_lost_machines(now);
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        if self.autoscaler.begin_pass_if_due(heartbeat_interval_s, now) {
            self.update_image_prevalence(now);
            self.scale(now);
        }
    }

    /// Returns machines that died, never came up, fail their tasks or are silent for too long.
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
        if evidence.trusted {
            self.fleet.detect_partitions(&self.catalog, now);
        }
    }

    /// Decides which machines are needed, rents what lacks and lets go of what is too many.
    fn scale(&mut self, now: Time) {
        let (autoscaler, inputs) = self.autoscaler_with_inputs(now);
        let plan = autoscaler.plan(&inputs);
        self.assign_roles(&plan.units);
        for class in &plan.preempting_classes {
            self.preempt_for(class, &plan.units, now);
        }
        // What was preempted counts for what follows.
        self.scale_in(&plan.units, now);
        if tracing::enabled!(tracing::Level::DEBUG) {
            diagnostics::log_fleet(&self.fleet, &self.catalog);
        }
        let (term_started_at, fencing_token) = (self.term_started_at, self.fencing_token);
        let (autoscaler, inputs) = self.autoscaler_with_inputs(now);
        autoscaler.rent(plan, &inputs, term_started_at, fencing_token);
    }

    /// The autoscaler, and what its decisions need.
    fn autoscaler_with_inputs(&mut self, now: Time) -> (&mut Autoscaler, ScalingInputs<'_>) {
        let inputs = ScalingInputs {
            config: &self.config,
            catalog: &self.catalog,
            fleet: &self.fleet,
            jobs: &self.jobs,
            waiting_jobs: &self.scheduler.waiting_jobs,
            rule: self.scheduler.rule,
            now,
        };
        (&mut self.autoscaler, inputs)
    }

    /// Notes on each machine the work that it is kept for.
    fn assign_roles(&mut self, units: &[CapacityUnit]) {
        for unit in units {
            let Some(role) = unit.planned_role else {
                continue;
            };
            if let Some(machine) = unit.index.and_then(|i| self.fleet.machines.get_mut(&i)) {
                machine.draining = false;
                // Small tasks on a machine that is kept for large work run to their end there.
                machine.role = role;
            }
        }
    }

    /// Drains and returns machines that have not been needed for a while.
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

    /// Lets what runs on a machine save its progress, to go on elsewhere. At the end of a day a single long task
    /// on each of a hundred machines once held them all for minutes.
    fn evict_gracefully(&mut self, index: MachineIndex) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        for (key, task_attempt) in machine.attempts.iter_mut().filter(|(_, a)| !a.completed) {
            task_attempt
                .stop_grace_s
                .get_or_insert(self.jobs[&key.job].spec.save_s);
        }
        machine.direct_call_requested = true;
        self.fleet.direct_call_queue.insert(index);
    }

    /// Begins the return of a machine.
    pub(crate) fn return_machine(&mut self, index: MachineIndex, reason: &str) {
        let cloud = &mut self.autoscaler.cloud;
        cloud.return_machine(index, reason, &mut self.fleet);
    }

    /// The next call to the cloud, if one is due.
    pub fn next_cloud_call(&mut self, now: Time) -> Option<CloudCall> {
        let cloud = &mut self.autoscaler.cloud;
        cloud.next_call(&self.config.deployment, &self.fleet, now)
    }

    /// Takes in what came of a call to the cloud.
    pub fn on_cloud_answer(&mut self, call: CloudCall, answer: CloudAnswer, now: Time) {
        let autoscaler = &mut self.autoscaler;
        match (call, answer) {
            // Prices change; the types themselves stay while a term lasts.
            (CloudCall::Types, CloudAnswer::Types(types))
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
            // Prices are asked for at the next interval; the same rental or return is requested again.
            (CloudCall::Types | CloudCall::Rent(..) | CloudCall::Delete(_), _) => {}
        }
    }

    /// The cloud has confirmed a machine's return.
    fn on_machine_returned(&mut self, name: &str, now: Time) {
        if let Some(index) = self.fleet.find(name) {
            self.autoscaler.cloud.dequeue_return(index);
            self.remove_machine(index, now);
        }
        self.autoscaler.cloud.record_returned(name.into());
    }

    /// Records the arrival of a job.
    pub(crate) fn record_arrival(&mut self, index: JobIndex) {
        self.autoscaler.record_arrival(&self.jobs[&index].spec);
    }

    /// Records the run time of a task, in seconds.
    pub(crate) fn record_run_time(&mut self, index: JobIndex, run_s: f64) {
        self.autoscaler
            .record_run_time(&self.jobs[&index].class, run_s);
    }

    /// Below which priority jobs may borrow machines of a type that are kept for large work.
    pub(crate) fn borrowing_priority_limit(&self, type_index: usize) -> Option<Priority> {
        self.autoscaler.borrowing_priority_limit(
            type_index,
            &self.catalog,
            &self.scheduler.rule,
            &self.jobs,
            &self.scheduler.waiting_jobs,
        )
    }
}
