//! Partitioned zones.

use super::*;

/// A zone with workers and a controller is partitioned for longer than the lease: its tasks are kept by a delegate
/// there, or run elsewhere once they have surely ended; a cancellation reaches them in time.
#[test]
fn a_zone_partitioned_for_longer_than_a_lease_runs_nothing_twice() {
    for leader_ends in [false, true] {
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
            let south = |k: &&Rc<Worker>| k.zone == "south";
            if leader_ends {
                // The controller in the south is kept from being elected by the state service for a moment.
                world.state.refuse(1, 8.0);
                world.kill(0);
                world
                    .wait_until("led", 30.0, || world.is_acting_leader(2))
                    .await;
                world.start(0);
            } else {
                let all = world.all_workers();
                assert!(!all.iter().filter(south).any(|k| k.has_lost_a_lease()));
            }
            world.run(world.config.deployment.workers.cancel_s).await;
            assert_eq!(world.tasks_on_machines("j-2"), 0);
            world.wait_for_all_jobs(400.0).await;
            let over = |t: &TaskStatus| t.state == TaskState::Exited;
            let all = world.all_workers();
            assert!(
                all.iter()
                    .all(|k| k.fake.borrow().heartbeat.tasks.iter().all(over))
            );
        });
    }
}
