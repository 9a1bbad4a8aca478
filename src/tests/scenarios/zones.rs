//! Partitioned zones and delegations.

use serde_json::value::to_raw_value;

use super::returned_machines;
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::fleet::HeartbeatOrigin;
use crate::leader::Leader;
use crate::protocol::store::{Change, Condition, Txn};
use crate::store::keys;
use crate::store::records::{DelegationRecord, JobAssignments, RelayRecord, TaskRange};
use crate::store::transaction::TxnOutcome;
use crate::test_support::{FakeStore, FakeWorker, job};

/// While a zone was partitioned, all machines lost there were once rented there again, as it now had the fewest; they
/// booted and could not be reached for the whole time.
#[test]
fn nothing_is_rented_in_a_partitioned_zone() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 200);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut leader = store.elect("n0", 0.0);
    let worker = |i: usize, zone| FakeWorker::new(&format!("i-{i}"), "small", zone);
    let mut north: Vec<FakeWorker> = (0..14).map(|i| worker(i, "north")).collect();
    let mut south: Vec<FakeWorker> = (14..28).map(|i| worker(i, "south")).collect();
    let mut zones = Vec::new();
    let mut lost = Vec::new();
    for step in 0..120 {
        let now = 1.0 + f64::from(step);
        for w in &mut north {
            w.send_heartbeat(&mut leader, now);
        }
        if now < 20.0 {
            for w in &mut south {
                w.send_heartbeat(&mut leader, now);
            }
        }
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) => {
                    if now > 24.0 && lost.is_empty() {
                        zones.push(rent.zone.clone());
                    }
                    CloudAnswer::NoCapacity
                }
                CloudCall::Delete(names) => {
                    lost.extend(names.iter().map(|_| now));
                    CloudAnswer::Deleted
                }
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Types => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
    // They are kept for a while: most partitions end before replacements would be up.
    assert_eq!(lost.len(), 14);
    let kept = 20.0 + 2.5 * 30.0;
    assert!(lost.iter().all(|at| (*at - kept).abs() < 2.0), "{lost:?}");
    assert!(!zones.is_empty());
    assert!(zones.iter().all(|z| z == "north"), "{zones:?}");
}

/// Two zones of 14 machines with a task on each; no heartbeats come from the south from 10 s on.
fn partitioned_south() -> (FakeStore, Leader, Vec<FakeWorker>, Vec<FakeWorker>) {
    let mut store = FakeStore::default();
    let mut spec = job("j-1", 28);
    spec.cpus = 6.0;
    spec.types = Some(vec!["small".into()]);
    store.submit(&spec);
    let mut leader = store.elect("n0", 0.0);
    let worker = |i: usize, zone| FakeWorker::new(&format!("i-{i:02}"), "small", zone);
    let mut north: Vec<FakeWorker> = (0..14).map(|i| worker(i, "north")).collect();
    let mut south: Vec<FakeWorker> = (14..28).map(|i| worker(i, "south")).collect();
    for step in 0..40 {
        let now = f64::from(step) * 0.25;
        for w in north.iter_mut().chain(&mut south) {
            w.send_heartbeat(&mut leader, now);
        }
        store.schedule_and_write(&mut leader, now);
    }
    assert_eq!(bound_tasks(&leader), 28);
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 10.0, 16.0);
    (store, leader, north, south)
}

/// Only these workers send heartbeats, from one moment to another.
fn send_heartbeats_only_from(
    store: &mut FakeStore,
    leader: &mut Leader,
    ws: &mut [FakeWorker],
    from: f64,
    to: f64,
) {
    let mut now = from;
    while now < to {
        for w in ws.iter_mut() {
            w.send_heartbeat(leader, now);
        }
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        store.schedule_and_write(leader, now);
        returned_machines(leader, now);
        now += 0.5;
    }
}

fn bound_tasks(leader: &Leader) -> u32 {
    leader.jobs.values().map(|j| j.assigned_tasks).sum()
}

fn delegation_record(store: &FakeStore) -> Option<DelegationRecord> {
    let view = store.replica();
    view.delegations.values().next().map(|d| d.record.clone())
}

/// While delegates may reply to the workers of a zone, silence proves nothing about their tasks: these were once
/// about to be started elsewhere while they ran on. That ends a lease after the delegation was taken back.
#[test]
fn nothing_is_freed_for_silence_in_a_delegated_zone() {
    let (mut store, mut leader, mut north, mut south) = partitioned_south();
    let given = delegation_record(&store).expect("no word");
    assert_eq!(
        (given.fencing_token, &*given.zone, given.revoked),
        (leader.fencing_token, "south", false)
    );
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.0, 50.0);
    assert_eq!(bound_tasks(&leader), 28);
    // One machine of the zone replies to the leader again, and sends it heartbeats from then on.
    let heartbeat = south[0].next();
    leader.on_heartbeat(&heartbeat, HeartbeatOrigin::DirectReply, 50.0);
    north.push(south.remove(0));
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 50.2, 52.0);
    assert!(delegation_record(&store).unwrap().revoked);
    let off = leader.config.worker_lease_expiry_s();
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 52.0, 50.0 + off);
    assert_eq!(bound_tasks(&leader), 28);
    // The tasks of machines that never came back are free then.
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 50.0 + off, 55.0 + off);
    assert_eq!(bound_tasks(&leader), 15);
}

/// A delegation is written at most twice, and a late copy of either write changes nothing.
#[test]
fn a_late_copy_of_a_delegation_write_changes_nothing() {
    let (mut store, mut leader, mut north, mut south) = partitioned_south();
    let (key, delegation) = store.replica().delegations.into_iter().next().unwrap();
    let record = delegation.record;
    let put = |record: &DelegationRecord| Change::Put {
        key: key.clone(),
        value: to_raw_value(record).unwrap(),
        lease: None,
    };
    let condition = |key: String, revision| Condition { key, revision };
    let given = Txn {
        conditions: vec![
            condition(keys::leader(), leader.fencing_token),
            condition(key.clone(), 0),
        ],
        changes: vec![put(&record)],
    };
    assert!(matches!(store.apply(&given), TxnOutcome::Conflict(_)));
    leader.on_heartbeat(&south[0].next(), HeartbeatOrigin::DirectReply, 16.0);
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.2, 18.0);
    assert!(delegation_record(&store).unwrap().revoked);
    assert!(matches!(store.apply(&given), TxnOutcome::Conflict(_)));
    assert!(delegation_record(&store).unwrap().revoked);
    // The next leader ignores it and deletes it.
    let mut next = store.elect("n1", 20.0);
    send_heartbeats_only_from(&mut store, &mut next, &mut north, 20.0, 24.0);
    let delegations = store.replica().delegations;
    assert!(
        delegations
            .values()
            .all(|d| d.record.fencing_token == next.fencing_token),
        "{delegations:?}"
    );
}

/// Tasks that completed behind a partition once counted as done only when the partition had ended; tasks lost there
/// stayed bound as long.
#[test]
fn a_relay_counts_once_whenever_it_arrives() {
    let (mut store, mut leader, mut north, mut south) = partitioned_south();
    let task = |w: &FakeWorker| w.running()[0].rsplit_once('/').unwrap().1.parse().unwrap();
    let done: u32 = task(&south[0]);
    let attempt = south[0].heartbeat.tasks[0].attempt;
    let record = RelayRecord {
        fencing_token: leader.fencing_token,
        zone: "south".into(),
        jobs: vec![JobAssignments {
            id: "j-1".into(),
            attempt,
            done: vec![TaskRange::single(done)],
            ..JobAssignments::default()
        }],
        agent_epochs: vec![(south[1].heartbeat.machine.clone(), 2)],
    };
    for _ in 0..2 {
        leader.on_relay(&record, 16.0);
        let job = leader.jobs.values().next().unwrap();
        assert_eq!((job.done_tasks, job.assigned_tasks), (1, 26));
    }
    // The lost task runs elsewhere; a late copy of the relay does not free what the machine got since.
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.0, 18.0);
    south[1].heartbeat.agent_epoch = 2;
    south[1].heartbeat.tasks.clear();
    for now in [18.0, 18.5, 19.0] {
        south[1].send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
    }
    south[1].send_heartbeat(&mut leader, 19.5);
    assert_eq!(south[1].running().len(), 1);
    let before = bound_tasks(&leader);
    leader.on_relay(&record, 20.0);
    assert_eq!(bound_tasks(&leader), before);
    // A relay to another term's leader is ignored.
    let mut next = store.elect("n1", 21.0);
    let was = bound_tasks(&next);
    next.on_relay(&record, 21.0);
    assert_eq!(bound_tasks(&next), was);
}

/// A leader elected during a partition knows the machines behind it from the assignment log alone, and not in which
/// agent epoch their tasks are: a worker that has seen its fencing token frees nothing, a later agent epoch does.
#[test]
fn the_first_relayed_agent_epoch_frees_nothing() {
    let (mut store, _, mut north, south) = partitioned_south();
    let mut next = store.elect("n1", 16.0);
    send_heartbeats_only_from(&mut store, &mut next, &mut north, 16.2, 18.0);
    let before = bound_tasks(&next);
    let relay_of = |agent_epoch| RelayRecord {
        fencing_token: next.fencing_token,
        zone: "south".into(),
        jobs: Vec::new(),
        agent_epochs: vec![(south[0].heartbeat.machine.clone(), agent_epoch)],
    };
    let (first, again, later) = (relay_of(1), relay_of(1), relay_of(2));
    for record in [first, again] {
        next.on_relay(&record, 18.5);
        assert_eq!(bound_tasks(&next), before);
    }
    next.on_relay(&later, 19.0);
    assert_eq!(bound_tasks(&next), before - 1);
}
