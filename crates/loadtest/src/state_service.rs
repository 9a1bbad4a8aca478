//! A fake state service. It speaks the HTTP protocol of the real one and records every change, so that a test can check
//! the history after a run.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};

/// A committed change of one key.
#[derive(Debug, Clone)]
pub struct CommittedChange {
    /// Store revision at which the change was made; the changes of one transaction share a revision.
    pub revision: u64,
    /// Time from the start of the service to the change.
    pub elapsed: Duration,
    /// The changed key.
    pub key: String,
    /// New value; `None`: the key was deleted.
    pub value: Option<Value>,
}

struct StoredValue {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    duration: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct Content {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    history: Vec<CommittedChange>,
    /// Number of transactions rejected because a condition failed.
    conflicts: u64,
}

/// The fake service. One lock guards its content, so transactions are serialized.
pub struct StateService {
    started_at: Instant,
    content: Mutex<Content>,
    /// Signaled after each change, for requests and tests that wait for one.
    changed: Condvar,
}

/// Maximum number of keys in one page of a listing.
const MAX_PAGE_KEYS: usize = 1000;
/// Interval at which blocked requests check for expired leases. Without it, a lease that expires while no request
/// arrives would stay in the store, and watchers would not see its keys deleted.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn numeric_parameter(path: &str, name: &str) -> Option<u64> {
    query_parameter(path, name)?.parse().ok()
}

impl StateService {
    /// Starts the service on a free port of 127.0.0.1. It runs until the process ends.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let service = Arc::new(StateService {
            started_at: Instant::now(),
            content: Mutex::default(),
            changed: Condvar::new(),
        });
        let handler = service.clone();
        let addr = serve(move |request| handler.respond(&request))?;
        Ok((service, addr))
    }

    /// Locks the content after removing expired leases.
    fn lock_content(&self) -> MutexGuard<'_, Content> {
        let mut content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        self.expire_leases(&mut content);
        content
    }

    /// Returns all changes in commit order.
    pub fn history(&self) -> Vec<CommittedChange> {
        self.lock_content().history.clone()
    }

    /// Number of transactions rejected because a condition failed.
    pub fn conflicts(&self) -> u64 {
        self.lock_content().conflicts
    }

    /// Blocks until the history satisfies `condition`. Returns false if the timeout expires first.
    pub fn wait_until(
        &self,
        timeout: Duration,
        condition: impl Fn(&[CommittedChange]) -> bool,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        let mut content = self.lock_content();
        loop {
            if condition(&content.history) {
                return true;
            }
            let now = Instant::now();
            if now >= deadline {
                return false;
            }
            let wait = (deadline - now).min(LEASE_CHECK_INTERVAL);
            let wait_result = self.changed.wait_timeout(content, wait);
            content = wait_result.unwrap_or_else(PoisonError::into_inner).0;
            self.expire_leases(&mut content);
        }
    }

    fn expire_leases(&self, content: &mut Content) {
        let now = Instant::now();
        let expired: Vec<u64> = content
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(content, id);
        }
    }

    /// Removes a lease and deletes its keys, each under its own revision. Returns whether the lease existed.
    fn revoke_lease(&self, content: &mut Content, id: u64) -> bool {
        let existed = content.leases.remove(&id).is_some();
        let attached: Vec<String> = content
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            content.revision += 1;
            self.apply_change(content, key, None, None);
        }
        self.changed.notify_all();
        existed
    }

    /// Applies a change at the current revision and appends it to the history; a `value` of `None` deletes the key.
    fn apply_change(
        &self,
        content: &mut Content,
        key: String,
        value: Option<Value>,
        lease: Option<u64>,
    ) {
        let revision = content.revision;
        content.history.push(CommittedChange {
            revision,
            elapsed: self.started_at.elapsed(),
            key: key.clone(),
            value: value.clone(),
        });
        match value {
            None => {
                content.keys.remove(&key);
            }
            Some(value) => {
                let stored = StoredValue {
                    value,
                    revision,
                    lease,
                };
                content.keys.insert(key, stored);
            }
        }
    }

    /// Routes a request by its path.
    fn respond(&self, request: &Request) -> Response {
        let path = request.path.as_str();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        if path.starts_with("/follow") {
            return self.watch(path);
        }
        if path == "/txn" {
            return self.commit_transaction(&body);
        }
        if let Some(rest) = path.strip_prefix("/leases") {
            return self.handle_lease(&request.method, rest, &body);
        }
        match path.strip_prefix("/keys") {
            Some(rest) if rest.starts_with('?') => self.list_page(rest),
            Some(rest) => self.get(rest.trim_start_matches('/')),
            None => (404, "{}".into()),
        }
    }

    fn get(&self, key: &str) -> Response {
        let content = self.lock_content();
        match content.keys.get(key) {
            None => (404, json!({ "Epoch": content.revision }).to_string()),
            Some(stored) => {
                let (value, lease) = (&stored.value, stored.lease);
                let found =
                    json!({"K": key, "V": value, "Stamp": stored.revision, "Permit": lease});
                (200, found.to_string())
            }
        }
    }

    /// Returns one page of the keys with a prefix, starting after a given key.
    fn list_page(&self, query: &str) -> Response {
        let prefix = query_parameter(query, "Prefix").unwrap_or_default();
        let after = query_parameter(query, "After").unwrap_or_default();
        let content = self.lock_content();
        let found = content.keys.range(prefix.to_owned()..);
        let mut found = found
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .peekable();
        let mut pairs = Vec::new();
        while let Some((key, stored)) = found.next_if(|_| pairs.len() < MAX_PAGE_KEYS) {
            pairs.push(json!({"K": key, "V": stored.value, "Stamp": stored.revision}));
        }
        let truncated = found.peek().is_some();
        let page = json!({"Pairs": pairs, "Truncated": truncated, "Epoch": content.revision});
        (200, page.to_string())
    }

    /// Applies all changes of a transaction under one revision, if every condition holds and every lease exists.
    /// A condition with revision 0 requires that the key does not exist.
    fn commit_transaction(&self, body: &Value) -> Response {
        let empty = Vec::new();
        let conditions = body["If"].as_array().unwrap_or(&empty);
        let changes = body["Then"].as_array().unwrap_or(&empty);
        let mut content = self.lock_content();
        let revision_of = |key: &str| content.keys.get(key).map_or(0, |stored| stored.revision);
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["K"].as_str()?;
                (condition["Stamp"].as_u64() != Some(revision_of(key))).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            let response = json!({"failed": failed, "Epoch": content.revision});
            content.conflicts += 1;
            return (409, response.to_string());
        }
        let needs_missing_lease = |change: &Value| {
            let lease = change["Permit"].as_u64();
            lease.is_some_and(|lease| !content.leases.contains_key(&lease))
        };
        if changes.iter().any(needs_missing_lease) {
            return (400, json!({"error": "no such lease"}).to_string());
        }
        content.revision += u64::from(!changes.is_empty());
        for change in changes {
            if let Some(key) = change["Put"].as_str() {
                let lease = change["Permit"].as_u64();
                self.apply_change(&mut content, key.into(), Some(change["V"].clone()), lease);
            } else if let Some(key) = change["Delete"].as_str() {
                self.apply_change(&mut content, key.into(), None, None);
            }
        }
        self.changed.notify_all();
        (200, json!({ "Epoch": content.revision }).to_string())
    }

    /// Creates, renews or revokes a lease, depending on the path and the method.
    fn handle_lease(&self, method: &str, rest: &str, body: &Value) -> Response {
        let mut content = self.lock_content();
        let rest = rest.trim_start_matches('/');
        if rest.is_empty() {
            let duration = Duration::from_millis(body["LifeMs"].as_u64().unwrap_or(0));
            content.last_lease_id += 1;
            let id = content.last_lease_id;
            let expires_at = Instant::now() + duration;
            content.leases.insert(
                id,
                Lease {
                    duration,
                    expires_at,
                },
            );
            return (200, json!({ "Permit": id }).to_string());
        }
        let id = rest.trim_end_matches("/renew").parse().unwrap_or(0);
        if method == "DELETE" {
            let existed = self.revoke_lease(&mut content, id);
            return (if existed { 200 } else { 404 }, "{}".into());
        }
        match content.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = Instant::now() + lease.duration;
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        }
    }

    /// Returns the changes after a revision; blocks until there is one or the requested time has passed.
    fn watch(&self, path: &str) -> Response {
        let prefix = query_parameter(path, "Prefix").unwrap_or_default();
        let after = numeric_parameter(path, "After").unwrap_or(0);
        let max_wait = Duration::from_millis(numeric_parameter(path, "BlockMs").unwrap_or(0));
        let deadline = Instant::now() + max_wait;
        let mut content = self.lock_content();
        loop {
            let first_newer = content
                .history
                .partition_point(|change| change.revision <= after);
            let changes: Vec<Value> = content.history[first_newer..]
                .iter()
                .filter(|change| change.key.starts_with(prefix))
                .map(|change| match &change.value {
                    Some(value) => {
                        json!({"Put": change.key, "V": value, "Stamp": change.revision})
                    }
                    None => json!({"Delete": change.key, "Stamp": change.revision}),
                })
                .collect();
            let now = Instant::now();
            if !changes.is_empty() || now >= deadline {
                let response = json!({"Epoch": content.revision, "News": changes});
                return (200, response.to_string());
            }
            let wait = (deadline - now).min(LEASE_CHECK_INTERVAL);
            let wait_result = self.changed.wait_timeout(content, wait);
            content = wait_result.unwrap_or_else(PoisonError::into_inner).0;
            self.expire_leases(&mut content);
        }
    }
}
