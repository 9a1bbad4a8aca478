//! What the leader knows of each machine and its worker, and when a task is surely off it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::images::{Cache, Images};
use crate::jobs::{Job, JobIndex, MachineIndex, Task};
use crate::leader::{Leader, job_task, split_task};
use crate::pricing::Amount;
use crate::rt::Time;
use crate::wire::{Command, ExitReason, Kind, MachineType, Report, TaskState};

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
    /// When this leader came to know it.
    pub since: Time,
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

/// Part of the time in which a job is to start that its launch may wait for a report.
const LAUNCH_WAIT_SHARE: f64 = 0.1;
/// Report intervals after which a silent machine gets nothing new.
const QUIET_REPORTS: f64 = 2.0;
/// So many deaf machines, and most of all, tell of the leader and not of them.
const MUTE_MIN: usize = 3;
/// After so many reports in a row that show no hearing a machine counts as deaf.
const DEAF_SKIPS: u32 = 2;
/// Commands in one answer, so that its only line stays short.
const COMMANDS_MAX: usize = 400;

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
            since: now,
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
    /// Takes in a report; returns what its answer should carry in any case, None if it tells nothing
    /// new: it may be a late copy, and its answer carries no commands then. What else the answer to
    /// a worker's own report carries see [`Leader::answer_commands`].
    pub fn on_report(
        &mut self,
        report: &Report,
        source: Source,
        now: Time,
    ) -> Option<Vec<Command>> {
        // A report of a machine whose return the cloud has confirmed was held back on its way:
        // the machine is gone, and entering it anew would only have it returned once more.
        if self.cloud.is_returned(&report.machine) {
            return None;
        }
        let index = self.fleet.enter(&report.machine, &report.zone, now);
        let type_index = self.type_by_name(&report.type_name);
        let capacity = type_index.map(|t| self.capacity_of(t));
        let was_open = self
            .fleet
            .machines
            .get(&index)
            .is_some_and(|m| self.is_open(m, now));
        let m = self.fleet.machines.get_mut(&index)?;
        let before = (m.used, m.suspect);
        m.addr = report.addr.parse().ok().or(m.addr);
        m.zone = if *m.zone == *report.zone {
            m.zone.clone()
        } else {
            report.zone.as_str().into()
        };
        m.spot = report.spot;
        if let (Some(t), Some(capacity)) = (type_index, capacity) {
            m.type_index = Some(t);
            m.capacity = capacity;
        }
        m.answered_before = m.answered.is_some();
        if source == Source::Checkin {
            m.answered = Some(now);
        }
        // An older message than one already seen tells nothing, and nothing is sent with its
        // answer: the worker may have given up on it.
        if (report.session, report.seq) <= (m.session, m.seq) {
            return None;
        }
        if report.session > m.session {
            // Direct messages to an earlier session are refused from now on.
            m.kept.clear();
            for slot in m.slots.values_mut().filter(|s| s.in_doubt()) {
                slot.direct = None;
            }
        }
        if source == Source::Checkin && m.answered_before {
            m.note_hearing(report, now);
        }
        m.session = report.session;
        m.seq = report.seq;
        m.token = m.token.max(report.token);
        self.zones.heard.insert(m.zone.clone(), now);
        m.heard = Some(now);
        m.met.get_or_insert(now);
        if source == Source::Checkin {
            m.reported = Some(now);
        }
        m.notice = report.notice_s.map(|s| now + s);
        let fenced = report.token >= self.token;
        if fenced {
            m.fenced_session = m.fenced_session.max(Some(report.session));
        }

        let mut seen = HashSet::with_capacity(report.tasks.len());
        let mut commands = Vec::new();
        for t in &report.tasks {
            let Some((id, task)) = split_task(&t.task) else {
                continue;
            };
            let known = self
                .job_index(id)
                .filter(|j| task < self.jobs[j].spec.tasks)
                .map(|job| SlotKey {
                    job,
                    task,
                    attempt: t.attempt,
                });
            if let Some(key) = known {
                seen.insert(key);
            }
            if t.state == TaskState::Exited {
                let forget = match known {
                    Some(key) => self.on_exit(
                        index,
                        key,
                        t.exit_reason.unwrap_or(ExitReason::Other),
                        fenced,
                        now,
                    ),
                    None => fenced,
                };
                let kept = |m: &Machine| m.kept.contains(&(t.task.clone(), t.attempt));
                if forget && !self.fleet.machines.get(&index).is_some_and(kept) {
                    commands.push(Command::Forget {
                        task: t.task.clone(),
                        attempt: t.attempt,
                    });
                }
            } else if let Some(key) = known {
                self.on_alive(index, key, t.state, now);
            } else {
                // Of a job that is over and forgotten.
                commands.push(Command::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                });
            }
        }
        self.on_absent(index, &seen, source, fenced, now);
        self.heed_notice(index, now);
        let rule = self.rule;
        let m = self.fleet.machines.get_mut(&index)?;
        if m.capacity.cpus > 0.0 {
            m.price = rule.price_of_load(m.used.largest_share(m.capacity));
        }
        // A pass is worth its time only if there is room that was not there before.
        if before != (m.used, m.suspect) || !was_open {
            self.changed = true;
        }
        Some(commands)
    }

    /// Adds to the answer of a worker's own report what it is to do now. A report that is no
    /// longer the newest known gets nothing: its worker may have given up on it. Returns whether it
    /// was the newest.
    pub fn answer_commands(&mut self, report: &Report, commands: &mut Vec<Command>) -> bool {
        let newest = |m: &Machine| (m.session, m.seq) == (report.session, report.seq);
        let Some(index) = self.fleet.find(&report.machine) else {
            return false;
        };
        let newest = self.fleet.machines.get(&index).is_some_and(newest);
        if newest {
            self.write_commands(index, Source::Checkin, commands);
        }
        newest
    }

    /// Whether a machine's lease must not be renewed: a direct launch of something that is over may still
    /// be carried out there, however late. The machine is being returned, but the cloud may not answer.
    pub fn lets_lapse(&self, machine: &str, now: Time) -> bool {
        let doubt_s = self.doubt_s();
        let m = self
            .fleet
            .find(machine)
            .and_then(|index| self.fleet.machines.get(&index));
        m.is_some_and(|m| m.has_launch_in_doubt(now, doubt_s))
    }

    /// For how long a launch of something that is over may be in doubt: then its machine goes, and its
    /// worker's lease runs out within `cancel_s` in any case.
    pub(crate) fn doubt_s(&self) -> f64 {
        let w = &self.config.deployment.workers;
        let left = w.cancel_s - self.off_after_s - self.config.leader_life_s();
        (w.report_s * self.config.tunables.silent_reports).min(left)
    }

    /// A worker has seen our token in a session. If it had seen it in an earlier one already, all that was placed
    /// there before is gone, and what was sent to it before is refused.
    ///
    /// Else nothing follows: what a former leader placed may be in that very session. A new leader that knew machines
    /// behind a cut from the log alone once took their first session for a later one, and started all of their tasks
    /// elsewhere.
    pub(crate) fn on_session(&mut self, machine: &str, session: u64, now: Time) {
        let Some(index) = self.fleet.find(machine) else {
            return;
        };
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let earlier = m.fenced_session;
        m.fenced_session = earlier.max(Some(session));
        if earlier.is_none_or(|earlier| session <= earlier) || session <= m.session {
            return;
        }
        m.session = session;
        m.seq = 0;
        m.kept.clear();
        let gone: Vec<SlotKey> = m.slots.keys().copied().collect();
        for key in gone {
            self.off(index, key, now);
        }
    }

    /// Whether work waits that a machine could be given within this moment.
    pub fn has_work_waiting(&self) -> bool {
        !self.active.is_empty()
    }

    /// A task ended; whether it may be reaped.
    pub(crate) fn on_exit(
        &mut self,
        index: MachineIndex,
        key: SlotKey,
        exit_reason: ExitReason,
        fenced: bool,
        now: Time,
    ) -> bool {
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return false;
        };
        let known = m.slots.get(&key).cloned();
        // An attempt of a former leader that has not been fenced off here: a late command of
        // his could still bring it back once it is reaped.
        if !fenced && known.as_ref().is_none_or(|s| s.inherited) {
            return false;
        }
        if known.as_ref().is_some_and(|s| s.may_return(exit_reason)) {
            let name = job_task(&self.jobs[&key.job].id, key.task);
            m.kept.insert((name, key.attempt));
        }
        // A service's task is never done: one that exits starts anew.
        if exit_reason == ExitReason::Done && self.jobs[&key.job].spec.kind != Kind::Service {
            m.finish_slot(&key);
            m.errors = 0;
            m.error_jobs.clear();
            let known = known.filter(|s| !s.over);
            if known.is_some() {
                self.use_team(key.job, -1.0);
            }
            let ran = known.and_then(|s| s.running_since).map(|since| now - since);
            self.on_task_done(key, ran, now);
            let job = &self.jobs[&key.job];
            return job.ended.is_some() || job.done_is_stored(key.task);
        }
        if known.is_some() {
            if matches!(
                exit_reason,
                ExitReason::Error | ExitReason::Other | ExitReason::NoSuchTask
            ) {
                self.on_task_error(key.job, index, now);
            }
            if exit_reason == ExitReason::InUse
                && let Some(job) = self.jobs.get_mut(&key.job)
            {
                // Another attempt, perhaps one that must not be reaped, is in the way there.
                job.failed_on.insert(index);
            }
            self.off(index, key, now);
        }
        true
    }

    fn on_alive(&mut self, index: MachineIndex, key: SlotKey, state: TaskState, now: Time) {
        let job = &self.jobs[&key.job];
        let bound_here = matches!(job.task(key.task),
            Task::Bound { machine, attempt, .. } if machine == index && attempt == key.attempt);
        let ended = job.ended.is_some();
        let amount = job.amount();
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        if !m.slots.contains_key(&key) {
            let stray = Slot {
                amount,
                inherited: true,
                state: None,
                sent: false,
                direct: None,
                stop: None,
                placed: now,
                running_since: None,
                over: false,
            };
            m.add_slot(key, stray);
            self.slot_added(key.job);
        }
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let Some(slot) = m.slots.get_mut(&key) else {
            return;
        };
        if state == TaskState::Running && slot.running_since.is_none() {
            slot.running_since = Some(now);
        }
        if slot.state.replace(state) != Some(state)
            && let Some(type_index) = m.type_index
        {
            let spec = &self.jobs[&key.job].spec;
            let here = state != TaskState::Fetching;
            let cache = cache_of(&self.types[type_index]);
            m.images.see(&spec.image, spec.image_gb, here, cache, now);
        }
        if (ended || !bound_here) && slot.stop.is_none() {
            slot.stop = Some(0.0);
            m.direct_wanted = true;
            self.fleet.calls.insert(index);
        }
    }

    /// Looks at what should be on a machine and isn't in its newer report.
    fn on_absent(
        &mut self,
        index: MachineIndex,
        seen: &HashSet<SlotKey>,
        source: Source,
        fenced: bool,
        now: Time,
    ) {
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let mut off = Vec::new();
        for (key, slot) in m.slots.iter_mut().filter(|(k, _)| !seen.contains(k)) {
            if slot.over {
                off.push(*key);
            } else if slot.inherited {
                // A former leader's launch may still be under way until the worker has seen
                // our token.
                if fenced {
                    off.push(*key);
                }
            } else if slot.state.is_some() {
                off.push(*key);
            } else if slot.in_doubt() {
                // The launch may come later: it stays here. The next answer may carry it too.
                if slot.direct == Some(DirectLaunch::Unanswered) && source == Source::Checkin {
                    slot.sent = false;
                }
            } else if slot.sent {
                // Only the worker's next own report proves that the answer with the launch was
                // dropped: it is made after that answer was carried out or given up.
                if source == Source::Checkin {
                    slot.sent = false;
                    if slot.stop.is_some() {
                        off.push(*key);
                    }
                }
            } else if slot.stop.is_some() {
                off.push(*key);
            }
        }
        for key in off {
            self.off(index, key, now);
        }
    }

    /// A task is surely off a machine.
    pub(crate) fn off(&mut self, index: MachineIndex, key: SlotKey, now: Time) {
        let Some(slot) = self
            .fleet
            .machines
            .get_mut(&index)
            .and_then(|m| m.drop_slot(&key))
        else {
            return;
        };
        self.slot_dropped(key.job);
        if slot.over {
            self.maybe_settle(key.job);
            return;
        }
        if matches!(slot.state, None | Some(TaskState::Fetching)) {
            self.image_unwanted(index, key.job);
        }
        self.use_team(key.job, -1.0);
        if self.jobs[&key.job].is_gang() {
            self.judge_attempt(key.job);
        }
        let bound_here = matches!(self.jobs[&key.job].task(key.task),
            Task::Bound { machine, attempt, .. } if machine == index && attempt == key.attempt);
        if bound_here {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.unbind(key.task);
            }
            self.wake_job(key.job);
            self.on_unbound(key.job, key.task, now);
        }
        self.changed = true;
        self.maybe_settle(key.job);
    }

    /// A task came off a machine before it had its image: if no other there waits for it, the fetch
    /// is given up.
    fn image_unwanted(&mut self, index: MachineIndex, job: JobIndex) {
        let image = &self.jobs[&job].spec.image;
        if let Some(m) = self.fleet.machines.get_mut(&index)
            && !m
                .slots
                .keys()
                .any(|k| self.jobs[&k.job].spec.image == *image)
        {
            m.images.give_up(image);
        }
    }

    /// Adds the commands a worker is to have now.
    fn write_commands(&mut self, index: MachineIndex, source: Source, commands: &mut Vec<Command>) {
        let fits = |commands: &Vec<Command>| commands.len() < COMMANDS_MAX;
        let token = self.token;
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        m.direct_wanted = false;
        let settled = m.token >= token && !m.leaving;
        let launches = settled && (source == Source::Checkin || m.launch_wanted);
        m.launch_wanted = false;
        for (key, slot) in &mut m.slots {
            if !fits(commands) {
                break;
            }
            if slot.over {
                continue;
            }
            let job = &self.jobs[&key.job];
            if let Some(grace_s) = slot.stop {
                // A task that saves is left to it, unless it is to go at once. A stop may overtake
                // its launch; it is then repeated until a report shows the task gone.
                let saving = slot.state == Some(TaskState::Saving);
                if !(saving && grace_s > 0.0) {
                    commands.push(Command::Stop {
                        task: job_task(&job.id, key.task),
                        attempt: key.attempt,
                        grace_s,
                    });
                }
            } else if launches
                && slot.state.is_none()
                && !(source == Source::Direct && slot.in_doubt())
                && !slot.inherited
                && !slot.sent
                && job.ended.is_none()
                && job.bind_is_stored(key.task, key.attempt)
            {
                slot.sent = true;
                if source == Source::Direct {
                    slot.direct = Some(DirectLaunch::UnderWay);
                }
                commands.push(Command::Start {
                    task: job_task(&job.id, key.task),
                    attempt: key.attempt,
                });
            }
        }
    }

    /// A worker that some controller saw lately is to be called on: that fences off a former
    /// leader there, and its report comes back at once.
    pub fn call_on(&mut self, name: &str, zone: &str, addr: &str, session: u64, now: Time) {
        let index = self.fleet.enter(name, zone, now);
        if let Some(m) = self.fleet.machines.get_mut(&index) {
            m.addr = m.addr.or_else(|| addr.parse().ok());
            if m.heard.is_none() {
                m.session = m.session.max(session);
                m.direct_wanted = true;
                self.fleet.calls.insert(index);
            }
        }
    }

    /// Direct messages to send now, `most` at the most.
    pub fn directs(&mut self, now: Time, gap_s: f64, most: usize) -> Vec<DirectMessage> {
        let machines = &self.fleet.machines;
        self.fleet.calls.retain(|index| {
            let m = machines.get(index);
            m.is_some_and(|m| (m.launch_wanted || m.direct_wanted) && !m.leaving)
        });
        let calls = self.fleet.calls.iter();
        let due: Vec<(MachineIndex, SocketAddr, u64)> = calls
            .filter_map(|index| Some((*index, machines.get(index)?)))
            .filter(|(_, m)| !m.direct_live && (m.launch_wanted || now - m.direct_tried > gap_s))
            .filter_map(|(index, m)| Some((index, m.addr?, m.session)))
            .take(most)
            .collect();
        let mut messages = Vec::new();
        for (machine, addr, session) in due {
            let mut commands = Vec::new();
            self.write_commands(machine, Source::Direct, &mut commands);
            if let Some(m) = self.fleet.machines.get_mut(&machine) {
                m.direct_tried = now;
                m.direct_live = true;
                // Until it was heard, or has nothing left to stop, it is called on again.
                m.direct_wanted = !m.is_up() || m.slots.values().any(|s| s.stop.is_some());
            }
            messages.push(DirectMessage {
                machine,
                addr,
                session,
                commands,
            });
        }
        messages
    }

    /// Takes in what became of a direct message.
    pub fn on_direct(&mut self, machine: MachineIndex, outcome: DirectOutcome, now: Time) {
        let Some(m) = self.fleet.machines.get_mut(&machine) else {
            return;
        };
        m.direct_live = false;
        let mut back = Vec::new();
        for (key, slot) in &mut m.slots {
            if slot.direct != Some(DirectLaunch::UnderWay) {
                continue;
            }
            slot.direct = match outcome {
                DirectOutcome::Done(_) => Some(DirectLaunch::Answered),
                DirectOutcome::Unknown => Some(DirectLaunch::Unanswered),
                DirectOutcome::Refused(_) | DirectOutcome::NotSent => {
                    slot.sent = false;
                    None
                }
            };
            if matches!(outcome, DirectOutcome::NotSent) && slot.is_unsent() {
                back.push(*key);
            }
        }
        match outcome {
            DirectOutcome::Done(report) | DirectOutcome::Refused(report) => {
                if report.token <= self.token {
                    self.last_report = now;
                    self.on_report(&report, Source::Direct, now);
                }
            }
            DirectOutcome::NotSent if !back.is_empty() => {
                // Nobody there: what it was to do goes elsewhere, until it reports again.
                m.cool_until = now + self.config.deployment.workers.report_s;
                for key in back {
                    self.off(machine, key, now);
                }
            }
            DirectOutcome::NotSent | DirectOutcome::Unknown => {}
        }
    }

    /// Notes that a launch may go out: directly, if waiting for the machine's next report would
    /// take a good part of the time in which its job is to start.
    pub(crate) fn launch_ready(&mut self, index: JobIndex, task: u32, now: Time) {
        let Some(job) = self.jobs.get(&index) else {
            return;
        };
        let Task::Bound { machine, .. } = job.task(task) else {
            return;
        };
        let mut start_s = self.tightest_wait(&job.spec);
        if self.is_step_with_deadline(job) {
            start_s = start_s.min(self.run_s(job));
        }
        let may_wait = start_s * LAUNCH_WAIT_SHARE;
        let report_s = self.config.deployment.workers.report_s;
        if let Some(m) = self.fleet.machines.get_mut(&machine)
            && m.heard
                .is_some_and(|heard| heard + report_s - now > may_wait)
        {
            m.launch_wanted = true;
            self.fleet.calls.insert(machine);
        }
    }

    /// Lets what can save do so before the cloud takes the machine.
    fn heed_notice(&mut self, index: MachineIndex, now: Time) {
        let Some(m) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        let Some(taken_at) = m.notice else {
            return;
        };
        let mut gangs = Vec::new();
        for (key, slot) in &mut m.slots {
            let job = &self.jobs[&key.job];
            if slot.over || slot.stop.is_some() || job.spec.checkpoint_s <= 0.0 {
                continue;
            }
            // The notice may run out at half its time; saving needs its own.
            if taken_at - now < job.spec.save_s {
                continue;
            }
            if job.is_gang() {
                gangs.push(key.job);
            } else {
                slot.stop = Some(job.spec.save_s);
                m.direct_wanted = true;
                self.fleet.calls.insert(index);
            }
        }
        for job in gangs {
            let grace = self.jobs[&job].spec.save_s;
            self.stop_job(job, grace, now);
        }
    }

    /// Tasks on machines whose worker has been silent for longer than its lease are off. What a
    /// silent or deaf machine was never told of can go elsewhere sooner.
    pub fn expire(&mut self, now: Time) {
        let mut off = Vec::new();
        for (index, m) in self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| !m.slots.is_empty())
        {
            // Known by direct messages alone, its session may have begun just before the last.
            let last = [m.answered, m.heard].into_iter().flatten();
            let last = last.fold(self.began, f64::max);
            // Others may have answered in this leader's name.
            let last = last.max(self.zones.answered_until(&m.zone, now));
            if now - last > self.off_after_s {
                off.extend(m.slots.keys().map(|k| (*index, *k)));
            } else if self.is_quiet(m, now) || m.deaf_since.is_some() {
                let unsent = m.slots.iter().filter(|(_, s)| s.is_unsent());
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
            Some(m) => m.slots.keys().copied().collect(),
            None => return,
        };
        for key in keys {
            self.off(index, key, now);
        }
        self.fleet.remove(index);
        self.changed = true;
    }
}
