//! Launches and exits of tasks, also across a failover.

use super::{assign_without_launch, count_launches, exchange_heartbeats, gang};
use crate::fleet::HeartbeatOrigin;
use crate::jobs::Task;
use crate::leader::AfterTransaction;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{Command, ExitReason};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::transaction::TxnOutcome;
use crate::test_support::{FakeStore, FakeWorker, job};

/// If a task were launched before its assignment is stored, a new leader would not know of it and would start the task
/// on another machine too.
#[test]
fn no_task_is_launched_before_its_assignment_is_stored() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 2));
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    leader.schedule(1.0);
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 1.5)), 0);
    store.schedule_and_write(&mut leader, 2.0);
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 2.5)), 2);
    // The worker has executed the launches; they are not repeated.
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 3.0)), 0);
}

/// A reply of the former leader that carries a launch may still be on its way when the next leader is elected. If the
/// new leader placed the task on another machine before the worker has seen the new fencing token, the task would run
/// twice.
#[test]
fn a_task_whose_launch_is_in_flight_at_a_failover_stays_assigned_to_its_machine() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 1));
    let mut old = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    let mut other = FakeWorker::new("i-2", "small", "north");
    exchange_heartbeats(&mut worker, &mut old, 1.0);
    store.schedule_and_write(&mut old, 2.0);
    // The former leader's reply with the launch is in flight when another controller is elected.
    let heartbeat = worker.next();
    let mut late_reply = old
        .on_heartbeat(&heartbeat, HeartbeatOrigin::Periodic, 2.5)
        .unwrap();
    old.append_reply_commands(&heartbeat, &mut late_reply);
    assert_eq!(count_launches(&late_reply), 1);

    let mut new = store.elect("n1", 10.0);
    exchange_heartbeats(&mut other, &mut new, 11.0);
    store.schedule_and_write(&mut new, 11.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 12.0)), 0);
    // A heartbeat from before the launch arrives late. It doesn't list the task, but shows an older fencing token: the
    // worker may still execute the former leader's launch.
    let mut earlier_heartbeat = heartbeat.clone();
    earlier_heartbeat.sequence += 1;
    new.on_heartbeat(&earlier_heartbeat, HeartbeatOrigin::Periodic, 12.0);
    store.schedule_and_write(&mut new, 12.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 12.5)), 0);

    worker.heartbeat.sequence += 1;
    worker.execute(old.fencing_token, &late_reply);
    assert_eq!(worker.running(), ["j-1/0"]);
    exchange_heartbeats(&mut worker, &mut new, 13.0);
    store.schedule_and_write(&mut new, 13.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 14.0)), 0);
    worker.exit_task("j-1/0", ExitReason::Done);
    worker.send_heartbeat(&mut new, 15.0);
    store.schedule_and_write(&mut new, 15.0);
    assert_eq!(store.stored_end("j-1"), Some(JobEnd::Done));
}

/// A worker that has seen the new leader's fencing token rejects late launches of the former leader. An assigned task
/// that it doesn't list is then placed again. The attempt number must be a new one: with the former number, reports
/// about the two attempts could not be told apart.
#[test]
fn a_task_of_the_former_leader_is_placed_again_once_its_worker_is_fenced() {
    let (mut store, old, mut worker) = assign_without_launch(&job("j-1", 1));

    let mut new = store.elect("n1", 10.0);
    exchange_heartbeats(&mut worker, &mut new, 11.0);
    store.schedule_and_write(&mut new, 11.0);
    let commands = worker.send_heartbeat(&mut new, 12.0);
    let former_task = old.jobs.values().next().map(|job| job.task(0));
    let Some(Task::Assigned {
        attempt: former_attempt,
        ..
    }) = former_task
    else {
        panic!("{former_task:?}");
    };
    assert!(
        matches!(&commands[..], [Command::Launch { attempt, .. }] if *attempt > former_attempt),
        "{commands:?}"
    );
}

/// If a worker forgot an exited attempt before it has seen the new leader's fencing token, a late launch of the former
/// leader would start the attempt once more. A request for contact with a worker must not launch tasks.
#[test]
fn an_exit_found_at_a_failover_is_forgotten_only_after_fencing_and_contact_requests_never_launch() {
    let (mut store, mut old, mut worker) = assign_without_launch(&job("j-1", 1));
    worker.send_heartbeat(&mut old, 2.5);
    worker.exit_task("j-1/0", ExitReason::Error);

    // The first heartbeat shows the former fencing token and gets no command; the second one shows the new token.
    let mut new = store.elect("n1", 10.0);
    let first_reply = new.on_heartbeat(&worker.next(), HeartbeatOrigin::Periodic, 11.0);
    assert_eq!(first_reply, Some(Vec::new()));
    worker.heartbeat.fencing_token = new.fencing_token;
    let second_reply = new
        .on_heartbeat(&worker.next(), HeartbeatOrigin::Periodic, 12.0)
        .unwrap();
    assert!(
        matches!(&second_reply[..], [Command::Forget { .. }]),
        "{second_reply:?}"
    );

    // This worker has already made contact, so the request leads to no direct call.
    store.schedule_and_write(&mut new, 30.0);
    new.fleet
        .request_contact("i-1", "north", "127.0.0.1:9", 1, 30.0);
    for message in new.take_direct_commands(31.0, 0.0, 10) {
        assert_eq!(count_launches(&message.commands), 0);
    }
}

/// A user cancels a job while the leader writes its completion. The first write that the state service applies decides
/// the stored end, and no second end may be stored.
#[test]
fn a_cancellation_racing_a_completion_has_one_outcome() {
    for cancelled_first in [true, false] {
        let (mut store, mut leader, mut worker) = assign_without_launch(&job("j-1", 1));
        worker.send_heartbeat(&mut leader, 2.5);
        worker.exit_task("j-1/0", ExitReason::Done);
        worker.send_heartbeat(&mut leader, 3.0);
        let txn = leader.next_transaction(3.0).unwrap();
        let end = EndRecord {
            end: JobEnd::Cancelled,
            tasks_done: 0,
            ended_unix_ms: None,
        };
        if cancelled_first {
            store.put(keys::job_end("j-1"), &end);
        }
        let outcome = store.apply(&txn);
        assert_eq!(
            leader.on_transaction_outcome(outcome.clone(), 3.0),
            AfterTransaction::Continue
        );
        let expected = if cancelled_first {
            assert!(matches!(outcome, TxnOutcome::Conflict(_)));
            leader.on_job_end_stored("j-1", &end, 3.1);
            JobEnd::Cancelled
        } else {
            JobEnd::Done
        };
        store.schedule_and_write(&mut leader, 4.0);
        assert_eq!(store.stored_end("j-1"), Some(expected));
        // The job is off all machines, and of its records only the end is still stored.
        worker.send_heartbeat(&mut leader, 5.0);
        worker.send_heartbeat(&mut leader, 6.0);
        store.schedule_and_write(&mut leader, 7.0);
        assert_eq!(worker.heartbeat.tasks.len(), 0);
        assert!(!store.keys.contains_key(&keys::job("j-1")));
        assert_eq!(store.stored_end("j-1"), Some(expected));
    }
}

/// After a cancellation the running tasks are stopped, and pending ones must not take the capacity that this frees.
#[test]
fn tasks_of_a_cancelled_job_are_stopped_and_never_launched() {
    let (mut store, mut leader, mut worker) = assign_without_launch(&job("j-1", 6));
    worker.send_heartbeat(&mut leader, 2.5);
    assert_eq!(worker.running().len(), 4);
    let end = EndRecord {
        end: JobEnd::Cancelled,
        tasks_done: 0,
        ended_unix_ms: None,
    };
    store.put(keys::job_end("j-1"), &end);
    leader.on_job_end_stored("j-1", &end, 3.0);
    // Each of the four running tasks is stopped by a direct command.
    let messages = leader.take_direct_commands(3.0, 0.0, 10);
    assert_eq!(messages.len(), 1);
    assert_eq!(messages[0].commands.len(), 4);
    store.schedule_and_write(&mut leader, 3.0);
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 4.0)), 0);
    assert_eq!(worker.running().len(), 0);
}

/// The tasks of a gang run together or not at all. If a gang that lost a machine replaced only the lost task, tasks of
/// two attempts would run side by side, and neither attempt would be complete.
#[test]
fn a_gang_that_loses_a_machine_restarts_as_a_whole() {
    for all_launched in [false, true] {
        let mut store = FakeStore::default();
        store.submit(&gang("j-1", 2));
        let mut leader = store.elect("n0", 0.0);
        let mut kept = FakeWorker::new("i-1", "small", "north");
        let mut lost = FakeWorker::new("i-2", "small", "south");
        exchange_heartbeats(&mut kept, &mut leader, 1.0);
        // No task of the gang is placed before there is capacity for all of them.
        store.schedule_and_write(&mut leader, 1.0);
        assert_eq!(count_launches(&kept.send_heartbeat(&mut leader, 1.5)), 0);
        exchange_heartbeats(&mut lost, &mut leader, 2.0);
        store.schedule_and_write(&mut leader, 2.0);
        assert_eq!(count_launches(&kept.send_heartbeat(&mut leader, 2.5)), 1);
        if all_launched {
            assert_eq!(count_launches(&lost.send_heartbeat(&mut leader, 2.5)), 1);
        }
        // The second machine is silent for longer than its worker's lease.
        let mut replacement = FakeWorker::new("i-3", "small", "south");
        let first_attempt = kept.heartbeat.tasks[0].attempt;
        for i in 0..14 {
            let now = 3.0 + f64::from(i) * 3.0;
            kept.send_heartbeat(&mut leader, now);
            exchange_heartbeats(&mut replacement, &mut leader, now);
            store.schedule_and_write(&mut leader, now);
            leader.expire_leases(now);
            // No task of a new attempt is launched beside one of the old attempt.
            let attempts: Vec<u64> = kept.heartbeat.tasks.iter().map(|t| t.attempt).collect();
            assert!(attempts.len() <= 1, "{attempts:?}");
        }
        assert_eq!((kept.running().len(), replacement.running().len()), (1, 1));
        let new_attempt = kept.heartbeat.tasks[0].attempt;
        assert!(new_attempt > first_attempt);
        assert_eq!(replacement.heartbeat.tasks[0].attempt, new_attempt);
    }
}

/// After a failover, tasks on machines that haven't sent a heartbeat yet may still be running. If the new leader did
/// not count them, it would place more tasks of the team than its limit allows.
#[test]
fn the_limit_of_a_team_holds_across_a_failover() {
    let mut store = FakeStore::default();
    let mut spec = job("j-1", 40);
    spec.team = "red".into();
    store.submit(&spec);
    let mut old = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "big", "north");
    exchange_heartbeats(&mut worker, &mut old, 1.0);
    store.schedule_and_write(&mut old, 2.0);
    worker.send_heartbeat(&mut old, 2.5);
    // The limit of the team is 40 CPUs: 20 tasks of 2 CPUs each.
    assert_eq!(worker.running().len(), 20);
    let mut new = store.elect("n1", 10.0);
    let mut other = FakeWorker::new("i-2", "big", "north");
    exchange_heartbeats(&mut other, &mut new, 11.0);
    store.schedule_and_write(&mut new, 11.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 12.0)), 0);
    // The first machine sends no heartbeats. Its tasks count until its worker's lease has expired: 20 s and
    // a small margin after the election at 10 s.
    new.expire_leases(10.0 + 20.0);
    store.schedule_and_write(&mut new, 30.0);
    exchange_heartbeats(&mut other, &mut new, 30.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 30.0)), 0);
    new.expire_leases(32.0);
    exchange_heartbeats(&mut other, &mut new, 32.0);
    store.schedule_and_write(&mut new, 32.0);
    assert_eq!(count_launches(&other.send_heartbeat(&mut new, 33.0)), 20);
}

/// A service ends only by cancellation: a task that exits, even as done, must be launched again.
#[test]
fn a_service_is_never_done_and_its_tasks_are_launched_again() {
    let mut store = FakeStore::default();
    let mut service = job("j-1", 1);
    service.kind = JobKind::Service;
    store.submit(&service);
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    worker.send_heartbeat(&mut leader, 2.0);
    worker.exit_task("j-1/0", ExitReason::Done);
    worker.send_heartbeat(&mut leader, 3.0);
    store.schedule_and_write(&mut leader, 4.0);
    assert_eq!(store.stored_end("j-1"), None);
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 4.5)), 1);
}
