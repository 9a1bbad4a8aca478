//! Refusal of submissions that the controllers have no memory for. An accepted job must be held by whichever controller
//! leads, so the measure is the state that all controllers have stored, against the limit of one process.

use std::cell::Cell;

use crate::config::Deployment;
use crate::controller::Controller;
use crate::memory::{BYTES_PER_MB, MemoryUse};
use crate::runtime::Time;
use crate::store::replica::memory_estimate::JOB_BYTES;

/// The share of the memory limit that the stored jobs may take, without their started tasks.
const STATE_MEMORY_SHARE: f64 = 0.25;
/// The share of the memory limit above which a process accepts nothing more, whatever the estimate says.
const RESIDENT_SHARE_MAX: f64 = 0.92;
/// Time for which a measurement is used, in seconds.
const MEASUREMENT_VALID_S: f64 = 1.0;
/// Time in which other controllers may accept jobs that the replica doesn't show yet, in seconds.
const UNSEEN_JOBS_S: f64 = 3.0;

/// The memory that the stored state and this process take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryMeasurement {
    measured_at: Time,
    /// Estimated memory of the stored state at a leader, in megabytes.
    pub(crate) state_mb: f64,
    /// Resident memory of this process, in megabytes; 0 if it is unknown.
    pub(crate) resident_mb: f64,
}

impl MemoryMeasurement {
    /// Whether another job may be accepted.
    pub(crate) fn has_room(&self, deployment: &Deployment) -> bool {
        let limit_mb = deployment.limits.ram_mb;
        let unseen_jobs = deployment.state.write_rps * UNSEEN_JOBS_S;
        let unseen_mb = unseen_jobs * JOB_BYTES / BYTES_PER_MB;
        self.state_mb + unseen_mb < limit_mb * STATE_MEMORY_SHARE
            && self.resident_mb < limit_mb * RESIDENT_SHARE_MAX
    }
}

/// What submissions are refused by.
#[derive(Debug, Default)]
pub(crate) struct MemoryAdmission {
    last: Cell<Option<MemoryMeasurement>>,
    measures_process: Cell<bool>,
}

impl MemoryAdmission {
    /// Measures the memory of this process too. Not called in tests, whose process runs several controllers.
    pub(crate) fn measure_process(&self) {
        self.measures_process.set(true);
    }

    fn resident_mb(&self) -> f64 {
        let memory = self.measures_process.get().then(MemoryUse::read).flatten();
        memory.map_or(0.0, |memory| memory.resident_mb)
    }
}

impl Controller {
    /// Whether there is memory for another job. A refusal is logged with its reason, once a measurement.
    pub(crate) fn has_memory_for_job(&self) -> bool {
        let now = self.now();
        let last = self.memory_admission.last.get();
        if let Some(last) = last.filter(|last| now - last.measured_at < MEASUREMENT_VALID_S) {
            return last.has_room(&self.config.deployment);
        }
        let measurement = self.measure_memory(now);
        self.memory_admission.last.set(Some(measurement));
        let has_room = measurement.has_room(&self.config.deployment);
        if !has_room {
            tracing::warn!(
                state_mb = measurement.state_mb.round(),
                resident_mb = measurement.resident_mb.round(),
                memory_limit_mb = self.config.deployment.limits.ram_mb,
                "refusing submissions: no memory for more jobs"
            );
        }
        has_room
    }

    fn measure_memory(&self, now: Time) -> MemoryMeasurement {
        MemoryMeasurement {
            measured_at: now,
            state_mb: self.replication.replica.borrow().estimated_bytes() / BYTES_PER_MB,
            resident_mb: self.memory_admission.resident_mb(),
        }
    }
}
