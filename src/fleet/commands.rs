//! What machines are told, in the answers to their reports and directly.

use super::{DirectLaunch, DirectMessage, DirectOutcome, Source};
use crate::jobs::{JobIndex, MachineIndex, Task};
use crate::leader::{Leader, job_task};
use crate::rt::Time;
use crate::wire::{Command, TaskState};
use std::net::SocketAddr;

/// Part of the time in which a job is to start that its launch may wait for a report.
const LAUNCH_WAIT_SHARE: f64 = 0.1;
/// Commands in one answer, so that its only line stays short.
const COMMANDS_MAX: usize = 400;

impl Leader {
    /// Adds the commands a worker is to have now.
    pub(super) fn write_commands(
        &mut self,
        index: MachineIndex,
        source: Source,
        commands: &mut Vec<Command>,
    ) {
        let fits = |commands: &Vec<Command>| commands.len() < COMMANDS_MAX;
        let token = self.token;
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        machine.direct_wanted = false;
        let settled = machine.token >= token && !machine.leaving;
        let launches = settled && (source == Source::Checkin || machine.launch_wanted);
        machine.launch_wanted = false;
        for (key, slot) in &mut machine.slots {
            if !fits(commands) {
                break;
            }
            if slot.over {
                continue;
            }
            let job = &self.jobs[&key.job];
            if let Some(grace_s) = slot.stop {
                // A task that saves is left to it, unless it is to go at once. A stop may overtake
                // its launch; it is then repeated until a report shows the task gone.
                let saving = slot.state == Some(TaskState::Saving);
                if !(saving && grace_s > 0.0) {
                    commands.push(Command::Stop {
                        task: job_task(&job.id, key.task),
                        attempt: key.attempt,
                        grace_s,
                    });
                }
            } else if launches
                && slot.state.is_none()
                && !(source == Source::Direct && slot.in_doubt())
                && !slot.inherited
                && !slot.sent
                && job.ended.is_none()
                && job.bind_is_stored(key.task, key.attempt)
            {
                slot.sent = true;
                if source == Source::Direct {
                    slot.direct = Some(DirectLaunch::UnderWay);
                }
                commands.push(Command::Start {
                    task: job_task(&job.id, key.task),
                    attempt: key.attempt,
                });
            }
        }
    }

    /// A worker that some controller saw lately is to be called on: that fences off a former
    /// leader there, and its report comes back at once.
    pub fn call_on(&mut self, name: &str, zone: &str, addr: &str, session: u64, now: Time) {
        let index = self.fleet.enter(name, zone, now);
        if let Some(machine) = self.fleet.machines.get_mut(&index) {
            machine.addr = machine.addr.or_else(|| addr.parse().ok());
            if machine.heard.is_none() {
                machine.session = machine.session.max(session);
                machine.direct_wanted = true;
                self.fleet.calls.insert(index);
            }
        }
    }

    /// Direct messages to send now, `most` at the most.
    pub fn directs(&mut self, now: Time, gap_s: f64, most: usize) -> Vec<DirectMessage> {
        let machines = &self.fleet.machines;
        self.fleet.calls.retain(|index| {
            let machine_state = machines.get(index);
            machine_state.is_some_and(|machine_state| {
                (machine_state.launch_wanted || machine_state.direct_wanted)
                    && !machine_state.leaving
            })
        });
        let calls = self.fleet.calls.iter();
        let due: Vec<(MachineIndex, SocketAddr, u64)> = calls
            .filter_map(|index| Some((*index, machines.get(index)?)))
            .filter(|(_, machine_state)| {
                !machine_state.direct_live
                    && (machine_state.launch_wanted || now - machine_state.direct_tried > gap_s)
            })
            .filter_map(|(index, machine_state)| {
                Some((index, machine_state.addr?, machine_state.session))
            })
            .take(most)
            .collect();
        let mut messages = Vec::new();
        for (machine, addr, session) in due {
            let mut commands = Vec::new();
            self.write_commands(machine, Source::Direct, &mut commands);
            if let Some(machine_state) = self.fleet.machines.get_mut(&machine) {
                machine_state.direct_tried = now;
                machine_state.direct_live = true;
                // Until it was heard, or has nothing left to stop, it is called on again.
                machine_state.direct_wanted = !machine_state.is_up()
                    || machine_state.slots.values().any(|s| s.stop.is_some());
            }
            messages.push(DirectMessage {
                machine,
                addr,
                session,
                commands,
            });
        }
        messages
    }

    /// Takes in what became of a direct message.
    pub fn on_direct(&mut self, machine: MachineIndex, outcome: DirectOutcome, now: Time) {
        let Some(machine_state) = self.fleet.machines.get_mut(&machine) else {
            return;
        };
        machine_state.direct_live = false;
        let mut back = Vec::new();
        for (key, slot) in &mut machine_state.slots {
            if slot.direct != Some(DirectLaunch::UnderWay) {
                continue;
            }
            slot.direct = match outcome {
                DirectOutcome::Done(_) => Some(DirectLaunch::Answered),
                DirectOutcome::Unknown => Some(DirectLaunch::Unanswered),
                DirectOutcome::Refused(_) | DirectOutcome::NotSent => {
                    slot.sent = false;
                    None
                }
            };
            if matches!(outcome, DirectOutcome::NotSent) && slot.is_unsent() {
                back.push(*key);
            }
        }
        match outcome {
            DirectOutcome::Done(report) | DirectOutcome::Refused(report) => {
                if report.token <= self.token {
                    self.note_report(now);
                    self.on_report(&report, Source::Direct, now);
                }
            }
            DirectOutcome::NotSent if !back.is_empty() => {
                // Nobody there: what it was to do goes elsewhere, until it reports again.
                machine_state.cool_until = now + self.config.deployment.workers.report_s;
                for key in back {
                    self.off(machine, key, now);
                }
            }
            DirectOutcome::NotSent | DirectOutcome::Unknown => {}
        }
    }

    /// Notes that a launch may go out: directly, if waiting for the machine's next report would
    /// take a good part of the time in which its job is to start.
    pub(crate) fn launch_ready(&mut self, index: JobIndex, task: u32, now: Time) {
        let Some(job) = self.jobs.get(&index) else {
            return;
        };
        let Task::Bound { machine, .. } = job.task(task) else {
            return;
        };
        let mut start_s = self.tightest_wait(&job.spec);
        if self.is_step_with_deadline(job) {
            start_s = start_s.min(self.run_s(job));
        }
        let may_wait = start_s * LAUNCH_WAIT_SHARE;
        let report_s = self.config.deployment.workers.report_s;
        if let Some(machine_state) = self.fleet.machines.get_mut(&machine)
            && machine_state
                .heard
                .is_some_and(|heard| heard + report_s - now > may_wait)
        {
            machine_state.launch_wanted = true;
            self.fleet.calls.insert(machine);
        }
    }

    /// Lets what can save do so before the cloud takes the machine.
    pub(super) fn heed_notice(&mut self, index: MachineIndex, now: Time) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let Some(taken_at) = machine.notice else {
            return;
        };
        let mut gangs = Vec::new();
        for (key, slot) in &mut machine.slots {
            let job = &self.jobs[&key.job];
            if slot.over || slot.stop.is_some() || job.spec.checkpoint_s <= 0.0 {
                continue;
            }
            // The notice may run out at half its time; saving needs its own.
            if taken_at - now < job.spec.save_s {
                continue;
            }
            if job.is_gang() {
                gangs.push(key.job);
            } else {
                slot.stop = Some(job.spec.save_s);
                machine.direct_wanted = true;
                self.fleet.calls.insert(index);
            }
        }
        for job in gangs {
            let grace = self.jobs[&job].spec.save_s;
            self.stop_job(job, grace, now);
        }
    }
}
