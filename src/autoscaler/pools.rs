//! Pools from which the cloud rents machines, and the backoff after a pool refused a request.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::MACHINES_PER_RENT_MAX;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{Fleet, MachineRole};
use crate::protocol::cloud::RentRequest;
use crate::runtime::Time;

/// The first backoff after a pool refused machines, in boot times.
const REFUSAL_BACKOFF_BOOT_TIMES: f64 = 0.3;
/// The longest backoff after a pool refused machines, in boot times.
const REFUSAL_BACKOFF_BOOT_TIMES_MAX: f64 = 0.8;

/// A pool: machines of one type in one zone, on demand or spot. The cloud limits its capacity per pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The machine type's index in the catalog.
    pub type_index: usize,
    /// Whether these are spot machines.
    pub spot: bool,
    /// The zone of the machines.
    pub zone: Rc<str>,
}

impl PoolKey {
    /// The pool that a request rents from. None if the catalog no longer has its machine type.
    pub(super) fn of_request(rent: &RentRequest, catalog: &MachineCatalog) -> Option<Self> {
        Some(PoolKey {
            type_index: catalog.index_of(&rent.type_name)?,
            spot: rent.spot,
            zone: rent.zone.as_str().into(),
        })
    }
}

/// The pool that machines are rented from, and the role that they are rented for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RentalKey {
    pub(super) pool: PoolKey,
    pub(super) role: MachineRole,
}

/// The number of machines to rent, by pool and role.
pub(super) type RentalPlan = BTreeMap<RentalKey, u32>;

/// The backoff of a pool that has refused machines.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolBackoff {
    /// When the backoff ends. Until then requests only replace machines that were lost since the refusal.
    backoff_until: Time,
    /// The duration of the last backoff in seconds. None once a request is served in full.
    backoff_s: Option<f64>,
    /// The number of machines in the pool at the last refusal.
    machines_at_refusal: u32,
}

impl PoolBackoff {
    /// Records that the pool refused machines, and doubles the backoff within its bounds. Without a boot time there is
    /// no backoff.
    pub(super) fn record_refusal(&mut self, boot_s: f64, machine_count: u32, now: Time) {
        let backoff_s = self
            .backoff_s
            .map_or(0.0, |backoff_s| backoff_s * 2.0)
            .max(boot_s * REFUSAL_BACKOFF_BOOT_TIMES)
            .min(boot_s * REFUSAL_BACKOFF_BOOT_TIMES_MAX);
        self.backoff_s = Some(backoff_s).filter(|backoff_s| *backoff_s > 0.0);
        self.backoff_until = now + backoff_s;
        self.machines_at_refusal = machine_count;
    }

    /// Records that a request was served in full: the next refusal starts with the first backoff again. A backoff that
    /// has not ended goes on.
    pub(super) fn record_success(&mut self) {
        self.backoff_s = None;
    }

    /// Whether the pool refused the last request or is in backoff.
    pub(super) fn is_exhausted(&self, now: Time) -> bool {
        self.backoff_until > now || self.backoff_s.is_some()
    }

    /// How many more machines may be requested. None if there is no limit. `machine_count` is the number of machines in
    /// the pool, including the `planned` ones that this pass is to rent.
    pub(super) fn rental_limit(&self, machine_count: u32, planned: u32, now: Time) -> Option<u32> {
        if self.backoff_until > now {
            return Some(self.machines_at_refusal.saturating_sub(machine_count));
        }
        // A single request tests whether the pool has machines again.
        self.backoff_s
            .map(|_| MACHINES_PER_RENT_MAX.saturating_sub(planned))
    }
}

/// The number of known machines in each pool.
pub(super) fn pool_counts(fleet: &Fleet) -> BTreeMap<PoolKey, u32> {
    let mut counts = BTreeMap::new();
    for machine in fleet.machines.values() {
        let Some(type_index) = machine.type_index else {
            continue;
        };
        let pool = PoolKey {
            type_index,
            spot: machine.spot,
            zone: machine.zone.clone(),
        };
        *counts.entry(pool).or_insert(0) += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
