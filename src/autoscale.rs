//! Rents machines for work that waits or is expected, and returns those that nothing needs.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

use crate::book::{Job, JobIx, MachineIx, amount};
use crate::expect::{JOBS_KEPT, Mean, class_name};
use crate::fleet::Role;
use crate::lead::{Lead, type_allowed};
use crate::pricing::Amount;
use crate::rt::Time;
use crate::scheduler::BEGIN_S;
use crate::wire::{
    ListedMachine, MachineState, MachineType, Priority, Rent, Submission, TaskState,
};

/// A sort of work: jobs of one class that may use the same machines.
#[derive(Debug, Clone)]
pub struct Class {
    pub(crate) spec: Rc<Submission>,
    /// What a task takes, on the mean.
    amount: Amount,
    /// Tasks of a job.
    job_tasks: Mean,
    /// Run time of a task as its owner expects it.
    estimate_s: Mean,
    /// When a job should be done, for those that have a deadline of their own.
    deadline_s: Mean,
    /// Run time to reckon with.
    run_s: f64,
    shares: [Mean; 3],
    /// Unfinished tasks now.
    pub(crate) pending: f64,
    bound: f64,
}

impl Class {
    fn job_tasks(&self) -> f64 {
        self.job_tasks.get().unwrap_or(1.0)
    }

    /// The run time to reckon with; the first few that are seen are the shortest ones.
    fn run_s(&self) -> f64 {
        self.run_s.max(1.0)
    }
}

/// Where machines come from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    pub type_ix: usize,
    pub spot: bool,
    pub zone: Rc<str>,
}

#[derive(Debug, Clone, Default)]
struct Pool {
    refused_until: Time,
    backoff_s: f64,
    /// How many machines of it there were when it last refused: no more are asked for meanwhile.
    limit: u32,
}

/// Machines to be rented: pool, role, how many.
type Rents = BTreeMap<(PoolKey, Role), u32>;

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    Types,
    List { after: String },
    Rent(Rent, Role),
    Delete(Vec<String>),
}

/// What came of a call.
#[derive(Debug, Clone)]
pub enum CloudAnswer {
    Types(Vec<MachineType>),
    List(Vec<ListedMachine>, bool),
    Rented(Vec<String>),
    Deleted,
    /// No machine of this kind now.
    NoCapacity,
    /// Surely not carried out, or carried out without a word: ask the same again.
    Failed,
}

/// What the leader keeps of its dealings with the cloud.
#[derive(Debug)]
pub struct CloudBook {
    pools: BTreeMap<PoolKey, Pool>,
    next_request: u64,
    rents: VecDeque<(Rent, Role)>,
    deletes: Vec<MachineIx>,
    /// Names returned, which a late list may still show.
    returned: HashSet<Rc<str>>,
    /// The same, the first returned first.
    returned_order: VecDeque<Rc<str>>,
    list_after: Option<String>,
    list_at: Time,
    types_at: Time,
    sized_at: Time,
    /// The list was read to its end in this tenure.
    listed: bool,
    /// Nothing was there before this tenure.
    fresh: bool,
}

/// List intervals, as a ratio to the list's lag, and at least as many report intervals.
const LIST_LAGS: f64 = 0.8;
/// Interval of asking for prices, in leases of the workers.
const TYPES_LEASES: f64 = 3.0;
/// Sizing interval in report intervals, and the longest.
const SIZING_REPORTS: f64 = 0.3;
const SIZING_S_MAX: f64 = 1.0;
/// Kinds that cost at most this much more than a class's cheapest count as cheap.
const CHEAP: f64 = 1.6;
/// Time for a backlog of which nothing is expected, in boot times.
const BACKLOG_BOOTS: f64 = 1.0;
/// Pauses of a pool that refused, in boot times: the first and the longest.
const REFUSED_BOOTS: f64 = 0.3;
const REFUSED_BOOTS_MAX: f64 = 0.8;
/// Machines rented with one request, as the protocol says.
const RENT_MAX: u32 = 50;
/// Machines returned with one request, as the protocol says.
const DELETE_MAX: usize = 100;
/// Silence of most machines at once is this node's own for at most so many leases.
const DISTRUST: f64 = 2.0;
/// A machine is charged for at least this long.
const CHARGED_S: f64 = 60.0;
/// Waits shorter than this many boot times can only be kept with machines that are up already.
const TIGHT_BOOTS: f64 = 1.5;
/// Machines in use are as good as ready ones if what a usual job takes comes free on them within this
/// part of the time in which it is to start.
const TURNOVER_SHARE: f64 = 0.125;
/// A backlog is to be worked off within this part of the time that its jobs may take.
const BACKLOG_SHARE: f64 = 0.5;
/// A deadline shorter than a job's run time still leaves so much of that for waiting.
const DEADLINE_SLACK_MIN: f64 = 0.2;
/// A queue of this part of that time is no backlog.
const QUEUE_SHARE: f64 = 0.25;
/// Machines that are there already are kept if they shorten a backlog within this part of it.
const KEEP_SHARE: f64 = 0.3;
/// The owners' estimates count for as much as so many run times seen.
const RUNS_MIN: f64 = 20.0;
/// Large work is to start within this part of the time it may wait.
const WAIT_SHARE: f64 = 0.75;
/// A leader hears some worker at least so often, in report intervals, or it may be cut off.
const HEARING_REPORTS: f64 = 0.6;
/// Reports of all workers have come after so many intervals of a tenure.
const SETTLE_REPORTS: f64 = 1.5;
/// Or earlier, once this part of the machines has been heard.
const HEARD_SHARE: f64 = 0.95;
/// Part of the free room on machines that stay which tasks of machines that go are moved to.
const MOVE_ROOM: f64 = 0.5;
/// Work that has not begun after this part of the time within which it should is sized by itself,
/// so many jobs at once.
const OVERLOOKED: f64 = 0.5;
const OVERLOOKED_MAX: usize = 8;
/// Names kept of returned machines: several times as many as a fleet has.
const RETURNED_KEPT: usize = 16 * 1024;

impl CloudBook {
    pub(crate) fn new(now: Time) -> Self {
        CloudBook {
            pools: BTreeMap::new(),
            next_request: 0,
            rents: VecDeque::new(),
            deletes: Vec::new(),
            returned: HashSet::new(),
            returned_order: VecDeque::new(),
            list_after: None,
            list_at: now,
            types_at: now,
            sized_at: f64::NEG_INFINITY,
            listed: false,
            fresh: false,
        }
    }

    /// Notes that the cloud has confirmed a machine's return. The oldest are forgotten one by one: all
    /// at once would let a late report bring one back that went a moment ago.
    fn note_returned(&mut self, name: Rc<str>) {
        if self.returned.insert(name.clone()) {
            self.returned_order.push_back(name);
        }
        if self.returned_order.len() > RETURNED_KEPT
            && let Some(oldest) = self.returned_order.pop_front()
        {
            self.returned.remove(&oldest);
        }
    }

    /// Whether the cloud has confirmed a machine's return.
    pub(crate) fn is_returned(&self, name: &str) -> bool {
        self.returned.contains(name)
    }
}

/// For how many tasks of a class there should be machines: of the cheapest kinds as many as help
/// at all, of dearer ones only what keeps the work in time.
#[derive(Debug, Clone, Copy)]
struct Want {
    full: f64,
    lean: f64,
    /// As `lean`, but for machines still to be rented: what they will find when they are up.
    rent: f64,
}

/// A machine in the eyes of the sizing: there, coming, or to be rented.
pub(crate) struct Unit {
    pub(crate) ix: Option<MachineIx>,
    type_ix: usize,
    spot: bool,
    zone: Rc<str>,
    room: Amount,
    price: f64,
    used: f64,
    pub(crate) up: bool,
    /// Large tasks, or small ones, are on it.
    pub(crate) has_large: bool,
    pub(crate) has_small: bool,
    /// The highest priority of what is on it.
    top: Option<Priority>,
    /// Meant for large work, once taken.
    pub(crate) large: bool,
    taken: bool,
}

impl Lead {
    /// A job came: its class is seen.
    pub(crate) fn note_arrival(&mut self, ix: JobIx) {
        let job = &self.jobs[&ix];
        let spec = job.spec.clone();
        let a = amount(&spec);
        let class = self
            .classes
            .entry(class_name(&spec))
            .or_insert_with(|| Class {
                amount: a,
                job_tasks: Mean::default(),
                estimate_s: Mean::default(),
                deadline_s: Mean::default(),
                run_s: spec.estimate_s,
                shares: [Mean::default(); 3],
                pending: 0.0,
                bound: 0.0,
                spec: spec.clone(),
            });
        // Large work may have to be made room for: look at once.
        self.cloud.sized_at = f64::NEG_INFINITY;
        class.job_tasks.add(f64::from(spec.tasks), JOBS_KEPT);
        class.estimate_s.add(spec.estimate_s, JOBS_KEPT);
        if let Some(deadline_s) = spec.deadline_s {
            class.deadline_s.add(deadline_s, JOBS_KEPT);
        }
        let mut mean = |at: usize, value: f64| {
            class.shares[at].add(value, JOBS_KEPT);
            class.shares[at].get().unwrap_or(value)
        };
        class.amount = Amount {
            cpus: mean(0, a.cpus),
            gpus: mean(1, a.gpus),
            memory_gb: mean(2, a.memory_gb),
        };
    }

    /// A task ran for so long.
    pub(crate) fn note_run(&mut self, ix: JobIx, ran: f64) {
        let name = &self.jobs[&ix].class;
        self.expected.borrow_mut().note_run(name, ran);
    }

    /// How long tasks like a job's run.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.classes
            .get(&*job.class)
            .map_or(job.spec.estimate_s, Class::run_s)
    }

    /// Looks after machines: lost ones, needed ones, unneeded ones.
    pub fn tend(&mut self, now: Time) {
        // Pauses of machines and jobs end without a word.
        self.changed = true;
        self.expire(now);
        self.find_lost(now);
        let report_s = self.config.deployment.workers.report_s;
        let interval = (report_s * SIZING_REPORTS).min(SIZING_S_MAX);
        if now - self.cloud.sized_at >= interval {
            self.cloud.sized_at = now;
            self.count_images(now);
            self.size(now);
        }
    }

    /// Machines that died, never came up, fail their tasks or are no longer heard of.
    fn find_lost(&mut self, now: Time) {
        let w = &self.config.deployment.workers;
        let t = &self.config.tunables;
        let silent_s = w.report_s * t.silent_reports;
        let up = || {
            let machines = self.fleet.machines.values();
            machines.filter(|m| m.is_up() && !self.is_cut_off(m))
        };
        let heard = up()
            .filter(|m| {
                m.last_word()
                    .is_some_and(|h| self.silent_s(h, now) < silent_s)
            })
            .count();
        // When hardly anybody is heard any more, it is rather this node that is cut off: then
        // only the workers' leases tell.
        let trusted = heard * 2 >= up().count()
            && (heard < 2 || now - self.last_report < w.report_s * HEARING_REPORTS);
        let mute = self.is_mute();
        let mut lost = Vec::new();
        for (ix, m) in &self.fleet.machines {
            if m.leaving {
                continue;
            }
            let boot_s = m.type_ix.map_or(w.lease_s, |t| self.types[t].boot_s);
            let gone = if m.suspect {
                m.slots
                    .values()
                    .all(|s| s.over || s.running_since.is_none())
                    || now - m.cool_until > w.lease_s
            } else if m.is_haunted(now, silent_s) {
                true
            } else if let Some(since) = m.deaf_since {
                // What is on it ends with its worker's lease: nothing renews that.
                trusted && !mute && self.silent_s(since, now) > silent_s
            } else if self.is_cut_off(m) && m.only_stopped() {
                // What is left there of gangs that have broken holds all of them up.
                trusted
            } else if m.is_up() {
                // For ever it can't be this node: once most of a fleet had died at once, and what was
                // left was never trusted again, nor the others replaced.
                let last = m.last_word().unwrap_or(self.began);
                let long = heard > 0 && self.silent_s(last, now) > self.off_after_s * DISTRUST;
                (trusted || long) && self.is_silent(m, now)
            } else if let Some(up_at) = m.listed_running {
                trusted && self.silent_s(up_at.max(self.began), now) > silent_s
            } else if m.listed_at.is_some() || m.type_ix.is_some() {
                now - m.rented > boot_s * t.lost_boots
            } else {
                // Known only from a former leader's notes.
                trusted && self.silent_s(self.began, now) > silent_s
            };
            if gone {
                lost.push(*ix);
            }
        }
        for ix in lost {
            self.give_back(ix, "lost");
        }
        if trusted {
            self.watch_zones(now);
        }
    }

    fn give_back(&mut self, ix: MachineIx, why: &str) {
        if let Some(m) = self.fleet.machines.get_mut(&ix)
            && !m.leaving
        {
            tracing::info!("returning {}: {why}", m.name);
            m.leaving = true;
            self.cloud.deletes.push(ix);
        }
    }

    /// How soon tasks of a class should start.
    pub(crate) fn tightest_wait(&self, spec: &Submission) -> f64 {
        let team_has_guarantee = self
            .config
            .team(&spec.team)
            .is_some_and(|t| t.cpus > 0.0 || t.gpus > 0.0);
        self.config
            .deployment
            .objectives
            .iter()
            .filter(|o| match o.kind.as_str() {
                "wait" => o.class.as_deref() == Some(&spec.class),
                "guarantee" => team_has_guarantee,
                _ => false,
            })
            .filter_map(|o| o.within_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// Within what time jobs of a class should be done. A deadline grows with the run time: only
    /// what it leaves beyond that is for waiting.
    fn tightest_finish(&self, class: &Class) -> Option<f64> {
        let run_s = class.run_s();
        let mut usual = (*class.spec).clone();
        usual.deadline_s = class.deadline_s.get().or(usual.deadline_s);
        let objectives = &self.config.deployment.objectives;
        objectives
            .iter()
            .filter_map(|o| {
                let within = o.done_within(&usual)?;
                Some(match o.kind.as_str() {
                    "deadline" => (within - run_s).max(run_s * DEADLINE_SLACK_MIN),
                    _ => within,
                })
            })
            .min_by(f64::total_cmp)
    }

    /// Decides which machines are needed, rents what lacks and lets go of what is too many.
    fn size(&mut self, now: Time) {
        for class in self.classes.values_mut() {
            class.pending = 0.0;
            class.bound = 0.0;
        }
        for job in self.jobs.values().filter(|j| j.ended.is_none()) {
            let waiting = if job.not_before > now {
                0
            } else {
                job.pending()
            };
            if let Some(class) = self.classes.get_mut(&*job.class) {
                class.pending += f64::from(waiting);
                class.bound += f64::from(job.bound);
            }
        }
        for (name, class) in &mut self.classes {
            let (run_s, seen) = self.expected.borrow().run(name);
            let expected = class.estimate_s.get().unwrap_or(1.0);
            class.run_s = (run_s * seen + expected * RUNS_MIN) / (seen + RUNS_MIN);
        }
        let mut units = self.units(now);
        let mut rents = Rents::new();
        let there = self.pool_counts();
        for (name, own) in self.overlooked(&units, now) {
            if let Some(class) = self.classes.get_mut(&*name) {
                class.pending -= own.pending;
            }
            let (tasks, class) = (own.pending, &own);
            let want = Want {
                full: tasks,
                lean: tasks,
                rent: tasks,
            };
            self.cover(class, want, &mut units, &there, &mut rents, now);
        }
        let mut classes: Vec<Class> = self.classes.values().cloned().collect();
        // Work that takes most of a machine chooses first, then what has least choice.
        classes.sort_by_key(|c| {
            let large = self.is_large_class(c);
            let kinds = self.kinds(&c.spec).len();
            (!large, kinds, c.spec.class.clone())
        });
        for class in &classes {
            let want = self.want(class, now);
            tracing::debug!(
                "{}: {} wait, {} run, {:.0} s each; wanted {want:?}",
                class.spec.class,
                class.pending,
                class.bound,
                class.run_s()
            );
            self.cover(class, want, &mut units, &there, &mut rents, now);
        }
        for unit in &units {
            let Some(m) = unit.ix.and_then(|ix| self.fleet.machines.get_mut(&ix)) else {
                continue;
            };
            if unit.taken {
                m.draining = false;
                // Small tasks on a machine that is wanted for large work run out there.
                m.role = if unit.large {
                    Role::Large
                } else {
                    Role::Shared
                };
            }
        }
        for class in classes.iter().filter(|c| c.pending > 0.0) {
            if self.is_large_class(class) {
                self.make_room(class, &units, now);
            }
        }
        self.let_go(&units, now);
        if tracing::enabled!(tracing::Level::DEBUG) {
            self.log_fleet();
        }
        if self.cloud.rents.is_empty() && self.knows_fleet(now) {
            for ((pool, role), count) in rents {
                let mut left = count;
                while left > 0 {
                    let count = left.min(RENT_MAX);
                    left -= count;
                    self.cloud.next_request += 1;
                    let rent = Rent {
                        request: format!("r-{}-{}", self.token, self.cloud.next_request),
                        type_name: self.types[pool.type_ix].name.clone(),
                        zone: pool.zone.to_string(),
                        spot: pool.spot,
                        count,
                    };
                    tracing::info!("renting {rent:?}");
                    self.cloud.rents.push_back((rent, role));
                }
            }
        }
    }

    /// Jobs that the means of their class tell nothing of, and that have waited for long: tasks
    /// larger than usual, or a gang for a single zone where the class has several. By the mean
    /// there was room for them all the time, and one once waited for ever.
    fn overlooked(&self, units: &[Unit], now: Time) -> Vec<(Rc<str>, Class)> {
        let waits = |job: &&Job| {
            let begun = job.bound + job.done > 0;
            !begun && job.not_before <= now && now - job.since > BEGIN_S * OVERLOOKED
        };
        let jobs = self.active.iter().map(|ix| &self.jobs[ix]).filter(waits);
        let mut found: Vec<(Rc<str>, Class)> = jobs
            .filter_map(|job| {
                let class = self.classes.get(&*job.class)?;
                let zone = self.zone_for(job, units, now);
                let usual = job.amount().fits(class.amount);
                (!usual || zone.is_some()).then(|| {
                    let mut spec = (*job.spec).clone();
                    spec.zone = zone.or(spec.zone);
                    let own = Class {
                        spec: Rc::new(spec),
                        amount: job.amount(),
                        pending: f64::from(job.pending()),
                        bound: 0.0,
                        ..class.clone()
                    };
                    (job.class.clone(), own)
                })
            })
            .take(OVERLOOKED_MAX)
            .collect();
        // Those that take most choose first.
        found.sort_by(|a, b| b.1.amount.cpus.total_cmp(&a.1.amount.cpus));
        found
    }

    /// In which of several zones there is or may be most room for a gang that must be in one.
    fn zone_for(&self, job: &Job, units: &[Unit], now: Time) -> Option<String> {
        let spec = &job.spec;
        if !job.is_gang() || !spec.one_zone || spec.zone.is_some() {
            return None;
        }
        let kinds = self.kinds(spec);
        let mut zones: BTreeMap<&str, f64> = BTreeMap::new();
        for (type_ix, spot) in &kinds {
            for zone in &self.types[*type_ix].zones {
                let pool = PoolKey {
                    type_ix: *type_ix,
                    spot: *spot,
                    zone: zone.as_str().into(),
                };
                let refuses = |p: &Pool| p.refused_until > now || p.backoff_s > 0.0;
                let open = !self.cloud.pools.get(&pool).is_some_and(refuses);
                *zones.entry(zone).or_default() += f64::from(u8::from(open)) * 0.5;
            }
        }
        for unit in units
            .iter()
            .filter(|u| kinds.contains(&(u.type_ix, u.spot)))
        {
            if let Some(room) = zones.get_mut(&*unit.zone) {
                *room += tasks_that_fit(job.amount(), self.capacity_of(unit.type_ix));
            }
        }
        if zones.len() < 2 {
            return None;
        }
        let most = zones.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        most.map(|(zone, _)| zone.to_owned())
    }

    /// Whether a new leader knows well enough what is there to rent more: it once rented a second
    /// fleet before it had heard of the first.
    fn knows_fleet(&self, now: Time) -> bool {
        let d = &self.config.deployment;
        let settle_s = (d.workers.report_s * SETTLE_REPORTS).max(d.cloud.list_lag_s);
        self.cloud.listed
            && (self.cloud.fresh || now - self.began >= settle_s || self.has_heard_most())
    }

    /// Whether nearly all machines that are up were heard, but for zones that seem to be cut off.
    fn has_heard_most(&self) -> bool {
        let machines = self.fleet.machines.values();
        let up = machines.filter(|m| m.heard.or(m.listed_running).is_some() && !self.is_cut_off(m));
        let (heard, all) = up.fold((0, 0), |(heard, all), m| {
            (heard + usize::from(m.is_up()), all + 1)
        });
        all > 0 && heard as f64 >= all as f64 * HEARD_SHARE
    }

    /// How much of which kind is there and used.
    fn log_fleet(&self) {
        let slots = || self.fleet.machines.values().flat_map(|m| m.slots.values());
        let in_state = |state| slots().filter(|s| !s.over && s.state == state).count();
        tracing::debug!(
            "{} attempts not seen yet, {} fetch, {} run, {} completed",
            in_state(None),
            in_state(Some(TaskState::Fetching)),
            in_state(Some(TaskState::Running)),
            slots().filter(|s| s.over).count()
        );
        let mut kinds: BTreeMap<(usize, bool), [f64; 4]> = BTreeMap::new();
        for m in self.fleet.machines.values() {
            let Some(type_ix) = m.type_ix else { continue };
            let k = kinds.entry((type_ix, m.spot)).or_default();
            k[usize::from(m.is_up())] += 1.0;
            k[2] += f64::from(u8::from(m.draining));
            if m.is_up() {
                k[3] += m.used.largest_share(m.capacity);
            }
        }
        let count = |f: fn(&crate::fleet::Machine) -> bool| {
            self.fleet.machines.values().filter(|m| f(m)).count()
        };
        tracing::debug!(
            "{} skipped a report, {} deaf",
            count(|m| m.skips > 0),
            count(|m| m.deaf_since.is_some())
        );
        for ((type_ix, spot), [coming, up, draining, used]) in kinds {
            tracing::debug!(
                "{} spot {spot}: {coming} coming, {up} up, {draining} draining, {used:.1} used",
                self.types[type_ix].name
            );
        }
    }

    fn kinds(&self, spec: &Submission) -> Vec<(usize, bool)> {
        let mut kinds = Vec::new();
        for (ix, t) in self.types.iter().enumerate() {
            if type_allowed(spec, t) {
                kinds.push((ix, false));
                if spec.spot {
                    kinds.push((ix, true));
                }
            }
        }
        kinds
    }

    /// Below which priority jobs may borrow machines of a type that are kept for large work: those
    /// that all such work may stop. None while large work waits for such machines.
    pub(crate) fn lend_below(&self, type_ix: usize) -> Option<Priority> {
        let t = &self.types[type_ix];
        let large =
            |spec: &Submission| type_allowed(spec, t) && self.is_large_on(amount(spec), type_ix);
        let waits = self.active.iter().any(|ix| large(&self.jobs[ix].spec));
        if waits {
            return None;
        }
        self.classes
            .values()
            .filter(|c| large(&c.spec))
            .map(|c| c.spec.priority)
            .min()
    }

    pub(crate) fn is_large_on(&self, amount: Amount, type_ix: usize) -> bool {
        amount.largest_share(self.capacity_of(type_ix)) > self.config.tunables.large_share
    }

    fn is_large_class(&self, class: &Class) -> bool {
        let kinds = self.kinds(&class.spec);
        !kinds.is_empty()
            && kinds
                .iter()
                .all(|(t, _)| self.is_large_on(class.amount, *t))
    }

    /// For how many tasks of a class at once there should be machines.
    fn want(&self, class: &Class, now: Time) -> Want {
        let spec = &class.spec;
        let boot_s = self
            .kinds(spec)
            .iter()
            .map(|(t, _)| self.types[*t].boot_s)
            .fold(f64::INFINITY, f64::min);
        let wait = self.tightest_wait(spec);
        let finish = self.tightest_finish(class);
        let run_s = class.run_s();
        let needed = class.bound + class.pending;
        let name = class_name(spec);
        let expected = self.expected.borrow();
        let rate = expected.rate(&name, now) * class.job_tasks();
        let mut level = rate * run_s;
        if expected.is_young(now) {
            // After all controllers crashed little is known: what runs tells what came.
            level = level.max(class.bound);
        }
        let tight = wait < boot_s * TIGHT_BOOTS;
        // What waits is to be worked off in good time.
        let within = if tight { f64::INFINITY } else { wait }.min(finish.unwrap_or(f64::INFINITY));
        let horizon = if within.is_finite() {
            within * BACKLOG_SHARE
        } else {
            boot_s * BACKLOG_BOOTS
        };
        // The level covers what comes meanwhile. Work may wait a little: only what would wait for
        // longer asks for more, and not for as much as would be idle a moment later.
        let flow = level.max(class.bound) / run_s;
        let enough = |waits: f64, within: f64| {
            let late = (waits - flow * horizon * QUEUE_SHARE).max(0.0);
            level + late * run_s / within
        };
        // What is there stays while much waits; what is rented finds what will wait by then.
        let comes = expected.recent(&name, now) * class.job_tasks();
        let found = class.pending + (comes - class.bound / run_s) * boot_s;
        let mut rent = enough(found, horizon);
        let mut lean = enough(class.pending, horizon * KEEP_SHARE).max(rent);
        if self.is_large_class(class) && wait.is_finite() {
            lean = self.large_lean(class, wait, now);
            rent = lean;
        }
        let mut full = needed.max(level);
        if tight && !self.turns_over(class, wait) {
            // Nothing rented now would be up in time: machines must be there before the work.
            let ratio = self.config.tunables.spare_ratio;
            if run_s >= boot_s {
                // Beyond what is usual, machines that come free are enough of a reserve.
                let usual = level + (level * class.job_tasks()).sqrt();
                full = needed.max((needed + ratio * rate * boot_s).min(usual));
                lean = full;
                rent = full;
            } else {
                full = full.max(level + ratio * (level * class.job_tasks()).sqrt());
            }
        }
        // Never nothing: what waits must run some time, however little it is. And never more than
        // there is: at a start all of a crowd once asked for three times as much.
        let bounded = |tasks: f64| tasks.min(full).round().max(needed.min(1.0));
        Want {
            full: full.ceil(),
            lean: bounded(lean),
            rent: bounded(rent),
        }
    }

    /// Whether small tasks end so often that a job of a class finds places in time on machines
    /// that are all in use: what it waits for at most is the work before it in the order.
    fn turns_over(&self, class: &Class, wait: f64) -> bool {
        if self.is_large_class(class) {
            return false;
        }
        let small = self.classes.values().filter(|c| !self.is_large_class(c));
        let ends: f64 = small.map(|c| c.bound * c.amount.cpus / c.run_s()).sum();
        ends * wait * TURNOVER_SHARE >= class.job_tasks() * class.amount.cpus
    }

    /// How many large tasks need machines even if those are dear: what cheap ones can't start in
    /// time, one after the other.
    fn large_lean(&self, class: &Class, wait: f64, now: Time) -> f64 {
        let name = class_name(&class.spec);
        let cheapest = self.cheapest(&class.spec);
        let cheap = self
            .fleet
            .machines
            .values()
            .filter(|m| !m.leaving && !m.suspect && m.notice.is_none())
            .filter(|m| {
                m.type_ix.is_some_and(|t| {
                    let per_machine = tasks_that_fit(class.amount, self.capacity_of(t));
                    per_machine >= 1.0 && self.unit_price(t, m.spot) <= cheapest * CHEAP
                })
            })
            .count() as f64;
        let oldest = self
            .active
            .iter()
            .map(|ix| &self.jobs[ix])
            .filter(|j| *j.class == name)
            .map(|j| now - j.since)
            .filter(|age| *age < wait)
            .fold(0.0, f64::max);
        let left = (wait * WAIT_SHARE - oldest).max(0.0);
        let in_time = (cheap * left / class.run_s()).floor();
        // Cheap machines come first in any case; dear ones are for what is beyond them.
        let late = (class.pending - in_time).max(0.0);
        if late > 0.0 { class.bound + late } else { 0.0 }
    }

    fn cheapest(&self, spec: &Submission) -> f64 {
        self.kinds(spec)
            .iter()
            .map(|(t, spot)| self.unit_price(*t, *spot))
            .fold(f64::INFINITY, f64::min)
    }

    /// The machines that are there or coming, cheapest and fullest first.
    fn units(&self, now: Time) -> Vec<Unit> {
        let t = &self.config.tunables;
        let mut units: Vec<Unit> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| !m.leaving && !m.suspect && m.notice.is_none())
            .filter(|(_, m)| !self.is_cut_off(m))
            .filter_map(|(ix, m)| {
                let type_ix = m.type_ix?;
                let late = !m.is_up() && now - m.rented > self.types[type_ix].boot_s * t.late_boots;
                let capacity = self.capacity_of(type_ix);
                (!late).then(|| Unit {
                    ix: Some(*ix),
                    type_ix,
                    spot: m.spot,
                    zone: m.zone.clone(),
                    room: capacity,
                    price: self.unit_price(type_ix, m.spot),
                    used: m.used.largest_share(capacity),
                    up: m.is_up(),
                    has_large: m.has_large(t.large_share),
                    has_small: !m.is_empty() && !m.has_large(t.large_share),
                    top: m
                        .slots
                        .iter()
                        .filter(|(_, slot)| !slot.over)
                        .map(|(key, _)| self.jobs[&key.job].spec.priority)
                        .max(),
                    large: false,
                    taken: false,
                })
            })
            .collect();
        units.sort_by(|a, b| {
            a.price
                .total_cmp(&b.price)
                .then(b.up.cmp(&a.up))
                .then(b.used.total_cmp(&a.used))
        });
        units
    }

    pub(crate) fn unit_price(&self, type_ix: usize, spot: bool) -> f64 {
        let t = &self.types[type_ix];
        let price = if spot { t.spot_price } else { t.price };
        price / t.cpus.max(1.0)
    }

    /// Finds machines for the tasks of a class: those there are, then rented ones.
    fn cover(
        &self,
        class: &Class,
        want: Want,
        units: &mut Vec<Unit>,
        there: &BTreeMap<PoolKey, u32>,
        rents: &mut Rents,
        now: Time,
    ) {
        let spec = &class.spec;
        let mut left = want;
        let kinds = self.kinds(spec);
        let large_class = self.is_large_class(class);
        let cheap = self.cheapest(spec) * CHEAP;
        let suits = |unit: &Unit| {
            kinds.contains(&(unit.type_ix, unit.spot))
                && spec.zone.as_ref().is_none_or(|z| **z == *unit.zone)
                && (!unit.taken || unit.large == large_class)
        };
        let take_from = |unit: &mut Unit, left: &mut Want| {
            let need = if unit.price <= cheap {
                left.full
            } else {
                left.lean
            };
            let fits = tasks_that_fit(class.amount, unit.room);
            if need <= 1e-6 || fits < 1.0 {
                return;
            }
            let take = fits.min(need);
            unit.room = unit.room.minus(class.amount.times(take));
            unit.taken = true;
            unit.large = large_class;
            left.full -= take;
            left.lean -= take;
            left.rent -= take;
        };
        // Machines that do such work already come first, then free ones, then, for large work,
        // those where small tasks would make way.
        let rank = |u: &Unit| match (large_class, u.has_large, u.has_small) {
            (true, true, _) | (false, false, true) => 0,
            (_, false, false) => 1,
            (true, false, true) if u.top < Some(spec.priority) => 2,
            (false, true, _) if u.used <= self.config.tunables.large_share => 1,
            _ => u8::MAX,
        };
        for pass in 0..3 {
            for unit in units.iter_mut().filter(|u| suits(u) && rank(u) == pass) {
                take_from(unit, &mut left);
            }
        }
        loop {
            let (cheap_only, need) = if left.full > 1e-6 && left.full > left.lean {
                (true, left.full)
            } else {
                (false, left.lean.min(left.rent))
            };
            if need <= 1e-6 {
                return;
            }
            let limit = if cheap_only { cheap } else { f64::INFINITY };
            let Some((pool, per_machine, room)) =
                self.best_pool(class, need, limit, there, rents, now)
            else {
                if cheap_only {
                    left.full = left.lean;
                    continue;
                }
                if large_class {
                    // Nothing more to be had: the least busy machines of small work turn.
                    let mut order: Vec<usize> = (0..units.len()).collect();
                    order.sort_by(|a, b| units[*a].used.total_cmp(&units[*b].used));
                    for at in order {
                        if suits(&units[at]) && units[at].has_small {
                            take_from(&mut units[at], &mut left);
                        }
                    }
                }
                return;
            };
            let machines = (need / per_machine)
                .ceil()
                .min(f64::from(room.min(RENT_MAX)));
            let role = if large_class {
                Role::Large
            } else {
                Role::Shared
            };
            *rents.entry((pool.clone(), role)).or_insert(0) += machines as u32;
            for _ in 0..machines as u32 {
                let take = per_machine.min(need);
                let capacity = self.capacity_of(pool.type_ix);
                units.push(Unit {
                    ix: None,
                    type_ix: pool.type_ix,
                    spot: pool.spot,
                    zone: pool.zone.clone(),
                    room: capacity.minus(class.amount.times(take)),
                    price: self.unit_price(pool.type_ix, pool.spot),
                    used: 0.0,
                    up: false,
                    has_large: false,
                    has_small: false,
                    top: None,
                    large: large_class,
                    taken: true,
                });
                left.full -= take;
                left.lean -= take;
                left.rent -= take;
            }
        }
    }

    /// How many machines of each pool there are.
    fn pool_counts(&self) -> BTreeMap<PoolKey, u32> {
        let mut counts = BTreeMap::new();
        for m in self.fleet.machines.values() {
            let Some(type_ix) = m.type_ix else { continue };
            let key = PoolKey {
                type_ix,
                spot: m.spot,
                zone: m.zone.clone(),
            };
            *counts.entry(key).or_insert(0) += 1;
        }
        counts
    }

    /// Where machines for `left` tasks of a class cost least, among pools that have room as far as
    /// known: the pool, the tasks that fit on a machine, and how many machines may be asked for.
    fn best_pool(
        &self,
        class: &Class,
        left: f64,
        limit: f64,
        there: &BTreeMap<PoolKey, u32>,
        rents: &Rents,
        now: Time,
    ) -> Option<(PoolKey, f64, u32)> {
        let shunned = |zone: &str| self.zones.is_shunned(zone);
        let kinds = self.kinds(&class.spec);
        let elsewhere = kinds.iter().any(|(t, _)| {
            let mut zones = self.types[*t].zones.iter();
            zones.any(|z| !shunned(z) && class.spec.zone.as_ref().is_none_or(|only| only == z))
        });
        let mut best: Option<(f64, u32, PoolKey, f64, u32)> = None;
        for (type_ix, spot) in kinds {
            let t = &self.types[type_ix];
            let per_machine = tasks_that_fit(class.amount, self.capacity_of(type_ix));
            if per_machine < 1.0 || self.unit_price(type_ix, spot) > limit {
                continue;
            }
            let each = if spot { t.spot_price } else { t.price };
            let cost = (left / per_machine).ceil() * each;
            for zone in &t.zones {
                if class.spec.zone.as_ref().is_some_and(|z| z != zone)
                    || (elsewhere && shunned(zone))
                {
                    continue;
                }
                let pool = PoolKey {
                    type_ix,
                    spot,
                    zone: zone.as_str().into(),
                };
                let asked: u32 = [Role::Shared, Role::Large]
                    .iter()
                    .filter_map(|role| rents.get(&(pool.clone(), *role)))
                    .sum();
                let count = there.get(&pool).copied().unwrap_or(0) + asked;
                let room = match self.cloud.pools.get(&pool) {
                    Some(p) if p.refused_until > now => p.limit.saturating_sub(count),
                    // One request tells whether it has room again.
                    Some(p) if p.backoff_s > 0.0 => RENT_MAX.saturating_sub(asked),
                    _ => u32::MAX,
                };
                if room == 0 {
                    continue;
                }
                let better = best
                    .as_ref()
                    .is_none_or(|(c, n, ..)| (cost, count) < (*c, *n));
                if better {
                    best = Some((cost, count, pool, per_machine, room));
                }
            }
        }
        best.map(|(.., pool, per_machine, room)| (pool, per_machine, room))
    }

    /// Drains and returns machines that have not been needed for a while.
    fn let_go(&mut self, units: &[Unit], now: Time) {
        let idle_ratio = self.config.tunables.idle_ratio;
        let mut back = Vec::new();
        let mut moves = Vec::new();
        // What is free on machines that stay.
        let stay = units.iter().filter(|u| u.taken && u.up && !u.large);
        let mut free = stay
            .filter_map(|u| self.fleet.machines.get(&u.ix?))
            .map(|m| (m.capacity.cpus - m.used.cpus).max(0.0))
            .sum::<f64>()
            * MOVE_ROOM;
        for unit in units {
            let Some(ix) = unit.ix else { continue };
            let Some(m) = self.fleet.machines.get_mut(&ix) else {
                continue;
            };
            if unit.taken {
                m.surplus_since = None;
                continue;
            }
            let since = *m.surplus_since.get_or_insert(now);
            if !m.is_up() || now - since < self.types[unit.type_ix].boot_s * idle_ratio {
                continue;
            }
            let paid = now - m.rented > CHARGED_S * 0.95;
            if m.is_empty() {
                if paid && m.slots.is_empty() {
                    back.push(ix);
                }
            } else {
                // Nothing new goes there, so that it can be returned.
                m.draining = true;
                if paid && m.used.cpus <= free && m.all_saves(&self.jobs) {
                    free -= m.used.cpus;
                    moves.push(ix);
                }
            }
        }
        for ix in moves {
            self.move_off(ix);
        }
        for ix in back {
            self.give_back(ix, "not needed");
        }
    }

    /// Lets what runs on a machine save, to go on elsewhere. At the end of a day a single long task
    /// on each of a hundred machines once held them all for minutes.
    fn move_off(&mut self, ix: MachineIx) {
        let Some(m) = self.fleet.machines.get_mut(&ix) else {
            return;
        };
        for (key, slot) in m.slots.iter_mut().filter(|(_, s)| !s.over) {
            slot.stop.get_or_insert(self.jobs[&key.job].spec.save_s);
        }
        m.direct_wanted = true;
        self.fleet.calls.insert(ix);
    }

    /// The next call to make, if one is due.
    pub fn next_cloud_call(&mut self, now: Time) -> Option<CloudCall> {
        let w = &self.config.deployment.workers;
        let lag = self.config.deployment.cloud.list_lag_s;
        if !self.cloud.deletes.is_empty() {
            let names: Vec<String> = self
                .cloud
                .deletes
                .iter()
                .filter_map(|ix| self.fleet.machines.get(ix))
                .map(|m| m.name.to_string())
                .take(DELETE_MAX)
                .collect();
            if !names.is_empty() {
                return Some(CloudCall::Delete(names));
            }
            self.cloud.deletes.clear();
        }
        if let Some((rent, role)) = self.cloud.rents.front() {
            return Some(CloudCall::Rent(rent.clone(), *role));
        }
        if let Some(after) = &self.cloud.list_after {
            return Some(CloudCall::List {
                after: after.clone(),
            });
        }
        if now >= self.cloud.list_at {
            self.cloud.list_at = now + (lag * LIST_LAGS).max(w.report_s);
            return Some(CloudCall::List {
                after: String::new(),
            });
        }
        if now >= self.cloud.types_at {
            self.cloud.types_at = now + w.lease_s * TYPES_LEASES;
            return Some(CloudCall::Types);
        }
        None
    }

    /// Takes in what came of a call.
    pub fn on_cloud(&mut self, call: CloudCall, answer: CloudAnswer, now: Time) {
        match (call, answer) {
            // Prices change; the types themselves stay while a tenure lasts.
            (CloudCall::Types, CloudAnswer::Types(types)) if self.same_types(&types) => {
                self.types = Rc::new(types);
            }
            (CloudCall::List { .. }, CloudAnswer::List(machines, more)) => {
                self.cloud.list_after = more
                    .then(|| machines.last().map(|m| m.id.clone()))
                    .flatten();
                for listed in &machines {
                    self.on_listed(listed, now);
                }
                if !more && !self.cloud.listed {
                    self.cloud.listed = true;
                    self.cloud.fresh = self.fleet.machines.is_empty();
                }
            }
            (CloudCall::List { .. }, _) => self.cloud.list_after = None,
            (CloudCall::Rent(rent, role), CloudAnswer::Rented(names)) => {
                self.cloud.rents.pop_front();
                self.on_rented(&rent, role, &names, now);
            }
            (CloudCall::Rent(rent, _), CloudAnswer::NoCapacity) => {
                self.cloud.rents.pop_front();
                self.refused(&rent, now);
            }
            (CloudCall::Delete(names), CloudAnswer::Deleted) => {
                for name in names {
                    if let Some(ix) = self.fleet.find(&name) {
                        self.cloud.deletes.retain(|d| *d != ix);
                        self.machine_gone(ix, now);
                    }
                    self.cloud.note_returned(name.into());
                }
            }
            _ => {}
        }
    }

    fn same_types(&self, types: &[MachineType]) -> bool {
        types.len() == self.types.len()
            && types
                .iter()
                .zip(&*self.types)
                .all(|(a, b)| a.name == b.name)
    }

    fn pool_of(&self, rent: &Rent) -> Option<PoolKey> {
        Some(PoolKey {
            type_ix: self.type_by_name(&rent.type_name)?,
            spot: rent.spot,
            zone: rent.zone.as_str().into(),
        })
    }

    /// A pool has no more to give now. Further requests to it are dropped: at some hundred machines
    /// in requests of 50 they once kept the cloud's few calls from all other pools.
    fn refused(&mut self, rent: &Rent, now: Time) {
        let Some(key) = self.pool_of(rent) else {
            return;
        };
        self.cloud.rents.retain(|(queued, _)| {
            (&queued.type_name, &queued.zone, queued.spot)
                != (&rent.type_name, &rent.zone, rent.spot)
        });
        let boot_s = self.types[key.type_ix].boot_s;
        let there = self.pool_counts().get(&key).copied().unwrap_or(0);
        let pool = self.cloud.pools.entry(key).or_default();
        pool.backoff_s = (pool.backoff_s * 2.0)
            .max(boot_s * REFUSED_BOOTS)
            .min(boot_s * REFUSED_BOOTS_MAX);
        pool.refused_until = now + pool.backoff_s;
        pool.limit = there;
        self.cloud.sized_at = f64::NEG_INFINITY;
    }

    fn on_rented(&mut self, rent: &Rent, role: Role, names: &[String], now: Time) {
        let type_ix = self.type_by_name(&rent.type_name);
        for name in names {
            let known = self.fleet.find(name).is_some();
            let ix = self.fleet.enter(name, &rent.zone, now);
            let capacity = type_ix.map(|t| self.capacity_of(t)).unwrap_or_default();
            if let Some(m) = self.fleet.machines.get_mut(&ix) {
                if !known {
                    m.type_ix = type_ix;
                    m.capacity = capacity;
                    m.spot = rent.spot;
                    m.rented = now;
                }
                m.role = role;
            }
        }
        if (names.len() as u32) < rent.count {
            self.refused(rent, now);
        } else if let Some(pool) = self
            .pool_of(rent)
            .and_then(|k| self.cloud.pools.get_mut(&k))
        {
            pool.backoff_s = 0.0;
        }
    }

    fn on_listed(&mut self, listed: &ListedMachine, now: Time) {
        if self.cloud.is_returned(&listed.id) {
            return;
        }
        let type_ix = self.type_by_name(&listed.type_name);
        let capacity = type_ix.map(|t| self.capacity_of(t)).unwrap_or_default();
        let ix = self.fleet.enter(&listed.id, &listed.zone, now);
        let Some(m) = self.fleet.machines.get_mut(&ix) else {
            return;
        };
        m.addr = m.addr.or_else(|| listed.addr.parse().ok());
        m.listed_at = Some(now);
        if m.type_ix.is_none() {
            m.type_ix = type_ix;
            m.capacity = capacity;
            m.spot = listed.spot;
        }
        // A machine that was first heard of by its own report was rented before that.
        m.rented = m.rented.min(now - listed.age_s);
        match listed.state {
            MachineState::Booting => {}
            MachineState::Running => {
                m.listed_running.get_or_insert(now);
                if m.heard.is_none() {
                    m.direct_wanted = true;
                    self.fleet.calls.insert(ix);
                }
            }
            MachineState::Failed => self.give_back(ix, "failed"),
        }
    }
}

/// How many tasks fit into a room.
pub(crate) fn tasks_that_fit(task: Amount, room: Amount) -> f64 {
    let per = |room: f64, task: f64| {
        if task > 1e-9 {
            ((room + 1e-6) / task).floor().max(0.0)
        } else {
            f64::INFINITY
        }
    };
    per(room.cpus, task.cpus)
        .min(per(room.gpus, task.gpus))
        .min(per(room.memory_gb, task.memory_gb))
        .min(1e6)
}
