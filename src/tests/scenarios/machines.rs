//! Silent, unresponsive, faulty and returned machines.

use super::{
    assign_without_launch, count_launches, exchange_heartbeats, fail_cloud_calls_until_deletion,
    gang,
};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::fleet::{HeartbeatOrigin, TaskAttempt};
use crate::protocol::workers::ExitReason;
use crate::runtime::ProcessPause;
use crate::test_support::{FakeStore, FakeWorker, job};

/// A machine on which tasks of several jobs fail is quarantined. A job whose tasks fail on every machine is at fault
/// itself: if that counted against the machines, a single such job would quarantine the whole fleet.
#[test]
fn a_machine_is_quarantined_for_failures_of_several_jobs_but_not_of_one_faulty_job() {
    let mut store = FakeStore::default();
    for i in 1..=3 {
        store.submit(&job(&format!("j-{i}"), 1));
    }
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    let mut now = 1.0;
    for _ in 0..30 {
        now += 3.0;
        store.schedule_and_write(&mut leader, now);
        worker.send_heartbeat(&mut leader, now);
        for task in worker.running() {
            worker.exit_task(&task, ExitReason::Error);
        }
        worker.send_heartbeat(&mut leader, now);
    }
    let machine = leader.fleet.machines.values().next().unwrap();
    assert!(machine.quarantined);

    let mut store = FakeStore::default();
    store.submit(&job("j-9", 1));
    let mut leader = store.elect("n0", 0.0);
    let mut workers: Vec<FakeWorker> = (0..6)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let mut now = 1.0;
    for _ in 0..40 {
        now += 3.0;
        for worker in &mut workers {
            worker.send_heartbeat(&mut leader, now);
            for task in worker.running() {
                worker.exit_task(&task, ExitReason::Error);
            }
        }
        store.schedule_and_write(&mut leader, now);
    }
    assert!(
        leader
            .fleet
            .machines
            .values()
            .all(|machine| !machine.quarantined)
    );
}

/// A leader that receives no heartbeats at all can't tell whether the machines or its own network failed. If it
/// returned the silent machines as lost, a network fault of the leader alone would cost half of the fleet. One silent
/// machine among others that send heartbeats is lost and returned.
#[test]
fn a_leader_without_heartbeats_keeps_its_machines_but_a_silent_machine_is_returned() {
    for all_silent in [true, false] {
        let mut store = FakeStore::default();
        store.submit(&job("j-1", 30));
        let mut leader = store.elect("n0", 0.0);
        let mut workers: Vec<FakeWorker> = (0..8)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        // The workers' last heartbeats are spread over a heartbeat interval.
        for round in 0..5 {
            for (i, worker) in workers.iter_mut().enumerate() {
                let now = f64::from(round) * 3.0 + i as f64 * 0.35;
                worker.send_heartbeat(&mut leader, now);
                leader.record_worker_contact(now);
            }
            store.schedule_and_write(&mut leader, f64::from(round) * 3.0 + 2.9);
        }
        let mut returned = Vec::new();
        for step in 0..40 {
            let now = 15.0 + f64::from(step) * 0.3;
            if !all_silent {
                for worker in &mut workers[1..] {
                    worker.send_heartbeat(&mut leader, now);
                    leader.record_worker_contact(now);
                }
            }
            leader.maintain_fleet(now);
            returned.extend(fail_cloud_calls_until_deletion(&mut leader, now));
        }
        returned.dedup();
        assert_eq!(returned.is_empty(), all_silent, "{returned:?}");
        assert!(all_silent || returned == ["i-0"], "{returned:?}");
    }
}

/// A network partition may delay a heartbeat until after its machine was returned to the cloud. If the leader added the
/// machine again, it would count a machine that no longer exists, and return it once more.
#[test]
fn a_late_heartbeat_does_not_restore_a_returned_machine() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    let late_heartbeat = worker.next();
    let names = vec!["i-1".to_owned()];
    leader.on_cloud_answer(CloudCall::Delete(names), CloudAnswer::Deleted, 5.0);
    assert!(leader.fleet.find("i-1").is_none());
    assert_eq!(
        leader.on_heartbeat(&late_heartbeat, HeartbeatOrigin::Periodic, 20.0),
        None
    );
    assert!(leader.fleet.find("i-1").is_none());
}

/// A new leader learns of a machine by its heartbeat, which doesn't show when the machine was rented. If the machine
/// counted as newly rented, surplus machines would be kept for another minute after each failover. The cloud's machine
/// list shows how long the machine has been held.
#[test]
fn a_new_leader_takes_the_age_of_a_surplus_machine_from_the_machine_list() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n1", 100.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 101.0);
    let listed = r#"[{"Uid":"i-1","Addr":"127.0.0.1:9","Rig":"small","Yard":"north","Loaner":false,
        "Status":"running","HeldS":300.0}]"#;
    let call = CloudCall::List {
        after: String::new(),
    };
    let answer = CloudAnswer::List(serde_json::from_str(listed).unwrap(), false);
    leader.on_cloud_answer(call, answer, 102.0);
    let mut returned = Vec::new();
    for now in 102..125 {
        worker.send_heartbeat(&mut leader, f64::from(now));
        leader.record_worker_contact(f64::from(now));
        leader.maintain_fleet(f64::from(now));
        returned.extend(fail_cloud_calls_until_deletion(&mut leader, f64::from(now)));
    }
    assert!(returned.contains(&"i-1".to_owned()));
}

/// A machine's heartbeats arrive, but the leader's replies don't reach its worker. Tasks assigned to the machine would
/// never start; the leader must assign none and return the machine.
#[test]
fn an_unresponsive_machine_gets_no_tasks_and_is_returned() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 2));
    let mut leader = store.elect("n0", 0.0);
    let mut others: Vec<FakeWorker> = (1..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let mut unresponsive = FakeWorker::new("i-9", "small", "north");
    exchange_heartbeats(&mut unresponsive, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    unresponsive.send_heartbeat(&mut leader, 1.5);
    assert_eq!(unresponsive.running().len(), 2);
    // From now on the worker gets no replies and tries all controllers one after the other, so that this leader
    // receives every second heartbeat. Later its agent epoch ends, and with it the two tasks.
    let mut now = 3.0;
    let mut returned = Vec::new();
    let mut agent_epochs = 1;
    while returned.is_empty() {
        now += 5.0;
        assert!(now < 60.0);
        if now > 20.0 && agent_epochs == 1 {
            agent_epochs = 2;
            unresponsive.heartbeat.agent_epoch = 2;
            unresponsive.heartbeat.tasks.clear();
        }
        unresponsive.heartbeat.sequence += 2;
        leader.on_heartbeat(
            &unresponsive.heartbeat.clone(),
            HeartbeatOrigin::Periodic,
            now,
        );
        for worker in &mut others {
            worker.send_heartbeat(&mut leader, now);
        }
        leader.record_worker_contact(now);
        store.schedule_and_write(&mut leader, now);
        leader.maintain_fleet(now);
        let machine = &leader.fleet.machines[&leader.fleet.find("i-9").unwrap()];
        let is_reported = |attempt: &TaskAttempt| attempt.state.is_some();
        assert!(machine.attempts.values().all(is_reported), "new tasks");
        returned = fail_cloud_calls_until_deletion(&mut leader, now);
        returned.retain(|name| name == "i-9");
    }
    assert!(now < 30.0, "{now}");
}

/// The network may deliver a heartbeat twice; a copy of the latest one has the same sequence number. If the reply to
/// the second copy carried launches, nobody would receive them, and the leader would take the tasks for launched. A
/// copy from before a launch doesn't list the launched tasks: if the leader took it for new, it would free tasks that
/// are running.
#[test]
fn repeated_and_late_heartbeats_get_no_commands_and_free_no_tasks() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 2));
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    worker.send_heartbeat(&mut leader, 1.0);
    let old_heartbeat = worker.next();
    let mut commands = leader
        .on_heartbeat(&old_heartbeat, HeartbeatOrigin::Periodic, 1.5)
        .unwrap();
    leader.append_reply_commands(&old_heartbeat, &mut commands);
    store.schedule_and_write(&mut leader, 2.0);
    assert_eq!(
        leader.on_heartbeat(&old_heartbeat, HeartbeatOrigin::Periodic, 2.1),
        None
    );
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 2.2)), 2);
    worker.send_heartbeat(&mut leader, 3.0);
    // The copy from before the launch arrives again, also after the worker's lease has expired.
    for now in [4.0, 30.0, 60.0] {
        assert_eq!(
            leader.on_heartbeat(&old_heartbeat, HeartbeatOrigin::Periodic, now),
            None
        );
        assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 2);
    }
    // For a new leader the copy is the first heartbeat of the machine. It shows an older fencing token and frees
    // nothing.
    let mut new = store.elect("n1", 70.0);
    new.on_heartbeat(&old_heartbeat, HeartbeatOrigin::Periodic, 71.0);
    assert_eq!(new.jobs.values().next().unwrap().assigned_tasks, 2);
    store.schedule_and_write(&mut new, 71.5);
    let machine = new.fleet.machines.values().next().unwrap();
    assert_eq!(machine.attempts.len(), 2);
}

/// A machine falls silent after tasks were assigned to it and before their launch was sent. Since no launch was sent,
/// the tasks can't be running there, and need not wait until the worker's lease has expired.
#[test]
fn a_launch_never_sent_to_a_silent_machine_is_placed_elsewhere() {
    let (mut store, mut leader, _silent) = assign_without_launch(&job("j-1", 2));
    let mut other = FakeWorker::new("i-2", "small", "north");
    let mut now = 2.0;
    while other.running().len() < 2 {
        now += 1.0;
        assert!(now < 10.0);
        exchange_heartbeats(&mut other, &mut leader, now);
        leader.expire_leases(now);
        store.schedule_and_write(&mut leader, now);
        other.send_heartbeat(&mut leader, now);
    }
}

/// If one task of a gang fails and the others are only stopped with it, its machine is at fault and must be quarantined
/// by this first failure. In a fleet of 1,500 machines of which 50 fail every task, each of the 50 would otherwise
/// abort two gangs of sixteen before its quarantine, and a job that fails on three of them would back off as if it were
/// at fault itself.
#[test]
fn a_machine_that_fails_one_task_of_a_gang_is_quarantined_at_once() {
    for all_fail in [false, true] {
        let mut store = FakeStore::default();
        store.submit(&gang("j-1", 4));
        let mut leader = store.elect("n0", 0.0);
        let mut workers: Vec<FakeWorker> = (0..5)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for worker in &mut workers {
            exchange_heartbeats(worker, &mut leader, 1.0);
        }
        store.schedule_and_write(&mut leader, 1.0);
        for worker in &mut workers {
            worker.send_heartbeat(&mut leader, 2.0);
            worker.send_heartbeat(&mut leader, 2.5);
        }
        for (i, worker) in workers.iter_mut().enumerate() {
            for task in worker.running() {
                let failed = all_fail || i == 0;
                worker.exit_task(
                    &task,
                    if failed {
                        ExitReason::Error
                    } else {
                        ExitReason::Peers
                    },
                );
            }
            worker.send_heartbeat(&mut leader, 3.0);
        }
        let quarantined = leader
            .fleet
            .machines
            .values()
            .filter(|machine| machine.quarantined)
            .count();
        assert_eq!(quarantined, usize::from(!all_fail));
        store.schedule_and_write(&mut leader, 3.5);
        let reassigned = leader.jobs.values().next().unwrap().assigned_tasks;
        // A job that fails on all machines backs off; any other one is assigned to the remaining machines.
        assert_eq!(reassigned, if all_fail { 0 } else { 4 });
    }
}

/// After a process pause of some seconds a controller first reads the few heartbeats that arrived early. The other
/// machines seem silent only because their heartbeats were not read yet; they must not be returned as lost.
#[test]
fn a_process_pause_of_the_leader_does_not_count_as_silence_of_the_machines() {
    for (paused, expected) in [(true, 0), (false, 3)] {
        let mut store = FakeStore::default();
        let mut leader = store.elect("n0", 0.0);
        let mut workers: Vec<FakeWorker> = (0..8)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for worker in &mut workers {
            exchange_heartbeats(worker, &mut leader, 1.0);
        }
        if paused {
            let (until, length_s) = (9.5, 8.0);
            leader.record_pause(ProcessPause { until, length_s });
        }
        for worker in &mut workers[3..] {
            worker.send_heartbeat(&mut leader, 9.5);
        }
        leader.record_worker_contact(9.5);
        leader.maintain_fleet(9.5);
        assert_eq!(
            fail_cloud_calls_until_deletion(&mut leader, 9.5).len(),
            expected
        );
    }
}

/// The leader remembers a bounded number of returned machines, the latest ones. If it dropped all names at once when
/// the bound is reached, a late heartbeat of a machine that was just returned would add it to the fleet again.
#[test]
fn the_latest_returned_machines_are_remembered() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    for i in 0..17_000 {
        let names = vec![format!("i-{i}")];
        leader.on_cloud_answer(CloudCall::Delete(names), CloudAnswer::Deleted, 1.0);
    }
    for name in ["i-16999", "i-12000", "i-1000"] {
        let mut worker = FakeWorker::new(name, "small", "north");
        assert!(
            leader
                .on_heartbeat(&worker.next(), HeartbeatOrigin::Periodic, 2.0)
                .is_none()
        );
    }
    assert!(leader.fleet.machines.is_empty());
}

/// Most of a fleet fails at once, as in a wave of spot preemptions. The leader first assumes a fault of its own
/// network, as so few machines send heartbeats. If it kept to that without a time limit, the heartbeats of the
/// remaining machines would never be trusted as evidence, and the lost machines would never be replaced. The limit is
/// twice the time after which a worker's lease has expired.
#[test]
fn machines_that_fail_together_are_returned_after_two_worker_leases() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut workers: Vec<FakeWorker> = (0..5)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    for worker in &mut workers {
        exchange_heartbeats(worker, &mut leader, 1.0);
    }
    let returned_after = 1.0 + 2.0 * leader.config.worker_lease_expiry_s();
    let mut now = 1.0;
    while now < returned_after + 3.0 {
        workers[0].send_heartbeat(&mut leader, now);
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        let returned = fail_cloud_calls_until_deletion(&mut leader, now);
        let expected = if now > returned_after { 4 } else { 0 };
        assert_eq!(returned.len(), expected, "{now}: {returned:?}");
        now += 1.0;
    }
}
