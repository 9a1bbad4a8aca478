//! Cancellations that race the leader's commands.

use super::*;

/// Between the round that decides a direct launch and the connection on which it is sent, its job is cancelled and
/// the leader knows that.
#[test]
fn no_task_starts_once_the_cancellation_is_known() {
    run_scenario(direct_launches, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.run(6.0).await;
        for k in world.all_workers() {
            let at = k.fake.borrow().heartbeat.addr.parse().unwrap();
            world.runtime.slow_connections(at, 0.6);
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
