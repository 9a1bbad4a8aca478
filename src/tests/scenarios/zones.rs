//! Partitioned zones and delegations.

use serde_json::value::to_raw_value;

use super::fail_cloud_calls_until_deletion;
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::fleet::HeartbeatOrigin;
use crate::leader::Leader;
use crate::protocol::store::{Change, Condition, Txn};
use crate::store::keys;
use crate::store::records::{DelegationRecord, JobAssignments, RelayRecord, TaskRange};
use crate::store::transaction::TxnOutcome;
use crate::test_support::{FakeStore, FakeWorker, job};

/// The autoscaler prefers the zone with the fewest machines. When a partition makes all machines of a zone count as
/// lost, their replacements must not be rented there: they would boot, and be unreachable as long as the partition
/// lasts.
#[test]
fn no_machines_are_rented_in_a_partitioned_zone() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 200);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut leader = store.elect("n0", 0.0);
    let new_worker = |i: usize, zone| FakeWorker::new(&format!("i-{i}"), "small", zone);
    let mut north: Vec<FakeWorker> = (0..14).map(|i| new_worker(i, "north")).collect();
    let mut south: Vec<FakeWorker> = (14..28).map(|i| new_worker(i, "south")).collect();
    let mut rental_zones = Vec::new();
    let mut returned_at = Vec::new();
    for step in 0..120 {
        let now = 1.0 + f64::from(step);
        for worker in &mut north {
            worker.send_heartbeat(&mut leader, now);
        }
        if now < 20.0 {
            for worker in &mut south {
                worker.send_heartbeat(&mut leader, now);
            }
        }
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        while let Some(call) = leader.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) => {
                    // By 24 s the zone counts as partitioned, and its machines have not been returned yet.
                    if now > 24.0 && returned_at.is_empty() {
                        rental_zones.push(rent.zone.clone());
                    }
                    CloudAnswer::NoCapacity
                }
                CloudCall::Delete(names) => {
                    returned_at.extend(names.iter().map(|_| now));
                    CloudAnswer::Deleted
                }
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::MachineTypes => CloudAnswer::Failed,
            };
            leader.on_cloud_answer(call, answer, now);
        }
    }
    // The machines of the partitioned zone are kept for 2.5 boot times of 30 s: most partitions end before replacements
    // would be up.
    assert_eq!(returned_at.len(), 14);
    let kept_until = 20.0 + 2.5 * 30.0;
    assert!(
        returned_at.iter().all(|at| (*at - kept_until).abs() < 2.0),
        "{returned_at:?}"
    );
    assert!(!rental_zones.is_empty());
    assert!(
        rental_zones.iter().all(|zone| zone == "north"),
        "{rental_zones:?}"
    );
}

/// Two zones of 14 machines with one task on each. From 10 s to 16 s the leader receives no heartbeats from the zone
/// `south` and delegates it. Returns the workers of both zones, `north` first.
fn partitioned_south() -> (FakeStore, Leader, Vec<FakeWorker>, Vec<FakeWorker>) {
    let mut store = FakeStore::default();
    let mut spec = job("j-1", 28);
    spec.cpus = 6.0;
    spec.types = Some(vec!["small".into()]);
    store.submit(&spec);
    let mut leader = store.elect("n0", 0.0);
    let new_worker = |i: usize, zone| FakeWorker::new(&format!("i-{i:02}"), "small", zone);
    let mut north: Vec<FakeWorker> = (0..14).map(|i| new_worker(i, "north")).collect();
    let mut south: Vec<FakeWorker> = (14..28).map(|i| new_worker(i, "south")).collect();
    for step in 0..40 {
        let now = f64::from(step) * 0.25;
        for worker in north.iter_mut().chain(&mut south) {
            worker.send_heartbeat(&mut leader, now);
        }
        store.schedule_and_write(&mut leader, now);
    }
    assert_eq!(assigned_tasks(&leader), 28);
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 10.0, 16.0);
    (store, leader, north, south)
}

/// Runs the leader from one moment to another, with heartbeats from these workers only.
fn send_heartbeats_only_from(
    store: &mut FakeStore,
    leader: &mut Leader,
    workers: &mut [FakeWorker],
    from: f64,
    to: f64,
) {
    let mut now = from;
    while now < to {
        for worker in workers.iter_mut() {
            worker.send_heartbeat(leader, now);
        }
        leader.record_worker_contact(now);
        leader.maintain_fleet(now);
        store.schedule_and_write(leader, now);
        fail_cloud_calls_until_deletion(leader, now);
        now += 0.5;
    }
}

fn assigned_tasks(leader: &Leader) -> u32 {
    leader.jobs.values().map(|job| job.assigned_tasks).sum()
}

fn delegation_record(store: &FakeStore) -> Option<DelegationRecord> {
    let replica = store.replica();
    let mut delegations = replica.delegations.values();
    delegations
        .next()
        .map(|delegation| delegation.record.clone())
}

/// Delegates renew the leases of workers in a partitioned zone, so that their tasks run on although the leader receives
/// no heartbeats. If the leader freed these tasks for silence, they would run twice. Silence counts again one worker
/// lease after the delegation was revoked.
#[test]
fn tasks_in_a_delegated_zone_are_not_freed_for_silence() {
    let (mut store, mut leader, mut north, mut south) = partitioned_south();
    let record = delegation_record(&store).expect("no delegation is stored");
    assert_eq!(
        (record.fencing_token, &*record.zone, record.revoked),
        (leader.fencing_token, "south", false)
    );
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.0, 50.0);
    assert_eq!(assigned_tasks(&leader), 28);
    // One machine of the zone answers a direct command, and sends heartbeats to the leader from then on.
    let heartbeat = south[0].next();
    leader.on_heartbeat(&heartbeat, HeartbeatOrigin::DirectReply, 50.0);
    north.push(south.remove(0));
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 50.2, 52.0);
    assert!(delegation_record(&store).unwrap().revoked);
    let expiry_s = leader.config.worker_lease_expiry_s();
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 52.0, 50.0 + expiry_s);
    assert_eq!(assigned_tasks(&leader), 28);
    // Then the tasks of the machines that never made contact again are freed.
    send_heartbeats_only_from(
        &mut store,
        &mut leader,
        &mut north,
        50.0 + expiry_s,
        55.0 + expiry_s,
    );
    assert_eq!(assigned_tasks(&leader), 15);
}

/// A delegation record is written at most twice: when the zone is delegated, and when the delegation is revoked. If a
/// late copy of the first write were applied after the second, delegates would act on a revoked delegation.
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
    let first_write = Txn {
        conditions: vec![
            condition(keys::leader(), leader.fencing_token),
            condition(key.clone(), 0),
        ],
        changes: vec![put(&record)],
    };
    assert!(matches!(store.apply(&first_write), TxnOutcome::Conflict(_)));
    leader.on_heartbeat(&south[0].next(), HeartbeatOrigin::DirectReply, 16.0);
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.2, 18.0);
    assert!(delegation_record(&store).unwrap().revoked);
    assert!(matches!(store.apply(&first_write), TxnOutcome::Conflict(_)));
    assert!(delegation_record(&store).unwrap().revoked);
    // The next leader ignores the former leader's delegation and deletes its record.
    let mut next = store.elect("n1", 20.0);
    send_heartbeats_only_from(&mut store, &mut next, &mut north, 20.0, 24.0);
    let delegations = store.replica().delegations;
    assert!(
        delegations
            .values()
            .all(|delegation| delegation.record.fencing_token == next.fencing_token),
        "{delegations:?}"
    );
}

/// A delegate relays which tasks completed in a partitioned zone and which workers restarted. Without relays, completed
/// tasks would count as done only after the partition, and lost tasks would stay assigned as long. A relay may arrive
/// twice or late and must count once.
#[test]
fn a_repeated_or_late_relay_counts_once() {
    let (mut store, mut leader, mut north, mut south) = partitioned_south();
    let done_name = &south[0].running()[0];
    let done: u32 = done_name.rsplit_once('/').unwrap().1.parse().unwrap();
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
    // The lost task runs on another machine. A late copy of the relay doesn't free the task that the restarted worker
    // was given meanwhile.
    send_heartbeats_only_from(&mut store, &mut leader, &mut north, 16.0, 18.0);
    south[1].heartbeat.agent_epoch = 2;
    south[1].heartbeat.tasks.clear();
    for now in [18.0, 18.5, 19.0] {
        south[1].send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
    }
    south[1].send_heartbeat(&mut leader, 19.5);
    assert_eq!(south[1].running().len(), 1);
    let before = assigned_tasks(&leader);
    leader.on_relay(&record, 20.0);
    assert_eq!(assigned_tasks(&leader), before);
    // The next leader ignores a relay that a delegate wrote for the former leader.
    let mut next = store.elect("n1", 21.0);
    let before = assigned_tasks(&next);
    next.on_relay(&record, 21.0);
    assert_eq!(assigned_tasks(&next), before);
}

/// A relayed agent epoch shows that the worker has seen the leader's fencing token in that epoch. A leader that is
/// elected during a partition knows the machines behind it from the assignment log only, which doesn't hold the agent
/// epochs in which the tasks were started: they may run in the first epoch that is relayed. Only a later epoch shows
/// that the worker restarted, and frees the tasks.
#[test]
fn the_first_relayed_agent_epoch_frees_no_tasks() {
    let (mut store, _, mut north, south) = partitioned_south();
    let mut next = store.elect("n1", 16.0);
    send_heartbeats_only_from(&mut store, &mut next, &mut north, 16.2, 18.0);
    let before = assigned_tasks(&next);
    let relay_of = |agent_epoch| RelayRecord {
        fencing_token: next.fencing_token,
        zone: "south".into(),
        jobs: Vec::new(),
        agent_epochs: vec![(south[0].heartbeat.machine.clone(), agent_epoch)],
    };
    let (first, again, later) = (relay_of(1), relay_of(1), relay_of(2));
    for record in [first, again] {
        next.on_relay(&record, 18.5);
        assert_eq!(assigned_tasks(&next), before);
    }
    next.on_relay(&later, 19.0);
    assert_eq!(assigned_tasks(&next), before - 1);
}
