//! Controllers, state service, cloud, workers and users in one seeded world, with delay, loss, late
//! copies, repeats, pauses, hanging machines, cuts between zones and restarts. The rules are checked
//! after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::value::RawValue;

use crate::autoscale::{CloudAnswer, CloudCall};
use crate::config::Config;
use crate::fleet::{DirectMessage, DirectOutcome, Source};
use crate::leader::{AfterTxn, Leader, TxnOutcome, split_task};
use crate::node::delegate::{Relay, stops};
use crate::testing::{FakeStore, FakeWorker, job};
use crate::view::{DelegationRecord, End, EndRecord, JobView, RelayRecord, key};
use crate::wire::{
    Change, Command, ExitReason, Kind, ListedMachine, MachineState, Rent, Report, ReportTask,
    Submission, TaskState, Txn,
};

const STEP_S: f64 = 0.25;
const TROUBLE_S: f64 = 240.0;
const END_S: f64 = 620.0;
const ANSWER_S: f64 = 4.0;
const DIRECT_S: f64 = 1.5;
const NODES: usize = 3;
const NODE_ZONES: [&str; NODES] = ["north", "south", "north"];

/// What kind of deployment is played.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Platform {
    /// Long leases, a few machines, gangs.
    Small,
    /// Leases of a few reports, zones that lose each other, many short tasks and no gangs.
    Short,
}

impl Platform {
    fn config(self) -> Config {
        let mut config = crate::config::tests::sample();
        if self == Platform::Short {
            let w = &mut config.deployment.workers;
            (w.report_s, w.lease_s, w.cancel_s) = (1.0, 10.0, 30.0);
            let red = &mut config.deployment.teams[0];
            (red.cpus, red.cpus_max) = (40.0, 120.0);
        }
        config
    }

    fn machines(self) -> usize {
        match self {
            Platform::Small => 12,
            Platform::Short => 28,
        }
    }
}

/// A guard that is broken on purpose, to see that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Broken {
    Nothing,
    /// Tasks of a silent machine count as off it before its worker's lease has run out.
    Lease,
    /// Late copies of reports count as if they were new.
    Copies,
    /// Tasks count as off although somebody may answer their worker in the leader's name.
    StandIns,
}

/// What is under way between two parties.
enum Post {
    Report {
        node: usize,
        report: Report,
        late: bool,
    },
    Answer {
        machine: String,
        number: (u64, u64),
        given: Option<(u64, Vec<Command>)>,
        go_to: Option<usize>,
    },
    Direct {
        from: usize,
        token: u64,
        name: String,
        message: DirectMessage,
        answered: bool,
    },
    Directed {
        node: usize,
        token: u64,
        machine: u32,
        outcome: DirectOutcome,
    },
    Write {
        node: usize,
        token: u64,
        txn: Rc<Txn>,
        answered: bool,
    },
    Written {
        node: usize,
        token: u64,
        outcome: TxnOutcome,
    },
    Relay {
        node: usize,
        record: RelayRecord,
    },
    Job {
        node: usize,
        id: String,
    },
    End {
        node: usize,
        id: String,
        record: EndRecord,
    },
}

#[derive(Default)]
struct Node {
    down_until: f64,
    paused_until: f64,
    leader: Option<Leader>,
    trusted_until: f64,
    renew_at: f64,
    tend_at: f64,
    cloud_at: f64,
    writing: bool,
}

struct Worker {
    fake: FakeWorker,
    /// When its tasks have their images, and when they end.
    times: BTreeMap<(String, u64), (f64, Option<f64>)>,
    node: usize,
    leased: f64,
    report_at: f64,
    waiting: Option<((u64, u64), f64)>,
    hangs_until: f64,
    deaf_until: f64,
}

struct World {
    rng: SmallRng,
    now: f64,
    broken: Broken,
    store: FakeStore,
    /// Who leads, with what token, and when the lease ends.
    office: Option<(usize, u64, f64)>,
    outage_until: f64,
    /// The zones can't reach each other until then.
    cut_until: f64,
    platform: Platform,
    config: Config,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    rented: BTreeMap<String, Vec<String>>,
    booted: u32,
    post: Vec<(f64, Post)>,
    jobs: BTreeMap<String, Submission>,
    done: BTreeSet<String>,
    cancelled: BTreeMap<String, f64>,
    ends: BTreeMap<String, End>,
    wrong: Vec<String>,
    lease_s: f64,
    cancel_s: f64,
    life_s: f64,
    trusted_s: f64,
}

fn on_machine(state: TaskState) -> bool {
    matches!(
        state,
        TaskState::Waiting | TaskState::Running | TaskState::Saving
    )
}

impl World {
    fn new(seed: u64, broken: Broken, platform: Platform) -> Self {
        let config = platform.config();
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            broken,
            store: FakeStore::default(),
            office: None,
            outage_until: 0.0,
            cut_until: 0.0,
            platform,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            workers: BTreeMap::new(),
            rented: BTreeMap::new(),
            booted: 0,
            post: Vec::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            ends: BTreeMap::new(),
            wrong: Vec::new(),
            lease_s: config.deployment.workers.lease_s,
            cancel_s: config.deployment.workers.cancel_s,
            life_s: config.leader_life_s(),
            trusted_s: config.trusted_life_s(),
            config,
        };
        for i in 0..platform.machines() / 2 {
            world.boot(if i % 2 == 0 { "north" } else { "south" });
        }
        world
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    /// Something that happens in trouble only.
    fn trouble(&mut self, p: f64) -> bool {
        self.now < TROUBLE_S && self.chance(p)
    }

    fn within(&mut self, from: f64, to: f64) -> f64 {
        self.rng.random_range(from..to)
    }

    fn send(&mut self, after: f64, post: Post) {
        self.post.push((self.now + after, post));
    }

    fn boot(&mut self, zone: &str) -> String {
        self.booted += 1;
        let name = format!("i-{:03}", self.booted);
        let worker = Worker {
            fake: FakeWorker::new(&name, "small", zone),
            times: BTreeMap::new(),
            node: 0,
            leased: self.now,
            report_at: self.now,
            waiting: None,
            hangs_until: 0.0,
            deaf_until: 0.0,
        };
        self.workers.insert(name.clone(), worker);
        name
    }

    // ---- troubles and users

    fn make_trouble(&mut self) {
        if self.now >= TROUBLE_S {
            return;
        }
        let node = self.rng.random_range(0..NODES);
        if self.chance(0.004) {
            // Gone, and back at once or later.
            self.nodes[node] = Node {
                down_until: self.now + self.rng.random_range(0.1..10.0),
                ..Node::default()
            };
        }
        if self.chance(0.004) {
            let until = self.now + self.rng.random_range(1.0..25.0);
            self.nodes[node].paused_until = until;
        }
        if self.chance(0.002) {
            self.outage_until = self.now + self.rng.random_range(2.0..15.0);
        }
        if self.platform == Platform::Short && self.cut_until < self.now && self.chance(0.006) {
            self.cut_until = self.now + self.rng.random_range(2.0..45.0);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        if names.is_empty() {
            return;
        }
        let name = names[self.rng.random_range(0..names.len())].clone();
        if self.chance(0.02) {
            let until = self.now + self.rng.random_range(1.0..40.0);
            let hangs = self.chance(0.5);
            if let Some(w) = self.workers.get_mut(&name) {
                *(if hangs {
                    &mut w.hangs_until
                } else {
                    &mut w.deaf_until
                }) = until;
            }
        }
        if self.chance(0.004)
            && let Some(w) = self.workers.get_mut(&name)
        {
            // The worker is back at once, with nothing on it.
            w.end_session(self.now);
        }
        if self.chance(0.002) && names.len() > 3 {
            self.workers.remove(&name);
        }
    }

    fn let_users_act(&mut self) {
        if self.now >= TROUBLE_S {
            return;
        }
        let short = self.platform == Platform::Short;
        if self.chance(if short { 0.15 } else { 0.05 }) {
            let id = format!("j-{:04}", self.jobs.len() + 1);
            let gang = !short && self.chance(0.3);
            let most = [4, 12, 24][usize::from(!gang) + usize::from(short)];
            let tasks = self.rng.random_range(1..most);
            let mut spec = job(&id, tasks);
            if gang {
                spec.kind = Kind::Gang;
                spec.cpus = 6.0;
                spec.one_zone = self.chance(0.5);
            }
            if self.chance(0.5) {
                spec.team = "red".into();
            }
            self.store.submit(&spec);
            self.jobs.insert(id.clone(), spec);
            for node in 0..NODES {
                let after = self.within(0.05, 1.0);
                let id = id.clone();
                self.send(after, Post::Job { node, id });
            }
        }
        if self.chance(0.008) && !self.jobs.is_empty() {
            let at = self.rng.random_range(0..self.jobs.len());
            let id = self.jobs.keys().nth(at).cloned().unwrap_or_default();
            if !self.store.keys.contains_key(&key::end(&id)) {
                let record = EndRecord {
                    end: End::Cancelled,
                    done: 0,
                    at_ms: None,
                };
                self.store.put(key::end(&id), &record);
                self.cancelled.insert(id.clone(), self.now);
                self.note_end(&id, record);
            }
        }
    }

    fn note_end(&mut self, id: &str, record: EndRecord) {
        if self.ends.insert(id.to_owned(), record.end).is_some() {
            self.wrong.push(format!("{id}: ended twice"));
        }
        let tasks = self.jobs[id].tasks;
        if record.end == End::Done
            && let Some(task) = (0..tasks).find(|t| !self.done.contains(&format!("{id}/{t}")))
        {
            self.wrong.push(format!("{id}/{task}: not done"));
        }
        for node in 0..NODES {
            let after = self.within(0.05, 1.0);
            let id = id.to_owned();
            self.send(after, Post::End { node, id, record });
        }
    }

    // ---- the office

    fn hold_office(&mut self) {
        if self.now < self.outage_until {
            // Afterwards every lease has its full time again.
            if let Some((.., until)) = &mut self.office {
                *until = self.outage_until + self.life_s;
            }
            return;
        }
        if self.office.is_some_and(|(.., until)| until < self.now) {
            self.store.revision += 1;
            self.store.keys.remove(&key::leader());
            self.office = None;
        }
        for at in 0..NODES {
            let node = &self.nodes[at];
            let Some(token) = node.leader.as_ref().map(|l| l.token) else {
                continue;
            };
            if node.paused_until > self.now || node.renew_at > self.now {
                continue;
            }
            let lost = self.trouble(0.1);
            let (now, trusted_s, life_s) = (self.now, self.trusted_s, self.life_s);
            let node = &mut self.nodes[at];
            node.renew_at = now + life_s / 4.0;
            match &mut self.office {
                _ if lost => {}
                Some((_, t, until)) if *t == token => {
                    *until = now + life_s;
                    node.trusted_until = now + trusted_s;
                }
                _ => node.leader = None,
            }
        }
        let at = self.rng.random_range(0..NODES);
        let able = |n: &Node| n.down_until <= self.now && n.paused_until <= self.now;
        if self.office.is_none() && able(&self.nodes[at]) {
            let (config, host) = (self.config.clone(), format!("n{at}"));
            let mut leader = self.store.elect_with(config, &host, self.now);
            if self.broken == Broken::Lease {
                leader.off_after_s = self.lease_s * 0.2;
            }
            for (name, w) in &self.workers {
                let r = &w.fake.report;
                leader.call_on(name, &r.zone, &r.addr, r.session, self.now);
            }
            self.office = Some((at, leader.token, self.now + self.life_s));
            self.nodes[at] = Node {
                trusted_until: self.now + self.trusted_s,
                leader: Some(leader),
                ..Node::default()
            };
        }
    }

    /// The leader's state of a node, if it may act now.
    fn acting(&mut self, at: usize) -> Option<&mut Leader> {
        let now = self.now;
        let node = &mut self.nodes[at];
        let able = node.down_until <= now && node.paused_until <= now && now < node.trusted_until;
        node.leader.as_mut().filter(|_| able)
    }

    fn do_duty(&mut self, at: usize) {
        let now = self.now;
        let tends = self.nodes[at].tend_at <= now;
        let calls = self.nodes[at].cloud_at <= now;
        let writing = self.nodes[at].writing;
        let forgets = self.broken == Broken::StandIns;
        let Some(leader) = self.acting(at) else {
            return;
        };
        let token = leader.token;
        if forgets {
            leader.zones.forget_delegations();
        }
        if tends {
            leader.tend(now);
        }
        leader.plan(now);
        let messages = leader.directs(now, 1.5, 8);
        let txn = if writing { None } else { leader.next_txn(now) };
        let call = if calls {
            leader.next_cloud_call(now)
        } else {
            None
        };
        let names: Vec<String> = messages
            .iter()
            .map(|m| leader.fleet.machines[&m.machine].name.to_string())
            .collect();
        if tends {
            self.nodes[at].tend_at = now + 0.5;
        }
        if calls {
            self.nodes[at].cloud_at = now + 1.0;
        }
        for (message, name) in messages.into_iter().zip(names) {
            self.send_direct(at, token, name, message);
        }
        if let Some(txn) = txn {
            self.nodes[at].writing = true;
            self.send_txn(at, token, txn);
        }
        if let Some(call) = call {
            let answer = self.answer_cloud(&call);
            let failed = self.trouble(0.15);
            let answer = if failed { CloudAnswer::Failed } else { answer };
            if let Some(leader) = self.acting(at) {
                leader.on_cloud(call, answer, now);
            }
        }
    }

    fn send_direct(&mut self, from: usize, token: u64, name: String, message: DirectMessage) {
        let lost = self.trouble(0.05);
        let held = self.held(from, &name);
        let late = self.trouble(0.08) || held > 0.0;
        let copied = self.trouble(0.15);
        let machine = message.machine;
        let direct = |answered| Post::Direct {
            from,
            token,
            name: name.clone(),
            message: message.clone(),
            answered,
        };
        let (answered, copy) = (direct(true), direct(false));
        if lost || late {
            let outcome = DirectOutcome::Unknown;
            self.send(
                DIRECT_S,
                Post::Directed {
                    node: from,
                    token,
                    machine,
                    outcome,
                },
            );
        } else {
            let after = self.within(0.01, 0.4);
            self.send(after, answered);
        }
        if late || copied {
            let after = held + self.within(1.0, 60.0);
            self.send(after, copy);
        }
    }

    fn send_txn(&mut self, node: usize, token: u64, txn: Rc<Txn>) {
        let lost = self.trouble(0.05);
        let late = self.trouble(0.05);
        let copied = self.trouble(0.15);
        let write = |answered| Post::Write {
            node,
            token,
            txn: txn.clone(),
            answered,
        };
        let (answered, copy) = (write(true), write(false));
        if lost || late {
            let outcome = TxnOutcome::Unknown;
            self.send(
                1.0,
                Post::Written {
                    node,
                    token,
                    outcome,
                },
            );
        } else {
            let after = self.within(0.01, 0.3);
            self.send(after, answered);
        }
        if late || copied {
            let after = self.within(0.5, 60.0);
            self.send(after, copy);
        }
    }

    fn answer_cloud(&mut self, call: &CloudCall) -> CloudAnswer {
        match call {
            CloudCall::Types => CloudAnswer::Failed,
            CloudCall::List { .. } => {
                let listed = self.workers.iter().map(|(name, w)| ListedMachine {
                    id: name.clone(),
                    addr: w.fake.report.addr.clone(),
                    type_name: w.fake.report.type_name.clone(),
                    zone: w.fake.report.zone.clone(),
                    spot: false,
                    state: MachineState::Running,
                    age_s: self.now,
                });
                CloudAnswer::List(listed.collect(), false)
            }
            CloudCall::Rent(Rent { request, .. }, _) if self.rented.contains_key(request) => {
                CloudAnswer::Rented(self.rented[request].clone())
            }
            CloudCall::Rent(rent, _) => {
                let room = self.platform.machines().saturating_sub(self.workers.len());
                if room == 0 || rent.type_name != "small" {
                    return CloudAnswer::NoCapacity;
                }
                let count = room.min(rent.count as usize);
                let names: Vec<String> = (0..count).map(|_| self.boot(&rent.zone)).collect();
                self.rented.insert(rent.request.clone(), names.clone());
                CloudAnswer::Rented(names)
            }
            CloudCall::Delete(names) => {
                for name in names {
                    self.workers.remove(name);
                }
                CloudAnswer::Deleted
            }
        }
    }

    // ---- what arrives

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.post)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.post = later;
        for (_, post) in due {
            self.arrive(post);
        }
    }

    /// What comes for a node that stands still waits there; for one that is down it is lost.
    fn reaches(&mut self, at: usize, post: Post) -> Option<Post> {
        let node = &self.nodes[at];
        if node.down_until > self.now {
            return None;
        }
        if node.paused_until > self.now {
            let until = node.paused_until;
            self.post.push((until, post));
            return None;
        }
        Some(post)
    }

    fn arrive(&mut self, post: Post) {
        let now = self.now;
        let at = match &post {
            Post::Report { node, .. }
            | Post::Directed { node, .. }
            | Post::Written { node, .. }
            | Post::Relay { node, .. }
            | Post::Job { node, .. }
            | Post::End { node, .. } => Some(*node),
            _ => None,
        };
        let post = match at {
            Some(at) => self.reaches(at, post),
            None => Some(post),
        };
        match post {
            None => {}
            Some(Post::Report { node, report, late }) => self.take_report(node, report, late),
            Some(Post::Answer {
                machine,
                number,
                given,
                go_to,
            }) => self.take_answer(&machine, number, given, go_to),
            Some(Post::Direct {
                from,
                token,
                name,
                message,
                answered,
            }) => self.take_direct(from, token, name, message, answered),
            Some(Post::Directed {
                node,
                token,
                machine,
                outcome,
            }) => {
                // Noted even if the lease is not trusted at this moment.
                if let Some(leader) = self.nodes[node]
                    .leader
                    .as_mut()
                    .filter(|l| l.token == token)
                {
                    leader.on_direct(machine, outcome, now);
                }
            }
            Some(Post::Write {
                node,
                token,
                txn,
                answered,
            }) => {
                let outcome = if now < self.outage_until {
                    TxnOutcome::Refused
                } else {
                    self.apply(&txn)
                };
                if answered {
                    let lost = self.trouble(0.05);
                    let outcome = if lost { TxnOutcome::Unknown } else { outcome };
                    self.send(
                        0.1,
                        Post::Written {
                            node,
                            token,
                            outcome,
                        },
                    );
                }
            }
            Some(Post::Written {
                node,
                token,
                outcome,
            }) => self.take_written(node, token, outcome),
            Some(Post::Relay { node, record }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_relay(&record, now);
                }
            }
            Some(Post::Job { node, id }) => {
                let mut stored = JobView::default();
                stored.spec = Some(Rc::new(self.jobs[&id].clone()));
                // Changes are followed in their order: an end that came already came after this.
                let known = !self.ends.contains_key(&id);
                if let Some(leader) = self.nodes[node].leader.as_mut().filter(|_| known) {
                    leader.enter_job(&id.as_str().into(), &stored, now);
                }
            }
            Some(Post::End { node, id, record }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_end(&id, &record, now);
                }
            }
        }
    }

    fn apply(&mut self, txn: &Txn) -> TxnOutcome {
        let outcome = self.store.apply(txn);
        if let TxnOutcome::Applied(_) = outcome {
            for change in &txn.changes {
                let Change::Put { key, value, .. } = change else {
                    continue;
                };
                if let Some((_, id)) = key.split_once("/end/") {
                    let record: EndRecord = serde_json::from_str(value.get()).unwrap();
                    self.note_end(id, record);
                }
            }
        }
        outcome
    }

    fn take_written(&mut self, at: usize, token: u64, outcome: TxnOutcome) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(leader) = node.leader.as_mut().filter(|l| l.token == token) else {
            return;
        };
        node.writing = false;
        match leader.txn_done(outcome, now) {
            AfterTxn::Go | AfterTxn::Again => {}
            AfterTxn::ReadBack(key) => {
                let stamp = self.store.keys.get(&key).map_or(0, |(_, stamp)| *stamp);
                leader.read_back(stamp, now);
            }
            AfterTxn::Lost => {
                if self.office.is_some_and(|(_, t, _)| t == token) {
                    self.wrong.push("gave up an office that it held".into());
                }
                node.leader = None;
            }
        }
    }

    fn take_report(&mut self, at: usize, mut report: Report, late: bool) {
        let now = self.now;
        let leader_node = self.office.map(|(node, ..)| node).filter(|n| *n != at);
        let forged = self.broken == Broken::Copies && late;
        let Some(leader) = self.acting(at) else {
            if let Some(token) = self.stands_in(at, &report) {
                let commands = self.delegate_zone(&report, token);
                return self.answer(at, &report, Some((token, commands)), None);
            }
            return self.answer(at, &report, None, leader_node);
        };
        if forged {
            let known = leader.fleet.find(&report.machine);
            if let Some(m) = known.and_then(|index| leader.fleet.machines.get(&index)) {
                (report.session, report.seq) = (m.session, m.seq + 1);
            }
            report.token = leader.token;
        }
        if report.token > leader.token {
            return self.answer(at, &report, None, leader_node);
        }
        leader.last_report = now;
        let mut commands = Vec::new();
        if let Some(given) = leader.on_report(&report, Source::Checkin, now) {
            commands = given;
            leader.answer_commands(&report, &mut commands);
        }
        let token = leader.token;
        self.answer(at, &report, Some((token, commands)), None);
    }

    /// The token under which a node may answer a report now, as the store shows.
    fn stands_in(&self, at: usize, report: &Report) -> Option<u64> {
        let (leader, token, until) = self.office?;
        let able = leader != at && self.now <= until && self.now >= self.outage_until;
        let stands = |key: &str, value: &RawValue| {
            key.contains("/standin/")
                && serde_json::from_str(value.get()).is_ok_and(|r: DelegationRecord| {
                    r.token == token && r.zone == report.zone && !r.over
                })
        };
        let mut keys = self.store.keys.iter();
        let stands = able && keys.any(|(key, (value, _))| stands(key, value));
        (stands && report.token <= token).then_some(token)
    }

    /// What the answer carries; the leader is told what the report shows, perhaps more than once.
    fn delegate_zone(&mut self, report: &Report, token: u64) -> Vec<Command> {
        let mut relay = Relay::new(token);
        relay.note(report);
        let record = relay.take(&report.zone, usize::MAX);
        let node = self.office.map_or(0, |(node, ..)| node);
        let after = self.within(0.05, 2.0);
        if self.trouble(0.2) {
            let after = self.within(1.0, 60.0);
            let record = record.clone();
            self.send(after, Post::Relay { node, record });
        }
        self.send(after, Post::Relay { node, record });
        let over = |name: &str| {
            let id = split_task(name).map_or("", |(id, _)| id);
            self.store.keys.contains_key(&key::end(id))
        };
        stops(report, over)
    }

    /// For how much longer what passes between a node and a machine is held up by a cut.
    fn held(&self, at: usize, machine: &str) -> f64 {
        let zone = self.workers.get(machine).map(|w| &*w.fake.report.zone);
        if zone.is_some_and(|z| z != NODE_ZONES[at]) {
            (self.cut_until - self.now).max(0.0)
        } else {
            0.0
        }
    }

    fn answer(
        &mut self,
        at: usize,
        report: &Report,
        given: Option<(u64, Vec<Command>)>,
        go_to: Option<usize>,
    ) {
        let after = if self.trouble(0.05) {
            self.within(1.0, 8.0)
        } else {
            self.within(0.01, 0.3)
        };
        let after = after + self.held(at, &report.machine);
        self.send(
            after,
            Post::Answer {
                machine: report.machine.clone(),
                number: (report.session, report.seq),
                given,
                go_to,
            },
        );
    }

    fn take_answer(
        &mut self,
        machine: &str,
        number: (u64, u64),
        given: Option<(u64, Vec<Command>)>,
        go_to: Option<usize>,
    ) {
        let now = self.now;
        let report_s = self.config.deployment.workers.report_s;
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        if w.deaf_until > now || w.hangs_until > now {
            return;
        }
        let Some((_, sent)) = w.waiting.filter(|(n, _)| *n == number) else {
            return;
        };
        w.waiting = None;
        if now - sent > ANSWER_S {
            return;
        }
        match given {
            Some((token, commands)) if token >= w.fake.report.token => {
                w.leased = sent;
                let higher = token > w.fake.report.token;
                w.fake.report.token = token;
                w.report_at = now + if higher { 0.5 } else { report_s };
                self.execute(machine, &commands);
            }
            Some(_) => {}
            None => {
                w.node = go_to.unwrap_or((w.node + 1) % NODES);
                w.report_at = now + if go_to.is_some() { 0.2 } else { 1.0 };
            }
        }
    }

    fn take_direct(
        &mut self,
        from: usize,
        token: u64,
        name: String,
        message: DirectMessage,
        answered: bool,
    ) {
        let now = self.now;
        let machine = message.machine;
        let outcome = match self.workers.get_mut(&name) {
            None => DirectOutcome::NotSent,
            Some(w) if w.hangs_until > now || w.deaf_until > now => {
                // It is there when the machine goes on.
                let until = w.hangs_until.max(w.deaf_until);
                self.post.push((
                    until,
                    Post::Direct {
                        from,
                        token,
                        name,
                        message,
                        answered: false,
                    },
                ));
                DirectOutcome::Unknown
            }
            Some(w) => {
                w.keep_lease(now, self.lease_s);
                let r = &mut w.fake.report;
                r.seq += 1;
                if token < r.token || message.session != r.session {
                    DirectOutcome::Refused(r.clone())
                } else {
                    r.token = token;
                    self.execute(&name, &message.commands);
                    DirectOutcome::Done(self.workers[&name].fake.report.clone())
                }
            }
        };
        if answered {
            let unknown = matches!(outcome, DirectOutcome::Unknown);
            let after = if unknown { DIRECT_S } else { 0.1 };
            self.send(
                after,
                Post::Directed {
                    node: from,
                    token,
                    machine,
                    outcome,
                },
            );
        }
    }

    // ---- workers

    fn execute(&mut self, machine: &str, commands: &[Command]) {
        let now = self.now;
        let fetch_s = self.within(0.0, 2.0);
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        for command in commands {
            let Command::Start { task, attempt } = command else {
                w.fake
                    .execute(w.fake.report.token, std::slice::from_ref(command));
                continue;
            };
            let tasks = &mut w.fake.report.tasks;
            if tasks
                .iter()
                .any(|t| t.task == *task && t.attempt == *attempt)
            {
                continue;
            }
            let alive = |t: &&ReportTask| t.state != TaskState::Exited;
            let cpus = |name: &str| split_task(name).map_or(0.0, |(id, _)| self.jobs[id].cpus);
            let used: f64 = tasks.iter().filter(alive).map(|t| cpus(&t.task)).sum();
            let exit_reason = if tasks.iter().filter(alive).any(|t| t.task == *task) {
                Some(ExitReason::InUse)
            } else if used + cpus(task) > 8.0 {
                Some(ExitReason::Full)
            } else {
                None
            };
            let state = match exit_reason {
                Some(_) => TaskState::Exited,
                None => TaskState::Fetching,
            };
            tasks.push(ReportTask {
                task: task.clone(),
                attempt: *attempt,
                state,
                exit_reason,
                saved: None,
            });
            w.times
                .insert((task.clone(), *attempt), (now + fetch_s, None));
        }
    }

    fn run_workers(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            let lease_s = self.lease_s;
            let Some(w) = self.workers.get_mut(name) else {
                continue;
            };
            if w.hangs_until > now {
                continue;
            }
            w.keep_lease(now, lease_s);
            self.run_tasks(name);
            self.report(name);
        }
        self.run_gangs();
    }

    fn run_tasks(&mut self, name: &str) {
        let now = self.now;
        let run_s = self.within(3.0, 20.0);
        let w = &self.workers[name];
        let mut changed = Vec::new();
        for (at, t) in w.fake.report.tasks.iter().enumerate() {
            let (ready, end) = w.times[&(t.task.clone(), t.attempt)];
            let gang = split_task(&t.task).is_some_and(|(id, _)| self.jobs[id].kind == Kind::Gang);
            match t.state {
                TaskState::Fetching if ready <= now => {
                    if let Some(other) = self.elsewhere(name, &t.task) {
                        let text = format!("{now}: {} on {name} and {other}", t.task);
                        self.wrong.push(text);
                    }
                    if gang {
                        changed.push((at, TaskState::Waiting, None));
                    } else {
                        changed.push((at, TaskState::Running, Some(now + run_s)));
                    }
                }
                TaskState::Running if end.is_some_and(|end| end <= now) && !gang => {
                    changed.push((at, TaskState::Exited, end));
                }
                _ => {}
            }
        }
        for (at, state, end) in changed {
            let Some(w) = self.workers.get_mut(name) else {
                return;
            };
            let t = &mut w.fake.report.tasks[at];
            t.state = state;
            if state == TaskState::Exited {
                t.exit_reason = Some(ExitReason::Done);
                self.done.insert(t.task.clone());
            }
            if let Some(times) = w.times.get_mut(&(t.task.clone(), t.attempt)) {
                times.1 = end;
            }
            w.report_at = w.report_at.min(now + 0.5);
        }
    }

    /// Another machine that has a task: one that hangs within its lease included.
    fn elsewhere(&self, name: &str, task: &str) -> Option<&str> {
        let has = |w: &Worker| {
            let here = |t: &ReportTask| t.task == task && on_machine(t.state);
            w.has_lease(self.now, self.lease_s) && w.fake.report.tasks.iter().any(here)
        };
        let mut others = self.workers.iter().filter(|(n, _)| *n != name);
        others.find(|(_, w)| has(w)).map(|(n, _)| n.as_str())
    }

    /// The tasks of a gang's attempt start together, end together, and end when one is gone.
    fn run_gangs(&mut self) {
        let now = self.now;
        // Of each attempt: the machine, the place in its report, and whether it is able to act.
        type Members = Vec<(String, usize, bool)>;
        let mut attempts: BTreeMap<(String, u64), Members> = BTreeMap::new();
        for (name, w) in &self.workers {
            for (at, t) in w.fake.report.tasks.iter().enumerate() {
                let Some((id, _)) = split_task(&t.task) else {
                    continue;
                };
                let live = on_machine(t.state) && w.has_lease(now, self.lease_s);
                if self.jobs[id].kind == Kind::Gang && live {
                    let able = w.hangs_until <= now;
                    attempts
                        .entry((id.to_owned(), t.attempt))
                        .or_default()
                        .push((name.clone(), at, able));
                }
            }
        }
        for ((id, attempt), members) in attempts {
            let whole = members.len() == self.jobs[&id].tasks as usize;
            let able = members.iter().all(|(.., able)| *able);
            let run_s = self.within(3.0, 20.0);
            let first = &self.workers[&members[0].0];
            let task = &first.fake.report.tasks[members[0].1].task;
            let end = first.times[&(task.clone(), attempt)].1;
            for (name, at, own) in members {
                let Some(w) = self.workers.get_mut(&name).filter(|_| own) else {
                    continue;
                };
                let t = &mut w.fake.report.tasks[at];
                let times = w.times.get_mut(&(t.task.clone(), attempt));
                match (t.state, end) {
                    (TaskState::Waiting, _) if whole && able => {
                        t.state = TaskState::Running;
                        times.unwrap().1 = Some(now + run_s);
                    }
                    (TaskState::Waiting, _) if times.as_ref().unwrap().0 + 50.0 < now => {
                        t.state = TaskState::Exited;
                        t.exit_reason = Some(ExitReason::Incomplete);
                    }
                    (TaskState::Running, _) if !whole || !able => {
                        t.state = TaskState::Exited;
                        t.exit_reason = Some(ExitReason::Peers);
                    }
                    (TaskState::Running, Some(end)) if end <= now => {
                        t.state = TaskState::Exited;
                        t.exit_reason = Some(ExitReason::Done);
                        self.done.insert(t.task.clone());
                    }
                    _ => continue,
                }
                w.report_at = w.report_at.min(now + 0.5);
            }
        }
    }

    fn report(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.waiting.is_some_and(|(_, sent)| now - sent > ANSWER_S) {
            w.waiting = None;
            w.node = (w.node + 1) % NODES;
            w.report_at = now + 1.0;
        }
        if w.waiting.is_some() || w.report_at > now {
            return;
        }
        let report = w.fake.next();
        w.waiting = Some(((report.session, report.seq), now));
        w.report_at = now + self.config.deployment.workers.report_s;
        let node = w.node;
        let copy = Post::Report {
            node: self.rng.random_range(0..NODES),
            report: report.clone(),
            late: true,
        };
        if !self.trouble(0.05) {
            let after = self.held(node, name) + self.within(0.01, 0.3);
            let late = false;
            self.send(after, Post::Report { node, report, late });
        }
        if self.trouble(0.15) {
            let after = self.within(1.0, 60.0);
            self.send(after, copy);
        }
    }

    // ---- the rules

    fn check(&mut self) {
        let mut red = 0.0;
        for (name, w) in &self.workers {
            if !w.has_lease(self.now, self.lease_s) {
                continue;
            }
            for t in &w.fake.report.tasks {
                let Some((id, _)) = split_task(&t.task) else {
                    continue;
                };
                if on_machine(t.state) && self.jobs[id].team == "red" {
                    red += self.jobs[id].cpus;
                }
                let cancelled = self.cancelled.get(id);
                if t.state != TaskState::Exited
                    && cancelled.is_some_and(|at| self.now > at + self.cancel_s)
                {
                    self.wrong
                        .push(format!("{} runs on {name}, cancelled", t.task));
                }
            }
        }
        if red > self.config.deployment.teams[0].cpus_max {
            self.wrong.push(format!("red uses {red} CPUs"));
        }
        for id in self.jobs.keys().filter(|id| !self.ends.contains_key(*id)) {
            if !self.store.keys.contains_key(&key::job(id)) {
                self.wrong.push(format!("{id} is forgotten"));
            }
        }
    }

    /// Plays until all is over; what was found wrong.
    fn play(mut self) -> Vec<String> {
        while self.now < END_S && self.wrong.is_empty() {
            self.now += STEP_S;
            self.make_trouble();
            self.let_users_act();
            self.hold_office();
            self.deliver();
            for at in 0..NODES {
                self.do_duty(at);
            }
            self.run_workers();
            self.check();
        }
        let open: Vec<&String> = self
            .jobs
            .keys()
            .filter(|id| !self.ends.contains_key(*id))
            .collect();
        if self.wrong.is_empty() && !open.is_empty() {
            self.wrong.push(format!("never ended: {open:?}"));
        }
        self.wrong
    }
}

impl Worker {
    fn end_session(&mut self, now: f64) {
        self.fake.report.session += 1;
        self.fake.report.tasks.clear();
        self.times.clear();
        self.waiting = None;
        self.leased = now;
        self.report_at = now;
    }

    fn has_lease(&self, now: f64, lease_s: f64) -> bool {
        now - self.leased <= lease_s
    }

    fn keep_lease(&mut self, now: f64, lease_s: f64) {
        if !self.has_lease(now, lease_s) {
            self.end_session(now);
        }
    }
}

#[test]
fn no_rule_breaks_and_every_job_ends_whatever_is_lost_late_or_repeated() {
    for (platform, seeds) in [(Platform::Small, 24), (Platform::Short, 8)] {
        for seed in 0..seeds {
            let wrong = World::new(seed, Broken::Nothing, platform).play();
            assert!(wrong.is_empty(), "{platform:?}, seed {seed}: {wrong:?}");
        }
    }
}

/// The checks above must be able to fail.
#[test]
fn a_broken_guard_is_found() {
    for (broken, platform) in [
        (Broken::Lease, Platform::Small),
        (Broken::Copies, Platform::Small),
        (Broken::Lease, Platform::Short),
        (Broken::StandIns, Platform::Short),
    ] {
        let found = (0..24).find_map(|seed| World::new(seed, broken, platform).play().pop());
        let found = found.expect("nothing found");
        assert!(found.contains(" and "), "{broken:?}: {found}");
    }
}
