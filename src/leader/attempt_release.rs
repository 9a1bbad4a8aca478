//! Release of attempts that are certain to be off their machine, so that their tasks can be placed again.

use super::Leader;
use crate::fleet::AttemptKey;
use crate::jobs::{JobIndex, MachineIndex, Task};
use crate::protocol::workers::TaskState;
use crate::runtime::Time;

impl Leader {
    /// Releases all attempts on machines whose worker's lease has expired, as the worker can't be running them any
    /// more. On machines that are overdue or unresponsive, releases the attempts that were never launched.
    pub(crate) fn expire_leases(&mut self, now: Time) {
        for (machine_index, key) in self.fleet.expired_attempts(now) {
            self.release_attempt(machine_index, key, now);
        }
    }

    /// Releases all attempts on a machine that no longer exists, and removes the machine.
    pub(crate) fn remove_machine(&mut self, machine_index: MachineIndex, now: Time) {
        let keys: Vec<AttemptKey> = match self.fleet.machines.get(&machine_index) {
            Some(machine) => machine.attempts.keys().copied().collect(),
            None => return,
        };
        for key in keys {
            self.release_attempt(machine_index, key, now);
        }
        self.fleet.remove(machine_index);
        self.request_scheduling_pass();
    }

    /// Releases an attempt that is certain to be off its machine: frees its resources and, if the task is still
    /// assigned to that machine as this attempt, makes the task pending again.
    pub(crate) fn release_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: AttemptKey,
        now: Time,
    ) {
        let Some(task_attempt) = self
            .fleet
            .machines
            .get_mut(&machine_index)
            .and_then(|machine| machine.remove_attempt(&key))
        else {
            return;
        };
        self.on_attempt_removed(key.job);
        if task_attempt.completed {
            self.mark_if_finished(key.job);
            return;
        }
        if matches!(task_attempt.state, None | Some(TaskState::Fetching)) {
            self.cancel_image_fetch(machine_index, key.job);
        }
        self.release_team(key.job);
        if self.jobs[&key.job].is_gang() {
            self.attribute_gang_failure(key.job);
        }
        if self.is_current_assignment(machine_index, key) {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.release(key.task);
            }
            self.enqueue_if_pending(key.job);
            self.on_task_released(key.job, key.task, now);
        }
        self.request_scheduling_pass();
        self.mark_if_finished(key.job);
    }

    /// Returns whether a task is currently assigned to this machine as this attempt.
    pub(super) fn is_current_assignment(
        &self,
        machine_index: MachineIndex,
        key: AttemptKey,
    ) -> bool {
        matches!(self.jobs[&key.job].task(key.task),
            Task::Assigned { machine, attempt, .. } if machine == machine_index && attempt == key.attempt)
    }

    /// Cancels the fetch of a job's image in the leader's model of the machine's cache, unless another attempt on the
    /// machine uses the image. The worker cancels a fetch that none of its tasks needs any more, too.
    fn cancel_image_fetch(&mut self, machine_index: MachineIndex, job: JobIndex) {
        let image = &self.jobs[&job].spec.image;
        if let Some(machine) = self.fleet.machines.get_mut(&machine_index)
            && !machine
                .attempts
                .keys()
                .any(|key| self.jobs[&key.job].spec.image == *image)
        {
            machine.image_cache.forget_fetch(image);
        }
    }
}
