//! Jobs with so many dependencies that these are stored in values of their own, the dependency parts, against whole
//! controllers in memory.

use std::rc::Rc;

use super::world::{NODES, World, run_scenario, start_cluster};
use crate::config::Config;
use crate::protocol::store::{Change, Txn};
use crate::protocol::users::{JobState, Priority, Submission};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd, JobRecord};
use crate::store::transaction::put_change;
use crate::test_support::job;

/// Limits of the state service under which [`DEPENDENCIES`] ids don't fit into one value with their job.
const VALUE_BYTES: usize = 1024;
const TXN_OPS: usize = 5;
/// Number of jobs that the job with dependency parts depends on.
const DEPENDENCIES: usize = 90;
/// Seconds that a page of a listing takes: long enough for changes between two pages.
const PAGE_S: f64 = 1.0;
/// Seconds from the end of a process to its restart.
const RESTART_S: f64 = 0.2;
/// Seconds that the tasks of all jobs run: longer than a test.
const RUN_S: f64 = 600.0;

fn small_values(config: &mut Config) {
    config.deployment.state.value_kb = VALUE_BYTES as f64 / 1024.0;
    config.deployment.state.txn_ops = TXN_OPS;
}

fn long_job(id: &str) -> Submission {
    Submission {
        estimate_s: RUN_S,
        ..job(id, 1)
    }
}

/// The ids of the jobs on which [`dependent_job`] depends. Their keys sort after that of the dependent job.
fn dependency_ids() -> Vec<String> {
    (0..DEPENDENCIES)
        .map(|number| format!("j-{}", 1000 + number))
        .collect()
}

/// A job whose dependencies are stored in a dependency part.
fn dependent_job() -> Submission {
    Submission {
        waits_on: dependency_ids(),
        ..long_job("j-0")
    }
}

/// Starts a cluster, and has the jobs of [`dependency_ids`] accepted.
async fn start_with_dependencies(world: &Rc<World>) {
    start_cluster(world, 2).await;
    world.state.limits.set((VALUE_BYTES, TXN_OPS, 20.0));
    for (number, id) in dependency_ids().iter().enumerate() {
        world
            .submit_until_accepted(number % NODES, &long_job(id))
            .await;
    }
}

/// Restarts a controller, and returns when it has read the first page of its listing. That page ends with the last job;
/// the dependency parts are on the next one, which takes [`PAGE_S`].
async fn restart_and_read_first_page(world: &World, node: usize) {
    world.kill(node);
    world.run(RESTART_S).await;
    let job_keys = |key: &&String| key.as_str() < keys::leader().as_str();
    let first_page = world
        .state
        .store
        .borrow()
        .keys
        .keys()
        .filter(job_keys)
        .count();
    world.state.page_keys.set(first_page);
    let link = &world.state.links[node];
    link.list_s.set(PAGE_S);
    let pages_before = link.pages_read.get();
    world.start(node);
    let has_read_page = || world.state.links[node].pages_read.get() > pages_before;
    world
        .wait_until("a page is read", 3.0 * PAGE_S, has_read_page)
        .await;
}

async fn wait_until_loaded(world: &World, node: usize) {
    let is_ready = || {
        let controller = world.node(node);
        controller.is_some_and(|controller| controller.readiness().status == 200)
    };
    world.wait_until("ready", 20.0, is_ready).await;
    world.state.links[node].list_s.set(0.0);
}

/// Makes a controller the leader by restarting the others, which load the store after its election.
async fn make_leader_and_restart_others(world: &World, node: usize) {
    let others = || (0..NODES).filter(|other| *other != node);
    others().for_each(|other| world.kill(other));
    world
        .wait_until("led", 30.0, || world.leader() == Some(node))
        .await;
    // The new leader has time to delete obsolete keys.
    world.run(10.0).await;
    others().for_each(|other| world.start(other));
    for other in others() {
        wait_until_loaded(world, other).await;
    }
}

/// Guards against the failure `orphaned`: a job is created while a controller loads the store, after the page with the
/// job's key and before the page with its dependency parts. The controller took the parts for those of a deleted job and
/// deleted them when it led, and the job stayed queued after a dependency was cancelled.
#[test]
fn a_job_created_between_two_pages_keeps_its_dependencies() {
    run_scenario(small_values, async |world: Rc<World>| {
        start_with_dependencies(&world).await;
        restart_and_read_first_page(&world, 1).await;
        let dependent = dependent_job();
        assert_eq!(world.submit(0, &dependent).await.0, 201);
        let part = keys::dependency_part(&dependent.id, 1);
        assert!(world.state.store.borrow().keys.contains_key(&part));
        wait_until_loaded(&world, 1).await;
        // After both steps no process is left that knew the job before its part could be deleted.
        make_leader_and_restart_others(&world, 1).await;
        make_leader_and_restart_others(&world, 0).await;
        let cancelled = &dependent.waits_on[DEPENDENCIES - 1];
        world.cancel_until_confirmed(0, cancelled).await;
        world.run(world.config.deployment.workers.cancel_s).await;
        for node in 0..NODES {
            let answer = world.query(node, &dependent.id).await;
            assert_eq!(answer, (200, Some(JobState::Cancelled)), "at n{node}");
        }
    });
}

/// The leader's requirements of a job must reach the dependencies in its parts too. The leader took over a job as soon
/// as its record was applied, before the parts, so none of its dependencies had its priority until the next failover.
#[test]
fn priority_propagates_to_dependencies_in_parts() {
    run_scenario(small_values, async |world: Rc<World>| {
        start_with_dependencies(&world).await;
        let dependent = Submission {
            priority: Priority::High,
            ..dependent_job()
        };
        assert_eq!(world.submit(1, &dependent).await.0, 201);
        world.run(1.0).await;
        let controller = world.node(0).unwrap();
        let leader = controller.leadership.leader.borrow();
        let leader = leader.as_ref().unwrap();
        for id in &dependent.waits_on {
            let index = leader.job_index(id).unwrap();
            assert_eq!(leader.jobs[&index].spec.priority, Priority::High, "{id}");
        }
    });
}

/// Stores a change that no controller has made.
fn store_change(world: &World, change: Change) {
    world.state.apply(&Txn {
        conditions: Vec::new(),
        changes: vec![change],
    });
}

async fn restart_all(world: &World) {
    (0..NODES).for_each(|node| world.kill(node));
    world.run(RESTART_S).await;
    (0..NODES).for_each(|node| world.start(node));
    for node in 0..NODES {
        wait_until_loaded(world, node).await;
    }
}

/// An earlier version deleted the only dependency part of an unfinished job. No controller can tell any more what the job
/// waits on: it stays queued and known at every controller, also when its dependencies are done, until its user cancels
/// it. Then the jobs that depend on it are cancelled too.
#[test]
fn a_job_whose_part_was_deleted_stays_queued_until_its_user_cancels_it() {
    run_scenario(small_values, async |world: Rc<World>| {
        start_with_dependencies(&world).await;
        let damaged = dependent_job();
        world.submit_until_accepted(0, &damaged).await;
        let after = Submission {
            waits_on: vec![damaged.id.clone()],
            ..long_job("j-1")
        };
        world.submit_until_accepted(0, &after).await;
        let key = keys::dependency_part(&damaged.id, 1);
        store_change(&world, Change::Delete { key });
        restart_all(&world).await;
        let done = EndRecord {
            end: JobEnd::Done,
            tasks_done: 1,
            ended_unix_ms: None,
        };
        for id in dependency_ids() {
            store_change(&world, put_change(keys::job_end(&id), &done).unwrap());
        }
        world.run(60.0).await;
        for node in 0..NODES {
            for id in [&damaged.id, &after.id] {
                let answer = world.query(node, id).await;
                assert_eq!(answer, (200, Some(JobState::Queued)), "{id} at n{node}");
            }
        }
        let answer = world.cancel_until_confirmed(1, &damaged.id).await;
        assert_eq!(answer, JobState::Cancelled);
        world.run(world.config.deployment.workers.cancel_s).await;
        for node in 0..NODES {
            let answer = world.query(node, &after.id).await;
            assert_eq!(answer, (200, Some(JobState::Cancelled)), "at n{node}");
        }
    });
}

/// A controller finds out that a job has lost dependencies only when it has caught up with its load. If a dependency that
/// is left was cancelled before, the job must be reported as cancelled then, and not when the store changes next.
#[test]
fn a_cancelled_dependency_reaches_a_job_with_lost_dependencies_after_a_load() {
    run_scenario(small_values, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        world.submit_until_accepted(0, &long_job("j-1000")).await;
        world.cancel_until_confirmed(0, "j-1000").await;
        let damaged = Submission {
            waits_on: vec!["j-1000".into()],
            ..long_job("j-2")
        };
        world.expect_submission(&damaged);
        let record = JobRecord {
            spec: long_job(&damaged.id),
            submitted_unix_ms: None,
            dependency_parts: 2,
            charged_to: None,
        };
        let part = keys::dependency_part(&damaged.id, 1);
        store_change(&world, put_change(keys::job(&damaged.id), &record).unwrap());
        store_change(&world, put_change(part, &damaged.waits_on).unwrap());
        world.run(10.0).await;
        restart_and_read_first_page(&world, 1).await;
        // A change between the pages.
        world.submit_until_accepted(0, &long_job("j-1")).await;
        wait_until_loaded(&world, 1).await;
        world.run(1.0).await;
        let answer = world.query(1, &damaged.id).await;
        assert_eq!(answer, (200, Some(JobState::Cancelled)));
    });
}
