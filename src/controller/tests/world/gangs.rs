//! Gangs by the protocol: the tasks of an attempt find each other, start together, complete together, and exit when
//! one of them is gone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{Worker, World};
use crate::jobs::task_name::parse_task_name;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitReason, TaskState};
use crate::runtime::Time;

/// An attempt of a gang: job id and attempt number.
type Attempt = (String, u64);

/// Progress of an attempt beyond the states of its tasks.
#[derive(Default)]
struct Progress {
    /// When all its tasks started running.
    started: Option<Time>,
    /// When its first task was placed.
    waiting_since: Option<Time>,
    /// When a task was first found missing after the start.
    broken_at: Option<Time>,
}

/// All attempts ever placed.
#[derive(Default)]
pub struct Gangs {
    attempts: RefCell<BTreeMap<Attempt, Progress>>,
}

/// A task of an attempt on a worker.
struct Member {
    worker: Rc<Worker>,
    task: String,
    state: TaskState,
    done: bool,
}

impl Gangs {
    /// A task has its image and waits for the others of its attempt.
    pub fn wait_for_others(&self, worker: &Worker, task: &str, attempt: u64) {
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
    for t in tasks.filter(|t| t.task == task && t.attempt == attempt) {
        t.state = state;
        t.exit_reason = exit_reason;
    }
}

impl World {
    /// Lets gangs start, complete and break up.
    pub(super) fn step_gangs(&self) {
        let mut members = self.gang_members();
        let mut attempts = self.gangs.attempts.borrow_mut();
        attempts.retain(|attempt, _| members.contains_key(attempt));
        for (attempt, progress) in attempts.iter_mut() {
            let members = members.remove(attempt).unwrap_or_default();
            self.step_gang(attempt, progress, &members);
        }
    }

    /// The tasks that are on machines, or completed there, by attempt.
    fn gang_members(&self) -> BTreeMap<Attempt, Vec<Member>> {
        let mut members: BTreeMap<Attempt, Vec<Member>> = BTreeMap::new();
        for worker in self.all_workers() {
            let live = worker.running_tasks();
            let exited = worker.exited_done();
            for t in live.iter().chain(&exited) {
                let (id, _) = parse_task_name(&t.task).unwrap();
                if self.checks.spec(&t.task).kind != JobKind::Gang {
                    continue;
                }
                let member = Member {
                    worker: worker.clone(),
                    task: t.task.clone(),
                    state: t.state,
                    done: t.state == TaskState::Exited,
                };
                let attempt = (id.to_owned(), t.attempt);
                members.entry(attempt).or_default().push(member);
            }
        }
        members
    }

    fn step_gang(&self, attempt: &Attempt, progress: &mut Progress, members: &[Member]) {
        let now = self.now();
        let w = &self.config.deployment.workers;
        let spec = self.checks.spec(&members[0].task);
        if members.iter().any(|m| m.done) {
            // If one task is done, all are.
            self.exit_all(attempt, members, ExitReason::Done);
            return;
        }
        let complete = members.len() == spec.tasks as usize;
        let able = members.iter().all(|m| !m.worker.hangs(now));
        if progress.started.is_none() {
            let waiting = members.iter().all(|m| m.state == TaskState::Waiting);
            if complete && able && waiting {
                progress.started = Some(now);
                self.start_gang(attempt, members);
            } else if progress
                .waiting_since
                .is_some_and(|since| now - since > w.gang_wait_s)
            {
                self.exit_all(attempt, members, ExitReason::Incomplete);
            }
        } else if complete && able {
            progress.broken_at = None;
        } else {
            let since = *progress.broken_at.get_or_insert(now);
            if now - since > w.gang_peer_s / 2.0 {
                self.exit_all(attempt, members, ExitReason::Peers);
            }
        }
    }

    fn start_gang(&self, attempt: &Attempt, members: &[Member]) {
        let now = self.now();
        for m in members {
            set_state(&m.worker, &m.task, attempt.1, TaskState::Running, None);
            let ends = now + self.checks.run_time_s(&m.task);
            let mut all = m.worker.ends.borrow_mut();
            all.insert((m.task.clone(), attempt.1), ends);
            m.worker.schedule_heartbeat(now);
        }
    }

    /// All tasks of an attempt exit, except on machines that hang.
    fn exit_all(&self, attempt: &Attempt, members: &[Member], exit_reason: ExitReason) {
        let now = self.now();
        for m in members.iter().filter(|m| !m.done && !m.worker.hangs(now)) {
            set_state(
                &m.worker,
                &m.task,
                attempt.1,
                TaskState::Exited,
                Some(exit_reason),
            );
            m.worker.schedule_heartbeat(now);
        }
    }
}
