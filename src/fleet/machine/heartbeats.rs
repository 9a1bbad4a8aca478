//! What heartbeats say of a machine: its description, its worker's agent epoch, and whether the worker acknowledges this
//! leader's answers.

use super::{HeartbeatOrigin, Machine};
use crate::fleet::AttemptKey;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::protocol::workers::Heartbeat;
use crate::runtime::Time;

/// After so many heartbeats in a row that show no acknowledgement a worker counts as unresponsive.
const UNRESPONSIVE_AFTER_HEARTBEATS: u32 = 2;

impl Machine {
    /// Whether a heartbeat is the newest that is known of it.
    pub(crate) fn is_latest_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        (self.agent_epoch, self.sequence) == (heartbeat.agent_epoch, heartbeat.sequence)
    }

    /// Updates what a heartbeat says of the machine itself. A type that isn't in the catalog changes nothing.
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

    /// A heartbeat, new or not, that is answered 200 if it is a periodic one.
    pub(crate) fn record_acknowledgement(&mut self, origin: HeartbeatOrigin, now: Time) {
        self.was_acknowledged_before = self.last_acknowledged_at.is_some();
        if origin == HeartbeatOrigin::Periodic {
            self.last_acknowledged_at = Some(now);
        }
    }

    /// Whether a heartbeat is newer than all that are known.
    pub(crate) fn is_new_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Records a heartbeat that is newer than all before it.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) {
        if heartbeat.agent_epoch > self.agent_epoch {
            // Direct calls for an earlier agent epoch are refused from now on.
            self.attempts_not_to_reap.clear();
            for task_attempt in self.attempts.values_mut().filter(|a| a.in_doubt()) {
                task_attempt.direct_launch = None;
            }
        }
        if origin == HeartbeatOrigin::Periodic && self.was_acknowledged_before {
            self.track_acknowledgement(heartbeat, now);
        }
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

    /// A worker that receives the answers sends one heartbeat after the other here. One whose answers are
    /// lost tries other controllers in between, and in the end begins a new agent epoch with them.
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

    /// Its worker has seen this leader's fencing token in an agent epoch.
    pub(crate) fn record_fenced_epoch(&mut self, agent_epoch: u64) {
        self.fenced_epoch = self.fenced_epoch.max(Some(agent_epoch));
    }

    /// Its worker has seen this leader's fencing token in an agent epoch, as a delegate reports. Returns the attempts that are
    /// gone for it: if the worker had seen the token in an earlier epoch already, all that was placed
    /// there before is gone, and what was sent to it before is refused.
    ///
    /// Else nothing follows: what a former leader placed may be in that very epoch. A new leader that knew machines
    /// of a partition from the log alone once took their first epoch for a later one, and started all of their tasks
    /// elsewhere.
    pub(crate) fn on_relayed_epoch(&mut self, agent_epoch: u64) -> Vec<AttemptKey> {
        let earlier = self.fenced_epoch;
        self.record_fenced_epoch(agent_epoch);
        if earlier.is_none_or(|earlier| agent_epoch <= earlier) || agent_epoch <= self.agent_epoch {
            return Vec::new();
        }
        self.agent_epoch = agent_epoch;
        self.sequence = 0;
        self.attempts_not_to_reap.clear();
        self.attempts.keys().copied().collect()
    }
}
