//! Several controllers on one store, with faults of the messages between controllers and store.

use std::rc::Rc;

use quota::{AccountChange, Decision, OwnerRecord, QuotaAmount, QuotaSettings};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::checker::Totals;
use super::controller::{Controller, Purpose};
use super::store::{Change, JobRecord, Key, Outcome, Store, Txn};

/// Maximum number of heartbeat rounds within which a job must be admitted if units for it are available.
const ROUNDS_MAX: u32 = 100;

/// A transaction in flight to the store, or its response in flight to the controller.
struct Message {
    due: f64,
    controller: usize,
    incarnation: u64,
    purpose: Purpose,
    txn: Txn,
    /// The response in flight; None while the transaction has not reached the store.
    response: Option<Outcome>,
    /// The controller no longer waits for the response.
    is_abandoned: bool,
}

pub struct World {
    pub store: Store,
    pub controllers: Vec<Controller>,
    pub settings: Rc<QuotaSettings>,
    pub rng: StdRng,
    pub now: f64,
    messages: Vec<Message>,
    /// Probability of each fault of a transaction: it is applied late, it is repeated late, its response is lost.
    pub fault_probability: f64,
    next_incarnation: u64,
    next_job: u64,
    /// Number of transfers sent.
    pub transfers: u32,
    pub admitted: u32,
    pub refused: u32,
    /// By controller, whether it is stopped.
    pub is_stopped: Vec<bool>,
}

impl World {
    pub fn new(seed: u64, controllers: usize, settings: Rc<QuotaSettings>) -> Self {
        let mut world = World {
            store: Store::default(),
            controllers: Vec::new(),
            settings: settings.clone(),
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            messages: Vec::new(),
            fault_probability: 0.0,
            next_incarnation: 1,
            next_job: 0,
            transfers: 0,
            admitted: 0,
            refused: 0,
            is_stopped: vec![false; controllers],
        };
        for controller_index in 0..controllers {
            world.controllers.push(Controller::start(
                &format!("n{controller_index}"),
                controller_index as u64 + 1,
                controllers,
                settings.clone(),
            ));
            world.restart(controller_index);
        }
        world.elect(0);
        world.run_until_idle();
        world
    }

    /// Replaces a controller with a new incarnation, which reads all records.
    pub fn restart(&mut self, controller_index: usize) {
        self.next_incarnation += 1;
        let name = format!("n{controller_index}");
        let count = self.controllers.len();
        let settings = self.settings.clone();
        let mut controller = Controller::start(&name, self.next_incarnation, count, settings);
        controller.reload(&self.store, self.store.history.len());
        let owner = OwnerRecord {
            incarnation: self.next_incarnation,
        };
        let change = AccountChange::Owner(name.as_str().into(), Some(owner));
        self.write(vec![Change::Account(change)]);
        controller.fencing_token = None;
        self.controllers[controller_index] = controller;
        self.is_stopped[controller_index] = false;
        for message in &mut self.messages {
            message.is_abandoned |= message.controller == controller_index;
        }
    }

    /// Stops a controller and expires its lease in the store.
    pub fn stop(&mut self, controller_index: usize) {
        self.is_stopped[controller_index] = true;
        self.controllers[controller_index].fencing_token = None;
        let name: Rc<str> = format!("n{controller_index}").as_str().into();
        self.write(vec![Change::Account(AccountChange::Owner(name, None))]);
        for message in &mut self.messages {
            message.is_abandoned |= message.controller == controller_index;
        }
    }

    pub fn elect(&mut self, controller_index: usize) {
        for controller in &mut self.controllers {
            controller.fencing_token = None;
        }
        let revision = self.write(vec![Change::Leader(controller_index)]);
        self.controllers[controller_index].fencing_token = Some(revision);
    }

    pub fn write(&mut self, changes: Vec<Change>) -> u64 {
        let txn = Txn {
            conditions: Vec::new(),
            changes,
        };
        self.store.apply(&txn);
        self.store.revision
    }

    fn send(&mut self, controller_index: usize, (txn, purpose): (Txn, Purpose)) {
        if matches!(purpose, Purpose::Transfer(_)) {
            self.transfers += 1;
        }
        let late = self.rng.random_bool(self.fault_probability);
        let delay = if late {
            self.rng.random_range(1.0..40.0)
        } else {
            self.rng.random_range(0.0..0.1)
        };
        let mut message = Message {
            due: self.now + delay,
            controller: controller_index,
            incarnation: self.controllers[controller_index].incarnation,
            purpose,
            txn,
            response: None,
            is_abandoned: late,
        };
        if late {
            // The controller stops waiting, without knowing the outcome.
            let purpose = message.purpose.clone();
            self.controllers[controller_index].on_response(&purpose, None, self.now);
        } else if self.rng.random_bool(self.fault_probability) {
            let due = self.now + self.rng.random_range(0.0..40.0);
            self.messages.push(Message {
                due,
                controller: controller_index,
                incarnation: message.incarnation,
                purpose: message.purpose.clone(),
                txn: message.txn.clone(),
                response: None,
                is_abandoned: true,
            });
        }
        message.is_abandoned = late;
        self.messages.push(message);
    }

    fn deliver(&mut self, mut message: Message) {
        let controller_index = message.controller;
        let awaits_response = !message.is_abandoned
            && self.controllers[controller_index].incarnation == message.incarnation;
        if let Some(outcome) = message.response {
            if awaits_response {
                let applied = Some(outcome == Outcome::Applied);
                self.controllers[controller_index].on_response(&message.purpose, applied, self.now);
            }
            return;
        }
        let outcome = self.store.apply(&message.txn);
        if !awaits_response {
            return;
        }
        if self.rng.random_bool(self.fault_probability) {
            self.controllers[controller_index].on_response(&message.purpose, None, self.now);
            return;
        }
        message.response = Some(outcome);
        message.due = self.now + self.rng.random_range(0.0..0.1);
        self.messages.push(message);
    }

    /// Advances the time and delivers messages when they are due.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let due = |message: &Message| message.due;
            let next = (0..self.messages.len())
                .min_by(|a, b| due(&self.messages[*a]).total_cmp(&due(&self.messages[*b])))
                .filter(|index| self.messages[*index].due <= until);
            let Some(index) = next else {
                break;
            };
            let message = self.messages.swap_remove(index);
            self.now = self.now.max(message.due);
            self.deliver(message);
        }
        self.now = until;
    }

    pub fn running_controllers(&self) -> Vec<usize> {
        (0..self.controllers.len())
            .filter(|controller_index| !self.is_stopped[*controller_index])
            .collect()
    }

    /// Submits a new job of a team at a controller. A refill or the creation is sent as a message and applied later.
    pub fn submit(&mut self, controller_index: usize, team: &str, charge: QuotaAmount) -> Rc<str> {
        self.next_job += 1;
        let id: Rc<str> = format!("j-{}", self.next_job).as_str().into();
        self.submit_as(controller_index, &id, team, charge);
        id
    }

    pub fn submit_as(
        &mut self,
        controller_index: usize,
        id: &str,
        team: &str,
        charge: QuotaAmount,
    ) -> Decision {
        let now = self.now;
        let (decision, creation) = self.controllers[controller_index].submit(id, team, charge, now);
        match &decision {
            Decision::Admitted(_) => self.admitted += 1,
            Decision::NeedsRefill => {
                if let Some(refill) = self.controllers[controller_index].refill(team, charge, now) {
                    self.send(controller_index, refill);
                }
            }
            _ => self.refused += 1,
        }
        if let Some(creation) = creation {
            self.send(controller_index, creation);
        }
        decision
    }

    /// Stored jobs that have not ended.
    pub fn active_jobs(&self) -> Vec<(Rc<str>, JobRecord)> {
        let jobs = self
            .store
            .values
            .values()
            .filter_map(|(change, _)| match change {
                Change::Job(id, Some(job)) => Some((id.clone(), job.clone())),
                _ => None,
            });
        jobs.filter(|(id, _)| !self.store.values.contains_key(&Key::End(id.clone())))
            .collect()
    }

    /// Stores the end of a job: true for done, false for cancelled.
    pub fn finish(&mut self, id: &Rc<str>, done: bool) {
        self.write(vec![Change::End(id.clone(), done)]);
    }

    /// Deletes the record of an ended job.
    pub fn delete_job_record(&mut self, id: &Rc<str>) {
        self.write(vec![Change::Job(id.clone(), None)]);
    }

    /// Ended jobs whose records are not deleted.
    fn ended_jobs_with_records(&self) -> Vec<Rc<str>> {
        let ends = self.store.values.keys().filter_map(|key| match key {
            Key::End(id) => Some(id.clone()),
            _ => None,
        });
        ends.filter(|id| self.store.values.contains_key(&Key::Job(id.clone())))
            .collect()
    }

    pub fn delete_random_job_record(&mut self) {
        let ended_jobs = self.ended_jobs_with_records();
        if let Some(id) = ended_jobs.choose(&mut self.rng).cloned() {
            self.delete_job_record(&id);
        }
    }

    pub fn delete_ended_job_records(&mut self) {
        for id in self.ended_jobs_with_records() {
            self.delete_job_record(&id);
        }
    }

    pub fn replicate(&mut self, controller_index: usize, changes: usize) {
        self.controllers[controller_index].replicate(&self.store, changes, self.now);
    }

    /// Announces the shortages of each running controller to all running ones, as heartbeats do.
    pub fn announce_shortages(&mut self) {
        let now = self.now;
        for from in self.running_controllers() {
            let name = self.controllers[from].name.clone();
            let shortages = self.controllers[from].admissions.shortages(now);
            for to in self.running_controllers() {
                for (team, amount) in &shortages {
                    let admissions = &mut self.controllers[to].admissions;
                    admissions.on_request(&name, team, *amount, now);
                }
            }
        }
    }

    /// Sends a controller's next background transaction; returns whether there is one.
    pub fn send_background_transaction(&mut self, controller_index: usize) -> bool {
        let stopped_nodes: Vec<String> = (0..self.is_stopped.len())
            .filter(|other| self.is_stopped[*other])
            .map(|other| format!("n{other}"))
            .collect();
        let now = self.now;
        let controller = &mut self.controllers[controller_index];
        let transaction = controller
            .next_background_transaction(now, |node| stopped_nodes.iter().any(|name| name == node));
        match transaction {
            Some(transaction) => {
                self.send(controller_index, transaction);
                true
            }
            None => false,
        }
    }

    /// Disables faults, delivers the messages in flight, and lets all controllers replicate the store and send their
    /// background transactions until none is left.
    pub fn run_until_idle(&mut self) {
        self.fault_probability = 0.0;
        for _ in 0..400 {
            // Longer than any delay of a message.
            self.advance(41.0);
            let mut busy = false;
            for controller_index in self.running_controllers() {
                self.replicate(controller_index, usize::MAX / 2);
                busy |= self.send_background_transaction(controller_index);
            }
            if !busy && self.messages.is_empty() {
                return;
            }
        }
        panic!("transactions or messages are left after 400 rounds");
    }

    pub fn totals(&self) -> Totals {
        Totals::of(&self.store)
    }

    /// Submits a job at a controller until it is stored. Panics if this takes more than `transfers_max` transfers or
    /// [`ROUNDS_MAX`] rounds; returns the number of transfers sent.
    pub fn admit_eventually(
        &mut self,
        controller_index: usize,
        team: &str,
        charge: QuotaAmount,
        transfers_max: u32,
    ) -> u32 {
        let before = self.transfers;
        self.next_job += 1;
        let id: Rc<str> = format!("j-{}", self.next_job).as_str().into();
        for _ in 0..ROUNDS_MAX {
            assert!(
                self.transfers - before <= transfers_max,
                "{team} at n{controller_index}: more than {transfers_max} transfers"
            );
            self.submit_as(controller_index, &id, team, charge);
            self.advance(0.3);
            self.announce_shortages();
            for controller_index in self.running_controllers() {
                self.replicate(controller_index, usize::MAX / 2);
                self.send_background_transaction(controller_index);
            }
            self.advance(0.3);
            for controller_index in self.running_controllers() {
                self.replicate(controller_index, usize::MAX / 2);
            }
            if self.controllers[controller_index].knows_job(&id) {
                return self.transfers - before;
            }
            self.now += 1.0;
        }
        panic!(
            "{team} at n{controller_index}: never admitted, used {}\n{}",
            self.totals().used(team, None),
            self.accounts()
        );
    }

    /// Units from which a controller may still admit jobs, by its own replica.
    pub fn available(&self, controller_index: usize, team: &str) -> QuotaAmount {
        let controller = &self.controllers[controller_index];
        controller.admissions.available(&controller.ledger, team)
    }

    /// Size of a controller's stored allotment.
    pub fn allotted(&self, controller_index: usize, team: &str) -> QuotaAmount {
        let key = Key::Account(quota::AccountId::Allotment {
            team: team.into(),
            node: format!("n{controller_index}").as_str().into(),
        });
        match &self.store.values[&key].0 {
            Change::Account(AccountChange::Allotment {
                record: Some(record),
                ..
            }) => record.size,
            other => panic!("{other:?}"),
        }
    }

    /// All stored accounts as text, for failure messages.
    fn accounts(&self) -> String {
        let accounts = self.store.values.iter();
        accounts
            .filter(|(key, _)| matches!(key, Key::Account(_)))
            .map(|(_, (change, revision))| format!("{revision}: {change:?}\n"))
            .collect()
    }
}
