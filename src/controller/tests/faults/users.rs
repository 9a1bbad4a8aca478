//! Answers to users.

use super::*;

/// Users query all nodes, again and again within milliseconds, and repeat the submission, right after a job was
/// accepted, ended or confirmed as cancelled; some cancel at once.
#[test]
fn concurrent_queries_at_all_nodes_never_go_back() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for i in 0..15 {
            let id = format!("j-{i}");
            let spec = long_job(&id, 1, 3.0);
            world.submit_until_accepted(i % NODES, &spec).await;
            if i % 5 == 0 {
                world.cancel_until_confirmed((i + 1) % NODES, &id).await;
            }
            for _ in 0..40 {
                let replies = world.query_all_nodes(&id).await;
                // Without faults all queries are answered.
                assert!(
                    replies.iter().all(|(status, _)| *status == 200),
                    "{replies:?}"
                );
                world.run(0.12).await;
            }
        }
        world.wait_for_all_jobs(60.0).await;
    });
}

/// A cancellation, a query or a repeated submission races the end of a job's last task.
#[test]
fn a_cancellation_racing_the_last_completion_has_one_outcome() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        let mut outcomes = Vec::new();
        for i in 0..36 {
            let id = format!("j-{i}");
            submit_and_wait_until_running(&world, &long_job(&id, 2, 4.0)).await;
            world
                .wait_until("complete", 10.0, || world.checks.is_complete(&id))
                .await;
            world.run(0.06 * i as f64).await;
            let (cancelled, _) = futures_util::future::join(
                world.cancel(i % NODES, &id),
                join_all((0..3).map(|_| world.query_all_nodes(&id))),
            )
            .await;
            world.query_all_nodes(&id).await;
            outcomes.push(cancelled.1.unwrap());
        }
        // Both outcomes occur.
        assert!(outcomes.contains(&JobState::Done) && outcomes.contains(&JobState::Cancelled));
        world.wait_for_all_jobs(60.0).await;
    });
}

/// The end of a job is stored between a cancellation's read and its own write: done stays done.
#[test]
fn a_cancellation_after_the_stored_end_does_not_replace_it() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 1, 60.0)).await;
        world.state.links[1].slow_s.set(0.3);
        let ends = async {
            world.run(0.45).await;
            world.checks.on_task_completed("j-1/0");
            let record = EndRecord {
                end: JobEnd::Done,
                tasks_done: 1,
                ended_unix_ms: None,
            };
            let put = Change::Put {
                key: keys::job_end("j-1"),
                value: to_raw_value(&record).unwrap(),
                lease: None,
            };
            world.state.apply(&Txn {
                conditions: Vec::new(),
                changes: vec![put],
            });
        };
        let (reply, ()) = futures_util::future::join(world.cancel(1, "j-1"), ends).await;
        assert_eq!(reply, (200, Some(JobState::Done)));
        let all = world.query_all_nodes("j-1").await;
        assert!(
            all.iter()
                .all(|reply| *reply == (200, Some(JobState::Done))),
            "{all:?}"
        );
        world.wait_for_all_jobs(60.0).await;
    });
}

/// Four one-task jobs a second for minutes, a quarter of them cancelled.
#[test]
fn a_stream_of_small_jobs_with_cancellations_is_fully_served() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 10).await;
        for i in 0..600 {
            let id = format!("j-{i}");
            world
                .submit_until_accepted(i % NODES, &long_job(&id, 1, 4.0))
                .await;
            if i % 4 == 0 {
                world.cancel_until_confirmed((i + 1) % NODES, &id).await;
            }
            world.run(0.2).await;
        }
        world.wait_for_all_jobs(120.0).await;
    });
}

/// Malformed submissions and those that can never run are rejected at every node; a known job is answered with its
/// state, whatever the repeat looks like.
#[test]
fn invalid_and_repeated_requests_get_their_status_at_every_node() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 1, 3.0)).await;
        submit_and_wait_until_running(&world, &long_job("j-2", 1, 100.0)).await;
        world.cancel_until_confirmed(1, "j-2").await;
        world.run(8.0).await;
        let good = serde_json::to_value(long_job("j-9", 2, 3.0)).unwrap();
        let fields: Vec<String> = good.as_object().unwrap().keys().cloned().collect();
        let nullable = ["Rigs", "Yard", "DueS"];
        for at in 0..NODES {
            for field in fields.iter().filter(|f| !nullable.contains(&f.as_str())) {
                let mut bad = good.clone();
                bad.as_object_mut().unwrap().remove(field);
                assert_eq!(
                    world.post_submission(at, &bad.to_string()).await,
                    400,
                    "without {field}"
                );
                bad[field] = serde_json::Value::Null;
                assert_eq!(
                    world.post_submission(at, &bad.to_string()).await,
                    400,
                    "{field} null"
                );
            }
            for body in ["", "{", "[]", "17", "null", "\"j-9\""] {
                assert_eq!(world.post_submission(at, body).await, 400, "{body}");
            }
            let never = |change: &dyn Fn(&mut Submission)| {
                let mut spec = long_job("j-9", 2, 3.0);
                change(&mut spec);
                serde_json::to_string(&spec).unwrap()
            };
            for body in [
                never(&|s| s.team = "nobody".into()),
                never(&|s| s.cpus = 65.0),
                never(&|s| s.types = Some(vec!["huge".into()])),
                never(&|s| s.zone = Some("west".into())),
                never(&|s| (s.team, s.kind, s.tasks) = ("red".into(), JobKind::Gang, 21)),
                // At most half of the tasks in a zone, and one zone for all.
                never(&|s| (s.kind, s.spread, s.one_zone) = (JobKind::Gang, true, true)),
                never(&|s| {
                    (s.kind, s.spread) = (JobKind::Gang, true);
                    s.zone = Some("south".into());
                }),
            ] {
                assert_eq!(world.post_submission(at, &body).await, 422, "{body}");
            }
            assert_eq!(world.query(at, "j-9").await.0, 404);
            assert_eq!(world.cancel(at, "j-9").await.0, 404);
            assert_eq!(world.cancel(at, "j-1").await, (200, Some(JobState::Done)));
            let again = world.submit(at, &long_job("j-1", 1, 3.0)).await;
            assert_eq!(again, (200, Some(JobState::Done)));
            assert_eq!(
                world.cancel(at, "j-2").await,
                (200, Some(JobState::Cancelled))
            );
            let again = world.submit(at, &long_job("j-2", 1, 100.0)).await;
            assert_eq!(again, (200, Some(JobState::Cancelled)));
        }
        world.wait_for_all_jobs(60.0).await;
    });
}
