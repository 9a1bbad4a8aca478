//! Attribution of task failures to the machine or to the job.

use super::Leader;
use crate::jobs::{JobIndex, MachineIndex};
use crate::runtime::Time;

/// The shortest backoff of a job whose tasks fail on several machines, in heartbeat intervals.
const JOB_BACKOFF_HEARTBEATS_MIN: f64 = 2.0;
/// The longest such backoff, in heartbeat intervals.
const JOB_BACKOFF_HEARTBEATS_MAX: f64 = 40.0;
/// Number of machines on which tasks of a job must fail for the job itself to be at fault.
const JOB_FAULT_MACHINES: usize = 3;
/// A machine is quarantined after tasks of this many jobs failed on it, with no completed task in between.
const MACHINE_FAULT_JOBS: usize = 2;
/// A machine is also quarantined after this many failures in a row, if the job that fails does so on no other machine.
const MACHINE_FAULT_FAILURES: u32 = 3;
/// The machine of a failed task is at fault, and not the job, once this many other tasks of the same array have
/// completed, or if at most one in this many tasks of the gang failed.
const COMPLETED_PER_FAILED: u32 = 3;
/// Backoff of a machine for each failure in a row, in heartbeat intervals.
const MACHINE_BACKOFF_HEARTBEATS: f64 = 2.0;

impl Leader {
    /// Decides whether the machine or the job is at fault for a task that failed, and backs off the job, or backs off
    /// or quarantines the machine.
    pub(crate) fn attribute_task_failure(
        &mut self,
        index: JobIndex,
        machine_index: MachineIndex,
        now: Time,
    ) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        // A faulty job fails on all machines. If several of its tasks have completed, the machine is at fault.
        if !job.is_gang() && job.done_tasks >= COMPLETED_PER_FAILED {
            self.quarantine(machine_index);
            return;
        }
        job.failed_machines.insert(machine_index);
        job.failed_machines_in_attempt.insert(machine_index);
        let failed_machine_count = job.failed_machines.len();
        if failed_machine_count >= JOB_FAULT_MACHINES {
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
        // The failures of a single job count against a machine only while the job fails on no other machine.
        let is_machine_at_fault = machine.failed_jobs.len() >= MACHINE_FAULT_JOBS
            || (failed_machine_count == 1
                && machine.consecutive_failures >= MACHINE_FAULT_FAILURES);
        if is_machine_at_fault {
            self.quarantine(machine_index);
        }
    }

    /// Attributes the failure of a gang's attempt, once all tasks of the attempt are off their machines. If few of them
    /// failed and the others only lost their peers, the machines of those few are at fault. They are quarantined, as
    /// each of them would make one large gang after another fail.
    pub(crate) fn attribute_gang_failure(&mut self, index: JobIndex) {
        let Some(job) = self
            .jobs
            .get_mut(&index)
            .filter(|job| job.live_attempts == 0)
        else {
            return;
        };
        let failed_machines = std::mem::take(&mut job.failed_machines_in_attempt);
        if failed_machines.len() * COMPLETED_PER_FAILED as usize > job.spec.tasks as usize {
            return;
        }
        for machine_index in failed_machines {
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
