//! Outcome of a conditional transaction (compare-and-swap) on the state service.

use serde::Serialize;
use serde_json::value::to_raw_value;

use crate::protocol::store::Change;

/// Outcome of a transaction, as far as the client that sent it can tell.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnOutcome {
    /// The transaction was applied at this revision of the store.
    Applied(u64),
    /// The conditions on these keys failed; no change was applied.
    Conflict(Vec<String>),
    /// The transaction was not applied: it never reached the service, or the service was overloaded or unavailable. It
    /// may be retried.
    Refused,
    /// The transaction was not applied, and a retry would fail as well: the service rejected it, usually because it
    /// exceeds a size limit, or because the lease that a key is to be attached to has expired.
    Rejected,
    /// The transaction may have been applied, or may still be applied later: the caller must read the keys back before
    /// it acts on either outcome.
    Unknown,
}

/// Returns a change that stores a value under a key without a lease. Logs an error and returns None if the value can't
/// be serialized.
pub fn put_change(key: String, value: &impl Serialize) -> Option<Change> {
    let value = to_raw_value(value)
        .inspect_err(|error| {
            tracing::error!(key, %error, "value for the state service cannot be serialized");
        })
        .ok()?;
    Some(Change::Put {
        key,
        value,
        lease: None,
    })
}
