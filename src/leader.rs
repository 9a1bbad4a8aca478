//! The leader's state machine, for one term of leadership. It does no input or output: events and the present moment go
//! in, actions come out.
//!
//! [`Leader`] composes the subsystems (jobs, fleet, scheduler, autoscaler, state writer). Its methods, in the modules
//! below, are what needs several of them.

mod assignment_writes;
mod attempt_release;
mod deadline_propagation;
mod direct_commands;
mod failure_attribution;
mod job_lifecycle;
mod pending_transaction;
mod reconciliation;
mod relays;
mod scaling;
mod scheduling;
mod state_writer;
mod transaction_outcomes;
mod write_budget;

use std::cell::RefCell;
use std::rc::Rc;

use crate::autoscaler::Autoscaler;
use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::config::Config;
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::zones::ZoneMonitor;
use crate::fleet::{AttemptKey, Fleet, TaskAttempt};
use crate::jobs::assignment_log::AssignmentLog;
use crate::jobs::job_table::JobTable;
use crate::jobs::team_usage::TeamUsage;
use crate::jobs::{JobIndex, MachineIndex};
use crate::protocol::cloud::MachineType;
use crate::runtime::{ProcessPause, Time};
use crate::scheduler::Scheduler;
use crate::store::replica::StateReplica;
use state_writer::{StateWriter, WriteUrgency};

/// What the leader should do after a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum AfterTransaction {
    /// Go on with the next write.
    Continue,
    /// Wait a little, then send the same again.
    Retry,
    /// Read this key: an earlier copy of the transaction seems to have been applied.
    ReadBack(String),
    /// The fencing token is no longer that of the leader.
    LeadershipLost,
}

/// The state of a term of leadership. It composes the subsystems, each of which owns its own state, and passes each what
/// its decisions need.
pub struct Leader {
    /// The settings.
    pub config: Rc<Config>,
    /// The fencing token of this term: every write is conditional on it, every command carries it.
    pub fencing_token: u64,
    /// When the term began.
    pub term_started_at: Time,
    /// The machine types on offer.
    pub catalog: MachineCatalog,
    /// Machines, the attempts on them, zones.
    pub fleet: Fleet,
    /// Jobs and the state of their tasks.
    pub jobs: JobTable,
    /// What the tasks of each team use.
    pub(crate) team_usage: TeamUsage,
    /// Waiting jobs and what decides where their tasks go.
    pub(crate) scheduler: Scheduler,
    /// Demand, rentals and returns.
    pub(crate) autoscaler: Autoscaler,
    /// What is to be written to the state service.
    writer: StateWriter,
    /// The number of the last attempt.
    last_attempt: u64,
    /// The time of day at moment 0, in milliseconds.
    pub unix_ms_at_start: Option<u64>,
}

/// The leader's share of the state service's write rate; the rest is for users.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// The number of an attempt is the fencing token and so many bits of a counter.
const ATTEMPT_BITS: u32 = 24;

impl Leader {
    /// Begins a term from what is stored. The replica must have reached the revision of the election, which is the fencing
    /// token.
    pub fn start_term(
        config: Rc<Config>,
        fencing_token: u64,
        machine_types: Rc<Vec<MachineType>>,
        replica: &StateReplica,
        forecast: Rc<RefCell<ArrivalForecast>>,
        now: Time,
    ) -> Self {
        let mut leader = Leader {
            fencing_token,
            term_started_at: now,
            catalog: MachineCatalog::new(machine_types),
            fleet: Fleet::new(
                config.clone(),
                fencing_token,
                ZoneMonitor::new(
                    replica
                        .delegations
                        .keys()
                        .chain(&replica.orphaned_dependency_keys)
                        .cloned()
                        .collect(),
                ),
                now,
            ),
            jobs: JobTable::default(),
            team_usage: TeamUsage::new(&config.deployment.teams),
            scheduler: Scheduler::new(&config.tunables),
            autoscaler: Autoscaler::new(forecast, now),
            writer: StateWriter::new(
                AssignmentLog::new(
                    fencing_token,
                    replica.assignments.numbers(),
                    replica.assignments.oldest_valid(),
                ),
                now,
            ),
            last_attempt: fencing_token << ATTEMPT_BITS,
            unix_ms_at_start: None,
            config,
        };
        let mut jobs: Vec<_> = replica.jobs.iter().collect();
        jobs.sort_by_key(|(_, job)| job.accepted_revision);
        let added: Vec<JobIndex> = jobs
            .into_iter()
            .filter_map(|(id, job)| leader.add_job(id, job, now))
            .collect();
        leader.propagate_requirements(added);
        leader
    }

    /// A worker made contact at this moment.
    pub fn record_worker_contact(&mut self, now: Time) {
        self.fleet.record_worker_contact(now);
    }

    /// When any worker last made contact.
    pub fn last_worker_contact(&self) -> Time {
        self.fleet.last_worker_contact()
    }

    /// This process was paused.
    pub fn record_pause(&mut self, pause: ProcessPause) {
        self.fleet.record_pause(pause);
    }

    /// The index of the job with this id.
    pub fn job_index(&self, id: &str) -> Option<JobIndex> {
        self.jobs.index_of(id)
    }

    /// Something changed that may let a waiting job be placed.
    pub(crate) fn request_placement(&mut self) {
        self.scheduler.placement_requested = true;
    }

    /// Whether a scheduling pass was requested since this was last asked.
    pub(crate) fn take_placement_request(&mut self) -> bool {
        std::mem::take(&mut self.scheduler.placement_requested)
    }

    /// Tasks of a job wait to be placed.
    pub(crate) fn enqueue(&mut self, index: JobIndex) {
        self.scheduler.waiting_jobs.insert(index);
    }

    /// No task of a job waits to be placed any more.
    pub(crate) fn dequeue(&mut self, index: JobIndex) {
        self.scheduler.waiting_jobs.remove(&index);
    }

    /// The time of day of a moment, if it is known.
    fn unix_ms(&self, now: Time) -> Option<u64> {
        self.unix_ms_at_start
            .map(|zero| zero + (now * 1000.0) as u64)
    }

    /// The team of a job uses the resources of one more of its tasks.
    pub(crate) fn charge_team(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        self.team_usage.add(job.team, job.task_resources());
    }

    /// The team of a job uses the resources of one less of its tasks.
    pub(crate) fn release_team(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        self.team_usage.subtract(job.team, job.task_resources());
    }

    /// A new number for an attempt, used by no term before: a term counts from its fencing token, and never uses up the numbers
    /// between two revisions of the store.
    pub(crate) fn next_attempt_number(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Assigns a task to a machine; it is launched once the assignment is stored.
    pub(crate) fn assign(
        &mut self,
        index: JobIndex,
        task: u32,
        machine_index: MachineIndex,
        attempt: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        job.assign(task, machine_index, attempt, None);
        let task_attempt = TaskAttempt::new(job.task_resources(), false, now);
        let key = AttemptKey {
            job: index,
            task,
            attempt,
        };
        let spec = job.spec.clone();
        if let Some(machine) = self.fleet.machines.get_mut(&machine_index) {
            machine.add_attempt(key, task_attempt);
            if let Some(type_index) = machine.type_index {
                let cache = self.catalog.image_cache_capacity(type_index);
                machine
                    .image_cache
                    .request(&spec.image, spec.image_gb, cache, now);
            }
        }
        self.on_attempt_added(index);
        self.mark_pending_write(index, task, WriteUrgency::Immediate, now);
    }
}
