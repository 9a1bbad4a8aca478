//! Delegation: this controller answers workers in the name of a leader that they can't reach, see
//! [`crate::fleet::zones`].

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::controller::workers::heartbeats::heartbeat_reply;
use crate::controller::{
    BARRIER_TIMEOUT_S, BARRIER_WAITERS_MAX, Controller, RETRY_AFTER_S, WATCH_BATCH_S,
};
use crate::http::Response;
use crate::protocol::store::{Condition, Txn};
use crate::protocol::workers::{Command, Heartbeat, TaskState};
use crate::runtime::Signal;
use crate::store::keys;
use crate::store::replica::Versioned;
use crate::store::transaction::TxnOutcome;

/// The record of a delegation, as the replica shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DelegationRef {
    /// The fencing token of the leader that delegates.
    fencing_token: u64,
    /// The key of the delegation's record.
    key: String,
    /// The revision of that record.
    revision: u64,
}

/// The result of comparing a delegation with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DelegationStatus {
    /// The store has shown that the delegation is in force, and the replica has reached the revision of that answer.
    InForce,
    /// The leader has revoked the delegation, or another controller leads now.
    Revoked,
    /// The store gave no definite answer, or the replica did not reach the revision of the answer in time.
    Unknown,
}

/// A heartbeat whose answer waits until the store has shown whether a delegation is in force.
struct DelegationCheck {
    /// The delegation under which the heartbeat would be answered.
    delegation: DelegationRef,
    /// Sends the result to the routine that answers the heartbeat.
    sender: oneshot::Sender<DelegationStatus>,
}

/// The heartbeats whose answers wait for the check of a delegation.
#[derive(Default)]
pub(crate) struct DelegationChecks {
    /// The heartbeats that arrived since the last check began.
    waiting: RefCell<Vec<DelegationCheck>>,
    /// Set when a check is due.
    requested: Signal,
}

/// Stop commands for all tasks in a heartbeat whose jobs have ended. The reply to the heartbeat renews the worker's
/// lease: without these commands the tasks of a cancelled job would go on running beyond the time limit of a
/// cancellation.
pub(crate) fn stop_commands_for_ended_jobs(
    heartbeat: &Heartbeat,
    is_ended: impl Fn(&str) -> bool,
) -> Vec<Command> {
    let live = heartbeat
        .tasks
        .iter()
        .filter(|status| status.state != TaskState::Exited);
    live.filter(|status| is_ended(&status.task))
        .map(|status| Command::Stop {
            task: status.task.clone(),
            attempt: status.attempt,
            grace_s: 0.0,
        })
        .collect()
}

impl Controller {
    /// Answers a heartbeat in the leader's name; None if no delegation for the worker's zone is in force, or if the
    /// worker has seen a higher fencing token than the leader's.
    pub(crate) async fn answer_as_delegate(
        &self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
    ) -> Option<Response> {
        let delegation = self.delegation_for(&heartbeat.zone, fencing_token);
        let Some(delegation) = delegation.filter(|_| heartbeat.fencing_token <= fencing_token)
        else {
            self.relays.forget(&heartbeat.zone);
            return None;
        };
        if self.delegation_checks.waiting.borrow().len() >= BARRIER_WAITERS_MAX {
            return Some(Response::retry_later(
                503,
                "too many heartbeats wait for the check of a delegation",
                RETRY_AFTER_S,
            ));
        }
        match self.check_delegation(delegation).await {
            DelegationStatus::InForce => {}
            DelegationStatus::Revoked => return None,
            DelegationStatus::Unknown => {
                return Some(Response::retry_later(
                    503,
                    "the delegation can't be checked",
                    RETRY_AFTER_S,
                ));
            }
        }
        self.relays.record(heartbeat, fencing_token);
        let commands = self.stop_commands(heartbeat);
        Some(heartbeat_reply(fencing_token, commands))
    }

    /// The delegation of a zone by the leader with this fencing token, if the replica shows one that is not revoked.
    fn delegation_for(&self, zone: &str, fencing_token: u64) -> Option<DelegationRef> {
        let replica = self.replication.replica.borrow();
        let mut delegations = replica.delegations.iter();
        delegations.find_map(|(key, Versioned { record, revision })| {
            let is_for_zone =
                !record.revoked && record.fencing_token == fencing_token && record.zone == zone;
            is_for_zone.then(|| DelegationRef {
                fencing_token,
                key: key.clone(),
                revision: *revision,
            })
        })
    }

    /// Waits for a check of a delegation that begins after this call.
    async fn check_delegation(&self, delegation: DelegationRef) -> DelegationStatus {
        let (sender, receiver) = oneshot::channel();
        self.delegation_checks
            .waiting
            .borrow_mut()
            .push(DelegationCheck { delegation, sender });
        self.delegation_checks.requested.set();
        match self.runtime.timeout(BARRIER_TIMEOUT_S, receiver).await {
            Ok(Ok(status)) => status,
            _ => DelegationStatus::Unknown,
        }
    }

    /// Checks delegations for the heartbeats that wait. A check answers only heartbeats that arrived before it began,
    /// and heartbeats that wait for the same delegation share one check.
    pub(crate) async fn check_delegations(self: Rc<Self>) {
        loop {
            self.delegation_checks.requested.take().await;
            let waiting = self.delegation_checks.waiting.take();
            let mut checked: Vec<(DelegationRef, DelegationStatus)> = Vec::new();
            for DelegationCheck { delegation, sender } in waiting {
                let known = checked
                    .iter()
                    .find(|(checked, _)| *checked == delegation)
                    .map(|(_, status)| *status);
                let status = match known {
                    Some(status) => status,
                    None => {
                        let status = self.delegation_status(&delegation).await;
                        checked.push((delegation, status));
                        status
                    }
                };
                let _ = sender.send(status);
            }
            self.runtime.sleep(WATCH_BATCH_S).await;
        }
    }

    /// Compares a delegation with the store, and waits until the replica has reached the revision of that comparison.
    async fn delegation_status(&self, delegation: &DelegationRef) -> DelegationStatus {
        let compare = Txn {
            conditions: vec![
                Condition {
                    key: keys::leader(),
                    revision: delegation.fencing_token,
                },
                Condition {
                    key: delegation.key.clone(),
                    revision: delegation.revision,
                },
            ],
            changes: Vec::new(),
        };
        match self.store.txn(&compare).await {
            TxnOutcome::Applied(revision) => {
                self.replication.record_store_contact(self.now());
                match self.wait_for_revision(revision).await {
                    Ok(()) => DelegationStatus::InForce,
                    Err(_) => DelegationStatus::Unknown,
                }
            }
            TxnOutcome::Conflict(_) => DelegationStatus::Revoked,
            TxnOutcome::Refused | TxnOutcome::Rejected | TxnOutcome::Unknown => {
                DelegationStatus::Unknown
            }
        }
    }
}

#[cfg(test)]
mod tests;
