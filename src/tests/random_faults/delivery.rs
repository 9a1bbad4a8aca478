//! Delivery of messages in flight.

use super::*;

impl World {
    pub(super) fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.messages = later;
        for (_, messages) in due {
            self.receive(messages);
        }
    }

    /// A message for a paused node waits for it; one for a node that is down is lost.
    pub(super) fn deliverable(&mut self, at: usize, messages: Message) -> Option<Message> {
        let node = &self.nodes[at];
        if node.down_until > self.now {
            return None;
        }
        if node.paused_until > self.now {
            let until = node.paused_until;
            self.messages.push((until, messages));
            return None;
        }
        Some(messages)
    }

    pub(super) fn receive(&mut self, messages: Message) {
        let now = self.now;
        let at = match &messages {
            Message::Heartbeat { node, .. }
            | Message::DirectOutcome { node, .. }
            | Message::TransactionOutcome { node, .. }
            | Message::Relay { node, .. }
            | Message::Job { node, .. }
            | Message::Ready { node, .. }
            | Message::DependencyCancelled { node, .. }
            | Message::JobEnd { node, .. } => Some(*node),
            _ => None,
        };
        let messages = match at {
            Some(at) => self.deliverable(at, messages),
            None => Some(messages),
        };
        match messages {
            None => {}
            Some(Message::Heartbeat {
                node,
                heartbeat,
                late,
            }) => self.receive_heartbeat(node, heartbeat, late),
            Some(Message::Reply {
                machine,
                number,
                given,
                redirect,
            }) => self.receive_reply(&machine, number, given, redirect),
            Some(Message::DirectCommands {
                from,
                fencing_token,
                name,
                message,
                expects_reply,
            }) => self.receive_direct_commands(from, fencing_token, name, message, expects_reply),
            Some(Message::DirectOutcome {
                node,
                fencing_token,
                machine,
                outcome,
            }) => {
                // Recorded even if the lease is not trusted at this moment.
                if let Some(leader) = self.nodes[node]
                    .leader
                    .as_mut()
                    .filter(|l| l.fencing_token == fencing_token)
                {
                    leader.on_direct_outcome(machine, outcome, now);
                }
            }
            Some(Message::Transaction {
                node,
                fencing_token,
                txn,
                expects_reply,
            }) => {
                let outcome = if now < self.outage_until {
                    TxnOutcome::Refused
                } else {
                    self.apply(&txn)
                };
                if expects_reply {
                    let lost = self.fault(0.05);
                    let outcome = if lost { TxnOutcome::Unknown } else { outcome };
                    self.send(
                        0.1,
                        Message::TransactionOutcome {
                            node,
                            fencing_token,
                            outcome,
                        },
                    );
                }
            }
            Some(Message::TransactionOutcome {
                node,
                fencing_token,
                outcome,
            }) => self.receive_transaction_outcome(node, fencing_token, outcome),
            Some(Message::Relay { node, record }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_relay(&record, now);
                }
            }
            Some(Message::Job { node, id }) => {
                let stored = self.stored_job(&id);
                // A watch delivers changes in order: an end that was delivered already was stored after this.
                let known = !self.ends.contains_key(&id);
                if let Some(leader) = self.nodes[node].leader.as_mut().filter(|_| known) {
                    leader.add_stored_job(&id.as_str().into(), &stored, now);
                }
            }
            Some(Message::Ready { node, id }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_ready(&id, now);
                }
            }
            Some(Message::DependencyCancelled { node, id }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_dependency_cancelled(&id);
                }
            }
            Some(Message::JobEnd { node, id, record }) => {
                if let Some(leader) = self.nodes[node].leader.as_mut() {
                    leader.on_end(&id, &record, now);
                }
            }
        }
    }

    /// A job as the leader's replica shows it.
    fn stored_job(&self, id: &str) -> ReplicatedJob {
        let mut stored = ReplicatedJob::default();
        stored.spec = Some(Rc::new(self.jobs[id].clone()));
        if let Some(job) = self.view.jobs.get(id) {
            stored.is_blocked = job.is_blocked;
            stored.dependency_cancelled = job.dependency_cancelled;
        }
        stored
    }

    pub(super) fn apply(&mut self, txn: &Txn) -> TxnOutcome {
        let outcome = self.store.apply(txn);
        if let TxnOutcome::Applied(_) = outcome {
            for change in &txn.changes {
                let Change::Put { key, value, .. } = change else {
                    continue;
                };
                if let Some((_, id)) = key.split_once("/end/") {
                    let record: EndRecord = serde_json::from_str(value.get()).unwrap();
                    self.record_end(id, record);
                }
            }
        }
        outcome
    }

    pub(super) fn receive_transaction_outcome(
        &mut self,
        at: usize,
        fencing_token: u64,
        outcome: TxnOutcome,
    ) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(leader) = node
            .leader
            .as_mut()
            .filter(|l| l.fencing_token == fencing_token)
        else {
            return;
        };
        node.writing = false;
        match leader.on_transaction_outcome(outcome, now) {
            AfterTransaction::Continue | AfterTransaction::Retry => {}
            AfterTransaction::ReadBack(key) => {
                let stamp = self.store.keys.get(&key).map_or(0, |(_, stamp)| *stamp);
                leader.on_read_back(stamp, now);
            }
            AfterTransaction::LeadershipLost => {
                if self.leadership.is_some_and(|(_, t, _)| t == fencing_token) {
                    self.violations
                        .push("gave up an office that it held".into());
                }
                node.leader = None;
            }
        }
    }

    pub(super) fn receive_heartbeat(&mut self, at: usize, mut heartbeat: Heartbeat, late: bool) {
        let now = self.now;
        let leader_node = self.leadership.map(|(node, ..)| node).filter(|n| *n != at);
        let forged = self.disabled_guard == DisabledGuard::LateCopies && late;
        let Some(leader) = self.acting(at) else {
            if let Some(fencing_token) = self.delegated_token(at, &heartbeat) {
                let commands = self.reply_as_delegate(&heartbeat, fencing_token);
                return self.reply(at, &heartbeat, Some((fencing_token, commands)), None);
            }
            return self.reply(at, &heartbeat, None, leader_node);
        };
        if forged {
            let known = leader.fleet.find(&heartbeat.machine);
            if let Some(m) = known.and_then(|index| leader.fleet.machines.get(&index)) {
                (heartbeat.agent_epoch, heartbeat.sequence) = (m.agent_epoch, m.sequence + 1);
            }
            heartbeat.fencing_token = leader.fencing_token;
        }
        if heartbeat.fencing_token > leader.fencing_token {
            return self.reply(at, &heartbeat, None, leader_node);
        }
        leader.record_worker_contact(now);
        let mut commands = Vec::new();
        if let Some(given) = leader.on_heartbeat(&heartbeat, HeartbeatOrigin::Periodic, now) {
            commands = given;
            leader.append_reply_commands(&heartbeat, &mut commands);
        }
        let fencing_token = leader.fencing_token;
        self.reply(at, &heartbeat, Some((fencing_token, commands)), None);
    }

    /// The fencing token under which a node may reply to a heartbeat as a delegate now, as the store shows.
    pub(super) fn delegated_token(&self, at: usize, heartbeat: &Heartbeat) -> Option<u64> {
        let (leader, fencing_token, until) = self.leadership?;
        let able = leader != at && self.now <= until && self.now >= self.outage_until;
        let in_force = |key: &str, value: &RawValue| {
            key.contains("/standin/")
                && serde_json::from_str(value.get()).is_ok_and(|r: DelegationRecord| {
                    r.fencing_token == fencing_token && r.zone == heartbeat.zone && !r.revoked
                })
        };
        let mut keys = self.store.keys.iter();
        let in_force = able && keys.any(|(key, (value, _))| in_force(key, value));
        (in_force && heartbeat.fencing_token <= fencing_token).then_some(fencing_token)
    }

    /// The commands of a delegate's reply. What the heartbeat shows is relayed to the leader, perhaps more than once.
    pub(super) fn reply_as_delegate(
        &mut self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
    ) -> Vec<Command> {
        let mut relay = Relay::new(fencing_token);
        relay.record(heartbeat);
        let record = relay.take_record(&heartbeat.zone, usize::MAX);
        let node = self.leadership.map_or(0, |(node, ..)| node);
        let after = self.within(0.05, 2.0);
        if self.fault(0.2) {
            let after = self.within(1.0, 60.0);
            let record = record.clone();
            self.send(after, Message::Relay { node, record });
        }
        self.send(after, Message::Relay { node, record });
        let over = |name: &str| {
            let id = parse_task_name(name).map_or("", |(id, _)| id);
            self.store.keys.contains_key(&keys::job_end(id))
        };
        stop_commands_for_ended_jobs(heartbeat, over)
    }

    /// Seconds for which a partition still holds back messages between a node and a machine.
    pub(super) fn partition_delay_s(&self, at: usize, machine: &str) -> f64 {
        let zone = self.workers.get(machine).map(|w| &*w.fake.heartbeat.zone);
        if zone.is_some_and(|z| z != NODE_ZONES[at]) {
            (self.partition_until - self.now).max(0.0)
        } else {
            0.0
        }
    }

    pub(super) fn reply(
        &mut self,
        at: usize,
        heartbeat: &Heartbeat,
        given: Option<(u64, Vec<Command>)>,
        redirect: Option<usize>,
    ) {
        let after = if self.fault(0.05) {
            self.within(1.0, 8.0)
        } else {
            self.within(0.01, 0.3)
        };
        let after = after + self.partition_delay_s(at, &heartbeat.machine);
        if let Some((fencing_token, commands)) = &given {
            self.digest
                .reply(self.now, *fencing_token, &heartbeat.machine, commands);
        }
        self.send(
            after,
            Message::Reply {
                machine: heartbeat.machine.clone(),
                number: (heartbeat.agent_epoch, heartbeat.sequence),
                given,
                redirect,
            },
        );
    }

    pub(super) fn receive_reply(
        &mut self,
        machine: &str,
        number: (u64, u64),
        given: Option<(u64, Vec<Command>)>,
        redirect: Option<usize>,
    ) {
        let now = self.now;
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        if w.replies_lost_until > now || w.hung_until > now {
            return;
        }
        let Some((_, sent)) = w.waiting.filter(|(n, _)| *n == number) else {
            return;
        };
        w.waiting = None;
        if now - sent > REPLY_TIMEOUT_S {
            return;
        }
        match given {
            Some((fencing_token, commands)) if fencing_token >= w.fake.heartbeat.fencing_token => {
                w.lease_from = sent;
                let higher = fencing_token > w.fake.heartbeat.fencing_token;
                w.fake.heartbeat.fencing_token = fencing_token;
                w.heartbeat_at = now + if higher { 0.5 } else { heartbeat_interval_s };
                self.execute(machine, &commands);
            }
            Some(_) => {}
            None => {
                w.node = redirect.unwrap_or((w.node + 1) % NODES);
                w.heartbeat_at = now + if redirect.is_some() { 0.2 } else { 1.0 };
            }
        }
    }

    pub(super) fn receive_direct_commands(
        &mut self,
        from: usize,
        fencing_token: u64,
        name: String,
        message: DirectCommands,
        expects_reply: bool,
    ) {
        let now = self.now;
        let machine = message.machine;
        let outcome = match self.workers.get_mut(&name) {
            None => DirectCommandOutcome::NotSent,
            Some(w) if w.hung_until > now || w.replies_lost_until > now => {
                // It is delivered when the machine continues.
                let until = w.hung_until.max(w.replies_lost_until);
                self.messages.push((
                    until,
                    Message::DirectCommands {
                        from,
                        fencing_token,
                        name,
                        message,
                        expects_reply: false,
                    },
                ));
                DirectCommandOutcome::Unknown
            }
            Some(w) => {
                w.keep_lease(now, self.lease_s);
                let r = &mut w.fake.heartbeat;
                r.sequence += 1;
                if fencing_token < r.fencing_token || message.agent_epoch != r.agent_epoch {
                    DirectCommandOutcome::Refused(r.clone())
                } else {
                    r.fencing_token = fencing_token;
                    self.execute(&name, &message.commands);
                    DirectCommandOutcome::Done(self.workers[&name].fake.heartbeat.clone())
                }
            }
        };
        if expects_reply {
            let unknown = matches!(outcome, DirectCommandOutcome::Unknown);
            let after = if unknown { DIRECT_TIMEOUT_S } else { 0.1 };
            self.send(
                after,
                Message::DirectOutcome {
                    node: from,
                    fencing_token,
                    machine,
                    outcome,
                },
            );
        }
    }
}
