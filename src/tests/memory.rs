//! The memory of a leader under job arrays as large as the protocol allows: it must stay within the limit in the settings,
//! as the platform ends a process that exceeds it.

use super::allocation_meter::measure_peak_mb;
use crate::config::Config;
use crate::leader::Leader;
use crate::protocol::users::{Priority, Submission};
use crate::protocol::workers::ExitReason;
use crate::store::replica::memory_estimate::JOB_BYTES;
use crate::test_support::{FakeStore, FakeWorker, job};

/// The number of tasks that a job may have at most, by the protocol.
const TASKS_MAX: u32 = 100_000;
/// The smallest memory limit of the deployments, in megabytes.
const MEMORY_LIMIT_MB: f64 = 56.0;
const MACHINES: usize = 100;
/// The time within which an urgent job must start, in seconds: the strictest objective of the deployments.
const START_S_MAX: f64 = 8.0;

fn config() -> Config {
    config_with_memory(MEMORY_LIMIT_MB)
}

fn config_with_memory(memory_limit_mb: f64) -> Config {
    let mut config = crate::config::tests::sample();
    config.deployment.limits.ram_mb = memory_limit_mb;
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
        run_round(store, &mut leader, workers, f64::from(round));
    }
    leader
}

fn run_round(store: &mut FakeStore, leader: &mut Leader, workers: &mut [FakeWorker], now: f64) {
    leader.record_worker_contact(now);
    for worker in workers.iter_mut() {
        worker.send_heartbeat(leader, now);
    }
    leader.maintain_fleet(now);
    store.schedule_and_write(leader, now);
    leader.next_cloud_call(now);
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

#[test]
fn an_urgent_job_of_another_team_starts_while_tiny_tasks_take_all_the_attempts_that_they_may() {
    let mut store = store_with_arrays(9, 0.001);
    let mut workers = workers();
    let mut leader = run_first_rounds(&mut store, &mut workers);
    let mut spec = job("j-100", 50);
    spec.team = "red".into();
    spec.priority = Priority::High;
    store.submit(&spec);
    let replica = store.replica();
    leader.add_stored_job(&spec.id.as_str().into(), &replica.jobs["j-100"], 5.0);
    let launched = |workers: &[FakeWorker]| {
        let tasks = workers.iter().flat_map(|worker| &worker.heartbeat.tasks);
        tasks.filter(|t| t.task.starts_with("j-100/")).count()
    };
    let mut now = 5.0;
    while launched(&workers) < 50 {
        assert!(now < 5.0 + START_S_MAX, "{} launched", launched(&workers));
        run_round(&mut store, &mut leader, &mut workers, now);
        now += 1.0;
    }
}

/// The completed tasks of all the arrays together take more than the limit: one array has to end before the next.
#[test]
fn completed_tasks_of_many_arrays_do_not_exceed_the_memory_limit_and_all_arrays_end() {
    const LIMIT_MB: f64 = 3.0;
    const ARRAYS: usize = 24;
    let mut store = FakeStore::default();
    for number in 0..ARRAYS {
        let mut spec = largest_array(&format!("j-{number}"), 0.001);
        spec.tasks = 5_000;
        store.submit(&spec);
    }
    let mut workers = workers();
    let mut leader = store.elect_with(config_with_memory(LIMIT_MB), "n0", 0.0);
    let mut now = 0.0;
    let (_, peak_mb) = measure_peak_mb(|| {
        while leader.jobs.values().any(|job| !job.end_stored) {
            now += 1.0;
            assert!(now < 1000.0, "{:?}", leader.state_size());
            for worker in &mut workers {
                for task in worker.running() {
                    worker.exit_task(&task, ExitReason::Done);
                }
            }
            run_round(&mut store, &mut leader, &mut workers, now);
        }
    });
    assert!(
        peak_mb < LIMIT_MB,
        "{peak_mb:.1} MB of {LIMIT_MB} MB, {now} s"
    );
}

#[test]
fn a_waiting_job_takes_no_more_memory_than_submissions_are_measured_by() {
    const JOBS: usize = 2000;
    let mut store = store_with_arrays(JOBS, 60.0);
    let (_leader, peak_mb) = measure_peak_mb(|| store.elect_with(config(), "n0", 0.0));
    let bytes_per_job = peak_mb * 1e6 / JOBS as f64;
    assert!(bytes_per_job < JOB_BYTES, "{bytes_per_job:.0} bytes");
}
