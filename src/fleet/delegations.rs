//! Delegations: permissions for other controllers to answer the workers of a partitioned zone in the leader's name.
//!
//! A delegation is a record of the leader in the store, bound to its fencing token: any controller that a
//! worker of the zone turns to may answer its heartbeat, if the store shows, by a read begun after the
//! heartbeat arrived, that the leader still leads and the delegation is in force. Such an answer carries
//! no commands; it renews the worker's lease. A later leader's term began after that read, and so
//! after the heartbeat was sent, so it waits long enough in any case. The present leader frees nothing
//! for silence in that zone from before it asks the store for the delegation until a lease after the delegation was
//! revoked.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::protocol::store::{Change, Condition};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::records::DelegationRecord;
use crate::store::transaction::put_change;

/// What the store holds of a delegation.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DelegationState {
    /// Nothing is known to be stored.
    Unstored,
    /// It is in force; its key has this revision.
    Active { revision: u64 },
    /// It was known to be revoked at this moment.
    Revoked { at: Time },
}

/// The delegation of a zone.
#[derive(Debug)]
struct Delegation {
    key: String,
    /// Whether it should be in force; once it isn't wanted it never is again.
    wanted: bool,
    state: DelegationState,
    /// A write of it has not been answered yet.
    write_in_flight: bool,
}

impl Delegation {
    /// Whether what is stored of it isn't what is wanted.
    fn needs_write(&self) -> bool {
        match self.state {
            DelegationState::Unstored => self.wanted,
            DelegationState::Active { .. } => !self.wanted,
            DelegationState::Revoked { .. } => false,
        }
    }

    /// Whether it is in force and should be.
    fn is_active(&self) -> bool {
        self.wanted && matches!(self.state, DelegationState::Active { .. })
    }

    /// Whether a delegate may still have answered workers within the last `lease_s` seconds, or may yet. One that was
    /// never sent to the store ends without a write.
    fn matters(&self, lease_s: f64, now: Time) -> bool {
        match self.state {
            DelegationState::Unstored => self.wanted || self.write_in_flight,
            DelegationState::Active { .. } => true,
            DelegationState::Revoked { at } => now - at <= lease_s,
        }
    }
}

/// A write of a zone's delegation.
pub(super) struct DelegationWrite {
    pub(super) zone: Rc<str>,
    pub(super) condition: Condition,
    pub(super) change: Change,
}

/// The delegations of this term.
#[derive(Debug, Default)]
pub(super) struct Delegations {
    by_zone: BTreeMap<Rc<str>, Delegation>,
    /// The number of the latest, by which its key differs from those of the others.
    last_number: u64,
}

impl Delegations {
    /// Up to when a delegate may have answered a worker of a zone, as far as the
    /// worker's lease goes; none if there is no delegation.
    pub(super) fn answered_until(&self, zone: &str, now: Time) -> Option<Time> {
        let delegation = self.by_zone.get(zone)?;
        Some(match delegation.state {
            DelegationState::Revoked { at } => at,
            DelegationState::Unstored | DelegationState::Active { .. } => now,
        })
    }

    /// Wants a delegation for a zone, unless it has one that isn't revoked yet.
    pub(super) fn request(&mut self, zone: &Rc<str>, fencing_token: u64) {
        let revoked = |d: &Delegation| matches!(d.state, DelegationState::Revoked { .. });
        if self.by_zone.get(zone).is_none_or(revoked) {
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

    /// Revokes the delegations of zones that aren't partitioned any more, and drops those that don't matter any more.
    pub(super) fn retain(
        &mut self,
        is_partitioned: impl Fn(&str) -> bool,
        lease_s: f64,
        now: Time,
    ) {
        self.by_zone.retain(|zone, delegation| {
            delegation.wanted &= is_partitioned(zone);
            delegation.matters(lease_s, now)
        });
    }

    /// The zones with a delegation in force.
    pub(super) fn active_zones(&self) -> impl Iterator<Item = &Rc<str>> {
        let delegations = self.by_zone.iter();
        delegations
            .filter(|(_, delegation)| delegation.is_active())
            .map(|(zone, _)| zone)
    }

    /// At most `most` writes that are due.
    pub(super) fn take_writes(&mut self, fencing_token: u64, most: usize) -> Vec<DelegationWrite> {
        let mut writes = Vec::new();
        for (zone, delegation) in &mut self.by_zone {
            if !delegation.needs_write() || delegation.write_in_flight || writes.len() >= most {
                continue;
            }
            // A key is written twice at the most and never deleted in this term: a repeat of
            // either write finds it changed.
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

    /// Whether what is stored of any isn't what is wanted.
    pub(super) fn has_pending_write(&self) -> bool {
        self.by_zone.values().any(Delegation::needs_write)
    }

    /// The write of a zone's delegation was applied at a revision or, if none, was not applied.
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

    /// Breaks the guard that nothing is freed for silence where a delegate may answer.
    #[cfg(test)]
    pub(super) fn forget(&mut self) {
        for delegation in self.by_zone.values_mut() {
            delegation.state = DelegationState::Revoked {
                at: f64::NEG_INFINITY,
            };
        }
    }
}
