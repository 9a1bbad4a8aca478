//! Injected faults, and what users do meanwhile.

use serde_json::value::to_raw_value;

use super::*;

impl World {
    /// Draws a fault that occurs only during the fault phase.
    pub(super) fn fault(&mut self, p: f64) -> bool {
        self.now < FAULTS_S && self.chance(p)
    }

    pub(super) fn boot(&mut self, zone: &str, type_name: &str, spot: bool) -> String {
        self.booted += 1;
        let name = format!("i-{:03}", self.booted);
        let mut fake = FakeWorker::new(&name, type_name, zone);
        fake.heartbeat.spot = spot;
        let worker = Worker {
            fake,
            times: BTreeMap::new(),
            node: 0,
            lease_from: self.now,
            heartbeat_at: self.now,
            waiting: None,
            hung_until: 0.0,
            replies_lost_until: 0.0,
            fails: self.platform == Platform::Mixed && self.chance(0.08),
            preempted_at: None,
        };
        self.workers.insert(name.clone(), worker);
        name
    }

    pub(super) fn inject_faults(&mut self) {
        if self.now >= FAULTS_S {
            return;
        }
        let node = self.rng.random_range(0..NODES);
        if self.chance(0.004) {
            // A crash, with a restart at once or later.
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
        if self.platform == Platform::Short && self.partition_until < self.now && self.chance(0.006)
        {
            self.partition_until = self.now + self.rng.random_range(2.0..45.0);
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
                    &mut w.hung_until
                } else {
                    &mut w.replies_lost_until
                }) = until;
            }
        }
        if self.chance(0.004)
            && let Some(w) = self.workers.get_mut(&name)
        {
            // The worker restarts at once without tasks.
            w.end_agent_epoch(self.now);
        }
        if self.chance(0.002) && names.len() > 3 {
            self.workers.remove(&name);
        }
        if self.platform == Platform::Mixed {
            self.preempt_spot_machines(&name);
        }
    }

    /// The cloud sends preemption notices for spot machines and removes those whose notice has elapsed.
    fn preempt_spot_machines(&mut self, name: &str) {
        let now = self.now;
        let given = self.chance(0.02);
        let notice_s = self.within(5.0, 30.0);
        if let Some(w) = self
            .workers
            .get_mut(name)
            .filter(|w| given && w.fake.heartbeat.spot)
        {
            w.preempted_at.get_or_insert(now + notice_s);
        }
        for w in self.workers.values_mut() {
            w.fake.heartbeat.preemption_notice_s = w.preempted_at.map(|at| at - now);
        }
        self.workers
            .retain(|_, w| w.preempted_at.is_none_or(|at| at > now));
    }

    /// Varies a job for the mixed platform.
    fn vary_job(&mut self, spec: &mut Submission) {
        spec.priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][self.rng.random_range(0..4)];
        spec.spot = self.chance(0.6);
        spec.class = ["sums", "films", "maps"][self.rng.random_range(0..3)].into();
        spec.image = ["img", "img-2", "img-3"][self.rng.random_range(0..3)].into();
        spec.estimate_s = self.within(3.0, 40.0);
        if self.chance(0.4) {
            (spec.checkpoint_s, spec.save_s) = (10.0, 2.0);
        }
        match self.rng.random_range(0..8) {
            0 => spec.zone = Some("south".into()),
            1 => spec.types = Some(vec!["big".into()]),
            2 => spec.spread = !spec.one_zone,
            3 if spec.kind == JobKind::Array => (spec.cpus, spec.tasks) = (40.0, 1),
            _ => {}
        }
        // Jobs of one class are alike in the machines that they may use: classes that tie in all sort keys are
        // handled in no particular order.
        spec.class = format!(
            "{}-{:?}-{:?}-{}",
            spec.class, spec.types, spec.zone, spec.spot
        );
        let earlier: Vec<String> = self.jobs.keys().rev().take(6).cloned().collect();
        if self.chance(0.4) && !earlier.is_empty() {
            for _ in 0..self.rng.random_range(1..3) {
                let need = &earlier[self.rng.random_range(0..earlier.len())];
                if !spec.waits_on.contains(need) {
                    spec.waits_on.push(need.clone());
                }
            }
        }
        if self.chance(0.3) {
            spec.deadline_s = Some(self.within(30.0, 200.0));
        }
    }

    pub(super) fn run_users(&mut self) {
        if self.now >= FAULTS_S {
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
                spec.kind = JobKind::Gang;
                spec.cpus = 6.0;
                spec.one_zone = self.chance(0.5);
            }
            if self.chance(0.5) {
                spec.team = "red".into();
            }
            if self.platform == Platform::Mixed {
                self.vary_job(&mut spec);
            }
            self.store.submit(&spec);
            let record = JobRecord {
                spec: spec.clone(),
                submitted_unix_ms: None,
                dependency_parts: 0,
                charged_to: None,
            };
            let value = to_raw_value(&record).unwrap();
            let version = self.store.revision;
            self.view.apply(&keys::job(&id), Some(&value), version);
            self.jobs.insert(id.clone(), spec);
            for node in 0..NODES {
                let after = self.within(0.05, 1.0);
                let id = id.clone();
                self.send(after, Message::Job { node, id });
            }
            self.notify_readiness();
        }
        if self.chance(0.008) && !self.jobs.is_empty() {
            let at = self.rng.random_range(0..self.jobs.len());
            let id = self.jobs.keys().nth(at).cloned().unwrap_or_default();
            if !self.store.keys.contains_key(&keys::job_end(&id)) {
                let record = EndRecord {
                    end: JobEnd::Cancelled,
                    tasks_done: 0,
                    ended_unix_ms: None,
                };
                self.store.put(keys::job_end(&id), &record);
                self.cancelled.insert(id.clone(), self.now);
                self.record_end(&id, record);
            }
        }
    }

    pub(super) fn record_end(&mut self, id: &str, record: EndRecord) {
        if self.ends.insert(id.to_owned(), record.end).is_some() {
            self.violations.push(format!("{id}: ended twice"));
        }
        let value = to_raw_value(&record).unwrap();
        let version = self.store.revision;
        self.view.apply(&keys::job_end(id), Some(&value), version);
        let tasks = self.jobs[id].tasks;
        if record.end == JobEnd::Done
            && let Some(task) = (0..tasks).find(|t| !self.done.contains(&format!("{id}/{t}")))
        {
            self.violations.push(format!("{id}/{task}: not done"));
        }
        for node in 0..NODES {
            let after = self.within(0.05, 1.0);
            let id = id.to_owned();
            self.send(after, Message::JobEnd { node, id, record });
        }
        self.notify_readiness();
    }

    /// Sends leaders the jobs whose dependencies are done, and those cancelled with a dependency.
    fn notify_readiness(&mut self) {
        let changes = self.view.take_readiness_changes(self.now);
        for node in 0..NODES {
            for id in changes.ready.iter().map(|id| id.to_string()) {
                let after = self.within(0.05, 1.0);
                self.send(after, Message::Ready { node, id });
            }
            for id in changes.cancelled.iter().map(|id| id.to_string()) {
                let after = self.within(0.05, 1.0);
                self.send(after, Message::DependencyCancelled { node, id });
            }
        }
    }
}
