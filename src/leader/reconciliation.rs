//! Reconciliation of the leader's state with heartbeats: attempts that are on a machine, have exited, or are gone.

use std::collections::HashSet;

use super::Leader;
use crate::fleet::{AttemptKey, HeartbeatOrigin, NamedAttempt, TaskAttempt};
use crate::jobs::MachineIndex;
use crate::jobs::task_name::parse_task_name;
use crate::jobs::task_name::task_name;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::runtime::Time;

/// What the worker is to do with an attempt that has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExitedAttemptAction {
    /// Forget the attempt, as nothing depends on its report any more.
    Forget,
    /// Keep reporting the attempt in heartbeats.
    KeepReporting,
}

impl ExitedAttemptAction {
    fn forget_if(condition: bool) -> Self {
        if condition {
            ExitedAttemptAction::Forget
        } else {
            ExitedAttemptAction::KeepReporting
        }
    }
}

impl Leader {
    /// Updates the state from a heartbeat. Returns the stop and forget commands that follow from the heartbeat alone.
    /// None if the heartbeat isn't newer than all before it, as it may be a late copy, or if the machine's return is
    /// confirmed. [`Leader::append_reply_commands`] adds the other commands to the answer to a periodic heartbeat.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) -> Option<Vec<Command>> {
        // The cloud has confirmed the return of this machine: the machine is gone, and the heartbeat was delayed in the
        // network. Adding the machine again would only lead to another return.
        if self.autoscaler.cloud.is_returned(&heartbeat.machine) {
            return None;
        }
        let machine_index = self
            .fleet
            .get_or_insert(&heartbeat.machine, &heartbeat.zone, now);
        let was_schedulable = self
            .fleet
            .machines
            .get(&machine_index)
            .is_some_and(|machine| self.fleet.is_schedulable(machine, now));
        let machine = self.fleet.machines.get_mut(&machine_index)?;
        let used_and_quarantined_before = (machine.used, machine.quarantined);
        machine.update_description(heartbeat, &self.catalog);
        machine.record_acknowledgement(origin, now);
        // A heartbeat that isn't newer proves nothing about the present state, and no commands follow from it: the
        // worker may no longer wait for the answer.
        if !machine.is_new_heartbeat(heartbeat) {
            if origin == HeartbeatOrigin::Periodic {
                machine.record_old_heartbeat(heartbeat);
            }
            return None;
        }
        machine.record_heartbeat(heartbeat, origin, now);
        let zone = machine.zone.clone();
        self.fleet.zones.record_contact(zone, now);
        let commands = self.reconcile_attempts(machine_index, heartbeat, origin, now);
        self.stop_before_preemption(machine_index, now);
        let pricing_rule = self.scheduler.pricing_rule;
        let machine = self.fleet.machines.get_mut(&machine_index)?;
        if machine.capacity.cpus > 0.0 {
            machine.price =
                pricing_rule.price_of_load(machine.used.largest_share(machine.capacity));
        }
        // A scheduling pass is worth its time only if the free capacity may have grown.
        if used_and_quarantined_before != (machine.used, machine.quarantined) || !was_schedulable {
            self.request_scheduling_pass();
        }
        Some(commands)
    }

    /// Compares the attempts on a machine with those that a new heartbeat lists, and releases the attempts that are
    /// gone. Returns the stop and forget commands that follow from the heartbeat alone.
    fn reconcile_attempts(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) -> Vec<Command> {
        let fenced = heartbeat.fencing_token >= self.fencing_token;
        if fenced && let Some(machine) = self.fleet.machines.get_mut(&machine_index) {
            machine.record_fenced_epoch(heartbeat.agent_epoch);
        }
        let mut listed = HashSet::with_capacity(heartbeat.tasks.len());
        let mut commands = Vec::new();
        for reported in &heartbeat.tasks {
            let key = self.attempt_key(reported);
            listed.extend(key);
            commands.extend(self.on_reported_task(machine_index, reported, key, fenced, now));
        }
        let machine = self.fleet.machines.get_mut(&machine_index);
        let gone = machine.map(|machine| {
            machine.check_lost_attempts(heartbeat);
            machine.reconcile_absent_attempts(&listed, origin, fenced)
        });
        for key in gone.unwrap_or_default() {
            self.release_attempt(machine_index, key, now);
        }
        commands
    }

    /// Identifies an attempt that a heartbeat lists. None if its job is unknown or has no such task.
    fn attempt_key(&self, reported: &TaskStatus) -> Option<AttemptKey> {
        let (id, task) = parse_task_name(&reported.task)?;
        let job = self.job_index(id)?;
        (task < self.jobs[&job].spec.tasks).then_some(AttemptKey {
            job,
            task,
            attempt: reported.attempt,
        })
    }

    /// Handles the state of an attempt that a heartbeat lists. Returns the stop or forget command that follows from it.
    /// `fenced`: the heartbeat shows this leader's fencing token.
    fn on_reported_task(
        &mut self,
        machine_index: MachineIndex,
        reported: &TaskStatus,
        key: Option<AttemptKey>,
        fenced: bool,
        now: Time,
    ) -> Option<Command> {
        // A string that isn't a valid task name is ignored.
        parse_task_name(&reported.task)?;
        let (task, attempt) = (reported.task.clone(), reported.attempt);
        if reported.state == TaskState::Exited {
            let exit_reason = reported.exit_reason.unwrap_or(ExitReason::Other);
            let action = match key {
                Some(key) => self.on_attempt_exit(machine_index, key, exit_reason, fenced, now),
                None => ExitedAttemptAction::forget_if(fenced),
            };
            let named = NamedAttempt { task, attempt };
            let machine = self.fleet.machines.get(&machine_index);
            let may_forget = machine.is_none_or(|machine| machine.may_forget(&named));
            return (action == ExitedAttemptAction::Forget && may_forget).then_some(
                Command::Forget {
                    task: named.task,
                    attempt,
                },
            );
        }
        match key {
            Some(key) => {
                self.on_live_attempt(machine_index, key, reported.state, now);
                None
            }
            // An attempt of a job that has ended and whose records are deleted.
            None => Some(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }),
        }
    }

    /// Returns whether any job has tasks to be placed. If so, the controller holds the answer to a heartbeat for a
    /// short time, so that the answer can carry launches on the machine's free capacity.
    pub fn has_waiting_jobs(&self) -> bool {
        !self.scheduler.waiting_jobs.is_empty()
    }

    /// Handles the exit of an attempt, and decides what its worker is to do with it. `fenced`: the worker has shown
    /// this leader's fencing token.
    pub(super) fn on_attempt_exit(
        &mut self,
        machine_index: MachineIndex,
        key: AttemptKey,
        exit_reason: ExitReason,
        fenced: bool,
        now: Time,
    ) -> ExitedAttemptAction {
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return ExitedAttemptAction::KeepReporting;
        };
        let known = machine.attempts.get(&key).cloned();
        // A former leader may have launched the attempt, and the worker still accepts commands of that leader: a late
        // one could start the attempt again once the worker has forgotten it.
        if !fenced && known.as_ref().is_none_or(|attempt| attempt.inherited) {
            return ExitedAttemptAction::KeepReporting;
        }
        let job = &self.jobs[&key.job];
        if known.as_ref().is_some_and(TaskAttempt::may_be_relaunched) {
            machine.forbid_forgetting(NamedAttempt {
                task: task_name(&job.id, key.task),
                attempt: key.attempt,
            });
        }
        // A service's task is never done: one that exits is placed again.
        if exit_reason == ExitReason::Done && job.spec.kind != JobKind::Service {
            machine.complete_attempt(&key);
            let may_be_relaunched = known.as_ref().is_some_and(TaskAttempt::may_be_relaunched);
            let action = self.on_attempt_completed(key, known, now);
            if action == ExitedAttemptAction::Forget && may_be_relaunched {
                // The worker keeps reporting the attempt until its agent epoch ends, but the job needs it no more.
                self.release_attempt(machine_index, key, now);
            }
            return action;
        }
        if known.is_some() {
            self.on_incomplete_exit(machine_index, key, exit_reason, now);
        }
        ExitedAttemptAction::Forget
    }

    /// Handles an attempt that has completed. `known` is the state of the attempt before this report; None if the
    /// attempt was not known to be on the machine.
    fn on_attempt_completed(
        &mut self,
        key: AttemptKey,
        known: Option<TaskAttempt>,
        now: Time,
    ) -> ExitedAttemptAction {
        let newly_completed = known.filter(|attempt| !attempt.completed);
        if newly_completed.is_some() {
            self.release_team(key.job);
        }
        let run_s = newly_completed
            .and_then(|attempt| attempt.running_since)
            .map(|since| now - since);
        self.on_task_completed(key, run_s, now);
        let job = &self.jobs[&key.job];
        ExitedAttemptAction::forget_if(job.end.is_some() || job.is_completion_stored(key.task))
    }

    /// Handles an attempt that has exited without completing its task: attributes an error to the machine or the job,
    /// and releases the attempt.
    fn on_incomplete_exit(
        &mut self,
        machine_index: MachineIndex,
        key: AttemptKey,
        exit_reason: ExitReason,
        now: Time,
    ) {
        if matches!(
            exit_reason,
            ExitReason::Error | ExitReason::Other | ExitReason::NoSuchTask
        ) {
            self.attribute_task_failure(key.job, machine_index, now);
        }
        if exit_reason == ExitReason::InUse
            && let Some(job) = self.jobs.get_mut(&key.job)
        {
            // Another attempt of the task is on that machine, perhaps one that must not be forgotten: the job is placed
            // on other machines if there are any.
            job.failed_machines.insert(machine_index);
        }
        self.release_attempt(machine_index, key, now);
    }

    /// Handles an attempt that is on a machine and has not exited. The attempt is stopped if its job has ended or its
    /// task is not assigned to the machine as this attempt.
    fn on_live_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: AttemptKey,
        state: TaskState,
        now: Time,
    ) {
        let job = &self.jobs[&key.job];
        let must_stop = job.end.is_some() || !self.is_current_assignment(machine_index, key);
        let resources = job.task_resources();
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        if !machine.attempts.contains_key(&key) {
            machine.add_attempt(key, TaskAttempt::new(resources, true, now));
            self.on_attempt_added(key.job);
        }
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        let Some(task_attempt) = machine.attempts.get_mut(&key) else {
            return;
        };
        if state == TaskState::Running && task_attempt.running_since.is_none() {
            task_attempt.running_since = Some(now);
        }
        let state_changed = task_attempt.state.replace(state) != Some(state);
        let stops_now = must_stop && task_attempt.stop_grace_s.is_none();
        if stops_now {
            task_attempt.stop_grace_s = Some(0.0);
        }
        if state_changed && let Some(type_index) = machine.type_index {
            let spec = &self.jobs[&key.job].spec;
            let image_fetched = state != TaskState::Fetching;
            let cache = self.catalog.image_cache_capacity(type_index);
            machine
                .image_cache
                .observe(&spec.image, spec.image_gb, image_fetched, cache, now);
        }
        if stops_now {
            self.fleet.request_direct_call(machine_index);
        }
    }
}
