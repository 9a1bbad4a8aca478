//! Limits on the attempts that may be on machines: the leader's memory bounds their total, the size of a worker's
//! heartbeat their number on one machine, and the state service's write rate those that are not stored yet.

use crate::config::Deployment;
use crate::fleet::Machine;
use crate::http::BODY_BYTES_MAX;
use crate::jobs::JobIndex;
use crate::leader::LEADER_WRITE_SHARE;
use crate::memory::{BYTES_PER_KIB, BYTES_PER_MB};
use crate::resources::{Resources, tasks_that_fit};
use crate::scheduler::pass::SchedulingView;

/// Memory of an attempt in the leader's state, the replica, the assignment log and a reply to a new leader, in bytes.
const ATTEMPT_BYTES: f64 = 512.0;
/// Memory of the name of an exited attempt that its worker must not forget, in bytes.
const KEPT_ATTEMPT_BYTES: f64 = 128.0;
/// Memory of a completed task of an unfinished job there, in bytes: it is recorded until the job has ended.
const COMPLETED_TASK_BYTES: f64 = 160.0;
/// The share of the process's memory that attempts and completed tasks may take.
const TASKS_MEMORY_SHARE: f64 = 0.5;
/// The share of that memory by which one job may exceed it: the job that frees the most of it when it ends.
const RESERVE_SHARE: f64 = 1.0 / 16.0;
/// The share of that memory that services leave to gangs, beside the reserve: they hold their attempts until they are
/// cancelled. Arrays may take it, since they end.
const GANG_SHARE: f64 = 5.0 / 16.0;
/// Maximum size of an attempt in a heartbeat, in bytes: with the longest job id, task and attempt number, and cause.
const HEARTBEAT_ENTRY_BYTES_MAX: usize = 117;
/// Maximum size of the rest of a heartbeat, in bytes.
const HEARTBEAT_HEADER_BYTES_MAX: usize = 1024;
/// The maximum number of attempts on a machine. A heartbeat that lists them all fits into a request.
pub(crate) const ATTEMPTS_PER_MACHINE_MAX: u32 =
    ((BODY_BYTES_MAX - HEARTBEAT_HEADER_BYTES_MAX) / HEARTBEAT_ENTRY_BYTES_MAX) as u32;
/// Attempts on each machine that are left to other tasks by tiny ones, of which a machine could hold more than its limit:
/// such a machine has free resources, so none is rented in its place.
const ATTEMPTS_LEFT_BY_TINY_TASKS: u32 = ATTEMPTS_PER_MACHINE_MAX / 16;
/// A job may have this many attempts for each one that is still free for all jobs. The more are in use, the fewer a
/// single job may have, so that some are always left for the next job.
const ATTEMPTS_PER_FREE_ATTEMPT: u32 = 2;
/// Typical size of an assignment in an assignment record, in bytes.
const STORED_ASSIGNMENT_BYTES: f64 = 32.0;
/// Time in which the assignments that are not stored yet can be written, in seconds. A launch waits for the assignments
/// that were decided before it.
const UNSTORED_ASSIGNMENTS_S: f64 = 2.0;
/// Lower bound of the assignments that may wait to be stored.
const UNSTORED_ASSIGNMENTS_MIN: f64 = 100.0;

/// The attempts that may still be added in one scheduling pass.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeAttempts {
    /// What memory allows.
    in_memory: u32,
    /// What of it services may take.
    for_services: u32,
    /// What can be stored soon.
    to_be_stored: u32,
    /// The waiting job with the most completed tasks. It may use the reserve, so that it ends and its memory is freed
    /// however little is left for the others.
    reserve_user: Option<JobIndex>,
    /// Attempts that the reserve holds.
    reserve: u32,
}

impl FreeAttempts {
    /// What the limits leave beside the attempts that are or may be on machines, the completed tasks of unfinished jobs,
    /// and the `unstored` task states.
    pub(super) fn new(view: &SchedulingView<'_>, unstored: usize) -> Self {
        let deployment = &view.config.deployment;
        let memory_bytes = tasks_memory_bytes(deployment);
        let attempt_bytes = attempt_bytes(view);
        let free_bytes = memory_bytes - attempt_bytes - completed_task_bytes(view);
        let service_bytes = memory_bytes * (1.0 - GANG_SHARE - RESERVE_SHARE) - attempt_bytes;
        let attempts = |bytes: f64| (bytes.max(0.0) / ATTEMPT_BYTES) as u32;
        let waiting = view.scheduler.waiting_jobs.iter();
        FreeAttempts {
            in_memory: attempts(free_bytes),
            for_services: attempts(free_bytes.min(service_bytes)),
            to_be_stored: saturating_difference(unstored_max(deployment), unstored),
            reserve_user: waiting
                .max_by_key(|index| view.jobs[index].done_tasks)
                .copied(),
            reserve: attempts(memory_bytes * RESERVE_SHARE),
        }
    }

    /// How many tasks of a service may be placed beside its attempts that are or may be on machines already.
    pub(super) fn for_service(&self, index: JobIndex, live_attempts: u32) -> u32 {
        self.for_array(index, live_attempts).min(self.for_services)
    }

    /// How many tasks of an array may be placed beside its attempts that are or may be on machines already.
    pub(super) fn for_array(&self, index: JobIndex, live_attempts: u32) -> u32 {
        // Placing n more leaves `in_memory - n`, and `live_attempts + n` must stay within its multiple.
        let allowed = self.in_memory.saturating_mul(ATTEMPTS_PER_FREE_ATTEMPT);
        let in_memory = allowed.saturating_sub(live_attempts) / (ATTEMPTS_PER_FREE_ATTEMPT + 1);
        let in_reserve = if self.reserve_user == Some(index) {
            self.reserve.saturating_sub(live_attempts)
        } else {
            0
        };
        in_memory.max(in_reserve).min(self.to_be_stored)
    }

    /// Whether all tasks of a gang may be placed. They are placed at once, even if they can't all be stored soon.
    pub(super) fn suffice_for_gang(&self, tasks: u32) -> bool {
        tasks <= self.in_memory && self.to_be_stored > 0
    }

    /// Takes the attempts of tasks that were placed.
    pub(super) fn take(&mut self, placed: usize) {
        self.in_memory = saturating_difference(self.in_memory, placed);
        self.for_services = saturating_difference(self.for_services, placed);
        self.to_be_stored = saturating_difference(self.to_be_stored, placed);
    }

    /// Leaves no attempts to the jobs that follow, so that those that end make room for a gang.
    pub(super) fn reserve_for_gang(&mut self) {
        self.in_memory = 0;
        self.for_services = 0;
    }

    /// Whether no more tasks are placed before some are stored.
    pub(super) fn wait_for_writes(&self) -> bool {
        self.to_be_stored == 0
    }
}

fn saturating_difference(limit: u32, used: usize) -> u32 {
    limit.saturating_sub(u32::try_from(used).unwrap_or(u32::MAX))
}

/// How many more tasks of this demand a machine may get, as far as their number goes. `free_attempts` is how many more
/// attempts it may hold.
fn attempts_for(demand: Resources, capacity: Resources, free_attempts: u32) -> u32 {
    let is_tiny = tasks_that_fit(demand, capacity) > f64::from(ATTEMPTS_PER_MACHINE_MAX);
    let left_to_others = if is_tiny {
        ATTEMPTS_LEFT_BY_TINY_TASKS
    } else {
        0
    };
    free_attempts.saturating_sub(left_to_others)
}

/// What a machine has left for tasks: resources, and attempts that its heartbeats have room for. Whoever decides whether a
/// task may go to a machine, or how many machines a job needs, must ask this type: resources alone promise places that
/// no task ever gets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreeCapacity {
    /// All resources of the machine, free or not.
    pub(crate) total: Resources,
    /// The resources that no task takes.
    pub(crate) resources: Resources,
    /// How many more attempts the machine may hold.
    pub(crate) attempts: u32,
}

impl FreeCapacity {
    /// The capacity of a machine without attempts.
    pub(crate) fn of_empty_machine(total: Resources) -> Self {
        FreeCapacity {
            total,
            resources: total,
            attempts: ATTEMPTS_PER_MACHINE_MAX,
        }
    }

    /// How many more tasks of this demand the machine may get.
    pub(crate) fn tasks(&self, demand: Resources) -> f64 {
        let attempts = attempts_for(demand, self.total, self.attempts);
        tasks_that_fit(demand, self.resources).min(f64::from(attempts))
    }

    /// What is left with `tasks` more tasks of this demand.
    pub(crate) fn after(&self, demand: Resources, tasks: f64) -> Self {
        FreeCapacity {
            resources: self.resources.minus(demand.times(tasks)),
            attempts: self.attempts.saturating_sub(tasks.ceil() as u32),
            ..*self
        }
    }
}

/// The most tasks of a gang that may be placed at once: what memory always leaves to gangs. Larger gangs can never run.
pub(crate) fn gang_tasks_max(deployment: &Deployment) -> u32 {
    (tasks_memory_bytes(deployment) * GANG_SHARE / ATTEMPT_BYTES) as u32
}

/// The memory that attempts and completed tasks may take, in bytes.
fn tasks_memory_bytes(deployment: &Deployment) -> f64 {
    deployment.limits.ram_mb * BYTES_PER_MB * TASKS_MEMORY_SHARE
}

/// Memory of the attempts on all machines, and of the exited ones that are kept there, in bytes.
fn attempt_bytes(view: &SchedulingView<'_>) -> f64 {
    let machines = || view.fleet.machines.values();
    let attempts: usize = machines().map(|machine| machine.attempts.len()).sum();
    let kept: usize = machines().map(Machine::kept_attempts).sum();
    attempts as f64 * ATTEMPT_BYTES + kept as f64 * KEPT_ATTEMPT_BYTES
}

/// Memory of the completed tasks of unfinished jobs, in bytes.
fn completed_task_bytes(view: &SchedulingView<'_>) -> f64 {
    let completed: u64 = view.jobs.values().map(|j| u64::from(j.done_tasks)).sum();
    completed as f64 * COMPLETED_TASK_BYTES
}

/// The maximum number of task states that wait to be stored.
fn unstored_max(deployment: &Deployment) -> u32 {
    let state = &deployment.state;
    let bytes_per_s = state.write_rps * LEADER_WRITE_SHARE * state.value_kb * BYTES_PER_KIB;
    let assignments_per_s = bytes_per_s / STORED_ASSIGNMENT_BYTES;
    (assignments_per_s * UNSTORED_ASSIGNMENTS_S).max(UNSTORED_ASSIGNMENTS_MIN) as u32
}

#[cfg(test)]
mod tests;
