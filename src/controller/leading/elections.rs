//! Elections: campaigning for leadership, holding a term, and ending it.

use std::rc::Rc;

use futures_util::future::{Either, select};
use rand::RngExt;

use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::leader::Leader;
use crate::leadership;
use crate::leadership::{LeaderTerm, RenewalOutcome};
use crate::peers::WorkerLocation;
use crate::runtime::Time;

/// Renewals within the life of the leader's lease.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// A leader whose lease is renewed but whose replica was not current for so many lives of the lease resigns.
const STALE_REPLICA_LEASES: f64 = 2.0;
/// For how long a leader that resigned does not campaign, in lives of its lease.
const RESIGNED_BACKOFF_LEASES: f64 = 3.0;
/// For how long a controller lets others that should rather lead campaign first, in lives of the lease.
const YIELD_LEASES: f64 = 0.3;
/// Longest time between two looks at the leader's record, in lives of the lease, before jitter.
const ELECTION_CHECK_LEASES: f64 = 0.1;

/// How a term ended.
enum TermEnd {
    /// The lease expired: another controller may lead.
    Expired,
    /// This controller resigned: another should lead.
    Resigned,
}

/// When this controller may campaign.
struct CampaignSchedule {
    /// No campaign before this time.
    not_before: Time,
    /// How long leadership must have been vacant, in seconds.
    yield_s: f64,
    /// Since when leadership has been vacant.
    vacant_since: Option<Time>,
}

impl CampaignSchedule {
    /// Whether a campaign is due now, given whether one is possible.
    fn is_due(&mut self, is_possible: bool, now: impl Fn() -> Time) -> bool {
        let since = *self.vacant_since.get_or_insert(now());
        if !is_possible {
            self.vacant_since = None;
        }
        is_possible && now() >= self.not_before.max(since + self.yield_s)
    }
}

impl Controller {
    /// Campaigns whenever there is no leader, and holds each term that is won until it ends.
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
            self.leadership.record_changed.clear();
            if self.previous_incarnation_leads() {
                self.revoke_previous_incarnation().await;
            }
            let is_vacant = self.replication.is_loaded.get()
                && self.replication.replica.borrow().leader.is_none();
            let knows_types = self.replication.replica.borrow().machine_types.is_some();
            if schedule.is_due(is_vacant && knows_types, || self.now())
                && let Some(term) = self.campaign().await
                && let TermEnd::Resigned = self.hold_term(term).await
            {
                schedule.not_before = self.now() + lease_duration_s * RESIGNED_BACKOFF_LEASES;
            }
            let pause_s =
                lease_duration_s * ELECTION_CHECK_LEASES * rand::rng().random_range(0.5..1.5);
            let changed = std::pin::pin!(self.leadership.record_changed.wait());
            select(changed, self.runtime.sleep(pause_s)).await;
        }
    }

    /// Campaigns once; the term, if this controller was elected.
    async fn campaign(&self) -> Option<LeaderTerm> {
        leadership::campaign(&self.runtime, &self.store, &self.config, self.incarnation)
            .await
            .inspect_err(|error| tracing::debug!(%error, "campaign failed"))
            .ok()
    }

    /// Revokes the lease of this host's previous process, if the store shows that one as the leader.
    async fn revoke_previous_incarnation(&self) {
        leadership::revoke_previous_incarnation(&self.store, &self.config, self.incarnation).await;
    }

    /// Revokes the lease of this host's previous process until the replica is loaded.
    async fn revoke_previous_incarnation_at_start(&self) {
        loop {
            self.revoke_previous_incarnation().await;
            if self.replication.is_loaded.get() {
                return;
            }
            self.runtime.sleep(STORE_BACKOFF_S).await;
        }
    }

    /// Whether the store shows a previous process of this host as the leader: one that ended in the middle of
    /// an election, and whose request was carried out after that. There is no leader then.
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
        let mut is_started = false;
        let lease_duration_s = self.config.leader_lease_s();
        let renewal_interval_s = lease_duration_s / RENEWALS_PER_LEASE;
        let elected_at = self.now();
        loop {
            if !is_started && self.wait_for_revision(fencing_token).await.is_ok() {
                self.replication.record_current_at(term.renewal_sent_at);
                if let Some(leader) = self.new_leader(fencing_token) {
                    self.start_leader(leader);
                    is_started = true;
                }
            }
            // What this leader answers rests on a replica known to be current, see `LeaderTerm::trusted_until`.
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

    /// Whether the lease is renewed while the replica has long not been shown to be current.
    fn is_replica_stale(&self, term: &LeaderTerm, elected_at: Time, lease_duration_s: f64) -> bool {
        let current_at = self.replication.current_at.get();
        let current_at = current_at.map_or(elected_at, |at| at.max(elected_at));
        term.renewal_sent_at - current_at > lease_duration_s * STALE_REPLICA_LEASES
    }

    /// Records a renewal of the lease: the term is trusted for another life of it.
    fn on_term_renewed(&self, term: LeaderTerm) {
        let now = self.now();
        self.replication.record_store_contact(now);
        // While the lease was not trusted no heartbeat could be answered: the silence of the workers was this
        // controller's own doing.
        if self.trusted_fencing_token().is_none()
            && let Some(leader) = self.leadership.leader.borrow_mut().as_mut()
        {
            leader.record_worker_contact(now);
        }
        self.leadership.term.set(Some(term));
    }

    /// The leader's state machine as the replica shows the state; None while the machine types are not known.
    fn new_leader(&self, fencing_token: u64) -> Option<Leader> {
        let now = self.now();
        let replica = self.replication.replica.borrow();
        let types = replica.machine_types.clone()?;
        let mut leader = Leader::start_term(
            self.config.clone(),
            fencing_token,
            types,
            &replica,
            self.forecast.clone(),
            now,
        );
        leader.unix_ms_at_start =
            Some(self.runtime.unix_ms().saturating_sub((now * 1000.0) as u64));
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

    /// Begins the leader's rounds and its calls to the cloud.
    fn start_leader(&self, leader: Leader) {
        *self.leadership.leader.borrow_mut() = Some(leader);
        self.leadership.round_due.set();
        self.leadership.cloud_calls_due.set();
    }

    /// The workers that sent heartbeats to any controller within a lease: those of other controllers first.
    fn known_workers(&self, now: Time) -> Vec<WorkerLocation> {
        let lease_s = self.config.deployment.workers.lease_s;
        let mut workers = self.peers.workers(now, lease_s);
        workers.extend(self.worker_contacts.locations(now, lease_s));
        workers
    }
}
