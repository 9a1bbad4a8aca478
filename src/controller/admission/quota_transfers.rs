//! Transfers of quota units between the controllers' allotments.

use std::rc::Rc;

use futures_util::future::select;
use quota::{AccountChange, Plan, QuotaAmount, transfer};

use crate::admission_quota::store_mapping::transaction_of;
use crate::controller::admission::quota_admission::QuotaAdmission;
use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::store::transaction::TxnOutcome;

/// Maximum number of attempts of a transfer that a submission waits for: an attempt fails if another transfer changes
/// the same accounts at the same time.
const TRANSFER_ATTEMPTS_MAX: u32 = 4;
/// Longest interval between two rounds of transfers, in seconds.
const TRANSFER_INTERVAL_S: f64 = 1.0;

/// The result of a transfer that submissions wait for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TransferResult {
    /// The units are in this controller's allotment.
    Transferred,
    /// There are not enough units, each attempt failed, or the replica is not loaded.
    NotTransferred,
}

impl Controller {
    /// Transfers units: first those that submissions wait for, then those that other controllers requested or that are
    /// idle.
    pub(crate) async fn transfer_quota(self: Rc<Self>) {
        let Some(quota) = &self.quota else {
            return;
        };
        let mut differed_before = false;
        loop {
            {
                let due = std::pin::pin!(quota.transfers_due.wait());
                select(due, self.runtime.sleep(TRANSFER_INTERVAL_S)).await;
            }
            quota.transfers_due.clear();
            self.record_shortages_of_peers(quota);
            let differs = quota.differs_from_store(&self.replication.replica.borrow());
            if differs && !differed_before {
                tracing::warn!("the quotas in force are not those of this controller's file");
            }
            differed_before = differs;
            self.transfer_to_submissions(quota).await;
            self.transfer_in_background(quota).await;
        }
    }

    /// Records the shortages that the other controllers reported as requests for units.
    fn record_shortages_of_peers(&self, quota: &QuotaAdmission) {
        let mut admissions = quota.admissions.borrow_mut();
        for (node, shortages) in self.peers.take_shortages() {
            for (team, amount) in shortages {
                admissions.on_request(&node, &team, amount, self.now());
            }
        }
    }

    /// Transfers the units that submissions wait for.
    async fn transfer_to_submissions(&self, quota: &QuotaAdmission) {
        loop {
            let Some((team, charges)) = quota.waiting_charges.borrow_mut().pop_first() else {
                return;
            };
            let total = charges
                .iter()
                .fold(QuotaAmount::ZERO, |total, charge| total + *charge);
            // If there are too few units for all submissions, there may be enough for one of them.
            for amount in [total].into_iter().chain(charges) {
                let result = self.transfer_to_team(quota, &team, amount).await;
                if result == TransferResult::Transferred {
                    break;
                }
            }
            quota.transfer_settled.notify_all();
        }
    }

    /// Transfers an amount to this controller's allotment of a team, if there are enough units. A failed attempt is
    /// planned anew.
    async fn transfer_to_team(
        &self,
        quota: &QuotaAdmission,
        team: &Rc<str>,
        amount: QuotaAmount,
    ) -> TransferResult {
        for _ in 0..TRANSFER_ATTEMPTS_MAX {
            let Some(plan) = self.plan_transfer(quota, team, amount) else {
                return TransferResult::NotTransferred;
            };
            if matches!(
                self.execute_plan(quota, &plan).await,
                TxnOutcome::Applied(_)
            ) {
                return TransferResult::Transferred;
            }
        }
        TransferResult::NotTransferred
    }

    /// Plans a transfer to this controller's allotment of a team; None if the replica is not loaded or shows too few
    /// units.
    fn plan_transfer(
        &self,
        quota: &QuotaAdmission,
        team: &Rc<str>,
        amount: QuotaAmount,
    ) -> Option<Plan> {
        let replica = self.replication.replica.borrow();
        let ledger = replica.quota.as_ref();
        let ledger = ledger.filter(|_| self.replication.is_loaded.get())?;
        let admissions = quota.admissions.borrow();
        transfer::refill(ledger, &admissions, team, amount, self.now())
    }

    /// Makes the transfers that no submission waits for, until their share of the writes is used up or a submission
    /// waits for units.
    async fn transfer_in_background(&self, quota: &QuotaAdmission) {
        while let Some(plan) = self.next_background_plan(quota) {
            let writes = plan.changes.len() as f64;
            let wait_s = quota.background_rate.acquire(writes, self.now());
            self.execute_plan(quota, &plan).await;
            if wait_s > 0.0 || !quota.waiting_charges.borrow().is_empty() {
                return;
            }
        }
    }

    /// Plans the next transfer that no submission waits for; None if there is none to make.
    fn next_background_plan(&self, quota: &QuotaAdmission) -> Option<Plan> {
        if !self.replication.is_loaded.get() {
            return None;
        }
        let now = self.now();
        let lease_s = self.config.deployment.workers.lease_s;
        let mut replica = self.replication.replica.borrow_mut();
        let ledger = replica.quota.as_mut()?;
        let mut admissions = quota.admissions.borrow_mut();
        if self.trusted_fencing_token().is_some() {
            let is_gone = |node: &str| !self.peers.is_alive(node, now, lease_s);
            let mut supervisor = quota.supervisor.borrow_mut();
            let plan = supervisor.next_plan(ledger, &admissions, is_gone);
            if plan.is_some() {
                return plan;
            }
        }
        transfer::grant(ledger, &mut admissions, now)
            .or_else(|| transfer::release_unused(ledger, &mut admissions, now))
    }

    /// Sends a transfer and waits until the replica shows its outcome. If the store refused the transfer, waits for a
    /// backoff instead.
    async fn execute_plan(&self, quota: &QuotaAdmission, plan: &Plan) -> TxnOutcome {
        let Ok(txn) = transaction_of(plan, self.trusted_fencing_token()) else {
            return TxnOutcome::Refused;
        };
        let outcome = self.write_for_user(&txn).await;
        if outcome != TxnOutcome::Unknown {
            let mut admissions = quota.admissions.borrow_mut();
            for change in &plan.changes {
                if let AccountChange::Allotment { team, .. } = change {
                    admissions.transfer_settled(team);
                }
            }
        }
        match outcome {
            TxnOutcome::Applied(revision) => {
                let _ = self.wait_for_revision(revision).await;
            }
            TxnOutcome::Refused => self.runtime.sleep(STORE_BACKOFF_S).await,
            _ => {
                let _ = self.read_barrier().await;
            }
        }
        outcome
    }
}
