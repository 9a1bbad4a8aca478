//! Two faults at once, each injected in its order, against whole controllers in memory. The guard against each is
//! listed in docs/design.md.

mod cancellations;
mod late_messages;
mod leader_changes;
mod limits_and_zones;
mod store_replies;
mod users;
mod zones;

use std::rc::Rc;

use futures_util::future::join_all;
use serde_json::value::to_raw_value;

use super::world::{NODES, Worker, World, default_settings, run_scenario, start_cluster};
use crate::config::Config;
use crate::protocol::store::{Change, Txn};
use crate::protocol::users::{JobKind, JobState, Priority, Submission};
use crate::protocol::workers::{TaskState, TaskStatus};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::test_support::job;

/// A job whose tasks run for `run_s`.
fn long_job(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        estimate_s: run_s,
        ..job(id, tasks)
    }
}

/// A job of the team that has a limit.
fn limited_job(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        team: "red".into(),
        ..long_job(id, tasks, run_s)
    }
}

/// The state service rejects the leader alone, a cancellation is confirmed by another controller, then the service is
/// out for longer than `cancel_s` while the workers send their heartbeats to the old leader all along.
#[test]
fn a_cancellation_unseen_by_a_rejected_leader_stops_its_tasks_in_time() {
    for slow_s in [0.0, 0.2] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            start_cluster(&world, 4).await;
            submit_and_wait_until_running(&world, &long_job("j-1", 8, 400.0)).await;
            submit_and_wait_until_running(&world, &long_job("j-2", 4, 30.0)).await;
            for line in &world.state.links {
                line.slow_s.set(slow_s);
            }
            world.state.refuse(0, 14.0);
            world.run(1.0).await;
            assert_eq!(
                world.cancel_until_confirmed(1, "j-1").await,
                JobState::Cancelled
            );
            world.run(0.5).await;
            let out_s = world.config.deployment.workers.cancel_s + 20.0;
            world.state.outage(out_s);
            for _ in 0..15 {
                world.run(out_s / 15.0).await;
                world.query_all_nodes("j-1").await;
                world.query_all_nodes("j-2").await;
            }
            world.run(5.0).await;
            assert_eq!(world.tasks_on_machines("j-1"), 0);
            world.wait_for_all_jobs(200.0).await;
        });
    }
}

/// The leader's lease is renewed all along, but its watch brings no changes any more.
#[test]
fn a_leader_with_a_stalled_watch_does_not_keep_cancelled_tasks() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 8, 400.0)).await;
        world.state.links[0].stalled_until.set(world.now() + 200.0);
        world.run(0.5).await;
        assert_eq!(
            world.cancel_until_confirmed(1, "j-1").await,
            JobState::Cancelled
        );
        // It answers nothing that rests on changes that it can't know, and steps down.
        world.run(world.config.leader_lease_s()).await;
        assert!(!world.is_acting_leader(0));
        wait_for_new_leader(&world, 0).await;
        world.run(world.config.deployment.workers.cancel_s).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        world.wait_for_all_jobs(100.0).await;
    });
}

/// A leader can't reach the state service and the other controllers, while workers and users still reach it.
#[test]
fn a_leader_partitioned_from_store_and_peers_breaks_no_rule() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 6, 400.0)).await;
        submit_and_wait_until_running(&world, &long_job("j-2", 4, 60.0)).await;
        world.state.refuse(0, 120.0);
        let next = wait_for_new_leader(&world, 0).await;
        assert!(!world.is_acting_leader(0));
        assert_eq!(
            world.cancel_until_confirmed(next, "j-1").await,
            JobState::Cancelled
        );
        for _ in 0..20 {
            world.query_all_nodes("j-1").await;
            world.query_all_nodes("j-2").await;
            world.run(3.0).await;
        }
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Jobs are cancelled in the seconds of a failover, by a crash and by resigning.
#[test]
fn cancellations_during_a_failover_hold() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        let ids: Vec<String> = (1..=8).map(|i| format!("j-{i}")).collect();
        for id in &ids {
            submit_and_wait_until_running(&world, &long_job(id, 2, 300.0)).await;
        }
        world.node(0).unwrap().leadership.resign.set();
        for id in &ids[..4] {
            world.run(0.3).await;
            world.cancel_until_confirmed(1, id).await;
        }
        let next = wait_for_new_leader(&world, 0).await;
        world.kill(next);
        let live = (next + 1) % NODES;
        for id in &ids[4..] {
            world.run(0.8).await;
            world.cancel_until_confirmed(live, id).await;
        }
        world.start(next);
        world
            .run(world.config.deployment.workers.cancel_s + 5.0)
            .await;
        assert!(ids.iter().all(|id| world.tasks_on_machines(id) == 0));
        world.wait_for_all_jobs(60.0).await;
    });
}

/// Settings under which tasks are launched by direct commands.
fn direct_launches(config: &mut Config) {
    config.deployment.objectives[0].kind = crate::config::ObjectiveKind::Wait;
    config.deployment.objectives[0].within_s = Some(1.0);
}

/// Submits a job and waits until all its tasks run.
async fn submit_and_wait_until_running(world: &Rc<World>, spec: &Submission) {
    world.submit_until_accepted(1, spec).await;
    let all = spec.tasks as usize;
    world
        .wait_until("running", 30.0, || world.tasks_on_machines(&spec.id) == all)
        .await;
}

async fn wait_for_new_leader(world: &World, than: usize) -> usize {
    let other = || world.leader().filter(|l| *l != than);
    world
        .wait_until("led by another", 60.0, || other().is_some())
        .await;
    other().unwrap()
}

/// A worker on which tasks of a job are.
fn worker_running(world: &World, id: &str) -> Rc<Worker> {
    let all = world.all_workers();
    all.into_iter()
        .find(|k| !k.tasks_of(id).is_empty())
        .unwrap()
}
