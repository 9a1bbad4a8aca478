//! What the leader is to write to the state service, and which of it goes into the next transaction. There is one
//! transaction at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

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

/// How long a batched write waits for others to join it, in heartbeat intervals of the workers.
const BATCHED_WRITE_DELAY_HEARTBEATS: f64 = 0.25;
/// Invalid assignment records that one transaction deletes.
const DELETED_RECORDS_MAX: usize = 4;
/// How often the limits of what is written are halved at the most.
const LIMIT_BACKOFF_MAX: u32 = 5;
/// A transaction makes at least so many changes, however far its limit was halved.
const TXN_OPS_MIN: usize = 2;

/// How soon something must be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteUrgency {
    /// With the next transaction: something waits for it.
    Immediate,
    /// A little later, together with what joins it until then.
    Batched,
}

/// Tasks of a job whose state differs from the assignment log.
pub(super) struct PendingWrites {
    /// By when they must be written.
    pub(super) due: Time,
    pub(super) tasks: Vec<u32>,
}

/// What a transaction is made from.
pub(super) struct WriteSource<'a> {
    pub(super) fencing_token: u64,
    pub(super) limits: &'a StateLimits,
    pub(super) jobs: &'a JobTable,
    pub(super) fleet: &'a mut Fleet,
    /// The time of day in milliseconds, if it is known.
    pub(super) unix_ms: Option<u64>,
}

/// What is to be written to the state service, and the transaction in flight.
pub(super) struct StateWriter {
    /// Jobs with tasks whose assignment is to be written.
    pub(super) pending: BTreeMap<JobIndex, PendingWrites>,
    pub(super) log: AssignmentLog,
    /// When an assignment record was last written, if one was in this term.
    pub(super) last_record_at: Option<Time>,
    /// Jobs whose end is to be written.
    ends: BTreeSet<JobIndex>,
    /// Jobs that are finished and off all machines: their records are to be deleted.
    pub(super) finished: BTreeSet<JobIndex>,
    pub(super) in_flight: Option<InFlightTransaction>,
    pub(super) budget: WriteBudget,
    /// If only one change may be written, an end goes before an assignment record.
    end_goes_first: bool,
    /// How often the limits of what is written were halved, as the service took less than its settings say.
    pub(super) limit_backoff: u32,
}

impl StateWriter {
    /// Nothing to write.
    pub(super) fn new(log: AssignmentLog, now: Time) -> Self {
        StateWriter {
            pending: BTreeMap::new(),
            log,
            last_record_at: None,
            ends: BTreeSet::new(),
            finished: BTreeSet::new(),
            in_flight: None,
            budget: WriteBudget::new(now),
            end_goes_first: false,
            limit_backoff: 0,
        }
    }

    /// A task is no longer as the assignment log says.
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

    /// A job ended: its end is to be written, its assignments no longer.
    pub(super) fn mark_ended(&mut self, index: JobIndex) {
        self.pending.remove(&index);
        self.ends.insert(index);
    }

    /// A job's end is stored, or another one is.
    pub(super) fn end_is_stored(&mut self, index: JobIndex) {
        self.ends.remove(&index);
    }

    /// A job is finished and off all machines.
    pub(super) fn mark_finished(&mut self, index: JobIndex) {
        self.pending.remove(&index);
        self.finished.insert(index);
    }

    /// A finished job has an attempt on a machine after all.
    pub(super) fn unmark_finished(&mut self, index: JobIndex) {
        self.finished.remove(&index);
    }

    /// The next transaction to send, if one is due; it stays the same until its outcome is known.
    pub(super) fn next_transaction(
        &mut self,
        mut source: WriteSource<'_>,
        now: Time,
    ) -> Option<Rc<Txn>> {
        if let Some(in_flight) = &self.in_flight {
            return Some(in_flight.txn.clone());
        }
        self.budget.refill(source.limits.write_rps, now);
        let txn_ops = (source.limits.txn_ops >> self.limit_backoff).max(TXN_OPS_MIN);
        let ops = self.budget.available().min(txn_ops);
        if ops == 0 {
            return None;
        }
        let draft = self.draft(&mut source, txn_ops, ops, now)?;
        if draft.len() == 0 {
            return None;
        }
        self.budget.spend(draft.len());
        let in_flight = draft.into_in_flight();
        let txn = in_flight.txn.clone();
        self.in_flight = Some(in_flight);
        Some(txn)
    }

    /// Puts a transaction together: delegations, ends, assignment records, then deletions. `ops` changes may be made, of
    /// the `txn_ops` that a transaction takes. None if a value can't be serialized.
    fn draft(
        &mut self,
        source: &mut WriteSource<'_>,
        txn_ops: usize,
        ops: usize,
        now: Time,
    ) -> Option<DraftTransaction> {
        let writes_records = self.records_have_their_turn(ops, source.limits, now);
        let before_records = ops.saturating_sub(usize::from(writes_records));
        let mut draft = DraftTransaction::new(source.fencing_token);
        draft.content.delegated_zones = source.fleet.zones.append_writes(
            source.fencing_token,
            before_records,
            &mut draft.txn.conditions,
            &mut draft.txn.changes,
        );
        self.write_ends(&mut draft, source, before_records)?;
        if writes_records {
            self.write_records(&mut draft, source, ops, now)?;
        }
        // Deletions are worth no write that anything else could use.
        let spare = txn_ops.min(self.budget.available() / 2);
        self.delete_obsolete(&mut draft, source, spare);
        Some(draft)
    }

    /// Whether assignment records are written now, if so many changes may be made.
    fn records_have_their_turn(&mut self, ops: usize, limits: &StateLimits, now: Time) -> bool {
        let is_due = self.records_due_at(limits).is_some_and(|at| at <= now);
        if ops == 1 && is_due && !self.ends.is_empty() {
            // One change is allowed and two are due: they take turns. Under a low limit the assignment log once took
            // all of them, and the ends of jobs, with the jobs that wait on them, came a hundred seconds late.
            self.end_goes_first = !self.end_goes_first;
            return !self.end_goes_first;
        }
        is_due
    }

    /// Adds ends of jobs until there are `ops` changes.
    fn write_ends(
        &self,
        draft: &mut DraftTransaction,
        source: &WriteSource<'_>,
        ops: usize,
    ) -> Option<()> {
        for index in &self.ends {
            if draft.len() >= ops {
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

    /// Adds deletions of what no controller needs any more until there are `ops` changes.
    fn delete_obsolete(
        &self,
        draft: &mut DraftTransaction,
        source: &mut WriteSource<'_>,
        ops: usize,
    ) {
        let changes = &mut draft.txn.changes;
        let records = ops.saturating_sub(changes.len()).min(DELETED_RECORDS_MAX);
        draft.content.deleted_records = self.log.invalid(records);
        for number in &draft.content.deleted_records {
            let key = keys::assignment_record(*number);
            changes.push(Change::Delete { key });
        }
        for index in &self.finished {
            if changes.len() >= ops {
                break;
            }
            let key = keys::job(&source.jobs[index].id);
            changes.push(Change::Delete { key });
            draft.content.deleted_jobs.push(*index);
        }
        let left = ops.saturating_sub(changes.len());
        for key in source.fleet.zones.take_obsolete_keys(left) {
            changes.push(Change::Delete { key });
        }
    }

    /// When something that isn't due yet is to be written, if anything is; `now_at_once` stands for at once.
    pub(super) fn next_write_at(
        &self,
        limits: &StateLimits,
        has_delegations: bool,
        now_at_once: Time,
    ) -> Option<Time> {
        if !self.ends.is_empty() || has_delegations {
            return Some(now_at_once);
        }
        match self.records_due_at(limits) {
            None if !self.finished.is_empty() => Some(self.budget.refilled_at() + 1.0),
            records_due_at => records_due_at,
        }
    }

    /// The service took less than its settings say: what is written from now on is half as large.
    pub(super) fn halve_limits(&mut self) {
        self.limit_backoff = (self.limit_backoff + 1).min(LIMIT_BACKOFF_MAX);
    }
}
