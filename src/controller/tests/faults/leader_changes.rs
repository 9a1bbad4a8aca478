//! Failovers of the leader.

use super::*;

/// Guards against completed tasks that a new leader does not know and runs again. The tasks of small jobs complete
/// 12 s apart, while the leader crashes three times.
#[test]
fn tasks_completed_before_a_failover_are_not_run_again() {
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
            let new_leader = wait_for_new_leader(&world, leader).await;
            world.start(leader);
            leader = new_leader;
            world.run(5.0).await;
        }
        let starts = world.checks.starts.get();
        world.wait_for_all_jobs(200.0).await;
        // Completed tasks are not run again.
        assert_eq!((starts, world.checks.starts.get()), (10, 10));
    });
}

/// Guards against jobs that get lost when leadership moves repeatedly, and then no controller is left that has a
/// replica. The leader resigns twice, all controllers crash, and the last leader restarts alone within a second, twice.
#[test]
fn repeated_failovers_and_a_full_restart_lose_no_job() {
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
        for node in 0..NODES {
            world.kill(node);
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
        for node in (0..NODES).filter(|node| *node != leader) {
            world.start(node);
        }
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Guards against jobs that get lost when failovers follow each other quickly: ten crashes of the leader in two
/// minutes, also during an outage of the state service. While no controller leads, any of them crashes instead.
#[test]
fn ten_failovers_in_two_minutes_lose_no_job() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        for i in 0..6 {
            world
                .submit_until_accepted(1, &long_job(&format!("j-{i}"), 6, 25.0))
                .await;
        }
        let mut cancelled = 0;
        for round in 0..10 {
            world.run(6.0).await;
            if round == 4 {
                world.state.outage(12.0);
            }
            let Some(leader) = world.leader().or(Some(round % NODES)) else {
                continue;
            };
            world.kill(leader);
            world.run([0.2, 2.0, 5.0][round % 3]).await;
            world.start(leader);
            if round % 4 == 3 {
                let id = format!("j-{cancelled}");
                cancelled += 1;
                world.cancel(round % NODES, &id).await;
            }
        }
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Guards against jobs that get lost, or that can't be cancelled, after all controllers were down for so long that the
/// leases of all workers have expired.
#[test]
fn no_job_is_lost_when_all_controllers_are_down_for_longer_than_a_lease() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 8, 300.0)).await;
        submit_and_wait_until_running(&world, &limited_job("j-2", 4, 15.0)).await;
        world.run(13.0).await;
        for node in 0..NODES {
            world.kill(node);
        }
        world
            .run(world.config.deployment.workers.lease_s + 8.0)
            .await;
        for node in 0..NODES {
            world.start(node);
        }
        world
            .wait_until("led", 20.0, || world.leader().is_some())
            .await;
        world.cancel_until_confirmed(1, "j-1").await;
        world.wait_for_all_jobs(200.0).await;
    });
}

/// Guards against a new leader that starts tasks a second time because it can't reach the machines that run them. In
/// the failover some workers can't send heartbeats, don't receive replies or commands, or hang.
#[test]
fn long_tasks_on_machines_that_the_new_leader_cannot_reach_run_once() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 12, 60.0)).await;
        let workers = world.all_workers();
        let until = world.now() + 45.0;
        workers[0].replies_lost_until.set(until);
        workers[1].heartbeats_blocked_until.set(until);
        workers[1].commands_held_until.set(until);
        workers[2].heartbeats_blocked_until.set(until);
        workers[3].hung_until.set(world.now() + 12.0);
        world.kill(0);
        wait_for_new_leader(&world, 0).await;
        world.run(20.0).await;
        world.start(0);
        world.wait_for_all_jobs(400.0).await;
    });
}

/// Guards against tasks that start twice on newly rented machines. These boot within two seconds and get tasks at
/// once, while writes of the leader are applied late, and the leader crashes.
#[test]
fn new_machines_with_delayed_writes_run_tasks_once_across_a_failover() {
    for late_writes in [1, 2, 3] {
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
            world.state.links[0].late_writes.set(late_writes);
            world.run(1.5).await;
            world.kill(0);
            world.run(0.5).await;
            world.start(0);
            world.wait_for_all_jobs(400.0).await;
        });
    }
}
