//! Names of the keys in the state service. The second segment of the root allows for several tenants; `main` is the
//! only one.

/// Prefix of every key that the controllers store.
pub const ROOT: &str = "capervale/main/";

// Key families: the first segment after the root. Earlier versions read the same names, so they must not change.
const LEADER: &str = "leader";
const MACHINE_TYPES: &str = "types";
const REVISION_PROBE: &str = "none";
const STEP_DOWN_REQUEST: &str = "plea";
const DELEGATION: &str = "standin";
const RELAY: &str = "relay";
const JOB: &str = "job";
const DEPENDENCY_PART: &str = "needs";
const JOB_END: &str = "end";
const QUOTA: &str = "quota";
const ASSIGNMENT_RECORD: &str = "run";

/// The key that holds the [`LeaderRecord`](super::records::LeaderRecord), attached to the leader's lease.
pub fn leader() -> String {
    format!("{ROOT}{LEADER}")
}

/// The key of the machine types, as the first controller that read them from the cloud stored them.
pub fn machine_types() -> String {
    format!("{ROOT}{MACHINE_TYPES}")
}

/// A key that is never written. Reading it serves read barriers: the answer that a key is absent carries the store's
/// current revision.
pub fn revision_probe() -> String {
    format!("{ROOT}{REVISION_PROBE}")
}

/// The key of a controller's request that the leader steps down.
pub fn step_down_request(node: &str) -> String {
    format!("{ROOT}{STEP_DOWN_REQUEST}/{node}")
}

/// The key of a delegation, by which the leader with this fencing token lets other controllers answer a zone's workers
/// in its name. `number` distinguishes the delegations of one term.
pub fn delegation(fencing_token: u64, number: u64) -> String {
    format!("{ROOT}{DELEGATION}/{fencing_token}-{number}")
}

/// The key of the [`RelayRecord`](super::records::RelayRecord) in which the delegate `node` reports to the leader.
pub fn relay(node: &str) -> String {
    format!("{ROOT}{RELAY}/{node}")
}

/// The key of a job's [`JobRecord`](super::records::JobRecord).
pub fn job(id: &str) -> String {
    format!("{ROOT}{JOB}/{id}")
}

/// The key of a part of a job's dependencies. The parts hold those that don't fit into the job's own value, and are
/// numbered from 1.
pub fn dependency_part(id: &str, part: u32) -> String {
    format!("{ROOT}{DEPENDENCY_PART}/{id}/{part}")
}

/// The key of a job's [`EndRecord`](super::records::EndRecord).
pub fn job_end(id: &str) -> String {
    format!("{ROOT}{JOB_END}/{id}")
}

/// The key of a quota account; `account` is the part of the key after the family.
pub fn quota(account: &str) -> String {
    format!("{ROOT}{QUOTA}/{account}")
}

/// The key of the [`AssignmentRecord`](super::records::AssignmentRecord) with this number.
pub fn assignment_record(number: u64) -> String {
    format!("{ROOT}{ASSIGNMENT_RECORD}/{number}")
}

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredKey<'a> {
    /// See [`leader`].
    Leader,
    /// See [`machine_types`].
    MachineTypes,
    /// See [`step_down_request`].
    StepDownRequest,
    /// See [`delegation`].
    Delegation,
    /// See [`relay`].
    Relay,
    /// See [`job`].
    Job {
        /// The job's id.
        id: &'a str,
    },
    /// See [`dependency_part`].
    DependencyPart {
        /// The id of the job that depends on the jobs listed in the part.
        job: &'a str,
        /// The number of the part.
        part: u32,
    },
    /// See [`job_end`].
    JobEnd {
        /// The job's id.
        id: &'a str,
    },
    /// See [`quota()`].
    Quota {
        /// The part of the account's key after the family.
        account: &'a str,
    },
    /// See [`assignment_record`].
    AssignmentRecord {
        /// The record's number.
        number: u64,
    },
}

impl<'a> StoredKey<'a> {
    /// Parses a key; None if this version doesn't know the key, as a later version may have written it.
    pub fn parse(key: &'a str) -> Option<Self> {
        let path = key.strip_prefix(ROOT)?;
        let (family, rest) = path.split_once('/').unwrap_or((path, ""));
        Some(match family {
            LEADER => StoredKey::Leader,
            MACHINE_TYPES => StoredKey::MachineTypes,
            STEP_DOWN_REQUEST => StoredKey::StepDownRequest,
            DELEGATION => StoredKey::Delegation,
            RELAY => StoredKey::Relay,
            JOB => StoredKey::Job { id: rest },
            DEPENDENCY_PART => {
                let (job, part) = rest.split_once('/')?;
                StoredKey::DependencyPart {
                    job,
                    part: part.parse().ok()?,
                }
            }
            JOB_END => StoredKey::JobEnd { id: rest },
            QUOTA => StoredKey::Quota { account: rest },
            ASSIGNMENT_RECORD => StoredKey::AssignmentRecord {
                number: rest.parse().ok()?,
            },
            _ => return None,
        })
    }
}
