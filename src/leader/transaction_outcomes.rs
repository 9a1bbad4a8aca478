//! The leader's transactions: the next one to send, and the changes of the leader's state that follow from the outcome
//! of the one in flight.

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
    /// Schedules a write of a task whose state differs from the assignment log.
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

    /// Returns the next transaction to send, if one is due. The same transaction is returned until its outcome is
    /// known.
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

    /// When the next write is due, if there is any. For a write that is due at once the result is a moment in the
    /// past.
    pub fn next_write_at(&self) -> Option<Time> {
        let limits = &self.config.deployment.state;
        let has_delegations = self.fleet.zones.has_pending_write();
        self.writer
            .next_write_at(limits, has_delegations, self.term_started_at)
    }

    /// Handles the outcome of the transaction in flight.
    pub fn on_transaction_outcome(&mut self, outcome: TxnOutcome, now: Time) -> AfterTransaction {
        if self.writer.in_flight.is_none() {
            return AfterTransaction::Continue;
        }
        match outcome {
            TxnOutcome::Applied(revision) => {
                self.writer.budget.on_applied();
                self.on_applied(revision, now);
                if std::mem::take(&mut self.scheduler.waits_for_writes) {
                    self.request_scheduling_pass();
                }
                AfterTransaction::Continue
            }
            TxnOutcome::Unknown | TxnOutcome::Refused => {
                self.writer.budget.on_not_applied();
                AfterTransaction::Retry
            }
            TxnOutcome::Rejected => {
                // Repeats of the transaction would be rejected each time, and would block all other writes. Its content
                // is written in smaller transactions instead.
                self.writer.halve_limits();
                self.abort_transaction(now);
                AfterTransaction::Retry
            }
            TxnOutcome::Conflict(failed_keys) => self.on_conflict(&failed_keys, now),
        }
    }

    /// Handles failed conditions of the transaction in flight: this copy of it was not applied, but an earlier copy may
    /// have been.
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
        let is_end_key = |key: &String| ends.iter().any(|(_, end_key)| end_key == key);
        let required_absent = in_flight.content.jobs_required_absent.iter();
        let present_jobs: Vec<&Rc<str>> = required_absent
            .filter(|id| failed_keys.contains(&keys::job(id)))
            .collect();
        let is_present_job = |key: &String| present_jobs.iter().any(|id| keys::job(id) == *key);
        let is_own_key = |key: &&String| !is_end_key(key) && !is_present_job(key);
        if let Some(own_key) = failed_keys.iter().find(is_own_key) {
            // Only this term writes that key, so an earlier copy of the transaction was applied, even if the service
            // refused every copy that this leader knows of. Reading the key back avoids a needless resignation.
            return AfterTransaction::ReadBack(own_key.clone());
        }
        for job in present_jobs {
            tracing::warn!(%job, "dependency part kept: its job has a record");
        }
        // A user's cancellation or an earlier copy of this transaction stored these ends; the replica will show how the
        // jobs ended.
        for (index, key) in ends {
            if failed_keys.contains(&key) {
                self.writer.on_end_stored(index);
            }
        }
        self.abort_transaction(now);
        AfterTransaction::Continue
    }

    /// Drops the transaction in flight, which was not applied, and schedules its delegations and tasks to be written by
    /// another one. Ends and deletions of records are pending until they are applied. Deletions of obsolete keys are
    /// not repeated in this term: the next leader finds these keys in its replica.
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

    /// Handles the answer to [`AfterTransaction::ReadBack`]: the transaction in flight was applied at this revision or,
    /// if the revision is 0, not at all. In that case it stays in flight and is sent again.
    pub fn on_read_back(&mut self, revision: u64, now: Time) {
        if revision > 0 {
            self.on_applied(revision, now);
        }
    }

    /// Updates the leader's state after the transaction in flight was applied at this revision.
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
            jobs_required_absent: _,
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
            self.writer.on_end_stored(index);
            if let Some(job) = self.jobs.get_mut(&index) {
                job.end_stored = true;
            }
            self.mark_if_finished(index);
        }
        for index in deleted_jobs {
            self.on_job_deleted(index);
        }
    }

    /// Handles that an assignment record is stored: the tasks that the record assigns may be launched.
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

    /// Removes a job whose records are deleted.
    fn on_job_deleted(&mut self, index: JobIndex) {
        // A heartbeat may have reported a stray attempt of the job while the deletion was in flight. The job must stay
        // until that attempt is released: the release looks up the job, and panics if the job is missing.
        if self
            .jobs
            .get(&index)
            .is_some_and(|job| job.live_attempts > 0)
        {
            return;
        }
        self.writer.unmark_finished(index);
        if let Some(job) = self.jobs.remove(&index) {
            let obsolete_keys = &mut self.writer.obsolete_keys;
            obsolete_keys.queue_dependency_parts(&job.id, job.dependency_parts);
        }
        self.dequeue(index);
    }
}
