//! Application of the store's changes to the replica, and their delivery to the leader, the elections and the forecast.

use std::rc::Rc;

use crate::controller::Controller;
use crate::leader::Leader;
use crate::protocol::store::Events;
use crate::runtime::Time;
use crate::store::replica::{ReplicaEvent, StateReplica};

impl Controller {
    /// Applies the changes reported by a watch.
    pub(crate) fn apply_events(&self, events: &Events) {
        let now = self.now();
        let mut replica = self.replication.replica.borrow_mut();
        replica.now = now;
        let mut leader = self.leadership.leader.borrow_mut();
        for event in &events.events {
            let (key, value) = match (&event.put, &event.delete) {
                (Some(key), _) => (key, event.value.as_deref()),
                (None, Some(key)) => (key, None),
                (None, None) => continue,
            };
            if let Some(replica_event) = replica.apply(key, value, event.revision) {
                self.on_replica_event(replica_event, &mut replica, leader.as_mut(), now);
            }
            self.on_readiness_changes(&mut replica, leader.as_mut(), now);
        }
        replica.advance_to(events.revision);
        // A replica that has caught up with its load knows which jobs have lost dependencies, and cancels those of
        // which another dependency is cancelled.
        self.on_readiness_changes(&mut replica, leader.as_mut(), now);
        drop(replica);
        self.prune_quota_attempts();
        self.replication.advanced.notify_all();
    }

    /// Delivers a change of the replica to the leader, if this controller leads, to the elections and to the forecast.
    fn on_replica_event(
        &self,
        event: ReplicaEvent,
        replica: &mut StateReplica,
        leader: Option<&mut Leader>,
        now: Time,
    ) {
        match event {
            ReplicaEvent::Job(id) => self.on_job_change(replica, leader, &id, now),
            ReplicaEvent::JobEnd(id) => {
                if let Some(leader) = leader
                    && let Some(end) = replica.jobs.get(&id).and_then(|j| j.end)
                {
                    leader.on_job_end_stored(&id, &end, now);
                    self.leadership.round_due.set();
                }
            }
            ReplicaEvent::Leader => self.leadership.leader_record_changed.set(),
            ReplicaEvent::StepDownRequest(request) => {
                if let Some(leader) = leader
                    && leader.fencing_token == request.fencing_token
                    && self.is_unreachable_for_workers(leader, now)
                {
                    self.leadership.resign.set();
                }
            }
            ReplicaEvent::Relay(record) => {
                if let Some(leader) = leader {
                    leader.on_relay(&record, now);
                    self.leadership.round_due.set();
                }
            }
            ReplicaEvent::MachineTypes => {}
        }
    }

    /// Handles a job that was stored, or whose record was deleted.
    fn on_job_change(
        &self,
        replica: &mut StateReplica,
        leader: Option<&mut Leader>,
        id: &Rc<str>,
        now: Time,
    ) {
        let Some(job) = replica.jobs.get_mut(id) else {
            return;
        };
        if let Some(spec) = &job.spec {
            if !job.is_blocked {
                self.forecast.borrow_mut().record_arrival(spec, now);
            }
            job.submitted_at.get_or_insert(now);
        }
        if let Some(leader) = leader
            && job.end.is_none()
        {
            leader.add_stored_job(id, job, now);
            self.leadership.round_due.set();
        }
    }

    /// Handles jobs that became ready, and jobs that are cancelled because a dependency is.
    fn on_readiness_changes(
        &self,
        replica: &mut StateReplica,
        mut leader: Option<&mut Leader>,
        now: Time,
    ) {
        let changes = replica.take_readiness_changes(now);
        for id in &changes.ready {
            if let Some(spec) = replica.jobs.get(id).and_then(|j| j.spec.as_ref()) {
                self.forecast.borrow_mut().record_arrival(spec, now);
            }
            if let Some(leader) = leader.as_mut() {
                leader.on_ready(id, now);
                self.leadership.round_due.set();
            }
        }
        for id in &changes.cancelled {
            if let Some(leader) = leader.as_mut() {
                leader.on_dependency_cancelled(id);
                self.leadership.round_due.set();
            }
        }
    }
}
