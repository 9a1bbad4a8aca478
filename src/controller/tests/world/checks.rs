//! Checks of the protocol's rules, made on what workers do and on the replies that users get. The name of the violated
//! rule precedes each violation.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::Worker;
use crate::config::Config;
use crate::jobs::task_name::parse_task_name;
use crate::protocol::users::{JobKind, JobState, Submission};
use crate::runtime::Time;

/// CPUs of a machine; all machines are of one type.
const MACHINE_CPUS: f64 = 8.0;
/// Longest time, in seconds, that a job may stay pending while a suitable machine has enough free capacity.
const STARVATION_S: f64 = 90.0;

/// The users' view of a job: requests sent and replies received.
#[derive(Default, Clone)]
pub struct KnownJob {
    /// The submission, set before it is first sent.
    pub spec: Option<Submission>,
    /// The time of the first reply that showed the job as accepted.
    pub accepted: Option<Time>,
    /// A cancellation was sent, whether or not it was confirmed.
    pub cancel_requested: bool,
    /// The final state of the job and the time of the first reply that showed it.
    pub final_state: Option<(JobState, Time)>,
}

/// The rules, and what their checks have seen so far.
pub struct Checks {
    /// Longest time, in seconds, from a confirmed cancellation until the job's tasks are off the machines.
    cancel_s: f64,
    /// CPUs that each team may use; 0 means no limit.
    cpu_limits: BTreeMap<String, f64>,
    pub jobs: RefCell<BTreeMap<String, KnownJob>>,
    /// Completed tasks.
    completed_tasks: RefCell<BTreeSet<String>>,
    /// All violations, each with its rule. Any entry fails the test.
    pub violations: RefCell<Vec<String>>,
    /// Starts of tasks of a cancelled job within `cancel_s` of the confirmation. These aren't violations, but a test
    /// can require that there are none.
    pub late_starts: RefCell<Vec<String>>,
    /// Number of starts of tasks on machines, including later attempts.
    pub starts: Cell<u32>,
    /// Seconds by which each task of a job runs longer than the task numbered before it.
    pub task_stagger_s: Cell<f64>,
    /// Number of machines created so far, including removed ones.
    machines_created: Cell<usize>,
    /// The time at which faults end. Starvation is checked from then on.
    pub faults_end_at: Cell<Time>,
    /// Since when each job could have started a task but has not.
    starving_since: RefCell<BTreeMap<String, Time>>,
}

/// Returns whether all tasks of a gang fit at once. `free_cpus` has the zone and the free CPUs of each machine;
/// `free_quota` is what is left of the team's limit, and is ignored unless positive.
fn gang_fits(spec: &Submission, free_cpus: &[(&str, f64)], free_quota: f64) -> bool {
    let tasks = spec.tasks as usize;
    let mut tasks_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    for (zone, cpus) in free_cpus {
        if spec.zone.as_ref().is_none_or(|required| required == zone) {
            *tasks_by_zone.entry(zone).or_default() += (cpus / spec.cpus) as usize;
        }
    }
    let zone_limit = if spec.spread {
        tasks.div_ceil(2)
    } else {
        tasks
    };
    let fitting = tasks_by_zone.values().map(|count| (*count).min(zone_limit));
    let fits = if spec.one_zone {
        fitting.max().unwrap_or(0)
    } else {
        fitting.sum()
    };
    fits >= tasks && (free_quota <= 0.0 || spec.cpus * tasks as f64 <= free_quota)
}

impl Checks {
    pub fn new(config: &Config) -> Self {
        let teams = config.deployment.teams.iter();
        Checks {
            cancel_s: config.deployment.workers.cancel_s,
            cpu_limits: teams
                .map(|team| (team.name.clone(), team.cpus_max))
                .collect(),
            jobs: RefCell::default(),
            completed_tasks: RefCell::default(),
            violations: RefCell::default(),
            late_starts: RefCell::default(),
            starts: Cell::new(0),
            task_stagger_s: Cell::new(0.0),
            machines_created: Cell::new(0),
            faults_end_at: Cell::new(f64::INFINITY),
            starving_since: RefCell::default(),
        }
    }

    /// Returns the number of the next machine, counted from 1.
    pub fn next_machine(&self) -> usize {
        self.machines_created.set(self.machines_created.get() + 1);
        self.machines_created.get()
    }

    pub fn report_violation(&self, rule: &str, details: String) {
        self.violations
            .borrow_mut()
            .push(format!("{rule}: {details}"));
    }

    pub fn assert_no_violations(&self) {
        assert!(
            self.violations.borrow().is_empty(),
            "{:?}",
            self.violations.borrow()
        );
    }

    /// The submission of a task's job.
    pub fn spec(&self, task: &str) -> Submission {
        let (id, _) = parse_task_name(task).unwrap();
        self.jobs.borrow()[id].spec.clone().unwrap()
    }

    /// The run time of a task. The first task of a job runs for exactly the estimated time.
    pub fn run_time_s(&self, task: &str) -> f64 {
        // The result of a completed task is kept, so a later attempt completes at once, on any machine.
        if self.completed_tasks.borrow().contains(task) {
            return 0.0;
        }
        let (_, number) = parse_task_name(task).unwrap();
        self.spec(task).estimate_s + f64::from(number) * self.task_stagger_s.get()
    }

    /// Records that a task completed. The tasks of a gang complete together, so one task of a gang completes them all.
    pub fn on_task_completed(&self, task: &str) {
        let spec = self.spec(task);
        let mut completed = self.completed_tasks.borrow_mut();
        if spec.kind == JobKind::Gang {
            completed.extend((0..spec.tasks).map(|number| format!("{}/{number}", spec.id)));
        } else {
            completed.insert(task.to_owned());
        }
    }

    /// Returns whether all tasks of a job have completed on workers.
    pub fn is_complete(&self, id: &str) -> bool {
        let tasks = self.jobs.borrow()[id].spec.as_ref().map_or(0, |s| s.tasks);
        let completed = self.completed_tasks.borrow();
        (0..tasks).all(|number| completed.contains(&format!("{id}/{number}")))
    }

    /// All direct and indirect dependencies of a job.
    fn transitive_dependencies(&self, id: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let mut dependencies = BTreeSet::new();
        let mut to_visit = vec![id.to_owned()];
        while let Some(id) = to_visit.pop() {
            let spec = jobs.get(&id).and_then(|known| known.spec.as_ref());
            for dependency in spec.map_or(&[][..], |spec| &spec.waits_on) {
                if dependencies.insert(dependency.clone()) {
                    to_visit.push(dependency.clone());
                }
            }
        }
        dependencies.into_iter().collect()
    }

    /// Returns whether a job may be reported as cancelled: its cancellation, or that of one of its dependencies, was
    /// requested.
    pub fn may_be_cancelled(&self, id: &str) -> bool {
        let cancel_requested = |id: &str| {
            self.jobs
                .borrow()
                .get(id)
                .is_some_and(|known| known.cancel_requested)
        };
        cancel_requested(id)
            || self
                .transitive_dependencies(id)
                .iter()
                .any(|dependency| cancel_requested(dependency))
    }

    /// Returns whether a job must be reported as cancelled by now: the cancellation of one of its dependencies was
    /// confirmed more than `cancel_s` ago.
    pub fn must_be_cancelled(&self, id: &str, now: Time) -> bool {
        let cancel_overdue = |id: &str| {
            self.cancellation_reported_at(id)
                .is_some_and(|at| now > at + self.cancel_s)
        };
        self.transitive_dependencies(id)
            .iter()
            .any(|dependency| cancel_overdue(dependency))
    }

    /// The time of the first reply that showed a job as cancelled.
    fn cancellation_reported_at(&self, id: &str) -> Option<Time> {
        let jobs = self.jobs.borrow();
        let (state, at) = jobs.get(id)?.final_state?;
        (state == JobState::Cancelled).then_some(at)
    }

    /// Checks that a task may start on a machine: no other machine runs it (`ran_twice`), the machine meets the job's
    /// constraints (`wrong_place`), all dependencies are complete and none was reported as cancelled (`too_early`), the
    /// job wasn't reported as cancelled more than `cancel_s` ago (`ran_cancelled`) and its team stays within its limit
    /// (`quota`).
    pub fn on_task_started(
        &self,
        now: Time,
        worker: &Rc<Worker>,
        task: &str,
        workers: &BTreeMap<String, Rc<Worker>>,
    ) {
        self.starts.set(self.starts.get() + 1);
        let spec = self.spec(task);
        let name = &worker.name;
        let mut task_zones = Vec::new();
        for other in workers.values() {
            let job_tasks = other.tasks_of(&spec.id);
            task_zones.extend(job_tasks.iter().map(|_| other.zone.as_str()));
            if other.name != *name && job_tasks.iter().any(|status| status.task == task) {
                let text = format!(
                    "{now:.1}: {task} on {name} and {}, {}",
                    other.name,
                    other.describe()
                );
                self.report_violation("ran_twice", text);
            }
        }
        let in_zone = task_zones
            .iter()
            .filter(|zone| **zone == worker.zone)
            .count();
        let types = spec.types.as_ref();
        let fits = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
            && types.is_none_or(|types| types.iter().any(|name| name == "small"))
            && (!spec.one_zone || in_zone == task_zones.len())
            && (!spec.spread || in_zone <= (spec.tasks as usize).div_ceil(2));
        if !fits {
            self.report_violation("wrong_place", format!("{now:.1}: {task} on {name}"));
        }
        for dependency in self.transitive_dependencies(&spec.id) {
            if !self.is_complete(&dependency)
                || self.cancellation_reported_at(&dependency).is_some()
            {
                self.report_violation("too_early", format!("{now:.1}: {task} before {dependency}"));
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
        self.check_cpu_limits(now, workers);
    }

    /// The CPUs that the tasks on machines use, by team.
    fn used_cpus(&self, workers: &BTreeMap<String, Rc<Worker>>) -> BTreeMap<String, f64> {
        let mut used = BTreeMap::new();
        for status in workers.values().flat_map(|worker| worker.running_tasks()) {
            let spec = self.spec(&status.task);
            *used.entry(spec.team).or_insert(0.0) += spec.cpus;
        }
        used
    }

    /// Checks that no team uses more CPUs than its limit.
    fn check_cpu_limits(&self, now: Time, workers: &BTreeMap<String, Rc<Worker>>) {
        for (team, used) in self.used_cpus(workers) {
            let limit = self.cpu_limits[&team];
            if limit > 0.0 && used > limit + 1e-6 {
                self.report_violation("quota", format!("{now:.1}: {team} uses {used}"));
            }
        }
    }

    /// Checks the rules that hold at any time: no task of a cancelled job is left on a machine later than `cancel_s`
    /// after the confirmation, and once faults have ended, no job starves.
    pub fn check_all(&self, now: Time, workers: &BTreeMap<String, Rc<Worker>>) {
        for worker in workers.values() {
            for status in worker.running_tasks() {
                let (id, _) = parse_task_name(&status.task).unwrap();
                if self
                    .cancellation_reported_at(id)
                    .is_some_and(|at| now > at + self.cancel_s)
                {
                    let text = format!("{now:.1}: {} is on {}", status.task, worker.name);
                    self.report_violation("ran_cancelled", text);
                }
            }
        }
        if now >= self.faults_end_at.get() {
            self.check_starvation(now, workers);
        }
    }

    /// Checks that no job is pending for more than `STARVATION_S` while its dependencies are done, suitable machines
    /// have enough free capacity (for a gang, for all its tasks at once) and its team is below its limit.
    fn check_starvation(&self, now: Time, workers: &BTreeMap<String, Rc<Worker>>) {
        let used_cpus = self.used_cpus(workers);
        let free_cpus: Vec<(&str, f64)> = workers
            .values()
            .map(|worker| {
                let used: f64 = worker
                    .running_tasks()
                    .iter()
                    .map(|status| self.spec(&status.task).cpus)
                    .sum();
                (worker.zone.as_str(), MACHINE_CPUS - used)
            })
            .collect();
        for (id, known) in self.jobs.borrow().iter() {
            let Some(spec) = known.spec.as_ref().filter(|_| known.accepted.is_some()) else {
                continue;
            };
            let on_machines = workers
                .values()
                .map(|worker| worker.tasks_of(id).len())
                .sum::<usize>();
            let completed = self.completed_tasks.borrow();
            let completed_tasks =
                (0..spec.tasks).filter(|number| completed.contains(&format!("{id}/{number}")));
            let has_pending_tasks = completed_tasks.count() + on_machines < spec.tasks as usize;
            let limit = self.cpu_limits[&spec.team];
            let team_cpus = used_cpus.get(&spec.team).copied().unwrap_or(0.0);
            // A cancelled job cancels its dependents, even if all its tasks had completed.
            let is_done = |dependency: &String| {
                self.is_complete(dependency) && self.cancellation_reported_at(dependency).is_none()
            };
            let ready = self.transitive_dependencies(id).iter().all(is_done);
            let allowed = ready && (limit <= 0.0 || team_cpus + spec.cpus <= limit);
            let zone_allowed =
                |zone: &str| spec.zone.as_ref().is_none_or(|required| required == zone);
            let has_capacity = if spec.kind == JobKind::Gang {
                // After an attempt of a gang breaks up, its remaining tasks stay on machines for some time.
                on_machines == 0 && gang_fits(spec, &free_cpus, limit - team_cpus)
            } else {
                free_cpus
                    .iter()
                    .any(|(zone, cpus)| zone_allowed(zone) && *cpus >= spec.cpus)
            };
            let mut starving_since = self.starving_since.borrow_mut();
            if known.final_state.is_some() || !(has_pending_tasks && allowed && has_capacity) {
                starving_since.remove(id);
            } else if now - *starving_since.entry(id.clone()).or_insert(now) > STARVATION_S {
                self.report_violation("left waiting", format!("{now:.1}: {id}"));
            }
        }
    }
}
