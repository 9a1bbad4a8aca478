//! Simulated workers: they execute commands, run tasks and send heartbeats.

use super::*;

impl World {
    /// Executes commands on a machine. A repeated start of an attempt is ignored. A start is refused if another attempt
    /// of the task has not exited on the machine, or if the machine has too few free CPUs.
    pub(super) fn execute_commands(&mut self, machine: &str, commands: &[Command]) {
        let now = self.now;
        let fetch_s = self.random_between(0.0, 2.0);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let total_cpus = if worker.fake.heartbeat.type_name == "big" {
            64.0
        } else {
            8.0
        };
        for command in commands {
            let Command::Launch { task, attempt } = command else {
                worker.fake.execute(
                    worker.fake.heartbeat.fencing_token,
                    std::slice::from_ref(command),
                );
                continue;
            };
            let tasks = &mut worker.fake.heartbeat.tasks;
            if tasks
                .iter()
                .any(|t| t.task == *task && t.attempt == *attempt)
            {
                continue;
            }
            let not_exited = |t: &&TaskStatus| t.state != TaskState::Exited;
            let cpus = |name: &str| parse_task_name(name).map_or(0.0, |(id, _)| self.jobs[id].cpus);
            let used_cpus: f64 = tasks.iter().filter(not_exited).map(|t| cpus(&t.task)).sum();
            let exit_reason = if tasks.iter().filter(not_exited).any(|t| t.task == *task) {
                Some(ExitReason::InUse)
            } else if used_cpus + cpus(task) > total_cpus {
                Some(ExitReason::Full)
            } else {
                None
            };
            let state = match exit_reason {
                Some(_) => TaskState::Exited,
                None => TaskState::Fetching,
            };
            tasks.push(TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                state,
                exit_reason,
                saved: None,
            });
            worker
                .attempt_times
                .insert((task.clone(), *attempt), (now + fetch_s, None));
        }
    }

    /// One step of all workers. A worker that hangs does nothing: it does not even end its tasks when its lease
    /// expires.
    pub(super) fn run_workers(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            let lease_s = self.worker_lease_s;
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            if worker.hung_until > now {
                continue;
            }
            worker.enforce_lease(now, lease_s);
            self.run_tasks(name);
            self.send_heartbeat(name);
        }
        self.run_gangs();
    }

    /// Advances the tasks on a machine. Records a violation if a task is about to start while it has started on another
    /// machine whose worker's lease is valid.
    pub(super) fn run_tasks(&mut self, name: &str) {
        let now = self.now;
        let run_s = self.random_between(3.0, 20.0);
        let worker = &self.workers[name];
        let mut changed = Vec::new();
        for (task_index, status) in worker.fake.heartbeat.tasks.iter().enumerate() {
            let (fetched_at, ends_at) =
                worker.attempt_times[&(status.task.clone(), status.attempt)];
            let is_gang = parse_task_name(&status.task)
                .is_some_and(|(id, _)| self.jobs[id].kind == JobKind::Gang);
            match status.state {
                TaskState::Fetching if fetched_at <= now => {
                    if let Some(other) = self.find_other_machine_running(name, &status.task) {
                        let violation =
                            format!("{now}: {} runs on {name} and {other}", status.task);
                        self.violations.push(violation);
                    }
                    if is_gang {
                        changed.push((task_index, TaskState::Waiting, None));
                    } else {
                        changed.push((task_index, TaskState::Running, Some(now + run_s)));
                    }
                }
                TaskState::Running if ends_at.is_some_and(|ends_at| ends_at <= now) && !is_gang => {
                    changed.push((task_index, TaskState::Exited, ends_at));
                }
                _ => {}
            }
        }
        for (task_index, state, ends_at) in changed {
            let Some(worker) = self.workers.get_mut(name) else {
                return;
            };
            let tasks_fail = worker.tasks_fail;
            let status = &mut worker.fake.heartbeat.tasks[task_index];
            status.state = state;
            if state == TaskState::Exited && tasks_fail {
                status.exit_reason = Some(ExitReason::Error);
            } else if state == TaskState::Exited {
                status.exit_reason = Some(ExitReason::Done);
                self.completed_tasks.insert(status.task.clone());
            }
            if let Some(times) = worker
                .attempt_times
                .get_mut(&(status.task.clone(), status.attempt))
            {
                times.1 = ends_at;
            }
            worker.next_heartbeat_at = worker.next_heartbeat_at.min(now + 0.5);
        }
    }

    /// Another machine on which a task has started and whose worker's lease is valid. This includes machines that hang,
    /// as the task continues there if the machine recovers before the lease expires.
    pub(super) fn find_other_machine_running(&self, name: &str, task: &str) -> Option<&str> {
        let runs_task = |worker: &Worker| {
            let has_started_task = |t: &TaskStatus| t.task == task && has_started(t.state);
            worker.has_lease(self.now, self.worker_lease_s)
                && worker.fake.heartbeat.tasks.iter().any(has_started_task)
        };
        let mut others = self.workers.iter().filter(|(other, _)| *other != name);
        others
            .find(|(_, worker)| runs_task(worker))
            .map(|(other, _)| other.as_str())
    }

    /// Advances the tasks of gangs. The tasks of one attempt start and complete together. Running tasks exit when
    /// another task of the attempt is gone or its machine hangs; a waiting task exits as incomplete 50 s after its
    /// image is fetched.
    pub(super) fn run_gangs(&mut self) {
        let now = self.now;
        // For each task of an attempt: its machine, its index in the heartbeat, and whether the machine responds.
        type Members = Vec<(String, usize, bool)>;
        let mut attempts: BTreeMap<(String, u64), Members> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (task_index, status) in worker.fake.heartbeat.tasks.iter().enumerate() {
                let Some((id, _)) = parse_task_name(&status.task) else {
                    continue;
                };
                let is_member =
                    has_started(status.state) && worker.has_lease(now, self.worker_lease_s);
                if self.jobs[id].kind == JobKind::Gang && is_member {
                    let responds = worker.hung_until <= now;
                    attempts
                        .entry((id.to_owned(), status.attempt))
                        .or_default()
                        .push((name.clone(), task_index, responds));
                }
            }
        }
        for ((id, attempt), members) in attempts {
            let is_complete = members.len() == self.jobs[&id].tasks as usize;
            let all_respond = members.iter().all(|(.., responds)| *responds);
            let run_s = self.random_between(3.0, 20.0);
            let first = &self.workers[&members[0].0];
            let task = &first.fake.heartbeat.tasks[members[0].1].task;
            let ends_at = first.attempt_times[&(task.clone(), attempt)].1;
            for (name, task_index, responds) in members {
                let Some(worker) = self.workers.get_mut(&name).filter(|_| responds) else {
                    continue;
                };
                let status = &mut worker.fake.heartbeat.tasks[task_index];
                let times = worker
                    .attempt_times
                    .get_mut(&(status.task.clone(), attempt));
                match (status.state, ends_at) {
                    (TaskState::Waiting, _) if is_complete && all_respond => {
                        status.state = TaskState::Running;
                        times.unwrap().1 = Some(now + run_s);
                    }
                    (TaskState::Waiting, _) if times.as_ref().unwrap().0 + 50.0 < now => {
                        status.state = TaskState::Exited;
                        status.exit_reason = Some(ExitReason::Incomplete);
                    }
                    (TaskState::Running, _) if !is_complete || !all_respond => {
                        status.state = TaskState::Exited;
                        status.exit_reason = Some(ExitReason::Peers);
                    }
                    (TaskState::Running, Some(ends_at)) if ends_at <= now => {
                        status.state = TaskState::Exited;
                        status.exit_reason = Some(ExitReason::Done);
                        self.completed_tasks.insert(status.task.clone());
                    }
                    _ => continue,
                }
                worker.next_heartbeat_at = worker.next_heartbeat_at.min(now + 0.5);
            }
        }
    }

    /// Sends a heartbeat if one is due and no earlier heartbeat awaits its reply. After a reply timeout the worker uses
    /// the next node.
    pub(super) fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker
            .awaited_reply
            .is_some_and(|(_, sent_at)| now - sent_at > REPLY_TIMEOUT_S)
        {
            worker.awaited_reply = None;
            worker.node_index = (worker.node_index + 1) % NODES;
            worker.next_heartbeat_at = now + 1.0;
        }
        if worker.awaited_reply.is_some() || worker.next_heartbeat_at > now {
            return;
        }
        let heartbeat = worker.fake.next();
        worker.awaited_reply = Some(((heartbeat.agent_epoch, heartbeat.sequence), now));
        worker.next_heartbeat_at = now + self.config.deployment.workers.heartbeat_interval_s;
        let node_index = worker.node_index;
        let late_copy_message = Message::Heartbeat {
            node_index: self.rng.random_range(0..NODES),
            heartbeat: heartbeat.clone(),
            late_copy: true,
        };
        if !self.fault_occurs(0.05) {
            let delay_s = self.partition_delay_s(node_index, name) + self.random_between(0.01, 0.3);
            let late_copy = false;
            self.send(
                delay_s,
                Message::Heartbeat {
                    node_index,
                    heartbeat,
                    late_copy,
                },
            );
        }
        if self.fault_occurs(0.15) {
            let delay_s = self.random_between(1.0, 60.0);
            self.send(delay_s, late_copy_message);
        }
    }
}
