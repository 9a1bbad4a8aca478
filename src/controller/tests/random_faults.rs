//! Whole controllers in memory under seeded faults of every kind, several at once; see [`super::world`].

use std::rc::Rc;

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::world::{NODES, Worker, World, run_scenario};
use crate::protocol::users::{JobKind, Priority, Submission};
use crate::protocol::workers::Heartbeat;
use crate::test_support::job;

const FAULTS_S: f64 = 120.0;
const END_S: f64 = 500.0;
const MACHINES: usize = 16;
/// Seconds between two submissions, and mean seconds between two faults.
const JOB_S: f64 = 1.5;
const GAP_S: f64 = 1.2;

/// Draws a job; `accepted` are the jobs that it may depend on.
fn draw_job(rng: &mut SmallRng, number: usize, accepted: &[String]) -> Submission {
    let mut spec = job(&format!("j-{number}"), rng.random_range(1..10));
    spec.estimate_s = rng.random_range(2.0..25.0);
    spec.cpus = [1.0, 2.0, 4.0][rng.random_range(0..3)];
    spec.priority = [Priority::Low, Priority::Normal, Priority::High][rng.random_range(0..3)];
    if rng.random_bool(0.4) {
        spec.team = "red".into();
    }
    match rng.random_range(0..6) {
        0 => spec.zone = Some("south".into()),
        1 => spec.one_zone = true,
        2 => spec.spread = true,
        _ => {}
    }
    if rng.random_bool(0.2) {
        spec.kind = JobKind::Gang;
        spec.tasks = rng.random_range(2..5);
        spec.cpus = 2.0;
    }
    if rng.random_bool(0.25) && !accepted.is_empty() {
        for _ in 0..rng.random_range(1..3) {
            let need = &accepted[rng.random_range(0..accepted.len())];
            spec.waits_on.push(need.clone());
        }
        spec.deadline_s = Some(rng.random_range(60.0..300.0));
    }
    spec
}

fn accepted_jobs(world: &World) -> Vec<String> {
    let jobs = world.checks.jobs.borrow();
    let accepted = jobs.iter().filter(|(_, known)| known.accepted.is_some());
    accepted.map(|(id, _)| id.clone()).collect()
}

/// A user who submits a job, queries it, and perhaps cancels it at once, in the middle, or at its end.
async fn run_user(world: Rc<World>, spec: Submission, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let id = spec.id.clone();
    let at = rng.random_range(0..NODES);
    let mut tries = 0;
    while !matches!(world.submit(at, &spec).await.0, 200 | 201) {
        world.run(1.0).await;
        tries += 1;
        if tries > 90 {
            return;
        }
    }
    if rng.random_bool(0.5) {
        world.query_all_nodes(&id).await;
    }
    let cancels = match rng.random_range(0..6) {
        0 => true,
        1 => {
            world.run(rng.random_range(0.0..15.0)).await;
            true
        }
        2 => {
            let began = world.now();
            while !world.checks.is_complete(&id) && world.now() - began < 90.0 {
                world.run(0.1).await;
            }
            true
        }
        _ => false,
    };
    if cancels {
        for _ in 0..100 {
            let at = rng.random_range(0..NODES);
            if let (200, Some(_)) = world.cancel(at, &id).await {
                break;
            }
            world.run(1.0).await;
        }
        world.query_all_nodes(&id).await;
    }
    world.run(rng.random_range(0.0..10.0)).await;
    world.query_all_nodes(&id).await;
}

/// Injects one fault, drawn at random.
async fn inject_fault(world: &Rc<World>, rng: &mut SmallRng, kept: &mut Vec<Heartbeat>) {
    let node = match world.leader().filter(|_| rng.random_bool(0.6)) {
        Some(leader) => leader,
        None => rng.random_range(0..NODES),
    };
    let all = world.all_workers();
    let some = |rng: &mut SmallRng| -> Vec<Rc<Worker>> {
        let n = rng.random_range(1..4);
        (0..n)
            .map(|_| all[rng.random_range(0..all.len())].clone())
            .collect()
    };
    let now = world.now();
    let line = &world.state.links[node];
    match rng.random_range(0..19) {
        0 | 1 => {
            world.kill(node);
            let away = [0.1, 0.8, 3.0, 10.0][rng.random_range(0..4)];
            world.run(away).await;
            world.start(node);
        }
        2 => {
            if let Some(node) = world.node(node) {
                node.leadership.resign.set();
            }
        }
        3 => world.state.refuse(node, rng.random_range(2.0..25.0)),
        4 => world.state.outage(rng.random_range(1.0..15.0)),
        5 => line.stalled_until.set(now + rng.random_range(2.0..40.0)),
        6 => line.lose_answers.set(rng.random_range(1..4)),
        7 => line.late_writes.set(rng.random_range(1..4)),
        8 => line
            .slow_s
            .set([0.0, 0.0, 0.1, 0.3][rng.random_range(0..4)]),
        9 => world.state.repeat_everything(),
        10 => some(rng)
            .iter()
            .for_each(|k| k.hung_until.set(now + rng.random_range(2.0..40.0))),
        11 => some(rng)
            .iter()
            .for_each(|k| k.replies_lost_until.set(now + rng.random_range(2.0..40.0))),
        12 => some(rng).iter().for_each(|k| {
            k.heartbeats_blocked_until
                .set(now + rng.random_range(2.0..40.0))
        }),
        13 => some(rng)
            .iter()
            .for_each(|k| k.commands_held_until.set(now + rng.random_range(2.0..60.0))),
        14 => some(rng).iter().for_each(|k| {
            k.heartbeats_held_until
                .set(now + rng.random_range(1.0..20.0))
        }),
        15 => {
            for k in some(rng) {
                let sent_heartbeats = k.sent_heartbeats.borrow().clone();
                let Some(old) =
                    sent_heartbeats.get(rng.random_range(0..sent_heartbeats.len().max(1)))
                else {
                    continue;
                };
                join_all((0..NODES).map(|at| world.deliver_heartbeat(at, old))).await;
            }
        }
        16 => kept.extend(
            all.iter()
                .filter_map(|k| k.sent_heartbeats.borrow().last().cloned()),
        ),
        17 => world
            .partition
            .set(("south", now + rng.random_range(2.0..40.0))),
        _ => {
            if rng.random_bool(0.3) {
                world
                    .cloud
                    .outage_until
                    .set(now + rng.random_range(5.0..40.0));
            } else if all.len() > MACHINES / 2 {
                world.remove(&all[rng.random_range(0..all.len())].name);
                world.cloud.room.set(world.cloud.room.get() + 1);
            }
        }
    }
}

async fn run_with_faults(world: Rc<World>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for i in 0..MACHINES {
        world.boot(["north", "south"][i % 2]);
    }
    world.cloud.room.set(4);
    world.start_led_by(0).await;
    let (users, user_seed) = (world.clone(), rng.random());
    world.services.spawn(async move {
        let mut rng = SmallRng::seed_from_u64(user_seed);
        for number in 0..(FAULTS_S / JOB_S) as usize {
            let spec = draw_job(&mut rng, number, &accepted_jobs(&users));
            let (world, seed) = (users.clone(), rng.random());
            users.services.spawn(run_user(world, spec, seed));
            if rng.random_bool(0.1) {
                let at = rng.random_range(0..NODES);
                assert!(matches!(
                    users.post_submission(at, r#"{"Uid":"j-0"}"#).await,
                    0 | 400 | 503
                ));
                let status = users.query(at, "j-777777").await.0;
                assert!(matches!(status, 0 | 404 | 503), "{status}");
            }
            users.run(JOB_S).await;
        }
    });
    let mut kept = Vec::new();
    let mut leader = world.leader();
    while world.now() < FAULTS_S {
        inject_fault(&world, &mut rng, &mut kept).await;
        let gap = GAP_S * rng.random_range(0.2..1.8);
        world.run(gap).await;
        // Copies of heartbeats delayed until the next leader.
        if world.leader().is_some() && world.leader() != leader {
            leader = world.leader();
            for heartbeat in kept.drain(..) {
                join_all((0..NODES).map(|at| world.deliver_heartbeat(at, &heartbeat))).await;
            }
        }
    }
    for node in 0..NODES {
        if world.node(node).is_none() {
            world.start(node);
        }
        world.state.links[node].slow_s.set(0.0);
    }
    // All faults have ended by then, and users are done.
    world.run(110.0).await;
    world.wait_for_all_jobs(END_S).await;
}

#[test]
fn no_rule_is_violated_under_combined_faults() {
    for seed in 0..4 {
        run_scenario(|_| {}, move |world| run_with_faults(world, seed));
    }
}
