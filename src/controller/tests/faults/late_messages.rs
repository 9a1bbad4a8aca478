//! Delayed messages.

use super::*;

/// A heartbeat is delayed until a new leader has acted, and then arrives there; others reach every controller just as
/// its term begins. Nothing else was received from those machines yet.
#[test]
fn heartbeats_delayed_until_the_next_leader_free_and_open_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        // Heartbeats from before anything ran there.
        let far: Vec<_> = world.all_workers().into_iter().take(4).collect();
        let last = |k: &Rc<Worker>| k.sent_heartbeats.borrow().last().unwrap().clone();
        let empty: Vec<_> = far.iter().map(last).collect();
        submit_and_wait_until_running(&world, &long_job("j-1", 16, 60.0)).await;
        world.run(2.0).await;
        for k in &far {
            // The new leader receives nothing from them but the copies; other machines have room.
            k.heartbeats_blocked_until.set(world.now() + 14.0);
            k.commands_held_until.set(world.now() + 14.0);
        }
        world.kill(0);
        let mut leads = false;
        for _ in 0..200 {
            let begun = world.leader().is_some();
            if begun {
                for heartbeat in &empty {
                    join_all((1..NODES).map(|at| world.deliver_heartbeat(at, heartbeat))).await;
                }
            }
            if begun && leads {
                break;
            }
            leads = begun;
            world.run(0.1).await;
        }
        assert!(leads);
        world.run(20.0).await;
        world.start(0);
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Old heartbeats arrive after newer ones, also from an earlier agent epoch or attempt, and at every controller.
#[test]
fn stale_heartbeats_after_newer_ones_change_nothing() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        world.run(4.0).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 12, 60.0)).await;
        let mut turn = 0;
        for step in 0..40 {
            if step == 6 {
                // An agent epoch ends: its tasks are restarted elsewhere.
                world.all_workers()[0]
                    .heartbeats_blocked_until
                    .set(world.now() + 24.0);
            }
            // One machine at a time: the others could be given the tasks that it seems to have lost.
            let all = world.all_workers();
            for k in [&all[step / 2 % all.len()]] {
                let sent_heartbeats = k.sent_heartbeats.borrow().clone();
                turn = (turn * 31 + 7) % 1009;
                for old in [
                    &sent_heartbeats[0],
                    &sent_heartbeats[turn % sent_heartbeats.len()],
                ] {
                    join_all((0..NODES).map(|at| world.deliver_heartbeat(at, old))).await;
                }
            }
            world.run(1.0).await;
        }
        world.wait_for_all_jobs(300.0).await;
    });
}

/// A command or its reply is delayed for seconds, and the machine then continues.
#[test]
fn delayed_commands_start_nothing_twice_and_nothing_cancelled() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for round in 0..4 {
            let held: Vec<_> = world
                .all_workers()
                .into_iter()
                .skip(round % 2)
                .take(2)
                .collect();
            for k in &held {
                k.commands_held_until.set(world.now() + 25.0);
            }
            let id = format!("j-{round}");
            let mut spec = long_job(&id, 16, 10.0);
            spec.priority = Priority::High;
            world.submit_until_accepted(1, &spec).await;
            world.run(2.0).await;
            for k in &held {
                k.hung_until.set(world.now() + 8.0);
            }
            world.run(1.0).await;
            if round % 2 == 0 {
                world.cancel_until_confirmed(2, &id).await;
            }
            world.run(15.0).await;
        }
        world.wait_for_all_jobs(300.0).await;
    });
}

/// A direct launch is delayed for longer than `cancel_s`, its job is cancelled, and the cloud can't return the
/// machine: its worker's lease must expire, or the launch would start the task then.
#[test]
fn a_delayed_launch_of_a_cancelled_job_never_starts_during_a_cloud_outage() {
    run_scenario(direct_launches, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        world.run(6.0).await;
        let held_s = 2.0 * world.config.deployment.workers.cancel_s;
        for k in world.all_workers() {
            k.commands_held_until.set(world.now() + held_s);
        }
        world
            .submit_until_accepted(1, &long_job("j-1", 8, 300.0))
            .await;
        world.run(2.5).await;
        world.cloud.outage_until.set(world.now() + held_s);
        world.cancel_until_confirmed(1, "j-1").await;
        world.run(held_s + 10.0).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        world.wait_for_all_jobs(100.0).await;
    });
}

/// Workers can't connect to any controller, while direct commands still reach them.
#[test]
fn machines_reachable_by_direct_commands_only_get_no_tasks_and_lose_theirs_once() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 16, 40.0)).await;
        let blocked: Vec<_> = world.all_workers().into_iter().take(2).collect();
        for k in &blocked {
            k.heartbeats_blocked_until.set(world.now() + 60.0);
        }
        world.run(30.0).await;
        // Their leases have expired, and nothing new was started there.
        assert!(blocked.iter().all(|k| k.tasks_of("j-1").is_empty()));
        world.wait_for_all_jobs(300.0).await;
    });
}
