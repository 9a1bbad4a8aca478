//! An estimate of the memory that the stored state takes at a controller that leads: each controller may be elected.

use super::{ReplicatedJob, StateReplica};

/// Memory of a job with a stored record, in the replica and at the leader together, in bytes. Waiting tasks take none.
pub(crate) const JOB_BYTES: f64 = 4096.0;
/// Memory of a job of which only the end is stored, in bytes.
const ENDED_JOB_BYTES: f64 = 512.0;
/// Memory of a dependency of a job, in bytes.
const DEPENDENCY_BYTES: f64 = 128.0;

impl StateReplica {
    /// Estimates the memory that the stored jobs take at a controller that leads, in bytes. Tasks that were started are not
    /// part of it: the scheduler bounds them.
    pub(crate) fn estimated_bytes(&self) -> f64 {
        self.jobs.values().map(estimated_job_bytes).sum()
    }
}

fn estimated_job_bytes(job: &ReplicatedJob) -> f64 {
    let Some(spec) = &job.spec else {
        return ENDED_JOB_BYTES;
    };
    JOB_BYTES + spec.waits_on.len() as f64 * DEPENDENCY_BYTES
}
