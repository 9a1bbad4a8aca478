//! Coverage: allocates machines to the demand of each class, first those that are up or booting, then rented ones.

use std::collections::BTreeMap;

use super::ScalingInputs;
use super::capacity_units::CapacityUnit;
use super::demand::Demand;
use super::job_classes::JobClass;
use super::pools::{PoolBackoff, PoolKey, RentalPlan, pool_counts};
use super::rentals::RentalSteps;
use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::MachineOption;

/// Machines are at a low price for a class if their price per CPU is at most this multiple of the lowest price per CPU
/// among the machine types that the class may use.
pub(super) const LOW_PRICE_RATIO: f64 = 1.6;
/// Demands of up to this many tasks are rounding errors.
pub(super) const TASKS_EPSILON: f64 = 1e-6;

/// The machines that a class may use.
pub(super) struct ClassRequirements {
    /// The machine types, on demand and as spot machines.
    pub(super) options: Vec<MachineOption>,
    /// The role of the machines that serve the class.
    pub(super) role: MachineRole,
    /// The highest price per CPU that counts as low for the class.
    pub(super) low_price_limit: f64,
}

impl ClassRequirements {
    pub(super) fn is_large(&self) -> bool {
        self.role == MachineRole::Large
    }

    /// Whether the class may use a machine, and this pass has not planned the machine for the other role.
    fn allows(&self, class: &JobClass, unit: &CapacityUnit) -> bool {
        let zone = class.spec.zone.as_ref();
        self.options.contains(&unit.option)
            && zone.is_none_or(|z| **z == *unit.zone)
            && unit.planned_role.is_none_or(|role| role == self.role)
    }

    /// The uncovered demand that the machines of a unit may serve at their price.
    fn demanded_tasks(&self, unit: &CapacityUnit, uncovered: &Demand) -> f64 {
        if unit.unit_price <= self.low_price_limit {
            uncovered.at_low_price
        } else {
            uncovered.at_any_price
        }
    }

    /// How many tasks of the uncovered demand a machine is allocated to; 0 if the demand or the machine has no more.
    fn tasks_for(&self, class: &JobClass, unit: &CapacityUnit, uncovered: &Demand) -> f64 {
        let demanded_tasks = self.demanded_tasks(unit, uncovered);
        let fitting_tasks = class.tasks_on(&unit.free);
        if demanded_tasks <= TASKS_EPSILON || fitting_tasks < 1.0 {
            return 0.0;
        }
        fitting_tasks.min(demanded_tasks)
    }

    /// Allocates the free capacity of a unit's machines to the class, up to its uncovered demand. If the machines are no
    /// longer equal, the unit keeps those at its front, and the others are returned: they are next to be allocated.
    fn allocate(
        &self,
        class: &JobClass,
        unit: &mut CapacityUnit,
        uncovered: &mut Demand,
    ) -> Option<CapacityUnit> {
        let tasks = self.tasks_for(class, unit, uncovered);
        if tasks <= 0.0 {
            return None;
        }
        let equal_machines = self.allocate_equally(unit, tasks, uncovered);
        let rest = unit.split_off(equal_machines);
        unit.free = unit.free.after(class.task_resources, tasks);
        unit.planned_role = Some(self.role);
        rest
    }

    /// Allocates `tasks` on each machine of a unit as long as the demand allows; returns on how many machines, at least
    /// one.
    fn allocate_equally(&self, unit: &CapacityUnit, tasks: f64, uncovered: &mut Demand) -> u32 {
        let demanded_tasks = self.demanded_tasks(unit, uncovered);
        // A cast to u32 saturates.
        let equal_machines = ((demanded_tasks / tasks) as u32).clamp(1, unit.machine_count.max(1));
        uncovered.subtract(tasks * f64::from(equal_machines));
        equal_machines
    }

    /// The round in which a class may use a machine. Machines that run tasks of the same size (large or small) come
    /// first, then empty ones, then, for large tasks, machines on which they would preempt small tasks. Small tasks may
    /// also use a machine with a large task, in the round of empty machines, if its used share is at most
    /// `large_share`. None if the class may use the machine in no round.
    fn allocation_round(
        &self,
        class: &JobClass,
        unit: &CapacityUnit,
        large_share: f64,
    ) -> Option<u8> {
        match (
            self.is_large(),
            unit.runs_large_tasks,
            unit.runs_small_tasks,
        ) {
            (true, true, _) | (false, false, true) => Some(0),
            (_, false, false) => Some(1),
            (true, false, true) if unit.highest_priority < Some(class.spec.priority) => Some(2),
            (false, true, _) if unit.used_share <= large_share => Some(1),
            _ => None,
        }
    }
}

/// The number of rounds in which a class is allocated machines, see [`ClassRequirements::allocation_round`].
const ALLOCATION_ROUNDS: u8 = 3;

/// The state of one scaling pass over all machines and classes.
pub(super) struct ScalingPass<'a> {
    pub(super) inputs: &'a ScalingInputs<'a>,
    /// The backoffs of the pools that have refused machines.
    pub(super) pool_backoffs: &'a BTreeMap<PoolKey, PoolBackoff>,
    /// The number of machines in each pool, without those to be rented.
    pub(super) pool_counts: BTreeMap<PoolKey, u32>,
    /// The machines, in the order in which they are allocated; those to be rented come last.
    pub(super) units: Vec<CapacityUnit>,
    /// The machines to be rented, by pool and role.
    pub(super) rentals: RentalPlan,
    pub(super) rental_steps: RentalSteps,
}

impl<'a> ScalingPass<'a> {
    /// A pass in which no machine is allocated yet.
    pub(super) fn new(
        inputs: &'a ScalingInputs<'a>,
        pool_backoffs: &'a BTreeMap<PoolKey, PoolBackoff>,
    ) -> Self {
        ScalingPass {
            inputs,
            pool_backoffs,
            pool_counts: pool_counts(inputs.fleet),
            units: inputs.capacity_units(),
            rentals: RentalPlan::new(),
            rental_steps: RentalSteps::default(),
        }
    }

    /// Covers the demand of a class with existing machines, then with rented ones. Returns the uncovered demand.
    pub(super) fn cover_demand(&mut self, class: &JobClass, demand: Demand) -> Demand {
        let mut uncovered = demand;
        let requirements = ClassRequirements {
            options: self.inputs.catalog.options(&class.spec),
            role: if self.inputs.is_large(class) {
                MachineRole::Large
            } else {
                MachineRole::Shared
            },
            low_price_limit: self.inputs.lowest_unit_price(&class.spec) * LOW_PRICE_RATIO,
        };
        self.allocate_existing(class, &requirements, &mut uncovered);
        self.plan_rentals(class, &requirements, &mut uncovered);
        uncovered
    }

    fn allocate_existing(
        &mut self,
        class: &JobClass,
        requirements: &ClassRequirements,
        uncovered: &mut Demand,
    ) {
        let large_share = self.inputs.config.tunables.large_share;
        for round in 0..ALLOCATION_ROUNDS {
            let mut position = 0;
            while let Some(unit) = self.units.get_mut(position) {
                if uncovered.is_covered() {
                    return;
                }
                position += 1;
                if requirements.allocation_round(class, unit, large_share) == Some(round)
                    && requirements.allows(class, unit)
                    && let Some(rest) = requirements.allocate(class, unit, uncovered)
                {
                    self.units.insert(position, rest);
                }
            }
        }
    }

    /// Allocates machines that run small tasks to a class of large tasks, the least used ones first. This is the last
    /// resort when no pool has machines left.
    pub(super) fn convert_small_units(
        &mut self,
        class: &JobClass,
        requirements: &ClassRequirements,
        uncovered: &mut Demand,
    ) {
        let units = &mut self.units;
        let mut order: Vec<usize> = (0..units.len()).collect();
        order.sort_by(|a, b| units[*a].used_share.total_cmp(&units[*b].used_share));
        for position in order {
            let unit = &mut units[position];
            if unit.runs_small_tasks && requirements.allows(class, unit) {
                requirements.allocate(class, unit, uncovered);
            }
        }
    }
}
