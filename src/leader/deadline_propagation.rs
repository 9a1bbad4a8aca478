//! Propagation of priorities and deadlines along chains, from jobs to those that they depend on.

use super::Leader;
use crate::jobs::dependency_graph;
use crate::jobs::{Job, JobIndex};
use crate::runtime::Time;
use std::cell::RefCell;
use std::rc::Rc;

impl Leader {
    /// Propagates the priority and deadline of these jobs, except those that have ended, to all jobs that they depend
    /// on, directly or indirectly: a dependency gets at least the priority of its dependent, and must be done by the
    /// dependent's deadline less the dependent's expected run time.
    pub(super) fn propagate_requirements(&mut self, jobs: impl IntoIterator<Item = JobIndex>) {
        let not_ended: Vec<JobIndex> = jobs
            .into_iter()
            .filter(|index| self.jobs[index].end.is_none())
            .collect();
        let leader: RefCell<&mut Leader> = RefCell::new(self);
        let dependencies = |index: JobIndex| -> Vec<JobIndex> {
            let leader = leader.borrow();
            let ids = leader.jobs[&index].spec.waits_on.iter();
            ids.filter_map(|id| leader.job_index(id)).collect()
        };
        let raise_requirements = |dependency: JobIndex, dependent: JobIndex| -> bool {
            let mut leader = leader.borrow_mut();
            let job = &leader.jobs[&dependent];
            let (priority, required_by) = (
                job.spec.priority,
                leader.effective_deadline(job) - leader.autoscaler.expected_run_s(job),
            );
            let Some(dependency) = leader
                .jobs
                .get_mut(&dependency)
                .filter(|job| job.end.is_none())
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
                leader.request_scheduling_pass();
            }
            is_raised
        };
        dependency_graph::propagate_requirements(
            not_ended,
            |index| leader.borrow().jobs[&index].acceptance_order,
            dependencies,
            raise_requirements,
        );
    }

    /// The moment by which a job must be done to meet its own deadline and those of its dependents; infinite without
    /// deadlines.
    pub(super) fn effective_deadline(&self, job: &Job) -> Time {
        let own_deadline = job
            .spec
            .deadline_s
            .map(|deadline_s| job.submitted_at + deadline_s);
        own_deadline.unwrap_or(f64::INFINITY).min(job.required_by)
    }
}
