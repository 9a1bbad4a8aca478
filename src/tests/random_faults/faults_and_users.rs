//! Random faults, and the jobs that users submit and cancel.

use serde_json::value::to_raw_value;

use super::*;

impl World {
    /// Draws whether a fault of this probability occurs. After the fault phase no fault occurs and nothing is drawn.
    pub(super) fn fault_occurs(&mut self, probability: f64) -> bool {
        self.now < FAULT_PHASE_S && self.chance(probability)
    }

    /// Adds a machine; returns its name.
    pub(super) fn boot_machine(&mut self, zone: &str, type_name: &str, spot: bool) -> String {
        self.machines_booted += 1;
        let name = format!("i-{:03}", self.machines_booted);
        let mut fake = FakeWorker::new(&name, type_name, zone);
        fake.heartbeat.spot = spot;
        let worker = Worker {
            fake,
            attempt_times: BTreeMap::new(),
            node_index: 0,
            lease_renewed_at: self.now,
            next_heartbeat_at: self.now,
            awaited_reply: None,
            hung_until: 0.0,
            replies_lost_until: 0.0,
            tasks_fail: self.deployment_kind == DeploymentKind::Mixed && self.chance(0.08),
            preempted_at: None,
        };
        self.workers.insert(name.clone(), worker);
        name
    }

    /// May start faults of a node, a machine, the state service and the network between zones.
    pub(super) fn inject_faults(&mut self) {
        if self.now >= FAULT_PHASE_S {
            return;
        }
        let node_index = self.rng.random_range(0..NODES);
        if self.chance(0.004) {
            // The controller crashes and restarts after up to 10 s.
            self.nodes[node_index] = Node {
                down_until: self.now + self.rng.random_range(0.1..10.0),
                ..Node::default()
            };
        }
        if self.chance(0.004) {
            let until = self.now + self.rng.random_range(1.0..25.0);
            self.nodes[node_index].paused_until = until;
        }
        if self.chance(0.002) {
            self.outage_until = self.now + self.rng.random_range(2.0..15.0);
        }
        if self.deployment_kind == DeploymentKind::Short
            && self.partition_until < self.now
            && self.chance(0.006)
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
            let machine_hangs = self.chance(0.5);
            if let Some(worker) = self.workers.get_mut(&name) {
                *(if machine_hangs {
                    &mut worker.hung_until
                } else {
                    &mut worker.replies_lost_until
                }) = until;
            }
        }
        if self.chance(0.004)
            && let Some(worker) = self.workers.get_mut(&name)
        {
            // The worker restarts at once, without tasks.
            worker.start_next_agent_epoch(self.now);
        }
        if self.chance(0.002) && names.len() > 3 {
            // The machine is lost.
            self.workers.remove(&name);
        }
        if self.deployment_kind == DeploymentKind::Mixed {
            self.preempt_spot_machines(&name);
        }
    }

    /// May send a preemption notice to a machine if it is a spot machine. Removes the machines whose notice period has
    /// elapsed.
    fn preempt_spot_machines(&mut self, name: &str) {
        let now = self.now;
        let sends_notice = self.chance(0.02);
        let notice_s = self.random_between(5.0, 30.0);
        if let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|worker| sends_notice && worker.fake.heartbeat.spot)
        {
            worker.preempted_at.get_or_insert(now + notice_s);
        }
        for worker in self.workers.values_mut() {
            worker.fake.heartbeat.preemption_notice_s = worker.preempted_at.map(|at| at - now);
        }
        self.workers
            .retain(|_, worker| worker.preempted_at.is_none_or(|at| at > now));
    }

    /// Draws the priority, class, machine requirements, checkpoints, dependencies and deadline of a job of the mixed
    /// deployment.
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
        spec.estimate_s = self.random_between(3.0, 40.0);
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
        // Each combination of machine types, zone and spot gets its own class name. Jobs of the same name with
        // different requirements would form classes that can be equal in all sort keys, and the order of those is
        // unspecified.
        spec.class = format!(
            "{}-{:?}-{:?}-{}",
            spec.class, spec.types, spec.zone, spec.spot
        );
        let recent_jobs: Vec<String> = self.jobs.keys().rev().take(6).cloned().collect();
        if self.chance(0.4) && !recent_jobs.is_empty() {
            for _ in 0..self.rng.random_range(1..3) {
                let dependency = &recent_jobs[self.rng.random_range(0..recent_jobs.len())];
                if !spec.waits_on.contains(dependency) {
                    spec.waits_on.push(dependency.clone());
                }
            }
        }
        if self.chance(0.3) {
            spec.deadline_s = Some(self.random_between(30.0, 200.0));
        }
    }

    /// May submit a job, and may cancel one.
    pub(super) fn run_users(&mut self) {
        if self.now >= FAULT_PHASE_S {
            return;
        }
        let is_short = self.deployment_kind == DeploymentKind::Short;
        if self.chance(if is_short { 0.15 } else { 0.05 }) {
            let id = format!("j-{:04}", self.jobs.len() + 1);
            let is_gang = !is_short && self.chance(0.3);
            // Exclusive limit: 4 for gangs, 12 for arrays, 24 where the deployment has no gangs.
            let tasks_limit = [4, 12, 24][usize::from(!is_gang) + usize::from(is_short)];
            let tasks = self.rng.random_range(1..tasks_limit);
            let mut spec = job(&id, tasks);
            if is_gang {
                spec.kind = JobKind::Gang;
                spec.cpus = 6.0;
                spec.one_zone = self.chance(0.5);
            }
            if self.chance(0.5) {
                spec.team = "red".into();
            }
            if self.deployment_kind == DeploymentKind::Mixed {
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
            let revision = self.store.revision;
            self.replica.apply(&keys::job(&id), Some(&value), revision);
            self.jobs.insert(id.clone(), spec);
            for node_index in 0..NODES {
                let delay_s = self.random_between(0.05, 1.0);
                let id = id.clone();
                self.send(delay_s, Message::Job { node_index, id });
            }
            self.notify_readiness();
        }
        if self.chance(0.008) && !self.jobs.is_empty() {
            let job_index = self.rng.random_range(0..self.jobs.len());
            let id = self.jobs.keys().nth(job_index).cloned().unwrap_or_default();
            if !self.store.keys.contains_key(&keys::job_end(&id)) {
                let record = EndRecord {
                    end: JobEnd::Cancelled,
                    tasks_done: 0,
                    ended_unix_ms: None,
                };
                self.store.put(keys::job_end(&id), &record);
                self.cancelled_at.insert(id.clone(), self.now);
                self.record_end(&id, record);
            }
        }
    }

    /// Shows the end of a job to the replica and the nodes. Records a violation if the job had ended before, or if it
    /// is done although one of its tasks never completed.
    pub(super) fn record_end(&mut self, id: &str, record: EndRecord) {
        if self.job_ends.insert(id.to_owned(), record.end).is_some() {
            self.violations.push(format!("{id} ended twice"));
        }
        let value = to_raw_value(&record).unwrap();
        let revision = self.store.revision;
        self.replica
            .apply(&keys::job_end(id), Some(&value), revision);
        let tasks = self.jobs[id].tasks;
        if record.end == JobEnd::Done
            && let Some(task) =
                (0..tasks).find(|task| !self.completed_tasks.contains(&format!("{id}/{task}")))
        {
            self.violations.push(format!(
                "{id} is done, but task {id}/{task} never completed"
            ));
        }
        for node_index in 0..NODES {
            let delay_s = self.random_between(0.05, 1.0);
            let id = id.to_owned();
            self.send(
                delay_s,
                Message::JobEnd {
                    node_index,
                    id,
                    record,
                },
            );
        }
        self.notify_readiness();
    }

    /// Sends all nodes the jobs that became ready and those with a cancelled dependency.
    fn notify_readiness(&mut self) {
        let changes = self.replica.take_readiness_changes(self.now);
        for node_index in 0..NODES {
            for id in changes.ready.iter().map(|id| id.to_string()) {
                let delay_s = self.random_between(0.05, 1.0);
                self.send(delay_s, Message::Ready { node_index, id });
            }
            for id in changes.cancelled.iter().map(|id| id.to_string()) {
                let delay_s = self.random_between(0.05, 1.0);
                self.send(delay_s, Message::DependencyCancelled { node_index, id });
            }
        }
    }
}
