//! Team limits and zone constraints under faults.

use super::*;

/// Every team is at its limit, jobs are cancelled whose machines are partitioned or hang, and a failover follows: to
/// a controller that has loaded the store anew, in which a job's end comes before the job.
#[test]
fn cancelled_tasks_count_until_off_the_machine_across_failovers() {
    for back_at_once in [false, true] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            start_cluster(&world, 8).await;
            submit_and_wait_until_running(&world, &limited_job("j-1", 20, 300.0)).await;
            world
                .submit_until_accepted(1, &limited_job("j-2", 20, 20.0))
                .await;
            world.run(3.0).await;
            assert_eq!(world.tasks_on_machines("j-2"), 0);
            let stuck: Vec<_> = world.all_workers().into_iter().take(3).collect();
            for k in &stuck {
                k.hung_until.set(world.now() + 15.0);
            }
            stuck[0].heartbeats_blocked_until.set(world.now() + 60.0);
            world.run(0.3).await;
            assert_eq!(
                world.cancel_until_confirmed(1, "j-1").await,
                JobState::Cancelled
            );
            world.run(1.0).await;
            if back_at_once {
                // Only processes that loaded the store anew can lead.
                for at in 0..NODES {
                    world.kill(at);
                }
                world.run(0.2).await;
                for at in 0..NODES {
                    world.start(at);
                }
                world
                    .wait_until("led", 30.0, || world.leader().is_some())
                    .await;
            } else {
                world.kill(0);
                wait_for_new_leader(&world, 0).await;
                world.start(0);
            }
            world.wait_for_all_jobs(300.0).await;
        });
    }
}

/// A team is at its limit during a failover, some of its machines are unreachable, and a cancellation falls into that
/// time.
#[test]
fn a_limit_holds_while_machines_are_unreachable() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        submit_and_wait_until_running(&world, &limited_job("j-1", 10, 60.0)).await;
        submit_and_wait_until_running(&world, &limited_job("j-2", 10, 300.0)).await;
        world
            .submit_until_accepted(1, &limited_job("j-3", 20, 20.0))
            .await;
        let asked: Vec<_> = world.all_workers().into_iter().take(4).collect();
        for (i, k) in asked.iter().enumerate() {
            let until = world.now() + 30.0;
            if i % 2 == 0 {
                k.replies_lost_until.set(until);
            } else {
                k.heartbeats_blocked_until.set(until);
                k.commands_held_until.set(until);
            }
        }
        world.kill(0);
        world.run(1.0).await;
        assert_eq!(
            world.cancel_until_confirmed(1, "j-2").await,
            JobState::Cancelled
        );
        wait_for_new_leader(&world, 0).await;
        world.run(3.0).await;
        world.start(0);
        world.wait_for_all_jobs(400.0).await;
    });
}

/// Jobs restricted to one zone, by name or by their tasks, arrays too, lose machines that still run them.
#[test]
fn single_zone_jobs_that_lose_machines_stay_in_their_zone() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        let mut named = long_job("j-1", 6, 30.0);
        named.zone = Some("south".into());
        let mut together = long_job("j-2", 6, 30.0);
        together.one_zone = true;
        let mut spread = long_job("j-3", 4, 30.0);
        spread.spread = true;
        for spec in [&named, &together, &spread] {
            submit_and_wait_until_running(&world, spec).await;
        }
        let lost = worker_running(&world, "j-1");
        world.remove(&lost.name);
        let hangs = worker_running(&world, "j-2");
        hangs.hung_until.set(world.now() + 18.0);
        let blocked = worker_running(&world, "j-3");
        blocked.heartbeats_blocked_until.set(world.now() + 60.0);
        world.kill(0);
        world.run(10.0).await;
        world.start(0);
        world.wait_for_all_jobs(300.0).await;
    });
}

/// More tasks than capacity, urgent and not, while the state service is slow.
#[test]
fn a_burst_with_a_slow_store_is_fully_served() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for line in &world.state.links {
            line.slow_s.set(0.25);
        }
        for i in 0..12 {
            let mut spec = long_job(&format!("j-{i}"), 12, 8.0);
            spec.priority = [Priority::High, Priority::Normal, Priority::Low][i % 3];
            world.submit_until_accepted(i % NODES, &spec).await;
        }
        world.wait_for_all_jobs(500.0).await;
    });
}
