//! A machine and its worker: what it is, its life, and the attempts on it.

mod heartbeats;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use super::{AbsentAttempt, AttemptKey, DirectLaunchState, NamedAttempt, TaskAttempt};
use crate::jobs::JobIndex;
use crate::jobs::job_table::JobTable;
use crate::protocol::workers::TaskState;
use crate::resources::Resources;
use crate::runtime::Time;
use crate::scheduler::image_cache::ImageCache;

/// Which tasks a machine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MachineRole {
    /// Tasks that share machines.
    Shared,
    /// Tasks that take most of a machine.
    Large,
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The worker sent it by itself and waits for the answer.
    Periodic,
    /// It is the answer to a direct call.
    DirectReply,
}

/// A machine and its worker.
///
/// `terminating`, `draining`, `quarantined`, `unresponsive_since` and `preemption_at` don't exclude one another: a
/// draining machine may be quarantined, and either may be unresponsive or about to be preempted. A machine that is returned
/// keeps what it was returned for.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name, as the cloud gave it.
    pub name: Rc<str>,
    /// The address of its worker, if known.
    pub addr: Option<SocketAddr>,
    /// The index of its type in the catalog, if known.
    pub type_index: Option<usize>,
    /// Its zone.
    pub zone: Rc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// All its resources.
    pub capacity: Resources,
    /// The latest agent epoch of its worker.
    pub agent_epoch: u64,
    /// The sequence number of the latest heartbeat in that epoch.
    pub sequence: u64,
    /// The highest fencing token that its worker has shown.
    pub fencing_token: u64,
    /// The latest agent epoch in which its worker is known to have seen this leader's fencing token: no former leader's
    /// launch was executed after that.
    fenced_epoch: Option<u64>,
    /// When anything new from it last arrived in this term, by a heartbeat or a direct call.
    pub last_contact_at: Option<Time>,
    /// When its last new periodic heartbeat arrived: only that renews its worker's lease.
    pub last_heartbeat_at: Option<Time>,
    /// When it first made contact in this term.
    first_contact_at: Option<Time>,
    /// When the last heartbeat arrived that was answered 200 in this term.
    pub last_acknowledged_at: Option<Time>,
    /// Whether an earlier heartbeat than the latest was acknowledged in this term.
    was_acknowledged_before: bool,
    /// When it was rented, as far as known.
    pub rented_at: Time,
    /// When the cloud's list first showed it running.
    pub running_since: Option<Time>,
    /// When the cloud's list last showed it.
    pub listed_at: Option<Time>,
    /// It is being returned to the cloud.
    pub terminating: bool,
    /// When the cloud preempts it, by its preemption notice.
    pub preemption_at: Option<Time>,
    /// The attempts that are or may be on it.
    pub attempts: BTreeMap<AttemptKey, TaskAttempt>,
    /// The resources that they take, but for those that completed.
    pub used: Resources,
    /// The price of its resources by its present load.
    pub price: f64,
    /// It gets no new work, so that it can be returned.
    pub draining: bool,
    /// Tasks keep failing on it: it gets no new work and is returned.
    pub quarantined: bool,
    /// Which tasks it is for.
    pub role: MachineRole,
    /// Since when nothing needs it.
    pub surplus_since: Option<Time>,
    /// Failures of tasks in a row.
    pub consecutive_failures: u32,
    /// The jobs of those tasks.
    pub failed_jobs: HashSet<JobIndex>,
    /// It gets no new work before this moment.
    pub backoff_until: Time,
    /// Images that it holds or fetches.
    pub image_cache: ImageCache,
    /// A direct call to its worker is wanted.
    pub direct_call_requested: bool,
    /// Launches are to be sent by a direct call rather than with the answer to its next heartbeat.
    pub direct_launch_requested: bool,
    /// When a direct call was last sent to its worker.
    pub(super) last_direct_call_at: Option<Time>,
    /// A direct call to its worker has not ended yet.
    pub direct_call_in_flight: bool,
    /// Heartbeats in a row before which the worker made others that did not arrive here: it did not receive
    /// the answers, or turned to other controllers.
    pub unacknowledged_heartbeats: u32,
    /// Since when it seems not to receive the answers.
    pub unresponsive_since: Option<Time>,
    /// Attempts that exited in this agent epoch and must not be reaped, see [`TaskAttempt::may_be_relaunched`].
    attempts_not_to_reap: HashSet<NamedAttempt>,
}

impl Machine {
    /// A machine of which only the name and the zone are known.
    pub(crate) fn new(name: Rc<str>, zone: Rc<str>, now: Time) -> Self {
        Machine {
            name,
            addr: None,
            type_index: None,
            zone,
            spot: false,
            capacity: Resources::default(),
            agent_epoch: 0,
            sequence: 0,
            fencing_token: 0,
            fenced_epoch: None,
            last_contact_at: None,
            last_heartbeat_at: None,
            first_contact_at: None,
            last_acknowledged_at: None,
            was_acknowledged_before: false,
            rented_at: now,
            running_since: None,
            listed_at: None,
            terminating: false,
            preemption_at: None,
            attempts: BTreeMap::new(),
            used: Resources::default(),
            price: 0.0,
            draining: false,
            quarantined: false,
            role: MachineRole::Shared,
            surplus_since: None,
            consecutive_failures: 0,
            failed_jobs: HashSet::new(),
            backoff_until: 0.0,
            image_cache: ImageCache::default(),
            direct_call_requested: false,
            direct_launch_requested: false,
            last_direct_call_at: None,
            direct_call_in_flight: false,
            unacknowledged_heartbeats: 0,
            unresponsive_since: None,
            attempts_not_to_reap: HashSet::new(),
        }
    }

    /// When its last periodic heartbeat arrived or, before the first, when it first made contact.
    pub fn last_heartbeat_or_first_contact(&self) -> Option<Time> {
        self.last_heartbeat_at.or(self.first_contact_at)
    }

    /// Whether its worker has made contact in this term.
    pub fn is_up(&self) -> bool {
        self.last_contact_at.is_some()
    }

    /// Whether a direct launch without an answer, placed more than `limit_s` seconds ago, may still start something that
    /// must not run: only the machine's end proves that it won't.
    pub fn has_launch_in_doubt(&self, now: Time, limit_s: f64) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.direct_launch == Some(DirectLaunchState::Unanswered)
                && attempt.state.is_none()
                && attempt.stop_grace_s.is_some()
                && now - attempt.placed_at > limit_s
        })
    }

    /// Whether something is or may be on it, and all of that is to be stopped.
    pub fn is_only_stopping(&self) -> bool {
        let mut live = self.attempts.values().filter(|a| !a.completed).peekable();
        live.peek().is_some() && live.all(|a| a.stop_grace_s.is_some())
    }

    /// Whether all that is on it runs, can save a checkpoint and is not being stopped: it can go on elsewhere.
    pub fn can_evict_gracefully(&self, jobs: &JobTable) -> bool {
        self.attempts
            .iter()
            .filter(|(_, attempt)| !attempt.completed)
            .all(|(key, attempt)| {
                let job = &jobs[&key.job];
                let saves = job.spec.checkpoint_s > 0.0 && !job.is_gang();
                saves && attempt.stop_grace_s.is_none() && attempt.state == Some(TaskState::Running)
            })
    }

    /// Whether nothing is or may be on it but attempts that completed.
    pub fn is_empty(&self) -> bool {
        self.attempts.values().all(|attempt| attempt.completed)
    }

    /// Whether a task that takes more than `share` of it is or may be on it.
    pub fn runs_large_task(&self, share: f64) -> bool {
        self.attempts
            .values()
            .any(|a| !a.completed && a.resources.largest_share(self.capacity) > share)
    }

    /// Adds an attempt that is or may be on it.
    pub(crate) fn add_attempt(&mut self, key: AttemptKey, task_attempt: TaskAttempt) {
        if !task_attempt.completed {
            self.used = self.used.plus(task_attempt.resources);
        }
        self.attempts.insert(key, task_attempt);
    }

    /// Removes an attempt that is surely not on it any more.
    pub(crate) fn remove_attempt(&mut self, key: &AttemptKey) -> Option<TaskAttempt> {
        let task_attempt = self.attempts.remove(key)?;
        if !task_attempt.completed {
            self.release_resources(task_attempt.resources);
        }
        Some(task_attempt)
    }

    /// An attempt has completed: it waits to be reaped and takes no resources.
    pub(crate) fn complete_attempt(&mut self, key: &AttemptKey) {
        if let Some(task_attempt) = self.attempts.get_mut(key)
            && !task_attempt.completed
        {
            task_attempt.completed = true;
            task_attempt.state = Some(TaskState::Exited);
            let resources = task_attempt.resources;
            self.release_resources(resources);
        }
        self.consecutive_failures = 0;
        self.failed_jobs.clear();
    }

    fn release_resources(&mut self, resources: Resources) {
        self.used = if self.is_empty() {
            Resources::default()
        } else {
            self.used.minus(resources)
        };
    }

    /// Compares the attempts that should be on it with those that a new heartbeat lists. Returns those that are
    /// gone. `fenced`: the heartbeat shows this leader's fencing token.
    pub(crate) fn gone_attempts(
        &mut self,
        reported: &HashSet<AttemptKey>,
        origin: HeartbeatOrigin,
        fenced: bool,
    ) -> Vec<AttemptKey> {
        let absent = self
            .attempts
            .iter_mut()
            .filter(|(key, _)| !reported.contains(key));
        absent
            .filter_map(|(key, attempt)| {
                (attempt.on_absent(origin, fenced) == AbsentAttempt::Gone).then_some(*key)
            })
            .collect()
    }

    /// An exited attempt must not be reaped in this agent epoch.
    pub(crate) fn forbid_reaping(&mut self, attempt: NamedAttempt) {
        self.attempts_not_to_reap.insert(attempt);
    }

    /// Whether an exited attempt may be reaped in this agent epoch.
    pub(crate) fn may_reap(&self, attempt: &NamedAttempt) -> bool {
        !self.attempts_not_to_reap.contains(attempt)
    }

    /// Tasks keep failing on it: it gets no new work and is returned.
    pub(crate) fn quarantine(&mut self) {
        if !self.quarantined {
            tracing::info!(machine = %self.name, "machine quarantined");
            self.quarantined = true;
        }
    }
}
