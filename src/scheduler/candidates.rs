//! The candidate machines of a scheduling pass, and which of them each job may use.

use std::collections::HashMap;
use std::rc::Rc;

use crate::fleet::machine_catalog::is_type_allowed;
use crate::fleet::{Machine, MachineRole};
use crate::jobs::{Job, MachineIndex, priority_rank};
use crate::protocol::users::{Priority, Submission};
use crate::resources::Resources;
use crate::scheduler::candidate_queue::{CandidateQueue, CandidateTier};
use crate::scheduler::pass::SchedulingView;
use crate::scheduler::pricing::MachineLoad;

/// A machine and its state within one scheduling pass.
pub(super) struct CandidateMachine {
    pub(super) machine: MachineIndex,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
    /// The index of the machine's type in the catalog.
    pub(super) type_index: usize,
    pub(super) role: MachineRole,
    /// Small tasks of jobs below this priority may borrow the machine although it is kept for large tasks.
    /// None if no job may, and for shared machines.
    pub(super) borrowing_priority_limit: Option<Priority>,
    /// The rental price of the machine per CPU.
    pub(super) unit_price: f64,
    /// Whether the machine is withheld from all later jobs of this pass.
    pub(super) reserved: bool,
    /// The load of the machine, including the tasks that this pass assigned to it.
    pub(super) load: MachineLoad,
}

impl CandidateMachine {
    /// Whether a job accepts the machine's zone and, for a spot machine, the risk of preemption.
    pub(super) fn is_allowed_by(&self, spec: &Submission) -> bool {
        is_zone_and_spot_allowed(spec, self.spot, &self.zone)
    }
}

/// Whether a job accepts machines in this zone: spot machines if `spot`, else on-demand machines.
pub(super) fn is_zone_and_spot_allowed(spec: &Submission, spot: bool, zone: &str) -> bool {
    (spec.spot || !spot) && spec.zone.as_ref().is_none_or(|allowed| allowed == zone)
}

/// Whether and how a job can use a machine type.
#[derive(Clone, Copy)]
struct TypeSuitability {
    is_allowed: bool,
    /// Whether the job's tasks count as large on machines of this type.
    is_large: bool,
}

impl TypeSuitability {
    /// Whether tasks of a job with this priority may use a machine, which must be of this type. Small tasks may not
    /// fragment machines kept for large tasks unless these are lent; large tasks may also use shared machines.
    fn admits(&self, candidate: &CandidateMachine, priority: Priority) -> bool {
        let is_lent = candidate
            .borrowing_priority_limit
            .is_some_and(|limit| priority < limit);
        self.is_allowed && (self.is_large || candidate.role == MachineRole::Shared || is_lent)
    }
}

impl SchedulingView<'_> {
    /// Returns the schedulable machines that may have enough free capacity for a pending task: of each resource, at
    /// least the smallest amount that a task of any waiting job needs. With a large backlog nearly all machines are
    /// full, and visiting these for each waiting job would use up the leader's CPU share.
    pub(super) fn candidates(
        &self,
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) -> Vec<CandidateMachine> {
        let demands = self
            .scheduler
            .waiting_jobs
            .iter()
            .map(|index| self.jobs[index].task_resources());
        let smallest = demands.reduce(Resources::component_min).unwrap_or_default();
        let mut candidates: Vec<CandidateMachine> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| {
                smallest.fits(machine.capacity.minus(machine.used))
                    && machine.free_attempts() > 0
                    && self.fleet.is_schedulable(machine, self.now)
            })
            .filter_map(|(index, machine)| self.candidate(*index, machine))
            .collect();
        self.set_borrowing_limits(&mut candidates, borrowing_priority_limit);
        candidates
    }

    /// Returns a machine as a candidate, or None if its type is not known yet.
    fn candidate(&self, index: MachineIndex, machine: &Machine) -> Option<CandidateMachine> {
        let type_index = machine.type_index?;
        Some(CandidateMachine {
            machine: index,
            zone: machine.zone.clone(),
            spot: machine.spot,
            type_index,
            role: machine.role,
            borrowing_priority_limit: None,
            unit_price: self.catalog.unit_price(type_index, machine.spot),
            reserved: false,
            load: MachineLoad {
                capacity: machine.capacity,
                used: machine.used,
                price: machine.price,
                free_attempts: machine.free_attempts(),
            },
        })
    }

    /// Sets [`CandidateMachine::borrowing_priority_limit`] of the machines that are kept for large tasks. Surplus
    /// machines are not lent, because they are about to be returned.
    fn set_borrowing_limits(
        &self,
        candidates: &mut [CandidateMachine],
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) {
        let mut limit_by_type: HashMap<usize, Option<Priority>> = HashMap::new();
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| candidate.role != MachineRole::Shared)
        {
            let type_index = candidate.type_index;
            let limit = *limit_by_type
                .entry(type_index)
                .or_insert_with(|| borrowing_priority_limit(type_index));
            let is_surplus = |machine: &Machine| machine.surplus_since.is_some();
            candidate.borrowing_priority_limit =
                limit.filter(|_| !is_surplus(&self.fleet.machines[&candidate.machine]));
        }
    }

    /// Returns the queue from which the pricing rule selects machines for a job. It holds the machines that the job may
    /// use and that `is_eligible` accepts.
    ///
    /// Within a [`CandidateTier`], cheap machines come first, so that expensive ones become empty and can be returned.
    /// Borrowed machines come after others that are in the same tier otherwise, because tasks there may be preempted.
    pub(super) fn candidate_queue(
        &self,
        job: &Job,
        candidates: &[CandidateMachine],
        is_eligible: impl Fn(&CandidateMachine) -> bool,
    ) -> CandidateQueue {
        let spec = &job.spec;
        let resources = job.task_resources();
        let weight = self.config.tunables.weights[priority_rank(spec.priority)];
        let suitabilities = self.type_suitabilities(job);
        let is_allowed = |candidate: &CandidateMachine| {
            suitabilities[candidate.type_index].admits(candidate, spec.priority)
                && !candidate.reserved
                && candidate.is_allowed_by(spec)
                && is_eligible(candidate)
        };
        // Machines on which the job's tasks failed are left out if it may use others.
        let is_failure_free =
            |candidate: &CandidateMachine| !job.failed_machines.contains(&candidate.machine);
        let any_failure_free = job.failed_machines.is_empty()
            || candidates
                .iter()
                .any(|candidate| is_allowed(candidate) && is_failure_free(candidate));
        let policy = self.image_wait_policy(job);
        let avoids_spot = job.is_chain_step_with_deadline();
        let mut queue = CandidateQueue::new(self.scheduler.pricing_rule, resources, weight);
        for (candidate_index, candidate) in candidates.iter().enumerate() {
            if !resources.fits(candidate.load.free())
                || !is_allowed(candidate)
                || (any_failure_free && !is_failure_free(candidate))
            {
                continue;
            }
            let Some(wait_levels) = self.image_wait_levels(candidate, spec, policy) else {
                queue.record_slow_fetch();
                continue;
            };
            let tier = CandidateTier {
                avoided_spot: avoids_spot && candidate.spot,
                image_wait_level: wait_levels.current,
                borrowed: candidate.role != MachineRole::Shared
                    && !suitabilities[candidate.type_index].is_large,
            };
            queue.push(
                candidate_index,
                tier,
                wait_levels.once_requested,
                candidate.unit_price,
                candidate.load,
            );
        }
        queue
    }

    /// Returns the suitability of each machine type for a job, in the order of the catalog.
    fn type_suitabilities(&self, job: &Job) -> Vec<TypeSuitability> {
        let resources = job.task_resources();
        (0..self.catalog.len())
            .map(|type_index| TypeSuitability {
                is_allowed: is_type_allowed(&job.spec, &self.catalog[type_index]),
                is_large: self
                    .scheduler
                    .pricing_rule
                    .is_large(resources, self.catalog.capacity(type_index)),
            })
            .collect()
    }
}
