//! Placement order and choice of machines.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::{count_starts, exchange_heartbeats, gang, returned_machines};
use crate::config::Objective;
use crate::fleet::{AttemptKey, MachineRole};
use crate::leader::Leader;
use crate::protocol::users::{Priority, Submission};
use crate::protocol::workers::ExitReason;
use crate::test_support::{FakeStore, FakeWorker, job};

/// After a failover machines that ran gangs once counted as shared ones and were drained, while other gangs waited.
#[test]
fn a_new_leader_keeps_machines_of_large_tasks_for_large_tasks() {
    let mut store = FakeStore::default();
    let mut large = gang("j-1", 1);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut old = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut old, 1.0);
    store.schedule_and_write(&mut old, 2.0);
    w.send_heartbeat(&mut old, 3.0);
    store.submit(&job("j-2", 8));
    let mut new = store.elect("n1", 10.0);
    exchange_heartbeats(&mut w, &mut new, 11.0);
    new.maintain_fleet(11.0);
    store.schedule_and_write(&mut new, 11.0);
    // There is room for one small task beside the gang's, but not for it.
    assert_eq!(count_starts(&w.send_heartbeat(&mut new, 12.0)), 0);
    let m = new.fleet.machines.values().next().unwrap();
    assert_eq!((m.role, m.draining), (MachineRole::Large, false));
}

#[test]
fn urgent_large_tasks_preempt_when_no_machine_can_be_rented() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 4));
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    w.send_heartbeat(&mut leader, 2.0);
    w.send_heartbeat(&mut leader, 2.5);
    assert_eq!(w.running().len(), 4);
    let mut urgent = gang("j-2", 1);
    urgent.priority = Priority::High;
    urgent.types = Some(vec!["small".into()]);
    store.submit(&urgent);
    let view = store.replica();
    let id = "j-2".into();
    leader.add_stored_job(&id, &view.jobs["j-2"], 3.0);
    let mut now = 3.0;
    while w.running() != ["j-2/0"] {
        now += 1.0;
        assert!(now < 20.0, "{:?}", w.running());
        leader.maintain_fleet(now);
        returned_machines(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        w.send_heartbeat(&mut leader, now);
    }
    // The preempted tasks are not lost: they are pending.
    assert_eq!(
        leader.jobs[&leader.job_index("j-1").unwrap()].pending_tasks(),
        4
    );
}

#[test]
fn jobs_that_can_meet_their_objective_precede_late_ones() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let late = job("j-1", 1);
    let fresh = job("j-2", 1);
    store.submit(&late);
    store.submit(&fresh);
    let mut view = store.replica();
    for (id, seen) in [("j-1", 1.0), ("j-2", 90.0)] {
        view.jobs.get_mut(id).unwrap().submitted_at = Some(seen);
        leader.add_stored_job(&id.into(), &view.jobs[id], 100.0);
    }
    let names = |leader: &Leader, now| -> Vec<String> {
        let order = leader.scheduling_order(now);
        order
            .iter()
            .map(|index| leader.jobs[index].id.to_string())
            .collect()
    };
    assert_eq!(names(&leader, 100.0), ["j-2", "j-1"]);
    // Not for ever: late jobs become due again.
    assert_eq!(names(&leader, 175.0), ["j-1", "j-2"]);
}

#[test]
fn a_burst_of_one_class_delays_that_class_only() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut w, &mut leader, 1.0);
    for i in 0..200 {
        let mut one = job(&format!("j-{i}"), 50);
        one.class = "crowd".into();
        store.submit(&one);
    }
    let mut other = job("j-900", 1);
    other.priority = Priority::High;
    store.submit(&other);
    let view = store.replica();
    for (id, stored) in &view.jobs {
        leader.add_stored_job(id, stored, 2.0);
    }
    store.schedule_and_write(&mut leader, 2.0);
    let commands = w.send_heartbeat(&mut leader, 2.5);
    assert_eq!(count_starts(&commands), 4);
    assert!(w.running().contains(&"j-900/0".to_string()));
    // Nothing is bound beyond what machines have room for.
    let bound: u32 = leader.jobs.values().map(|j| j.assigned_tasks).sum();
    assert_eq!(bound, 4);
}

/// Gangs that need most machines were once starved by smaller ones that took each machine as it came free.
#[test]
fn a_large_gang_is_not_starved_by_small_ones() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut ws: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let enter = |store: &mut FakeStore, leader: &mut Leader, spec: Submission, now: f64| {
        store.submit(&spec);
        let stored = store.replica().jobs[spec.id.as_str()].clone();
        leader.add_stored_job(&spec.id.as_str().into(), &stored, now);
    };
    let only = |spec: Submission| Submission {
        types: Some(vec!["small".into()]),
        ..spec
    };
    let mut now = 0.0;
    let mut next = 0;
    let mut whole = None;
    while whole.is_none() {
        now += 3.0;
        assert!(now < 15.0 + 240.0, "the large gang starves");
        // A small gang is always pending.
        for _ in 0..2 {
            next += 1;
            enter(
                &mut store,
                &mut leader,
                only(gang(&format!("j-{next}"), 1)),
                now,
            );
        }
        if next == 10 {
            // The large gang is submitted at 15 s.
            enter(&mut store, &mut leader, only(gang("j-5000", 4)), now);
        }
        leader.maintain_fleet(now);
        returned_machines(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        // Each runs for six rounds, and they end one after the other.
        for (i, w) in ws.iter_mut().enumerate() {
            if (now / 3.0) as usize % 6 == i {
                for task in w.running().iter().filter(|t| !t.starts_with("j-5000")) {
                    w.exit_task(task, ExitReason::Done);
                }
            }
            w.send_heartbeat(&mut leader, now + 0.5);
        }
        let large = |w: &FakeWorker| w.running().iter().any(|t| t.starts_with("j-5000"));
        whole = ws.iter().all(large).then_some(now);
    }
}

fn order_of(leader: &Leader, now: f64) -> Vec<String> {
    let order = leader.scheduling_order(now);
    let id = |index| leader.jobs[index].id.to_string();
    order.iter().map(id).collect()
}

/// Objectives measured by a job's own deadline were once skipped, and such jobs had no due time.
#[test]
fn jobs_are_ordered_by_deadline_and_small_ones_come_slightly_earlier() {
    let mut store = FakeStore::default();
    let deadline = |id, deadline_s| Submission {
        class: "lists".into(),
        team: "red".into(),
        deadline_s,
        ..job(id, 1)
    };
    store.submit(&deadline("j-1", None));
    store.submit(&deadline("j-2", Some(200.0)));
    store.submit(&deadline("j-3", Some(90.0)));
    store.submit(&Submission {
        tasks: 40,
        ..deadline("j-4", Some(90.0))
    });
    let mut leader = store.elect("n0", 0.0);
    let mut config = (*leader.config).clone();
    config.deployment.objectives = [(1.0, 0.9), (1.5, 0.98)]
        .map(|(times, share)| Objective {
            kind: crate::config::ObjectiveKind::Deadline,
            class: Some("lists".into()),
            within_s: None,
            share: Some(share),
            times: Some(times),
        })
        .into();
    leader.config = Rc::new(config);
    let mut w = FakeWorker::new("i-1", "big", "north");
    exchange_heartbeats(&mut w, &mut leader, 0.5);
    // A job without a deadline has no due time; a large one is overtaken, but not by one that is due more than a
    // minute later.
    assert_eq!(order_of(&leader, 1.0), ["j-1", "j-3", "j-4", "j-2"]);
    // The first objective of j-3 can no longer be met, the second can.
    assert_eq!(order_of(&leader, 80.0)[1], "j-3");
}

fn with_image(id: &str, tasks: u32, image: &str) -> Submission {
    Submission {
        image: image.into(),
        image_gb: 8.0,
        ..job(id, tasks)
    }
}

/// The machines that tasks of a job are on.
fn machines_of(leader: &Leader, id: &str) -> Vec<String> {
    let index = leader.job_index(id).unwrap();
    let on =
        |attempts: &BTreeMap<AttemptKey, _>| attempts.keys().any(|k: &AttemptKey| k.job == index);
    let machines = leader.fleet.machines.values().filter(|m| on(&m.attempts));
    machines.map(|m| m.name.to_string()).collect()
}

/// A job's tasks once went to as many machines as there were, each machine fetched a dozen images at once, and most
/// of a full fleet was held by tasks that waited for their image.
#[test]
fn tasks_are_placed_where_their_image_is_or_will_be_soon() {
    let mut store = FakeStore::default();
    store.submit(&with_image("j-1", 4, "img-a"));
    let mut leader = store.elect("n0", 0.0);
    let mut ws: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    for w in &mut ws {
        exchange_heartbeats(w, &mut leader, 1.0);
    }
    store.schedule_and_write(&mut leader, 1.0);
    let first = machines_of(&leader, "j-1");
    assert_eq!(first.len(), 1);
    let run = |leader: &mut Leader, ws: &mut [FakeWorker], now: f64| {
        for w in ws.iter_mut() {
            w.send_heartbeat(leader, now);
            w.send_heartbeat(leader, now);
        }
    };
    // Tasks with another image go elsewhere, not behind the fetch in progress.
    let enter = |store: &mut FakeStore, leader: &mut Leader, spec: Submission, now: f64| {
        store.submit(&spec);
        leader.add_stored_job(
            &spec.id.as_str().into(),
            &store.replica().jobs[&*spec.id],
            now,
        );
        store.schedule_and_write(leader, now);
    };
    enter(&mut store, &mut leader, with_image("j-2", 2, "img-b"), 2.0);
    let second = machines_of(&leader, "j-2");
    assert!(second.len() == 1 && second != first, "{second:?}");
    run(&mut leader, &mut ws, 12.0);
    // The machine that has the image precedes others that are as empty or emptier.
    enter(&mut store, &mut leader, with_image("j-3", 1, "img-b"), 12.5);
    assert_eq!(machines_of(&leader, "j-3"), second);
    // It has room for two more tasks; the rest waits a little rather than have the image fetched once more, and does
    // not wait for long.
    enter(&mut store, &mut leader, with_image("j-4", 3, "img-b"), 13.0);
    leader.maintain_fleet(13.0);
    let waits = |leader: &Leader| leader.jobs[&leader.job_index("j-4").unwrap()].pending_tasks();
    assert!(waits(&leader) <= 2);
    run(&mut leader, &mut ws, 22.0);
    leader.maintain_fleet(22.0);
    store.schedule_and_write(&mut leader, 22.0);
    assert_eq!(waits(&leader), 0);
}
