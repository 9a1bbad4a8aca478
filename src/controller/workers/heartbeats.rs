//! Heartbeats of workers: answered as the leader, as its delegate, or with a redirect to the leader.

use crate::controller::workers::delegation::stop_commands_for_ended_jobs;
use crate::controller::{Controller, RETRY_AFTER_S};
use crate::fleet::HeartbeatOrigin;
use crate::http::Response;
use crate::protocol::json::from_object;
use crate::protocol::workers::{Command, Heartbeat, HeartbeatReply, Redirect};
use crate::runtime::Time;

/// Longest time that the reply to a heartbeat waits for a round of the leader, in heartbeat intervals.
const REPLY_HOLD_HEARTBEATS: f64 = 0.15;

/// The leader's decision on the reply to a heartbeat, after the round that the reply waited for.
enum LeaderReply {
    /// Reply with the commands; this renews the worker's lease.
    Commands,
    /// Don't renew the worker's lease: a direct launch of a task that must no longer run may still be executed on the
    /// machine, and only the expiry of the lease rules that out.
    LeaseMustExpire,
}

/// The reply that renews a worker's lease.
pub(crate) fn heartbeat_reply(fencing_token: u64, commands: Vec<Command>) -> Response {
    let reply = HeartbeatReply {
        fencing_token,
        commands,
    };
    Response::json(200, &reply)
}

impl Controller {
    /// Answers a heartbeat as the leader, as a delegate of the leader, or with a redirect to the leader.
    pub(crate) async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = from_object::<Heartbeat>(body) else {
            return Response::error(400, "malformed heartbeat");
        };
        let now = self.now();
        let leader = self
            .replication
            .replica
            .borrow()
            .leader
            .as_ref()
            .map(|leader| (leader.record.node.clone(), leader.revision));
        self.worker_contacts.record(&heartbeat, now);
        let own_token = self.trusted_fencing_token();
        if let Some(fencing_token) = own_token.filter(|token| heartbeat.fencing_token <= *token)
            && let Some(answer) = self.answer_as_leader(&heartbeat, fencing_token, now).await
        {
            return answer;
        }
        match leader {
            Some((node, fencing_token)) if node != self.config.node => {
                if let Some(answer) = self.answer_as_delegate(&heartbeat, fencing_token).await {
                    return answer;
                }
                self.record_redirect(&heartbeat, fencing_token, now);
                let redirect = Redirect {
                    report_to: Some(&node),
                };
                Response::json(421, &redirect)
            }
            _ => Response::retry_later(503, "no leader is available", RETRY_AFTER_S),
        }
    }

    /// Answers a heartbeat as the leader; None if this controller does not lead under that fencing token. If it loses
    /// the leadership while the reply waits for a round, the answer is 503.
    async fn answer_as_leader(
        &self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
        now: Time,
    ) -> Option<Response> {
        let (commands, has_waiting_jobs) = self.with_leader(fencing_token, |leader| {
            leader.record_worker_contact(now);
            let commands = leader.on_heartbeat(heartbeat, HeartbeatOrigin::Periodic, now);
            (commands, leader.has_waiting_jobs())
        })?;
        let Some(mut commands) = commands else {
            // The heartbeat is not new: it is a late copy, or an answer to a direct command overtook it, or its machine
            // has been returned to the cloud. If an answer overtook it, the reply renews the worker's lease and must
            // carry the stop commands for jobs that have ended. They do no harm at a worker that no longer waits for
            // the reply.
            let commands = self.stop_commands(heartbeat);
            return Some(heartbeat_reply(fencing_token, commands));
        };
        self.leadership.round_due.set();
        if has_waiting_jobs {
            // Tasks placed on the capacity that this heartbeat frees can be launched with its reply, once they are
            // stored.
            let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
            let hold_s = heartbeat_interval_s * REPLY_HOLD_HEARTBEATS;
            let round = self.leadership.round_completed.notified();
            let _ = self.runtime.timeout(hold_s, round).await;
        }
        let now = self.now();
        let reply = self.with_leader(fencing_token, |leader| {
            if leader.fleet.must_let_lease_expire(&heartbeat.machine, now) {
                return LeaderReply::LeaseMustExpire;
            }
            if !leader.append_reply_commands(heartbeat, &mut commands) {
                commands.extend(self.stop_commands(heartbeat));
            }
            LeaderReply::Commands
        });
        Some(match reply {
            Some(LeaderReply::Commands) => heartbeat_reply(fencing_token, commands),
            Some(LeaderReply::LeaseMustExpire) => {
                Response::retry_later(503, "the worker's lease must expire", RETRY_AFTER_S)
            }
            None => Response::retry_later(503, "this controller no longer leads", RETRY_AFTER_S),
        })
    }

    /// Stop commands for all tasks in a heartbeat whose jobs have ended according to this controller's replica.
    pub(crate) fn stop_commands(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        stop_commands_for_ended_jobs(heartbeat, |task| self.is_job_ended(task))
    }
}
