//! The workers that sent this controller heartbeats, kept whether or not this controller leads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Bound;

use crate::peers::{WORKERS_PER_HEARTBEAT, WorkerLocation};
use crate::protocol::workers::Heartbeat;
use crate::runtime::Time;

/// A redirect of a worker to the leader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaderRedirect {
    /// When the redirect was sent.
    pub sent_at: Time,
    /// The fencing token of the leader at that time.
    pub fencing_token: u64,
}

/// A worker that sent this controller heartbeats.
pub(crate) struct WorkerContact {
    /// When the last heartbeat arrived.
    pub heartbeat_at: Time,
    /// The last redirect of the worker to the leader; None if it was never redirected.
    pub redirect: Option<LeaderRedirect>,
    /// When the worker last sent a heartbeat here because it could not reach the leader; None if it was never
    /// redirected, or if its last redirect did not show that it could not reach the leader.
    pub leader_unreachable_at: Option<Time>,
    /// The worker's machine, zone, address and agent epoch.
    pub location: WorkerLocation,
}

/// The workers that sent this controller heartbeats, by machine.
#[derive(Default)]
pub(crate) struct WorkerContacts {
    /// Ordered by machine, which is the order in which [`Self::next_page`] reports them to other controllers.
    pub by_machine: RefCell<BTreeMap<String, WorkerContact>>,
}

impl WorkerContacts {
    /// Records a heartbeat. The zone and the address of a worker stay as its first heartbeat showed them.
    pub fn record(&self, heartbeat: &Heartbeat, now: Time) {
        let mut contacts = self.by_machine.borrow_mut();
        let contact = contacts
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| WorkerContact {
                heartbeat_at: now,
                redirect: None,
                leader_unreachable_at: None,
                location: WorkerLocation {
                    machine: heartbeat.machine.clone(),
                    zone: heartbeat.zone.clone(),
                    addr: heartbeat.addr.clone(),
                    agent_epoch: heartbeat.agent_epoch,
                },
            });
        contact.heartbeat_at = now;
        contact.location.agent_epoch = heartbeat.agent_epoch;
    }

    /// Records that a worker is redirected to a leader, and returns what its heartbeat shows about whether it can reach
    /// that leader. A worker that sends a heartbeat here although it knows the leader's token, or was redirected to
    /// that leader within the last `repeated_within_s` seconds, could not reach the leader.
    pub fn record_redirect(
        &self,
        heartbeat: &Heartbeat,
        fencing_token: u64,
        repeated_within_s: f64,
        now: Time,
    ) -> LeaderReachability {
        let mut contacts = self.by_machine.borrow_mut();
        let Some(contact) = contacts.get_mut(&heartbeat.machine) else {
            return LeaderReachability::Unknown;
        };
        let is_repeated = contact.redirect.is_some_and(|redirect| {
            redirect.fencing_token == fencing_token && now - redirect.sent_at < repeated_within_s
        });
        contact.redirect = Some(LeaderRedirect {
            sent_at: now,
            fencing_token,
        });
        if is_repeated || heartbeat.fencing_token == fencing_token {
            contact.leader_unreachable_at = Some(now);
            LeaderReachability::Unreachable
        } else {
            contact.leader_unreachable_at = None;
            LeaderReachability::Unknown
        }
    }

    /// Number of workers that showed within the last `within_s` seconds that they can't reach the leader.
    pub fn leader_unreachable_count(&self, now: Time, within_s: f64) -> usize {
        let contacts = self.by_machine.borrow();
        let is_recent = |contact: &&WorkerContact| {
            contact
                .leader_unreachable_at
                .is_some_and(|at| now - at < within_s)
        };
        contacts.values().filter(is_recent).count()
    }

    /// The workers that sent heartbeats within the last `within_s` seconds.
    pub fn locations(&self, now: Time, within_s: f64) -> Vec<WorkerLocation> {
        let contacts = self.by_machine.borrow();
        contacts
            .values()
            .filter(|contact| now - contact.heartbeat_at < within_s)
            .map(|contact| contact.location.clone())
            .collect()
    }

    /// The next page of workers to report to another controller: those after the machine `last_reported`, which is set
    /// to the last machine of the page, or to an empty string if there are no more. An empty `last_reported` starts a
    /// new pass over all workers; those silent for `forget_after_s` seconds are removed first.
    pub fn next_page(
        &self,
        last_reported: &mut String,
        now: Time,
        forget_after_s: f64,
    ) -> Vec<WorkerLocation> {
        let mut contacts = self.by_machine.borrow_mut();
        if last_reported.is_empty() {
            contacts.retain(|_, contact| now - contact.heartbeat_at < forget_after_s);
        }
        let after = (Bound::Excluded(last_reported.as_str()), Bound::Unbounded);
        let page: Vec<WorkerLocation> = contacts
            .range::<str, _>(after)
            .take(WORKERS_PER_HEARTBEAT)
            .map(|(_, contact)| contact.location.clone())
            .collect();
        *last_reported = page
            .last()
            .map(|location| location.machine.clone())
            .unwrap_or_default();
        page
    }
}

/// What a heartbeat to a controller that does not lead shows about whether its worker can reach the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderReachability {
    /// Nothing: the worker may not know yet which controller leads.
    Unknown,
    /// The worker knows the leader and could not reach it.
    Unreachable,
}
