//! Carries out the scheduler's decisions: assigns tasks to machines, and stops preempted attempts.

use super::Leader;
use crate::autoscaler::{CapacityUnit, JobClass};
use crate::jobs::{Job, JobIndex};
use crate::runtime::Time;
use crate::scheduler::pass::{Assignment, SchedulingPass, SchedulingView};
use crate::scheduler::preemption::{PreemptedAttempt, PreemptionRequest, PreemptionStop};

impl Leader {
    /// Runs a scheduling pass over the waiting jobs, if one is requested. Each task is launched once its assignment is
    /// stored.
    pub fn schedule(&mut self, now: Time) {
        if !self.take_scheduling_pass_request() || self.scheduler.waiting_jobs.is_empty() {
            return;
        }
        let borrowing_priority_limit = |type_index| self.borrowing_priority_limit(type_index);
        let mut pass = SchedulingPass::new(
            &self.scheduling_view(now),
            self.writer.unstored_tasks(),
            borrowing_priority_limit,
        );
        if pass.has_no_candidates() {
            return;
        }
        let reached_end = self.scheduling_order(now).iter().all(|index| {
            if pass.is_work_used_up() {
                return false;
            }
            self.place_job(&mut pass, *index, now);
            self.scheduler.visited_jobs.insert(*index);
            true
        });
        if reached_end {
            self.scheduler.visited_jobs.clear();
        } else {
            self.request_scheduling_pass();
        }
        self.scheduler.waits_for_writes = pass.waits_for_writes();
    }

    /// Places as many tasks of a job as the pass allows.
    fn place_job(&mut self, pass: &mut SchedulingPass, index: JobIndex, now: Time) {
        let Some(assignments) = pass.place(&self.scheduling_view(now), index) else {
            return;
        };
        self.assign_all(index, &assignments, now);
        if self.jobs[&index].pending_tasks() == 0 {
            self.dequeue(index);
        }
    }

    /// The waiting jobs that the next pass visits, in the order in which they are placed.
    pub(crate) fn scheduling_order(&self, now: Time) -> Vec<JobIndex> {
        self.scheduling_view(now).remaining_order()
    }

    /// Recounts the machines that hold each image.
    pub(crate) fn update_image_prevalence(&mut self, now: Time) {
        self.scheduler.update_image_prevalence(&self.fleet, now);
    }

    /// Preempts small tasks for a class of large work that waits, on machines that the scaling plan keeps for large
    /// work: on as many as there are waiting tasks without a free machine, and only where all tasks are of lower
    /// priority.
    pub(crate) fn preempt_for_class(
        &mut self,
        class: &JobClass,
        units: &[CapacityUnit],
        now: Time,
    ) {
        let units_for_large_tasks = || {
            units
                .iter()
                .filter(|unit| unit.is_planned_for_large_tasks())
        };
        let request = PreemptionRequest {
            priority: class.spec.priority,
            waiting_tasks: class.pending_tasks as usize,
            empty_machines: units_for_large_tasks()
                .filter(|unit| unit.is_up && !unit.runs_small_tasks && !unit.runs_large_tasks)
                .count(),
            occupied_machines: units_for_large_tasks()
                .filter(|unit| unit.runs_small_tasks)
                .filter_map(|unit| unit.machine_index)
                .collect(),
        };
        let preempted = request.select(&self.fleet, &self.jobs);
        self.stop_preempted(&preempted, now);
    }

    /// Borrows the parts of the leader's state that the scheduler reads.
    fn scheduling_view(&self, now: Time) -> SchedulingView<'_> {
        SchedulingView {
            config: &self.config,
            catalog: &self.catalog,
            fleet: &self.fleet,
            jobs: &self.jobs,
            team_usage: &self.team_usage,
            autoscaler: &self.autoscaler,
            scheduler: &self.scheduler,
            now,
        }
    }

    /// Assigns the next pending tasks of a job to these machines, all with the same attempt number.
    fn assign_all(&mut self, index: JobIndex, assignments: &[Assignment], now: Time) {
        if assignments.is_empty() && self.jobs[&index].is_gang() {
            return;
        }
        // An array of which no task is placed uses up a number as well: gaps between attempt numbers do no harm.
        let attempt = self.next_attempt_number();
        for assignment in assignments {
            let Some(task) = self.jobs.get_mut(&index).and_then(Job::take_pending) else {
                return;
            };
            self.assign(index, task, assignment.machine, attempt, now);
            if let Some(machine) = self.fleet.machines.get_mut(&assignment.machine) {
                machine.price = assignment.price_after;
            }
        }
    }

    /// Stops preempted attempts: first those that a worker must stop, then those whose launch was never sent. The order
    /// matters for gangs: the release of a gang's task stops the rest of the gang with a grace period of 0, which a
    /// later eviction would replace by a longer one.
    fn stop_preempted(&mut self, preempted: &[PreemptedAttempt], now: Time) {
        for attempt in preempted {
            if let PreemptionStop::Evict { grace_s } = attempt.stop {
                self.evict(attempt, grace_s);
            }
        }
        for attempt in preempted {
            if let PreemptionStop::Release = attempt.stop {
                self.release_attempt(attempt.machine, attempt.key, now);
            }
        }
    }

    /// Requests that the worker stops an attempt, with `grace_s` seconds to save a checkpoint.
    fn evict(&mut self, preempted: &PreemptedAttempt, grace_s: f64) {
        let Some(machine) = self.fleet.machines.get_mut(&preempted.machine) else {
            return;
        };
        if let Some(task_attempt) = machine.attempts.get_mut(&preempted.key) {
            task_attempt.stop_grace_s = Some(grace_s);
            machine.direct_call_requested = true;
            self.fleet.direct_call_queue.insert(preempted.machine);
        }
    }
}
