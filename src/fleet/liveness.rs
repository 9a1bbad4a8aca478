//! Liveness of machines: silence, overdue heartbeats, unresponsive workers, lost machines, and attempts whose
//! worker's lease has expired for certain.

use super::machine_catalog::MachineCatalog;
use super::{AttemptKey, Fleet, Machine};
use crate::jobs::MachineIndex;
use crate::runtime::{ProcessPause, Time};

/// Number of heartbeat intervals after which a heartbeat is overdue. The machine then gets no new work.
const OVERDUE_INTERVALS: f64 = 2.0;
/// If at least this many workers, and more than half of all, don't acknowledge the leader's answers, the fault is taken
/// to be the leader's and not theirs.
const UNACKNOWLEDGING_MACHINES_MIN: usize = 3;
/// If most machines are silent at once, this controller is taken to be partitioned, but not for longer than this
/// multiple of [`Fleet::worker_lease_expiry_s`]. After that, silent machines count as lost all the same, as long as
/// some machine makes contact.
const UNTRUSTED_SILENCE_LEASE_EXPIRIES: f64 = 2.0;
/// If no worker at all makes contact for this number of heartbeat intervals, the leader may be partitioned: with two or
/// more live machines some worker makes contact more often.
const CONTACT_GAP_MAX_INTERVALS: f64 = 0.6;

/// Evidence on why some machines are silent: because they failed, or because this controller is partitioned. Derived
/// from the contacts of all machines outside of partitioned zones.
pub(crate) struct SilenceEvidence {
    /// Silence after which a machine counts as lost, in seconds.
    silence_limit_s: f64,
    /// Number of machines that made contact within that time.
    live_machines: usize,
    /// Whether enough machines make contact to assume that this controller is not partitioned. Only then does the
    /// silence of a machine show a fault of that machine.
    pub(crate) controller_is_connected: bool,
    /// Whether most workers don't acknowledge this leader's answers.
    mostly_unacknowledged: bool,
}

impl Fleet {
    /// Records that some worker made contact at `now`.
    pub(crate) fn record_worker_contact(&mut self, now: Time) {
        self.last_worker_contact = now;
    }

    /// Returns when any worker last made contact, or when the term began if none has.
    pub(crate) fn last_worker_contact(&self) -> Time {
        self.last_worker_contact
    }

    /// Records a pause of this process. Messages that it didn't receive meanwhile are not counted as silence of
    /// machines.
    pub(crate) fn record_pause(&mut self, pause: ProcessPause) {
        self.pause = pause;
    }

    /// Returns the silence, in seconds, of a machine or zone that last made contact at `last_contact`, without the part
    /// during which this process was paused.
    pub(crate) fn silence_s(&self, last_contact: Time, now: Time) -> f64 {
        let own_pause_s = if last_contact < self.pause.until {
            self.pause.length_s.min(self.pause.until - last_contact)
        } else {
            0.0
        };
        now - last_contact - own_pause_s
    }

    /// Returns whether a machine's periodic heartbeat is overdue. Until its first periodic heartbeat of the term, its
    /// first contact counts instead, usually the answer to a direct call: a new leader can thus use the machines that
    /// it has called without waiting for their heartbeats.
    pub(crate) fn is_heartbeat_overdue(&self, machine: &Machine, now: Time) -> bool {
        let limit_s = self.config.deployment.workers.heartbeat_interval_s * OVERDUE_INTERVALS;
        machine
            .last_heartbeat_or_first_contact()
            .is_none_or(|at| now - at >= limit_s)
    }

    /// Returns whether most workers don't acknowledge the answers of this leader, which then should step down.
    pub fn is_unacknowledged_by_workers(&self) -> bool {
        let up_machines = self.machines.values().filter(|machine| machine.is_up());
        let (unresponsive, total) = up_machines.fold((0, 0), |(unresponsive, total), machine| {
            let is_unresponsive = usize::from(machine.unresponsive_since.is_some());
            (unresponsive + is_unresponsive, total + 1)
        });
        unresponsive >= UNACKNOWLEDGING_MACHINES_MIN && unresponsive * 2 > total
    }

    /// Returns for how many seconds after its placement an attempt that is to be stopped may have a launch in doubt.
    /// After that the machine is returned and its worker's lease is not renewed. The limit leaves enough of `cancel_s`
    /// for the worker's lease to expire within it, even if the leader changes meanwhile.
    pub(crate) fn in_doubt_limit_s(&self) -> f64 {
        let workers = &self.config.deployment.workers;
        let remaining_s =
            workers.cancel_s - self.worker_lease_expiry_s - self.config.leader_lease_s();
        (workers.heartbeat_interval_s * self.config.tunables.silent_reports).min(remaining_s)
    }

    /// Returns whether the lease of a machine's worker must not be renewed: a direct launch of an attempt that must not
    /// run any more may still be executed there, or executed once more, however late. The machine is being returned, but the cloud may not
    /// answer.
    pub fn must_let_lease_expire(&self, machine: &str, now: Time) -> bool {
        let limit_s = self.in_doubt_limit_s();
        self.find(machine)
            .and_then(|index| self.machines.get(&index))
            .is_some_and(|machine| {
                machine.has_lost_attempts || machine.has_launch_in_doubt(now, limit_s)
            })
    }

    /// Returns the attempts that are certain not to run: all attempts on machines whose worker's lease has expired. On
    /// overdue or unresponsive machines also the attempts that were never launched: they can be placed elsewhere
    /// without waiting for the lease to expire.
    pub(crate) fn expired_attempts(&self, now: Time) -> Vec<(MachineIndex, AttemptKey)> {
        let mut expired = Vec::new();
        for (index, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.attempts.is_empty())
        {
            if now - self.latest_lease_start(machine, now) > self.worker_lease_expiry_s {
                expired.extend(machine.attempts.keys().map(|key| (*index, *key)));
            } else if self.is_heartbeat_overdue(machine, now)
                || machine.unresponsive_since.is_some()
            {
                let unsent = machine.attempts.iter().filter(|(_, a)| a.is_unsent());
                expired.extend(unsent.map(|(key, _)| (*index, *key)));
            }
        }
        expired
    }

    /// Returns the latest time at which the present lease of a machine's worker may have started.
    fn latest_lease_start(&self, machine: &Machine, now: Time) -> Time {
        // A worker that answered only direct calls may have begun its agent epoch, and with it a lease, just before the
        // last of them.
        let latest_contact = [machine.last_acknowledged_at, machine.last_contact_at]
            .into_iter()
            .flatten()
            .fold(self.term_started_at, f64::max);
        // Delegates may have renewed the lease in this leader's name.
        let latest_delegated = self.zones.last_possible_answer(&machine.zone, now);
        latest_delegated.map_or(latest_contact, |at| latest_contact.max(at))
    }

    /// Evaluates the contacts of all machines outside of partitioned zones.
    pub(crate) fn silence_evidence(&self, now: Time) -> SilenceEvidence {
        let interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let silence_limit_s = interval_s * self.config.tunables.silent_reports;
        let up_machines = || {
            let machines = self.machines.values();
            machines.filter(|machine| machine.is_up() && !self.is_partitioned(machine))
        };
        let live_machines = up_machines()
            .filter(|machine| {
                machine
                    .last_heartbeat_or_first_contact()
                    .is_some_and(|at| self.silence_s(at, now) < silence_limit_s)
            })
            .count();
        // If fewer than half of the machines make contact, a partition of this controller is more likely than a failure
        // of all silent machines. Then only the expiry of the workers' leases counts.
        let controller_is_connected = live_machines * 2 >= up_machines().count()
            && (live_machines < 2
                || now - self.last_worker_contact() < interval_s * CONTACT_GAP_MAX_INTERVALS);
        SilenceEvidence {
            silence_limit_s,
            live_machines,
            controller_is_connected,
            mostly_unacknowledged: self.is_unacknowledged_by_workers(),
        }
    }

    /// Returns whether a machine is to be returned as lost: it is quarantined and its running tasks have completed or
    /// had time to complete, it has a launch in doubt for too long, it is silent or unresponsive, or it never came up.
    pub(crate) fn is_lost(
        &self,
        machine: &Machine,
        catalog: &MachineCatalog,
        evidence: &SilenceEvidence,
        now: Time,
    ) -> bool {
        let lease_s = self.config.deployment.workers.lease_s;
        let is_silent_since = |since| self.silence_s(since, now) > evidence.silence_limit_s;
        if machine.quarantined {
            // Its running tasks may complete until one worker lease after the end of its backoff.
            let mut attempts = machine.attempts.values();
            return attempts.all(|a| a.completed || a.running_since.is_none())
                || now - machine.backoff_until > lease_s;
        }
        if machine.has_lost_attempts || machine.has_launch_in_doubt(now, self.in_doubt_limit_s()) {
            return true;
        }
        if let Some(since) = machine.unresponsive_since {
            // Its worker's lease is not renewed any more, so the tasks on the machine end when it expires.
            return evidence.controller_is_connected
                && !evidence.mostly_unacknowledged
                && is_silent_since(since);
        }
        if self.is_partitioned(machine) && machine.is_only_stopping() {
            // A failed gang can't be placed again before all of its tasks are off their machines, so the machine isn't
            // kept until the partition ends.
            return evidence.controller_is_connected;
        }
        if machine.is_up() {
            // If most of a fleet dies at once, the few machines that are left never make the evidence trusted again,
            // and without this limit the dead machines would never be replaced.
            let last_contact = machine
                .last_heartbeat_or_first_contact()
                .unwrap_or(self.term_started_at);
            let exceeds_untrusted_limit = evidence.live_machines > 0
                && self.silence_s(last_contact, now)
                    > self.worker_lease_expiry_s * UNTRUSTED_SILENCE_LEASE_EXPIRIES;
            return (evidence.controller_is_connected || exceeds_untrusted_limit)
                && self.is_silent(machine, catalog, now);
        }
        if let Some(running_since) = machine.running_since {
            return evidence.controller_is_connected
                && is_silent_since(running_since.max(self.term_started_at));
        }
        if machine.listed_at.is_some() || machine.type_index.is_some() {
            let boot_s = machine.type_index.map_or(lease_s, |t| catalog[t].boot_s);
            return now - machine.rented_at > boot_s * self.config.tunables.lost_boots;
        }
        // The machine is known only from the records of a former leader.
        evidence.controller_is_connected && is_silent_since(self.term_started_at)
    }
}
