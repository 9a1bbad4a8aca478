//! The leader's pending writes to the state service, and the choice of those that go into the next transaction. At most
//! one transaction is in flight at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::obsolete_keys::ObsoleteKeys;
use super::pending_transaction::{DraftTransaction, InFlightTransaction};
use super::write_budget::WriteBudget;
use crate::config::StateLimits;
use crate::fleet::Fleet;
use crate::jobs::JobIndex;
use crate::jobs::assignment_log::AssignmentLog;
use crate::jobs::job_table::JobTable;
use crate::protocol::store::{Change, Txn};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::transaction::put_change;

/// How long a batched write may wait for others to share its transaction, in heartbeat intervals of the workers.
const BATCHED_WRITE_DELAY_HEARTBEATS: f64 = 0.25;
/// Maximum number of invalid assignment records that one transaction deletes.
const DELETED_RECORDS_MAX: usize = 4;
/// Maximum number of times that the limits on the size of transactions and values are halved.
const LIMIT_HALVINGS_MAX: u32 = 5;
/// Lower bound of the limit on the changes in a transaction, however often the limit is halved.
const TXN_OPS_MIN: usize = 2;

/// When the write of a task's state is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteUrgency {
    /// At once, as other work waits for the write.
    Immediate,
    /// After [`BATCHED_WRITE_DELAY_HEARTBEATS`], so that tasks that change meanwhile are written together with this
    /// one.
    Batched,
}

/// The tasks of a job whose state differs from the assignment log.
pub(super) struct PendingWrites {
    /// When the earliest of them is due to be written.
    pub(super) due: Time,
    /// Numbers of the tasks; a number may occur several times.
    pub(super) tasks: Vec<u32>,
}

/// The parts of the leader's state from which a transaction is built.
pub(super) struct WriteSource<'a> {
    pub(super) fencing_token: u64,
    pub(super) limits: &'a StateLimits,
    pub(super) jobs: &'a JobTable,
    pub(super) fleet: &'a mut Fleet,
    /// The time of day in milliseconds since 1970, if it is known.
    pub(super) unix_ms: Option<u64>,
}

/// The pending writes to the state service, and the transaction in flight.
pub(super) struct StateWriter {
    /// Jobs with tasks whose state is to be written to the assignment log.
    pub(super) pending: BTreeMap<JobIndex, PendingWrites>,
    pub(super) log: AssignmentLog,
    /// When an assignment record was last put into a transaction in this term.
    pub(super) last_record_at: Option<Time>,
    /// Jobs whose end records are to be written.
    ends: BTreeSet<JobIndex>,
    /// Finished jobs (ended and off all machines), whose records are to be deleted.
    pub(super) finished: BTreeSet<JobIndex>,
    pub(super) obsolete_keys: ObsoleteKeys,
    pub(super) in_flight: Option<InFlightTransaction>,
    pub(super) budget: WriteBudget,
    /// When the budget allows a single change, but both a job's end and an assignment record are due, the two
    /// alternate. True if the end was chosen last.
    single_change_is_end: bool,
    /// How many times the limits on the size of transactions and values were halved, because the service rejected
    /// transactions as too large although they were within the limits of the settings.
    pub(super) limit_halvings: u32,
}

impl StateWriter {
    /// A writer without pending writes, but for the deletion of obsolete keys.
    pub(super) fn new(log: AssignmentLog, obsolete_keys: ObsoleteKeys, now: Time) -> Self {
        StateWriter {
            pending: BTreeMap::new(),
            log,
            last_record_at: None,
            ends: BTreeSet::new(),
            finished: BTreeSet::new(),
            obsolete_keys,
            in_flight: None,
            budget: WriteBudget::new(now),
            single_change_is_end: false,
            limit_halvings: 0,
        }
    }

    /// Schedules a write of a task whose state differs from the assignment log.
    pub(super) fn mark_pending(
        &mut self,
        index: JobIndex,
        task: u32,
        urgency: WriteUrgency,
        heartbeat_interval_s: f64,
        now: Time,
    ) {
        let due = match urgency {
            WriteUrgency::Immediate => now,
            WriteUrgency::Batched => now + heartbeat_interval_s * BATCHED_WRITE_DELAY_HEARTBEATS,
        };
        let pending = self.pending.entry(index).or_insert(PendingWrites {
            due,
            tasks: Vec::new(),
        });
        pending.due = pending.due.min(due);
        pending.tasks.push(task);
    }

    /// Returns the number of task states that wait to be put into a transaction.
    pub(super) fn unstored_tasks(&self) -> usize {
        let pending = self.pending.values();
        pending.map(|pending| pending.tasks.len()).sum()
    }

    /// Schedules the write of a job's end, and drops the pending writes of its tasks: the end makes them superfluous.
    pub(super) fn mark_ended(&mut self, index: JobIndex) {
        self.pending.remove(&index);
        self.ends.insert(index);
    }

    /// Drops the pending write of a job's end, as an end of the job is stored: this one, or one that another controller
    /// wrote.
    pub(super) fn on_end_stored(&mut self, index: JobIndex) {
        self.ends.remove(&index);
    }

    /// Schedules the deletion of the records of a finished job.
    pub(super) fn mark_finished(&mut self, index: JobIndex) {
        self.pending.remove(&index);
        self.finished.insert(index);
    }

    /// Cancels the deletion of a job's records, as an attempt of the job is on a machine after all or the records are
    /// deleted already.
    pub(super) fn unmark_finished(&mut self, index: JobIndex) {
        self.finished.remove(&index);
    }

    /// Returns the next transaction to send, if one is due. The same transaction is returned until its outcome is
    /// known.
    pub(super) fn next_transaction(
        &mut self,
        mut source: WriteSource<'_>,
        now: Time,
    ) -> Option<Rc<Txn>> {
        if let Some(in_flight) = &self.in_flight {
            return Some(in_flight.txn.clone());
        }
        self.budget.refill(source.limits.write_rps, now);
        let txn_changes_max = (source.limits.txn_ops >> self.limit_halvings).max(TXN_OPS_MIN);
        let changes_max = self.budget.available().min(txn_changes_max);
        if changes_max == 0 {
            return None;
        }
        let draft = self.draft(&mut source, txn_changes_max, changes_max, now)?;
        if draft.len() == 0 {
            return None;
        }
        self.budget.spend(draft.len());
        let in_flight = draft.into_in_flight();
        let txn = in_flight.txn.clone();
        self.in_flight = Some(in_flight);
        Some(txn)
    }

    /// Builds a transaction of delegations, ends, assignment records and deletions, in this order. `txn_changes_max` is
    /// the limit on the changes in a transaction, and `changes_max` the same limit reduced to the write budget. None if
    /// a value can't be serialized.
    fn draft(
        &mut self,
        source: &mut WriteSource<'_>,
        txn_changes_max: usize,
        changes_max: usize,
        now: Time,
    ) -> Option<DraftTransaction> {
        let writes_records = self.should_write_records(changes_max, source.limits, now);
        // One change is reserved for an assignment record.
        let changes_max_before_records = changes_max.saturating_sub(usize::from(writes_records));
        let mut draft = DraftTransaction::new(source.fencing_token);
        draft.content.delegated_zones = source.fleet.zones.append_writes(
            source.fencing_token,
            changes_max_before_records,
            &mut draft.txn.conditions,
            &mut draft.txn.changes,
        );
        self.add_ends(&mut draft, source, changes_max_before_records)?;
        if writes_records {
            self.add_records(&mut draft, source, changes_max, now)?;
        }
        // Deletions are added only while the transaction uses less than half of the budget: they must not delay other
        // writes.
        let changes_max_with_deletions = txn_changes_max.min(self.budget.available() / 2);
        self.add_deletions(&mut draft, source.jobs, changes_max_with_deletions);
        Some(draft)
    }

    /// Decides whether a transaction of at most `changes_max` changes writes assignment records.
    fn should_write_records(
        &mut self,
        changes_max: usize,
        limits: &StateLimits,
        now: Time,
    ) -> bool {
        let records_due = self
            .records_due_at(limits)
            .is_some_and(|due_at| due_at <= now);
        if changes_max == 1 && records_due && !self.ends.is_empty() {
            // The budget allows one change and two are due, so they alternate. Otherwise, under a low write limit, the
            // assignment log uses every write, and the ends of jobs, with the start of the jobs that depend on them,
            // are delayed by a hundred seconds.
            self.single_change_is_end = !self.single_change_is_end;
            return !self.single_change_is_end;
        }
        records_due
    }

    /// Adds ends of jobs until the transaction has `changes_max` changes. None if a value can't be serialized.
    fn add_ends(
        &self,
        draft: &mut DraftTransaction,
        source: &WriteSource<'_>,
        changes_max: usize,
    ) -> Option<()> {
        for index in &self.ends {
            if draft.len() >= changes_max {
                break;
            }
            let job = &source.jobs[index];
            let record = EndRecord {
                end: job.end.unwrap_or(JobEnd::Done),
                tasks_done: job.done_tasks,
                ended_unix_ms: source.unix_ms,
            };
            draft.require_absent(keys::job_end(&job.id));
            draft
                .txn
                .changes
                .push(put_change(keys::job_end(&job.id), &record)?);
            draft.content.ends.push(*index);
        }
        Some(())
    }

    /// Adds deletions of keys that no controller needs any more, until the transaction has `changes_max` changes.
    ///
    /// Assignment records and the records of finished jobs need no condition of their own. An assignment record is
    /// invalid for good once a stored record says so. The end of a finished job is stored for good, and no controller
    /// creates a job whose end is stored.
    fn add_deletions(&mut self, draft: &mut DraftTransaction, jobs: &JobTable, changes_max: usize) {
        let changes = &mut draft.txn.changes;
        let records_max = changes_max
            .saturating_sub(changes.len())
            .min(DELETED_RECORDS_MAX);
        draft.content.deleted_records = self.log.invalid_records(records_max);
        for number in &draft.content.deleted_records {
            let key = keys::assignment_record(*number);
            changes.push(Change::Delete { key });
        }
        for index in &self.finished {
            if changes.len() >= changes_max {
                break;
            }
            let key = keys::job(&jobs[index].id);
            changes.push(Change::Delete { key });
            draft.content.deleted_jobs.push(*index);
        }
        self.obsolete_keys.append_deletions(draft, changes_max);
    }

    /// When the next write is due, if there is any. `past`, any moment in the past, is returned for a write that is due
    /// at once.
    pub(super) fn next_write_at(
        &self,
        limits: &StateLimits,
        has_delegations: bool,
        past: Time,
    ) -> Option<Time> {
        if !self.ends.is_empty() || has_delegations {
            return Some(past);
        }
        match self.records_due_at(limits) {
            // Only deletions are pending, which are not urgent: they are tried a second after the last refill.
            None if !self.finished.is_empty() => Some(self.budget.refilled_at() + 1.0),
            records_due_at => records_due_at,
        }
    }

    /// Halves the limits on the size of transactions and values written from now on, as the service rejected a
    /// transaction as too large although it was within the limits of the settings.
    pub(super) fn halve_limits(&mut self) {
        self.limit_halvings = (self.limit_halvings + 1).min(LIMIT_HALVINGS_MAX);
    }
}
