//! The way of a job: it comes, waits, becomes ready, ends and is forgotten.

use super::Leader;
use crate::fleet::{Slot, SlotKey};
use crate::jobs::{Job, JobIndex, MachineIndex};
use crate::rt::Time;
use crate::view::{End, EndRecord, JobView, Mark};
use std::rc::Rc;

impl Leader {
    /// Takes in a job as stored, with whatever is known of its tasks.
    pub fn enter_job(&mut self, id: &Rc<str>, stored: &JobView, now: Time) {
        if let Some(index) = self.add_job(id, stored, now) {
            self.pass_back([index]);
        }
    }

    pub(super) fn add_job(
        &mut self,
        id: &Rc<str>,
        stored: &JobView,
        now: Time,
    ) -> Option<JobIndex> {
        let spec = stored.spec.as_ref()?;
        if self.by_id.contains_key(id) {
            return None;
        }
        let teams = &self.config.deployment.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!("{id}: team {} is not in the settings", spec.team);
            return None;
        };
        let mut job = Job::new(
            id.clone(),
            spec.clone(),
            team,
            stored.order,
            stored.seen.unwrap_or(now),
        );
        job.since = stored.ready.unwrap_or(job.submitted);
        job.waits = stored.waits;
        job.parts = stored.parts;
        job.ended = stored.end.map(|e| e.end);
        job.end_stored = stored.end.is_some();
        let index = self.next_job;
        self.next_job += 1;
        let ended = job.ended.is_some();
        self.by_id.insert(id.clone(), index);
        self.jobs.insert(index, job);
        self.inherit_tasks(index, stored, now);
        let job = &self.jobs[&index];
        if !ended && job.done == job.spec.tasks {
            self.finish(index, End::Done);
        } else if !ended && stored.needs_cancelled {
            self.finish(index, End::Cancelled);
        }
        self.wake_job(index);
        self.maybe_settle(index);
        if !self.jobs[&index].waits {
            self.note_arrival(index);
        }
        self.request_placement();
        Some(index)
    }

    /// Takes over what the assignment log tells of a job's tasks.
    fn inherit_tasks(&mut self, index: JobIndex, stored: &JobView, now: Time) {
        for (task, (number, mark)) in &stored.tasks {
            if !self.log.counts(*number) {
                continue;
            }
            match mark {
                Mark::Free => continue,
                Mark::Done => {
                    if let Some(job) = self.jobs.get_mut(&index) {
                        job.complete(*task, *number);
                    }
                }
                Mark::On { place, attempt } => {
                    let machine = self.fleet.enter(&place.machine, &place.zone, now);
                    let key = SlotKey {
                        job: index,
                        task: *task,
                        attempt: *attempt,
                    };
                    self.inherit_assignment(machine, key, *number, now);
                }
            }
            self.log.enter(*number, index, *task);
        }
    }

    /// A task may be on a machine, by the value of the log with this number.
    fn inherit_assignment(&mut self, machine: MachineIndex, key: SlotKey, number: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.bind(key.task, machine, key.attempt, number);
        let slot = Slot {
            stop: job.ended.is_some().then_some(0.0),
            ..Slot::new(job.amount(), true, now)
        };
        if let Some(machine_state) = self.fleet.machines.get_mut(&machine) {
            machine_state.add_slot(key, slot);
        }
        self.slot_added(key.job);
    }

    /// All that a job waited for is stored as done. Only that lets it begin: this leader's own count is not
    /// enough, as a withdrawal may have come first.
    pub fn on_ready(&mut self, id: &str, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&index).filter(|j| j.waits) else {
            return;
        };
        job.waits = false;
        job.since = now;
        self.wake_job(index);
        self.note_arrival(index);
        self.request_placement();
    }

    /// A job that this one needs, directly or through others, is cancelled: its own end follows, to be
    /// stored as there is time for it.
    pub fn on_need_cancelled(&mut self, id: &str) {
        let open = |index: &JobIndex| self.jobs.get(index).is_some_and(|j| j.ended.is_none());
        if let Some(index) = self.job_index(id).filter(open) {
            if let Some(job) = self.jobs.get_mut(&index) {
                job.waits = false;
            }
            self.finish(index, End::Cancelled);
        }
    }

    /// A job's end was stored, by whoever.
    pub fn on_end(&mut self, id: &str, end: &EndRecord, now: Time) {
        let Some(index) = self.job_index(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&index) {
            job.ended = Some(end.end);
            job.end_stored = true;
        }
        self.ends.remove(&index);
        self.dequeue(index);
        if end.end == End::Cancelled {
            self.stop_job(index, 0.0, now);
        }
        self.maybe_settle(index);
    }

    /// Stops all that a job has on machines.
    pub(crate) fn stop_job(&mut self, index: JobIndex, grace_s: f64, now: Time) {
        let mut off = Vec::new();
        for (machine, machine_state) in &mut self.fleet.machines {
            let first = SlotKey {
                job: index,
                task: 0,
                attempt: 0,
            };
            let last = SlotKey {
                job: index,
                task: u32::MAX,
                attempt: u64::MAX,
            };
            for (key, slot) in machine_state.slots.range_mut(first..=last) {
                if slot.over {
                    continue;
                }
                if slot.is_unsent() {
                    off.push((*machine, *key));
                    continue;
                }
                slot.stop = Some(slot.stop.map_or(grace_s, |g| g.min(grace_s)));
                machine_state.direct_wanted = true;
                self.fleet.calls.insert(*machine);
            }
        }
        for (machine, key) in off {
            self.off(machine, key, now);
        }
    }

    /// A task of a job came off its machine without being done.
    pub(crate) fn on_unbound(&mut self, index: JobIndex, task: u32, now: Time) {
        let job = &self.jobs[&index];
        if job.is_gang() && job.bound > 0 && job.ended.is_none() {
            // The rest of the attempt can't go on: it ends now and starts anew as a whole.
            self.stop_job(index, 0.0, now);
        }
        self.mark_pending_write(index, task, false, now);
    }

    /// A task completed.
    pub(crate) fn on_task_done(&mut self, key: SlotKey, ran: Option<f64>, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        if job.is_gang() {
            // A gang completes together.
            for task in 0..job.spec.tasks {
                job.complete(task, 0);
            }
        } else {
            job.complete(key.task, 0);
        }
        job.failed_on.clear();
        job.backoff_s = 0.0;
        if let Some(ran) = ran {
            self.note_run(key.job, ran);
        }
        let job = &self.jobs[&key.job];
        if job.done == job.spec.tasks {
            self.finish(key.job, End::Done);
        } else {
            // A gang is done as a whole: only an array comes here.
            self.mark_pending_write(key.job, key.task, false, now);
        }
    }

    /// All jobs are over, and their ends wait to be written.
    #[cfg(test)]
    pub(crate) fn end_all(&mut self) {
        let all: Vec<JobIndex> = self.jobs.keys().copied().collect();
        for index in all {
            self.finish(index, End::Done);
        }
    }

    pub(super) fn finish(&mut self, index: JobIndex, end: End) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.ended = Some(end);
        }
        self.dequeue(index);
        self.pending_writes.remove(&index);
        self.ends.insert(index);
    }

    /// Whether a job may be forgotten here: it is over and off all machines. What is stored of its
    /// run is then cleared away.
    pub(crate) fn maybe_settle(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get(&index)
            && job.end_stored
            && job.slots == 0
        {
            self.pending_writes.remove(&index);
            self.settled.insert(index);
        }
    }

    /// Puts a job among those to be placed, if tasks of it wait.
    pub(crate) fn wake_job(&mut self, index: JobIndex) {
        let job = &self.jobs[&index];
        if job.ended.is_none() && !job.waits && job.pending() > 0 {
            self.enqueue(index);
        }
    }

    pub(crate) fn slot_added(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.slots += 1;
        }
        self.settled.remove(&index);
        self.use_team(index, 1.0);
    }

    pub(crate) fn slot_dropped(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(&index) {
            job.slots = job.slots.saturating_sub(1);
        }
    }
}
