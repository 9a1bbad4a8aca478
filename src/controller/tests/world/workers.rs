//! Workers that follow the protocol.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{NODES, TICK_S, World, addr, front_address};
use crate::http::{Client, Request, Response};
use crate::jobs::task_name::parse_task_name;
use crate::protocol::paths;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{
    Command, ExitReason, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use crate::runtime::{Runtime, Time};
use crate::test_support::FakeWorker;

const REPLY_TIMEOUT_S: f64 = 4.0;
const RETRY_S: f64 = 1.0;
pub(super) const CHANGE_DELAY_S: f64 = 0.5;
const BODY_MAX: usize = 1024 * 1024;

pub struct Worker {
    runtime: Runtime,
    lease_s: f64,
    pub name: String,
    pub zone: String,
    pub fake: RefCell<FakeWorker>,
    node: Cell<usize>,
    lease_from: Cell<Time>,
    heartbeat_at: Cell<Time>,
    /// When each attempt ends.
    pub(super) ends: RefCell<BTreeMap<(String, u64), Time>>,
    up_at: Time,
    gone: Cell<bool>,
    /// Until when it hangs: it executes nothing, and messages wait until it continues.
    pub hung_until: Cell<Time>,
    /// Until when its heartbeats arrive, but replies and direct commands are lost.
    pub replies_lost_until: Cell<Time>,
    /// Until when it reaches no controller, while direct commands reach it.
    pub heartbeats_blocked_until: Cell<Time>,
    /// Until when direct commands are delayed; they are executed after that.
    pub commands_held_until: Cell<Time>,
    /// All heartbeats that it sent.
    pub sent_heartbeats: RefCell<Vec<Heartbeat>>,
    /// Until when its heartbeats are delayed.
    pub heartbeats_held_until: Cell<Time>,
}

impl Worker {
    /// The tasks on it, as long as it has its lease: one that hangs for longer finds its lease expired before it does
    /// anything else, and may not continue with its tasks.
    pub fn running_tasks(&self) -> Vec<TaskStatus> {
        if self.gone.get() || !self.has_lease() {
            return Vec::new();
        }
        let fake = self.fake.borrow();
        let tasks = fake.heartbeat.tasks.iter();
        tasks
            .filter(|t| t.state != TaskState::Exited)
            .cloned()
            .collect()
    }

    /// Completed tasks that it has not been told to forget yet.
    pub(super) fn exited_done(&self) -> Vec<TaskStatus> {
        if self.gone.get() || !self.has_lease() {
            return Vec::new();
        }
        let fake = self.fake.borrow();
        let tasks = fake.heartbeat.tasks.iter();
        tasks
            .filter(|t| t.state == TaskState::Exited && t.exit_reason == Some(ExitReason::Done))
            .cloned()
            .collect()
    }

    pub(super) fn now(&self) -> Time {
        self.runtime.now()
    }

    fn has_lease(&self) -> bool {
        self.runtime.now() - self.lease_from.get() <= self.lease_s
    }

    pub fn tasks_of(&self, id: &str) -> Vec<TaskStatus> {
        let mut live = self.running_tasks();
        live.retain(|t| parse_task_name(&t.task).is_some_and(|(job, _)| job == id));
        live
    }

    /// Its lease and faults, for reports of violations.
    pub fn describe(&self) -> String {
        format!(
            "lease from {:.1}, hangs until {:.1}, deaf {:.1}, mute {:.1}",
            self.lease_from.get(),
            self.hung_until.get(),
            self.replies_lost_until.get(),
            self.heartbeats_blocked_until.get()
        )
    }

    pub fn has_lost_a_lease(&self) -> bool {
        self.fake.borrow().heartbeat.agent_epoch > 1
    }

    /// Its tasks changed: it sends a heartbeat soon.
    pub(super) fn schedule_heartbeat(&self, now: Time) {
        self.heartbeat_at
            .set(self.heartbeat_at.get().min(now + CHANGE_DELAY_S));
    }

    pub(super) fn hangs(&self, now: Time) -> bool {
        now < self.hung_until.get()
    }
}

impl World {
    /// Adds a machine that is up.
    pub fn boot(self: &Rc<Self>, zone: &str) -> Rc<Worker> {
        self.boot_after(zone, 0.0)
    }

    pub(super) fn boot_after(self: &Rc<Self>, zone: &str, boot_s: f64) -> Rc<Worker> {
        let number = self.checks.next_machine();
        let name = format!("i-{number:03}");
        let mut fake = FakeWorker::new(&name, "small", zone);
        let at = addr(number as u8, 9000);
        fake.heartbeat.addr = at.to_string();
        let now = self.now();
        let worker = Rc::new(Worker {
            runtime: self.runtime.clone(),
            lease_s: self.config.deployment.workers.lease_s,
            name: name.clone(),
            zone: zone.into(),
            fake: RefCell::new(fake),
            node: Cell::new(number % NODES),
            lease_from: Cell::new(now + boot_s),
            heartbeat_at: Cell::new(now + boot_s),
            ends: RefCell::default(),
            up_at: now + boot_s,
            gone: Cell::new(false),
            hung_until: Cell::new(0.0),
            replies_lost_until: Cell::new(0.0),
            heartbeats_blocked_until: Cell::new(0.0),
            commands_held_until: Cell::new(0.0),
            sent_heartbeats: RefCell::default(),
            heartbeats_held_until: Cell::new(0.0),
        });
        self.workers.borrow_mut().insert(name, worker.clone());
        let (world, target) = (self.clone(), worker.clone());
        let handler = Rc::new(move |request: Request| {
            let (world, worker) = (world.clone(), target.clone());
            Box::pin(async move { world.receive_direct_commands(&worker, &request).await }) as _
        });
        self.serve(at, handler);
        self.services.spawn(self.clone().run_tasks(worker.clone()));
        self.services
            .spawn(self.clone().send_heartbeats(worker.clone()));
        worker
    }

    /// Removes a machine with everything on it; returns whether it existed.
    pub fn remove(&self, name: &str) -> bool {
        let gone = self.workers.borrow_mut().remove(name);
        gone.inspect(|worker| worker.gone.set(true)).is_some()
    }

    /// Checks the lease and runs the tasks.
    async fn run_tasks(self: Rc<Self>, worker: Rc<Worker>) {
        while !worker.gone.get() {
            self.runtime.sleep(TICK_S).await;
            let now = self.now();
            if worker.hangs(now) || now < worker.up_at {
                continue;
            }
            self.keep_lease(&worker);
            let mut fake = worker.fake.borrow_mut();
            for t in &mut fake.heartbeat.tasks {
                let key = (t.task.clone(), t.attempt);
                let over = worker
                    .ends
                    .borrow()
                    .get(&key)
                    .is_some_and(|end| *end <= now);
                if t.state == TaskState::Running && over {
                    t.state = TaskState::Exited;
                    t.exit_reason = Some(ExitReason::Done);
                    self.checks.on_task_completed(&t.task);
                    worker.schedule_heartbeat(now);
                }
            }
        }
    }

    fn keep_lease(&self, worker: &Worker) {
        let now = self.now();
        if !worker.has_lease() {
            let mut fake = worker.fake.borrow_mut();
            fake.heartbeat.agent_epoch += 1;
            fake.heartbeat.tasks.clear();
            worker.ends.borrow_mut().clear();
            worker.lease_from.set(now);
            worker.heartbeat_at.set(now);
        }
    }

    async fn send_heartbeats(self: Rc<Self>, worker: Rc<Worker>) {
        loop {
            let now = self.now();
            if worker.gone.get() {
                return;
            }
            if worker.hangs(now) || now < worker.heartbeat_at.get() {
                self.runtime.sleep(TICK_S / 5.0).await;
                continue;
            }
            self.keep_lease(&worker);
            let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
            worker.heartbeat_at.set(now + heartbeat_interval_s);
            let heartbeat = worker.fake.borrow_mut().next();
            worker.sent_heartbeats.borrow_mut().push(heartbeat.clone());
            let node = worker.node.get();
            let next = (node + 1) % NODES;
            if now < worker.heartbeats_blocked_until.get()
                || self.is_partitioned(&worker.zone, node)
            {
                worker.node.set(next);
                self.runtime.sleep(RETRY_S).await;
                worker.heartbeat_at.set(self.now());
                continue;
            }
            if now < worker.heartbeats_held_until.get() {
                let (world, until) = (self.clone(), worker.heartbeats_held_until.get());
                self.services.spawn(async move {
                    world.runtime.sleep(until - world.now()).await;
                    world.deliver_heartbeat(node, &heartbeat).await;
                });
                self.runtime.sleep(REPLY_TIMEOUT_S).await;
                worker.node.set(next);
                worker.heartbeat_at.set(self.now() + RETRY_S);
                continue;
            }
            let answer = self.deliver_heartbeat(node, &heartbeat).await;
            let lost = self.now() < worker.replies_lost_until.get() || worker.hangs(self.now());
            if lost {
                self.runtime
                    .sleep((now + REPLY_TIMEOUT_S - self.now()).max(0.0))
                    .await;
            }
            match answer.filter(|_| !lost) {
                Some((200, body)) => self.receive_reply(&worker, &heartbeat, now, &body),
                Some((421, body)) => {
                    let named: serde_json::Value = serde_json::from_slice(&body).unwrap();
                    let named = named["ReportsTo"]
                        .as_str()
                        .and_then(|n| n[1..].parse().ok());
                    let named = named.filter(|n| *n != node);
                    worker.node.set(named.unwrap_or(next));
                    let pause = if named.is_some() { 0.1 } else { RETRY_S };
                    worker.heartbeat_at.set(self.now() + pause);
                }
                _ => {
                    worker.node.set(next);
                    worker.heartbeat_at.set(self.now() + RETRY_S);
                }
            }
        }
    }

    /// Delivers a heartbeat to a controller; returns its reply.
    pub async fn deliver_heartbeat(
        &self,
        node: usize,
        heartbeat: &Heartbeat,
    ) -> Option<(u16, Vec<u8>)> {
        let body = serde_json::to_vec(heartbeat).unwrap();
        let client = Client::new(&self.runtime, front_address(node), BODY_MAX);
        let call = client.call("POST", paths::HEARTBEAT, Some(&body), REPLY_TIMEOUT_S);
        call.await.ok()
    }

    fn receive_reply(&self, worker: &Rc<Worker>, heartbeat: &Heartbeat, sent: Time, body: &[u8]) {
        let reply: HeartbeatReply = serde_json::from_slice(body).unwrap();
        let (agent_epoch, fencing_token) = {
            let fake = worker.fake.borrow();
            (fake.heartbeat.agent_epoch, fake.heartbeat.fencing_token)
        };
        if agent_epoch != heartbeat.agent_epoch
            || reply.fencing_token < fencing_token
            || worker.gone.get()
        {
            return;
        }
        worker.lease_from.set(worker.lease_from.get().max(sent));
        if reply.fencing_token > fencing_token {
            worker.schedule_heartbeat(self.now());
        }
        self.execute(worker, reply.fencing_token, &reply.commands);
    }

    async fn receive_direct_commands(&self, worker: &Rc<Worker>, request: &Request) -> Response {
        #[derive(serde::Deserialize)]
        struct RequestBody {
            #[serde(rename = "Baton")]
            fencing_token: u64,
            #[serde(rename = "Shift")]
            agent_epoch: u64,
            #[serde(rename = "Orders")]
            commands: Vec<Command>,
        }
        let asked: RequestBody = serde_json::from_slice(&request.body).unwrap();
        if self.now() < worker.replies_lost_until.get() {
            self.runtime.sleep(REPLY_TIMEOUT_S * 10.0).await;
            return Response::error(503, "lost");
        }
        let sender = self
            .state
            .leaders
            .borrow()
            .get(&asked.fencing_token)
            .copied();
        loop {
            let now = self.now();
            let cut = sender.is_some_and(|node| self.is_partitioned(&worker.zone, node));
            if !(cut
                || worker.hangs(now)
                || now < worker.commands_held_until.get()
                || now < worker.up_at)
            {
                break;
            }
            self.runtime.sleep(TICK_S).await;
        }
        if worker.gone.get() {
            return Response::error(503, "gone");
        }
        self.keep_lease(worker);
        {
            let mut fake = worker.fake.borrow_mut();
            let r = &mut fake.heartbeat;
            r.sequence += 1;
            if asked.fencing_token < r.fencing_token || asked.agent_epoch != r.agent_epoch {
                return Response::json(409, &*r);
            }
        }
        self.execute(worker, asked.fencing_token, &asked.commands);
        Response::json(200, &worker.fake.borrow().heartbeat)
    }

    fn execute(&self, worker: &Rc<Worker>, fencing_token: u64, commands: &[Command]) {
        for command in commands {
            let before = worker.running_tasks().len();
            worker
                .fake
                .borrow_mut()
                .execute(fencing_token, std::slice::from_ref(command));
            if let Command::Launch { task, attempt } = command
                && worker.running_tasks().len() > before
            {
                if self.checks.spec(task).kind == JobKind::Gang {
                    self.gangs.wait_for_others(worker, task, *attempt);
                } else {
                    let key = (task.clone(), *attempt);
                    let run_time_s = self.checks.run_time_s(task);
                    worker
                        .ends
                        .borrow_mut()
                        .insert(key, self.now() + run_time_s);
                }
                self.checks
                    .on_task_started(self.now(), worker, task, &self.workers.borrow());
            }
        }
        worker.fake.borrow_mut().heartbeat.fencing_token = fencing_token;
    }
}
