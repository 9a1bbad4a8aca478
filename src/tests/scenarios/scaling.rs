//! Scale out and scale in.

use std::rc::Rc;

use super::{exchange_heartbeats, fail_cloud_calls_until_deletion, gang};
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::leader::Leader;
use crate::protocol::workers::{Command, ExitReason};
use crate::test_support::{FakeStore, FakeWorker, job};

/// A new leader knows neither the machine list nor the workers' heartbeats. If it rented machines for all jobs at once,
/// it would rent a second fleet beside the existing one.
#[test]
fn a_new_leader_rents_no_machines_before_it_knows_the_fleet() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 40));
    let mut leader = store.elect("n1", 100.0);
    // Answers the leader's cloud calls at this moment, with the given machine list; returns the number of rental
    // requests.
    let count_rentals = |leader: &mut Leader, now: f64, listed: &str| {
        leader.maintain_fleet(now);
        let mut rentals = 0;
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(..) => {
                    rentals += 1;
                    CloudAnswer::NoCapacity
                }
                CloudCall::List { .. } => {
                    CloudAnswer::List(serde_json::from_str(listed).unwrap(), false)
                }
                _ => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
        rentals
    };
    let machine = r#"[{"Uid":"i-1","Addr":"127.0.0.1:9","Rig":"big","Yard":"north","Loaner":false,
        "Status":"running","HeldS":300.0}]"#;
    // The listed machine sends no heartbeats. The leader waits for them for 5 s, the lag of the machine list.
    assert_eq!(count_rentals(&mut leader, 100.0, machine), 0);
    assert_eq!(count_rentals(&mut leader, 101.0, machine), 0);
    assert!(count_rentals(&mut leader, 106.0, machine) > 0);

    // With an empty machine list there are no heartbeats to wait for.
    let mut leader = store.elect("n2", 200.0);
    assert_eq!(count_rentals(&mut leader, 200.0, "[]"), 0);
    assert!(count_rentals(&mut leader, 201.0, "[]") > 0);
    // The same holds when the first machines that this leader rented are booting. They send no heartbeats yet, and the
    // remaining rentals must not wait for their heartbeats.
    leader.fleet.get_or_insert("i-9", "north", 201.0);
    store.submit(&job("j-2", 400));
    let stored = store.replica().jobs["j-2"].clone();
    leader.add_stored_job(&"j-2".into(), &stored, 201.5);
    assert!(count_rentals(&mut leader, 202.0, "[]") > 0);
}

/// A pool that rents out fewer machines than requested is exhausted. If the remaining machines were requested from it
/// again, ten more requests would go there, and the requests to other pools would wait for them.
#[test]
fn an_exhausted_pool_is_not_retried_and_other_pools_are_tried_at_once() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 4000);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut leader = store.elect("n0", 0.0);
    let mut requests = Vec::new();
    for step in 0..4 {
        let now = f64::from(step);
        leader.maintain_fleet(now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) if rent.zone == "north" => {
                    requests.push((now, rent.zone.clone()));
                    // The pool has only three machines.
                    let names = ["i-1", "i-2", "i-3"].map(str::to_owned);
                    CloudAnswer::Rented(names.to_vec())
                }
                CloudCall::Rent(rent, _) => {
                    requests.push((now, rent.zone.clone()));
                    CloudAnswer::NoCapacity
                }
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                _ => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
    let count = |zone: &str| requests.iter().filter(|(_, z)| z == zone).count();
    assert_eq!((count("north"), count("south")), (1, 1), "{requests:?}");
}

/// The demand must be computed from the gang's own task size. By the mean task size of its class, most of whose jobs
/// are small, the gang would fit on one machine; no further machine would be rented and the gang would never start.
#[test]
fn machines_are_rented_for_a_gang_with_larger_tasks_than_its_class_mean() {
    let mut store = FakeStore::default();
    for i in 1..=9 {
        store.submit(&job(&format!("j-{i}"), 1));
    }
    let mut leader = store.elect("n0", 0.0);
    let mut workers = vec![FakeWorker::new("i-1", "small", "north")];
    let mut now = 0.0;
    while store.stored_end("j-10").is_none() {
        now += 3.0;
        assert!(now < 150.0 + 240.0);
        if now == 150.0 {
            store.submit(&gang("j-10", 3));
            let id: Rc<str> = "j-10".into();
            leader.add_stored_job(&id, &store.replica().jobs[&id], now);
        }
        for worker in &mut workers {
            worker.send_heartbeat(&mut leader, now);
            for task in worker.running() {
                worker.exit_task(&task, ExitReason::Done);
            }
        }
        leader.maintain_fleet(now);
        store.schedule_and_write(&mut leader, now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) if rent.type_name == "small" => {
                    let first = workers.len() + 1;
                    let names = (0..rent.count as usize).map(|i| format!("i-{}", first + i));
                    let names: Vec<String> = names.collect();
                    workers.extend(
                        names
                            .iter()
                            .map(|name| FakeWorker::new(name, "small", &rent.zone)),
                    );
                    CloudAnswer::Rented(names)
                }
                CloudCall::Rent(..) => CloudAnswer::NoCapacity,
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Delete(names) => {
                    workers.retain(|worker| !names.contains(&worker.heartbeat.machine));
                    CloudAnswer::Deleted
                }
                CloudCall::MachineTypes => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
}

/// When demand falls, a single long task on each of a hundred machines would keep all of them for minutes. Tasks that
/// save checkpoints can be moved to another machine at little cost, so that most machines can be returned.
#[test]
fn only_checkpointing_tasks_are_evicted_from_a_surplus_machine() {
    for has_checkpoints in [true, false] {
        let mut store = FakeStore::default();
        let mut spec = job("j-1", 8);
        if has_checkpoints {
            (spec.checkpoint_s, spec.save_s) = (30.0, 4.0);
        }
        store.submit(&spec);
        let mut leader = store.elect("n0", 0.0);
        let mut workers: Vec<FakeWorker> = (0..2)
            .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
            .collect();
        for worker in &mut workers {
            exchange_heartbeats(worker, &mut leader, 1.0);
        }
        store.schedule_and_write(&mut leader, 1.0);
        let mut stops = Vec::new();
        for step in 0..300 {
            let now = 2.0 + f64::from(step) * 0.5;
            leader.record_worker_contact(now);
            for worker in &mut workers {
                if step == 2 {
                    // All tasks but one have completed.
                    for task in &worker.running()[1..] {
                        worker.exit_task(task, ExitReason::Done);
                    }
                }
                for command in worker.send_heartbeat(&mut leader, now) {
                    if let Command::Stop { grace_s, .. } = command {
                        stops.push((worker.heartbeat.machine.clone(), grace_s));
                    }
                }
            }
            leader.maintain_fleet(now);
            store.schedule_and_write(&mut leader, now);
            fail_cloud_calls_until_deletion(&mut leader, now);
        }
        if has_checkpoints {
            // Only the task of one machine is evicted, with time to save a checkpoint, and is assigned to the other
            // one.
            assert_eq!(stops.len(), 1, "{stops:?}");
            assert_eq!(stops[0].1, 4.0);
            let kept = workers
                .iter()
                .find(|worker| worker.heartbeat.machine != stops[0].0)
                .unwrap();
            assert_eq!(kept.running().len(), 2);
        } else {
            assert!(stops.is_empty(), "{stops:?}");
        }
    }
}

/// A gang that must be spread over zones can't run on the machines of one zone, even if their free capacity suffices.
/// If the demand counted only the capacity, no machine would be rented in another zone and the gang would never start.
#[test]
fn machines_in_a_second_zone_are_rented_for_a_gang_that_must_be_spread() {
    let mut store = FakeStore::default();
    store.submit(&job("j-0", 1));
    let mut spec = gang("j-1", 4);
    (spec.spread, spec.cpus) = (true, 2.0);
    store.submit(&spec);
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    let mut zones = std::collections::BTreeSet::new();
    for step in 1..300 {
        let now = f64::from(step);
        worker.send_heartbeat(&mut leader, now);
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
