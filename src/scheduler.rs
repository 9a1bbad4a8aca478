//! In which order jobs are placed, and on which machines each task is allowed. Which of those it
//! gets is for the pricing rule to say.

use std::collections::HashMap;
use std::rc::Rc;

use crate::autoscale::tasks_that_fit;
use crate::fleet::{Machine, Role, cache_of};
use crate::images::fetch_s;
use crate::jobs::{Job, JobIndex, MachineIndex, amount, rank};
use crate::leader::{Leader, type_allowed};
use crate::picker::{Picker, Tier};
use crate::pricing::{Amount, Candidate};
use crate::rt::Time;
use crate::wire::{Priority, Submission};

/// Run times of tasks vary: so much of the mean is reckoned with.
const RUN_MARGIN: f64 = 1.3;
/// The largest work is to begin within this time, the users say.
pub(crate) const BEGIN_S: f64 = 240.0;
/// In which part of that time machines are gathered for a gang, and after what part again.
/// Earlier, the small gangs that wait meanwhile cost more than the large one gains.
const GATHER: std::ops::Range<f64> = 0.75..1.5;
const GATHER_AGAIN: f64 = 1.75;
/// Holes are kept for tasks that take at most this part of a machine: others would leave too much
/// of it unused for too long.
const HOLE_SHARE_MAX: f64 = 0.125;
/// An image is near if it is there within this part of a task's run time, or of the time in which
/// it is to start.
const NEAR_SHARE: f64 = 0.1;
/// A machine is asked for an image if that takes at most so many times as long as fetching it alone,
/// and this part of what the job has waited already.
const FETCH_QUEUE: f64 = 1.5;
const FETCH_PATIENCE: f64 = 0.2;
/// An image to be fetched counts as so many times as far.
const FETCH_WEIGHT: f64 = 2.0;
/// A job that would take all machines for a second comes so many seconds later in the order.
const SIZE_WEIGHT: f64 = 60.0;
/// But not by more than this part of the time within which the largest are to begin: on a small fleet
/// they would wait for ever.
const SIZE_SHARE_MAX: f64 = 0.25;
/// Work that missed its objectives is due after so many times the longest of them.
const OVERDUE: f64 = 3.0;

/// A machine as one placement pass sees it.
struct Place {
    index: MachineIndex,
    zone: Rc<str>,
    spot: bool,
    type_index: usize,
    role: Role,
    /// Jobs below this priority may borrow it although it is kept for large work.
    lend_below: Option<Priority>,
    /// What a CPU costs there.
    cost: f64,
    /// Kept for a gang that has waited long for enough machines.
    kept: bool,
    now: Candidate,
}

/// Work that found no room in a pass: no more of its kind needs to be tried there.
struct NoRoom {
    spec: Rc<Submission>,
    tasks: u32,
    /// There was room, but far from its image: this tells only of work with the same image.
    far: bool,
}

/// How the placement of a job went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placed {
    /// All that may run now has its place.
    All,
    /// There was no room for more.
    Full,
    /// What room there was is too far from the image.
    Far,
}

impl NoRoom {
    /// Whether it follows that so many tasks of another job find none either.
    fn tells(&self, spec: &Submission, tasks: u32) -> bool {
        let a = &self.spec;
        tasks >= self.tasks
            && (!self.far || a.image == spec.image)
            && amount(a).fits(amount(spec))
            && (a.priority, a.spot, a.one_zone, a.spread, &a.zone, &a.types)
                == (
                    spec.priority,
                    spec.spot,
                    spec.one_zone,
                    spec.spread,
                    &spec.zone,
                    &spec.types,
                )
    }
}

impl Leader {
    /// Places what can be placed. What it decides is launched once it is stored.
    pub fn plan(&mut self, now: Time) {
        if !std::mem::take(&mut self.changed) || self.active.is_empty() {
            return;
        }
        let mut places = self.places(now);
        if places.is_empty() {
            return;
        }
        let mut no_room: Vec<NoRoom> = Vec::new();
        let mut keeping = false;
        for index in self.order(now) {
            let job = &self.jobs[&index];
            let spec = job.spec.clone();
            let tasks = if job.is_gang() { spec.tasks } else { 1 };
            if no_room.iter().any(|n| n.tells(&spec, tasks)) {
                continue;
            }
            let placed = if self.jobs[&index].is_gang() {
                self.place_gang(index, &mut places, now)
            } else {
                self.place_array(index, &mut places, now)
            };
            if placed != Placed::All {
                if !self.jobs[&index].is_gang() {
                    self.hold_holes(index, &mut places);
                }
                if !keeping && self.gathers(&self.jobs[&index], now) {
                    keeping = self.keep_room(index, &mut places, now);
                }
                let far = placed == Placed::Far;
                no_room.push(NoRoom { spec, tasks, far });
            }
            if self.jobs[&index].pending() == 0 {
                self.active.remove(&index);
            }
        }
    }

    /// The open machines that have room for the smallest task that waits. In a crowd nearly all are
    /// full, and a pass over them for each waiting job once took all of the leader's share.
    fn places(&self, now: Time) -> Vec<Place> {
        let costs: Vec<[f64; 2]> = (0..self.types.len())
            .map(|t| [self.unit_price(t, false), self.unit_price(t, true)])
            .collect();
        let waiting = self.active.iter().map(|index| self.jobs[index].amount());
        let smallest = waiting.reduce(Amount::least).unwrap_or_default();
        let mut places: Vec<Place> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| smallest.fits(m.capacity.minus(m.used)) && self.is_open(m, now))
            .filter_map(|(index, m)| {
                let type_index = m.type_index?;
                Some(Place {
                    index: *index,
                    zone: m.zone.clone(),
                    spot: m.spot,
                    type_index,
                    role: m.role,
                    lend_below: None,
                    cost: costs[type_index][usize::from(m.spot)],
                    kept: false,
                    now: Candidate {
                        capacity: m.capacity,
                        used: m.used,
                        price: m.price,
                    },
                })
            })
            .collect();
        let mut lend: HashMap<usize, Option<Priority>> = HashMap::new();
        for place in places.iter_mut().filter(|p| p.role != Role::Shared) {
            let type_index = place.type_index;
            let below = lend.entry(type_index);
            let below = *below.or_insert_with(|| self.lend_below(type_index));
            let surplus = |m: &Machine| m.surplus_since.is_some();
            place.lend_below = below.filter(|_| !surplus(&self.fleet.machines[&place.index]));
        }
        places
    }

    /// Counts which part of the machines has or fetches each image.
    pub(crate) fn count_images(&mut self, now: Time) {
        let mut spread: HashMap<Rc<str>, f64> = HashMap::new();
        let open = self
            .fleet
            .machines
            .values()
            .filter(|m| self.is_open(m, now));
        let mut all: f64 = 0.0;
        for m in open {
            all += 1.0;
            for image in m.images.names() {
                match spread.get_mut(image) {
                    Some(n) => *n += 1.0,
                    None => {
                        spread.insert(image.clone(), 1.0);
                    }
                }
            }
        }
        for n in spread.values_mut() {
            *n /= all.max(1.0);
        }
        self.image_spread = spread;
    }

    /// Whether a machine may be given work: it has shown our token and nothing speaks against it.
    pub(crate) fn is_open(&self, m: &Machine, now: Time) -> bool {
        !self.is_quiet(m, now)
            && m.skips == 0
            && m.token >= self.token
            && !m.leaving
            && !m.draining
            && !m.suspect
            && m.notice.is_none()
            && m.cool_until <= now
    }

    /// When a job must be placed to meet the next of its class's objectives that it still can meet.
    ///
    /// Work whose moment has passed makes way for work that can still be in time, but not for
    /// ever: after a few times its longest objective it is due again.
    fn due(&self, job: &Job, now: Time) -> Time {
        let run_s = self.run_s(job) * RUN_MARGIN;
        let team = &self.config.deployment.teams[job.team];
        let guaranteed = team.cpus > 0.0 || team.gpus > 0.0;
        let mut next = f64::INFINITY;
        let mut longest: f64 = 0.0;
        for o in &self.config.deployment.objectives {
            let own = o.class.as_deref() == Some(&job.spec.class);
            let (within, takes_s) = match (o.kind.as_str(), o.within_s) {
                ("wait", Some(within)) if own => (within, 0.0),
                ("guarantee", Some(within)) if guaranteed => (within, 0.0),
                (kind, _) => match o.done_within(&job.spec) {
                    // A deadline comes from its owner's estimate, which tells of this job.
                    Some(within) if kind == "deadline" => {
                        (within, (run_s * job.spec.estimate_s.max(0.0)).sqrt())
                    }
                    Some(within) => (within, run_s),
                    None => continue,
                },
            };
            longest = longest.max(within);
            // An owner's deadline counts from the submission, however long the job waited.
            let from = if o.kind == "deadline" {
                job.submitted
            } else {
                job.since
            };
            let at = from + within - takes_s;
            if at > now {
                next = next.min(at);
            }
        }
        let at = job.needed_by - run_s;
        if at > now {
            next = next.min(at);
        }
        next.min(job.since + longest * OVERDUE)
    }

    /// By how much a job comes later in the order for its size: where not all can be in time, the
    /// same machines bring more small ones there.
    fn size_s(&self, job: &Job, fleet_cpus: f64) -> f64 {
        if job.is_gang() {
            return 0.0;
        }
        let left = f64::from(job.spec.tasks - job.done) * job.spec.cpus * self.run_s(job);
        (left / fleet_cpus.max(1.0) * SIZE_WEIGHT).min(BEGIN_S * SIZE_SHARE_MAX)
    }

    /// The jobs that wait, in the order in which they are placed: by priority, then gangs that
    /// machines are gathered for, then those within
    /// their team's guarantee, then by what is due first, then by age.
    pub(crate) fn order(&self, now: Time) -> Vec<JobIndex> {
        let teams = &self.config.deployment.teams;
        // What each team's earlier unfinished jobs may use of its guarantee.
        let mut claimed: HashMap<usize, Amount> = HashMap::new();
        let guaranteed = teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        let mut within: HashMap<JobIndex, bool> = HashMap::new();
        if guaranteed {
            let mut unfinished: Vec<&Job> = Vec::new();
            let mut ixs: Vec<(&JobIndex, &Job)> = self
                .jobs
                .iter()
                .filter(|(_, j)| j.ended.is_none() && !j.waits)
                .collect();
            ixs.sort_by_key(|(_, j)| j.order);
            unfinished.reserve(ixs.len());
            for (index, job) in ixs {
                let left = f64::from(job.spec.tasks - job.done);
                let claim = claimed.entry(job.team).or_default();
                *claim = claim.plus(job.amount().times(left));
                let team = &teams[job.team];
                let fits = |claim: f64, share: f64, own: f64| own <= 0.0 || claim <= share + 1e-6;
                within.insert(
                    *index,
                    (team.cpus > 0.0 || team.gpus > 0.0)
                        && fits(claim.cpus, team.cpus, job.spec.cpus)
                        && fits(claim.gpus, team.gpus, job.spec.gpus),
                );
            }
        }
        let fleet: f64 = self.fleet.machines.values().map(|m| m.capacity.cpus).sum();
        let mut order: Vec<(usize, bool, bool, i64, u64, JobIndex)> = self
            .active
            .iter()
            .filter_map(|index| {
                let job = self.jobs.get(index)?;
                (job.not_before <= now).then(|| {
                    (
                        3 - rank(job.spec.priority),
                        !self.gathers(job, now),
                        !within.get(index).copied().unwrap_or(false),
                        ((self.due(job, now) + self.size_s(job, fleet)) * 1000.0) as i64,
                        job.order,
                        *index,
                    )
                })
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., index)| index).collect()
    }

    /// Places what it can of an array's tasks; whether machines had room for them.
    fn place_array(&mut self, index: JobIndex, places: &mut [Place], now: Time) -> Placed {
        let job = &self.jobs[&index];
        let spec = job.spec.clone();
        let amount = job.amount();
        let team = job.team;
        let mut zones = Zones::new(&spec, self.zones_taken(index));
        let mut picker = self.picker(index, places, now, |_| true);
        let attempt = self.fresh_attempt();
        while self.jobs[&index].pending() > 0 {
            if !self.team_allows(team, amount) {
                return Placed::All;
            }
            let Some((at, after)) = picker.pick(|at| zones.allow(&places[at].zone)) else {
                return if picker.is_partial() {
                    Placed::Far
                } else {
                    Placed::Full
                };
            };
            let Some(task) = self.jobs.get_mut(&index).and_then(Job::take_pending) else {
                return Placed::All;
            };
            let place = &mut places[at];
            place.now = after;
            zones.add(&place.zone);
            self.bind_at(index, task, place, attempt, now);
        }
        Placed::All
    }

    /// All tasks of a gang are placed, or none; whether machines had room for all.
    fn place_gang(&mut self, index: JobIndex, places: &mut [Place], now: Time) -> Placed {
        let job = &self.jobs[&index];
        // Tasks of the former attempt keep their machines and zones until they are off.
        if job.bound > 0 || job.slots > 0 {
            return Placed::All;
        }
        let spec = job.spec.clone();
        let amount = job.amount();
        if !self.team_allows(job.team, amount.times(f64::from(spec.tasks))) {
            return Placed::All;
        }
        let mut only: Vec<Option<Rc<str>>> = vec![None];
        if spec.one_zone {
            let mut zones: Vec<Rc<str>> = places.iter().map(|p| p.zone.clone()).collect();
            zones.sort_unstable();
            zones.dedup();
            only = zones.into_iter().map(Some).collect();
        }
        for zone in only {
            let mut zones = Zones::new(&spec, HashMap::new());
            let here = |p: &Place| zone.as_ref().is_none_or(|z| *z == p.zone);
            let mut picker = self.picker(index, places, now, here);
            let mut chosen = Vec::new();
            while chosen.len() < spec.tasks as usize {
                let Some(picked) = picker.pick(|at| zones.allow(&places[at].zone)) else {
                    break;
                };
                zones.add(&places[picked.0].zone);
                chosen.push(picked);
            }
            if chosen.len() < spec.tasks as usize {
                continue;
            }
            let attempt = self.fresh_attempt();
            for (at, after) in chosen {
                let Some(task) = self.jobs.get_mut(&index).and_then(Job::take_pending) else {
                    return Placed::All;
                };
                places[at].now = after;
                self.bind_at(index, task, &places[at], attempt, now);
            }
            return Placed::All;
        }
        Placed::Full
    }

    /// Keeps what is free on some machines, and too little for a task that waits, from all that comes
    /// later in this pass: as many as there are such tasks. Small tasks once took each hole that
    /// came free on a full fleet, and urgent ones that take a little more waited for minutes.
    fn hold_holes(&self, index: JobIndex, places: &mut [Place]) {
        let job = &self.jobs[&index];
        let spec = &job.spec;
        let amount = job.amount();
        let mut left = job.pending();
        for p in places.iter_mut() {
            if left == 0 {
                return;
            }
            let share = amount.largest_share(p.now.capacity);
            if !p.kept
                && share <= HOLE_SHARE_MAX
                && type_allowed(spec, &self.types[p.type_index])
                && (spec.spot || !p.spot)
                && spec.zone.as_ref().is_none_or(|z| **z == *p.zone)
                && p.role == Role::Shared
            {
                p.kept = true;
                left -= 1;
            }
        }
    }

    /// Whether a gang has waited so long that machines are gathered for it. Not for ever: one that
    /// can't be placed then lets others go first for a while.
    fn gathers(&self, job: &Job, now: Time) -> bool {
        let waited = (now - job.since) / BEGIN_S;
        job.is_gang() && GATHER.contains(&(waited % GATHER_AGAIN))
    }

    /// Keeps the room that a gang could use from all that comes later in this pass, if there are
    /// machines enough for it in the end. Small gangs once took each large machine that came free,
    /// and those of sixteen tasks waited for minutes.
    fn keep_room(&self, index: JobIndex, places: &mut [Place], now: Time) -> bool {
        let job = &self.jobs[&index];
        let spec = &job.spec;
        let amount = job.amount();
        let suits = |type_index: usize, spot: bool, zone: &str, role: Role| {
            type_allowed(spec, &self.types[type_index])
                && (spec.spot || !spot)
                && spec.zone.as_ref().is_none_or(|z| z == zone)
                && (role == Role::Large || !self.is_large_on(amount, type_index))
        };
        let mut by_zone: HashMap<Rc<str>, usize> = HashMap::new();
        for m in self.fleet.machines.values() {
            let type_index = m.type_index.filter(|t| suits(*t, m.spot, &m.zone, m.role));
            if type_index.is_some() && self.is_open(m, now) {
                let fit = tasks_that_fit(amount, m.capacity) as usize;
                *by_zone.entry(m.zone.clone()).or_insert(0) += fit;
            }
        }
        let tasks = spec.tasks as usize;
        let zone = if spec.one_zone {
            let most = by_zone
                .into_iter()
                .max_by(|a, b| (a.1, &b.0).cmp(&(b.1, &a.0)));
            match most.filter(|(_, fit)| *fit >= tasks) {
                Some((zone, _)) => Some(zone),
                None => return false,
            }
        } else if by_zone.values().sum::<usize>() < tasks {
            return false;
        } else {
            None
        };
        for p in places.iter_mut() {
            let room = p.now.capacity.minus(p.now.used);
            let here = zone.as_ref().is_none_or(|z| *z == p.zone);
            let suits = suits(p.type_index, p.spot, &p.zone, p.role);
            p.kept = here && suits && amount.fits(room);
        }
        true
    }

    fn bind_at(&mut self, index: JobIndex, task: u32, place: &Place, attempt: u64, now: Time) {
        self.bind(index, task, place.index, attempt, now);
        if let Some(m) = self.fleet.machines.get_mut(&place.index) {
            m.price = place.now.price;
        }
    }

    /// The allowed machines of a job, for the pricing rule to choose among. Cheap ones with room
    /// come first, so that dear ones come free and can be returned; borrowed ones come last, as
    /// what runs there may have to make way.
    fn picker(
        &self,
        index: JobIndex,
        places: &[Place],
        now: Time,
        here: impl Fn(&Place) -> bool,
    ) -> Picker {
        let job = &self.jobs[&index];
        let spec = &job.spec;
        let amount = job.amount();
        let weight = self.config.tunables.weights[rank(spec.priority)];
        let types: Vec<TypeFor> = (0..self.types.len())
            .map(|t| TypeFor {
                allowed: type_allowed(spec, &self.types[t]),
                large: self.is_large_on(amount, t),
            })
            .collect();
        let allowed = |p: &Place| {
            let t = types[p.type_index];
            // Machines kept for large work are not sliced up by small tasks; large work may also
            // take a shared machine that has room for it.
            let lent = p.lend_below.is_some_and(|below| spec.priority < below);
            t.allowed
                && !p.kept
                && (spec.spot || !p.spot)
                && spec.zone.as_ref().is_none_or(|z| **z == *p.zone)
                && (t.large || p.role == Role::Shared || lent)
                && here(p)
        };
        // Machines where the job's tasks failed are left out if there are others.
        let healthy = |p: &Place| !job.failed_on.contains(&p.index);
        let any_healthy =
            job.failed_on.is_empty() || places.iter().any(|p| allowed(p) && healthy(p));
        let patience = Patience {
            gang: job.is_gang(),
            near_s: self.run_s(job).min(self.tightest_wait(spec)) * NEAR_SHARE,
            waited_s: now - job.since,
            spread: self.image_spread.get(&*spec.image).copied().unwrap_or(0.0),
        };
        let avoids_spot = self.is_step_with_deadline(job);
        let mut picker = Picker::new(self.rule, amount, weight);
        for (at, p) in places.iter().enumerate() {
            let room = p.now.capacity.minus(p.now.used);
            if !amount.fits(room) || !allowed(p) || (any_healthy && !healthy(p)) {
                continue;
            }
            let Some((far, asked)) = self.distance(p, spec, patience, now) else {
                picker.leave_out();
                continue;
            };
            let borrowed = p.role != Role::Shared && !types[p.type_index].large;
            let tier = Tier {
                revocable: avoids_spot && p.spot,
                far,
                borrowed,
            };
            picker.offer(at, tier, asked, p.cost, p.now);
        }
        picker
    }

    /// Whether a job is a step of a chain that has a deadline. A task that is lost with a spot machine starts anew, and
    /// of a step's many tasks one usually was: half of the late chains waited for that.
    pub(crate) fn is_step_with_deadline(&self, job: &Job) -> bool {
        let is_last = !job.spec.waits_on.is_empty() && job.spec.deadline_s.is_some();
        is_last || job.needed_by.is_finite()
    }

    /// How far a job's image is from a machine, now and once it was asked for. None if the machine
    /// is so busy with other images that others will have it sooner.
    fn distance(&self, p: &Place, spec: &Submission, by: Patience, now: Time) -> Option<(u8, u8)> {
        let Some(m) = self.fleet.machines.get(&p.index) else {
            return Some((0, 0));
        };
        let rest_s = m.images.rest_s(&spec.image, now);
        if by.gang {
            // Fetching the image may take longer than a gang should wait.
            let far = u8::from(rest_s.is_none());
            return Some((far, far));
        }
        let own_s = fetch_s(spec.image_gb, cache_of(&self.types[p.type_index]));
        let there_s = rest_s.unwrap_or_else(|| m.images.busy_s(now) + own_s);
        if there_s > own_s * FETCH_QUEUE + by.waited_s * FETCH_PATIENCE
            || (rest_s.is_none() && by.waited_s < own_s * by.spread)
        {
            return None;
        }
        let steps = |s: f64| {
            (s / by.near_s)
                .max(1.0)
                .log2()
                .ceil()
                .min(f64::from(u8::MAX)) as u8
        };
        let asked = steps(there_s);
        Some(match rest_s {
            Some(_) => (asked, asked),
            // What is fetched holds up what else the machine fetches, and takes room there.
            None => (steps(there_s * FETCH_WEIGHT), asked),
        })
    }

    /// In which zones tasks of a job are or may be, those of former attempts included.
    fn zones_taken(&self, index: JobIndex) -> HashMap<Rc<str>, u32> {
        let mut zones = HashMap::new();
        let spec = &self.jobs[&index].spec;
        if !spec.one_zone && !spec.spread {
            return zones;
        }
        for m in self.fleet.machines.values() {
            let n = m
                .slots
                .iter()
                .filter(|(key, slot)| key.job == index && !slot.over)
                .count();
            if n > 0 {
                *zones.entry(m.zone.clone()).or_insert(0) += n as u32;
            }
        }
        zones
    }
}

/// What waiting for an image means to a job.
#[derive(Clone, Copy)]
struct Patience {
    gang: bool,
    /// A wait that hardly matters.
    near_s: f64,
    waited_s: f64,
    /// The part of the machines that have the image: the more, the sooner one of them has room.
    spread: f64,
}

/// What a machine type is to a job.
#[derive(Clone, Copy)]
struct TypeFor {
    allowed: bool,
    large: bool,
}

/// Which zones a job's further tasks may go to.
struct Zones {
    one_zone: bool,
    most: Option<u32>,
    taken: HashMap<Rc<str>, u32>,
}

impl Zones {
    fn new(spec: &Submission, taken: HashMap<Rc<str>, u32>) -> Self {
        Zones {
            one_zone: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            taken,
        }
    }

    fn allow(&self, zone: &Rc<str>) -> bool {
        let elsewhere = self.taken.keys().any(|z| z != zone);
        let here = self.taken.get(zone).copied().unwrap_or(0);
        !(self.one_zone && elsewhere) && self.most.is_none_or(|most| here < most)
    }

    fn add(&mut self, zone: &Rc<str>) {
        if self.one_zone || self.most.is_some() {
            *self.taken.entry(zone.clone()).or_insert(0) += 1;
        }
    }
}
