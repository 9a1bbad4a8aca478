//! Generated dependency graphs. What a replica and a leader derive from the stored jobs and ends (blocked and cancelled
//! jobs, priorities, required times) is compared with a plain recursive reference implementation.

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

/// Number of generated graphs; the seed of each is its number.
const GRAPHS: u64 = 200;
const JOBS_MAX: usize = 16;
/// Bound on the difference between the wall clocks of two hosts, in seconds.
const CLOCK_SKEW_S: f64 = 0.25;
/// Wall-clock time at moment 0, in milliseconds since the Unix epoch.
const UNIX_MS: u64 = 1_796_000_000_000;
/// Seconds between two submissions, the first at moment 0.
const SUBMISSION_INTERVAL_S: f64 = 2.0;
const PRIORITIES: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];

/// A job of a generated graph. The jobs of a graph are listed in the order of acceptance.
struct GeneratedJob {
    spec: Submission,
    /// Indices of the jobs that it depends on, as `spec.waits_on` has them by id.
    dependencies: Vec<usize>,
    /// The end that is stored for the job, if any.
    end: Option<JobEnd>,
    /// Whether the submission time is stored. Earlier versions stored none.
    has_submission_time: bool,
    /// Number of values, beside the job's record, over which its dependencies are split. If 0, the record holds them.
    dependency_parts: u32,
}

/// Draws a job's dependencies among the earlier jobs; duplicates are allowed.
fn draw_dependencies(rng: &mut SmallRng, shape: u32, index: usize) -> Vec<usize> {
    match shape {
        _ if index == 0 => Vec::new(),
        // A chain.
        0 => vec![index - 1],
        // All jobs depend on the first one, and the last one depends on all others.
        1 if index + 1 < JOBS_MAX => vec![0],
        1 => (1..index).collect(),
        // A ladder of diamonds: job 3n depends on 3n-1 and 3n-2, which both depend on 3n-3.
        2 if index.is_multiple_of(3) => vec![index - 1, index - 2],
        2 => vec![index - index % 3],
        // Up to three dependencies at random.
        _ => {
            let count = rng.random_range(0..4);
            (0..count).map(|_| rng.random_range(0..index)).collect()
        }
    }
}

/// Draws an end that is consistent with the ends of the job's dependencies.
fn draw_end(rng: &mut SmallRng, jobs: &[GeneratedJob], dependencies: &[usize]) -> Option<JobEnd> {
    let is_done = |dependency: &usize| jobs[*dependency].end == Some(JobEnd::Done);
    match rng.random_range(0..10) {
        0 => Some(JobEnd::Cancelled),
        1..=6 if dependencies.iter().all(is_done) => Some(JobEnd::Done),
        _ if dependencies
            .iter()
            .any(|dependency| is_cancelled(jobs, *dependency))
            && rng.random_bool(0.5) =>
        {
            Some(JobEnd::Cancelled)
        }
        _ => None,
    }
}

fn generate(rng: &mut SmallRng, with_ends: bool) -> Vec<GeneratedJob> {
    let shape = rng.random_range(0..6);
    let count = if shape == 1 {
        JOBS_MAX
    } else {
        rng.random_range(2..JOBS_MAX)
    };
    let mut numbers: Vec<usize> = (100..100 + count).collect();
    // A replica loads the store in pages ordered by key. Shuffled ids make that order differ from the order of
    // acceptance.
    numbers.shuffle(rng);
    let mut jobs: Vec<GeneratedJob> = Vec::new();
    for (index, number) in numbers.iter().enumerate() {
        let dependencies = draw_dependencies(rng, shape, index);
        let id = format!("j-{number}");
        let spec = Submission {
            class: id.clone(),
            priority: PRIORITIES[rng.random_range(0..3)],
            estimate_s: rng.random_range(1.0..60.0),
            deadline_s: rng.random_bool(0.3).then(|| rng.random_range(60.0..900.0)),
            waits_on: dependencies
                .iter()
                .map(|dependency| jobs[*dependency].spec.id.clone())
                .collect(),
            ..job(&id, 1)
        };
        let end = if with_ends {
            draw_end(rng, &jobs, &dependencies)
        } else {
            None
        };
        let dependency_parts = if dependencies.len() > 1 && rng.random_bool(0.3) {
            2
        } else {
            0
        };
        jobs.push(GeneratedJob {
            spec,
            dependencies,
            end,
            has_submission_time: rng.random_bool(0.8),
            dependency_parts,
        });
    }
    jobs
}

// ---- Reference implementation, by recursion over the graph.

/// Whether a job is cancelled by its stored end, or through one of its dependencies.
fn is_cancelled(jobs: &[GeneratedJob], index: usize) -> bool {
    let job = &jobs[index];
    match job.end {
        Some(end) => end == JobEnd::Cancelled,
        None => job
            .dependencies
            .iter()
            .any(|dependency| is_cancelled(jobs, *dependency)),
    }
}

/// Whether a job is neither done nor cancelled.
fn is_open(jobs: &[GeneratedJob], index: usize) -> bool {
    jobs[index].end.is_none() && !is_cancelled(jobs, index)
}

fn is_blocked(jobs: &[GeneratedJob], index: usize) -> bool {
    let is_done = |dependency: &usize| jobs[*dependency].end == Some(JobEnd::Done);
    is_open(jobs, index) && !jobs[index].dependencies.iter().all(is_done)
}

/// The open jobs that depend directly on a job.
fn dependents(jobs: &[GeneratedJob], index: usize) -> impl Iterator<Item = usize> {
    (index + 1..jobs.len()).filter(move |dependent| {
        jobs[*dependent].dependencies.contains(&index) && is_open(jobs, *dependent)
    })
}

/// The highest priority of a job and of all open jobs that depend on it, directly or indirectly.
fn effective_priority(jobs: &[GeneratedJob], index: usize) -> Priority {
    let inherited = dependents(jobs, index).map(|dependent| effective_priority(jobs, dependent));
    inherited.fold(jobs[index].spec.priority, Priority::max)
}

/// When a job must be done for its dependents to meet their deadlines; infinite without such a deadline.
fn required_by(jobs: &[GeneratedJob], index: usize, leader: &Leader) -> Time {
    let times = dependents(jobs, index).map(|dependent| {
        let known = &leader.jobs[&leader.job_index(&jobs[dependent].spec.id).unwrap()];
        let own = known.spec.deadline_s.map(|s| known.submitted_at + s);
        let done_by = own
            .unwrap_or(f64::INFINITY)
            .min(required_by(jobs, dependent, leader));
        done_by - leader.autoscaler.expected_run_s(known)
    });
    times.fold(f64::INFINITY, f64::min)
}

// ---- Stored records and the replicas and leaders that are built from them.

fn submitted_at(index: usize) -> Time {
    index as f64 * SUBMISSION_INTERVAL_S
}

/// The keys and values of a job's submission, stored in one transaction.
fn stored_values(
    job: &GeneratedJob,
    index: usize,
) -> Vec<(String, Box<serde_json::value::RawValue>)> {
    let mut spec = job.spec.clone();
    let ids = spec.waits_on.clone();
    if job.dependency_parts > 0 {
        spec.waits_on.clear();
    }
    let id = spec.id.clone();
    let record = JobRecord {
        charged_to: None,
        spec,
        submitted_unix_ms: job
            .has_submission_time
            .then(|| UNIX_MS + (submitted_at(index) * 1000.0) as u64),
        dependency_parts: job.dependency_parts,
    };
    let mut values = vec![(keys::job(&id), to_raw_value(&record).unwrap())];
    if job.dependency_parts > 0 {
        let ids_per_part = ids.len().div_ceil(job.dependency_parts as usize);
        for (part, ids) in (1..).zip(ids.chunks(ids_per_part)) {
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

fn assert_states_match(replica: &StateReplica, jobs: &[GeneratedJob], source: &str) {
    for (index, job) in jobs.iter().enumerate() {
        let id = job.spec.id.as_str();
        let replicated = &replica.jobs[id];
        let cancelled = replicated.status(id).state == JobState::Cancelled;
        assert_eq!(
            cancelled,
            is_cancelled(jobs, index),
            "{source}: {id} cancelled"
        );
        if job.end.is_none() {
            assert_eq!(
                replicated.is_blocked,
                is_blocked(jobs, index),
                "{source}: {id} blocked"
            );
        }
    }
}

/// A replica that watches the store from the beginning. Jobs and ends arrive in a random order among those that can
/// occur: a job is done only after all its dependencies. Asserts that no job becomes ready twice, cancelled twice, or
/// ready after its cancellation.
fn watch(rng: &mut SmallRng, jobs: &[GeneratedJob]) -> StateReplica {
    let mut replica = StateReplica::default();
    replica.finish_load(0.0, UNIX_MS);
    let mut ended = BTreeSet::new();
    let (mut ready, mut cancelled) = (BTreeSet::new(), BTreeSet::new());
    let mut accepted = 0;
    let mut revision = 0;
    loop {
        let may_end: Vec<usize> = (0..accepted)
            .filter(|index| {
                let job = &jobs[*index];
                let has_cancelled_end = job.end == Some(JobEnd::Cancelled);
                let dependencies_ended = job
                    .dependencies
                    .iter()
                    .all(|dependency| ended.contains(dependency));
                job.end.is_some()
                    && !ended.contains(index)
                    && (has_cancelled_end || dependencies_ended)
            })
            .collect();
        revision += 1;
        if accepted < jobs.len() && (may_end.is_empty() || rng.random_bool(0.5)) {
            for (key, value) in stored_values(&jobs[accepted], accepted) {
                replica.apply(&key, Some(&value), revision);
            }
            accepted += 1;
        } else if !may_end.is_empty() {
            let index = may_end[rng.random_range(0..may_end.len())];
            let record = to_raw_value(&end_record(jobs[index].end.unwrap())).unwrap();
            replica.apply(
                &keys::job_end(&jobs[index].spec.id),
                Some(&record),
                revision,
            );
            ended.insert(index);
        } else {
            return replica;
        }
        let changes = replica.take_readiness_changes(revision as f64);
        for id in changes.ready {
            assert!(
                !cancelled.contains(&id),
                "{id} became ready after its cancellation"
            );
            assert!(ready.insert(id.clone()), "{id} became ready twice");
        }
        for id in changes.cancelled {
            assert!(cancelled.insert(id.clone()), "{id} was cancelled twice");
        }
    }
}

/// A replica that loads the stored jobs and ends, in the order of their keys.
fn load(jobs: &[GeneratedJob], now: Time, unix_ms: u64) -> StateReplica {
    let mut store = FakeStore::default();
    for (index, job) in jobs.iter().enumerate() {
        store.revision += 1;
        for (key, value) in stored_values(job, index) {
            store.keys.insert(key, (value, store.revision));
        }
        if let Some(end) = job.end {
            store.put(keys::job_end(&job.spec.id), &end_record(end));
        }
    }
    let mut replica = StateReplica::default();
    for (key, (value, version)) in &store.keys {
        replica.apply(key, Some(value), *version);
    }
    replica.finish_load(now, unix_ms);
    replica
}

fn start_leader(replica: &StateReplica, now: Time) -> Leader {
    let config = Rc::new(crate::config::tests::sample());
    let forecast = Rc::new(RefCell::new(ArrivalForecast::new(3.0, 120.0, now)));
    Leader::start_term(config, 1000, Rc::new(types()), replica, forecast, now)
}

fn assert_requirements_match(leader: &Leader, jobs: &[GeneratedJob]) {
    for (index, job) in jobs.iter().enumerate() {
        if !is_open(jobs, index) {
            continue;
        }
        let known = &leader.jobs[&leader.job_index(&job.spec.id).unwrap()];
        let expected = effective_priority(jobs, index);
        assert_eq!(known.spec.priority, expected, "{}", job.spec.id);
        let expected = required_by(jobs, index, leader);
        let equal = known.required_by == expected || (known.required_by - expected).abs() < 1e-9;
        assert!(equal, "{}: {} {expected}", job.spec.id, known.required_by);
    }
}

/// A replica derives the same states whether it watches jobs and ends arrive or loads them all at once.
#[test]
fn states_derived_from_stored_ends_match_the_reference() {
    for seed in 0..GRAPHS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let jobs = generate(&mut rng, true);
        assert_states_match(&watch(&mut rng, &jobs), &jobs, "watched");
        let loaded = load(&jobs, 500.0, UNIX_MS + 500_000);
        assert_states_match(&loaded, &jobs, "loaded");
    }
}

/// Priorities and deadlines propagate to dependencies in the same way whether a leader loads all jobs or adds them one
/// by one. The leader's wall clock may differ from that of the controllers that stored the submission times, and
/// earlier versions stored none.
#[test]
fn propagated_requirements_and_submission_times_match_the_reference() {
    for seed in 0..GRAPHS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = JOBS_MAX as f64 * SUBMISSION_INTERVAL_S;
        let jobs = generate(&mut rng, seed % 2 == 0);
        let skew_ms = rng.random_range(-CLOCK_SKEW_S * 1000.0..CLOCK_SKEW_S * 1000.0);
        let unix_ms = UNIX_MS + (now * 1000.0 + skew_ms) as u64;
        let loaded = load(&jobs, now, unix_ms);
        let loading_leader = start_leader(&loaded, now);
        assert_requirements_match(&loading_leader, &jobs);
        for (index, job) in jobs.iter().enumerate().filter(|(_, j)| j.end.is_none()) {
            let known = &loading_leader.jobs[&loading_leader.job_index(&job.spec.id).unwrap()];
            if job.has_submission_time {
                let error_s = (known.submitted_at - submitted_at(index)).abs();
                // Both wall-clock times are rounded down to whole milliseconds.
                assert!(
                    error_s <= CLOCK_SKEW_S + 0.002,
                    "{}: {error_s}",
                    job.spec.id
                );
            } else {
                assert_eq!(known.submitted_at, now, "{}", job.spec.id);
            }
        }
        // Jobs are added one by one only in graphs without ends.
        if jobs.iter().any(|j| j.end.is_some()) {
            continue;
        }
        let mut watching_leader = start_leader(&StateReplica::default(), 0.0);
        for index in 0..jobs.len() {
            let now = submitted_at(index);
            let loaded = load(&jobs[..=index], now, UNIX_MS);
            let id: Rc<str> = jobs[index].spec.id.as_str().into();
            watching_leader.add_stored_job(&id, &loaded.jobs[&id], now);
        }
        assert_requirements_match(&watching_leader, &jobs);
    }
}

/// The clock of the controller that stored a submission may be ahead. A submission time in the future, by this
/// controller's clock, counts as now.
#[test]
fn submission_times_are_never_in_the_future() {
    let jobs = generate(&mut SmallRng::seed_from_u64(1), false);
    let leader = start_leader(&load(&jobs, 0.0, UNIX_MS - 200), 0.0);
    assert!(leader.jobs.values().all(|job| job.submitted_at <= 0.0));
}

/// The propagation must follow each dependency once, four in each rung. A recursive walk follows each path through the
/// ladder, of which there are 2^100 here, and would not end in any practical time.
#[test]
fn requirements_of_a_ladder_of_diamonds_propagate_in_one_pass() {
    const RUNGS: usize = 100;
    // Job 3n depends on 3n-1 and 3n-2, which both depend on 3n-3. Job 3n-2 runs for 5 s, all others for 1 s.
    let dependencies = |job: usize| match job {
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
        dependencies,
        |dependency, job| {
            visits += 1;
            let start_by = required_by[job] - if job % 3 == 1 { 5.0 } else { 1.0 };
            let is_earlier = start_by < required_by[dependency];
            required_by[dependency] = required_by[dependency].min(start_by);
            is_earlier
        },
    );
    assert_eq!(required_by[0], -6.0 * RUNGS as f64);
    assert_eq!(visits, 4 * RUNGS);
}
