//! Configuration: the settings file that the platform provides, the operators' script with tunables, and the
//! features file, which enables optional features.
//!
//! - [`settings`] defines the sections of the settings file, `validation` checks them;
//! - [`tunables`] runs the operators' script;
//! - [`features`] reads the features file and checks it against the settings;
//! - [`error`] defines the errors of the settings file and the script; each is displayed in one line.

pub mod error;
pub mod features;
mod file;
pub mod settings;
pub mod tunables;
mod validation;

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

pub use error::ConfigError;
use features::Features;
pub use settings::*;
pub use tunables::Tunables;

/// The configuration of a controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Zone in which this controller runs; empty if the settings name none.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which this controller listens for users, workers and health checks.
    #[serde(rename = "front")]
    pub listen: SocketAddr,
    /// Address at which this controller listens for other controllers.
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    /// The other controllers of the deployment.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    #[serde(rename = "services")]
    pub services: Services,
    /// Settings that all controllers of the deployment share.
    #[serde(rename = "deployment")]
    pub deployment: Deployment,
    /// Parameters that operators may tune by script; not part of the settings file.
    #[serde(skip)]
    pub tunables: Tunables,
    /// Optional features that the features file enables; not part of the settings file.
    #[serde(skip)]
    pub features: Features,
}

/// Maximum relative drift between the clocks of two hosts. The platform allows half of it for a single clock.
const CLOCK_DRIFT_MAX: f64 = 0.001;

/// Upper limit of the leader's lease, as a fraction of a worker's lease: a failover must be complete well before the
/// workers' leases expire, at which point the workers end their tasks.
const LEADER_LEASE_PER_WORKER_LEASE: f64 = 0.3;

/// Upper limit of the leader's lease, as a multiple of the interval between heartbeats.
const LEADER_LEASE_PER_HEARTBEAT_INTERVAL: f64 = 1.7;

/// Safety margin added to the duration of a worker's lease, as a fraction of it.
const WORKER_LEASE_MARGIN: f64 = 0.03;

/// Safety margin subtracted from the duration of the leader's lease, as a fraction of it.
const LEADER_LEASE_MARGIN: f64 = 0.1;

impl Config {
    /// Reads and checks a settings file and, if given, the operators' script.
    pub fn load(file: &Path, script: Option<&Path>) -> Result<Self, ConfigError> {
        let mut config = Self::parse(&file::read_text(file)?, &file.display().to_string())?;
        if let Some(script) = script {
            config.tunables = Tunables::from_script(&file::read_text(script)?)?;
        }
        Ok(config)
    }

    /// Parses and checks the text of a settings file. Errors name `path` as the file.
    pub fn parse(text: &str, path: &str) -> Result<Self, ConfigError> {
        let mut config: Config = file::parse_toml(text, path)?;
        validation::check(&config)?;
        config.deployment.state.apply_future_limits();
        Ok(config)
    }

    /// Duration of the leader's lease in the state service, in seconds: the smaller of its two upper limits.
    pub fn leader_lease_s(&self) -> f64 {
        let workers = &self.deployment.workers;
        (workers.lease_s * LEADER_LEASE_PER_WORKER_LEASE)
            .min(workers.heartbeat_interval_s * LEADER_LEASE_PER_HEARTBEAT_INTERVAL)
    }

    /// Time in seconds after the last answered heartbeat by which a worker's lease has certainly expired and its
    /// tasks have ended, for any clock drift up to the maximum.
    pub fn worker_lease_expiry_s(&self) -> f64 {
        let lease = self.deployment.workers.lease_s;
        lease * (1.0 + CLOCK_DRIFT_MAX) + lease * WORKER_LEASE_MARGIN
    }

    /// Time in seconds, counted from when a renewal was sent, during which the leader may rely on its lease.
    pub fn trusted_leader_lease_s(&self) -> f64 {
        let lease = self.leader_lease_s();
        lease * (1.0 - CLOCK_DRIFT_MAX) - lease * LEADER_LEASE_MARGIN
    }

    /// The guarantee and limit of a team, by its name; `None` if the settings have no such team.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.deployment.teams.iter().find(|team| team.name == name)
    }
}

#[cfg(test)]
pub(crate) mod tests;
