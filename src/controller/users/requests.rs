//! Requests to the front: their routes, readiness, and queries for a job's state.

use std::rc::Rc;

use crate::controller::users::submission_checks::is_job_id;
use crate::controller::{Controller, RETRY_S};
use crate::http::{Request, Response};
use crate::protocol::paths;
use crate::store::replica::ReplicatedJob;

/// A controller is not ready when the state service has not answered it for so many heartbeat intervals of the workers
/// while others have it.
const STORE_LOST_HEARTBEATS: f64 = 1.5;
/// Greatest such time, in seconds.
const STORE_LOST_S_MAX: f64 = 4.5;

/// Answer when a job's state can't be read as current.
pub(crate) const STATE_UNKNOWN: &str = "state not known now";

impl Controller {
    /// Answers a request to the front.
    pub(crate) async fn handle_request(self: Rc<Self>, request: Request) -> Response {
        let route = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), route) {
            ("POST", paths::HEARTBEAT) => self.handle_heartbeat(&request.body).await,
            ("POST", paths::JOBS) => self.submit(&request.body).await,
            ("GET", paths::READY) => self.readiness(),
            (_, paths::HEARTBEAT | paths::JOBS | paths::READY) => {
                Response::error(405, "method not allowed")
            }
            (method, route) => self.handle_job_request(method, route).await,
        }
    }

    /// Answers a request for a job: a query or a cancellation.
    async fn handle_job_request(&self, method: &str, route: &str) -> Response {
        let Some(rest) = route
            .strip_prefix(paths::JOBS)
            .and_then(|rest| rest.strip_prefix('/'))
        else {
            return Response::error(404, "no such path");
        };
        match (method, rest.strip_suffix(paths::CANCEL_SUFFIX)) {
            ("POST", Some(id)) => self.cancel(id).await,
            ("GET", None) => self.query(rest).await,
            _ => Response::error(405, "method not allowed"),
        }
    }

    /// Whether the load balancer should send users here.
    pub(crate) fn readiness(&self) -> Response {
        let now = self.now();
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let within_s = (heartbeat_interval_s * STORE_LOST_HEARTBEATS).min(STORE_LOST_S_MAX);
        let is_able = self.replication.is_loaded.get()
            && self.replication.replica.borrow().machine_types.is_some();
        let has_store = self
            .replication
            .store_contact_age_s(now)
            .is_some_and(|age_s| age_s < within_s);
        let quota_agrees = self.quota_agrees();
        // Without the state service users are no better off elsewhere, unless others have it, or may:
        // a controller that gets no heartbeats from the others either is cut off.
        let is_outage = self.config.peers.is_empty()
            || self.peers.any_alive(now, within_s) && !self.peers.any_has_store(now, within_s);
        if is_able && quota_agrees && (has_store || is_outage) {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            Response::retry_later(503, "not ready", RETRY_S)
        }
    }

    /// Answers a query for a job's state.
    pub(crate) async fn query(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::error(404, "no such job");
        }
        if let Some(answer) = self.final_state(id) {
            return answer;
        }
        if self.read_barrier().await.is_err() {
            return Response::retry_later(503, STATE_UNKNOWN, RETRY_S);
        }
        self.current_state(id)
    }

    /// The answer with a job's final state: it needs no read barrier, as an end never changes.
    pub(crate) fn final_state(&self, id: &str) -> Option<Response> {
        let replica = self.replication.replica.borrow();
        let job = replica.jobs.get(id).filter(|j| j.has_ended())?;
        Some(job_answer(id, job))
    }

    /// The answer with a job's state after a read barrier.
    pub(crate) fn current_state(&self, id: &str) -> Response {
        self.known_state(id)
            .unwrap_or_else(|| Response::error(404, "no such job"))
    }

    /// The answer with a job's state after a read barrier, if it is known.
    pub(crate) fn known_state(&self, id: &str) -> Option<Response> {
        let replica = self.replication.replica.borrow();
        let job = replica.jobs.get(id).filter(|j| j.is_known())?;
        Some(job_answer(id, job))
    }

    /// Whether the replica has a job's record or its end.
    pub(crate) fn is_known(&self, id: &str) -> bool {
        let replica = self.replication.replica.borrow();
        replica.jobs.get(id).is_some_and(ReplicatedJob::is_known)
    }
}

/// The answer with a job's state.
pub(crate) fn job_answer(id: &str, job: &ReplicatedJob) -> Response {
    Response::json(200, &job.status(id))
}
