//! Submissions with the largest numbers that are accepted. No number that a user chooses may set the work of one turn
//! of the leader's event loop, or overflow: the leader would lose its lease, and so would each of its successors.

use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::Duration;

use super::simulated_fleet::SimulatedFleet;
use crate::protocol::users::{JobKind, Priority, Submission};
use crate::test_support::job;

/// The number of tasks that a job may have at most, by the protocol.
const TASKS_MAX: u32 = 100_000;
/// The number of extreme jobs that wait at the same time.
const JOBS: usize = 40;
/// The time within which an ordinary job must start beside them, in seconds: the longest that any job may wait while
/// machines that suit it have room.
const START_S_MAX: f64 = 90.0;
/// The wall-clock time that a scenario may take. Without the fault they take less than a tenth of it; with it, hours.
const SCENARIO_S_MAX: u64 = 120;

/// Runs a scenario in a thread of its own, and fails if it takes too long.
fn assert_ends(name: &str, scenario: impl FnOnce() + Send + 'static) {
    let (ended, has_ended) = channel();
    let thread = std::thread::spawn(move || {
        scenario();
        let _ = ended.send(());
    });
    match has_ended.recv_timeout(Duration::from_secs(SCENARIO_S_MAX)) {
        Err(RecvTimeoutError::Timeout) => panic!("{name}: a turn of the event loop doesn't end"),
        Ok(()) | Err(RecvTimeoutError::Disconnected) => thread.join().expect(name),
    }
}

fn config() -> crate::config::Config {
    let mut config = crate::config::tests::sample();
    for team in &mut config.deployment.teams {
        (team.cpus_max, team.gpus_max) = (0.0, 0.0);
    }
    config
}

/// A job of the lowest priority that may use only machines of type `big`, of which none is up. `class` tells whether
/// ordinary jobs belong to the same class.
fn extreme_job(number: usize, kind: JobKind, change: fn(&mut Submission)) -> Submission {
    let mut spec = job(&format!("j-9{number:04}"), TASKS_MAX);
    spec.kind = kind;
    spec.priority = Priority::Low;
    spec.types = Some(vec!["big".into()]);
    spec.class = format!("extreme-{}", number % 4);
    change(&mut spec);
    spec
}

/// Submits extreme jobs, then ordinary ones, and checks that the ordinary ones start on the machines that are up.
fn assert_ordinary_jobs_start(kind: &JobKind, change: fn(&mut Submission), spare_machines: usize) {
    let mut fleet = SimulatedFleet::new(config(), &[("big", spare_machines), ("small", 4)]);
    for zone in ["north", "south", "north", "south"] {
        fleet.add_machine("small", zone);
    }
    for _ in 0..4 {
        fleet.run_round();
    }
    for number in 0..JOBS {
        fleet.submit(&extreme_job(number, *kind, change));
    }
    for _ in 0..8 {
        fleet.run_round();
    }
    for id in ["j-1", "j-2", "j-3"] {
        fleet.submit(&job(id, 4));
    }
    let started = fleet.run_until(START_S_MAX, |fleet| {
        ["j-1", "j-2", "j-3"]
            .iter()
            .all(|id| fleet.started_tasks(id) == 4)
    });
    assert!(started, "{:?}", fleet.leader.state_size());
}

fn assert_ordinary_jobs_start_with_each_kind(name: &'static str, change: fn(&mut Submission)) {
    for kind in [JobKind::Array, JobKind::Gang, JobKind::Service] {
        for spare_machines in [0, 8] {
            assert_ends(name, move || {
                assert_ordinary_jobs_start(&kind, change, spare_machines);
            });
        }
    }
}

/// An estimate in nanoseconds made the demand for machines so large that each of them was subtracted for hours.
#[test]
fn ordinary_jobs_start_beside_jobs_whose_estimates_are_in_nanoseconds() {
    assert_ordinary_jobs_start_with_each_kind("nanoseconds", |spec| spec.estimate_s = 25e9);
}

/// The mean of estimates overflowed to infinity, and no plan could cover the demand.
#[test]
fn ordinary_jobs_start_beside_jobs_with_the_largest_estimate() {
    assert_ordinary_jobs_start_with_each_kind("largest estimate", |spec| {
        spec.estimate_s = f64::MAX
    });
}

#[test]
fn ordinary_jobs_start_beside_jobs_with_the_largest_deadline_and_estimate() {
    assert_ordinary_jobs_start_with_each_kind("largest deadline", |spec| {
        spec.class = "sums".into();
        spec.deadline_s = Some(f64::MAX);
        spec.estimate_s = f64::MAX;
    });
}

#[test]
fn ordinary_jobs_start_beside_jobs_with_the_largest_checkpoint_and_save_times() {
    assert_ordinary_jobs_start_with_each_kind("largest save time", |spec| {
        spec.checkpoint_s = f64::MAX;
        spec.save_s = f64::MAX;
        spec.cpus = 0.01;
        spec.memory_gb = 0.01;
    });
}

#[test]
fn ordinary_jobs_start_beside_jobs_whose_tasks_take_nothing() {
    assert_ordinary_jobs_start_with_each_kind("no resources", |spec| {
        (spec.cpus, spec.memory_gb) = (0.0, 0.0);
        spec.estimate_s = 0.0;
        spec.deadline_s = Some(0.0);
    });
}

/// A pass visited every candidate machine for every waiting job in one turn of the event loop.
#[test]
fn a_scheduling_pass_over_many_jobs_and_machines_ends_early_and_the_next_ones_go_on() {
    const MACHINES: usize = 2_000;
    const WAITING_JOBS: usize = 1_000;
    let mut fleet = SimulatedFleet::new(config(), &[]);
    for number in 0..MACHINES {
        fleet.add_machine("small", ["north", "south"][number % 2]);
    }
    for _ in 0..3 {
        fleet.run_round();
    }
    fleet.submit_all((0..WAITING_JOBS).map(|number| job(&format!("j-{number}"), 1)));
    fleet.leader.schedule(fleet.now);
    let waiting = fleet.leader.scheduler.waiting_jobs.len();
    assert!(waiting > 0 && waiting < WAITING_JOBS, "{waiting}");
    // The jobs that the pass has not reached don't wait for the next change in the fleet.
    for _ in 0..4 {
        fleet.leader.schedule(fleet.now);
    }
    assert_eq!(fleet.leader.scheduler.waiting_jobs.len(), 0);
}

/// An early end must not leave the jobs at the end of the order to wait for ever behind jobs that can't be placed.
#[test]
fn a_job_behind_many_gangs_that_fit_nowhere_is_placed() {
    let mut fleet = SimulatedFleet::new(config(), &[]);
    for zone in ["north", "south"] {
        fleet.add_machine("small", zone);
    }
    for _ in 0..3 {
        fleet.run_round();
    }
    fleet.submit_all((0..JOBS).map(|number| Submission {
        kind: JobKind::Gang,
        // Each is smaller than the one before it, so that the failure of one doesn't imply that of the next.
        cpus: 0.001,
        memory_gb: 0.001,
        ..job(&format!("j-9{number:04}"), 60_000 - number as u32)
    }));
    fleet.submit(&Submission {
        priority: Priority::Low,
        ..job("j-1", 4)
    });
    assert!(fleet.run_until(START_S_MAX, |fleet| fleet.started_tasks("j-1") == 4));
}

/// The fetch of a large image was taken to delay all other fetches of its machine until it ends.
#[test]
fn ordinary_jobs_start_on_machines_that_fetch_the_largest_image() {
    for image_gb in [700.0, f64::MAX] {
        let mut fleet = SimulatedFleet::new(config(), &[]);
        for zone in ["north", "south", "north", "south"] {
            fleet.add_machine("small", zone);
        }
        for _ in 0..3 {
            fleet.run_round();
        }
        fleet.fetching_job = Some("j-90000");
        fleet.submit(&Submission {
            image: "huge".into(),
            image_gb,
            cpus: 5.0,
            priority: Priority::Low,
            ..job("j-90000", 4)
        });
        assert!(fleet.run_until(START_S_MAX, |fleet| fleet.launched_tasks("j-90000") == 4));
        fleet.submit(&Submission {
            priority: Priority::Production,
            ..job("j-1", 4)
        });
        let started = fleet.run_until(START_S_MAX, |fleet| fleet.started_tasks("j-1") == 4);
        assert!(started, "beside images of {image_gb} GB");
    }
}
