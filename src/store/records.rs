//! Records in the state service. Earlier versions read and write the same records, so the serialized names must not
//! change.

use std::ops::Range;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

use crate::protocol::users::Submission;

/// The controller that leads. The revision of the record's key is the leader's fencing token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller.
    #[serde(rename = "host")]
    pub node: String,
    /// Random number that identifies the controller's process; a restarted controller draws a new one.
    #[serde(rename = "incarnation")]
    pub incarnation: u64,
}

/// A controller's request that the leader steps down because workers can't reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepDownRequest {
    /// The fencing token of the leader that is to step down.
    #[serde(rename = "token")]
    pub fencing_token: u64,
}

/// A delegation: the leader lets other controllers answer a zone's workers in its name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegationRecord {
    /// The fencing token of the leader that delegates.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The zone whose workers may be answered.
    #[serde(rename = "zone")]
    pub zone: String,
    /// Whether the leader has revoked the delegation.
    #[serde(rename = "over")]
    pub revoked: bool,
}

/// A delegate's report to the leader about a zone that the leader can't reach.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayRecord {
    /// The fencing token of the leader that delegated.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The zone that the report covers.
    #[serde(rename = "zone")]
    pub zone: String,
    /// Tasks that completed, by job and attempt.
    #[serde(rename = "jobs")]
    pub jobs: Vec<JobAssignments>,
    /// Pairs of a machine's name and the agent epoch in which its worker has seen the leader's fencing token.
    #[serde(rename = "sessions", default)]
    pub agent_epochs: Vec<(String, u64)>,
}

/// A job as accepted. Records written by earlier versions lack the fields after `spec`, and earlier versions ignore
/// these fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    #[serde(flatten)]
    pub spec: Submission,
    /// Unix time of the submission, in milliseconds, from which a new leader counts deadlines. None if an earlier
    /// version wrote the record.
    #[serde(rename = "AtMs", default, skip_serializing_if = "Option::is_none")]
    pub submitted_unix_ms: Option<u64>,
    /// How many values under [`super::keys::dependency_part`] hold the dependencies that don't fit into this record, as
    /// the size of a value is limited.
    #[serde(rename = "Parts", default, skip_serializing_if = "is_zero_u32")]
    pub dependency_parts: u32,
    /// The controller to whose allotment of the team's quota the job is charged. None if the job is charged to no
    /// allotment: quotas were not in use at the controller that accepted the job, or an earlier version wrote the
    /// record.
    #[serde(rename = "Quota", default, skip_serializing_if = "Option::is_none")]
    pub charged_to: Option<Rc<str>>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks of the job completed.
    #[serde(rename = "done")]
    Done,
    /// The user cancelled the job, or a job that it depends on was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The record of a job's end. Several controllers may try to create it; the first transaction that is applied
/// determines the end, and the record never changes afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// How the job ended.
    #[serde(rename = "end")]
    pub end: JobEnd,
    /// How many of the job's tasks had completed by then.
    #[serde(rename = "done")]
    pub tasks_done: u32,
    /// Unix time of the end, in milliseconds. None if an earlier version wrote the record.
    #[serde(rename = "at_ms", default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
}

/// A record of the assignment log: state changes of tasks of many jobs. The form is compact so that many changes fit
/// into one value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// The number of the oldest record that is valid when this record is written. A deleted record reappears if a late
    /// copy of its transaction is applied; its content is outdated then and must be ignored.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero_u64")]
    pub oldest_valid: u64,
    /// Names of the zones that `machines` refers to by index.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    /// The machines that `jobs` refers to by index.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineEntry>,
    /// State changes of tasks, by job and attempt.
    #[serde(rename = "j", default)]
    pub jobs: Vec<JobAssignments>,
}

/// A machine in an assignment record; stored as `[name, zone_index]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineEntry {
    /// The machine's name.
    pub name: String,
    /// Index of the machine's zone in the record's list of zones.
    pub zone_index: u32,
}

impl Serialize for MachineEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.name, self.zone_index).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for MachineEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (name, zone_index) = Deserialize::deserialize(deserializer)?;
        Ok(MachineEntry { name, zone_index })
    }
}

/// State changes of tasks of one job. Assignment records and relay records hold them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobAssignments {
    /// The job's id.
    #[serde(rename = "i")]
    pub id: String,
    /// The attempt number of the tasks in `assigned` (assignment records) or in `done` (relay records).
    #[serde(rename = "a", default, skip_serializing_if = "is_zero_u64")]
    pub attempt: u64,
    /// Tasks that may be on a machine.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub assigned: Vec<AssignedRange>,
    /// Tasks that have completed.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<TaskRange>,
    /// Tasks that are no longer on a machine and have not completed.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<TaskRange>,
}

/// Consecutive tasks of a job; stored as `[first, count]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct TaskRange {
    /// The first task's number.
    pub first: u32,
    /// The number of tasks.
    pub count: u32,
}

impl TaskRange {
    /// Returns a range of one task.
    pub fn single(task: u32) -> Self {
        TaskRange {
            first: task,
            count: 1,
        }
    }

    /// Returns whether a task is the first one after the range.
    pub fn is_followed_by(&self, task: u32) -> bool {
        self.first + self.count == task
    }

    /// Returns the numbers of the tasks.
    pub fn tasks(&self) -> Range<u32> {
        self.tasks_below(u32::MAX)
    }

    /// Returns the numbers of the tasks that are below `task_count`, as a stored range may exceed the job's tasks.
    pub fn tasks_below(&self, task_count: u32) -> Range<u32> {
        self.first..self.first.saturating_add(self.count).min(task_count)
    }
}

impl From<(u32, u32)> for TaskRange {
    fn from((first, count): (u32, u32)) -> Self {
        TaskRange { first, count }
    }
}

impl From<TaskRange> for (u32, u32) {
    fn from(range: TaskRange) -> Self {
        (range.first, range.count)
    }
}

/// Consecutive tasks of a job that may be on a machine; stored as `[first, count, machine_index]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct AssignedRange {
    /// The tasks.
    pub tasks: TaskRange,
    /// Index of the machine in the record's list of machines.
    pub machine_index: u32,
}

impl From<(u32, u32, u32)> for AssignedRange {
    fn from((first, count, machine_index): (u32, u32, u32)) -> Self {
        AssignedRange {
            tasks: TaskRange { first, count },
            machine_index,
        }
    }
}

impl From<AssignedRange> for (u32, u32, u32) {
    fn from(range: AssignedRange) -> Self {
        (range.tasks.first, range.tasks.count, range.machine_index)
    }
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}

/// Decodes a stored value. If it can't be decoded, the error is logged and the value is treated as absent, as a later
/// version may have written it.
pub fn decode<T: DeserializeOwned>(value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|error| tracing::error!(%error, "stored value cannot be decoded"))
        .ok()
}
