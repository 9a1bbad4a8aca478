//! Whether a machine or a job is at fault when tasks fail.

use super::Leader;
use crate::jobs::{JobIndex, MachineIndex};
use crate::runtime::Time;

/// The shortest and the longest backoff of a job whose tasks fail on several machines, in heartbeat intervals.
const JOB_BACKOFF_HEARTBEATS_MIN: f64 = 2.0;
const JOB_BACKOFF_HEARTBEATS_MAX: f64 = 40.0;
/// Machines on which a job must fail before the job itself is at fault.
const JOB_FAULT_MACHINES: usize = 3;
/// A machine is quarantined after failures of so many jobs in a row, or so many failures of a single job that fails
/// nowhere else.
const MACHINE_FAULT_JOBS: usize = 2;
const MACHINE_FAULT_FAILURES: u32 = 3;
/// So many tasks of a job that complete, to one that fails, show that the machine is at fault and not the job.
const COMPLETED_PER_FAILED: u32 = 3;
/// Backoff of a machine after each failure in a row, in heartbeat intervals.
const MACHINE_BACKOFF_HEARTBEATS: f64 = 2.0;

impl Leader {
    /// A task failed on a machine: decides whether the machine or the job is at fault, and backs off or quarantines it.
    pub(crate) fn on_task_error(
        &mut self,
        index: JobIndex,
        machine_index: MachineIndex,
        now: Time,
    ) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        // A faulty job fails everywhere: where others of its tasks complete, it is the machine.
        if !job.is_gang() && job.done_tasks >= COMPLETED_PER_FAILED {
            self.quarantine(machine_index);
            return;
        }
        job.failed_machines.insert(machine_index);
        job.failed_machines_in_attempt.insert(machine_index);
        let failed_on = job.failed_machines.len();
        if failed_on >= JOB_FAULT_MACHINES {
            job.backoff_s = (job.backoff_s * 2.0)
                .max(heartbeat_interval_s * JOB_BACKOFF_HEARTBEATS_MIN)
                .min(heartbeat_interval_s * JOB_BACKOFF_HEARTBEATS_MAX);
            job.backoff_until = now + job.backoff_s;
            return;
        }
        let Some(machine) = self.fleet.machines.get_mut(&machine_index) else {
            return;
        };
        machine.consecutive_failures += 1;
        machine.failed_jobs.insert(index);
        machine.backoff_until = now
            + heartbeat_interval_s
                * MACHINE_BACKOFF_HEARTBEATS
                * f64::from(machine.consecutive_failures);
        // The failures of one job count against a machine only while it fails nowhere else.
        let at_fault = machine.failed_jobs.len() >= MACHINE_FAULT_JOBS
            || (failed_on == 1 && machine.consecutive_failures >= MACHINE_FAULT_FAILURES);
        if at_fault {
            self.quarantine(machine_index);
        }
    }

    /// All of a gang's attempt is off its machines. If few of its tasks failed and the others only lost their peers, the
    /// fault is with those machines: each would take down one large gang after the other.
    pub(crate) fn attribute_gang_failure(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(&index).filter(|j| j.live_attempts == 0) else {
            return;
        };
        let failed = std::mem::take(&mut job.failed_machines_in_attempt);
        if failed.len() * COMPLETED_PER_FAILED as usize > job.spec.tasks as usize {
            return;
        }
        for machine_index in failed {
            job.failed_machines.remove(&machine_index);
            if let Some(machine) = self.fleet.machines.get_mut(&machine_index) {
                machine.quarantine();
            }
        }
    }

    pub(super) fn quarantine(&mut self, machine_index: MachineIndex) {
        if let Some(machine) = self.fleet.machines.get_mut(&machine_index) {
            machine.quarantine();
        }
    }
}
