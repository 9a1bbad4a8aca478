//! Messages between controllers and workers: heartbeats with the status of all tasks on a machine, and commands.

use serde::{Deserialize, Serialize};

use super::json::integer;

/// State of a task on a machine, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image to be fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waiting for the other tasks of its gang, in the same attempt, to start. Only tasks of gangs have this state.
    #[serde(rename = "waiting")]
    Waiting,
    /// Running. A task of a gang stays in this state while it is being stopped, until it exits.
    #[serde(rename = "running")]
    Running,
    /// Saving a checkpoint after a stop command.
    #[serde(rename = "saving")]
    Saving,
    /// No longer running, or refused at its launch; see [`TaskStatus::exit_reason`].
    #[serde(rename = "exited")]
    Exited,
}

/// Reason why a task exited, or why its launch was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task ran to completion.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a stop command.
    #[serde(rename = "halted")]
    Stopped,
    /// Ended by its worker because another task of its gang was lost.
    #[serde(rename = "peers")]
    Peers,
    /// Ended by its worker because not all tasks of its gang started in time.
    #[serde(rename = "incomplete")]
    Incomplete,
    /// The task failed, in most cases because the machine is faulty or the job was submitted with a mistake.
    #[serde(rename = "error")]
    Error,
    /// Launch refused: the machine doesn't have enough free capacity.
    #[serde(rename = "full")]
    Full,
    /// Launch refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    InUse,
    /// Launch refused: there is no such job or task.
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A reason that this version doesn't know; treated as a failure.
    #[serde(other)]
    Other,
}

/// Status of one attempt of a task, in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task.
    #[serde(rename = "Leg")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "Try", deserialize_with = "integer")]
    pub attempt: u64,
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// `None` until the task has exited.
    #[serde(rename = "Cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// True if the task saved a checkpoint when it was stopped; `None` if the worker doesn't report it.
    #[serde(rename = "Saved", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Address at which the worker accepts direct commands.
    #[serde(rename = "Addr")]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "Rig")]
    pub type_name: String,
    /// Zone of the machine.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "Loaner")]
    pub spot: bool,
    /// Agent epoch, which starts at 1 and increases each time the worker's lease expires. The worker then kills and
    /// forgets all its tasks.
    #[serde(rename = "Shift", deserialize_with = "integer")]
    pub agent_epoch: u64,
    /// Sequence number within the agent epoch. Of two heartbeats, the one with the higher agent epoch is newer; in the
    /// same agent epoch, the one with the higher sequence number is newer.
    #[serde(rename = "Tick", deserialize_with = "integer")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen; initially 0.
    #[serde(rename = "Baton", deserialize_with = "integer")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts this spot machine; `None` without a preemption notice.
    #[serde(rename = "RecallS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a forget command removes them.
    #[serde(rename = "Legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb")]
pub enum Command {
    /// Launches a task. Has no effect if the worker already knows this attempt, in whatever state.
    #[serde(rename = "launch")]
    Launch {
        /// Name of the task.
        #[serde(rename = "Leg")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stops a task. A task with checkpoints saves one first if the grace period is long enough.
    #[serde(rename = "kill")]
    Stop {
        /// Name of the task.
        #[serde(rename = "Leg")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Grace period for saving a checkpoint, in seconds.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats. The worker then no longer knows the attempt, so a repeated launch
    /// command would launch it again.
    #[serde(rename = "reap")]
    Forget {
        /// Name of the task.
        #[serde(rename = "Leg")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token. A worker that has seen a higher one drops the message.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Response that names the controller to which a worker has to send its heartbeats.
#[derive(Debug, Clone, Serialize)]
pub struct Redirect<'a> {
    /// Name of the leader; `None` if it is not known.
    #[serde(rename = "ReportsTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}

/// Direct commands: sent to a worker outside of a response to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The leader's fencing token. A worker that has seen a higher one drops the message.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Agent epoch of the worker. A worker in another agent epoch executes none of the commands.
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}
