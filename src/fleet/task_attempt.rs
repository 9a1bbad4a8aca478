//! An attempt of a task on a machine: what was sent for it, what was reported of it, and whether it may still start.

use crate::jobs::JobIndex;
use crate::protocol::workers::{ExitReason, TaskState};
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

/// An attempt as the worker names it; its job may be unknown here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct NamedAttempt {
    /// The name of the task.
    pub(crate) task: String,
    /// The number of the attempt.
    pub(crate) attempt: u64,
}

/// The state of a launch that was sent by a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectLaunchState {
    /// The call has not been answered yet.
    UnderWay,
    /// The call got no answer: it may be executed at any time, until the worker's agent epoch ends.
    Unanswered,
    /// The worker has executed the call.
    Answered,
}

/// What an attempt that is absent from a new heartbeat of its machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AbsentAttempt {
    /// It isn't on the machine and can't start there any more.
    Gone,
    /// It isn't on the machine, but a launch may still start it there.
    MayStart,
}

/// What is known of an attempt that is or may be on a machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The resources it takes.
    pub resources: Resources,
    /// Assigned or first seen before this term: a former leader may have launched it.
    pub inherited: bool,
    /// Its state as last reported, if any heartbeat listed it.
    pub state: Option<TaskState>,
    /// Its launch was sent and is not known to have been dropped.
    pub launch_sent: bool,
    /// The state of its launch, if that was sent by a direct call.
    pub direct_launch: Option<DirectLaunchState>,
    /// The grace period in seconds with which it is to be stopped, if it is.
    pub stop_grace_s: Option<f64>,
    /// When it was assigned, or first seen.
    pub placed_at: Time,
    /// When it was first reported as running, that is with its image fetched.
    pub running_since: Option<Time>,
    /// It has completed and waits for that to be stored and reaped. It no longer takes resources.
    pub completed: bool,
}

impl TaskAttempt {
    /// An attempt that this leader assigned or, if `inherited`, one that it found.
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

    /// Whether no leader can have launched it.
    pub fn is_unsent(&self) -> bool {
        !self.inherited && !self.launch_sent && self.state.is_none() && !self.in_doubt()
    }

    /// Whether a direct launch of it may still be executed.
    pub fn in_doubt(&self) -> bool {
        matches!(
            self.direct_launch,
            Some(DirectLaunchState::UnderWay | DirectLaunchState::Unanswered)
        )
    }

    /// Whether a late or repeated direct launch could start the attempt again once it is reaped.
    /// One that completed does no harm: it completes again.
    pub(crate) fn may_be_relaunched(&self, exit_reason: ExitReason) -> bool {
        self.in_doubt() || (self.direct_launch.is_some() && exit_reason != ExitReason::Done)
    }

    /// Whether a message of this origin may carry its launch, as far as what was sent and reported before goes.
    pub(crate) fn awaits_launch(&self, origin: HeartbeatOrigin) -> bool {
        let was_launched = self.state.is_some() || self.inherited || self.launch_sent;
        !was_launched && (origin == HeartbeatOrigin::Periodic || !self.in_doubt())
    }

    /// Its launch is sent with a message of this origin.
    pub(crate) fn record_launch(&mut self, origin: HeartbeatOrigin) {
        self.launch_sent = true;
        if origin == HeartbeatOrigin::DirectReply {
            self.direct_launch = Some(DirectLaunchState::UnderWay);
        }
    }

    /// Whether a command to stop it with this grace period is to be sent (again). A task that saves a checkpoint is
    /// left to it, unless it is to end at once. A stop may overtake its launch; it is then repeated until a
    /// heartbeat shows that the task is gone.
    pub(crate) fn needs_stop_command(&self, grace_s: f64) -> bool {
        let saving = self.state == Some(TaskState::Saving);
        !(saving && grace_s > 0.0)
    }

    /// A new heartbeat of its machine doesn't list it. `fenced`: the heartbeat shows this leader's fencing token.
    pub(super) fn on_absent(&mut self, origin: HeartbeatOrigin, fenced: bool) -> AbsentAttempt {
        if self.completed {
            return AbsentAttempt::Gone;
        }
        if self.inherited {
            // A former leader's launch may still be under way until the worker has seen
            // our token.
            return if fenced {
                AbsentAttempt::Gone
            } else {
                AbsentAttempt::MayStart
            };
        }
        if self.state.is_some() {
            return AbsentAttempt::Gone;
        }
        if self.in_doubt() {
            // The launch may come later: the attempt stays bound here. The next answer may carry the launch too.
            if self.direct_launch == Some(DirectLaunchState::Unanswered)
                && origin == HeartbeatOrigin::Periodic
            {
                self.launch_sent = false;
            }
            return AbsentAttempt::MayStart;
        }
        if self.launch_sent {
            // Only the worker's next periodic heartbeat proves that the answer with the launch was
            // dropped: it is made after that answer was executed or given up.
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
