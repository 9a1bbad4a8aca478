//! The placement rule PD-VMP (primal-dual virtual machine placement, Section V of the paper that docs/design.md
//! cites), as pure arithmetic: no input or output, no knowledge of jobs.
//!
//! Each machine has a dual price β that rises with its load. The cost of a task on a machine is (D/Q) β, where D/Q is
//! the reciprocal of the weight of the task's job. A task goes to the machine where its cost is least, and is refused
//! where the cost is 1 or more.

use crate::resources::Resources;
use crate::scheduler::attempt_limits::FreeCapacity;

/// The rule with its constants.
#[derive(Debug, Clone, Copy)]
pub struct PricingRule {
    /// φ: how slowly prices rise with load.
    phi: f64,
    /// The dominant share of a machine above which a task counts as large there.
    large_share: f64,
}

/// The load of a machine, and the price that the rule gives it.
#[derive(Debug, Clone, Copy)]
pub struct MachineLoad {
    /// The total resources of the machine.
    pub capacity: Resources,
    /// The resources that tasks take.
    pub used: Resources,
    /// The dual price β, dimensionless.
    pub price: f64,
    /// How many more tasks the machine may hold, whatever their resources.
    pub free_attempts: u32,
}

impl MachineLoad {
    /// The resources that no task takes.
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// How many more tasks of this demand the machine may get.
    pub(super) fn tasks_that_may_be_added(&self, demand: Resources) -> f64 {
        let free = FreeCapacity {
            total: self.capacity,
            resources: self.free(),
            attempts: self.free_attempts,
        };
        free.tasks(demand)
    }
}

impl PricingRule {
    /// Creates the rule with φ = J/ρ. J is 1: the lowest weight is 1, so D/Q is at most 1. `large_share` is the
    /// dominant share of a machine above which a task counts as large there.
    pub fn new(rho: f64, large_share: f64) -> PricingRule {
        PricingRule {
            phi: 1.0 / rho,
            large_share,
        }
    }

    /// Whether a task of this demand counts as large on a machine of this capacity.
    pub fn is_large(&self, demand: Resources, capacity: Resources) -> bool {
        demand.largest_share(capacity) > self.large_share
    }

    /// Computes the price of a machine from its dominant share alone, for a load whose history of placements is
    /// unknown.
    pub fn price_of_load(&self, dominant_share: f64) -> f64 {
        (dominant_share.exp() - 1.0) / self.phi
    }

    /// Computes the price after one more placement, which raises the dominant share by `share_increase`.
    pub fn price_after_placement(&self, price: f64, share_increase: f64) -> f64 {
        price * (1.0 + share_increase) + share_increase / self.phi
    }

    /// Ranks a machine for a task of this demand, whose job has this weight: the machine with the lowest rank is
    /// chosen. Returns None if the machine has too little free capacity, or if the task would cost 1 or more there.
    pub fn selection_rank(
        &self,
        demand: Resources,
        weight: f64,
        load: &MachineLoad,
    ) -> Option<f64> {
        let cost = load.price / weight;
        if !demand.fits(load.free()) || cost >= 1.0 {
            return None;
        }
        // Large tasks go to the fullest machine that they fit (best fit), all others to the cheapest. The rank of a
        // machine on which the task is large is at most -1, and so below all costs.
        Some(if self.is_large(demand, load.capacity) {
            -load.used.largest_share(load.capacity) - 1.0
        } else {
            cost
        })
    }

    /// Computes the load of a machine with one more task of this demand.
    pub fn load_with_task(&self, demand: Resources, load: &MachineLoad) -> MachineLoad {
        let used = load.used.plus(demand);
        let share_increase =
            used.largest_share(load.capacity) - load.used.largest_share(load.capacity);
        MachineLoad {
            used,
            price: self.price_after_placement(load.price, share_increase),
            free_attempts: load.free_attempts.saturating_sub(1),
            ..*load
        }
    }
}

#[cfg(test)]
pub(in crate::scheduler) mod tests;
