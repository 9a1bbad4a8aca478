//! Delegation: answering workers in the name of a leader that they can't reach, see [`crate::fleet::zones`].

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::controller::workers::heartbeats::heartbeat_reply;
use crate::controller::{Controller, READ_TIMEOUT_S, READ_WAITERS_MAX, RETRY_S, WATCH_BATCH_S};
use crate::http::Response;
use crate::protocol::store::{Condition, Txn};
use crate::protocol::workers::{Command, Heartbeat, TaskState};
use crate::runtime::Signal;
use crate::store::keys;
use crate::store::replica::Versioned;
use crate::store::transaction::TxnOutcome;

/// A delegation as the replica shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DelegationRef {
    /// The fencing token of the leader that delegates.
    fencing_token: u64,
    /// The key of the delegation's record.
    key: String,
    /// The revision of that record.
    revision: u64,
}

/// What the store says of a delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DelegationStatus {
    /// It is in force, and the replica is as current as the comparison that showed so.
    InForce,
    /// Taken back, or another controller leads by now.
    Revoked,
    /// The store gave no answer.
    Unknown,
}

/// A heartbeat that waits until the store shows whether a delegation is in force.
struct DelegationCheck {
    /// The delegation under which the heartbeat would be answered.
    delegation: DelegationRef,
    /// Takes the result of the check.
    sender: oneshot::Sender<DelegationStatus>,
}

/// The heartbeats that wait for the check of a delegation.
#[derive(Default)]
pub(crate) struct DelegationChecks {
    /// The heartbeats that came since the last check began.
    waiting: RefCell<Vec<DelegationCheck>>,
    /// Begins a check.
    requested: Signal,
}

/// Stops for all that a worker has of jobs that have ended: a cancelled job must be gone in time, and
/// the reply renews its worker's lease.
pub(crate) fn stop_commands_for_ended_jobs(
    heartbeat: &Heartbeat,
    is_ended: impl Fn(&str) -> bool,
) -> Vec<Command> {
    let live = heartbeat
        .tasks
        .iter()
        .filter(|t| t.state != TaskState::Exited);
    live.filter(|t| is_ended(&t.task))
        .map(|t| Command::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: 0.0,
        })
        .collect()
}

impl Controller {
    /// Answers a heartbeat in the leader's name; None if the leader does not let others do so in the worker's zone.
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
        if self.delegation_checks.waiting.borrow().len() >= READ_WAITERS_MAX {
            return Some(Response::retry_later(503, "too many reports", RETRY_S));
        }
        match self.check_delegation(delegation).await {
            DelegationStatus::InForce => {}
            DelegationStatus::Revoked => return None,
            DelegationStatus::Unknown => {
                return Some(Response::retry_later(
                    503,
                    "whether the delegation is in force is not known",
                    RETRY_S,
                ));
            }
        }
        self.relays.record(heartbeat, fencing_token);
        let commands = self.stop_commands(heartbeat);
        Some(heartbeat_reply(fencing_token, commands))
    }

    /// The delegation of a zone by that leader, as the replica shows it.
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

    /// Waits for a check of the delegation that begins after this call.
    async fn check_delegation(&self, delegation: DelegationRef) -> DelegationStatus {
        let (sender, receiver) = oneshot::channel();
        self.delegation_checks
            .waiting
            .borrow_mut()
            .push(DelegationCheck { delegation, sender });
        self.delegation_checks.requested.set();
        match self.runtime.timeout(READ_TIMEOUT_S, receiver).await {
            Ok(Ok(status)) => status,
            _ => DelegationStatus::Unknown,
        }
    }

    /// Reads, for heartbeats that wait, whether delegations are still in force; then waits for the replica to
    /// show all that was stored by then. A read answers only what came before it began.
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

    /// Compares a delegation with the store, and waits for the replica to be as current as that comparison.
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
            TxnOutcome::Refused | TxnOutcome::TooLarge | TxnOutcome::Unknown => {
                DelegationStatus::Unknown
            }
        }
    }
}

#[cfg(test)]
mod tests;
