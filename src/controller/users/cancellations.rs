//! Cancellations of jobs.

use serde_json::value::{RawValue, to_raw_value};

use crate::controller::users::requests::{STATE_UNKNOWN, job_answer};
use crate::controller::users::submission_checks::is_job_id;
use crate::controller::{Controller, RETRY_S};
use crate::http::Response;
use crate::protocol::store::{Change, Condition, Txn};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::replica::ReplicatedJob;
use crate::store::transaction::TxnOutcome;

impl Controller {
    /// Answers a cancellation: its end is created in the store, unless the job has ended before.
    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::error(404, "no such job");
        }
        if let Some(answer) = self.final_state(id) {
            return answer;
        }
        if self.read_barrier().await.is_err() {
            return Response::retry_later(503, STATE_UNKNOWN, RETRY_S);
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
            return Response::error(500, "not storable");
        };
        let txn = create_end(id, job_revision, value);
        match self.write_for_user(&txn).await {
            TxnOutcome::Applied(_) => job_answer(id, &ReplicatedJob::ended(record)),
            TxnOutcome::Conflict(_) if self.read_barrier().await.is_ok() => self
                .final_state(id)
                .unwrap_or_else(|| Response::retry_later(503, "changing", RETRY_S)),
            _ => Response::retry_later(503, "could not be stored now", RETRY_S),
        }
    }
}

/// Creates a job's end, if its record is as it was read.
fn create_end(id: &str, job_revision: u64, value: Box<RawValue>) -> Txn {
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
