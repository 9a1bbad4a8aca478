//! What the leader knows of each machine and its worker, and when a task is surely off it.

mod commands;
mod reports;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::images::{Cache, Images};
use crate::jobs::{Job, JobIndex, MachineIndex};
use crate::leader::Leader;
use crate::pricing::Amount;
use crate::rt::Time;
use crate::wire::{Command, ExitReason, MachineType, Report, TaskState};

/// A task's attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u64,
}

impl From<(JobIndex, u32, u64)> for SlotKey {
    fn from((job, task, attempt): (JobIndex, u32, u64)) -> Self {
        SlotKey { job, task, attempt }
    }
}

/// How it stands with a launch that was sent directly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectLaunch {
    /// No answer yet.
    UnderWay,
    /// There was none: it may be carried out at any time, until the worker's session ends.
    Unanswered,
    /// The worker has carried it out.
    Answered,
}

/// What became of a direct message.
#[derive(Debug, Clone)]
pub enum DirectOutcome {
    /// Carried out; the worker's report after that.
    Done(Report),
    /// Not carried out: token or session didn't match.
    Refused(Report),
    /// There was no connection: it will never be carried out.
    NotSent,
    /// No answer.
    Unknown,
}

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    pub machine: MachineIndex,
    pub addr: SocketAddr,
    pub session: u64,
    pub commands: Vec<Command>,
}

/// What is known of an attempt that may be on a machine.
#[derive(Debug, Clone)]
pub struct Slot {
    pub amount: Amount,
    /// Bound or seen before this tenure: a former leader may have launched it.
    pub inherited: bool,
    /// As last reported.
    pub state: Option<TaskState>,
    /// The launch went out and is not known to have been dropped.
    pub sent: bool,
    /// A launch went out directly.
    pub direct: Option<DirectLaunch>,
    /// It is to be stopped, with this grace.
    pub stop: Option<f64>,
    pub placed: Time,
    /// First seen with its image.
    pub running_since: Option<Time>,
    /// Completed; waits to be stored and reaped, and takes no room.
    pub over: bool,
}

impl Slot {
    /// An attempt that this leader decided on, or one that it found.
    pub(crate) fn new(amount: Amount, inherited: bool, now: Time) -> Self {
        Slot {
            amount,
            inherited,
            state: None,
            sent: false,
            direct: None,
            stop: None,
            placed: now,
            running_since: None,
            over: false,
        }
    }

    /// Whether nobody can have launched it.
    pub fn is_unsent(&self) -> bool {
        !self.inherited && !self.sent && self.state.is_none() && !self.in_doubt()
    }

    /// Whether a direct launch may yet be carried out.
    pub fn in_doubt(&self) -> bool {
        matches!(
            self.direct,
            Some(DirectLaunch::UnderWay | DirectLaunch::Unanswered)
        )
    }

    /// Whether a late or repeated direct launch could bring the attempt back once it is reaped.
    /// One that completed does no harm: it completes again.
    fn may_return(&self, exit_reason: ExitReason) -> bool {
        self.in_doubt() || (self.direct.is_some() && exit_reason != ExitReason::Done)
    }
}

/// What a machine is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Tasks that share machines.
    Shared,
    /// Tasks that take most of a machine.
    Large,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: Rc<str>,
    pub addr: Option<SocketAddr>,
    pub type_index: Option<usize>,
    pub zone: Rc<str>,
    pub spot: bool,
    pub capacity: Amount,
    pub session: u64,
    pub seq: u64,
    /// Highest token its worker has shown.
    pub token: u64,
    /// The latest session in which its worker is known to have seen this leader's token: no former leader's launch was
    /// carried out after that.
    fenced_session: Option<u64>,
    /// When this tenure last learnt something new from it, by a report or a direct message.
    pub heard: Option<Time>,
    /// When it last reported something new by itself: only that renews its worker's lease.
    pub reported: Option<Time>,
    /// When this tenure first heard it.
    met: Option<Time>,
    /// When the last report was received that was answered 200 in this tenure.
    pub answered: Option<Time>,
    /// Whether that was not the first one.
    answered_before: bool,
    /// When it was rented, as far as known.
    pub rented: Time,
    /// When the list first showed it running.
    pub listed_running: Option<Time>,
    pub listed_at: Option<Time>,
    /// Its return has been asked for.
    pub leaving: bool,
    /// When the cloud takes it.
    pub notice: Option<Time>,
    pub slots: BTreeMap<SlotKey, Slot>,
    pub used: Amount,
    pub price: f64,
    pub draining: bool,
    pub suspect: bool,
    pub role: Role,
    /// Since when nothing needs it.
    pub surplus_since: Option<Time>,
    /// Failures in a row, and the jobs whose tasks failed.
    pub errors: u32,
    pub error_jobs: HashSet<JobIndex>,
    pub cool_until: Time,
    /// Images that it holds or fetches.
    pub images: Images,
    /// A direct message to its worker is wanted.
    pub direct_wanted: bool,
    /// Launches wait that should not wait for its next report.
    pub launch_wanted: bool,
    pub direct_tried: Time,
    /// A direct message is under way.
    pub direct_live: bool,
    /// Reports in a row before which the worker made others that did not come here: it did not hear
    /// the answers, or went to other controllers.
    pub skips: u32,
    /// Since when it seems not to hear the answers.
    pub deaf_since: Option<Time>,
    /// Exited attempts of this session that are not to be reaped, see [`Slot::may_return`].
    kept: HashSet<(String, u64)>,
}

/// Report intervals after which a silent machine gets nothing new.
const QUIET_REPORTS: f64 = 2.0;
/// So many deaf machines, and most of all, tell of the leader and not of them.
const MUTE_MIN: usize = 3;
/// After so many reports in a row that show no hearing a machine counts as deaf.
const DEAF_SKIPS: u32 = 2;

impl Machine {
    pub(crate) fn new(name: Rc<str>, zone: Rc<str>, now: Time) -> Self {
        Machine {
            name,
            addr: None,
            type_index: None,
            zone,
            spot: false,
            capacity: Amount::default(),
            session: 0,
            seq: 0,
            token: 0,
            fenced_session: None,
            heard: None,
            reported: None,
            met: None,
            answered: None,
            answered_before: false,
            rented: now,
            listed_running: None,
            listed_at: None,
            leaving: false,
            notice: None,
            slots: BTreeMap::new(),
            used: Amount::default(),
            price: 0.0,
            draining: false,
            suspect: false,
            role: Role::Shared,
            surplus_since: None,
            errors: 0,
            error_jobs: HashSet::new(),
            cool_until: 0.0,
            images: Images::default(),
            direct_wanted: false,
            launch_wanted: false,
            direct_tried: f64::NEG_INFINITY,
            direct_live: false,
            skips: 0,
            deaf_since: None,
            kept: HashSet::new(),
        }
    }

    /// When it last reported by itself or, before its first report, answered.
    pub fn last_word(&self) -> Option<Time> {
        self.reported.or(self.met)
    }

    /// Whether its worker has reported under this tenure.
    pub fn is_up(&self) -> bool {
        self.heard.is_some()
    }

    /// Whether a direct launch that had no answer may yet start something that must not run: only
    /// the machine's end tells that it won't.
    pub fn has_launch_in_doubt(&self, now: Time, within_s: f64) -> bool {
        self.slots.values().any(|s| {
            s.direct == Some(DirectLaunch::Unanswered)
                && s.state.is_none()
                && s.stop.is_some()
                && now - s.placed > within_s
        })
    }

    /// Whether all that is or may be on it is to be stopped.
    pub fn only_stopped(&self) -> bool {
        let mut live = self.slots.values().filter(|s| !s.over).peekable();
        live.peek().is_some() && live.all(|s| s.stop.is_some())
    }

    /// Whether all that is on it runs, can save and is not being stopped: it can go on elsewhere.
    pub fn all_saves(&self, jobs: &BTreeMap<JobIndex, Job>) -> bool {
        self.slots.iter().filter(|(_, s)| !s.over).all(|(key, s)| {
            let job = &jobs[&key.job];
            let saves = job.spec.checkpoint_s > 0.0 && !job.is_gang();
            saves && s.stop.is_none() && s.state == Some(TaskState::Running)
        })
    }

    /// Whether nothing is or may be on it but what is over.
    pub fn is_empty(&self) -> bool {
        self.slots.values().all(|s| s.over)
    }

    /// Whether a task that takes more than `share` of it is or may be on it.
    pub fn has_large(&self, share: f64) -> bool {
        self.slots
            .values()
            .any(|s| !s.over && s.amount.largest_share(self.capacity) > share)
    }

    pub(crate) fn add_slot(&mut self, key: SlotKey, slot: Slot) {
        if !slot.over {
            self.used = self.used.plus(slot.amount);
        }
        self.slots.insert(key, slot);
    }

    pub(crate) fn drop_slot(&mut self, key: &SlotKey) -> Option<Slot> {
        let slot = self.slots.remove(key)?;
        if !slot.over {
            self.release(slot.amount);
        }
        Some(slot)
    }

    fn release(&mut self, amount: Amount) {
        self.used = if self.is_empty() {
            Amount::default()
        } else {
            self.used.minus(amount)
        };
    }

    /// A worker that hears the answers makes one report after the other here. One whose answers are
    /// lost tries other controllers in between, and in the end its session with them.
    fn note_hearing(&mut self, report: &Report, now: Time) {
        let heard = (report.session, report.seq) == (self.session, self.seq + 1);
        self.skips = if heard { 0 } else { self.skips + 1 };
        if self.skips < DEAF_SKIPS {
            self.deaf_since = None;
        } else {
            self.deaf_since.get_or_insert(now);
        }
    }

    /// Takes over what a report tells of the machine itself.
    fn describe(&mut self, report: &Report, kind: Option<(usize, Amount)>) {
        self.addr = report.addr.parse().ok().or(self.addr);
        if *self.zone != *report.zone {
            self.zone = report.zone.as_str().into();
        }
        self.spot = report.spot;
        if let Some((type_index, capacity)) = kind {
            self.type_index = Some(type_index);
            self.capacity = capacity;
        }
    }

    /// A report that is newer than all before it.
    fn hear(&mut self, report: &Report, source: Source, now: Time) {
        if report.session > self.session {
            // Direct messages to an earlier session are refused from now on.
            self.kept.clear();
            for slot in self.slots.values_mut().filter(|s| s.in_doubt()) {
                slot.direct = None;
            }
        }
        if source == Source::Checkin && self.answered_before {
            self.note_hearing(report, now);
        }
        self.session = report.session;
        self.seq = report.seq;
        self.token = self.token.max(report.token);
        self.heard = Some(now);
        self.met.get_or_insert(now);
        if source == Source::Checkin {
            self.reported = Some(now);
        }
        self.notice = report.notice_s.map(|s| now + s);
    }

    /// Tasks fail there: it gets nothing more and is returned.
    pub(crate) fn set_aside(&mut self) {
        if !self.suspect {
            tracing::info!("{} is set aside: tasks keep failing there", self.name);
            self.suspect = true;
        }
    }

    fn finish_slot(&mut self, key: &SlotKey) {
        if let Some(slot) = self.slots.get_mut(key)
            && !slot.over
        {
            slot.over = true;
            slot.state = Some(TaskState::Exited);
            let amount = slot.amount;
            self.release(amount);
        }
    }
}

/// What a machine of a type has for its images.
pub(crate) fn cache_of(t: &MachineType) -> Cache {
    Cache {
        size_gb: t.cache_gb,
        gb_per_s: t.fetch_gb_per_s,
    }
}

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The worker's own report; it waits for the answer.
    Checkin,
    /// The answer to a direct message.
    Direct,
}

/// All machines known.
#[derive(Debug, Default)]
pub struct Fleet {
    pub machines: BTreeMap<MachineIndex, Machine>,
    /// Machines that a direct message may be wanted for.
    pub calls: BTreeSet<MachineIndex>,
    by_name: HashMap<Rc<str>, MachineIndex>,
    next: MachineIndex,
}

impl Fleet {
    /// A machine by its name.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// A machine by its name, entered if it isn't known yet.
    pub fn enter(&mut self, name: &str, zone: &str, now: Time) -> MachineIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.next;
        self.next += 1;
        let name: Rc<str> = name.into();
        self.by_name.insert(name.clone(), index);
        self.machines
            .insert(index, Machine::new(name, zone.into(), now));
        index
    }

    /// Strikes a machine off.
    pub fn remove(&mut self, index: MachineIndex) -> Option<Machine> {
        let machine = self.machines.remove(&index)?;
        self.by_name.remove(&machine.name);
        Some(machine)
    }
}

impl Leader {
    /// Tasks on machines whose worker has been silent for longer than its lease are off. What a
    /// silent or deaf machine was never told of can go elsewhere sooner.
    pub fn expire(&mut self, now: Time) {
        let mut off = Vec::new();
        for (index, machine) in self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| !machine.slots.is_empty())
        {
            // Known by direct messages alone, its session may have begun just before the last.
            let last = [machine.answered, machine.heard].into_iter().flatten();
            let last = last.fold(self.began, f64::max);
            // Others may have answered in this leader's name.
            let last = last.max(self.zones.answered_until(&machine.zone, now));
            if now - last > self.off_after_s {
                off.extend(machine.slots.keys().map(|k| (*index, *k)));
            } else if self.is_quiet(machine, now) || machine.deaf_since.is_some() {
                let unsent = machine.slots.iter().filter(|(_, s)| s.is_unsent());
                off.extend(unsent.map(|(k, _)| (*index, *k)));
            }
        }
        for (index, key) in off {
            self.off(index, key, now);
        }
    }

    /// Whether a machine has been silent for longer than its reports are apart. An answer to a direct
    /// message counts only as long as its first report may still come: after a change of leader the
    /// machines called on can be used at once.
    pub(crate) fn is_quiet(&self, m: &Machine, now: Time) -> bool {
        let quiet = self.config.deployment.workers.report_s * QUIET_REPORTS;
        m.last_word().is_none_or(|t| now - t >= quiet)
    }

    /// Whether the answers of this leader reach hardly any worker.
    pub fn is_mute(&self) -> bool {
        let up = self.fleet.machines.values().filter(|m| m.is_up());
        let (deaf, all) = up.fold((0, 0), |(deaf, all), m| {
            (deaf + usize::from(m.deaf_since.is_some()), all + 1)
        });
        deaf >= MUTE_MIN && deaf * 2 > all
    }

    /// A machine and all that is on it is gone.
    pub(crate) fn machine_gone(&mut self, index: MachineIndex, now: Time) {
        let keys: Vec<SlotKey> = match self.fleet.machines.get(&index) {
            Some(machine) => machine.slots.keys().copied().collect(),
            None => return,
        };
        for key in keys {
            self.off(index, key, now);
        }
        self.fleet.remove(index);
        self.request_placement();
    }
}
