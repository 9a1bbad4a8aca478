//! What a machine's report tells: what runs there, what ended, what is gone.

use super::{DirectLaunch, Machine, Slot, SlotKey, Source, cache_of};
use crate::jobs::{JobIndex, MachineIndex, Task};
use crate::leader::{Leader, job_task, split_task};
use crate::rt::Time;
use crate::wire::{Command, ExitReason, Kind, Report, ReportTask, TaskState};
use std::collections::HashSet;

impl Leader {
    /// Takes in a report; returns what its answer should carry in any case, None if it tells nothing
    /// new: it may be a late copy, and its answer carries no commands then. What else the answer to
    /// a worker's own report carries see [`Leader::answer_commands`].
    pub fn on_report(
        &mut self,
        report: &Report,
        source: Source,
        now: Time,
    ) -> Option<Vec<Command>> {
        // A report of a machine whose return the cloud has confirmed was held back on its way:
        // the machine is gone, and entering it anew would only have it returned once more.
        if self.cloud.is_returned(&report.machine) {
            return None;
        }
        let index = self.fleet.enter(&report.machine, &report.zone, now);
        let type_index = self.type_by_name(&report.type_name);
        let capacity = type_index.map(|reported| self.capacity_of(reported));
        let was_open = self
            .fleet
            .machines
            .get(&index)
            .is_some_and(|machine_state| self.is_open(machine_state, now));
        let machine_state = self.fleet.machines.get_mut(&index)?;
        let before = (machine_state.used, machine_state.suspect);
        machine_state.describe(report, type_index.zip(capacity));
        machine_state.answered_before = machine_state.answered.is_some();
        if source == Source::Checkin {
            machine_state.answered = Some(now);
        }
        // An older message than one already seen tells nothing, and nothing is sent with its
        // answer: the worker may have given up on it.
        if (report.session, report.seq) <= (machine_state.session, machine_state.seq) {
            return None;
        }
        machine_state.hear(report, source, now);
        self.zones.heard.insert(machine_state.zone.clone(), now);
        let fenced = report.token >= self.token;
        if fenced {
            machine_state.fenced_session = machine_state.fenced_session.max(Some(report.session));
        }
        let mut seen = HashSet::with_capacity(report.tasks.len());
        let mut commands = Vec::new();
        for reported in &report.tasks {
            let key = self.slot_key(reported);
            seen.extend(key);
            commands.extend(self.on_task(index, reported, key, fenced, now));
        }
        self.on_absent(index, &seen, source, fenced, now);
        self.heed_notice(index, now);
        let rule = self.rule;
        let machine_state = self.fleet.machines.get_mut(&index)?;
        if machine_state.capacity.cpus > 0.0 {
            machine_state.price =
                rule.price_of_load(machine_state.used.largest_share(machine_state.capacity));
        }
        // A pass is worth its time only if there is room that was not there before.
        if before != (machine_state.used, machine_state.suspect) || !was_open {
            self.request_placement();
        }
        Some(commands)
    }

    /// The attempt that a report tells of, if its job is known.
    fn slot_key(&self, reported: &ReportTask) -> Option<SlotKey> {
        let (id, task) = split_task(&reported.task)?;
        let job = self.job_index(id)?;
        (task < self.jobs[&job].spec.tasks).then_some(SlotKey {
            job,
            task,
            attempt: reported.attempt,
        })
    }

    /// Takes in what a report tells of a task; what its answer should say of it in any case.
    fn on_task(
        &mut self,
        index: MachineIndex,
        reported: &ReportTask,
        key: Option<SlotKey>,
        fenced: bool,
        now: Time,
    ) -> Option<Command> {
        split_task(&reported.task)?;
        let (task, attempt) = (reported.task.clone(), reported.attempt);
        if reported.state == TaskState::Exited {
            let exit_reason = reported.exit_reason.unwrap_or(ExitReason::Other);
            let forget = match key {
                Some(key) => self.on_exit(index, key, exit_reason, fenced, now),
                None => fenced,
            };
            let name = (task, attempt);
            let kept = |m: &Machine| m.kept.contains(&name);
            let kept = self.fleet.machines.get(&index).is_some_and(kept);
            let (task, attempt) = name;
            return (forget && !kept).then_some(Command::Forget { task, attempt });
        }
        match key {
            Some(key) => {
                self.on_alive(index, key, reported.state, now);
                None
            }
            // Of a job that is over and forgotten.
            None => Some(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }),
        }
    }

    /// Adds to the answer of a worker's own report what it is to do now. A report that is no
    /// longer the newest known gets nothing: its worker may have given up on it. Returns whether it
    /// was the newest.
    pub fn answer_commands(&mut self, report: &Report, commands: &mut Vec<Command>) -> bool {
        let newest = |m: &Machine| (m.session, m.seq) == (report.session, report.seq);
        let Some(index) = self.fleet.find(&report.machine) else {
            return false;
        };
        let newest = self.fleet.machines.get(&index).is_some_and(newest);
        if newest {
            self.write_commands(index, Source::Checkin, commands);
        }
        newest
    }

    /// Whether a machine's lease must not be renewed: a direct launch of something that is over may still
    /// be carried out there, however late. The machine is being returned, but the cloud may not answer.
    pub fn lets_lapse(&self, machine: &str, now: Time) -> bool {
        let doubt_s = self.doubt_s();
        let machine_state = self
            .fleet
            .find(machine)
            .and_then(|index| self.fleet.machines.get(&index));
        machine_state.is_some_and(|machine_state| machine_state.has_launch_in_doubt(now, doubt_s))
    }

    /// For how long a launch of something that is over may be in doubt: then its machine goes, and its
    /// worker's lease runs out within `cancel_s` in any case.
    pub(crate) fn doubt_s(&self) -> f64 {
        let workers = &self.config.deployment.workers;
        let left = workers.cancel_s - self.off_after_s - self.config.leader_life_s();
        (workers.report_s * self.config.tunables.silent_reports).min(left)
    }

    /// A worker has seen our token in a session. If it had seen it in an earlier one already, all that was placed
    /// there before is gone, and what was sent to it before is refused.
    ///
    /// Else nothing follows: what a former leader placed may be in that very session. A new leader that knew machines
    /// behind a cut from the log alone once took their first session for a later one, and started all of their tasks
    /// elsewhere.
    pub(crate) fn on_session(&mut self, machine: &str, session: u64, now: Time) {
        let Some(index) = self.fleet.find(machine) else {
            return;
        };
        let Some(machine_state) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let earlier = machine_state.fenced_session;
        machine_state.fenced_session = earlier.max(Some(session));
        if earlier.is_none_or(|earlier| session <= earlier) || session <= machine_state.session {
            return;
        }
        machine_state.session = session;
        machine_state.seq = 0;
        machine_state.kept.clear();
        let gone: Vec<SlotKey> = machine_state.slots.keys().copied().collect();
        for key in gone {
            self.off(index, key, now);
        }
    }

    /// Whether work waits that a machine could be given within this moment.
    pub fn has_work_waiting(&self) -> bool {
        !self.active.is_empty()
    }

    /// A task ended; whether it may be reaped.
    pub(crate) fn on_exit(
        &mut self,
        index: MachineIndex,
        key: SlotKey,
        exit_reason: ExitReason,
        fenced: bool,
        now: Time,
    ) -> bool {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return false;
        };
        let known = machine.slots.get(&key).cloned();
        // An attempt of a former leader that has not been fenced off here: a late command of
        // his could still bring it back once it is reaped.
        if !fenced && known.as_ref().is_none_or(|s| s.inherited) {
            return false;
        }
        if known.as_ref().is_some_and(|s| s.may_return(exit_reason)) {
            let name = job_task(&self.jobs[&key.job].id, key.task);
            machine.kept.insert((name, key.attempt));
        }
        // A service's task is never done: one that exits starts anew.
        if exit_reason == ExitReason::Done && self.jobs[&key.job].spec.kind != Kind::Service {
            machine.finish_slot(&key);
            machine.errors = 0;
            machine.error_jobs.clear();
            let known = known.filter(|s| !s.over);
            if known.is_some() {
                self.use_team(key.job, -1.0);
            }
            let ran = known.and_then(|s| s.running_since).map(|since| now - since);
            self.on_task_done(key, ran, now);
            let job = &self.jobs[&key.job];
            return job.ended.is_some() || job.done_is_stored(key.task);
        }
        if known.is_some() {
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
                job.failed_on.insert(index);
            }
            self.off(index, key, now);
        }
        true
    }

    pub(super) fn on_alive(
        &mut self,
        index: MachineIndex,
        key: SlotKey,
        state: TaskState,
        now: Time,
    ) {
        let job = &self.jobs[&key.job];
        let bound_here = matches!(job.task(key.task),
            Task::Bound { machine, attempt, .. } if machine == index && attempt == key.attempt);
        let ended = job.ended.is_some();
        let amount = job.amount();
        let Some(machine_state) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        if !machine_state.slots.contains_key(&key) {
            machine_state.add_slot(key, Slot::new(amount, true, now));
            self.slot_added(key.job);
        }
        let Some(machine_state) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let Some(slot) = machine_state.slots.get_mut(&key) else {
            return;
        };
        if state == TaskState::Running && slot.running_since.is_none() {
            slot.running_since = Some(now);
        }
        if slot.state.replace(state) != Some(state)
            && let Some(type_index) = machine_state.type_index
        {
            let spec = &self.jobs[&key.job].spec;
            let here = state != TaskState::Fetching;
            let cache = cache_of(&self.types[type_index]);
            machine_state
                .images
                .see(&spec.image, spec.image_gb, here, cache, now);
        }
        if (ended || !bound_here) && slot.stop.is_none() {
            slot.stop = Some(0.0);
            machine_state.direct_wanted = true;
            self.fleet.calls.insert(index);
        }
    }

    /// Looks at what should be on a machine and isn't in its newer report.
    pub(super) fn on_absent(
        &mut self,
        index: MachineIndex,
        seen: &HashSet<SlotKey>,
        source: Source,
        fenced: bool,
        now: Time,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let mut off = Vec::new();
        for (key, slot) in machine.slots.iter_mut().filter(|(k, _)| !seen.contains(k)) {
            if slot.over {
                off.push(*key);
            } else if slot.inherited {
                // A former leader's launch may still be under way until the worker has seen
                // our token.
                if fenced {
                    off.push(*key);
                }
            } else if slot.state.is_some() {
                off.push(*key);
            } else if slot.in_doubt() {
                // The launch may come later: it stays here. The next answer may carry it too.
                if slot.direct == Some(DirectLaunch::Unanswered) && source == Source::Checkin {
                    slot.sent = false;
                }
            } else if slot.sent {
                // Only the worker's next own report proves that the answer with the launch was
                // dropped: it is made after that answer was carried out or given up.
                if source == Source::Checkin {
                    slot.sent = false;
                    if slot.stop.is_some() {
                        off.push(*key);
                    }
                }
            } else if slot.stop.is_some() {
                off.push(*key);
            }
        }
        for key in off {
            self.off(index, key, now);
        }
    }

    /// A task is surely off a machine.
    pub(crate) fn off(&mut self, index: MachineIndex, key: SlotKey, now: Time) {
        let Some(slot) = self
            .fleet
            .machines
            .get_mut(&index)
            .and_then(|m| m.drop_slot(&key))
        else {
            return;
        };
        self.slot_dropped(key.job);
        if slot.over {
            self.maybe_settle(key.job);
            return;
        }
        if matches!(slot.state, None | Some(TaskState::Fetching)) {
            self.image_unwanted(index, key.job);
        }
        self.use_team(key.job, -1.0);
        if self.jobs[&key.job].is_gang() {
            self.judge_attempt(key.job);
        }
        let bound_here = matches!(self.jobs[&key.job].task(key.task),
            Task::Bound { machine, attempt, .. } if machine == index && attempt == key.attempt);
        if bound_here {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.unbind(key.task);
            }
            self.wake_job(key.job);
            self.on_unbound(key.job, key.task, now);
        }
        self.request_placement();
        self.maybe_settle(key.job);
    }

    /// A task came off a machine before it had its image: if no other there waits for it, the fetch
    /// is given up.
    pub(super) fn image_unwanted(&mut self, index: MachineIndex, job: JobIndex) {
        let image = &self.jobs[&job].spec.image;
        if let Some(machine) = self.fleet.machines.get_mut(&index)
            && !machine
                .slots
                .keys()
                .any(|k| self.jobs[&k.job].spec.image == *image)
        {
            machine.images.give_up(image);
        }
    }
}
