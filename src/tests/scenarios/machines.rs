//! Machines that are silent, unresponsive, faulty or returned.

use super::{count_starts, exchange_heartbeats, gang, returned_machines, store_with_placed_job};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::fleet::HeartbeatOrigin;
use crate::protocol::workers::ExitReason;
use crate::runtime::ProcessPause;
use crate::test_support::{FakeStore, FakeWorker, job};

#[test]
fn a_machine_with_repeated_failures_is_quarantined_but_not_for_one_bad_job() {
    let mut store = FakeStore::default();
    for i in 1..=3 {
        store.submit(&job(&format!("j-{i}"), 1));
    }
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 1.0);
    let mut now = 1.0;
    for _ in 0..30 {
        now += 3.0;
        store.schedule_and_write(&mut leader, now);
        w.send_heartbeat(&mut leader, now);
        for task in w.running() {
            w.exit_task(&task, ExitReason::Error);
        }
        w.send_heartbeat(&mut leader, now);
    }
    let m = leader.fleet.machines.values().next().unwrap();
    assert!(m.quarantined);

    let mut store = FakeStore::default();
    store.submit(&job("j-9", 1));
    let mut leader = store.elect("n0", 0.0);
    let mut ws: Vec<FakeWorker> = (0..6)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let mut now = 1.0;
    for _ in 0..40 {
        now += 3.0;
        for w in &mut ws {
            w.send_heartbeat(&mut leader, now);
            for task in w.running() {
                w.exit_task(&task, ExitReason::Error);
            }
        }
        store.schedule_and_write(&mut leader, now);
    }
    assert!(leader.fleet.machines.values().all(|m| !m.quarantined));
}

/// A leader that could reach no worker once returned half of its machines as lost.
#[test]
fn a_leader_without_heartbeats_keeps_its_machines_but_a_silent_machine_is_returned() {
    for deaf in [true, false] {
        let mut store = FakeStore::default();
        store.submit(&job("j-1", 30));
        let mut leader = store.elect("n0", 0.0);
        let mut workers: Vec<FakeWorker> = (0..8)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        // Their last heartbeats are spread over an interval.
        for round in 0..5 {
            for (i, w) in workers.iter_mut().enumerate() {
                let now = f64::from(round) * 3.0 + i as f64 * 0.35;
                w.send_heartbeat(&mut leader, now);
                leader.record_worker_contact(now);
            }
            store.schedule_and_write(&mut leader, f64::from(round) * 3.0 + 2.9);
        }
        let mut gone = Vec::new();
        for step in 0..40 {
            let now = 15.0 + f64::from(step) * 0.3;
            if !deaf {
                for w in &mut workers[1..] {
                    w.send_heartbeat(&mut leader, now);
                    leader.record_worker_contact(now);
                }
            }
            leader.maintain_fleet(now);
            gone.extend(returned_machines(&mut leader, now));
        }
        gone.dedup();
        assert_eq!(gone.is_empty(), deaf, "{gone:?}");
        assert!(deaf || gone == ["i-0"], "{gone:?}");
    }
}

/// Heartbeats delayed by a network partition once brought back machines that had been deleted.
#[test]
fn a_late_heartbeat_does_not_restore_a_returned_machine() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 1.0);
    let late = w.next();
    let names = vec!["i-1".to_owned()];
    leader.on_cloud_answer(CloudCall::Delete(names), CloudAnswer::Deleted, 5.0);
    assert!(leader.fleet.find("i-1").is_none());
    assert_eq!(
        leader.on_heartbeat(&late, HeartbeatOrigin::Periodic, 20.0),
        None
    );
    assert!(leader.fleet.find("i-1").is_none());
}

/// After each failover surplus machines were once kept a minute longer, as if just rented.
#[test]
fn the_machine_list_dates_the_rental_of_a_machine_known_by_heartbeat() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n1", 100.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 101.0);
    let listed = r#"[{"Uid":"i-1","Addr":"127.0.0.1:9","Rig":"small","Yard":"north","Loaner":false,
        "Status":"running","HeldS":300.0}]"#;
    let call = CloudCall::List {
        after: String::new(),
    };
    let answer = CloudAnswer::List(serde_json::from_str(listed).unwrap(), false);
    leader.on_cloud_answer(call, answer, 102.0);
    let mut gone = Vec::new();
    for now in 102..125 {
        w.send_heartbeat(&mut leader, f64::from(now));
        leader.record_worker_contact(f64::from(now));
        leader.maintain_fleet(f64::from(now));
        gone.extend(returned_machines(&mut leader, f64::from(now)));
    }
    assert!(gone.contains(&"i-1".to_owned()));
}

/// Its heartbeats arrive, our replies don't reach it: it must not be given tasks, and it must be returned.
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
    // From now on it tries all controllers in turn, and its agent epoch ends.
    let mut now = 3.0;
    let mut gone = Vec::new();
    let mut agent_epochs = 1;
    while gone.is_empty() {
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
        for w in &mut others {
            w.send_heartbeat(&mut leader, now);
        }
        leader.record_worker_contact(now);
        store.schedule_and_write(&mut leader, now);
        leader.maintain_fleet(now);
        let m = &leader.fleet.machines[&leader.fleet.find("i-9").unwrap()];
        assert!(m.attempts.values().all(|s| s.state.is_some()), "new work");
        gone = returned_machines(&mut leader, now);
        gone.retain(|name| name == "i-9");
    }
    assert!(now < 30.0, "{now}");
}

/// A copy of the newest heartbeat has the same sequence number; its reply once carried launches that nobody received.
#[test]
fn late_copies_of_heartbeats_get_no_commands_and_free_nothing() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 2));
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    w.send_heartbeat(&mut leader, 1.0);
    let old = w.next();
    let mut commands = leader
        .on_heartbeat(&old, HeartbeatOrigin::Periodic, 1.5)
        .unwrap();
    leader.append_reply_commands(&old, &mut commands);
    store.schedule_and_write(&mut leader, 2.0);
    assert_eq!(
        leader.on_heartbeat(&old, HeartbeatOrigin::Periodic, 2.1),
        None
    );
    assert_eq!(count_starts(&w.send_heartbeat(&mut leader, 2.2)), 2);
    w.send_heartbeat(&mut leader, 3.0);
    // Long after a lease, the copy from before the launch arrives.
    for now in [4.0, 30.0, 60.0] {
        assert_eq!(
            leader.on_heartbeat(&old, HeartbeatOrigin::Periodic, now),
            None
        );
        assert_eq!(leader.jobs.values().next().unwrap().assigned_tasks, 2);
    }
    // A new leader receives the copy first: it shows an older fencing token and frees nothing.
    let mut new = store.elect("n1", 70.0);
    new.on_heartbeat(&old, HeartbeatOrigin::Periodic, 71.0);
    assert_eq!(new.jobs.values().next().unwrap().assigned_tasks, 2);
    store.schedule_and_write(&mut new, 71.5);
    let m = new.fleet.machines.values().next().unwrap();
    assert_eq!(m.attempts.len(), 2);
}

/// Tasks bound to a machine that fell silent before their launch was sent once waited for its whole lease.
#[test]
fn a_launch_never_sent_to_a_silent_machine_is_placed_elsewhere() {
    let (mut store, mut leader, _silent) = store_with_placed_job(&job("j-1", 2));
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

/// Of 1,500 machines 50 failed all that they started; each broke two gangs of sixteen before it was quarantined, and
/// jobs that met three of them backed off as if they were at fault.
#[test]
fn a_machine_that_fails_one_task_of_a_gang_is_quarantined_at_once() {
    for all in [false, true] {
        let mut store = FakeStore::default();
        store.submit(&gang("j-1", 4));
        let mut leader = store.elect("n0", 0.0);
        let mut ws: Vec<FakeWorker> = (0..5)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for w in &mut ws {
            exchange_heartbeats(w, &mut leader, 1.0);
        }
        store.schedule_and_write(&mut leader, 1.0);
        for w in &mut ws {
            w.send_heartbeat(&mut leader, 2.0);
            w.send_heartbeat(&mut leader, 2.5);
        }
        for (i, w) in ws.iter_mut().enumerate() {
            for task in w.running() {
                let failed = all || i == 0;
                w.exit_task(
                    &task,
                    if failed {
                        ExitReason::Error
                    } else {
                        ExitReason::Peers
                    },
                );
            }
            w.send_heartbeat(&mut leader, 3.0);
        }
        let suspects = leader
            .fleet
            .machines
            .values()
            .filter(|m| m.quarantined)
            .count();
        assert_eq!(suspects, usize::from(!all));
        store.schedule_and_write(&mut leader, 3.5);
        let again = leader.jobs.values().next().unwrap().assigned_tasks;
        // A job that fails everywhere backs off; another continues on the machines that are left.
        assert_eq!(again, if all { 0 } else { 4 });
    }
}

/// After a process pause of some seconds a controller receives first the few heartbeats that came early. The others
/// were silent only because it did not read: their machines were once returned as lost.
#[test]
fn a_process_pause_of_the_leader_is_no_silence_of_the_machines() {
    for (paused, expected) in [(true, 0), (false, 3)] {
        let mut store = FakeStore::default();
        let mut leader = store.elect("n0", 0.0);
        let mut ws: Vec<FakeWorker> = (0..8)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for w in &mut ws {
            exchange_heartbeats(w, &mut leader, 1.0);
        }
        if paused {
            let (until, length_s) = (9.5, 8.0);
            leader.record_pause(ProcessPause { until, length_s });
        }
        for w in &mut ws[3..] {
            w.send_heartbeat(&mut leader, 9.5);
        }
        leader.record_worker_contact(9.5);
        leader.maintain_fleet(9.5);
        assert_eq!(returned_machines(&mut leader, 9.5).len(), expected);
    }
}

/// After thousands of returns all of them were once forgotten together, and a late heartbeat of a machine just
/// returned brought it back.
#[test]
fn the_machines_returned_last_are_remembered() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    for i in 0..17_000 {
        let names = vec![format!("i-{i}")];
        leader.on_cloud_answer(CloudCall::Delete(names), CloudAnswer::Deleted, 1.0);
    }
    for name in ["i-16999", "i-12000", "i-1000"] {
        let mut ghost = FakeWorker::new(name, "small", "north");
        assert!(
            leader
                .on_heartbeat(&ghost.next(), HeartbeatOrigin::Periodic, 2.0)
                .is_none()
        );
    }
    assert!(leader.fleet.machines.is_empty());
}

/// Most of a fleet failed at once, as in a wave of spot preemptions. The leader attributed the silence to itself for
/// ever: the machines left were never trusted, nor the others replaced.
#[test]
fn machines_that_fail_together_are_returned_in_the_end() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut ws: Vec<FakeWorker> = (0..5)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    for w in &mut ws {
        exchange_heartbeats(w, &mut leader, 1.0);
    }
    let after = 1.0 + 2.0 * leader.config.worker_lease_expiry_s();
    let mut now = 1.0;
    while now < after + 3.0 {
        ws[0].send_heartbeat(&mut leader, now);
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        let gone = returned_machines(&mut leader, now);
        let expected = if now > after { 4 } else { 0 };
        assert_eq!(gone.len(), expected, "{now}: {gone:?}");
        now += 1.0;
    }
}
