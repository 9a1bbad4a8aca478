//! Commands to workers, in the answers to their heartbeats and by direct calls.

use super::Leader;
use crate::fleet::{DirectCommandOutcome, DirectCommands, HeartbeatOrigin};
use crate::jobs::objectives::strictest_start_target_s;
use crate::jobs::task_name::task_name;
use crate::jobs::{JobIndex, MachineIndex, Task};
use crate::protocol::workers::{Command, Heartbeat};
use crate::runtime::Time;

/// The share of a job's start target for which a launch may wait for the machine's next heartbeat.
const LAUNCH_WAIT_SHARE: f64 = 0.1;
/// Maximum number of commands in one message, so that the single line of JSON stays short.
const COMMANDS_MAX: usize = 400;

impl Leader {
    /// Adds the pending stops and launches to the answer to a worker's periodic heartbeat, unless a newer heartbeat of
    /// the worker has arrived: the worker may no longer wait for this answer. Returns whether the heartbeat is the
    /// newest.
    pub fn append_reply_commands(
        &mut self,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(machine_index) = self.fleet.find(&heartbeat.machine) else {
            return false;
        };
        let machine = self.fleet.machines.get(&machine_index);
        let is_latest = machine.is_some_and(|machine| machine.is_latest_heartbeat(heartbeat));
        if is_latest {
            self.append_commands(machine_index, HeartbeatOrigin::Periodic, commands);
        }
        is_latest
    }

    /// Adds the pending stops and launches of a machine to the answer to its worker's heartbeat or to a direct call.
    fn append_commands(
        &mut self,
        machine_index: MachineIndex,
        origin: HeartbeatOrigin,
        commands: &mut Vec<Command>,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        let may_launch = machine.take_launch_permission(origin, self.fencing_token);
        let mut direct_launches = 0;
        let direct_launches_max = machine.direct_launches_left();
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
                && (origin == HeartbeatOrigin::Periodic || direct_launches < direct_launches_max)
                && task_attempt.awaits_launch(origin)
                && job.end.is_none()
                && job.is_assignment_stored(key.task, key.attempt)
            {
                task_attempt.record_launch(origin);
                direct_launches += u32::from(origin == HeartbeatOrigin::DirectReply);
                commands.push(Command::Launch {
                    task: task_name(&job.id, key.task),
                    attempt: key.attempt,
                });
            }
        }
        machine.record_direct_launches(direct_launches);
    }

    /// Returns the direct calls to send now, at most `calls_max`. A worker is called at most once in `call_interval_s`
    /// seconds, except for launches.
    pub fn take_direct_commands(
        &mut self,
        now: Time,
        call_interval_s: f64,
        calls_max: usize,
    ) -> Vec<DirectCommands> {
        let mut calls = Vec::new();
        for target in self.fleet.due_direct_calls(call_interval_s, calls_max, now) {
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

    /// Handles the outcome of a direct call.
    pub fn on_direct_outcome(
        &mut self,
        machine_index: MachineIndex,
        outcome: DirectCommandOutcome,
        now: Time,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        let unsent = machine.on_direct_call_ended(&outcome);
        match outcome {
            DirectCommandOutcome::Done(heartbeat) | DirectCommandOutcome::Refused(heartbeat) => {
                if heartbeat.fencing_token <= self.fencing_token {
                    self.record_worker_contact(now);
                    self.on_heartbeat(&heartbeat, HeartbeatOrigin::DirectReply, now);
                }
            }
            DirectCommandOutcome::NotSent if !unsent.is_empty() => {
                // The worker can't be reached. The tasks that it was to launch are placed on other machines, and its
                // machine gets no tasks for a heartbeat interval.
                machine.backoff_until = now + self.config.deployment.workers.heartbeat_interval_s;
                for key in unsent {
                    self.release_attempt(machine_index, key, now);
                }
            }
            DirectCommandOutcome::NotSent | DirectCommandOutcome::Unknown => {}
        }
    }

    /// Requests the launch of a task whose assignment is stored, by a direct call if the machine's next heartbeat is
    /// further away than the share [`LAUNCH_WAIT_SHARE`] of the job's start target.
    pub(crate) fn on_assignment_stored(&mut self, index: JobIndex, task: u32, now: Time) {
        let Some(job) = self.jobs.get(&index) else {
            return;
        };
        let Task::Assigned { machine, .. } = job.task(task) else {
            return;
        };
        let mut start_target_s = strictest_start_target_s(&self.config, &job.spec);
        if job.is_chain_step_with_deadline() {
            start_target_s = start_target_s.min(self.autoscaler.expected_run_s(job));
        }
        let wait_limit_s = start_target_s * LAUNCH_WAIT_SHARE;
        self.fleet.request_direct_launch(machine, wait_limit_s, now);
    }

    /// Stops the attempts that can save a checkpoint before the cloud preempts their machine, if there is a preemption
    /// notice. A gang is stopped on all its machines.
    pub(super) fn stop_before_preemption(&mut self, machine_index: MachineIndex, now: Time) {
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        let Some(preemption_at) = machine.preemption_at else {
            return;
        };
        let mut gangs = Vec::new();
        let mut has_stops = false;
        for (key, task_attempt) in &mut machine.attempts {
            let spec = &self.jobs[&key.job].spec;
            if task_attempt.completed
                || task_attempt.stop_grace_s.is_some()
                || spec.checkpoint_s <= 0.0
            {
                continue;
            }
            // The cloud takes the machine after half to one and a half times the announced time. Attempts are therefore
            // stopped at once, each with its own time to save. An attempt that needs longer to save than the announced
            // time is not stopped. One that needs more than half of it is stopped, although the save may be cut off.
            if preemption_at - now < spec.save_s {
                continue;
            }
            if self.jobs[&key.job].is_gang() {
                gangs.push(key.job);
            } else {
                task_attempt.stop_grace_s = Some(spec.save_s);
                has_stops = true;
            }
        }
        if has_stops {
            self.fleet.request_direct_call(machine_index);
        }
        for job in gangs {
            let grace_s = self.jobs[&job].spec.save_s;
            self.stop_job(job, grace_s, now);
        }
    }
}
