//! Machines as one scaling pass sees them.

use std::cmp::Ordering;
use std::rc::Rc;

use super::ScalingInputs;
use crate::fleet::machine_catalog::MachineOption;
use crate::fleet::{Machine, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::users::Priority;
use crate::resources::Resources;

/// A machine as one scaling pass sees it: up, coming, or to be rented.
pub(crate) struct CapacityUnit {
    /// The machine, unless it is still to be rented.
    pub(crate) index: Option<MachineIndex>,
    /// Its type, and whether it is a spot machine.
    pub(super) option: MachineOption,
    pub(super) zone: Rc<str>,
    /// What is left of it for further classes.
    pub(super) free: Resources,
    /// What a CPU costs there.
    pub(super) unit_price: f64,
    /// The largest share of a resource that is in use now.
    pub(super) used_share: f64,
    /// Whether its worker has reported.
    pub(crate) up: bool,
    /// Whether a large task is or may be on it.
    pub(crate) runs_large_tasks: bool,
    /// Whether tasks are or may be on it, and none of them is large.
    pub(crate) runs_small_tasks: bool,
    /// The highest priority of what is on it.
    pub(super) highest_priority: Option<Priority>,
    /// The work that this pass keeps it for, if any.
    pub(crate) planned_role: Option<MachineRole>,
}

impl CapacityUnit {
    /// Whether this pass keeps it for large work.
    pub(crate) fn is_planned_for_large_tasks(&self) -> bool {
        self.planned_role == Some(MachineRole::Large)
    }

    /// The lowest price first, then machines that are up, then those in use most.
    fn preference(&self, other: &Self) -> Ordering {
        self.unit_price
            .total_cmp(&other.unit_price)
            .then(other.up.cmp(&self.up))
            .then(other.used_share.total_cmp(&self.used_share))
    }
}

impl ScalingInputs<'_> {
    /// The machines that are up or coming, in the order in which classes choose them.
    pub(super) fn capacity_units(&self) -> Vec<CapacityUnit> {
        let mut units: Vec<CapacityUnit> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| !m.terminating && !m.quarantined && m.preemption_at.is_none())
            .filter(|(_, m)| !self.fleet.is_partitioned(m))
            .filter_map(|(index, m)| self.capacity_unit(*index, m))
            .collect();
        units.sort_by(CapacityUnit::preference);
        units
    }

    /// A machine for one pass. None if its type is unknown, or if it should have come up long ago.
    fn capacity_unit(&self, index: MachineIndex, machine: &Machine) -> Option<CapacityUnit> {
        let tunables = &self.config.tunables;
        let type_index = machine.type_index?;
        let boot_limit_s = self.catalog[type_index].boot_s * tunables.late_boots;
        if !machine.is_up() && self.now - machine.rented_at > boot_limit_s {
            return None;
        }
        let capacity = self.catalog.capacity(type_index);
        let runs_large_tasks = machine.runs_large_task(tunables.large_share);
        let unfinished = machine.attempts.iter().filter(|(_, a)| !a.completed);
        Some(CapacityUnit {
            index: Some(index),
            option: MachineOption {
                type_index,
                spot: machine.spot,
            },
            zone: machine.zone.clone(),
            free: capacity,
            unit_price: self.catalog.unit_price(type_index, machine.spot),
            used_share: machine.used.largest_share(capacity),
            up: machine.is_up(),
            runs_large_tasks,
            runs_small_tasks: !machine.is_empty() && !runs_large_tasks,
            highest_priority: unfinished
                .map(|(key, _)| self.jobs[&key.job].spec.priority)
                .max(),
            planned_role: None,
        })
    }
}
