//! Test doubles shared by the tests: an in-memory state service, a scripted worker, sample jobs and machine types.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::value::{RawValue, to_raw_value};

use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::config::Config;
use crate::fleet::HeartbeatOrigin;
use crate::leader::{AfterTransaction, Leader};
use crate::protocol::cloud::{MachineType, MachineTypes};
use crate::protocol::store::{Change, Txn};
use crate::protocol::users::{JobKind, Priority, Submission};
use crate::protocol::workers::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::records::{JobEnd, LeaderRecord};
use crate::store::replica::StateReplica;
use crate::store::transaction::TxnOutcome;

/// The machine types of the tests: `small` (8 CPUs, zones north and south) and `big` (64 CPUs, zone north).
pub fn types() -> Vec<MachineType> {
    let text = r#"{"Rigs":[
        {"Name":"small","Cores":8,"Gpus":0,"MemoryGb":32,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":0.8,"SpotPrice":0.2,"ReadyS":30,"Yards":["north","south"]},
        {"Name":"big","Cores":64,"Gpus":0,"MemoryGb":256,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":8.0,"SpotPrice":2.0,"ReadyS":30,"Yards":["north"]}]}"#;
    serde_json::from_str::<MachineTypes>(text).unwrap().types
}

/// An array job of team `blue` with the given number of tasks, each of 2 CPUs and 4 GB.
pub fn job(id: &str, tasks: u32) -> Submission {
    Submission {
        id: id.into(),
        class: "sums".into(),
        team: "blue".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        waits_on: Vec::new(),
    }
}

/// An in-memory state service with conditional transactions, without leases and watches.
#[derive(Default)]
pub struct FakeStore {
    /// The revision of the last change.
    pub revision: u64,
    /// The value under each key, and the revision that stored it.
    pub keys: BTreeMap<String, (Box<RawValue>, u64)>,
}

impl FakeStore {
    /// Applies a transaction like the state service: all changes, or none if a condition fails.
    pub fn apply(&mut self, txn: &Txn) -> TxnOutcome {
        let revision_of = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|condition| revision_of(&condition.key) != condition.revision)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        // A transaction without changes only checks its conditions and does not advance the revision.
        self.revision += u64::from(!txn.changes.is_empty());
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                Change::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        TxnOutcome::Applied(self.revision)
    }

    /// Stores a value under a key unconditionally; returns the new revision.
    pub fn put(&mut self, key: String, value: &impl serde::Serialize) -> u64 {
        let value = to_raw_value(value).unwrap();
        self.revision += 1;
        self.keys.insert(key, (value, self.revision));
        self.revision
    }

    /// Stores a submission as an accepted job.
    pub fn submit(&mut self, spec: &Submission) {
        self.put(keys::job(&spec.id), spec);
    }

    /// A replica that has loaded the whole store.
    pub fn replica(&self) -> StateReplica {
        let mut replica = StateReplica::default();
        for (key, (value, revision)) in &self.keys {
            replica.apply(key, Some(value), *revision);
        }
        replica.revision = self.revision;
        replica.finish_load(0.0, 0);
        replica
    }

    /// Elects a controller with the sample settings; returns its leader state, built from the store.
    pub fn elect(&mut self, host: &str, now: Time) -> Leader {
        self.elect_with(crate::config::tests::sample(), host, now)
    }

    /// As [`Self::elect`], with the given settings.
    pub fn elect_with(&mut self, config: Config, host: &str, now: Time) -> Leader {
        let forecast = Rc::new(RefCell::new(ArrivalForecast::new(3.0, 120.0, now)));
        self.elect_with_forecast(config, forecast, host, now)
    }

    /// As [`Self::elect_with`], with the forecast of the controller.
    pub fn elect_with_forecast(
        &mut self,
        config: Config,
        forecast: Rc<RefCell<ArrivalForecast>>,
        host: &str,
        now: Time,
    ) -> Leader {
        let record = LeaderRecord {
            node: host.into(),
            incarnation: 1,
        };
        let fencing_token = self.put(keys::leader(), &record);
        Leader::start_term(
            Rc::new(config),
            fencing_token,
            Rc::new(types()),
            &self.replica(),
            forecast,
            now,
        )
    }

    /// Runs a placement pass and applies the leader's transactions until it has nothing more to write at `now`.
    pub fn schedule_and_write(&mut self, leader: &mut Leader, now: Time) {
        leader.schedule(now);
        while let Some(txn) = leader.next_transaction(now) {
            let outcome = self.apply(&txn);
            assert_ne!(
                leader.on_transaction_outcome(outcome, now),
                AfterTransaction::LeadershipLost
            );
        }
    }

    /// How a job has ended according to the store; None if the job is open or unknown.
    pub fn stored_end(&self, id: &str) -> Option<JobEnd> {
        self.replica().jobs.get(id)?.end.map(|record| record.end)
    }
}

/// A worker that executes commands at once. Its tasks run until a stop command or [`Self::exit_task`] ends them.
pub struct FakeWorker {
    /// The current state of the worker; [`Self::next`] increases its sequence number and returns a copy.
    pub heartbeat: Heartbeat,
}

impl FakeWorker {
    /// A worker in its first agent epoch, on an on-demand machine without tasks.
    pub fn new(machine: &str, type_name: &str, zone: &str) -> Self {
        FakeWorker {
            heartbeat: Heartbeat {
                machine: machine.into(),
                addr: "127.0.0.1:9".into(),
                type_name: type_name.into(),
                zone: zone.into(),
                spot: false,
                agent_epoch: 1,
                sequence: 0,
                fencing_token: 0,
                preemption_notice_s: None,
                tasks: Vec::new(),
            },
        }
    }

    /// The next heartbeat, with a new sequence number.
    pub fn next(&mut self) -> Heartbeat {
        self.heartbeat.sequence += 1;
        self.heartbeat.clone()
    }

    /// Executes commands unless their fencing token is lower than the highest seen.
    pub fn execute(&mut self, fencing_token: u64, commands: &[Command]) {
        if fencing_token < self.heartbeat.fencing_token {
            return;
        }
        self.heartbeat.fencing_token = fencing_token;
        let tasks = &mut self.heartbeat.tasks;
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    if !tasks
                        .iter()
                        .any(|t| t.task == *task && t.attempt == *attempt)
                    {
                        tasks.push(TaskStatus {
                            task: task.clone(),
                            attempt: *attempt,
                            state: TaskState::Running,
                            exit_reason: None,
                            saved: None,
                        });
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    for status in tasks
                        .iter_mut()
                        .filter(|t| t.task == *task && t.attempt == *attempt)
                    {
                        status.state = TaskState::Exited;
                        status.exit_reason.get_or_insert(ExitReason::Stopped);
                    }
                }
                Command::Forget { task, attempt } => tasks.retain(|t| {
                    t.task != *task || t.attempt != *attempt || t.state != TaskState::Exited
                }),
            }
        }
    }

    /// Sends a heartbeat to a leader and executes the commands of the reply; returns them.
    pub fn send_heartbeat(&mut self, leader: &mut Leader, now: Time) -> Vec<Command> {
        let heartbeat = self.next();
        let Some(mut commands) = leader.on_heartbeat(&heartbeat, HeartbeatOrigin::Periodic, now)
        else {
            return Vec::new();
        };
        leader.append_reply_commands(&heartbeat, &mut commands);
        self.execute(leader.fencing_token, &commands);
        commands
    }

    /// Makes all attempts of a task on the machine exit with the given reason.
    pub fn exit_task(&mut self, task: &str, exit_reason: ExitReason) {
        for status in self.heartbeat.tasks.iter_mut().filter(|t| t.task == task) {
            status.state = TaskState::Exited;
            status.exit_reason = Some(exit_reason);
        }
    }

    /// Names of the tasks that have not exited.
    pub fn running(&self) -> Vec<String> {
        let has_not_exited = |t: &&TaskStatus| t.state != TaskState::Exited;
        self.heartbeat
            .tasks
            .iter()
            .filter(has_not_exited)
            .map(|t| t.task.clone())
            .collect()
    }
}
