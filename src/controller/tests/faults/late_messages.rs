//! Heartbeats and direct commands that are delayed or blocked.

use super::*;

/// Guards against a new leader that trusts outdated heartbeats: it would release tasks that still run, or count
/// their machines as free. Heartbeats sent before the machines got tasks reach every running controller just as the
/// new term begins and shortly after; the new leader has received nothing else from those machines.
#[test]
fn heartbeats_delayed_into_the_next_term_release_no_tasks_and_free_no_capacity() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        // Heartbeats that were sent before any task ran on these machines.
        let silent_workers: Vec<_> = world.all_workers().into_iter().take(4).collect();
        let last_heartbeat =
            |worker: &Rc<Worker>| worker.sent_heartbeats.borrow().last().unwrap().clone();
        let old_heartbeats: Vec<_> = silent_workers.iter().map(last_heartbeat).collect();
        submit_and_wait_until_running(&world, &long_job("j-1", 16, 60.0)).await;
        world.run(2.0).await;
        for worker in &silent_workers {
            // The new leader receives only the old heartbeats from these machines; others have free capacity.
            worker.heartbeats_blocked_until.set(world.now() + 14.0);
            worker.commands_held_until.set(world.now() + 14.0);
        }
        world.kill(0);
        let mut led_before = false;
        for _ in 0..200 {
            let has_leader = world.leader().is_some();
            if has_leader {
                for heartbeat in &old_heartbeats {
                    join_all((1..NODES).map(|node| world.deliver_heartbeat(node, heartbeat))).await;
                }
            }
            if has_leader && led_before {
                break;
            }
            led_before = has_leader;
            world.run(0.1).await;
        }
        assert!(led_before);
        world.run(20.0).await;
        world.start(0);
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Guards against decisions based on outdated heartbeats. Old ones, some of them from an earlier agent epoch or
/// attempt, arrive at every controller after newer ones.
#[test]
fn outdated_heartbeats_after_newer_ones_are_ignored() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        world.run(4.0).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 12, 60.0)).await;
        let mut heartbeat_index = 0;
        for step in 0..40 {
            if step == 6 {
                // The worker's lease expires, which ends its agent epoch. Its tasks are restarted on other machines.
                world.all_workers()[0]
                    .heartbeats_blocked_until
                    .set(world.now() + 24.0);
            }
            // Old heartbeats come from one machine at a time: the others keep free capacity, so that a leader that
            // wrongly takes the tasks of this machine as lost would start them there.
            let workers = world.all_workers();
            for worker in [&workers[step / 2 % workers.len()]] {
                let sent_heartbeats = worker.sent_heartbeats.borrow().clone();
                heartbeat_index = (heartbeat_index * 31 + 7) % 1009;
                for old in [
                    &sent_heartbeats[0],
                    &sent_heartbeats[heartbeat_index % sent_heartbeats.len()],
                ] {
                    join_all((0..NODES).map(|node| world.deliver_heartbeat(node, old))).await;
                }
            }
            world.run(1.0).await;
        }
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Guards against tasks that start twice, or after their cancellation, because direct commands are executed, and so
/// answered, many seconds late. The machines also hang for some of that time and then continue.
#[test]
fn delayed_commands_start_no_task_twice_and_no_cancelled_task() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for round in 0..4 {
            let delayed: Vec<_> = world
                .all_workers()
                .into_iter()
                .skip(round % 2)
                .take(2)
                .collect();
            for worker in &delayed {
                worker.commands_held_until.set(world.now() + 25.0);
            }
            let id = format!("j-{round}");
            let mut spec = long_job(&id, 16, 10.0);
            spec.priority = Priority::High;
            world.submit_until_accepted(1, &spec).await;
            world.run(2.0).await;
            for worker in &delayed {
                worker.hung_until.set(world.now() + 8.0);
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

/// Guards against a task that starts after its cancellation. Its direct launch is delayed for longer than `cancel_s`,
/// and the cloud can't return the machine. The worker's lease must expire before the launch arrives, or else the task
/// starts.
#[test]
fn a_delayed_launch_of_a_cancelled_job_never_starts_during_a_cloud_outage() {
    run_scenario(enable_direct_launches, async |world: Rc<World>| {
        start_cluster(&world, 2).await;
        world.run(6.0).await;
        let delay_s = 2.0 * world.config.deployment.workers.cancel_s;
        for worker in world.all_workers() {
            worker.commands_held_until.set(world.now() + delay_s);
        }
        world
            .submit_until_accepted(1, &long_job("j-1", 8, 300.0))
            .await;
        world.run(2.5).await;
        world.cloud.outage_until.set(world.now() + delay_s);
        world.cancel_until_confirmed(1, "j-1").await;
        world.run(delay_s + 10.0).await;
        assert_eq!(world.tasks_on_machines("j-1"), 0);
        world.wait_for_all_jobs(100.0).await;
    });
}

/// Guards against tasks on machines that can't report. The workers can't connect to any controller, so their leases
/// expire, while direct commands from the leader still reach them.
#[test]
fn machines_that_only_direct_commands_reach_lose_their_tasks_once_and_get_no_new_ones() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 16, 40.0)).await;
        let blocked: Vec<_> = world.all_workers().into_iter().take(2).collect();
        for worker in &blocked {
            worker.heartbeats_blocked_until.set(world.now() + 60.0);
        }
        world.run(30.0).await;
        // The leases of these workers have expired, and no task was started on them since.
        assert!(
            blocked
                .iter()
                .all(|worker| worker.tasks_of("j-1").is_empty())
        );
        world.wait_for_all_jobs(300.0).await;
    });
}
