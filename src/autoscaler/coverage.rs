//! Which machines serve the work: those that are up or coming, then those to be rented.

use std::collections::BTreeMap;

use super::ScalingInputs;
use super::capacity_units::CapacityUnit;
use super::demand::Demand;
use super::job_classes::JobClass;
use super::pools::{Pool, PoolKey, RentalPlan, pool_counts};
use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::MachineOption;
use crate::resources::tasks_that_fit;

/// Machines are at a low price for a class if a CPU costs at most so many times what it costs on the cheapest machines
/// that the class may use.
pub(super) const LOW_PRICE_RATIO: f64 = 1.6;
/// Tasks, or parts of one, that are too little to need a machine: rounding errors.
pub(super) const TASKS_EPSILON: f64 = 1e-6;

/// What machines are to a class.
pub(super) struct ClassFit {
    /// What it may use.
    pub(super) options: Vec<MachineOption>,
    /// What machines must be kept for to serve it.
    pub(super) role: MachineRole,
    /// What a CPU may cost on machines at a low price.
    pub(super) low_price_limit: f64,
}

impl ClassFit {
    pub(super) fn is_large(&self) -> bool {
        self.role == MachineRole::Large
    }

    /// Whether the class may use a machine, and this pass doesn't keep it for the other role.
    fn suits(&self, class: &JobClass, unit: &CapacityUnit) -> bool {
        let zone = class.spec.zone.as_ref();
        self.options.contains(&unit.option)
            && zone.is_none_or(|z| **z == *unit.zone)
            && unit.planned_role.is_none_or(|role| role == self.role)
    }

    /// Gives the class what is left of a machine, as far as it demands it.
    fn assign(&self, class: &JobClass, unit: &mut CapacityUnit, uncovered: &mut Demand) {
        let need = if unit.unit_price <= self.low_price_limit {
            uncovered.at_low_price
        } else {
            uncovered.at_any_price
        };
        let fits = tasks_that_fit(class.task_resources, unit.free);
        if need <= TASKS_EPSILON || fits < 1.0 {
            return;
        }
        let tasks = fits.min(need);
        unit.free = unit.free.minus(class.task_resources.times(tasks));
        unit.planned_role = Some(self.role);
        uncovered.subtract(tasks);
    }

    /// In which round a class may use a machine: machines that do such work already come first, then free ones, then,
    /// for large work, those where it would preempt small tasks.
    fn round(&self, class: &JobClass, unit: &CapacityUnit, large_share: f64) -> Option<u8> {
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

/// Rounds in which a class looks for machines, see [`ClassFit::round`].
const ROUNDS: u8 = 3;

/// One pass over all machines and classes.
pub(super) struct ScalingPass<'a> {
    pub(super) inputs: &'a ScalingInputs<'a>,
    /// What is known of the pools that refused machines.
    pub(super) pools: &'a BTreeMap<PoolKey, Pool>,
    /// How many machines of each pool there are.
    pub(super) pool_counts: BTreeMap<PoolKey, u32>,
    /// The machines, in the order in which classes choose them; those to be rented last.
    pub(super) units: Vec<CapacityUnit>,
    /// What is to be rented.
    pub(super) rentals: RentalPlan,
}

impl<'a> ScalingPass<'a> {
    /// A pass that has given no machine to any class yet.
    pub(super) fn new(inputs: &'a ScalingInputs<'a>, pools: &'a BTreeMap<PoolKey, Pool>) -> Self {
        ScalingPass {
            inputs,
            pools,
            pool_counts: pool_counts(inputs.fleet),
            units: inputs.capacity_units(),
            rentals: RentalPlan::new(),
        }
    }

    /// Finds machines for the tasks of a class: those there are, then rented ones. Returns what it found none for.
    pub(super) fn cover_demand(&mut self, class: &JobClass, demand: Demand) -> Demand {
        let mut uncovered = demand;
        let fit = ClassFit {
            options: self.inputs.catalog.options(&class.spec),
            role: if self.inputs.is_large(class) {
                MachineRole::Large
            } else {
                MachineRole::Shared
            },
            low_price_limit: self.inputs.lowest_unit_price(&class.spec) * LOW_PRICE_RATIO,
        };
        self.assign_units(class, &fit, &mut uncovered);
        self.rent_for(class, &fit, &mut uncovered);
        uncovered
    }

    fn assign_units(&mut self, class: &JobClass, fit: &ClassFit, uncovered: &mut Demand) {
        let large_share = self.inputs.config.tunables.large_share;
        for round in 0..ROUNDS {
            for unit in &mut self.units {
                if fit.round(class, unit, large_share) == Some(round) && fit.suits(class, unit) {
                    fit.assign(class, unit, uncovered);
                }
            }
        }
    }

    /// Nothing more can be rented: the machines of small work that are in use least turn to large work.
    pub(super) fn convert_small_units(
        &mut self,
        class: &JobClass,
        fit: &ClassFit,
        uncovered: &mut Demand,
    ) {
        let units = &mut self.units;
        let mut order: Vec<usize> = (0..units.len()).collect();
        order.sort_by(|a, b| units[*a].used_share.total_cmp(&units[*b].used_share));
        for position in order {
            let unit = &mut units[position];
            if unit.runs_small_tasks && fit.suits(class, unit) {
                fit.assign(class, unit, uncovered);
            }
        }
    }
}
