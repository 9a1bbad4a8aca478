//! Relays: the reports of delegates on zones that the leader can't reach.

use super::Leader;
use crate::fleet::AttemptKey;
use crate::jobs::JobIndex;
use crate::protocol::workers::ExitReason;
use crate::runtime::Time;
use crate::store::records::{RelayRecord, TaskRange};

impl Leader {
    /// Handles a delegate's report of tasks that completed, and of agent epochs in which workers have seen this
    /// leader's fencing token. Both facts stay true whatever happens later, so late and repeated reports do no harm. No
    /// worker is made to forget an attempt because of a relay.
    pub fn on_relay(&mut self, record: &RelayRecord, now: Time) {
        if record.fencing_token != self.fencing_token {
            return;
        }
        self.fleet
            .zones
            .record_relay(record.zone.as_str().into(), now);
        for (machine, agent_epoch) in &record.agent_epochs {
            self.on_relayed_epoch(machine, *agent_epoch, now);
        }
        for relayed in &record.jobs {
            let Some(index) = self.job_index(&relayed.id) else {
                continue;
            };
            for range in &relayed.done {
                self.on_relayed_completions(index, relayed.attempt, *range, now);
            }
        }
    }

    /// Handles that a range of a job's tasks completed in an attempt.
    fn on_relayed_completions(
        &mut self,
        index: JobIndex,
        attempt: u64,
        range: TaskRange,
        now: Time,
    ) {
        let tasks = self.jobs[&index].spec.tasks;
        for task in range.tasks_below(tasks) {
            let job = self.jobs.get(&index);
            if let Some(machine) = job.and_then(|job| job.machine_of(task, attempt)) {
                let key = AttemptKey {
                    job: index,
                    task,
                    attempt,
                };
                self.on_attempt_exit(machine, key, ExitReason::Done, true, now);
            }
        }
    }

    /// Handles that the worker of a machine has seen this leader's fencing token in an agent epoch. Releases the
    /// attempts that can't be on the machine any more because of that.
    fn on_relayed_epoch(&mut self, machine: &str, agent_epoch: u64, now: Time) {
        let Some(index) = self.fleet.find(machine) else {
            return;
        };
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        for key in machine.on_relayed_epoch(agent_epoch) {
            self.release_attempt(index, key, now);
        }
    }
}
