//! Priority and deadline of the last jobs of a chain, propagated to those that they depend on.

use super::Leader;
use crate::jobs::dependency_graph;
use crate::jobs::{Job, JobIndex};
use crate::runtime::Time;
use std::cell::RefCell;
use std::rc::Rc;

impl Leader {
    /// Propagates priority and deadline of unfinished jobs to all that they depend on, directly or indirectly: a dependency has
    /// at least their priority, and is due by their deadline less their own run time.
    pub(super) fn propagate_requirements(&mut self, from: impl IntoIterator<Item = JobIndex>) {
        let open = |leader: &Leader, index: &JobIndex| leader.jobs[index].end.is_none();
        let from: Vec<JobIndex> = from.into_iter().filter(|index| open(self, index)).collect();
        let leader: RefCell<&mut Leader> = RefCell::new(self);
        let dependencies = |index: JobIndex| -> Vec<JobIndex> {
            let leader = leader.borrow();
            let ids = leader.jobs[&index].spec.waits_on.iter();
            ids.filter_map(|id| leader.job_index(id)).collect()
        };
        let raise = |dependency: JobIndex, dependent: JobIndex| -> bool {
            let mut leader = leader.borrow_mut();
            let job = &leader.jobs[&dependent];
            let (priority, required_by) = (
                job.spec.priority,
                leader.done_by(job) - leader.autoscaler.expected_run_s(job),
            );
            let Some(dependency) = leader.jobs.get_mut(&dependency).filter(|j| j.end.is_none())
            else {
                return false;
            };
            let is_raised =
                dependency.spec.priority < priority || dependency.required_by > required_by;
            if dependency.spec.priority < priority {
                Rc::make_mut(&mut dependency.spec).priority = priority;
            }
            dependency.required_by = dependency.required_by.min(required_by);
            if is_raised {
                leader.request_placement();
            }
            is_raised
        };
        dependency_graph::propagate_requirements(
            from,
            |index| leader.borrow().jobs[&index].acceptance_order,
            dependencies,
            raise,
        );
    }

    /// By when a job must be done, by its own deadline and those of its dependents.
    pub(super) fn done_by(&self, job: &Job) -> Time {
        let own_deadline = job.spec.deadline_s.map(|s| job.submitted_at + s);
        own_deadline.unwrap_or(f64::INFINITY).min(job.required_by)
    }
}
