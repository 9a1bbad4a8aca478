//! Messages of the cloud's API: machine types, rental requests and the list of machines.

use serde::{Deserialize, Serialize};

/// A machine type. The list of machine types is also stored in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "Cores")]
    pub cpus: f64,
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Size of the image cache, in gigabytes.
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    /// Nominal rate at which images are fetched, in gigabytes per second; the actual rate may differ by a third.
    #[serde(rename = "PullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of a machine that is not a spot machine.
    #[serde(rename = "Rate")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "SpotPrice")]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "Rigs")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, which makes it idempotent: a repetition under the same name rents no further machines, so a
    /// name is never reused for another request.
    #[serde(rename = "Hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "Rig")]
    pub type_name: String,
    #[serde(rename = "Yard")]
    pub zone: String,
    /// True to rent spot machines.
    #[serde(rename = "Loaner")]
    pub spot: bool,
    /// Number of machines requested; the cloud may rent fewer.
    #[serde(rename = "Count")]
    pub count: u32,
}

/// Names of machines: the rented ones in a response, the ones to return in a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Rented, but still booting.
    #[serde(rename = "starting")]
    Booting,
    /// Booted.
    #[serde(rename = "running")]
    Running,
    /// Stopped without having been returned; the cloud no longer charges for it.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine, as in [`MachineNames`] and in heartbeats.
    #[serde(rename = "Uid")]
    pub id: String,
    /// Address at which the worker on the machine accepts direct commands.
    #[serde(rename = "Addr")]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "Rig")]
    pub type_name: String,
    #[serde(rename = "Yard")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "Loaner")]
    pub spot: bool,
    /// State at the time of the list's snapshot, which is in the past (see [`MachineList`]).
    #[serde(rename = "Status")]
    pub state: MachineState,
    /// Seconds from the rental request to the time of the list's snapshot.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines, which is stale by up to the setting `list_lag_s`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, sorted by name.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// True if more machines follow the last one of this page.
    #[serde(rename = "Truncated", default)]
    pub truncated: bool,
}
