//! Validation of the settings file. Only the first violation is reported.

use super::error::{ConfigError, ValueProblem};
use super::{Config, Deployment, Objective, Peer, StateLimits, Team, Workers};

/// Shortest duration of the leader's lease, in seconds, that can be renewed in time.
const LEADER_LEASE_MIN_S: f64 = 0.1;

/// Minimum number of sockets with which a controller can serve users, workers and peers.
const SOCKETS_MIN: usize = 16;

/// Checks the settings of the file, and the tunables, which have their defaults as long as no script has run.
pub(super) fn check(config: &Config) -> Result<(), ConfigError> {
    let deployment = &config.deployment;
    if config.node.is_empty() {
        return Err(ConfigError::value("host_name", ValueProblem::Empty));
    }
    if deployment.nodes == 0 {
        return Err(ConfigError::value("deployment.count", ValueProblem::Zero));
    }
    check_peers(&config.node, &config.peers)?;
    check_positive(deployment)?;
    check_amount("deployment.cloud.list_lag_s", deployment.cloud.list_lag_s)?;
    check_transaction_sizes(&deployment.state)?;
    check_sockets(deployment.limits.max_sockets)?;
    check_teams(&deployment.teams)?;
    check_objectives(&deployment.objectives)?;
    check_leases(config, &deployment.workers)?;
    config.tunables.check()
}

fn check_peers(node: &str, peers: &[Peer]) -> Result<(), ConfigError> {
    for (i, peer) in peers.iter().enumerate() {
        if peer.name == node || peers[..i].iter().any(|p| p.name == peer.name) {
            let problem = ValueProblem::Duplicate(peer.name.clone());
            return Err(ConfigError::value("known.host_name", problem));
        }
    }
    Ok(())
}

/// Checks that all rates, intervals and limits are finite and above zero.
fn check_positive(deployment: &Deployment) -> Result<(), ConfigError> {
    let workers = &deployment.workers;
    let state = &deployment.state;
    let present = [
        ("deployment.workers.report_s", workers.heartbeat_interval_s),
        ("deployment.workers.lease_s", workers.lease_s),
        ("deployment.workers.gang_wait_s", workers.gang_wait_s),
        ("deployment.workers.gang_peer_s", workers.gang_peer_s),
        ("deployment.workers.cancel_s", workers.cancel_s),
        ("deployment.state.rps", state.rps),
        ("deployment.state.write_rps", state.write_rps),
        ("deployment.state.value_kb", state.value_kb),
        ("deployment.cloud.rps", deployment.cloud.rps),
        ("deployment.limits.cores", deployment.limits.cores),
        ("deployment.limits.ram_mb", deployment.limits.ram_mb),
    ];
    let next = state.next.as_ref();
    let future = [
        ("deployment.state.next.rps", next.and_then(|n| n.rps)),
        (
            "deployment.state.next.write_rps",
            next.and_then(|n| n.write_rps),
        ),
        (
            "deployment.state.next.value_kb",
            next.and_then(|n| n.value_kb),
        ),
    ];
    let future = future
        .into_iter()
        .filter_map(|(field, value)| Some((field, value?)));
    for (field, value) in present.into_iter().chain(future) {
        if !(value.is_finite() && value > 0.0) {
            return Err(ConfigError::value(field, ValueProblem::NotPositive(value)));
        }
    }
    Ok(())
}

fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_amount(field: &str, value: f64) -> Result<(), ConfigError> {
    if is_valid_amount(value) {
        Ok(())
    } else {
        Err(ConfigError::value(field, ValueProblem::Negative(value)))
    }
}

fn check_transaction_sizes(state: &StateLimits) -> Result<(), ConfigError> {
    if state.txn_ops == 0 {
        return Err(ConfigError::value(
            "deployment.state.txn_ops",
            ValueProblem::Zero,
        ));
    }
    if state.next.as_ref().is_some_and(|n| n.txn_ops == Some(0)) {
        return Err(ConfigError::value(
            "deployment.state.next.txn_ops",
            ValueProblem::Zero,
        ));
    }
    Ok(())
}

fn check_sockets(max_sockets: usize) -> Result<(), ConfigError> {
    if max_sockets < SOCKETS_MIN {
        let problem = ValueProblem::TooFewSockets {
            value: max_sockets,
            minimum: SOCKETS_MIN,
        };
        return Err(ConfigError::value("deployment.limits.max_sockets", problem));
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Result<(), ConfigError> {
    for (i, team) in teams.iter().enumerate() {
        if teams[..i].iter().any(|t| t.name == team.name) {
            let problem = ValueProblem::Duplicate(team.name.clone());
            return Err(ConfigError::value("deployment.teams", problem));
        }
        for (field, value) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            let field = format!("deployment.teams.{}.{field}", team.name);
            check_amount(&field, value)?;
        }
    }
    Ok(())
}

fn check_objectives(objectives: &[Objective]) -> Result<(), ConfigError> {
    for objective in objectives {
        for (field, value) in [
            ("within_s", objective.within_s),
            ("share", objective.share),
            ("times", objective.times),
        ] {
            if value.is_some_and(|v| !is_valid_amount(v)) {
                return Err(ConfigError::value(
                    format!("deployment.objectives.{field}"),
                    ValueProblem::NegativeObjective,
                ));
            }
        }
    }
    Ok(())
}

/// Checks the leases that follow from the intervals of the workers. `cancel_s` must cover the worst case, in which the
/// leader loses all its connections right after a cancellation: the task ends only after the leader's lease and then
/// the worker's lease have expired.
fn check_leases(config: &Config, workers: &Workers) -> Result<(), ConfigError> {
    if config.leader_lease_s() < LEADER_LEASE_MIN_S {
        return Err(ConfigError::value(
            "deployment.workers",
            ValueProblem::LeaderLeaseTooShort,
        ));
    }
    if config.leader_lease_s() + config.worker_lease_expiry_s() >= workers.cancel_s {
        return Err(ConfigError::value(
            "deployment.workers.cancel_s",
            ValueProblem::CancellationTooShort,
        ));
    }
    Ok(())
}
