//! Whole controllers in memory that load the store again and again while jobs are created, end and are deleted: they
//! are restarted one after the other, watches are answered with 410, and pages of listings are small and slow. Many of the
//! jobs have dependency parts. See [`super::world`].

use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{RngExt, SeedableRng};

use super::world::{NODES, World, run_scenario};
use crate::config::Config;
use crate::protocol::users::Submission;
use crate::test_support::job;

const SEEDS: u64 = 4;
/// Seconds during which jobs are submitted and controllers load the store.
const LOADS_S: f64 = 50.0;
/// Seconds within which all jobs must have ended afterwards.
const END_S: f64 = 200.0;
const MACHINES: usize = 16;
/// Seconds between two submissions, and the most between two loads.
const JOB_S: f64 = 0.5;
const GAP_S: f64 = 3.0;
/// Limits of the state service: with more than about 15 dependencies, a job has dependency parts.
const VALUE_BYTES: usize = 512;
const TXN_OPS: usize = 5;
const WRITES_PER_S: f64 = 40.0;
/// Number of jobs that run until the loads have ended, and the fewest of them that a job with dependencies depends on.
const LONG_JOBS: usize = 30;
const DEPENDENCIES_MIN: usize = 15;

fn small_values(config: &mut Config) {
    let state = &mut config.deployment.state;
    state.value_kb = VALUE_BYTES as f64 / 1024.0;
    state.txn_ops = TXN_OPS;
    state.write_rps = WRITES_PER_S;
}

/// The id of a job on which many others depend.
fn long_job_id(number: usize) -> String {
    format!("j-{}", 1_000_000 + number)
}

fn draw_job(rng: &mut SmallRng) -> Submission {
    // Ids come in no order, so that keys of new jobs are on every page.
    let id = format!("j-{}", rng.random_range(1000..1_000_000));
    let mut waits_on = Vec::new();
    if rng.random_bool(0.6) {
        let count = rng.random_range(DEPENDENCIES_MIN..=LONG_JOBS);
        let chosen = sample(rng, LONG_JOBS, count);
        waits_on = chosen.iter().map(long_job_id).collect();
    }
    Submission {
        estimate_s: rng.random_range(1.0..15.0),
        waits_on,
        ..job(&id, rng.random_range(1..3))
    }
}

/// A user who submits a job and perhaps cancels it later.
async fn run_user(world: Rc<World>, spec: Submission, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    world
        .submit_until_accepted(rng.random_range(0..NODES), &spec)
        .await;
    if rng.random_bool(0.2) {
        world.run(rng.random_range(0.0..40.0)).await;
        world
            .cancel_until_confirmed(rng.random_range(0..NODES), &spec.id)
            .await;
    }
    world.query_all_nodes(&spec.id).await;
}

async fn submit_jobs(world: Rc<World>, mut rng: SmallRng) {
    while world.now() < LOADS_S {
        let spec = draw_job(&mut rng);
        let seed = rng.random();
        world.services.spawn(run_user(world.clone(), spec, seed));
        world.run(JOB_S).await;
    }
}

/// Has one controller load the store.
async fn load_again(world: &World, node: usize, rng: &mut SmallRng) {
    let link = &world.state.links[node];
    link.list_s.set([0.1, 0.3, 0.5][rng.random_range(0..3)]);
    world
        .state
        .page_keys
        .set([10, 20, 40][rng.random_range(0..3)]);
    if rng.random_bool(0.3) {
        link.compacted.set(true);
        return;
    }
    world.kill(node);
    world.run(rng.random_range(0.1..4.0)).await;
    world.start(node);
}

async fn run_with_loads(world: Rc<World>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for machine in 0..MACHINES {
        world.boot(["north", "south"][machine % 2]);
    }
    world.state.limits.set((VALUE_BYTES, TXN_OPS, WRITES_PER_S));
    world.start_led_by(0).await;
    for number in 0..LONG_JOBS {
        let spec = Submission {
            estimate_s: LOADS_S,
            ..job(&long_job_id(number), 1)
        };
        world.submit_until_accepted(number % NODES, &spec).await;
    }
    let user_rng = SmallRng::seed_from_u64(rng.random());
    world.services.spawn(submit_jobs(world.clone(), user_rng));
    for node in (0..NODES).cycle() {
        if world.now() > LOADS_S {
            break;
        }
        load_again(&world, node, &mut rng).await;
        world.run(rng.random_range(0.5..GAP_S)).await;
    }
    for link in &world.state.links {
        link.list_s.set(0.0);
    }
    // Users are done by then.
    world.run(60.0).await;
    world.wait_for_all_jobs(END_S).await;
}

/// Guards against keys that a load reads without those that they belong to. Every accepted job must end: a job whose
/// dependencies were lost stays queued.
#[test]
fn every_job_ends_although_controllers_load_a_changing_store() {
    for seed in 0..SEEDS {
        run_scenario(small_values, move |world| run_with_loads(world, seed));
    }
}
