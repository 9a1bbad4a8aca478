//! Maintenance of the controller's replica of the store: a full load, then a watch that keeps it current.

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

/// Time limit of one watch, in seconds: less than the silence after which the state service is taken to be unreachable.
pub(super) const WATCH_TIMEOUT_S: f64 = 2.0;
/// Time limit of a watch that replaces one ended early, as a fraction of [`STALE_WATCH_S`].
const RESTARTED_WATCH_SHARE: f64 = 0.25;

/// The replica, up to when it is current, and the signals of the routines that maintain it.
#[derive(Default)]
pub(super) struct Replication {
    /// The content of the store, as far as it has been received.
    pub replica: RefCell<StateReplica>,
    /// Whether the replica is completely loaded; false while it is loaded again.
    pub is_loaded: Cell<bool>,
    /// Notifies when the replica was loaded or changes were applied to it.
    pub advanced: Notify,
    /// Ends the pause in which changes are batched.
    pub end_batching: Signal,
    /// Ends the watch in progress and starts another.
    pub restart_watch: Signal,
    /// When the state service last answered; None if it never did.
    store_contact_at: Cell<Option<Time>>,
    /// The replica is known to hold all that was stored at this time; None before the first load.
    pub current_at: Cell<Option<Time>>,
}

impl Replication {
    /// Records that the replica holds all that was stored at the time `at`.
    pub fn record_current_at(&self, at: Time) {
        let latest = self.current_at.get().map_or(at, |known| known.max(at));
        self.current_at.set(Some(latest));
    }

    /// Records that the state service answered.
    pub fn record_store_contact(&self, now: Time) {
        self.store_contact_at.set(Some(now));
    }

    /// Seconds since the state service last answered; None if it never did.
    pub fn store_contact_age_s(&self, now: Time) -> Option<f64> {
        self.store_contact_at.get().map(|at| now - at)
    }

    /// Whether the replica is loaded and has reached this revision of the store.
    pub fn has_reached(&self, revision: u64) -> bool {
        self.is_loaded.get() && self.replica.borrow().revision >= revision
    }
}

/// The pages of a listing of the store, which are read one after another while the store changes.
#[derive(Default)]
struct Listing {
    /// The number of pages.
    pages: u32,
    /// The revision of the store at which the first page was read.
    first_revision: u64,
    /// The revision of the store at which the last page was read.
    last_revision: u64,
}

impl Controller {
    /// Keeps the replica current: loads it, then watches the store until the replica must be loaded again.
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
        let load_started_at = self.now();
        let mut new_replica = self.empty_replica();
        let listing = self.read_all_pages(&mut new_replica).await?;
        // Changes made between the reads of two pages are delivered by the watch, which starts at the revision of the
        // first page.
        new_replica.advance_to(listing.first_revision);
        new_replica.set_consistent_from(listing.last_revision);
        let known_machine_types = self.replication.replica.borrow().machine_types.clone();
        new_replica.machine_types = new_replica.machine_types.or(known_machine_types);
        new_replica.finish_load(self.now(), self.runtime.unix_ms());
        tracing::info!(
            revision = listing.first_revision,
            last_revision = listing.last_revision,
            pages = listing.pages,
            jobs = new_replica.jobs.len(),
            parts_without_job = new_replica.dependency_parts_without_job().count(),
            "replica loaded"
        );
        let old_replica = self.replication.replica.replace(new_replica);
        self.replication.is_loaded.set(true);
        self.replication.record_current_at(load_started_at);
        self.on_replica_loaded(&old_replica);
        Ok(())
    }

    /// Applies every page of a listing of the store to a replica.
    async fn read_all_pages(&self, replica: &mut StateReplica) -> Result<Listing, StoreError> {
        let mut listing = Listing::default();
        let mut after_key = String::new();
        loop {
            let page = self.store.list(keys::ROOT, &after_key).await?;
            self.replication.record_store_contact(self.now());
            if listing.pages == 0 {
                listing.first_revision = page.revision;
            }
            listing.last_revision = page.revision;
            listing.pages += 1;
            for item in &page.items {
                replica.apply(&item.key, Some(&item.value), item.revision);
            }
            match page.items.last() {
                Some(last) if page.truncated => after_key = last.key.clone(),
                _ => return Ok(listing),
            }
        }
    }

    /// Brings everything that depends on the replica up to date after a load that replaced `old_replica`.
    fn on_replica_loaded(&self, old_replica: &StateReplica) {
        if self.quota.is_none() && self.replication.replica.borrow().has_quota_settings {
            tracing::warn!("quotas are in force, but not enabled at this controller");
        }
        self.prune_quota_attempts();
        self.resync_leader(old_replica.revision);
        self.leadership.leader_record_changed.set();
        self.replication.advanced.notify_all();
    }

    /// Passes the jobs to the leader again, if this controller leads: changes after `known_revision`, the revision of
    /// the replica before the load, may have been missed.
    fn resync_leader(&self, known_revision: u64) {
        let replica = self.replication.replica.borrow();
        if let Some(leader) = self.leadership.leader.borrow_mut().as_mut() {
            leader.resync(&replica, known_revision, self.now());
        }
        self.leadership.round_due.set();
    }

    /// Applies changes as the store reports them, until the store no longer keeps those after the replica's revision.
    async fn watch_changes(&self) {
        let mut timeout_s = WATCH_TIMEOUT_S;
        loop {
            let Some(outcome) = self.watch_once(timeout_s).await else {
                // A routine waits for a revision that the watch has not reported. If that revision changed only keys
                // that are not watched, no event ever shows it. The answer to a watch without events does, and a
                // short watch returns that answer soon.
                timeout_s = STALE_WATCH_S * RESTARTED_WATCH_SHARE;
                continue;
            };
            timeout_s = WATCH_TIMEOUT_S;
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

    /// Watches the store once; None if the watch was ended by [`Replication::restart_watch`].
    async fn watch_once(&self, timeout_s: f64) -> Option<Result<WatchOutcome, StoreError>> {
        let after_revision = self.replication.replica.borrow().revision;
        self.replication.restart_watch.clear();
        let watch = std::pin::pin!(self.store.watch(keys::ROOT, after_revision, timeout_s));
        match select(watch, self.replication.restart_watch.wait()).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Applies the changes reported by a watch, then pauses so that the next changes come in a batch.
    async fn on_watch_events(&self, events: &Events) {
        self.replication.record_store_contact(self.now());
        self.apply_events(events);
        // The pause ends early if a routine waits for changes.
        let pause = self.runtime.sleep(WATCH_BATCH_S);
        select(pause, self.replication.end_batching.wait()).await;
        self.replication.end_batching.clear();
    }
}
