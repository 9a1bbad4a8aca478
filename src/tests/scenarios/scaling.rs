//! Scale out and scale in.

use std::rc::Rc;

use super::{exchange_heartbeats, gang, returned_machines};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::leader::Leader;
use crate::protocol::workers::{Command, ExitReason};
use crate::test_support::{FakeStore, FakeWorker, job};

/// A new leader once rented a second fleet before it knew of the first.
#[test]
fn a_new_leader_rents_nothing_before_it_knows_the_fleet() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 40));
    let mut leader = store.elect("n1", 100.0);
    let rents = |leader: &mut Leader, now: f64, listed: &str| {
        leader.maintain_fleet(now);
        let mut found = 0;
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(..) => {
                    found += 1;
                    CloudAnswer::NoCapacity
                }
                CloudCall::List { .. } => {
                    CloudAnswer::List(serde_json::from_str(listed).unwrap(), false)
                }
                _ => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
        found
    };
    let machine = r#"[{"Uid":"i-1","Addr":"127.0.0.1:9","Rig":"big","Yard":"north","Loaner":false,
        "Status":"running","HeldS":300.0}]"#;
    assert_eq!(rents(&mut leader, 100.0, machine), 0);
    assert_eq!(rents(&mut leader, 101.0, machine), 0);
    assert!(rents(&mut leader, 106.0, machine) > 0);

    // With no machines at all there is nothing to wait for.
    let mut leader = store.elect("n2", 200.0);
    assert_eq!(rents(&mut leader, 200.0, "[]"), 0);
    assert!(rents(&mut leader, 201.0, "[]") > 0);
    // Nor once its own first machines are booting: at a first start the remaining rentals once waited for heartbeats
    // that no machine sent.
    leader.fleet.get_or_insert("i-9", "north", 201.0);
    store.submit(&job("j-2", 400));
    let stored = store.replica().jobs["j-2"].clone();
    leader.add_stored_job(&"j-2".into(), &stored, 201.5);
    assert!(rents(&mut leader, 202.0, "[]") > 0);
}

/// Ten more requests once went to a pool after it had refused: other pools waited for as long.
#[test]
fn a_pool_without_capacity_is_not_retried_for_the_rest_and_other_pools_are_tried_at_once() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 4000);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut leader = store.elect("n0", 0.0);
    let mut asked = Vec::new();
    for step in 0..4 {
        let now = f64::from(step);
        leader.maintain_fleet(now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) if rent.zone == "north" => {
                    asked.push((now, rent.zone.clone()));
                    // The pool has capacity for three.
                    let names = ["i-1", "i-2", "i-3"].map(str::to_owned);
                    CloudAnswer::Rented(names.to_vec())
                }
                CloudCall::Rent(rent, _) => {
                    asked.push((now, rent.zone.clone()));
                    CloudAnswer::NoCapacity
                }
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                _ => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
    let count = |zone: &str| asked.iter().filter(|(_, z)| z == zone).count();
    assert_eq!((count("north"), count("south")), (1, 1), "{asked:?}");
}

/// By the mean task size of its class the gang fitted on one machine, so none was ever rented for it.
#[test]
fn a_gang_larger_than_its_class_mean_gets_its_machines() {
    let mut store = FakeStore::default();
    for i in 1..=9 {
        store.submit(&job(&format!("j-{i}"), 1));
    }
    let mut leader = store.elect("n0", 0.0);
    let mut ws = vec![FakeWorker::new("i-1", "small", "north")];
    let mut now = 0.0;
    while store.stored_end("j-10").is_none() {
        now += 3.0;
        assert!(now < 150.0 + 240.0);
        if now == 150.0 {
            store.submit(&gang("j-10", 3));
            let id: Rc<str> = "j-10".into();
            leader.add_stored_job(&id, &store.replica().jobs[&id], now);
        }
        for w in &mut ws {
            w.send_heartbeat(&mut leader, now);
            for task in w.running() {
                w.exit_task(&task, ExitReason::Done);
            }
        }
        leader.maintain_fleet(now);
        store.schedule_and_write(&mut leader, now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) if rent.type_name == "small" => {
                    let first = ws.len() + 1;
                    let names = (0..rent.count as usize).map(|i| format!("i-{}", first + i));
                    let names: Vec<String> = names.collect();
                    ws.extend(
                        names
                            .iter()
                            .map(|n| FakeWorker::new(n, "small", &rent.zone)),
                    );
                    CloudAnswer::Rented(names)
                }
                CloudCall::Rent(..) => CloudAnswer::NoCapacity,
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Delete(names) => {
                    ws.retain(|w| !names.contains(&w.heartbeat.machine));
                    CloudAnswer::Deleted
                }
                CloudCall::Types => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
}

/// At the end of a day a single long task on each of a hundred machines held all of them for minutes.
#[test]
fn checkpointing_tasks_are_evicted_from_a_surplus_machine() {
    for saves in [true, false] {
        let mut store = FakeStore::default();
        let mut spec = job("j-1", 8);
        if saves {
            (spec.checkpoint_s, spec.save_s) = (30.0, 4.0);
        }
        store.submit(&spec);
        let mut leader = store.elect("n0", 0.0);
        let mut ws: Vec<FakeWorker> = (0..2)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for w in &mut ws {
            exchange_heartbeats(w, &mut leader, 1.0);
        }
        store.schedule_and_write(&mut leader, 1.0);
        let mut stops = Vec::new();
        for step in 0..300 {
            let now = 2.0 + f64::from(step) * 0.5;
            leader.record_worker_contact(now);
            for w in &mut ws {
                if step == 2 {
                    // All but one have ended.
                    for task in &w.running()[1..] {
                        w.exit_task(task, ExitReason::Done);
                    }
                }
                for command in w.send_heartbeat(&mut leader, now) {
                    if let Command::Stop { grace_s, .. } = command {
                        stops.push((w.heartbeat.machine.clone(), grace_s));
                    }
                }
            }
            leader.maintain_fleet(now);
            store.schedule_and_write(&mut leader, now);
            returned_machines(&mut leader, now);
        }
        if saves {
            // Tasks of one machine only are evicted, with time to save; the other machine takes them.
            assert_eq!(stops.len(), 1, "{stops:?}");
            assert_eq!(stops[0].1, 4.0);
            let stayed = ws
                .iter()
                .find(|w| w.heartbeat.machine != stops[0].0)
                .unwrap();
            assert_eq!(stayed.running().len(), 2);
        } else {
            assert!(stops.is_empty(), "{stops:?}");
        }
    }
}

/// By CPUs alone a gang that must be spread over zones has room on the machines of one zone: it once waited for ever.
#[test]
fn a_gang_that_must_be_spread_has_machines_rented_in_two_zones() {
    let mut store = FakeStore::default();
    store.submit(&job("j-0", 1));
    let mut spread = gang("j-1", 4);
    (spread.spread, spread.cpus) = (true, 2.0);
    store.submit(&spread);
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    let mut zones = std::collections::BTreeSet::new();
    for step in 1..300 {
        let now = f64::from(step);
        w.send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        leader.maintain_fleet(now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Rent(rent, _) => {
                    zones.insert(rent.zone.clone());
                    CloudAnswer::NoCapacity
                }
                _ => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
    assert!(zones.contains("south"), "{zones:?}");
}
