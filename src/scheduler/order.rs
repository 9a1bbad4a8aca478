//! The order in which waiting jobs are placed: priority, fair share within guarantees, objectives and deadlines, size.

use std::collections::{HashMap, HashSet};

use crate::config::{Objective, ObjectiveKind, Team};
use crate::jobs::{Job, JobIndex, priority_rank};
use crate::resources::Resources;
use crate::runtime::Time;
use crate::scheduler::LARGE_JOB_START_TARGET_S;
use crate::scheduler::pass::SchedulingView;

/// Run times of tasks vary: so many times the mean is expected.
const RUN_TIME_MARGIN: f64 = 1.3;
/// A job that would take all machines for a second comes so many seconds later in the order.
const SIZE_DELAY_RATIO: f64 = 60.0;
/// But not by more than this part of [`LARGE_JOB_START_TARGET_S`]: on a small fleet large jobs would wait without end.
const SIZE_DELAY_MAX_RATIO: f64 = 0.25;
/// A job that missed its objectives is due after so many times the longest of them.
const OVERDUE_RATIO: f64 = 3.0;
/// The highest rank of a priority, see [`priority_rank`].
const HIGHEST_PRIORITY_RANK: usize = 3;

/// The sort key of a waiting job: the lowest is placed first, by the fields in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SchedulingKey {
    /// 0 for the highest priority.
    inverse_priority: usize,
    /// False for gangs that machines are gathered for.
    is_not_gathering: bool,
    /// False for jobs within their team's guarantee.
    exceeds_guarantee: bool,
    /// The latest start, delayed by the job's size, in milliseconds.
    delayed_start_ms: i64,
    acceptance_order: u64,
    index: JobIndex,
}

impl SchedulingView<'_> {
    /// The waiting jobs in the order in which they are placed: by priority, then gangs that machines are gathered for,
    /// then those within their team's guarantee, then by latest start, then by age. Jobs in backoff are left out.
    pub(crate) fn scheduling_order(&self) -> Vec<JobIndex> {
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
                is_not_gathering: !self.is_gathering_machines(job),
                exceeds_guarantee: !within_guarantee.contains(&index),
                delayed_start_ms: ((self.latest_start(job) + self.size_delay_s(job, fleet_cpus))
                    * 1000.0) as i64,
                acceptance_order: job.acceptance_order,
                index,
            })
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|key| key.index).collect()
    }

    /// The unfinished jobs that are covered by their team's guarantee, the earliest first.
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
        // What the jobs of each team up to this one may use of its guarantee.
        let mut claimed_by_team: HashMap<usize, Resources> = HashMap::new();
        for (index, job) in unfinished {
            let tasks_left = f64::from(job.spec.tasks - job.done_tasks);
            let claimed = claimed_by_team.entry(job.team).or_default();
            *claimed = claimed.plus(job.task_resources().times(tasks_left));
            if is_covered(job, *claimed, &teams[job.team]) {
                within_guarantee.insert(*index);
            }
        }
        within_guarantee
    }

    /// When a job must be placed at the latest to meet the next of its class's objectives that it still can meet.
    ///
    /// A job whose moment has passed comes after those that can still be in time, but not without end: after a few
    /// times its longest objective it is due again.
    fn latest_start(&self, job: &Job) -> Time {
        let run_s = self.autoscaler.expected_run_s(job) * RUN_TIME_MARGIN;
        let team = &self.config.deployment.teams[job.team];
        let mut next = f64::INFINITY;
        let mut longest_s: f64 = 0.0;
        for objective in &self.config.deployment.objectives {
            let Some(target) = StartTarget::new(objective, job, team, run_s) else {
                continue;
            };
            longest_s = longest_s.max(target.within_s);
            // An owner's deadline counts from the submission, however long the job waited for others.
            let from = if objective.kind == ObjectiveKind::Deadline {
                job.submitted_at
            } else {
                job.ready_at
            };
            let latest = from + target.within_s - target.run_s;
            if latest > self.now {
                next = next.min(latest);
            }
        }
        let latest = job.required_by - run_s;
        if latest > self.now {
            next = next.min(latest);
        }
        next.min(job.ready_at + longest_s * OVERDUE_RATIO)
    }

    /// By how many seconds a job comes later in the order for its size: where not all can be in time, the same machines
    /// bring more small ones there.
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

/// What an objective asks of a job.
struct StartTarget {
    /// Seconds within which the job must have started or, with `run_s`, be done.
    within_s: f64,
    /// Seconds of run time that count against the objective.
    run_s: f64,
}

impl StartTarget {
    /// None if the objective doesn't apply to the job. `run_s` is the run time expected of the job's class.
    fn new(objective: &Objective, job: &Job, team: &Team, run_s: f64) -> Option<Self> {
        let is_own_class = objective.class.as_deref() == Some(&job.spec.class);
        let is_start_objective = match objective.kind {
            ObjectiveKind::Wait => is_own_class,
            ObjectiveKind::Guarantee => has_guarantee(team),
            ObjectiveKind::Finished | ObjectiveKind::Deadline | ObjectiveKind::Other(_) => false,
        };
        if let Some(within_s) = objective.within_s.filter(|_| is_start_objective) {
            let run_s = 0.0;
            return Some(StartTarget { within_s, run_s });
        }
        let within_s = objective.completion_target_s(&job.spec)?;
        let run_s = if objective.kind == ObjectiveKind::Deadline {
            // A deadline comes from its owner's estimate, which is specific to this job.
            (run_s * job.spec.estimate_s.max(0.0)).sqrt()
        } else {
            run_s
        };
        Some(StartTarget { within_s, run_s })
    }
}

/// Whether a team has a guarantee at all.
fn has_guarantee(team: &Team) -> bool {
    team.cpus > 0.0 || team.gpus > 0.0
}

/// Whether a team's guarantee covers a job, if the team's jobs up to this one claim so much.
fn is_covered(job: &Job, claimed: Resources, team: &Team) -> bool {
    let fits =
        |claimed: f64, guaranteed: f64, demand: f64| demand <= 0.0 || claimed <= guaranteed + 1e-6;
    has_guarantee(team)
        && fits(claimed.cpus, team.cpus, job.spec.cpus)
        && fits(claimed.gpus, team.gpus, job.spec.gpus)
}
