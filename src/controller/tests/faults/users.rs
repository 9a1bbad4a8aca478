//! Replies to users' requests.

use super::*;

/// Guards against a reply that is older than one given before by another node. After a job is accepted, and until
/// after its end, users query all nodes every 0.12 s and repeat the submission. Some jobs are cancelled at once.
#[test]
fn concurrent_queries_at_all_nodes_never_show_an_older_state() {
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

/// Guards against a job that is reported as done to one user and as cancelled to another: a cancellation, queries and
/// repeated submissions race with the end of the job's last task.
#[test]
fn a_cancellation_racing_with_the_last_completion_has_one_outcome() {
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

/// Guards against a cancellation that replaces the stored end of a job. The end is stored after the cancellation has
/// read the job and before it writes; the job must stay done.
#[test]
fn a_cancellation_after_the_stored_end_does_not_replace_it() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 1, 60.0)).await;
        world.state.links[1].slow_s.set(0.3);
        let store_job_end = async {
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
        let (reply, ()) = futures_util::future::join(world.cancel(1, "j-1"), store_job_end).await;
        assert_eq!(reply, (200, Some(JobState::Done)));
        let replies = world.query_all_nodes("j-1").await;
        assert!(
            replies
                .iter()
                .all(|reply| *reply == (200, Some(JobState::Done))),
            "{replies:?}"
        );
        world.wait_for_all_jobs(60.0).await;
    });
}

/// Guards against jobs that are never run in a stream of 600 one-task jobs over at least two minutes: each is submitted
/// 0.2 s after the requests for the previous one are answered, and a quarter of them is cancelled at once.
#[test]
fn a_stream_of_small_jobs_with_cancellations_is_completed() {
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

/// Guards against nodes that accept invalid requests or answer a request differently. Malformed submissions and jobs
/// that can never run are rejected at every node; a repeated submission or cancellation of an ended job is answered
/// with the job's state.
#[test]
fn invalid_and_repeated_requests_get_their_status_at_every_node() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 1, 3.0)).await;
        submit_and_wait_until_running(&world, &long_job("j-2", 1, 100.0)).await;
        world.cancel_until_confirmed(1, "j-2").await;
        world.run(8.0).await;
        let valid = serde_json::to_value(long_job("j-9", 2, 3.0)).unwrap();
        let fields: Vec<String> = valid.as_object().unwrap().keys().cloned().collect();
        let nullable = ["Rigs", "Yard", "DueS"];
        for node in 0..NODES {
            for field in fields
                .iter()
                .filter(|field| !nullable.contains(&field.as_str()))
            {
                let mut invalid = valid.clone();
                invalid.as_object_mut().unwrap().remove(field);
                assert_eq!(
                    world.post_submission(node, &invalid.to_string()).await,
                    400,
                    "without {field}"
                );
                invalid[field] = serde_json::Value::Null;
                assert_eq!(
                    world.post_submission(node, &invalid.to_string()).await,
                    400,
                    "{field} null"
                );
            }
            for body in ["", "{", "[]", "17", "null", "\"j-9\""] {
                assert_eq!(world.post_submission(node, body).await, 400, "{body}");
            }
            let impossible_job = |change: &dyn Fn(&mut Submission)| {
                let mut spec = long_job("j-9", 2, 3.0);
                change(&mut spec);
                serde_json::to_string(&spec).unwrap()
            };
            for body in [
                impossible_job(&|spec| spec.team = "nobody".into()),
                impossible_job(&|spec| spec.cpus = 65.0),
                impossible_job(&|spec| spec.types = Some(vec!["huge".into()])),
                impossible_job(&|spec| spec.zone = Some("west".into())),
                // One task more than the team's limit allows, and a gang needs all its tasks at once.
                impossible_job(&|spec| {
                    (spec.team, spec.kind, spec.tasks) = ("red".into(), JobKind::Gang, 21)
                }),
                // A spread gang has at most half of its tasks in a zone, so a single zone can't hold it.
                impossible_job(&|spec| {
                    (spec.kind, spec.spread, spec.one_zone) = (JobKind::Gang, true, true)
                }),
                impossible_job(&|spec| {
                    (spec.kind, spec.spread) = (JobKind::Gang, true);
                    spec.zone = Some("south".into());
                }),
            ] {
                assert_eq!(world.post_submission(node, &body).await, 422, "{body}");
            }
            assert_eq!(world.query(node, "j-9").await.0, 404);
            assert_eq!(world.cancel(node, "j-9").await.0, 404);
            assert_eq!(world.cancel(node, "j-1").await, (200, Some(JobState::Done)));
            let repeated = world.submit(node, &long_job("j-1", 1, 3.0)).await;
            assert_eq!(repeated, (200, Some(JobState::Done)));
            assert_eq!(
                world.cancel(node, "j-2").await,
                (200, Some(JobState::Cancelled))
            );
            let repeated = world.submit(node, &long_job("j-2", 1, 100.0)).await;
            assert_eq!(repeated, (200, Some(JobState::Cancelled)));
        }
        world.wait_for_all_jobs(60.0).await;
    });
}
