//! What is placed first, and where.

use super::{gang, meet, returned, starts};
use crate::fleet::Role;
use crate::lead::Lead;
use crate::testing::{FakeStore, FakeWorker, job};
use crate::wire::{Priority, Submission, Why};

/// After a takeover machines that ran gangs once counted as shared ones and were drained, while
/// other gangs waited.
#[test]
fn a_new_leader_keeps_machines_of_large_work_for_large_work() {
    let mut store = FakeStore::default();
    let mut large = gang("j-1", 1);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut old = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    meet(&mut w, &mut old, 1.0);
    store.settle(&mut old, 2.0);
    w.checkin(&mut old, 3.0);
    store.submit(&job("j-2", 8));
    let mut new = store.elect("n1", 10.0);
    meet(&mut w, &mut new, 11.0);
    new.tend(11.0);
    store.settle(&mut new, 11.0);
    // There is room for one small task beside the gang's, but not for it.
    assert_eq!(starts(&w.checkin(&mut new, 12.0)), 0);
    let m = new.fleet.machines.values().next().unwrap();
    assert_eq!((m.role, m.draining), (Role::Large, false));
}

#[test]
fn urgent_large_work_makes_room_when_no_machine_can_be_had() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 4));
    let mut lead = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    meet(&mut w, &mut lead, 1.0);
    store.settle(&mut lead, 1.0);
    w.checkin(&mut lead, 2.0);
    w.checkin(&mut lead, 2.5);
    assert_eq!(w.running().len(), 4);
    let mut urgent = gang("j-2", 1);
    urgent.priority = Priority::High;
    urgent.types = Some(vec!["small".into()]);
    store.submit(&urgent);
    let view = store.view();
    let id = "j-2".into();
    lead.enter_job(&id, &view.jobs["j-2"], 3.0);
    let mut now = 3.0;
    while w.running() != ["j-2/0"] {
        now += 1.0;
        assert!(now < 20.0, "{:?}", w.running());
        lead.tend(now);
        returned(&mut lead, now);
        store.settle(&mut lead, now);
        w.checkin(&mut lead, now);
    }
    // What made way is not lost: it waits.
    assert_eq!(lead.jobs[&lead.job_ix("j-1").unwrap()].pending(), 4);
}

#[test]
fn work_that_can_be_in_time_goes_before_work_that_is_late() {
    let mut store = FakeStore::default();
    let mut lead = store.elect("n0", 0.0);
    let late = job("j-1", 1);
    let fresh = job("j-2", 1);
    store.submit(&late);
    store.submit(&fresh);
    let mut view = store.view();
    for (id, seen) in [("j-1", 1.0), ("j-2", 90.0)] {
        view.jobs.get_mut(id).unwrap().seen = Some(seen);
        lead.enter_job(&id.into(), &view.jobs[id], 100.0);
    }
    let names = |lead: &Lead, now| -> Vec<String> {
        let order = lead.order(now);
        order
            .iter()
            .map(|ix| lead.jobs[ix].id.to_string())
            .collect()
    };
    assert_eq!(names(&lead, 100.0), ["j-2", "j-1"]);
    // Not for ever: late work becomes due again.
    assert_eq!(names(&lead, 175.0), ["j-1", "j-2"]);
}

#[test]
fn a_crowd_of_one_class_holds_back_that_class_only() {
    let mut store = FakeStore::default();
    let mut lead = store.elect("n0", 0.0);
    let mut w = FakeWorker::new("i-1", "small", "north");
    meet(&mut w, &mut lead, 1.0);
    for i in 0..200 {
        let mut one = job(&format!("j-{i}"), 50);
        one.class = "crowd".into();
        store.submit(&one);
    }
    let mut other = job("j-900", 1);
    other.priority = Priority::High;
    store.submit(&other);
    let view = store.view();
    for (id, stored) in &view.jobs {
        lead.enter_job(id, stored, 2.0);
    }
    store.settle(&mut lead, 2.0);
    let commands = w.checkin(&mut lead, 2.5);
    assert_eq!(starts(&commands), 4);
    assert!(w.running().contains(&"j-900/0".to_string()));
    // Nothing is bound beyond what machines have room for.
    let bound: u32 = lead.jobs.values().map(|j| j.bound).sum();
    assert_eq!(bound, 4);
}

/// Gangs that need most machines once waited behind smaller ones that took each as it came free.
#[test]
fn a_large_gang_is_not_starved_by_small_ones() {
    let mut store = FakeStore::default();
    let mut lead = store.elect("n0", 0.0);
    let mut ws: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let enter = |store: &mut FakeStore, lead: &mut Lead, spec: Submission, now: f64| {
        store.submit(&spec);
        let stored = store.view().jobs[spec.id.as_str()].clone();
        lead.enter_job(&spec.id.as_str().into(), &stored, now);
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
        // There is always a small gang waiting.
        for _ in 0..2 {
            next += 1;
            enter(
                &mut store,
                &mut lead,
                only(gang(&format!("j-{next}"), 1)),
                now,
            );
        }
        if next == 10 {
            // At 15 s.
            enter(&mut store, &mut lead, only(gang("j-5000", 4)), now);
        }
        lead.tend(now);
        returned(&mut lead, now);
        store.settle(&mut lead, now);
        // Each runs for six rounds, and they end one after the other.
        for (i, w) in ws.iter_mut().enumerate() {
            if (now / 3.0) as usize % 6 == i {
                for task in w.running().iter().filter(|t| !t.starts_with("j-5000")) {
                    w.end(task, Why::Done);
                }
            }
            w.checkin(&mut lead, now + 0.5);
        }
        let large = |w: &FakeWorker| w.running().iter().any(|t| t.starts_with("j-5000"));
        whole = ws.iter().all(large).then_some(now);
    }
}
