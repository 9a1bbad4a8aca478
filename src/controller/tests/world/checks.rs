//! The protocol's rules, checked by what workers do and what users are answered.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::Worker;
use crate::config::Config;
use crate::jobs::task_name::parse_task_name;
use crate::protocol::users::{JobKind, JobState, Submission};
use crate::runtime::Time;

/// CPUs of a machine of the only type.
const MACHINE_CPUS: f64 = 8.0;
/// Seconds for which a job may be pending while a machine has room.
const WAIT_S: f64 = 90.0;

/// What users know of a job.
#[derive(Default, Clone)]
pub struct KnownJob {
    pub spec: Option<Submission>,
    pub accepted: Option<Time>,
    pub cancel_requested: bool,
    /// The final state and when it was first answered.
    pub final_state: Option<(JobState, Time)>,
}

pub struct Checks {
    cancel_s: f64,
    limits: BTreeMap<String, f64>,
    pub jobs: RefCell<BTreeMap<String, KnownJob>>,
    done: RefCell<BTreeSet<String>>,
    pub violations: RefCell<Vec<String>>,
    /// Task starts after a cancellation was confirmed.
    pub late_starts: RefCell<Vec<String>>,
    pub starts: Cell<u32>,
    /// Seconds by which each task of a job runs longer than the one before.
    pub task_stagger_s: Cell<f64>,
    machines: Cell<usize>,
    /// When faults have ended: starvation is checked from then on.
    pub faults_end_at: Cell<Time>,
    starving_since: RefCell<BTreeMap<String, Time>>,
}

/// Whether all tasks of a gang fit at once, with `left` CPUs of its team's limit (if that is positive).
fn has_room_for_gang(spec: &Submission, rooms: &[(&str, f64)], left: f64) -> bool {
    let tasks = spec.tasks as usize;
    let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    for (zone, room) in rooms {
        if spec.zone.as_ref().is_none_or(|own| own == zone) {
            *by_zone.entry(zone).or_default() += (room / spec.cpus) as usize;
        }
    }
    let most = if spec.spread {
        tasks.div_ceil(2)
    } else {
        tasks
    };
    let fitting = by_zone.values().map(|n| (*n).min(most));
    let fits = if spec.one_zone {
        fitting.max().unwrap_or(0)
    } else {
        fitting.sum()
    };
    fits >= tasks && (left <= 0.0 || spec.cpus * tasks as f64 <= left)
}

impl Checks {
    pub fn new(config: &Config) -> Self {
        let teams = config.deployment.teams.iter();
        Checks {
            cancel_s: config.deployment.workers.cancel_s,
            limits: teams.map(|t| (t.name.clone(), t.cpus_max)).collect(),
            jobs: RefCell::default(),
            done: RefCell::default(),
            violations: RefCell::default(),
            late_starts: RefCell::default(),
            starts: Cell::new(0),
            task_stagger_s: Cell::new(0.0),
            machines: Cell::new(0),
            faults_end_at: Cell::new(f64::INFINITY),
            starving_since: RefCell::default(),
        }
    }

    pub fn next_machine(&self) -> usize {
        self.machines.set(self.machines.get() + 1);
        self.machines.get()
    }

    pub fn report_violation(&self, rule: &str, what: String) {
        self.violations.borrow_mut().push(format!("{rule}: {what}"));
    }

    pub fn assert_no_violations(&self) {
        assert!(
            self.violations.borrow().is_empty(),
            "{:?}",
            self.violations.borrow()
        );
    }

    pub fn spec(&self, task: &str) -> Submission {
        let (id, _) = parse_task_name(task).unwrap();
        self.jobs.borrow()[id].spec.clone().unwrap()
    }

    /// The run time of a task: the estimate, exactly, for the first task of a job.
    pub fn run_time_s(&self, task: &str) -> f64 {
        // The result of a completed task is kept: started again, it completes at once.
        if self.done.borrow().contains(task) {
            return 0.0;
        }
        let (_, number) = parse_task_name(task).unwrap();
        self.spec(task).estimate_s + f64::from(number) * self.task_stagger_s.get()
    }

    /// A task completed; if it is of a gang, all its tasks have.
    pub fn on_task_completed(&self, task: &str) {
        let spec = self.spec(task);
        let mut done = self.done.borrow_mut();
        if spec.kind == JobKind::Gang {
            done.extend((0..spec.tasks).map(|n| format!("{}/{n}", spec.id)));
        } else {
            done.insert(task.to_owned());
        }
    }

    pub fn is_complete(&self, id: &str) -> bool {
        let tasks = self.jobs.borrow()[id].spec.as_ref().map_or(0, |s| s.tasks);
        let done = self.done.borrow();
        (0..tasks).all(|t| done.contains(&format!("{id}/{t}")))
    }

    /// All direct and indirect dependencies of a job.
    fn transitive_dependencies(&self, id: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let mut seen = BTreeSet::new();
        let mut reached = vec![id.to_owned()];
        while let Some(id) = reached.pop() {
            let spec = jobs.get(&id).and_then(|k| k.spec.as_ref());
            for need in spec.map_or(&[][..], |s| &s.waits_on) {
                if seen.insert(need.clone()) {
                    reached.push(need.clone());
                }
            }
        }
        seen.into_iter().collect()
    }

    /// Whether a job may be reported as cancelled.
    pub fn may_be_cancelled(&self, id: &str) -> bool {
        let asked = |id: &str| {
            self.jobs
                .borrow()
                .get(id)
                .is_some_and(|k| k.cancel_requested)
        };
        asked(id)
            || self
                .transitive_dependencies(id)
                .iter()
                .any(|need| asked(need))
    }

    /// Whether a job must be reported as cancelled by now.
    pub fn must_be_cancelled(&self, id: &str, now: Time) -> bool {
        let late = |id: &str| {
            self.cancellation_reported_at(id)
                .is_some_and(|at| now > at + self.cancel_s)
        };
        self.transitive_dependencies(id)
            .iter()
            .any(|need| late(need))
    }

    fn cancellation_reported_at(&self, id: &str) -> Option<Time> {
        let jobs = self.jobs.borrow();
        let (state, at) = jobs.get(id)?.final_state?;
        (state == JobState::Cancelled).then_some(at)
    }

    /// Checks the rules at the start of a task on a machine.
    pub fn on_task_started(
        &self,
        now: Time,
        worker: &Rc<Worker>,
        task: &str,
        all: &BTreeMap<String, Rc<Worker>>,
    ) {
        self.starts.set(self.starts.get() + 1);
        let spec = self.spec(task);
        let name = &worker.name;
        let mut zones = Vec::new();
        for other in all.values() {
            let here = other.tasks_of(&spec.id);
            zones.extend(here.iter().map(|_| other.zone.as_str()));
            if other.name != *name && here.iter().any(|t| t.task == task) {
                let text = format!(
                    "{now:.1}: {task} on {name} and {}, {}",
                    other.name,
                    other.describe()
                );
                self.report_violation("ran_twice", text);
            }
        }
        let in_zone = zones.iter().filter(|z| **z == worker.zone).count();
        let types = spec.types.as_ref();
        let fits = spec.zone.as_ref().is_none_or(|z| *z == worker.zone)
            && types.is_none_or(|t| t.iter().any(|t| t == "small"))
            && (!spec.one_zone || in_zone == zones.len())
            && (!spec.spread || in_zone <= (spec.tasks as usize).div_ceil(2));
        if !fits {
            self.report_violation("wrong_place", format!("{now:.1}: {task} on {name}"));
        }
        for need in self.transitive_dependencies(&spec.id) {
            if !self.is_complete(&need) || self.cancellation_reported_at(&need).is_some() {
                self.report_violation("too_early", format!("{now:.1}: {task} before {need}"));
            }
        }
        if let Some(at) = self.cancellation_reported_at(&spec.id) {
            let text = format!("{now:.1}: {task} on {name}, cancelled at {at:.1}");
            if now > at + self.cancel_s {
                self.report_violation("ran_cancelled", text);
            } else {
                self.late_starts.borrow_mut().push(text);
            }
        }
        self.check_limits(now, all);
    }

    fn used(&self, all: &BTreeMap<String, Rc<Worker>>) -> BTreeMap<String, f64> {
        let mut used = BTreeMap::new();
        for t in all.values().flat_map(|worker| worker.running_tasks()) {
            let spec = self.spec(&t.task);
            *used.entry(spec.team).or_insert(0.0) += spec.cpus;
        }
        used
    }

    fn check_limits(&self, now: Time, all: &BTreeMap<String, Rc<Worker>>) {
        for (team, used) in self.used(all) {
            let limit = self.limits[&team];
            if limit > 0.0 && used > limit + 1e-6 {
                self.report_violation("quota", format!("{now:.1}: {team} uses {used}"));
            }
        }
    }

    /// Checks the rules at this moment.
    pub fn check_all(&self, now: Time, all: &BTreeMap<String, Rc<Worker>>) {
        for worker in all.values() {
            for t in worker.running_tasks() {
                let (id, _) = parse_task_name(&t.task).unwrap();
                if self
                    .cancellation_reported_at(id)
                    .is_some_and(|at| now > at + self.cancel_s)
                {
                    let text = format!("{now:.1}: {} is on {}", t.task, worker.name);
                    self.report_violation("ran_cancelled", text);
                }
            }
        }
        if now >= self.faults_end_at.get() {
            self.check_starvation(now, all);
        }
    }

    /// Checks that no job is pending while a machine that fits has room and its team is under its limit.
    fn check_starvation(&self, now: Time, all: &BTreeMap<String, Rc<Worker>>) {
        let used = self.used(all);
        let rooms: Vec<(&str, f64)> = all
            .values()
            .map(|worker| {
                let taken: f64 = worker
                    .running_tasks()
                    .iter()
                    .map(|t| self.spec(&t.task).cpus)
                    .sum();
                (worker.zone.as_str(), MACHINE_CPUS - taken)
            })
            .collect();
        for (id, known) in self.jobs.borrow().iter() {
            let Some(spec) = known.spec.as_ref().filter(|_| known.accepted.is_some()) else {
                continue;
            };
            let on_machines = all
                .values()
                .map(|worker| worker.tasks_of(id).len())
                .sum::<usize>();
            let done = self.done.borrow();
            let over = (0..spec.tasks).filter(|t| done.contains(&format!("{id}/{t}")));
            let waits = over.count() + on_machines < spec.tasks as usize;
            let limit = self.limits[&spec.team];
            let team = used.get(&spec.team).copied().unwrap_or(0.0);
            // A dependent of a cancelled job is cancelled, even if all tasks of the latter had completed.
            let may_start = |need: &String| {
                self.is_complete(need) && self.cancellation_reported_at(need).is_none()
            };
            let ready = self.transitive_dependencies(id).iter().all(may_start);
            let allowed = ready && (limit <= 0.0 || team + spec.cpus <= limit);
            let zone = |z: &str| spec.zone.as_ref().is_none_or(|own| own == z);
            let room = if spec.kind == JobKind::Gang {
                // The remaining tasks of a gang's broken attempt stay on machines for a while.
                on_machines == 0 && has_room_for_gang(spec, &rooms, limit - team)
            } else {
                rooms.iter().any(|(z, room)| zone(z) && *room >= spec.cpus)
            };
            let mut starving_since = self.starving_since.borrow_mut();
            if known.final_state.is_some() || !(waits && allowed && room) {
                starving_since.remove(id);
            } else if now - *starving_since.entry(id.clone()).or_insert(now) > WAIT_S {
                self.report_violation("left waiting", format!("{now:.1}: {id}"));
            }
        }
    }
}
