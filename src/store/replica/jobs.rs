//! Applies job records, and records of the ends of jobs, to the replica.

use std::rc::Rc;

use serde_json::value::RawValue;

use super::{ReplicaEvent, ReplicatedJob, StateReplica};
use crate::store::records::{EndRecord, JobEnd, JobRecord, decode};

impl StateReplica {
    /// Applies a job's record, or its deletion.
    pub(super) fn apply_job(
        &mut self,
        id: &str,
        value: Option<&RawValue>,
        revision: u64,
    ) -> Option<ReplicaEvent> {
        let id: Rc<str> = id.into();
        match value {
            Some(value) => {
                self.insert_job(&id, value, revision);
                self.merge_dependency_parts(&id);
                let lacks_parts = |job: &ReplicatedJob| job.lacks_dependency_parts;
                if self.jobs.get(&id).is_some_and(lacks_parts) {
                    // The event follows when the parts have been applied.
                    return None;
                }
            }
            None if self.jobs.contains_key(&id) => self.remove_job(&id),
            None => return None,
        }
        Some(ReplicaEvent::Job(id))
    }

    fn insert_job(&mut self, id: &Rc<str>, value: &RawValue, revision: u64) {
        let job = self.jobs.entry(id.clone()).or_default();
        // The record of an ended job is applied too: the job's tasks may still be on machines and count against the
        // team's limit. When all keys are loaded, in key order, the end of a job comes before the job's record.
        if job.spec.is_some() {
            return;
        }
        let Some(record) = decode::<JobRecord>(value) else {
            return;
        };
        job.submitted_unix_ms = record.submitted_unix_ms;
        job.is_blocked = !record.spec.waits_on.is_empty() || record.dependency_parts > 0;
        job.dependency_parts = record.dependency_parts;
        job.lacks_dependency_parts = record.dependency_parts > 0;
        let is_done = job.end.is_some_and(|end| end.end == JobEnd::Done);
        if !is_done {
            self.charge(id, &record.spec, record.charged_to);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.spec = Some(Rc::new(record.spec));
            job.accepted_revision = revision;
        }
        self.add_dependencies(id);
    }

    fn remove_job(&mut self, id: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.spec = None;
        job.is_blocked = false;
        job.lacks_dependency_parts = false;
        job.clear_tasks();
        let charge = job.charge.take();
        if !job.is_known() {
            self.jobs.remove(id);
        }
        self.release(charge);
    }

    /// Applies the record of a job's end.
    pub(super) fn apply_job_end(&mut self, id: &str, value: &RawValue) -> Option<ReplicaEvent> {
        let id: Rc<str> = id.into();
        let record = decode::<EndRecord>(value)?;
        let job = self.jobs.entry(id.clone()).or_default();
        job.end = Some(record);
        if record.end == JobEnd::Done {
            // The tasks of a cancelled job may still be on machines, so its charge is kept until its record is deleted.
            let charge = job.charge.take();
            self.release(charge);
        }
        if self.is_loaded {
            let is_done = record.end == JobEnd::Done;
            self.dependencies.record_end(&id, is_done);
        }
        Some(ReplicaEvent::JobEnd(id))
    }
}
