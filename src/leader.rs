//! The leader's state machine, for one term of leadership. It does no input or output: callers pass in events and the
//! current time, and carry out the actions that it returns.
//!
//! [`Leader`] composes the subsystems (jobs, fleet, scheduler, autoscaler, state writer). The modules below implement
//! the operations that involve several subsystems.

mod assignment_writes;
mod attempt_release;
mod deadline_propagation;
mod direct_commands;
mod failure_attribution;
mod job_lifecycle;
mod obsolete_keys;
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
use crate::fleet::{AttemptKey, Fleet, TaskAttempt};
use crate::jobs::assignment_log::AssignmentLog;
use crate::jobs::job_table::JobTable;
use crate::jobs::team_usage::TeamUsage;
use crate::jobs::{JobIndex, MachineIndex};
use crate::protocol::cloud::MachineType;
use crate::runtime::{ProcessPause, Time};
use crate::scheduler::Scheduler;
use crate::store::replica::StateReplica;
use obsolete_keys::ObsoleteKeys;
use state_writer::{StateWriter, WriteUrgency};

/// What the leader's write loop does next after the outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum AfterTransaction {
    /// Continue with the next write.
    Continue,
    /// Back off, then ask for the next transaction: the same one or, if it was too large, a smaller one.
    Retry,
    /// Read this key and pass its revision to [`Leader::on_read_back`]: an earlier copy of the transaction seems to
    /// have been applied.
    ReadBack(String),
    /// Step down: the fencing token is no longer that of the leader.
    LeadershipLost,
}

/// The state of one term of leadership: the subsystems, each of which owns its own state. The leader passes each of
/// them the state of the others that its decisions need.
pub struct Leader {
    /// The settings, which don't change during a term.
    pub config: Rc<Config>,
    /// The fencing token of this term: every write is conditional on it, and every command to a worker carries it.
    pub fencing_token: u64,
    /// When the term began.
    pub term_started_at: Time,
    /// The machine types that the cloud offers, with their current prices.
    pub catalog: MachineCatalog,
    /// Machines, the attempts on them, and zones.
    pub fleet: Fleet,
    /// Jobs and the state of their tasks.
    pub jobs: JobTable,
    /// The resources that the tasks of each team use.
    pub(crate) team_usage: TeamUsage,
    /// The jobs with tasks to be placed, and the state that placement uses.
    pub(crate) scheduler: Scheduler,
    /// The demand for machines, and the calls to the cloud that rent and return them.
    pub(crate) autoscaler: Autoscaler,
    /// The pending writes to the state service, and the transaction in flight.
    writer: StateWriter,
    /// The number of the latest attempt of this term.
    last_attempt_number: u64,
    /// The time of day at moment 0 of [`Time`], in milliseconds since 1970. The controller sets it after the term has
    /// started; while it is None, ends of jobs are stored without their time of day.
    pub unix_ms_at_time_zero: Option<u64>,
}

/// Amounts of state that the leader's memory depends on, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StateSize {
    /// Jobs whose records are stored.
    pub(crate) jobs: usize,
    /// Tasks of unfinished jobs that are on no machine and not done.
    pub(crate) pending_tasks: u64,
    /// Attempts that are or may be on machines.
    pub(crate) attempts: usize,
    /// Machines that the leader knows.
    pub(crate) machines: usize,
}

/// The leader's share of the state service's write rate; the rest is for users' requests.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// The number of an attempt consists of the fencing token and, in this many low bits, a counter.
const ATTEMPT_COUNTER_BITS: u32 = 24;

impl Leader {
    /// Starts a term from the stored state. The replica must have reached the revision of the election, which is the
    /// fencing token.
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
            fleet: Fleet::new(config.clone(), fencing_token, now),
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
                ObsoleteKeys::of_replica(replica),
                now,
            ),
            last_attempt_number: fencing_token << ATTEMPT_COUNTER_BITS,
            unix_ms_at_time_zero: None,
            config,
        };
        for job in replica.jobs_with_lost_dependencies() {
            tracing::error!(%job, "dependencies of a job are lost, it stays pending");
        }
        let mut jobs: Vec<_> = replica.jobs.iter().collect();
        jobs.sort_by_key(|(_, job)| job.accepted_revision);
        let added: Vec<JobIndex> = jobs
            .into_iter()
            .filter_map(|(id, job)| leader.add_job(id, job, now))
            .collect();
        leader.propagate_requirements(added);
        leader
    }

    /// Records that a worker made contact at `now`.
    pub fn record_worker_contact(&mut self, now: Time) {
        self.fleet.record_worker_contact(now);
    }

    /// When any worker last made contact, or when the term started if none has yet.
    pub fn last_worker_contact(&self) -> Time {
        self.fleet.last_worker_contact()
    }

    /// Records the latest pause of this process: missing heartbeats during the pause don't count as silence of the
    /// workers.
    pub fn record_pause(&mut self, pause: ProcessPause) {
        self.fleet.record_pause(pause);
    }

    /// The amounts of state that the leader's memory depends on.
    pub(crate) fn state_size(&self) -> StateSize {
        let unfinished = || self.jobs.values().filter(|job| job.end.is_none());
        StateSize {
            jobs: self.jobs.values().count(),
            pending_tasks: unfinished().map(|job| u64::from(job.pending_tasks())).sum(),
            attempts: self.fleet.machines.values().map(|m| m.attempts.len()).sum(),
            machines: self.fleet.machines.len(),
        }
    }

    /// The index of the job with this id. None if the job is unknown, for example because its records are deleted.
    pub fn job_index(&self, id: &str) -> Option<JobIndex> {
        self.jobs.index_of(id)
    }

    /// Requests a scheduling pass, as something changed that may allow a waiting job to be placed.
    pub(crate) fn request_scheduling_pass(&mut self) {
        self.scheduler.scheduling_pass_requested = true;
    }

    /// Clears the request for a scheduling pass; returns whether there was one.
    pub(crate) fn take_scheduling_pass_request(&mut self) -> bool {
        std::mem::take(&mut self.scheduler.scheduling_pass_requested)
    }

    /// Adds a job to those with tasks to be placed.
    pub(crate) fn enqueue(&mut self, index: JobIndex) {
        self.scheduler.waiting_jobs.insert(index);
    }

    /// Removes a job from those with tasks to be placed.
    pub(crate) fn dequeue(&mut self, index: JobIndex) {
        self.scheduler.waiting_jobs.remove(&index);
    }

    /// Converts a moment to the time of day, in milliseconds since 1970. None if [`Leader::unix_ms_at_time_zero`] isn't
    /// set.
    fn unix_ms(&self, now: Time) -> Option<u64> {
        self.unix_ms_at_time_zero
            .map(|start_ms| start_ms + (now * 1000.0) as u64)
    }

    /// Adds the resources of one task of a job to the usage of the job's team.
    pub(crate) fn charge_team(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        self.team_usage.add(job.team, job.task_resources());
    }

    /// Subtracts the resources of one task of a job from the usage of the job's team.
    pub(crate) fn release_team(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        self.team_usage.subtract(job.team, job.task_resources());
    }

    /// Returns a new attempt number. No other term uses it: the high bits are the term's own fencing token, a revision
    /// of the store, and no term uses up the numbers that the [`ATTEMPT_COUNTER_BITS`] low bits can count.
    pub(crate) fn next_attempt_number(&mut self) -> u64 {
        self.last_attempt_number += 1;
        self.last_attempt_number
    }

    /// Assigns a task to a machine. The task is launched once the assignment is stored.
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
