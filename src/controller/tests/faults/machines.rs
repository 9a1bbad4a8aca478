//! Machines whose rental or deletion is carried out late, or that come back within a second.

use super::*;
use crate::jobs::task_name::task_name;

/// Time after the last of these events within which a leader must know each task that runs, in seconds.
const KNOWN_S_MAX: f64 = 15.0;

/// The running attempts that the leader doesn't have on their machine.
fn unknown_attempts(world: &World) -> Vec<String> {
    let leader_node = world.leader().and_then(|node| world.node(node)).unwrap();
    let leader = leader_node.leadership.leader.borrow();
    let leader = leader.as_ref().unwrap();
    let is_known = |worker: &Worker, status: &TaskStatus| {
        let machine = leader.fleet.find(&worker.name);
        let machine = machine.and_then(|index| leader.fleet.machines.get(&index));
        machine.is_some_and(|machine| {
            machine.attempts.keys().any(|key| {
                key.attempt == status.attempt
                    && task_name(&leader.jobs[&key.job].id, key.task) == status.task
            })
        })
    };
    let mut unknown = Vec::new();
    for worker in world.all_workers() {
        for status in worker.running_tasks() {
            if !is_known(&worker, &status) {
                unknown.push(format!("{} on {}", status.task, worker.name));
            }
        }
    }
    unknown
}

#[test]
fn machines_rented_or_deleted_late_or_back_within_a_second_run_no_task_unknown_to_the_leader() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 6).await;
        submit_and_wait_until_running(&world, &long_job("j-1", 16, 60.0)).await;
        for round in 0..3 {
            let old_leader = world.leader().unwrap();
            let workers = world.all_workers();
            // Two machines come back within a second, one during the change of leaders.
            world.restart(&workers[round]);
            world.kill(old_leader);
            world.run(0.4).await;
            world.restart(&workers[round + 1]);
            // Requests of the former leader are carried out now: a rental, and the deletion of a machine with tasks.
            world.boot("north");
            world.remove(&workers[round + 2].name);
            wait_for_new_leader(&world, old_leader).await;
            world.boot("south");
            world.start(old_leader);
            world
                .submit_until_accepted(1, &long_job(&format!("j-2{round}"), 8, 20.0))
                .await;
            world.run(KNOWN_S_MAX).await;
            assert_eq!(unknown_attempts(&world), Vec::<String>::new());
        }
        world.wait_for_all_jobs(300.0).await;
    });
}
