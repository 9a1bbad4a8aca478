//! The leader's state: jobs, machines, what is to be written, what is to be asked of the cloud.
//! It does no input or output: events and the present moment go in, actions come out.

mod chain_demands;
mod failures;
mod job_lifecycle;
mod writes;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::arrivals::ArrivalForecast;
use crate::assignment_log::AssignmentLog;
use crate::autoscale::{Class, CloudBook};
use crate::config::Config;
use crate::fleet::{Fleet, Slot, SlotKey, cache_of};
use crate::jobs::{Job, JobIndex, MachineIndex, amount};
use crate::pricing::{Amount, Rule};
use crate::rt::{Pause, Time};
use crate::view::View;
use crate::wire::{Change, MachineType, Submission};
use crate::zones::Zones;

use writes::{InFlight, PendingWrites};

/// The name of a task: its job's id, a slash and its number.
pub fn job_task(id: &str, task: u32) -> String {
    format!("{id}/{task}")
}

/// Splits a task's name.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (id, task) = name.rsplit_once('/')?;
    Some((id, task.parse().ok()?))
}

/// How a transaction came out.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnOutcome {
    /// Applied, at this revision.
    Applied(u64),
    /// These conditions failed; nothing was changed.
    Conflict(Vec<String>),
    /// Surely not carried out; may be tried again.
    Refused,
    /// Surely not carried out, and never will be as it is: it is larger than the service takes.
    TooLarge,
    /// It may have been carried out or may yet be.
    Unknown,
}

/// What the leader should do after a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum AfterTxn {
    /// Go on.
    Go,
    /// Wait a little, then send the same again.
    Again,
    /// Read this key: an earlier copy seems to have been applied.
    ReadBack(String),
    /// Someone else leads, or the store holds what this leader never wrote.
    Lost,
}

/// The state of a tenure.
pub struct Leader {
    pub config: Rc<Config>,
    pub token: u64,
    pub began: Time,
    pub(crate) off_after_s: f64,
    pub(crate) rule: Rule,
    pub types: Rc<Vec<MachineType>>,
    pub fleet: Fleet,
    pub jobs: BTreeMap<JobIndex, Job>,
    by_id: HashMap<Rc<str>, JobIndex>,
    next_job: JobIndex,
    pub(crate) active: BTreeSet<JobIndex>,
    pub(crate) team_used: Vec<Amount>,
    pub(crate) classes: HashMap<String, Class>,
    pub(crate) forecast: Rc<RefCell<ArrivalForecast>>,
    pub(crate) cloud: CloudBook,
    /// Something changed that a placement pass should look at.
    changed: bool,
    /// Jobs of which something is to be written.
    pending_writes: BTreeMap<JobIndex, PendingWrites>,
    log: AssignmentLog,
    /// When a value of the log was last written.
    logged_at: Time,
    /// Of an end and the log, the end is written next if only one can be.
    end_next: bool,
    next_attempt: u64,
    ends: BTreeSet<JobIndex>,
    settled: BTreeSet<JobIndex>,
    in_flight: Option<InFlight>,
    write_share: f64,
    write_tokens: f64,
    write_refill: Time,
    last_report: Time,
    /// The last time this node stood still.
    pause: Pause,
    /// The part of the open machines that has or fetches each image.
    pub(crate) image_spread: HashMap<Rc<str>, f64>,
    pub(crate) zones: Zones,
    /// The time of day at moment 0, in milliseconds.
    pub unix_ms_at_zero: Option<u64>,
    /// How often the limits of what is written were halved, as the service took less than was said.
    limit_backoff: u32,
}

/// Shares of the state service's write budget: the leader's own, the rest being for users.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// Attempts are a token and so many bits of a counter.
const ATTEMPT_BITS: u32 = 24;

impl Leader {
    /// Begins a tenure from what is stored. The view must have reached the token's revision.
    pub fn begin(
        config: Rc<Config>,
        token: u64,
        types: Rc<Vec<MachineType>>,
        view: &View,
        forecast: Rc<RefCell<ArrivalForecast>>,
        now: Time,
    ) -> Self {
        let rule = Rule::new(config.tunables.rho, config.tunables.large_share);
        let teams = config.deployment.teams.len();
        let mut leader = Leader {
            off_after_s: config.off_after_s(),
            rule,
            token,
            began: now,
            types,
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            next_job: 0,
            active: BTreeSet::new(),
            team_used: vec![Amount::default(); teams],
            classes: HashMap::new(),
            forecast,
            cloud: CloudBook::new(now),
            changed: true,
            pending_writes: BTreeMap::new(),
            log: AssignmentLog::new(token, view.log.iter().copied(), view.oldest),
            logged_at: f64::NEG_INFINITY,
            end_next: false,
            next_attempt: token << ATTEMPT_BITS,
            ends: BTreeSet::new(),
            settled: BTreeSet::new(),
            in_flight: None,
            write_share: LEADER_WRITE_SHARE,
            write_tokens: 0.0,
            write_refill: now,
            last_report: now,
            pause: Pause::default(),
            image_spread: HashMap::new(),
            zones: Zones::new(
                view.delegations
                    .keys()
                    .chain(&view.loose)
                    .cloned()
                    .collect(),
            ),
            unix_ms_at_zero: None,
            limit_backoff: 0,
            config,
        };
        let mut jobs: Vec<_> = view.jobs.iter().collect();
        jobs.sort_by_key(|(_, job)| job.order);
        let entered: Vec<JobIndex> = jobs
            .into_iter()
            .filter_map(|(id, job)| leader.add_job(id, job, now))
            .collect();
        leader.pass_back(entered);
        leader
    }

    /// A job's place by its id.
    pub fn job_index(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// Something changed that a placement pass should look at.
    pub(crate) fn request_placement(&mut self) {
        self.changed = true;
    }

    /// Whether a placement pass was requested since this was last asked.
    pub(crate) fn take_placement_request(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Puts a job among those of which tasks wait to be placed.
    pub(crate) fn enqueue(&mut self, index: JobIndex) {
        self.active.insert(index);
    }

    /// Nothing of a job waits to be placed any more.
    pub(crate) fn dequeue(&mut self, index: JobIndex) {
        self.active.remove(&index);
    }

    /// Workers were heard at this moment.
    pub fn note_report(&mut self, now: Time) {
        self.last_report = now;
    }

    /// When workers were last heard.
    pub fn last_report(&self) -> Time {
        self.last_report
    }

    /// This node stood still: what it did not hear meanwhile is no silence of the machines.
    pub fn note_pause(&mut self, pause: Pause) {
        self.pause = pause;
    }

    /// For how long a machine or zone that was last heard then is silent.
    pub(crate) fn silent_s(&self, heard: Time, now: Time) -> f64 {
        let own = if heard < self.pause.until {
            self.pause.length_s.min(self.pause.until - heard)
        } else {
            0.0
        };
        now - heard - own
    }

    /// The time of day of a moment, if it is known.
    fn unix_ms(&self, now: Time) -> Option<u64> {
        self.unix_ms_at_zero
            .map(|zero| zero + (now * 1000.0) as u64)
    }

    pub(crate) fn use_team(&mut self, index: JobIndex, sign: f64) {
        let job = &self.jobs[&index];
        let used = &mut self.team_used[job.team];
        *used = used.plus(job.amount().times(sign));
    }

    /// Whether a team may use so much more.
    pub(crate) fn team_allows(&self, team: usize, more: Amount) -> bool {
        let limit = &self.config.deployment.teams[team];
        let used = self.team_used[team].plus(more);
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + 1e-6;
        within(used.cpus, limit.cpus_max) && within(used.gpus, limit.gpus_max)
    }

    pub(crate) fn type_by_name(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    pub(crate) fn capacity_of(&self, type_index: usize) -> Amount {
        type_capacity(&self.types[type_index])
    }

    /// An attempt that no task ever had: a tenure's are counted from its token. That many between
    /// two revisions of the store are never given.
    pub(crate) fn fresh_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Notes the placement of a task; its launch follows once this is stored.
    pub(crate) fn bind(
        &mut self,
        index: JobIndex,
        task: u32,
        machine: MachineIndex,
        attempt: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        job.bind(task, machine, attempt, 0);
        let slot = Slot::new(job.amount(), false, now);
        let key = SlotKey {
            job: index,
            task,
            attempt,
        };
        let spec = job.spec.clone();
        if let Some(machine_state) = self.fleet.machines.get_mut(&machine) {
            machine_state.add_slot(key, slot);
            if let Some(type_index) = machine_state.type_index {
                let cache = cache_of(&self.types[type_index]);
                machine_state
                    .images
                    .ask(&spec.image, spec.image_gb, cache, now);
            }
        }
        self.slot_added(index);
        self.mark_pending_write(index, task, true, now);
    }
}

pub(crate) fn put(key: String, value: &impl serde::Serialize) -> Option<Change> {
    let value = to_raw_value(value)
        .inspect_err(|e| tracing::error!("{key}: {e}"))
        .ok()?;
    Some(Change::Put {
        key,
        value,
        lease: None,
    })
}

/// What a machine of a type has.
pub fn type_capacity(t: &MachineType) -> Amount {
    Amount {
        cpus: t.cpus,
        gpus: t.gpus,
        memory_gb: t.memory_gb,
    }
}

/// Whether a job may ever use a type, ordinary or spot.
pub fn type_allowed(spec: &Submission, t: &MachineType) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&t.name))
        && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        && amount(spec).fits(type_capacity(t))
}
