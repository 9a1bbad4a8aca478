//! Keys that the leader deletes because no controller needs them any more, other than those of jobs and assignment
//! records.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::pending_transaction::DraftTransaction;
use crate::protocol::store::Change;
use crate::store::keys;
use crate::store::replica::{DependencyPartId, StateReplica};

/// The keys that are yet to be deleted.
#[derive(Debug, Default)]
pub(super) struct ObsoleteKeys {
    /// Keys of former leaders' delegations. Only the leader with the fencing token in the key writes it, so the key
    /// can't be in use again: its deletion needs no condition of its own.
    delegations: Vec<String>,
    /// Dependency parts whose jobs have no record.
    dependency_parts: Vec<DependencyPartId>,
}

impl ObsoleteKeys {
    /// Returns the obsolete keys in a replica, for a new term.
    pub(super) fn of_replica(replica: &StateReplica) -> Self {
        ObsoleteKeys {
            delegations: replica.delegations.keys().cloned().collect(),
            dependency_parts: replica.dependency_parts_without_job().collect(),
        }
    }

    /// Schedules the deletion of a job's dependency parts, as the job's record is deleted.
    pub(super) fn queue_dependency_parts(&mut self, job: &Rc<str>, count: u32) {
        let part = |number| DependencyPartId {
            job: job.clone(),
            number,
        };
        self.dependency_parts.extend((1..=count).map(part));
    }

    /// Adds deletions until a transaction has `changes_max` changes. The keys are not deleted again if the transaction
    /// is not applied: the next leader finds them in its replica.
    pub(super) fn append_deletions(&mut self, draft: &mut DraftTransaction, changes_max: usize) {
        let parts = take_last(
            &mut self.dependency_parts,
            changes_max.saturating_sub(draft.len()),
        );
        let jobs: BTreeSet<&Rc<str>> = parts.iter().map(|part| &part.job).collect();
        for job in jobs {
            // If the job has a record after all, its dependencies would be lost with the parts.
            draft.require_absent(keys::job(job));
            draft.content.jobs_required_absent.push(job.clone());
        }
        for part in parts {
            tracing::info!(job = %part.job, part = part.number, "deleting dependency part");
            draft.txn.changes.push(Change::Delete { key: part.key() });
        }
        let delegations = take_last(
            &mut self.delegations,
            changes_max.saturating_sub(draft.len()),
        );
        for key in delegations {
            draft.txn.changes.push(Change::Delete { key });
        }
    }
}

/// Takes at most `max_items` items from the end of a list.
fn take_last<T>(items: &mut Vec<T>, max_items: usize) -> Vec<T> {
    let remaining = items.len().saturating_sub(max_items);
    items.split_off(remaining)
}
