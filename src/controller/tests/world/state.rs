//! The state service, with an address for each controller, so that faults can be injected per controller.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::production_view::{as_production_sees_it, as_production_writes_it};
use super::{LIMITS, NODES, addr};
use crate::http::{Request, Response, serve};
use crate::protocol::paths;
use crate::protocol::store::{Change, Condition, Txn};
use crate::runtime::{Notify, Runtime, Scope, Time};
use crate::store::keys;
use crate::store::records::LeaderRecord;
use crate::store::transaction::TxnOutcome;
use crate::test_support::FakeStore;

const PORT: u16 = 2379;
/// Seconds after which a withheld reply is given; longer than any client waits.
const NO_REPLY_S: f64 = 600.0;
/// Most seconds after which a transaction without a reply is applied.
pub const LATE_WRITE_S: f64 = 6.0;

/// The address under which a controller reaches the service.
pub fn link_address(node: usize) -> SocketAddr {
    addr(100 + node as u8, PORT)
}

/// Faults injected between the service and a controller.
#[derive(Default)]
pub struct ControllerLink {
    pub refused_until: Cell<Time>,
    /// Its watches bring no changes, though everything else is answered.
    pub stalled_until: Cell<Time>,
    /// Number of coming transactions that are applied at once without a reply.
    pub lose_answers: Cell<u32>,
    /// Number of coming transactions that get no reply and are applied later.
    pub late_writes: Cell<u32>,
    pub slow_s: Cell<f64>,
    /// The controller simulates the production version: it neither reads nor writes what that version doesn't know.
    pub is_production: Cell<bool>,
}

struct Lease {
    lease_duration_s: f64,
    ends: Time,
    keys: Vec<String>,
}

struct LoggedChange {
    revision: u64,
    key: String,
    value: Option<Box<RawValue>>,
}

pub struct State {
    runtime: Runtime,
    pub store: RefCell<FakeStore>,
    log: RefCell<Vec<LoggedChange>>,
    leases: RefCell<BTreeMap<u64, Lease>>,
    next_lease: Cell<u64>,
    pub links: Vec<ControllerLink>,
    pub outage_until: Cell<Time>,
    /// Limits: bytes of a value, changes of a transaction, changes a second.
    pub limits: Cell<(usize, usize, f64)>,
    /// Changes allowed at once, and when that was computed.
    allowance: Cell<(f64, Time)>,
    /// Transactions that were too large.
    pub too_large: Cell<u32>,
    moved: Notify,
    /// The leader's node by fencing token.
    pub leaders: RefCell<BTreeMap<u64, usize>>,
    /// All transactions ever received.
    sent: RefCell<Vec<Rc<Txn>>>,
}

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
    version: u64,
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
    fn into_txn(self) -> Option<Txn> {
        let conditions = self.conditions.into_iter().map(|c| Condition {
            key: c.key,
            revision: c.version,
        });
        let changes = self.changes.into_iter().map(|c| match (c.put, c.delete) {
            (Some(key), None) => Some(Change::Put {
                key,
                value: c.value?,
                lease: c.lease,
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

fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
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
            next_lease: Cell::new(0),
            links: (0..NODES).map(|_| ControllerLink::default()).collect(),
            outage_until: Cell::new(0.0),
            limits: Cell::new((8 * 1024, 16, 20.0)),
            allowance: Cell::new((0.0, 0.0)),
            too_large: Cell::new(0),
            moved: Notify::default(),
            leaders: RefCell::default(),
            sent: RefCell::default(),
        });
        for node in 0..NODES {
            let served = state.clone();
            let handler = Rc::new(move |request: Request| {
                let state = served.clone();
                Box::pin(async move { state.answer(node, request).await }) as _
            });
            let listener = runtime.listen(link_address(node)).unwrap();
            scope.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        }
        let ending = state.clone();
        scope.spawn(async move {
            loop {
                ending.runtime.sleep(0.05).await;
                ending.end_leases();
            }
        });
        state
    }

    pub fn outage(&self, for_s: f64) {
        self.outage_until.set(self.runtime.now() + for_s);
    }

    /// The service rejects all requests of one controller.
    pub fn refuse(&self, node: usize, for_s: f64) {
        self.links[node]
            .refused_until
            .set(self.runtime.now() + for_s);
    }

    fn refuses(&self, node: usize) -> bool {
        let now = self.runtime.now();
        now < self.outage_until.get() || now < self.links[node].refused_until.get()
    }

    fn end_leases(&self) {
        let now = self.runtime.now();
        let mut leases = self.leases.borrow_mut();
        if now < self.outage_until.get() {
            // After an outage every lease has its full time again.
            for lease in leases.values_mut() {
                lease.ends = self.outage_until.get() + lease.lease_duration_s;
            }
            return;
        }
        let over = leases.iter().filter(|(_, l)| l.ends <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
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
        self.moved.notify_all();
    }

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
        self.moved.notify_all();
        outcome
    }

    /// All applied changes, in order.
    pub fn history(&self) -> Vec<Change> {
        let logged = |logged: &LoggedChange| match &logged.value {
            Some(value) => Change::Put {
                key: logged.key.clone(),
                value: value.clone(),
                lease: None,
            },
            None => Change::Delete {
                key: logged.key.clone(),
            },
        };
        self.log.borrow().iter().map(logged).collect()
    }

    /// Applies every transaction ever received once more.
    pub fn repeat_everything(&self) {
        let sent: Vec<Rc<Txn>> = self.sent.borrow().clone();
        for txn in sent {
            self.apply(&txn);
        }
    }

    async fn answer(&self, node: usize, request: Request) -> Response {
        let answer = self.handle_request(node, request).await;
        if self.links[node].is_production.get() {
            as_production_sees_it(answer)
        } else {
            answer
        }
    }

    async fn handle_request(&self, node: usize, request: Request) -> Response {
        let line = &self.links[node];
        if line.slow_s.get() > 0.0 {
            self.runtime.sleep(line.slow_s.get()).await;
        }
        if self.refuses(node) {
            return Response::error(503, "trouble");
        }
        let path = request.path.as_str();
        if path.starts_with(paths::WATCH) {
            return self.follow(node, path).await;
        }
        if path == paths::TXN {
            return self.transact(node, &request.body).await;
        }
        if let Some(rest) = path.strip_prefix(paths::LEASES) {
            return self.lease(&request.method, rest, &request.body);
        }
        match path.strip_prefix(paths::KEYS) {
            Some(rest) if rest.starts_with('?') => self.page(rest),
            Some(rest) => self.get(&rest[1..]),
            None => Response::error(404, "no such path"),
        }
    }

    async fn transact(&self, node: usize, body: &[u8]) -> Response {
        let asked = serde_json::from_slice::<RequestBody>(body).ok();
        let Some(mut txn) = asked.and_then(RequestBody::into_txn) else {
            return Response::error(400, "malformed");
        };
        let line = &self.links[node];
        if line.is_production.get() {
            txn.changes.retain_mut(as_production_writes_it);
        }
        let txn = Rc::new(txn);
        if !self.fits(&txn) {
            self.too_large.set(self.too_large.get() + 1);
            return Response::error(400, "too large");
        }
        if !self.may_change(txn.changes.len()) {
            return Response::error(429, "too many changes");
        }
        if !txn.changes.is_empty() {
            self.sent.borrow_mut().push(txn.clone());
            if line.late_writes.get() > 0 {
                line.late_writes.set(line.late_writes.get() - 1);
                self.runtime.sleep(LATE_WRITE_S).await;
                self.apply(&txn);
                self.runtime.sleep(NO_REPLY_S).await;
            }
        }
        let outcome = self.apply(&txn);
        if !txn.changes.is_empty() && line.lose_answers.get() > 0 {
            line.lose_answers.set(line.lose_answers.get() - 1);
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

    fn fits(&self, txn: &Txn) -> bool {
        let (bytes, changes, _) = self.limits.get();
        let fits = |change: &Change| match change {
            Change::Put { value, .. } => value.get().len() <= bytes,
            Change::Delete { .. } => true,
        };
        let small = txn.changes.len() <= changes && txn.conditions.len() <= 4 * changes;
        small && txn.changes.iter().all(fits)
    }

    fn may_change(&self, changes: usize) -> bool {
        let (.., rate) = self.limits.get();
        let now = self.runtime.now();
        let (left, at) = self.allowance.get();
        let left = (left + (now - at) * rate).min(rate) - changes as f64;
        let may = left >= 0.0;
        self.allowance
            .set((if may { left } else { left + changes as f64 }, now));
        may
    }

    fn lease(&self, method: &str, rest: &str, body: &[u8]) -> Response {
        let now = self.runtime.now();
        let mut leases = self.leases.borrow_mut();
        if rest.is_empty() {
            let asked: serde_json::Value = serde_json::from_slice(body).unwrap();
            let lease_duration_s = asked["LifeMs"].as_f64().unwrap() / 1000.0;
            let id = self.next_lease.get() + 1;
            self.next_lease.set(id);
            let lease = Lease {
                lease_duration_s,
                ends: now + lease_duration_s,
                keys: Vec::new(),
            };
            leases.insert(id, lease);
            return Response::json(200, &json!({ "Permit": id }));
        }
        let (id, renewal) = match rest[1..].strip_suffix(paths::RENEW_SUFFIX) {
            Some(id) => (id, true),
            None => (&rest[1..], false),
        };
        let id: u64 = id.parse().unwrap();
        match leases.get_mut(&id) {
            Some(lease) if renewal => {
                lease.ends = now + lease.lease_duration_s;
                Response::json(200, &json!({}))
            }
            Some(_) if method == "DELETE" => {
                let lease = leases.remove(&id);
                drop(leases);
                self.delete_keys(lease.map(|l| l.keys).unwrap_or_default());
                Response::json(200, &json!({}))
            }
            _ => Response::error(404, "no such lease"),
        }
    }

    fn get(&self, key: &str) -> Response {
        let store = self.store.borrow();
        let leases = self.leases.borrow();
        let permit = leases.iter().find(|(_, l)| l.keys.iter().any(|k| k == key));
        match store.keys.get(key) {
            Some((value, stamp)) => Response::json(
                200,
                &json!({ "K": key, "V": value, "Stamp": stamp, "Permit": permit.map(|(id, _)| id) }),
            ),
            None => Response::json(404, &json!({ "Epoch": store.revision })),
        }
    }

    fn page(&self, query: &str) -> Response {
        let after = parameter(query, "After").unwrap_or_default();
        let prefix = parameter(query, "Prefix").unwrap_or_default();
        let store = self.store.borrow();
        let below = store.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        let mut rest = below.filter(|(k, _)| k.as_str() > after).peekable();
        let mut pairs = Vec::new();
        // Small pages, so that changes between them occur.
        while let Some((key, (value, stamp))) = rest.next_if(|_| pairs.len() < 200) {
            pairs.push(json!({ "K": key, "V": value, "Stamp": stamp }));
        }
        let more = rest.peek().is_some();
        Response::json(
            200,
            &json!({ "Pairs": pairs, "Truncated": more, "Epoch": store.revision }),
        )
    }

    async fn follow(&self, node: usize, path: &str) -> Response {
        let number = |name| parameter(path, name).and_then(|v| v.parse::<u64>().ok());
        let prefix = parameter(path, "Prefix").unwrap_or_default();
        let after = number("After").unwrap_or(0);
        let deadline = self.runtime.now() + number("BlockMs").unwrap_or(0) as f64 / 1000.0;
        loop {
            let now = self.runtime.now();
            // Open watches stay open during an outage.
            let held = self.refuses(node) || now < self.links[node].stalled_until.get();
            if !held {
                let log = self.log.borrow();
                let fresh = log.iter().rev().take_while(|l| l.revision > after);
                let mut news: Vec<_> = fresh
                    .filter(|l| l.key.starts_with(prefix))
                    .map(|l| match &l.value {
                        Some(value) => json!({ "Put": l.key, "V": value, "Stamp": l.revision }),
                        None => json!({ "Delete": l.key, "Stamp": l.revision }),
                    })
                    .collect();
                news.reverse();
                if !news.is_empty() || now >= deadline {
                    let revision = self.store.borrow().revision;
                    return Response::json(200, &json!({ "Epoch": revision, "News": news }));
                }
            }
            let wait = if held { 0.1 } else { (deadline - now).min(0.5) };
            let _ = self.runtime.timeout(wait, self.moved.notified()).await;
        }
    }
}
