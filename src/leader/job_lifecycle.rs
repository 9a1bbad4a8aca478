//! The life cycle of a job at the leader: accepted, blocked, ready, ended and finished.

use super::Leader;
use super::state_writer::WriteUrgency;
use crate::fleet::{AttemptKey, TaskAttempt};
use crate::jobs::{Job, JobIndex, MachineIndex};
use crate::runtime::Time;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::replica::{RecordedTask, ReplicatedJob, StateReplica};
use std::rc::Rc;

impl Leader {
    /// Adds a job from the store, with the state of its tasks from the assignment log. Does nothing if the leader has
    /// the job already, or if the job has no stored submission or is of a team that isn't in the settings.
    pub fn add_stored_job(&mut self, id: &Rc<str>, stored: &ReplicatedJob, now: Time) {
        if let Some(index) = self.add_job(id, stored, now) {
            self.propagate_requirements([index]);
        }
    }

    /// Takes over what a replica shows that was loaded again during the term. The leader has been given every change up
    /// to `known_revision`, and may have missed later ones.
    ///
    /// Jobs that were accepted up to then are not added: the leader has them, or has finished them. The load reads the
    /// page with a job's record after that with its end, so it may show a finished job without the end that the leader
    /// stored in between; if the job was added, its tasks would be started again.
    pub fn resync(&mut self, replica: &StateReplica, known_revision: u64, now: Time) {
        for (id, job) in &replica.jobs {
            if job.accepted_revision > known_revision {
                // A job that has ended may still occupy machines and count against its team's limit.
                self.add_stored_job(id, job, now);
            }
            if job.dependency_cancelled {
                self.on_dependency_cancelled(id);
            } else if !job.is_blocked {
                self.on_ready(id, job.ready_at.unwrap_or(now));
            }
            if let Some(end) = &job.end {
                self.on_job_end_stored(id, end, now);
            }
        }
    }

    /// As [`Leader::add_stored_job`], without propagating the job's requirements. None if the job is not added.
    pub(super) fn add_job(
        &mut self,
        id: &Rc<str>,
        stored: &ReplicatedJob,
        now: Time,
    ) -> Option<JobIndex> {
        let spec = stored.spec.as_ref()?;
        if self.jobs.contains_id(id) {
            return None;
        }
        let teams = &self.config.deployment.teams;
        let Some(team) = teams.iter().position(|team| team.name == spec.team) else {
            tracing::error!(job = %id, team = %spec.team, "ignoring a job whose team is not in the settings");
            return None;
        };
        let mut job = Job::new(
            id.clone(),
            spec.clone(),
            team,
            stored.accepted_revision,
            stored.submitted_at.unwrap_or(now),
        );
        job.ready_at = stored.ready_at.unwrap_or(job.submitted_at);
        job.is_blocked = stored.is_blocked;
        job.dependency_parts = stored.dependency_parts;
        job.end = stored.end.map(|record| record.end);
        job.end_stored = stored.end.is_some();
        let ended = job.end.is_some();
        let index = self.jobs.insert(job);
        self.inherit_tasks(index, stored, now);
        let job = &self.jobs[&index];
        if !ended && job.done_tasks == job.spec.tasks {
            self.end_job(index, JobEnd::Done);
        } else if !ended && stored.dependency_cancelled {
            self.end_job(index, JobEnd::Cancelled);
        }
        self.enqueue_if_pending(index);
        self.mark_if_finished(index);
        if !self.jobs[&index].is_blocked {
            self.record_arrival(index);
        }
        self.request_scheduling_pass();
        Some(index)
    }

    /// Takes over the state of a job's tasks from the valid records of the assignment log.
    fn inherit_tasks(&mut self, index: JobIndex, stored: &ReplicatedJob, now: Time) {
        for (task, recorded) in &stored.tasks {
            let (number, state) = (&recorded.record_number, &recorded.state);
            if !self.writer.log.is_valid(*number) {
                continue;
            }
            match state {
                RecordedTask::Released => continue,
                RecordedTask::Done => {
                    if let Some(job) = self.jobs.get_mut(&index) {
                        job.complete(*task, Some(*number));
                    }
                }
                RecordedTask::Assigned { location, attempt } => {
                    let machine_index =
                        self.fleet
                            .get_or_insert(&location.machine, &location.zone, now);
                    let key = AttemptKey {
                        job: index,
                        task: *task,
                        attempt: *attempt,
                    };
                    self.inherit_assignment(machine_index, key, *number, now);
                }
            }
            self.writer.log.add_task(*number, index, *task);
        }
    }

    /// Adds an attempt of an earlier term that may be on a machine, as the assignment record with this number says.
    fn inherit_assignment(
        &mut self,
        machine_index: MachineIndex,
        key: AttemptKey,
        number: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.assign(key.task, machine_index, key.attempt, Some(number));
        let task_attempt = TaskAttempt {
            stop_grace_s: job.end.is_some().then_some(0.0),
            ..TaskAttempt::new(job.task_resources(), true, now)
        };
        if let Some(machine) = self.fleet.machines.get_mut(&machine_index) {
            machine.add_attempt(key, task_attempt);
        }
        self.on_attempt_added(key.job);
    }

    /// Unblocks a job, as the ends of all its dependencies are stored as done. Ends that this leader has yet to store
    /// don't unblock a job, as the cancellation of a dependency may be stored before them.
    pub fn on_ready(&mut self, id: &str, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&index).filter(|job| job.is_blocked) else {
            return;
        };
        job.is_blocked = false;
        job.ready_at = now;
        self.enqueue_if_pending(index);
        self.record_arrival(index);
        self.request_scheduling_pass();
    }

    /// Ends a job as cancelled, as one of its direct or indirect dependencies is cancelled. The end is stored within
    /// the leader's write budget.
    pub fn on_dependency_cancelled(&mut self, id: &str) {
        let has_not_ended =
            |index: &JobIndex| self.jobs.get(index).is_some_and(|job| job.end.is_none());
        if let Some(index) = self.job_index(id).filter(has_not_ended) {
            if let Some(job) = self.jobs.get_mut(&index) {
                job.is_blocked = false;
            }
            self.end_job(index, JobEnd::Cancelled);
        }
    }

    /// Handles the stored end of a job, whichever controller wrote it.
    pub fn on_job_end_stored(&mut self, id: &str, end: &EndRecord, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&index) {
            job.end = Some(end.end);
            job.end_stored = true;
        }
        self.writer.on_end_stored(index);
        self.dequeue(index);
        if end.end == JobEnd::Cancelled {
            self.stop_job(index, 0.0, now);
        }
        self.mark_if_finished(index);
    }

    /// Stops all attempts of a job, with `grace_s` seconds to save a checkpoint unless an earlier stop allows less.
    /// Attempts whose launch was never sent are released at once.
    pub(crate) fn stop_job(&mut self, index: JobIndex, grace_s: f64, now: Time) {
        let mut unsent = Vec::new();
        for (machine_index, machine) in &mut self.fleet.machines {
            let first = AttemptKey {
                job: index,
                task: 0,
                attempt: 0,
            };
            let last = AttemptKey {
                job: index,
                task: u32::MAX,
                attempt: u64::MAX,
            };
            for (key, task_attempt) in machine.attempts.range_mut(first..=last) {
                if task_attempt.completed {
                    continue;
                }
                if task_attempt.is_unsent() {
                    unsent.push((*machine_index, *key));
                    continue;
                }
                task_attempt.stop_grace_s = Some(
                    task_attempt
                        .stop_grace_s
                        .map_or(grace_s, |earlier_s| earlier_s.min(grace_s)),
                );
                machine.direct_call_requested = true;
                self.fleet.direct_call_queue.insert(*machine_index);
            }
        }
        for (machine_index, key) in unsent {
            self.release_attempt(machine_index, key, now);
        }
    }

    /// Handles the release of a task that didn't complete.
    pub(crate) fn on_task_released(&mut self, index: JobIndex, task: u32, now: Time) {
        let job = &self.jobs[&index];
        if job.is_gang() && job.assigned_tasks > 0 && job.end.is_none() {
            // The other tasks of the attempt can't continue: all are stopped, and the gang starts again as a whole.
            self.stop_job(index, 0.0, now);
        }
        self.mark_pending_write(index, task, WriteUrgency::Batched, now);
    }

    /// Handles the completion of a task, which ran for `run_s` seconds if that is known.
    pub(crate) fn on_task_completed(&mut self, key: AttemptKey, run_s: Option<f64>, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        if job.is_gang() {
            // A gang completes as a whole, as soon as one of its tasks does.
            for task in 0..job.spec.tasks {
                job.complete(task, None);
            }
        } else {
            job.complete(key.task, None);
        }
        job.failed_machines.clear();
        job.backoff_s = 0.0;
        if let Some(run_s) = run_s {
            self.record_run_time(key.job, run_s);
        }
        let job = &self.jobs[&key.job];
        if job.done_tasks == job.spec.tasks {
            self.end_job(key.job, JobEnd::Done);
        } else {
            // Only an array gets here: a gang is done as a whole, and a service's tasks are never done.
            self.mark_pending_write(key.job, key.task, WriteUrgency::Batched, now);
        }
    }

    /// Ends all jobs as done and schedules the writes of their ends.
    #[cfg(test)]
    pub(crate) fn end_all(&mut self) {
        let all: Vec<JobIndex> = self.jobs.keys().copied().collect();
        for index in all {
            self.end_job(index, JobEnd::Done);
        }
    }

    /// Ends a job: its tasks are no longer placed, and its end is to be written.
    pub(super) fn end_job(&mut self, index: JobIndex, end: JobEnd) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.end = Some(end);
        }
        self.dequeue(index);
        self.writer.mark_ended(index);
    }

    /// Schedules the deletion of a job's records, except the record of its end, if the job is finished: its end is
    /// stored and none of its attempts is on a machine.
    pub(crate) fn mark_if_finished(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get(&index)
            && job.end_stored
            && job.live_attempts == 0
        {
            self.writer.mark_finished(index);
        }
    }

    /// Adds a job to those with tasks to be placed, if it has pending tasks and is neither ended nor blocked.
    pub(crate) fn enqueue_if_pending(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        if job.end.is_none() && !job.is_blocked && job.pending_tasks() > 0 {
            self.enqueue(index);
        }
    }

    /// Counts an attempt of a job that is or may be on a machine, charges the job's team, and cancels the deletion of
    /// the job's records if it is scheduled.
    pub(crate) fn on_attempt_added(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.live_attempts += 1;
        }
        self.writer.unmark_finished(index);
        self.charge_team(index);
    }

    /// Decrements the number of a job's attempts on machines. The team's usage is released separately: for an attempt
    /// that completed, at its completion, as it uses no resources any more from then on.
    pub(crate) fn on_attempt_removed(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.live_attempts = job.live_attempts.saturating_sub(1);
        }
    }
}
