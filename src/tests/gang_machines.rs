//! Machines for gangs: whoever counts how many tasks a machine holds must know every bound of the scheduler. A gang that
//! is accepted starts, as long as the cloud has machines; one that can never start is refused.

use super::simulated_fleet::SimulatedFleet;
use crate::config::Config;
use crate::controller::users::submission_checks::{Infeasibility, infeasibility};
use crate::protocol::users::{JobKind, Submission};
use crate::scheduler::attempt_limits::gang_tasks_max;
use crate::test_support::{job, types};

/// The time within which the largest jobs of a class must begin, in seconds.
const START_S_MAX: f64 = 240.0;

/// Settings without limits of teams.
fn config() -> Config {
    let mut config = crate::config::tests::sample();
    for team in &mut config.deployment.teams {
        (team.cpus_max, team.gpus_max) = (0.0, 0.0);
    }
    config
}

/// A gang of tasks that are so small that a machine could hold thousands of them.
fn tiny_gang(id: &str, tasks: u32) -> Submission {
    Submission {
        kind: JobKind::Gang,
        cpus: 0.001,
        memory_gb: 0.001,
        ..job(id, tasks)
    }
}

/// Settings with so little memory that the largest gang is small.
fn config_with_little_memory() -> Config {
    let mut config = config();
    config.deployment.limits.ram_mb = 16.0;
    config
}

fn fleet_of_four(capacity: &[(&'static str, usize)]) -> SimulatedFleet {
    fleet_of_four_with(config(), capacity)
}

fn fleet_of_four_with(config: Config, capacity: &[(&'static str, usize)]) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(config, capacity);
    for zone in ["north", "south", "north", "south"] {
        fleet.add_machine("small", zone);
    }
    for _ in 0..4 {
        fleet.run_round();
    }
    fleet
}

fn assert_starts(fleet: &mut SimulatedFleet, spec: &Submission) {
    fleet.submit(spec);
    let started = fleet.run_until(START_S_MAX, |fleet| {
        fleet.started_tasks(&spec.id) == spec.tasks as usize
    });
    assert!(
        started,
        "{}: {} of {} tasks started on {} machines",
        spec.id,
        fleet.started_tasks(&spec.id),
        spec.tasks,
        fleet.workers.len()
    );
}

/// A heartbeat can list some 500 tasks. If the demand counted only resources, four machines would do for any number of tiny
/// tasks, no machine would be rented, and the gang would never start.
#[test]
fn machines_are_rented_for_a_gang_of_more_tasks_than_the_machines_may_hold() {
    assert_starts(
        &mut fleet_of_four(&[("small", 20)]),
        &tiny_gang("j-1", 3_000),
    );
}

#[test]
fn machines_are_rented_for_a_gang_of_tiny_tasks_in_one_zone() {
    let mut spec = tiny_gang("j-1", 3_000);
    spec.one_zone = true;
    assert_starts(&mut fleet_of_four(&[("small", 20)]), &spec);
}

#[test]
fn machines_are_rented_for_a_gang_of_tiny_tasks_that_must_be_spread() {
    let mut spec = tiny_gang("j-1", 3_000);
    spec.spread = true;
    assert_starts(&mut fleet_of_four(&[("small", 20)]), &spec);
}

/// Attempts of several classes on a machine add up.
#[test]
fn machines_are_rented_for_tiny_gangs_of_several_classes_that_run_at_the_same_time() {
    let mut fleet = fleet_of_four(&[("small", 20)]);
    let specs = (1..=8).map(|number| Submission {
        class: format!("class-{number}"),
        ..tiny_gang(&format!("j-{number}"), 500)
    });
    fleet.submit_all(specs);
    let started = fleet.run_until(START_S_MAX, |fleet| {
        (1..=8).all(|number| fleet.started_tasks(&format!("j-{number}")) == 500)
    });
    assert!(started, "{} tasks", fleet.started.len());
}

/// The mean of the class is a task of which a machine holds fewer than its heartbeat can list.
#[test]
fn machines_are_rented_for_a_tiny_gang_whose_class_has_larger_tasks_on_average() {
    let mut fleet = fleet_of_four(&[("small", 20)]);
    for number in 10..14 {
        fleet.submit(&job(&format!("j-{number}"), 1));
    }
    assert_starts(&mut fleet, &tiny_gang("j-1", 3_000));
}

/// Machines at a high price are demanded for as many tasks as are cleared in time one after the other. The tasks of a gang
/// run at the same time.
#[test]
fn machines_at_a_high_price_are_rented_for_all_tasks_of_a_gang() {
    let mut fleet = SimulatedFleet::new(config(), &[("small", 30)]);
    fleet.has_spot_machines = false;
    let mut spec = job("j-1", 40);
    spec.kind = JobKind::Gang;
    spec.spot = true;
    spec.estimate_s = 5.0;
    assert_starts(&mut fleet, &spec);
}

/// Gangs above the bound on attempts by memory can never start.
#[test]
fn the_largest_gang_that_is_accepted_starts_and_a_larger_one_is_refused() {
    let config = config_with_little_memory();
    let tasks_max = gang_tasks_max(&config.deployment);
    let larger = tiny_gang("j-2", tasks_max + 1);
    assert_eq!(
        infeasibility(&larger, &config, &types()),
        Some(Infeasibility::GangTasks(tasks_max))
    );
    let largest = tiny_gang("j-1", tasks_max);
    assert_eq!(infeasibility(&largest, &config, &types()), None);
    let mut fleet = fleet_of_four_with(config, &[("small", 100)]);
    assert_starts(&mut fleet, &largest);
}

/// Arrays may hold all the attempts that they get for any time.
#[test]
fn the_largest_gang_starts_beside_services_that_hold_all_the_attempts_that_they_may() {
    let mut fleet = fleet_of_four_with(config_with_little_memory(), &[("small", 100)]);
    for number in 10..16 {
        fleet.submit(&Submission {
            kind: JobKind::Service,
            cpus: 0.01,
            memory_gb: 0.01,
            ..job(&format!("j-{number}"), 100_000)
        });
    }
    for _ in 0..60 {
        fleet.run_round();
    }
    let tasks = gang_tasks_max(&fleet.leader.config.deployment);
    assert_starts(&mut fleet, &tiny_gang("j-1", tasks));
}
