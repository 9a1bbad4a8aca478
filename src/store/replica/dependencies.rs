//! Dependencies between jobs in the replica: which jobs are blocked, and which became ready or cancelled.

use std::rc::Rc;

use serde_json::value::RawValue;

use super::{DependencyPartId, ReplicaEvent, ReplicatedJob, StateReplica};
use crate::jobs::dependency_graph::{JobOutcome, ReadinessChanges};
use crate::runtime::Time;

impl StateReplica {
    /// Applies a part of a job's dependencies, or the deletion of the part. Returns the event of the job if this was the
    /// last part that it lacked.
    pub(super) fn apply_dependency_part(
        &mut self,
        id: &str,
        part: u32,
        value: Option<&RawValue>,
    ) -> Option<ReplicaEvent> {
        let part = DependencyPartId {
            job: id.into(),
            number: part,
        };
        let Some(value) = value else {
            self.dependency_parts.remove(&part);
            return None;
        };
        self.dependency_parts.insert(&part, value);
        self.merge_dependency_parts(&part.job)
            .then_some(ReplicaEvent::Job(part.job))
    }

    /// Adds the dependencies in a job's parts to its submission, once the job's record and all of its parts have been
    /// applied. They may come in any order: a load that reads the page with the parts after the creation of a job that
    /// it has not read brings the parts first. Returns whether the dependencies were added.
    pub(super) fn merge_dependency_parts(&mut self, id: &Rc<str>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(spec) = job.spec.as_mut().filter(|_| job.lacks_dependency_parts) else {
            return false;
        };
        let Some(dependencies) = self.dependency_parts.take_all(id, job.dependency_parts) else {
            return false;
        };
        Rc::make_mut(spec).waits_on.extend(dependencies);
        job.lacks_dependency_parts = false;
        self.add_dependencies(id);
        true
    }

    /// Returns the stored dependency parts whose jobs have no record. Once every change up to a revision has been
    /// applied, these are the parts of jobs whose records were deleted, as the parts are created together with the job.
    pub fn dependency_parts_without_job(&self) -> impl Iterator<Item = DependencyPartId> {
        let has_record = |id: &str| self.jobs.get(id).is_some_and(|job| job.spec.is_some());
        self.dependency_parts
            .ids()
            .filter(move |part| !has_record(&part.job))
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
        if job.end.is_some() || job.lacks_dependency_parts {
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
