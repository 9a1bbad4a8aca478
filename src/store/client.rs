//! Client of the state service.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use super::transaction::TxnOutcome;
use crate::config::Config;
use crate::http::{CallError, Client};
use crate::protocol::paths;
use crate::protocol::store::{Events, KeyPage, KeyValue, LeaseGrant, LeaseRequest, Txn, TxnReply};
use crate::runtime::{Runtime, TokenBucket};

/// Why a call to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The service answered with a status that doesn't belong to the call: 429 above its rate limit, 503 while it is
    /// unavailable.
    #[error("refused with status {0}")]
    Status(u16),
    /// There was no connection or no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer's body doesn't have the form that the protocol defines.
    #[error("answer not understood: {0}")]
    Decode(#[source] serde_json::Error),
    /// The request can't be serialized.
    #[error("request cannot be serialized: {0}")]
    Encode(#[source] serde_json::Error),
}

/// Outcome of renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRenewal {
    /// The lease has its full time again.
    Renewed,
    /// The lease has expired, and the keys attached to it are gone.
    Expired,
}

/// Outcome of a watch.
pub enum WatchOutcome {
    /// The changes since the revision asked for; none if the time ran out.
    Events(Events),
    /// The service no longer has the changes since that revision: everything must be read again.
    Compacted,
}

/// Client of the state service. It stays within this node's share of the service's request limit.
pub struct StoreClient {
    runtime: Runtime,
    client: Client,
    /// Watches have connections of their own, as they block.
    watch_client: Client,
    requests: TokenBucket,
    call_timeout_s: f64,
}

/// The part of the service's request limit that all controllers together use.
const REQUEST_LIMIT_SHARE: f64 = 0.9;
/// Time limit of an ordinary call, as a ratio to the life of the leader's lease.
const CALL_TIMEOUT_LEADER_LEASES: f64 = 0.25;
/// How long the answer to a watch may take beyond the watch's own time.
const WATCH_GRACE_S: f64 = 2.0;
/// The part of the memory limit that one answer's body may take.
const BODY_MEMORY_SHARE: f64 = 0.12;
/// Keys asked for in one page; the service returns at most as many.
const KEYS_PER_PAGE: usize = 1000;
/// Bytes of an error's body that are logged.
const LOGGED_BODY_BYTES: usize = 200;

impl StoreClient {
    /// A client of the service at an address.
    pub fn new(runtime: &Runtime, address: SocketAddr, config: &Config) -> Self {
        let deployment = &config.deployment;
        let body_max = (deployment.limits.ram_mb * 1024.0 * 1024.0 * BODY_MEMORY_SHARE) as usize;
        let rate = deployment.state.rps * REQUEST_LIMIT_SHARE / deployment.nodes as f64;
        StoreClient {
            runtime: runtime.clone(),
            client: Client::new(runtime, address, body_max),
            watch_client: Client::new(runtime, address, body_max),
            requests: TokenBucket::new(rate, rate),
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
        let wait = self.requests.acquire(1.0, self.runtime.now());
        if wait > 0.0 {
            self.runtime.sleep(wait).await;
        }
    }

    /// A read barrier: the revision of the store at some moment after this call began. The key must never be written:
    /// only the answer that it is absent carries the revision.
    pub async fn current_revision(&self, absent_key: &str) -> Result<u64, StoreError> {
        let (status, body) = self
            .call("GET", &format!("{}/{absent_key}", paths::KEYS), None)
            .await?;
        match status {
            404 => Ok(decode::<TxnReply>(&body)?.revision),
            other => Err(StoreError::Status(other)),
        }
    }

    /// A key's value, if there is one.
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

    /// A page of the keys with a prefix, beginning after the key `after`, or with the first if that is empty.
    pub async fn list(&self, prefix: &str, after: &str) -> Result<KeyPage, StoreError> {
        let after = if after.is_empty() {
            String::new()
        } else {
            format!("&After={after}")
        };
        let path = format!(
            "{}?Prefix={prefix}{after}&Limit={KEYS_PER_PAGE}",
            paths::KEYS
        );
        match self.call("GET", &path, None).await? {
            (200, body) => decode(&body),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Sends a transaction.
    ///
    /// One that was sent and not answered may have been applied, or may yet be.
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
                let logged = &body[..body.len().min(LOGGED_BODY_BYTES)];
                let reason = String::from_utf8_lossy(logged);
                tracing::warn!(%reason, "transaction rejected");
                TxnOutcome::TooLarge
            }
            Ok((status, _)) => {
                tracing::warn!(status, "unexpected answer to a transaction");
                TxnOutcome::Unknown
            }
            Err(CallError::NotSent(_)) => TxnOutcome::Refused,
            Err(CallError::Unknown(_)) => TxnOutcome::Unknown,
        }
    }

    /// Grants a new lease; its id.
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

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: u64) -> Result<LeaseRenewal, StoreError> {
        let path = format!("{}/{lease}{}", paths::LEASES, paths::RENEW_SUFFIX);
        match self.call("POST", &path, Some(b"{}")).await? {
            (200, _) => Ok(LeaseRenewal::Renewed),
            (404, _) => Ok(LeaseRenewal::Expired),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Revokes a lease: it ends at once, and the keys attached to it are removed. One that has expired is no error.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("{}/{lease}", paths::LEASES);
        match self.call("DELETE", &path, None).await? {
            (200 | 204 | 404, _) => Ok(()),
            (other, _) => Err(StoreError::Status(other)),
        }
    }

    /// Watches a prefix: waits up to `block_s` for changes of its keys since the revision `after`.
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
    serde_json::from_slice(body).map_err(StoreError::Decode)
}
