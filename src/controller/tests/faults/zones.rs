//! Partitioned zones.

use super::*;

/// Guards against tasks that run twice, or that survive their cancellation, when a zone with workers and a controller
/// is partitioned for longer than a lease. A delegate in the zone keeps its tasks running; without one, they run
/// elsewhere, but only after the workers' leases have expired. A cancellation must reach them in time. The partition
/// separates workers from the controllers of other zones; controllers still reach each other and the state service.
#[test]
fn tasks_in_a_zone_partitioned_for_longer_than_a_lease_run_once() {
    for leader_crashes in [false, true] {
        run_scenario(default_settings, async move |world: Rc<World>| {
            for i in 0..28 {
                world.boot(["north", "south"][i % 2]);
            }
            world.start_led_by(0).await;
            submit_and_wait_until_running(&world, &long_job("j-1", 56, 100.0)).await;
            submit_and_wait_until_running(&world, &long_job("j-2", 20, 300.0)).await;
            world.partition.set(("south", world.now() + 90.0));
            world.run(15.0).await;
            world.cancel_until_confirmed(0, "j-2").await;
            let in_south = |worker: &&Rc<Worker>| worker.zone == "south";
            if leader_crashes {
                // The state service rejects the controller in the south for 8 s, so that it is not elected.
                world.state.refuse(1, 8.0);
                world.kill(0);
                world
                    .wait_until("led", 30.0, || world.is_acting_leader(2))
                    .await;
                world.start(0);
            } else {
                let workers = world.all_workers();
                assert!(
                    !workers
                        .iter()
                        .filter(in_south)
                        .any(|worker| worker.has_lost_a_lease())
                );
            }
            world.run(world.config.deployment.workers.cancel_s).await;
            assert_eq!(world.tasks_on_machines("j-2"), 0);
            world.wait_for_all_jobs(400.0).await;
            let exited = |task: &TaskStatus| task.state == TaskState::Exited;
            let workers = world.all_workers();
            assert!(
                workers.iter().all(|worker| worker
                    .fake
                    .borrow()
                    .heartbeat
                    .tasks
                    .iter()
                    .all(exited))
            );
        });
    }
}
