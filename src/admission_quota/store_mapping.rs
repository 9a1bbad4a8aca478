//! Mapping of quota accounts to keys, values and transactions of the state service.

use std::rc::Rc;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use quota::{AccountChange, AccountId, Plan, QuotaAmount, RevisionCondition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

use crate::protocol::store::{Change, Condition, Txn};
use crate::protocol::users::Submission;
use crate::store::keys;

// Account kinds: the first segment of an account's key after the common prefix of quota keys.
const SETTINGS: &str = "settings";
const SHARED: &str = "shared";
const TEAM: &str = "team";
const ALLOTMENT: &str = "allotment";
const OWNER: &str = "owner";

/// Characters of names that are escaped: names of teams and controllers may contain any character, but a segment of a
/// key may contain neither spaces nor slashes.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');
/// Maximum length of an escaped name in bytes: the key of an allotment, with two names, must not exceed the length
/// limit of keys.
pub const NAME_BYTES_MAX: usize = 80;

/// Escapes a name for use as a segment of a key.
pub fn escaped(name: &str) -> String {
    utf8_percent_encode(name, ESCAPED).to_string()
}

/// The name in a segment of a key; None if it is not valid UTF-8.
fn unescaped(segment: &str) -> Option<Rc<str>> {
    Some(percent_decode_str(segment).decode_utf8().ok()?.into())
}

/// The key of an account in the state service.
pub fn key_of(account: &AccountId) -> String {
    let rest = match account {
        AccountId::Settings => SETTINGS.to_owned(),
        AccountId::Shared => SHARED.to_owned(),
        AccountId::Team(team) => format!("{TEAM}/{}", escaped(team)),
        AccountId::Owner(node) => format!("{OWNER}/{}", escaped(node)),
        AccountId::Allotment { team, node } => {
            format!("{ALLOTMENT}/{}/{}", escaped(team), escaped(node))
        }
    };
    keys::quota(&rest)
}

/// Why a changed key could not be decoded as a change of an account.
#[derive(Debug, thiserror::Error)]
enum DecodeError {
    /// The key names no kind of account that this version knows, or lacks a valid name.
    #[error("key names no known quota account")]
    UnknownAccount,
    /// The value is not a valid record of the account.
    #[error(transparent)]
    Value(#[from] serde_json::Error),
}

/// Decodes a changed key as a change of an account; `account` is the key without the common prefix of quota keys, and
/// `value` is None if the key was deleted. Returns None if this version does not know the account, and logs an error
/// and returns None if it cannot decode the value.
pub fn decode_change(account: &str, value: Option<&RawValue>) -> Option<AccountChange> {
    match parse_change(account, value) {
        Ok(change) => Some(change),
        Err(DecodeError::UnknownAccount) => None,
        Err(DecodeError::Value(error)) => {
            tracing::error!(%error, "stored quota not understood");
            None
        }
    }
}

fn parse_change(account: &str, value: Option<&RawValue>) -> Result<AccountChange, DecodeError> {
    let mut segments = account.split('/');
    let kind = segments.next().unwrap_or_default();
    let mut next_name = || {
        let name = segments.next().and_then(unescaped);
        name.ok_or(DecodeError::UnknownAccount)
    };
    Ok(match kind {
        SETTINGS => AccountChange::Settings(decode(value)?),
        SHARED => AccountChange::Shared(decode(value)?),
        TEAM => AccountChange::Team(next_name()?, decode(value)?),
        OWNER => AccountChange::Owner(next_name()?, decode(value)?),
        ALLOTMENT => AccountChange::Allotment {
            team: next_name()?,
            node: next_name()?,
            record: decode(value)?,
        },
        _ => return Err(DecodeError::UnknownAccount),
    })
}

/// Decodes the record in a key's value; None if the key was deleted.
fn decode<T: DeserializeOwned>(value: Option<&RawValue>) -> Result<Option<T>, serde_json::Error> {
    value
        .map(|value| serde_json::from_str(value.get()))
        .transpose()
}

/// Encodes the change of an account as a change of its key.
fn encode_change(change: &AccountChange) -> Result<Change, serde_json::Error> {
    let key = key_of(&change.account());
    match change {
        AccountChange::Settings(record) => put_or_delete(key, record.as_ref()),
        AccountChange::Shared(record) => put_or_delete(key, record.as_ref()),
        AccountChange::Team(_, record) => put_or_delete(key, record.as_ref()),
        AccountChange::Owner(_, record) => put_or_delete(key, record.as_ref()),
        AccountChange::Allotment { record, .. } => put_or_delete(key, record.as_ref()),
    }
}

fn put_or_delete(
    key: String,
    record: Option<&impl Serialize>,
) -> Result<Change, serde_json::Error> {
    Ok(match record {
        None => Change::Delete { key },
        Some(record) => Change::Put {
            key,
            value: to_raw_value(record)?,
            lease: None,
        },
    })
}

/// Converts conditions on accounts to conditions on keys.
pub fn conditions_of(accounts: &[RevisionCondition]) -> Vec<Condition> {
    let condition = |required: &RevisionCondition| Condition {
        key: key_of(&required.account),
        revision: required.revision,
    };
    accounts.iter().map(condition).collect()
}

/// Why a plan cannot be converted to a transaction.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The plan requires the leader, and this controller has no valid fencing token.
    #[error("quota plan requires the leader, and this controller does not lead")]
    NotLeader,
    /// A record cannot be serialized.
    #[error("quota record cannot be serialized: {0}")]
    Encode(#[from] serde_json::Error),
}

/// Converts a plan to a transaction. A plan that requires the leader becomes conditional on `fencing_token`, the
/// revision of the leader's key.
pub fn transaction_of(plan: &Plan, fencing_token: Option<u64>) -> Result<Txn, PlanError> {
    let mut conditions = conditions_of(&plan.conditions);
    if plan.requires_leader {
        conditions.push(Condition {
            key: keys::leader(),
            revision: fencing_token.ok_or(PlanError::NotLeader)?,
        });
    }
    let changes = plan.changes.iter().map(encode_change);
    Ok(Txn {
        conditions,
        changes: changes.collect::<Result<_, _>>()?,
    })
}

/// The amount that a job is charged to its team's quota until it has finished.
pub fn charge_of(spec: &Submission) -> QuotaAmount {
    QuotaAmount::of_job(spec.tasks, spec.cpus, spec.gpus, spec.memory_gb)
}

#[cfg(test)]
mod tests;
