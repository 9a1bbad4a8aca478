//! Cancellations: a user's request to cancel a job, recorded in the store as the job's end.

use serde_json::value::{RawValue, to_raw_value};

use crate::controller::users::requests::{STATE_UNKNOWN, job_answer};
use crate::controller::users::submission_checks::is_job_id;
use crate::controller::{Controller, RETRY_AFTER_S};
use crate::http::Response;
use crate::protocol::store::{Change, Condition, Txn};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::replica::ReplicatedJob;
use crate::store::transaction::TxnOutcome;

/// Answer when the cancellation may not have been stored.
const CANCELLATION_UNCONFIRMED: &str = "the state service did not confirm the cancellation";

impl Controller {
    /// Answers a cancellation: records in the store that the job ended as cancelled, unless it has ended already.
    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::error(404, "no such job");
        }
        if let Some(answer) = self.final_state(id) {
            return answer;
        }
        if self.read_barrier().await.is_err() {
            return Response::retry_later(503, STATE_UNKNOWN, RETRY_AFTER_S);
        }
        let (job_revision, done) = {
            let replica = self.replication.replica.borrow();
            match replica.jobs.get(id).filter(|j| j.is_known()) {
                None => return Response::error(404, "no such job"),
                Some(job) if job.has_ended() => return job_answer(id, job),
                Some(job) => (job.accepted_revision, job.tasks_done()),
            }
        };
        let record = EndRecord {
            end: JobEnd::Cancelled,
            tasks_done: done,
            ended_unix_ms: Some(self.runtime.unix_ms()),
        };
        let Ok(value) = to_raw_value(&record) else {
            return Response::error(500, "the record of the job's end can't be encoded");
        };
        let txn = end_creation(id, job_revision, value);
        match self.write_for_user(&txn).await {
            TxnOutcome::Applied(_) => job_answer(id, &ReplicatedJob::ended(record)),
            TxnOutcome::Conflict(_) if self.read_barrier().await.is_ok() => {
                self.final_state(id).unwrap_or_else(|| {
                    Response::retry_later(503, "the job's record is changing", RETRY_AFTER_S)
                })
            }
            _ => Response::retry_later(503, CANCELLATION_UNCONFIRMED, RETRY_AFTER_S),
        }
    }
}

/// The transaction that creates the record of a job's end, provided that the job has no such record yet and that its
/// own record still has the revision at which it was read.
fn end_creation(id: &str, job_revision: u64, value: Box<RawValue>) -> Txn {
    Txn {
        conditions: vec![
            Condition {
                key: keys::job_end(id),
                revision: 0,
            },
            Condition {
                key: keys::job(id),
                revision: job_revision,
            },
        ],
        changes: vec![Change::Put {
            key: keys::job_end(id),
            value,
            lease: None,
        }],
    }
}
