//! Delivery of messages in flight to nodes, workers and the state service.

use super::*;

impl World {
    pub(super) fn deliver_due_messages(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages_in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.messages_in_flight = later;
        for (_, message) in due {
            self.receive(message);
        }
    }

    /// The message, if the node can receive it now. A paused node receives it after the pause; a message to a node that
    /// is down is lost.
    pub(super) fn deliverable(&mut self, node_index: usize, message: Message) -> Option<Message> {
        let node = &self.nodes[node_index];
        if node.down_until > self.now {
            return None;
        }
        if node.paused_until > self.now {
            let until = node.paused_until;
            self.messages_in_flight.push((until, message));
            return None;
        }
        Some(message)
    }

    pub(super) fn receive(&mut self, message: Message) {
        let now = self.now;
        let receiving_node = match &message {
            Message::Heartbeat { node_index, .. }
            | Message::DirectOutcome { node_index, .. }
            | Message::TransactionOutcome { node_index, .. }
            | Message::Relay { node_index, .. }
            | Message::Job { node_index, .. }
            | Message::Ready { node_index, .. }
            | Message::DependencyCancelled { node_index, .. }
            | Message::JobEnd { node_index, .. } => Some(*node_index),
            _ => None,
        };
        let message = match receiving_node {
            Some(node_index) => self.deliverable(node_index, message),
            None => Some(message),
        };
        match message {
            None => {}
            Some(Message::Heartbeat {
                node_index,
                heartbeat,
                late_copy,
            }) => self.receive_heartbeat(node_index, heartbeat, late_copy),
            Some(Message::Reply {
                machine,
                heartbeat_id,
                renewal,
                redirect_to,
            }) => self.receive_reply(&machine, heartbeat_id, renewal, redirect_to),
            Some(Message::DirectCommands {
                sender,
                fencing_token,
                machine_name,
                direct_commands,
                expects_reply,
            }) => self.receive_direct_commands(
                sender,
                fencing_token,
                machine_name,
                direct_commands,
                expects_reply,
            ),
            Some(Message::DirectOutcome {
                node_index,
                fencing_token,
                machine_index,
                outcome,
            }) => {
                // The outcome counts even if the leader does not rely on its lease at this moment.
                if let Some(leader) = self.nodes[node_index]
                    .leader
                    .as_mut()
                    .filter(|l| l.fencing_token == fencing_token)
                {
                    leader.on_direct_outcome(machine_index, outcome, now);
                }
            }
            Some(Message::Transaction {
                node_index,
                fencing_token,
                txn,
                expects_reply,
            }) => {
                let outcome = if now < self.outage_until {
                    TxnOutcome::Refused
                } else {
                    self.apply_transaction(&txn)
                };
                if expects_reply {
                    let lost = self.fault_occurs(0.05);
                    let outcome = if lost { TxnOutcome::Unknown } else { outcome };
                    self.send(
                        0.1,
                        Message::TransactionOutcome {
                            node_index,
                            fencing_token,
                            outcome,
                        },
                    );
                }
            }
            Some(Message::TransactionOutcome {
                node_index,
                fencing_token,
                outcome,
            }) => self.receive_transaction_outcome(node_index, fencing_token, outcome),
            Some(Message::Relay { node_index, record }) => {
                if let Some(leader) = self.nodes[node_index].leader.as_mut() {
                    leader.on_relay(&record, now);
                }
            }
            Some(Message::Job { node_index, id }) => {
                let stored = self.stored_job(&id);
                // A watch delivers changes in order: a node never sees a job after the job's end. Once the end is
                // stored, the job is not added, as the end may have been delivered already.
                let is_open = !self.job_ends.contains_key(&id);
                if let Some(leader) = self.nodes[node_index].leader.as_mut().filter(|_| is_open) {
                    leader.add_stored_job(&id.as_str().into(), &stored, now);
                }
            }
            Some(Message::Ready { node_index, id }) => {
                if let Some(leader) = self.nodes[node_index].leader.as_mut() {
                    leader.on_ready(&id, now);
                }
            }
            Some(Message::DependencyCancelled { node_index, id }) => {
                if let Some(leader) = self.nodes[node_index].leader.as_mut() {
                    leader.on_dependency_cancelled(&id);
                }
            }
            Some(Message::JobEnd {
                node_index,
                id,
                record,
            }) => {
                if let Some(leader) = self.nodes[node_index].leader.as_mut() {
                    leader.on_job_end_stored(&id, &record, now);
                }
            }
        }
    }

    /// A job as a replica without lag shows it.
    fn stored_job(&self, id: &str) -> ReplicatedJob {
        let mut stored = ReplicatedJob::default();
        stored.spec = Some(Rc::new(self.jobs[id].clone()));
        if let Some(job) = self.replica.jobs.get(id) {
            stored.is_blocked = job.is_blocked;
            stored.dependency_cancelled = job.dependency_cancelled;
        }
        stored
    }

    /// Applies a transaction to the store; records the ends of jobs that it stores.
    pub(super) fn apply_transaction(&mut self, txn: &Txn) -> TxnOutcome {
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
        node_index: usize,
        fencing_token: u64,
        outcome: TxnOutcome,
    ) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let Some(leader) = node
            .leader
            .as_mut()
            .filter(|l| l.fencing_token == fencing_token)
        else {
            return;
        };
        node.transaction_in_flight = false;
        match leader.on_transaction_outcome(outcome, now) {
            AfterTransaction::Continue | AfterTransaction::Retry => {}
            AfterTransaction::ReadBack(key) => {
                let revision = self
                    .store
                    .keys
                    .get(&key)
                    .map_or(0, |(_, revision)| *revision);
                leader.on_read_back(revision, now);
            }
            AfterTransaction::LeadershipLost => {
                if self
                    .leadership
                    .is_some_and(|(_, leader_token, _)| leader_token == fencing_token)
                {
                    self.violations
                        .push("the leader resigned while its lease was valid".into());
                }
                node.leader = None;
            }
        }
    }

    /// A node replies as the leader or as its delegate, or redirects the worker to the leader.
    pub(super) fn receive_heartbeat(
        &mut self,
        node_index: usize,
        mut heartbeat: Heartbeat,
        late_copy: bool,
    ) {
        let now = self.now;
        let leader_node = self
            .leadership
            .map(|(leader, ..)| leader)
            .filter(|leader| *leader != node_index);
        let accepts_as_new = self.disabled_guard == DisabledGuard::LateCopies && late_copy;
        let Some(leader) = self.acting_leader(node_index) else {
            if let Some(fencing_token) = self.delegated_fencing_token(node_index, &heartbeat) {
                let commands = self.reply_as_delegate(&heartbeat, fencing_token);
                return self.send_reply(
                    node_index,
                    &heartbeat,
                    Some((fencing_token, commands)),
                    None,
                );
            }
            return self.send_reply(node_index, &heartbeat, None, leader_node);
        };
        if accepts_as_new {
            // The copy gets the machine's current agent epoch and the next sequence number, so that it passes as a new
            // heartbeat.
            let machine_index = leader.fleet.find(&heartbeat.machine);
            if let Some(machine) = machine_index.and_then(|index| leader.fleet.machines.get(&index))
            {
                (heartbeat.agent_epoch, heartbeat.sequence) =
                    (machine.agent_epoch, machine.sequence + 1);
            }
            heartbeat.fencing_token = leader.fencing_token;
        }
        // A worker that knows a newer leader gets no renewal from this one.
        if heartbeat.fencing_token > leader.fencing_token {
            return self.send_reply(node_index, &heartbeat, None, leader_node);
        }
        leader.record_worker_contact(now);
        let mut commands = Vec::new();
        if let Some(required_commands) =
            leader.on_heartbeat(&heartbeat, HeartbeatOrigin::Periodic, now)
        {
            commands = required_commands;
            leader.append_reply_commands(&heartbeat, &mut commands);
        }
        let fencing_token = leader.fencing_token;
        self.send_reply(
            node_index,
            &heartbeat,
            Some((fencing_token, commands)),
            None,
        );
    }

    /// The leader's fencing token, if a node may reply to a heartbeat as the leader's delegate: the leader's lease must
    /// be valid, and the state service must be available and show a delegation for the worker's zone.
    pub(super) fn delegated_fencing_token(
        &self,
        node_index: usize,
        heartbeat: &Heartbeat,
    ) -> Option<u64> {
        let (leader, fencing_token, until) = self.leadership?;
        let can_check = leader != node_index && self.now <= until && self.now >= self.outage_until;
        let is_in_force = |key: &str, value: &RawValue| {
            key.contains("/standin/")
                && serde_json::from_str(value.get()).is_ok_and(|delegation: DelegationRecord| {
                    delegation.fencing_token == fencing_token
                        && delegation.zone == heartbeat.zone
                        && !delegation.revoked
                })
        };
        let mut keys = self.store.keys.iter();
        let is_delegate = can_check && keys.any(|(key, (value, _))| is_in_force(key, value));
        (is_delegate && heartbeat.fencing_token <= fencing_token).then_some(fencing_token)
    }

    /// The commands of a delegate's reply. The heartbeat is relayed to the leader, sometimes with a late duplicate.
    pub(super) fn reply_as_delegate(
        &mut self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
    ) -> Vec<Command> {
        let mut relay = Relay::new(fencing_token);
        relay.record(heartbeat);
        let record = relay.take_record(&heartbeat.zone, usize::MAX);
        let node_index = self.leadership.map_or(0, |(leader, ..)| leader);
        let delay_s = self.random_between(0.05, 2.0);
        if self.fault_occurs(0.2) {
            let delay_s = self.random_between(1.0, 60.0);
            let record = record.clone();
            self.send(delay_s, Message::Relay { node_index, record });
        }
        self.send(delay_s, Message::Relay { node_index, record });
        let has_ended = |name: &str| {
            let id = parse_task_name(name).map_or("", |(id, _)| id);
            self.store.keys.contains_key(&keys::job_end(id))
        };
        stop_commands_for_ended_jobs(heartbeat, has_ended)
    }

    /// Seconds for which a zone partition delays messages between a node and a machine; 0 without a partition.
    pub(super) fn partition_delay_s(&self, node_index: usize, machine: &str) -> f64 {
        let zone = self
            .workers
            .get(machine)
            .map(|worker| &*worker.fake.heartbeat.zone);
        if zone.is_some_and(|zone| zone != NODE_ZONES[node_index]) {
            (self.partition_until - self.now).max(0.0)
        } else {
            0.0
        }
    }

    pub(super) fn send_reply(
        &mut self,
        node_index: usize,
        heartbeat: &Heartbeat,
        renewal: Option<(u64, Vec<Command>)>,
        redirect_to: Option<usize>,
    ) {
        let delay_s = if self.fault_occurs(0.05) {
            self.random_between(1.0, 8.0)
        } else {
            self.random_between(0.01, 0.3)
        };
        let delay_s = delay_s + self.partition_delay_s(node_index, &heartbeat.machine);
        if let Some((fencing_token, commands)) = &renewal {
            self.digest
                .reply(self.now, *fencing_token, &heartbeat.machine, commands);
        }
        self.send(
            delay_s,
            Message::Reply {
                machine: heartbeat.machine.clone(),
                heartbeat_id: (heartbeat.agent_epoch, heartbeat.sequence),
                renewal,
                redirect_to,
            },
        );
    }

    /// A worker drops a reply that arrives after the timeout, that belongs to an earlier heartbeat, or that comes from
    /// a former leader.
    pub(super) fn receive_reply(
        &mut self,
        machine: &str,
        heartbeat_id: (u64, u64),
        renewal: Option<(u64, Vec<Command>)>,
        redirect_to: Option<usize>,
    ) {
        let now = self.now;
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.replies_lost_until > now || worker.hung_until > now {
            return;
        }
        let Some((_, sent_at)) = worker
            .awaited_reply
            .filter(|(awaited_id, _)| *awaited_id == heartbeat_id)
        else {
            return;
        };
        worker.awaited_reply = None;
        if now - sent_at > REPLY_TIMEOUT_S {
            return;
        }
        match renewal {
            Some((fencing_token, commands))
                if fencing_token >= worker.fake.heartbeat.fencing_token =>
            {
                worker.lease_renewed_at = sent_at;
                let is_new_leader = fencing_token > worker.fake.heartbeat.fencing_token;
                worker.fake.heartbeat.fencing_token = fencing_token;
                worker.next_heartbeat_at = now
                    + if is_new_leader {
                        0.5
                    } else {
                        heartbeat_interval_s
                    };
                self.execute_commands(machine, &commands);
            }
            Some(_) => {}
            None => {
                worker.node_index = redirect_to.unwrap_or((worker.node_index + 1) % NODES);
                worker.next_heartbeat_at = now + if redirect_to.is_some() { 0.2 } else { 1.0 };
            }
        }
    }

    /// A worker refuses commands from a former leader or for another agent epoch. Commands for a machine that hangs or
    /// loses replies are delivered when the machine recovers; after the timeout their sender gets an unknown outcome,
    /// and must assume that they may still be executed.
    pub(super) fn receive_direct_commands(
        &mut self,
        sender: usize,
        fencing_token: u64,
        machine_name: String,
        direct_commands: DirectCommands,
        expects_reply: bool,
    ) {
        let now = self.now;
        let machine_index = direct_commands.machine;
        let outcome = match self.workers.get_mut(&machine_name) {
            None => DirectCommandOutcome::NotSent,
            Some(worker) if worker.hung_until > now || worker.replies_lost_until > now => {
                let until = worker.hung_until.max(worker.replies_lost_until);
                self.messages_in_flight.push((
                    until,
                    Message::DirectCommands {
                        sender,
                        fencing_token,
                        machine_name,
                        direct_commands,
                        expects_reply: false,
                    },
                ));
                DirectCommandOutcome::Unknown
            }
            Some(worker) => {
                worker.enforce_lease(now, self.worker_lease_s);
                let heartbeat = &mut worker.fake.heartbeat;
                heartbeat.sequence += 1;
                if fencing_token < heartbeat.fencing_token
                    || direct_commands.agent_epoch != heartbeat.agent_epoch
                {
                    DirectCommandOutcome::Refused(heartbeat.clone())
                } else {
                    heartbeat.fencing_token = fencing_token;
                    self.execute_commands(&machine_name, &direct_commands.commands);
                    DirectCommandOutcome::Done(self.workers[&machine_name].fake.heartbeat.clone())
                }
            }
        };
        if expects_reply {
            let is_unknown = matches!(outcome, DirectCommandOutcome::Unknown);
            let delay_s = if is_unknown {
                DIRECT_COMMAND_TIMEOUT_S
            } else {
                0.1
            };
            self.send(
                delay_s,
                Message::DirectOutcome {
                    node_index: sender,
                    fencing_token,
                    machine_index,
                    outcome,
                },
            );
        }
    }
}
