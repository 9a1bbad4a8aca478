//! Jobs with dependencies, against whole controllers in memory.

use std::rc::Rc;

use super::world::{NODES, World, default_settings, run_scenario, start_cluster};
use crate::config::{Config, NextStateLimits};
use crate::protocol::users::{JobKind, JobState, Priority, Submission};
use crate::store::keys;
use crate::test_support::job;

fn job_after(id: &str, tasks: u32, run_s: f64, waits_on: &[&str]) -> Submission {
    Submission {
        estimate_s: run_s,
        waits_on: waits_on.iter().map(|id| (*id).to_owned()).collect(),
        ..job(id, tasks)
    }
}

/// A diamond of four jobs, submitted one after the other at different nodes.
async fn submit_diamond(world: &World, run_s: f64) {
    for (i, spec) in [
        job_after("j-1", 4, run_s, &[]),
        job_after("j-2", 4, run_s, &["j-1"]),
        job_after("j-3", 2, run_s * 1.5, &["j-1", "j-1"]),
        job_after("j-4", 2, run_s, &["j-3", "j-2"]),
    ]
    .iter()
    .enumerate()
    {
        world.submit_until_accepted(i % NODES, spec).await;
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

#[test]
fn jobs_start_when_all_dependencies_are_done_across_failovers() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_diamond(&world, 6.0).await;
        let mut leader = 0;
        for turn in 0..4 {
            world.run(6.0).await;
            // The transaction of a job's end may be applied and its reply lost.
            world.state.links[leader].lose_answers.set(turn % 2);
            world.run(2.0).await;
            world.kill(leader);
            let away = |l: &usize| *l != leader;
            world
                .wait_until("led", 30.0, || world.leader().filter(away).is_some())
                .await;
            let next = world.leader().unwrap();
            world.start(leader);
            leader = next;
        }
        world.wait_for_all_jobs(200.0).await;
        assert_state_at_all_nodes(&world, "j-4", JobState::Done).await;
        // No task ran more than once.
        assert_eq!(world.checks.starts.get(), 12);
    });
}

/// Without faults a job starts within moments of the end of its dependency.
#[test]
fn a_dependent_job_starts_soon_after_its_dependency() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.run(6.0).await;
        let began = world.now();
        submit_diamond(&world, 4.0).await;
        world
            .wait_until("done", 60.0, || world.checks.is_complete("j-4"))
            .await;
        // 4 + 6 + 4 s of work; heartbeats come every 3 s, and at once on changes.
        let took_s = world.now() - began;
        assert!(took_s < 14.0 + 3.0 * 5.0, "{took_s}");
        world.wait_for_all_jobs(30.0).await;
    });
}

#[test]
fn a_cancellation_propagates_to_all_dependents_at_every_node() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_diamond(&world, 30.0).await;
        world
            .submit_until_accepted(0, &job_after("j-5", 1, 5.0, &[]))
            .await;
        world
            .submit_until_accepted(0, &job_after("j-6", 1, 5.0, &["j-5"]))
            .await;
        world
            .wait_until("running", 30.0, || world.tasks_on_machines("j-1") == 4)
            .await;
        // The leader crashes, and an outage begins, as soon as it is confirmed.
        assert_eq!(
            world.cancel_until_confirmed(1, "j-1").await,
            JobState::Cancelled
        );
        for id in ["j-2", "j-3", "j-4"] {
            assert_state_at_all_nodes(&world, id, JobState::Cancelled).await;
        }
        world.kill(0);
        world.state.outage(20.0);
        world.run(25.0).await;
        world.start(0);
        // Ends are stored and records deleted: everything is still known, also to a controller that loads the store
        // anew.
        world.run(30.0).await;
        world.kill(2);
        world.run(0.2).await;
        world.start(2);
        world.run(3.0).await;
        for id in ["j-1", "j-2", "j-3", "j-4"] {
            assert_state_at_all_nodes(&world, id, JobState::Cancelled).await;
            assert!(!world.state.store.borrow().keys.contains_key(&keys::job(id)));
        }
        // A job that depends on one cancelled long ago is accepted, and is cancelled from the start.
        assert_eq!(
            world
                .submit(1, &job_after("j-7", 1, 5.0, &["j-5", "j-4"]))
                .await
                .0,
            201
        );
        assert_state_at_all_nodes(&world, "j-7", JobState::Cancelled).await;
        // A job that depends on one done long ago proceeds.
        world
            .submit_until_accepted(2, &job_after("j-8", 1, 5.0, &["j-6"]))
            .await;
        world.wait_for_all_jobs(100.0).await;
        assert_state_at_all_nodes(&world, "j-8", JobState::Done).await;
    });
}

/// A cancellation that races the end of the job: if the answer is `done`, the dependent jobs proceed.
#[test]
fn a_cancellation_racing_completion_decides_for_the_dependents() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        let mut outcomes = Vec::new();
        for i in 0..12 {
            let (first, last) = (format!("j-{}", 2 * i), format!("j-{}", 2 * i + 1));
            world
                .submit_until_accepted(i % NODES, &job_after(&first, 2, 3.0, &[]))
                .await;
            world
                .submit_until_accepted(i % NODES, &job_after(&last, 1, 3.0, &[&first]))
                .await;
            world
                .wait_until("complete", 20.0, || world.checks.is_complete(&first))
                .await;
            world.run(0.12 * i as f64).await;
            let outcome = world.cancel_until_confirmed((i + 1) % NODES, &first).await;
            outcomes.push(outcome);
            world.run(12.0).await;
            assert_state_at_all_nodes(&world, &last, outcome).await;
        }
        assert!(outcomes.contains(&JobState::Done) && outcomes.contains(&JobState::Cancelled));
        world.wait_for_all_jobs(60.0).await;
    });
}

/// Blocked jobs count against no limit: the team's other jobs can use all of it.
#[test]
fn blocked_jobs_hold_no_resources() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 12).await;
        let red = |spec: Submission| Submission {
            team: "red".into(),
            ..spec
        };
        world
            .submit_until_accepted(0, &job_after("j-1", 1, 30.0, &[]))
            .await;
        world
            .submit_until_accepted(0, &red(job_after("j-2", 20, 30.0, &["j-1"])))
            .await;
        world
            .submit_until_accepted(1, &red(job_after("j-3", 20, 20.0, &[])))
            .await;
        world
            .wait_until("running", 15.0, || world.tasks_on_machines("j-3") == 20)
            .await;
        assert_state_at_all_nodes(&world, "j-2", JobState::Queued).await;
        let node = world.node(0).unwrap();
        let rented = node.leadership.leader.borrow().as_ref().unwrap().jobs.len();
        assert_eq!(rented, 3);
        world.wait_for_all_jobs(150.0).await;
    });
}

/// A job's own deadline counts from its submission, also for a leader that loaded the store anew; all other times
/// count from the end of its last dependency.
#[test]
fn deadlines_count_from_the_submission_after_a_failover() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        let mut last = job_after("j-2", 1, 60.0, &["j-1"]);
        last.deadline_s = Some(200.0);
        world
            .submit_until_accepted(1, &job_after("j-1", 1, 8.0, &[]))
            .await;
        let submitted = world.now();
        world.submit_until_accepted(1, &last).await;
        world
            .wait_until("running", 30.0, || world.tasks_on_machines("j-2") == 1)
            .await;
        let began = world.now();
        world.run(10.0).await;
        for at in 0..NODES {
            world.kill(at);
        }
        world.run(1.0).await;
        for at in 0..NODES {
            world.start(at);
        }
        world
            .wait_until("led", 30.0, || world.leader().is_some())
            .await;
        {
            let node = world.node(world.leader().unwrap()).unwrap();
            let leader = node.leadership.leader.borrow();
            let leader = leader.as_ref().unwrap();
            let known = &leader.jobs[&leader.job_index("j-2").unwrap()];
            assert!(
                (known.submitted_at - submitted).abs() < 0.5,
                "{}",
                known.submitted_at
            );
            assert!(known.ready_at > submitted + 6.0 && known.ready_at <= began);
        }
        world.wait_for_all_jobs(150.0).await;
    });
}

/// A last job submitted late propagates its priority and its deadline, less its own run time, to all jobs before it.
#[test]
fn priority_and_deadline_propagate_along_the_chain() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 1).await;
        let low = |spec: Submission| Submission {
            class: spec.id.clone(),
            priority: Priority::Low,
            ..spec
        };
        world
            .submit_until_accepted(0, &low(job_after("j-1", 1, 200.0, &[])))
            .await;
        world
            .submit_until_accepted(0, &low(job_after("j-2", 1, 20.0, &["j-1"])))
            .await;
        let demand = |id: &str| {
            let node = world.node(0).unwrap();
            let leader = node.leadership.leader.borrow();
            let leader = leader.as_ref().unwrap();
            let job = &leader.jobs[&leader.job_index(id).unwrap()];
            (job.spec.priority, job.required_by)
        };
        world.run(1.0).await;
        assert_eq!(demand("j-1"), (Priority::Low, f64::INFINITY));
        let mut last = job_after("j-3", 1, 10.0, &["j-2"]);
        (last.class, last.priority) = ("last".into(), Priority::High);
        last.deadline_s = Some(300.0);
        world.submit_until_accepted(0, &last).await;
        world.run(1.0).await;
        let due = world.now() + 300.0;
        for (id, takes_s) in [("j-2", 10.0), ("j-1", 30.0)] {
            let (priority, by) = demand(id);
            assert_eq!(priority, Priority::High);
            assert!(by < due && by > due - takes_s * 4.0, "{id}: {by}");
        }
        assert!(demand("j-1").1 < demand("j-2").1);
        world.cancel_until_confirmed(0, "j-1").await;
        world.wait_for_all_jobs(60.0).await;
    });
}

/// More ids than a value holds are stored in parts; ids nobody submitted, services and the job itself are rejected,
/// but never while the state service can't be asked.
#[test]
fn dependencies_are_validated_at_every_node() {
    let small = |config: &mut Config| {
        config.deployment.state.value_kb = 2.0;
        config.deployment.state.txn_ops = 5;
    };
    run_scenario(small, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.state.limits.set((2048, 5, 15.0));
        let ids: Vec<String> = (100..400).map(|i| format!("j-00{i}")).collect();
        for (i, id) in ids.iter().enumerate() {
            world
                .submit_until_accepted(i % NODES, &job_after(id, 1, 0.5, &[]))
                .await;
        }
        let needs: Vec<&str> = ids.iter().map(String::as_str).collect();
        let many = job_after("j-1", 1, 1.0, &needs);
        assert_eq!(world.submit(1, &many).await.0, 201);
        let service = Submission {
            kind: JobKind::Service,
            ..job_after("j-2", 1, 5.0, &[])
        };
        world.submit_until_accepted(0, &service).await;
        for at in 0..NODES {
            let body_of = |spec: Submission| serde_json::to_string(&spec).unwrap();
            let sent = body_of(job_after("j-9", 1, 1.0, &["j-100"]));
            assert_eq!(
                world
                    .post_submission(at, &sent.replace("j-100", "j-x"))
                    .await,
                400
            );
            assert_eq!(
                world
                    .post_submission(at, &sent.replace("[\"j-100\"]", "17"))
                    .await,
                400
            );
            assert_eq!(world.post_submission(at, &sent).await, 422);
            assert_eq!(
                world
                    .post_submission(at, &body_of(job_after("j-9", 1, 1.0, &["j-9"])))
                    .await,
                422
            );
            assert_eq!(
                world
                    .post_submission(at, &body_of(job_after("j-9", 1, 1.0, &["j-2"])))
                    .await,
                422
            );
            // A known job is answered with its state, whatever its dependencies are.
            let again = Submission {
                waits_on: vec!["j-777".into()],
                ..many.clone()
            };
            assert_eq!(world.submit(at, &again).await.0, 200);
            let empty = body_of(job_after(&format!("j-5{at}"), 1, 1.0, &["j-100"]));
            for (i, nothing) in ["null", "[]"].iter().enumerate() {
                let sent = empty.replace("[\"j-100\"]", nothing);
                let sent = sent.replace(&format!("j-5{at}"), &format!("j-5{at}{i}"));
                world.expect_submission(&job_after(&format!("j-5{at}{i}"), 1, 1.0, &[]));
                assert_eq!(world.post_submission(at, &sent).await, 201);
            }
            world.state.refuse(at, 3.0);
            assert_eq!(world.post_submission(at, &sent).await, 503);
            world.run(4.0).await;
        }
        world.cancel_until_confirmed(0, "j-2").await;
        world
            .wait_until("complete", 200.0, || world.checks.is_complete("j-1"))
            .await;
        world.wait_for_all_jobs(100.0).await;
        // The dependency parts are deleted too.
        world.run(60.0).await;
        let keys: Vec<String> = world.state.store.borrow().keys.keys().cloned().collect();
        assert!(!keys.iter().any(|k| k.contains("/needs/")), "{keys:?}");
        assert_eq!(world.state.too_large.get(), 0);
    });
}

/// The state service's limits are lowered without notice while larger values are stored, a large job is being stored
/// and a write is in flight. The version that knows the coming limits follows one that wrote large values.
#[test]
fn store_limits_lowered_without_notice_block_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 24).await;
        let slim = |id: &str, tasks, run_s| Submission {
            cpus: 1.0,
            memory_gb: 1.0,
            ..job_after(id, tasks, run_s, &[])
        };
        world
            .submit_until_accepted(0, &slim("j-1", 2000, 20.0))
            .await;
        world.submit_until_accepted(1, &slim("j-2", 400, 6.0)).await;
        world.run(30.0).await;
        let largest = || {
            let store = world.state.store.borrow();
            store
                .keys
                .values()
                .map(|(v, _)| v.get().len())
                .max()
                .unwrap()
        };
        assert!(largest() > 512, "{}", largest());
        let mut config = world.config.clone();
        config.deployment.state.value_kb = 0.5;
        config.deployment.state.txn_ops = 5;
        config.deployment.state.write_rps = 15.0;
        *world.config_override.borrow_mut() = Some(config);
        for at in (0..NODES).rev() {
            world.kill(at);
            world.run(3.0).await;
            world.start(at);
            world.run(4.0).await;
        }
        world
            .submit_until_accepted(2, &job_after("j-3", 4, 3.0, &["j-2"]))
            .await;
        for line in &world.state.links {
            line.late_writes.set(1);
        }
        world.state.limits.set((512, 5, 15.0));
        let leader = world.leader().unwrap_or(0);
        world.run(1.0).await;
        world.kill(leader);
        world.run(2.0).await;
        world.start(leader);
        world.wait_for_all_jobs(900.0).await;
        assert_eq!(world.state.too_large.get(), 0);
    });
}

/// The limits are lowered further than the settings say: what is rejected for its size is written in smaller pieces,
/// and never resent unchanged.
#[test]
fn a_transaction_rejected_for_its_size_is_not_resent_unchanged() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 24).await;
        let slim = |id: &str, tasks| Submission {
            cpus: 1.0,
            memory_gb: 1.0,
            ..job_after(id, tasks, 8.0, &[])
        };
        world.submit_until_accepted(0, &slim("j-1", 400)).await;
        world.run(3.0).await;
        world.state.limits.set((512, 3, 20.0));
        world.submit_until_accepted(1, &slim("j-2", 400)).await;
        let long = Submission {
            image: "i".repeat(600),
            ..slim("j-3", 1)
        };
        for at in 0..NODES {
            assert_eq!(world.submit(at, &long).await.0, 422);
        }
        world.wait_for_all_jobs(400.0).await;
        // One rejection for the user's submission at each node, and those it took the leader to find the accepted
        // size.
        let refused = world.state.too_large.get();
        assert!(
            (NODES as u32..NODES as u32 + 8).contains(&refused),
            "{refused}"
        );
    });
}

#[test]
fn the_smaller_of_present_and_coming_limits_is_in_force() {
    let mut config = crate::config::tests::sample();
    let state = &mut config.deployment.state;
    state.next = Some(NextStateLimits {
        rps: None,
        write_rps: Some(5.0),
        value_kb: Some(16.0),
        txn_ops: Some(4),
    });
    state.apply_future_limits();
    assert_eq!((state.rps, state.write_rps), (100.0, 5.0));
    assert_eq!((state.value_kb, state.txn_ops), (8.0, 4));
}
