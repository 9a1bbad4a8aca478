//! The state of leadership: the term that this controller holds, if any, and the leader's state machine.
//!
//! Whatever acts in the leader's name goes through [`Controller::with_leader`], which judges the lease at that very
//! moment: a starved process wakes late.

use std::cell::{Cell, RefCell};

use crate::controller::Controller;
use crate::leader::Leader;
use crate::leadership::LeaderTerm;
use crate::runtime::{Notify, Signal};

/// What a controller keeps of leadership.
#[derive(Default)]
pub(crate) struct LeadershipState {
    /// The term that this controller holds; it may act under it only while the term is trusted, see
    /// [`Controller::trusted_fencing_token`].
    pub term: Cell<Option<LeaderTerm>>,
    /// The leader's state machine, once the replica has reached the revision of the election.
    pub leader: RefCell<Option<Leader>>,
    /// Set when the store's record of the leader changed.
    pub record_changed: Signal,
    /// Ends the term that this controller holds.
    pub resign: Signal,
    /// Begins the leader's next round.
    pub round_due: Signal,
    /// Notifies when the leader has placed and stored what it could.
    pub round_completed: Notify,
    /// Set when calls to the cloud may be due.
    pub cloud_calls_due: Signal,
}

impl LeadershipState {
    /// Runs `f` on the leader's state machine of that term, even if the term is not trusted at this moment.
    pub fn with_leader_of<T>(
        &self,
        fencing_token: u64,
        f: impl FnOnce(&mut Leader) -> T,
    ) -> Option<T> {
        let mut leader = self.leader.borrow_mut();
        leader
            .as_mut()
            .filter(|leader| leader.fencing_token == fencing_token)
            .map(f)
    }

    /// Ends the term at this controller.
    pub fn step_down(&self) {
        self.term.set(None);
        *self.leader.borrow_mut() = None;
    }
}

impl Controller {
    /// The fencing token under which this controller may act as the leader at this very moment.
    pub(crate) fn trusted_fencing_token(&self) -> Option<u64> {
        let term = self.leadership.term.get()?;
        let replica_current_at = self.replication.current_at.get()?;
        let lease_duration_s = self.config.trusted_leader_lease_s();
        let is_trusted = self.now() < term.trusted_until(replica_current_at, lease_duration_s);
        is_trusted.then_some(term.fencing_token)
    }

    /// Runs `f` on the leader's state machine, if this controller may act under `fencing_token` right now.
    pub(crate) fn with_leader<T>(
        &self,
        fencing_token: u64,
        f: impl FnOnce(&mut Leader) -> T,
    ) -> Option<T> {
        if self.trusted_fencing_token() != Some(fencing_token) {
            return None;
        }
        self.leadership.with_leader_of(fencing_token, f)
    }
}
