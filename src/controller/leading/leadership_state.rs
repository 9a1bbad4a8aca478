//! The state of leadership: the term that this controller holds, if any, and the leader's state machine.
//!
//! All actions as the leader go through [`Controller::with_leader`], which checks at that moment that the term is still
//! trusted: a process that was paused or got no CPU time may resume after its lease has expired.

use std::cell::{Cell, RefCell};

use crate::controller::Controller;
use crate::leader::Leader;
use crate::leadership::LeaderTerm;
use crate::runtime::{Notify, Signal};

/// Leadership of this controller, and the signals between the routines that exercise it.
#[derive(Default)]
pub(crate) struct LeadershipState {
    /// The term that this controller holds, if any. It may act as the leader only while the term is trusted, see
    /// [`Controller::trusted_fencing_token`].
    pub term: Cell<Option<LeaderTerm>>,
    /// The leader's state machine; None without a term, and until the replica has reached the revision of the election
    /// and holds the machine types.
    pub leader: RefCell<Option<Leader>>,
    /// Set when the leader's record in the store changes.
    pub leader_record_changed: Signal,
    /// Set to make this controller resign from the term that it holds.
    pub resign: Signal,
    /// Set when the leader's next round is due.
    pub round_due: Signal,
    /// Notifies at the end of each round, when the round has placed tasks and has stored its decisions as far as the
    /// state service and [`ROUND_TRANSACTIONS_MAX`] allowed.
    ///
    /// [`ROUND_TRANSACTIONS_MAX`]: crate::controller::leading::leader_loop::ROUND_TRANSACTIONS_MAX
    pub round_completed: Notify,
    /// Set when calls to the cloud may be due.
    pub cloud_calls_due: Signal,
}

impl LeadershipState {
    /// Runs `f` on the leader's state machine of the term with this fencing token, even if the term is not trusted at
    /// this moment. Only for recording the outcomes of earlier actions: new actions go through
    /// [`Controller::with_leader`].
    pub fn with_leader_of_term<T>(
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

    /// Ends the term at this controller, without revoking its lease.
    pub fn step_down(&self) {
        self.term.set(None);
        *self.leader.borrow_mut() = None;
    }
}

impl Controller {
    /// The fencing token under which this controller may act as the leader at this moment; None if it may not.
    pub(crate) fn trusted_fencing_token(&self) -> Option<u64> {
        let term = self.leadership.term.get()?;
        let replica_current_at = self.replication.current_at.get()?;
        let trusted_lease_s = self.config.trusted_leader_lease_s();
        let is_trusted = self.now() < term.trusted_until(replica_current_at, trusted_lease_s);
        is_trusted.then_some(term.fencing_token)
    }

    /// Runs `f` on the leader's state machine, if this controller may act under `fencing_token` at this moment.
    pub(crate) fn with_leader<T>(
        &self,
        fencing_token: u64,
        f: impl FnOnce(&mut Leader) -> T,
    ) -> Option<T> {
        if self.trusted_fencing_token() != Some(fencing_token) {
            return None;
        }
        self.leadership.with_leader_of_term(fencing_token, f)
    }
}
