//! The life of a job at its leader: it is accepted, blocked, ready, ended and removed.

use super::Leader;
use super::state_writer::WriteUrgency;
use crate::fleet::{AttemptKey, TaskAttempt};
use crate::jobs::{Job, JobIndex, MachineIndex};
use crate::runtime::Time;
use crate::store::records::{EndRecord, JobEnd};
use crate::store::replica::{RecordedTask, ReplicatedJob};
use std::rc::Rc;

impl Leader {
    /// Adds a job as it is stored, with what the assignment log holds of its tasks.
    pub fn add_stored_job(&mut self, id: &Rc<str>, stored: &ReplicatedJob, now: Time) {
        if let Some(index) = self.add_job(id, stored, now) {
            self.propagate_requirements([index]);
        }
    }

    /// Adds a job without propagating its requirements; None if it is known, incomplete or of an unknown team.
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
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!(job = %id, team = %spec.team, "team is not in the settings");
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
        job.end = stored.end.map(|e| e.end);
        job.end_stored = stored.end.is_some();
        let ended = job.end.is_some();
        let index = self.jobs.insert(job);
        self.inherit_tasks(index, stored, now);
        let job = &self.jobs[&index];
        if !ended && job.done_tasks == job.spec.tasks {
            self.finish(index, JobEnd::Done);
        } else if !ended && stored.dependency_cancelled {
            self.finish(index, JobEnd::Cancelled);
        }
        self.enqueue_if_pending(index);
        self.mark_if_finished(index);
        if !self.jobs[&index].is_blocked {
            self.record_arrival(index);
        }
        self.request_placement();
        Some(index)
    }

    /// Takes over the state of a job's tasks from the assignment log.
    fn inherit_tasks(&mut self, index: JobIndex, stored: &ReplicatedJob, now: Time) {
        for (task, recorded) in &stored.tasks {
            let (number, mark) = (&recorded.record_number, &recorded.state);
            if !self.writer.log.is_valid(*number) {
                continue;
            }
            match mark {
                RecordedTask::Released => continue,
                RecordedTask::Done => {
                    if let Some(job) = self.jobs.get_mut(&index) {
                        job.complete(*task, Some(*number));
                    }
                }
                RecordedTask::Assigned {
                    location: place,
                    attempt,
                } => {
                    let machine_index = self.fleet.get_or_insert(&place.machine, &place.zone, now);
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

    /// A task may be on a machine, as the assignment record with this number says.
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

    /// All dependencies of a job are stored as done. Only that unblocks it: this leader's own count is not enough, as a
    /// cancellation may have been stored first.
    pub fn on_ready(&mut self, id: &str, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&index).filter(|j| j.is_blocked) else {
            return;
        };
        job.is_blocked = false;
        job.ready_at = now;
        self.enqueue_if_pending(index);
        self.record_arrival(index);
        self.request_placement();
    }

    /// A dependency of a job, direct or indirect, is cancelled: the job ends as well, and its end is stored within the write
    /// budget.
    pub fn on_dependency_cancelled(&mut self, id: &str) {
        let open = |index: &JobIndex| self.jobs.get(index).is_some_and(|j| j.end.is_none());
        if let Some(index) = self.job_index(id).filter(open) {
            if let Some(job) = self.jobs.get_mut(&index) {
                job.is_blocked = false;
            }
            self.finish(index, JobEnd::Cancelled);
        }
    }

    /// A job's end was stored, by any controller.
    pub fn on_end(&mut self, id: &str, end: &EndRecord, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&index) {
            job.end = Some(end.end);
            job.end_stored = true;
        }
        self.writer.end_is_stored(index);
        self.dequeue(index);
        if end.end == JobEnd::Cancelled {
            self.stop_job(index, 0.0, now);
        }
        self.mark_if_finished(index);
    }

    /// Stops all attempts of a job.
    pub(crate) fn stop_job(&mut self, index: JobIndex, grace_s: f64, now: Time) {
        let mut off = Vec::new();
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
                    off.push((*machine_index, *key));
                    continue;
                }
                task_attempt.stop_grace_s = Some(
                    task_attempt
                        .stop_grace_s
                        .map_or(grace_s, |g| g.min(grace_s)),
                );
                machine.direct_call_requested = true;
                self.fleet.direct_call_queue.insert(*machine_index);
            }
        }
        for (machine_index, key) in off {
            self.release_attempt(machine_index, key, now);
        }
    }

    /// A task came off its machine without being done.
    pub(crate) fn on_task_released(&mut self, index: JobIndex, task: u32, now: Time) {
        let job = &self.jobs[&index];
        if job.is_gang() && job.assigned_tasks > 0 && job.end.is_none() {
            // The other tasks of the attempt can't go on: it ends now and starts anew as a whole.
            self.stop_job(index, 0.0, now);
        }
        self.mark_pending_write(index, task, WriteUrgency::Batched, now);
    }

    /// A task completed.
    pub(crate) fn on_task_done(&mut self, key: AttemptKey, ran: Option<f64>, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        if job.is_gang() {
            // A gang completes together.
            for task in 0..job.spec.tasks {
                job.complete(task, None);
            }
        } else {
            job.complete(key.task, None);
        }
        job.failed_machines.clear();
        job.backoff_s = 0.0;
        if let Some(ran) = ran {
            self.record_run_time(key.job, ran);
        }
        let job = &self.jobs[&key.job];
        if job.done_tasks == job.spec.tasks {
            self.finish(key.job, JobEnd::Done);
        } else {
            // A gang is done as a whole: only an array comes here.
            self.mark_pending_write(key.job, key.task, WriteUrgency::Batched, now);
        }
    }

    /// All jobs end as done, and their ends wait to be written.
    #[cfg(test)]
    pub(crate) fn end_all(&mut self) {
        let all: Vec<JobIndex> = self.jobs.keys().copied().collect();
        for index in all {
            self.finish(index, JobEnd::Done);
        }
    }

    /// A job ends: nothing of it is placed any more, and its end is to be written.
    pub(super) fn finish(&mut self, index: JobIndex, end: JobEnd) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.end = Some(end);
        }
        self.dequeue(index);
        self.writer.mark_ended(index);
    }

    /// If a job has ended and is off all machines, what is stored of it but its end is to be deleted.
    pub(crate) fn mark_if_finished(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get(&index)
            && job.end_stored
            && job.live_attempts == 0
        {
            self.writer.mark_finished(index);
        }
    }

    /// Lets the scheduler place a job, if tasks of it are pending.
    pub(crate) fn enqueue_if_pending(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        if job.end.is_none() && !job.is_blocked && job.pending_tasks() > 0 {
            self.enqueue(index);
        }
    }

    /// An attempt of a job is or may be on a machine.
    pub(crate) fn on_attempt_added(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.live_attempts += 1;
        }
        self.writer.unmark_finished(index);
        self.charge_team(index);
    }

    /// An attempt of a job is off its machine.
    pub(crate) fn on_attempt_removed(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.live_attempts = job.live_attempts.saturating_sub(1);
        }
    }
}
