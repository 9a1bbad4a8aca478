//! Requests to the leader to step down, written to the store when workers can't reach the leader but reach this
//! controller.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::controller::Controller;
use crate::controller::workers::contacts::LeaderReachability;
use crate::leader::Leader;
use crate::protocol::store::{Change, Condition, Txn};
use crate::protocol::workers::Heartbeat;
use crate::runtime::{Signal, Time};
use crate::store::keys;
use crate::store::records::StepDownRequest;

/// Minimum interval between two requests, in heartbeat intervals of the workers.
const REQUEST_INTERVAL_HEARTBEATS: f64 = 0.5;
/// Upper bound of that interval, in seconds.
const REQUEST_INTERVAL_S_MAX: f64 = 1.5;
/// Minimum number of workers that can't reach the leader for a request to be made.
const UNREACHABLE_WORKERS_MIN: usize = 2;
/// Number of heartbeat intervals for which a worker counts as unable to reach the leader.
const UNREACHABLE_HEARTBEATS: f64 = 2.0;
/// A worker that sends another heartbeat here within this number of heartbeat intervals after a redirect could not
/// reach the leader.
const REDIRECT_REPEAT_HEARTBEATS: f64 = 4.0;
/// Number of heartbeat intervals without contact with any worker after which a leader grants a request to step down.
const NO_CONTACT_HEARTBEATS: f64 = 1.3;
/// Upper bound of that time, in seconds, for a leader that knows at least [`NO_CONTACT_S_MAX_MACHINES`] machines: some
/// of them would send heartbeats in that time.
const NO_CONTACT_S_MAX: f64 = 4.0;
/// Minimum number of known machines for [`NO_CONTACT_S_MAX`] to apply.
const NO_CONTACT_S_MAX_MACHINES: usize = 12;

/// The request that is due, and the time of the last one.
#[derive(Default)]
pub(crate) struct StepDownRequests {
    /// When the last request was made.
    last_requested_at: Cell<Option<Time>>,
    /// The fencing token of the leader that is to step down; None if no request is to be written.
    pending_token: Cell<Option<u64>>,
    /// Set when a request is to be written.
    requested: Signal,
}

impl Controller {
    /// Records that a worker is redirected to the leader, and requests the leader to step down if enough workers can't
    /// reach it.
    pub(crate) fn record_redirect(&self, heartbeat: &Heartbeat, fencing_token: u64, now: Time) {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let reachability = self.worker_contacts.record_redirect(
            heartbeat,
            fencing_token,
            heartbeat_interval_s * REDIRECT_REPEAT_HEARTBEATS,
            now,
        );
        let requests = &self.step_down_requests;
        let interval_s =
            (heartbeat_interval_s * REQUEST_INTERVAL_HEARTBEATS).min(REQUEST_INTERVAL_S_MAX);
        let is_too_soon = requests
            .last_requested_at
            .get()
            .is_some_and(|at| now - at <= interval_s);
        if reachability != LeaderReachability::Unreachable || is_too_soon {
            return;
        }
        let within_s = heartbeat_interval_s * UNREACHABLE_HEARTBEATS;
        let count = self.worker_contacts.leader_unreachable_count(now, within_s);
        if count >= UNREACHABLE_WORKERS_MIN {
            requests.last_requested_at.set(Some(now));
            requests.pending_token.set(Some(fencing_token));
            requests.requested.set();
        }
    }

    /// Writes the requests that are due, each on the condition that the same leader still leads. A leader that gets no
    /// heartbeats while other controllers get some should step down.
    pub(crate) async fn write_step_down_requests(self: Rc<Self>) {
        loop {
            self.step_down_requests.requested.take().await;
            let Some(fencing_token) = self.step_down_requests.pending_token.take() else {
                continue;
            };
            let Ok(value) = to_raw_value(&StepDownRequest { fencing_token }) else {
                continue;
            };
            let txn = Txn {
                conditions: vec![Condition {
                    key: keys::leader(),
                    revision: fencing_token,
                }],
                changes: vec![Change::Put {
                    key: keys::step_down_request(&self.config.node),
                    value,
                    lease: None,
                }],
            };
            tracing::info!(node = %self.config.node, "workers cannot reach the leader");
            self.write_for_user(&txn).await;
        }
    }

    /// Whether this controller, as the leader, has had no contact with workers for so long that it must grant a request
    /// to step down.
    pub(crate) fn is_unreachable_for_workers(&self, leader: &Leader, now: Time) -> bool {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        let mut limit_s = heartbeat_interval_s * NO_CONTACT_HEARTBEATS;
        if leader.fleet.machines.len() >= NO_CONTACT_S_MAX_MACHINES {
            limit_s = limit_s.min(NO_CONTACT_S_MAX);
        }
        now - leader.last_worker_contact() > limit_s
    }
}
