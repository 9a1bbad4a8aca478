//! Stand-ins for workers. They follow the protocol: heartbeats, leases, commands and task runs; tests inject faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{NODES, TICK_S, World, front_address, host_address};
use crate::http::{Client, Request, Response};
use crate::jobs::task_name::parse_task_name;
use crate::protocol::paths;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{
    Command, ExitReason, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use crate::runtime::{Runtime, Time};
use crate::test_support::FakeWorker;

/// Seconds that a worker waits for the reply to a heartbeat.
const REPLY_TIMEOUT_S: f64 = 4.0;
const RETRY_S: f64 = 1.0;
/// Longest delay, in seconds, of the heartbeat that follows a change of the tasks or of the fencing token.
pub(super) const CHANGE_DELAY_S: f64 = 0.5;
/// Largest reply, in bytes, that a worker reads.
const BODY_MAX: usize = 1024 * 1024;

/// The body of a request with direct commands.
#[derive(Clone, serde::Deserialize)]
struct DirectCommandBody {
    #[serde(rename = "Baton")]
    fencing_token: u64,
    #[serde(rename = "Shift")]
    agent_epoch: u64,
    #[serde(rename = "Orders")]
    commands: Vec<Command>,
}

/// A machine with its worker.
pub struct Worker {
    runtime: Runtime,
    lease_s: f64,
    pub name: String,
    pub zone: String,
    /// The worker's own state, as its next heartbeat reports it.
    pub fake: RefCell<FakeWorker>,
    /// The controller that receives the next heartbeat.
    node: Cell<usize>,
    /// Start of the lease: the time at which the last answered heartbeat was sent, or of the boot.
    lease_from: Cell<Time>,
    /// When the next heartbeat is due.
    heartbeat_at: Cell<Time>,
    /// The time at which each running attempt completes, by task and attempt number.
    pub(super) completion_times: RefCell<BTreeMap<(String, u64), Time>>,
    /// When the machine has booted; until then nothing runs on it.
    up_at: Time,
    removed: Cell<bool>,
    /// Until then the worker hangs: it executes nothing, and incoming messages wait.
    pub hung_until: Cell<Time>,
    /// Until then heartbeats arrive, but their replies and direct commands are lost.
    pub replies_lost_until: Cell<Time>,
    /// Until then heartbeats reach no controller, but direct commands reach the worker.
    pub heartbeats_blocked_until: Cell<Time>,
    /// Until then direct commands are delayed; they are executed afterwards.
    pub commands_held_until: Cell<Time>,
    /// All direct commands that the worker executed and answered.
    executed_commands: RefCell<Vec<DirectCommandBody>>,
    /// All heartbeats sent, including lost ones.
    pub sent_heartbeats: RefCell<Vec<Heartbeat>>,
    /// Until then heartbeats are delayed; they arrive afterwards.
    pub heartbeats_held_until: Cell<Time>,
}

impl Worker {
    /// The tasks that haven't exited, or none if the machine was removed or the lease expired: a worker that hangs
    /// beyond its lease notices the expiry before it does anything else, and stops its tasks.
    pub fn running_tasks(&self) -> Vec<TaskStatus> {
        if self.removed.get() || !self.has_lease() {
            return Vec::new();
        }
        let fake = self.fake.borrow();
        let tasks = fake.heartbeat.tasks.iter();
        tasks
            .filter(|status| status.state != TaskState::Exited)
            .cloned()
            .collect()
    }

    /// Completed tasks for which the worker hasn't received a forget command yet.
    pub(super) fn completed_tasks(&self) -> Vec<TaskStatus> {
        if self.removed.get() || !self.has_lease() {
            return Vec::new();
        }
        let fake = self.fake.borrow();
        let tasks = fake.heartbeat.tasks.iter();
        tasks
            .filter(|status| {
                status.state == TaskState::Exited && status.exit_reason == Some(ExitReason::Done)
            })
            .cloned()
            .collect()
    }

    pub(super) fn now(&self) -> Time {
        self.runtime.now()
    }

    fn has_lease(&self) -> bool {
        self.runtime.now() - self.lease_from.get() <= self.lease_s
    }

    /// The tasks of a job that are on the machine and haven't exited.
    pub fn tasks_of(&self, id: &str) -> Vec<TaskStatus> {
        let mut job_tasks = self.running_tasks();
        job_tasks.retain(|status| parse_task_name(&status.task).is_some_and(|(job, _)| job == id));
        job_tasks
    }

    /// Describes the lease and the injected faults, for reports of violations.
    pub fn describe(&self) -> String {
        format!(
            "lease from {:.1}, hangs until {:.1}, replies lost until {:.1}, heartbeats blocked until {:.1}",
            self.lease_from.get(),
            self.hung_until.get(),
            self.replies_lost_until.get(),
            self.heartbeats_blocked_until.get()
        )
    }

    /// Seconds until the next heartbeat is due.
    pub fn next_heartbeat_in_s(&self) -> f64 {
        self.heartbeat_at.get() - self.now()
    }

    /// Returns whether the lease ever expired: the worker starts a new agent epoch each time.
    pub fn has_lost_a_lease(&self) -> bool {
        self.fake.borrow().heartbeat.agent_epoch > 1
    }

    /// Schedules a heartbeat within `CHANGE_DELAY_S`, because the tasks or the fencing token changed.
    pub fn schedule_heartbeat(&self, now: Time) {
        self.heartbeat_at
            .set(self.heartbeat_at.get().min(now + CHANGE_DELAY_S));
    }

    pub(super) fn hangs(&self, now: Time) -> bool {
        now < self.hung_until.get()
    }
}

impl World {
    /// Adds a machine that has booted.
    pub fn boot(self: &Rc<Self>, zone: &str) -> Rc<Worker> {
        self.boot_after(zone, 0.0)
    }

    /// Adds a machine that boots for `boot_s` seconds.
    pub(super) fn boot_after(self: &Rc<Self>, zone: &str, boot_s: f64) -> Rc<Worker> {
        let number = self.checks.next_machine();
        let name = format!("i-{number:03}");
        let mut fake = FakeWorker::new(&name, "small", zone);
        let address = host_address(number as u8, 9000);
        fake.heartbeat.addr = address.to_string();
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
            completion_times: RefCell::default(),
            up_at: now + boot_s,
            removed: Cell::new(false),
            hung_until: Cell::new(0.0),
            replies_lost_until: Cell::new(0.0),
            heartbeats_blocked_until: Cell::new(0.0),
            commands_held_until: Cell::new(0.0),
            executed_commands: RefCell::default(),
            sent_heartbeats: RefCell::default(),
            heartbeats_held_until: Cell::new(0.0),
        });
        self.workers.borrow_mut().insert(name, worker.clone());
        let (world, serving_worker) = (self.clone(), worker.clone());
        let handler = Rc::new(move |request: Request| {
            let (world, worker) = (world.clone(), serving_worker.clone());
            Box::pin(async move { world.receive_direct_commands(&worker, &request).await }) as _
        });
        self.serve(address, handler);
        self.services.spawn(self.clone().run_tasks(worker.clone()));
        self.services
            .spawn(self.clone().send_heartbeats(worker.clone()));
        worker
    }

    /// Removes a machine and all tasks on it. Returns whether the machine existed.
    pub fn remove(&self, name: &str) -> bool {
        let worker = self.workers.borrow_mut().remove(name);
        worker.inspect(|worker| worker.removed.set(true)).is_some()
    }

    /// Starts a new agent epoch after the lease has expired, and completes tasks at the end of their run time.
    async fn run_tasks(self: Rc<Self>, worker: Rc<Worker>) {
        while !worker.removed.get() {
            self.runtime.sleep(TICK_S).await;
            let now = self.now();
            if worker.hangs(now) || now < worker.up_at {
                continue;
            }
            self.check_lease(&worker);
            let mut fake = worker.fake.borrow_mut();
            for status in &mut fake.heartbeat.tasks {
                let key = (status.task.clone(), status.attempt);
                let has_completed = worker
                    .completion_times
                    .borrow()
                    .get(&key)
                    .is_some_and(|completion_time| *completion_time <= now);
                if status.state == TaskState::Running && has_completed {
                    status.state = TaskState::Exited;
                    status.exit_reason = Some(ExitReason::Done);
                    self.checks.on_task_completed(&status.task);
                    worker.schedule_heartbeat(now);
                }
            }
        }
    }

    /// If the lease has expired, drops all tasks and starts a new agent epoch.
    fn check_lease(&self, worker: &Worker) {
        if !worker.has_lease() {
            self.restart(worker);
        }
    }

    /// Ends all tasks on a machine and starts a new agent epoch.
    pub fn restart(&self, worker: &Worker) {
        let now = self.now();
        let mut fake = worker.fake.borrow_mut();
        fake.heartbeat.agent_epoch += 1;
        fake.heartbeat.tasks.clear();
        worker.completion_times.borrow_mut().clear();
        worker.lease_from.set(now);
        worker.heartbeat_at.set(now);
    }

    /// Sends heartbeats until the machine is removed. After a failure, the worker tries the next controller.
    async fn send_heartbeats(self: Rc<Self>, worker: Rc<Worker>) {
        loop {
            let now = self.now();
            if worker.removed.get() {
                return;
            }
            if worker.hangs(now) || now < worker.heartbeat_at.get() {
                self.runtime.sleep(TICK_S / 5.0).await;
                continue;
            }
            self.check_lease(&worker);
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
            let reply = self.deliver_heartbeat(node, &heartbeat).await;
            let reply_lost =
                self.now() < worker.replies_lost_until.get() || worker.hangs(self.now());
            if reply_lost {
                self.runtime
                    .sleep((now + REPLY_TIMEOUT_S - self.now()).max(0.0))
                    .await;
            }
            match reply.filter(|_| !reply_lost) {
                Some((200, body)) => self.receive_reply(&worker, &heartbeat, now, &body),
                Some((421, body)) => {
                    let redirect: serde_json::Value = serde_json::from_slice(&body).unwrap();
                    let named_node = redirect["ReportsTo"]
                        .as_str()
                        .and_then(|n| n[1..].parse().ok());
                    let named_node = named_node.filter(|n| *n != node);
                    worker.node.set(named_node.unwrap_or(next));
                    let pause_s = if named_node.is_some() { 0.1 } else { RETRY_S };
                    worker.heartbeat_at.set(self.now() + pause_s);
                }
                _ => {
                    worker.node.set(next);
                    worker.heartbeat_at.set(self.now() + RETRY_S);
                }
            }
        }
    }

    /// Delivers a heartbeat to a controller. Returns the status and body of the reply, or None if there was none.
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

    /// Renews the lease from the time at which the heartbeat was sent, and executes the commands of the reply. Ignores
    /// a reply to an earlier agent epoch or from a deposed leader.
    fn receive_reply(
        &self,
        worker: &Rc<Worker>,
        heartbeat: &Heartbeat,
        sent_at: Time,
        body: &[u8],
    ) {
        let reply: HeartbeatReply = serde_json::from_slice(body).unwrap();
        let (agent_epoch, fencing_token) = {
            let fake = worker.fake.borrow();
            (fake.heartbeat.agent_epoch, fake.heartbeat.fencing_token)
        };
        if agent_epoch != heartbeat.agent_epoch
            || reply.fencing_token < fencing_token
            || worker.removed.get()
        {
            return;
        }
        worker.lease_from.set(worker.lease_from.get().max(sent_at));
        if reply.fencing_token > fencing_token {
            worker.schedule_heartbeat(self.now());
        }
        self.execute(worker, reply.fencing_token, &reply.commands);
    }

    /// Answers a request with direct commands, and injects the faults that affect it. Rejects commands of a deposed
    /// leader and those for another agent epoch.
    async fn receive_direct_commands(&self, worker: &Rc<Worker>, request: &Request) -> Response {
        let command_request: DirectCommandBody = serde_json::from_slice(&request.body).unwrap();
        if self.now() < worker.replies_lost_until.get() {
            self.runtime.sleep(REPLY_TIMEOUT_S * 10.0).await;
            return Response::error(503, "lost");
        }
        let sender = self
            .state
            .leaders
            .borrow()
            .get(&command_request.fencing_token)
            .copied();
        loop {
            let now = self.now();
            let partitioned = sender.is_some_and(|node| self.is_partitioned(&worker.zone, node));
            if !(partitioned
                || worker.hangs(now)
                || now < worker.commands_held_until.get()
                || now < worker.up_at)
            {
                break;
            }
            self.runtime.sleep(TICK_S).await;
        }
        if worker.removed.get() {
            return Response::error(503, "gone");
        }
        let response = self.execute_direct_commands(worker, &command_request);
        if response.status == 200 {
            worker.executed_commands.borrow_mut().push(command_request);
        }
        response
    }

    fn execute_direct_commands(
        &self,
        worker: &Rc<Worker>,
        request: &DirectCommandBody,
    ) -> Response {
        self.check_lease(worker);
        {
            let mut fake = worker.fake.borrow_mut();
            let heartbeat = &mut fake.heartbeat;
            heartbeat.sequence += 1;
            if request.fencing_token < heartbeat.fencing_token
                || request.agent_epoch != heartbeat.agent_epoch
            {
                return Response::json(409, &*heartbeat);
            }
        }
        self.execute(worker, request.fencing_token, &request.commands);
        Response::json(200, &worker.fake.borrow().heartbeat)
    }

    /// Returns whether a worker has executed and answered a direct command that starts the task `name`.
    pub fn was_launched_directly(worker: &Worker, name: &str) -> bool {
        let executed = worker.executed_commands.borrow();
        let mut commands = executed.iter().flat_map(|body| &body.commands);
        commands.any(|command| matches!(command, Command::Launch { task, .. } if task == name))
    }

    /// Delivers a copy of the start commands among the direct commands that a worker has executed and answered. Nobody
    /// gets the answers.
    pub fn repeat_direct_launches(&self, worker: &Rc<Worker>) {
        if worker.removed.get() || worker.hangs(self.now()) {
            return;
        }
        let executed: Vec<DirectCommandBody> = worker.executed_commands.borrow().clone();
        for mut copy in executed {
            copy.commands
                .retain(|command| matches!(command, Command::Launch { .. }));
            if !copy.commands.is_empty() {
                self.execute_direct_commands(worker, &copy);
            }
        }
    }

    /// Ends all tasks on a machine that is back at once, in the agent epoch that it was in.
    pub fn restart_in_same_epoch(&self, worker: &Worker) {
        self.restart(worker);
        worker.fake.borrow_mut().heartbeat.agent_epoch -= 1;
    }

    /// Ends all tasks on a machine that is back at once and begins anew, as if its worker had never run before.
    pub fn restart_anew(&self, worker: &Worker) {
        self.restart(worker);
        let heartbeat = &mut worker.fake.borrow_mut().heartbeat;
        heartbeat.agent_epoch = 1;
        heartbeat.sequence = 0;
        heartbeat.fencing_token = 0;
    }

    /// Executes commands, and plans the run of each task that starts.
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
                    self.gangs.wait_for_peers(worker, task, *attempt);
                } else {
                    let key = (task.clone(), *attempt);
                    let run_time_s = self.checks.run_time_s(task);
                    worker
                        .completion_times
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
