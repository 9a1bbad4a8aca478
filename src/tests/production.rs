//! The stored records and the frames of the version in production, copied from commit 060b96c. Nothing here may
//! change while that version serves anywhere: it is what new code is compared with.

use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

const ROOT: &str = "capervale/main/";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub host: String,
    pub incarnation: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepDownRequest {
    pub token: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegationRecord {
    pub token: u64,
    pub zone: String,
    pub over: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayRecord {
    pub token: u64,
    pub zone: String,
    pub jobs: Vec<JobLog>,
    #[serde(default)]
    pub sessions: Vec<(String, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    pub end: End,
    pub done: u32,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub oldest: u64,
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<(String, u32)>,
    #[serde(rename = "j", default)]
    pub jobs: Vec<JobLog>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobLog {
    #[serde(rename = "i")]
    pub id: String,
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub attempt: u64,
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(u32, u32, u32)>,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub free: Vec<(u32, u32)>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A job record: the submission as it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    #[serde(rename = "Uid")]
    pub id: String,
    #[serde(rename = "Jobclass")]
    pub class: String,
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape")]
    pub kind: Kind,
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    #[serde(rename = "Legs")]
    pub tasks: u32,
    #[serde(rename = "Cores")]
    pub cpus: f64,
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "Bundle")]
    pub image: String,
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    #[serde(rename = "Rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "Together")]
    pub one_zone: bool,
    #[serde(rename = "Apart")]
    pub spread: bool,
    #[serde(rename = "Loaner")]
    pub spot: bool,
    #[serde(rename = "ExpectedS")]
    pub estimate_s: f64,
    #[serde(rename = "WaypointS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StashS")]
    pub save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

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
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "PullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Rate")]
    pub price: f64,
    #[serde(rename = "SpotPrice")]
    pub spot_price: f64,
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

/// The frame that controllers send one another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub host: String,
    pub state_s: Option<f64>,
    pub workers: Vec<WorkerSeen>,
    #[serde(default)]
    pub runs: Vec<(String, Mean)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerSeen {
    pub machine: String,
    pub zone: String,
    pub addr: String,
    pub session: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    pub value: f64,
    pub seen: f64,
}

/// What a value is to the version in production.
#[derive(Debug)]
pub enum Read {
    /// The value as that version would write it: fields that it doesn't know are gone.
    Understood(Box<RawValue>),
    /// A key that it ignores.
    Ignored,
}

/// Reads a stored value as the version in production does. An error is what that version logs and then goes on
/// without the value.
pub fn read(key: &str, value: &RawValue) -> Result<Read, serde_json::Error> {
    fn rewrite<T: for<'de> Deserialize<'de> + Serialize>(
        value: &RawValue,
    ) -> Result<Read, serde_json::Error> {
        let record: T = serde_json::from_str(value.get())?;
        Ok(Read::Understood(to_raw_value(&record)?))
    }
    let Some(rest) = key.strip_prefix(ROOT) else {
        return Ok(Read::Ignored);
    };
    let (family, _) = rest.split_once('/').unwrap_or((rest, ""));
    match family {
        "leader" => rewrite::<LeaderRecord>(value),
        "types" => rewrite::<Vec<MachineType>>(value),
        "plea" => rewrite::<StepDownRequest>(value),
        "standin" => rewrite::<DelegationRecord>(value),
        "relay" => rewrite::<RelayRecord>(value),
        "job" => rewrite::<Submission>(value),
        "end" => rewrite::<EndRecord>(value),
        "run" => rewrite::<LogRecord>(value),
        _ => Ok(Read::Ignored),
    }
}
