//! Users: their requests to any node, and the answers that they must never get.

use std::rc::Rc;

use futures_util::future::join_all;
use serde::Deserialize;

use super::{NODES, World, front_address};
use crate::http::Client;
use crate::protocol::paths;
use crate::protocol::users::{JobState, Submission};

const SUBMIT_S: f64 = 5.0;
const POLL_S: f64 = 2.0;
const BODY_MAX: usize = 64 * 1024;
/// Seconds after a job's last task has completed from which its user expects `done`.
const LAG_S: f64 = 3.0;
/// Seconds after which a job whose queries all fail counts as forgotten.
const FORGOTTEN_S: f64 = 75.0;

#[derive(Deserialize)]
struct JobStatusReply {
    #[serde(rename = "Uid")]
    id: String,
    #[serde(rename = "Status")]
    state: JobState,
}

/// An answer: HTTP status and, if the body shows a job, the job's state.
pub type Answer = (u16, Option<JobState>);

impl World {
    async fn send_request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
        id: &str,
    ) -> Answer {
        // Earlier answers must hold in the answer to a request sent later.
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
        let text = |what: &str| format!("{now:.1}: {id} at n{node}: {what}");
        let accepted = before.accepted.is_some();
        if accepted && matches!(status, 400 | 404 | 422) {
            self.checks
                .report_violation("forgotten", text(&status.to_string()));
        }
        let Some(reply) = reply else {
            return (status, None);
        };
        assert_eq!(reply.id, id);
        if before.spec.is_none() {
            self.checks
                .report_violation("invented", text("nobody submitted it"));
            return (status, Some(reply.state));
        }
        if let Some((final_state, _)) = before.final_state
            && final_state != reply.state
        {
            let what = format!("{:?} after {final_state:?}", reply.state);
            self.checks.report_violation("went_back", text(&what));
        }
        if reply.state == JobState::Done && !self.checks.is_complete(id) {
            self.checks.report_violation("not_done", text("told done"));
        }
        if reply.state == JobState::Cancelled && !self.checks.may_be_cancelled(id) {
            self.checks
                .report_violation("went_back", text("nobody cancelled it"));
        }
        let open = matches!(reply.state, JobState::Queued | JobState::Running);
        if open && self.checks.must_be_cancelled(id, now) {
            self.checks
                .report_violation("orphaned", text("a job before it is cancelled"));
        }
        let mut jobs = self.checks.jobs.borrow_mut();
        let known = jobs.get_mut(id).unwrap();
        known.accepted.get_or_insert(now);
        if matches!(reply.state, JobState::Done | JobState::Cancelled) {
            known.final_state.get_or_insert((reply.state, now));
        }
        (status, Some(reply.state))
    }

    /// Registers a job that will be submitted.
    pub fn expect_submission(&self, spec: &Submission) {
        let mut jobs = self.checks.jobs.borrow_mut();
        let known = jobs.entry(spec.id.clone()).or_default();
        known.spec.get_or_insert_with(|| spec.clone());
    }

    pub async fn submit(&self, node: usize, spec: &Submission) -> Answer {
        self.expect_submission(spec);
        let body = serde_json::to_vec(spec).unwrap();
        self.send_request(node, "POST", paths::JOBS, Some(&body), SUBMIT_S, &spec.id)
            .await
    }

    /// Submits until the job is accepted.
    pub async fn submit_until_accepted(&self, node: usize, spec: &Submission) {
        for _ in 0..60 {
            if matches!(self.submit(node, spec).await.0, 200 | 201) {
                return;
            }
            self.run(1.0).await;
        }
        panic!("{} was never taken", spec.id);
    }

    /// Posts a body that may be no valid submission; returns the status.
    pub async fn post_submission(&self, node: usize, body: &str) -> u16 {
        let client = Client::new(&self.runtime, front_address(node), BODY_MAX);
        let call = client.call("POST", paths::JOBS, Some(body.as_bytes()), SUBMIT_S);
        call.await.map_or(0, |(status, _)| status)
    }

    pub async fn query(&self, node: usize, id: &str) -> Answer {
        let path = format!("{}/{id}", paths::JOBS);
        self.send_request(node, "GET", &path, None, POLL_S, id)
            .await
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Answer {
        if let Some(known) = self.checks.jobs.borrow_mut().get_mut(id) {
            known.cancel_requested = true;
        }
        let path = format!("{}/{id}{}", paths::JOBS, paths::CANCEL_SUFFIX);
        self.send_request(node, "POST", &path, Some(b""), SUBMIT_S, id)
            .await
    }

    /// Cancels until that is confirmed or the job is done.
    pub async fn cancel_until_confirmed(&self, node: usize, id: &str) -> JobState {
        for _ in 0..200 {
            if let (200, Some(state)) = self.cancel(node, id).await {
                return state;
            }
            self.run(1.0).await;
        }
        panic!("{id}: the cancellation was never confirmed");
    }

    /// Queries all nodes concurrently, and repeats the submission at all of them.
    pub async fn query_all_nodes(&self, id: &str) -> Vec<Answer> {
        let spec = self.checks.jobs.borrow()[id].spec.clone().unwrap();
        let queries = (0..NODES).map(|node| self.query(node, id));
        let mut reply = join_all(queries).await;
        let repeats = (0..NODES).map(|node| self.submit(node, &spec));
        reply.extend(join_all(repeats).await);
        reply
    }

    /// After all faults: every accepted job must be known and end within `limit_s`, and none may be pending where
    /// there is room.
    pub async fn wait_for_all_jobs(self: &Rc<Self>, limit_s: f64) {
        let began = self.now();
        self.checks.faults_end_at.set(began);
        let open = || -> Vec<String> {
            let jobs = self.checks.jobs.borrow();
            let open = jobs
                .iter()
                .filter(|(_, k)| k.accepted.is_some() && k.final_state.is_none());
            open.map(|(id, _)| id.clone()).collect()
        };
        let mut answered: std::collections::BTreeMap<String, f64> = Default::default();
        let mut turn = 0;
        loop {
            let ids = open();
            if ids.is_empty() {
                break;
            }
            let now = self.now();
            assert!(now - began < limit_s, "{now:.1}: never ended: {ids:?}");
            for id in ids {
                turn += 1;
                let complete = self.checks.is_complete(&id);
                let reply = self.query(turn % NODES, &id).await;
                if reply.1.is_some() {
                    answered.insert(id.clone(), now);
                }
                let last = answered.get(&id).copied().unwrap_or(began);
                if now - last > FORGOTTEN_S {
                    self.checks
                        .report_violation("forgotten", format!("{now:.1}: {id}"));
                    return;
                }
                let any_lease_lost =
                    |world: &World| world.all_workers().iter().any(|k| k.has_lost_a_lease());
                if complete && reply.1.is_some() && !any_lease_lost(self) {
                    // `done` is due shortly after the last completion, unless no controller could see that in time.
                    self.run(LAG_S).await;
                    let reply = self.query(turn % NODES, &id).await;
                    if reply.1.is_some() && self.checks.jobs.borrow()[&id].final_state.is_none() {
                        self.checks
                            .report_violation("late done", format!("{now:.1}: {id}"));
                    }
                }
            }
            self.run(2.0).await;
        }
        // No task of an ended job may be left on a machine.
        self.run(self.config.deployment.workers.cancel_s + 5.0)
            .await;
    }
}
