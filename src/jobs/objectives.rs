//! Targets that the service-level objectives set for a job.

use crate::config::{Config, ObjectiveKind};
use crate::protocol::users::Submission;

/// Returns the time in seconds within which the tasks of a job should start: the shortest target of the wait objectives
/// for its class and, if its team has a guarantee, of the guarantee objectives. Infinite if there is none.
pub fn strictest_start_target_s(config: &Config, spec: &Submission) -> f64 {
    let team_has_guarantee = config
        .team(&spec.team)
        .is_some_and(|t| t.cpus > 0.0 || t.gpus > 0.0);
    config
        .deployment
        .objectives
        .iter()
        .filter(|o| match o.kind {
            ObjectiveKind::Wait => o.class.as_deref() == Some(&spec.class),
            ObjectiveKind::Guarantee => team_has_guarantee,
            _ => false,
        })
        .filter_map(|o| o.within_s)
        .fold(f64::INFINITY, f64::min)
}
