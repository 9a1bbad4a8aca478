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

/// Two machine types.
pub fn types() -> Vec<MachineType> {
    let text = r#"{"Rigs":[
        {"Name":"small","Cores":8,"Gpus":0,"MemoryGb":32,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":0.8,"SpotPrice":0.2,"ReadyS":30,"Yards":["north","south"]},
        {"Name":"big","Cores":64,"Gpus":0,"MemoryGb":256,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":8.0,"SpotPrice":2.0,"ReadyS":30,"Yards":["north"]}]}"#;
    serde_json::from_str::<MachineTypes>(text).unwrap().types
}

/// An array of `tasks` small tasks.
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

/// An in-memory state service: keys with versions, compare-and-swap transactions.
#[derive(Default)]
pub struct FakeStore {
    pub revision: u64,
    pub keys: BTreeMap<String, (Box<RawValue>, u64)>,
}

impl FakeStore {
    /// Applies a transaction as the service would: all of it, or nothing if a condition fails.
    pub fn apply(&mut self, txn: &Txn) -> TxnOutcome {
        let stamp = |key: &str| self.keys.get(key).map_or(0, |(_, v)| *v);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| stamp(&c.key) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        // A transaction without changes only compares; it does not advance the revision.
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

    /// Stores a submission as accepted.
    pub fn submit(&mut self, spec: &Submission) {
        self.put(keys::job(&spec.id), spec);
    }

    /// The replica of a controller that loads the whole store now.
    pub fn replica(&self) -> StateReplica {
        let mut view = StateReplica::default();
        for (key, (value, version)) in &self.keys {
            view.apply(key, Some(value), *version);
        }
        view.revision = self.revision;
        view.finish_load(0.0, 0);
        view
    }

    /// Makes a controller the leader and builds its state from the store, with the sample settings.
    pub fn elect(&mut self, host: &str, now: Time) -> Leader {
        self.elect_with(crate::config::tests::sample(), host, now)
    }

    /// As [`Self::elect`], with the given settings.
    pub fn elect_with(&mut self, config: Config, host: &str, now: Time) -> Leader {
        let record = LeaderRecord {
            node: host.into(),
            incarnation: 1,
        };
        let fencing_token = self.put(keys::leader(), &record);
        let config = Rc::new(config);
        let forecast = Rc::new(RefCell::new(ArrivalForecast::new(3.0, 120.0, now)));
        Leader::start_term(
            config,
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

    /// The stored final state of a job.
    pub fn stored_end(&self, id: &str) -> Option<JobEnd> {
        self.replica().jobs.get(id)?.end.map(|e| e.end)
    }
}

/// A worker that follows the protocol.
pub struct FakeWorker {
    pub heartbeat: Heartbeat,
}

impl FakeWorker {
    /// A worker on a machine of a type.
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
                Command::Start { task, attempt } => {
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
                    for t in tasks
                        .iter_mut()
                        .filter(|t| t.task == *task && t.attempt == *attempt)
                    {
                        t.state = TaskState::Exited;
                        t.exit_reason.get_or_insert(ExitReason::Stopped);
                    }
                }
                Command::Forget { task, attempt } => tasks.retain(|t| {
                    t.task != *task || t.attempt != *attempt || t.state != TaskState::Exited
                }),
            }
        }
    }

    /// Sends a heartbeat to a leader and executes the commands of its reply; returns them.
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

    /// Makes a task exit with the given reason.
    pub fn exit_task(&mut self, task: &str, exit_reason: ExitReason) {
        for t in self.heartbeat.tasks.iter_mut().filter(|t| t.task == task) {
            t.state = TaskState::Exited;
            t.exit_reason = Some(exit_reason);
        }
    }

    /// Names of the tasks that have not exited.
    pub fn running(&self) -> Vec<String> {
        let alive = |t: &&TaskStatus| t.state != TaskState::Exited;
        self.heartbeat
            .tasks
            .iter()
            .filter(alive)
            .map(|t| t.task.clone())
            .collect()
    }
}
