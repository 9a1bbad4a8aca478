//! Machines that nothing needs: which of them are drained, evicted or returned.

use super::ScalingInputs;
use super::capacity_units::CapacityUnit;
use crate::fleet::Machine;
use crate::jobs::MachineIndex;

/// The tasks of surplus machines are evicted if they fit into this share of the free CPUs of machines that stay.
const EVICTION_ROOM_SHARE: f64 = 0.5;
/// A machine is charged for at least this long, in seconds.
const CHARGED_S: f64 = 60.0;
/// A machine is not returned before this share of the shortest time that is charged has passed.
const CHARGED_SHARE: f64 = 0.95;

/// What becomes of machines that no class needs.
#[derive(Debug, Default)]
pub(crate) struct ScaleInPlan {
    /// Machines that some class needs.
    pub(crate) needed: Vec<MachineIndex>,
    /// Machines that none needs.
    pub(crate) surplus: Vec<MachineIndex>,
    /// Machines of these that get nothing new, so that they can be returned.
    pub(crate) drain: Vec<MachineIndex>,
    /// Machines of these whose tasks are to go on elsewhere.
    pub(crate) evict: Vec<MachineIndex>,
    /// Machines that are to be returned now.
    pub(crate) return_now: Vec<MachineIndex>,
}

impl ScalingInputs<'_> {
    /// Decides which machines that have not been needed for a while are drained, evicted or returned.
    pub(crate) fn scale_in_plan(&self, units: &[CapacityUnit]) -> ScaleInPlan {
        let mut plan = ScaleInPlan::default();
        let mut free_cpus = self.free_cpus_that_stay(units) * EVICTION_ROOM_SHARE;
        for unit in units {
            let Some(index) = unit.index else { continue };
            let Some(machine) = self.fleet.machines.get(&index) else {
                continue;
            };
            if unit.planned_role.is_some() {
                plan.needed.push(index);
                continue;
            }
            plan.surplus.push(index);
            if !self.is_surplus_for_long(machine, unit) {
                continue;
            }
            let paid = self.now - machine.rented_at > CHARGED_S * CHARGED_SHARE;
            if machine.is_empty() {
                if paid && machine.attempts.is_empty() {
                    plan.return_now.push(index);
                }
                continue;
            }
            plan.drain.push(index);
            if paid && machine.used.cpus <= free_cpus && machine.can_evict_gracefully(self.jobs) {
                free_cpus -= machine.used.cpus;
                plan.evict.push(index);
            }
        }
        plan
    }

    /// CPUs that are free on machines for small work that stay.
    fn free_cpus_that_stay(&self, units: &[CapacityUnit]) -> f64 {
        let stay = units
            .iter()
            .filter(|u| u.planned_role.is_some() && u.up && !u.is_planned_for_large_tasks());
        stay.filter_map(|u| self.fleet.machines.get(&u.index?))
            .map(|machine| (machine.capacity.cpus - machine.used.cpus).max(0.0))
            .sum::<f64>()
    }

    fn is_surplus_for_long(&self, machine: &Machine, unit: &CapacityUnit) -> bool {
        let since = machine.surplus_since.unwrap_or(self.now);
        let kept_s = self.catalog[unit.option.type_index].boot_s * self.config.tunables.idle_ratio;
        machine.is_up() && self.now - since >= kept_s
    }
}
