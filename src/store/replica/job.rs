//! A job in the replica: its record, its end, and the states of its tasks according to the assignment log.

use std::collections::BTreeMap;
use std::rc::Rc;

use quota::QuotaAmount;

use crate::jobs::dependency_graph::JobOutcome;
use crate::protocol::users::{JobState, JobStatus, Submission};
use crate::runtime::Time;
use crate::store::records::{EndRecord, JobEnd};

/// A machine and its zone, as the assignment log names them.
#[derive(Debug, PartialEq, Eq)]
pub struct MachineLocation {
    /// The machine's name.
    pub machine: String,
    /// The name of the zone that the machine is in.
    pub zone: String,
}

/// State of a task according to an assignment record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedTask {
    /// The task is no longer on a machine and has not completed.
    Released,
    /// The task has completed.
    Done,
    /// The task may be on a machine.
    Assigned {
        /// The machine that the task may be on.
        location: Rc<MachineLocation>,
        /// The number of the attempt that may be on the machine.
        attempt: u64,
    },
}

/// State of a task according to the newest assignment record that names the task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRecord {
    /// The number of that assignment record.
    pub record_number: u64,
    /// The state that the record holds.
    pub state: RecordedTask,
}

/// A job as derived from all stored records that concern it.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedJob {
    /// The job as its user submitted it. None once the job's record is deleted, or while only the job's end is known.
    pub spec: Option<Rc<Submission>>,
    /// The revision at which the job's record was created, which orders jobs by acceptance.
    pub accepted_revision: u64,
    /// When the job was submitted, by this controller's steady clock. None if the time is unknown, as earlier versions
    /// did not store it, and if the job ended before the replica was loaded.
    pub submitted_at: Option<Time>,
    /// Unix time of the submission, in milliseconds, as stored. None if an earlier version stored the job.
    pub submitted_unix_ms: Option<u64>,
    /// The stored record of the job's end; None until it is stored.
    pub end: Option<EndRecord>,
    /// Whether the job is blocked on dependencies that are not done. Has no meaning once the job's own end is
    /// stored.
    pub is_blocked: bool,
    /// When the last dependency was done, by this controller's steady clock. None while the job is blocked, for a job
    /// without dependencies, and if the job ended before the replica was loaded.
    pub ready_at: Option<Time>,
    /// Whether a direct or transitive dependency is cancelled. This job is then cancelled too, although its own end may
    /// not be stored yet. No task of it has ever been started, and none ever will be.
    pub dependency_cancelled: bool,
    /// How many values besides the job's own record hold dependencies of the job.
    pub dependency_parts: u32,
    /// Whether the values counted by `dependency_parts` are still to be added to the dependencies in `spec`.
    pub(super) lacks_dependency_parts: bool,
    /// The job's charge to its team's quota. None once the job is done or its record is deleted, and if quotas are not
    /// enabled at this controller.
    pub(super) charge: Option<Charge>,
    /// States of the tasks that the assignment log names, by task number.
    pub tasks: BTreeMap<u32, TaskRecord>,
    done_tasks: u32,
    assigned_tasks: u32,
}

/// A job's charge to its team's quota.
#[derive(Debug, Clone)]
pub(super) struct Charge {
    /// The name of the team.
    pub team: Rc<str>,
    /// The controller to whose allotment the job is charged, see
    /// [`charged_to`](crate::store::records::JobRecord::charged_to).
    pub node: Option<Rc<str>>,
    /// The resources and counts that are charged.
    pub amount: QuotaAmount,
}

impl ReplicatedJob {
    /// Returns a job of which only the end is known.
    pub fn ended(record: EndRecord) -> Self {
        ReplicatedJob {
            end: Some(record),
            ..ReplicatedJob::default()
        }
    }

    /// Returns whether the job's final state is known.
    pub fn has_ended(&self) -> bool {
        self.end.is_some() || self.dependency_cancelled
    }

    /// Returns whether the job's record or its end is stored, so that a user may have received the answer that the job
    /// is accepted.
    pub fn is_known(&self) -> bool {
        self.spec.is_some() || self.end.is_some()
    }

    /// Returns the job's outcome according to its own stored end, disregarding cancelled dependencies.
    pub(super) fn outcome(&self) -> JobOutcome {
        match self.end.map(|record| record.end) {
            None => JobOutcome::Open,
            Some(JobEnd::Done) => JobOutcome::Done,
            Some(JobEnd::Cancelled) => JobOutcome::Cancelled,
        }
    }

    /// Returns the job's status as its user sees it.
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

    /// Returns how many of the job's tasks have completed.
    pub fn tasks_done(&self) -> u32 {
        self.end.map_or(self.done_tasks, |record| record.tasks_done)
    }

    /// Records the state of a task from an assignment record, unless the known state comes from a newer record.
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

    /// Adds `change`, 1 or -1, to the count of tasks in a state. Released tasks are not counted.
    fn adjust_counts(&mut self, state: &RecordedTask, change: i32) {
        let count = match state {
            RecordedTask::Released => return,
            RecordedTask::Done => &mut self.done_tasks,
            RecordedTask::Assigned { .. } => &mut self.assigned_tasks,
        };
        *count = count.saturating_add_signed(change);
    }

    /// Drops the task states from assignment records older than `oldest_valid`.
    pub(super) fn drop_obsolete_tasks(&mut self, oldest_valid: u64) {
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

    /// Drops all task states.
    pub(super) fn clear_tasks(&mut self) {
        self.tasks.clear();
        self.done_tasks = 0;
        self.assigned_tasks = 0;
    }
}
