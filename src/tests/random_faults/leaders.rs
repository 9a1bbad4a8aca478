//! Leader election, and the messages that leaders send.

use super::*;

impl World {
    /// Expires or renews the leader's lease, and may elect a node while none leads. During an outage of the state
    /// service, the lease neither expires nor is renewed, and no node is elected.
    pub(super) fn run_elections(&mut self) {
        if self.now < self.outage_until {
            // The service extends every lease to its full duration from the end of the outage.
            if let Some((.., until)) = &mut self.leadership {
                *until = self.outage_until + self.leader_lease_s;
            }
            return;
        }
        if self.leadership.is_some_and(|(.., until)| until < self.now) {
            self.store.revision += 1;
            self.store.keys.remove(&keys::leader());
            self.leadership = None;
        }
        for node_index in 0..NODES {
            let node = &self.nodes[node_index];
            let Some(fencing_token) = node.leader.as_ref().map(|l| l.fencing_token) else {
                continue;
            };
            if node.paused_until > self.now || node.renewal_due_at > self.now {
                continue;
            }
            let lost = self.fault_occurs(0.1);
            let (now, trusted_leader_lease_s, leader_lease_s) =
                (self.now, self.trusted_leader_lease_s, self.leader_lease_s);
            let node = &mut self.nodes[node_index];
            node.renewal_due_at = now + leader_lease_s / 4.0;
            match &mut self.leadership {
                _ if lost => {}
                Some((_, leader_token, until)) if *leader_token == fencing_token => {
                    *until = now + leader_lease_s;
                    node.lease_trusted_until = now + trusted_leader_lease_s;
                }
                _ => node.leader = None,
            }
        }
        let node_index = self.rng.random_range(0..NODES);
        let is_running = |node: &Node| node.down_until <= self.now && node.paused_until <= self.now;
        if self.leadership.is_none() && is_running(&self.nodes[node_index]) {
            let (config, host) = (self.config.clone(), format!("n{node_index}"));
            let mut leader = self.store.elect_with(config, &host, self.now);
            if self.disabled_guard == DisabledGuard::LeaseExpiry {
                leader.fleet.worker_lease_expiry_s = self.worker_lease_s * 0.2;
            }
            for (name, worker) in &self.workers {
                let heartbeat = &worker.fake.heartbeat;
                leader.fleet.request_contact(
                    name,
                    &heartbeat.zone,
                    &heartbeat.addr,
                    heartbeat.agent_epoch,
                    self.now,
                );
            }
            self.leadership = Some((
                node_index,
                leader.fencing_token,
                self.now + self.leader_lease_s,
            ));
            self.nodes[node_index] = Node {
                lease_trusted_until: self.now + self.trusted_leader_lease_s,
                leader: Some(leader),
                ..Node::default()
            };
        }
    }

    /// The leader on a node, if the node is up, not paused, and relies on its lease.
    pub(super) fn acting_leader(&mut self, node_index: usize) -> Option<&mut Leader> {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let can_act =
            node.down_until <= now && node.paused_until <= now && now < node.lease_trusted_until;
        node.leader.as_mut().filter(|_| can_act)
    }

    /// One step of the leader on a node, if it has one that can act: maintains the fleet, places tasks, and sends
    /// direct commands, a transaction and a call to the cloud.
    pub(super) fn run_leader(&mut self, node_index: usize) {
        let now = self.now;
        let maintenance_due = self.nodes[node_index].maintenance_due_at <= now;
        let cloud_call_due = self.nodes[node_index].cloud_call_due_at <= now;
        let transaction_in_flight = self.nodes[node_index].transaction_in_flight;
        let forgets_delegations = self.disabled_guard == DisabledGuard::Delegations;
        let Some(leader) = self.acting_leader(node_index) else {
            return;
        };
        let fencing_token = leader.fencing_token;
        if forgets_delegations {
            leader.fleet.zones.disable_delegation_guard();
        }
        if maintenance_due {
            leader.maintain_fleet(now);
        }
        leader.schedule(now);
        // At most 8 calls a step, and one call to a machine in 1.5 s unless the call launches a task.
        let direct_commands = leader.take_direct_commands(now, 1.5, 8);
        let txn = if transaction_in_flight {
            None
        } else {
            leader.next_transaction(now)
        };
        let call = if cloud_call_due {
            leader.next_cloud_call(now)
        } else {
            None
        };
        let machine_names: Vec<String> = direct_commands
            .iter()
            .map(|commands| leader.fleet.machines[&commands.machine].name.to_string())
            .collect();
        if maintenance_due {
            self.nodes[node_index].maintenance_due_at = now + 0.5;
        }
        if cloud_call_due {
            self.nodes[node_index].cloud_call_due_at = now + 1.0;
        }
        for (commands, name) in direct_commands.into_iter().zip(machine_names) {
            self.digest.direct(now, fencing_token, &name, &commands);
            self.send_direct_commands(node_index, fencing_token, name, commands);
        }
        if let Some(txn) = txn {
            self.nodes[node_index].transaction_in_flight = true;
            self.digest.transaction(now, fencing_token, &txn);
            self.send_transaction(node_index, fencing_token, txn);
        }
        if let Some(call) = call {
            self.digest.cloud_call(now, fencing_token, &call);
            let answer = self.answer_cloud_call(&call);
            let failed = self.fault_occurs(0.15);
            let answer = if failed { CloudAnswer::Failed } else { answer };
            if let Some(leader) = self.acting_leader(node_index) {
                leader.on_cloud_answer(call, answer, now);
            }
        }
    }

    /// Sends direct commands, which may be lost, delayed beyond the timeout, or duplicated. A partition delays them
    /// until the partition ends.
    pub(super) fn send_direct_commands(
        &mut self,
        sender: usize,
        fencing_token: u64,
        machine_name: String,
        direct_commands: DirectCommands,
    ) {
        let lost = self.fault_occurs(0.05);
        let partition_delay_s = self.partition_delay_s(sender, &machine_name);
        let late = self.fault_occurs(0.08) || partition_delay_s > 0.0;
        let duplicated = self.fault_occurs(0.15);
        let machine_index = direct_commands.machine;
        let message = |expects_reply| Message::DirectCommands {
            sender,
            fencing_token,
            machine_name: machine_name.clone(),
            direct_commands: direct_commands.clone(),
            expects_reply,
        };
        let (original, copy) = (message(true), message(false));
        if lost || late {
            let outcome = DirectCommandOutcome::Unknown;
            self.send(
                DIRECT_COMMAND_TIMEOUT_S,
                Message::DirectOutcome {
                    node_index: sender,
                    fencing_token,
                    machine_index,
                    outcome,
                },
            );
        } else {
            let delay_s = self.random_between(0.01, 0.4);
            self.send(delay_s, original);
        }
        if late || duplicated {
            let delay_s = partition_delay_s + self.random_between(1.0, 60.0);
            self.send(delay_s, copy);
        }
    }

    /// Sends a transaction, which may be lost, delayed beyond the timeout, or duplicated.
    pub(super) fn send_transaction(&mut self, node_index: usize, fencing_token: u64, txn: Rc<Txn>) {
        let lost = self.fault_occurs(0.05);
        let late = self.fault_occurs(0.05);
        let duplicated = self.fault_occurs(0.15);
        let message = |expects_reply| Message::Transaction {
            node_index,
            fencing_token,
            txn: txn.clone(),
            expects_reply,
        };
        let (original, copy) = (message(true), message(false));
        if lost || late {
            let outcome = TxnOutcome::Unknown;
            self.send(
                1.0,
                Message::TransactionOutcome {
                    node_index,
                    fencing_token,
                    outcome,
                },
            );
        } else {
            let delay_s = self.random_between(0.01, 0.3);
            self.send(delay_s, original);
        }
        if late || duplicated {
            let delay_s = self.random_between(0.5, 60.0);
            self.send(delay_s, copy);
        }
    }

    /// Carries out a call to the cloud. A repeated rental request returns the machines of the first one.
    pub(super) fn answer_cloud_call(&mut self, call: &CloudCall) -> CloudAnswer {
        match call {
            CloudCall::MachineTypes => CloudAnswer::Failed,
            CloudCall::List { .. } => {
                let listed = self.workers.iter().map(|(name, worker)| ListedMachine {
                    id: name.clone(),
                    addr: worker.fake.heartbeat.addr.clone(),
                    type_name: worker.fake.heartbeat.type_name.clone(),
                    zone: worker.fake.heartbeat.zone.clone(),
                    spot: worker.fake.heartbeat.spot,
                    state: MachineState::Running,
                    age_s: self.now,
                });
                CloudAnswer::List(listed.collect(), false)
            }
            CloudCall::Rent(RentRequest { request, .. }, _)
                if self.rented_by_request.contains_key(request) =>
            {
                CloudAnswer::Rented(self.rented_by_request[request].clone())
            }
            CloudCall::Rent(rent, _) => {
                let machines_left = self
                    .deployment_kind
                    .machines()
                    .saturating_sub(self.workers.len());
                if machines_left == 0
                    || (rent.type_name != "small" && self.deployment_kind != DeploymentKind::Mixed)
                {
                    return CloudAnswer::NoCapacity;
                }
                let count = machines_left.min(rent.count as usize);
                let names: Vec<String> = (0..count)
                    .map(|_| self.boot_machine(&rent.zone, &rent.type_name, rent.spot))
                    .collect();
                self.rented_by_request
                    .insert(rent.request.clone(), names.clone());
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
