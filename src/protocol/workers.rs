//! Messages of workers: heartbeats with the status of their tasks, and commands.

use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image to be fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// Task of a gang that waits for the other tasks of its attempt.
    #[serde(rename = "waiting")]
    Waiting,
    /// Running; of a gang also while it is being stopped, until it exits.
    #[serde(rename = "running")]
    Running,
    /// Told to stop, and saving a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Ended; see the exit reason.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended, or was never started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// Its gang was not complete in time.
    #[serde(rename = "incomplete")]
    Incomplete,
    /// Failed: mostly the machine is faulty, or the job was submitted with a mistake.
    #[serde(rename = "error")]
    Error,
    /// Start refused: the machine has not enough free resources.
    #[serde(rename = "full")]
    Full,
    /// Start refused: the task is on the machine with another attempt.
    #[serde(rename = "in_use")]
    InUse,
    /// Start refused: there is no such job or task.
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A reason that this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// A task in a heartbeat: one attempt of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name.
    #[serde(rename = "Leg")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why it ended, once it has.
    #[serde(rename = "Cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "Saved", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "Host")]
    pub machine: String,
    /// The worker's address for direct commands.
    #[serde(rename = "Addr")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "Rig")]
    pub type_name: String,
    /// The zone that it is in.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Loaner")]
    pub spot: bool,
    /// Agent epoch: starts at 1 and increases each time the worker's lease expires, when it kills and forgets all tasks.
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    /// Sequence number: of two heartbeats the one with the larger epoch and sequence is the newer one.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen; 0 at first.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Preemption notice: seconds until the cloud takes the spot machine back.
    #[serde(rename = "RecallS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones too until they are forgotten.
    #[serde(rename = "Legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb")]
pub enum Command {
    /// Starts a task; without effect if the worker already has this attempt of it, in any state.
    #[serde(rename = "launch")]
    Launch {
        /// The task's name.
        #[serde(rename = "Leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stops a task. One that saves checkpoints saves, if the grace is long enough for that.
    #[serde(rename = "kill")]
    Stop {
        /// The task's name.
        #[serde(rename = "Leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Grace for saving, in seconds.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats. The worker then no longer knows the attempt: a repeated start would
    /// start it once more.
    #[serde(rename = "reap")]
    Forget {
        /// The task's name.
        #[serde(rename = "Leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token: with a lower one than the worker has seen, the message is dropped.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Tells a worker to which controller to send its heartbeats.
#[derive(Debug, Clone, Serialize)]
pub struct Redirect<'a> {
    /// The controller's name, if it is known who leads.
    #[serde(rename = "ReportsTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}

/// Commands sent to a worker directly, not in an answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The leader's fencing token: with a lower one than the worker has seen, the message is dropped.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// The worker's agent epoch: in another one nothing is executed.
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}
