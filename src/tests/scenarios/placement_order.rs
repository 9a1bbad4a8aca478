//! Placement order and choice of machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::{count_launches, exchange_heartbeats, fail_cloud_calls_until_deletion, gang};
use crate::config::Objective;
use crate::fleet::{AttemptKey, MachineRole};
use crate::leader::Leader;
use crate::protocol::users::{Priority, Submission};
use crate::protocol::workers::ExitReason;
use crate::test_support::{FakeStore, FakeWorker, job};

/// A new leader must derive from the running tasks that a machine serves large tasks. If it took a machine that runs a
/// gang for a shared one, small tasks would be placed there and the machine would be drained, while other gangs wait.
#[test]
fn a_new_leader_keeps_machines_of_large_tasks_for_large_tasks() {
    let mut store = FakeStore::default();
    let mut large = gang("j-1", 1);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut old = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut old, 1.0);
    store.schedule_and_write(&mut old, 2.0);
    worker.send_heartbeat(&mut old, 3.0);
    store.submit(&job("j-2", 8));
    let mut new = store.elect("n1", 10.0);
    exchange_heartbeats(&mut worker, &mut new, 11.0);
    new.maintain_fleet(11.0);
    store.schedule_and_write(&mut new, 11.0);
    // The free capacity beside the gang's task would suffice for a small task, but the machine is kept for large tasks.
    assert_eq!(count_launches(&worker.send_heartbeat(&mut new, 12.0)), 0);
    let machine = new.fleet.machines.values().next().unwrap();
    assert_eq!(
        (machine.role, machine.draining),
        (MachineRole::Large, false)
    );
}

/// A large task of high priority must not wait behind running tasks of lower priority when all rental requests fail.
#[test]
fn large_tasks_of_high_priority_preempt_when_no_machine_can_be_rented() {
    let mut store = FakeStore::default();
    store.submit(&job("j-1", 4));
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 1.0);
    worker.send_heartbeat(&mut leader, 2.0);
    worker.send_heartbeat(&mut leader, 2.5);
    assert_eq!(worker.running().len(), 4);
    let mut urgent = gang("j-2", 1);
    urgent.priority = Priority::High;
    urgent.types = Some(vec!["small".into()]);
    store.submit(&urgent);
    let replica = store.replica();
    let id = "j-2".into();
    leader.add_stored_job(&id, &replica.jobs["j-2"], 3.0);
    let mut now = 3.0;
    while worker.running() != ["j-2/0"] {
        now += 1.0;
        assert!(now < 20.0, "{:?}", worker.running());
        leader.maintain_fleet(now);
        fail_cloud_calls_until_deletion(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        worker.send_heartbeat(&mut leader, now);
    }
    // The preempted tasks are pending again, not lost.
    assert_eq!(
        leader.jobs[&leader.job_index("j-1").unwrap()].pending_tasks(),
        4
    );
}

/// If late jobs came first, every job behind them would be late as well. But late jobs must not wait forever either.
#[test]
fn jobs_that_can_still_meet_their_objective_precede_late_ones_for_a_limited_time() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let late = job("j-1", 1);
    let on_time = job("j-2", 1);
    store.submit(&late);
    store.submit(&on_time);
    let mut replica = store.replica();
    for (id, submitted_at) in [("j-1", 1.0), ("j-2", 90.0)] {
        replica.jobs.get_mut(id).unwrap().submitted_at = Some(submitted_at);
        leader.add_stored_job(&id.into(), &replica.jobs[id], 100.0);
    }
    assert_eq!(job_ids_in_scheduling_order(&leader, 100.0), ["j-2", "j-1"]);
    // At 175 s both jobs are late. A late job is due again after a multiple of its objective, so that the older one
    // comes first.
    assert_eq!(job_ids_in_scheduling_order(&leader, 175.0), ["j-1", "j-2"]);
}

/// Hundreds of jobs of one class arrive at once on a full fleet. They must neither delay the jobs of other classes nor
/// be assigned beyond the capacity of the machines.
#[test]
fn an_arrival_burst_of_one_class_delays_that_class_only() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    for i in 0..200 {
        let mut spec = job(&format!("j-{i}"), 50);
        spec.class = "burst".into();
        store.submit(&spec);
    }
    let mut other = job("j-900", 1);
    other.priority = Priority::High;
    store.submit(&other);
    let replica = store.replica();
    for (id, stored) in &replica.jobs {
        leader.add_stored_job(id, stored, 2.0);
    }
    store.schedule_and_write(&mut leader, 2.0);
    let commands = worker.send_heartbeat(&mut leader, 2.5);
    assert_eq!(count_launches(&commands), 4);
    assert!(worker.running().contains(&"j-900/0".to_string()));
    // No more tasks are assigned than the machine has capacity for.
    let assigned: u32 = leader.jobs.values().map(|job| job.assigned_tasks).sum();
    assert_eq!(assigned, 4);
}

/// A gang that needs all machines at once, with small gangs always pending. If the small gangs took each machine as
/// soon as it has free capacity, the large gang would never start.
#[test]
fn a_large_gang_is_not_starved_by_small_ones() {
    let mut store = FakeStore::default();
    let mut leader = store.elect("n0", 0.0);
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    let submit = |store: &mut FakeStore, leader: &mut Leader, spec: Submission, now: f64| {
        store.submit(&spec);
        let stored = store.replica().jobs[spec.id.as_str()].clone();
        leader.add_stored_job(&spec.id.as_str().into(), &stored, now);
    };
    let on_small = |spec: Submission| Submission {
        types: Some(vec!["small".into()]),
        ..spec
    };
    let mut now = 0.0;
    let mut small_gangs = 0;
    let mut large_runs = false;
    while !large_runs {
        now += 3.0;
        assert!(now < 15.0 + 240.0, "the large gang starves");
        // A small gang is always pending.
        for _ in 0..2 {
            small_gangs += 1;
            submit(
                &mut store,
                &mut leader,
                on_small(gang(&format!("j-{small_gangs}"), 1)),
                now,
            );
        }
        if small_gangs == 10 {
            // The large gang is submitted at 15 s.
            submit(&mut store, &mut leader, on_small(gang("j-5000", 4)), now);
        }
        leader.maintain_fleet(now);
        fail_cloud_calls_until_deletion(&mut leader, now);
        store.schedule_and_write(&mut leader, now);
        // Small gangs run for up to six rounds of 3 s. The machines complete theirs in different rounds.
        for (i, worker) in workers.iter_mut().enumerate() {
            if (now / 3.0) as usize % 6 == i {
                for task in worker.running().iter().filter(|t| !t.starts_with("j-5000")) {
                    worker.exit_task(task, ExitReason::Done);
                }
            }
            worker.send_heartbeat(&mut leader, now + 0.5);
        }
        let runs_large =
            |worker: &FakeWorker| worker.running().iter().any(|t| t.starts_with("j-5000"));
        large_runs = workers.iter().all(runs_large);
    }
}

fn job_ids_in_scheduling_order(leader: &Leader, now: f64) -> Vec<String> {
    let order = leader.scheduling_order(now);
    let id = |index| leader.jobs[index].id.to_string();
    order.iter().map(id).collect()
}

/// An objective may be relative to the job's own deadline. If the scheduler skipped such objectives, the jobs would
/// have no due time and their deadlines would not count.
#[test]
fn jobs_are_ordered_by_deadline_and_small_ones_come_slightly_earlier() {
    let mut store = FakeStore::default();
    let with_deadline = |id, deadline_s| Submission {
        class: "lists".into(),
        team: "red".into(),
        deadline_s,
        ..job(id, 1)
    };
    store.submit(&with_deadline("j-1", None));
    store.submit(&with_deadline("j-2", Some(200.0)));
    store.submit(&with_deadline("j-3", Some(90.0)));
    store.submit(&Submission {
        tasks: 40,
        ..with_deadline("j-4", Some(90.0))
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
    let mut worker = FakeWorker::new("i-1", "big", "north");
    exchange_heartbeats(&mut worker, &mut leader, 0.5);
    // j-1 has no deadline and therefore no due time. Of two jobs with the same deadline the smaller one, j-3, comes
    // before the larger one, j-4. j-2 is small too, but comes last, as it is due more than a minute later.
    assert_eq!(
        job_ids_in_scheduling_order(&leader, 1.0),
        ["j-1", "j-3", "j-4", "j-2"]
    );
    // j-3 can no longer meet the first objective, but can still meet the second.
    assert_eq!(job_ids_in_scheduling_order(&leader, 80.0)[1], "j-3");
}

fn with_image(id: &str, tasks: u32, image: &str) -> Submission {
    Submission {
        image: image.into(),
        image_gb: 8.0,
        ..job(id, tasks)
    }
}

/// The machines that have attempts of a job's tasks.
fn machines_of(leader: &Leader, id: &str) -> Vec<String> {
    let index = leader.job_index(id).unwrap();
    let of_job = |key: &AttemptKey| key.job == index;
    let machines = leader.fleet.machines.values();
    machines
        .filter(|machine| machine.attempts.keys().any(of_job))
        .map(|machine| machine.name.to_string())
        .collect()
}

/// If a job's tasks were spread over all machines, each machine would fetch a dozen images at once, and most of a full
/// fleet would be occupied by tasks that wait for their image.
#[test]
fn tasks_are_placed_where_their_image_is_cached_or_being_fetched() {
    let mut store = FakeStore::default();
    store.submit(&with_image("j-1", 4, "img-a"));
    let mut leader = store.elect("n0", 0.0);
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("i-{i}"), "small", "north"))
        .collect();
    for worker in &mut workers {
        exchange_heartbeats(worker, &mut leader, 1.0);
    }
    store.schedule_and_write(&mut leader, 1.0);
    let machines_1 = machines_of(&leader, "j-1");
    assert_eq!(machines_1.len(), 1);
    let send_heartbeats = |leader: &mut Leader, workers: &mut [FakeWorker], now: f64| {
        for worker in workers.iter_mut() {
            worker.send_heartbeat(leader, now);
            worker.send_heartbeat(leader, now);
        }
    };
    // Tasks with another image are placed on another machine: on the first their image would wait for the fetch in
    // progress.
    let submit_and_schedule =
        |store: &mut FakeStore, leader: &mut Leader, spec: Submission, now: f64| {
            store.submit(&spec);
            leader.add_stored_job(
                &spec.id.as_str().into(),
                &store.replica().jobs[&*spec.id],
                now,
            );
            store.schedule_and_write(leader, now);
        };
    submit_and_schedule(&mut store, &mut leader, with_image("j-2", 2, "img-b"), 2.0);
    let machines_2 = machines_of(&leader, "j-2");
    assert!(
        machines_2.len() == 1 && machines_2 != machines_1,
        "{machines_2:?}"
    );
    send_heartbeats(&mut leader, &mut workers, 12.0);
    // The machine that has the image is preferred to machines with as much or more free capacity.
    submit_and_schedule(&mut store, &mut leader, with_image("j-3", 1, "img-b"), 12.5);
    assert_eq!(machines_of(&leader, "j-3"), machines_2);
    // That machine has capacity for one of the three tasks only. The others may wait for a short time rather than have
    // the image fetched by another machine, but not for long.
    submit_and_schedule(&mut store, &mut leader, with_image("j-4", 3, "img-b"), 13.0);
    leader.maintain_fleet(13.0);
    let pending = |leader: &Leader| leader.jobs[&leader.job_index("j-4").unwrap()].pending_tasks();
    assert!(pending(&leader) <= 2);
    send_heartbeats(&mut leader, &mut workers, 22.0);
    leader.maintain_fleet(22.0);
    store.schedule_and_write(&mut leader, 22.0);
    assert_eq!(pending(&leader), 0);
}

#[test]
fn each_of_several_arrays_for_more_than_the_whole_fleet_begins_within_four_minutes() {
    const RUN_S: f64 = 20.0;
    let mut store = FakeStore::default();
    for number in 0..5 {
        let mut spec = job(&format!("j-{number}"), 2000);
        (spec.cpus, spec.memory_gb, spec.estimate_s) = (30.0, 30.0, RUN_S);
        spec.priority = Priority::Low;
        store.submit(&spec);
    }
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "big", "north");
    let mut started_at: BTreeMap<String, f64> = BTreeMap::new();
    let mut now = 0.0;
    while now < 240.0 {
        now += 2.0;
        leader.record_worker_contact(now);
        for task in worker.running() {
            let started_at = *started_at.entry(task.clone()).or_insert(now);
            if now - started_at >= RUN_S {
                worker.exit_task(&task, ExitReason::Done);
            }
        }
        worker.send_heartbeat(&mut leader, now);
        leader.maintain_fleet(now);
        store.schedule_and_write(&mut leader, now);
        worker.send_heartbeat(&mut leader, now + 0.5);
    }
    let begun: BTreeSet<&str> = started_at.keys().map(|task| &task[..3]).collect();
    assert_eq!(begun.len(), 5, "{begun:?}");
}
