//! Demand: the number of tasks of a class that the fleet should have machines for.

use super::ScalingInputs;
use super::arrival_forecast::ArrivalForecast;
use super::coverage::{LOW_PRICE_RATIO, TASKS_EPSILON};
use super::job_classes::{JobClass, JobClasses};
use crate::config::ObjectiveKind;
use crate::jobs::class_key::class_key;
use crate::jobs::objectives::strictest_start_target_s;
use crate::resources::tasks_that_fit;

/// The horizon within which a backlog is cleared if no objective sets a target, in boot times.
const BACKLOG_HORIZON_BOOT_TIMES: f64 = 1.0;
/// The horizon within which a backlog is cleared, as a share of the strictest target of its jobs.
const BACKLOG_HORIZON_TARGET_SHARE: f64 = 0.5;
/// Existing machines are kept as long as they help to clear the backlog within this share of the horizon.
const RETAINED_HORIZON_SHARE: f64 = 0.3;
/// Pending tasks are not a backlog if the usual throughput works them off within this share of the horizon.
const QUEUE_HORIZON_SHARE: f64 = 0.25;
/// A start target of fewer boot times can be met only on machines that are up already.
const SHORT_START_TARGET_BOOT_TIMES: f64 = 1.5;
/// Occupied machines count as free if ending tasks release the resources of an average job within this share of its
/// start target.
const TURNOVER_TARGET_SHARE: f64 = 0.125;
/// A deadline shorter than a job's run time still leaves this share of the run time for waiting.
const DEADLINE_SLACK_RUN_SHARE_MIN: f64 = 0.2;
/// The share of the start target within which large tasks are planned to start.
const LARGE_START_TARGET_SHARE: f64 = 0.75;

/// Machines are kept for arrivals within this time at the most, in seconds. Tasks that run for longer are not all there
/// within it, however long their owners expect them to run.
const ARRIVAL_HORIZON_S_MAX: f64 = 3600.0;
/// The maximum demand of a class, in tasks: far more than any fleet holds, and few enough for exact sums.
const DEMAND_TASKS_MAX: f64 = 1e9;

/// The number of tasks of a class that the fleet should have machines for. Machines at a low price are demanded for
/// every task that they help; machines at a higher price only for the tasks that would miss their target otherwise.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Tasks to cover with machines at a low price (see [`LOW_PRICE_RATIO`]).
    pub(super) at_low_price: f64,
    /// Tasks to cover at any price with machines that are up or booting.
    pub(super) at_any_price: f64,
    /// Tasks to cover at any price with machines still to be rented: an estimate from the tasks that will be pending
    /// once such machines are up.
    pub(super) rented_at_any_price: f64,
}

impl Demand {
    /// A demand for this many tasks, whatever the machines cost.
    pub(super) fn at_any_price(tasks: f64) -> Self {
        Demand {
            at_low_price: tasks,
            at_any_price: tasks,
            rented_at_any_price: tasks,
        }
    }

    /// Subtracts tasks that are covered by machines.
    pub(super) fn subtract(&mut self, tasks: f64) {
        self.at_low_price -= tasks;
        self.at_any_price -= tasks;
        self.rented_at_any_price -= tasks;
    }

    /// Whether existing machines are needed for no more tasks.
    pub(super) fn is_covered(&self) -> bool {
        self.at_low_price <= TASKS_EPSILON && self.at_any_price <= TASKS_EPSILON
    }

    /// Rounds the demand to whole tasks and bounds it. The lower bound at any price is one task while any is
    /// unfinished: even a small backlog must run eventually. The upper bound is the demand at a low price: without
    /// it, an arrival burst at a cluster start demands three times as many machines.
    fn bounded(self, unfinished_tasks: f64) -> Self {
        let at_low_price = self.at_low_price.min(DEMAND_TASKS_MAX);
        let bounded = |tasks: f64| {
            tasks
                .min(at_low_price)
                .round()
                .max(unfinished_tasks.min(1.0))
        };
        Demand {
            at_low_price: at_low_price.ceil(),
            at_any_price: bounded(self.at_any_price),
            rented_at_any_price: bounded(self.rented_at_any_price),
        }
    }
}

/// How fast running small tasks free machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turnover {
    /// CPUs that ending tasks release per second.
    released_cpus_per_s: f64,
}

/// The arrival rate, run time and start target of a class.
struct ClassLoad {
    /// The shortest boot time of the machine types that the class may use, in seconds.
    boot_s: f64,
    /// The strictest target for the start of a task, in seconds; infinite if no objective sets one.
    start_target_s: f64,
    /// The expected run time of a task, in seconds.
    run_s: f64,
    /// Tasks that arrive per second.
    tasks_per_s: f64,
    /// Tasks that run at the same time on average if each starts on arrival, within [`ARRIVAL_HORIZON_S_MAX`].
    concurrent_tasks: f64,
    /// Tasks that are pending or assigned.
    unfinished_tasks: f64,
}

impl ClassLoad {
    /// Whether the start target is too short for a machine that is rented when the job arrives.
    fn has_short_start_target(&self) -> bool {
        self.start_target_s < self.boot_s * SHORT_START_TARGET_BOOT_TIMES
    }

    /// Adds a reserve for expected arrivals to the demand of a class with a short start target: a machine rented when
    /// a job arrives would be up too late.
    fn add_reserve(&self, spare_ratio: f64, tasks_per_job: f64, demand: &mut Demand) {
        let mean = self.concurrent_tasks;
        if self.run_s >= self.boot_s {
            // The reserve extends to one standard deviation above the mean at most: beyond that, ending tasks release
            // enough machines.
            let usual_peak = mean + (mean * tasks_per_job).sqrt();
            let tasks_after_boot =
                self.unfinished_tasks + spare_ratio * self.tasks_per_s * self.boot_s;
            *demand =
                Demand::at_any_price(self.unfinished_tasks.max(tasks_after_boot.min(usual_peak)));
        } else {
            demand.at_low_price = demand
                .at_low_price
                .max(mean + spare_ratio * (mean * tasks_per_job).sqrt());
        }
    }
}

impl ScalingInputs<'_> {
    /// The strictest completion target of a class, counted from when its jobs become ready, in seconds. None if no
    /// objective sets one. Deadlines grow with the run time, so a deadline counts without the run time: only the rest
    /// of it is available for waiting.
    fn strictest_completion_target_s(&self, class: &JobClass) -> Option<f64> {
        let run_s = class.expected_run_s();
        let mut average_spec = (*class.spec).clone();
        average_spec.deadline_s = class.deadline_s.get().or(average_spec.deadline_s);
        let objectives = &self.config.deployment.objectives;
        objectives
            .iter()
            .filter_map(|objective| {
                let target_s = objective.completion_target_s(&average_spec)?;
                Some(match objective.kind {
                    ObjectiveKind::Deadline => {
                        (target_s - run_s).max(run_s * DEADLINE_SLACK_RUN_SHARE_MIN)
                    }
                    _ => target_s,
                })
            })
            .min_by(f64::total_cmp)
    }

    /// The demand of a class for its average load and backlog. Large tasks with a start target need machines at any
    /// price only if they would be late. A reserve for expected arrivals is added if the start target is short and the
    /// turnover is insufficient.
    pub(super) fn demand_of(
        &self,
        class: &JobClass,
        turnover: Turnover,
        forecast: &ArrivalForecast,
    ) -> Demand {
        let load = self.class_load(class, forecast);
        let mut demand = self.backlog_demand(class, &load, forecast);
        if self.is_large(class) && load.start_target_s.is_finite() {
            let tasks = self.large_tasks_at_any_price(class, load.start_target_s);
            demand.at_any_price = tasks;
            demand.rented_at_any_price = tasks;
        }
        if load.has_short_start_target()
            && !self.has_sufficient_turnover(class, turnover, load.start_target_s)
        {
            let spare_ratio = self.config.tunables.spare_ratio;
            load.add_reserve(spare_ratio, class.tasks_per_job(), &mut demand);
        }
        demand.bounded(load.unfinished_tasks)
    }

    fn class_load(&self, class: &JobClass, forecast: &ArrivalForecast) -> ClassLoad {
        let options = self.catalog.options(&class.spec);
        let boot_s = options
            .iter()
            .map(|o| self.catalog[o.type_index].boot_s)
            .fold(f64::INFINITY, f64::min);
        let run_s = class.expected_run_s();
        let jobs_per_s = forecast.expected_rate(&class_key(&class.spec), self.now);
        let tasks_per_s = jobs_per_s * class.tasks_per_job();
        let unfinished_tasks = class.assigned_tasks + class.pending_tasks;
        let present_within_horizon = unfinished_tasks + tasks_per_s * ARRIVAL_HORIZON_S_MAX;
        let mut concurrent_tasks = (tasks_per_s * run_s).min(present_within_horizon);
        if forecast.is_young(self.now) {
            // If all controllers crashed, the forecast has too few arrivals: the assigned tasks give a lower bound.
            concurrent_tasks = concurrent_tasks.max(class.assigned_tasks);
        }
        ClassLoad {
            boot_s,
            start_target_s: strictest_start_target_s(self.config, &class.spec),
            run_s,
            tasks_per_s,
            concurrent_tasks,
            unfinished_tasks,
        }
    }

    /// The demand for the average load and for clearing the backlog in time. Machines for the average load serve the
    /// jobs that arrive meanwhile. Pending tasks that these machines work off soon add nothing; the rest adds only as
    /// many machines as clear it within the horizon, since more would be idle shortly after.
    fn backlog_demand(
        &self,
        class: &JobClass,
        load: &ClassLoad,
        forecast: &ArrivalForecast,
    ) -> Demand {
        let (run_s, average) = (load.run_s, load.concurrent_tasks);
        let horizon_s = self.backlog_horizon_s(class, load);
        let completed_per_s = average.max(class.assigned_tasks) / run_s;
        let concurrent_tasks_to_clear = |pending: f64, within_s: f64| {
            let backlog = (pending - completed_per_s * horizon_s * QUEUE_HORIZON_SHARE).max(0.0);
            average + backlog * run_s / within_s
        };
        // Existing machines are kept for the tasks that are pending now. Machines to be rented are for the tasks that
        // will be pending when these machines have booted.
        let arriving_per_s =
            forecast.recent_rate(&class_key(&class.spec), self.now) * class.tasks_per_job();
        let pending_after_boot =
            class.pending_tasks + (arriving_per_s - class.assigned_tasks / run_s) * load.boot_s;
        let rented_at_any_price = concurrent_tasks_to_clear(pending_after_boot, horizon_s);
        let at_any_price =
            concurrent_tasks_to_clear(class.pending_tasks, horizon_s * RETAINED_HORIZON_SHARE)
                .max(rented_at_any_price);
        Demand {
            at_low_price: load.unfinished_tasks.max(average),
            at_any_price,
            rented_at_any_price,
        }
    }

    /// The time within which a backlog should be cleared, in seconds.
    fn backlog_horizon_s(&self, class: &JobClass, load: &ClassLoad) -> f64 {
        let start_target_s = if load.has_short_start_target() {
            // Machines rented for the backlog can't meet such a target.
            f64::INFINITY
        } else {
            load.start_target_s
        };
        let completion_target_s = self
            .strictest_completion_target_s(class)
            .unwrap_or(f64::INFINITY);
        let target_s = start_target_s.min(completion_target_s);
        if target_s.is_finite() {
            target_s * BACKLOG_HORIZON_TARGET_SHARE
        } else {
            load.boot_s * BACKLOG_HORIZON_BOOT_TIMES
        }
    }

    /// How fast the small tasks of all classes release CPUs.
    pub(super) fn turnover(&self, classes: &JobClasses) -> Turnover {
        let small = classes.values().filter(|c| !self.is_large(c));
        Turnover {
            released_cpus_per_s: small
                .map(|c| c.assigned_tasks * c.task_resources.cpus / c.expected_run_s())
                .sum(),
        }
    }

    /// Whether small tasks end so often that a job of a class starts in time even if all machines are in use. Such a
    /// job waits only for the jobs ahead of it in the scheduling order.
    fn has_sufficient_turnover(
        &self,
        class: &JobClass,
        turnover: Turnover,
        start_target_s: f64,
    ) -> bool {
        !self.is_large(class)
            && turnover.released_cpus_per_s * start_target_s * TURNOVER_TARGET_SHARE
                >= class.tasks_per_job() * class.task_resources.cpus
    }

    /// How many large tasks need machines at any price: the assigned ones, and those that the machines at a low price
    /// can't start in time if each runs one task after another. Zero if all can be started in time.
    fn large_tasks_at_any_price(&self, class: &JobClass, start_target_s: f64) -> f64 {
        let class_key = class_key(&class.spec);
        let low_price_limit = self.lowest_unit_price(&class.spec) * LOW_PRICE_RATIO;
        let low_price_machines = self
            .fleet
            .machines
            .values()
            .filter(|m| !m.terminating && !m.quarantined && m.preemption_at.is_none())
            .filter(|machine| {
                machine.type_index.is_some_and(|type_index| {
                    tasks_that_fit(class.task_resources, self.catalog.capacity(type_index)) >= 1.0
                        && self.catalog.unit_price(type_index, machine.spot) <= low_price_limit
                })
            })
            .count() as f64;
        // Jobs that have missed the target already don't count.
        let longest_wait_s = self
            .waiting_jobs()
            .filter(|j| *j.class == *class_key)
            .map(|j| self.now - j.ready_at)
            .filter(|waited_s| *waited_s < start_target_s)
            .fold(0.0, f64::max);
        let remaining_s = (start_target_s * LARGE_START_TARGET_SHARE - longest_wait_s).max(0.0);
        let started_in_time = (low_price_machines * remaining_s / class.expected_run_s()).floor();
        // Machines at a low price are used first in any case; only the tasks beyond them justify a higher price.
        let late_tasks = (class.pending_tasks - started_in_time).max(0.0);
        if late_tasks > 0.0 {
            class.assigned_tasks + late_tasks
        } else {
            0.0
        }
    }
}
