//! Scenarios with one fault, or two that overlap, injected in a fixed order into a cluster of whole controllers in
//! memory. docs/design.md lists the guard against each.

mod cancellations;
mod connections;
mod late_copies;
mod late_messages;
mod leader_changes;
mod limits_and_zones;
mod machines;
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

/// A job whose tasks run for `run_s` seconds.
fn long_job(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        estimate_s: run_s,
        ..job(id, tasks)
    }
}

/// Like [`long_job`], but for the team that has a limit.
fn limited_job(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        team: "red".into(),
        ..long_job(id, tasks, run_s)
    }
}

/// Guards against an old leader that keeps the tasks of a cancelled job running. The state service rejects the
/// leader's requests only, so the leader does not see the cancellation that another controller confirms. Then the
/// service is down for longer than `cancel_s`, while the workers keep sending heartbeats to the old leader. The
/// scenario runs with immediate and with slow replies of the state service.
#[test]
fn cancelled_tasks_stop_in_time_when_the_leader_cannot_see_the_cancellation() {
    for slow_s in [0.0, 0.2] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            start_cluster(&world, 4).await;
            submit_and_wait_until_running(&world, &long_job("j-1", 8, 400.0)).await;
            submit_and_wait_until_running(&world, &long_job("j-2", 4, 30.0)).await;
            for link in &world.state.links {
                link.slow_s.set(slow_s);
            }
            world.state.refuse(0, 14.0);
            world.run(1.0).await;
            assert_eq!(
                world.cancel_until_confirmed(1, "j-1").await,
                JobState::Cancelled
            );
            world.run(0.5).await;
            let outage_s = world.config.deployment.workers.cancel_s + 20.0;
            world.state.outage(outage_s);
            for _ in 0..15 {
                world.run(outage_s / 15.0).await;
                world.query_all_nodes("j-1").await;
                world.query_all_nodes("j-2").await;
            }
            world.run(5.0).await;
            assert_eq!(world.tasks_on_machines("j-1"), 0);
            world.wait_for_all_jobs(200.0).await;
        });
    }
}

/// Guards against a leader that acts on an outdated replica. Its lease is still renewed, but its watch delivers no
/// more changes, so that it does not see a cancellation.
#[test]
fn a_leader_with_a_stalled_watch_steps_down_and_cancelled_tasks_stop() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 8, 400.0)).await;
        world.state.links[0].stalled_until.set(world.now() + 200.0);
        world.run(0.5).await;
        assert_eq!(
            world.cancel_until_confirmed(1, "j-1").await,
            JobState::Cancelled
        );
        // The leader gives no answers that depend on the missing changes, and steps down.
        world.run(world.config.leader_lease_s()).await;
        assert!(!world.is_acting_leader(0));
        wait_for_new_leader(&world, 0).await;
        world.run(world.config.deployment.workers.cancel_s).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        world.wait_for_all_jobs(100.0).await;
    });
}

/// Guards against a leader that goes on acting although it can't reach the state service, which rejects its requests
/// for two minutes. Workers, users and the other controllers still reach it: only its link to the state service is
/// cut. Another controller is elected and confirms a cancellation.
#[test]
fn a_leader_cut_off_from_the_store_stops_acting_and_a_new_leader_takes_over() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 6, 400.0)).await;
        submit_and_wait_until_running(&world, &long_job("j-2", 4, 60.0)).await;
        world.state.refuse(0, 120.0);
        let new_leader = wait_for_new_leader(&world, 0).await;
        assert!(!world.is_acting_leader(0));
        assert_eq!(
            world.cancel_until_confirmed(new_leader, "j-1").await,
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

/// Guards against a cancellation that is lost in a failover, and so leaves tasks running. Half of the jobs are
/// cancelled while the leader resigns, the others right after its successor has crashed.
#[test]
fn cancellations_during_a_failover_are_not_lost() {
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
        let new_leader = wait_for_new_leader(&world, 0).await;
        world.kill(new_leader);
        let running_node = (new_leader + 1) % NODES;
        for id in &ids[4..] {
            world.run(0.8).await;
            world.cancel_until_confirmed(running_node, id).await;
        }
        world.start(new_leader);
        world
            .run(world.config.deployment.workers.cancel_s + 5.0)
            .await;
        assert!(ids.iter().all(|id| world.tasks_on_machines(id) == 0));
        world.wait_for_all_jobs(60.0).await;
    });
}

/// Sets an objective on the wait time, under which tasks are launched by direct commands.
fn enable_direct_launches(config: &mut Config) {
    config.deployment.objectives[0].kind = crate::config::ObjectiveKind::Wait;
    config.deployment.objectives[0].within_s = Some(1.0);
}

/// Submits a job and waits until all its tasks run.
async fn submit_and_wait_until_running(world: &Rc<World>, spec: &Submission) {
    world.submit_until_accepted(1, spec).await;
    let task_count = spec.tasks as usize;
    world
        .wait_until("running", 30.0, || {
            world.tasks_on_machines(&spec.id) == task_count
        })
        .await;
}

/// Waits until a controller other than `old_leader` leads, and returns its index.
async fn wait_for_new_leader(world: &World, old_leader: usize) -> usize {
    let new_leader = || world.leader().filter(|leader| *leader != old_leader);
    world
        .wait_until("led by another controller", 60.0, || new_leader().is_some())
        .await;
    new_leader().unwrap()
}

/// A worker that has tasks of the job `id`.
fn worker_running(world: &World, id: &str) -> Rc<Worker> {
    let workers = world.all_workers();
    workers
        .into_iter()
        .find(|worker| !worker.tasks_of(id).is_empty())
        .unwrap()
}
