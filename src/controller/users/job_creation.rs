//! The transaction that creates a job.

use std::rc::Rc;

use serde_json::value::{RawValue, to_raw_value};

use crate::config::StateLimits;
use crate::protocol::store::{Change, Condition, Txn};
use crate::protocol::users::Submission;
use crate::store::keys;
use crate::store::records::JobRecord;

/// Maximum size of a transaction in bytes, set by the protocol of the state service.
const TXN_BYTES_MAX: usize = 64 * 1024;
/// Overhead of a string in a JSON list, in bytes: two quotes and a comma.
const LIST_ITEM_OVERHEAD_BYTES: usize = 3;

/// Why no transaction can be made for a job.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JobCreationError {
    /// A record can't be encoded as JSON.
    #[error("the job's record can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// The job exceeds a limit of the state service, even with its dependencies split over several values.
    #[error("the job exceeds a limit of the state service")]
    TooLarge,
}

/// The transaction that stores a job, provided that the store has neither the job nor its end. If the job's
/// dependencies don't fit into one value with its record, the same transaction stores them in values of their own.
pub(crate) fn job_creation(
    job: &Submission,
    accepted_at_ms: u64,
    charged_to: Option<Rc<str>>,
    limits: &StateLimits,
) -> Result<Txn, JobCreationError> {
    let value_bytes_max = (limits.value_kb * 1024.0) as usize;
    let mut record = JobRecord {
        spec: job.clone(),
        submitted_unix_ms: Some(accepted_at_ms),
        dependency_parts: 0,
        charged_to,
    };
    let mut values = vec![(keys::job(&job.id), to_raw_value(&record)?)];
    if values[0].1.get().len() > value_bytes_max {
        let ids = std::mem::take(&mut record.spec.waits_on);
        let parts = split_ids(&ids, value_bytes_max);
        record.dependency_parts =
            u32::try_from(parts.len()).map_err(|_| JobCreationError::TooLarge)?;
        values = vec![(keys::job(&job.id), to_raw_value(&record)?)];
        for (part, ids) in (1..).zip(parts) {
            values.push((keys::dependency_part(&job.id, part), to_raw_value(ids)?));
        }
    }
    let is_value_too_large =
        |(_, value): &(String, Box<RawValue>)| value.get().len() > value_bytes_max;
    if values.iter().any(is_value_too_large) || values.len() > limits.txn_ops {
        return Err(JobCreationError::TooLarge);
    }
    let txn = records_creation(&job.id, values);
    if serde_json::to_vec(&txn)?.len() > TXN_BYTES_MAX {
        return Err(JobCreationError::TooLarge);
    }
    Ok(txn)
}

/// Splits ids into lists that each take at most `bytes_max` bytes as JSON.
fn split_ids(ids: &[String], bytes_max: usize) -> Vec<&[String]> {
    let item_bytes_max = ids
        .iter()
        .map(|id| id.len() + LIST_ITEM_OVERHEAD_BYTES)
        .max();
    // The brackets of a list take 2 bytes.
    let ids_per_part = bytes_max.saturating_sub(2) / item_bytes_max.unwrap_or(1);
    ids.chunks(ids_per_part.max(1)).collect()
}

/// The transaction that creates a job's records, provided that the store has neither the job nor its end.
fn records_creation(id: &str, values: Vec<(String, Box<RawValue>)>) -> Txn {
    let absent = |key| Condition { key, revision: 0 };
    Txn {
        conditions: vec![absent(keys::job(id)), absent(keys::job_end(id))],
        changes: values
            .into_iter()
            .map(|(key, value)| Change::Put {
                key,
                value,
                lease: None,
            })
            .collect(),
    }
}
