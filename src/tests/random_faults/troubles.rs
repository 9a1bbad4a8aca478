//! Which troubles come, and what users do meanwhile.

use super::*;

impl World {
    /// Something that happens in trouble only.
    pub(super) fn trouble(&mut self, p: f64) -> bool {
        self.now < TROUBLE_S && self.chance(p)
    }

    pub(super) fn boot(&mut self, zone: &str) -> String {
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

    pub(super) fn make_trouble(&mut self) {
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

    pub(super) fn let_users_act(&mut self) {
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

    pub(super) fn note_end(&mut self, id: &str, record: EndRecord) {
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
}
