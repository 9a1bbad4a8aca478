//! The key of a class of jobs, by which controllers exchange run times.

use crate::protocol::users::Submission;

/// Returns the key of a job's class. Jobs of the same class may use the same machines.
///
/// Controllers send each other run times under this text, so its format must not change.
pub fn class_key(spec: &Submission) -> String {
    format!(
        "{}|{:?}|{:?}|{}",
        spec.class, spec.types, spec.zone, spec.spot
    )
}
