//! Faults in the state service's replies.

use super::*;

/// Seconds for which machines reach no controller.
const MUTE_S: f64 = 15.0;

/// A transaction is applied at once and only its reply is lost, while others read what it wrote.
#[test]
fn lost_write_replies_make_no_answer_older() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for i in 0..12 {
            let id = format!("j-{i}");
            let spec = long_job(&id, 2, 4.0);
            let (at, other) = (i % NODES, (i + 1) % NODES);
            world.state.links[at].lose_answers.set(2);
            let submitted = world.submit(at, &spec);
            let looks = async {
                for _ in 0..10 {
                    world.query_all_nodes(&id).await;
                    world.run(0.15).await;
                }
            };
            futures_util::future::join(submitted, looks).await;
            world.submit_until_accepted(other, &spec).await;
            if i % 3 == 0 {
                world.state.links[at].lose_answers.set(1);
                let cancelled = world.cancel(at, &id);
                let looks = join_all((0..4).map(|_| world.query_all_nodes(&id)));
                futures_util::future::join(cancelled, looks).await;
                world.cancel_until_confirmed(other, &id).await;
                world.query_all_nodes(&id).await;
            }
        }
        world.wait_for_all_jobs(200.0).await;
    });
}

/// A transaction without a reply is applied late, after newer ones of the same controller. Now and then its leader
/// crashes before that, while some machines reach no controller.
#[test]
fn transactions_applied_late_change_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        for i in 0..16 {
            for line in &world.state.links {
                line.late_writes.set(u32::from(i % 3 == 0));
            }
            let id = format!("j-{i}");
            world
                .submit_until_accepted(i % NODES, &long_job(&id, 6, 6.0))
                .await;
            world.run(1.0).await;
            if i % 4 == 1 {
                world.cancel_until_confirmed((i + 1) % NODES, &id).await;
            }
            world.query_all_nodes(&id).await;
            if i % 6 == 3 {
                end_leader_with_a_write_on_its_way(&world, &format!("j-1{i:03}")).await;
            }
        }
        // All machines can reach a controller again.
        world.run(MUTE_S).await;
        world.wait_for_all_jobs(300.0).await;
    });
}

/// A job's assignment is applied only when another controller leads already. Until that one has received their
/// heartbeats, half of the machines may have its tasks.
async fn end_leader_with_a_write_on_its_way(world: &Rc<World>, id: &str) {
    world
        .wait_until("led", 30.0, || world.leader().is_some())
        .await;
    let leader = world.leader().unwrap();
    world.state.links[leader].late_writes.set(u32::MAX);
    let other = (leader + 1) % NODES;
    world
        .submit_until_accepted(other, &long_job(id, 6, 30.0))
        .await;
    world.run(4.5).await;
    for k in world.all_workers().iter().step_by(2) {
        k.heartbeats_blocked_until.set(world.now() + MUTE_S);
    }
    // It is back at once, and revokes the lease of its previous incarnation before the write is applied.
    world.kill(leader);
    world.state.links[leader].late_writes.set(0);
    world.run(0.2).await;
    world.start(leader);
    world
        .wait_until("led", 30.0, || world.leader().is_some())
        .await;
    world
        .wait_until("running", 60.0, || {
            world.tasks_on_machines(id) == 6 || world.checks.is_complete(id)
        })
        .await;
}

/// The write of an assignment gets no reply, and the leader crashes before it is applied: no task may have started,
/// as the next leader doesn't know the assignment and starts the tasks elsewhere before it has received heartbeats
/// from all machines.
#[test]
fn no_launch_before_its_assignment_is_known_to_be_stored() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        world.run(4.0).await;
        world.state.links[0].late_writes.set(u32::MAX);
        world
            .submit_until_accepted(1, &long_job("j-1", 8, 60.0))
            .await;
        // The leader stops waiting for a reply, and workers send heartbeats, before the first copy is applied.
        world.run(4.5).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        for k in world.all_workers().iter().step_by(2) {
            k.heartbeats_blocked_until.set(world.now() + 15.0);
        }
        world.kill(0);
        wait_for_new_leader(&world, 0).await;
        world
            .wait_until("running", 30.0, || world.tasks_on_machines("j-1") == 8)
            .await;
        world.start(0);
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Every transaction ever sent to the state service is applied again, within a term and under the next.
#[test]
fn any_transaction_may_be_applied_again_at_any_time() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for i in 0..10 {
            let id = format!("j-{i}");
            world
                .submit_until_accepted(i % NODES, &long_job(&id, 4, 5.0))
                .await;
            world.run(3.0).await;
            world.state.repeat_everything();
            if i % 4 == 3 {
                world.cancel_until_confirmed(i % NODES, &id).await;
                world.state.repeat_everything();
                let leader = world.leader().unwrap_or(0);
                world.kill(leader);
                world.run(0.3).await;
                world.start(leader);
                world
                    .wait_until("led", 30.0, || world.leader().is_some())
                    .await;
            }
            world.query_all_nodes(&id).await;
        }
        world.wait_for_all_jobs(200.0).await;
        world.state.repeat_everything();
        for i in 0..10 {
            world.query_all_nodes(&format!("j-{i}")).await;
        }
    });
}

/// Other services' keys in the state service change, which no watch of ours shows: queries are answered, and the
/// leader may act.
#[test]
fn foreign_changes_in_the_store_delay_nobody() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 4, 10.0)).await;
        for _ in 0..20 {
            world.run(1.0).await;
            world.state.store.borrow_mut().revision += 1;
            assert!(world.is_acting_leader(0));
            let replies = world.query_all_nodes("j-1").await;
            assert!(
                replies.iter().all(|(status, _)| *status == 200),
                "{replies:?}"
            );
        }
        world.wait_for_all_jobs(60.0).await;
    });
}
