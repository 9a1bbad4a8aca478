//! A job in the replica: its record, its end, and what the assignment log says of its tasks.

use std::collections::BTreeMap;
use std::rc::Rc;

use quota::QuotaAmount;

use crate::jobs::dependency_graph::JobOutcome;
use crate::protocol::users::{JobState, JobStatus, Submission};
use crate::runtime::Time;
use crate::store::records::{EndRecord, JobEnd};

/// A machine's name and zone.
#[derive(Debug, PartialEq, Eq)]
pub struct MachineLocation {
    /// The machine's name.
    pub machine: String,
    /// The zone that it is in.
    pub zone: String,
}

/// State of a task by the newest assignment record that names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedTask {
    /// On no machine any more.
    Released,
    /// Completed.
    Done,
    /// It may be on a machine.
    Assigned {
        /// The machine.
        location: Rc<MachineLocation>,
        /// The attempt that may be there.
        attempt: u64,
    },
}

/// What the assignment log says of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRecord {
    /// The number of the newest assignment record that names the task.
    pub record_number: u64,
    /// What that record says.
    pub state: RecordedTask,
}

/// A job as stored.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedJob {
    /// The submission; none once the job's record is deleted, or if only the job's end is known yet.
    pub spec: Option<Rc<Submission>>,
    /// Revision of the creation of its record, which orders jobs by acceptance.
    pub accepted_revision: u64,
    /// When it was submitted, by this controller's clock; none if that isn't known, as earlier versions stored no time.
    pub submitted_at: Option<Time>,
    /// Time of day of its submission, in milliseconds, as stored.
    pub submitted_unix_ms: Option<u64>,
    /// How it ended, if it did.
    pub end: Option<EndRecord>,
    /// Whether it waits for dependencies that aren't done.
    pub is_blocked: bool,
    /// When the last of its dependencies was done, if it had to wait for any.
    pub ready_at: Option<Time>,
    /// Whether a dependency, direct or transitive, is cancelled: so is this job, though its own end is not stored yet.
    /// It never began, and that never changes.
    pub dependency_cancelled: bool,
    /// How many values beside its own hold dependencies.
    pub dependency_parts: u32,
    /// How many of those values are not known yet.
    pub(super) missing_dependency_parts: u32,
    /// What it is charged to its team's quota, until it is done or its record is deleted.
    pub(super) charge: Option<Charge>,
    /// Tasks that the assignment log names, by number.
    pub tasks: BTreeMap<u32, TaskRecord>,
    done_tasks: u32,
    assigned_tasks: u32,
}

/// What a job is charged to its team's quota.
#[derive(Debug, Clone)]
pub(super) struct Charge {
    /// The team.
    pub team: Rc<str>,
    /// The controller to whose allotment it is charged; none if an earlier version stored the job.
    pub node: Option<Rc<str>>,
    /// The amount.
    pub amount: QuotaAmount,
}

impl ReplicatedJob {
    /// A job of which only the end is known.
    pub fn ended(record: EndRecord) -> Self {
        ReplicatedJob {
            end: Some(record),
            ..ReplicatedJob::default()
        }
    }

    /// Whether its final state is known.
    pub fn has_ended(&self) -> bool {
        self.end.is_some() || self.dependency_cancelled
    }

    /// Whether a user was or may have been told that the job is accepted.
    pub fn is_known(&self) -> bool {
        self.spec.is_some() || self.end.is_some()
    }

    /// Its outcome by its own stored end.
    pub(super) fn outcome(&self) -> JobOutcome {
        match self.end.map(|record| record.end) {
            None => JobOutcome::Open,
            Some(JobEnd::Done) => JobOutcome::Done,
            Some(JobEnd::Cancelled) => JobOutcome::Cancelled,
        }
    }

    /// The job's state for its user.
    pub fn status<'a>(&self, id: &'a str) -> JobStatus<'a> {
        if let Some(record) = self.end {
            let state = match record.end {
                JobEnd::Done => JobState::Done,
                JobEnd::Cancelled => JobState::Cancelled,
            };
            return JobStatus {
                id,
                state,
                done: record.tasks_done,
                running: 0,
            };
        }
        let state = if self.dependency_cancelled {
            JobState::Cancelled
        } else if self.assigned_tasks > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        JobStatus {
            id,
            state,
            done: self.done_tasks,
            running: self.assigned_tasks,
        }
    }

    /// How many of its tasks are done.
    pub fn tasks_done(&self) -> u32 {
        self.end.map_or(self.done_tasks, |record| record.tasks_done)
    }

    /// Takes in what an assignment record says of a task, unless a newer one named it.
    pub(super) fn record_task(&mut self, task: u32, record_number: u64, state: RecordedTask) {
        let known = self.tasks.get(&task);
        if known.is_some_and(|known| known.record_number > record_number) {
            return;
        }
        self.adjust_counts(&state, 1);
        let record = TaskRecord {
            record_number,
            state,
        };
        if let Some(replaced) = self.tasks.insert(task, record) {
            self.adjust_counts(&replaced.state, -1);
        }
    }

    /// Counts a task in a state in, or out with -1.
    fn adjust_counts(&mut self, state: &RecordedTask, change: i32) {
        let count = match state {
            RecordedTask::Released => return,
            RecordedTask::Done => &mut self.done_tasks,
            RecordedTask::Assigned { .. } => &mut self.assigned_tasks,
        };
        *count = count.saturating_add_signed(change);
    }

    /// Drops what assignment records older than `oldest_valid` said.
    pub(super) fn drop_obsolete(&mut self, oldest_valid: u64) {
        let obsolete: Vec<u32> = self
            .tasks
            .iter()
            .filter(|(_, record)| record.record_number < oldest_valid)
            .map(|(task, _)| *task)
            .collect();
        for task in obsolete {
            if let Some(record) = self.tasks.remove(&task) {
                self.adjust_counts(&record.state, -1);
            }
        }
    }

    /// Drops what the assignment log said.
    pub(super) fn clear_tasks(&mut self) {
        self.tasks.clear();
        self.done_tasks = 0;
        self.assigned_tasks = 0;
    }
}
