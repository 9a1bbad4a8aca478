//! Generated dependency graphs, compared with a plain recursive reference.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::value::to_raw_value;

use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::jobs::dependency_graph;
use crate::leader::Leader;
use crate::protocol::users::{JobState, Priority, Submission};
use crate::runtime::Time;
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd, JobRecord};
use crate::store::replica::StateReplica;
use crate::test_support::{FakeStore, job, types};

const GRAPHS: u64 = 200;
const JOBS_MAX: usize = 16;
/// Bound on the difference between the wall clocks of two hosts, in seconds.
const SKEW_S: f64 = 0.25;
/// Wall-clock time at moment 0, in milliseconds since the Unix epoch.
const UNIX_MS: u64 = 1_796_000_000_000;
/// Seconds between two submissions, the first at moment 0.
const SUBMIT_S: f64 = 2.0;
const PRIORITIES: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];

/// A job of a generated graph; its index in the list is the order of acceptance.
struct Generated {
    spec: Submission,
    needs: Vec<usize>,
    end: Option<JobEnd>,
    /// Whether its submission time is stored (earlier versions stored none).
    has_time: bool,
    /// Number of stored dependency parts.
    parts: u32,
}

/// Draws a job's dependencies among the earlier jobs; duplicates are allowed.
fn draw_needs(rng: &mut SmallRng, shape: u32, at: usize) -> Vec<usize> {
    match shape {
        _ if at == 0 => Vec::new(),
        // Deep.
        0 => vec![at - 1],
        // Wide: all need the first, the last needs all.
        1 if at + 1 < JOBS_MAX => vec![0],
        1 => (1..at).collect(),
        // A ladder of diamonds.
        2 if at.is_multiple_of(3) => vec![at - 1, at - 2],
        2 => vec![at - at % 3],
        _ => {
            let needs = rng.random_range(0..4);
            (0..needs).map(|_| rng.random_range(0..at)).collect()
        }
    }
}

/// Draws an end that is consistent with the ends of the job's dependencies.
fn draw_end(rng: &mut SmallRng, jobs: &[Generated], needs: &[usize]) -> Option<JobEnd> {
    let done = |need: &usize| jobs[*need].end == Some(JobEnd::Done);
    match rng.random_range(0..10) {
        0 => Some(JobEnd::Cancelled),
        1..=6 if needs.iter().all(done) => Some(JobEnd::Done),
        _ if needs.iter().any(|need| is_cancelled(jobs, *need)) && rng.random_bool(0.5) => {
            Some(JobEnd::Cancelled)
        }
        _ => None,
    }
}

fn generate(rng: &mut SmallRng, with_ends: bool) -> Vec<Generated> {
    let shape = rng.random_range(0..6);
    let count = if shape == 1 {
        JOBS_MAX
    } else {
        rng.random_range(2..JOBS_MAX)
    };
    let mut numbers: Vec<usize> = (100..100 + count).collect();
    // Pages of the store are ordered by key, which is not the order of acceptance.
    numbers.shuffle(rng);
    let mut jobs: Vec<Generated> = Vec::new();
    for (at, number) in numbers.iter().enumerate() {
        let needs = draw_needs(rng, shape, at);
        let id = format!("j-{number}");
        let spec = Submission {
            class: id.clone(),
            priority: PRIORITIES[rng.random_range(0..3)],
            estimate_s: rng.random_range(1.0..60.0),
            deadline_s: rng.random_bool(0.3).then(|| rng.random_range(60.0..900.0)),
            waits_on: needs.iter().map(|n| jobs[*n].spec.id.clone()).collect(),
            ..job(&id, 1)
        };
        let end = if with_ends {
            draw_end(rng, &jobs, &needs)
        } else {
            None
        };
        let parts = if needs.len() > 1 && rng.random_bool(0.3) {
            2
        } else {
            0
        };
        jobs.push(Generated {
            spec,
            needs,
            end,
            has_time: rng.random_bool(0.8),
            parts,
        });
    }
    jobs
}

// ---- reference implementation

fn is_cancelled(jobs: &[Generated], at: usize) -> bool {
    match jobs[at].end {
        Some(end) => end == JobEnd::Cancelled,
        None => jobs[at].needs.iter().any(|need| is_cancelled(jobs, *need)),
    }
}

fn is_open(jobs: &[Generated], at: usize) -> bool {
    jobs[at].end.is_none() && !is_cancelled(jobs, at)
}

fn waits(jobs: &[Generated], at: usize) -> bool {
    let done = |need: &usize| jobs[*need].end == Some(JobEnd::Done);
    is_open(jobs, at) && !jobs[at].needs.iter().all(done)
}

/// Open jobs that depend directly on a job.
fn dependents(jobs: &[Generated], at: usize) -> impl Iterator<Item = usize> {
    (at + 1..jobs.len()).filter(move |k| jobs[*k].needs.contains(&at) && is_open(jobs, *k))
}

fn priority(jobs: &[Generated], at: usize) -> Priority {
    let others = dependents(jobs, at).map(|k| priority(jobs, k));
    others.fold(jobs[at].spec.priority, Priority::max)
}

/// When a job must be done for its dependents to meet their deadlines.
fn required_by(jobs: &[Generated], at: usize, leader: &Leader) -> Time {
    let times = dependents(jobs, at).map(|k| {
        let known = &leader.jobs[&leader.job_index(&jobs[k].spec.id).unwrap()];
        let own = known.spec.deadline_s.map(|s| known.submitted_at + s);
        let done_by = own
            .unwrap_or(f64::INFINITY)
            .min(required_by(jobs, k, leader));
        done_by - leader.autoscaler.expected_run_s(known)
    });
    times.fold(f64::INFINITY, f64::min)
}

// ---- stored records

fn submitted_at(at: usize) -> Time {
    at as f64 * SUBMIT_S
}

/// The keys and values of a job's submission, stored in one transaction.
fn values_of(job: &Generated, at: usize) -> Vec<(String, Box<serde_json::value::RawValue>)> {
    let mut spec = job.spec.clone();
    let ids = spec.waits_on.clone();
    if job.parts > 0 {
        spec.waits_on.clear();
    }
    let id = spec.id.clone();
    let record = JobRecord {
        charged_to: None,
        spec,
        submitted_unix_ms: job
            .has_time
            .then(|| UNIX_MS + (submitted_at(at) * 1000.0) as u64),
        dependency_parts: job.parts,
    };
    let mut values = vec![(keys::job(&id), to_raw_value(&record).unwrap())];
    if job.parts > 0 {
        for (part, ids) in (1..).zip(ids.chunks(ids.len().div_ceil(job.parts as usize))) {
            values.push((keys::dependency_part(&id, part), to_raw_value(ids).unwrap()));
        }
    }
    values
}

fn end_record(end: JobEnd) -> EndRecord {
    EndRecord {
        end,
        tasks_done: u32::from(end == JobEnd::Done),
        ended_unix_ms: None,
    }
}

fn assert_as_expected(view: &StateReplica, jobs: &[Generated], how: &str) {
    for (at, job) in jobs.iter().enumerate() {
        let id = job.spec.id.as_str();
        let known = &view.jobs[id];
        let cancelled = known.status(id).state == JobState::Cancelled;
        assert_eq!(cancelled, is_cancelled(jobs, at), "{how}: {id} cancelled");
        if job.end.is_none() {
            assert_eq!(known.is_blocked, waits(jobs, at), "{how}: {id} waits");
        }
    }
}

/// A replica that watches the store from the beginning; ends arrive in any allowed order.
fn follow(rng: &mut SmallRng, jobs: &[Generated]) -> StateReplica {
    let mut view = StateReplica::default();
    view.finish_load(0.0, UNIX_MS);
    let mut ended = BTreeSet::new();
    let (mut ready, mut cancelled) = (BTreeSet::new(), BTreeSet::new());
    let mut accepted = 0;
    let mut revision = 0;
    loop {
        let may_end: Vec<usize> = (0..accepted)
            .filter(|at| {
                let needs = &jobs[*at].needs;
                let first = jobs[*at].end == Some(JobEnd::Cancelled);
                let done = needs.iter().all(|need| ended.contains(need));
                jobs[*at].end.is_some() && !ended.contains(at) && (first || done)
            })
            .collect();
        revision += 1;
        if accepted < jobs.len() && (may_end.is_empty() || rng.random_bool(0.5)) {
            for (key, value) in values_of(&jobs[accepted], accepted) {
                view.apply(&key, Some(&value), revision);
            }
            accepted += 1;
        } else if !may_end.is_empty() {
            let at = may_end[rng.random_range(0..may_end.len())];
            let record = to_raw_value(&end_record(jobs[at].end.unwrap())).unwrap();
            view.apply(&keys::job_end(&jobs[at].spec.id), Some(&record), revision);
            ended.insert(at);
        } else {
            return view;
        }
        let changes = view.take_readiness_changes(revision as f64);
        for id in changes.ready {
            assert!(!cancelled.contains(&id), "{id} is cancelled");
            assert!(ready.insert(id.clone()), "{id} became ready twice");
        }
        for id in changes.cancelled {
            assert!(cancelled.insert(id.clone()), "{id} was cancelled twice");
        }
    }
}

/// A replica that loads the store page by page, in key order.
fn read(jobs: &[Generated], now: Time, unix_ms: u64) -> (FakeStore, StateReplica) {
    let mut store = FakeStore::default();
    for (at, job) in jobs.iter().enumerate() {
        store.revision += 1;
        for (key, value) in values_of(job, at) {
            store.keys.insert(key, (value, store.revision));
        }
        if let Some(end) = job.end {
            store.put(keys::job_end(&job.spec.id), &end_record(end));
        }
    }
    let mut view = StateReplica::default();
    for (key, (value, version)) in &store.keys {
        view.apply(key, Some(value), *version);
    }
    view.finish_load(now, unix_ms);
    (store, view)
}

fn leader(view: &StateReplica, now: Time) -> Leader {
    let config = Rc::new(crate::config::tests::sample());
    let expected = Rc::new(RefCell::new(ArrivalForecast::new(3.0, 120.0, now)));
    Leader::start_term(config, 1000, Rc::new(types()), view, expected, now)
}

fn assert_demands(leader: &Leader, jobs: &[Generated]) {
    for (at, job) in jobs.iter().enumerate().filter(|(at, _)| is_open(jobs, *at)) {
        let known = &leader.jobs[&leader.job_index(&job.spec.id).unwrap()];
        assert_eq!(known.spec.priority, priority(jobs, at), "{}", job.spec.id);
        let expected = required_by(jobs, at, leader);
        let equal = known.required_by == expected || (known.required_by - expected).abs() < 1e-9;
        assert!(equal, "{}: {} {expected}", job.spec.id, known.required_by);
    }
}

#[test]
fn states_derived_from_stored_ends_match_the_reference() {
    for seed in 0..GRAPHS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let jobs = generate(&mut rng, true);
        assert_as_expected(&follow(&mut rng, &jobs), &jobs, "followed");
        let (_, view) = read(&jobs, 500.0, UNIX_MS + 500_000);
        assert_as_expected(&view, &jobs, "read");
    }
}

/// Priority and deadline propagate in the same way whether a leader loads all jobs or sees them one by one. Its wall
/// clock may differ from that of the controllers that stored the jobs, and earlier versions stored no time.
#[test]
fn requirements_and_times_match_the_reference() {
    for seed in 0..GRAPHS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = JOBS_MAX as f64 * SUBMIT_S;
        let jobs = generate(&mut rng, seed % 2 == 0);
        let skew_ms = rng.random_range(-SKEW_S * 1000.0..SKEW_S * 1000.0);
        let (_, view) = read(&jobs, now, UNIX_MS + (now * 1000.0 + skew_ms) as u64);
        let reader = leader(&view, now);
        assert_demands(&reader, &jobs);
        for (at, job) in jobs.iter().enumerate().filter(|(_, j)| j.end.is_none()) {
            let known = &reader.jobs[&reader.job_index(&job.spec.id).unwrap()];
            if job.has_time {
                let off_s = (known.submitted_at - submitted_at(at)).abs();
                assert!(off_s <= SKEW_S + 0.002, "{}: {off_s}", job.spec.id);
            } else {
                assert_eq!(known.submitted_at, now, "{}", job.spec.id);
            }
        }
        if jobs.iter().any(|j| j.end.is_some()) {
            continue;
        }
        let mut follower = leader(&StateReplica::default(), 0.0);
        for at in 0..jobs.len() {
            let (_, known) = read(&jobs[..=at], submitted_at(at), UNIX_MS);
            let id: Rc<str> = jobs[at].spec.id.as_str().into();
            follower.add_stored_job(&id, &known.jobs[&id], submitted_at(at));
        }
        assert_demands(&follower, &jobs);
    }
}

/// A submission time in the future, by this controller's clock, counts as now.
#[test]
fn a_submission_is_never_in_the_future() {
    let jobs = generate(&mut SmallRng::seed_from_u64(1), false);
    let (_, view) = read(&jobs, 0.0, UNIX_MS - 200);
    let known = leader(&view, 0.0);
    assert!(known.jobs.values().all(|job| job.submitted_at <= 0.0));
}

/// Each job is visited once. A recursive walk would visit a ladder of diamonds once for each path, of which there are
/// 2^100 here.
#[test]
fn requirements_of_a_ladder_of_diamonds_propagate_in_one_pass() {
    const RUNGS: usize = 100;
    // Job 3n depends on 3n-1 and 3n-2, which both depend on 3n-3. One of them has the longer run time.
    let needs = |job: usize| match job {
        0 => Vec::new(),
        _ if job.is_multiple_of(3) => vec![job - 1, job - 2],
        _ => vec![job - job % 3],
    };
    let mut required_by = vec![f64::INFINITY; 3 * RUNGS + 1];
    required_by[3 * RUNGS] = 0.0;
    let mut visits = 0;
    dependency_graph::propagate_requirements(
        [3 * RUNGS],
        |job| job as u64,
        needs,
        |need, job| {
            visits += 1;
            let by = required_by[job] - if job % 3 == 1 { 5.0 } else { 1.0 };
            let earlier = by < required_by[need];
            required_by[need] = required_by[need].min(by);
            earlier
        },
    );
    assert_eq!(required_by[0], -6.0 * RUNGS as f64);
    assert_eq!(visits, 4 * RUNGS);
}
