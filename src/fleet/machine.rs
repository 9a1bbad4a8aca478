//! A machine and its worker: description, lifecycle state, heartbeat bookkeeping, and the attempts on it.

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
use crate::scheduler::attempt_limits::ATTEMPTS_PER_MACHINE_MAX;
use crate::scheduler::image_cache::ImageCache;

/// The maximum number of attempts that are launched by direct calls in an agent epoch of a worker. Its heartbeats list each of
/// them until the epoch ends, so the others are launched in the answers to heartbeats.
const DIRECT_LAUNCHES_PER_EPOCH_MAX: u32 = 128;

/// Which tasks a machine is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MachineRole {
    /// Tasks that share machines.
    Shared,
    /// Large tasks: those that take more of a machine than the tunable `large_share`.
    Large,
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The worker sent the heartbeat on its schedule and waits for the answer.
    Periodic,
    /// The heartbeat is the answer to a direct call.
    DirectReply,
}

/// A machine and its worker.
///
/// `terminating`, `draining`, `quarantined`, `unresponsive_since` and `preemption_at` don't exclude one another: a
/// draining machine may be quarantined, and either may be unresponsive or about to be preempted. A machine that is
/// being returned keeps the flags that led to its return.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The name that the cloud gave the machine.
    pub name: Rc<str>,
    /// The address of the worker, if known.
    pub addr: Option<SocketAddr>,
    /// The index of the machine's type in the catalog, if known.
    pub type_index: Option<usize>,
    /// The zone that the machine is in.
    pub zone: Rc<str>,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// The resources of the machine, used or not. Zero until its type is known.
    pub capacity: Resources,
    /// The latest known agent epoch of the worker.
    pub agent_epoch: u64,
    /// The sequence number of the latest heartbeat in that epoch.
    pub sequence: u64,
    /// The highest fencing token that the worker's heartbeats have shown.
    pub fencing_token: u64,
    /// The latest agent epoch in which the worker is known to have seen this leader's fencing token. From then on the
    /// worker executes no launch of a former leader.
    fenced_epoch: Option<u64>,
    /// When the last new heartbeat of this term arrived, periodic or in answer to a direct call.
    pub last_contact_at: Option<Time>,
    /// When the last new periodic heartbeat of this term arrived. Only the answers to periodic heartbeats renew the
    /// worker's lease.
    pub last_heartbeat_at: Option<Time>,
    /// When the worker first made contact in this term.
    first_contact_at: Option<Time>,
    /// When the last periodic heartbeat arrived that this leader answered with status 200, which renews the worker's
    /// lease.
    pub last_acknowledged_at: Option<Time>,
    /// Whether a periodic heartbeat before the latest heartbeat was answered with status 200 in this term.
    was_acknowledged_before: bool,
    /// When the machine was rented or, until the cloud has listed its age, when this leader first learned of it.
    pub rented_at: Time,
    /// When the cloud's list first showed the machine as running.
    pub running_since: Option<Time>,
    /// When the cloud's list last contained the machine.
    pub listed_at: Option<Time>,
    /// Whether the machine is being returned to the cloud.
    pub terminating: bool,
    /// When the cloud is going to preempt the machine. None without a preemption notice.
    pub preemption_at: Option<Time>,
    /// The attempts that are or may be on the machine.
    pub attempts: BTreeMap<AttemptKey, TaskAttempt>,
    /// The resources taken by the attempts that have not completed.
    pub used: Resources,
    /// The price of the machine's resources at its present load, see `scheduler::pricing`.
    pub price: f64,
    /// Whether the machine gets no new work so that it becomes empty and can be returned.
    pub draining: bool,
    /// Whether the machine gets no new work and is to be returned, because tasks keep failing on it.
    pub quarantined: bool,
    /// Which tasks the machine is kept for.
    pub role: MachineRole,
    /// Since when the machine is surplus: no demand needs it.
    pub surplus_since: Option<Time>,
    /// Number of task failures that count against the machine since a task last completed there.
    pub consecutive_failures: u32,
    /// The jobs whose tasks caused the failures counted in `consecutive_failures`.
    pub failed_jobs: HashSet<JobIndex>,
    /// The machine gets no new work before this time.
    pub backoff_until: Time,
    /// The images that the machine holds or fetches.
    pub image_cache: ImageCache,
    /// Whether a direct call to the worker is requested.
    pub direct_call_requested: bool,
    /// Whether launches are to be sent by a direct call instead of the answer to the next periodic heartbeat.
    pub direct_launch_requested: bool,
    /// When a direct call was last sent to the worker.
    pub(super) last_direct_call_at: Option<Time>,
    /// Whether a direct call to the worker is in flight.
    pub direct_call_in_flight: bool,
    /// Number of consecutive periodic heartbeats that arrived with a gap before them in the worker's sequence: in
    /// between, the worker sent heartbeats that didn't arrive here. The worker either didn't receive this leader's
    /// answers or contacted other controllers.
    pub unacknowledged_heartbeats: u32,
    /// Since when the worker is unresponsive, that is, seems not to receive this leader's answers.
    pub unresponsive_since: Option<Time>,
    /// Attempts that exited in the present agent epoch and must not be forgotten by the worker: a direct launch
    /// could start them again, see [`TaskAttempt::may_be_relaunched`].
    attempts_not_to_forget: HashSet<NamedAttempt>,
    /// Whether the worker lost some of these attempts all the same. The machine is returned, and its worker's lease is not
    /// renewed.
    pub(super) has_lost_attempts: bool,
    /// The agent epoch and the sequence number of the last heartbeat since the newest that was older than that one.
    last_old_heartbeat: Option<(u64, u64)>,
    /// Number of such heartbeats in a row whose numbers follow one another.
    old_heartbeats_in_a_row: u32,
    /// Number of launches sent by direct calls in the present agent epoch.
    pub(super) direct_launches: u32,
}

impl Machine {
    /// Creates a machine of which only the name and the zone are known.
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
            attempts_not_to_forget: HashSet::new(),
            last_old_heartbeat: None,
            old_heartbeats_in_a_row: 0,
            direct_launches: 0,
            has_lost_attempts: false,
        }
    }

    /// Returns when the last periodic heartbeat arrived or, before the first one, when the worker first made contact.
    /// None before any contact in this term.
    pub fn last_heartbeat_or_first_contact(&self) -> Option<Time> {
        self.last_heartbeat_at.or(self.first_contact_at)
    }

    /// Returns whether the worker has made contact in this term.
    pub fn is_up(&self) -> bool {
        self.last_contact_at.is_some()
    }

    /// Returns whether an unanswered direct launch may still start an attempt that must not run and was placed more
    /// than `limit_s` seconds ago. Only the end of the machine or of the worker's agent epoch rules that out.
    pub fn has_launch_in_doubt(&self, now: Time, limit_s: f64) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.direct_launch == Some(DirectLaunchState::Unanswered)
                && attempt.state.is_none()
                && attempt.stop_grace_s.is_some()
                && now - attempt.placed_at > limit_s
        })
    }

    /// Returns whether attempts that have not completed are or may be on the machine, and all of them are to be
    /// stopped.
    pub fn is_only_stopping(&self) -> bool {
        let mut live = self.attempts.values().filter(|a| !a.completed).peekable();
        live.peek().is_some() && live.all(|a| a.stop_grace_s.is_some())
    }

    /// Returns whether every attempt that has not completed is running, can save a checkpoint and is not being stopped.
    /// All of them can then continue on other machines. False if any of them is part of a gang.
    pub fn can_evict_gracefully(&self, jobs: &JobTable) -> bool {
        self.attempts
            .iter()
            .filter(|(_, attempt)| !attempt.completed)
            .all(|(key, attempt)| {
                let job = &jobs[&key.job];
                let can_move = job.spec.checkpoint_s > 0.0 && !job.is_gang();
                can_move
                    && attempt.stop_grace_s.is_none()
                    && attempt.state == Some(TaskState::Running)
            })
    }

    /// Returns whether only completed attempts are on the machine, or none.
    pub fn is_empty(&self) -> bool {
        self.attempts.values().all(|attempt| attempt.completed)
    }

    /// Returns whether an attempt that takes more than `share` of any of the machine's resources is or may be on it.
    pub fn runs_large_task(&self, share: f64) -> bool {
        self.attempts
            .values()
            .any(|a| !a.completed && a.resources.largest_share(self.capacity) > share)
    }

    /// How many more attempts the machine may hold, so that its heartbeats can list them all.
    pub(crate) fn free_attempts(&self) -> u32 {
        let listed = self.attempts.len() + self.kept_attempts();
        ATTEMPTS_PER_MACHINE_MAX.saturating_sub(u32::try_from(listed).unwrap_or(u32::MAX))
    }

    /// How many more attempts may be launched by direct calls in the present agent epoch.
    pub(crate) fn direct_launches_left(&self) -> u32 {
        DIRECT_LAUNCHES_PER_EPOCH_MAX.saturating_sub(self.direct_launches)
    }

    /// Records that launches are sent by a direct call.
    pub(crate) fn record_direct_launches(&mut self, launches: u32) {
        self.direct_launches += launches;
    }

    /// How many attempts the machine may hold beside those that have completed.
    pub(crate) fn free_attempts_without_unfinished(&self) -> u32 {
        let unfinished = self.attempts.values().filter(|a| !a.completed).count();
        let unfinished = u32::try_from(unfinished).unwrap_or(u32::MAX);
        let free_attempts = self.free_attempts().saturating_add(unfinished);
        free_attempts.min(ATTEMPTS_PER_MACHINE_MAX)
    }

    /// Adds an attempt that is or may be on the machine.
    pub(crate) fn add_attempt(&mut self, key: AttemptKey, task_attempt: TaskAttempt) {
        if !task_attempt.completed {
            self.used = self.used.plus(task_attempt.resources);
        }
        self.attempts.insert(key, task_attempt);
    }

    /// Removes an attempt that is certain not to be on the machine any more.
    pub(crate) fn remove_attempt(&mut self, key: &AttemptKey) -> Option<TaskAttempt> {
        let task_attempt = self.attempts.remove(key)?;
        if !task_attempt.completed {
            self.release_resources(task_attempt.resources);
        }
        Some(task_attempt)
    }

    /// Records that an attempt has completed: it takes no resources and waits to be forgotten by the worker. Resets the
    /// count of failures.
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

    /// Subtracts the resources of an attempt that has completed or was removed. An empty machine uses exactly zero,
    /// whatever the rounding errors of earlier sums.
    fn release_resources(&mut self, resources: Resources) {
        self.used = if self.is_empty() {
            Resources::default()
        } else {
            self.used.minus(resources)
        };
    }

    /// Compares the attempts that are or may be on the machine with those that a new heartbeat lists (`reported`).
    /// Returns the attempts that are gone, and marks launches that were dropped to be sent again. `fenced`: whether the
    /// heartbeat shows this leader's fencing token.
    pub(crate) fn reconcile_absent_attempts(
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

    /// Records that an exited attempt must not be forgotten in the present agent epoch.
    pub(crate) fn forbid_forgetting(&mut self, attempt: NamedAttempt) {
        self.attempts_not_to_forget.insert(attempt);
    }

    /// How many exited attempts must not be forgotten in the present agent epoch.
    pub(crate) fn kept_attempts(&self) -> usize {
        self.attempts_not_to_forget.len()
    }

    /// Returns whether an exited attempt may be forgotten in the present agent epoch.
    pub(crate) fn may_forget(&self, attempt: &NamedAttempt) -> bool {
        !self.attempts_not_to_forget.contains(attempt)
    }

    /// Quarantines the machine because tasks keep failing on it: it gets no new work and is returned.
    pub(crate) fn quarantine(&mut self) {
        if !self.quarantined {
            tracing::info!(machine = %self.name, "machine quarantined");
            self.quarantined = true;
        }
    }
}
