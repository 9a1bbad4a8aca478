//! Rentals: chooses the machines to rent for demand that existing machines don't cover.

use super::MACHINES_PER_RENT_MAX;
use super::capacity_units::CapacityUnit;
use super::coverage::{ClassRequirements, ScalingPass, TASKS_EPSILON};
use super::demand::Demand;
use super::job_classes::JobClass;
use super::pools::{PoolKey, RentalKey};
use crate::fleet::MachineRole;
use crate::fleet::machine_catalog::MachineOption;
use crate::scheduler::attempt_limits::FreeCapacity;

/// A plan for more machines than this many requests is made of larger steps, so that the number of steps stays small.
const REQUESTS_PER_STEP_MAX: f64 = 64.0;
/// After this many steps in a pass, each further step takes all machines from one pool.
const SMALL_STEPS_PER_PASS_MAX: u32 = 4096;
/// The maximum number of units with machines to be rented that a pass keeps for the classes that follow. Those after them
/// rent machines of their own.
const RENTED_UNITS_MAX: u32 = 1024;

/// The steps in which the rentals of a pass are planned. They are few, however many machines and classes there are: all
/// of them are made in one turn of the event loop.
#[derive(Debug, Default)]
pub(super) struct RentalSteps {
    /// Steps of this pass.
    steps: u32,
    /// Units with machines to be rented that this pass has added.
    pub(super) rented_units: u32,
}

impl RentalSteps {
    /// The number of machines after which the next pool is chosen: those of one request to the cloud, or a share of a
    /// very large plan. `previous` is that of the step before for the same demand.
    fn next_batch(&mut self, machines_needed: f64, previous: u32) -> u32 {
        self.steps = self.steps.saturating_add(1);
        if self.steps > SMALL_STEPS_PER_PASS_MAX {
            return u32::MAX;
        }
        MACHINES_PER_RENT_MAX
            .max((machines_needed / REQUESTS_PER_STEP_MAX) as u32)
            .max(previous)
    }
}

/// A pool that machines could be rented from.
struct PoolOffer {
    pool: PoolKey,
    /// The price per hour of enough machines for all of the tasks.
    cost: f64,
    /// The number of machines in the pool, including those to be rented.
    machine_count: u32,
    tasks_per_machine: f64,
    /// How many more machines may be requested. None if the pool has no limit.
    rental_limit: Option<u32>,
}

/// Machines of a pool that are to be rented.
struct PlannedRental {
    offer: PoolOffer,
    role: MachineRole,
    machine_count: u32,
}

/// Uncovered demand of a class that machines are rented for.
struct RentalNeed {
    tasks: f64,
    /// The highest price per CPU. None if any price is acceptable.
    unit_price_limit: Option<f64>,
}

impl ScalingPass<'_> {
    /// Plans rentals for uncovered demand: at a low price while such machines are available, then at any price. If no
    /// pool is left, large tasks get machines that run small ones.
    pub(super) fn plan_rentals(
        &mut self,
        class: &JobClass,
        requirements: &ClassRequirements,
        uncovered: &mut Demand,
    ) {
        let mut batch = 0;
        loop {
            let low_price_only = uncovered.at_low_price > TASKS_EPSILON
                && uncovered.at_low_price > uncovered.at_any_price;
            let need = if low_price_only {
                RentalNeed {
                    tasks: uncovered.at_low_price,
                    unit_price_limit: Some(requirements.low_price_limit),
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
            match self.cheapest_pool(class, requirements, &need) {
                Some(offer) => {
                    let machines_needed = (need.tasks / offer.tasks_per_machine).ceil();
                    batch = self.rental_steps.next_batch(machines_needed, batch);
                    let limit = offer.rental_limit.unwrap_or(u32::MAX).min(batch);
                    let machine_count = machines_needed.min(f64::from(limit)) as u32;
                    let rental = PlannedRental {
                        offer,
                        role: requirements.role,
                        machine_count,
                    };
                    self.add_rentals(class, need.tasks, rental, uncovered);
                }
                None if low_price_only => uncovered.at_low_price = uncovered.at_any_price,
                None => {
                    if requirements.is_large() {
                        self.convert_small_units(class, requirements, uncovered);
                    }
                    return;
                }
            }
        }
    }

    /// Adds machines of a pool to the planned rentals, and subtracts what they cover from the demand for `tasks`.
    fn add_rentals(
        &mut self,
        class: &JobClass,
        tasks: f64,
        rental: PlannedRental,
        uncovered: &mut Demand,
    ) {
        let PlannedRental {
            offer,
            role,
            machine_count,
        } = rental;
        let tasks_on_each = offer.tasks_per_machine.min(tasks);
        uncovered.subtract(tasks_on_each * f64::from(machine_count));
        let pool = offer.pool;
        if self.rental_steps.rented_units < RENTED_UNITS_MAX {
            self.rental_steps.rented_units += 1;
            let capacity = self.inputs.catalog.capacity(pool.type_index);
            let empty = FreeCapacity::of_empty_machine(capacity);
            let free = empty.after(class.task_resources, tasks_on_each);
            self.add_rented_unit(&pool, role, machine_count, free);
        }
        let planned = self.rentals.entry(RentalKey { pool, role }).or_insert(0);
        *planned = planned.saturating_add(machine_count);
    }

    /// Adds machines to be rented to the units, so that the classes that follow can use what is left of them.
    fn add_rented_unit(
        &mut self,
        pool: &PoolKey,
        role: MachineRole,
        machine_count: u32,
        free: FreeCapacity,
    ) {
        let catalog = self.inputs.catalog;
        self.units.push(CapacityUnit {
            machine_index: None,
            machine_count,
            option: MachineOption {
                type_index: pool.type_index,
                spot: pool.spot,
            },
            zone: pool.zone.clone(),
            free,
            unit_price: catalog.unit_price(pool.type_index, pool.spot),
            used_share: 0.0,
            is_up: false,
            runs_large_tasks: false,
            runs_small_tasks: false,
            highest_priority: None,
            planned_role: Some(role),
        });
    }

    /// The pool in which machines for the need cost least, among those that may be asked for more machines. Of equally
    /// cheap pools, the one with the fewest machines is chosen. Partitioned zones are used only if the class can't use
    /// any other zone.
    fn cheapest_pool(
        &self,
        class: &JobClass,
        requirements: &ClassRequirements,
        need: &RentalNeed,
    ) -> Option<PoolOffer> {
        let has_reachable_zone = self.has_reachable_zone(class, requirements);
        let mut cheapest: Option<PoolOffer> = None;
        for option in &requirements.options {
            let MachineOption { type_index, spot } = *option;
            let machine_type = &self.inputs.catalog[type_index];
            let capacity = self.inputs.catalog.capacity(type_index);
            let empty = FreeCapacity::of_empty_machine(capacity);
            let tasks_per_machine = class.tasks_on(&empty);
            let unit_price = self.inputs.catalog.unit_price(type_index, spot);
            if tasks_per_machine < 1.0
                || need
                    .unit_price_limit
                    .is_some_and(|limit| unit_price > limit)
            {
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
                    || (has_reachable_zone && self.inputs.fleet.zones.is_zone_partitioned(zone))
                {
                    continue;
                }
                let pool = PoolKey {
                    type_index,
                    spot,
                    zone: zone.as_str().into(),
                };
                let offer = self.pool_offer(pool, cost, tasks_per_machine);
                if offer.rental_limit != Some(0)
                    && cheapest.as_ref().is_none_or(|other| {
                        (offer.cost, offer.machine_count) < (other.cost, other.machine_count)
                    })
                {
                    cheapest = Some(offer);
                }
            }
        }
        cheapest
    }

    /// Whether a class may use machines in a zone that is not partitioned.
    fn has_reachable_zone(&self, class: &JobClass, requirements: &ClassRequirements) -> bool {
        let is_partitioned = |zone: &str| self.inputs.fleet.zones.is_zone_partitioned(zone);
        requirements.options.iter().any(|option| {
            let mut zones = self.inputs.catalog[option.type_index].zones.iter();
            zones.any(|z| {
                !is_partitioned(z)
                    && class
                        .spec
                        .zone
                        .as_ref()
                        .is_none_or(|required| required == z)
            })
        })
    }

    fn pool_offer(&self, pool: PoolKey, cost: f64, tasks_per_machine: f64) -> PoolOffer {
        let planned = [MachineRole::Shared, MachineRole::Large]
            .into_iter()
            .filter_map(|role| {
                let pool = pool.clone();
                self.rentals.get(&RentalKey { pool, role })
            })
            .fold(0u32, |planned, count| planned.saturating_add(*count));
        let existing = self.pool_counts.get(&pool).copied().unwrap_or(0);
        let machine_count = existing.saturating_add(planned);
        let rental_limit = self
            .pool_backoffs
            .get(&pool)
            .and_then(|backoff| backoff.rental_limit(machine_count, planned, self.inputs.now));
        PoolOffer {
            pool,
            cost,
            machine_count,
            tasks_per_machine,
            rental_limit,
        }
    }
}
