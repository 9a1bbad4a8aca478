//! Failovers.

use super::*;

/// Tasks of jobs of two or three tasks complete far apart across a failover.
#[test]
fn completions_far_apart_across_a_failover_are_counted_once() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.checks.task_stagger_s.set(12.0);
        for i in 0..4 {
            submit_and_wait_until_running(&world, &long_job(&format!("j-{i}"), 2 + i % 2, 6.0))
                .await;
        }
        world.run(4.0).await;
        let mut leader = 0;
        for _ in 0..3 {
            world.kill(leader);
            let next = wait_for_new_leader(&world, leader).await;
            world.start(leader);
            leader = next;
            world.run(5.0).await;
        }
        let starts = world.checks.starts.get();
        world.wait_for_all_jobs(200.0).await;
        // Completed tasks are not run again.
        assert_eq!((starts, world.checks.starts.get()), (10, 10));
    });
}

/// Leadership moves back and forth, all controllers crash, and one is back within a second.
#[test]
fn repeated_failovers_and_a_full_restart_lose_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 8, 40.0)).await;
        world
            .submit_until_accepted(2, &long_job("j-2", 8, 10.0))
            .await;
        let mut leader = 0;
        for _ in 0..2 {
            world.node(leader).unwrap().leadership.resign.set();
            leader = wait_for_new_leader(&world, leader).await;
            world.run(1.0).await;
        }
        for at in 0..NODES {
            world.kill(at);
        }
        world.run(0.4).await;
        world.start(leader);
        world
            .wait_until("led", 20.0, || world.is_acting_leader(leader))
            .await;
        world.kill(leader);
        world.run(0.1).await;
        world.start(leader);
        world.run(6.0).await;
        for at in (0..NODES).filter(|at| *at != leader) {
            world.start(at);
        }
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Ten failovers in two minutes, also during an outage.
#[test]
fn ten_failovers_in_two_minutes_lose_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        for i in 0..6 {
            world
                .submit_until_accepted(1, &long_job(&format!("j-{i}"), 6, 25.0))
                .await;
        }
        let mut cancelled = 0;
        for turn in 0..10 {
            world.run(6.0).await;
            if turn == 4 {
                world.state.outage(12.0);
            }
            let Some(leader) = world.leader().or(Some(turn % NODES)) else {
                continue;
            };
            world.kill(leader);
            world.run([0.2, 2.0, 5.0][turn % 3]).await;
            world.start(leader);
            if turn % 4 == 3 {
                let id = format!("j-{cancelled}");
                cancelled += 1;
                world.cancel(turn % NODES, &id).await;
            }
        }
        world.wait_for_all_jobs(300.0).await;
    });
}

/// All controllers are down for longer than the workers' lease.
#[test]
fn all_controllers_down_for_longer_than_a_lease_lose_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 8, 300.0)).await;
        submit_and_wait_until_running(&world, &limited_job("j-2", 4, 15.0)).await;
        world.run(13.0).await;
        for at in 0..NODES {
            world.kill(at);
        }
        world
            .run(world.config.deployment.workers.lease_s + 8.0)
            .await;
        for at in 0..NODES {
            world.start(at);
        }
        world
            .wait_until("led", 20.0, || world.leader().is_some())
            .await;
        world.cancel_until_confirmed(1, "j-1").await;
        world.wait_for_all_jobs(200.0).await;
    });
}

/// The leader crashes while machines with long tasks can't be reached, or don't receive the new leader's replies.
#[test]
fn long_tasks_on_machines_unreachable_for_the_new_leader_run_once() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 12, 60.0)).await;
        let all = world.all_workers();
        let until = world.now() + 45.0;
        all[0].replies_lost_until.set(until);
        all[1].heartbeats_blocked_until.set(until);
        all[1].commands_held_until.set(until);
        all[2].heartbeats_blocked_until.set(until);
        all[3].hung_until.set(world.now() + 12.0);
        world.kill(0);
        wait_for_new_leader(&world, 0).await;
        world.run(20.0).await;
        world.start(0);
        world.wait_for_all_jobs(400.0).await;
    });
}

/// New machines are up within two seconds and get tasks at once while writes are delayed, and the leader crashes.
#[test]
fn new_machines_with_delayed_writes_run_tasks_once_across_a_failover() {
    for late in [1, 2, 3] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            start_cluster(&world, 2).await;
            world.cloud.room.set(10);
            world
                .submit_until_accepted(1, &long_job("j-1", 40, 60.0))
                .await;
            world
                .wait_until("rented", 20.0, || world.workers.borrow().len() > 2)
                .await;
            world.run(1.0).await;
            world.state.links[0].late_writes.set(late);
            world.run(1.5).await;
            world.kill(0);
            world.run(0.5).await;
            world.start(0);
            world.wait_for_all_jobs(400.0).await;
        });
    }
}
