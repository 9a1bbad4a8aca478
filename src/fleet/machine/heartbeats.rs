//! Updates of a machine from its worker's heartbeats: description, agent epoch, and whether the worker acknowledges
//! this leader's answers.

use super::{HeartbeatOrigin, Machine};
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{AttemptKey, NamedAttempt};
use crate::protocol::workers::Heartbeat;
use crate::runtime::Time;

/// A worker counts as unresponsive after this many consecutive periodic heartbeats that don't acknowledge an answer.
const UNRESPONSIVE_AFTER_HEARTBEATS: u32 = 2;

/// A worker counts as begun anew after this many heartbeats in a row that are older than the newest known.
const BEGUN_ANEW_HEARTBEATS: u32 = 3;

impl Machine {
    /// Returns whether a heartbeat is the newest known of this machine.
    pub(crate) fn is_latest_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        (self.agent_epoch, self.sequence) == (heartbeat.agent_epoch, heartbeat.sequence)
    }

    /// Updates the machine's address, zone, type and capacity from a heartbeat. An unknown type name leaves type and
    /// capacity unchanged.
    pub(crate) fn update_description(&mut self, heartbeat: &Heartbeat, catalog: &MachineCatalog) {
        self.addr = heartbeat.addr.parse().ok().or(self.addr);
        if *self.zone != *heartbeat.zone {
            self.zone = heartbeat.zone.as_str().into();
        }
        self.spot = heartbeat.spot;
        if let Some(type_index) = catalog.index_of(&heartbeat.type_name) {
            self.type_index = Some(type_index);
            self.capacity = catalog.capacity(type_index);
        }
    }

    /// Records that a heartbeat, new or not, is answered. Only the answer to a periodic one has status 200 and renews
    /// the worker's lease.
    pub(crate) fn record_acknowledgement(&mut self, origin: HeartbeatOrigin, now: Time) {
        self.was_acknowledged_before = self.last_acknowledged_at.is_some();
        if origin == HeartbeatOrigin::Periodic {
            self.last_acknowledged_at = Some(now);
        }
    }

    /// Returns whether a heartbeat is newer than all known ones.
    pub(crate) fn is_new_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Records a heartbeat that is newer than all known ones.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) {
        if heartbeat.agent_epoch > self.agent_epoch {
            // The worker rejects direct calls for an earlier agent epoch from now on, and copies of them.
            self.attempts_not_to_forget.clear();
            self.has_lost_attempts = false;
            self.direct_launches = 0;
            for task_attempt in self.attempts.values_mut() {
                task_attempt.direct_launch = None;
            }
        }
        if origin == HeartbeatOrigin::Periodic && self.was_acknowledged_before {
            self.track_acknowledgement(heartbeat, now);
        }
        self.last_old_heartbeat = None;
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence = heartbeat.sequence;
        self.fencing_token = self.fencing_token.max(heartbeat.fencing_token);
        self.last_contact_at = Some(now);
        self.first_contact_at.get_or_insert(now);
        if origin == HeartbeatOrigin::Periodic {
            self.last_heartbeat_at = Some(now);
        }
        self.preemption_at = heartbeat.preemption_notice_s.map(|s| now + s);
    }

    /// Records a heartbeat that is not newer than the newest known. Single ones are copies that arrive late. A worker whose
    /// heartbeats go on one by one from a lower number, with no newer one between them, has begun anew and has lost the
    /// attempts that it must not have forgotten.
    pub(crate) fn record_old_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let number = (heartbeat.agent_epoch, heartbeat.sequence);
        let goes_on = self
            .last_old_heartbeat
            .is_some_and(|(epoch, sequence)| (epoch, sequence.saturating_add(1)) == number);
        self.old_heartbeats_in_a_row = if goes_on {
            self.old_heartbeats_in_a_row.saturating_add(1)
        } else {
            1
        };
        self.last_old_heartbeat = Some(number);
        if self.old_heartbeats_in_a_row >= BEGUN_ANEW_HEARTBEATS
            && !self.attempts_not_to_forget.is_empty()
            && !self.has_lost_attempts
        {
            tracing::warn!(machine = %self.name, "worker began anew and lost exited attempts");
            self.has_lost_attempts = true;
        }
    }

    /// Compares the exited attempts that the worker must not have forgotten with those that a new heartbeat lists. A worker
    /// that lost them within its agent epoch would start them again on a copy of their direct launch.
    pub(crate) fn check_lost_attempts(&mut self, heartbeat: &Heartbeat) {
        let is_listed = |attempt: &NamedAttempt| {
            let mut tasks = heartbeat.tasks.iter();
            tasks.any(|t| t.attempt == attempt.attempt && t.task == attempt.task)
        };
        if !self.has_lost_attempts && !self.attempts_not_to_forget.iter().all(is_listed) {
            tracing::warn!(machine = %self.name, "worker lost exited attempts within its agent epoch");
            self.has_lost_attempts = true;
        }
    }

    /// Derives from the sequence number of a periodic heartbeat whether the worker receives this leader's answers. If
    /// it does, it sends all heartbeats here and the sequence has no gaps. If the answers are lost, the worker tries
    /// other controllers in between and finally begins a new agent epoch with them.
    fn track_acknowledgement(&mut self, heartbeat: &Heartbeat, now: Time) {
        let is_next =
            (heartbeat.agent_epoch, heartbeat.sequence) == (self.agent_epoch, self.sequence + 1);
        self.unacknowledged_heartbeats = if is_next {
            0
        } else {
            self.unacknowledged_heartbeats + 1
        };
        if self.unacknowledged_heartbeats < UNRESPONSIVE_AFTER_HEARTBEATS {
            self.unresponsive_since = None;
        } else {
            self.unresponsive_since.get_or_insert(now);
        }
    }

    /// Records that the worker has seen this leader's fencing token in an agent epoch.
    pub(crate) fn record_fenced_epoch(&mut self, agent_epoch: u64) {
        self.fenced_epoch = self.fenced_epoch.max(Some(agent_epoch));
    }

    /// Records a delegate's report that the worker has seen this leader's fencing token in an agent epoch. Returns the
    /// attempts that are gone because of it: if the worker had seen the token in an earlier epoch already, all attempts
    /// placed there before are gone, and it rejects all direct calls sent to it before.
    ///
    /// Without such an earlier epoch no attempt is known to be gone: attempts that a former leader placed may run in
    /// the reported epoch. A new leader knows the machines of a partitioned zone only from the assignment log. If it
    /// took the first reported epoch for a later one, it would launch all of their tasks a second time elsewhere.
    pub(crate) fn on_relayed_epoch(&mut self, agent_epoch: u64) -> Vec<AttemptKey> {
        let earlier_epoch = self.fenced_epoch;
        self.record_fenced_epoch(agent_epoch);
        if earlier_epoch.is_none_or(|earlier| agent_epoch <= earlier)
            || agent_epoch <= self.agent_epoch
        {
            return Vec::new();
        }
        self.agent_epoch = agent_epoch;
        self.sequence = 0;
        self.attempts_not_to_forget.clear();
        self.has_lost_attempts = false;
        self.direct_launches = 0;
        self.attempts.keys().copied().collect()
    }
}
