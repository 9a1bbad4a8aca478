//! Random schedules of admissions, ends of jobs, transfers, restarts, and lost and late messages. The checks use
//! only the history of the store, at each of its revisions.

use crate::support::checker::{check_history, check_lowered_limits};
use crate::support::settings;
use crate::support::world::World;
use quota::{QuotaAmount, QuotaDimension};
use rand::RngExt;
use rand::seq::IndexedRandom;

const TEAMS: [&str; 3] = ["red", "blue", "green"];
const STEPS: usize = 400;
const SEEDS: u64 = 40;
/// Maximum number of transfers within which a job must be admitted if any account has units for it.
const TRANSFERS_MAX: u32 = 20;

const QUOTAS: &str = r#"
    total = { cpus = 60, tasks = 100, jobs = 40 }
    [[teams]]
    name = "red"
    guaranteed = { cpus = 20, tasks = 30, jobs = 10 }
    limit = { cpus = 40 }
    [[teams]]
    name = "blue"
    guaranteed = { cpus = 10, tasks = 10, jobs = 5 }
"#;

fn random_charge(world: &mut World) -> QuotaAmount {
    let tasks = world.rng.random_range(1..8);
    QuotaAmount::of_job(tasks, 1.5, 0.0, 0.0)
}

fn random_step(world: &mut World) {
    let running_controllers = world.running_controllers();
    let controller_index = *running_controllers.choose(&mut world.rng).unwrap();
    let team = *TEAMS.choose(&mut world.rng).unwrap();
    match world.rng.random_range(0..100) {
        0..48 => {
            let charge = random_charge(world);
            world.submit(controller_index, team, charge);
        }
        48..64 => {
            let changes = world.rng.random_range(1..20);
            world.replicate(controller_index, changes);
        }
        64..77 => {
            world.send_background_transaction(controller_index);
        }
        77..82 => {
            let jobs = world.active_jobs();
            if let Some((id, _)) = jobs.choose(&mut world.rng).cloned() {
                let done = world.rng.random_bool(0.7);
                world.finish(&id, done);
            }
        }
        82..87 => world.delete_random_job_record(),
        87..92 => world.announce_shortages(),
        92..94 => world.restart(controller_index),
        94..95 => {
            // The store no longer has the changes that the watch needs, so the controller reads all records again,
            // page by page.
            let changes = world.store.history.len();
            let first_page_changes = changes - world.rng.random_range(0..changes.min(30));
            world.controllers[controller_index].reload(&world.store, first_page_changes);
        }
        95..96
            if running_controllers.len() > 2
                && world.controllers[controller_index].fencing_token.is_none() =>
        {
            world.stop(controller_index)
        }
        96..97 => {
            let stopped: Vec<usize> = (0..world.is_stopped.len())
                .filter(|controller_index| world.is_stopped[*controller_index])
                .collect();
            if let Some(controller_index) = stopped.choose(&mut world.rng) {
                world.restart(*controller_index);
            }
        }
        97..98 => world.elect(controller_index),
        _ => {
            let seconds = world.rng.random_range(0.0..3.0);
            world.advance(seconds);
        }
    }
    world.advance(0.05);
}

const LOWER_QUOTAS: &str = r#"
    total = { cpus = 30, tasks = 60, jobs = 20 }
    [[teams]]
    name = "red"
    guaranteed = { cpus = 6, tasks = 10, jobs = 4 }
    limit = { cpus = 12 }
    [[teams]]
    name = "blue"
    guaranteed = { cpus = 16, tasks = 20, jobs = 8 }
"#;

/// Runs a random schedule, then restarts stopped controllers and waits until no transaction is left to send.
fn world_after_faults(seed: u64, controllers: usize) -> World {
    let mut world = World::new(seed, controllers, settings(QUOTAS));
    world.fault_probability = 0.15;
    for _ in 0..STEPS {
        random_step(&mut world);
    }
    for controller_index in 0..controllers {
        if world.is_stopped[controller_index] {
            world.restart(controller_index);
        }
    }
    if !world
        .running_controllers()
        .iter()
        .any(|controller_index| world.controllers[*controller_index].fencing_token.is_some())
    {
        world.elect(0);
    }
    world.run_until_idle();
    world
}

/// Delayed, lost and repeated transactions and restarts must not let usage exceed an allotment, a limit or the
/// total.
#[test]
fn no_limit_is_exceeded_at_any_revision() {
    let (mut admitted, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let world = world_after_faults(seed, 3 + seed as usize % 3);
        check_history(&world.store, &world.settings, 1);
        admitted += world.admitted;
        refused += world.refused;
    }
    // The schedules must reach the limits, or the checks of the history have no force.
    assert!(
        admitted > 600 && refused > 1000,
        "{admitted} admitted, {refused} refused"
    );
}

/// After faults, a team whose usage is below its guarantee must get a job admitted at any controller, even if other
/// controllers' allotments hold the units.
#[test]
fn guarantees_are_available_at_every_controller() {
    for seed in 0..SEEDS / 2 {
        let mut world = world_after_faults(seed, 4);
        for team in ["red", "blue"] {
            let guaranteed = world.settings.team(team).guaranteed;
            let unused_guarantee = (guaranteed - world.totals().used(team, None)).non_negative();
            let unused_units = QuotaDimension::ALL
                .map(|dimension| unused_guarantee.get(dimension))
                .into_iter();
            if unused_guarantee.get(QuotaDimension::Cpus) < 1500
                || unused_units.min() < Some(0)
                || unused_guarantee.get(QuotaDimension::Jobs) < 1
            {
                continue;
            }
            let one_job = QuotaAmount::of_job(1, 1.5, 0.0, 0.0);
            if one_job.fits_within(&unused_guarantee.max(one_job))
                && unused_guarantee.get(QuotaDimension::Tasks) > 0
            {
                let controller_index = seed as usize % 4;
                world.admit_eventually(controller_index, team, one_job, TRANSFERS_MAX);
            }
        }
        check_history(&world.store, &world.settings, 1);
    }
}

/// After faults left free units in any of the allotments, jobs that use all units available to a team must be
/// admitted at all controllers.
#[test]
fn free_units_are_available_at_every_controller() {
    for seed in 0..SEEDS / 4 {
        let mut world = world_after_faults(seed, 3);
        for (id, _) in world.active_jobs() {
            world.finish(&id, true);
        }
        world.delete_ended_job_records();
        world.run_until_idle();
        let one_job = QuotaAmount::of_job(1, 1.0, 0.0, 0.0);
        // Blue's guarantee leaves red 50 of the 60 CPUs, of which red's limit allows 40, and 35 of the 40 jobs.
        for number in 0..35 {
            let controller_index = number % 3;
            world.admit_eventually(controller_index, "red", one_job, TRANSFERS_MAX);
        }

        let used = world.totals().used("red", None);
        assert_eq!(used.get(QuotaDimension::Jobs), 35);
        check_history(&world.store, &world.settings, 1);
    }
}

/// Controllers restart with lower limits one after the other, during a schedule with faults. Once the lower limits
/// are in force, no job may be admitted of a team whose usage exceeds them.
#[test]
fn lowered_limits_block_admission_until_usage_has_fallen() {
    let lower = settings(LOWER_QUOTAS);
    let mut over_limit = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, settings(QUOTAS));
        world.fault_probability = 0.15;
        for _ in 0..STEPS / 2 {
            random_step(&mut world);
        }
        world.settings = lower.clone();
        for controller_index in 0..3 {
            world.restart(controller_index);
            for _ in 0..10 {
                random_step(&mut world);
            }
        }
        world.elect(seed as usize % 3);
        for _ in 0..STEPS / 2 {
            random_step(&mut world);
        }
        over_limit += check_lowered_limits(&world.store, &lower);
        world.restart(0);
        world.elect(0);
        world.run_until_idle();
        world.totals().check_units(&lower);
    }
    assert!(over_limit > 0, "no team ever had more than the new limits");
}
