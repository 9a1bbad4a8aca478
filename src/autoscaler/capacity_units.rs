//! Capacity units: the machines that one scaling pass allocates to classes of jobs.

use std::cmp::Ordering;
use std::rc::Rc;

use super::ScalingInputs;
use crate::fleet::machine_catalog::MachineOption;
use crate::fleet::{Machine, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::users::Priority;
use crate::scheduler::attempt_limits::FreeCapacity;

/// A machine in one scaling pass: up, booting or to be rented. Equal machines to be rented are one unit.
#[derive(Clone)]
pub(crate) struct CapacityUnit {
    /// The machine's index. None if it is still to be rented.
    pub(crate) machine_index: Option<MachineIndex>,
    /// The number of machines, each with the amounts below: 1 unless they are still to be rented.
    pub(super) machine_count: u32,
    /// The machine type, and whether it is a spot machine.
    pub(super) option: MachineOption,
    pub(super) zone: Rc<str>,
    /// The capacity that this pass has not allocated yet. At the start of a pass that is the whole machine, whatever
    /// runs on it, but for the attempts that have completed and that its worker still lists.
    pub(super) free: FreeCapacity,
    /// The price per CPU and hour.
    pub(super) unit_price: f64,
    /// The dominant share of the resources that are in use now.
    pub(super) used_share: f64,
    /// Whether the machine's worker has made contact in this term.
    pub(crate) is_up: bool,
    /// Whether a large task runs or may run on the machine.
    pub(crate) runs_large_tasks: bool,
    /// Whether tasks run or may run on the machine, and none of them is large.
    pub(crate) runs_small_tasks: bool,
    /// The highest priority of the uncompleted attempts on the machine. None if there is no such attempt.
    pub(super) highest_priority: Option<Priority>,
    /// The role for which this pass has allocated the machine. None if no class needs it so far.
    pub(crate) planned_role: Option<MachineRole>,
}

impl CapacityUnit {
    /// Whether this pass has allocated the machine to large tasks.
    pub(crate) fn is_planned_for_large_tasks(&self) -> bool {
        self.planned_role == Some(MachineRole::Large)
    }

    /// Keeps the first `machine_count` machines and returns the others. None if there are no others.
    pub(super) fn split_off(&mut self, machine_count: u32) -> Option<Self> {
        let others = self.machine_count.saturating_sub(machine_count);
        if others == 0 {
            return None;
        }
        self.machine_count = machine_count;
        Some(CapacityUnit {
            machine_count: others,
            ..self.clone()
        })
    }

    /// The order of allocation: the lowest price first, then machines that are up, then the most used.
    fn preference(&self, other: &Self) -> Ordering {
        self.unit_price
            .total_cmp(&other.unit_price)
            .then(other.is_up.cmp(&self.is_up))
            .then(other.used_share.total_cmp(&self.used_share))
    }
}

impl ScalingInputs<'_> {
    /// The machines that are up or booting, in the order of allocation. Machines that can't take work are left out:
    /// those being returned, quarantined, about to be preempted, or in a partitioned zone.
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

    /// The capacity unit of a machine. None if the machine's type is unknown, or if it has been booting for too long to
    /// count as capacity, see [`Tunables::late_boots`](crate::config::Tunables::late_boots).
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
            machine_index: Some(index),
            machine_count: 1,
            option: MachineOption {
                type_index,
                spot: machine.spot,
            },
            zone: machine.zone.clone(),
            free: FreeCapacity {
                attempts: machine.free_attempts_without_unfinished(),
                ..FreeCapacity::of_empty_machine(capacity)
            },
            unit_price: self.catalog.unit_price(type_index, machine.spot),
            used_share: machine.used.largest_share(capacity),
            is_up: machine.is_up(),
            runs_large_tasks,
            runs_small_tasks: !machine.is_empty() && !runs_large_tasks,
            highest_priority: unfinished
                .map(|(key, _)| self.jobs[&key.job].spec.priority)
                .max(),
            planned_role: None,
        })
    }
}
