//! Dependency parts and the records of their jobs, in every order in which a load and a watch can deliver them.

use super::raw;
use crate::protocol::users::Submission;
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd, JobRecord};
use crate::store::replica::{DependencyPartId, StateReplica};
use crate::test_support::job;

const JOB: &str = "j-9";
const PARTS: [&[&str]; 2] = [&["j-1", "j-2"], &["j-3"]];
/// No part.
const NONE: [u32; 0] = [];
/// The revision at which the job and its parts are created.
const CREATED_AT: u64 = 5;

/// A stored key and its value.
type Stored = (String, String);

/// The record of the job, whose dependencies are all in parts.
fn job_record() -> Stored {
    let record = JobRecord {
        spec: job(JOB, 1),
        submitted_unix_ms: None,
        dependency_parts: PARTS.len() as u32,
        charged_to: None,
    };
    (keys::job(JOB), serde_json::to_string(&record).unwrap())
}

fn part(number: u32) -> Stored {
    let ids = PARTS[number as usize - 1];
    let key = keys::dependency_part(JOB, number);
    (key, serde_json::to_string(ids).unwrap())
}

fn put(replica: &mut StateReplica, (key, value): &Stored, revision: u64) {
    replica.apply(key, Some(&raw(value)), revision);
}

fn end(replica: &mut StateReplica, id: &str, end: JobEnd, revision: u64) {
    let record = EndRecord {
        end,
        tasks_done: 0,
        ended_unix_ms: None,
    };
    let value = serde_json::to_string(&record).unwrap();
    put(replica, &(keys::job_end(id), value), revision);
}

fn parts_without_job(replica: &StateReplica) -> Vec<u32> {
    let parts = replica.dependency_parts_without_job();
    parts.map(|part| part.number).collect()
}

/// A replica that has not finished its load and knows the jobs that the job depends on.
fn replica_with_dependencies() -> StateReplica {
    let mut replica = StateReplica::default();
    for (revision, id) in (1..).zip(PARTS.concat()) {
        let spec = serde_json::to_string(&job(id, 1)).unwrap();
        put(&mut replica, &(keys::job(id), spec), revision);
    }
    replica
}

/// Guards against lost dependencies: a part that was applied before its job counted as a part of a deleted job for good,
/// also when the watch had delivered the job and the part again.
#[test]
fn a_job_gets_its_dependencies_in_whatever_order_its_keys_are_applied() {
    let stored = [job_record(), part(1), part(2)];
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    for order in orders {
        for read_in_load in 0..=stored.len() {
            let context = format!("{order:?}, {read_in_load} of them read by the load");
            let mut replica = replica_with_dependencies();
            for index in &order[..read_in_load] {
                put(&mut replica, &stored[*index], CREATED_AT);
            }
            replica.set_consistent_from(CREATED_AT);
            replica.finish_load(0.0, 0);
            // The watch delivers the whole transaction, also what the load has read.
            for index in order {
                put(&mut replica, &stored[index], CREATED_AT);
            }
            let replicated = &replica.jobs[JOB];
            let dependencies = &replicated.spec.as_ref().unwrap().waits_on;
            assert_eq!(*dependencies, PARTS.concat(), "{context}");
            assert!(replicated.is_blocked, "{context}");
            assert_eq!(parts_without_job(&replica), NONE, "{context}");
            replica.advance_to(CREATED_AT);
            end(&mut replica, "j-3", JobEnd::Cancelled, CREATED_AT + 1);
            replica.take_readiness_changes(0.0);
            assert!(replica.jobs[JOB].dependency_cancelled, "{context}");
        }
    }
}

/// A leader that crashes after it has deleted a job's record leaves the job's parts. They must be known as obsolete to a
/// controller that has followed the deletion, not only to one that loads the store afterwards: otherwise they stay as
/// long as such controllers lead.
#[test]
fn parts_of_a_deleted_job_are_obsolete_until_they_are_deleted() {
    let mut replica = replica_with_dependencies();
    replica.finish_load(0.0, 0);
    for stored in [job_record(), part(1), part(2)] {
        put(&mut replica, &stored, CREATED_AT);
    }
    end(&mut replica, JOB, JobEnd::Cancelled, CREATED_AT + 1);
    assert_eq!(parts_without_job(&replica), NONE);
    replica.apply(&keys::job(JOB), None, CREATED_AT + 2);
    assert_eq!(parts_without_job(&replica), [1, 2]);
    replica.apply(&keys::dependency_part(JOB, 1), None, CREATED_AT + 3);
    assert_eq!(parts_without_job(&replica), [2]);
    let id = DependencyPartId {
        job: JOB.into(),
        number: 2,
    };
    replica.apply(&id.key(), None, CREATED_AT + 4);
    assert_eq!(parts_without_job(&replica), NONE);
}

/// An earlier version deleted parts of unfinished jobs. The job must not start, as a lost dependency may not be done, and
/// must not be cancelled without a cancellation; but that of a dependency in a part that is left must reach it.
#[test]
fn a_job_with_lost_dependencies_stays_blocked_and_is_cancelled_with_those_that_are_left() {
    for last_end in [JobEnd::Done, JobEnd::Cancelled] {
        let mut replica = replica_with_dependencies();
        for stored in [job_record(), part(1)] {
            put(&mut replica, &stored, CREATED_AT);
        }
        let after = Submission {
            waits_on: vec![JOB.into()],
            ..job("j-10", 1)
        };
        let after = serde_json::to_string(&after).unwrap();
        put(&mut replica, &(keys::job("j-10"), after), CREATED_AT + 1);
        replica.advance_to(CREATED_AT + 1);
        replica.finish_load(0.0, 0);
        assert_eq!(replica.jobs_with_lost_dependencies(), [JOB.into()]);
        end(&mut replica, "j-1", JobEnd::Done, CREATED_AT + 2);
        end(&mut replica, "j-2", last_end, CREATED_AT + 3);
        end(&mut replica, "j-3", JobEnd::Done, CREATED_AT + 4);
        replica.take_readiness_changes(0.0);
        let is_cancelled = last_end == JobEnd::Cancelled;
        for id in [JOB, "j-10"] {
            let replicated = &replica.jobs[id];
            assert_eq!(replicated.dependency_cancelled, is_cancelled, "{id}");
            assert_eq!(replicated.is_blocked, !is_cancelled, "{id}");
        }
    }
}
