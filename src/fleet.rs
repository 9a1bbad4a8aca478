//! The leader's view of the machines: the state of each machine and its worker, and the proof that a task no longer
//! runs on a machine.
//!
//! [`Fleet`] owns the machines, the queue of direct calls and the state of the zones. Logic that also changes jobs or
//! writes to the state service is in `leader::reconciliation` and `leader::direct_commands`.

mod delegations;
mod direct_calls;
mod liveness;
mod machine;
pub(crate) mod machine_catalog;
mod task_attempt;
pub(crate) mod zones;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use crate::config::Config;
use crate::jobs::MachineIndex;
use crate::runtime::{ProcessPause, Time};
pub use direct_calls::{DirectCommandOutcome, DirectCommands};
pub use machine::{HeartbeatOrigin, Machine, MachineRole};
pub(crate) use task_attempt::{AbsentAttempt, NamedAttempt};
pub use task_attempt::{AttemptKey, DirectLaunchState, TaskAttempt};
use zones::ZoneMonitor;

/// All machines that the leader knows in its present term.
pub struct Fleet {
    /// The machines, by their index.
    pub machines: BTreeMap<MachineIndex, Machine>,
    /// Machines with a requested direct call. Entries whose request was met are dropped when due calls are collected.
    pub direct_call_queue: BTreeSet<MachineIndex>,
    /// Contacts, partitions and delegations of the zones.
    pub(crate) zones: ZoneMonitor,
    index_by_name: HashMap<Rc<str>, MachineIndex>,
    next_index: MachineIndex,
    config: Rc<Config>,
    /// The fencing token of this term of leadership.
    fencing_token: u64,
    /// When this term of leadership began.
    term_started_at: Time,
    /// Time in seconds after which the lease of a silent worker has expired and its tasks have ended, whatever the
    /// drift of its clock.
    pub(crate) worker_lease_expiry_s: f64,
    /// When any worker last made contact; the start of the term before the first contact.
    last_worker_contact: Time,
    /// The last pause of this process. Messages that didn't arrive during a pause are not counted as silence of a
    /// machine.
    pause: ProcessPause,
}

impl Fleet {
    /// Creates a fleet without machines, for a term that begins now.
    pub(crate) fn new(config: Rc<Config>, fencing_token: u64, now: Time) -> Self {
        Fleet {
            machines: BTreeMap::new(),
            direct_call_queue: BTreeSet::new(),
            zones: ZoneMonitor::default(),
            index_by_name: HashMap::new(),
            next_index: 0,
            worker_lease_expiry_s: config.worker_lease_expiry_s(),
            config,
            fencing_token,
            term_started_at: now,
            last_worker_contact: now,
            pause: ProcessPause::default(),
        }
    }

    /// Returns whether a machine may be given new work: its worker has shown this leader's fencing token, acknowledges
    /// the leader's answers and is not overdue, and the machine is not terminating, draining, quarantined, about to be
    /// preempted or in backoff after failures.
    pub(crate) fn is_schedulable(&self, machine: &Machine, now: Time) -> bool {
        !self.is_heartbeat_overdue(machine, now)
            && machine.unacknowledged_heartbeats == 0
            && machine.fencing_token >= self.fencing_token
            && !machine.terminating
            && !machine.draining
            && !machine.quarantined
            && machine.preemption_at.is_none()
            && machine.backoff_until <= now
    }

    /// Returns the index of the machine with this name.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.index_by_name.get(name).copied()
    }

    /// Returns the index of the machine with this name. Adds the machine if it is unknown.
    pub fn get_or_insert(&mut self, name: &str, zone: &str, now: Time) -> MachineIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.next_index;
        self.next_index += 1;
        let name: Rc<str> = name.into();
        self.index_by_name.insert(name.clone(), index);
        self.machines
            .insert(index, Machine::new(name, zone.into(), now));
        index
    }

    /// Removes a machine and returns its last state; its index is not reused.
    pub fn remove(&mut self, index: MachineIndex) -> Option<Machine> {
        let machine = self.machines.remove(&index)?;
        self.index_by_name.remove(&machine.name);
        Some(machine)
    }
}
