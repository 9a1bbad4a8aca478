//! The controller's replica of the store: loaded whole, then kept current by watching.

pub(crate) mod read_barriers;
mod replica_events;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::{Either, select};

use super::replication::read_barriers::STALE_WATCH_S;
use super::{Controller, STORE_BACKOFF_S, WATCH_BATCH_S};
use crate::protocol::store::Events;
use crate::runtime::{Notify, Signal, Time};
use crate::store::client::{StoreError, WatchOutcome};
use crate::store::keys;
use crate::store::replica::StateReplica;

/// Time limit of one watch, in seconds: less than the silence after which the state service counts as lost.
pub(super) const WATCH_S: f64 = 2.0;
/// Time limit of a watch after a restart, as a part of [`STALE_WATCH_S`].
const RESTARTED_WATCH_SHARE: f64 = 0.25;

/// The replica, how current it is, and what its routines wait for.
#[derive(Default)]
pub(super) struct Replication {
    /// The state of the store, as far as it is known here.
    pub replica: RefCell<StateReplica>,
    /// Whether the replica is whole; not while it is loaded anew.
    pub is_loaded: Cell<bool>,
    /// Notifies when the replica has moved on.
    pub advanced: Notify,
    /// Ends the gap in which changes are batched.
    pub end_batching: Signal,
    /// Ends the watch under way and begins another.
    pub restart_watch: Signal,
    /// When the state service last answered.
    store_contact_at: Cell<Option<Time>>,
    /// All that was stored at this time is in the replica.
    pub current_at: Cell<Option<Time>>,
}

impl Replication {
    /// The replica shows all that was stored at `at`.
    pub fn record_current_at(&self, at: Time) {
        let latest = self.current_at.get().map_or(at, |known| known.max(at));
        self.current_at.set(Some(latest));
    }

    /// The state service answered.
    pub fn record_store_contact(&self, now: Time) {
        self.store_contact_at.set(Some(now));
    }

    /// Seconds since the state service last answered, if it ever did.
    pub fn store_contact_age_s(&self, now: Time) -> Option<f64> {
        self.store_contact_at.get().map(|at| now - at)
    }

    /// Whether the replica is loaded and shows that revision.
    pub fn has_reached(&self, revision: u64) -> bool {
        self.is_loaded.get() && self.replica.borrow().revision >= revision
    }
}

impl Controller {
    /// Keeps the replica current: loads it, and watches the store until it must be loaded anew.
    pub(super) async fn watch_state(self: Rc<Self>) {
        loop {
            if let Err(error) = self.load_replica().await {
                tracing::debug!(%error, "loading the replica failed");
                self.runtime.sleep(STORE_BACKOFF_S * 2.0).await;
                continue;
            }
            self.watch_changes().await;
            self.replication.is_loaded.set(false);
        }
    }

    /// Reads all that is stored into a new replica.
    async fn load_replica(&self) -> Result<(), StoreError> {
        let mut fresh = self.empty_replica();
        let mut after = String::new();
        let mut first_revision = None;
        let mut last_revision;
        let began = self.now();
        loop {
            let page = self.store.list(keys::ROOT, &after).await?;
            self.replication.record_store_contact(self.now());
            first_revision.get_or_insert(page.revision);
            last_revision = page.revision;
            for item in &page.items {
                fresh.apply(&item.key, Some(&item.value), item.revision);
            }
            match page.items.last() {
                Some(last) if page.truncated => after = last.key.clone(),
                _ => break,
            }
        }
        // What changed between the pages comes with the watch that begins at the first.
        fresh.advance_to(first_revision.unwrap_or(0));
        if let Some(ledger) = &mut fresh.quota {
            // Jobs were read before the quotas that they are charged to: until the changes meanwhile have come,
            // charges are missing.
            ledger.read_until(last_revision);
        }
        let known_types = self.replication.replica.borrow().machine_types.clone();
        fresh.machine_types = fresh.machine_types.or(known_types);
        fresh.finish_load(self.now(), self.runtime.unix_ms());
        *self.replication.replica.borrow_mut() = fresh;
        self.replication.is_loaded.set(true);
        self.replication.record_current_at(began);
        self.on_replica_loaded();
        Ok(())
    }

    /// Passes a newly loaded replica on to all that depends on it.
    fn on_replica_loaded(&self) {
        if self.quota.is_none() && self.replication.replica.borrow().has_quota_settings {
            tracing::warn!("quotas are in force, but not enabled at this controller");
        }
        self.prune_quota_attempts();
        self.resync_leader();
        self.leadership.record_changed.set();
        self.replication.advanced.notify_all();
    }

    /// After a reload the leader looks at every job once more.
    fn resync_leader(&self) {
        let now = self.now();
        let replica = self.replication.replica.borrow();
        if let Some(leader) = self.leadership.leader.borrow_mut().as_mut() {
            for (id, job) in &replica.jobs {
                // One that is over may still be on machines, and count there.
                leader.add_stored_job(id, job, now);
                if job.dependency_cancelled {
                    leader.on_dependency_cancelled(id);
                } else if !job.is_blocked {
                    leader.on_ready(id, job.ready_at.unwrap_or(now));
                }
                if let Some(end) = &job.end {
                    leader.on_end(id, end, now);
                }
            }
        }
        self.leadership.round_due.set();
    }

    /// Applies changes as they come, until the store no longer keeps those that follow the replica's revision.
    async fn watch_changes(&self) {
        let mut timeout_s = WATCH_S;
        loop {
            let Some(outcome) = self.watch_once(timeout_s).await else {
                // Somebody waits for a revision that may be of others' keys: no change of ours
                // would ever show it, so a short watch confirms the revision even if nothing came.
                timeout_s = STALE_WATCH_S * RESTARTED_WATCH_SHARE;
                continue;
            };
            timeout_s = WATCH_S;
            match outcome {
                Ok(WatchOutcome::Events(events)) => self.on_watch_events(&events).await,
                Ok(WatchOutcome::Compacted) => return,
                Err(error) => {
                    tracing::debug!(%error, "watching the store failed");
                    self.runtime.sleep(STORE_BACKOFF_S).await;
                }
            }
        }
    }

    /// One watch; None if it was ended by [`Replication::restart_watch`].
    async fn watch_once(&self, timeout_s: f64) -> Option<Result<WatchOutcome, StoreError>> {
        let after = self.replication.replica.borrow().revision;
        self.replication.restart_watch.clear();
        let watch = std::pin::pin!(self.store.watch(keys::ROOT, after, timeout_s));
        match select(watch, self.replication.restart_watch.wait()).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Applies the changes of a watch, then waits a little for more.
    async fn on_watch_events(&self, events: &Events) {
        self.replication.record_store_contact(self.now());
        self.apply_events(events);
        // A short gap batches the changes, unless somebody waits for them.
        let gap = self.runtime.sleep(WATCH_BATCH_S);
        select(gap, self.replication.end_batching.wait()).await;
        self.replication.end_batching.clear();
    }
}
