//! The leader's state: jobs, machines, what is to be written, what is to be asked of the cloud.
//! It does no input or output: events and the present moment go in, actions come out.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::autoscale::{Class, CloudBook};
use crate::book::{Job, JobIx, MachineIx, amount};
use crate::config::Config;
use crate::expect::Expected;
use crate::fleet::{Fleet, Slot, SlotKey};
use crate::pricing::{Amount, Rule};
use crate::rt::Time;
use crate::view::{End, EndRecord, JobView, View, key};
use crate::wire::{Change, Condition, MachineType, Submission, Txn};

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

struct InFlight {
    txn: Rc<Txn>,
    chunks: Vec<(JobIx, u32, u32)>,
    ends: Vec<JobIx>,
    cleared: Vec<JobIx>,
    /// Whether an earlier copy may have been or may yet be applied.
    in_doubt: bool,
}

/// The state of a tenure.
pub struct Lead {
    pub config: Rc<Config>,
    pub token: u64,
    pub began: Time,
    pub(crate) off_after_s: f64,
    pub(crate) rule: Rule,
    pub types: Rc<Vec<MachineType>>,
    pub fleet: Fleet,
    pub jobs: BTreeMap<JobIx, Job>,
    by_id: HashMap<Rc<str>, JobIx>,
    next_job: JobIx,
    pub(crate) active: BTreeSet<JobIx>,
    pub(crate) team_used: Vec<Amount>,
    pub(crate) classes: HashMap<String, Class>,
    pub(crate) expected: Rc<RefCell<Expected>>,
    pub(crate) cloud: CloudBook,
    /// Something changed that a placement pass should look at.
    pub(crate) changed: bool,
    /// Chunks to be written, and when at the latest.
    dirty: BTreeMap<(JobIx, u32), Time>,
    ends: BTreeSet<JobIx>,
    settled: BTreeSet<JobIx>,
    in_flight: Option<InFlight>,
    write_tokens: f64,
    write_refill: Time,
    pub last_report: Time,
}

/// Shares of the state service's write budget: the leader's own, the rest being for users.
pub const LEADER_WRITE_SHARE: f64 = 0.7;
/// Completions and releases may wait this long, in report intervals, to be written together.
const LAZY_WRITE_REPORTS: f64 = 0.25;
/// Part of a transaction's size that is used at the most.
const TXN_BYTES: usize = 48 * 1024;
/// First pause of a job whose tasks fail on several machines, in report intervals, and the most.
const BACKOFF_REPORTS: f64 = 2.0;
const BACKOFF_REPORTS_MAX: f64 = 40.0;
/// Machines on which a job must fail before the job itself is at fault.
const JOB_FAULT_MACHINES: usize = 3;
/// Jobs that must fail in a row on a machine before it is set aside, or failures of a single job
/// that fails nowhere else.
const MACHINE_FAULT_JOBS: usize = 2;
const MACHINE_FAULT_ERRORS: u32 = 3;
/// Pause of a machine after a failure, in report intervals.
const COOL_REPORTS: f64 = 2.0;

impl Lead {
    /// Begins a tenure from what is stored. The view must have reached the token's revision.
    pub fn begin(
        config: Rc<Config>,
        token: u64,
        types: Rc<Vec<MachineType>>,
        view: &View,
        expected: Rc<RefCell<Expected>>,
        now: Time,
    ) -> Self {
        let rule = Rule::new(config.tunables.rho, config.tunables.large_share);
        let teams = config.deployment.teams.len();
        let mut lead = Lead {
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
            expected,
            cloud: CloudBook::new(now),
            changed: true,
            dirty: BTreeMap::new(),
            ends: BTreeSet::new(),
            settled: BTreeSet::new(),
            in_flight: None,
            write_tokens: 0.0,
            write_refill: now,
            last_report: now,
            config,
        };
        let mut jobs: Vec<_> = view.jobs.iter().collect();
        jobs.sort_by_key(|(_, job)| job.order);
        for (id, job) in jobs {
            lead.enter_job(id, job, now);
        }
        lead
    }

    /// A job's place by its id.
    pub fn job_ix(&self, id: &str) -> Option<JobIx> {
        self.by_id.get(id).copied()
    }

    /// Takes in a job as stored, with whatever is known of its tasks.
    pub fn enter_job(&mut self, id: &Rc<str>, stored: &JobView, now: Time) {
        let Some(spec) = &stored.spec else {
            return;
        };
        if self.by_id.contains_key(id) {
            return;
        }
        let teams = &self.config.deployment.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!("{id}: team {} is not in the settings", spec.team);
            return;
        };
        let chunk_tasks = self.config.chunk_tasks();
        let mut job = Job::new(
            id.clone(),
            spec.clone(),
            team,
            stored.order,
            stored.seen.unwrap_or(now),
            chunk_tasks,
        );
        job.ended = stored.end.map(|e| e.end);
        job.end_stored = stored.end.is_some();
        let ix = self.next_job;
        self.next_job += 1;
        let mut places = Vec::new();
        for (chunk, (record, stamp)) in &stored.chunks {
            places.extend(job.restore(*chunk, record, *stamp));
        }
        let amount = job.amount();
        let ended = job.ended.is_some();
        self.by_id.insert(id.clone(), ix);
        self.jobs.insert(ix, job);
        for (task, name, zone, attempt) in places {
            let machine = self.fleet.enter(&name, &zone, now);
            let key = SlotKey {
                job: ix,
                task,
                attempt,
            };
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.inherit(task, machine, attempt);
            }
            let slot = Slot {
                amount,
                ver: 0,
                inherited: true,
                state: None,
                sent: false,
                stop: ended.then_some(0.0),
                placed: now,
                running_since: None,
                over: false,
            };
            if let Some(m) = self.fleet.machines.get_mut(&machine) {
                m.add_slot(key, slot);
            }
            self.slot_added(ix);
        }
        let job = &self.jobs[&ix];
        if !ended && job.done == job.spec.tasks {
            self.finish(ix);
        }
        self.wake_job(ix);
        self.maybe_settle(ix);
        self.note_arrival(ix);
        self.changed = true;
    }

    /// A job's end was stored, by whoever.
    pub fn on_end(&mut self, id: &str, end: &EndRecord, now: Time) {
        let Some(ix) = self.job_ix(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&ix) {
            job.ended = Some(end.end);
            job.end_stored = true;
        }
        self.ends.remove(&ix);
        self.active.remove(&ix);
        if end.end == End::Cancelled {
            self.stop_job(ix, 0.0, now);
        }
        self.maybe_settle(ix);
    }

    /// Stops all that a job has on machines.
    pub(crate) fn stop_job(&mut self, ix: JobIx, grace_s: f64, now: Time) {
        let mut off = Vec::new();
        for (machine, m) in &mut self.fleet.machines {
            let first = SlotKey {
                job: ix,
                task: 0,
                attempt: 0,
            };
            let last = SlotKey {
                job: ix,
                task: u32::MAX,
                attempt: u64::MAX,
            };
            for (key, slot) in m.slots.range_mut(first..=last) {
                if slot.over {
                    continue;
                }
                if slot.is_unsent() {
                    off.push((*machine, *key));
                    continue;
                }
                slot.stop = Some(slot.stop.map_or(grace_s, |g| g.min(grace_s)));
                m.direct_wanted = true;
            }
        }
        for (machine, key) in off {
            self.off(machine, key, now);
        }
    }

    /// A task of a job came off its machine without being done.
    pub(crate) fn on_unbound(&mut self, ix: JobIx, task: u32, now: Time) {
        let job = &self.jobs[&ix];
        let chunk = job.chunk_of(task);
        if job.is_gang() && job.bound > 0 && job.ended.is_none() {
            // The rest of the attempt can't go on: it ends now and starts anew as a whole.
            self.stop_job(ix, 0.0, now);
        }
        self.mark_dirty(ix, chunk, false, now);
    }

    /// Tells that a chunk must be written, at once or, if others may join it, a little later.
    fn mark_dirty(&mut self, ix: JobIx, chunk: u32, at_once: bool, now: Time) {
        let lazy = now + self.config.deployment.workers.report_s * LAZY_WRITE_REPORTS;
        let due = if at_once { now } else { lazy };
        let at = self.dirty.entry((ix, chunk)).or_insert(due);
        *at = at.min(due);
    }

    /// A task completed.
    pub(crate) fn on_task_done(&mut self, key: SlotKey, ran: Option<f64>, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        if job.is_gang() {
            // A gang completes together.
            for task in 0..job.spec.tasks {
                job.complete(task);
            }
        } else {
            job.complete(key.task);
        }
        job.failed_on.clear();
        job.backoff_s = 0.0;
        if let Some(ran) = ran {
            self.note_run(key.job, ran);
        }
        let job = &self.jobs[&key.job];
        if job.done == job.spec.tasks {
            self.finish(key.job);
        } else {
            // A gang is done as a whole: only an array comes here.
            let chunk = job.chunk_of(key.task);
            self.mark_dirty(key.job, chunk, false, now);
        }
    }

    fn finish(&mut self, ix: JobIx) {
        if let Some(job) = self.jobs.get_mut(&ix) {
            job.ended = Some(End::Done);
        }
        self.active.remove(&ix);
        self.dirty.retain(|(job, _), _| *job != ix);
        self.ends.insert(ix);
    }

    /// A task failed on a machine: is it the machine or the job?
    pub(crate) fn on_task_error(&mut self, ix: JobIx, machine: MachineIx, now: Time) {
        let report_s = self.config.deployment.workers.report_s;
        let Some(job) = self.jobs.get_mut(&ix) else {
            return;
        };
        job.failed_on.insert(machine);
        let failed_on = job.failed_on.len();
        if failed_on >= JOB_FAULT_MACHINES {
            job.backoff_s = (job.backoff_s * 2.0)
                .max(report_s * BACKOFF_REPORTS)
                .min(report_s * BACKOFF_REPORTS_MAX);
            job.not_before = now + job.backoff_s;
            return;
        }
        let Some(m) = self.fleet.machines.get_mut(&machine) else {
            return;
        };
        m.errors += 1;
        m.error_jobs.insert(ix);
        m.cool_until = now + report_s * COOL_REPORTS * f64::from(m.errors);
        // One job's failures speak against a machine only while it fails nowhere else.
        let at_fault = m.error_jobs.len() >= MACHINE_FAULT_JOBS
            || (failed_on == 1 && m.errors >= MACHINE_FAULT_ERRORS);
        if at_fault && !m.suspect {
            tracing::info!("{} is set aside: tasks keep failing there", m.name);
            m.suspect = true;
        }
    }

    /// Whether a job may be forgotten here: it is over and off all machines. What is stored of its
    /// run is then cleared away.
    pub(crate) fn maybe_settle(&mut self, ix: JobIx) {
        if let Some(job) = self.jobs.get(&ix)
            && job.end_stored
            && job.slots == 0
        {
            self.dirty.retain(|(j, _), _| *j != ix);
            self.settled.insert(ix);
        }
    }

    /// Puts a job among those to be placed, if tasks of it wait.
    pub(crate) fn wake_job(&mut self, ix: JobIx) {
        let job = &self.jobs[&ix];
        if job.ended.is_none() && job.pending() > 0 {
            self.active.insert(ix);
        }
    }

    pub(crate) fn slot_added(&mut self, ix: JobIx) {
        if let Some(job) = self.jobs.get_mut(&ix) {
            job.slots += 1;
        }
        self.use_team(ix, 1.0);
    }

    pub(crate) fn slot_dropped(&mut self, ix: JobIx) {
        if let Some(job) = self.jobs.get_mut(&ix) {
            job.slots = job.slots.saturating_sub(1);
        }
    }

    pub(crate) fn use_team(&mut self, ix: JobIx, sign: f64) {
        let job = &self.jobs[&ix];
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

    pub(crate) fn capacity_of(&self, type_ix: usize) -> Amount {
        type_capacity(&self.types[type_ix])
    }

    /// Notes the placement of a task; its launch follows once this is stored.
    pub(crate) fn bind(
        &mut self,
        ix: JobIx,
        task: u32,
        machine: MachineIx,
        attempt: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&ix) else {
            return;
        };
        let ver = job.bind(task, machine, attempt);
        let chunk = job.chunk_of(task);
        let slot = Slot {
            amount: job.amount(),
            ver,
            inherited: false,
            state: None,
            sent: false,
            stop: None,
            placed: now,
            running_since: None,
            over: false,
        };
        let key = SlotKey {
            job: ix,
            task,
            attempt,
        };
        if let Some(m) = self.fleet.machines.get_mut(&machine) {
            m.add_slot(key, slot);
        }
        self.slot_added(ix);
        self.mark_dirty(ix, chunk, true, now);
    }

    /// The next transaction to send, if one is due; it stays the same until its outcome is told.
    pub fn next_txn(&mut self, now: Time) -> Option<Rc<Txn>> {
        if let Some(flight) = &self.in_flight {
            return Some(flight.txn.clone());
        }
        let state = &self.config.deployment.state;
        let rate = state.write_rps * LEADER_WRITE_SHARE;
        self.write_tokens =
            (self.write_tokens + (now - self.write_refill) * rate).min(rate.max(1.0));
        self.write_refill = now;
        let ops = (self.write_tokens as usize).min(state.txn_ops);
        if ops == 0 {
            return None;
        }
        let mut txn = Txn {
            conditions: vec![Condition {
                key: key::leader(),
                version: self.token,
            }],
            changes: Vec::new(),
        };
        let mut flight_chunks = Vec::new();
        let mut flight_ends = Vec::new();
        let mut cleared = Vec::new();
        let mut bytes = 0;
        let mut too_large = Vec::new();
        let value_max = (state.value_kb * 1024.0) as usize;
        let mut due: Vec<(Time, (JobIx, u32))> = self
            .dirty
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(k, at)| (*at, *k))
            .collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for ix in &self.ends {
            if txn.changes.len() >= ops {
                break;
            }
            let job = &self.jobs[ix];
            let record = EndRecord {
                end: End::Done,
                done: job.done,
            };
            txn.conditions.push(Condition {
                key: key::end(&job.id),
                version: 0,
            });
            txn.changes.push(put(key::end(&job.id), &record)?);
            flight_ends.push(*ix);
        }
        for (_, (ix, chunk)) in due {
            if txn.changes.len() >= ops {
                break;
            }
            let Some(job) = self.jobs.get(&ix) else {
                self.dirty.remove(&(ix, chunk));
                continue;
            };
            let c = &job.chunks[chunk as usize];
            if c.ver <= c.stored || job.ended.is_some() {
                self.dirty.remove(&(ix, chunk));
                continue;
            }
            let fleet = &self.fleet;
            let record = job.record(chunk, |m| match fleet.machines.get(&m) {
                Some(m) => (m.name.to_string(), m.zone.to_string()),
                None => (String::new(), String::new()),
            });
            let run_key = key::run(&job.id, chunk);
            let change = put(run_key.clone(), &record)?;
            if value_len(&change) > value_max {
                // Long names of many machines: some tasks wait, rather than all writes.
                too_large.push((ix, chunk));
                self.dirty.remove(&(ix, chunk));
                continue;
            }
            bytes += size(&change);
            if bytes > TXN_BYTES {
                break;
            }
            txn.conditions.push(Condition {
                key: run_key,
                version: c.stamp,
            });
            txn.changes.push(change);
            flight_chunks.push((ix, chunk, c.ver));
            self.dirty.remove(&(ix, chunk));
        }
        // Clearing away is worth no write that anything else could use.
        let spare = state.txn_ops.min(self.write_tokens as usize / 2);
        for ix in &self.settled {
            let job = &self.jobs[ix];
            let stored: Vec<u32> = (0..job.chunks.len() as u32)
                .filter(|c| job.chunks[*c as usize].stamp > 0)
                .collect();
            if txn.changes.len() + 2 > spare {
                break;
            }
            // A large job is cleared over several transactions, its record last.
            let room = spare - txn.changes.len() - 1;
            let all = stored.len() <= room;
            for chunk in stored.into_iter().take(room) {
                txn.changes.push(Change::Delete {
                    key: key::run(&job.id, chunk),
                });
                flight_chunks.push((*ix, chunk, u32::MAX));
            }
            if all {
                txn.changes.push(Change::Delete {
                    key: key::job(&job.id),
                });
                cleared.push(*ix);
            }
        }
        for (ix, chunk) in too_large {
            self.unplace(ix, chunk, now);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.write_tokens -= txn.changes.len() as f64;
        let txn = Rc::new(txn);
        self.in_flight = Some(InFlight {
            txn: txn.clone(),
            chunks: flight_chunks,
            ends: flight_ends,
            cleared,
            in_doubt: false,
        });
        Some(txn)
    }

    /// Takes back the placements of a chunk that are not stored: nobody was told of them.
    fn unplace(&mut self, ix: JobIx, chunk: u32, now: Time) {
        tracing::warn!("{}: chunk {chunk} is too large to store", self.jobs[&ix].id);
        let unstored: Vec<(MachineIx, SlotKey)> = self
            .fleet
            .machines
            .iter()
            .flat_map(|(m, machine)| machine.slots.iter().map(move |(k, s)| (*m, *k, s)))
            .filter(|(_, key, slot)| {
                let job = &self.jobs[&ix];
                key.job == ix
                    && job.chunk_of(key.task) == chunk
                    && slot.is_unsent()
                    && !job.bind_is_stored(key.task, slot.ver)
            })
            .map(|(m, key, _)| (m, key))
            .collect();
        for (machine, key) in unstored {
            self.off(machine, key, now);
        }
    }

    /// When something lazy is due to be written, if anything is.
    pub fn next_write_at(&self) -> Option<Time> {
        if !self.ends.is_empty() {
            return Some(self.began);
        }
        let first = self.dirty.values().copied().min_by(f64::total_cmp);
        match first {
            None if !self.settled.is_empty() => Some(self.write_refill + 1.0),
            first => first,
        }
    }

    /// Takes in the outcome of the transaction under way.
    pub fn txn_done(&mut self, outcome: TxnOutcome, now: Time) -> AfterTxn {
        let Some(flight) = &mut self.in_flight else {
            return AfterTxn::Go;
        };
        match outcome {
            TxnOutcome::Applied(revision) => {
                self.applied(revision, now);
                AfterTxn::Go
            }
            TxnOutcome::Unknown => {
                flight.in_doubt = true;
                AfterTxn::Again
            }
            TxnOutcome::Refused => AfterTxn::Again,
            TxnOutcome::Conflict(failed) => {
                if failed.contains(&key::leader()) {
                    return AfterTxn::Lost;
                }
                let ends: Vec<String> = flight
                    .ends
                    .iter()
                    .map(|ix| key::end(&self.jobs[ix].id))
                    .collect();
                if let Some(other) = failed.iter().find(|k| !ends.contains(k)) {
                    // Only this tenure writes that key: a copy sent before was applied.
                    return if flight.in_doubt {
                        AfterTxn::ReadBack(other.clone())
                    } else {
                        AfterTxn::Lost
                    };
                }
                // A user's withdrawal came first, or a copy of ours; the view will tell which.
                let Some(flight) = self.in_flight.take() else {
                    return AfterTxn::Go;
                };
                for ix in flight.ends {
                    if failed.contains(&key::end(&self.jobs[&ix].id)) {
                        self.ends.remove(&ix);
                    }
                }
                for (ix, chunk, ver) in flight.chunks {
                    if ver != u32::MAX {
                        self.dirty.insert((ix, chunk), now);
                    }
                }
                AfterTxn::Go
            }
        }
    }

    /// Whether the transaction under way was found applied at this revision; 0: it was not.
    pub fn read_back(&mut self, revision: u64, now: Time) {
        if revision > 0 {
            self.applied(revision, now);
        }
    }

    fn applied(&mut self, revision: u64, now: Time) {
        let Some(flight) = self.in_flight.take() else {
            return;
        };
        for (ix, chunk, ver) in flight.chunks {
            let Some(job) = self.jobs.get_mut(&ix) else {
                continue;
            };
            let c = &mut job.chunks[chunk as usize];
            if ver == u32::MAX {
                c.stamp = 0;
                continue;
            }
            c.stamp = revision;
            c.stored = ver;
            if c.ver > ver {
                self.mark_dirty(ix, chunk, false, now);
            }
        }
        for ix in flight.ends {
            self.ends.remove(&ix);
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.end_stored = true;
            }
            self.maybe_settle(ix);
        }
        for ix in flight.cleared {
            self.settled.remove(&ix);
            if let Some(job) = self.jobs.remove(&ix) {
                self.by_id.remove(&job.id);
            }
            self.active.remove(&ix);
        }
    }
}

fn put(key: String, value: &impl serde::Serialize) -> Option<Change> {
    let value = to_raw_value(value)
        .inspect_err(|e| tracing::error!("{key}: {e}"))
        .ok()?;
    Some(Change::Put {
        key,
        value,
        lease: None,
    })
}

fn value_len(change: &Change) -> usize {
    match change {
        Change::Put { value, .. } => value.get().len(),
        Change::Delete { .. } => 0,
    }
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() * 2 + value.get().len() + 128,
        Change::Delete { key } => key.len() + 64,
    }
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
