//! What the state service holds, as followed by every controller.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::rt::Time;
use crate::wire::{JobState, JobStatus, MachineType, Submission};

/// Names of keys. The second part leaves room for several tenants.
pub mod key {
    /// Everything this service stores lies below.
    pub const ROOT: &str = "capervale/main/";

    /// Who leads.
    pub fn leader() -> String {
        format!("{ROOT}leader")
    }
    /// The machine types as last read.
    pub fn types() -> String {
        format!("{ROOT}types")
    }
    /// Never written: reading it tells the store's revision.
    pub fn nothing() -> String {
        format!("{ROOT}none")
    }
    /// A node's word that workers can't reach the leader.
    pub fn plea(node: &str) -> String {
        format!("{ROOT}plea/{node}")
    }
    /// A job as submitted.
    pub fn job(id: &str) -> String {
        format!("{ROOT}job/{id}")
    }
    /// How a job ended.
    pub fn end(id: &str) -> String {
        format!("{ROOT}end/{id}")
    }
    /// Where a job's tasks are, a chunk of them.
    pub fn run(id: &str, chunk: u32) -> String {
        format!("{ROOT}run/{id}/{chunk}")
    }
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub host: String,
    pub incarnation: u64,
}

/// A node's word that workers can't reach the leader who has this token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PleaRecord {
    pub token: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The record of a job's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    pub end: End,
    /// How many tasks were done.
    pub done: u32,
}

/// Where a chunk of a job's tasks is, written compactly: many must fit into one value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Highest attempt ever given to a task of this chunk.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// Tasks done: first one and how many, counted from the chunk's first.
    #[serde(rename = "d", default)]
    pub done: Vec<(u32, u32)>,
    /// Machines and their zones.
    #[serde(rename = "m", default)]
    pub machines: Vec<(String, String)>,
    /// Tasks that may be on a machine: task, machine's place in the list above, attempt.
    #[serde(rename = "t", default)]
    pub bound: Vec<(u32, u32, u64)>,
}

/// A job as stored.
#[derive(Debug, Clone, Default)]
pub struct JobView {
    pub spec: Option<Rc<Submission>>,
    /// Revision of its creation: the order of acceptance.
    pub order: u64,
    /// When this controller came to know it, if it was there at the time.
    pub seen: Option<Time>,
    pub end: Option<EndRecord>,
    pub chunks: BTreeMap<u32, (ChunkRecord, u64)>,
}

impl JobView {
    /// Whether a user was or may have been told that the job is accepted.
    pub fn is_known(&self) -> bool {
        self.spec.is_some() || self.end.is_some()
    }

    /// The job's state for its user.
    pub fn status<'a>(&self, id: &'a str) -> JobStatus<'a> {
        if let Some(end) = self.end {
            let state = match end.end {
                End::Done => JobState::Done,
                End::Cancelled => JobState::Cancelled,
            };
            return JobStatus {
                id,
                state,
                done: end.done,
                running: 0,
            };
        }
        let chunks = || self.chunks.values().map(|(c, _)| c);
        let done = chunks().flat_map(|c| &c.done).map(|(_, n)| n).sum();
        let running = chunks().map(|c| c.bound.len() as u32).sum();
        JobStatus {
            id,
            state: if running > 0 {
                JobState::Running
            } else {
                JobState::Queued
            },
            done,
            running,
        }
    }
}

/// What a change was about.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Job(Rc<str>),
    End(Rc<str>),
    Leader,
    Types,
    Plea(PleaRecord),
}

/// The followed content of the state service.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which everything is known.
    pub revision: u64,
    pub jobs: HashMap<Rc<str>, JobView>,
    pub leader: Option<(LeaderRecord, u64)>,
    pub types: Option<Rc<Vec<MachineType>>>,
}

impl View {
    /// Takes in a key's new value, or its deletion.
    pub fn apply(&mut self, key: &str, value: Option<&RawValue>, version: u64) -> Option<Change> {
        let rest = key.strip_prefix(key::ROOT)?;
        let (family, rest) = rest.split_once('/').unwrap_or((rest, ""));
        match family {
            "leader" => {
                let known = self.leader.as_ref().map_or(0, |(_, v)| *v);
                // Replays after a reload may be older than what the reload showed.
                if version < known {
                    return None;
                }
                self.leader = value.and_then(parse).map(|r| (r, version));
                Some(Change::Leader)
            }
            "types" => {
                self.types = value.and_then(parse).map(Rc::new);
                Some(Change::Types)
            }
            "plea" => value.and_then(parse).map(Change::Plea),
            "job" => {
                let id: Rc<str> = rest.into();
                match value {
                    Some(value) => {
                        let job = self.jobs.entry(id.clone()).or_default();
                        // The record of a job that is over is kept only as its end.
                        if job.end.is_none() && job.spec.is_none() {
                            job.spec = parse(value).map(Rc::new);
                            job.order = version;
                        }
                    }
                    None => {
                        let job = self.jobs.get_mut(&id)?;
                        job.spec = None;
                        if !job.is_known() {
                            self.jobs.remove(&id);
                        }
                    }
                }
                Some(Change::Job(id))
            }
            "end" => {
                let id: Rc<str> = rest.into();
                let record = parse::<EndRecord>(value?)?;
                self.jobs.entry(id.clone()).or_default().end = Some(record);
                Some(Change::End(id))
            }
            "run" => {
                let (id, chunk) = rest.split_once('/')?;
                let chunk: u32 = chunk.parse().ok()?;
                match value {
                    Some(value) => {
                        let id: Rc<str> = id.into();
                        let chunks = &mut self.jobs.entry(id).or_default().chunks;
                        if chunks.get(&chunk).is_none_or(|(_, v)| *v < version) {
                            chunks.insert(chunk, (parse(value)?, version));
                        }
                    }
                    None => {
                        let job = self.jobs.get_mut(id)?;
                        if job.chunks.get(&chunk).is_some_and(|(_, v)| *v <= version) {
                            job.chunks.remove(&chunk);
                        }
                    }
                }
                None
            }
            _ => None,
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|e| tracing::error!("stored value not understood: {e}"))
        .ok()
}
