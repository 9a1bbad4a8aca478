//! Stand-ins for users: they send requests to any controller, and report replies that the protocol rules out.

use std::rc::Rc;

use futures_util::future::join_all;
use serde::Deserialize;

use super::{NODES, World, front_address};
use crate::http::Client;
use crate::protocol::paths;
use crate::protocol::users::{JobState, Submission};

/// Timeouts of requests, in seconds.
const SUBMIT_TIMEOUT_S: f64 = 5.0;
const QUERY_TIMEOUT_S: f64 = 2.0;
const BODY_MAX: usize = 64 * 1024;
/// Seconds from the time at which a test finds all tasks of a job complete until users must see the job as done.
const DONE_DELAY_S: f64 = 3.0;
/// A job counts as forgotten when no reply to a query has shown it for this many seconds.
const FORGOTTEN_S: f64 = 75.0;

#[derive(Deserialize)]
struct JobStatusReply {
    #[serde(rename = "Uid")]
    id: String,
    #[serde(rename = "Status")]
    state: JobState,
}

/// A reply: its HTTP status (0 if there was no reply) and the job's state, if the body shows a job.
pub type Answer = (u16, Option<JobState>);

impl World {
    /// Sends a request about a job and checks the reply: an accepted job must stay known (`forgotten`); a job exists
    /// only if it was submitted (`invented`); a final state must not change, and a job is cancelled only if its
    /// cancellation or that of a dependency was requested (`went_back`); a job is done only if all its tasks completed
    /// (`not_done`); a dependent of a cancelled job must be cancelled in time (`orphaned`).
    async fn send_request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
        id: &str,
    ) -> Answer {
        // The reply must be consistent with all replies received before the request was sent, but not with those
        // received in the meantime.
        let before = self.checks.jobs.borrow().get(id).cloned();
        let client = Client::new(&self.runtime, front_address(node), BODY_MAX);
        let call = client.call(method, path, body, limit_s).await;
        let Ok((status, body)) = call else {
            return (0, None);
        };
        let reply: Option<JobStatusReply> = serde_json::from_slice(&body).ok();
        let reply = reply.filter(|_| matches!(status, 200 | 201));
        let before = before.unwrap_or_default();
        let now = self.now();
        let describe = |problem: &str| format!("{now:.1}: {id} at n{node}: {problem}");
        let accepted = before.accepted.is_some();
        if accepted && matches!(status, 400 | 404 | 422) {
            self.checks
                .report_violation("forgotten", describe(&status.to_string()));
        }
        let Some(reply) = reply else {
            return (status, None);
        };
        assert_eq!(reply.id, id);
        if before.spec.is_none() {
            self.checks
                .report_violation("invented", describe("the job was never submitted"));
            return (status, Some(reply.state));
        }
        if let Some((final_state, _)) = before.final_state
            && final_state != reply.state
        {
            let change = format!("{:?} after {final_state:?}", reply.state);
            self.checks.report_violation("went_back", describe(&change));
        }
        if reply.state == JobState::Done && !self.checks.is_complete(id) {
            self.checks.report_violation(
                "not_done",
                describe("reported as done before all tasks completed"),
            );
        }
        if reply.state == JobState::Cancelled && !self.checks.may_be_cancelled(id) {
            self.checks
                .report_violation("went_back", describe("cancelled without a request"));
        }
        let has_not_ended = matches!(reply.state, JobState::Queued | JobState::Running);
        if has_not_ended && self.checks.must_be_cancelled(id, now) {
            self.checks
                .report_violation("orphaned", describe("a dependency is cancelled"));
        }
        let mut jobs = self.checks.jobs.borrow_mut();
        let known = jobs.get_mut(id).unwrap();
        known.accepted.get_or_insert(now);
        if matches!(reply.state, JobState::Done | JobState::Cancelled) {
            known.final_state.get_or_insert((reply.state, now));
        }
        (status, Some(reply.state))
    }

    /// Registers a job that will be submitted, so that replies may show it.
    pub fn expect_submission(&self, spec: &Submission) {
        let mut jobs = self.checks.jobs.borrow_mut();
        let known = jobs.entry(spec.id.clone()).or_default();
        known.spec.get_or_insert_with(|| spec.clone());
    }

    pub async fn submit(&self, node: usize, spec: &Submission) -> Answer {
        self.expect_submission(spec);
        let body = serde_json::to_vec(spec).unwrap();
        self.send_request(
            node,
            "POST",
            paths::JOBS,
            Some(&body),
            SUBMIT_TIMEOUT_S,
            &spec.id,
        )
        .await
    }

    /// Submits a job until it is accepted.
    pub async fn submit_until_accepted(&self, node: usize, spec: &Submission) {
        for _ in 0..60 {
            if matches!(self.submit(node, spec).await.0, 200 | 201) {
                return;
            }
            self.run(1.0).await;
        }
        panic!("{} was never accepted", spec.id);
    }

    /// Posts a submission that may be malformed. Returns the status, or 0 without a reply.
    pub async fn post_submission(&self, node: usize, body: &str) -> u16 {
        let client = Client::new(&self.runtime, front_address(node), BODY_MAX);
        let call = client.call("POST", paths::JOBS, Some(body.as_bytes()), SUBMIT_TIMEOUT_S);
        call.await.map_or(0, |(status, _)| status)
    }

    pub async fn query(&self, node: usize, id: &str) -> Answer {
        let path = format!("{}/{id}", paths::JOBS);
        self.send_request(node, "GET", &path, None, QUERY_TIMEOUT_S, id)
            .await
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Answer {
        if let Some(known) = self.checks.jobs.borrow_mut().get_mut(id) {
            known.cancel_requested = true;
        }
        let path = format!("{}/{id}{}", paths::JOBS, paths::CANCEL_SUFFIX);
        self.send_request(node, "POST", &path, Some(b""), SUBMIT_TIMEOUT_S, id)
            .await
    }

    /// Requests the cancellation until a reply confirms it or shows that the job is done. Returns the job's state.
    pub async fn cancel_until_confirmed(&self, node: usize, id: &str) -> JobState {
        for _ in 0..200 {
            if let (200, Some(state)) = self.cancel(node, id).await {
                return state;
            }
            self.run(1.0).await;
        }
        panic!("{id}: the cancellation was never confirmed");
    }

    /// Queries a job at all controllers concurrently, then repeats its submission at all of them concurrently.
    pub async fn query_all_nodes(&self, id: &str) -> Vec<Answer> {
        let spec = self.checks.jobs.borrow()[id].spec.clone().unwrap();
        let queries = (0..NODES).map(|node| self.query(node, id));
        let mut replies = join_all(queries).await;
        let repeats = (0..NODES).map(|node| self.submit(node, &spec));
        replies.extend(join_all(repeats).await);
        replies
    }

    /// Waits, after all faults, until every accepted job has ended. Every such job must stay known (`forgotten`) and
    /// end within `limit_s` seconds, must be shown as done soon after its last task (`late done`), and must not stay
    /// pending while there is free capacity (`left waiting`).
    pub async fn wait_for_all_jobs(self: &Rc<Self>, limit_s: f64) {
        let started_at = self.now();
        self.checks.faults_end_at.set(started_at);
        let jobs_not_ended = || -> Vec<String> {
            let jobs = self.checks.jobs.borrow();
            let not_ended = jobs
                .iter()
                .filter(|(_, known)| known.accepted.is_some() && known.final_state.is_none());
            not_ended.map(|(id, _)| id.clone()).collect()
        };
        let mut answered_at: std::collections::BTreeMap<String, f64> = Default::default();
        let mut query_count = 0;
        loop {
            let ids = jobs_not_ended();
            if ids.is_empty() {
                break;
            }
            let now = self.now();
            assert!(
                now - started_at < limit_s,
                "{now:.1}: jobs did not end: {ids:?}"
            );
            for id in ids {
                query_count += 1;
                let complete = self.checks.is_complete(&id);
                let reply = self.query(query_count % NODES, &id).await;
                if reply.1.is_some() {
                    answered_at.insert(id.clone(), now);
                }
                let last_answered_at = answered_at.get(&id).copied().unwrap_or(started_at);
                if now - last_answered_at > FORGOTTEN_S {
                    self.checks
                        .report_violation("forgotten", format!("{now:.1}: {id}"));
                    return;
                }
                let any_lease_lost = |world: &World| {
                    world
                        .all_workers()
                        .iter()
                        .any(|worker| worker.has_lost_a_lease())
                };
                if complete && reply.1.is_some() && !any_lease_lost(self) {
                    // The job must be shown as done shortly after its last task completed. This isn't checked once a
                    // worker's lease has expired, since then the completion may not have reached a controller in time.
                    self.run(DONE_DELAY_S).await;
                    let reply = self.query(query_count % NODES, &id).await;
                    if reply.1.is_some() && self.checks.jobs.borrow()[&id].final_state.is_none() {
                        self.checks
                            .report_violation("late done", format!("{now:.1}: {id}"));
                    }
                }
            }
            self.run(2.0).await;
        }
        // Waits until `cancel_s` has passed since the last reply, so that `Checks::check_all` reports each task of a
        // cancelled job that is still on a machine. It doesn't look at tasks of jobs that are done.
        self.run(self.config.deployment.workers.cancel_s + 5.0)
            .await;
    }
}
