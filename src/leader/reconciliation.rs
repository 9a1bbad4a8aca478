//! Reconciliation of heartbeats with the state: what runs on a machine, what exited, what is gone.

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
pub(super) enum ExitedAttempt {
    /// Forget it, as nothing depends on its report any more.
    Reap,
    /// Keep reporting it.
    Keep,
}

impl ExitedAttempt {
    /// To be reaped if the condition holds.
    fn reap_if(condition: bool) -> Self {
        if condition {
            ExitedAttempt::Reap
        } else {
            ExitedAttempt::Keep
        }
    }
}

impl Leader {
    /// Takes in a heartbeat. Returns the commands that its answer should carry in any case, or none if it isn't
    /// new: it may be a late copy, and its answer carries no commands then. For what else the answer to
    /// a periodic heartbeat carries see [`Leader::append_reply_commands`].
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) -> Option<Vec<Command>> {
        // A heartbeat of a machine whose return the cloud has confirmed was delayed on its way:
        // the machine is gone, and adding it anew would only have it returned once more.
        if self.autoscaler.cloud.is_returned(&heartbeat.machine) {
            return None;
        }
        let index = self
            .fleet
            .get_or_insert(&heartbeat.machine, &heartbeat.zone, now);
        let was_schedulable = self
            .fleet
            .machines
            .get(&index)
            .is_some_and(|machine| self.fleet.is_schedulable(machine, now));
        let machine = self.fleet.machines.get_mut(&index)?;
        let before = (machine.used, machine.quarantined);
        machine.update_description(heartbeat, &self.catalog);
        machine.record_acknowledgement(origin, now);
        // An older heartbeat than one already seen proves nothing, and nothing is sent with its
        // answer: the worker may have given up on it.
        if !machine.is_new_heartbeat(heartbeat) {
            return None;
        }
        machine.record_heartbeat(heartbeat, origin, now);
        let zone = machine.zone.clone();
        self.fleet.zones.record_contact(zone, now);
        let commands = self.reconcile_attempts(index, heartbeat, origin, now);
        self.on_preemption_notice(index, now);
        let rule = self.scheduler.rule;
        let machine = self.fleet.machines.get_mut(&index)?;
        if machine.capacity.cpus > 0.0 {
            machine.price = rule.price_of_load(machine.used.largest_share(machine.capacity));
        }
        // A placement pass is worth its time only if there is room that was not there before.
        if before != (machine.used, machine.quarantined) || !was_schedulable {
            self.request_placement();
        }
        Some(commands)
    }

    /// Compares the attempts on a machine with those that a new heartbeat lists. Returns the commands that its answer should
    /// carry in any case.
    fn reconcile_attempts(
        &mut self,
        index: MachineIndex,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) -> Vec<Command> {
        let fenced = heartbeat.fencing_token >= self.fencing_token;
        if fenced && let Some(machine) = self.fleet.machines.get_mut(&index) {
            machine.record_fenced_epoch(heartbeat.agent_epoch);
        }
        let mut listed = HashSet::with_capacity(heartbeat.tasks.len());
        let mut commands = Vec::new();
        for reported in &heartbeat.tasks {
            let key = self.attempt_key(reported);
            listed.extend(key);
            commands.extend(self.on_task(index, reported, key, fenced, now));
        }
        let machine = self.fleet.machines.get_mut(&index);
        let gone = machine.map(|machine| machine.gone_attempts(&listed, origin, fenced));
        for key in gone.unwrap_or_default() {
            self.release_attempt(index, key, now);
        }
        commands
    }

    /// The attempt that a heartbeat lists, if its job is known.
    fn attempt_key(&self, reported: &TaskStatus) -> Option<AttemptKey> {
        let (id, task) = parse_task_name(&reported.task)?;
        let job = self.job_index(id)?;
        (task < self.jobs[&job].spec.tasks).then_some(AttemptKey {
            job,
            task,
            attempt: reported.attempt,
        })
    }

    /// Takes in the state of a task that a heartbeat lists. Returns the command that its answer should carry in any case.
    /// `fenced`: the heartbeat shows this leader's fencing token.
    fn on_task(
        &mut self,
        index: MachineIndex,
        reported: &TaskStatus,
        key: Option<AttemptKey>,
        fenced: bool,
        now: Time,
    ) -> Option<Command> {
        // What isn't the name of a task is ignored.
        parse_task_name(&reported.task)?;
        let (task, attempt) = (reported.task.clone(), reported.attempt);
        if reported.state == TaskState::Exited {
            let exit_reason = reported.exit_reason.unwrap_or(ExitReason::Other);
            let exited = match key {
                Some(key) => self.on_task_exit(index, key, exit_reason, fenced, now),
                None => ExitedAttempt::reap_if(fenced),
            };
            let named = NamedAttempt { task, attempt };
            let machine = self.fleet.machines.get(&index);
            let may_reap = machine.is_none_or(|machine| machine.may_reap(&named));
            return (exited == ExitedAttempt::Reap && may_reap).then_some(Command::Forget {
                task: named.task,
                attempt,
            });
        }
        match key {
            Some(key) => {
                self.on_task_alive(index, key, reported.state, now);
                None
            }
            // Of a job that has ended and whose records are deleted.
            None => Some(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }),
        }
    }

    /// Whether work waits that a machine could be given within this moment.
    pub fn has_work_waiting(&self) -> bool {
        !self.scheduler.waiting_jobs.is_empty()
    }

    /// An attempt has exited. `fenced`: its worker has shown this leader's fencing token.
    pub(super) fn on_task_exit(
        &mut self,
        index: MachineIndex,
        key: AttemptKey,
        exit_reason: ExitReason,
        fenced: bool,
        now: Time,
    ) -> ExitedAttempt {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return ExitedAttempt::Keep;
        };
        let known = machine.attempts.get(&key).cloned();
        // An attempt of a former leader that has not been fenced off here: a late command of
        // that leader could still start it again once it is reaped.
        if !fenced && known.as_ref().is_none_or(|attempt| attempt.inherited) {
            return ExitedAttempt::Keep;
        }
        let job = &self.jobs[&key.job];
        if known
            .as_ref()
            .is_some_and(|attempt| attempt.may_be_relaunched(exit_reason))
        {
            machine.forbid_reaping(NamedAttempt {
                task: task_name(&job.id, key.task),
                attempt: key.attempt,
            });
        }
        // A service's task is never done: one that exits starts anew.
        if exit_reason == ExitReason::Done && job.spec.kind != JobKind::Service {
            machine.complete_attempt(&key);
            return self.on_completion(key, known, now);
        }
        if known.is_some() {
            self.on_failed_exit(index, key, exit_reason, now);
        }
        ExitedAttempt::Reap
    }

    /// An attempt has completed; `known` is what was known of it before.
    fn on_completion(
        &mut self,
        key: AttemptKey,
        known: Option<TaskAttempt>,
        now: Time,
    ) -> ExitedAttempt {
        let newly_completed = known.filter(|attempt| !attempt.completed);
        if newly_completed.is_some() {
            self.release_team(key.job);
        }
        let run_s = newly_completed
            .and_then(|attempt| attempt.running_since)
            .map(|since| now - since);
        self.on_task_done(key, run_s, now);
        let job = &self.jobs[&key.job];
        ExitedAttempt::reap_if(job.end.is_some() || job.is_completion_stored(key.task))
    }

    /// An attempt that was on a machine has exited without having completed.
    fn on_failed_exit(
        &mut self,
        index: MachineIndex,
        key: AttemptKey,
        exit_reason: ExitReason,
        now: Time,
    ) {
        if matches!(
            exit_reason,
            ExitReason::Error | ExitReason::Other | ExitReason::NoSuchTask
        ) {
            self.on_task_error(key.job, index, now);
        }
        if exit_reason == ExitReason::InUse
            && let Some(job) = self.jobs.get_mut(&key.job)
        {
            // Another attempt, perhaps one that must not be reaped, is in the way there.
            job.failed_machines.insert(index);
        }
        self.release_attempt(index, key, now);
    }

    /// An attempt is on a machine, in this state.
    fn on_task_alive(&mut self, index: MachineIndex, key: AttemptKey, state: TaskState, now: Time) {
        let job = &self.jobs[&key.job];
        let must_stop = job.end.is_some() || !self.is_bound(index, key);
        let resources = job.task_resources();
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        if !machine.attempts.contains_key(&key) {
            machine.add_attempt(key, TaskAttempt::new(resources, true, now));
            self.on_attempt_added(key.job);
        }
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
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
            self.fleet.request_direct_call(index);
        }
    }
}
