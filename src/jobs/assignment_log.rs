//! The assignment log: the records by which the leader stores which tasks are assigned, released or done.
//!
//! An assignment record holds the state changes of tasks of many jobs since the previous record. The rate of writes
//! therefore depends on the time between records and not on the number of jobs.
//!
//! Assignments and completions that only an old record still holds are rewritten into a new record, so that the old one
//! can be deleted. The oldest record is always rewritten first: no older record then holds an assignment that its
//! entries of released tasks revoke, so they can be dropped. Each record names the oldest valid record. Older records
//! are deleted afterwards, and stay invalid if a repeated copy of their transaction stores them again.

use std::collections::{BTreeMap, HashMap};

use crate::jobs::{Job, JobIndex, MachineIndex, RecordNumber, Task};
use crate::store::records::{
    AssignedRange, AssignmentRecord, JobAssignments, MachineEntry, TaskRange,
};

/// The state of a task as an assignment record holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoggedState {
    /// The task is on no machine.
    Released,
    /// The task may be on a machine.
    Assigned {
        /// The number of the attempt.
        attempt: u64,
    },
    /// The task has completed.
    Done,
}

/// A task as an assignment record holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoggedTask {
    /// The index of the job.
    pub job: JobIndex,
    /// The number of the task in its job.
    pub task: u32,
    /// The recorded state.
    pub state: LoggedState,
}

/// Minimum number of valid records that are kept. Only older ones are rewritten and deleted, because the older a record
/// is, the fewer of its entries are still needed.
const RECORDS_KEPT_MIN: usize = 128;
/// Number of bits of the counter in a record's number. The fencing token takes the bits above.
const COUNTER_BITS: u32 = 16;
/// Upper bounds of the JSON punctuation, in bytes: of a job, a range of tasks, a name, and the record as a whole.
const JOB_PUNCTUATION: usize = 32;
const RANGE_PUNCTUATION: usize = 5;
const NAME_PUNCTUATION: usize = 6;
const RECORD_PUNCTUATION: usize = 64;

/// Fills an assignment record up to a size limit.
#[derive(Debug)]
pub struct AssignmentRecordBuilder {
    /// The record so far.
    pub record: AssignmentRecord,
    /// The tasks that the record holds, in the order in which they were added.
    pub recorded: Vec<LoggedTask>,
    /// Estimated size of the record when it is written, in bytes. The estimate is an upper bound, except that it counts
    /// a range of tasks as if the position of its machine had no more digits than the number of the task.
    bytes: usize,
    bytes_max: usize,
    /// The positions of machines in the record's list of machines.
    machines: HashMap<MachineIndex, u32>,
    /// The positions of entries in the record's list of jobs, by job and attempt.
    jobs: HashMap<(JobIndex, u64), usize>,
}

/// Returns the number of decimal digits of a number.
fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl AssignmentRecordBuilder {
    /// Creates a builder for a record whose estimated size is at most `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Self {
        AssignmentRecordBuilder {
            record: AssignmentRecord::default(),
            recorded: Vec::new(),
            bytes: RECORD_PUNCTUATION,
            bytes_max,
            machines: HashMap::new(),
            jobs: HashMap::new(),
        }
    }

    /// Returns whether the record holds no task yet.
    pub fn is_empty(&self) -> bool {
        self.recorded.is_empty()
    }

    /// Returns the estimated size of the record so far, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the present state of a task. Returns false if the record has no space left for it. `location` returns a
    /// machine's name and zone; the task is left out if it returns None.
    pub fn add<'a>(
        &mut self,
        index: JobIndex,
        job: &Job,
        task: u32,
        location: impl FnOnce(MachineIndex) -> Option<(&'a str, &'a str)>,
    ) -> bool {
        let (state, machine) = match job.task(task) {
            Task::Pending => (LoggedState::Released, None),
            Task::Done { .. } => (LoggedState::Done, None),
            Task::Assigned {
                machine, attempt, ..
            } => (LoggedState::Assigned { attempt }, Some(machine)),
        };
        let attempt = match state {
            LoggedState::Assigned { attempt } => attempt,
            LoggedState::Released | LoggedState::Done => 0,
        };
        let mut added_bytes = 3 * decimal_digits(u64::from(task) + 1) + RANGE_PUNCTUATION;
        if !self.jobs.contains_key(&(index, attempt)) {
            added_bytes += job.id.len() + decimal_digits(attempt) + JOB_PUNCTUATION;
        }
        let mut new_machine = None;
        if let Some(machine) = machine
            && !self.machines.contains_key(&machine)
        {
            let Some((name, zone)) = location(machine) else {
                return true;
            };
            added_bytes += self.machine_bytes(name, zone);
            new_machine = Some((machine, name, zone));
        }
        if self.bytes + added_bytes > self.bytes_max {
            return false;
        }
        self.bytes += added_bytes;
        if let Some((machine, name, zone)) = new_machine {
            self.add_machine(machine, name, zone);
        }
        let machine_index = machine.and_then(|m| self.machines.get(&m).copied());
        self.job_assignments(index, job, attempt)
            .push(task, state, machine_index);
        self.recorded.push(LoggedTask {
            job: index,
            task,
            state,
        });
        true
    }

    /// Returns an upper bound of the bytes that a machine adds to the record. The machine must not be in the record
    /// yet.
    fn machine_bytes(&self, name: &str, zone: &str) -> usize {
        let mut bytes = name.len() + NAME_PUNCTUATION + decimal_digits(self.machines.len() as u64);
        if !self.record.zones.iter().any(|z| z == zone) {
            bytes += zone.len() + NAME_PUNCTUATION;
        }
        bytes
    }

    fn add_machine(&mut self, machine: MachineIndex, name: &str, zone: &str) {
        let zones = &mut self.record.zones;
        let zone_index = zones.iter().position(|z| z == zone).unwrap_or_else(|| {
            zones.push(zone.to_owned());
            zones.len() - 1
        });
        self.record.machines.push(MachineEntry {
            name: name.to_owned(),
            zone_index: zone_index as u32,
        });
        let machine_index = self.record.machines.len() as u32 - 1;
        self.machines.insert(machine, machine_index);
    }

    /// Returns the record's entry for an attempt number of a job, which is added if it is missing. Tasks without an
    /// attempt (released or done) are under attempt 0.
    fn job_assignments(&mut self, index: JobIndex, job: &Job, attempt: u64) -> &mut JobAssignments {
        let jobs = &mut self.record.jobs;
        let position = *self.jobs.entry((index, attempt)).or_insert_with(|| {
            jobs.push(JobAssignments {
                id: job.id.to_string(),
                attempt,
                ..JobAssignments::default()
            });
            jobs.len() - 1
        });
        &mut jobs[position]
    }
}

impl JobAssignments {
    /// Adds a task to the last range of its state if it continues that range, else as a new range. `machine_index` is
    /// the position of its machine in the record, if the task is assigned.
    fn push(&mut self, task: u32, state: LoggedState, machine_index: Option<u32>) {
        if let Some(machine_index) = machine_index {
            match self.assigned.last_mut() {
                Some(last)
                    if last.tasks.is_followed_by(task) && last.machine_index == machine_index =>
                {
                    last.tasks.count += 1
                }
                _ => self.assigned.push(AssignedRange {
                    tasks: TaskRange::single(task),
                    machine_index,
                }),
            }
            return;
        }
        let ranges = match state {
            LoggedState::Done => &mut self.done,
            LoggedState::Released | LoggedState::Assigned { .. } => &mut self.released,
        };
        match ranges.last_mut() {
            Some(last) if last.is_followed_by(task) => last.count += 1,
            _ => ranges.push(TaskRange::single(task)),
        }
    }
}

/// The assignment records in the store, and which tasks each of them holds.
#[derive(Debug)]
pub struct AssignmentLog {
    /// The tasks that each stored record holds, as job and number of the task.
    records: BTreeMap<RecordNumber, Vec<(JobIndex, u32)>>,
    next_number: RecordNumber,
    /// Number of valid records that are kept before the oldest ones are rewritten. Adapts to the share of entries that
    /// are still needed, see [`on_rewritten`](Self::on_rewritten).
    records_kept: usize,
    oldest_valid: RecordNumber,
}

impl AssignmentLog {
    /// Creates the log for a new leader from the numbers of the stored records.
    ///
    /// The numbers of its new records are higher than all numbers used in earlier terms: they begin with the fencing
    /// token, which is a revision of the store. Every transaction raises the revision, and a single transaction holds
    /// fewer records than the counter can number, so no term reaches the numbers of a later one.
    pub fn new(
        fencing_token: u64,
        stored: impl Iterator<Item = RecordNumber>,
        oldest_valid: RecordNumber,
    ) -> Self {
        AssignmentLog {
            records: stored.map(|number| (number, Vec::new())).collect(),
            next_number: fencing_token << COUNTER_BITS,
            records_kept: RECORDS_KEPT_MIN,
            oldest_valid,
        }
    }

    /// Returns whether a record is valid. Invalid records are ignored and deleted.
    pub fn is_valid(&self, number: RecordNumber) -> bool {
        number >= self.oldest_valid
    }

    /// Returns the number of the oldest valid record.
    pub fn oldest_valid(&self) -> RecordNumber {
        self.oldest_valid
    }

    /// Records that a stored record declares all records before `oldest_valid` invalid.
    pub fn invalidate_before(&mut self, oldest_valid: RecordNumber) {
        self.oldest_valid = self.oldest_valid.max(oldest_valid);
    }

    /// Returns at most `max_records` invalid records, which can be deleted.
    pub fn invalid_records(&self, max_records: usize) -> Vec<RecordNumber> {
        let invalid = self.records.range(..self.oldest_valid);
        invalid
            .map(|(number, _)| *number)
            .take(max_records)
            .collect()
    }

    /// Records that a stored record holds a task.
    pub fn add_task(&mut self, number: RecordNumber, index: JobIndex, task: u32) {
        self.records.entry(number).or_default().push((index, task));
    }

    /// Returns a new record number.
    pub fn take_number(&mut self) -> RecordNumber {
        self.next_number += 1;
        self.next_number - 1
    }

    /// Removes a record that was deleted from the store.
    pub fn remove(&mut self, number: RecordNumber) {
        self.records.remove(&number);
    }

    /// Returns at most `max_records` of the oldest valid records that exceed the number to keep, with the tasks that
    /// each holds.
    pub fn records_to_rewrite(
        &self,
        max_records: usize,
    ) -> impl Iterator<Item = (RecordNumber, &[(JobIndex, u32)])> {
        let valid = self.records.range(self.oldest_valid..);
        let surplus = valid.clone().count().saturating_sub(self.records_kept);
        let oldest = valid.take(surplus.min(max_records));
        oldest.map(|(number, tasks)| (*number, tasks.as_slice()))
    }

    /// Adapts the number of records to keep after a record was rewritten that held `recorded` tasks, of which
    /// `still_needed` had to be written again. If these are more than half, rewriting costs more than it saves and more
    /// records are kept. Otherwise the number falls step by step to its minimum.
    pub fn on_rewritten(&mut self, still_needed: usize, recorded: usize) {
        self.records_kept = if still_needed * 2 > recorded.max(1) {
            self.records.len() + self.records.len() / 4
        } else {
            self.records_kept.saturating_sub(1).max(RECORDS_KEPT_MIN)
        };
    }
}
