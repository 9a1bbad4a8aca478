//! Checks of submissions against the settings and the machine types. They send no request to the store.

use std::collections::BTreeSet;

use crate::config::Config;
use crate::fleet::machine_catalog::is_type_allowed;
use crate::protocol::cloud::MachineType;
use crate::protocol::json::from_object;
use crate::protocol::users::{JobKind, Submission};
use crate::scheduler::attempt_limits::gang_tasks_max;

/// Maximum number of tasks of a job, set by the protocol.
const TASKS_MAX: u32 = 100_000;
/// Maximum number of digits in a job's id.
const ID_DIGITS_MAX: usize = 18;
/// Prefix of every job id.
const ID_PREFIX: &str = "j-";
/// Tolerance for rounding errors when a job's resources are compared with its team's limit.
const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Why a submission is malformed. Users get these texts as the answer.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not a submission in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's id doesn't have the form that [`is_job_id`] checks.
    #[error("Uid: not a job id")]
    JobId,
    /// The number of tasks is out of range.
    #[error("Legs: not between 1 and {TASKS_MAX}")]
    TaskCount,
    /// The field with this name is an empty string.
    #[error("{0}: is empty")]
    EmptyString(&'static str),
    /// The field with this name, an amount or a duration, is negative or not finite.
    #[error("{0}: negative or not finite")]
    InvalidNumber(&'static str),
    /// A dependency is not a job id.
    #[error("WaitsOn: {0} is not a job id")]
    DependencyId(String),
}

/// Why a job can never run. Users get these texts as the answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Infeasibility {
    /// The settings don't have the job's team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The tasks of the gang must be in different zones, but they are restricted to a single zone.
    #[error("its tasks may not all be in the only zone that they may be in")]
    SingleZone,
    /// The tasks that must run at the same time exceed the team's limit.
    #[error("more than the team's limit")]
    TeamLimit,
    /// The gang has more tasks than the controllers can hold at the same time.
    #[error("more than {0} tasks at the same time")]
    GangTasks(u32),
}

/// Why a job's dependencies can never be done. Users get these texts as the answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DependencyError {
    /// The dependency is not a known job.
    #[error("WaitsOn: {0} was never submitted")]
    NeverSubmitted(String),
    /// The dependency is a service, which runs until it is cancelled.
    #[error("WaitsOn: {0} is never done")]
    NeverDone(String),
}

/// Whether a string is a job id: the prefix `j-` and 1 to 18 decimal digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX).is_some_and(|digits| {
        (1..=ID_DIGITS_MAX).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Parses a submission and checks its fields. The dependencies of the result are sorted and distinct.
pub fn parse_submission(body: &[u8]) -> Result<Submission, SubmissionError> {
    let mut job: Submission = from_object(body)?;
    if !is_job_id(&job.id) {
        return Err(SubmissionError::JobId);
    }
    if !(1..=TASKS_MAX).contains(&job.tasks) {
        return Err(SubmissionError::TaskCount);
    }
    check_strings(&job)?;
    check_numbers(&job)?;
    if let Some(id) = job.waits_on.iter().find(|id| !is_job_id(id)) {
        return Err(SubmissionError::DependencyId(id.clone()));
    }
    job.waits_on.sort_unstable();
    job.waits_on.dedup();
    Ok(job)
}

/// Checks that the class, the team and the image are not empty.
fn check_strings(job: &Submission) -> Result<(), SubmissionError> {
    for (name, value) in [
        ("Jobclass", &job.class),
        ("Crew", &job.team),
        ("Bundle", &job.image),
    ] {
        if value.is_empty() {
            return Err(SubmissionError::EmptyString(name));
        }
    }
    Ok(())
}

/// Checks that all amounts and durations are finite and not negative.
fn check_numbers(job: &Submission) -> Result<(), SubmissionError> {
    for (name, value) in [
        ("Cores", job.cpus),
        ("Gpus", job.gpus),
        ("MemoryGb", job.memory_gb),
        ("ImageGb", job.image_gb),
        ("ExpectedS", job.estimate_s),
        ("WaypointS", job.checkpoint_s),
        ("StashS", job.save_s),
        ("DueS", job.deadline_s.unwrap_or(0.0)),
    ] {
        if !(value.is_finite() && value >= 0.0) {
            return Err(SubmissionError::InvalidNumber(name));
        }
    }
    Ok(())
}

/// Why a job can never run; None if it can.
pub fn infeasibility(
    job: &Submission,
    config: &Config,
    types: &[MachineType],
) -> Option<Infeasibility> {
    let Some(team) = config.team(&job.team) else {
        return Some(Infeasibility::UnknownTeam(job.team.clone()));
    };
    if !types.iter().any(|t| is_type_allowed(job, t)) {
        return Some(Infeasibility::NoMachineType);
    }
    let concurrent_tasks = match job.kind {
        JobKind::Array | JobKind::Service => 1.0,
        JobKind::Gang => f64::from(job.tasks),
    };
    if job.kind == JobKind::Gang
        && job.spread
        && job.tasks > 1
        && usable_zones(job, types).len() < 2
    {
        return Some(Infeasibility::SingleZone);
    }
    // A maximum of 0 means that the team has no limit for this resource.
    let exceeds =
        |per_task: f64, max: f64| max > 0.0 && per_task * concurrent_tasks > max + AMOUNT_TOLERANCE;
    if exceeds(job.cpus, team.cpus_max) || exceeds(job.gpus, team.gpus_max) {
        return Some(Infeasibility::TeamLimit);
    }
    let gang_tasks_max = gang_tasks_max(&config.deployment);
    if job.kind == JobKind::Gang && job.tasks > gang_tasks_max {
        return Some(Infeasibility::GangTasks(gang_tasks_max));
    }
    None
}

/// Zones in which a job's tasks may run at the same time: at most one if the job wants all its tasks in one zone.
fn usable_zones<'a>(job: &Submission, types: &'a [MachineType]) -> BTreeSet<&'a str> {
    let allowed = types.iter().filter(|t| is_type_allowed(job, t));
    let zones = allowed.flat_map(|t| t.zones.iter().map(String::as_str));
    let is_allowed = |name: &&str| job.zone.as_ref().is_none_or(|zone| zone == name);
    let count_max = if job.one_zone { 1 } else { usize::MAX };
    zones
        .filter(is_allowed)
        .collect::<BTreeSet<_>>()
        .into_iter()
        .take(count_max)
        .collect()
}

#[cfg(test)]
mod tests;
