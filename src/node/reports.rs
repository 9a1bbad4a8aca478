//! Reports of workers.

use std::rc::Rc;

use serde_json::value::to_raw_value;

use super::delegate::stops;
use super::{Node, RETRY_S, Seen};
use crate::cluster::WorkerSeen;
use crate::fleet::Source;
use crate::http::Response;
use crate::rt::Time;
use crate::view::{StepDownRequest, key};
use crate::wire::{self, Condition, Redirect, Report, ReportReply, Txn};

/// How long the answer to a report waits for a placement round, in report intervals.
const HOLD_REPORTS: f64 = 0.15;
/// Interval of pleas in report intervals, and the longest.
const STEP_DOWN_REQUEST_REPORTS: f64 = 0.5;
const STEP_DOWN_REQUEST_S_MAX: f64 = 1.5;
/// So many workers that can't reach the leader are told of.
const UNREACHABLE_WORKERS: usize = 2;

impl Node {
    pub(super) async fn report(&self, body: &[u8]) -> Response {
        let Ok(report) = serde_json::from_slice::<Report>(body) else {
            return Response::error(400, "not a report");
        };
        let now = self.now();
        let leader = self
            .view
            .borrow()
            .leader
            .as_ref()
            .map(|(r, token)| (r.host.clone(), *token));
        self.note_seen(&report, now);
        if let Some(token) = self.acting().filter(|t| report.token <= *t)
            && let Some(answer) = self.answer_as_leader(&report, token, now).await
        {
            return answer;
        }
        match leader {
            Some((host, token)) if host != self.config.node => {
                if let Some(answer) = self.answer_as_delegate(&report, token).await {
                    return answer;
                }
                self.note_redirect(&report, token, now);
                Response::json(
                    421,
                    &Redirect {
                        report_to: Some(&host),
                    },
                )
            }
            _ => Response::later(503, "nobody leads", RETRY_S),
        }
    }

    fn note_seen(&self, report: &Report, now: Time) {
        let mut seen = self.seen.borrow_mut();
        let entry = seen.entry(report.machine.clone()).or_insert_with(|| Seen {
            at: now,
            redirected: None,
            unreachable_since: None,
            worker: WorkerSeen {
                machine: report.machine.clone(),
                zone: report.zone.clone(),
                addr: report.addr.clone(),
                session: report.session,
            },
        });
        entry.at = now;
        entry.worker.session = report.session;
    }

    /// None: this node does not lead with that token any more.
    async fn answer_as_leader(&self, report: &Report, token: u64, now: Time) -> Option<Response> {
        let (commands, work_waits) = self.with_lead(token, |leader| {
            leader.note_report(now);
            let commands = leader.on_report(report, Source::Checkin, now);
            (commands, leader.has_work_waiting())
        })?;
        let Some(mut commands) = commands else {
            // Nothing new: perhaps a late copy, perhaps a report that an answer to a direct message
            // overtook. It renews the lease in that case, so it must not go without the stops of what
            // is over; these do no harm to a worker that gave up on it.
            let commands = stops(report, |task| self.is_over(task));
            return Some(Response::json(200, &ReportReply { token, commands }));
        };
        self.work.set();
        if work_waits {
            // What this report makes room for can go out with its answer, once stored.
            let hold = self.config.deployment.workers.report_s * HOLD_REPORTS;
            let _ = self.rt.timeout(hold, self.round.next()).await;
        }
        let now = self.now();
        let answered = self.with_lead(token, |leader| {
            if leader.lets_lapse(&report.machine, now) {
                return false;
            }
            if !leader.answer_commands(report, &mut commands) {
                commands.extend(stops(report, |task| self.is_over(task)));
            }
            true
        });
        Some(match answered {
            Some(true) => Response::json(200, &ReportReply { token, commands }),
            // What may yet start there must not: its worker's lease is to run out.
            Some(false) => Response::later(503, "the lease runs out", RETRY_S),
            None => Response::later(503, "no longer leading", RETRY_S),
        })
    }

    /// Workers that know the leader's token, or were told where the leader is, and come here all
    /// the same could not reach it.
    pub(super) fn note_redirect(&self, report: &Report, token: u64, now: Time) {
        let report_s = self.config.deployment.workers.report_s;
        let mut seen = self.seen.borrow_mut();
        if let Some(entry) = seen.get_mut(&report.machine) {
            let again = entry
                .redirected
                .is_some_and(|(at, t)| t == token && now - at < report_s * 4.0);
            entry.redirected = Some((now, token));
            entry.unreachable_since = (again || report.token == token).then_some(now);
        }
        let is_unreachable = seen
            .get(&report.machine)
            .is_some_and(|s| s.unreachable_since.is_some());
        let pause = (report_s * STEP_DOWN_REQUEST_REPORTS).min(STEP_DOWN_REQUEST_S_MAX);
        if !is_unreachable || now - self.step_down_requested_at.get() <= pause {
            return;
        }
        let lately = |s: &&Seen| {
            s.unreachable_since
                .is_some_and(|at| now - at < report_s * 2.0)
        };
        if seen.values().filter(lately).count() >= UNREACHABLE_WORKERS {
            self.step_down_requested_at.set(now);
            self.step_down_request.set(Some(token));
            self.step_down_request_work.set();
        }
    }

    /// Writes pleas: a leader that hears no worker while others do should give way.
    pub(super) async fn step_down_request_duty(self: Rc<Self>) {
        loop {
            self.step_down_request_work.take().await;
            let Some(token) = self.step_down_request.take() else {
                continue;
            };
            let Ok(value) = to_raw_value(&StepDownRequest { token }) else {
                continue;
            };
            let txn = Txn {
                conditions: vec![Condition {
                    key: key::leader(),
                    version: token,
                }],
                changes: vec![wire::Change::Put {
                    key: key::step_down_request(&self.config.node),
                    value,
                    lease: None,
                }],
            };
            tracing::info!("workers can't reach the leader");
            self.user_write(&txn).await;
        }
    }
}
