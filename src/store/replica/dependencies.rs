//! Dependencies between jobs in the replica: which jobs are blocked, and which became ready or cancelled.

use std::rc::Rc;

use serde_json::value::RawValue;

use super::{ReplicatedJob, StateReplica};
use crate::jobs::dependency_graph::{JobOutcome, ReadinessChanges};
use crate::runtime::Time;
use crate::store::keys::StoredKey;
use crate::store::records::decode;

impl StateReplica {
    /// Applies a part of a job's dependencies, or the deletion of the part.
    pub(super) fn apply_dependency_part(&mut self, key: &str, id: &str, value: Option<&RawValue>) {
        let Some(value) = value else {
            self.orphaned_dependency_keys.remove(key);
            return;
        };
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.spec.is_some()) else {
            self.orphaned_dependency_keys.insert(key.to_owned());
            return;
        };
        if job.missing_dependency_parts == 0 {
            return;
        }
        job.missing_dependency_parts -= 1;
        let Some(dependencies) = decode::<Vec<String>>(value) else {
            return;
        };
        if let Some(spec) = &mut job.spec {
            Rc::make_mut(spec).waits_on.extend(dependencies);
        }
        self.add_dependencies(&id.into());
    }

    /// The job of a dependency part's key, if its record is in the replica.
    pub fn job_of_dependency_part(&self, key: &str) -> Option<&ReplicatedJob> {
        match StoredKey::parse(key)? {
            StoredKey::DependencyPart { job } => {
                self.jobs.get(job).filter(|job| job.spec.is_some())
            }
            _ => None,
        }
    }

    /// Adds a blocked job to the dependency graph. Does nothing before the replica is loaded and all parts of the job's
    /// dependencies have been applied, or if the job has ended.
    pub(super) fn add_dependencies(&mut self, id: &Rc<str>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_blocked_and_loaded = self.is_loaded && job.is_blocked;
        let Some(spec) = job.spec.as_ref().filter(|_| is_blocked_and_loaded) else {
            return;
        };
        if job.end.is_some() || job.missing_dependency_parts > 0 {
            return;
        }
        let jobs = &self.jobs;
        let outcome = |dependency: &str| {
            let job = jobs.get(dependency);
            job.map_or(JobOutcome::Open, ReplicatedJob::outcome)
        };
        self.dependencies.add(id, &spec.waits_on, outcome);
    }

    /// Returns the jobs that became ready, or were cancelled because a dependency was, since the last call. Updates
    /// these jobs in the replica, with `now` as the ready time of the jobs that became ready.
    pub fn take_readiness_changes(&mut self, now: Time) -> ReadinessChanges {
        let changes = self.dependencies.take_changes();
        for id in &changes.ready {
            if let Some(job) = self.jobs.get_mut(id) {
                job.is_blocked = false;
                job.ready_at = Some(now);
            }
        }
        for id in &changes.cancelled {
            if let Some(job) = self.jobs.get_mut(id) {
                job.is_blocked = false;
                job.dependency_cancelled = true;
            }
        }
        changes
    }
}
