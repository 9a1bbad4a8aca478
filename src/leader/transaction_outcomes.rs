//! The leader's transactions: the next one to send, and what follows from the outcome of the one in flight.

use std::rc::Rc;

use super::pending_transaction::{TransactionContent, WrittenRecord};
use super::state_writer::{WriteSource, WriteUrgency};
use super::{AfterTransaction, Leader};
use crate::jobs::JobIndex;
use crate::jobs::assignment_log::LoggedState;
use crate::protocol::store::Txn;
use crate::runtime::Time;
use crate::store::keys;
use crate::store::transaction::TxnOutcome;

impl Leader {
    /// A task is no longer as the assignment log says.
    pub(super) fn mark_pending_write(
        &mut self,
        index: JobIndex,
        task: u32,
        urgency: WriteUrgency,
        now: Time,
    ) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        self.writer
            .mark_pending(index, task, urgency, heartbeat_interval_s, now);
    }

    /// The next transaction to send, if one is due; it stays the same until its outcome is known.
    pub fn next_transaction(&mut self, now: Time) -> Option<Rc<Txn>> {
        let unix_ms = self.unix_ms(now);
        let source = WriteSource {
            fencing_token: self.fencing_token,
            limits: &self.config.deployment.state,
            jobs: &self.jobs,
            fleet: &mut self.fleet,
            unix_ms,
        };
        self.writer.next_transaction(source, now)
    }

    /// When something that isn't due yet is to be written, if anything is.
    pub fn next_write_at(&self) -> Option<Time> {
        let limits = &self.config.deployment.state;
        let has_delegations = self.fleet.zones.has_pending_write();
        self.writer
            .next_write_at(limits, has_delegations, self.term_started_at)
    }

    /// Takes in the outcome of the transaction in flight.
    pub fn on_transaction_outcome(&mut self, outcome: TxnOutcome, now: Time) -> AfterTransaction {
        if self.writer.in_flight.is_none() {
            return AfterTransaction::Continue;
        }
        match outcome {
            TxnOutcome::Applied(revision) => {
                self.writer.budget.on_applied();
                self.on_applied(revision, now);
                AfterTransaction::Continue
            }
            TxnOutcome::Unknown | TxnOutcome::Refused => {
                self.writer.budget.on_not_applied();
                AfterTransaction::Retry
            }
            TxnOutcome::TooLarge => {
                // The same again would be refused for ever, and all writes wait for this one: its content is written
                // in smaller pieces.
                self.writer.halve_limits();
                self.abort_transaction(now);
                AfterTransaction::Retry
            }
            TxnOutcome::Conflict(failed_keys) => self.on_conflict(&failed_keys, now),
        }
    }

    /// Conditions of the transaction in flight failed: nothing of it was applied, at least not this time.
    fn on_conflict(&mut self, failed_keys: &[String], now: Time) -> AfterTransaction {
        if failed_keys.contains(&keys::leader()) {
            return AfterTransaction::LeadershipLost;
        }
        let Some(in_flight) = &self.writer.in_flight else {
            return AfterTransaction::Continue;
        };
        let ends: Vec<(JobIndex, String)> = in_flight
            .content
            .ends
            .iter()
            .map(|index| (*index, keys::job_end(&self.jobs[index].id)))
            .collect();
        let is_end = |key: &String| ends.iter().any(|(_, end)| end == key);
        if let Some(other) = failed_keys.iter().find(|key| !is_end(key)) {
            // Only this term writes that key: a copy was applied, even if the only one known of was refused.
            // The leader once resigned for that.
            return AfterTransaction::ReadBack(other.clone());
        }
        // A user's withdrawal came first, or a copy of this transaction; the replica will show which.
        for (index, key) in ends {
            if failed_keys.contains(&key) {
                self.writer.end_is_stored(index);
            }
        }
        self.abort_transaction(now);
        AfterTransaction::Continue
    }

    /// The transaction in flight was not applied: its content is to be written by another one.
    fn abort_transaction(&mut self, now: Time) {
        let Some(in_flight) = self.writer.in_flight.take() else {
            return;
        };
        for zone in &in_flight.content.delegated_zones {
            self.fleet.zones.on_write_outcome(zone, None, now);
        }
        let records = in_flight.content.records.into_iter();
        for logged in records.flat_map(|record| record.tasks) {
            self.mark_pending_write(logged.job, logged.task, WriteUrgency::Immediate, now);
        }
    }

    /// A key of the transaction in flight was read: it was found applied at this revision, or not at all if that is 0.
    pub fn on_read_back(&mut self, revision: u64, now: Time) {
        if revision > 0 {
            self.on_applied(revision, now);
        }
    }

    fn on_applied(&mut self, revision: u64, now: Time) {
        let Some(in_flight) = self.writer.in_flight.take() else {
            return;
        };
        let TransactionContent {
            records,
            oldest_valid,
            deleted_records,
            ends,
            deleted_jobs,
            delegated_zones,
        } = in_flight.content;
        for zone in &delegated_zones {
            self.fleet.zones.on_write_outcome(zone, Some(revision), now);
        }
        for record in records {
            self.on_record_stored(record, now);
        }
        if let Some(oldest_valid) = oldest_valid {
            self.writer.log.invalidate_before(oldest_valid);
        }
        for number in deleted_records {
            self.writer.log.remove(number);
        }
        for index in ends {
            self.writer.end_is_stored(index);
            if let Some(job) = self.jobs.get_mut(&index) {
                job.end_stored = true;
            }
            self.mark_if_finished(index);
        }
        for index in deleted_jobs {
            self.on_job_deleted(index);
        }
    }

    /// An assignment record is stored: tasks that it assigns may be launched.
    fn on_record_stored(&mut self, record: WrittenRecord, now: Time) {
        for logged in record.tasks {
            if let Some(job) = self.jobs.get_mut(&logged.job) {
                job.on_recorded(logged.task, logged.state, record.number);
                self.writer
                    .log
                    .add_task(record.number, logged.job, logged.task);
            }
            if let LoggedState::Assigned { .. } = logged.state {
                self.on_assignment_stored(logged.job, logged.task, now);
            }
        }
    }

    /// A job's record is deleted: the job is forgotten here.
    fn on_job_deleted(&mut self, index: JobIndex) {
        // A stray attempt may have shown up while this was written: the job is needed until that
        // is off. Its going once ended the process.
        if self
            .jobs
            .get(&index)
            .is_some_and(|job| job.live_attempts > 0)
        {
            return;
        }
        self.writer.unmark_finished(index);
        if let Some(job) = self.jobs.remove(&index) {
            for part in 1..=job.dependency_parts {
                let key = keys::dependency_part(&job.id, part);
                self.fleet.zones.delete_obsolete(key);
            }
        }
        self.dequeue(index);
    }
}
