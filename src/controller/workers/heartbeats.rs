//! Heartbeats of workers: answered as the leader, as its delegate, or with a redirect to the leader.

use crate::controller::workers::delegation::stop_commands_for_ended_jobs;
use crate::controller::{Controller, RETRY_S};
use crate::fleet::HeartbeatOrigin;
use crate::http::Response;
use crate::protocol::workers::{Command, Heartbeat, HeartbeatReply, Redirect};
use crate::runtime::Time;

/// How long the reply to a heartbeat waits for a round of the leader, in heartbeat intervals.
const REPLY_HOLD_HEARTBEATS: f64 = 0.15;

/// What a leader replies to a heartbeat, after a round that it waited for.
enum LeaderReply {
    /// The commands, which renew the worker's lease.
    Commands,
    /// What may yet start there must not: the worker's lease is to expire.
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
    /// Answers a heartbeat.
    pub(crate) async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
            return Response::error(400, "not a report");
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
            Some((host, fencing_token)) if host != self.config.node => {
                if let Some(answer) = self.answer_as_delegate(&heartbeat, fencing_token).await {
                    return answer;
                }
                self.record_redirect(&heartbeat, fencing_token, now);
                let redirect = Redirect {
                    report_to: Some(&host),
                };
                Response::json(421, &redirect)
            }
            _ => Response::retry_later(503, "nobody leads", RETRY_S),
        }
    }

    /// None: this controller does not lead with that token any more.
    async fn answer_as_leader(
        &self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
        now: Time,
    ) -> Option<Response> {
        let (commands, has_work_waiting) = self.with_leader(fencing_token, |leader| {
            leader.record_worker_contact(now);
            let commands = leader.on_heartbeat(heartbeat, HeartbeatOrigin::Periodic, now);
            (commands, leader.has_work_waiting())
        })?;
        let Some(mut commands) = commands else {
            // Nothing new: perhaps a late copy, perhaps a heartbeat that an answer to a direct command
            // overtook. It renews the lease in that case, so it must not go without the stops of what
            // is over; these do no harm to a worker that gave up on it.
            let commands = self.stop_commands(heartbeat);
            return Some(heartbeat_reply(fencing_token, commands));
        };
        self.leadership.round_due.set();
        if has_work_waiting {
            // What this heartbeat makes room for can go out with its reply, once stored.
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
                Response::retry_later(503, "the lease runs out", RETRY_S)
            }
            None => Response::retry_later(503, "no longer leading", RETRY_S),
        })
    }

    /// Stops for all that a worker has of jobs that have ended.
    pub(crate) fn stop_commands(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        stop_commands_for_ended_jobs(heartbeat, |task| self.is_job_ended(task))
    }
}
