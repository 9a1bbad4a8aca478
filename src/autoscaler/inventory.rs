//! Inventory: updates the fleet from the cloud's answers, and begins the return of machines.

use super::Autoscaler;
use super::cloud::CloudState;
use super::pools::PoolKey;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{Fleet, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::cloud::{ListedMachine, MachineState, RentRequest};
use crate::runtime::Time;

impl Autoscaler {
    /// Updates the fleet from a page of the machine list. `more` says whether further pages follow.
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

    /// Adds rented machines to the fleet, possibly fewer than requested. A machine that the fleet has already, because
    /// its worker made contact or the list showed it before this answer, only gets its role.
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
            let is_known = fleet.find(name).is_some();
            let index = fleet.get_or_insert(name, &rent.zone, now);
            if let Some(machine) = fleet.machines.get_mut(&index) {
                if !is_known {
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

    /// Records that a pool refused machines. The next pass is due at once, to rent from other pools.
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
    /// Begins the return of a machine, unless it is being returned already.
    pub(crate) fn return_machine(&mut self, index: MachineIndex, reason: &str, fleet: &mut Fleet) {
        if let Some(machine) = fleet.machines.get_mut(&index)
            && !machine.terminating
        {
            tracing::info!(machine = %machine.name, reason, "returning machine");
            machine.terminating = true;
            self.queue_return(index);
        }
    }

    /// Adds a listed machine to the fleet or updates it. Names of returned machines are ignored: the list lags behind.
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
        // A machine that became known by a heartbeat was rented before that.
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
