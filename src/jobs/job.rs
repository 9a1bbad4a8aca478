//! A job and the state of its tasks.

use std::collections::HashSet;
use std::rc::Rc;

use super::assignment_log::LoggedState;
use super::{MachineIndex, RecordNumber, task_resources};
use crate::jobs::class_key::class_key;
use crate::protocol::users::{JobKind, Submission};
use crate::resources::Resources;
use crate::runtime::Time;
use crate::store::records::JobEnd;

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// The task is on no machine and not done.
    Pending,
    /// The task may be on a machine.
    Assigned {
        /// The index of that machine.
        machine: MachineIndex,
        /// The number of the attempt.
        attempt: u64,
        /// The assignment record that holds this assignment. None until one is stored.
        recorded_by: Option<RecordNumber>,
    },
    /// The task has completed.
    Done {
        /// The assignment record that holds the completion. None until one is stored.
        recorded_by: Option<RecordNumber>,
    },
}

/// The leader's view of a job.
#[derive(Debug)]
pub struct Job {
    /// The id that the user gave the job.
    pub id: Rc<str>,
    /// The submission. Its priority is raised to that of the jobs that depend on this job.
    pub spec: Rc<Submission>,
    /// The job's class, see [`class_key`].
    pub class: Rc<str>,
    /// The index of the job's team in the settings.
    pub team: usize,
    /// The revision of the store at which the job was created. It gives the order of acceptance.
    pub acceptance_order: u64,
    /// When the job was submitted, as far as this controller knows. The job's own deadline counts from then.
    pub submitted_at: Time,
    /// When the job became ready; while it is blocked, when it was submitted. All times other than the deadline count
    /// from then.
    pub ready_at: Time,
    /// Whether the job is blocked on dependencies. It is then not scheduled and uses nothing of a limit or guarantee.
    pub is_blocked: bool,
    /// When the job must be done for the jobs that depend on it to meet their deadlines. Infinite if none has a
    /// deadline.
    pub required_by: Time,
    /// Number of additional values in the store that hold ids of the job's dependencies, because the size of a value is
    /// limited.
    pub dependency_parts: u32,
    /// The states of the tasks with the lowest numbers. Those after them are pending: a waiting task takes no memory.
    tasks: Vec<Task>,
    /// The tasks from this number on have never been taken for placement.
    next_unplaced: u32,
    /// Tasks that were released from their machines and are to be placed again.
    requeued: Vec<u32>,
    /// Number of tasks that are done.
    pub done_tasks: u32,
    /// Number of tasks that may be on machines and are not done.
    pub assigned_tasks: u32,
    /// How the job ended. None if it has not ended.
    pub end: Option<JobEnd>,
    /// Whether the end is stored. False if the job has not ended.
    pub end_stored: bool,
    /// No task of the job is placed before this time.
    pub backoff_until: Time,
    /// Machines on which tasks of the job failed, or couldn't start because another attempt was in the way, since a
    /// task last completed. Placement avoids them where it can.
    pub failed_machines: HashSet<MachineIndex>,
    /// Machines on which tasks of the gang failed in its present attempt.
    pub failed_machines_in_attempt: HashSet<MachineIndex>,
    /// The duration of the last backoff, in seconds; 0 if a task has completed since. The next backoff doubles it,
    /// within limits.
    pub backoff_s: f64,
    /// Number of attempts of the job's tasks that are or may be on machines, completed ones included.
    pub live_attempts: u32,
}

impl Job {
    /// Creates a job of which no task has run and that was ready when it was submitted.
    pub fn new(
        id: Rc<str>,
        spec: Rc<Submission>,
        team: usize,
        acceptance_order: u64,
        submitted_at: Time,
    ) -> Self {
        Job {
            id,
            class: class_key(&spec).into(),
            tasks: Vec::new(),
            spec,
            team,
            acceptance_order,
            submitted_at,
            ready_at: submitted_at,
            is_blocked: false,
            required_by: f64::INFINITY,
            dependency_parts: 0,
            next_unplaced: 0,
            requeued: Vec::new(),
            done_tasks: 0,
            assigned_tasks: 0,
            end: None,
            end_stored: false,
            backoff_until: 0.0,
            failed_machines: HashSet::new(),
            failed_machines_in_attempt: HashSet::new(),
            backoff_s: 0.0,
            live_attempts: 0,
        }
    }

    /// Returns whether the job is a gang, whose tasks all run at the same time.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Returns whether the job is part of a chain that has a deadline. Such jobs avoid spot machines: a task that is
    /// lost with a preempted machine starts from the beginning, and with many tasks at least one is usually lost. Half
    /// of the chains that missed their deadline had waited for such a task.
    pub fn is_chain_step_with_deadline(&self) -> bool {
        let is_last = !self.spec.waits_on.is_empty() && self.spec.deadline_s.is_some();
        is_last || self.required_by.is_finite()
    }

    /// Returns the resources that each task takes.
    pub fn task_resources(&self) -> Resources {
        task_resources(&self.spec)
    }

    /// Returns the number of tasks that are on no machine and not done.
    pub fn pending_tasks(&self) -> u32 {
        self.spec.tasks - self.done_tasks - self.assigned_tasks
    }

    /// Returns the state of a task.
    pub fn task(&self, task: u32) -> Task {
        let known = self.tasks.get(task as usize).copied();
        known.unwrap_or(Task::Pending)
    }

    /// Sets the state of a task.
    fn set_task(&mut self, task: u32, state: Task) {
        let position = task as usize;
        if position >= self.tasks.len() {
            self.tasks.resize(position + 1, Task::Pending);
        }
        self.tasks[position] = state;
    }

    /// Returns the machine that a task may be on with this attempt. None if the task is not assigned with it.
    pub fn machine_of(&self, task: u32, attempt: u64) -> Option<MachineIndex> {
        match self.tasks.get(task as usize)? {
            Task::Assigned {
                machine,
                attempt: assigned_attempt,
                ..
            } if *assigned_attempt == attempt => Some(*machine),
            _ => None,
        }
    }

    /// Takes the next pending task to be placed. The caller must assign it to a machine, or it is never placed.
    pub fn take_pending(&mut self) -> Option<u32> {
        loop {
            let task = match self.requeued.pop() {
                Some(task) => task,
                None if self.next_unplaced < self.spec.tasks => {
                    self.next_unplaced += 1;
                    self.next_unplaced - 1
                }
                None => return None,
            };
            if self.task(task) == Task::Pending {
                return Some(task);
            }
        }
    }

    /// Records that a task is assigned to a machine or may be there. `recorded_by` is the stored assignment record that
    /// holds this, if there is one.
    pub fn assign(
        &mut self,
        task: u32,
        machine: MachineIndex,
        attempt: u64,
        recorded_by: Option<RecordNumber>,
    ) {
        let state = Task::Assigned {
            machine,
            attempt,
            recorded_by,
        };
        self.set_task(task, state);
        self.assigned_tasks += 1;
    }

    /// Makes an assigned task pending again. It must be certain that the task doesn't run on its machine.
    pub fn release(&mut self, task: u32) {
        if let Task::Assigned { .. } = self.task(task) {
            self.set_task(task, Task::Pending);
            self.assigned_tasks -= 1;
            self.requeued.push(task);
        }
    }

    /// Records that a task is done. `recorded_by` is the stored assignment record that holds this, if there is one.
    pub fn complete(&mut self, task: u32, recorded_by: Option<RecordNumber>) {
        match self.task(task) {
            Task::Done { .. } => return,
            Task::Assigned { .. } => self.assigned_tasks -= 1,
            Task::Pending => {}
        }
        self.set_task(task, Task::Done { recorded_by });
        self.done_tasks += 1;
    }

    /// Returns whether the store holds that a task is done, by an assignment record or by the end of the job.
    pub fn is_completion_stored(&self, task: u32) -> bool {
        self.end_stored
            || matches!(
                self.task(task),
                Task::Done {
                    recorded_by: Some(_)
                }
            )
    }

    /// Returns whether an assignment record with this attempt of a task is stored.
    pub fn is_assignment_stored(&self, task: u32, attempt: u64) -> bool {
        matches!(self.task(task),
            Task::Assigned { attempt: assigned_attempt, recorded_by: Some(_), .. }
                if assigned_attempt == attempt)
    }

    /// Records that an assignment record with this state of a task was stored. Ignored if the state has changed since.
    pub fn on_recorded(&mut self, task: u32, state: LoggedState, number: RecordNumber) {
        let Some(known) = self.tasks.get_mut(task as usize) else {
            return;
        };
        match (known, state) {
            (
                Task::Assigned {
                    attempt,
                    recorded_by,
                    ..
                },
                LoggedState::Assigned {
                    attempt: logged_attempt,
                },
            ) if *attempt == logged_attempt => *recorded_by = Some(number),
            (Task::Done { recorded_by }, LoggedState::Done) => *recorded_by = Some(number),
            _ => {}
        }
    }

    /// Returns whether this assignment record, and no later one, holds the present state of a task.
    pub fn is_recorded_by(&self, task: u32, number: RecordNumber) -> bool {
        match self.task(task) {
            Task::Pending => false,
            Task::Assigned { recorded_by, .. } | Task::Done { recorded_by } => {
                recorded_by == Some(number)
            }
        }
    }
}
