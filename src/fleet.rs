//! The machines: what is known of each machine and its worker, and when a task is surely off it.
//!
//! [`Fleet`] owns the machines, the queue of direct calls and the state of the zones. What also concerns jobs and writes
//! is the leader's, see `leader::reconciliation` and `leader::direct_commands`.

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

/// All known machines.
pub struct Fleet {
    /// The machines, by their index.
    pub machines: BTreeMap<MachineIndex, Machine>,
    /// Machines that a direct call may be wanted for.
    pub direct_call_queue: BTreeSet<MachineIndex>,
    /// The state of the zones: partitions and delegations.
    pub(crate) zones: ZoneMonitor,
    index_by_name: HashMap<Rc<str>, MachineIndex>,
    next_index: MachineIndex,
    config: Rc<Config>,
    /// The fencing token of this term.
    fencing_token: u64,
    /// When this term began.
    term_started_at: Time,
    /// Silence after which a worker has surely ended its tasks, in seconds.
    pub(crate) worker_lease_expiry_s: f64,
    /// When any worker last made contact.
    last_worker_contact: Time,
    /// The last pause of this process.
    pause: ProcessPause,
}

impl Fleet {
    /// A fleet without machines, in a term that begins now.
    pub(crate) fn new(
        config: Rc<Config>,
        fencing_token: u64,
        zones: ZoneMonitor,
        now: Time,
    ) -> Self {
        Fleet {
            machines: BTreeMap::new(),
            direct_call_queue: BTreeSet::new(),
            zones,
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

    /// Whether a machine may be given new work: its worker has shown this leader's fencing token, acknowledges its answers
    /// and is not overdue, and the machine stays and isn't held back for failures.
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

    /// The index of the machine with this name.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.index_by_name.get(name).copied()
    }

    /// The index of the machine with this name, which is added if it isn't known yet.
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

    /// Removes a machine.
    pub fn remove(&mut self, index: MachineIndex) -> Option<Machine> {
        let machine = self.machines.remove(&index)?;
        self.index_by_name.remove(&machine.name);
        Some(machine)
    }
}
