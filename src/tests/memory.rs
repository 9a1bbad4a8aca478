//! The memory of a leader under job arrays as large as the protocol allows: it must stay within the limit in the settings,
//! as the platform ends a process that exceeds it.

use super::allocation_meter::measure_peak_mb;
use crate::config::Config;
use crate::leader::Leader;
use crate::protocol::users::{Priority, Submission};
use crate::test_support::{FakeStore, FakeWorker, job};

/// The number of tasks that a job may have at most, by the protocol.
const TASKS_MAX: u32 = 100_000;
/// The smallest memory limit of the deployments, in megabytes.
const MEMORY_LIMIT_MB: f64 = 56.0;
const MACHINES: usize = 100;

fn config() -> Config {
    let mut config = crate::config::tests::sample();
    config.deployment.limits.ram_mb = MEMORY_LIMIT_MB;
    for team in &mut config.deployment.teams {
        (team.cpus_max, team.gpus_max) = (0.0, 0.0);
    }
    config
}

/// The largest array that the protocol allows, with tasks of this many CPUs.
fn largest_array(id: &str, cpus: f64) -> Submission {
    let mut spec = job(id, TASKS_MAX);
    (spec.cpus, spec.memory_gb) = (cpus, cpus);
    spec.priority = Priority::Low;
    spec.spot = true;
    spec
}

fn store_with_arrays(arrays: usize, cpus: f64) -> FakeStore {
    let mut store = FakeStore::default();
    for number in 0..arrays {
        store.submit(&largest_array(&format!("j-{number}"), cpus));
    }
    store
}

fn workers() -> Vec<FakeWorker> {
    (0..MACHINES)
        .map(|number| FakeWorker::new(&format!("i-{number:06}"), "big", "north"))
        .collect()
}

/// Elects a leader and runs its first rounds, with heartbeats of all workers. Its calls to the cloud get no answer.
fn run_first_rounds(store: &mut FakeStore, workers: &mut [FakeWorker]) -> Leader {
    let mut leader = store.elect_with(config(), "n0", 0.0);
    for round in 0..5 {
        let now = f64::from(round);
        leader.record_worker_contact(now);
        for worker in workers.iter_mut() {
            worker.send_heartbeat(&mut leader, now);
        }
        leader.maintain_fleet(now);
        store.schedule_and_write(&mut leader, now);
        leader.next_cloud_call(now);
    }
    leader
}

fn assert_first_rounds_fit(arrays: usize, cpus: f64) {
    let mut store = store_with_arrays(arrays, cpus);
    let mut workers = workers();
    let (_, peak_mb) = measure_peak_mb(|| run_first_rounds(&mut store, &mut workers));
    assert!(
        peak_mb < MEMORY_LIMIT_MB,
        "{arrays} arrays of tasks of {cpus} CPUs: {peak_mb:.0} MB of {MEMORY_LIMIT_MB} MB"
    );
}

#[test]
fn waiting_arrays_of_5900000_tasks_do_not_exceed_the_memory_limit_of_a_new_leader() {
    assert_first_rounds_fit(59, 60.0);
}

#[test]
fn rentals_for_27000000_cpus_do_not_exceed_the_memory_limit_of_a_new_leader() {
    assert_first_rounds_fit(9, 30.0);
}

#[test]
fn placing_900000_tiny_tasks_at_once_does_not_exceed_the_memory_limit() {
    assert_first_rounds_fit(9, 0.001);
}
