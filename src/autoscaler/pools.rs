//! Pools of machines that the cloud rents from, and what it has refused there.

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

/// Machines of one type in one zone, on demand or spot: what the cloud has room for or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The type's index in the catalog.
    pub type_index: usize,
    pub spot: bool,
    pub zone: Rc<str>,
}

impl PoolKey {
    /// The pool that a request rents from. None if its type isn't known any more.
    pub(super) fn of_request(rent: &RentRequest, catalog: &MachineCatalog) -> Option<Self> {
        Some(PoolKey {
            type_index: catalog.index_of(&rent.type_name)?,
            spot: rent.spot,
            zone: rent.zone.as_str().into(),
        })
    }
}

/// What machines are rented for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RentalKey {
    pub(super) pool: PoolKey,
    pub(super) role: MachineRole,
}

/// How many machines are to be rented.
pub(super) type RentalPlan = BTreeMap<RentalKey, u32>;

/// A pool that has refused machines.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Until when no more machines are requested than there were.
    refused_until: Time,
    /// The last backoff in seconds, until a request is served in full.
    backoff_s: Option<f64>,
    /// How many machines of it there were when it last refused.
    refused_at: u32,
}

impl Pool {
    /// The pool has no more machines now.
    pub(super) fn record_refusal(&mut self, boot_s: f64, machines: u32, now: Time) {
        let backoff_s = self
            .backoff_s
            .map_or(0.0, |backoff_s| backoff_s * 2.0)
            .max(boot_s * REFUSAL_BACKOFF_BOOT_TIMES)
            .min(boot_s * REFUSAL_BACKOFF_BOOT_TIMES_MAX);
        self.backoff_s = Some(backoff_s).filter(|backoff_s| *backoff_s > 0.0);
        self.refused_until = now + backoff_s;
        self.refused_at = machines;
    }

    /// A request was served in full.
    pub(super) fn record_success(&mut self) {
        self.backoff_s = None;
    }

    /// Whether it refused the last request, or is not asked for more machines now.
    pub(super) fn is_exhausted(&self, now: Time) -> bool {
        self.refused_until > now || self.backoff_s.is_some()
    }

    /// How many more machines may be requested, if that is limited, where there are so many of the pool and so many of
    /// them are planned in this pass.
    pub(super) fn rental_limit(&self, machines: u32, planned: u32, now: Time) -> Option<u32> {
        if self.refused_until > now {
            return Some(self.refused_at.saturating_sub(machines));
        }
        // One request shows whether it has room again.
        self.backoff_s
            .map(|_| MACHINES_PER_RENT_MAX.saturating_sub(planned))
    }
}

/// How many machines of each pool there are.
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
