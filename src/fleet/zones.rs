//! Zones that the leader can't reach although it reaches others: partitions, and what follows from them.
//! Other controllers may answer the workers there, see [`Delegations`].

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;

use super::delegations::Delegations;
use super::machine_catalog::MachineCatalog;
use super::{Fleet, Machine};
use crate::protocol::store::{Change, Condition};
use crate::runtime::Time;

/// A zone of at least so many machines may count as partitioned.
const PARTITION_MACHINES_MIN: usize = 12;
/// It does if none of them made contact for so many heartbeat intervals.
const PARTITION_SILENCE_INTERVALS: f64 = 0.8;
/// The contact with a zone has ended its partition, or shows that others are reached, if it is at most this part of that
/// silence ago.
const RECENT_CONTACT_SHARE: f64 = 0.5;
/// A zone counts as partitioned for so many boot times after the last machines were there.
const PARTITION_HOLD_BOOT_TIMES: f64 = 2.0;
/// Silent machines of a partitioned zone are kept for so many boot times.
const PARTITIONED_MACHINE_BOOT_TIMES: f64 = 2.5;
/// So many machines of a zone with a delegation are called at once, to see whether its partition has ended.
const PROBED_MACHINES_MAX: usize = 3;

/// The state of the zones: contacts, partitions and delegations.
#[derive(Debug, Default)]
pub(crate) struct ZoneMonitor {
    /// When a machine of each zone last made contact.
    last_contact_at: HashMap<Rc<str>, Time>,
    /// Zones that count as partitioned, and until when if no contact ends it before: nothing is rented there.
    partitioned_until: HashMap<Rc<str>, Time>,
    /// When the last partition of each zone ended.
    partition_ended_at: HashMap<Rc<str>, Time>,
    /// When a delegate last relayed what it saw of a zone's tasks.
    last_relay_at: HashMap<Rc<str>, Time>,
    delegations: Delegations,
    /// Keys to be deleted from the store, as no controller reads them any more.
    obsolete_keys: Vec<String>,
}

impl ZoneMonitor {
    /// All zones reached; these keys of former leaders are to be deleted from the store.
    pub(crate) fn new(obsolete_keys: Vec<String>) -> Self {
        ZoneMonitor {
            obsolete_keys,
            ..ZoneMonitor::default()
        }
    }

    /// A machine of a zone made contact.
    pub(crate) fn record_contact(&mut self, zone: Rc<str>, now: Time) {
        self.last_contact_at.insert(zone, now);
    }

    /// A delegate relayed what it saw of a zone's tasks.
    pub(crate) fn record_relay(&mut self, zone: Rc<str>, now: Time) {
        self.last_relay_at.insert(zone, now);
    }

    /// Whether a zone counts as partitioned.
    pub(crate) fn is_zone_partitioned(&self, zone: &str) -> bool {
        self.partitioned_until.contains_key(zone)
    }

    /// Up to when a delegate may have answered a worker of a zone in this leader's name, as far as the
    /// worker's lease goes.
    pub(super) fn answered_until(&self, zone: &str, now: Time) -> Option<Time> {
        self.delegations.answered_until(zone, now)
    }

    /// Whether a delegation is to be written.
    pub(crate) fn has_pending_write(&self) -> bool {
        self.delegations.has_pending_write()
    }

    /// Adds at most `most` writes of delegations to a transaction; returns their zones.
    pub(crate) fn append_writes(
        &mut self,
        fencing_token: u64,
        most: usize,
        conditions: &mut Vec<Condition>,
        changes: &mut Vec<Change>,
    ) -> Vec<Rc<str>> {
        let mut zones = Vec::new();
        for write in self.delegations.take_writes(fencing_token, most) {
            conditions.push(write.condition);
            changes.push(write.change);
            zones.push(write.zone);
        }
        zones
    }

    /// The write of a zone's delegation was applied at a revision or, if none, was not applied.
    pub(crate) fn on_write_outcome(&mut self, zone: &str, revision: Option<u64>, now: Time) {
        self.delegations.on_write_outcome(zone, revision, now);
    }

    /// Breaks the guard that nothing is freed for silence where a delegate may answer.
    #[cfg(test)]
    pub(crate) fn forget_delegations(&mut self) {
        self.delegations.forget();
    }

    /// No controller reads this key any more: it is to be deleted.
    pub(crate) fn delete_obsolete(&mut self, key: String) {
        self.obsolete_keys.push(key);
    }

    /// At most `most` keys to be deleted.
    pub(crate) fn take_obsolete_keys(&mut self, most: usize) -> Vec<String> {
        let from = self.obsolete_keys.len().saturating_sub(most);
        self.obsolete_keys.split_off(from)
    }
}

impl Fleet {
    /// Finds zones that became partitioned, and those that no longer are; requests and revokes delegations. A zone of
    /// which no machine makes contact any more while others do is partitioned: what is rented there
    /// comes up and can't be reached either. Where there are many machines this shows long before any
    /// of them counts as lost.
    pub(crate) fn detect_partitions(&mut self, catalog: &MachineCatalog, now: Time) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let silent_s = heartbeat_interval_s * PARTITION_SILENCE_INTERVALS;
        let recent_s = silent_s * RECENT_CONTACT_SHARE;
        let until = now + catalog.longest_boot_s() * PARTITION_HOLD_BOOT_TIMES;
        self.begin_partitions(silent_s, recent_s, until, now);
        self.end_partitions(recent_s, now);
        let ZoneMonitor {
            delegations,
            partitioned_until,
            ..
        } = &mut self.zones;
        let is_partitioned = |zone: &str| partitioned_until.contains_key(zone);
        delegations.retain(is_partitioned, self.worker_lease_expiry_s, now);
        self.probe_partitioned_zones();
    }

    /// Machines in each zone that were there: up, listed as running, or holding attempts.
    fn machines_by_zone(&self) -> HashMap<Rc<str>, usize> {
        let mut zones: HashMap<Rc<str>, usize> = HashMap::new();
        for machine in self.machines.values() {
            if machine.last_contact_at.or(machine.running_since).is_some()
                || !machine.attempts.is_empty()
            {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Silent zones count as partitioned until `until`, if others made contact within `recent_s`.
    fn begin_partitions(&mut self, silent_s: f64, recent_s: f64, until: Time, now: Time) {
        let zones = self.machines_by_zone();
        let others_reached = self
            .zones
            .last_contact_at
            .values()
            .any(|at| self.silence_s(*at, now) < recent_s);
        for (zone, machines) in zones {
            let silent = self.zone_silence_s(&zone, now) > silent_s;
            if others_reached && silent && machines >= PARTITION_MACHINES_MIN {
                let partitioned_until = &mut self.zones.partitioned_until;
                if partitioned_until.insert(zone.clone(), until).is_none() {
                    tracing::info!(%zone, "zone partitioned");
                }
                self.zones.delegations.request(&zone, self.fencing_token);
            }
        }
    }

    /// Ends the partitions of zones of which a machine made contact within `recent_s`, and those that have lasted too long.
    fn end_partitions(&mut self, recent_s: f64, now: Time) {
        let partitioned: Vec<(Rc<str>, Time)> = self.zones.partitioned_until.drain().collect();
        for (zone, until) in partitioned {
            if until > now && self.zone_silence_s(&zone, now) > recent_s {
                self.zones.partitioned_until.insert(zone, until);
            } else {
                tracing::info!(%zone, "zone partition ended");
                self.zones.partition_ended_at.insert(zone, now);
            }
        }
    }

    /// For how many seconds no machine of a zone made contact.
    fn zone_silence_s(&self, zone: &Rc<str>, now: Time) -> f64 {
        let at = self.zones.last_contact_at.get(zone).copied();
        self.silence_s(
            at.unwrap_or(self.term_started_at).max(self.term_started_at),
            now,
        )
    }

    /// Whether a machine is in a zone that counts as partitioned.
    pub(crate) fn is_partitioned(&self, machine: &Machine) -> bool {
        self.zones.is_zone_partitioned(&machine.zone)
    }

    /// Whether a machine that is up has been silent for too long. Those of a partitioned zone are
    /// there again when the partition ends, sooner than others come up and fetch their images, if that
    /// doesn't last for long; then their workers need a moment to find the leader.
    pub(super) fn is_silent(&self, machine: &Machine, catalog: &MachineCatalog, now: Time) -> bool {
        let workers = &self.config.deployment.workers;
        let last = machine
            .last_heartbeat_or_first_contact()
            .unwrap_or(self.term_started_at);
        let ended_at = self.zones.partition_ended_at.get(&machine.zone);
        let mut limit_s = workers.heartbeat_interval_s * self.config.tunables.silent_reports;
        let mut since = last;
        if self.is_partitioned(machine) {
            let relayed = self.zones.last_relay_at.get(&machine.zone).copied();
            since = since.max(relayed.unwrap_or(last));
            let boot_s = machine.type_index.map(|t| catalog[t].boot_s);
            limit_s = limit_s.max(boot_s.map_or(0.0, |s| s * PARTITIONED_MACHINE_BOOT_TIMES));
        } else if let Some(ended_at) = ended_at.filter(|at| **at > last) {
            since = *ended_at;
            limit_s = limit_s.max(workers.lease_s);
        }
        self.silence_s(since, now) > limit_s
    }

    /// Wants direct calls to some machines of each zone with a delegation: their workers report to the delegate, and nothing
    /// else would show that the partition has ended.
    fn probe_partitioned_zones(&mut self) {
        let zones: Vec<Rc<str>> = self.zones.delegations.active_zones().cloned().collect();
        for zone in zones {
            let can_be_called = |machine: &Machine| {
                machine.zone == zone
                    && machine.addr.is_some()
                    && !machine.terminating
                    && !machine.direct_call_in_flight
            };
            // Those never called first, then those whose last call is longest ago.
            let mut order: Vec<_> = self
                .machines
                .iter()
                .filter(|(_, machine)| can_be_called(machine))
                .map(|(index, machine)| (machine.last_direct_call_at, *index))
                .collect();
            order.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
            for (_, index) in order.into_iter().take(PROBED_MACHINES_MAX) {
                self.request_direct_call(index);
            }
        }
    }
}
