//! Directory of the other controllers and of what they reported in their heartbeats.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use super::{PeerHeartbeat, Shortages, WorkerLocation};
use crate::runtime::Time;

/// Number of workers reported by other controllers above which the directory discards all of them before it records
/// more. This bounds its memory; the following heartbeats report the workers again.
const REPORTED_WORKERS_MAX: usize = 16 * 1024;

/// The last contact with another controller.
struct PeerContact {
    /// When its last heartbeat was received.
    received_at: Time,
    /// [`PeerHeartbeat::store_contact_age_s`] of that heartbeat.
    store_contact_age_s: Option<f64>,
}

/// A worker reported by another controller.
struct ReportedWorker {
    /// When the last heartbeat that reported the worker was received.
    reported_at: Time,
    location: WorkerLocation,
}

/// Directory of the other controllers, filled from their heartbeats.
#[derive(Default)]
pub struct Peers {
    /// Last contact, by host name of the controller.
    contacts: RefCell<HashMap<String, PeerContact>>,
    /// Reported workers, by machine name.
    workers: RefCell<HashMap<String, ReportedWorker>>,
    /// Latest quota shortages not yet taken by [`Peers::take_shortages`], by host name of the controller.
    shortages: RefCell<HashMap<Rc<str>, Shortages>>,
}

impl Peers {
    /// Whether the state service answered any other controller within the last `within_s` seconds, according to a
    /// heartbeat received within that time.
    pub fn any_has_store(&self, now: Time, within_s: f64) -> bool {
        self.contacts.borrow().values().any(|contact| {
            let age_s = now - contact.received_at;
            age_s < within_s
                && contact
                    .store_contact_age_s
                    .is_some_and(|contact_age_s| contact_age_s + age_s < within_s)
        })
    }

    /// Whether any other controller sent a heartbeat within the last `within_s` seconds.
    pub fn any_alive(&self, now: Time, within_s: f64) -> bool {
        let contacts = self.contacts.borrow();
        contacts.values().any(|c| now - c.received_at < within_s)
    }

    /// Whether the controller at `host` sent a heartbeat within the last `within_s` seconds.
    pub fn is_alive(&self, host: &str, now: Time, within_s: f64) -> bool {
        let contacts = self.contacts.borrow();
        contacts
            .get(host)
            .is_some_and(|c| now - c.received_at < within_s)
    }

    /// Returns the workers that other controllers reported within the last `within_s` seconds, and removes the others
    /// from the directory.
    pub fn workers(&self, now: Time, within_s: f64) -> Vec<WorkerLocation> {
        let mut workers = self.workers.borrow_mut();
        workers.retain(|_, worker| now - worker.reported_at < within_s);
        workers.values().map(|w| w.location.clone()).collect()
    }

    /// Returns the last quota shortages that each controller reported since the previous call, by host name, and clears
    /// them.
    pub fn take_shortages(&self) -> HashMap<Rc<str>, Shortages> {
        self.shortages.take()
    }

    /// Records the contents of a heartbeat received at `now`.
    pub(super) fn record(&self, heartbeat: PeerHeartbeat, now: Time) {
        if !heartbeat.shortages.is_empty() {
            let host = heartbeat.host.as_str().into();
            let mut shortages = self.shortages.borrow_mut();
            shortages.insert(host, heartbeat.shortages);
        }
        let contact = PeerContact {
            received_at: now,
            store_contact_age_s: heartbeat.store_contact_age_s,
        };
        self.contacts.borrow_mut().insert(heartbeat.host, contact);
        self.record_workers(heartbeat.workers, now);
    }

    /// Records the workers reported by a heartbeat.
    fn record_workers(&self, locations: Vec<WorkerLocation>, now: Time) {
        let mut workers = self.workers.borrow_mut();
        if workers.len() > REPORTED_WORKERS_MAX {
            workers.clear();
        }
        for location in locations {
            let machine = location.machine.clone();
            let worker = ReportedWorker {
                reported_at: now,
                location,
            };
            workers.insert(machine, worker);
        }
    }
}
