//! Transactions whose reply is lost, or that are applied late or again.

use super::*;

/// How long the blocked machines reach no controller, in seconds.
const HEARTBEATS_BLOCKED_S: f64 = 15.0;

/// Guards against a reply to a user that is older than one given before. A transaction is applied at once and only
/// its reply is lost, so that other controllers already show its result while the writer still waits.
#[test]
fn no_user_sees_an_older_state_when_write_replies_are_lost() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for i in 0..12 {
            let id = format!("j-{i}");
            let spec = long_job(&id, 2, 4.0);
            let (node, other_node) = (i % NODES, (i + 1) % NODES);
            world.state.links[node].lose_answers.set(2);
            let submitted = world.submit(node, &spec);
            let queries = async {
                for _ in 0..10 {
                    world.query_all_nodes(&id).await;
                    world.run(0.15).await;
                }
            };
            futures_util::future::join(submitted, queries).await;
            world.submit_until_accepted(other_node, &spec).await;
            if i % 3 == 0 {
                world.state.links[node].lose_answers.set(1);
                let cancelled = world.cancel(node, &id);
                let queries = join_all((0..4).map(|_| world.query_all_nodes(&id)));
                futures_util::future::join(cancelled, queries).await;
                world.cancel_until_confirmed(other_node, &id).await;
                world.query_all_nodes(&id).await;
            }
        }
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Guards against late transactions that undo newer ones. Some transactions get no reply and are applied after newer
/// ones of the same controller. In some rounds the leader crashes before that, while some machines can't reach any
/// controller.
#[test]
fn transactions_applied_late_do_not_undo_newer_ones() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        for i in 0..16 {
            for link in &world.state.links {
                link.late_writes.set(u32::from(i % 3 == 0));
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
                crash_leader_with_a_pending_write(&world, &format!("j-1{i:03}")).await;
            }
        }
        // Wait until all machines can reach a controller again.
        world.run(HEARTBEATS_BLOCKED_S).await;
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Crashes the leader while its write of a job's assignment is pending; the write is applied in a later term. Half of
/// the machines can't send heartbeats then, so the next leader can't rule out that they have tasks of that job.
async fn crash_leader_with_a_pending_write(world: &Rc<World>, id: &str) {
    world
        .wait_until("led", 30.0, || world.leader().is_some())
        .await;
    let leader = world.leader().unwrap();
    world.state.links[leader].late_writes.set(u32::MAX);
    let other_node = (leader + 1) % NODES;
    world
        .submit_until_accepted(other_node, &long_job(id, 6, 30.0))
        .await;
    world.run(4.5).await;
    for worker in world.all_workers().iter().step_by(2) {
        worker
            .heartbeats_blocked_until
            .set(world.now() + HEARTBEATS_BLOCKED_S);
    }
    // The controller restarts at once, and revokes the lease of its previous incarnation before the write is applied.
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

/// Guards against tasks that run twice because they were launched before their assignment was stored. The write of
/// the assignment gets no reply, and the leader crashes before the write is applied. The next leader doesn't know the
/// assignment, and starts the tasks on other machines before it has received heartbeats from all.
#[test]
fn no_task_is_launched_before_its_assignment_is_known_to_be_stored() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        world.run(4.0).await;
        world.state.links[0].late_writes.set(u32::MAX);
        world
            .submit_until_accepted(1, &long_job("j-1", 8, 60.0))
            .await;
        // Before the first write is applied, the leader stops waiting for its reply, and workers send heartbeats.
        world.run(4.5).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        for worker in world.all_workers().iter().step_by(2) {
            worker.heartbeats_blocked_until.set(world.now() + 15.0);
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

/// Guards against a repeated transaction that takes effect a second time. All transactions sent to the state service
/// so far are applied again, within the same term and in the next.
#[test]
fn transactions_applied_again_have_no_effect() {
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

/// Guards against controllers that wait for changes that never come. Other services change their keys in the state
/// service, which raises its revision, but the controllers' watches don't show these changes. Queries must still be
/// answered, and the leader must still be able to act.
#[test]
fn changes_to_other_services_keys_delay_no_query_and_no_leader() {
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
