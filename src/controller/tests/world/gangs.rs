//! Gangs of the stand-in workers. The tasks of an attempt wait for each other, start together, complete together, and
//! all exit if one of them is missing.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{Worker, World};
use crate::jobs::task_name::parse_task_name;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitReason, TaskState};
use crate::runtime::Time;

/// An attempt to run a gang: job id and attempt number.
type Attempt = (String, u64);

/// The progress of an attempt that the states of its tasks don't show.
#[derive(Default)]
struct Progress {
    /// When the tasks started running together.
    started_at: Option<Time>,
    /// When the first task arrived on a machine.
    waiting_since: Option<Time>,
    /// Since when, after the start, a task has been missing or on a worker that hangs.
    broken_at: Option<Time>,
}

/// The attempts that have tasks on machines.
#[derive(Default)]
pub struct Gangs {
    attempts: RefCell<BTreeMap<Attempt, Progress>>,
}

/// A task of an attempt on a worker.
struct Member {
    worker: Rc<Worker>,
    task: String,
    state: TaskState,
    completed: bool,
}

impl Gangs {
    /// Makes a task wait for the other tasks of its attempt. Its image counts as pulled.
    pub fn wait_for_peers(&self, worker: &Worker, task: &str, attempt: u64) {
        set_state(worker, task, attempt, TaskState::Waiting, None);
        let (id, _) = parse_task_name(task).unwrap();
        let mut attempts = self.attempts.borrow_mut();
        let progress = attempts.entry((id.to_owned(), attempt)).or_default();
        progress.waiting_since.get_or_insert(worker.now());
    }
}

fn set_state(
    worker: &Worker,
    task: &str,
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
) {
    let mut fake = worker.fake.borrow_mut();
    let tasks = fake.heartbeat.tasks.iter_mut();
    for status in tasks.filter(|status| status.task == task && status.attempt == attempt) {
        status.state = state;
        status.exit_reason = exit_reason;
    }
}

impl World {
    /// Advances all attempts: starts those that are complete, and ends those that completed or broke up.
    pub(super) fn step_gangs(&self) {
        let mut members = self.gang_members();
        let mut attempts = self.gangs.attempts.borrow_mut();
        attempts.retain(|attempt, _| members.contains_key(attempt));
        for (attempt, progress) in attempts.iter_mut() {
            let members = members.remove(attempt).unwrap_or_default();
            self.step_gang(attempt, progress, &members);
        }
    }

    /// The tasks of gangs that are on machines or have completed there, by attempt.
    fn gang_members(&self) -> BTreeMap<Attempt, Vec<Member>> {
        let mut members: BTreeMap<Attempt, Vec<Member>> = BTreeMap::new();
        for worker in self.all_workers() {
            let running = worker.running_tasks();
            let completed = worker.completed_tasks();
            for status in running.iter().chain(&completed) {
                let (id, _) = parse_task_name(&status.task).unwrap();
                if self.checks.spec(&status.task).kind != JobKind::Gang {
                    continue;
                }
                let member = Member {
                    worker: worker.clone(),
                    task: status.task.clone(),
                    state: status.state,
                    completed: status.state == TaskState::Exited,
                };
                let attempt = (id.to_owned(), status.attempt);
                members.entry(attempt).or_default().push(member);
            }
        }
        members
    }

    /// Advances one attempt. It starts once all its tasks wait on workers that don't hang, and gives up after
    /// `gang_wait_s`. If, after the start, a task is missing or its worker hangs for half of `gang_peer_s`, the
    /// others exit.
    fn step_gang(&self, attempt: &Attempt, progress: &mut Progress, members: &[Member]) {
        let now = self.now();
        let worker_settings = &self.config.deployment.workers;
        let spec = self.checks.spec(&members[0].task);
        if members.iter().any(|member| member.completed) {
            // If one task has completed, all have.
            self.exit_all(attempt, members, ExitReason::Done);
            return;
        }
        let complete = members.len() == spec.tasks as usize;
        let none_hangs = members.iter().all(|member| !member.worker.hangs(now));
        if progress.started_at.is_none() {
            let all_waiting = members
                .iter()
                .all(|member| member.state == TaskState::Waiting);
            if complete && none_hangs && all_waiting {
                progress.started_at = Some(now);
                self.start_gang(attempt, members);
            } else if progress
                .waiting_since
                .is_some_and(|since| now - since > worker_settings.gang_wait_s)
            {
                self.exit_all(attempt, members, ExitReason::Incomplete);
            }
        } else if complete && none_hangs {
            progress.broken_at = None;
        } else {
            let broken_since = *progress.broken_at.get_or_insert(now);
            if now - broken_since > worker_settings.gang_peer_s / 2.0 {
                self.exit_all(attempt, members, ExitReason::Peers);
            }
        }
    }

    fn start_gang(&self, attempt: &Attempt, members: &[Member]) {
        let now = self.now();
        for member in members {
            set_state(
                &member.worker,
                &member.task,
                attempt.1,
                TaskState::Running,
                None,
            );
            let completion_time = now + self.checks.run_time_s(&member.task);
            let mut completion_times = member.worker.completion_times.borrow_mut();
            completion_times.insert((member.task.clone(), attempt.1), completion_time);
            member.worker.schedule_heartbeat(now);
        }
    }

    /// Makes all tasks of an attempt exit, except on machines that hang.
    fn exit_all(&self, attempt: &Attempt, members: &[Member], exit_reason: ExitReason) {
        let now = self.now();
        for member in members
            .iter()
            .filter(|member| !member.completed && !member.worker.hangs(now))
        {
            set_state(
                &member.worker,
                &member.task,
                attempt.1,
                TaskState::Exited,
                Some(exit_reason),
            );
            member.worker.schedule_heartbeat(now);
        }
    }
}
