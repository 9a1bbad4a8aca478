//! The leader's state: jobs, machines, what is to be written, what is to be asked of the cloud.
//! It does no input or output: events and the present moment go in, actions come out.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::arrivals::ArrivalForecast;
use crate::assignment_log::{AssignmentLog, Recorded, Writer};
use crate::autoscale::{Class, CloudBook};
use crate::config::Config;
use crate::fleet::{Fleet, Slot, SlotKey, cache_of};
use crate::graph;
use crate::jobs::{Job, JobIndex, MachineIndex, amount};
use crate::pricing::{Amount, Rule};
use crate::rt::{Pause, Time};
use crate::view::{End, EndRecord, JobView, Mark, View, key};
use crate::wire::{Change, Condition, MachineType, Submission, Txn};
use crate::zones::Zones;

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

struct InFlight {
    txn: Rc<Txn>,
    /// Values of the log: their numbers, and the tasks they tell of.
    told: Vec<(u64, TaskTold)>,
    /// The oldest value of the log that counts from then on.
    oldest: u64,
    /// Old values of the log that go.
    gone: Vec<u64>,
    ends: Vec<JobIndex>,
    cleared: Vec<JobIndex>,
    /// Zones whose delegates it is about.
    zones: Vec<Rc<str>>,
}

/// The tasks that a value of the log tells of, and what.
type TaskTold = Vec<(JobIndex, u32, Recorded)>;

/// Tasks of a job that the log doesn't tell of as they are, and when it should at the latest.
struct PendingWrites {
    due: Time,
    tasks: Vec<u32>,
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
    pub(crate) expected: Rc<RefCell<ArrivalForecast>>,
    pub(crate) cloud: CloudBook,
    /// Something changed that a placement pass should look at.
    pub(crate) changed: bool,
    /// Jobs of which something is to be written.
    dirty: BTreeMap<JobIndex, PendingWrites>,
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
    pub last_report: Time,
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
/// What users don't need it may use, as long as the store takes it.
const LEADER_WRITE_SHARE_MAX: f64 = 0.85;
const WRITE_SHARE_RISE: f64 = 1.02;
/// Completions and releases may wait this long, in report intervals, to be written together.
const LAZY_WRITE_REPORTS: f64 = 0.25;
/// One write in so many of the leader's is for the log.
const LOG_WRITES: f64 = 3.0;
/// Old values of the log that are told anew in one transaction, or deleted.
const RETOLD_MAX: usize = 4;
const CLEARED_MAX: usize = 4;
/// Attempts are a token and so many bits of a counter.
const ATTEMPT_BITS: u32 = 24;
/// The limits of what is written are halved so often at the most.
const LIMIT_BACKOFF_MAX: u32 = 5;
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
/// So many tasks of a job that are sound, to one that fails, speak for the job.
const SOUND_TASKS: u32 = 3;
/// Pause of a machine after a failure, in report intervals.
const COOL_REPORTS: f64 = 2.0;

impl Leader {
    /// Begins a tenure from what is stored. The view must have reached the token's revision.
    pub fn begin(
        config: Rc<Config>,
        token: u64,
        types: Rc<Vec<MachineType>>,
        view: &View,
        expected: Rc<RefCell<ArrivalForecast>>,
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
            expected,
            cloud: CloudBook::new(now),
            changed: true,
            dirty: BTreeMap::new(),
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

    /// Takes in a job as stored, with whatever is known of its tasks.
    pub fn enter_job(&mut self, id: &Rc<str>, stored: &JobView, now: Time) {
        if let Some(index) = self.add_job(id, stored, now) {
            self.pass_back([index]);
        }
    }

    fn add_job(&mut self, id: &Rc<str>, stored: &JobView, now: Time) -> Option<JobIndex> {
        let spec = stored.spec.as_ref()?;
        if self.by_id.contains_key(id) {
            return None;
        }
        let teams = &self.config.deployment.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!("{id}: team {} is not in the settings", spec.team);
            return None;
        };
        let mut job = Job::new(
            id.clone(),
            spec.clone(),
            team,
            stored.order,
            stored.seen.unwrap_or(now),
        );
        job.since = stored.ready.unwrap_or(job.submitted);
        job.waits = stored.waits;
        job.parts = stored.parts;
        job.ended = stored.end.map(|e| e.end);
        job.end_stored = stored.end.is_some();
        let index = self.next_job;
        self.next_job += 1;
        let mut places = Vec::new();
        for (task, (number, mark)) in &stored.tasks {
            if !self.log.counts(*number) {
                continue;
            }
            match mark {
                Mark::Free => continue,
                Mark::Done => job.complete(*task, *number),
                Mark::On { place, attempt } => {
                    places.push((*task, *number, place.clone(), *attempt));
                }
            }
            self.log.enter(*number, index, *task);
        }
        let amount = job.amount();
        let ended = job.ended.is_some();
        self.by_id.insert(id.clone(), index);
        self.jobs.insert(index, job);
        for (task, number, place, attempt) in places {
            let machine = self.fleet.enter(&place.machine, &place.zone, now);
            let key = SlotKey {
                job: index,
                task,
                attempt,
            };
            if let Some(job) = self.jobs.get_mut(&index) {
                job.bind(task, machine, attempt, number);
            }
            let slot = Slot {
                amount,
                inherited: true,
                state: None,
                sent: false,
                direct: None,
                stop: ended.then_some(0.0),
                placed: now,
                running_since: None,
                over: false,
            };
            if let Some(m) = self.fleet.machines.get_mut(&machine) {
                m.add_slot(key, slot);
            }
            self.slot_added(index);
        }
        let job = &self.jobs[&index];
        if !ended && job.done == job.spec.tasks {
            self.finish(index, End::Done);
        } else if !ended && stored.needs_cancelled {
            self.finish(index, End::Cancelled);
        }
        self.wake_job(index);
        self.maybe_settle(index);
        if !self.jobs[&index].waits {
            self.note_arrival(index);
        }
        self.changed = true;
        Some(index)
    }

    /// All that a job waited for is stored as done. Only that lets it begin: this leader's own count is not
    /// enough, as a withdrawal may have come first.
    pub fn on_ready(&mut self, id: &str, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&index).filter(|j| j.waits) else {
            return;
        };
        job.waits = false;
        job.since = now;
        self.wake_job(index);
        self.note_arrival(index);
        self.changed = true;
    }

    /// A job that this one needs, directly or through others, is cancelled: its own end follows, to be
    /// stored as there is time for it.
    pub fn on_need_cancelled(&mut self, id: &str) {
        let open = |index: &JobIndex| self.jobs.get(index).is_some_and(|j| j.ended.is_none());
        if let Some(index) = self.job_index(id).filter(open) {
            if let Some(job) = self.jobs.get_mut(&index) {
                job.waits = false;
            }
            self.finish(index, End::Cancelled);
        }
    }

    /// What jobs that are not over ask for is asked of all that they need: their priority, and their deadline less
    /// the time that they take themselves.
    fn pass_back(&mut self, from: impl IntoIterator<Item = JobIndex>) {
        let open = |leader: &Leader, index: &JobIndex| leader.jobs[index].ended.is_none();
        let from: Vec<JobIndex> = from.into_iter().filter(|index| open(self, index)).collect();
        let leader: RefCell<&mut Leader> = RefCell::new(self);
        let needs = |index: JobIndex| -> Vec<JobIndex> {
            let leader = leader.borrow();
            let ids = leader.jobs[&index].spec.waits_on.iter();
            ids.filter_map(|id| leader.job_index(id)).collect()
        };
        let raise = |need: JobIndex, by: JobIndex| -> bool {
            let mut leader = leader.borrow_mut();
            let job = &leader.jobs[&by];
            let (priority, needed_by) =
                (job.spec.priority, leader.done_by(job) - leader.run_s(job));
            let Some(need) = leader.jobs.get_mut(&need).filter(|j| j.ended.is_none()) else {
                return false;
            };
            let more = need.spec.priority < priority || need.needed_by > needed_by;
            if need.spec.priority < priority {
                Rc::make_mut(&mut need.spec).priority = priority;
            }
            need.needed_by = need.needed_by.min(needed_by);
            leader.changed |= more;
            more
        };
        graph::pass_back(
            from,
            |index| leader.borrow().jobs[&index].order,
            needs,
            raise,
        );
    }

    /// By when a job must be done, by its own deadline and those of the jobs that need it.
    fn done_by(&self, job: &Job) -> Time {
        let own = job.spec.deadline_s.map(|s| job.submitted + s);
        own.unwrap_or(f64::INFINITY).min(job.needed_by)
    }

    /// The time of day of a moment, if it is known.
    fn unix_ms(&self, now: Time) -> Option<u64> {
        self.unix_ms_at_zero
            .map(|zero| zero + (now * 1000.0) as u64)
    }

    /// A job's end was stored, by whoever.
    pub fn on_end(&mut self, id: &str, end: &EndRecord, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&index) {
            job.ended = Some(end.end);
            job.end_stored = true;
        }
        self.ends.remove(&index);
        self.active.remove(&index);
        if end.end == End::Cancelled {
            self.stop_job(index, 0.0, now);
        }
        self.maybe_settle(index);
    }

    /// Stops all that a job has on machines.
    pub(crate) fn stop_job(&mut self, index: JobIndex, grace_s: f64, now: Time) {
        let mut off = Vec::new();
        for (machine, m) in &mut self.fleet.machines {
            let first = SlotKey {
                job: index,
                task: 0,
                attempt: 0,
            };
            let last = SlotKey {
                job: index,
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
                self.fleet.calls.insert(*machine);
            }
        }
        for (machine, key) in off {
            self.off(machine, key, now);
        }
    }

    /// A task of a job came off its machine without being done.
    pub(crate) fn on_unbound(&mut self, index: JobIndex, task: u32, now: Time) {
        let job = &self.jobs[&index];
        if job.is_gang() && job.bound > 0 && job.ended.is_none() {
            // The rest of the attempt can't go on: it ends now and starts anew as a whole.
            self.stop_job(index, 0.0, now);
        }
        self.mark_pending_write(index, task, false, now);
    }

    /// Tells that a task is no longer as the log says: to be written at once or, if others may join
    /// it, a little later.
    fn mark_pending_write(&mut self, index: JobIndex, task: u32, at_once: bool, now: Time) {
        let report_s = self.config.deployment.workers.report_s;
        let due = if at_once {
            now
        } else {
            now + report_s * LAZY_WRITE_REPORTS
        };
        let tasks = Vec::new();
        let dirty = self
            .dirty
            .entry(index)
            .or_insert(PendingWrites { due, tasks });
        dirty.due = dirty.due.min(due);
        dirty.tasks.push(task);
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
                job.complete(task, 0);
            }
        } else {
            job.complete(key.task, 0);
        }
        job.failed_on.clear();
        job.backoff_s = 0.0;
        if let Some(ran) = ran {
            self.note_run(key.job, ran);
        }
        let job = &self.jobs[&key.job];
        if job.done == job.spec.tasks {
            self.finish(key.job, End::Done);
        } else {
            // A gang is done as a whole: only an array comes here.
            self.mark_pending_write(key.job, key.task, false, now);
        }
    }

    /// All jobs are over, and their ends wait to be written.
    #[cfg(test)]
    pub(crate) fn end_all(&mut self) {
        let all: Vec<JobIndex> = self.jobs.keys().copied().collect();
        for index in all {
            self.finish(index, End::Done);
        }
    }

    fn finish(&mut self, index: JobIndex, end: End) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.ended = Some(end);
        }
        self.active.remove(&index);
        self.dirty.remove(&index);
        self.ends.insert(index);
    }

    /// A task failed on a machine: is it the machine or the job?
    pub(crate) fn on_task_error(&mut self, index: JobIndex, machine: MachineIndex, now: Time) {
        let report_s = self.config.deployment.workers.report_s;
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        // A faulty job fails everywhere: where others of its tasks complete, it is the machine.
        if !job.is_gang() && job.done >= SOUND_TASKS {
            self.set_aside(machine);
            return;
        }
        job.failed_on.insert(machine);
        job.failed_now.insert(machine);
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
        m.error_jobs.insert(index);
        m.cool_until = now + report_s * COOL_REPORTS * f64::from(m.errors);
        // One job's failures speak against a machine only while it fails nowhere else.
        let at_fault = m.error_jobs.len() >= MACHINE_FAULT_JOBS
            || (failed_on == 1 && m.errors >= MACHINE_FAULT_ERRORS);
        if at_fault {
            self.set_aside(machine);
        }
    }

    /// All of a gang's attempt is off. If few of its tasks failed and the others only lost them, the
    /// fault is with those machines: each would take down one large gang after the other.
    pub(crate) fn judge_attempt(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(&index).filter(|j| j.slots == 0) else {
            return;
        };
        let failed = std::mem::take(&mut job.failed_now);
        if failed.len() * SOUND_TASKS as usize > job.spec.tasks as usize {
            return;
        }
        for machine in failed {
            job.failed_on.remove(&machine);
            if let Some(m) = self.fleet.machines.get_mut(&machine) {
                m.set_aside();
            }
        }
    }

    fn set_aside(&mut self, machine: MachineIndex) {
        if let Some(m) = self.fleet.machines.get_mut(&machine) {
            m.set_aside();
        }
    }

    /// Whether a job may be forgotten here: it is over and off all machines. What is stored of its
    /// run is then cleared away.
    pub(crate) fn maybe_settle(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get(&index)
            && job.end_stored
            && job.slots == 0
        {
            self.dirty.remove(&index);
            self.settled.insert(index);
        }
    }

    /// Puts a job among those to be placed, if tasks of it wait.
    pub(crate) fn wake_job(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        if job.ended.is_none() && !job.waits && job.pending() > 0 {
            self.active.insert(index);
        }
    }

    pub(crate) fn slot_added(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.slots += 1;
        }
        self.settled.remove(&index);
        self.use_team(index, 1.0);
    }

    pub(crate) fn slot_dropped(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.slots = job.slots.saturating_sub(1);
        }
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
        let slot = Slot {
            amount: job.amount(),
            inherited: false,
            state: None,
            sent: false,
            direct: None,
            stop: None,
            placed: now,
            running_since: None,
            over: false,
        };
        let key = SlotKey {
            job: index,
            task,
            attempt,
        };
        let spec = job.spec.clone();
        if let Some(m) = self.fleet.machines.get_mut(&machine) {
            m.add_slot(key, slot);
            if let Some(type_index) = m.type_index {
                let cache = cache_of(&self.types[type_index]);
                m.images.ask(&spec.image, spec.image_gb, cache, now);
            }
        }
        self.slot_added(index);
        self.mark_pending_write(index, task, true, now);
    }

    /// The next transaction to send, if one is due; it stays the same until its outcome is told.
    pub fn next_txn(&mut self, now: Time) -> Option<Rc<Txn>> {
        if let Some(flight) = &self.in_flight {
            return Some(flight.txn.clone());
        }
        let state = &self.config.deployment.state;
        let rate = state.write_rps * self.write_share;
        self.write_tokens =
            (self.write_tokens + (now - self.write_refill) * rate).min(rate.max(1.0));
        self.write_refill = now;
        let txn_ops = (state.txn_ops >> self.limit_backoff).max(2);
        let ops = (self.write_tokens as usize).min(txn_ops);
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
        let mut log_due = self.log_due_at().is_some_and(|at| at <= now);
        if ops == 1 && log_due && !self.ends.is_empty() {
            // One write is allowed and two are due: each has its turn. Under a low limit the log once took all
            // of them, and the ends of jobs, with those that wait on them, came a hundred seconds late.
            self.end_next = !self.end_next;
            log_due = !self.end_next;
        }
        let most = ops.saturating_sub(usize::from(log_due));
        let (conditions, changes) = (&mut txn.conditions, &mut txn.changes);
        let zones = self.zones.write(self.token, most, conditions, changes);
        let mut flight_ends = Vec::new();
        for index in &self.ends {
            if txn.changes.len() + usize::from(log_due) >= ops {
                break;
            }
            let job = &self.jobs[index];
            let record = EndRecord {
                end: job.ended.unwrap_or(End::Done),
                done: job.done,
                at_ms: self.unix_ms(now),
            };
            txn.conditions.push(Condition {
                key: key::end(&job.id),
                version: 0,
            });
            txn.changes.push(put(key::end(&job.id), &record)?);
            flight_ends.push(*index);
        }
        let mut writers = Vec::new();
        if log_due {
            writers = self.log_changes(ops - txn.changes.len(), now);
        }
        let mut oldest = self.log.oldest();
        if let Some(writer) = writers.last_mut() {
            let (from, learned) = self.retell(writer);
            oldest = from;
            for (needed, told) in learned {
                self.log.learn(needed, told);
            }
        }
        // Clearing away is worth no write that anything else could use.
        let spare = txn_ops.min(self.write_tokens as usize / 2);
        let used = txn.changes.len() + writers.len();
        let gone = self.log.stale(spare.saturating_sub(used).min(CLEARED_MAX));
        let mut told = Vec::new();
        for mut writer in writers {
            writer.record.oldest = oldest;
            let number = self.log.number();
            txn.conditions.push(Condition {
                key: key::run(number),
                version: 0,
            });
            txn.changes.push(put(key::run(number), &writer.record)?);
            told.push((number, writer.told));
        }
        if !told.is_empty() {
            self.logged_at = now;
        }
        for number in &gone {
            let key = key::run(*number);
            txn.changes.push(Change::Delete { key });
        }
        let mut cleared = Vec::new();
        for index in &self.settled {
            if txn.changes.len() >= spare {
                break;
            }
            txn.changes.push(Change::Delete {
                key: key::job(&self.jobs[index].id),
            });
            cleared.push(*index);
        }
        for key in self
            .zones
            .take_stale(spare.saturating_sub(txn.changes.len()))
        {
            txn.changes.push(Change::Delete { key });
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.write_tokens -= txn.changes.len() as f64;
        let txn = Rc::new(txn);
        self.in_flight = Some(InFlight {
            txn: txn.clone(),
            told,
            oldest,
            gone,
            ends: flight_ends,
            cleared,
            zones,
        });
        Some(txn)
    }

    /// Fills values of the log, `most` at the most, with what is due; what isn't yet takes the room
    /// that is left.
    fn log_changes(&mut self, most: usize, now: Time) -> Vec<Writer> {
        let value_max =
            (self.config.deployment.state.value_kb * 1024.0) as usize >> self.limit_backoff;
        let mut order: Vec<(Time, JobIndex)> =
            self.dirty.iter().map(|(k, d)| (d.due, *k)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut full: Vec<Writer> = Vec::new();
        let mut writer = Writer::new(value_max);
        'jobs: for (due, index) in order {
            let Some(mut dirty) = self.dirty.remove(&index) else {
                continue;
            };
            let Some(job) = self.jobs.get(&index).filter(|j| j.ended.is_none()) else {
                continue;
            };
            dirty.tasks.sort_unstable();
            dirty.tasks.dedup();
            let fleet = &self.fleet;
            let place = |m| {
                let m = fleet.machines.get(&m)?;
                Some((&*m.name, &*m.zone))
            };
            for (at, task) in dirty.tasks.iter().enumerate() {
                if writer.add(index, job, *task, place) {
                    continue;
                }
                let bytes: usize = full.iter().map(Writer::bytes).sum();
                let room = full.len() + 1 < most && bytes + 2 * value_max < TXN_BYTES;
                if due <= now && room && !writer.is_empty() {
                    full.push(std::mem::replace(&mut writer, Writer::new(value_max)));
                    if writer.add(index, job, *task, place) {
                        continue;
                    }
                }
                if writer.is_empty() {
                    // Never stored, and so never launched.
                    tracing::error!("{}/{task}: too large to store", job.id);
                    continue;
                }
                dirty.tasks.drain(..at);
                self.dirty.insert(index, dirty);
                break 'jobs;
            }
        }
        if !writer.is_empty() {
            full.push(writer);
        }
        full
    }

    /// Tells anew what the oldest values still tell alone, in a value that is written in any case;
    /// returns the oldest that counts from then on. Those before it go later: one that was deleted
    /// comes back if its transaction is carried out once more, and must not count then.
    fn retell(&self, writer: &mut Writer) -> (u64, Vec<(usize, usize)>) {
        let mut oldest = self.log.oldest();
        let mut learned = Vec::new();
        for (number, tasks) in self.log.surplus(RETOLD_MAX) {
            let needed = |index: &JobIndex, task: u32| {
                // What is over and off all machines is known by its end.
                let job = self
                    .jobs
                    .get(index)
                    .filter(|_| !self.settled.contains(index));
                job.filter(|job| job.needs(task, number))
            };
            let live: Vec<(JobIndex, u32, &Job)> = tasks
                .iter()
                .filter_map(|(index, task)| Some((*index, *task, needed(index, *task)?)))
                .collect();
            learned.push((live.len(), tasks.len()));
            let fleet = &self.fleet;
            let place = |m| {
                let m = fleet.machines.get(&m)?;
                Some((&*m.name, &*m.zone))
            };
            let all = live
                .iter()
                .all(|(index, task, job)| writer.add(*index, job, *task, place));
            if !all {
                break;
            }
            oldest = number + 1;
        }
        (oldest, learned)
    }

    /// When the log is to be written next, if it is. So many values a second are enough: each takes in what
    /// came meanwhile. Tasks end all the time, so that something is always due: each such moment once took a
    /// write of its own.
    fn log_due_at(&self) -> Option<Time> {
        let gap = LOG_WRITES / (self.config.deployment.state.write_rps * LEADER_WRITE_SHARE);
        let first = self.dirty.values().map(|d| d.due).min_by(f64::total_cmp);
        first.map(|due| due.max(self.logged_at + gap))
    }

    /// When something lazy is due to be written, if anything is.
    pub fn next_write_at(&self) -> Option<Time> {
        if !self.ends.is_empty() || self.zones.wants_write() {
            return Some(self.began);
        }
        match self.log_due_at() {
            None if !self.settled.is_empty() => Some(self.write_refill + 1.0),
            first => first,
        }
    }

    /// Takes in the outcome of the transaction under way.
    pub fn txn_done(&mut self, outcome: TxnOutcome, now: Time) -> AfterTxn {
        let Some(flight) = &self.in_flight else {
            return AfterTxn::Go;
        };
        match outcome {
            TxnOutcome::Applied(revision) => {
                self.write_share =
                    (self.write_share * WRITE_SHARE_RISE).min(LEADER_WRITE_SHARE_MAX);
                self.applied(revision, now);
                AfterTxn::Go
            }
            TxnOutcome::Unknown | TxnOutcome::Refused => {
                self.write_share = LEADER_WRITE_SHARE;
                AfterTxn::Again
            }
            TxnOutcome::TooLarge => {
                // The same again would be refused for ever, and all writes wait for this one: what it said is
                // said anew in smaller pieces.
                self.limit_backoff = (self.limit_backoff + 1).min(LIMIT_BACKOFF_MAX);
                self.take_back(now);
                AfterTxn::Again
            }
            TxnOutcome::Conflict(failed) => {
                if failed.contains(&key::leader()) {
                    return AfterTxn::Lost;
                }
                let ends: Vec<String> = flight
                    .ends
                    .iter()
                    .map(|index| key::end(&self.jobs[index].id))
                    .collect();
                if let Some(other) = failed.iter().find(|k| !ends.contains(k)) {
                    // Only this tenure writes that key: a copy was applied, even if all that is
                    // known of is one that was refused. The office was once given up for that.
                    return AfterTxn::ReadBack(other.clone());
                }
                // A user's withdrawal came first, or a copy of ours; the view will tell which.
                for index in flight.ends.clone() {
                    if failed.contains(&key::end(&self.jobs[&index].id)) {
                        self.ends.remove(&index);
                    }
                }
                self.take_back(now);
                AfterTxn::Go
            }
        }
    }

    /// The transaction under way was not carried out: what it told is to be told anew.
    fn take_back(&mut self, now: Time) {
        let Some(flight) = self.in_flight.take() else {
            return;
        };
        for zone in &flight.zones {
            self.zones.stored(zone, None, now);
        }
        for (index, task, _) in flight.told.into_iter().flat_map(|(_, told)| told) {
            self.mark_pending_write(index, task, true, now);
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
        for zone in &flight.zones {
            self.zones.stored(zone, Some(revision), now);
        }
        for (number, told) in flight.told {
            for (index, task, what) in told {
                if let Some(job) = self.jobs.get_mut(&index) {
                    job.stored(task, what, number);
                    self.log.enter(number, index, task);
                }
                if let Recorded::Bound(_) = what {
                    self.launch_ready(index, task, now);
                }
            }
        }
        self.log.forget_before(flight.oldest);
        for number in flight.gone {
            self.log.cleared(number);
        }
        for index in flight.ends {
            self.ends.remove(&index);
            if let Some(job) = self.jobs.get_mut(&index) {
                job.end_stored = true;
            }
            self.maybe_settle(index);
        }
        for index in flight.cleared {
            // A stray attempt may have shown up while this was written: the job is needed until that
            // is off. Its going once ended the process.
            if self.jobs.get(&index).is_some_and(|job| job.slots > 0) {
                continue;
            }
            self.settled.remove(&index);
            if let Some(job) = self.jobs.remove(&index) {
                self.by_id.remove(&job.id);
                for part in 1..=job.parts {
                    self.zones.clear_away(key::needs(&job.id, part));
                }
            }
            self.active.remove(&index);
        }
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
