//! Requests to the front, the controller's HTTP server for users, workers and the load balancer: routing, the readiness
//! check, and queries for a job's state.

use std::rc::Rc;

use crate::controller::users::submission_checks::is_job_id;
use crate::controller::{Controller, RETRY_AFTER_S};
use crate::http::{Request, Response};
use crate::protocol::paths;
use crate::store::replica::ReplicatedJob;

/// Number of the workers' heartbeat intervals without an answer from the state service after which a controller is not
/// ready, unless there are no other controllers or their heartbeats show that none of them reaches the state service
/// either.
const STORE_LOST_HEARTBEATS: f64 = 1.5;
/// Upper bound of that time, in seconds.
const STORE_LOST_S_MAX: f64 = 4.5;

/// Answer when a job's current state can't be determined: no read barrier could be passed, so that the replica may be
/// out of date, or the replica does not show why the store rejected the job's creation.
pub(crate) const STATE_UNKNOWN: &str = "the job's current state can't be read";

impl Controller {
    /// Routes a request and answers it.
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

    /// Answers a request whose path names a job: a query or a cancellation.
    async fn handle_job_request(&self, method: &str, route: &str) -> Response {
        let Some(job_path) = route
            .strip_prefix(paths::JOBS)
            .and_then(|path| path.strip_prefix('/'))
        else {
            return Response::error(404, "no such path");
        };
        match (method, job_path.strip_suffix(paths::CANCEL_SUFFIX)) {
            ("POST", Some(id)) => self.cancel(id).await,
            ("GET", None) => self.query(job_path).await,
            _ => Response::error(405, "method not allowed"),
        }
    }

    /// Answers the load balancer's readiness check: 200 if it should send users to this controller, else 503.
    pub(crate) fn readiness(&self) -> Response {
        let now = self.now();
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let within_s = (heartbeat_interval_s * STORE_LOST_HEARTBEATS).min(STORE_LOST_S_MAX);
        let is_initialized = self.replication.is_loaded.get()
            && self.replication.replica.borrow().machine_types.is_some();
        let has_store = self
            .replication
            .store_contact_age_s(now)
            .is_some_and(|age_s| age_s < within_s);
        let quota_agrees = self.quota_agrees();
        // During an outage of the state service no controller serves users better than this one, so it stays ready. If
        // another controller reaches the state service, users should go there. Without heartbeats from any of the
        // others this controller is probably partitioned from them too, and the others may reach the state service.
        let is_outage = self.config.peers.is_empty()
            || self.peers.any_alive(now, within_s) && !self.peers.any_has_store(now, within_s);
        if is_initialized && quota_agrees && (has_store || is_outage) {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            Response::retry_later(503, "the controller is not ready", RETRY_AFTER_S)
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
            return Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S);
        }
        self.current_state(id)
    }

    /// The answer with a job's state if the replica shows that the job has ended. No read barrier is needed, as an end
    /// never changes.
    pub(crate) fn final_state(&self, id: &str) -> Option<Response> {
        let replica = self.replication.replica.borrow();
        let job = replica.jobs.get(id).filter(|j| j.has_ended())?;
        Some(job_answer(id, job))
    }

    /// The answer with a job's state, or 404 if the job is not known. Call after a read barrier.
    pub(crate) fn current_state(&self, id: &str) -> Response {
        self.known_state(id)
            .unwrap_or_else(|| Response::error(404, "no such job"))
    }

    /// The answer with a job's state; None if the job is not known. Call after a read barrier.
    pub(crate) fn known_state(&self, id: &str) -> Option<Response> {
        let replica = self.replication.replica.borrow();
        let job = replica.jobs.get(id).filter(|j| j.is_known())?;
        Some(job_answer(id, job))
    }

    /// Whether the replica has a job's record or the record of its end.
    pub(crate) fn is_known(&self, id: &str) -> bool {
        let replica = self.replication.replica.borrow();
        replica.jobs.get(id).is_some_and(ReplicatedJob::is_known)
    }
}

pub(crate) fn job_answer(id: &str, job: &ReplicatedJob) -> Response {
    Response::json(200, &job.status(id))
}
