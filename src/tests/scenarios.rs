//! Failure scenarios of the leader's state machine: simulated clock, in-memory state service, scripted workers. Nothing
//! runs concurrently: each test calls the leader at chosen times, which are in seconds.

mod dependency_parts;
mod direct_commands;
mod machines;
mod placement_order;
mod reloads;
mod scaling;
mod tasks;
mod writes;
mod zones;

use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::leader::Leader;
use crate::protocol::users::{JobKind, Submission};
use crate::protocol::workers::Command;
use crate::test_support::{FakeStore, FakeWorker, job};

fn count_launches(commands: &[Command]) -> usize {
    let is_launch = |command: &&Command| matches!(command, Command::Launch { .. });
    commands.iter().filter(is_launch).count()
}

/// A gang of large tasks: a machine of type `small` has capacity for only one.
fn gang(id: &str, tasks: u32) -> Submission {
    Submission {
        kind: JobKind::Gang,
        cpus: 6.0,
        ..job(id, tasks)
    }
}

/// Sends two heartbeats: the reply to the first carries the leader's fencing token, and the second shows the leader
/// that the worker has seen it. The leader assigns tasks to a machine only after that.
fn exchange_heartbeats(worker: &mut FakeWorker, leader: &mut Leader, now: f64) {
    worker.send_heartbeat(leader, now);
    worker.send_heartbeat(leader, now);
}

/// Submits a job and stores its assignments to one machine, whose worker has seen the leader's fencing token. No launch
/// has been sent yet.
fn assign_without_launch(spec: &Submission) -> (FakeStore, Leader, FakeWorker) {
    let mut store = FakeStore::default();
    store.submit(spec);
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 2.0);
    (store, leader, worker)
}

/// Answers the leader's cloud calls with failures until one asks the cloud to delete machines, which is how the leader
/// returns them. Gives the names of these machines, without an answer to that call; empty if there is no such call.
fn fail_cloud_calls_until_deletion(leader: &mut Leader, now: f64) -> Vec<String> {
    while let Some(call) = leader.next_cloud_call(now) {
        match call {
            CloudCall::Delete(names) => return names,
            CloudCall::Rent(..) => leader.on_cloud_answer(call, CloudAnswer::NoCapacity, now),
            CloudCall::List { .. } | CloudCall::MachineTypes => {
                leader.on_cloud_answer(call, CloudAnswer::Failed, now);
            }
        }
    }
    Vec::new()
}
