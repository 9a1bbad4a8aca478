//! Which machines are rented for what no machine serves that is there.

use super::MACHINES_PER_RENT_MAX;
use super::capacity_units::CapacityUnit;
use super::coverage::{ClassFit, ScalingPass, TASKS_EPSILON};
use super::demand::Demand;
use super::job_classes::JobClass;
use super::pools::{PoolKey, RentalKey};
use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::MachineOption;
use crate::resources::tasks_that_fit;

/// A pool of which machines are to be rented.
struct RentalChoice {
    pool: PoolKey,
    /// What machines for all of the tasks cost.
    cost: f64,
    /// Machines of the pool, those to be rented counted in.
    machines: u32,
    tasks_per_machine: f64,
    /// How many more machines may be requested, if that is limited.
    limit: Option<u32>,
}

/// Machines that are wanted for a class.
struct RentalNeed {
    /// For so many tasks.
    tasks: f64,
    /// What a CPU may cost, if that matters.
    unit_price_limit: Option<f64>,
}

impl ScalingPass<'_> {
    /// Rents machines for what is uncovered: at a low price as long as there are such, then at any.
    pub(super) fn rent_for(&mut self, class: &JobClass, fit: &ClassFit, uncovered: &mut Demand) {
        loop {
            let low_price_only = uncovered.at_low_price > TASKS_EPSILON
                && uncovered.at_low_price > uncovered.at_any_price;
            let need = if low_price_only {
                RentalNeed {
                    tasks: uncovered.at_low_price,
                    unit_price_limit: Some(fit.low_price_limit),
                }
            } else {
                RentalNeed {
                    tasks: uncovered.at_any_price.min(uncovered.rented_at_any_price),
                    unit_price_limit: None,
                }
            };
            if need.tasks <= TASKS_EPSILON {
                return;
            }
            match self.best_pool(class, fit, &need) {
                Some(choice) => self.rent_units(class, fit.role, need.tasks, choice, uncovered),
                None if low_price_only => uncovered.at_low_price = uncovered.at_any_price,
                None => {
                    if fit.is_large() {
                        self.convert_small_units(class, fit, uncovered);
                    }
                    return;
                }
            }
        }
    }

    /// Rents machines of a pool, for so many tasks or as many as may be requested.
    fn rent_units(
        &mut self,
        class: &JobClass,
        role: MachineRole,
        tasks: f64,
        choice: RentalChoice,
        uncovered: &mut Demand,
    ) {
        let limit = choice.limit.unwrap_or(u32::MAX).min(MACHINES_PER_RENT_MAX);
        let machines = (tasks / choice.tasks_per_machine)
            .ceil()
            .min(f64::from(limit)) as u32;
        let pool = choice.pool;
        let capacity = self.inputs.catalog.capacity(pool.type_index);
        let unit_price = self.inputs.catalog.unit_price(pool.type_index, pool.spot);
        let tasks_each = choice.tasks_per_machine.min(tasks);
        for _ in 0..machines {
            self.units.push(CapacityUnit {
                index: None,
                option: MachineOption {
                    type_index: pool.type_index,
                    spot: pool.spot,
                },
                zone: pool.zone.clone(),
                free: capacity.minus(class.task_resources.times(tasks_each)),
                unit_price,
                used_share: 0.0,
                up: false,
                runs_large_tasks: false,
                runs_small_tasks: false,
                highest_priority: None,
                planned_role: Some(role),
            });
            uncovered.subtract(tasks_each);
        }
        *self.rentals.entry(RentalKey { pool, role }).or_insert(0) += machines;
    }

    /// Where machines for so many tasks of a class cost least, among pools that have room as far as known.
    fn best_pool(
        &self,
        class: &JobClass,
        fit: &ClassFit,
        need: &RentalNeed,
    ) -> Option<RentalChoice> {
        let reachable_elsewhere = self.has_reachable_zone(class, fit);
        let mut best: Option<RentalChoice> = None;
        for option in &fit.options {
            let MachineOption { type_index, spot } = *option;
            let machine_type = &self.inputs.catalog[type_index];
            let capacity = self.inputs.catalog.capacity(type_index);
            let tasks_per_machine = tasks_that_fit(class.task_resources, capacity);
            let unit_price = self.inputs.catalog.unit_price(type_index, spot);
            if tasks_per_machine < 1.0 || need.unit_price_limit.is_some_and(|l| unit_price > l) {
                continue;
            }
            let price = if spot {
                machine_type.spot_price
            } else {
                machine_type.price
            };
            let cost = (need.tasks / tasks_per_machine).ceil() * price;
            for zone in &machine_type.zones {
                if class.spec.zone.as_ref().is_some_and(|z| z != zone)
                    || (reachable_elsewhere && self.inputs.fleet.zones.is_zone_partitioned(zone))
                {
                    continue;
                }
                let pool = PoolKey {
                    type_index,
                    spot,
                    zone: zone.as_str().into(),
                };
                let choice = self.rental_choice(pool, cost, tasks_per_machine);
                if choice.limit != Some(0)
                    && best
                        .as_ref()
                        .is_none_or(|b| (choice.cost, choice.machines) < (b.cost, b.machines))
                {
                    best = Some(choice);
                }
            }
        }
        best
    }

    /// Whether a class may use machines in a zone that is not partitioned.
    fn has_reachable_zone(&self, class: &JobClass, fit: &ClassFit) -> bool {
        let partitioned = |zone: &str| self.inputs.fleet.zones.is_zone_partitioned(zone);
        fit.options.iter().any(|option| {
            let mut zones = self.inputs.catalog[option.type_index].zones.iter();
            zones.any(|z| !partitioned(z) && class.spec.zone.as_ref().is_none_or(|only| only == z))
        })
    }

    fn rental_choice(&self, pool: PoolKey, cost: f64, tasks_per_machine: f64) -> RentalChoice {
        let planned: u32 = [MachineRole::Shared, MachineRole::Large]
            .into_iter()
            .filter_map(|role| {
                let pool = pool.clone();
                self.rentals.get(&RentalKey { pool, role })
            })
            .sum();
        let machines = self.pool_counts.get(&pool).copied().unwrap_or(0) + planned;
        let limit = self
            .pools
            .get(&pool)
            .and_then(|state| state.rental_limit(machines, planned, self.inputs.now));
        RentalChoice {
            pool,
            cost,
            machines,
            tasks_per_machine,
            limit,
        }
    }
}
