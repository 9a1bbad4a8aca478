//! What the cloud's answers show of machines that are rented, listed or to be returned.

use super::Autoscaler;
use super::cloud::CloudState;
use super::pools::PoolKey;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{Fleet, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::cloud::{ListedMachine, MachineState, RentRequest};
use crate::runtime::Time;

impl Autoscaler {
    /// A page of the list was read.
    pub(crate) fn on_list_page(
        &mut self,
        page: &[ListedMachine],
        more: bool,
        fleet: &mut Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        self.cloud.record_page(page, more);
        for listed in page {
            self.cloud.on_listed(listed, fleet, catalog, now);
        }
        if !more {
            self.cloud.record_list_end(fleet);
        }
    }

    /// Machines were rented, perhaps fewer than requested. One that has reported before the answer came is known
    /// already.
    pub(crate) fn on_rented(
        &mut self,
        rent: &RentRequest,
        role: MachineRole,
        names: &[String],
        fleet: &mut Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        let type_index = catalog.index_of(&rent.type_name);
        for name in names {
            let known = fleet.find(name).is_some();
            let index = fleet.get_or_insert(name, &rent.zone, now);
            if let Some(machine) = fleet.machines.get_mut(&index) {
                if !known {
                    machine.type_index = type_index;
                    machine.capacity = type_index.map(|t| catalog.capacity(t)).unwrap_or_default();
                    machine.spot = rent.spot;
                    machine.rented_at = now;
                }
                machine.role = role;
            }
        }
        if (names.len() as u32) < rent.count {
            self.on_no_capacity(rent, fleet, catalog, now);
        } else if let Some(pool) = PoolKey::of_request(rent, catalog) {
            self.cloud.record_success(&pool);
        }
    }

    /// A pool has no more machines now: other pools are asked at once.
    pub(crate) fn on_no_capacity(
        &mut self,
        rent: &RentRequest,
        fleet: &Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        if let Some(pool) = PoolKey::of_request(rent, catalog) {
            self.cloud.record_refusal(rent, pool, fleet, catalog, now);
            self.request_pass();
        }
    }
}

impl CloudState {
    /// Begins the return of a machine.
    pub(crate) fn return_machine(&mut self, index: MachineIndex, reason: &str, fleet: &mut Fleet) {
        if let Some(machine) = fleet.machines.get_mut(&index)
            && !machine.terminating
        {
            tracing::info!(machine = %machine.name, reason, "returning machine");
            machine.terminating = true;
            self.queue_return(index);
        }
    }

    /// The list shows a machine: enters it, or updates what is known of it.
    fn on_listed(
        &mut self,
        listed: &ListedMachine,
        fleet: &mut Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        if self.is_returned(&listed.id) {
            return;
        }
        let type_index = catalog.index_of(&listed.type_name);
        let index = fleet.get_or_insert(&listed.id, &listed.zone, now);
        let Some(machine) = fleet.machines.get_mut(&index) else {
            return;
        };
        machine.addr = machine.addr.or_else(|| listed.addr.parse().ok());
        machine.listed_at = Some(now);
        if machine.type_index.is_none() {
            machine.type_index = type_index;
            machine.capacity = type_index.map(|t| catalog.capacity(t)).unwrap_or_default();
            machine.spot = listed.spot;
        }
        // A machine that was first known by its own heartbeat was rented before that.
        machine.rented_at = machine.rented_at.min(now - listed.age_s);
        match listed.state {
            MachineState::Booting => {}
            MachineState::Running => {
                machine.running_since.get_or_insert(now);
                if machine.last_contact_at.is_none() {
                    machine.direct_call_requested = true;
                    fleet.direct_call_queue.insert(index);
                }
            }
            MachineState::Failed => self.return_machine(index, "failed", fleet),
        }
    }
}
