//! Messages of users: submissions and job states.

use serde::{Deserialize, Serialize};

use super::json::integer;

/// How the tasks of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// A gang: all tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// A service: independent tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job. Variants are ordered from the lowest to the highest; a job may preempt jobs of lower priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A job submission, as a user sends it and as the state service stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Unique id of the job, chosen by the user. A repetition of the request has the same id.
    #[serde(rename = "Uid")]
    pub id: String,
    /// Class of the job: service-level objectives apply to classes.
    #[serde(rename = "Jobclass")]
    pub class: String,
    /// Name of the team whose guarantee, limits and quota apply.
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    /// Number of tasks. Tasks are numbered from 0.
    #[serde(rename = "Legs", deserialize_with = "integer")]
    pub tasks: u32,
    /// CPU cores that each task uses.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs that each task uses.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory that each task uses, in gigabytes.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Name of the image that a machine must have fetched before it can start a task.
    #[serde(rename = "Bundle")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    /// Names of the machine types that may run the tasks; `None` allows all types.
    #[serde(rename = "Rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone in which the tasks may run; `None` allows all zones.
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone.
    #[serde(rename = "Together")]
    pub one_zone: bool,
    /// True if a single zone may hold at most half of the tasks, rounded up.
    #[serde(rename = "Apart")]
    pub spread: bool,
    /// True if tasks may run on spot machines.
    #[serde(rename = "Loaner")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds, without the image fetch. Estimates are often wrong by half.
    #[serde(rename = "ExpectedS")]
    pub estimate_s: f64,
    /// Run time between two checkpoints of a task, in seconds; 0 if its tasks save no checkpoints.
    #[serde(rename = "WaypointS")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "StashS")]
    pub save_s: f64,
    /// Deadline in seconds after the submission; `None` if the job has no deadline.
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Dependencies: ids of the jobs that must be done before any task of this job starts.
    #[serde(
        rename = "WaitsOn",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub waits_on: Vec<String>,
}

/// Deserializes an explicit `null` as an empty list.
fn null_as_empty<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// State of a job as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task is assigned to a machine.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is assigned to a machine, where it is or may be running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are completed. This state is final.
    #[serde(rename = "done")]
    Done,
    /// The job, or a job that it depends on, was cancelled. This state is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to submissions, queries and cancellations.
#[derive(Debug, Clone, Serialize)]
pub struct JobStatus<'a> {
    #[serde(rename = "Uid")]
    pub id: &'a str,
    #[serde(rename = "Status")]
    pub state: JobState,
    /// Number of completed tasks; for display only.
    #[serde(rename = "done")]
    pub done: u32,
    /// Number of tasks that are assigned to machines, where they are or may be running; for display only.
    #[serde(rename = "running")]
    pub running: u32,
}
