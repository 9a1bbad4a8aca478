//! Direct commands to workers: they fence off a former leader, and launch and stop tasks without waiting for a
//! heartbeat.

use std::rc::Rc;

use crate::controller::socket_budget::direct_commands_max;
use crate::controller::{ANSWER_BYTES_MAX, Controller};
use crate::fleet::{DirectCommandOutcome, DirectCommands};
use crate::http::{CallError, Client};
use crate::jobs::task_name::parse_task_name;
use crate::protocol::json::from_object;
use crate::protocol::paths;
use crate::protocol::workers::{Command, DirectCommandRequest};
use crate::runtime::Scope;

/// Minimum interval between direct commands to one worker, in heartbeat intervals; launches are sent without it. It is
/// also the time limit of a direct command, within the bounds below.
const INTERVAL_HEARTBEATS: f64 = 0.5;
/// Minimum time limit of a direct command, in seconds.
const TIMEOUT_S_MIN: f64 = 1.0;
/// Maximum time limit of a direct command, in seconds.
const TIMEOUT_S_MAX: f64 = 2.0;

impl Controller {
    /// Sends the direct commands that are due, each from a routine of its own in `scope`.
    pub(crate) fn send_direct_commands(self: &Rc<Self>, fencing_token: u64, scope: &Rc<Scope>) {
        let now = self.now();
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let interval_s = heartbeat_interval_s * INTERVAL_HEARTBEATS;
        let in_flight_max = direct_commands_max(&self.config);
        let messages = self
            .with_leader(fencing_token, |leader| {
                let free_slots = in_flight_max.saturating_sub(scope.live());
                leader.take_direct_commands(now, interval_s, free_slots)
            })
            .unwrap_or_default();
        let timeout_s = interval_s.clamp(TIMEOUT_S_MIN, TIMEOUT_S_MAX);
        for message in messages {
            let controller = self.clone();
            scope.spawn(async move {
                let machine = message.machine;
                let outcome = controller
                    .send_to_worker(fencing_token, message, timeout_s)
                    .await;
                let now = controller.now();
                let leadership = &controller.leadership;
                // The outcome is recorded even if the term is not trusted at this moment: it shows what the worker did.
                leadership.with_leader_of_term(fencing_token, |leader| {
                    leader.on_direct_outcome(machine, outcome, now);
                });
                leadership.round_due.set();
            });
        }
    }

    /// Whether any of these commands launches a task of a job that has ended: the job may be cancelled after the round
    /// that made the commands and before the connection to the worker is established.
    fn launches_ended_job(&self, commands: &[Command]) -> bool {
        commands.iter().any(|command| match command {
            Command::Launch { task, .. } => self.is_job_ended(task),
            Command::Stop { .. } | Command::Forget { .. } => false,
        })
    }

    /// Whether a task's job has ended. `task` is the task's name in the protocol of the workers.
    pub(crate) fn is_job_ended(&self, task: &str) -> bool {
        let replica = self.replication.replica.borrow();
        parse_task_name(task)
            .and_then(|(id, _)| replica.jobs.get(id))
            .is_some_and(|job| job.has_ended())
    }

    /// Sends commands to a worker. They are dropped if they are outdated by the time the connection is established: the
    /// term is no longer trusted, or they launch a task of a job that has ended.
    async fn send_to_worker(
        &self,
        fencing_token: u64,
        message: DirectCommands,
        timeout_s: f64,
    ) -> DirectCommandOutcome {
        let commands = message.commands.clone();
        let body = DirectCommandRequest {
            fencing_token,
            agent_epoch: message.agent_epoch,
            commands: message.commands,
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return DirectCommandOutcome::NotSent;
        };
        let client = Client::new(&self.runtime, message.addr, ANSWER_BYTES_MAX);
        let answer = client
            .call_if("POST", paths::COMMANDS, Some(&body), timeout_s, || {
                self.trusted_fencing_token() == Some(fencing_token)
                    && !self.launches_ended_job(&commands)
            })
            .await;
        match answer {
            Ok((200, body)) => {
                from_object(&body).map_or(DirectCommandOutcome::Unknown, DirectCommandOutcome::Done)
            }
            Ok((409, body)) => from_object(&body)
                .map_or(DirectCommandOutcome::Unknown, DirectCommandOutcome::Refused),
            Ok(_) | Err(CallError::Unknown(_)) => DirectCommandOutcome::Unknown,
            Err(CallError::NotSent(_)) => DirectCommandOutcome::NotSent,
        }
    }
}
