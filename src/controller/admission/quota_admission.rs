//! Admission of jobs: a controller creates jobs within its allotments of the teams' quotas.
//!
//! [`crate::controller::admission::quota_transfers`] moves units between controllers;
//! [`crate::controller::admission::quota_presence`] shows the leader that this controller is alive.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use quota::supervise::Supervisor;
use quota::{Admissions, Attempt, AttemptOutcome, Decision, QuotaAmount};

use crate::admission_quota::store_mapping::charge_of;
use crate::config::Config;
use crate::controller::users::submissions::CreationOutcome;
use crate::controller::{Controller, RETRY_AFTER_S};
use crate::http::Response;
use crate::peers::Shortages;
use crate::protocol::users::Submission;
use crate::runtime::{Notify, Signal, TokenBucket};
use crate::store::replica::{ReplicatedJob, StateReplica};

/// Maximum number of attempts to create a job: an attempt fails if the allotment changes at the same time.
const CREATION_ATTEMPTS_MAX: u32 = 3;
/// Maximum number of charges kept for a team's submissions that wait for units.
const WAITING_CHARGES_MAX: usize = 16;
/// Longest time that a submission waits for a transfer of units, in seconds.
const TRANSFER_WAIT_S: f64 = 0.6;
/// Share of this controller's part of the store's write limit for transfers that no submission waits for.
const BACKGROUND_TRANSFER_SHARE: f64 = 0.25;
/// Maximum number of shortages reported in one heartbeat to another controller.
const SHORTAGES_MAX: usize = 64;
/// Answer while no quotas are in force, while those in force differ from this controller's features file, or while the
/// replica is not loaded.
const NOT_IN_FORCE: &str = "quotas are not in force";
/// Answer when the team's quota has too few free units for the job at present.
const QUOTA_EXHAUSTED: &str = "the team's quota is used up";
/// Answer when the job alone exceeds the largest quota that its team can have. Operators search for this text.
const EXCEEDS_QUOTA: &str = "more than the team's quota";

/// The state of admission quotas at a controller.
pub(crate) struct QuotaAdmission {
    /// Decides which jobs are admitted to this controller's allotments.
    pub admissions: RefCell<Admissions>,
    /// Plans the transactions that only the leader makes, such as putting quota settings into force, reclaiming units
    /// of lost controllers and returning borrowed units. Unused while this controller does not lead.
    pub supervisor: RefCell<Supervisor>,
    /// The charges of submissions that wait for units, by team.
    pub waiting_charges: RefCell<BTreeMap<Rc<str>, Vec<QuotaAmount>>>,
    /// Set when a round of transfers is due.
    pub transfers_due: Signal,
    /// Notifies when a transfer that submissions wait for has been made or has failed.
    pub transfer_settled: Notify,
    /// Paces the transfers that no submission waits for.
    pub background_rate: TokenBucket,
    /// Whether [`Controller::quota_agrees`] has found the quotas of this controller's features file in force at least
    /// once.
    have_been_in_force: Cell<bool>,
}

impl QuotaAdmission {
    /// The state at the start of a process with this incarnation; None if quotas are not enabled.
    pub fn new(config: &Config, incarnation: u64) -> Option<Self> {
        let settings = config.features.quota.clone()?;
        let deployment = &config.deployment;
        let nodes = deployment.nodes;
        let rate = deployment.state.write_rps * BACKGROUND_TRANSFER_SHARE / nodes as f64;
        let incarnation = owner_incarnation(incarnation);
        let admissions = Admissions::new(&config.node, incarnation, nodes, settings);
        Some(QuotaAdmission {
            admissions: RefCell::new(admissions),
            supervisor: RefCell::default(),
            waiting_charges: RefCell::default(),
            transfers_due: Signal::default(),
            transfer_settled: Notify::default(),
            background_rate: TokenBucket::new(rate, rate),
            have_been_in_force: Cell::new(false),
        })
    }

    /// Adds the charge of a job to those that the next round of transfers obtains units for.
    fn request_transfer(&self, job: &Submission, charge: QuotaAmount) {
        let mut waiting = self.waiting_charges.borrow_mut();
        let charges = waiting.entry(job.team.as_str().into()).or_default();
        if charges.len() < WAITING_CHARGES_MAX {
            charges.push(charge);
        }
    }

    /// Whether the store has quota settings that differ from this controller's features file.
    pub fn differs_from_store(&self, replica: &StateReplica) -> bool {
        let settings = replica.quota.as_ref().and_then(|ledger| ledger.settings());
        settings.is_some_and(|(record, _)| record.digest != self.admissions.borrow().digest())
    }
}

/// The incarnation under which the store records an owner of allotments. 0 stands for no owner there, so it becomes 1.
pub(crate) fn owner_incarnation(incarnation: u64) -> u64 {
    incarnation.max(1)
}

impl Controller {
    /// A replica with no keys yet, which keeps a ledger of quotas if they are enabled.
    pub(crate) fn empty_replica(&self) -> StateReplica {
        let mut replica = match &self.quota {
            Some(_) => StateReplica::with_quota(),
            None => StateReplica::default(),
        };
        replica.now = self.now();
        replica
    }

    /// Drops the attempts to create a job, and the transfers, that the replica shows to be settled. Called after each
    /// change of the replica.
    pub(crate) fn prune_quota_attempts(&self) {
        let Some(quota) = &self.quota else {
            return;
        };
        let replica = self.replication.replica.borrow();
        let mut admissions = quota.admissions.borrow_mut();
        if let Some(ledger) = replica.quota.as_ref().filter(|_| admissions.has_pending()) {
            admissions.prune(ledger, |id| {
                replica.jobs.get(id).is_some_and(ReplicatedJob::is_known)
            });
        }
    }

    /// Whether this controller and the store have the same quota settings, or neither has any. The settings must also
    /// have been in force at least once since the process started: until then no submission can be admitted.
    pub(crate) fn quota_agrees(&self) -> bool {
        let replica = self.replication.replica.borrow();
        let Some(quota) = &self.quota else {
            return !replica.has_quota_settings;
        };
        let settings = replica.quota.as_ref().and_then(|ledger| ledger.settings());
        let Some((record, _)) = settings else {
            return false;
        };
        let is_same = record.digest == quota.admissions.borrow().digest();
        if is_same && record.open {
            quota.have_been_in_force.set(true);
        }
        is_same && quota.have_been_in_force.get()
    }

    /// The units that this controller lacked lately, reported to the other controllers.
    pub(crate) fn shortages(&self) -> Shortages {
        let Some(quota) = &self.quota else {
            return Vec::new();
        };
        let mut shortages = quota.admissions.borrow().shortages(self.now());
        shortages.truncate(SHORTAGES_MAX);
        shortages
    }

    /// Stores a new job within its team's quota; returns the answer for its user.
    pub(crate) async fn create_within_quota(
        &self,
        quota: &QuotaAdmission,
        job: &Submission,
    ) -> Response {
        let charge = charge_of(job);
        let mut retry_after_s = f64::from(RETRY_AFTER_S);
        for _ in 0..CREATION_ATTEMPTS_MAX {
            match self.decide_admission(quota, job, charge) {
                Decision::Admitted(attempt) => match self.create_job(job, Some(&attempt)).await {
                    CreationOutcome::Answer(answer) => return answer,
                    CreationOutcome::Conflict => {}
                },
                Decision::NeedsRefill => self.wait_for_transfer(quota, job, charge).await,
                Decision::Refused {
                    retry_after_s: estimate_s,
                } => {
                    retry_after_s = estimate_s;
                    break;
                }
                Decision::ExceedsQuota => {
                    let refusal = Response::error(422, EXCEEDS_QUOTA);
                    return self.refuse_unless_known(job, refusal).await;
                }
                Decision::NotReady => {
                    return Response::retry_later(503, NOT_IN_FORCE, RETRY_AFTER_S);
                }
            }
        }
        let refusal = Response::retry_later(429, QUOTA_EXHAUSTED, retry_after_s.ceil() as u32);
        self.refuse_unless_known(job, refusal).await
    }

    /// Decides whether to admit a job, by the replica's ledger of quotas.
    fn decide_admission(
        &self,
        quota: &QuotaAdmission,
        job: &Submission,
        charge: QuotaAmount,
    ) -> Decision {
        let replica = self.replication.replica.borrow();
        let ledger = replica.quota.as_ref();
        let Some(ledger) = ledger.filter(|_| self.replication.is_loaded.get()) else {
            return Decision::NotReady;
        };
        let mut admissions = quota.admissions.borrow_mut();
        admissions.decide(ledger, &job.id, &job.team, charge, self.now())
    }

    /// Requests a transfer of units for a job, and waits until it has been made or has failed, for [`TRANSFER_WAIT_S`]
    /// at most.
    async fn wait_for_transfer(
        &self,
        quota: &QuotaAdmission,
        job: &Submission,
        charge: QuotaAmount,
    ) {
        quota.request_transfer(job, charge);
        let settled = quota.transfer_settled.notified();
        quota.transfers_due.set();
        let _ = self.runtime.timeout(TRANSFER_WAIT_S, settled).await;
    }

    /// Records the outcome of an attempt to create a job; without effect for a job that is charged to no allotment.
    pub(crate) fn finish_attempt(&self, attempt: Option<&Attempt>, outcome: AttemptOutcome) {
        if let (Some(quota), Some(attempt)) = (&self.quota, attempt) {
            let mut admissions = quota.admissions.borrow_mut();
            admissions.finish(attempt, outcome, self.now());
        }
    }
}
