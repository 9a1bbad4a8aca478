//! Recomputes the usage of each team over time from the history of the state service. It uses only the records of jobs,
//! so that the result does not depend on the quota records, which are under test.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state_service::CommittedChange;

/// Total CPUs of a team's unfinished jobs after a change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsagePoint {
    /// Time from the start of the state service to the change.
    pub elapsed: Duration,
    /// CPUs of all tasks of the team's unfinished jobs.
    pub cpus: f64,
}

/// Returns the CPUs of unfinished jobs over time, by team. A job counts until it is done or, if it was cancelled, until
/// its record is deleted.
pub fn usage_by_team(history: &[CommittedChange]) -> BTreeMap<String, Vec<UsagePoint>> {
    let mut jobs: BTreeMap<String, (String, f64)> = BTreeMap::new();
    let mut current_cpus: BTreeMap<String, f64> = BTreeMap::new();
    let mut usage: BTreeMap<String, Vec<UsagePoint>> = BTreeMap::new();
    for change in history {
        let mut segments = change.key.rsplitn(3, '/');
        let (Some(id), Some(record_type)) = (segments.next(), segments.next()) else {
            continue;
        };
        let (team, cpus) = match (record_type, &change.value) {
            ("job", Some(job)) => {
                let team = job["Crew"].as_str().unwrap_or_default().to_owned();
                let cpus =
                    job["Cores"].as_f64().unwrap_or(0.0) * job["Legs"].as_f64().unwrap_or(0.0);
                jobs.insert(id.into(), (team.clone(), cpus));
                (team, cpus)
            }
            ("end", Some(end)) if end["end"] != "done" => continue,
            ("job", None) | ("end", Some(_)) => match jobs.remove(id) {
                Some((team, cpus)) => (team, -cpus),
                None => continue,
            },
            _ => continue,
        };
        let total = current_cpus.entry(team.clone()).or_default();
        *total += cpus;
        let point = UsagePoint {
            elapsed: change.elapsed,
            cpus: *total,
        };
        usage.entry(team).or_default().push(point);
    }
    usage
}

/// Returns the highest usage in a series, or 0 if it is empty.
pub fn max_cpus(points: &[UsagePoint]) -> f64 {
    points.iter().map(|point| point.cpus).fold(0.0, f64::max)
}

/// Returns the number of changes of keys with a path segment, such as `job` or `quota`.
pub fn write_count(history: &[CommittedChange], segment: &str) -> usize {
    let pattern = format!("/{segment}/");
    history
        .iter()
        .filter(|change| change.key.contains(&pattern))
        .count()
}
