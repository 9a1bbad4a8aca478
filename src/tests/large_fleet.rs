//! A fleet of more than 4,000 machines, to show that no lower bound limits the leader. Counts are asserted, not
//! times.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::leader::{AfterTransaction, Leader};
use crate::protocol::store::Change;
use crate::protocol::workers::TaskStatus;
use crate::store::keys;
use crate::test_support::{FakeStore, FakeWorker, job};

const MACHINES: usize = 4500;
const JOBS: usize = 75;
const TASKS_EACH: u32 = 1000;
const TASKS: usize = JOBS * TASKS_EACH as usize;
/// Heartbeat intervals within which everything must have started.
const ROUNDS: usize = 60;

fn config() -> Config {
    let mut config = crate::config::tests::sample();
    config.deployment.state.write_rps = 60.0;
    config.deployment.limits.max_sockets = 8000;
    config
}

fn workers() -> Vec<FakeWorker> {
    let zone = |at: usize| ["north", "south"][at % 2];
    (0..MACHINES)
        .map(|at| FakeWorker::new(&format!("i-{at:06}"), "small", zone(at)))
        .collect()
}

fn running(workers: &[FakeWorker]) -> usize {
    workers
        .iter()
        .map(|worker| worker.heartbeat.tasks.len())
        .sum()
}

/// One heartbeat interval: all workers send a heartbeat, the leader places and writes within its share of the write
/// budget.
fn play_interval(store: &mut FakeStore, leader: &mut Leader, workers: &mut [FakeWorker], now: f64) {
    leader.record_worker_contact(now);
    for worker in workers.iter_mut() {
        worker.send_heartbeat(leader, now);
    }
    leader.schedule(now);
    for step in 0..30 {
        let at = now + f64::from(step) * 0.1;
        while let Some(txn) = leader.next_transaction(at) {
            for change in &txn.changes {
                if let Change::Put { key, value, .. } = change {
                    let limit = (leader.config.deployment.state.value_kb * 1024.0) as usize;
                    assert!(value.get().len() <= limit, "{key}: {}", value.get().len());
                }
            }
            let outcome = store.apply(&txn);
            assert_ne!(
                leader.on_transaction_outcome(outcome, at),
                AfterTransaction::LeadershipLost
            );
        }
    }
}

/// The machine of each running task; a task may run on one machine only.
fn places(workers: &[FakeWorker]) -> BTreeMap<&str, usize> {
    let mut places = BTreeMap::new();
    for (at, worker) in workers.iter().enumerate() {
        for TaskStatus { task, .. } in &worker.heartbeat.tasks {
            assert_eq!(places.insert(task.as_str(), at), None, "{task} twice");
        }
    }
    places
}

#[test]
fn a_fleet_of_4500_machines_runs_75000_tasks_across_a_failover() {
    let mut store = FakeStore::default();
    let mut leader = store.elect_with(config(), "n0", 0.0);
    let mut workers = workers();
    for number in 0..JOBS {
        let mut spec = job(&format!("j-{number}"), TASKS_EACH);
        (spec.cpus, spec.memory_gb) = (0.4, 1.0);
        spec.estimate_s = 3600.0;
        store.submit(&spec);
        let view = store.replica();
        leader.add_stored_job(&spec.id.as_str().into(), &view.jobs[spec.id.as_str()], 0.0);
    }
    let mut now = 0.0;
    for _ in 0..ROUNDS {
        if running(&workers) == TASKS {
            break;
        }
        now += 3.0;
        play_interval(&mut store, &mut leader, &mut workers, now);
    }
    assert_eq!(running(&workers), TASKS, "after {now} s");
    let before: BTreeMap<String, usize> = places(&workers)
        .into_iter()
        .map(|(task, at)| (task.to_owned(), at))
        .collect();
    // A new leader knows all assignments from the store alone and keeps them.
    let log = keys::assignment_record(0);
    let prefix = log.trim_end_matches('0');
    let values = store.keys.keys().filter(|key| key.starts_with(prefix));
    assert!(values.count() > 0);
    let mut leader = store.elect_with(config(), "n1", now);
    let bound: u32 = leader.jobs.values().map(|job| job.assigned_tasks).sum();
    assert_eq!(bound as usize, TASKS);
    for _ in 0..3 {
        now += 3.0;
        play_interval(&mut store, &mut leader, &mut workers, now);
    }
    assert_eq!(leader.fleet.machines.len(), MACHINES);
    let after = places(&workers);
    assert!(
        before
            .iter()
            .all(|(task, at)| after.get(task.as_str()) == Some(at))
    );
}
