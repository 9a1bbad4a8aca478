//! An attempt of a task on a machine: which commands were sent for it, its last reported state, and whether a launch
//! may still start it.

use crate::jobs::JobIndex;
use crate::protocol::workers::TaskState;
use crate::resources::Resources;
use crate::runtime::Time;

use super::HeartbeatOrigin;

/// Identifies an attempt of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The job of the task.
    pub job: JobIndex,
    /// The number of the task in its job.
    pub task: u32,
    /// The number of the attempt, never reused.
    pub attempt: u64,
}

impl From<(JobIndex, u32, u64)> for AttemptKey {
    fn from((job, task, attempt): (JobIndex, u32, u64)) -> Self {
        AttemptKey { job, task, attempt }
    }
}

/// An attempt by the name of its task, as the worker reports it. Unlike [`AttemptKey`] it needs no job that this leader
/// knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct NamedAttempt {
    /// The name of the task, see [`task_name`](crate::jobs::task_name::task_name).
    pub(crate) task: String,
    /// The number of the attempt.
    pub(crate) attempt: u64,
}

/// The state of a launch that was sent by a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectLaunchState {
    /// The call has not been answered yet.
    InFlight,
    /// The call got no answer: the worker may execute it at any time until its agent epoch ends.
    Unanswered,
    /// The worker has executed the call.
    Answered,
}

/// Whether an attempt that is absent from a new heartbeat of its machine may still start there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AbsentAttempt {
    /// The attempt isn't on the machine and can't start there any more.
    Gone,
    /// The attempt isn't on the machine, but a launch may still start it there.
    MayStart,
}

/// The leader's view of an attempt that is or may be on a machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The resources that the attempt takes.
    pub resources: Resources,
    /// Whether a former leader may have launched the attempt: it was assigned before this term, or this leader first
    /// learned of it from a heartbeat.
    pub inherited: bool,
    /// The last reported state. None if no heartbeat has listed the attempt.
    pub state: Option<TaskState>,
    /// Whether a launch was sent and is not known to have been dropped.
    pub launch_sent: bool,
    /// The state of the launch, if it was sent by a direct call.
    pub direct_launch: Option<DirectLaunchState>,
    /// The grace period, in seconds, of its stop commands. None unless the attempt is to be stopped.
    pub stop_grace_s: Option<f64>,
    /// When this leader assigned the attempt or, if it is inherited, first learned of it.
    pub placed_at: Time,
    /// When the attempt was first reported as running, which implies that its image is fetched.
    pub running_since: Option<Time>,
    /// Whether the attempt has completed. It then takes no resources, and stays here until its completion is stored and
    /// the worker has forgotten it.
    pub completed: bool,
}

impl TaskAttempt {
    /// Creates an attempt that this leader assigned or, if `inherited`, one that a former leader may have launched.
    pub(crate) fn new(resources: Resources, inherited: bool, now: Time) -> Self {
        TaskAttempt {
            resources,
            inherited,
            state: None,
            launch_sent: false,
            direct_launch: None,
            stop_grace_s: None,
            placed_at: now,
            running_since: None,
            completed: false,
        }
    }

    /// Returns whether no leader can have launched the attempt.
    pub fn is_unsent(&self) -> bool {
        !self.inherited && !self.launch_sent && self.state.is_none() && !self.in_doubt()
    }

    /// Returns whether the attempt has a launch in doubt: a direct launch without an answer, which may still be
    /// executed.
    pub fn in_doubt(&self) -> bool {
        matches!(
            self.direct_launch,
            Some(DirectLaunchState::InFlight | DirectLaunchState::Unanswered)
        )
    }

    /// Returns whether a copy of its direct launch could start the attempt again once the worker has forgotten it. Copies
    /// of a command that was executed and answered may arrive at any time, also after the job was cancelled.
    pub(crate) fn may_be_relaunched(&self) -> bool {
        self.direct_launch.is_some()
    }

    /// Returns whether a message of this origin may carry a launch of the attempt: as far as this leader knows, the
    /// attempt was not launched yet. While a direct launch is in doubt, only the answer to a periodic heartbeat may
    /// repeat the launch.
    pub(crate) fn awaits_launch(&self, origin: HeartbeatOrigin) -> bool {
        let was_launched = self.state.is_some() || self.inherited || self.launch_sent;
        !was_launched && (origin == HeartbeatOrigin::Periodic || !self.in_doubt())
    }

    /// Records that a launch is sent with a message of this origin.
    pub(crate) fn record_launch(&mut self, origin: HeartbeatOrigin) {
        self.launch_sent = true;
        if origin == HeartbeatOrigin::DirectReply {
            self.direct_launch = Some(DirectLaunchState::InFlight);
        }
    }

    /// Returns whether a stop command with this grace period is to be sent, perhaps again. A task that is saving a
    /// checkpoint gets none, unless the grace period is zero. The command is repeated until a heartbeat shows that the
    /// task is gone, because a stop command may overtake the launch.
    pub(crate) fn needs_stop_command(&self, grace_s: f64) -> bool {
        let is_saving = self.state == Some(TaskState::Saving);
        !(is_saving && grace_s > 0.0)
    }

    /// Handles a new heartbeat of the machine that doesn't list the attempt. A launch that was dropped is marked to be
    /// sent again. `fenced`: whether the heartbeat shows this leader's fencing token.
    pub(super) fn on_absent(&mut self, origin: HeartbeatOrigin, fenced: bool) -> AbsentAttempt {
        if self.completed {
            return AbsentAttempt::Gone;
        }
        if self.inherited {
            // A launch by a former leader may still arrive until the worker has seen this leader's fencing token.
            return if fenced {
                AbsentAttempt::Gone
            } else {
                AbsentAttempt::MayStart
            };
        }
        if self.state.is_some() && self.may_be_relaunched() {
            // The worker has lost the attempt within its agent epoch. A copy of the direct launch may start it again, so
            // the attempt stays bound to this machine, and is launched there again.
            self.state = None;
            self.running_since = None;
            self.launch_sent = false;
            self.direct_launch = Some(DirectLaunchState::Unanswered);
        }
        if self.state.is_some() {
            return AbsentAttempt::Gone;
        }
        if self.in_doubt() {
            // The direct launch may still be executed, so the attempt stays bound to this machine. The answer to this
            // heartbeat may carry the launch too.
            if self.direct_launch == Some(DirectLaunchState::Unanswered)
                && origin == HeartbeatOrigin::Periodic
            {
                self.launch_sent = false;
            }
            return AbsentAttempt::MayStart;
        }
        if self.launch_sent {
            // Only a periodic heartbeat proves that the answer with the launch was dropped: the worker composes its
            // next periodic heartbeat after it has executed that answer or given up waiting for it.
            if origin != HeartbeatOrigin::Periodic {
                return AbsentAttempt::MayStart;
            }
            self.launch_sent = false;
        }
        if self.stop_grace_s.is_some() {
            AbsentAttempt::Gone
        } else {
            AbsentAttempt::MayStart
        }
    }
}
