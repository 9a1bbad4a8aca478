//! Elections: campaigns for leadership, and the term of leadership from its start to its end.

use std::rc::Rc;

use futures_util::future::{Either, select};
use rand::RngExt;

use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::leader::Leader;
use crate::leadership;
use crate::leadership::{LeaderTerm, RenewalOutcome};
use crate::memory::MemoryUse;
use crate::peers::WorkerLocation;
use crate::runtime::Time;

/// Renewals of the leader's lease within one lease duration.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// Time after which a leader resigns if its lease is renewed but its replica is not current, in lease durations.
const STALE_REPLICA_LEASES: f64 = 2.0;
/// Time for which a controller that resigned does not campaign, in lease durations.
const RESIGNATION_BACKOFF_LEASES: f64 = 3.0;
/// Delay of the campaigns of a controller that yields to its peers, in lease durations; see
/// [`leadership::yields_to_peers`].
const YIELD_LEASES: f64 = 0.3;
/// Interval between two checks for a vacant leadership, in lease durations, before jitter. A change of the leader's
/// record triggers a check at once.
const ELECTION_CHECK_LEASES: f64 = 0.1;

/// How a term ended.
enum TermEnd {
    /// The lease expired: another controller may already lead.
    Expired,
    /// This controller resigned, so that another is elected.
    Resigned,
}

/// Decides when this controller campaigns.
struct CampaignSchedule {
    /// No campaign before this time.
    not_before: Time,
    /// How long leadership must have been vacant before a campaign, in seconds; 0 unless this controller yields to its
    /// peers.
    yield_s: f64,
    /// Since when leadership has been vacant and this controller able to campaign; None if the last check found
    /// otherwise.
    vacant_since: Option<Time>,
}

impl CampaignSchedule {
    /// Whether to campaign now. `is_possible` says whether leadership is vacant and this controller able to campaign.
    fn is_due(&mut self, is_possible: bool, now: impl Fn() -> Time) -> bool {
        let vacant_since = *self.vacant_since.get_or_insert(now());
        if !is_possible {
            self.vacant_since = None;
        }
        is_possible && now() >= self.not_before.max(vacant_since + self.yield_s)
    }
}

impl Controller {
    /// Campaigns whenever there is no leader. After a won election, holds the term until it ends.
    pub(crate) async fn run_elections(self: Rc<Self>) {
        let lease_duration_s = self.config.leader_lease_s();
        self.revoke_previous_incarnation_at_start().await;
        let mut schedule = CampaignSchedule {
            not_before: self.now(),
            yield_s: if leadership::yields_to_peers(&self.config) {
                lease_duration_s * YIELD_LEASES
            } else {
                0.0
            },
            vacant_since: None,
        };
        loop {
            self.leadership.leader_record_changed.clear();
            if self.previous_incarnation_leads() {
                self.revoke_previous_incarnation().await;
            }
            let is_vacant = self.replication.is_loaded.get()
                && self.replication.replica.borrow().leader.is_none();
            let has_machine_types = self.replication.replica.borrow().machine_types.is_some();
            if schedule.is_due(is_vacant && has_machine_types, || self.now())
                && let Some(term) = self.campaign().await
                && let TermEnd::Resigned = self.hold_term(term).await
            {
                schedule.not_before = self.now() + lease_duration_s * RESIGNATION_BACKOFF_LEASES;
            }
            let pause_s =
                lease_duration_s * ELECTION_CHECK_LEASES * rand::rng().random_range(0.5..1.5);
            let changed = std::pin::pin!(self.leadership.leader_record_changed.wait());
            select(changed, self.runtime.sleep(pause_s)).await;
        }
    }

    /// Campaigns once. Returns the term if this controller was elected.
    async fn campaign(&self) -> Option<LeaderTerm> {
        leadership::campaign(&self.runtime, &self.store, &self.config, self.incarnation)
            .await
            .inspect_err(|error| tracing::debug!(%error, "campaign failed"))
            .ok()
    }

    /// Revokes the leader's lease if the store shows a previous process of this host as the leader.
    async fn revoke_previous_incarnation(&self) {
        leadership::revoke_previous_incarnation(&self.store, &self.config, self.incarnation).await;
    }

    /// Revokes the lease of this host's previous process, repeatedly until the replica is loaded.
    async fn revoke_previous_incarnation_at_start(&self) {
        loop {
            self.revoke_previous_incarnation().await;
            if self.replication.is_loaded.get() {
                return;
            }
            self.runtime.sleep(STORE_BACKOFF_S).await;
        }
    }

    /// Whether the store shows a previous process of this host as the leader. That process ended during its campaign,
    /// and the state service applied its transaction later, so no running process holds that term.
    fn previous_incarnation_leads(&self) -> bool {
        let replica = self.replication.replica.borrow();
        let leader = replica.leader.as_ref();
        leader.is_some_and(|leader| {
            leader.record.node == self.config.node && leader.record.incarnation != self.incarnation
        })
    }

    /// Holds a term until its lease expires or this controller resigns.
    async fn hold_term(&self, mut term: LeaderTerm) -> TermEnd {
        let (node, fencing_token) = (&self.config.node, term.fencing_token);
        tracing::info!(%node, fencing_token, "elected leader");
        self.leadership.term.set(Some(term));
        self.leadership.resign.clear();
        let mut is_leader_started = false;
        let lease_duration_s = self.config.leader_lease_s();
        let renewal_interval_s = lease_duration_s / RENEWALS_PER_LEASE;
        let elected_at = self.now();
        loop {
            // The fencing token is the revision of the election.
            if !is_leader_started && self.wait_for_revision(fencing_token).await.is_ok() {
                self.replication.record_current_at(term.renewal_sent_at);
                if let Some(leader) = self.new_leader(fencing_token) {
                    self.start_leader(leader);
                    is_leader_started = true;
                }
            }
            // The term is trusted only while read barriers show the replica to be current, see
            // `LeaderTerm::trusted_until`.
            self.read_barriers.requested.set();
            if self.is_replica_stale(&term, elected_at, lease_duration_s) {
                tracing::warn!(fencing_token, "lease renewed but no changes received");
                self.leadership.resign.set();
            }
            let resign = std::pin::pin!(self.leadership.resign.wait());
            let renewal_due = self.runtime.sleep(renewal_interval_s);
            if let Either::Left(_) = select(resign, renewal_due).await {
                tracing::info!(%node, fencing_token, "resigning leadership");
                self.leadership.step_down();
                let _ = self.store.revoke_lease(term.lease).await;
                return TermEnd::Resigned;
            }
            match leadership::renew_term(&self.runtime, &self.store, &mut term).await {
                RenewalOutcome::Renewed => self.on_term_renewed(term),
                RenewalOutcome::Unknown => {}
                RenewalOutcome::Expired => {
                    tracing::info!(%node, fencing_token, "leadership lost: lease expired");
                    self.leadership.step_down();
                    return TermEnd::Expired;
                }
            }
        }
    }

    /// Whether the lease is renewed although the replica has not been shown to be current for
    /// [`STALE_REPLICA_LEASES`] lease durations.
    fn is_replica_stale(&self, term: &LeaderTerm, elected_at: Time, lease_duration_s: f64) -> bool {
        let current_at = self.replication.current_at.get();
        let current_at = current_at.map_or(elected_at, |at| at.max(elected_at));
        term.renewal_sent_at - current_at > lease_duration_s * STALE_REPLICA_LEASES
    }

    /// Records a renewal of the lease, which extends the time for which the term is trusted.
    fn on_term_renewed(&self, term: LeaderTerm) {
        let now = self.now();
        self.replication.record_store_contact(now);
        // While the term was not trusted, this controller answered no heartbeats and recorded no contact. That gap
        // is its own fault and must not count as silence of the workers.
        if self.trusted_fencing_token().is_none()
            && let Some(leader) = self.leadership.leader.borrow_mut().as_mut()
        {
            leader.record_worker_contact(now);
        }
        self.leadership.term.set(Some(term));
    }

    /// The leader's state machine for a new term, built from the replica; None while the machine types are unknown.
    fn new_leader(&self, fencing_token: u64) -> Option<Leader> {
        let now = self.now();
        let replica = self.replication.replica.borrow();
        let machine_types = replica.machine_types.clone()?;
        let mut leader = Leader::start_term(
            self.config.clone(),
            fencing_token,
            machine_types,
            &replica,
            self.forecast.clone(),
            now,
        );
        leader.unix_ms_at_time_zero =
            Some(self.runtime.unix_ms().saturating_sub((now * 1000.0) as u64));
        // A direct command to each known worker fences off a former leader there, and its reply carries the worker's
        // heartbeat.
        for worker in self.known_workers(now) {
            leader.fleet.request_contact(
                &worker.machine,
                &worker.zone,
                &worker.addr,
                worker.agent_epoch,
                now,
            );
        }
        Some(leader)
    }

    /// Starts the leader's rounds and its calls to the cloud.
    fn start_leader(&self, leader: Leader) {
        self.log_memory("leader state built", &leader);
        *self.leadership.leader.borrow_mut() = Some(leader);
        self.leadership.round_due.set();
        self.leadership.cloud_calls_due.set();
    }

    /// Logs the memory of this process with the amounts of the leader's state that it depends on. `event` says when.
    pub(super) fn log_memory(&self, event: &'static str, leader: &Leader) {
        let memory = MemoryUse::read();
        let state = leader.state_size();
        tracing::info!(
            event,
            fencing_token = leader.fencing_token,
            memory_mb = memory.map(|m| m.resident_mb.round()),
            memory_peak_mb = memory.map(|m| m.peak_mb.round()),
            memory_limit_mb = self.config.deployment.limits.ram_mb,
            jobs = state.jobs,
            pending_tasks = state.pending_tasks,
            attempts = state.attempts,
            machines = state.machines,
            "memory of the leader"
        );
    }

    /// The workers that sent a heartbeat to any controller within the last lease duration of a worker: first those
    /// reported by other controllers, then those known here.
    fn known_workers(&self, now: Time) -> Vec<WorkerLocation> {
        let lease_s = self.config.deployment.workers.lease_s;
        let mut workers = self.peers.workers(now, lease_s);
        workers.extend(self.worker_contacts.locations(now, lease_s));
        workers
    }
}
