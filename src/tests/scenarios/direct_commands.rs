//! Direct commands to workers.

use std::rc::Rc;

use super::{count_starts, exchange_heartbeats, returned_machines};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::config::Objective;
use crate::fleet::{DirectCommandOutcome, DirectCommands};
use crate::leader::Leader;
use crate::protocol::workers::ExitReason;
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::test_support::{FakeStore, FakeWorker, job};

/// A job whose objective is shorter than a heartbeat interval, stored and with its direct launch to one machine taken
/// from the leader.
fn direct_launch() -> (FakeStore, Leader, FakeWorker, DirectCommands) {
    let mut store = FakeStore::default();
    let mut spec = job("j-1", 1);
    spec.class = "hasty".into();
    store.submit(&spec);
    let mut leader = store.elect("n0", 0.0);
    let mut config = (*leader.config).clone();
    config.deployment.objectives.push(Objective {
        kind: crate::config::ObjectiveKind::Wait,
        class: Some("hasty".into()),
        within_s: Some(2.0),
        share: None,
        times: None,
    });
    leader.config = Rc::new(config);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    let mut messages = leader.take_direct_commands(1.1, 0.0, 10);
    assert_eq!(messages.len(), 1);
    let message = messages.remove(0);
    assert_eq!(count_starts(&message.commands), 1);
    (store, leader, w, message)
}

#[test]
fn a_direct_launch_is_sent_once_and_its_reply_counts() {
    let (mut store, mut leader, mut w, message) = direct_launch();
    // A heartbeat from before its arrival: nothing is launched twice, nothing is concluded.
    assert_eq!(count_starts(&w.send_heartbeat(&mut leader, 1.2)), 0);
    assert_eq!(leader.take_direct_commands(1.3, 0.0, 10).len(), 0);
    w.execute(leader.fencing_token, &message.commands);
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::Done(w.next()), 1.4);
    assert_eq!(w.running(), ["j-1/0"]);
    w.exit_task("j-1/0", ExitReason::Done);
    w.send_heartbeat(&mut leader, 2.0);
    store.schedule_and_write(&mut leader, 3.0);
    w.send_heartbeat(&mut leader, 4.0);
    assert_eq!(store.stored_end("j-1"), Some(JobEnd::Done));
    assert!(w.heartbeat.tasks.is_empty());
}

#[test]
fn an_unanswered_direct_launch_keeps_the_task_bound() {
    let (mut store, mut leader, mut w, message) = direct_launch();
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::Unknown, 3.0);
    let mut other = FakeWorker::new("i-2", "small", "north");
    let mut now = 3.0;
    for _ in 0..4 {
        now += 1.0;
        exchange_heartbeats(&mut other, &mut leader, now);
        store.schedule_and_write(&mut leader, now);
        assert_eq!(count_starts(&other.send_heartbeat(&mut leader, now)), 0);
    }
    // The next reply carries the same launch.
    let commands = w.send_heartbeat(&mut leader, now);
    assert_eq!(commands, message.commands);
    // The task fails and exits there. If the worker were told to forget it, the delayed command would start it again
    // while it runs elsewhere.
    w.send_heartbeat(&mut leader, now);
    w.exit_task("j-1/0", ExitReason::Error);
    for _ in 0..3 {
        now += 0.5;
        w.send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        w.execute(leader.fencing_token, &message.commands);
    }
    assert!(w.running().is_empty(), "{:?}", w.running());
    assert!(
        w.heartbeat
            .tasks
            .iter()
            .any(|t| t.exit_reason == Some(ExitReason::Error))
    );
    // A new agent epoch doesn't know the attempt, and the delayed command is rejected there.
    w.heartbeat.agent_epoch += 1;
    w.heartbeat.tasks.clear();
    w.send_heartbeat(&mut leader, now + 1.0);
    let m = leader.fleet.machines.values().next().unwrap();
    assert!(m.attempts.values().all(|s| !s.in_doubt()));
}

#[test]
fn a_cancelled_job_with_a_launch_in_doubt_costs_the_machine() {
    let (mut store, mut leader, mut w, message) = direct_launch();
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::Unknown, 3.0);
    let end = EndRecord {
        end: JobEnd::Cancelled,
        tasks_done: 0,
        ended_unix_ms: None,
    };
    store.put(keys::job_end("j-1"), &end);
    leader.on_end("j-1", &end, 3.5);
    let mut gone = Vec::new();
    let mut now = 3.5;
    while gone.is_empty() {
        now += 1.0;
        assert!(now < 20.0);
        assert_eq!(count_starts(&w.send_heartbeat(&mut leader, now)), 0);
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        gone = returned_machines(&mut leader, now);
    }
    assert_eq!(gone, ["i-1"]);
    leader.on_cloud_answer(CloudCall::Delete(gone), CloudAnswer::Deleted, now);
    assert!(leader.jobs.values().all(|j| j.live_attempts == 0));
}

#[test]
fn a_direct_launch_that_was_not_sent_is_placed_elsewhere_at_once() {
    let (mut store, mut leader, _w, message) = direct_launch();
    let mut other = FakeWorker::new("i-2", "small", "north");
    exchange_heartbeats(&mut other, &mut leader, 1.5);
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::NotSent, 2.0);
    store.schedule_and_write(&mut leader, 2.0);
    let commands = other.send_heartbeat(&mut leader, 2.5);
    let again = leader.take_direct_commands(2.5, 0.0, 10);
    let sent = again
        .iter()
        .map(|m| count_starts(&m.commands))
        .sum::<usize>()
        + count_starts(&commands);
    assert_eq!(sent, 1);
}

/// A worker whose own heartbeats no longer arrived while it still answered direct commands was once sent launches by
/// these, and counted as expired a moment later: its tasks were started elsewhere at the same time.
#[test]
fn a_machine_known_by_direct_replies_only_gets_no_tasks_and_keeps_its_own() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 1));
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    // Long after the term began it answers a direct command, as a machine that was just rented does.
    let call = |leader: &mut Leader, w: &mut FakeWorker, now: f64| {
        leader
            .fleet
            .request_contact("i-1", "north", "127.0.0.1:9", 1, now);
        w.execute(leader.fencing_token, &[]);
        let index = leader.fleet.find("i-1").unwrap();
        leader.on_direct_outcome(index, DirectCommandOutcome::Done(w.next()), now);
    };
    // It is schedulable as long as its first heartbeat may still arrive, and not after that.
    call(&mut leader, &mut w, 90.0);
    let m = |leader: &Leader| leader.fleet.machines[&leader.fleet.find("i-1").unwrap()].clone();
    assert!(leader.fleet.is_schedulable(&m(&leader), 92.0));
    for now in [93.0, 96.0, 99.0] {
        call(&mut leader, &mut w, now);
    }
    store.schedule_and_write(&mut leader, 100.0);
    assert!(!leader.fleet.is_schedulable(&m(&leader), 100.0));
    assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 0);
    // It sends one heartbeat and gets a launch; after that only its replies to direct commands arrive.
    w.send_heartbeat(&mut leader, 101.0);
    store.schedule_and_write(&mut leader, 101.0);
    w.send_heartbeat(&mut leader, 102.0);
    assert_eq!(w.running(), ["j-1/0"]);
    w.heartbeat.agent_epoch = 2;
    for step in 0..12 {
        let now = 103.0 + f64::from(step) * 3.0;
        call(&mut leader, &mut w, now);
        leader.expire_leases(now);
        assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 1);
    }
}
