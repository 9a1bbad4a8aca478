//! Filling assignment records: what is due first, then what the oldest records alone still hold.

use super::LEADER_WRITE_SHARE;
use super::pending_transaction::{DraftTransaction, WrittenRecord};
use super::state_writer::{StateWriter, WriteSource};
use crate::config::StateLimits;
use crate::fleet::Fleet;
use crate::jobs::assignment_log::AssignmentRecordBuilder;
use crate::jobs::{Job, JobIndex, MachineIndex};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::transaction::put_change;

/// Of so many writes of the leader one is for the assignment log.
const WRITES_PER_RECORD: f64 = 3.0;
/// Old assignment records whose content is rewritten with one transaction.
const REWRITTEN_RECORDS_MAX: usize = 4;
/// Bytes of a transaction that assignment records may take.
const RECORD_BYTES_MAX: usize = 48 * 1024;

/// What was found of an old record as its content was rewritten.
struct RewrittenRecord {
    /// Tasks that no newer record holds.
    still_needed: usize,
    /// All tasks that it holds.
    recorded: usize,
}

/// The name and zone of a machine, as an assignment record holds them.
fn location(fleet: &Fleet, machine: MachineIndex) -> Option<(&str, &str)> {
    let machine = fleet.machines.get(&machine)?;
    Some((&*machine.name, &*machine.zone))
}

impl StateWriter {
    /// When assignment records are to be written next, if they are. So many records a second are enough: each takes in
    /// what came meanwhile. Tasks end all the time, so that something is always due: each such moment once took a
    /// write of its own.
    pub(super) fn records_due_at(&self, limits: &StateLimits) -> Option<Time> {
        let gap_s = WRITES_PER_RECORD / (limits.write_rps * LEADER_WRITE_SHARE);
        let due = self
            .pending
            .values()
            .map(|pending| pending.due)
            .min_by(f64::total_cmp)?;
        Some(
            self.last_record_at
                .map_or(due, |written_at| due.max(written_at + gap_s)),
        )
    }

    /// Adds assignment records until there are `ops` changes.
    pub(super) fn write_records(
        &mut self,
        draft: &mut DraftTransaction,
        source: &WriteSource<'_>,
        ops: usize,
        now: Time,
    ) -> Option<()> {
        let mut builders = self.fill_records(source, ops - draft.len(), now);
        let mut oldest_valid = self.log.oldest_valid();
        if let Some(last) = builders.last_mut() {
            oldest_valid = self.rewrite_oldest(source, last);
        }
        for mut builder in builders {
            builder.record.oldest_valid = oldest_valid;
            let number = self.log.take_number();
            draft.require_absent(keys::assignment_record(number));
            draft.txn.changes.push(put_change(
                keys::assignment_record(number),
                &builder.record,
            )?);
            draft.content.records.push(WrittenRecord {
                number,
                tasks: builder.recorded,
            });
            self.last_record_at = Some(now);
        }
        draft.content.oldest_valid = Some(oldest_valid);
        Some(())
    }

    /// Fills records, `most` at the most, with what is due; what isn't yet takes the room that is left.
    fn fill_records(
        &mut self,
        source: &WriteSource<'_>,
        most: usize,
        now: Time,
    ) -> Vec<AssignmentRecordBuilder> {
        let value_max = (source.limits.value_kb * 1024.0) as usize >> self.limit_backoff;
        let mut order: Vec<(Time, JobIndex)> = self
            .pending
            .iter()
            .map(|(index, pending)| (pending.due, *index))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut full: Vec<AssignmentRecordBuilder> = Vec::new();
        let mut builder = AssignmentRecordBuilder::new(value_max);
        'jobs: for (due, index) in order {
            let Some(mut pending) = self.pending.remove(&index) else {
                continue;
            };
            let Some(job) = source.jobs.get(&index).filter(|j| j.end.is_none()) else {
                continue;
            };
            pending.tasks.sort_unstable();
            pending.tasks.dedup();
            let place = |machine| location(source.fleet, machine);
            for (at, task) in pending.tasks.iter().enumerate() {
                if builder.add(index, job, *task, place) {
                    continue;
                }
                let bytes: usize = full.iter().map(AssignmentRecordBuilder::bytes).sum();
                let has_room = full.len() + 1 < most && bytes + 2 * value_max < RECORD_BYTES_MAX;
                if due <= now && has_room && !builder.is_empty() {
                    let next = AssignmentRecordBuilder::new(value_max);
                    full.push(std::mem::replace(&mut builder, next));
                    if builder.add(index, job, *task, place) {
                        continue;
                    }
                }
                if builder.is_empty() {
                    // Never stored, and so never launched.
                    tracing::error!(job = %job.id, task, "assignment too large to store");
                    continue;
                }
                pending.tasks.drain(..at);
                self.pending.insert(index, pending);
                break 'jobs;
            }
        }
        if !builder.is_empty() {
            full.push(builder);
        }
        full
    }

    /// Rewrites what the oldest records alone still hold into a record that is written in any case; returns the oldest
    /// that is valid from then on. Those before it are deleted later: one that was deleted comes back if its
    /// transaction is carried out once more, and must not be valid then.
    fn rewrite_oldest(
        &mut self,
        source: &WriteSource<'_>,
        builder: &mut AssignmentRecordBuilder,
    ) -> u64 {
        let mut oldest_valid = self.log.oldest_valid();
        let mut rewritten = Vec::new();
        for (number, tasks) in self.log.surplus(REWRITTEN_RECORDS_MAX) {
            // What is finished and off all machines is known by its end.
            let needed = |index: &JobIndex, task: u32| -> Option<&Job> {
                let job = source.jobs.get(index)?;
                (!self.finished.contains(index) && job.is_recorded_by(task, number)).then_some(job)
            };
            let live: Vec<(JobIndex, u32, &Job)> = tasks
                .iter()
                .filter_map(|(index, task)| Some((*index, *task, needed(index, *task)?)))
                .collect();
            rewritten.push(RewrittenRecord {
                still_needed: live.len(),
                recorded: tasks.len(),
            });
            let place = |machine| location(source.fleet, machine);
            let has_room = live
                .iter()
                .all(|(index, task, job)| builder.add(*index, job, *task, place));
            if !has_room {
                break;
            }
            oldest_valid = number + 1;
        }
        for record in rewritten {
            self.log.on_rewritten(record.still_needed, record.recorded);
        }
        oldest_valid
    }
}
