//! For how many tasks of a class there should be machines.

use super::ScalingInputs;
use super::arrival_forecast::ArrivalForecast;
use super::coverage::LOW_PRICE_RATIO;
use super::job_classes::{JobClass, JobClasses};
use crate::config::ObjectiveKind;
use crate::jobs::class_key::class_key;
use crate::jobs::objectives::strictest_start_target_s;
use crate::resources::tasks_that_fit;

/// A backlog for which no objective sets a time is to be worked off within so many boot times.
const BACKLOG_BOOT_TIMES: f64 = 1.0;
/// A backlog is to be worked off within this share of the time that its jobs may take.
const BACKLOG_TIME_SHARE: f64 = 0.5;
/// Machines that are up already are kept if they shorten a backlog to be worked off within this share of the time for a
/// backlog.
const RETAINED_BACKLOG_TIME_SHARE: f64 = 0.3;
/// Work that waits is no backlog as far as the usual flow works it off within this share of the time for a backlog.
const QUEUE_TIME_SHARE: f64 = 0.25;
/// Work that must start within fewer boot times can only use machines that are up already.
const TIGHT_START_BOOT_TIMES: f64 = 1.5;
/// Machines in use are as good as free ones if what a usual job takes comes free on them within this share of the time
/// within which it must start.
const TURNOVER_TIME_SHARE: f64 = 0.125;
/// A deadline shorter than a job's run time still leaves this share of the run time for waiting.
const DEADLINE_SLACK_RUN_SHARE_MIN: f64 = 0.2;
/// Large work is to start within this share of the time within which it must.
const LARGE_START_TIME_SHARE: f64 = 0.75;

/// For how many tasks of a class there should be machines: at a low price for as many as they help at all, at a higher
/// price only for what keeps the work in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Tasks to have machines for at a low price (see [`LOW_PRICE_RATIO`]).
    pub(super) at_low_price: f64,
    /// Tasks to have machines for at any price, of those that are there or coming.
    pub(super) at_any_price: f64,
    /// As `at_any_price`, for machines still to be rented: it rests on what will wait when they are up.
    pub(super) rented_at_any_price: f64,
}

impl Demand {
    /// Machines at any price for all of so many tasks.
    pub(super) fn at_any_price(tasks: f64) -> Self {
        Demand {
            at_low_price: tasks,
            at_any_price: tasks,
            rented_at_any_price: tasks,
        }
    }

    /// Takes away tasks for which machines were found.
    pub(super) fn subtract(&mut self, tasks: f64) {
        self.at_low_price -= tasks;
        self.at_any_price -= tasks;
        self.rented_at_any_price -= tasks;
    }

    /// Whole tasks, and at any price never none of those that are needed: what waits must run some time, however little
    /// it is. And never more than at a low price: at a start all of a burst of jobs once asked for three times as many.
    fn bounded(self, needed: f64) -> Self {
        let bounded = |tasks: f64| tasks.min(self.at_low_price).round().max(needed.min(1.0));
        Demand {
            at_low_price: self.at_low_price.ceil(),
            at_any_price: bounded(self.at_any_price),
            rented_at_any_price: bounded(self.rented_at_any_price),
        }
    }
}

/// How much of a class comes and runs, and how soon it must.
struct ClassLoad {
    /// The shortest boot time of machines that it may use, in seconds.
    boot_s: f64,
    /// Within what time tasks must start, in seconds; infinite if no objective says.
    start_within_s: f64,
    /// Run time of a task, in seconds.
    run_s: f64,
    /// Tasks that arrive per second.
    tasks_per_s: f64,
    /// Tasks that run at once if they all start as they arrive.
    concurrent_tasks: f64,
    /// Unfinished tasks.
    needed: f64,
}

impl ClassLoad {
    /// Whether machines rented now would be up too late.
    fn is_tight(&self) -> bool {
        self.start_within_s < self.boot_s * TIGHT_START_BOOT_TIMES
    }

    /// Raises a demand to machines that are up before the work comes: nothing rented now would be up in time.
    fn add_reserve(&self, spare_ratio: f64, tasks_per_job: f64, demand: &mut Demand) {
        let expected = self.concurrent_tasks;
        if self.run_s >= self.boot_s {
            // Beyond what is usual, machines that come free are enough of a reserve.
            let usual = expected + (expected * tasks_per_job).sqrt();
            let arriving = self.needed + spare_ratio * self.tasks_per_s * self.boot_s;
            *demand = Demand::at_any_price(self.needed.max(arriving.min(usual)));
        } else {
            demand.at_low_price = demand
                .at_low_price
                .max(expected + spare_ratio * (expected * tasks_per_job).sqrt());
        }
    }
}

impl ScalingInputs<'_> {
    /// Within what time jobs of a class should be done after they could begin, in seconds. A deadline grows with the
    /// run time: only what it leaves beyond that is for waiting.
    fn strictest_finish_s(&self, class: &JobClass) -> Option<f64> {
        let run_s = class.expected_run_s();
        let mut usual = (*class.spec).clone();
        usual.deadline_s = class.deadline_s.get().or(usual.deadline_s);
        let objectives = &self.config.deployment.objectives;
        objectives
            .iter()
            .filter_map(|o| {
                let within = o.completion_target_s(&usual)?;
                Some(match o.kind {
                    ObjectiveKind::Deadline => {
                        (within - run_s).max(run_s * DEADLINE_SLACK_RUN_SHARE_MIN)
                    }
                    _ => within,
                })
            })
            .min_by(f64::total_cmp)
    }

    /// For how many tasks of a class there should be machines.
    pub(super) fn demand_of(
        &self,
        class: &JobClass,
        classes: &JobClasses,
        forecast: &ArrivalForecast,
    ) -> Demand {
        let load = self.class_load(class, forecast);
        let mut demand = self.backlog_demand(class, &load, forecast);
        if self.is_large(class) && load.start_within_s.is_finite() {
            let tasks = self.large_tasks_at_any_price(class, load.start_within_s);
            demand.at_any_price = tasks;
            demand.rented_at_any_price = tasks;
        }
        if load.is_tight() && !self.has_turnover(class, classes, load.start_within_s) {
            let spare_ratio = self.config.tunables.spare_ratio;
            load.add_reserve(spare_ratio, class.tasks_per_job(), &mut demand);
        }
        demand.bounded(load.needed)
    }

    fn class_load(&self, class: &JobClass, forecast: &ArrivalForecast) -> ClassLoad {
        let options = self.catalog.options(&class.spec);
        let boot_s = options
            .iter()
            .map(|o| self.catalog[o.type_index].boot_s)
            .fold(f64::INFINITY, f64::min);
        let run_s = class.expected_run_s();
        let jobs_per_s = forecast.rate(&class_key(&class.spec), self.now);
        let tasks_per_s = jobs_per_s * class.tasks_per_job();
        let mut concurrent_tasks = tasks_per_s * run_s;
        if forecast.is_young(self.now) {
            // After all controllers crashed little is known: what runs shows what came.
            concurrent_tasks = concurrent_tasks.max(class.assigned_tasks);
        }
        ClassLoad {
            boot_s,
            start_within_s: strictest_start_target_s(self.config, &class.spec),
            run_s,
            tasks_per_s,
            concurrent_tasks,
            needed: class.assigned_tasks + class.pending_tasks,
        }
    }

    /// What is usual, and what works off a backlog in time. The usual covers what comes meanwhile. Work may wait a little:
    /// only what would wait for longer asks for more, and not for as much as would be idle a moment later.
    fn backlog_demand(
        &self,
        class: &JobClass,
        load: &ClassLoad,
        forecast: &ArrivalForecast,
    ) -> Demand {
        let (run_s, usual) = (load.run_s, load.concurrent_tasks);
        let horizon_s = self.backlog_horizon_s(class, load);
        let finished_per_s = usual.max(class.assigned_tasks) / run_s;
        let enough = |pending: f64, within_s: f64| {
            let late = (pending - finished_per_s * horizon_s * QUEUE_TIME_SHARE).max(0.0);
            usual + late * run_s / within_s
        };
        // What is there stays while much waits; what is rented meets what will wait by the time it is up.
        let arriving_per_s =
            forecast.recent_rate(&class_key(&class.spec), self.now) * class.tasks_per_job();
        let pending_after_boot =
            class.pending_tasks + (arriving_per_s - class.assigned_tasks / run_s) * load.boot_s;
        let rented_at_any_price = enough(pending_after_boot, horizon_s);
        let at_any_price = enough(class.pending_tasks, horizon_s * RETAINED_BACKLOG_TIME_SHARE)
            .max(rented_at_any_price);
        Demand {
            at_low_price: load.needed.max(usual),
            at_any_price,
            rented_at_any_price,
        }
    }

    /// Within what time a backlog is to be worked off, in seconds.
    fn backlog_horizon_s(&self, class: &JobClass, load: &ClassLoad) -> f64 {
        let start_within_s = if load.is_tight() {
            f64::INFINITY
        } else {
            load.start_within_s
        };
        let finish_within_s = self.strictest_finish_s(class).unwrap_or(f64::INFINITY);
        let within_s = start_within_s.min(finish_within_s);
        if within_s.is_finite() {
            within_s * BACKLOG_TIME_SHARE
        } else {
            load.boot_s * BACKLOG_BOOT_TIMES
        }
    }

    /// Whether small tasks end so often that a job of a class finds room in time on machines that are all in use: what
    /// it waits for at most is the work before it in the order.
    fn has_turnover(&self, class: &JobClass, classes: &JobClasses, start_within_s: f64) -> bool {
        if self.is_large(class) {
            return false;
        }
        let small = classes.values().filter(|c| !self.is_large(c));
        let freed_cpus_per_s: f64 = small
            .map(|c| c.assigned_tasks * c.task_resources.cpus / c.expected_run_s())
            .sum();
        freed_cpus_per_s * start_within_s * TURNOVER_TIME_SHARE
            >= class.tasks_per_job() * class.task_resources.cpus
    }

    /// How many large tasks need machines at any price: those that machines at a low price can't start in time, one
    /// after the other.
    fn large_tasks_at_any_price(&self, class: &JobClass, start_within_s: f64) -> f64 {
        let class_key = class_key(&class.spec);
        let limit = self.lowest_unit_price(&class.spec) * LOW_PRICE_RATIO;
        let low_price_machines = self
            .fleet
            .machines
            .values()
            .filter(|m| !m.terminating && !m.quarantined && m.preemption_at.is_none())
            .filter(|m| {
                m.type_index.is_some_and(|t| {
                    tasks_that_fit(class.task_resources, self.catalog.capacity(t)) >= 1.0
                        && self.catalog.unit_price(t, m.spot) <= limit
                })
            })
            .count() as f64;
        let oldest_wait_s = self
            .waiting_jobs()
            .filter(|j| *j.class == *class_key)
            .map(|j| self.now - j.ready_at)
            .filter(|waited_s| *waited_s < start_within_s)
            .fold(0.0, f64::max);
        let left_s = (start_within_s * LARGE_START_TIME_SHARE - oldest_wait_s).max(0.0);
        let in_time = (low_price_machines * left_s / class.expected_run_s()).floor();
        // Machines at a low price come first in any case; others are for what is beyond them.
        let late = (class.pending_tasks - in_time).max(0.0);
        if late > 0.0 {
            class.assigned_tasks + late
        } else {
            0.0
        }
    }
}
