//! Direct calls to workers: calls from the leader that carry commands without waiting for the next heartbeat. They
//! fence off a former leader, stop tasks without delay and launch urgent tasks.

use std::net::SocketAddr;

use super::{AttemptKey, DirectLaunchState, Fleet, HeartbeatOrigin, Machine};
use crate::jobs::MachineIndex;
use crate::protocol::workers::{Command, Heartbeat};
use crate::runtime::Time;

/// The outcome of a direct call.
#[derive(Debug, Clone)]
pub enum DirectCommandOutcome {
    /// The worker executed the commands. Holds its heartbeat from after that.
    Done(Heartbeat),
    /// The worker rejected the call because the fencing token or the agent epoch didn't match. Holds its heartbeat.
    Refused(Heartbeat),
    /// No connection could be made: the commands will never be executed.
    NotSent,
    /// The call got no answer: the commands may have been executed, or may be at any later time.
    Unknown,
}

/// A direct call to a worker.
#[derive(Debug, Clone)]
pub struct DirectCommands {
    /// The machine of the worker.
    pub machine: MachineIndex,
    /// The worker's address.
    pub addr: SocketAddr,
    /// The agent epoch that the call is addressed to. A worker in another epoch rejects it.
    pub agent_epoch: u64,
    /// The commands. A call without commands only presents the fencing token and returns a heartbeat.
    pub commands: Vec<Command>,
}

/// A machine that a direct call can be sent to.
pub(crate) struct DirectCallTarget {
    /// The index of the machine.
    pub(crate) machine: MachineIndex,
    /// The worker's address.
    pub(crate) addr: SocketAddr,
    /// The agent epoch that the call is addressed to.
    pub(crate) agent_epoch: u64,
}

impl Machine {
    /// Returns whether a requested direct call may be sent now. Calls that carry no launch are sent at most once in
    /// `min_interval_s` seconds.
    fn is_direct_call_due(&self, min_interval_s: f64, now: Time) -> bool {
        !self.direct_call_in_flight
            && (self.direct_launch_requested
                || self
                    .last_direct_call_at
                    .is_none_or(|at| now - at > min_interval_s))
    }

    /// Returns whether the next message to the worker may carry launches. The message is the answer to a heartbeat if
    /// `origin` is `Periodic`, and a direct call if it is `DirectReply`. Either message meets the requests for a direct
    /// call, so they are cleared.
    pub(crate) fn take_launch_permission(
        &mut self,
        origin: HeartbeatOrigin,
        fencing_token: u64,
    ) -> bool {
        self.direct_call_requested = false;
        let accepts_launches = self.fencing_token >= fencing_token && !self.terminating;
        let direct_launch_requested = std::mem::take(&mut self.direct_launch_requested);
        accepts_launches && (origin == HeartbeatOrigin::Periodic || direct_launch_requested)
    }

    /// Records the outcome of a direct call. If the call was never sent, returns the attempts that it was to launch and
    /// that can't have been launched in another way: they can be placed elsewhere.
    pub(crate) fn on_direct_call_ended(
        &mut self,
        outcome: &DirectCommandOutcome,
    ) -> Vec<AttemptKey> {
        self.direct_call_in_flight = false;
        let mut unsent = Vec::new();
        for (key, task_attempt) in &mut self.attempts {
            if task_attempt.direct_launch != Some(DirectLaunchState::InFlight) {
                continue;
            }
            task_attempt.direct_launch = match outcome {
                DirectCommandOutcome::Done(_) => Some(DirectLaunchState::Answered),
                DirectCommandOutcome::Unknown => Some(DirectLaunchState::Unanswered),
                DirectCommandOutcome::Refused(_) | DirectCommandOutcome::NotSent => {
                    task_attempt.launch_sent = false;
                    None
                }
            };
            if matches!(outcome, DirectCommandOutcome::NotSent) && task_attempt.is_unsent() {
                unsent.push(*key);
            }
        }
        unsent
    }
}

impl Fleet {
    /// Requests a direct call to the worker of a machine.
    pub(crate) fn request_direct_call(&mut self, index: MachineIndex) {
        if let Some(machine) = self.machines.get_mut(&index) {
            machine.direct_call_requested = true;
            self.direct_call_queue.insert(index);
        }
    }

    /// Requests a direct call that carries launches, if the machine's next heartbeat is due in more than `wait_limit_s`
    /// seconds.
    pub(crate) fn request_direct_launch(
        &mut self,
        index: MachineIndex,
        wait_limit_s: f64,
        now: Time,
    ) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        if let Some(machine) = self.machines.get_mut(&index)
            && machine.direct_launches_left() > 0
            && machine
                .last_contact_at
                .is_some_and(|at| at + heartbeat_interval_s - now > wait_limit_s)
        {
            machine.direct_launch_requested = true;
            self.direct_call_queue.insert(index);
        }
    }

    /// Requests a direct call to a worker that contacted some controller recently, unless the worker has already made
    /// contact in this term. The call fences off a former leader and returns the worker's heartbeat without delay. Adds
    /// the machine if it is unknown.
    pub fn request_contact(
        &mut self,
        name: &str,
        zone: &str,
        addr: &str,
        agent_epoch: u64,
        now: Time,
    ) {
        let index = self.get_or_insert(name, zone, now);
        if let Some(machine) = self.machines.get_mut(&index) {
            machine.addr = machine.addr.or_else(|| addr.parse().ok());
            if machine.last_contact_at.is_none() {
                machine.agent_epoch = machine.agent_epoch.max(agent_epoch);
                self.request_direct_call(index);
            }
        }
    }

    /// Returns at most `max_calls` machines with a requested direct call that may be sent now. Calls that carry no
    /// launch are sent to a machine at most once in `min_interval_s` seconds. Drops requests that were met, and those
    /// for machines that are terminating or removed.
    pub(crate) fn due_direct_calls(
        &mut self,
        min_interval_s: f64,
        max_calls: usize,
        now: Time,
    ) -> Vec<DirectCallTarget> {
        let machines = &self.machines;
        self.direct_call_queue.retain(|index| {
            machines.get(index).is_some_and(|machine| {
                (machine.direct_launch_requested || machine.direct_call_requested)
                    && !machine.terminating
            })
        });
        self.direct_call_queue
            .iter()
            .filter_map(|index| Some((*index, machines.get(index)?)))
            .filter(|(_, machine)| machine.is_direct_call_due(min_interval_s, now))
            .filter_map(|(index, machine)| {
                Some(DirectCallTarget {
                    machine: index,
                    addr: machine.addr?,
                    agent_epoch: machine.agent_epoch,
                })
            })
            .take(max_calls)
            .collect()
    }

    /// Records that a direct call is being sent to a machine.
    pub(crate) fn on_direct_call_sent(&mut self, index: MachineIndex, now: Time) {
        if let Some(machine) = self.machines.get_mut(&index) {
            machine.last_direct_call_at = Some(now);
            machine.direct_call_in_flight = true;
            // The call is repeated until the worker has made contact and no attempt is left to stop.
            let mut attempts = machine.attempts.values();
            machine.direct_call_requested = machine.last_contact_at.is_none()
                || attempts.any(|attempt| attempt.stop_grace_s.is_some());
        }
    }
}
