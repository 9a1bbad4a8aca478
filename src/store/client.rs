//! Client of the state service.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use super::transaction::TxnOutcome;
use crate::config::Config;
use crate::http::{CallError, Client};
use crate::protocol::json::from_object;
use crate::protocol::paths;
use crate::protocol::store::{Events, KeyPage, KeyValue, LeaseGrant, LeaseRequest, Txn, TxnReply};
use crate::runtime::{Runtime, TokenBucket};

/// Why a call to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The service answered with an HTTP status that the call doesn't expect, such as 429 above its rate limit or 503
    /// while it is unavailable.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// The service could not be reached, or its response did not arrive, is malformed or is too large.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The body of the answer doesn't have the form that the protocol defines.
    #[error("answer cannot be decoded: {0}")]
    Decode(#[source] serde_json::Error),
    /// The request can't be serialized.
    #[error("request cannot be serialized: {0}")]
    Encode(#[source] serde_json::Error),
}

/// Outcome of renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRenewal {
    /// The lease runs for its full duration again.
    Renewed,
    /// The lease has expired, and the keys attached to it are gone.
    Expired,
}

/// Outcome of a watch.
pub enum WatchOutcome {
    /// The changes since the requested revision; empty if there were none within the watch's time limit.
    Events(Events),
    /// The service no longer keeps all changes since the requested revision: the caller must load all keys again.
    Compacted,
}

/// Client of the state service. It keeps its requests within this controller's share of the service's request limit.
pub struct StoreClient {
    runtime: Runtime,
    client: Client,
    /// Used for watches only: they block, so they must not occupy the connections of other calls.
    watch_client: Client,
    request_limit: TokenBucket,
    call_timeout_s: f64,
}

/// The fraction of the service's request limit that all controllers together use.
const REQUEST_LIMIT_SHARE: f64 = 0.9;
/// Time limit of every call except a watch, as a fraction of the duration of the leader's lease.
const CALL_TIMEOUT_LEADER_LEASES: f64 = 0.25;
/// Extra time that the answer to a watch may take beyond the time limit sent with the watch, in seconds.
const WATCH_GRACE_S: f64 = 2.0;
/// The fraction of the controller's memory limit that the body of one answer may take.
const BODY_MEMORY_SHARE: f64 = 0.12;
/// Requested number of keys per page; the service returns at most this many.
const KEYS_PER_PAGE: usize = 1000;
/// Largest part of the body of an error answer that is logged, in bytes.
const LOGGED_BODY_BYTES_MAX: usize = 200;

impl StoreClient {
    /// Creates a client of the service at `address`. No connection is made before the first call.
    pub fn new(runtime: &Runtime, address: SocketAddr, config: &Config) -> Self {
        let deployment = &config.deployment;
        let body_max = (deployment.limits.ram_mb * 1024.0 * 1024.0 * BODY_MEMORY_SHARE) as usize;
        let rate = deployment.state.rps * REQUEST_LIMIT_SHARE / deployment.nodes as f64;
        StoreClient {
            runtime: runtime.clone(),
            client: Client::new(runtime, address, body_max),
            watch_client: Client::new(runtime, address, body_max),
            request_limit: TokenBucket::new(rate, rate),
            call_timeout_s: config.leader_lease_s() * CALL_TIMEOUT_LEADER_LEASES,
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        self.wait_for_request_token().await;
        self.client
            .call(method, path, body, self.call_timeout_s)
            .await
    }

    async fn wait_for_request_token(&self) {
        let wait = self.request_limit.acquire(1.0, self.runtime.now());
        if wait > 0.0 {
            self.runtime.sleep(wait).await;
        }
    }

    /// Reads the store's revision at some moment after this call began, for a read barrier. `absent_key` must be a key
    /// that is never written: only the answer that a key is absent carries the store's revision.
    pub async fn current_revision(&self, absent_key: &str) -> Result<u64, StoreError> {
        let (status, body) = self
            .call("GET", &format!("{}/{absent_key}", paths::KEYS), None)
            .await?;
        match status {
            404 => Ok(decode::<TxnReply>(&body)?.revision),
            other => Err(StoreError::Status(other)),
        }
    }

    /// Reads a key with its value, revision and lease; None if the key does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let (status, body) = self
            .call("GET", &format!("{}/{key}", paths::KEYS), None)
            .await?;
        match status {
            200 => Ok(Some(decode(&body)?)),
            404 => Ok(None),
            other => Err(StoreError::Status(other)),
        }
    }

    /// Reads a page of the keys with a prefix. The page begins after the key `after`, or with the first key if `after`
    /// is empty.
    pub async fn list(&self, prefix: &str, after: &str) -> Result<KeyPage, StoreError> {
        let after_parameter = if after.is_empty() {
            String::new()
        } else {
            format!("&After={after}")
        };
        let path = format!(
            "{}?Prefix={prefix}{after_parameter}&Limit={KEYS_PER_PAGE}",
            paths::KEYS
        );
        match self.call("GET", &path, None).await? {
            (200, body) => decode(&body),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Sends a transaction.
    ///
    /// A transaction that was sent but not answered may have been applied, or may still be applied later; its outcome
    /// is [`TxnOutcome::Unknown`].
    pub async fn txn(&self, txn: &Txn) -> TxnOutcome {
        let Ok(body) = serde_json::to_vec(txn) else {
            return TxnOutcome::Refused;
        };
        match self.call("POST", paths::TXN, Some(&body)).await {
            Ok((200, body)) => match decode::<TxnReply>(&body) {
                Ok(reply) => TxnOutcome::Applied(reply.revision),
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((409, body)) => match decode::<TxnReply>(&body) {
                Ok(reply) => TxnOutcome::Conflict(reply.failed),
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((429 | 503, _)) => TxnOutcome::Refused,
            Ok((400, body)) => {
                let logged = &body[..body.len().min(LOGGED_BODY_BYTES_MAX)];
                let reason = String::from_utf8_lossy(logged);
                tracing::warn!(%reason, "state service rejected a transaction");
                TxnOutcome::Rejected
            }
            Ok((status, _)) => {
                tracing::warn!(
                    status,
                    "state service answered a transaction with an unexpected status"
                );
                TxnOutcome::Unknown
            }
            Err(CallError::NotSent(_)) => TxnOutcome::Refused,
            Err(CallError::Unknown(_)) => TxnOutcome::Unknown,
        }
    }

    /// Requests a lease that expires if it is not renewed for `ttl_s` seconds; returns its id.
    pub async fn grant_lease(&self, ttl_s: f64) -> Result<u64, StoreError> {
        let request = LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        };
        let body = serde_json::to_vec(&request).map_err(StoreError::Encode)?;
        match self.call("POST", paths::LEASES, Some(&body)).await? {
            (200, body) => Ok(decode::<LeaseGrant>(&body)?.lease),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Renews a lease for its full duration.
    pub async fn renew_lease(&self, lease: u64) -> Result<LeaseRenewal, StoreError> {
        let path = format!("{}/{lease}{}", paths::LEASES, paths::RENEW_SUFFIX);
        match self.call("POST", &path, Some(b"{}")).await? {
            (200, _) => Ok(LeaseRenewal::Renewed),
            (404, _) => Ok(LeaseRenewal::Expired),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Revokes a lease: it ends at once, and the keys attached to it are removed. Revoking an expired lease succeeds.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("{}/{lease}", paths::LEASES);
        match self.call("DELETE", &path, None).await? {
            (200 | 204 | 404, _) => Ok(()),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Watches a prefix: waits up to `block_s` seconds for changes of its keys since the revision `after`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        block_s: f64,
    ) -> Result<WatchOutcome, StoreError> {
        self.wait_for_request_token().await;
        let path = format!(
            "{}?Prefix={prefix}&After={after}&BlockMs={}",
            paths::WATCH,
            (block_s * 1000.0) as u64
        );
        let call = self
            .watch_client
            .call("GET", &path, None, block_s + WATCH_GRACE_S);
        match call.await? {
            (200, body) => Ok(WatchOutcome::Events(decode(&body)?)),
            (410, _) => Ok(WatchOutcome::Compacted),
            (other, _) => Err(StoreError::Status(other)),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    from_object(body).map_err(StoreError::Decode)
}
