//! Preemption: attempts of lower priority are stopped to free machines for large tasks.
//!
//! Only large tasks need preemption. Small tasks use the capacity that other small tasks free when they end, in the
//! scheduling order.

use crate::fleet::{AttemptKey, Fleet, Machine};
use crate::jobs::MachineIndex;
use crate::jobs::job_table::JobTable;
use crate::protocol::users::Priority;

/// Large tasks that wait for machines, and the machines that are kept for large tasks.
#[derive(Debug)]
pub(crate) struct PreemptionRequest {
    /// The priority of the waiting tasks. Only attempts of a lower priority are stopped.
    pub(crate) priority: Priority,
    /// The number of waiting tasks.
    pub(crate) waiting_tasks: usize,
    /// The number of machines kept for large tasks that are up and run no tasks.
    pub(crate) empty_machines: usize,
    /// The machines kept for large tasks that run small tasks, in the order in which they are to be emptied.
    pub(crate) occupied_machines: Vec<MachineIndex>,
}

/// An attempt that preemption stops.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PreemptedAttempt {
    pub(crate) machine: MachineIndex,
    pub(crate) key: AttemptKey,
    pub(crate) stop: PreemptionStop,
}

/// How a preempted attempt is stopped.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PreemptionStop {
    /// The leader releases the attempt at once, because its launch was never sent.
    Release,
    /// The worker stops the attempt and allows it `grace_s` seconds to save a checkpoint.
    Evict { grace_s: f64 },
}

impl PreemptionRequest {
    /// Selects the attempts to stop. Considers one occupied machine for each waiting task without an empty machine, and
    /// skips machines with any attempt of the same or a higher priority.
    pub(crate) fn select(&self, fleet: &Fleet, jobs: &JobTable) -> Vec<PreemptedAttempt> {
        let machines_needed = self.waiting_tasks.saturating_sub(self.empty_machines);
        self.occupied_machines
            .iter()
            .take(machines_needed)
            .filter_map(|index| Some((*index, fleet.machines.get(index)?)))
            .filter(|(_, machine)| self.can_preempt_all(machine, jobs))
            .flat_map(|(index, machine)| attempts_to_stop(index, machine, jobs))
            .collect()
    }

    /// Whether all attempts on a machine that are not completed have a lower priority than the waiting tasks.
    fn can_preempt_all(&self, machine: &Machine, jobs: &JobTable) -> bool {
        machine.attempts.iter().all(|(key, task_attempt)| {
            task_attempt.completed || jobs[&key.job].spec.priority < self.priority
        })
    }
}

/// Returns the attempts on a machine that are neither completed nor already being stopped.
fn attempts_to_stop(
    machine_index: MachineIndex,
    machine: &Machine,
    jobs: &JobTable,
) -> impl Iterator<Item = PreemptedAttempt> {
    machine
        .attempts
        .iter()
        .filter(|(_, task_attempt)| !task_attempt.completed && task_attempt.stop_grace_s.is_none())
        .map(move |(key, task_attempt)| PreemptedAttempt {
            machine: machine_index,
            key: *key,
            stop: if task_attempt.is_unsent() {
                PreemptionStop::Release
            } else {
                PreemptionStop::Evict {
                    grace_s: jobs[&key.job].spec.save_s,
                }
            },
        })
}
