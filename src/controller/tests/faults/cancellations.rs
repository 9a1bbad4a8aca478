//! Cancellations that race with the leader's commands.

use super::*;

/// Guards against a launch that is sent although the leader knows that the job is cancelled. Connections to the
/// workers take long, so that the cancellation arrives after the leader has decided on a direct launch, but before
/// the connection for sending it is established.
#[test]
fn no_task_starts_after_its_cancellation_is_known() {
    run_scenario(enable_direct_launches, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.run(6.0).await;
        for worker in world.all_workers() {
            let address = worker.fake.borrow().heartbeat.addr.parse().unwrap();
            world.runtime.slow_connections(address, 0.6);
        }
        for i in 0..10 {
            let id = format!("j-{i}");
            world
                .submit_until_accepted(0, &long_job(&id, 4, 20.0))
                .await;
            world.run(0.3).await;
            world.cancel_until_confirmed(0, &id).await;
            world.run(4.0).await;
        }
        world.wait_for_all_jobs(60.0).await;
        assert_eq!(*world.checks.late_starts.borrow(), Vec::<String>::new());
    });
}
