//! Heartbeats between controllers, sent as CBOR frames over dedicated TCP connections (links).
//!
//! Heartbeats make failover and readiness checks faster; safety does not depend on them. [`frames`] encodes and
//! decodes them, [`links`] sends and receives them, and [`Peers`] keeps what the other controllers reported.

mod directory;
mod frames;
mod links;

use std::rc::Rc;

use quota::QuotaAmount;
use serde::{Deserialize, Serialize};

use crate::autoscaler::arrival_forecast::DecayingMean;

pub use directory::Peers;
pub use links::{HeartbeatReceiver, LINKS_PER_PEER, send_heartbeats};

/// Maximum number of workers reported in one heartbeat. All workers of a large fleet would exceed the maximum frame
/// size.
pub const WORKERS_PER_HEARTBEAT: usize = 256;

/// By team, the amount of the team's quota that a controller lacks for its admissions.
pub type Shortages = Vec<(Rc<str>, QuotaAmount)>;

/// A heartbeat from one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Host name of the controller that sent the heartbeat.
    #[serde(rename = "host")]
    pub host: String,
    /// Seconds since the state service last answered the sender; `None` if it never did.
    #[serde(rename = "state_s")]
    pub store_contact_age_s: Option<f64>,
    /// Workers that recently sent heartbeats to the sender, at most [`WORKERS_PER_HEARTBEAT`] at a time: successive
    /// heartbeats report different ones. A new leader contacts them.
    #[serde(rename = "workers")]
    pub workers: Vec<WorkerLocation>,
    /// By class of jobs, the mean run time as the sender measured it.
    #[serde(rename = "runs", default)]
    pub run_times: Vec<(String, DecayingMean)>,
    /// The recent quota shortages of the sender.
    #[serde(rename = "shortages", default, skip_serializing_if = "Vec::is_empty")]
    pub shortages: Shortages,
}

/// Location of a worker, according to its last heartbeat to the reporting controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerLocation {
    /// Name of the worker's machine.
    #[serde(rename = "machine")]
    pub machine: String,
    /// Zone of the machine.
    #[serde(rename = "zone")]
    pub zone: String,
    /// Address at which the worker accepts direct commands.
    #[serde(rename = "addr")]
    pub addr: String,
    /// Agent epoch of the worker when it sent the heartbeat.
    #[serde(rename = "session")]
    pub agent_epoch: u64,
}

#[cfg(test)]
mod tests;
