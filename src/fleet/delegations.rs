//! Delegations: permissions for other controllers to answer the workers of a partitioned zone in the leader's name.
//!
//! A delegation is a record that the leader writes to the store, bound to its fencing token. It lets any controller
//! that a worker of the zone contacts (a delegate) answer the worker's heartbeat, provided that a store read which
//! began after the heartbeat arrived shows that the leader still leads and that the delegation is in force. Such an
//! answer carries no commands, but it renews the worker's lease.
//!
//! A renewal by a delegate doesn't endanger a later leader: its term begins after that read, hence after the heartbeat
//! was sent, and it waits a full lease expiry from the start of its term. The present leader releases no attempt in
//! that zone because of silence while a delegate may answer. This period begins when the leader requests the
//! delegation, which precedes the write to the store, and ends one lease expiry after the delegation was revoked.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::protocol::store::{Change, Condition};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::records::DelegationRecord;
use crate::store::transaction::put_change;

/// The state of a delegation's record in the store, as far as this leader knows.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DelegationState {
    /// No write of the record is known to have been applied.
    Unstored,
    /// The delegation is in force.
    Active {
        /// The revision of the record. The write that revokes the delegation is conditional on this revision.
        revision: u64,
    },
    /// The delegation is revoked.
    Revoked {
        /// When this leader learned that the write was applied.
        at: Time,
    },
}

/// The delegation of a zone.
#[derive(Debug)]
struct Delegation {
    key: String,
    /// The desired state: whether the delegation should be in force. Changes at most once, from true to false.
    wanted: bool,
    state: DelegationState,
    /// Whether a write of the record has not been answered yet.
    write_in_flight: bool,
}

impl Delegation {
    /// Returns whether the stored record differs from the desired state.
    fn needs_write(&self) -> bool {
        match self.state {
            DelegationState::Unstored => self.wanted,
            DelegationState::Active { .. } => !self.wanted,
            DelegationState::Revoked { .. } => false,
        }
    }

    /// Returns whether the delegation is in force and is to stay so.
    fn is_active(&self) -> bool {
        self.wanted && matches!(self.state, DelegationState::Active { .. })
    }

    /// Returns whether a delegate may have answered workers within the last `lease_expiry_s` seconds, or may still
    /// answer them. A delegation that was never sent to the store and is no longer wanted ends without a write.
    fn may_affect_leases(&self, lease_expiry_s: f64, now: Time) -> bool {
        match self.state {
            DelegationState::Unstored => self.wanted || self.write_in_flight,
            DelegationState::Active { .. } => true,
            DelegationState::Revoked { at } => now - at <= lease_expiry_s,
        }
    }
}

/// A conditional write that stores or revokes a zone's delegation.
pub(super) struct DelegationWrite {
    pub(super) zone: Rc<str>,
    pub(super) condition: Condition,
    pub(super) change: Change,
}

/// The delegations of this term of leadership, at most one per zone.
#[derive(Debug, Default)]
pub(super) struct Delegations {
    by_zone: BTreeMap<Rc<str>, Delegation>,
    /// The number of the latest delegation. The number makes each delegation's key unique within the term.
    last_number: u64,
}

impl Delegations {
    /// Returns the latest time at which a delegate may have answered a worker of a zone and so renewed the worker's
    /// lease. None if there is no delegation.
    pub(super) fn last_possible_answer(&self, zone: &str, now: Time) -> Option<Time> {
        let delegation = self.by_zone.get(zone)?;
        Some(match delegation.state {
            DelegationState::Revoked { at } => at,
            DelegationState::Unstored | DelegationState::Active { .. } => now,
        })
    }

    /// Requests a delegation for a zone, unless the zone has one that isn't revoked yet.
    pub(super) fn request(&mut self, zone: &Rc<str>, fencing_token: u64) {
        let is_revoked = |d: &Delegation| matches!(d.state, DelegationState::Revoked { .. });
        if self.by_zone.get(zone).is_none_or(is_revoked) {
            self.last_number += 1;
            let delegation = Delegation {
                key: keys::delegation(fencing_token, self.last_number),
                wanted: true,
                state: DelegationState::Unstored,
                write_in_flight: false,
            };
            self.by_zone.insert(zone.clone(), delegation);
        }
    }

    /// Revokes the delegations of zones that are no longer partitioned, and drops those that can no longer affect a
    /// worker's lease.
    pub(super) fn revoke_and_prune(
        &mut self,
        is_partitioned: impl Fn(&str) -> bool,
        lease_expiry_s: f64,
        now: Time,
    ) {
        self.by_zone.retain(|zone, delegation| {
            delegation.wanted &= is_partitioned(zone);
            delegation.may_affect_leases(lease_expiry_s, now)
        });
    }

    /// Returns the zones with a delegation in force that is to stay so.
    pub(super) fn active_zones(&self) -> impl Iterator<Item = &Rc<str>> {
        let delegations = self.by_zone.iter();
        delegations
            .filter(|(_, delegation)| delegation.is_active())
            .map(|(zone, _)| zone)
    }

    /// Returns at most `max_writes` writes that are due, and marks them as in flight.
    pub(super) fn take_writes(
        &mut self,
        fencing_token: u64,
        max_writes: usize,
    ) -> Vec<DelegationWrite> {
        let mut writes = Vec::new();
        for (zone, delegation) in &mut self.by_zone {
            if !delegation.needs_write() || delegation.write_in_flight || writes.len() >= max_writes
            {
                continue;
            }
            // A key is written at most twice and never deleted in this term. If a repeated copy of either write reaches
            // the store, its condition fails because the key's revision has changed.
            let record = DelegationRecord {
                fencing_token,
                zone: zone.to_string(),
                revoked: !delegation.wanted,
            };
            if let Some(change) = put_change(delegation.key.clone(), &record) {
                delegation.write_in_flight = true;
                let revision = match delegation.state {
                    DelegationState::Active { revision } => revision,
                    DelegationState::Unstored | DelegationState::Revoked { .. } => 0,
                };
                writes.push(DelegationWrite {
                    zone: zone.clone(),
                    condition: Condition {
                        key: delegation.key.clone(),
                        revision,
                    },
                    change,
                });
            }
        }
        writes
    }

    /// Returns whether the stored record of any delegation differs from its desired state.
    pub(super) fn has_pending_write(&self) -> bool {
        self.by_zone.values().any(Delegation::needs_write)
    }

    /// Records the outcome of a write of a zone's delegation: the revision at which it was applied, or None if it is
    /// known not to have been applied.
    pub(super) fn on_write_outcome(&mut self, zone: &str, revision: Option<u64>, now: Time) {
        let Some(delegation) = self.by_zone.get_mut(zone) else {
            return;
        };
        delegation.write_in_flight = false;
        let Some(revision) = revision else {
            return;
        };
        delegation.state = match delegation.state {
            DelegationState::Unstored => DelegationState::Active { revision },
            DelegationState::Active { .. } | DelegationState::Revoked { .. } => {
                DelegationState::Revoked { at: now }
            }
        };
    }

    /// Marks all delegations as revoked long ago. This disables the rule that no attempt is released because of silence
    /// where a delegate may answer, so that tests can show what the rule prevents.
    #[cfg(test)]
    pub(super) fn disable_delegation_guard(&mut self) {
        for delegation in self.by_zone.values_mut() {
            delegation.state = DelegationState::Revoked {
                at: f64::NEG_INFINITY,
            };
        }
    }
}
