//! Partitions: zones that the leader can't reach although it reaches others. Other controllers may answer the workers
//! of a partitioned zone, see [`Delegations`].

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;

use super::delegations::Delegations;
use super::machine_catalog::MachineCatalog;
use super::{Fleet, Machine};
use crate::protocol::store::{Change, Condition};
use crate::runtime::Time;

/// A zone needs at least this many machines to count as partitioned.
const PARTITION_MACHINES_MIN: usize = 12;
/// A zone counts as partitioned if none of its machines made contact for this number of heartbeat intervals.
const PARTITION_SILENCE_INTERVALS: f64 = 0.8;
/// Maximum age of a recent contact with a zone, as a fraction of the silence that marks a zone as partitioned. A recent
/// contact ends the partition of its zone, and shows that a partition of another zone isn't a fault of the leader.
const RECENT_CONTACT_SHARE: f64 = 0.5;
/// A zone counts as partitioned for at most this number of boot times after it last met the conditions of a partition.
/// The longest boot time of any machine type counts.
const PARTITION_HOLD_BOOT_TIMES: f64 = 2.0;
/// Silent machines of a partitioned zone are kept for this number of boot times of their type.
const PARTITIONED_MACHINE_BOOT_TIMES: f64 = 2.5;
/// Number of machines of a zone with a delegation that are called at a time, to detect the end of the partition.
const PROBED_MACHINES_MAX: usize = 3;

/// The state of the zones: contacts, partitions and delegations.
#[derive(Debug, Default)]
pub(crate) struct ZoneMonitor {
    /// When any machine of a zone last made contact, by zone.
    last_contact_at: HashMap<Rc<str>, Time>,
    /// The partitioned zones, and when their partitions end at the latest if no contact ends them before. No machines
    /// are rented in these zones.
    partitioned_until: HashMap<Rc<str>, Time>,
    /// When the last partition of a zone ended, by zone.
    partition_ended_at: HashMap<Rc<str>, Time>,
    /// When a delegate last relayed the state of a zone's tasks, by zone.
    last_relay_at: HashMap<Rc<str>, Time>,
    delegations: Delegations,
}

impl ZoneMonitor {
    /// Records that a machine of a zone made contact.
    pub(crate) fn record_contact(&mut self, zone: Rc<str>, now: Time) {
        self.last_contact_at.insert(zone, now);
    }

    /// Records that a delegate relayed the state of a zone's tasks.
    pub(crate) fn record_relay(&mut self, zone: Rc<str>, now: Time) {
        self.last_relay_at.insert(zone, now);
    }

    /// Returns whether a zone counts as partitioned.
    pub(crate) fn is_zone_partitioned(&self, zone: &str) -> bool {
        self.partitioned_until.contains_key(zone)
    }

    /// Returns the latest time at which a delegate may have answered a worker of a zone in this leader's name and so
    /// renewed the worker's lease. None if there is no delegation.
    pub(super) fn last_possible_answer(&self, zone: &str, now: Time) -> Option<Time> {
        self.delegations.last_possible_answer(zone, now)
    }

    /// Returns whether a delegation is to be stored or revoked.
    pub(crate) fn has_pending_write(&self) -> bool {
        self.delegations.has_pending_write()
    }

    /// Adds at most `max_writes` writes of delegations to a transaction. Returns their zones.
    pub(crate) fn append_writes(
        &mut self,
        fencing_token: u64,
        max_writes: usize,
        conditions: &mut Vec<Condition>,
        changes: &mut Vec<Change>,
    ) -> Vec<Rc<str>> {
        let mut zones = Vec::new();
        for write in self.delegations.take_writes(fencing_token, max_writes) {
            conditions.push(write.condition);
            changes.push(write.change);
            zones.push(write.zone);
        }
        zones
    }

    /// Records the outcome of a write of a zone's delegation: the revision at which it was applied, or None if it is
    /// known not to have been applied.
    pub(crate) fn on_write_outcome(&mut self, zone: &str, revision: Option<u64>, now: Time) {
        self.delegations.on_write_outcome(zone, revision, now);
    }

    /// Disables the rule that no attempt is released because of silence where a delegate may answer, so that tests can
    /// show what the rule prevents.
    #[cfg(test)]
    pub(crate) fn disable_delegation_guard(&mut self) {
        self.delegations.disable_delegation_guard();
    }
}

impl Fleet {
    /// Detects zones that became partitioned or no longer are, and requests and revokes delegations accordingly.
    ///
    /// A zone counts as partitioned if none of its machines makes contact any more while machines of other zones do.
    /// Machines rented there would boot and be unreachable too. In a zone of many machines the partition is detected
    /// long before any of them counts as lost.
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
        delegations.revoke_and_prune(is_partitioned, self.worker_lease_expiry_s, now);
        self.probe_partitioned_zones();
    }

    /// Counts the machines of each zone that have made contact, were listed as running, or hold attempts.
    fn machine_counts_by_zone(&self) -> HashMap<Rc<str>, usize> {
        let mut counts: HashMap<Rc<str>, usize> = HashMap::new();
        for machine in self.machines.values() {
            if machine.last_contact_at.or(machine.running_since).is_some()
                || !machine.attempts.is_empty()
            {
                *counts.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Marks silent zones as partitioned until `until`, if some zone made contact within `recent_s` seconds.
    fn begin_partitions(&mut self, silent_s: f64, recent_s: f64, until: Time, now: Time) {
        let machine_counts = self.machine_counts_by_zone();
        let other_zones_reachable = self
            .zones
            .last_contact_at
            .values()
            .any(|at| self.silence_s(*at, now) < recent_s);
        for (zone, machine_count) in machine_counts {
            let is_silent = self.zone_silence_s(&zone, now) > silent_s;
            if other_zones_reachable && is_silent && machine_count >= PARTITION_MACHINES_MIN {
                let partitioned_until = &mut self.zones.partitioned_until;
                if partitioned_until.insert(zone.clone(), until).is_none() {
                    tracing::info!(%zone, "zone partitioned");
                }
                self.zones.delegations.request(&zone, self.fencing_token);
            }
        }
    }

    /// Ends the partitions of zones in which a machine made contact within `recent_s` seconds, and those whose time
    /// limit has passed.
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

    /// Returns for how many seconds no machine of a zone has made contact in this term.
    fn zone_silence_s(&self, zone: &Rc<str>, now: Time) -> f64 {
        let last_contact = self.zones.last_contact_at.get(zone).copied();
        self.silence_s(
            last_contact
                .unwrap_or(self.term_started_at)
                .max(self.term_started_at),
            now,
        )
    }

    /// Returns whether a machine is in a partitioned zone.
    pub(crate) fn is_partitioned(&self, machine: &Machine) -> bool {
        self.zones.is_zone_partitioned(&machine.zone)
    }

    /// Returns whether a machine that has made contact has been silent for too long.
    ///
    /// Machines in a partitioned zone have a longer limit: if the partition is short, they are reachable again sooner
    /// than replacements could boot and fetch their images. The relays of a delegate count as contact with all machines
    /// of the zone. After a partition has ended, their workers get at least the duration of a worker lease to find the
    /// leader.
    pub(super) fn is_silent(&self, machine: &Machine, catalog: &MachineCatalog, now: Time) -> bool {
        let workers = &self.config.deployment.workers;
        let last_contact = machine
            .last_heartbeat_or_first_contact()
            .unwrap_or(self.term_started_at);
        let ended_at = self.zones.partition_ended_at.get(&machine.zone);
        let mut limit_s = workers.heartbeat_interval_s * self.config.tunables.silent_reports;
        let mut silent_since = last_contact;
        if self.is_partitioned(machine) {
            let last_relay = self.zones.last_relay_at.get(&machine.zone).copied();
            silent_since = silent_since.max(last_relay.unwrap_or(last_contact));
            let boot_s = machine.type_index.map(|t| catalog[t].boot_s);
            limit_s = limit_s.max(boot_s.map_or(0.0, |s| s * PARTITIONED_MACHINE_BOOT_TIMES));
        } else if let Some(ended_at) = ended_at.filter(|at| **at > last_contact) {
            silent_since = *ended_at;
            limit_s = limit_s.max(workers.lease_s);
        }
        self.silence_s(silent_since, now) > limit_s
    }

    /// Requests direct calls to some machines of each zone with a delegation. Their workers send heartbeats to
    /// delegates, so nothing else would show that the partition has ended.
    fn probe_partitioned_zones(&mut self) {
        let zones: Vec<Rc<str>> = self.zones.delegations.active_zones().cloned().collect();
        for zone in zones {
            let can_be_called = |machine: &Machine| {
                machine.zone == zone
                    && machine.addr.is_some()
                    && !machine.terminating
                    && !machine.direct_call_in_flight
            };
            // Machines that were never called come first, then those with the oldest last call.
            let mut by_last_call: Vec<_> = self
                .machines
                .iter()
                .filter(|(_, machine)| can_be_called(machine))
                .map(|(index, machine)| (machine.last_direct_call_at, *index))
                .collect();
            by_last_call.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
            for (_, index) in by_last_call.into_iter().take(PROBED_MACHINES_MAX) {
                self.request_direct_call(index);
            }
        }
    }
}
