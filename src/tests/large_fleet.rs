//! A fleet of more than 4,000 machines: no constant in the leader may limit it to a smaller fleet. The test checks
//! counts and simulated time, not the time that the computation takes.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::leader::{AfterTransaction, Leader};
use crate::protocol::store::Change;
use crate::protocol::workers::TaskStatus;
use crate::store::keys;
use crate::test_support::{FakeStore, FakeWorker, job};

const MACHINES: usize = 4500;
const JOBS: usize = 75;
const TASKS_PER_JOB: u32 = 1000;
const TASKS: usize = JOBS * TASKS_PER_JOB as usize;
/// Heartbeat intervals within which all tasks must have started.
const START_INTERVALS_MAX: usize = 60;

fn config() -> Config {
    let mut config = crate::config::tests::sample();
    config.deployment.state.write_rps = 60.0;
    config.deployment.limits.max_sockets = 8000;
    config.deployment.limits.ram_mb = 128.0;
    config
}

fn workers() -> Vec<FakeWorker> {
    let zone = |number: usize| ["north", "south"][number % 2];
    (0..MACHINES)
        .map(|number| FakeWorker::new(&format!("i-{number:06}"), "small", zone(number)))
        .collect()
}

fn count_tasks(workers: &[FakeWorker]) -> usize {
    workers
        .iter()
        .map(|worker| worker.heartbeat.tasks.len())
        .sum()
}

/// Runs one heartbeat interval of 3 s: all workers send a heartbeat; the leader places tasks, and writes when its write
/// budget allows.
fn run_heartbeat_interval(
    store: &mut FakeStore,
    leader: &mut Leader,
    workers: &mut [FakeWorker],
    now: f64,
) {
    leader.record_worker_contact(now);
    for worker in workers.iter_mut() {
        worker.send_heartbeat(leader, now);
    }
    leader.schedule(now);
    for step in 0..30 {
        let write_at = now + f64::from(step) * 0.1;
        while let Some(txn) = leader.next_transaction(write_at) {
            for change in &txn.changes {
                if let Change::Put { key, value, .. } = change {
                    let bytes_max = (leader.config.deployment.state.value_kb * 1024.0) as usize;
                    let bytes = value.get().len();
                    assert!(bytes <= bytes_max, "{key}: {bytes}");
                }
            }
            let outcome = store.apply(&txn);
            assert_ne!(
                leader.on_transaction_outcome(outcome, write_at),
                AfterTransaction::LeadershipLost
            );
        }
    }
}

/// The index of the worker that each task is on. A task may be on one machine only.
fn worker_by_task(workers: &[FakeWorker]) -> BTreeMap<&str, usize> {
    let mut worker_by_task = BTreeMap::new();
    for (index, worker) in workers.iter().enumerate() {
        for TaskStatus { task, .. } in &worker.heartbeat.tasks {
            let previous = worker_by_task.insert(task.as_str(), index);
            assert_eq!(previous, None, "{task} runs twice");
        }
    }
    worker_by_task
}

/// All tasks start in time on thousands of machines. The assignments fit the state service's limits, and a new leader
/// takes all of them from there: no task is moved or started twice.
#[test]
fn a_fleet_of_4500_machines_runs_75000_tasks_across_a_failover() {
    let mut store = FakeStore::default();
    let mut leader = store.elect_with(config(), "n0", 0.0);
    let mut workers = workers();
    for number in 0..JOBS {
        let mut spec = job(&format!("j-{number}"), TASKS_PER_JOB);
        (spec.cpus, spec.memory_gb) = (0.4, 1.0);
        spec.estimate_s = 3600.0;
        store.submit(&spec);
        let replica = store.replica();
        let stored = &replica.jobs[spec.id.as_str()];
        leader.add_stored_job(&spec.id.as_str().into(), stored, 0.0);
    }
    let mut now = 0.0;
    for _ in 0..START_INTERVALS_MAX {
        if count_tasks(&workers) == TASKS {
            break;
        }
        now += 3.0;
        run_heartbeat_interval(&mut store, &mut leader, &mut workers, now);
    }
    assert_eq!(count_tasks(&workers), TASKS, "after {now} s");
    let before: BTreeMap<String, usize> = worker_by_task(&workers)
        .into_iter()
        .map(|(task, index)| (task.to_owned(), index))
        .collect();
    // A new leader reads all assignments from the assignment log and keeps them.
    let first_key = keys::assignment_record(0);
    let prefix = first_key.trim_end_matches('0');
    let records = store.keys.keys().filter(|key| key.starts_with(prefix));
    assert!(records.count() > 0);
    let mut leader = store.elect_with(config(), "n1", now);
    let assigned: u32 = leader.jobs.values().map(|job| job.assigned_tasks).sum();
    assert_eq!(assigned as usize, TASKS);
    for _ in 0..3 {
        now += 3.0;
        run_heartbeat_interval(&mut store, &mut leader, &mut workers, now);
    }
    assert_eq!(leader.fleet.machines.len(), MACHINES);
    let after = worker_by_task(&workers);
    assert!(
        before
            .iter()
            .all(|(task, index)| after.get(task.as_str()) == Some(index))
    );
}
