//! Which machines are alive: silence, overdue heartbeats, workers that don't acknowledge, machines that count as lost,
//! and attempts whose worker's lease has surely expired.

use super::machine_catalog::MachineCatalog;
use super::{AttemptKey, Fleet, Machine};
use crate::jobs::MachineIndex;
use crate::runtime::{ProcessPause, Time};

/// Heartbeat intervals after which a heartbeat is overdue; a silent machine gets no new work from then on.
const OVERDUE_INTERVALS: f64 = 2.0;
/// If at least so many machines, and most of all, don't acknowledge, the fault is with the leader and not with them.
const UNACKNOWLEDGING_MACHINES_MIN: usize = 3;
/// Most machines' silence at once is taken for this controller's own fault for at most so many times the silence
/// after which a worker has surely ended its tasks.
const DISTRUSTED_SILENCE_LIMIT: f64 = 2.0;
/// Some worker makes contact with a leader at least once in so many heartbeat intervals; if none does, the leader may be
/// partitioned.
const CONTACT_GAP_INTERVALS: f64 = 0.6;

/// How far the silence of machines may be taken for their own.
pub(crate) struct SilenceEvidence {
    /// Silence after which a machine counts as lost, in seconds.
    limit_s: f64,
    /// How many machines made contact within that time.
    live_machines: usize,
    /// Enough machines make contact: the silence of the others is not this controller's own.
    pub(crate) trusted: bool,
    /// Hardly any worker acknowledges what this leader answers.
    unacknowledged: bool,
}

impl Fleet {
    /// A worker made contact at this moment.
    pub(crate) fn record_worker_contact(&mut self, now: Time) {
        self.last_worker_contact = now;
    }

    /// When any worker last made contact.
    pub(crate) fn last_worker_contact(&self) -> Time {
        self.last_worker_contact
    }

    /// This process was paused: what it did not receive meanwhile is no silence of the machines.
    pub(crate) fn record_pause(&mut self, pause: ProcessPause) {
        self.pause = pause;
    }

    /// The silence, in seconds, of a machine or zone that last made contact at `last_contact`, less this process's own
    /// pause.
    pub(crate) fn silence_s(&self, last_contact: Time, now: Time) -> f64 {
        let own = if last_contact < self.pause.until {
            self.pause.length_s.min(self.pause.until - last_contact)
        } else {
            0.0
        };
        now - last_contact - own
    }

    /// Whether a machine's heartbeat is overdue. An answer to a direct
    /// call counts only as long as its first heartbeat may still come: after a change of leader the
    /// machines that were called can be used at once.
    pub(crate) fn is_heartbeat_overdue(&self, machine: &Machine, now: Time) -> bool {
        let limit_s = self.config.deployment.workers.heartbeat_interval_s * OVERDUE_INTERVALS;
        machine
            .last_heartbeat_or_first_contact()
            .is_none_or(|at| now - at >= limit_s)
    }

    /// Whether hardly any worker acknowledges the answers of this leader.
    pub fn is_unacknowledged_by_workers(&self) -> bool {
        let up = self.machines.values().filter(|machine| machine.is_up());
        let (unresponsive, all) = up.fold((0, 0), |(unresponsive, all), machine| {
            let counted = usize::from(machine.unresponsive_since.is_some());
            (unresponsive + counted, all + 1)
        });
        unresponsive >= UNACKNOWLEDGING_MACHINES_MIN && unresponsive * 2 > all
    }

    /// For how many seconds a launch of something that has ended may be in doubt: then its machine is returned, and its
    /// worker's lease expires within `cancel_s` in any case.
    pub(crate) fn in_doubt_limit_s(&self) -> f64 {
        let workers = &self.config.deployment.workers;
        let remaining_s =
            workers.cancel_s - self.worker_lease_expiry_s - self.config.leader_lease_s();
        (workers.heartbeat_interval_s * self.config.tunables.silent_reports).min(remaining_s)
    }

    /// Whether a machine's lease must not be renewed: a direct launch of something that has ended may still
    /// be executed there, however late. The machine is being returned, but the cloud may not answer.
    pub fn must_let_lease_expire(&self, machine: &str, now: Time) -> bool {
        let limit_s = self.in_doubt_limit_s();
        self.find(machine)
            .and_then(|index| self.machines.get(&index))
            .is_some_and(|machine| machine.has_launch_in_doubt(now, limit_s))
    }

    /// Attempts that are surely not running: those on machines whose worker has been silent for longer than its lease,
    /// and those never launched on a silent or unresponsive machine, which can go elsewhere sooner.
    pub(crate) fn expired_attempts(&self, now: Time) -> Vec<(MachineIndex, AttemptKey)> {
        let mut expired = Vec::new();
        for (index, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.attempts.is_empty())
        {
            if now - self.lease_may_run_from(machine, now) > self.worker_lease_expiry_s {
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

    /// The latest moment from which the lease of a machine's worker may run.
    fn lease_may_run_from(&self, machine: &Machine, now: Time) -> Time {
        // Known by direct calls alone, its agent epoch may have begun just before the last.
        let last = [machine.last_acknowledged_at, machine.last_contact_at]
            .into_iter()
            .flatten()
            .fold(self.term_started_at, f64::max);
        // Delegates may have answered in this leader's name.
        let delegated = self.zones.answered_until(&machine.zone, now);
        delegated.map_or(last, |at| last.max(at))
    }

    /// What the contacts with all machines say about the silence of some.
    pub(crate) fn silence_evidence(&self, now: Time) -> SilenceEvidence {
        let interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let limit_s = interval_s * self.config.tunables.silent_reports;
        let up = || {
            let machines = self.machines.values();
            machines.filter(|machine| machine.is_up() && !self.is_partitioned(machine))
        };
        let live_machines = up()
            .filter(|machine| {
                machine
                    .last_heartbeat_or_first_contact()
                    .is_some_and(|at| self.silence_s(at, now) < limit_s)
            })
            .count();
        // When hardly any machine makes contact, it is rather this controller that is partitioned: then
        // only the workers' leases count.
        let trusted = live_machines * 2 >= up().count()
            && (live_machines < 2
                || now - self.last_worker_contact() < interval_s * CONTACT_GAP_INTERVALS);
        SilenceEvidence {
            limit_s,
            live_machines,
            trusted,
            unacknowledged: self.is_unacknowledged_by_workers(),
        }
    }

    /// Whether a machine is to be returned as lost: it fails its tasks, is silent or unresponsive, or never came up.
    pub(crate) fn is_lost(
        &self,
        machine: &Machine,
        catalog: &MachineCatalog,
        evidence: &SilenceEvidence,
        now: Time,
    ) -> bool {
        let lease_s = self.config.deployment.workers.lease_s;
        let is_silent_since = |since| self.silence_s(since, now) > evidence.limit_s;
        if machine.quarantined {
            let mut attempts = machine.attempts.values();
            return attempts.all(|a| a.completed || a.running_since.is_none())
                || now - machine.backoff_until > lease_s;
        }
        if machine.has_launch_in_doubt(now, self.in_doubt_limit_s()) {
            return true;
        }
        if let Some(since) = machine.unresponsive_since {
            // What is on it ends with its worker's lease: nothing renews that.
            return evidence.trusted && !evidence.unacknowledged && is_silent_since(since);
        }
        if self.is_partitioned(machine) && machine.is_only_stopping() {
            // What is left there of gangs that have failed holds all of them up.
            return evidence.trusted;
        }
        if machine.is_up() {
            // It can't be this controller's fault for ever: once most of a fleet had died at once, and what was
            // left was never trusted again, nor the others replaced.
            let last = machine
                .last_heartbeat_or_first_contact()
                .unwrap_or(self.term_started_at);
            let far_too_long = evidence.live_machines > 0
                && self.silence_s(last, now)
                    > self.worker_lease_expiry_s * DISTRUSTED_SILENCE_LIMIT;
            return (evidence.trusted || far_too_long) && self.is_silent(machine, catalog, now);
        }
        if let Some(running_since) = machine.running_since {
            return evidence.trusted && is_silent_since(running_since.max(self.term_started_at));
        }
        if machine.listed_at.is_some() || machine.type_index.is_some() {
            let boot_s = machine.type_index.map_or(lease_s, |t| catalog[t].boot_s);
            return now - machine.rented_at > boot_s * self.config.tunables.lost_boots;
        }
        // Known only from a former leader's records.
        evidence.trusted && is_silent_since(self.term_started_at)
    }
}
