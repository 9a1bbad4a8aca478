//! Sections of the settings file. Each `serde(rename)` fixes the name of a field in the file, whatever its name in
//! Rust, which `capervale check` prints. Unknown fields are ignored.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::protocol::users::Submission;

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller, unique within the deployment.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone in which the controller runs; empty if the settings name none.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which the controller listens for other controllers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud's API, which rents machines.
    #[serde(rename = "cloud")]
    pub cloud: SocketAddr,
    /// The state service, a consensus-backed key-value store.
    #[serde(rename = "state")]
    pub state: SocketAddr,
}

/// A team's guaranteed resources and its limits, counted over its running tasks. 0 stands for no guarantee or no
/// limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as in submissions.
    #[serde(rename = "name")]
    pub name: String,
    /// Guaranteed CPUs: as long as all unfinished jobs of the team fit into the guarantee, they don't wait for jobs
    /// of other teams.
    #[serde(rename = "cpus", default)]
    pub cpus: f64,
    /// Maximum number of CPUs that tasks of the team use at any time.
    #[serde(rename = "cpus_max", default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs, in the same sense as `cpus`.
    #[serde(rename = "gpus", default)]
    pub gpus: f64,
    /// Maximum number of GPUs that tasks of the team use at any time.
    #[serde(rename = "gpus_max", default)]
    pub gpus_max: f64,
}

/// The quantity that a service-level objective measures.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectiveKind {
    /// Time from submission to the start of tasks.
    Wait,
    /// Time from submission to the end of the job.
    Finished,
    /// Time from submission to the end of the job, relative to the job's own deadline.
    Deadline,
    /// Time to the start of tasks, for jobs within their team's guarantee.
    Guarantee,
    /// A kind that this version doesn't know, and ignores.
    #[serde(untagged)]
    Other(String),
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The quantity that the objective measures.
    #[serde(rename = "kind")]
    pub kind: ObjectiveKind,
    /// The class of jobs to which the objective applies. [`ObjectiveKind::Guarantee`] ignores this field and
    /// applies to all classes. `None` stands for all classes, but the other kinds have no effect without a class.
    #[serde(rename = "class", default)]
    pub class: Option<String>,
    /// Target in seconds; not used by [`ObjectiveKind::Deadline`].
    #[serde(rename = "within_s", default)]
    pub within_s: Option<f64>,
    /// Fraction of jobs or tasks that should meet the target; checked, but not used otherwise.
    #[serde(rename = "share", default)]
    pub share: Option<f64>,
    /// For [`ObjectiveKind::Deadline`]: the target as a multiple of the job's own deadline; `None` stands for 1.
    #[serde(rename = "times", default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Target for the time from submission to the end of a job, in seconds. `None` if the objective doesn't name the
    /// class of the job, or doesn't measure the end of jobs.
    pub fn completion_target_s(&self, job: &Submission) -> Option<f64> {
        if self.class.as_deref() != Some(&job.class) {
            return None;
        }
        match self.kind {
            ObjectiveKind::Finished => self.within_s,
            ObjectiveKind::Deadline => Some(job.deadline_s? * self.times.unwrap_or(1.0)),
            ObjectiveKind::Wait | ObjectiveKind::Guarantee | ObjectiveKind::Other(_) => None,
        }
    }
}

/// Intervals and time limits of the workers, the agents on the machines.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease in seconds: a worker without an answered heartbeat for this long ends its tasks.
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    /// Time that a task of a gang waits for the other tasks to start before it gives up, in seconds.
    #[serde(rename = "gang_wait_s")]
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect the loss of one of them, in seconds.
    #[serde(rename = "gang_peer_s")]
    pub gang_peer_s: f64,
    /// Time after a cancellation within which all tasks of the job must have ended, in seconds.
    #[serde(rename = "cancel_s")]
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// Maximum number of writes per second.
    #[serde(rename = "write_rps")]
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: usize,
    /// Limits that will replace these at a time that is not announced.
    #[serde(rename = "next", default)]
    pub next: Option<NextStateLimits>,
}

/// Future limits of the state service. A limit that is `None` doesn't change.
#[derive(Debug, Clone, Deserialize)]
pub struct NextStateLimits {
    /// Maximum number of requests per second.
    #[serde(rename = "rps")]
    pub rps: Option<f64>,
    /// Maximum number of writes per second.
    #[serde(rename = "write_rps")]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Lowers each limit to the smaller of its present and its future value, because nothing may be stored that the
    /// state service would refuse once the future limits apply.
    pub(crate) fn apply_future_limits(&mut self) {
        if let Some(next) = &self.next {
            self.rps = next.rps.map_or(self.rps, |n| n.min(self.rps));
            self.write_rps = next
                .write_rps
                .map_or(self.write_rps, |n| n.min(self.write_rps));
            self.value_kb = next
                .value_kb
                .map_or(self.value_kb, |n| n.min(self.value_kb));
            self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
        }
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of calls per second.
    #[serde(rename = "rps")]
    pub rps: f64,
    /// Time by which the cloud's list of machines may be stale, in seconds.
    #[serde(rename = "list_lag_s")]
    pub list_lag_s: f64,
}

/// Resource limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Maximum CPU use, in cores; may be a fraction of a core.
    #[serde(rename = "cores")]
    pub cores: f64,
    /// Maximum resident memory, in MB.
    #[serde(rename = "ram_mb")]
    pub ram_mb: f64,
    /// Maximum number of open sockets, including listening sockets.
    #[serde(rename = "max_sockets")]
    pub max_sockets: usize,
}

/// Settings that all controllers of a deployment share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(rename = "count")]
    pub nodes: usize,
    /// Zones in which machines can be rented.
    #[serde(rename = "zones", default)]
    pub zones: Vec<String>,
    /// Teams with a guarantee or a limit.
    #[serde(rename = "teams", default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(rename = "objectives", default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of the workers.
    #[serde(rename = "workers")]
    pub workers: Workers,
    /// Limits of the state service. [`Config::parse`](super::Config::parse) lowers each to its future value if that is
    /// smaller.
    #[serde(rename = "state")]
    pub state: StateLimits,
    /// Limits of the cloud's API.
    #[serde(rename = "cloud")]
    pub cloud: CloudLimits,
    /// Resource limits of a controller's process.
    #[serde(rename = "limits")]
    pub limits: Limits,
}
