//! Dependencies between jobs in the replica: which jobs are blocked, and which became ready or cancelled.

use std::collections::HashMap;
use std::rc::Rc;

use serde_json::value::RawValue;

use super::{DependencyPartId, ReplicaEvent, ReplicatedJob, StateReplica};
use crate::jobs::dependency_graph::{JobOutcome, ReadinessChanges};
use crate::runtime::Time;

/// Returns the outcome of a dependency according to its own stored end.
fn outcome_in(jobs: &HashMap<Rc<str>, ReplicatedJob>) -> impl Fn(&str) -> JobOutcome {
    |dependency| {
        let job = jobs.get(dependency);
        job.map_or(JobOutcome::Open, ReplicatedJob::outcome)
    }
}

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

    /// Returns the unfinished jobs some of whose dependencies are lost, in order of acceptance: a part that their records
    /// count is not stored, as an earlier version deleted it, or can't be read. Empty until the replica has caught up with
    /// its load, as the parts may have been deleted together with the job.
    pub fn jobs_with_lost_dependencies(&self) -> Vec<Rc<str>> {
        let has_lost = |job: &ReplicatedJob| {
            job.spec.is_some() && !job.has_ended() && job.lacks_dependency_parts
        };
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| self.is_consistent && has_lost(job));
        let mut by_acceptance: Vec<(u64, Rc<str>)> = jobs
            .map(|(id, job)| (job.accepted_revision, id.clone()))
            .collect();
        by_acceptance.sort_unstable();
        by_acceptance.into_iter().map(|(_, id)| id).collect()
    }

    /// Adds the jobs with lost dependencies to the dependency graph. They must not start, as a lost dependency may not be
    /// done, and nothing shows that one is cancelled; but each is cancelled if a dependency that is not lost is.
    pub(super) fn add_jobs_with_lost_dependencies(&mut self) {
        for id in self.jobs_with_lost_dependencies() {
            let known = self.dependency_parts.take_known(&id);
            let Some(spec) = self.jobs.get_mut(&id).and_then(|job| job.spec.as_mut()) else {
                continue;
            };
            Rc::make_mut(spec).waits_on.extend(known);
            let dependencies = spec.waits_on.clone();
            let jobs = &self.jobs;
            self.dependencies
                .add_incomplete(&id, &dependencies, outcome_in(jobs));
        }
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
        self.dependencies
            .add(id, &spec.waits_on, outcome_in(&self.jobs));
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
