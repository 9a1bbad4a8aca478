//! The leader's book of jobs: which task is where, and what of that is stored.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::pricing::Amount;
use crate::rt::Time;
use crate::view::{ChunkRecord, End};
use crate::wire::{Kind, Priority, Submission};

/// A job's place in the book.
pub type JobIx = u32;
/// A machine's place in the fleet.
pub type MachineIx = u32;

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// On no machine.
    Pending,
    /// It may be on this machine; `ver` is the chunk's version that says so.
    Bound {
        machine: MachineIx,
        attempt: u64,
        ver: u32,
    },
    /// Completed.
    Done { ver: u32 },
}

/// A stretch of a job's tasks that is stored as one value.
#[derive(Debug)]
pub struct Chunk {
    pub tasks: Vec<Task>,
    /// Highest attempt ever given here.
    pub attempt: u64,
    /// The stored value's revision; 0 if there is none.
    pub stamp: u64,
    /// Counts changes; `stored` is the last that the state service has.
    pub ver: u32,
    pub stored: u32,
}

/// A job.
#[derive(Debug)]
pub struct Job {
    pub id: Rc<str>,
    pub spec: Rc<Submission>,
    pub team: usize,
    /// Order of acceptance.
    pub order: u64,
    /// When it came, as far as this controller knows.
    pub since: Time,
    pub chunks: Vec<Chunk>,
    chunk_tasks: u32,
    next_fresh: u32,
    again: Vec<u32>,
    pub done: u32,
    pub bound: u32,
    pub ended: Option<End>,
    /// Whether the end, if any, is stored.
    pub end_stored: bool,
    /// Whether the end waits to be written.
    pub end_queued: bool,
    /// Not to be placed before this moment.
    pub not_before: Time,
    /// Machines on which its tasks failed since one completed.
    pub failed_on: HashSet<MachineIx>,
    pub backoff_s: f64,
    /// How many of its attempts are or may be on machines, completed ones included.
    pub slots: u32,
}

impl Job {
    /// A job of which nothing has run.
    pub fn new(
        id: Rc<str>,
        spec: Rc<Submission>,
        team: usize,
        order: u64,
        since: Time,
        chunk_tasks: u32,
    ) -> Self {
        let chunks = (0..spec.tasks.div_ceil(chunk_tasks))
            .map(|c| {
                let len = chunk_tasks.min(spec.tasks - c * chunk_tasks);
                Chunk {
                    tasks: vec![Task::Pending; len as usize],
                    attempt: 0,
                    stamp: 0,
                    ver: 0,
                    stored: 0,
                }
            })
            .collect();
        Job {
            id,
            spec,
            team,
            order,
            since,
            chunks,
            chunk_tasks,
            next_fresh: 0,
            again: Vec::new(),
            done: 0,
            bound: 0,
            ended: None,
            end_stored: false,
            end_queued: false,
            not_before: 0.0,
            failed_on: HashSet::new(),
            backoff_s: 0.0,
            slots: 0,
        }
    }

    /// Whether all its tasks run together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    /// What each task takes.
    pub fn amount(&self) -> Amount {
        amount(&self.spec)
    }

    /// Tasks that are on no machine and not done.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.bound
    }

    /// The chunk of a task.
    pub fn chunk_of(&self, task: u32) -> u32 {
        task / self.chunk_tasks
    }

    /// A task's state.
    pub fn task(&self, task: u32) -> Task {
        self.chunks[self.chunk_of(task) as usize].tasks[(task % self.chunk_tasks) as usize]
    }

    fn task_mut(&mut self, task: u32) -> &mut Task {
        let chunk = self.chunk_of(task) as usize;
        &mut self.chunks[chunk].tasks[(task % self.chunk_tasks) as usize]
    }

    /// The next pending task, taken off the waiting ones; bind it or give it back.
    pub fn take_pending(&mut self) -> Option<u32> {
        loop {
            let task = match self.again.pop() {
                Some(task) => task,
                None if self.next_fresh < self.spec.tasks => {
                    self.next_fresh += 1;
                    self.next_fresh - 1
                }
                None => return None,
            };
            if self.task(task) == Task::Pending {
                return Some(task);
            }
        }
    }

    /// Puts a task that was taken but not bound back.
    pub fn give_back(&mut self, task: u32) {
        self.again.push(task);
    }

    /// An attempt that no task of the job ever had.
    pub fn fresh_attempt(&self) -> u64 {
        self.chunks.iter().map(|c| c.attempt).max().unwrap_or(0) + 1
    }

    /// Notes that a task is to go to a machine; returns the version that says so.
    pub fn bind(&mut self, task: u32, machine: MachineIx, attempt: u64) -> u32 {
        let chunk = self.chunk_of(task) as usize;
        let chunk = &mut self.chunks[chunk];
        chunk.ver += 1;
        chunk.attempt = chunk.attempt.max(attempt);
        let ver = chunk.ver;
        *self.task_mut(task) = Task::Bound {
            machine,
            attempt,
            ver,
        };
        self.bound += 1;
        ver
    }

    /// Notes that a task is surely off its machine.
    pub fn unbind(&mut self, task: u32) {
        if let Task::Bound { .. } = self.task(task) {
            *self.task_mut(task) = Task::Pending;
            let chunk = self.chunk_of(task) as usize;
            self.chunks[chunk].ver += 1;
            self.bound -= 1;
            self.again.push(task);
        }
    }

    /// Notes that a task is done.
    pub fn complete(&mut self, task: u32) {
        match self.task(task) {
            Task::Done { .. } => return,
            Task::Bound { .. } => self.bound -= 1,
            Task::Pending => {}
        }
        let chunk = self.chunk_of(task) as usize;
        self.chunks[chunk].ver += 1;
        let ver = self.chunks[chunk].ver;
        *self.task_mut(task) = Task::Done { ver };
        self.done += 1;
    }

    /// Whether it is stored that a task is done.
    pub fn done_is_stored(&self, task: u32) -> bool {
        self.end_stored
            || match self.task(task) {
                Task::Done { ver } => self.chunks[self.chunk_of(task) as usize].stored >= ver,
                _ => false,
            }
    }

    /// Whether the binding that `ver` tells of is stored.
    pub fn bind_is_stored(&self, task: u32, ver: u32) -> bool {
        self.chunks[self.chunk_of(task) as usize].stored >= ver
    }

    /// The stored form of a chunk.
    pub fn record(&self, chunk: u32, name: impl Fn(MachineIx) -> (String, String)) -> ChunkRecord {
        let c = &self.chunks[chunk as usize];
        let mut record = ChunkRecord {
            attempt: c.attempt,
            ..ChunkRecord::default()
        };
        let mut places: HashMap<MachineIx, u32> = HashMap::new();
        for (at, task) in c.tasks.iter().enumerate() {
            let at = at as u32;
            match *task {
                Task::Pending => {}
                Task::Done { .. } => match record.done.last_mut() {
                    Some((first, n)) if *first + *n == at => *n += 1,
                    _ => record.done.push((at, 1)),
                },
                Task::Bound {
                    machine, attempt, ..
                } => {
                    let place = *places.entry(machine).or_insert_with(|| {
                        record.machines.push(name(machine));
                        record.machines.len() as u32 - 1
                    });
                    record.bound.push((at, place, attempt));
                }
            }
        }
        record
    }

    /// Takes over a chunk as stored; returns the tasks that may be on machines: task, machine's
    /// name and zone, attempt.
    pub fn restore(
        &mut self,
        chunk: u32,
        record: &ChunkRecord,
        stamp: u64,
    ) -> Vec<(u32, String, String, u64)> {
        let first = chunk * self.chunk_tasks;
        let Some(c) = self.chunks.get_mut(chunk as usize) else {
            return Vec::new();
        };
        c.attempt = record.attempt;
        c.stamp = stamp;
        let len = c.tasks.len() as u32;
        for (at, n) in &record.done {
            for task in *at..at.saturating_add(*n).min(len) {
                c.tasks[task as usize] = Task::Done { ver: 0 };
                self.done += 1;
            }
        }
        record
            .bound
            .iter()
            .filter(|(at, _, _)| *at < len)
            .filter_map(|(at, place, attempt)| {
                let (name, zone) = record.machines.get(*place as usize)?;
                Some((first + at, name.clone(), zone.clone(), *attempt))
            })
            .collect()
    }

    /// Notes a binding that a former leader stored.
    pub fn inherit(&mut self, task: u32, machine: MachineIx, attempt: u64) {
        *self.task_mut(task) = Task::Bound {
            machine,
            attempt,
            ver: 0,
        };
        self.bound += 1;
    }
}

/// What each task of a job takes.
pub fn amount(spec: &Submission) -> Amount {
    Amount {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    }
}

/// Place of a priority in lists, from low to production.
pub fn rank(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
