//! A transaction of the leader, together with the jobs, records and zones that it writes, so that the leader can update
//! its state once the outcome is known.

use std::rc::Rc;

use crate::jobs::JobIndex;
use crate::jobs::assignment_log::LoggedTask;
use crate::protocol::store::{Condition, Txn};
use crate::store::keys;

/// An assignment record that a transaction writes.
pub(super) struct WrittenRecord {
    /// The record's number in the assignment log.
    pub(super) number: u64,
    /// The tasks that it records.
    pub(super) tasks: Vec<LoggedTask>,
}

/// The jobs, records and zones that the changes of a transaction concern.
#[derive(Default)]
pub(super) struct TransactionContent {
    /// The assignment records that the transaction writes.
    pub(super) records: Vec<WrittenRecord>,
    /// The number of the oldest assignment record that is valid once the transaction is applied. None if no assignment
    /// records were due.
    pub(super) oldest_valid: Option<u64>,
    /// Numbers of the invalid assignment records that the transaction deletes.
    pub(super) deleted_records: Vec<u64>,
    /// Jobs whose end records the transaction creates.
    pub(super) ends: Vec<JobIndex>,
    /// Jobs whose records the transaction deletes.
    pub(super) deleted_jobs: Vec<JobIndex>,
    /// Jobs whose dependency parts the transaction deletes, on the condition that the jobs have no records.
    pub(super) jobs_required_absent: Vec<Rc<str>>,
    /// Zones whose delegations the transaction writes.
    pub(super) delegated_zones: Vec<Rc<str>>,
}

/// A transaction that is being built.
pub(super) struct DraftTransaction {
    pub(super) txn: Txn,
    pub(super) content: TransactionContent,
}

impl DraftTransaction {
    /// A transaction without changes, on the condition that the fencing token is still that of the leader.
    pub(super) fn new(fencing_token: u64) -> Self {
        let still_leader = Condition {
            key: keys::leader(),
            revision: fencing_token,
        };
        DraftTransaction {
            txn: Txn {
                conditions: vec![still_leader],
                changes: Vec::new(),
            },
            content: TransactionContent::default(),
        }
    }

    /// The number of changes so far.
    pub(super) fn len(&self) -> usize {
        self.txn.changes.len()
    }

    /// Adds the condition that a key is absent.
    pub(super) fn require_absent(&mut self, key: String) {
        self.txn.conditions.push(Condition { key, revision: 0 });
    }

    /// Completes the transaction, which is then sent.
    pub(super) fn into_in_flight(self) -> InFlightTransaction {
        InFlightTransaction {
            txn: Rc::new(self.txn),
            content: self.content,
        }
    }
}

/// A transaction that is sent, until its outcome is known.
pub(super) struct InFlightTransaction {
    pub(super) txn: Rc<Txn>,
    pub(super) content: TransactionContent,
}
