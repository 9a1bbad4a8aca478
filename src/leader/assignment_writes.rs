//! Filling of assignment records: first with the tasks that are due to be written, then with tasks whose state only the
//! oldest records hold, so that those records can be deleted.

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

/// Minimum interval between two transactions with assignment records: the time in which the leader may make this many
/// writes at [`LEADER_WRITE_SHARE`] of the service's write rate.
const WRITES_PER_RECORD: f64 = 3.0;
/// Maximum number of old assignment records whose content one transaction rewrites.
const REWRITTEN_RECORDS_MAX: usize = 4;
/// Maximum size of the assignment records in a transaction, in bytes.
const RECORD_BYTES_MAX: usize = 48 * 1024;

/// How much of an old record had to be rewritten.
struct RewrittenRecord {
    /// The number of its tasks whose current state no newer record holds.
    still_needed: usize,
    /// The number of all its tasks.
    recorded: usize,
}

/// Returns the name and zone of a machine, as assignment records hold them.
fn machine_location(fleet: &Fleet, machine: MachineIndex) -> Option<(&str, &str)> {
    let machine = fleet.machines.get(&machine)?;
    Some((&*machine.name, &*machine.zone))
}

impl StateWriter {
    /// When assignment records are due to be written next; None if no task is to be written.
    ///
    /// The rate of records is limited, as a later record takes in all tasks that changed meanwhile. Without the limit a
    /// record is always due where tasks end all the time, and the end of each task costs a write of its own.
    pub(super) fn records_due_at(&self, limits: &StateLimits) -> Option<Time> {
        let record_interval_s = WRITES_PER_RECORD / (limits.write_rps * LEADER_WRITE_SHARE);
        let due = self
            .pending
            .values()
            .map(|pending| pending.due)
            .min_by(f64::total_cmp)?;
        Some(
            self.last_record_at
                .map_or(due, |written_at| due.max(written_at + record_interval_s)),
        )
    }

    /// Adds assignment records; the transaction then has at most `changes_max` changes. None if a value can't be
    /// serialized.
    pub(super) fn add_records(
        &mut self,
        draft: &mut DraftTransaction,
        source: &WriteSource<'_>,
        changes_max: usize,
        now: Time,
    ) -> Option<()> {
        let mut builders = self.fill_records(source, changes_max - draft.len(), now);
        let mut oldest_valid = self.log.oldest_valid();
        if let Some(last) = builders.last_mut() {
            oldest_valid = self.rewrite_oldest_records(source, last);
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

    /// Fills at most `records_max` records with the pending tasks, in the order in which they are due. A further record
    /// is begun only for tasks that are due now; tasks that are not due yet fill up the last one.
    fn fill_records(
        &mut self,
        source: &WriteSource<'_>,
        records_max: usize,
        now: Time,
    ) -> Vec<AssignmentRecordBuilder> {
        let value_bytes_max = (source.limits.value_kb * 1024.0) as usize >> self.limit_halvings;
        let mut due_order: Vec<(Time, JobIndex)> = self
            .pending
            .iter()
            .map(|(index, pending)| (pending.due, *index))
            .collect();
        due_order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut full_builders: Vec<AssignmentRecordBuilder> = Vec::new();
        let mut builder = AssignmentRecordBuilder::new(value_bytes_max);
        'jobs: for (due, index) in due_order {
            let Some(mut pending) = self.pending.remove(&index) else {
                continue;
            };
            let Some(job) = source.jobs.get(&index).filter(|job| job.end.is_none()) else {
                continue;
            };
            pending.tasks.sort_unstable();
            pending.tasks.dedup();
            let location_of = |machine| machine_location(source.fleet, machine);
            for (position, task) in pending.tasks.iter().enumerate() {
                if builder.add(index, job, *task, location_of) {
                    continue;
                }
                let full_bytes: usize = full_builders
                    .iter()
                    .map(AssignmentRecordBuilder::bytes)
                    .sum();
                let may_add_record = full_builders.len() + 1 < records_max
                    && full_bytes + 2 * value_bytes_max < RECORD_BYTES_MAX;
                if due <= now && may_add_record && !builder.is_empty() {
                    let next_builder = AssignmentRecordBuilder::new(value_bytes_max);
                    full_builders.push(std::mem::replace(&mut builder, next_builder));
                    if builder.add(index, job, *task, location_of) {
                        continue;
                    }
                }
                if builder.is_empty() {
                    // An assignment that is never stored is never launched.
                    tracing::error!(
                        job = %job.id,
                        task,
                        "assignment does not fit into an assignment record; the task will not be launched"
                    );
                    continue;
                }
                pending.tasks.drain(..position);
                // The other jobs' tasks go first: a large job's are never all written while more of them are placed.
                pending.due = pending.due.max(now);
                self.pending.insert(index, pending);
                break 'jobs;
            }
        }
        if !builder.is_empty() {
            full_builders.push(builder);
        }
        full_builders
    }

    /// Copies the tasks whose current state only the oldest records hold into a record that is written in any case.
    /// Returns the number of the oldest record that is valid once it is written.
    ///
    /// The records before that number are deleted by later transactions. The number keeps a deleted record invalid if
    /// it reappears, as it does when the transaction that wrote it is applied once more.
    fn rewrite_oldest_records(
        &mut self,
        source: &WriteSource<'_>,
        builder: &mut AssignmentRecordBuilder,
    ) -> u64 {
        let mut oldest_valid = self.log.oldest_valid();
        let mut rewritten = Vec::new();
        for (number, tasks) in self.log.records_to_rewrite(REWRITTEN_RECORDS_MAX) {
            // The tasks of a finished job are not needed: its end is stored.
            let needed_job = |index: &JobIndex, task: u32| -> Option<&Job> {
                let job = source.jobs.get(index)?;
                (!self.finished.contains(index) && job.is_recorded_by(task, number)).then_some(job)
            };
            let needed_tasks: Vec<(JobIndex, u32, &Job)> = tasks
                .iter()
                .filter_map(|(index, task)| Some((*index, *task, needed_job(index, *task)?)))
                .collect();
            rewritten.push(RewrittenRecord {
                still_needed: needed_tasks.len(),
                recorded: tasks.len(),
            });
            let location_of = |machine| machine_location(source.fleet, machine);
            let all_added = needed_tasks
                .iter()
                .all(|(index, task, job)| builder.add(*index, job, *task, location_of));
            if !all_added {
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
