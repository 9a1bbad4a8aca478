//! A controller's replica of the content of the state service. The replica is loaded page by page, then kept current by
//! a watch.

mod assignments;
mod dependencies;
mod dependency_parts;
mod job;
mod jobs;
pub(crate) mod memory_estimate;
mod quota_usage;

pub use assignments::AssignmentRecords;
pub use dependency_parts::DependencyPartId;
use dependency_parts::DependencyParts;
pub use job::{MachineLocation, RecordedTask, ReplicatedJob};

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use quota::Ledger;
use serde_json::value::RawValue;

use super::keys::StoredKey;
use super::records::{DelegationRecord, LeaderRecord, RelayRecord, StepDownRequest, decode};
use crate::jobs::dependency_graph::DependencyGraph;
use crate::protocol::cloud::MachineType;
use crate::runtime::Time;

/// A change of the store that the controller has to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// A job was stored, or its record was deleted.
    Job(Rc<str>),
    /// A job's end was stored.
    JobEnd(Rc<str>),
    /// The leader's record was stored or deleted.
    Leader,
    /// The machine types were stored or deleted.
    MachineTypes,
    /// A controller requested that the leader steps down.
    StepDownRequest(StepDownRequest),
    /// A delegate reported to the leader.
    Relay(RelayRecord),
}

/// A record with the revision of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The decoded value of the key.
    pub record: T,
    /// The revision at which the key was last changed.
    pub revision: u64,
}

/// The replicated content of the state service.
#[derive(Debug, Default)]
pub struct StateReplica {
    /// Revision of the store up to which every change has been applied.
    pub revision: u64,
    /// Jobs by id.
    pub jobs: HashMap<Rc<str>, ReplicatedJob>,
    /// The leader's record, whose revision is the fencing token; None while there is no leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types; None until a controller has stored them.
    pub machine_types: Option<Rc<Vec<MachineType>>>,
    /// Delegations by their keys, including revoked ones and those of earlier leaders.
    pub delegations: BTreeMap<String, Versioned<DelegationRecord>>,
    /// The records of the assignment log that are stored, and which of them are valid.
    pub assignments: AssignmentRecords,
    /// The dependencies of the blocked jobs.
    dependencies: DependencyGraph,
    /// Whether all pages are loaded. Until then, a job may be known before the jobs that it depends on.
    is_loaded: bool,
    /// The revision of the load's last page. As the pages are of different revisions, the replica may hold keys without
    /// those that they belong to until the changes up to this revision have been applied.
    consistent_from: u64,
    /// Whether the load has finished and the changes up to `consistent_from` have been applied.
    is_consistent: bool,
    /// The dependency parts that are stored.
    dependency_parts: DependencyParts,
    /// The quota accounts and their usage; None if quotas are not enabled at this controller.
    pub quota: Option<Ledger>,
    /// Whether quotas are in force, that is, whether quota settings are stored. They may be in force even if this
    /// controller has quotas disabled.
    pub has_quota_settings: bool,
    /// The time at which changes are applied, by the steady clock; the quota accounts record releases at this time. The
    /// caller sets it when it creates the replica, and again before it applies a watch's changes.
    pub now: Time,
}

impl StateReplica {
    /// Returns an empty replica that also maintains the quota accounts.
    pub fn with_quota() -> Self {
        StateReplica {
            quota: Some(Ledger::default()),
            ..StateReplica::default()
        }
    }

    /// Applies a change of a key: its new value as of a revision, or its deletion if `value` is None. Returns the event
    /// that the controller has to act on, if any.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&RawValue>,
        revision: u64,
    ) -> Option<ReplicaEvent> {
        match StoredKey::parse(key)? {
            StoredKey::Leader => self.apply_leader(value, revision),
            StoredKey::MachineTypes => {
                self.machine_types = value.and_then(decode).map(Rc::new);
                Some(ReplicaEvent::MachineTypes)
            }
            StoredKey::StepDownRequest => value.and_then(decode).map(ReplicaEvent::StepDownRequest),
            StoredKey::Relay => value.and_then(decode).map(ReplicaEvent::Relay),
            StoredKey::Delegation => {
                self.apply_delegation(key, value, revision);
                None
            }
            StoredKey::Job { id } => self.apply_job(id, value, revision),
            StoredKey::JobEnd { id } => self.apply_job_end(id, value?),
            StoredKey::DependencyPart { job, part } => self.apply_dependency_part(job, part, value),
            StoredKey::Quota { account } => {
                self.apply_quota(account, value, revision);
                None
            }
            StoredKey::AssignmentRecord { number } => {
                self.assignments.apply(number, value, &mut self.jobs);
                None
            }
        }
    }

    fn apply_leader(&mut self, value: Option<&RawValue>, revision: u64) -> Option<ReplicaEvent> {
        let known_revision = self.leader.as_ref().map_or(0, |leader| leader.revision);
        // After a reload, the watch replays events that may be older than the record that the reload read.
        if revision < known_revision {
            return None;
        }
        let record = value.and_then(decode);
        self.leader = record.map(|record| Versioned { record, revision });
        Some(ReplicaEvent::Leader)
    }

    fn apply_delegation(&mut self, key: &str, value: Option<&RawValue>, revision: u64) {
        match value.and_then(decode) {
            Some(record) => {
                let delegation = Versioned { record, revision };
                self.delegations.insert(key.to_owned(), delegation);
            }
            None => {
                self.delegations.remove(key);
            }
        }
    }

    /// Records the revision of the last page of a load, whose pages were read at different revisions.
    pub fn set_consistent_from(&mut self, revision: u64) {
        self.consistent_from = revision;
        if let Some(ledger) = &mut self.quota {
            ledger.set_consistent_from(revision);
        }
    }

    /// Records that every change up to a revision of the store has been applied.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.finish_if_consistent();
        if let Some(ledger) = &mut self.quota {
            ledger.advance_to(revision);
        }
    }

    /// Completes what needs a consistent replica, once it is loaded and has caught up with its load.
    fn finish_if_consistent(&mut self) {
        if self.is_consistent || !self.is_loaded || self.revision < self.consistent_from {
            return;
        }
        self.is_consistent = true;
        // The load may have read a record before a page that lacked the later one which makes it invalid.
        self.assignments.drop_obsolete_tasks(&mut self.jobs);
        self.add_jobs_with_lost_dependencies();
    }

    /// Completes the load of all pages: drops obsolete task states, sets the submission and ready times of jobs, and
    /// builds the dependency graph.
    ///
    /// `unix_ms` is the Unix time at `now` and serves to convert stored Unix times to times of this controller's steady
    /// clock. The conversion is accurate only as far as the Unix clocks of the controllers agree.
    pub fn finish_load(&mut self, now: Time, unix_ms: u64) {
        self.assignments.drop_obsolete_tasks(&mut self.jobs);
        self.is_loaded = true;
        let steady_time_of =
            |stored_ms: u64| now - unix_ms.saturating_sub(stored_ms) as f64 / 1000.0;
        let blocked = self.restore_submission_times(steady_time_of);
        for id in &blocked {
            self.add_dependencies(id);
        }
        self.finish_if_consistent();
        self.restore_ready_times(now, steady_time_of);
    }

    /// Sets the submission times of the jobs that haven't ended. Returns the blocked ones in order of acceptance, so
    /// that each job comes after the jobs that it depends on.
    fn restore_submission_times(&mut self, steady_time_of: impl Fn(u64) -> Time) -> Vec<Rc<str>> {
        let mut blocked: Vec<(u64, Rc<str>)> = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.spec.is_none() || job.end.is_some() {
                continue;
            }
            job.submitted_at = job.submitted_unix_ms.map(&steady_time_of);
            if job.is_blocked {
                blocked.push((job.accepted_revision, id.clone()));
            }
        }
        blocked.sort_unstable();
        blocked.into_iter().map(|(_, id)| id).collect()
    }

    /// Sets the ready times of jobs whose dependencies were all done before the load: such a job has been ready since
    /// the last of its dependencies ended.
    fn restore_ready_times(&mut self, now: Time, steady_time_of: impl Fn(u64) -> Time) {
        for id in self.take_readiness_changes(now).ready {
            let Some(spec) = self.jobs.get(&id).and_then(|job| job.spec.clone()) else {
                continue;
            };
            let ends = spec
                .waits_on
                .iter()
                .filter_map(|dependency| self.jobs.get(dependency.as_str())?.end);
            let last_ended = ends.map(|end| end.ended_unix_ms).max().flatten();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ready_at = last_ended.map(&steady_time_of).or(job.ready_at);
            }
        }
    }
}

#[cfg(test)]
mod tests;
