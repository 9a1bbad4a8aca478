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
    /// On no machine.
    Pending,
    /// It may be on a machine.
    Assigned {
        /// That machine.
        machine: MachineIndex,
        /// The number of the attempt.
        attempt: u64,
        /// The assignment record that holds this, once one does.
        recorded_by: Option<RecordNumber>,
    },
    /// Completed.
    Done {
        /// The assignment record that holds this, once one does.
        recorded_by: Option<RecordNumber>,
    },
}

/// A job as its leader knows it.
#[derive(Debug)]
pub struct Job {
    /// Its id, as its user gave it.
    pub id: Rc<str>,
    /// The submission, its priority raised to that of the jobs that wait on it.
    pub spec: Rc<Submission>,
    /// Its class, as by [`class_key`].
    pub class: Rc<str>,
    /// The index of its team in the settings.
    pub team: usize,
    /// The revision of its creation: the order of acceptance.
    pub acceptance_order: u64,
    /// When it was submitted, as far as this controller knows: its own deadline counts from then.
    pub submitted_at: Time,
    /// When it could begin: all other times count from then.
    pub ready_at: Time,
    /// It waits for other jobs: it takes no part of a limit or guarantee and is not scheduled.
    pub is_blocked: bool,
    /// By when it must be done for the jobs that wait on it to meet their deadlines; infinite if none has one.
    pub required_by: Time,
    /// How many values beside its own hold the ids of jobs that it waits on.
    pub dependency_parts: u32,
    tasks: Vec<Task>,
    /// Tasks from this one on were never taken to be placed.
    next_unplaced: u32,
    /// Tasks that came off their machines, to be placed once more.
    requeued: Vec<u32>,
    /// How many tasks are done.
    pub done_tasks: u32,
    /// How many tasks may be on machines and are not done.
    pub assigned_tasks: u32,
    /// How it ended, if it did.
    pub end: Option<JobEnd>,
    /// Whether the end, if any, is stored.
    pub end_stored: bool,
    /// Not to be placed before this moment.
    pub backoff_until: Time,
    /// Machines on which its tasks failed since one completed.
    pub failed_machines: HashSet<MachineIndex>,
    /// Machines on which tasks of the present attempt of a gang failed.
    pub failed_machines_in_attempt: HashSet<MachineIndex>,
    /// The last backoff, in seconds.
    pub backoff_s: f64,
    /// How many of its attempts are or may be on machines, completed ones included.
    pub live_attempts: u32,
}

impl Job {
    /// A job of which nothing has run; it could begin when it was submitted.
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
            tasks: vec![Task::Pending; spec.tasks as usize],
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

    /// Whether all its tasks run together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether it is a step of a chain that has a deadline. A task that is lost with a spot machine starts anew, and
    /// of a step's many tasks one usually was: half of the late chains waited for that.
    pub fn is_chain_step_with_deadline(&self) -> bool {
        let is_last = !self.spec.waits_on.is_empty() && self.spec.deadline_s.is_some();
        is_last || self.required_by.is_finite()
    }

    /// The resources that each task takes.
    pub fn task_resources(&self) -> Resources {
        task_resources(&self.spec)
    }

    /// Tasks that are on no machine and not done.
    pub fn pending_tasks(&self) -> u32 {
        self.spec.tasks - self.done_tasks - self.assigned_tasks
    }

    /// The state of a task.
    pub fn task(&self, task: u32) -> Task {
        self.tasks[task as usize]
    }

    /// The machine that a task may be on with this attempt.
    pub fn machine_of(&self, task: u32, attempt: u64) -> Option<MachineIndex> {
        match self.tasks.get(task as usize)? {
            Task::Assigned {
                machine,
                attempt: a,
                ..
            } if *a == attempt => Some(*machine),
            _ => None,
        }
    }

    /// Takes the next task to be placed; the caller binds it.
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

    /// A task is assigned to a machine, or may be there; `recorded_by` is the assignment record that says so.
    pub fn assign(
        &mut self,
        task: u32,
        machine: MachineIndex,
        attempt: u64,
        recorded_by: Option<RecordNumber>,
    ) {
        self.tasks[task as usize] = Task::Assigned {
            machine,
            attempt,
            recorded_by,
        };
        self.assigned_tasks += 1;
    }

    /// A task is surely off its machine.
    pub fn release(&mut self, task: u32) {
        if let Task::Assigned { .. } = self.task(task) {
            self.tasks[task as usize] = Task::Pending;
            self.assigned_tasks -= 1;
            self.requeued.push(task);
        }
    }

    /// A task is done; `recorded_by` is the assignment record that says so.
    pub fn complete(&mut self, task: u32, recorded_by: Option<RecordNumber>) {
        match self.task(task) {
            Task::Done { .. } => return,
            Task::Assigned { .. } => self.assigned_tasks -= 1,
            Task::Pending => {}
        }
        self.tasks[task as usize] = Task::Done { recorded_by };
        self.done_tasks += 1;
    }

    /// Whether it is stored that a task is done.
    pub fn is_completion_stored(&self, task: u32) -> bool {
        self.end_stored
            || matches!(
                self.task(task),
                Task::Done {
                    recorded_by: Some(_)
                }
            )
    }

    /// Whether it is stored that this attempt may be on a machine.
    pub fn is_assignment_stored(&self, task: u32, attempt: u64) -> bool {
        matches!(self.task(task),
            Task::Assigned { attempt: a, recorded_by: Some(_), .. } if a == attempt)
    }

    /// An assignment record that holds this state of a task is stored. A state that has changed since is not recorded.
    pub fn on_recorded(&mut self, task: u32, state: LoggedState, number: RecordNumber) {
        match (&mut self.tasks[task as usize], state) {
            (
                Task::Assigned {
                    attempt,
                    recorded_by,
                    ..
                },
                LoggedState::Assigned { attempt: a },
            ) if *attempt == a => *recorded_by = Some(number),
            (Task::Done { recorded_by }, LoggedState::Done) => *recorded_by = Some(number),
            _ => {}
        }
    }

    /// Whether an assignment record is the only one that holds the present state of a task.
    pub fn is_recorded_by(&self, task: u32, number: RecordNumber) -> bool {
        match self.task(task) {
            Task::Pending => false,
            Task::Assigned { recorded_by, .. } | Task::Done { recorded_by } => {
                recorded_by == Some(number)
            }
        }
    }
}
