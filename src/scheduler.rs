//! In which order jobs are placed, and on which machines each task is allowed. Which of those it
//! gets is for the pricing rule to say.

use std::collections::HashMap;
use std::rc::Rc;

use crate::book::{Job, JobIx, MachineIx, rank};
use crate::fleet::{Machine, Role};
use crate::lead::Lead;
use crate::pricing::{Amount, Candidate};
use crate::rt::Time;
use crate::wire::{Priority, Submission};

/// Run times of tasks vary: so much of the mean is reckoned with.
const RUN_MARGIN: f64 = 1.3;
/// Work that missed its objectives is due after so many times the longest of them.
const OVERDUE: f64 = 3.0;

/// A machine as one placement pass sees it.
struct Place {
    ix: MachineIx,
    zone: Rc<str>,
    spot: bool,
    type_ix: usize,
    role: Role,
    /// Jobs below this priority may borrow it although it is kept for large work.
    lend_below: Option<Priority>,
    /// What a CPU costs there.
    cost: f64,
    now: Candidate,
}

/// Machines that cost at most this much more than the cheapest allowed ones are tried first.
const CHEAP: f64 = 1.6;

impl Lead {
    /// Places what can be placed. What it decides is launched once it is stored.
    pub fn plan(&mut self, now: Time) {
        if !std::mem::take(&mut self.changed) || self.active.is_empty() {
            return;
        }
        let lend: Vec<Option<Priority>> = (0..self.types.len())
            .map(|type_ix| self.lend_below(type_ix))
            .collect();
        let mut places: Vec<Place> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| self.is_open(m, now))
            .filter_map(|(ix, m)| {
                Some(Place {
                    ix: *ix,
                    zone: m.zone.clone(),
                    spot: m.spot,
                    type_ix: m.type_ix?,
                    role: m.role,
                    lend_below: lend
                        .get(m.type_ix?)
                        .copied()
                        .flatten()
                        .filter(|_| m.surplus_since.is_none()),
                    cost: self.unit_price(m.type_ix?, m.spot),
                    now: Candidate {
                        capacity: m.capacity,
                        used: m.used,
                        price: m.price,
                    },
                })
            })
            .collect();
        if places.is_empty() {
            return;
        }
        for ix in self.order(now) {
            if self.jobs[&ix].is_gang() {
                self.place_gang(ix, &mut places, now);
            } else {
                self.place_array(ix, &mut places, now);
            }
            if self.jobs[&ix].pending() == 0 {
                self.active.remove(&ix);
            }
        }
        for p in &places {
            if let Some(m) = self.fleet.machines.get_mut(&p.ix) {
                m.price = p.now.price;
            }
        }
    }

    /// Whether a machine may be given work: it has shown our token and nothing speaks against it.
    fn is_open(&self, m: &Machine, now: Time) -> bool {
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
        let run_s = self.run_s(&job.spec) * RUN_MARGIN;
        let team = &self.config.deployment.teams[job.team];
        let guaranteed = team.cpus > 0.0 || team.gpus > 0.0;
        let mut next = f64::INFINITY;
        let mut longest: f64 = 0.0;
        for o in &self.config.deployment.objectives {
            let Some(within) = o.within_s else { continue };
            let own = o.class.as_deref() == Some(&job.spec.class);
            let latest = match o.kind.as_str() {
                "wait" if own => within,
                "guarantee" if guaranteed => within,
                "finished" if own => within - run_s,
                _ => continue,
            };
            longest = longest.max(within);
            let at = job.since + latest;
            if at > now {
                next = next.min(at);
            }
        }
        next.min(job.since + longest * OVERDUE)
    }

    /// The jobs that wait, in the order in which they are placed: by priority, then those within
    /// their team's guarantee, then by what is due first, then by age.
    pub(crate) fn order(&self, now: Time) -> Vec<JobIx> {
        let teams = &self.config.deployment.teams;
        // What each team's earlier unfinished jobs may use of its guarantee.
        let mut claimed: HashMap<usize, Amount> = HashMap::new();
        let guaranteed = teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        let mut within: HashMap<JobIx, bool> = HashMap::new();
        if guaranteed {
            let mut unfinished: Vec<&Job> = Vec::new();
            let mut ixs: Vec<(&JobIx, &Job)> = self
                .jobs
                .iter()
                .filter(|(_, j)| j.ended.is_none())
                .collect();
            ixs.sort_by_key(|(_, j)| j.order);
            unfinished.reserve(ixs.len());
            for (ix, job) in ixs {
                let left = f64::from(job.spec.tasks - job.done);
                let claim = claimed.entry(job.team).or_default();
                *claim = claim.plus(job.amount().times(left));
                let team = &teams[job.team];
                let fits = |claim: f64, share: f64, own: f64| own <= 0.0 || claim <= share + 1e-6;
                within.insert(
                    *ix,
                    (team.cpus > 0.0 || team.gpus > 0.0)
                        && fits(claim.cpus, team.cpus, job.spec.cpus)
                        && fits(claim.gpus, team.gpus, job.spec.gpus),
                );
            }
        }
        let mut order: Vec<(usize, bool, u64, u64, JobIx)> = self
            .active
            .iter()
            .filter_map(|ix| {
                let job = self.jobs.get(ix)?;
                (job.not_before <= now).then(|| {
                    (
                        3 - rank(job.spec.priority),
                        !within.get(ix).copied().unwrap_or(false),
                        (self.due(job, now).max(0.0) * 1000.0) as u64,
                        job.order,
                        *ix,
                    )
                })
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., ix)| ix).collect()
    }

    fn place_array(&mut self, ix: JobIx, places: &mut [Place], now: Time) {
        let job = &self.jobs[&ix];
        let spec = job.spec.clone();
        let amount = job.amount();
        let team = job.team;
        let weight = self.config.tunables.weights[rank(spec.priority)];
        let zones = self.zones_taken(ix);
        let mut zones = Zones::new(&spec, zones);
        let attempt = self.fresh_attempt();
        loop {
            if !self.team_allows(team, amount) {
                return;
            }
            let allowed: Vec<(usize, Candidate)> = places
                .iter()
                .enumerate()
                .filter(|(_, p)| self.is_allowed(&spec, amount, p) && zones.allow(&p.zone))
                .map(|(at, p)| (at, p.now))
                .collect();
            let allowed = self.without_failed(ix, allowed, places);
            let Some((at, price)) = self.choose(amount, weight, &allowed, places) else {
                return;
            };
            let Some(task) = self.jobs.get_mut(&ix).and_then(Job::take_pending) else {
                return;
            };
            let place = &mut places[at];
            place.now.price = price;
            place.now.used = place.now.used.plus(amount);
            zones.add(&place.zone);
            self.bind(ix, task, place.ix, attempt, now);
        }
    }

    /// All tasks of a gang are placed, or none.
    fn place_gang(&mut self, ix: JobIx, places: &mut [Place], now: Time) {
        let job = &self.jobs[&ix];
        // Tasks of the former attempt keep their machines and zones until they are off.
        if job.bound > 0 || job.slots > 0 {
            return;
        }
        let spec = job.spec.clone();
        let amount = job.amount();
        let weight = self.config.tunables.weights[rank(spec.priority)];
        if !self.team_allows(job.team, amount.times(f64::from(spec.tasks))) {
            return;
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
            let mut trial: Vec<Candidate> = places.iter().map(|p| p.now).collect();
            let mut chosen = Vec::new();
            for _ in 0..spec.tasks {
                let allowed: Vec<(usize, Candidate)> = places
                    .iter()
                    .enumerate()
                    .filter(|(_, p)| {
                        zone.as_ref().is_none_or(|z| *z == p.zone)
                            && self.is_allowed(&spec, amount, p)
                            && zones.allow(&p.zone)
                    })
                    .map(|(at, _)| (at, trial[at]))
                    .collect();
                let allowed = self.without_failed(ix, allowed, places);
                let allowed = self.with_image(&spec, amount, allowed, places);
                let Some((at, price)) = self.choose(amount, weight, &allowed, places) else {
                    break;
                };
                trial[at].price = price;
                trial[at].used = trial[at].used.plus(amount);
                zones.add(&places[at].zone);
                chosen.push(at);
            }
            if chosen.len() < spec.tasks as usize {
                continue;
            }
            let attempt = self.fresh_attempt();
            for at in chosen {
                let Some(task) = self.jobs.get_mut(&ix).and_then(Job::take_pending) else {
                    return;
                };
                places[at].now = trial[at];
                self.bind(ix, task, places[at].ix, attempt, now);
            }
            return;
        }
    }

    /// Chooses by the pricing rule, first among the cheap machines with room, so that dear ones
    /// come free and can be returned; then among all that are allowed.
    fn choose(
        &self,
        amount: Amount,
        weight: f64,
        allowed: &[(usize, Candidate)],
        places: &[Place],
    ) -> Option<(usize, f64)> {
        let fits = |c: &Candidate| amount.fits(c.capacity.minus(c.used));
        // Borrowed machines come last: what runs there may have to make way.
        let large =
            |c: &Candidate| amount.largest_share(c.capacity) > self.config.tunables.large_share;
        let own: Vec<(usize, Candidate)> = allowed
            .iter()
            .filter(|(at, c)| fits(c) && (places[*at].role == Role::Shared || large(c)))
            .copied()
            .collect();
        let allowed = if own.is_empty() { allowed } else { &own };
        let cheapest = allowed
            .iter()
            .filter(|(_, c)| fits(c))
            .map(|(at, _)| places[*at].cost)
            .fold(f64::INFINITY, f64::min);
        let cheap = allowed
            .iter()
            .filter(|(at, _)| places[*at].cost <= cheapest * CHEAP);
        self.rule
            .choose(amount, weight, cheap.copied())
            .or_else(|| self.rule.choose(amount, weight, allowed.iter().copied()))
    }

    /// Only the machines with room that have a gang's image already, if there are any: fetching it
    /// may take longer than the gang should wait.
    fn with_image(
        &self,
        spec: &Submission,
        amount: Amount,
        allowed: Vec<(usize, Candidate)>,
        places: &[Place],
    ) -> Vec<(usize, Candidate)> {
        let has = |at: usize| {
            let machine = self.fleet.machines.get(&places[at].ix);
            machine.is_some_and(|m| m.images.iter().any(|i| **i == *spec.image))
        };
        let near: Vec<(usize, Candidate)> = allowed
            .iter()
            .filter(|(at, c)| amount.fits(c.capacity.minus(c.used)) && has(*at))
            .copied()
            .collect();
        if near.is_empty() { allowed } else { near }
    }

    /// Leaves out machines where the job's tasks failed, if there are others.
    fn without_failed(
        &self,
        ix: JobIx,
        allowed: Vec<(usize, Candidate)>,
        places: &[Place],
    ) -> Vec<(usize, Candidate)> {
        let failed_on = &self.jobs[&ix].failed_on;
        if failed_on.is_empty() {
            return allowed;
        }
        let others: Vec<(usize, Candidate)> = allowed
            .iter()
            .filter(|(at, _)| !failed_on.contains(&places[*at].ix))
            .copied()
            .collect();
        if others.is_empty() { allowed } else { others }
    }

    /// Whether a task may go to a machine at all; room and price come after.
    fn is_allowed(&self, spec: &Submission, amount: Amount, p: &Place) -> bool {
        let by_job = (spec.spot || !p.spot)
            && spec.zone.as_ref().is_none_or(|z| **z == *p.zone)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&self.types[p.type_ix].name));
        // Machines kept for large work are not sliced up by small tasks; large work may also
        // take a shared machine that has room for it.
        let large = amount.largest_share(p.now.capacity) > self.config.tunables.large_share;
        let lent = p.lend_below.is_some_and(|below| spec.priority < below);
        by_job && (large || p.role == Role::Shared || lent)
    }

    /// In which zones tasks of a job are or may be, those of former attempts included.
    fn zones_taken(&self, ix: JobIx) -> HashMap<Rc<str>, u32> {
        let mut zones = HashMap::new();
        let spec = &self.jobs[&ix].spec;
        if !spec.one_zone && !spec.spread {
            return zones;
        }
        for m in self.fleet.machines.values() {
            let n = m
                .slots
                .iter()
                .filter(|(key, slot)| key.job == ix && !slot.over)
                .count();
            if n > 0 {
                *zones.entry(m.zone.clone()).or_insert(0) += n as u32;
            }
        }
        zones
    }
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
