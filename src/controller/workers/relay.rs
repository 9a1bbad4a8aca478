//! Relays: reports of a delegate to the leader about a zone that the leader can't reach, written to the store.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::controller::Controller;
use crate::jobs::task_name::parse_task_name;
use crate::protocol::store::{Change, Condition, Txn};
use crate::protocol::workers::{ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::runtime::Signal;
use crate::store::keys;
use crate::store::records::{JobAssignments, RelayRecord, TaskRange};
use crate::store::transaction::TxnOutcome;

/// Size allowed for a relay record without its jobs and agent epochs, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;
/// Maximum size of a job in a record without its id and its ranges of tasks, in bytes.
const JOB_OVERHEAD_BYTES: usize = 48;
/// Maximum size of a range of tasks, or of an agent epoch without the name of its machine, in bytes.
const RANGE_BYTES_MAX: usize = 16;

/// What heartbeats of a zone showed that the leader needs to know: completed tasks and new agent epochs.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// The fencing token of the leader that the relay is for.
    fencing_token: u64,
    /// Tasks that heartbeats showed as completed, by name and attempt, kept so that each is reported only once.
    completed: HashSet<(String, u64)>,
    /// Completed tasks that still have to be written, by job and attempt.
    pending_tasks: BTreeMap<(String, u64), BTreeSet<u32>>,
    /// The last agent epoch seen of each machine.
    agent_epochs: HashMap<String, u64>,
    /// Machines with agent epochs that still have to be written.
    pending_epochs: Vec<(String, u64)>,
}

impl Relay {
    /// An empty relay for the leader with this fencing token.
    pub(crate) fn new(fencing_token: u64) -> Self {
        Relay {
            fencing_token,
            ..Relay::default()
        }
    }

    /// Records a heartbeat; returns whether it has added something to be written.
    pub(crate) fn record(&mut self, heartbeat: &Heartbeat) -> bool {
        let mut has_additions = self.record_agent_epoch(heartbeat);
        for status in &heartbeat.tasks {
            has_additions |= self.record_completion(status);
        }
        has_additions
    }

    /// Records the agent epoch of a worker; returns whether it is new.
    fn record_agent_epoch(&mut self, heartbeat: &Heartbeat) -> bool {
        // The leader releases the attempts that a reported agent epoch shows to be gone from the machine. A worker that
        // has not yet seen the leader's fencing token may still receive commands of an earlier leader, so its agent
        // epoch does not show that.
        if heartbeat.fencing_token != self.fencing_token {
            return false;
        }
        let (machine, agent_epoch) = (&heartbeat.machine, heartbeat.agent_epoch);
        let known = self.agent_epochs.insert(machine.clone(), agent_epoch);
        if known == Some(agent_epoch) {
            return false;
        }
        self.pending_epochs.push((machine.clone(), agent_epoch));
        true
    }

    /// Records the task if it has completed; returns whether that is new.
    fn record_completion(&mut self, status: &TaskStatus) -> bool {
        let is_done =
            status.state == TaskState::Exited && status.exit_reason == Some(ExitReason::Done);
        if is_done
            && let Some((id, task)) = parse_task_name(&status.task)
            && self.completed.insert((status.task.clone(), status.attempt))
        {
            let key = (id.to_owned(), status.attempt);
            self.pending_tasks.entry(key).or_default().insert(task);
            return true;
        }
        false
    }

    /// Takes out the next record to be written, with as much as fits into a value of `bytes_max` bytes.
    pub(crate) fn take_record(&mut self, zone: &str, bytes_max: usize) -> RelayRecord {
        let mut bytes = RECORD_OVERHEAD_BYTES;
        let mut agent_epochs = Vec::new();
        while bytes < bytes_max
            && let Some((machine, agent_epoch)) = self.pending_epochs.pop()
        {
            bytes += machine.len() + RANGE_BYTES_MAX;
            agent_epochs.push((machine, agent_epoch));
        }
        RelayRecord {
            fencing_token: self.fencing_token,
            zone: zone.to_owned(),
            jobs: self.take_tasks(bytes, bytes_max),
            agent_epochs,
        }
    }

    /// Takes out completed tasks for a record that already has `bytes` bytes.
    fn take_tasks(&mut self, mut bytes: usize, bytes_max: usize) -> Vec<JobAssignments> {
        let mut jobs = Vec::new();
        while let Some(((id, attempt), mut tasks)) = self.pending_tasks.pop_first() {
            bytes += id.len() + JOB_OVERHEAD_BYTES;
            let ranges_max = bytes_max.saturating_sub(bytes) / RANGE_BYTES_MAX;
            let done = take_ranges(&mut tasks, ranges_max);
            bytes += done.len() * RANGE_BYTES_MAX;
            if !tasks.is_empty() {
                self.pending_tasks.insert((id.clone(), attempt), tasks);
            }
            if done.is_empty() {
                break;
            }
            jobs.push(JobAssignments {
                id,
                attempt,
                done,
                ..JobAssignments::default()
            });
        }
        jobs
    }

    /// Makes the contents of a record pending again after its write failed.
    fn requeue(&mut self, record: RelayRecord) {
        self.pending_epochs.extend(record.agent_epochs);
        for job in &record.jobs {
            let tasks = self.pending_tasks.entry((job.id.clone(), job.attempt));
            let completed = job.done.iter().flat_map(TaskRange::tasks);
            tasks.or_default().extend(completed);
        }
    }
}

/// Takes up to `count_max` ranges of consecutive tasks out of a set.
fn take_ranges(tasks: &mut BTreeSet<u32>, count_max: usize) -> Vec<TaskRange> {
    let mut ranges: Vec<TaskRange> = Vec::new();
    while let Some(task) = tasks.first().copied() {
        let is_full = ranges.len() >= count_max;
        match ranges.last_mut() {
            Some(last) if last.is_followed_by(task) => last.count += 1,
            _ if is_full => break,
            _ => ranges.push(TaskRange::single(task)),
        }
        tasks.remove(&task);
    }
    ranges
}

/// The relays of this controller, by zone.
#[derive(Default)]
pub(crate) struct Relays {
    /// The relay of each zone in which this controller answers in the leader's name.
    by_zone: RefCell<HashMap<String, Relay>>,
    /// Set when a relay may have something to be written.
    write_due: Signal,
}

impl Relays {
    /// Drops the relay of a zone in which this controller no longer answers in the leader's name.
    pub fn forget(&self, zone: &str) {
        self.by_zone.borrow_mut().remove(zone);
    }

    /// Records a heartbeat that is answered in the name of the leader with this fencing token.
    pub fn record(&self, heartbeat: &Heartbeat, fencing_token: u64) {
        let has_additions = {
            let mut relays = self.by_zone.borrow_mut();
            let relay = relays.entry(heartbeat.zone.clone()).or_default();
            if relay.fencing_token != fencing_token {
                *relay = Relay::new(fencing_token);
            }
            relay.record(heartbeat)
        };
        if has_additions {
            self.write_due.set();
        }
    }

    /// Takes out the next record of a zone; None if there is nothing to be written.
    fn take_record(&self, zone: &str, bytes_max: usize) -> Option<RelayRecord> {
        let mut relays = self.by_zone.borrow_mut();
        let record = relays.get_mut(zone)?.take_record(zone, bytes_max);
        let is_empty = record.jobs.is_empty() && record.agent_epochs.is_empty();
        (!is_empty).then_some(record)
    }

    /// Puts the contents of a record back into its zone's relay after the write failed, unless the relay is for another
    /// leader now.
    fn requeue(&self, record: RelayRecord) {
        let mut relays = self.by_zone.borrow_mut();
        let relay = relays.get_mut(&record.zone);
        if let Some(relay) = relay.filter(|relay| relay.fencing_token == record.fencing_token) {
            relay.requeue(record);
        }
    }
}

/// The result of writing a relay record.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayWrite {
    /// The record was stored, or dropped because the store rejected it as too large. Dropping it is safe: a relay only
    /// lets the leader know sooner.
    Settled,
    /// The record was not stored, or the outcome is unknown: its contents must be written again.
    Failed,
}

impl Controller {
    /// Reports completed tasks and new agent epochs to the leader from zones that it can't reach, at most one record
    /// per zone and heartbeat interval.
    pub(crate) async fn write_relays(self: Rc<Self>) {
        let bytes_max = (self.config.deployment.state.value_kb * 1024.0) as usize;
        loop {
            self.relays.write_due.take().await;
            let zones: Vec<String> = self.relays.by_zone.borrow().keys().cloned().collect();
            for zone in zones {
                let Some(record) = self.relays.take_record(&zone, bytes_max) else {
                    continue;
                };
                if self.write_relay(&record).await == RelayWrite::Failed {
                    self.relays.requeue(record);
                }
                self.relays.write_due.set();
            }
            let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
            self.runtime.sleep(heartbeat_interval_s).await;
        }
    }

    /// Writes a record, provided that the leader that it is for still leads.
    async fn write_relay(&self, record: &RelayRecord) -> RelayWrite {
        let Ok(value) = to_raw_value(record) else {
            return RelayWrite::Failed;
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: keys::leader(),
                revision: record.fencing_token,
            }],
            changes: vec![Change::Put {
                key: keys::relay(&self.config.node),
                value,
                lease: None,
            }],
        };
        match self.write_for_user(&txn).await {
            TxnOutcome::Applied(_) | TxnOutcome::Rejected => RelayWrite::Settled,
            TxnOutcome::Conflict(_) | TxnOutcome::Refused | TxnOutcome::Unknown => {
                RelayWrite::Failed
            }
        }
    }
}

#[cfg(test)]
mod tests;
