//! Submissions: checks a job and stores it, or answers with the state of a job that is known already.

use quota::{Attempt, AttemptOutcome};

use crate::admission_quota::store_mapping::conditions_of;
use crate::controller::users::job_creation::job_creation;
use crate::controller::users::requests::STATE_UNKNOWN;
use crate::controller::users::submission_checks::{
    DependencyError, Infeasibility, infeasibility, parse_submission,
};
use crate::controller::{Controller, RETRY_AFTER_S};
use crate::http::Response;
use crate::protocol::users::{JobKind, JobState, Submission};
use crate::store::replica::ReplicatedJob;
use crate::store::transaction::TxnOutcome;

/// Answer when a job exceeds the limits of the state service.
const TOO_LARGE: &str = "the job is larger than the state service can store";
/// Answer when the controllers have no memory for another job.
const NO_MEMORY: &str = "the controllers hold as many jobs as their memory allows";
/// When a submission that was refused for want of memory is worth repeating, in seconds.
const MEMORY_RETRY_AFTER_S: u32 = 10;
/// Answer when the job may not have been stored.
const SUBMISSION_UNCONFIRMED: &str = "the state service did not confirm the submission";

/// The outcome of an attempt to create a job.
pub(crate) enum CreationOutcome {
    /// The attempt is complete; the user gets this answer.
    Answer(Response),
    /// Nothing was stored, and the job is not known: a condition that concerns something else failed, such as the
    /// revision of an allotment.
    Conflict,
}

impl Controller {
    /// Answers a submission.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        let job = match parse_submission(body) {
            Ok(job) => job,
            Err(error) => {
                tracing::debug!(%error, "malformed submission");
                return Response::error(400, &error.to_string());
            }
        };
        if let Some(answer) = self.final_state(&job.id) {
            return answer;
        }
        let types = self.replication.replica.borrow().machine_types.clone();
        let (true, Some(types)) = (self.replication.is_loaded.get(), types) else {
            return Response::retry_later(503, "the controller is not ready", RETRY_AFTER_S);
        };
        if self.is_known(&job.id) {
            return match self.read_barrier().await {
                Ok(()) => self.current_state(&job.id),
                Err(_) => Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S),
            };
        }
        if let Some(reason) = infeasibility(&job, &self.config, &types) {
            let refusal = Response::error(422, &reason.to_string());
            return match reason {
                // Another controller, whose memory allows more or whose version is earlier, may have accepted the job.
                Infeasibility::GangTasks(_) => self.refuse_unless_known(&job, refusal).await,
                _ => refusal,
            };
        }
        if !job.waits_on.is_empty() {
            // The replica may lag behind the store: whether this job or one of its dependencies was accepted is known
            // only after a read that began after the request arrived.
            if self.read_barrier().await.is_err() {
                return Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S);
            }
            if self.is_known(&job.id) {
                return self.current_state(&job.id);
            }
            if let Err(error) = self.check_dependencies(&job) {
                return Response::error(422, &error.to_string());
            }
        }
        if !self.has_memory_for_job() {
            return Response::retry_later(503, NO_MEMORY, MEMORY_RETRY_AFTER_S);
        }
        self.store_submission(&job).await
    }

    /// Stores a new job, within its team's quota if quotas are enabled; returns the answer for its user.
    async fn store_submission(&self, job: &Submission) -> Response {
        if let Some(quota) = &self.quota {
            return self.create_within_quota(quota, job).await;
        }
        match self.create_job(job, None).await {
            CreationOutcome::Answer(answer) => answer,
            CreationOutcome::Conflict => Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S),
        }
    }

    /// Stores a new job. `attempt` is set if the job is charged to an allotment; the transaction then has the attempt's
    /// conditions too.
    pub(crate) async fn create_job(
        &self,
        job: &Submission,
        attempt: Option<&Attempt>,
    ) -> CreationOutcome {
        let state = &self.config.deployment.state;
        let charged_to = attempt.map(|_| self.config.node.as_str().into());
        let mut txn = match job_creation(job, self.runtime.unix_ms(), charged_to, state) {
            Ok(txn) => txn,
            Err(error) => {
                tracing::debug!(job = job.id, %error, "the job can't be stored");
                self.finish_attempt(attempt, AttemptOutcome::NotApplied);
                return CreationOutcome::Answer(self.refuse_as_too_large(job).await);
            }
        };
        if let Some(attempt) = attempt {
            txn.conditions.extend(conditions_of(&attempt.conditions()));
        }
        let outcome = self.write_for_user(&txn).await;
        self.finish_attempt(
            attempt,
            match outcome {
                TxnOutcome::Refused | TxnOutcome::Rejected => AttemptOutcome::NotApplied,
                _ => AttemptOutcome::MayBeApplied,
            },
        );
        CreationOutcome::Answer(match outcome {
            // The job may have ended before the store's answer arrived, and another controller may have reported that
            // end to a user: this answer must not show an earlier state.
            TxnOutcome::Applied(_) => self
                .final_state(&job.id)
                .unwrap_or_else(|| self.accepted_answer(job)),
            TxnOutcome::Conflict(_) if self.read_barrier().await.is_ok() => {
                match self.known_state(&job.id) {
                    Some(answer) => answer,
                    None => return CreationOutcome::Conflict,
                }
            }
            TxnOutcome::Rejected => self.refuse_as_too_large(job).await,
            _ => Response::retry_later(503, SUBMISSION_UNCONFIRMED, RETRY_AFTER_S),
        })
    }

    /// The answer to a submission that was stored. A job that depends on a cancelled job is accepted, and its state is
    /// cancelled from the start.
    fn accepted_answer(&self, job: &Submission) -> Response {
        let mut new_job = ReplicatedJob::default();
        new_job.dependency_cancelled = self.has_cancelled_dependency(job);
        Response::json(201, &new_job.status(&job.id))
    }

    /// Refuses a job that is too large to be stored, unless it is known: another controller, whose limits allow larger
    /// values, may have accepted it a moment ago.
    async fn refuse_as_too_large(&self, job: &Submission) -> Response {
        let refusal = Response::error(422, TOO_LARGE);
        self.refuse_unless_known(job, refusal).await
    }

    /// Answers with `refusal`, unless the job is known after a read barrier: another controller may just have accepted
    /// it, and then the answer is the job's state.
    pub(crate) async fn refuse_unless_known(
        &self,
        job: &Submission,
        refusal: Response,
    ) -> Response {
        if self.read_barrier().await.is_err() {
            return Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S);
        }
        self.known_state(&job.id).unwrap_or(refusal)
    }

    /// Whether any of a job's dependencies is known to be cancelled.
    fn has_cancelled_dependency(&self, job: &Submission) -> bool {
        let replica = self.replication.replica.borrow();
        let mut dependencies = job
            .waits_on
            .iter()
            .filter_map(|id| replica.jobs.get(id.as_str()));
        dependencies.any(|dependency| dependency.status("").state == JobState::Cancelled)
    }

    /// Checks that all dependencies of a job are known and can be done. Call after a read barrier.
    fn check_dependencies(&self, job: &Submission) -> Result<(), DependencyError> {
        let replica = self.replication.replica.borrow();
        for id in &job.waits_on {
            let dependency = replica.jobs.get(id.as_str()).filter(|j| j.is_known());
            let Some(dependency) = dependency else {
                return Err(DependencyError::NeverSubmitted(id.clone()));
            };
            let spec = dependency.spec.as_ref();
            if spec.is_some_and(|spec| spec.kind == JobKind::Service) {
                return Err(DependencyError::NeverDone(id.clone()));
            }
        }
        Ok(())
    }
}
