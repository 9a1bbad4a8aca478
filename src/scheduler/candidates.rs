//! The machines that a scheduling pass chooses among, and which of them each job may use.

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

/// A machine as one scheduling pass sees it.
pub(super) struct CandidateMachine {
    pub(super) machine: MachineIndex,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
    /// By the machine catalog.
    pub(super) type_index: usize,
    pub(super) role: MachineRole,
    /// Small jobs below this priority may borrow the machine although it is kept for large work.
    pub(super) borrowing_priority_limit: Option<Priority>,
    /// What a CPU costs there.
    pub(super) unit_price: f64,
    /// Reserved against all jobs that come later in this pass.
    pub(super) reserved: bool,
    /// With what this pass has assigned to it.
    pub(super) load: MachineLoad,
}

impl CandidateMachine {
    /// Whether a job accepts the machine's zone and, if it is a spot machine, that.
    pub(super) fn is_allowed_by(&self, spec: &Submission) -> bool {
        is_offer_allowed(spec, self.spot, &self.zone)
    }
}

/// Whether a job accepts machines of this zone, on demand or as spot machines.
pub(super) fn is_offer_allowed(spec: &Submission, spot: bool, zone: &str) -> bool {
    (spec.spot || !spot) && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// What a machine type is to a job.
#[derive(Clone, Copy)]
struct TypeSuitability {
    is_allowed: bool,
    /// The job's tasks count as large on it.
    is_large: bool,
}

impl TypeSuitability {
    /// Machines kept for large work are not fragmented by small tasks, unless they are lent; large work may also take a
    /// shared machine that has room for it.
    fn admits(&self, candidate: &CandidateMachine, priority: Priority) -> bool {
        let is_lent = candidate
            .borrowing_priority_limit
            .is_some_and(|below| priority < below);
        self.is_allowed && (self.is_large || candidate.role == MachineRole::Shared || is_lent)
    }
}

impl SchedulingView<'_> {
    /// The schedulable machines that have room for the smallest waiting task. With a large backlog nearly all are full,
    /// and a pass over them for each waiting job once took all of the leader's processor share.
    pub(super) fn candidates(
        &self,
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) -> Vec<CandidateMachine> {
        let waiting = self
            .scheduler
            .waiting_jobs
            .iter()
            .map(|index| self.jobs[index].task_resources());
        let smallest = waiting.reduce(Resources::component_min).unwrap_or_default();
        let mut candidates: Vec<CandidateMachine> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| {
                smallest.fits(machine.capacity.minus(machine.used))
                    && self.fleet.is_schedulable(machine, self.now)
            })
            .filter_map(|(index, machine)| self.candidate(*index, machine))
            .collect();
        self.mark_borrowable(&mut candidates, borrowing_priority_limit);
        candidates
    }

    /// A machine as candidate; None if its type is not known yet.
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
            },
        })
    }

    /// Notes which machines kept for large work may be borrowed: none that is about to be returned.
    fn mark_borrowable(
        &self,
        candidates: &mut [CandidateMachine],
        borrowing_priority_limit: impl Fn(usize) -> Option<Priority>,
    ) {
        let mut below_by_type: HashMap<usize, Option<Priority>> = HashMap::new();
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| candidate.role != MachineRole::Shared)
        {
            let type_index = candidate.type_index;
            let below = *below_by_type
                .entry(type_index)
                .or_insert_with(|| borrowing_priority_limit(type_index));
            let is_surplus = |machine: &Machine| machine.surplus_since.is_some();
            candidate.borrowing_priority_limit =
                below.filter(|_| !is_surplus(&self.fleet.machines[&candidate.machine]));
        }
    }

    /// The allowed machines of a job, for the pricing rule to choose among. Those of low price come first, so that
    /// dearer ones come free and can be returned; borrowed ones come last, as what runs there may be preempted.
    pub(super) fn candidate_queue(
        &self,
        job: &Job,
        candidates: &[CandidateMachine],
        is_eligible: impl Fn(&CandidateMachine) -> bool,
    ) -> CandidateQueue {
        let spec = &job.spec;
        let resources = job.task_resources();
        let weight = self.config.tunables.weights[priority_rank(spec.priority)];
        let types = self.type_suitabilities(job);
        let is_allowed = |candidate: &CandidateMachine| {
            types[candidate.type_index].admits(candidate, spec.priority)
                && !candidate.reserved
                && candidate.is_allowed_by(spec)
                && is_eligible(candidate)
        };
        // Machines where the job's tasks failed are left out if there are others.
        let is_healthy =
            |candidate: &CandidateMachine| !job.failed_machines.contains(&candidate.machine);
        let any_healthy = job.failed_machines.is_empty()
            || candidates
                .iter()
                .any(|candidate| is_allowed(candidate) && is_healthy(candidate));
        let policy = self.image_wait_policy(job);
        let avoids_spot = job.is_chain_step_with_deadline();
        let mut queue = CandidateQueue::new(self.scheduler.rule, resources, weight);
        for (at, candidate) in candidates.iter().enumerate() {
            if !resources.fits(candidate.load.free())
                || !is_allowed(candidate)
                || (any_healthy && !is_healthy(candidate))
            {
                continue;
            }
            let Some(distance) = self.image_distance(candidate, spec, policy) else {
                queue.record_omission();
                continue;
            };
            let tier = CandidateTier {
                revocable: avoids_spot && candidate.spot,
                image_distance: distance.current,
                borrowed: candidate.role != MachineRole::Shared
                    && !types[candidate.type_index].is_large,
            };
            let once_requested = distance.once_requested;
            queue.push(
                at,
                tier,
                once_requested,
                candidate.unit_price,
                candidate.load,
            );
        }
        queue
    }

    /// What each machine type of the catalog is to a job.
    fn type_suitabilities(&self, job: &Job) -> Vec<TypeSuitability> {
        let resources = job.task_resources();
        (0..self.catalog.len())
            .map(|type_index| TypeSuitability {
                is_allowed: is_type_allowed(&job.spec, &self.catalog[type_index]),
                is_large: self
                    .scheduler
                    .rule
                    .is_large(resources, self.catalog.capacity(type_index)),
            })
            .collect()
    }
}
