//! Direct commands to workers: commands that the leader sends without waiting for the next heartbeat.

use std::rc::Rc;

use super::{count_launches, exchange_heartbeats, fail_cloud_calls_until_deletion};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::config::Objective;
use crate::fleet::{DirectCommandOutcome, DirectCommands};
use crate::leader::Leader;
use crate::protocol::workers::ExitReason;
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::test_support::{FakeStore, FakeWorker, job};

/// Submits a job whose wait objective is shorter than a heartbeat interval, so that the leader launches it by a direct
/// command. Returns that command as taken from the leader, for the test to deliver or to lose.
fn direct_launch() -> (FakeStore, Leader, FakeWorker, DirectCommands) {
    let mut store = FakeStore::default();
    let mut spec = job("j-1", 1);
    spec.class = "short-wait".into();
    store.submit(&spec);
    let mut leader = store.elect("n0", 0.0);
    let mut config = (*leader.config).clone();
    config.deployment.objectives.push(Objective {
        kind: crate::config::ObjectiveKind::Wait,
        class: Some("short-wait".into()),
        within_s: Some(2.0),
        share: None,
        times: None,
    });
    leader.config = Rc::new(config);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    let mut messages = leader.take_direct_commands(1.1, 0.0, 10);
    assert_eq!(messages.len(), 1);
    let message = messages.remove(0);
    assert_eq!(count_launches(&message.commands), 1);
    (store, leader, worker, message)
}

/// A heartbeat may cross a direct launch. If the leader concluded from it that the task is not on the machine, the task
/// would be launched twice.
#[test]
fn a_direct_launch_is_sent_once_and_its_reply_counts_as_a_heartbeat() {
    let (mut store, mut leader, mut worker, message) = direct_launch();
    // This heartbeat is sent before the direct command arrives and doesn't show the task. The leader neither launches
    // it again nor takes it for lost.
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 1.2)), 0);
    assert_eq!(leader.take_direct_commands(1.3, 0.0, 10).len(), 0);
    worker.execute(leader.fencing_token, &message.commands);
    leader.on_direct_outcome(
        message.machine,
        DirectCommandOutcome::Done(worker.next()),
        1.4,
    );
    assert_eq!(worker.running(), ["j-1/0"]);
    worker.exit_task("j-1/0", ExitReason::Done);
    worker.send_heartbeat(&mut leader, 2.0);
    store.schedule_and_write(&mut leader, 3.0);
    worker.send_heartbeat(&mut leader, 4.0);
    assert_eq!(store.stored_end("j-1"), Some(JobEnd::Done));
    // The worker keeps the attempt, so that a copy of the launch starts nothing. The leader needs it no more.
    worker.execute(leader.fencing_token, &message.commands);
    assert_eq!(worker.running(), Vec::<String>::new());
    assert_eq!(worker.heartbeat.tasks.len(), 1);
    assert_eq!(leader.state_size().attempts, 0);
    // A new leader has it forgotten: the worker rejects commands with the former token.
    let mut leader = store.elect("n1", 5.0);
    exchange_heartbeats(&mut worker, &mut leader, 6.0);
    assert!(worker.heartbeat.tasks.is_empty());
}

/// A direct launch without an answer may still be delivered. If the task were assigned to another machine, or the
/// worker were told to forget the failed attempt, the delayed command could start the task while it runs elsewhere.
#[test]
fn a_task_with_a_launch_in_doubt_stays_assigned_and_its_exit_is_not_forgotten() {
    let (mut store, mut leader, mut worker, message) = direct_launch();
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::Unknown, 3.0);
    let mut other = FakeWorker::new("i-2", "small", "north");
    let mut now = 3.0;
    for _ in 0..4 {
        now += 1.0;
        exchange_heartbeats(&mut other, &mut leader, now);
        store.schedule_and_write(&mut leader, now);
        assert_eq!(count_launches(&other.send_heartbeat(&mut leader, now)), 0);
    }
    // The reply to the worker's next heartbeat repeats the launch with the same attempt number.
    let commands = worker.send_heartbeat(&mut leader, now);
    assert_eq!(commands, message.commands);
    // The task fails, and the delayed command arrives several times. The worker still lists the failed attempt and
    // therefore doesn't start it again.
    worker.send_heartbeat(&mut leader, now);
    worker.exit_task("j-1/0", ExitReason::Error);
    for _ in 0..3 {
        now += 0.5;
        worker.send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        worker.execute(leader.fencing_token, &message.commands);
    }
    assert!(worker.running().is_empty(), "{:?}", worker.running());
    assert!(
        worker
            .heartbeat
            .tasks
            .iter()
            .any(|t| t.exit_reason == Some(ExitReason::Error))
    );
    // The worker restarts. In its new agent epoch it lists no former attempts and rejects commands to the former epoch.
    worker.heartbeat.agent_epoch += 1;
    worker.heartbeat.tasks.clear();
    worker.send_heartbeat(&mut leader, now + 1.0);
    let machine = leader.fleet.machines.values().next().unwrap();
    assert!(machine.attempts.values().all(|attempt| !attempt.in_doubt()));
}

/// A task of a cancelled job whose launch is in doubt may still be started on its machine. The leader therefore
/// returns the machine to the cloud.
#[test]
fn a_machine_is_returned_for_a_cancelled_job_with_a_launch_in_doubt() {
    let (mut store, mut leader, mut worker, message) = direct_launch();
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::Unknown, 3.0);
    let end = EndRecord {
        end: JobEnd::Cancelled,
        tasks_done: 0,
        ended_unix_ms: None,
    };
    store.put(keys::job_end("j-1"), &end);
    leader.on_job_end_stored("j-1", &end, 3.5);
    let mut returned = Vec::new();
    let mut now = 3.5;
    while returned.is_empty() {
        now += 1.0;
        assert!(now < 20.0);
        assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, now)), 0);
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        returned = fail_cloud_calls_until_deletion(&mut leader, now);
    }
    assert_eq!(returned, ["i-1"]);
    leader.on_cloud_answer(CloudCall::Delete(returned), CloudAnswer::Deleted, now);
    assert!(leader.jobs.values().all(|job| job.live_attempts == 0));
}

/// If a direct command could not even be sent, its launch can't be executed later. The task need not wait for the
/// machine's next heartbeat.
#[test]
fn a_direct_launch_that_was_not_sent_is_placed_elsewhere_at_once() {
    let (mut store, mut leader, _, message) = direct_launch();
    let mut other = FakeWorker::new("i-2", "small", "north");
    exchange_heartbeats(&mut other, &mut leader, 1.5);
    leader.on_direct_outcome(message.machine, DirectCommandOutcome::NotSent, 2.0);
    store.schedule_and_write(&mut leader, 2.0);
    let commands = other.send_heartbeat(&mut leader, 2.5);
    let messages = leader.take_direct_commands(2.5, 0.0, 10);
    let launches = messages
        .iter()
        .map(|message| count_launches(&message.commands))
        .sum::<usize>()
        + count_launches(&commands);
    assert_eq!(launches, 1);
}

/// Guards against tasks that run twice. A worker's heartbeats no longer arrive, but it still answers direct commands.
/// If the leader launched tasks by direct commands there, the worker's lease would expire a moment later by the missing
/// heartbeats, and the same tasks would be started on another machine.
#[test]
fn a_machine_that_only_answers_direct_commands_gets_no_new_tasks_and_keeps_its_own() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 1));
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    // Long after the start of the term the worker answers a direct command, as that of a newly rented machine does.
    let answer_direct_command = |leader: &mut Leader, worker: &mut FakeWorker, now: f64| {
        leader
            .fleet
            .request_contact("i-1", "north", "127.0.0.1:9", 1, now);
        worker.execute(leader.fencing_token, &[]);
        let index = leader.fleet.find("i-1").unwrap();
        leader.on_direct_outcome(index, DirectCommandOutcome::Done(worker.next()), now);
    };
    // The machine is schedulable as long as the worker's first heartbeat may still be on its way, and not after that.
    answer_direct_command(&mut leader, &mut worker, 90.0);
    let is_schedulable = |leader: &Leader, now: f64| {
        let machine = &leader.fleet.machines[&leader.fleet.find("i-1").unwrap()];
        leader.fleet.is_schedulable(machine, now)
    };
    assert!(is_schedulable(&leader, 92.0));
    for now in [93.0, 96.0, 99.0] {
        answer_direct_command(&mut leader, &mut worker, now);
    }
    store.schedule_and_write(&mut leader, 100.0);
    assert!(!is_schedulable(&leader, 100.0));
    assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 0);
    // The worker sends two heartbeats and starts the task. After that only its answers to direct commands arrive, and
    // show a new agent epoch.
    worker.send_heartbeat(&mut leader, 101.0);
    store.schedule_and_write(&mut leader, 101.0);
    worker.send_heartbeat(&mut leader, 102.0);
    assert_eq!(worker.running(), ["j-1/0"]);
    worker.heartbeat.agent_epoch = 2;
    for step in 0..12 {
        let now = 103.0 + f64::from(step) * 3.0;
        answer_direct_command(&mut leader, &mut worker, now);
        leader.expire_leases(now);
        assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 1);
    }
}
