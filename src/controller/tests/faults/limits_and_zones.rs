//! Team limits and zone constraints under faults.

use super::*;

/// Guards against a team that exceeds its limit because cancelled tasks are released while they still run. The team
/// is at its limit, its job is cancelled while some of its machines hang or can't send heartbeats, and a failover
/// follows. A restarted controller loads the store again, where the record of a job's end precedes that of the job.
#[test]
fn cancelled_tasks_are_charged_until_off_the_machine_across_failovers() {
    for restart_all in [false, true] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            start_cluster(&world, 8).await;
            submit_and_wait_until_running(&world, &limited_job("j-1", 20, 300.0)).await;
            world
                .submit_until_accepted(1, &limited_job("j-2", 20, 20.0))
                .await;
            world.run(3.0).await;
            assert_eq!(world.tasks_on_machines("j-2"), 0);
            let stuck: Vec<_> = world.all_workers().into_iter().take(3).collect();
            for worker in &stuck {
                worker.hung_until.set(world.now() + 15.0);
            }
            stuck[0].heartbeats_blocked_until.set(world.now() + 60.0);
            world.run(0.3).await;
            assert_eq!(
                world.cancel_until_confirmed(1, "j-1").await,
                JobState::Cancelled
            );
            world.run(1.0).await;
            if restart_all {
                // All processes restart, so that the next leader has loaded the store again.
                for node in 0..NODES {
                    world.kill(node);
                }
                world.run(0.2).await;
                for node in 0..NODES {
                    world.start(node);
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

/// Guards against a new leader that lets a team exceed its limit because it can't see all running tasks. The team is
/// at its limit during a failover, a job is cancelled then, and some of its machines don't receive replies or can't
/// be reached.
#[test]
fn a_team_limit_holds_while_machines_are_unreachable_in_a_failover() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        submit_and_wait_until_running(&world, &limited_job("j-1", 10, 60.0)).await;
        submit_and_wait_until_running(&world, &limited_job("j-2", 10, 300.0)).await;
        world
            .submit_until_accepted(1, &limited_job("j-3", 20, 20.0))
            .await;
        let unreachable: Vec<_> = world.all_workers().into_iter().take(4).collect();
        for (i, worker) in unreachable.iter().enumerate() {
            let until = world.now() + 30.0;
            if i % 2 == 0 {
                worker.replies_lost_until.set(until);
            } else {
                worker.heartbeats_blocked_until.set(until);
                worker.commands_held_until.set(until);
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

/// Guards against zone constraints that are violated when tasks are restarted. Jobs that must be in a named zone, in
/// any single zone, or spread over zones lose machines that run their tasks, and the leader crashes. The jobs are
/// arrays, to which zone constraints apply as well as to gangs.
#[test]
fn jobs_with_zone_constraints_keep_them_when_machines_are_lost() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 8).await;
        let mut in_named_zone = long_job("j-1", 6, 30.0);
        in_named_zone.zone = Some("south".into());
        let mut in_one_zone = long_job("j-2", 6, 30.0);
        in_one_zone.one_zone = true;
        let mut spread = long_job("j-3", 4, 30.0);
        spread.spread = true;
        for spec in [&in_named_zone, &in_one_zone, &spread] {
            submit_and_wait_until_running(&world, spec).await;
        }
        let lost_worker = worker_running(&world, "j-1");
        world.remove(&lost_worker.name);
        let hung_worker = worker_running(&world, "j-2");
        hung_worker.hung_until.set(world.now() + 18.0);
        let blocked_worker = worker_running(&world, "j-3");
        blocked_worker
            .heartbeats_blocked_until
            .set(world.now() + 60.0);
        world.kill(0);
        world.run(10.0).await;
        world.start(0);
        world.wait_for_all_jobs(300.0).await;
    });
}

/// Guards against jobs that are never run when an arrival burst of all priorities exceeds the capacity while the
/// state service is slow.
#[test]
fn an_arrival_burst_with_a_slow_store_is_completed() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        for link in &world.state.links {
            link.slow_s.set(0.25);
        }
        for i in 0..12 {
            let mut spec = long_job(&format!("j-{i}"), 12, 8.0);
            spec.priority = [Priority::High, Priority::Normal, Priority::Low][i % 3];
            world.submit_until_accepted(i % NODES, &spec).await;
        }
        world.wait_for_all_jobs(500.0).await;
    });
}
