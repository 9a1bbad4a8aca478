//! Commands to workers: in the answers to their heartbeats, and by direct calls.

use super::Leader;
use crate::fleet::{DirectCommandOutcome, DirectCommands, HeartbeatOrigin};
use crate::jobs::objectives::strictest_start_target_s;
use crate::jobs::task_name::task_name;
use crate::jobs::{JobIndex, MachineIndex, Task};
use crate::protocol::workers::{Command, Heartbeat};
use crate::runtime::Time;

/// Part of the time within which a job is to start that its launch may wait for a heartbeat.
const LAUNCH_WAIT_SHARE: f64 = 0.1;
/// Commands in one answer at the most, so that its only line stays short.
const COMMANDS_MAX: usize = 400;

impl Leader {
    /// Adds to the answer of a worker's periodic heartbeat what it is to do now. A heartbeat that is no
    /// longer the newest known gets nothing: its worker may have given up on it. Returns whether it
    /// was the newest.
    pub fn append_reply_commands(
        &mut self,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(index) = self.fleet.find(&heartbeat.machine) else {
            return false;
        };
        let machine = self.fleet.machines.get(&index);
        let newest = machine.is_some_and(|machine| machine.is_latest_heartbeat(heartbeat));
        if newest {
            self.append_commands(index, HeartbeatOrigin::Periodic, commands);
        }
        newest
    }

    /// Adds the commands that a worker is to have now, to the answer to its heartbeat or to a direct call.
    fn append_commands(
        &mut self,
        index: MachineIndex,
        origin: HeartbeatOrigin,
        commands: &mut Vec<Command>,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let may_launch = machine.take_launch_permission(origin, self.fencing_token);
        for (key, task_attempt) in &mut machine.attempts {
            if commands.len() >= COMMANDS_MAX {
                break;
            }
            if task_attempt.completed {
                continue;
            }
            let job = &self.jobs[&key.job];
            if let Some(grace_s) = task_attempt.stop_grace_s {
                if task_attempt.needs_stop_command(grace_s) {
                    commands.push(Command::Stop {
                        task: task_name(&job.id, key.task),
                        attempt: key.attempt,
                        grace_s,
                    });
                }
            } else if may_launch
                && task_attempt.awaits_launch(origin)
                && job.end.is_none()
                && job.is_assignment_stored(key.task, key.attempt)
            {
                task_attempt.record_launch(origin);
                commands.push(Command::Start {
                    task: task_name(&job.id, key.task),
                    attempt: key.attempt,
                });
            }
        }
    }

    /// The direct calls to send now, at most `most`. Unless it is to launch something, a machine is called at most once
    /// in `gap_s` seconds.
    pub fn take_direct_commands(
        &mut self,
        now: Time,
        gap_s: f64,
        most: usize,
    ) -> Vec<DirectCommands> {
        let mut calls = Vec::new();
        for target in self.fleet.due_direct_calls(gap_s, most, now) {
            let mut commands = Vec::new();
            self.append_commands(target.machine, HeartbeatOrigin::DirectReply, &mut commands);
            self.fleet.on_direct_call_sent(target.machine, now);
            calls.push(DirectCommands {
                machine: target.machine,
                addr: target.addr,
                agent_epoch: target.agent_epoch,
                commands,
            });
        }
        calls
    }

    /// A direct call has ended.
    pub fn on_direct_outcome(
        &mut self,
        machine: MachineIndex,
        outcome: DirectCommandOutcome,
        now: Time,
    ) {
        let Some(called) = self.fleet.machines.get_mut(&machine) else {
            return;
        };
        let unsent = called.on_direct_call_ended(&outcome);
        match outcome {
            DirectCommandOutcome::Done(heartbeat) | DirectCommandOutcome::Refused(heartbeat) => {
                if heartbeat.fencing_token <= self.fencing_token {
                    self.record_worker_contact(now);
                    self.on_heartbeat(&heartbeat, HeartbeatOrigin::DirectReply, now);
                }
            }
            DirectCommandOutcome::NotSent if !unsent.is_empty() => {
                // The worker can't be reached: what it was to do goes elsewhere, until its next heartbeat.
                called.backoff_until = now + self.config.deployment.workers.heartbeat_interval_s;
                for key in unsent {
                    self.release_attempt(machine, key, now);
                }
            }
            DirectCommandOutcome::NotSent | DirectCommandOutcome::Unknown => {}
        }
    }

    /// The assignment of a task is stored, so its launch may be sent: by a direct call, if waiting for the machine's next
    /// heartbeat would take a good part of the time within which its job is to start.
    pub(crate) fn on_assignment_stored(&mut self, index: JobIndex, task: u32, now: Time) {
        let Some(job) = self.jobs.get(&index) else {
            return;
        };
        let Task::Assigned { machine, .. } = job.task(task) else {
            return;
        };
        let mut start_s = strictest_start_target_s(&self.config, &job.spec);
        if job.is_chain_step_with_deadline() {
            start_s = start_s.min(self.autoscaler.expected_run_s(job));
        }
        let wait_limit_s = start_s * LAUNCH_WAIT_SHARE;
        self.fleet.request_direct_launch(machine, wait_limit_s, now);
    }

    /// Stops what can save a checkpoint before the cloud preempts the machine.
    pub(super) fn on_preemption_notice(&mut self, index: MachineIndex, now: Time) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let Some(preemption_at) = machine.preemption_at else {
            return;
        };
        let mut gangs = Vec::new();
        let mut stops = false;
        for (key, task_attempt) in &mut machine.attempts {
            let spec = &self.jobs[&key.job].spec;
            if task_attempt.completed
                || task_attempt.stop_grace_s.is_some()
                || spec.checkpoint_s <= 0.0
            {
                continue;
            }
            // The machine may be taken after half the time of the notice; saving needs its own.
            if preemption_at - now < spec.save_s {
                continue;
            }
            if self.jobs[&key.job].is_gang() {
                gangs.push(key.job);
            } else {
                task_attempt.stop_grace_s = Some(spec.save_s);
                stops = true;
            }
        }
        if stops {
            self.fleet.request_direct_call(index);
        }
        for job in gangs {
            let grace_s = self.jobs[&job].spec.save_s;
            self.stop_job(job, grace_s, now);
        }
    }
}
