//! Scale-in: which surplus machines are drained, evicted or returned.

use super::ScalingInputs;
use super::capacity_units::CapacityUnit;
use crate::fleet::Machine;
use crate::jobs::MachineIndex;

/// The tasks of surplus machines are evicted if they fit into this share of the free CPUs of needed machines.
const EVICTION_CAPACITY_SHARE: f64 = 0.5;
/// The shortest time that the cloud charges for a machine, in seconds.
const MINIMUM_CHARGE_S: f64 = 60.0;
/// The share of [`MINIMUM_CHARGE_S`] that must have passed before a machine is returned or its tasks are evicted.
const MINIMUM_CHARGE_USED_SHARE: f64 = 0.95;

/// Which machines are needed, and what to do with the others.
#[derive(Debug, Default)]
pub(crate) struct ScaleInPlan {
    /// Machines that some class needs.
    pub(crate) needed: Vec<MachineIndex>,
    /// Machines that no class needs. Those in the lists below are surplus too.
    pub(crate) surplus: Vec<MachineIndex>,
    /// Machines that get no new tasks, so that they become empty and can be returned.
    pub(crate) drain: Vec<MachineIndex>,
    /// Draining machines whose tasks save a checkpoint and continue on other machines.
    pub(crate) evict: Vec<MachineIndex>,
    /// Empty machines to return now.
    pub(crate) return_now: Vec<MachineIndex>,
}

impl ScalingInputs<'_> {
    /// Decides which machines are drained, evicted or returned: only machines that have been surplus for as long as
    /// idle machines are kept.
    pub(crate) fn scale_in_plan(&self, units: &[CapacityUnit]) -> ScaleInPlan {
        let mut plan = ScaleInPlan::default();
        let mut free_cpus = self.free_cpus_on_needed_machines(units) * EVICTION_CAPACITY_SHARE;
        for unit in units {
            let Some(index) = unit.machine_index else {
                continue;
            };
            let Some(machine) = self.fleet.machines.get(&index) else {
                continue;
            };
            if unit.planned_role.is_some() {
                plan.needed.push(index);
                continue;
            }
            plan.surplus.push(index);
            if !self.is_idle_time_over(machine, unit) {
                continue;
            }
            let is_minimum_charge_used =
                self.now - machine.rented_at > MINIMUM_CHARGE_S * MINIMUM_CHARGE_USED_SHARE;
            if machine.is_empty() {
                if is_minimum_charge_used && machine.attempts.is_empty() {
                    plan.return_now.push(index);
                }
                continue;
            }
            plan.drain.push(index);
            if is_minimum_charge_used
                && machine.used.cpus <= free_cpus
                && machine.can_evict_gracefully(self.jobs)
            {
                free_cpus -= machine.used.cpus;
                plan.evict.push(index);
            }
        }
        plan
    }

    /// The free CPUs on the machines that are up and needed for small tasks.
    fn free_cpus_on_needed_machines(&self, units: &[CapacityUnit]) -> f64 {
        let needed = units
            .iter()
            .filter(|u| u.planned_role.is_some() && u.is_up && !u.is_planned_for_large_tasks());
        needed
            .filter_map(|u| self.fleet.machines.get(&u.machine_index?))
            .map(|machine| (machine.capacity.cpus - machine.used.cpus).max(0.0))
            .sum::<f64>()
    }

    /// Whether a machine that is up has been surplus for as long as idle machines are kept, see
    /// [`Tunables::idle_ratio`](crate::config::Tunables::idle_ratio).
    fn is_idle_time_over(&self, machine: &Machine, unit: &CapacityUnit) -> bool {
        let since = machine.surplus_since.unwrap_or(self.now);
        let idle_s = self.catalog[unit.option.type_index].boot_s * self.config.tunables.idle_ratio;
        machine.is_up() && self.now - since >= idle_s
    }
}
