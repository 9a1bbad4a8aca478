//! The order in which waiting jobs are placed. It depends on their priority, their team's guarantee, their objectives
//! and deadlines, and their size.

use std::collections::{HashMap, HashSet};

use crate::config::{Objective, ObjectiveKind, Team};
use crate::jobs::{Job, JobIndex, priority_rank};
use crate::resources::Resources;
use crate::runtime::Time;
use crate::scheduler::LARGE_JOB_START_TARGET_S;
use crate::scheduler::pass::SchedulingView;

/// Factor on the expected run time of a job's tasks to allow for the variation of run times.
const RUN_TIME_MARGIN: f64 = 1.3;
/// Seconds by which a job moves back in the order for each second that it would occupy the whole fleet.
const SIZE_DELAY_RATIO: f64 = 60.0;
/// Upper limit of that delay, as a ratio to [`LARGE_JOB_START_TARGET_S`]. Without it, large jobs on a small fleet would
/// wait indefinitely.
const SIZE_DELAY_MAX_RATIO: f64 = 0.25;
/// A job that missed its objectives is due again after this multiple of the longest one, counted from when it was
/// ready.
const OVERDUE_RATIO: f64 = 3.0;
/// An array that needs more than the whole fleet goes before others of its priority if it has not begun after this share
/// of [`LARGE_JOB_START_TARGET_S`]. Otherwise it waits until such an array before it has placed all its tasks.
const HELD_UP_RATIO: f64 = 0.5;
/// The highest rank of a priority, see [`priority_rank`].
const HIGHEST_PRIORITY_RANK: usize = 3;

/// The sort key of a waiting job. The job with the lowest key is placed first; fields are compared in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SchedulingKey {
    /// 0 for the highest priority.
    inverse_priority: usize,
    /// False for gangs for which machines may be reserved now.
    is_outside_reservation_window: bool,
    /// False for jobs within their team's guarantee.
    exceeds_guarantee: bool,
    /// False for arrays that have waited for long behind one that takes the whole fleet.
    is_not_held_up: bool,
    /// The latest start plus the delay for the job's size, in milliseconds.
    delayed_start_ms: i64,
    acceptance_order: u64,
    index: JobIndex,
}

impl SchedulingView<'_> {
    /// Returns the waiting jobs in the order in which they are placed: by priority, then gangs in their reservation
    /// window before other jobs, then jobs within their team's guarantee, then arrays that are held up, then by latest start (delayed for the size),
    /// then by acceptance. Jobs in backoff are left out.
    fn scheduling_order(&self) -> Vec<JobIndex> {
        let within_guarantee = self.jobs_within_guarantee();
        let machines = self.fleet.machines.values();
        let fleet_cpus: f64 = machines.map(|m| m.capacity.cpus).sum();
        let mut keys: Vec<SchedulingKey> = self
            .scheduler
            .waiting_jobs
            .iter()
            .filter_map(|index| Some((*index, self.jobs.get(index)?)))
            .filter(|(_, job)| job.backoff_until <= self.now)
            .map(|(index, job)| SchedulingKey {
                inverse_priority: HIGHEST_PRIORITY_RANK - priority_rank(job.spec.priority),
                is_outside_reservation_window: !self.is_in_reservation_window(job),
                exceeds_guarantee: !within_guarantee.contains(&index),
                is_not_held_up: !self.is_held_up(job, fleet_cpus),
                delayed_start_ms: ((self.latest_start(job) + self.size_delay_s(job, fleet_cpus))
                    * 1000.0) as i64,
                acceptance_order: job.acceptance_order,
                index,
            })
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|key| key.index).collect()
    }

    /// Returns the jobs that the next pass visits, in the order in which they are placed: those that the passes before it
    /// have not reached, if they ended early. The first gang in its reservation window is visited in each pass, because
    /// a reservation lasts for one pass only.
    pub(crate) fn remaining_order(&self) -> Vec<JobIndex> {
        let visited = &self.scheduler.visited_jobs;
        let mut order = self.scheduling_order();
        if visited.is_empty() {
            return order;
        }
        let is_reserving = |index: &&JobIndex| self.is_in_reservation_window(&self.jobs[*index]);
        let reserving = order.iter().find(is_reserving).copied();
        order.retain(|index| !visited.contains(index) || Some(*index) == reserving);
        order
    }

    /// Returns the jobs that their team's guarantee covers. Each guarantee is granted to the team's jobs in the order
    /// of acceptance; jobs that ended or are blocked take no part of it.
    fn jobs_within_guarantee(&self) -> HashSet<JobIndex> {
        let teams = &self.config.deployment.teams;
        let mut within_guarantee = HashSet::new();
        if !teams.iter().any(has_guarantee) {
            return within_guarantee;
        }
        let mut unfinished: Vec<(&JobIndex, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.end.is_none() && !job.is_blocked)
            .collect();
        unfinished.sort_by_key(|(_, job)| job.acceptance_order);
        // For each team, the total demand of its jobs up to the current one, covered or not.
        let mut demand_by_team: HashMap<usize, Resources> = HashMap::new();
        for (index, job) in unfinished {
            let tasks_left = f64::from(job.spec.tasks - job.done_tasks);
            let demand = demand_by_team.entry(job.team).or_default();
            *demand = demand.plus(job.task_resources().times(tasks_left));
            if is_covered(job, *demand, &teams[job.team]) {
                within_guarantee.insert(*index);
            }
        }
        within_guarantee
    }

    /// Returns when a job must start at the latest to meet the most urgent of the targets that it can still meet. Its
    /// targets are the service-level objectives, which may include its own deadline, and the deadlines of the jobs that
    /// depend on it.
    ///
    /// A job that missed all of them comes after the jobs that can still meet theirs. To keep it from waiting
    /// indefinitely, it is due again [`OVERDUE_RATIO`] times its longest objective after it was ready. A job to which
    /// no objective applies is due when it is ready.
    fn latest_start(&self, job: &Job) -> Time {
        let run_s = self.autoscaler.expected_run_s(job) * RUN_TIME_MARGIN;
        let team = &self.config.deployment.teams[job.team];
        let mut most_urgent = f64::INFINITY;
        let mut longest_s: f64 = 0.0;
        for objective in &self.config.deployment.objectives {
            let Some(target) = StartTarget::new(objective, job, team, run_s) else {
                continue;
            };
            longest_s = longest_s.max(target.within_s);
            // A deadline counts from the submission, even while the job is blocked on its dependencies.
            let target_since = if objective.kind == ObjectiveKind::Deadline {
                job.submitted_at
            } else {
                job.ready_at
            };
            let latest_start = target_since + target.within_s - target.run_s;
            if latest_start > self.now {
                most_urgent = most_urgent.min(latest_start);
            }
        }
        let latest_start = job.required_by - run_s;
        if latest_start > self.now {
            most_urgent = most_urgent.min(latest_start);
        }
        most_urgent.min(job.ready_at + longest_s * OVERDUE_RATIO)
    }

    /// Whether a job is an array for more than the whole fleet that should have begun by now. Once it has begun it is not
    /// held up any more, so several such arrays begin one after the other.
    fn is_held_up(&self, job: &Job, fleet_cpus: f64) -> bool {
        let needed_cpus = f64::from(job.spec.tasks) * job.spec.cpus;
        !job.is_gang()
            && job.assigned_tasks + job.done_tasks == 0
            && needed_cpus > fleet_cpus
            && self.now - job.ready_at > LARGE_JOB_START_TARGET_S * HELD_UP_RATIO
    }

    /// Returns by how many seconds a job moves back in the order because of its size; 0 for gangs. If the machines
    /// don't suffice for all jobs to meet their objectives, more jobs meet them when small ones go first.
    fn size_delay_s(&self, job: &Job, fleet_cpus: f64) -> f64 {
        if job.is_gang() {
            return 0.0;
        }
        let cpu_seconds_left = f64::from(job.spec.tasks - job.done_tasks)
            * job.spec.cpus
            * self.autoscaler.expected_run_s(job);
        (cpu_seconds_left / fleet_cpus.max(1.0) * SIZE_DELAY_RATIO)
            .min(LARGE_JOB_START_TARGET_S * SIZE_DELAY_MAX_RATIO)
    }
}

/// The target that an objective sets for a job.
struct StartTarget {
    /// Seconds within which the job must have started and then run for `run_s`.
    within_s: f64,
    /// Run time that must fit into `within_s`, in seconds; 0 if the objective ends with the start of the job.
    run_s: f64,
}

impl StartTarget {
    /// Returns None if the objective doesn't apply to the job. `run_s` is the expected run time of the job's class,
    /// including [`RUN_TIME_MARGIN`].
    fn new(objective: &Objective, job: &Job, team: &Team, run_s: f64) -> Option<Self> {
        let applies_to_class = objective.class.as_deref() == Some(&job.spec.class);
        let is_start_objective = match objective.kind {
            ObjectiveKind::Wait => applies_to_class,
            ObjectiveKind::Guarantee => has_guarantee(team),
            ObjectiveKind::Finished | ObjectiveKind::Deadline | ObjectiveKind::Other(_) => false,
        };
        if let Some(within_s) = objective.within_s.filter(|_| is_start_objective) {
            let run_s = 0.0;
            return Some(StartTarget { within_s, run_s });
        }
        let within_s = objective.completion_target_s(&job.spec)?;
        let run_s = if objective.kind == ObjectiveKind::Deadline {
            // A deadline is based on the owner's estimate, which is specific to this job. Hence both the estimate and
            // the run time of the class count, by their geometric mean.
            (run_s * job.spec.estimate_s.max(0.0)).sqrt()
        } else {
            run_s
        };
        Some(StartTarget { within_s, run_s })
    }
}

/// Whether a team is guaranteed any CPUs or GPUs.
fn has_guarantee(team: &Team) -> bool {
    team.cpus > 0.0 || team.gpus > 0.0
}

/// Whether a team's guarantee covers a job. `team_demand` is the demand of the team's jobs up to this one, inclusive.
fn is_covered(job: &Job, team_demand: Resources, team: &Team) -> bool {
    let fits = |team_demand: f64, guaranteed: f64, job_demand: f64| {
        job_demand <= 0.0 || team_demand <= guaranteed + 1e-6
    };
    has_guarantee(team)
        && fits(team_demand.cpus, team.cpus, job.spec.cpus)
        && fits(team_demand.gpus, team.gpus, job.spec.gpus)
}
