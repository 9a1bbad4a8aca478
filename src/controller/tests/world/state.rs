//! Stand-in for the state service. Each controller reaches it at an address of its own, so that tests can inject faults
//! for one controller only.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::production_view::{as_production_sees_it, as_production_writes_it};
use super::{LIMITS, NODES, host_address};
use crate::http::{Request, Response, serve};
use crate::protocol::paths;
use crate::protocol::store::{Change, Condition, Txn};
use crate::runtime::{Notify, Runtime, Scope, Time};
use crate::store::keys;
use crate::store::records::LeaderRecord;
use crate::store::transaction::TxnOutcome;
use crate::test_support::FakeStore;

const PORT: u16 = 2379;
/// Keys in a page of a listing, unless a test sets another number. Small pages make changes between two pages of a
/// listing likely.
const PAGE_KEYS: usize = 200;
/// Seconds by which a withheld reply is delayed: longer than any client waits.
const NO_REPLY_S: f64 = 600.0;
/// Seconds after which a late transaction is applied, see `ControllerLink::late_writes`.
pub const LATE_WRITE_S: f64 = 6.0;

/// The address at which a controller reaches the service.
pub fn link_address(node: usize) -> SocketAddr {
    host_address(100 + node as u8, PORT)
}

/// Faults injected between the service and one controller.
#[derive(Default)]
pub struct ControllerLink {
    /// Until then the service rejects all requests of the controller.
    pub refused_until: Cell<Time>,
    /// Until then watches deliver no changes, while all other requests are answered.
    pub stalled_until: Cell<Time>,
    /// Number of future transactions that are applied at once but get no reply.
    pub lose_answers: Cell<u32>,
    /// Number of future transactions that get no reply and are applied after `LATE_WRITE_S`.
    pub late_writes: Cell<u32>,
    /// Seconds by which each request is delayed.
    pub slow_s: Cell<f64>,
    /// Seconds by which each page of a listing is delayed, in addition to `slow_s`.
    pub list_s: Cell<f64>,
    /// Number of pages of listings that the controller has read.
    pub pages_read: Cell<u32>,
    /// The next watch is answered with 410: the changes that it asks for are no longer kept.
    pub compacted: Cell<bool>,
    /// The controller simulates the production version: fields and keys unknown to that version are removed from what
    /// it reads and writes.
    pub is_production: Cell<bool>,
}

/// A lease of the service. The service deletes the lease's keys when it expires.
struct Lease {
    lease_duration_s: f64,
    expires_at: Time,
    keys: Vec<String>,
}

/// An applied change of one key. A value of None is a deletion.
struct LoggedChange {
    revision: u64,
    key: String,
    value: Option<Box<RawValue>>,
}

/// The service: its keys, change log and leases, and the injected faults.
pub struct State {
    runtime: Runtime,
    pub store: RefCell<FakeStore>,
    /// All applied changes, in order.
    log: RefCell<Vec<LoggedChange>>,
    leases: RefCell<BTreeMap<u64, Lease>>,
    /// Id of the last lease created.
    last_lease_id: Cell<u64>,
    /// Faults by controller.
    pub links: Vec<ControllerLink>,
    /// Until then the service rejects all requests.
    pub outage_until: Cell<Time>,
    /// Maximum number of keys in a page of a listing.
    pub page_keys: Cell<usize>,
    /// Limits: bytes in a value, changes in a transaction, changes per second.
    pub limits: Cell<(usize, usize, f64)>,
    /// Token bucket for changes: tokens left, and the time of that count.
    token_bucket: Cell<(f64, Time)>,
    /// Number of transactions rejected because they exceed the size limits.
    pub too_large: Cell<u32>,
    /// Notified when keys change.
    changed: Notify,
    /// The node elected with each fencing token.
    pub leaders: RefCell<BTreeMap<u64, usize>>,
    /// All transactions received that change keys and are within the service's limits.
    received_txns: RefCell<Vec<Rc<Txn>>>,
}

/// The body of a transaction request.
#[derive(Deserialize)]
struct RequestBody {
    #[serde(rename = "If", default)]
    conditions: Vec<RequestedCondition>,
    #[serde(rename = "Then", default)]
    changes: Vec<RequestedChange>,
}

#[derive(Deserialize)]
struct RequestedCondition {
    #[serde(rename = "K")]
    key: String,
    #[serde(rename = "Stamp")]
    revision: u64,
}

#[derive(Deserialize)]
struct RequestedChange {
    #[serde(rename = "Put")]
    put: Option<String>,
    #[serde(rename = "Delete")]
    delete: Option<String>,
    #[serde(rename = "V")]
    value: Option<Box<RawValue>>,
    #[serde(rename = "Permit")]
    lease: Option<u64>,
}

impl RequestBody {
    /// The transaction, or None if a change is malformed.
    fn into_txn(self) -> Option<Txn> {
        let conditions = self.conditions.into_iter().map(|condition| Condition {
            key: condition.key,
            revision: condition.revision,
        });
        let changes = self
            .changes
            .into_iter()
            .map(|change| match (change.put, change.delete) {
                (Some(key), None) => Some(Change::Put {
                    key,
                    value: change.value?,
                    lease: change.lease,
                }),
                (None, Some(key)) => Some(Change::Delete { key }),
                _ => None,
            });
        Some(Txn {
            conditions: conditions.collect(),
            changes: changes.collect::<Option<_>>()?,
        })
    }
}

/// A parameter of the query string.
fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

impl State {
    pub fn start(runtime: &Runtime, scope: &Scope) -> Rc<Self> {
        let state = Rc::new(State {
            runtime: runtime.clone(),
            store: RefCell::default(),
            log: RefCell::default(),
            leases: RefCell::default(),
            last_lease_id: Cell::new(0),
            links: (0..NODES).map(|_| ControllerLink::default()).collect(),
            outage_until: Cell::new(0.0),
            page_keys: Cell::new(PAGE_KEYS),
            limits: Cell::new((8 * 1024, 16, 20.0)),
            token_bucket: Cell::new((0.0, 0.0)),
            too_large: Cell::new(0),
            changed: Notify::default(),
            leaders: RefCell::default(),
            received_txns: RefCell::default(),
        });
        for node in 0..NODES {
            let shared_state = state.clone();
            let handler = Rc::new(move |request: Request| {
                let state = shared_state.clone();
                Box::pin(async move { state.handle(node, request).await }) as _
            });
            let listener = runtime.listen(link_address(node)).unwrap();
            scope.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        }
        let expiring_state = state.clone();
        scope.spawn(async move {
            loop {
                expiring_state.runtime.sleep(0.05).await;
                expiring_state.expire_leases();
            }
        });
        state
    }

    /// Makes the service reject all requests for `for_s` seconds.
    pub fn outage(&self, for_s: f64) {
        self.outage_until.set(self.runtime.now() + for_s);
    }

    /// Makes the service reject all requests of one controller for `for_s` seconds.
    pub fn refuse(&self, node: usize, for_s: f64) {
        self.links[node]
            .refused_until
            .set(self.runtime.now() + for_s);
    }

    /// Returns whether the service rejects a controller's requests now.
    fn refuses(&self, node: usize) -> bool {
        let now = self.runtime.now();
        now < self.outage_until.get() || now < self.links[node].refused_until.get()
    }

    /// Deletes the keys of expired leases.
    fn expire_leases(&self) {
        let now = self.runtime.now();
        let mut leases = self.leases.borrow_mut();
        if now < self.outage_until.get() {
            // After an outage, each lease gets its full duration again.
            for lease in leases.values_mut() {
                lease.expires_at = self.outage_until.get() + lease.lease_duration_s;
            }
            return;
        }
        let expired = leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            if let Some(lease) = leases.remove(&id) {
                self.delete_keys(lease.keys);
            }
        }
    }

    fn delete_keys(&self, keys: Vec<String>) {
        let mut store = self.store.borrow_mut();
        for key in keys {
            if store.keys.remove(&key).is_some() {
                store.revision += 1;
                let revision = store.revision;
                let value = None;
                self.log.borrow_mut().push(LoggedChange {
                    revision,
                    key,
                    value,
                });
            }
        }
        self.changed.notify_all();
    }

    /// Applies a transaction if its conditions and leases hold, and logs its changes.
    pub fn apply(&self, txn: &Txn) -> TxnOutcome {
        let mut leases = self.leases.borrow_mut();
        for change in &txn.changes {
            if let Change::Put {
                lease: Some(id), ..
            } = change
                && !leases.contains_key(id)
            {
                return TxnOutcome::Refused;
            }
        }
        let outcome = self.store.borrow_mut().apply(txn);
        let TxnOutcome::Applied(revision) = outcome else {
            return outcome;
        };
        let mut log = self.log.borrow_mut();
        for change in &txn.changes {
            let (key, value) = match change {
                Change::Put { key, value, lease } => {
                    if let Some(lease) = lease.and_then(|id| leases.get_mut(&id)) {
                        lease.keys.push(key.clone());
                    }
                    if *key == keys::leader() {
                        let record: LeaderRecord = serde_json::from_str(value.get()).unwrap();
                        let node = record.node[1..].parse().unwrap();
                        self.leaders.borrow_mut().insert(revision, node);
                    }
                    (key.clone(), Some(value.clone()))
                }
                Change::Delete { key } => (key.clone(), None),
            };
            log.push(LoggedChange {
                revision,
                key,
                value,
            });
        }
        self.changed.notify_all();
        outcome
    }

    /// All applied changes, in order.
    pub fn history(&self) -> Vec<Change> {
        let to_change = |logged: &LoggedChange| match &logged.value {
            Some(value) => Change::Put {
                key: logged.key.clone(),
                value: value.clone(),
                lease: None,
            },
            None => Change::Delete {
                key: logged.key.clone(),
            },
        };
        self.log.borrow().iter().map(to_change).collect()
    }

    /// Applies every transaction ever received once more, in the same order.
    pub fn repeat_everything(&self) {
        let received: Vec<Rc<Txn>> = self.received_txns.borrow().clone();
        for txn in received {
            self.apply(&txn);
        }
    }

    async fn handle(&self, node: usize, request: Request) -> Response {
        let reply = self.handle_request(node, request).await;
        if self.links[node].is_production.get() {
            as_production_sees_it(reply)
        } else {
            reply
        }
    }

    async fn handle_request(&self, node: usize, request: Request) -> Response {
        let link = &self.links[node];
        if link.slow_s.get() > 0.0 {
            self.runtime.sleep(link.slow_s.get()).await;
        }
        if self.refuses(node) {
            return Response::error(503, "trouble");
        }
        let path = request.path.as_str();
        if path.starts_with(paths::WATCH) {
            return self.watch(node, path).await;
        }
        if path == paths::TXN {
            return self.transact(node, &request.body).await;
        }
        if let Some(rest) = path.strip_prefix(paths::LEASES) {
            return self.lease(&request.method, rest, &request.body);
        }
        match path.strip_prefix(paths::KEYS) {
            Some(rest) if rest.starts_with('?') => {
                self.runtime.sleep(link.list_s.get()).await;
                link.pages_read.set(link.pages_read.get() + 1);
                self.list_page(rest)
            }
            Some(rest) => self.get(&rest[1..]),
            None => Response::error(404, "no such path"),
        }
    }

    async fn transact(&self, node: usize, body: &[u8]) -> Response {
        let body = serde_json::from_slice::<RequestBody>(body).ok();
        let Some(mut txn) = body.and_then(RequestBody::into_txn) else {
            return Response::error(400, "malformed");
        };
        let link = &self.links[node];
        if link.is_production.get() {
            txn.changes.retain_mut(as_production_writes_it);
        }
        let txn = Rc::new(txn);
        if !self.is_within_size_limits(&txn) {
            self.too_large.set(self.too_large.get() + 1);
            return Response::error(400, "too large");
        }
        if !self.take_tokens(txn.changes.len()) {
            return Response::error(429, "too many changes");
        }
        if !txn.changes.is_empty() {
            self.received_txns.borrow_mut().push(txn.clone());
            if link.late_writes.get() > 0 {
                link.late_writes.set(link.late_writes.get() - 1);
                self.runtime.sleep(LATE_WRITE_S).await;
                self.apply(&txn);
                self.runtime.sleep(NO_REPLY_S).await;
            }
        }
        let outcome = self.apply(&txn);
        if !txn.changes.is_empty() && link.lose_answers.get() > 0 {
            link.lose_answers.set(link.lose_answers.get() - 1);
            self.runtime.sleep(NO_REPLY_S).await;
        }
        let revision = self.store.borrow().revision;
        match outcome {
            TxnOutcome::Applied(revision) => Response::json(200, &json!({ "Epoch": revision })),
            TxnOutcome::Conflict(failed) => {
                Response::json(409, &json!({ "failed": failed, "Epoch": revision }))
            }
            _ => Response::error(400, "no such lease"),
        }
    }

    /// Returns whether a transaction is within the size limits of the service.
    fn is_within_size_limits(&self, txn: &Txn) -> bool {
        let (value_bytes, changes, _) = self.limits.get();
        let value_fits = |change: &Change| match change {
            Change::Put { value, .. } => value.get().len() <= value_bytes,
            Change::Delete { .. } => true,
        };
        let count_fits = txn.changes.len() <= changes && txn.conditions.len() <= 4 * changes;
        count_fits && txn.changes.iter().all(value_fits)
    }

    /// Takes a token for each change. Returns false, and takes none, if too few are left.
    fn take_tokens(&self, changes: usize) -> bool {
        let (.., rate) = self.limits.get();
        let now = self.runtime.now();
        let (tokens, counted_at) = self.token_bucket.get();
        let left = (tokens + (now - counted_at) * rate).min(rate) - changes as f64;
        let allowed = left >= 0.0;
        self.token_bucket
            .set((if allowed { left } else { left + changes as f64 }, now));
        allowed
    }

    /// Creates, renews or revokes a lease.
    fn lease(&self, method: &str, rest: &str, body: &[u8]) -> Response {
        let now = self.runtime.now();
        let mut leases = self.leases.borrow_mut();
        if rest.is_empty() {
            let lease_request: serde_json::Value = serde_json::from_slice(body).unwrap();
            let lease_duration_s = lease_request["LifeMs"].as_f64().unwrap() / 1000.0;
            let id = self.last_lease_id.get() + 1;
            self.last_lease_id.set(id);
            let lease = Lease {
                lease_duration_s,
                expires_at: now + lease_duration_s,
                keys: Vec::new(),
            };
            leases.insert(id, lease);
            return Response::json(200, &json!({ "Permit": id }));
        }
        let (id, is_renewal) = match rest[1..].strip_suffix(paths::RENEW_SUFFIX) {
            Some(id) => (id, true),
            None => (&rest[1..], false),
        };
        let id: u64 = id.parse().unwrap();
        match leases.get_mut(&id) {
            Some(lease) if is_renewal => {
                lease.expires_at = now + lease.lease_duration_s;
                Response::json(200, &json!({}))
            }
            Some(_) if method == "DELETE" => {
                let lease = leases.remove(&id);
                drop(leases);
                self.delete_keys(lease.map(|lease| lease.keys).unwrap_or_default());
                Response::json(200, &json!({}))
            }
            _ => Response::error(404, "no such lease"),
        }
    }

    /// Replies with one key, its value and its lease.
    fn get(&self, key: &str) -> Response {
        let store = self.store.borrow();
        let leases = self.leases.borrow();
        let lease = leases
            .iter()
            .find(|(_, lease)| lease.keys.iter().any(|held| held == key));
        match store.keys.get(key) {
            Some((value, revision)) => Response::json(
                200,
                &json!({ "K": key, "V": value, "Stamp": revision, "Permit": lease.map(|(id, _)| id) }),
            ),
            None => Response::json(404, &json!({ "Epoch": store.revision })),
        }
    }

    /// Replies with one page of the keys with a prefix.
    fn list_page(&self, query: &str) -> Response {
        let after = query_parameter(query, "After").unwrap_or_default();
        let prefix = query_parameter(query, "Prefix").unwrap_or_default();
        let store = self.store.borrow();
        let matching = store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rest = matching.filter(|(key, _)| key.as_str() > after).peekable();
        let mut pairs = Vec::new();
        while let Some((key, (value, revision))) =
            rest.next_if(|_| pairs.len() < self.page_keys.get())
        {
            pairs.push(json!({ "K": key, "V": value, "Stamp": revision }));
        }
        let more = rest.peek().is_some();
        Response::json(
            200,
            &json!({ "Pairs": pairs, "Truncated": more, "Epoch": store.revision }),
        )
    }

    /// Replies with the changes after a revision, or with none once the requested time has passed.
    async fn watch(&self, node: usize, path: &str) -> Response {
        let number_parameter =
            |name| query_parameter(path, name).and_then(|value| value.parse::<u64>().ok());
        let prefix = query_parameter(path, "Prefix").unwrap_or_default();
        let after = number_parameter("After").unwrap_or(0);
        let deadline =
            self.runtime.now() + number_parameter("BlockMs").unwrap_or(0) as f64 / 1000.0;
        loop {
            let now = self.runtime.now();
            if self.links[node].compacted.take() {
                return Response::error(410, "compacted");
            }
            // Open watches stay open during an outage, but deliver nothing.
            let withheld = self.refuses(node) || now < self.links[node].stalled_until.get();
            if !withheld {
                let log = self.log.borrow();
                let unseen = log
                    .iter()
                    .rev()
                    .take_while(|logged| logged.revision > after);
                let mut changes: Vec<_> = unseen
                    .filter(|logged| logged.key.starts_with(prefix))
                    .map(|logged| match &logged.value {
                        Some(value) => {
                            json!({ "Put": logged.key, "V": value, "Stamp": logged.revision })
                        }
                        None => json!({ "Delete": logged.key, "Stamp": logged.revision }),
                    })
                    .collect();
                changes.reverse();
                if !changes.is_empty() || now >= deadline {
                    let revision = self.store.borrow().revision;
                    return Response::json(200, &json!({ "Epoch": revision, "News": changes }));
                }
            }
            let wait_s = if withheld {
                0.1
            } else {
                (deadline - now).min(0.5)
            };
            let _ = self.runtime.timeout(wait_s, self.changed.notified()).await;
        }
    }
}
