//! The version in production and this one together: on each other's data, as leaders after one another, in both
//! orders, and under other faults.

use std::rc::Rc;

use super::world::{NODES, Worker, World, run_scenario};
use crate::config::{Config, NextStateLimits};
use crate::protocol::users::{JobKind, JobState, Submission};
use crate::store::keys;
use crate::test_support::job;
use crate::tests::production;
use crate::tests::production::Read;

/// Machines in a zone: enough for the leader to detect a partition.
const MACHINES: usize = 28;
/// The state service's limits once all controllers have the new version: bytes of a value, changes of a transaction,
/// changes a second.
const NEXT_LIMITS: (usize, usize, f64) = (2048, 5, 15.0);
/// Seconds until a process is back that restarts at once.
const AT_ONCE_S: f64 = 0.3;
const RESTART_S: f64 = 4.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Version {
    Production,
    New,
}

/// The settings that both versions are started with; production ignores the coming limits.
fn settings_of(world: &World, version: Version) -> Config {
    let mut config = world.config.clone();
    if version == Version::New {
        let (bytes, changes, rate) = NEXT_LIMITS;
        let state = &mut config.deployment.state;
        state.next = Some(NextStateLimits {
            rps: None,
            write_rps: Some(rate),
            value_kb: Some(bytes as f64 / 1024.0),
            txn_ops: Some(changes),
        });
        state.apply_future_limits();
    }
    config
}

fn start(world: &World, node: usize, version: Version) {
    world.state.links[node]
        .is_production
        .set(version == Version::Production);
    *world.config_override.borrow_mut() = Some(settings_of(world, version));
    world.start(node);
}

async fn restart(world: &World, node: usize, version: Version, away_s: f64) {
    world.kill(node);
    world.run(away_s).await;
    start(world, node, version);
}

/// Makes one controller the leader: the others are down until it is elected.
async fn elect_node(world: &World, node: usize, versions: [Version; NODES]) {
    for other in (0..NODES).filter(|other| *other != node) {
        world.kill(other);
    }
    world.kill(node);
    world.run(AT_ONCE_S).await;
    start(world, node, versions[node]);
    world
        .wait_until("led", 40.0, || world.leader() == Some(node))
        .await;
    for other in (0..NODES).filter(|other| *other != node) {
        start(world, other, versions[other]);
    }
    world.run(3.0).await;
}

fn array(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        estimate_s: run_s,
        ..job(id, tasks)
    }
}

fn gang(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        kind: JobKind::Gang,
        ..array(id, tasks, run_s)
    }
}

/// A job every third of a second, so that assignment records follow each other and old ones are deleted.
fn keep_submitting(world: &Rc<World>, until_s: f64) {
    let user_world = world.clone();
    world.services.spawn(async move {
        let mut number = 100;
        while user_world.now() < until_s {
            number += 1;
            let spec = array(&format!("j-{number}"), 2, 3.0);
            user_world
                .submit_until_accepted(number % NODES, &spec)
                .await;
            user_world.run(0.3).await;
        }
    });
}

/// Everything stored can be read by production, or is under keys that it ignores.
fn assert_readable_by_production(world: &World) {
    let store = world.state.store.borrow();
    for (key, (value, _)) in &store.keys {
        match production::read(key, value) {
            Ok(Read::Understood(_)) => {}
            Ok(Read::Ignored) => assert!(key.contains("/needs/"), "{key}"),
            Err(e) => panic!("{key}: {e}"),
        }
    }
}

async fn assert_state_at_all_nodes(world: &World, id: &str, state: JobState) {
    for at in 0..NODES {
        assert_eq!(
            world.query(at, id).await,
            (200, Some(state)),
            "{id} at n{at}"
        );
    }
}

/// Invalid requests are rejected whichever version leads.
async fn assert_bad_requests_are_refused(world: &World, node: usize) {
    let spec = Submission {
        waits_on: vec!["j-100".into()],
        ..array("j-999", 1, 1.0)
    };
    let sent = serde_json::to_string(&spec).unwrap();
    for (request, status) in [
        (sent.replace("[\"j-100\"]", "17"), 400),
        (sent.replace("j-100", "x"), 400),
        (sent.replace("\"Legs\":1", "\"Legs\":0"), 400),
        (sent.replace("\"Crew\":\"blue\"", "\"Crew\":\"none\""), 422),
        (sent.replace("j-100", "j-777777"), 422),
        (sent.replace("j-100", "j-999"), 422),
    ] {
        let mut actual = 503;
        for _ in 0..20 {
            actual = world.post_submission(node, &request).await;
            if actual != 503 {
                break;
            }
            world.run(0.5).await;
        }
        assert_eq!(actual, status, "n{node}: {request}");
    }
}

/// Queries all jobs, so that final states are recorded as answered.
async fn query_all_jobs(world: &World) {
    let ids: Vec<String> = world.checks.jobs.borrow().keys().cloned().collect();
    for (i, id) in ids.iter().enumerate() {
        world.query(i % NODES, id).await;
    }
}

fn oldest_log_value(world: &World) -> u64 {
    let node = world.node(world.leader().unwrap()).unwrap();
    node.replication.replica.borrow().assignments.oldest_valid()
}

/// Leaders of the two versions alternate, with gangs running, an assignment log of which old records are partly
/// deleted and a cancellation in flight at each failover.
async fn alternate_versions(world: Rc<World>, first: Version) {
    let other = match first {
        Version::Production => Version::New,
        Version::New => Version::Production,
    };
    for i in 0..MACHINES {
        world.boot(["north", "south"][i % 2]);
    }
    let mixed = [first, other, first];
    start(&world, 0, mixed[0]);
    world
        .wait_until("led", 10.0, || world.leader() == Some(0))
        .await;
    start(&world, 1, mixed[1]);
    start(&world, 2, mixed[2]);
    world.run(3.0).await;
    for (i, id) in ["j-1", "j-2"].iter().enumerate() {
        world.submit_until_accepted(i, &gang(id, 4, 150.0)).await;
    }
    world
        .submit_until_accepted(2, &array("j-3", 10, 200.0))
        .await;
    world
        .wait_until("running", 30.0, || world.tasks_on_machines("j-3") == 10)
        .await;
    keep_submitting(&world, 130.0);
    for (turn, leader) in [1, 0, 1, 2].into_iter().enumerate() {
        world.run(14.0).await;
        assert_readable_by_production(&world);
        let cancelled = format!("j-1{turn}");
        world
            .submit_until_accepted(leader, &array(&cancelled, 3, 300.0))
            .await;
        world
            .wait_until("running", 30.0, || world.tasks_on_machines(&cancelled) == 3)
            .await;
        // Its reply is lost, and the leader crashes at the same moment.
        let confirming = (leader + 1) % NODES;
        world.state.links[confirming].lose_answers.set(1);
        let (user_world, id) = (world.clone(), cancelled.clone());
        world.services.spawn(async move {
            user_world.cancel_until_confirmed(confirming, &id).await;
        });
        world.run(0.2).await;
        elect_node(&world, leader, mixed).await;
        world
            .wait_until("told", 60.0, || {
                world.checks.jobs.borrow()[&cancelled].final_state.is_some()
            })
            .await;
        assert_state_at_all_nodes(&world, &cancelled, JobState::Cancelled).await;
        for node in (0..NODES).filter(|node| mixed[*node] == Version::New) {
            assert_bad_requests_are_refused(&world, node).await;
        }
    }
    assert!(
        oldest_log_value(&world) > 0,
        "nothing of the log was cleared"
    );
    // The gangs ran on through all failovers.
    assert_eq!(
        (
            world.tasks_on_machines("j-1"),
            world.tasks_on_machines("j-2")
        ),
        (4, 4)
    );
    world.run(60.0).await;
    query_all_jobs(&world).await;
    world.wait_for_all_jobs(500.0).await;
    for id in ["j-1", "j-2", "j-3"] {
        assert_state_at_all_nodes(&world, id, JobState::Done).await;
    }
    assert_readable_by_production(&world);
}

#[test]
fn leaders_of_both_versions_alternate() {
    for first in [Version::Production, Version::New] {
        run_scenario(|_| {}, move |world| alternate_versions(world, first));
    }
}

/// The rolling upgrade: production everywhere, then the new version node by node, with a node that crashes before its
/// turn and is back within a moment with the old version, a zone with delegates, and at the end the lower limits and
/// a chain.
#[test]
fn a_rolling_upgrade_under_faults_keeps_all_rules() {
    run_scenario(|_| {}, upgrade_under_faults);
}

async fn upgrade_under_faults(world: Rc<World>) {
    for i in 0..MACHINES {
        world.boot(["north", "south"][i % 2]);
    }
    world.cloud.room.set(6);
    for node in 0..NODES {
        start(&world, node, Version::Production);
        let led = || world.leader().is_some();
        world.wait_until("led", 10.0, led).await;
    }
    world.submit_until_accepted(0, &gang("j-1", 6, 120.0)).await;
    world
        .submit_until_accepted(1, &array("j-2", 40, 90.0))
        .await;
    world
        .wait_until("running", 30.0, || world.tasks_on_machines("j-2") == 40)
        .await;
    keep_submitting(&world, 100.0);
    world.run(3.0).await;
    let delegated = || {
        world
            .state
            .store
            .borrow()
            .keys
            .keys()
            .any(|k| k.contains("/standin/"))
    };
    world.partition.set(("south", world.now() + 40.0));
    world.wait_until("delegated", 20.0, delegated).await;
    restart(&world, 2, Version::New, RESTART_S).await;
    world.run(4.0).await;
    // A crash before its turn.
    restart(&world, 0, Version::Production, AT_ONCE_S).await;
    world.run(8.0).await;
    restart(&world, 0, Version::New, RESTART_S).await;
    world.run(8.0).await;
    let held: Vec<Rc<Worker>> = world.all_workers().into_iter().step_by(7).collect();
    for k in &held {
        k.commands_held_until.set(world.now() + 30.0);
    }
    world.cancel_until_confirmed(1, "j-2").await;
    restart(&world, 1, Version::New, RESTART_S).await;
    world.run(6.0).await;
    assert_readable_by_production(&world);
    assert_state_at_all_nodes(&world, "j-2", JobState::Cancelled).await;
    let step = |id: &str, needs: &[&str]| Submission {
        waits_on: needs.iter().map(|id| (*id).to_owned()).collect(),
        ..array(id, 3, 5.0)
    };
    // Dependencies on jobs that production accepted: one that is done and one that may not be.
    world
        .submit_until_accepted(0, &step("j-11", &["j-1", "j-101"]))
        .await;
    world
        .submit_until_accepted(1, &step("j-12", &["j-11"]))
        .await;
    world
        .submit_until_accepted(2, &step("j-13", &["j-2"]))
        .await;
    assert_state_at_all_nodes(&world, "j-13", JobState::Cancelled).await;
    world.state.limits.set(NEXT_LIMITS);
    world.kill(world.leader().unwrap_or(0));
    world.run(RESTART_S).await;
    for node in 0..NODES {
        if world.node(node).is_none() {
            start(&world, node, Version::New);
        }
    }
    world.run(30.0).await;
    query_all_jobs(&world).await;
    world.wait_for_all_jobs(500.0).await;
    assert_state_at_all_nodes(&world, "j-12", JobState::Done).await;
    assert_eq!(world.state.too_large.get(), 0);
    assert!(
        !world
            .state
            .store
            .borrow()
            .keys
            .contains_key(&keys::job("j-12"))
    );
}

/// Production stores a job that the new version, which applies the coming limits, would reject as too large. A new
/// controller whose replica doesn't show it yet must not reject its repeated submission.
#[test]
fn a_large_job_accepted_by_production_is_known_to_new_controllers() {
    run_scenario(
        |_| {},
        async |world: Rc<World>| {
            world.boot("north");
            start(&world, 0, Version::Production);
            world
                .wait_until("led", 10.0, || world.leader() == Some(0))
                .await;
            start(&world, 1, Version::New);
            world.run(3.0).await;
            let large = Submission {
                image: "i".repeat(3000),
                ..array("j-1", 1, 2.0)
            };
            world.state.links[1].stalled_until.set(world.now() + 0.8);
            assert_eq!(world.submit(0, &large).await.0, 201);
            assert_eq!(world.submit(1, &large).await.0, 200);
            let other = Submission {
                id: "j-2".into(),
                ..large
            };
            assert_eq!(world.submit(1, &other).await.0, 422);
            world.wait_for_all_jobs(60.0).await;
        },
    );
}
