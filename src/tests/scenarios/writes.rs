//! The leader's transactions and their outcomes.

use std::rc::Rc;

use super::{count_launches, exchange_heartbeats, gang};
use crate::leader::{AfterTransaction, Leader};
use crate::protocol::store::Change;
use crate::protocol::users::Submission;
use crate::protocol::workers::ExitReason;
use crate::store::records::JobEnd;
use crate::store::replica::ReplicatedJob;
use crate::store::transaction::TxnOutcome;
use crate::test_support::{FakeStore, FakeWorker, job};

/// A transaction whose reply is lost may or may not have been applied. The leader must not launch its assignments
/// before it knows; it sends the transaction again and, on a conflict, reads one of the written keys back.
#[test]
fn a_transaction_without_a_reply_is_settled_by_reading_back() {
    for applied in [true, false] {
        let mut store = FakeStore::default();
        store.submit(&job("j-1", 1));
        let mut leader = store.elect("n0", 0.0);
        let mut worker = FakeWorker::new("i-1", "small", "north");
        exchange_heartbeats(&mut worker, &mut leader, 1.0);
        leader.schedule(2.0);
        let txn = leader.next_transaction(2.0).unwrap();
        if applied {
            store.apply(&txn);
        }
        assert_eq!(
            leader.on_transaction_outcome(TxnOutcome::Unknown, 2.0),
            AfterTransaction::Retry
        );
        // The assignment is not known to be stored, so the task is not launched.
        assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 2.5)), 0);
        let repeated = leader.next_transaction(3.0).unwrap();
        let outcome = store.apply(&repeated);
        match leader.on_transaction_outcome(outcome, 3.0) {
            AfterTransaction::ReadBack(key) => {
                assert!(applied);
                leader.on_read_back(store.keys[&key].1, 3.0);
            }
            after => assert_eq!((after, applied), (AfterTransaction::Continue, false)),
        }
        assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 3.5)), 1);
    }
}

/// A former leader may send a transaction after another controller was elected. The state service rejects it, and the
/// former leader must step down.
#[test]
fn a_transaction_after_the_next_election_ends_the_term() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 1));
    let mut old = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut old, 1.0);
    old.schedule(2.0);
    let txn = old.next_transaction(2.0).unwrap();
    store.elect("n1", 10.0);
    let outcome = store.apply(&txn);
    assert_eq!(
        old.on_transaction_outcome(outcome, 10.0),
        AfterTransaction::LeadershipLost
    );
}

/// An array whose assignments don't fit in one record takes several, each within the store's value size of 8 KiB. A new
/// leader must read the whole array from them: a task that it misses would be started again.
#[test]
fn an_array_that_takes_several_records_survives_a_failover() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 2000);
    large.cpus = 0.1;
    large.memory_gb = 0.1;
    store.submit(&large);
    let mut old = store.elect("n0", 0.0);
    // Neighboring tasks are on different machines, so that no two can be recorded as one range.
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "big", "north"))
        .collect();
    for worker in &mut workers {
        exchange_heartbeats(worker, &mut old, 1.0);
    }
    let running = |workers: &[FakeWorker]| {
        workers
            .iter()
            .map(|worker| worker.running().len())
            .sum::<usize>()
    };
    let mut now = 1.0;
    while running(&workers) < 2000 {
        now += 1.0;
        assert!(now < 100.0, "{} running", running(&workers));
        store.schedule_and_write(&mut old, now);
        for worker in &mut workers {
            worker.send_heartbeat(&mut old, now);
        }
    }
    let records = store.keys.iter().filter(|(key, _)| key.contains("/run/"));
    let sizes: Vec<usize> = records.map(|(_, (value, _))| value.get().len()).collect();
    assert!(sizes.len() > 2, "{sizes:?}");
    assert!(sizes.iter().all(|size| *size <= 8 * 1024), "{sizes:?}");
    for task in (0..2000).filter(|t| t % 3 == 0) {
        for worker in &mut workers {
            worker.exit_task(&format!("j-1/{task}"), ExitReason::Done);
        }
    }
    for _ in 0..5 {
        now += 1.0;
        for worker in &mut workers {
            worker.send_heartbeat(&mut old, now);
        }
        store.schedule_and_write(&mut old, now + 0.9);
    }
    let status = store.replica().jobs["j-1"].status("j-1");
    assert_eq!((status.done, status.running), (667, 1333));
    let mut new = store.elect("n1", now + 10.0);
    now += 11.0;
    for task in 0..2000 {
        for worker in &mut workers {
            worker.exit_task(&format!("j-1/{task}"), ExitReason::Done);
        }
    }
    for _ in 0..12 {
        now += 1.0;
        for worker in &mut workers {
            worker.send_heartbeat(&mut new, now);
        }
        store.schedule_and_write(&mut new, now);
    }
    assert_eq!(store.stored_end("j-1"), Some(JobEnd::Done));
    assert!(
        workers
            .iter()
            .all(|worker| worker.heartbeat.tasks.is_empty())
    );
    // The end stays stored when the job's other records are deleted. Entries for the job that are left in the
    // assignment log are ignored.
    let next = store.elect("n2", now + 10.0);
    assert_eq!((next.jobs.len(), next.fleet.machines.len()), (0, 0));
}

/// The state service rejects a value that is larger than its limit each time. An assignment record that is too large
/// because of long machine names would therefore block all later writes.
#[test]
fn assignments_to_machines_with_long_names_are_split_into_several_records() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 140));
    let mut leader = store.elect("n0", 0.0);
    for i in 0..36 {
        let name = format!("i-{i}-{}", "x".repeat(300));
        let mut worker = FakeWorker::new(&name, "small", "north");
        exchange_heartbeats(&mut worker, &mut leader, 1.0);
    }
    leader.schedule(1.0);
    let mut records = 0;
    let mut now = 1.0;
    while let Some(txn) = leader.next_transaction(now) {
        for change in &txn.changes {
            let Change::Put { value, .. } = change else {
                panic!("{change:?}");
            };
            assert!(value.get().len() <= 8 * 1024, "{}", value.get().len());
            records += 1;
        }
        let outcome = store.apply(&txn);
        assert_eq!(
            leader.on_transaction_outcome(outcome, now),
            AfterTransaction::Continue
        );
        now += 1.0;
    }
    assert!(records > 1);
    let new = store.elect("n1", 20.0);
    let assigned: Vec<u32> = new.jobs.values().map(|job| job.assigned_tasks).collect();
    assert_eq!(assigned, [140]);
}

/// If each job had assignment records of its own, the launches of some dozens of jobs would wait for the state
/// service's limited write rate. All jobs share one log, so that the number of writes doesn't grow with the number of
/// jobs. Old records are deleted, but no entry that is still valid may be lost with them.
#[test]
fn the_assignment_log_of_many_jobs_takes_few_writes_and_keeps_valid_entries() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut workers: Vec<FakeWorker> = (0..8)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "big", "north"))
        .collect();
    for worker in &mut workers {
        exchange_heartbeats(worker, &mut leader, 0.5);
    }
    // One long-running job among many short ones.
    let mut long_job = job("j-9999", 4);
    long_job.class = "long".into();
    store.submit(&long_job);
    let accept = |leader: &mut Leader, spec: Submission, now: f64| {
        let id = spec.id.as_str().into();
        let mut stored = ReplicatedJob::default();
        stored.spec = Some(Rc::new(spec));
        leader.add_stored_job(&id, &stored, now);
    };
    accept(&mut leader, long_job, 0.5);
    let mut puts = 0;
    for round in 0..200 {
        let now = 1.0 + f64::from(round);
        for i in 0..5 {
            let id = format!("j-{}", round * 5 + i);
            store.submit(&job(&id, 8));
            accept(&mut leader, job(&id, 8), now);
        }
        leader.schedule(now);
        while let Some(txn) = leader.next_transaction(now) {
            let puts_record = |change: &&Change| matches!(change, Change::Put { key, .. } if key.contains("/run/"));
            puts += txn.changes.iter().filter(puts_record).count();
            let outcome = store.apply(&txn);
            assert_eq!(
                leader.on_transaction_outcome(outcome, now),
                AfterTransaction::Continue
            );
        }
        for worker in &mut workers {
            worker.send_heartbeat(&mut leader, now + 0.3);
            for task in worker.running().iter().filter(|t| !t.starts_with("j-9999")) {
                worker.exit_task(task, ExitReason::Done);
            }
            worker.send_heartbeat(&mut leader, now + 0.6);
        }
    }
    assert!(puts < 450, "{puts} records written for 1000 jobs");
    let records = store
        .keys
        .keys()
        .filter(|key| key.contains("/run/"))
        .count();
    assert!(records < 150, "{records} records left");
    assert_eq!(store.replica().jobs["j-9999"].status("j-9999").running, 4);
    let new = store.elect("n1", 500.0);
    assert_eq!(
        new.jobs[&new.job_index("j-9999").unwrap()].assigned_tasks,
        4
    );
    let done = store
        .replica()
        .jobs
        .values()
        .filter(|job| job.end.is_some())
        .count();
    assert!(done > 950, "{done}");
}

/// Under the smallest limits, one change per second and values of 1 KiB, jobs still start and complete, only later.
#[test]
fn jobs_complete_under_the_smallest_limits_of_the_state_service() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 30));
    store.submit(&gang("j-2", 2));
    let mut leader = store.elect("n0", 0.0);
    let mut config = crate::config::tests::sample();
    config.deployment.state.write_rps = 1.0;
    config.deployment.state.txn_ops = 1;
    config.deployment.state.value_kb = 1.0;
    leader.config = Rc::new(config);
    let mut workers: Vec<FakeWorker> = (0..3)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let mut now = 0.0;
    while store.stored_end("j-1").is_none() || store.stored_end("j-2").is_none() {
        now += 3.0;
        assert!(now < 300.0);
        for worker in &mut workers {
            for task in worker.running() {
                worker.exit_task(&task, ExitReason::Done);
            }
            worker.send_heartbeat(&mut leader, now);
        }
        leader.schedule(now);
        while let Some(txn) = leader.next_transaction(now) {
            assert_eq!(txn.changes.len(), 1);
            let outcome = store.apply(&txn);
            leader.on_transaction_outcome(outcome, now);
        }
    }
}

/// Tasks of many jobs complete all the time. Under a low write limit, if each completion took one of the few writes,
/// the ends of jobs and with them the starts of their dependents would be late by as much as a hundred seconds.
#[test]
fn the_assignment_log_does_not_delay_the_ends_of_jobs() {
    let mut store = FakeStore::default();
    let mut config = crate::config::tests::sample();
    config.deployment.state.write_rps = 4.0;
    config.deployment.state.txn_ops = 5;
    config.deployment.state.value_kb = 0.3;
    let ids: Vec<String> = (0..50).map(|i| format!("j-{i}")).collect();
    for id in &ids {
        store.submit(&job(id, 40));
    }
    store.submit(&job("j-100", 1));
    let mut leader = store.elect_with(config, "n0", 0.0);
    let mut end_delay_s = None;
    for step in 0..800_u32 {
        let now = f64::from(step) * 0.05;
        // In each step of 0.05 s one task of each of two jobs completes, so that all 50 jobs have one completion in 25
        // steps.
        for completion in 0..2 {
            let id = &ids[(2 * step + completion) as usize % ids.len()];
            let key = (leader.job_index(id).unwrap(), step / 25, 1).into();
            leader.on_task_completed(key, None, now);
        }
        if step == 400 {
            let key = (leader.job_index("j-100").unwrap(), 0, 1).into();
            leader.on_task_completed(key, None, now);
        }
        if let Some(txn) = leader.next_transaction(now) {
            let outcome = store.apply(&txn);
            assert_eq!(
                leader.on_transaction_outcome(outcome, now),
                AfterTransaction::Continue
            );
        }
        if end_delay_s.is_none() && store.stored_end("j-100").is_some() {
            // The only task of the job completes at 20 s, in step 400.
            end_delay_s = Some(now - 20.0);
        }
    }
    let end_delay_s = end_delay_s.expect("the end was never written");
    assert!(end_delay_s <= 1.5, "{end_delay_s}");
}
