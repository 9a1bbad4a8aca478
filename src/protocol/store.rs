//! Messages of the state service, a consensus-backed key-value store: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::json::{integer, optional_integer};

/// A key with its value.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "K")]
    pub key: String,
    /// The value as it was put, as JSON text that is not parsed here.
    #[serde(rename = "V")]
    pub value: Box<RawValue>,
    /// The revision of the store at which the key was last changed.
    #[serde(rename = "Stamp", deserialize_with = "integer")]
    pub revision: u64,
    /// The lease to which the key is attached, if any. Always `None` in pages of keys, which don't carry it.
    #[serde(rename = "Permit", default, deserialize_with = "optional_integer")]
    pub lease: Option<u64>,
}

/// A page of keys, sorted by key.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyPage {
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// True if more keys follow the last one of this page.
    #[serde(rename = "Truncated", default)]
    pub truncated: bool,
    /// The revision of the store that the page shows.
    #[serde(rename = "Epoch", deserialize_with = "integer")]
    pub revision: u64,
}

/// A condition of a transaction (the compare part): the key was last changed at this revision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Condition {
    #[serde(rename = "K")]
    pub key: String,
    /// The required revision of the key's last change; 0 requires that the key does not exist.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// A change made by a transaction (the swap part).
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates a key or replaces its value.
    Put {
        #[serde(rename = "Put")]
        key: String,
        #[serde(rename = "V")]
        value: Box<RawValue>,
        /// The lease to attach the key to; `None` detaches the key from its current lease.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: String,
    },
}

/// A transaction (compare-and-swap): if all conditions hold, all changes are applied at one revision, otherwise none.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Txn {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    /// The changes; a transaction without changes only checks its conditions.
    #[serde(rename = "Then", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

/// Response to a transaction, and to a request to read a key that does not exist.
#[derive(Debug, Clone, Deserialize)]
pub struct TxnReply {
    /// The store's revision; for a transaction that was applied, the revision of its changes.
    #[serde(rename = "Epoch")]
    pub revision: u64,
    /// Keys of the conditions that did not hold; empty if the transaction was applied.
    #[serde(rename = "failed", default)]
    pub failed: Vec<String>,
}

/// Request to grant a lease.
#[derive(Debug, Clone, Serialize)]
pub struct LeaseRequest {
    /// Duration of the lease in milliseconds, counted from its grant or its last renewal.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// Response to a [`LeaseRequest`].
#[derive(Debug, Clone, Deserialize)]
pub struct LeaseGrant {
    /// Id of the granted lease.
    #[serde(rename = "Permit", deserialize_with = "integer")]
    pub lease: u64,
}

/// A change reported by a watch. Either `put` or `delete` is set.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// The key that was put.
    #[serde(rename = "Put", default)]
    pub put: Option<String>,
    /// The key that was deleted.
    #[serde(rename = "Delete", default)]
    pub delete: Option<String>,
    /// The value that was put; `None` for a deletion.
    #[serde(rename = "V", default)]
    pub value: Option<Box<RawValue>>,
    /// The revision at which the change was made.
    #[serde(rename = "Stamp", default, deserialize_with = "integer")]
    pub revision: u64,
}

/// Response to a watch: the changes after the revision that the request names.
#[derive(Debug, Clone, Deserialize)]
pub struct Events {
    /// The revision up to which this response contains all changes.
    #[serde(rename = "Epoch", deserialize_with = "integer")]
    pub revision: u64,
    /// The changes, in the order in which they were made.
    #[serde(rename = "News")]
    pub events: Vec<Event>,
}
