//! A controller: the routines around the state machines.

pub(crate) mod standin;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use rand::RngExt;
use serde_json::value::to_raw_value;

use crate::api::{is_job_id, job_answer, never_runs, parse_submission};
use crate::autoscale::{CloudAnswer, CloudCall};
use crate::cluster::{self, Greeting, Peers, WorkerSeen};
use crate::config::Config;
use crate::election::{self, Kept, Tenure};
use crate::expect::Expected;
use crate::fleet::{DirectMessage, DirectOutcome, Source};
use crate::http::{self, CallError, Client, Request, Response, ServerLimits, serve};
use crate::lead::{AfterTxn, Lead, TxnOutcome};
use crate::rt::{Bucket, Pulse, Rt, Scope, Signal, Time};
use crate::store::{Followed, Store};
use crate::view::{self, End, EndRecord, JobView, PleaRecord, View, key};
use crate::wire::{
    self, Condition, Direct, MachineList, MachineNames, MachineTypes, Redirect, Report,
    ReportReply, Submission, Txn, path,
};

/// Clients of others' services that a node keeps, and sockets for what is not counted.
const CLIENTS: usize = 3;
const SPARE_SOCKETS: usize = 16;
/// At least this part of the sockets is for users and workers.
const FRONT_SHARE_MIN: f64 = 0.5;
/// How long a request may take to arrive, in report intervals.
const REQUEST_REPORTS: f64 = 3.0;
/// How long a connection may rest, in leases of the workers.
const IDLE_LEASES: f64 = 4.0;
/// A connection that rested for so many report intervals is no worker's that goes on reporting
/// here: when all are taken, it makes way.
const REST_REPORTS: f64 = 1.5;
/// Submissions and withdrawals under way at once.
const USER_WRITES_MAX: usize = 24;
/// Polls that wait for a read barrier at once.
const POLLS_MAX: usize = 256;
/// Time a user's write may take before it is given up; users wait 5 s.
const USER_WRITE_S: f64 = 1.5;
/// By how much a node's share of the users' writes grows with each that is taken.
const USER_PACE_RISE: f64 = 1.2;
/// Time a poll may wait; users wait 2 s.
const POLL_S: f64 = 1.2;
/// When to come back, told to users that can't be served.
const RETRY_S: u32 = 1;
/// Gap between two watches, so that changes come in groups.
const FOLLOW_GAP_S: f64 = 0.05;
/// Time of one watch: less than the silence after which the state service counts as lost.
const WATCH_S: f64 = 2.0;
/// A watch that hasn't shown a revision known to exist for so long is begun anew.
const FOLLOW_STALE_S: f64 = 0.4;
/// Shortest time between two rounds of the leader's duty, so that reports are taken in groups.
const DUTY_GAP_S: f64 = 0.03;
/// After a round that took long the next one waits for so many times as long: a crowd must not keep
/// reports and the lease's renewal waiting.
const DUTY_REST: f64 = 1.0;
/// Transactions that a round sends.
const WRITES_MAX: usize = 3;
/// Interval in which the leader looks after machines, in report intervals, and the longest.
const TEND_REPORTS: f64 = 0.15;
const TEND_S_MAX: f64 = 0.5;
/// How long the answer to a report waits for a placement round, in report intervals.
const HOLD_REPORTS: f64 = 0.15;
/// Pause after the state service refused or didn't answer.
const STATE_PAUSE_S: f64 = 0.15;
/// Renewals within a lease's life.
const RENEWALS: f64 = 4.0;
/// Interval of greetings in report intervals, and the longest.
const GREETING_REPORTS: f64 = 0.4;
const GREETING_S_MAX: f64 = 1.2;
/// After so many report intervals without the state service, while others have it, a node asks
/// not to be sent users.
const STATE_LOST_REPORTS: f64 = 1.5;
const STATE_LOST_S_MAX: f64 = 4.5;
/// Direct messages to workers under way at once: a part of the sockets, and at least so many.
const DIRECT_SHARE: f64 = 0.02;
const DIRECT_MIN: usize = 24;
/// Interval of direct messages to one worker, and their time limit, in report intervals.
const DIRECT_REPORTS: f64 = 0.5;
/// Bounds of that time limit.
const DIRECT_S_MIN: f64 = 1.0;
const DIRECT_S_MAX: f64 = 2.0;
/// A leader without reports for so many intervals resigns when another hears workers.
const DEAF_REPORTS: f64 = 1.3;
/// Or for so long, if it knows so many machines: some of them would report in that time.
const DEAF_S_MAX: f64 = 4.0;
const DEAF_MACHINES: usize = 12;
/// Interval of pleas in report intervals, and the longest.
const PLEA_REPORTS: f64 = 0.5;
const PLEA_S_MAX: f64 = 1.5;
/// So many workers that can't reach the leader are told of.
const ASTRAY_WORKERS: usize = 2;
/// How long a leader that resigned stands back, in lives of its lease.
const STAND_BACK_LIVES: f64 = 3.0;
/// For how long a controller waits for others that should rather lead, in lives of the lease.
const STAND_ASIDE: f64 = 0.3;
/// For how long arrivals are watched, and in what steps: some times what a machine takes to boot,
/// which is not known before the machine types are.
const EXPECT_S: f64 = 150.0;
const EXPECT_STEP_S: f64 = 3.0;
/// Time limit of a call to the cloud.
const CLOUD_CALL_S: f64 = 5.0;
/// Part of the cloud's limit that is used.
const CLOUD_SHARE: f64 = 0.85;
/// Largest answer taken from the cloud or a worker.
const OUTSIDE_BODY_MAX: usize = 1024 * 1024;

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{what} {addr}: {source}")]
    Listen {
        what: &'static str,
        addr: SocketAddr,
        source: io::Error,
    },
    #[error(transparent)]
    Loop(#[from] calloop::Error),
}

struct Seen {
    at: Time,
    redirected: Option<(Time, u64)>,
    astray: Option<Time>,
    worker: WorkerSeen,
}

struct Node {
    rt: Rt,
    config: Rc<Config>,
    incarnation: u64,
    store: Store,
    cloud: Client,
    cloud_pace: Bucket,
    user_writes: Bucket,
    /// What users may write in all.
    user_rate: f64,
    user_writes_live: Cell<usize>,
    view: RefCell<View>,
    expected: Rc<RefCell<Expected>>,
    /// Whether the view is whole; not while it is read anew.
    loaded: Cell<bool>,
    /// Beats when the view moved on.
    moved: Pulse,
    /// Ends the gap between watches.
    hurry: Signal,
    /// Begins the watch anew.
    rewatch: Signal,
    state_heard: Cell<Option<Time>>,
    barrier_work: Signal,
    barrier_queue: RefCell<Vec<oneshot::Sender<bool>>>,
    tenure: Cell<Option<Tenure>>,
    lead: RefCell<Option<Lead>>,
    leader_moved: Signal,
    resign: Signal,
    work: Signal,
    /// Beats when the leader has placed and stored what it could.
    round: Pulse,
    cloud_work: Signal,
    seen: RefCell<BTreeMap<String, Seen>>,
    plea_at: Cell<Time>,
    plea: Cell<Option<u64>>,
    plea_work: Signal,
    resigned: Cell<bool>,
    peers: Rc<Peers>,
    /// Reports that wait for a leader's word to be seen standing.
    word_queue: RefCell<Vec<(standin::Word, oneshot::Sender<Option<bool>>)>>,
    word_work: Signal,
    /// What is to be told to the leader, by zone.
    relays: RefCell<HashMap<String, standin::Relay>>,
    relay_work: Signal,
}

/// Runs a controller until its process ends.
pub fn run(config: Config) -> Result<(), StartError> {
    let config = Rc::new(config);
    Rt::run(|rt| {
        let listen = |what, addr| {
            rt.listen(addr)
                .map_err(|source| StartError::Listen { what, addr, source })
        };
        let front = listen("front", config.listen)?;
        let links = listen("cluster_listen", config.peer_listen)?;
        let node = Rc::new(Node::new(rt, config.clone()));
        let w = &config.deployment.workers;
        let root = Scope::new(rt);
        let limits = ServerLimits {
            connections: ServerLimits::connections_within(front_sockets(&config)),
            request_s: w.report_s * REQUEST_REPORTS,
            idle_s: w.lease_s * IDLE_LEASES,
            rest_s: w.report_s * REST_REPORTS,
        };
        let handler = {
            let node = node.clone();
            Rc::new(move |request| {
                let node = node.clone();
                Box::pin(async move { node.handle(request).await }) as _
            })
        };
        root.spawn(serve(rt.clone(), front, limits, handler));
        let every_s = (w.report_s * GREETING_REPORTS).min(GREETING_S_MAX);
        root.spawn(cluster::listen(
            rt.clone(),
            links,
            config.peers.len(),
            every_s,
            node.peers.clone(),
            node.expected.clone(),
        ));
        for peer in &config.peers {
            let node = node.clone();
            let told = RefCell::new(String::new());
            let greeter = Box::new(move || node.greeting(&mut told.borrow_mut()));
            root.spawn(cluster::greet(rt.clone(), peer.clone(), every_s, greeter));
        }
        root.spawn(node.clone().follow_duty());
        root.spawn(node.clone().barrier_duty());
        root.spawn(node.clone().types_duty());
        root.spawn(node.clone().plea_duty());
        root.spawn(node.clone().word_duty());
        root.spawn(node.clone().relay_duty());
        root.spawn(node.clone().election_duty());
        root.spawn(node.clone().leader_duty());
        root.spawn(node.clone().cloud_duty());
        tracing::info!("{} serves at {}", config.node, config.listen);
        Ok(root)
    })
}

/// Direct messages to workers under way at once.
fn directs_max(config: &Config) -> usize {
    let sockets = config.deployment.limits.max_sockets as f64;
    ((sockets * DIRECT_SHARE) as usize).max(DIRECT_MIN)
}

/// Sockets for users and workers: all but those that this node opens itself, which must always find
/// one, the renewal of the leader's lease above all. A fixed part for them once turned a third of
/// the workers of a large fleet away while sockets were free.
fn front_sockets(config: &Config) -> usize {
    let sockets = config.deployment.limits.max_sockets;
    let links = config.peers.len() * (cluster::LINKS_PER_PEER + 1);
    let calls = directs_max(config) + USER_WRITES_MAX + CLIENTS * http::IDLE_MAX;
    let least = (sockets as f64 * FRONT_SHARE_MIN) as usize;
    sockets
        .saturating_sub(links + calls + SPARE_SOCKETS)
        .max(least)
}

impl Node {
    fn new(rt: &Rt, config: Rc<Config>) -> Self {
        let d = &config.deployment;
        let user_rate = d.state.write_rps * (1.0 - crate::lead::LEADER_WRITE_SHARE);
        Node {
            rt: rt.clone(),
            incarnation: rand::rng().random(),
            store: Store::new(rt, config.services.state, &config),
            cloud: Client::new(rt, config.services.cloud, OUTSIDE_BODY_MAX),
            cloud_pace: Bucket::new(d.cloud.rps * CLOUD_SHARE, d.cloud.rps),
            user_writes: Bucket::new(
                user_rate / d.nodes as f64,
                d.state.write_rps / d.nodes as f64,
            ),
            user_rate,
            user_writes_live: Cell::new(0),
            view: RefCell::default(),
            expected: Rc::new(RefCell::new(Expected::new(
                EXPECT_STEP_S,
                EXPECT_S,
                rt.now(),
            ))),
            loaded: Cell::new(false),
            moved: Pulse::default(),
            hurry: Signal::default(),
            rewatch: Signal::default(),
            state_heard: Cell::new(None),
            barrier_work: Signal::default(),
            barrier_queue: RefCell::default(),
            tenure: Cell::new(None),
            lead: RefCell::default(),
            leader_moved: Signal::default(),
            resign: Signal::default(),
            work: Signal::default(),
            round: Pulse::default(),
            cloud_work: Signal::default(),
            seen: RefCell::default(),
            plea_at: Cell::new(f64::NEG_INFINITY),
            plea: Cell::new(None),
            plea_work: Signal::default(),
            resigned: Cell::new(false),
            peers: Rc::default(),
            word_queue: RefCell::default(),
            word_work: Signal::default(),
            relays: RefCell::default(),
            relay_work: Signal::default(),
            config,
        }
    }

    fn now(&self) -> Time {
        self.rt.now()
    }

    /// The token under which commands may be given at this very moment.
    fn acting(&self) -> Option<u64> {
        self.tenure
            .get()
            .filter(|t| self.now() < t.trusted_until)
            .map(|t| t.token)
    }

    fn heard_state(&self) {
        self.state_heard.set(Some(self.now()));
    }

    /// What to tell another controller; `told` is the last worker that it was told of.
    fn greeting(&self, told: &mut String) -> Greeting {
        let now = self.now();
        let lease_s = self.config.deployment.workers.lease_s;
        if told.is_empty() {
            let mut seen = self.seen.borrow_mut();
            seen.retain(|_, seen| now - seen.at < lease_s);
        }
        let seen = self.seen.borrow();
        let after = (Bound::Excluded(told.as_str()), Bound::Unbounded);
        let workers: Vec<WorkerSeen> = seen
            .range::<str, _>(after)
            .take(cluster::WORKERS_TOLD)
            .map(|(_, seen)| seen.worker.clone())
            .collect();
        *told = workers
            .last()
            .map(|w| w.machine.clone())
            .unwrap_or_default();
        Greeting {
            host: self.config.node.clone(),
            state_s: self.state_heard.get().map(|t| now - t),
            workers,
            runs: self.expected.borrow().runs(),
        }
    }

    // ---- what is served

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let p = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), p) {
            ("POST", path::REPORT) => self.report(&request.body).await,
            ("POST", path::JOBS) => self.submit(&request.body).await,
            ("GET", path::READY) => self.ready(),
            (_, path::REPORT | path::JOBS | path::READY) => {
                Response::error(405, "method not allowed")
            }
            (method, p) => {
                let Some(rest) = p
                    .strip_prefix(path::JOBS)
                    .and_then(|rest| rest.strip_prefix('/'))
                else {
                    return Response::error(404, "no such path");
                };
                match (method, rest.strip_suffix(path::CANCEL)) {
                    ("POST", Some(id)) => self.withdraw(id).await,
                    ("GET", None) => self.query(rest).await,
                    _ => Response::error(405, "method not allowed"),
                }
            }
        }
    }

    fn ready(&self) -> Response {
        let now = self.now();
        let report_s = self.config.deployment.workers.report_s;
        let within = (report_s * STATE_LOST_REPORTS).min(STATE_LOST_S_MAX);
        let able = self.loaded.get() && self.view.borrow().types.is_some();
        let served = self.state_heard.get().is_some_and(|t| now - t < within);
        // Without the state service users are no better off elsewhere, unless others have it, or may:
        // a node that hears no other one either is cut off.
        let outage = self.config.peers.is_empty()
            || self.peers.any_heard(now, within) && !self.peers.any_has_state(now, within);
        if able && (served || outage) {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            Response::later(503, "not ready", RETRY_S)
        }
    }

    /// The job's view if it can be told right away: the end never changes.
    fn final_state(&self, id: &str, status: u16) -> Option<Response> {
        let view = self.view.borrow();
        let job = view.jobs.get(id).filter(|j| j.end.is_some())?;
        Some(job_answer(status, id, job))
    }

    async fn query(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::error(404, "no such job");
        }
        if let Some(answer) = self.final_state(id, 200) {
            return answer;
        }
        if !self.barrier().await {
            return Response::later(503, "state not known now", RETRY_S);
        }
        self.tell(id, 200)
    }

    /// A job's state after a barrier.
    fn tell(&self, id: &str, status: u16) -> Response {
        match self.view.borrow().jobs.get(id).filter(|j| j.is_known()) {
            Some(job) => job_answer(status, id, job),
            None => Response::error(404, "no such job"),
        }
    }

    async fn submit(&self, body: &[u8]) -> Response {
        let job = match parse_submission(body) {
            Ok(job) => job,
            Err(reason) => {
                tracing::debug!("malformed submission: {reason}");
                return Response::error(400, &reason);
            }
        };
        if let Some(answer) = self.final_state(&job.id, 200) {
            return answer;
        }
        let types = self.view.borrow().types.clone();
        let (true, Some(types)) = (self.loaded.get(), types) else {
            return Response::later(503, "not ready", RETRY_S);
        };
        let known = self
            .view
            .borrow()
            .jobs
            .get(job.id.as_str())
            .is_some_and(JobView::is_known);
        if known {
            return match self.barrier().await {
                true => self.tell(&job.id, 200),
                false => Response::later(503, "state not known now", RETRY_S),
            };
        }
        if let Some(reason) = never_runs(&job, &self.config, &types) {
            return Response::error(422, &reason);
        }
        let Some(txn) = creation(&job) else {
            return Response::error(400, "not storable");
        };
        match self.user_write(&txn).await {
            Some(TxnOutcome::Applied(_)) => {
                let fresh = JobView::default();
                Response::json(201, &fresh.status(&job.id))
            }
            Some(TxnOutcome::Conflict(_)) if self.barrier().await => self.tell(&job.id, 200),
            _ => Response::later(503, "could not be stored now", RETRY_S),
        }
    }

    async fn withdraw(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::error(404, "no such job");
        }
        if let Some(answer) = self.final_state(id, 200) {
            return answer;
        }
        if !self.barrier().await {
            return Response::later(503, "state not known now", RETRY_S);
        }
        let (order, done) = {
            let view = self.view.borrow();
            match view.jobs.get(id).filter(|j| j.is_known()) {
                None => return Response::error(404, "no such job"),
                Some(job) if job.end.is_some() => return job_answer(200, id, job),
                Some(job) => (job.order, job.done()),
            }
        };
        let record = EndRecord {
            end: End::Cancelled,
            done,
        };
        let Ok(value) = to_raw_value(&record) else {
            return Response::error(500, "not storable");
        };
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: key::end(id),
                    version: 0,
                },
                Condition {
                    key: key::job(id),
                    version: order,
                },
            ],
            changes: vec![wire::Change::Put {
                key: key::end(id),
                value,
                lease: None,
            }],
        };
        match self.user_write(&txn).await {
            Some(TxnOutcome::Applied(_)) => job_answer(200, id, &JobView::ended(record)),
            Some(TxnOutcome::Conflict(_)) if self.barrier().await => self
                .final_state(id, 200)
                .unwrap_or_else(|| Response::later(503, "changing", RETRY_S)),
            _ => Response::later(503, "could not be stored now", RETRY_S),
        }
    }

    /// Stores something for a user, within this node's share of the writes. None: too much is
    /// under way, or the store gave no definite word in time.
    async fn user_write(&self, txn: &Txn) -> Option<TxnOutcome> {
        if self.user_writes_live.get() >= USER_WRITES_MAX {
            return None;
        }
        self.user_writes_live.set(self.user_writes_live.get() + 1);
        let outcome = self.paced_user_write(txn).await;
        self.user_writes_live.set(self.user_writes_live.get() - 1);
        outcome
    }

    async fn paced_user_write(&self, txn: &Txn) -> Option<TxnOutcome> {
        let deadline = self.now() + USER_WRITE_S;
        let wait = self.user_writes.take(1.0, self.now());
        if wait > USER_WRITE_S / 2.0 {
            // What can't be done in time is refused now, not after waiting.
            self.user_writes.give_back(1.0);
            return None;
        }
        self.rt.sleep(wait).await;
        loop {
            let outcome = self.store.txn(txn).await;
            self.pace_users(&outcome);
            match outcome {
                TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) => {
                    self.heard_state();
                    return Some(outcome);
                }
                // The same again does no harm: it creates only what is absent.
                TxnOutcome::Refused | TxnOutcome::Unknown => {
                    if self.now() + STATE_PAUSE_S > deadline {
                        return None;
                    }
                    self.rt.sleep(STATE_PAUSE_S).await;
                }
            }
        }
    }

    /// Users are not spread evenly over the nodes: one that has many of them may write more than
    /// its share as long as the store takes it.
    fn pace_users(&self, outcome: &TxnOutcome) {
        let share = self.user_rate / self.config.deployment.nodes as f64;
        self.user_writes.set_rate(match outcome {
            TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) => {
                (self.user_writes.rate() * USER_PACE_RISE).min(self.user_rate)
            }
            TxnOutcome::Refused | TxnOutcome::Unknown => share,
        });
    }

    /// Waits until the view shows all that was in the store when this call began.
    async fn barrier(&self) -> bool {
        if self.barrier_queue.borrow().len() >= POLLS_MAX {
            return false;
        }
        let began = self.now();
        let (tell, told) = oneshot::channel();
        self.barrier_queue.borrow_mut().push(tell);
        self.barrier_work.set();
        let passed = matches!(self.rt.timeout(POLL_S, told).await, Ok(Ok(true)));
        // A word that came before this node stood still is too old for an answer sent after that.
        passed && self.now() - began <= POLL_S
    }

    async fn barrier_duty(self: Rc<Self>) {
        loop {
            self.barrier_work.take().await;
            let waiting = self.barrier_queue.take();
            let passed = match self.store.revision(&key::nothing()).await {
                Ok(revision) => {
                    self.heard_state();
                    self.reach(revision).await
                }
                Err(e) => {
                    tracing::debug!("read barrier: {e}");
                    false
                }
            };
            for tell in waiting {
                let _ = tell.send(passed);
            }
        }
    }

    /// Waits until the view has reached a revision.
    async fn reach(&self, revision: u64) -> bool {
        let deadline = self.now() + POLL_S;
        loop {
            if self.loaded.get() && self.view.borrow().revision >= revision {
                return true;
            }
            let now = self.now();
            if now >= deadline {
                return false;
            }
            let next = self.moved.next();
            self.hurry.set();
            if self
                .rt
                .timeout(FOLLOW_STALE_S.min(deadline - now), next)
                .await
                .is_err()
            {
                // The watch may hang at a cut without an error.
                self.rewatch.set();
            }
        }
    }

    // ---- reports

    async fn report(&self, body: &[u8]) -> Response {
        let Ok(report) = serde_json::from_slice::<Report>(body) else {
            return Response::error(400, "not a report");
        };
        let now = self.now();
        let leader = self
            .view
            .borrow()
            .leader
            .as_ref()
            .map(|(r, token)| (r.host.clone(), *token));
        {
            let mut seen = self.seen.borrow_mut();
            let entry = seen.entry(report.machine.clone()).or_insert_with(|| Seen {
                at: now,
                redirected: None,
                astray: None,
                worker: WorkerSeen {
                    machine: report.machine.clone(),
                    zone: report.zone.clone(),
                    addr: report.addr.clone(),
                    session: report.session,
                },
            });
            entry.at = now;
            entry.worker.session = report.session;
        }
        if let Some(token) = self.acting().filter(|t| report.token <= *t) {
            let taken = self.with_lead(token, |lead| {
                lead.last_report = now;
                let commands = lead.on_report(&report, Source::Checkin, now);
                (commands, lead.has_work_waiting())
            });
            if let Some((None, _)) = taken {
                // Nothing new: perhaps a late copy.
                let commands = Vec::new();
                return Response::json(200, &ReportReply { token, commands });
            }
            if let Some((Some(mut commands), work_waits)) = taken {
                self.work.set();
                if work_waits {
                    // What this report makes room for can go out with its answer, once stored.
                    let hold = self.config.deployment.workers.report_s * HOLD_REPORTS;
                    let _ = self.rt.timeout(hold, self.round.next()).await;
                }
                let answered =
                    self.with_lead(token, |lead| lead.answer_commands(&report, &mut commands));
                return match answered {
                    Some(()) => Response::json(200, &ReportReply { token, commands }),
                    None => Response::later(503, "no longer leading", RETRY_S),
                };
            }
        }
        match leader {
            Some((host, token)) if host != self.config.node => {
                if let Some(answer) = self.stand_in(&report, token).await {
                    return answer;
                }
                self.note_redirect(&report, token, now);
                Response::json(
                    421,
                    &Redirect {
                        report_to: Some(&host),
                    },
                )
            }
            _ => Response::later(503, "nobody leads", RETRY_S),
        }
    }

    /// Workers that know the leader's token, or were told where the leader is, and come here all
    /// the same could not reach it.
    fn note_redirect(&self, report: &Report, token: u64, now: Time) {
        let report_s = self.config.deployment.workers.report_s;
        let mut seen = self.seen.borrow_mut();
        if let Some(entry) = seen.get_mut(&report.machine) {
            let again = entry
                .redirected
                .is_some_and(|(at, t)| t == token && now - at < report_s * 4.0);
            entry.redirected = Some((now, token));
            entry.astray = (again || report.token == token).then_some(now);
        }
        let gone_astray = seen
            .get(&report.machine)
            .is_some_and(|s| s.astray.is_some());
        let pause = (report_s * PLEA_REPORTS).min(PLEA_S_MAX);
        if !gone_astray || now - self.plea_at.get() <= pause {
            return;
        }
        let lately = |s: &&Seen| s.astray.is_some_and(|at| now - at < report_s * 2.0);
        if seen.values().filter(lately).count() >= ASTRAY_WORKERS {
            self.plea_at.set(now);
            self.plea.set(Some(token));
            self.plea_work.set();
        }
    }

    /// Writes pleas: a leader that hears no worker while others do should give way.
    async fn plea_duty(self: Rc<Self>) {
        loop {
            self.plea_work.take().await;
            let Some(token) = self.plea.take() else {
                continue;
            };
            let Ok(value) = to_raw_value(&PleaRecord { token }) else {
                continue;
            };
            let txn = Txn {
                conditions: vec![Condition {
                    key: key::leader(),
                    version: token,
                }],
                changes: vec![wire::Change::Put {
                    key: key::plea(&self.config.node),
                    value,
                    lease: None,
                }],
            };
            tracing::info!("workers can't reach the leader");
            self.user_write(&txn).await;
        }
    }

    // ---- following the store

    async fn follow_duty(self: Rc<Self>) {
        loop {
            if let Err(e) = self.load().await {
                tracing::debug!("loading: {e}");
                self.rt.sleep(STATE_PAUSE_S * 2.0).await;
                continue;
            }
            self.follow().await;
            self.loaded.set(false);
        }
    }

    async fn load(&self) -> Result<(), crate::store::StoreError> {
        let mut fresh = View::default();
        let mut after = String::new();
        let mut first = None;
        loop {
            let page = self.store.list(key::ROOT, &after).await?;
            self.heard_state();
            first.get_or_insert(page.revision);
            for item in &page.items {
                fresh.apply(&item.key, Some(&item.value), item.version);
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => break,
            }
        }
        // What changed between the pages comes with the watch that begins at the first.
        fresh.revision = first.unwrap_or(0);
        fresh.drop_stale();
        *self.view.borrow_mut() = fresh;
        self.loaded.set(true);
        self.resync();
        self.leader_moved.set();
        self.moved.beat();
        Ok(())
    }

    /// After a reload the leader looks at everything once more.
    fn resync(&self) {
        let now = self.now();
        let view = self.view.borrow();
        if let Some(lead) = self.lead.borrow_mut().as_mut() {
            for (id, job) in &view.jobs {
                if job.end.is_none() {
                    lead.enter_job(id, job, now);
                }
                if let Some(end) = &job.end {
                    lead.on_end(id, end, now);
                }
            }
        }
        self.work.set();
    }

    async fn follow(&self) {
        loop {
            let after = self.view.borrow().revision;
            self.rewatch.clear();
            let followed = {
                let watch = std::pin::pin!(self.store.follow(key::ROOT, after, WATCH_S));
                match select(watch, self.rewatch.raised()).await {
                    Either::Left((followed, _)) => followed,
                    Either::Right(_) => continue,
                }
            };
            match followed {
                Ok(Followed::Events(events)) => {
                    self.heard_state();
                    self.take_events(&events);
                    // A short gap groups the changes, unless somebody waits for them.
                    let gap = self.rt.sleep(FOLLOW_GAP_S);
                    select(gap, self.hurry.raised()).await;
                    self.hurry.clear();
                }
                Ok(Followed::TooOld) => return,
                Err(e) => {
                    tracing::debug!("following: {e}");
                    self.rt.sleep(STATE_PAUSE_S).await;
                }
            }
        }
    }

    fn take_events(&self, events: &wire::Events) {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let mut lead = self.lead.borrow_mut();
        for event in &events.events {
            let (key, value) = match (&event.put, &event.delete) {
                (Some(key), _) => (key, event.value.as_deref()),
                (None, Some(key)) => (key, None),
                (None, None) => continue,
            };
            match view.apply(key, value, event.version) {
                Some(view::Change::Job(id)) => {
                    if let Some(job) = view.jobs.get_mut(&id)
                        && let Some(spec) = &job.spec
                    {
                        self.expected.borrow_mut().note(spec, now);
                        job.seen.get_or_insert(now);
                    }
                    if let Some(lead) = lead.as_mut()
                        && let Some(job) = view.jobs.get(&id)
                        && job.end.is_none()
                    {
                        lead.enter_job(&id, job, now);
                        self.work.set();
                    }
                }
                Some(view::Change::End(id)) => {
                    if let Some(lead) = lead.as_mut()
                        && let Some(end) = view.jobs.get(&id).and_then(|j| j.end)
                    {
                        lead.on_end(&id, &end, now);
                        self.work.set();
                    }
                }
                Some(view::Change::Leader) => self.leader_moved.set(),
                Some(view::Change::Plea(plea)) => {
                    let deaf_s = self.config.deployment.workers.report_s * DEAF_REPORTS;
                    if let Some(lead) = lead.as_mut()
                        && lead.token == plea.token
                    {
                        let many = lead.fleet.machines.len() >= DEAF_MACHINES;
                        let deaf_s = if many { deaf_s.min(DEAF_S_MAX) } else { deaf_s };
                        if now - lead.last_report > deaf_s {
                            self.resign.set();
                        }
                    }
                }
                Some(view::Change::Relay(record)) => {
                    if let Some(lead) = lead.as_mut() {
                        lead.on_relay(&record, now);
                        self.work.set();
                    }
                }
                Some(view::Change::Types) | None => {}
            }
        }
        view.revision = view.revision.max(events.revision);
        self.moved.beat();
    }

    /// Until the machine types are known, nothing can be decided.
    async fn types_duty(self: Rc<Self>) {
        let pause = self.config.deployment.workers.report_s * 0.25;
        loop {
            let spread = rand::rng().random_range(0.1..1.0);
            self.rt.sleep(pause * spread).await;
            if !self.loaded.get() {
                continue;
            }
            if self.view.borrow().types.is_some() {
                return;
            }
            if let CloudAnswer::Types(types) = self.call_cloud(&CloudCall::Types).await
                && let Ok(value) = to_raw_value(&types)
            {
                let txn = Txn {
                    conditions: vec![Condition {
                        key: key::types(),
                        version: 0,
                    }],
                    changes: vec![wire::Change::Put {
                        key: key::types(),
                        value,
                        lease: None,
                    }],
                };
                self.user_write(&txn).await;
                self.barrier().await;
            }
        }
    }

    // ---- leadership

    async fn election_duty(self: Rc<Self>) {
        let life = self.config.leader_life_s();
        loop {
            election::depose_older_self(&self.store, &self.config, self.incarnation).await;
            if self.loaded.get() {
                break;
            }
            self.rt.sleep(STATE_PAUSE_S).await;
        }
        let mut stand_at = self.now();
        let patience = if election::prefers_others(&self.config) {
            life * STAND_ASIDE
        } else {
            0.0
        };
        let mut vacant_since = None;
        loop {
            self.leader_moved.clear();
            if self.older_self_leads() {
                election::depose_older_self(&self.store, &self.config, self.incarnation).await;
            }
            let vacant = self.loaded.get() && self.view.borrow().leader.is_none();
            let able = self.view.borrow().types.is_some();
            let since = *vacant_since.get_or_insert(self.now());
            if !(vacant && able) {
                vacant_since = None;
            }
            if vacant && able && self.now() >= stand_at.max(since + patience) {
                let stood =
                    election::stand(&self.rt, &self.store, &self.config, self.incarnation).await;
                if let Some(tenure) = stood {
                    self.lead_on(tenure).await;
                    if self.resigned.take() {
                        stand_at = self.now() + life * STAND_BACK_LIVES;
                    }
                }
            }
            let pause = life * 0.1 * rand::rng().random_range(0.5..1.5);
            let moved = std::pin::pin!(self.leader_moved.raised());
            select(moved, self.rt.sleep(pause)).await;
        }
    }

    /// Whether a former process of this host is shown as the leader: one that ended in the middle of
    /// an election, and whose request was carried out after that. Nobody leads then.
    fn older_self_leads(&self) -> bool {
        let view = self.view.borrow();
        let leader = view.leader.as_ref();
        leader.is_some_and(|(r, _)| r.host == self.config.node && r.incarnation != self.incarnation)
    }

    /// Holds the office until it is lost or given up.
    async fn lead_on(&self, mut tenure: Tenure) {
        tracing::info!("{} leads with token {}", self.config.node, tenure.token);
        self.tenure.set(Some(tenure));
        self.resign.clear();
        let mut begun = false;
        let every = self.config.leader_life_s() / RENEWALS;
        loop {
            if !begun && self.reach(tenure.token).await {
                begun = self.begin(tenure.token);
            }
            let resign = std::pin::pin!(self.resign.raised());
            if let Either::Left(_) = select(resign, self.rt.sleep(every)).await {
                tracing::info!("{} gives up the lead", self.config.node);
                self.step_down();
                self.resigned.set(true);
                let _ = self.store.end_lease(tenure.lease).await;
                return;
            }
            match election::keep(&self.rt, &self.store, &self.config, &mut tenure).await {
                Kept::Yes => {
                    self.heard_state();
                    let now = self.now();
                    // While the lease was not trusted no report could be answered: the silence
                    // of the workers was this node's own doing.
                    if self.acting().is_none()
                        && let Some(lead) = self.lead.borrow_mut().as_mut()
                    {
                        lead.last_report = now;
                    }
                    self.tenure.set(Some(tenure));
                }
                Kept::Unsure => {}
                Kept::No => {
                    tracing::info!("{} no longer leads", self.config.node);
                    self.step_down();
                    return;
                }
            }
        }
    }

    /// Builds the leader's state from the view.
    fn begin(&self, token: u64) -> bool {
        let now = self.now();
        let view = self.view.borrow();
        let Some(types) = view.types.clone() else {
            return false;
        };
        let mut lead = Lead::begin(
            self.config.clone(),
            token,
            types,
            &view,
            self.expected.clone(),
            now,
        );
        let within = self.config.deployment.workers.lease_s;
        let mut known: Vec<WorkerSeen> = self.peers.workers(now, within);
        known.extend(
            self.seen
                .borrow()
                .values()
                .filter(|s| now - s.at < within)
                .map(|s| s.worker.clone()),
        );
        for worker in known {
            lead.call_on(
                &worker.machine,
                &worker.zone,
                &worker.addr,
                worker.session,
                now,
            );
        }
        *self.lead.borrow_mut() = Some(lead);
        self.work.set();
        self.cloud_work.set();
        true
    }

    fn step_down(&self) {
        self.tenure.set(None);
        *self.lead.borrow_mut() = None;
    }

    /// Runs `f` on the leader's state, if this node may act under `token` right now.
    fn with_lead<T>(&self, token: u64, f: impl FnOnce(&mut Lead) -> T) -> Option<T> {
        if self.acting() != Some(token) {
            return None;
        }
        let mut lead = self.lead.borrow_mut();
        lead.as_mut().filter(|l| l.token == token).map(f)
    }

    /// The leader's round: look after machines, place, write, tell workers.
    async fn leader_duty(self: Rc<Self>) {
        let tick = (self.config.deployment.workers.report_s * TEND_REPORTS).min(TEND_S_MAX);
        let directs = Rc::new(Scope::new(&self.rt));
        let mut tended_at = f64::NEG_INFINITY;
        let mut took_s: f64 = 0.0;
        loop {
            let now = self.now();
            let due = self
                .lead
                .borrow()
                .as_ref()
                .and_then(Lead::next_write_at)
                .map_or(tick, |at| (at - now).clamp(DUTY_GAP_S, tick));
            {
                let work = std::pin::pin!(self.work.take());
                select(work, self.rt.sleep(due)).await;
            }
            self.rt.sleep(DUTY_GAP_S.max(took_s * DUTY_REST)).await;
            let Some(token) = self.acting() else {
                continue;
            };
            let now = self.now();
            let pause = self.rt.pause();
            let begun = self.with_lead(token, |lead| {
                lead.note_pause(pause);
                let tending = now - tended_at >= tick;
                if tending {
                    lead.tend(now);
                }
                lead.plan(now);
                tending && lead.is_mute()
            });
            took_s = self.now() - now;
            match begun {
                None => continue,
                Some(false) => {}
                Some(true) => {
                    tracing::warn!("the workers don't hear this leader");
                    self.resign.set();
                }
            }
            if now - tended_at >= tick {
                tended_at = now;
                self.cloud_work.set();
            }
            self.send_directs(token, &directs);
            self.write(token).await;
            self.round.beat();
        }
    }

    /// Writes what is due, a few transactions of it: where jobs end all the time there is always more,
    /// and for ten seconds nothing was placed once.
    async fn write(&self, token: u64) {
        for _ in 0..WRITES_MAX {
            let now = self.now();
            let Some(Some(txn)) = self.with_lead(token, |lead| lead.next_txn(now)) else {
                return;
            };
            let outcome = self.store.txn(&txn).await;
            if matches!(outcome, TxnOutcome::Applied(_) | TxnOutcome::Conflict(_)) {
                self.heard_state();
            }
            let now = self.now();
            let next = {
                let mut lead = self.lead.borrow_mut();
                match lead.as_mut().filter(|l| l.token == token) {
                    Some(lead) => lead.txn_done(outcome, now),
                    None => return,
                }
            };
            match next {
                AfterTxn::Go => {}
                AfterTxn::Again => {
                    self.rt.sleep(STATE_PAUSE_S).await;
                    return;
                }
                AfterTxn::ReadBack(key) => {
                    if let Ok(found) = self.store.get(&key).await {
                        let revision = found.map_or(0, |f| f.version);
                        let now = self.now();
                        self.with_lead(token, |lead| lead.read_back(revision, now));
                    }
                }
                AfterTxn::Lost => {
                    tracing::warn!("a write of token {token} was refused: stepping down");
                    self.resign.set();
                    return;
                }
            }
        }
    }

    /// Direct messages: to fence off a former leader, and to stop tasks without delay.
    fn send_directs(self: &Rc<Self>, token: u64, scope: &Rc<Scope>) {
        let now = self.now();
        let gap = self.config.deployment.workers.report_s * DIRECT_REPORTS;
        let most = directs_max(&self.config);
        let wanted = self
            .with_lead(token, |lead| {
                lead.directs(now, gap, most.saturating_sub(scope.live()))
            })
            .unwrap_or_default();
        let limit_s = gap.clamp(DIRECT_S_MIN, DIRECT_S_MAX);
        for message in wanted {
            let node = self.clone();
            scope.spawn(async move {
                let machine = message.machine;
                let outcome = node.send_direct(token, message, limit_s).await;
                let now = node.now();
                // What became of it is noted even if the lease is not trusted at this moment.
                if let Some(lead) = node.lead.borrow_mut().as_mut().filter(|l| l.token == token) {
                    lead.on_direct(machine, outcome, now);
                }
                node.work.set();
            });
        }
    }

    async fn send_direct(&self, token: u64, message: DirectMessage, limit_s: f64) -> DirectOutcome {
        let body = Direct {
            token,
            session: message.session,
            commands: message.commands,
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return DirectOutcome::NotSent;
        };
        let client = Client::new(&self.rt, message.addr, OUTSIDE_BODY_MAX);
        let answer = client
            .call_if("POST", path::COMMANDS, Some(&body), limit_s, || {
                self.acting() == Some(token)
            })
            .await;
        match answer {
            Ok((200, body)) => {
                serde_json::from_slice(&body).map_or(DirectOutcome::Unknown, DirectOutcome::Done)
            }
            Ok((409, body)) => {
                serde_json::from_slice(&body).map_or(DirectOutcome::Unknown, DirectOutcome::Refused)
            }
            Ok(_) | Err(CallError::Unknown(_)) => DirectOutcome::Unknown,
            Err(CallError::NotSent(_)) => DirectOutcome::NotSent,
        }
    }

    // ---- the cloud

    async fn cloud_duty(self: Rc<Self>) {
        let tick = (self.config.deployment.workers.report_s * TEND_REPORTS).min(TEND_S_MAX) * 2.0;
        loop {
            let now = self.now();
            let call = self
                .acting()
                .and_then(|token| self.with_lead(token, |l| l.next_cloud_call(now)))
                .flatten();
            let Some(call) = call else {
                let work = std::pin::pin!(self.cloud_work.take());
                select(work, self.rt.sleep(tick)).await;
                continue;
            };
            let Some(token) = self.acting() else {
                continue;
            };
            let answer = self.call_cloud(&call).await;
            let failed = matches!(answer, CloudAnswer::Failed);
            let now = self.now();
            // What the cloud did is noted even if the lease is not trusted at this moment.
            if let Some(lead) = self.lead.borrow_mut().as_mut().filter(|l| l.token == token) {
                lead.on_cloud(call, answer, now);
            }
            self.work.set();
            if failed {
                self.rt.sleep(tick).await;
            }
        }
    }

    async fn call_cloud(&self, call: &CloudCall) -> CloudAnswer {
        let wait = self.cloud_pace.take(1.0, self.now());
        self.rt.sleep(wait).await;
        let (method, path, body) = match call {
            CloudCall::Types => ("GET", path::TYPES.to_owned(), None),
            CloudCall::List { after } if after.is_empty() => {
                ("GET", format!("{}?Limit=500", path::MACHINES), None)
            }
            CloudCall::List { after } => (
                "GET",
                format!("{}?After={after}&Limit=500", path::MACHINES),
                None,
            ),
            CloudCall::Rent(rent, _) => (
                "POST",
                path::MACHINES.to_owned(),
                serde_json::to_vec(rent).ok(),
            ),
            CloudCall::Delete(names) => (
                "POST",
                path::MACHINES_DELETE.to_owned(),
                serde_json::to_vec(&MachineNames {
                    machines: names.clone(),
                })
                .ok(),
            ),
        };
        let answer = self
            .cloud
            .call(method, &path, body.as_deref(), CLOUD_CALL_S)
            .await;
        match (call, answer) {
            (CloudCall::Types, Ok((200, body))) => {
                match serde_json::from_slice::<MachineTypes>(&body) {
                    Ok(t) if !t.types.is_empty() => CloudAnswer::Types(t.types),
                    _ => CloudAnswer::Failed,
                }
            }
            (CloudCall::List { .. }, Ok((200, body))) => {
                match serde_json::from_slice::<MachineList>(&body) {
                    Ok(list) => CloudAnswer::List(list.machines, list.more),
                    Err(_) => CloudAnswer::Failed,
                }
            }
            (CloudCall::Rent(..), Ok((200, body))) => {
                match serde_json::from_slice::<MachineNames>(&body) {
                    Ok(names) => CloudAnswer::Rented(names.machines),
                    Err(_) => CloudAnswer::Failed,
                }
            }
            (CloudCall::Rent(..), Ok((503, body))) if contains(&body, b"no capacity") => {
                CloudAnswer::NoCapacity
            }
            (CloudCall::Rent(rent, _), Ok((400, _))) => {
                tracing::warn!("the cloud calls {rent:?} malformed");
                CloudAnswer::NoCapacity
            }
            (CloudCall::Delete(_), Ok((200, _))) => CloudAnswer::Deleted,
            (_, Ok((status, _))) => {
                tracing::debug!("cloud: {status} to {path}");
                CloudAnswer::Failed
            }
            (_, Err(CallError::NotSent(e) | CallError::Unknown(e))) => {
                tracing::debug!("cloud: {e}");
                CloudAnswer::Failed
            }
        }
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack.windows(needle.len()).any(|w| w == needle)
}

/// Stores a job, if neither it nor its end is there.
fn creation(job: &Submission) -> Option<Txn> {
    let absent = |key| Condition { key, version: 0 };
    Some(Txn {
        conditions: vec![absent(key::job(&job.id)), absent(key::end(&job.id))],
        changes: vec![wire::Change::Put {
            key: key::job(&job.id),
            value: to_raw_value(job).ok()?,
            lease: None,
        }],
    })
}

#[cfg(test)]
mod tests;
