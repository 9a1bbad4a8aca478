//! Leader election, and the messages that leaders send.

use super::*;

impl World {
    pub(super) fn run_elections(&mut self) {
        if self.now < self.outage_until {
            // After an outage every lease has its full time again.
            if let Some((.., until)) = &mut self.leadership {
                *until = self.outage_until + self.lease_duration_s;
            }
            return;
        }
        if self.leadership.is_some_and(|(.., until)| until < self.now) {
            self.store.revision += 1;
            self.store.keys.remove(&keys::leader());
            self.leadership = None;
        }
        for at in 0..NODES {
            let node = &self.nodes[at];
            let Some(fencing_token) = node.leader.as_ref().map(|l| l.fencing_token) else {
                continue;
            };
            if node.paused_until > self.now || node.renew_at > self.now {
                continue;
            }
            let lost = self.fault(0.1);
            let (now, trusted_s, lease_duration_s) =
                (self.now, self.trusted_s, self.lease_duration_s);
            let node = &mut self.nodes[at];
            node.renew_at = now + lease_duration_s / 4.0;
            match &mut self.leadership {
                _ if lost => {}
                Some((_, t, until)) if *t == fencing_token => {
                    *until = now + lease_duration_s;
                    node.trusted_until = now + trusted_s;
                }
                _ => node.leader = None,
            }
        }
        let at = self.rng.random_range(0..NODES);
        let able = |n: &Node| n.down_until <= self.now && n.paused_until <= self.now;
        if self.leadership.is_none() && able(&self.nodes[at]) {
            let (config, host) = (self.config.clone(), format!("n{at}"));
            let mut leader = self.store.elect_with(config, &host, self.now);
            if self.disabled_guard == DisabledGuard::LeaseExpiry {
                leader.fleet.worker_lease_expiry_s = self.lease_s * 0.2;
            }
            for (name, w) in &self.workers {
                let r = &w.fake.heartbeat;
                leader
                    .fleet
                    .request_contact(name, &r.zone, &r.addr, r.agent_epoch, self.now);
            }
            self.leadership = Some((at, leader.fencing_token, self.now + self.lease_duration_s));
            self.nodes[at] = Node {
                trusted_until: self.now + self.trusted_s,
                leader: Some(leader),
                ..Node::default()
            };
        }
    }

    /// The leader's state at a node, if its term is trusted now.
    pub(super) fn acting(&mut self, at: usize) -> Option<&mut Leader> {
        let now = self.now;
        let node = &mut self.nodes[at];
        let able = node.down_until <= now && node.paused_until <= now && now < node.trusted_until;
        node.leader.as_mut().filter(|_| able)
    }

    pub(super) fn run_leader(&mut self, at: usize) {
        let now = self.now;
        let maintain = self.nodes[at].maintain_at <= now;
        let calls = self.nodes[at].cloud_at <= now;
        let writing = self.nodes[at].writing;
        let forgets = self.disabled_guard == DisabledGuard::Delegations;
        let Some(leader) = self.acting(at) else {
            return;
        };
        let fencing_token = leader.fencing_token;
        if forgets {
            leader.fleet.zones.forget_delegations();
        }
        if maintain {
            leader.maintain_fleet(now);
        }
        leader.schedule(now);
        let messages = leader.take_direct_commands(now, 1.5, 8);
        let txn = if writing {
            None
        } else {
            leader.next_transaction(now)
        };
        let call = if calls {
            leader.next_cloud_call(now)
        } else {
            None
        };
        let names: Vec<String> = messages
            .iter()
            .map(|m| leader.fleet.machines[&m.machine].name.to_string())
            .collect();
        if maintain {
            self.nodes[at].maintain_at = now + 0.5;
        }
        if calls {
            self.nodes[at].cloud_at = now + 1.0;
        }
        for (message, name) in messages.into_iter().zip(names) {
            self.digest.direct(now, fencing_token, &name, &message);
            self.send_direct(at, fencing_token, name, message);
        }
        if let Some(txn) = txn {
            self.nodes[at].writing = true;
            self.digest.transaction(now, fencing_token, &txn);
            self.send_txn(at, fencing_token, txn);
        }
        if let Some(call) = call {
            self.digest.cloud_call(now, fencing_token, &call);
            let answer = self.answer_cloud(&call);
            let failed = self.fault(0.15);
            let answer = if failed { CloudAnswer::Failed } else { answer };
            if let Some(leader) = self.acting(at) {
                leader.on_cloud_answer(call, answer, now);
            }
        }
    }

    pub(super) fn send_direct(
        &mut self,
        from: usize,
        fencing_token: u64,
        name: String,
        message: DirectCommands,
    ) {
        let lost = self.fault(0.05);
        let partition_delay_s = self.partition_delay_s(from, &name);
        let late = self.fault(0.08) || partition_delay_s > 0.0;
        let copied = self.fault(0.15);
        let machine = message.machine;
        let direct = |expects_reply| Message::DirectCommands {
            from,
            fencing_token,
            name: name.clone(),
            message: message.clone(),
            expects_reply,
        };
        let (original, copy) = (direct(true), direct(false));
        if lost || late {
            let outcome = DirectCommandOutcome::Unknown;
            self.send(
                DIRECT_TIMEOUT_S,
                Message::DirectOutcome {
                    node: from,
                    fencing_token,
                    machine,
                    outcome,
                },
            );
        } else {
            let after = self.within(0.01, 0.4);
            self.send(after, original);
        }
        if late || copied {
            let after = partition_delay_s + self.within(1.0, 60.0);
            self.send(after, copy);
        }
    }

    pub(super) fn send_txn(&mut self, node: usize, fencing_token: u64, txn: Rc<Txn>) {
        let lost = self.fault(0.05);
        let late = self.fault(0.05);
        let copied = self.fault(0.15);
        let write = |expects_reply| Message::Transaction {
            node,
            fencing_token,
            txn: txn.clone(),
            expects_reply,
        };
        let (original, copy) = (write(true), write(false));
        if lost || late {
            let outcome = TxnOutcome::Unknown;
            self.send(
                1.0,
                Message::TransactionOutcome {
                    node,
                    fencing_token,
                    outcome,
                },
            );
        } else {
            let after = self.within(0.01, 0.3);
            self.send(after, original);
        }
        if late || copied {
            let after = self.within(0.5, 60.0);
            self.send(after, copy);
        }
    }

    pub(super) fn answer_cloud(&mut self, call: &CloudCall) -> CloudAnswer {
        match call {
            CloudCall::Types => CloudAnswer::Failed,
            CloudCall::List { .. } => {
                let listed = self.workers.iter().map(|(name, w)| ListedMachine {
                    id: name.clone(),
                    addr: w.fake.heartbeat.addr.clone(),
                    type_name: w.fake.heartbeat.type_name.clone(),
                    zone: w.fake.heartbeat.zone.clone(),
                    spot: w.fake.heartbeat.spot,
                    state: MachineState::Running,
                    age_s: self.now,
                });
                CloudAnswer::List(listed.collect(), false)
            }
            CloudCall::Rent(RentRequest { request, .. }, _)
                if self.rented.contains_key(request) =>
            {
                CloudAnswer::Rented(self.rented[request].clone())
            }
            CloudCall::Rent(rent, _) => {
                let room = self.platform.machines().saturating_sub(self.workers.len());
                if room == 0 || (rent.type_name != "small" && self.platform != Platform::Mixed) {
                    return CloudAnswer::NoCapacity;
                }
                let count = room.min(rent.count as usize);
                let names: Vec<String> = (0..count)
                    .map(|_| self.boot(&rent.zone, &rent.type_name, rent.spot))
                    .collect();
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
}
