//! State from which one controller admits jobs: charges in flight, transfers without a known outcome, shortages.

use std::collections::HashMap;
use std::rc::Rc;

use crate::Time;
use crate::amount::{QuotaAmount, QuotaDimension};
use crate::in_flight::{Attempt, AttemptOutcome, InFlightCharges};
use crate::ledger::Ledger;
use crate::records::{AllotmentRecord, TeamRecord};
use crate::settings::QuotaSettings;
use crate::shortages::Shortages;

/// A transfer of units out of this controller's allotment whose outcome is unknown. No job is admitted from these
/// units until the transfer is known to be applied or can no longer be applied: a transaction without an answer may
/// be applied at any later time while the revisions on which it is conditional are current.
#[derive(Debug)]
struct OutgoingTransfer {
    amount: QuotaAmount,
    /// Revision of the allotment on which the transfer is conditional.
    allotment_revision: u64,
}

/// State of one controller's admissions. Decisions depend on it and on the [`Ledger`].
#[derive(Debug)]
pub struct Admissions {
    node: Rc<str>,
    incarnation: u64,
    controllers: i64,
    settings: Rc<QuotaSettings>,
    digest: String,
    pub(crate) in_flight: InFlightCharges,
    /// The transfer out of this controller's allotment whose outcome is unknown, by team.
    outgoing: HashMap<Rc<str>, OutgoingTransfer>,
    /// Time at which this controller last admitted a job, by team.
    last_admission_at: HashMap<Rc<str>, Time>,
    pub(crate) shortages: Shortages,
    /// The team whose unused units [`crate::transfer::release_unused`] examined last.
    pub(crate) release_cursor: Option<Rc<str>>,
}

impl Admissions {
    /// Creates the state of an incarnation of the controller `node`; `controllers` is the number of all controllers
    /// of the deployment.
    pub fn new(
        node: &str,
        incarnation: u64,
        controllers: usize,
        settings: Rc<QuotaSettings>,
    ) -> Self {
        Admissions {
            node: node.into(),
            incarnation,
            controllers: controllers as i64,
            digest: settings.digest(),
            settings,
            in_flight: InFlightCharges::default(),
            outgoing: HashMap::new(),
            last_admission_at: HashMap::new(),
            shortages: Shortages::default(),
            release_cursor: None,
        }
    }

    /// Name of this controller.
    pub fn node(&self) -> &Rc<str> {
        &self.node
    }

    /// Incarnation of this controller; an allotment with another incarnation is not used for admissions.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Number of all controllers of the deployment.
    pub(crate) fn controllers(&self) -> i64 {
        self.controllers
    }

    /// Quotas with which this controller is configured; not necessarily those in force.
    pub fn settings(&self) -> &QuotaSettings {
        &self.settings
    }

    /// Digest of the quotas with which this controller is configured.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The revision of the settings record if this controller's settings are in force. None if no settings are stored,
    /// if the stored ones differ from this controller's or are still being put in force, or if the ledger is not
    /// consistent.
    pub fn settings_in_force(&self, ledger: &Ledger) -> Option<u64> {
        let (record, revision) = ledger.settings()?;
        let in_force = record.open && record.digest == self.digest && ledger.is_consistent();
        in_force.then_some(revision)
    }

    /// Returns whether, in any dimension, a team holds more than its limit, or has borrowed units while the shared
    /// pool is negative. No job of an overdrawn team is admitted.
    pub(crate) fn is_overdrawn(&self, ledger: &Ledger, team: &str, record: &TeamRecord) -> bool {
        let quota = self.settings.team(team);
        let shared = ledger.shared.record.as_ref();
        QuotaDimension::ALL.iter().any(|dimension| {
            let held = record.held.get(*dimension);
            let borrowed_too_much = shared.is_some_and(|shared| shared.free.get(*dimension) < 0)
                && held > quota.guaranteed.get(*dimension);
            held > quota.limit.get(*dimension) || borrowed_too_much
        })
    }

    /// This controller's allotment of a team; None if it belongs to another incarnation or to none.
    pub(crate) fn owned_allotment<'l>(
        &self,
        ledger: &'l Ledger,
        team: &str,
    ) -> Option<&'l AllotmentRecord> {
        ledger
            .allotment_record(team, &self.node)
            .filter(|allotment| allotment.incarnation == self.incarnation)
    }

    /// Units that may still be charged to this controller's allotment: its size minus the charges in the ledger, the
    /// charges in flight, and an outgoing transfer. Negative if the size is smaller than their sum.
    pub fn available(&self, ledger: &Ledger, team: &str) -> QuotaAmount {
        let allotment = ledger.allotment(team, &self.node);
        let unused = allotment.map_or(QuotaAmount::ZERO, |allotment| {
            allotment.size() - allotment.used
        });
        let outgoing = self.outgoing.get(team);
        unused
            - self.in_flight.of_team(team)
            - outgoing.map_or(QuotaAmount::ZERO, |outgoing| outgoing.amount)
    }

    /// Units that this controller's allotment lacks to admit a job.
    pub(crate) fn missing(&self, ledger: &Ledger, team: &str, need: QuotaAmount) -> QuotaAmount {
        (need - self.available(ledger, team))
            .restricted_to(need)
            .non_negative()
    }

    /// Charges an admitted job until the ledger includes its charge.
    pub(crate) fn begin_attempt(&mut self, attempt: &Attempt, charge: QuotaAmount, now: Time) {
        self.last_admission_at.insert(attempt.team.clone(), now);
        self.in_flight.add_attempt(attempt, charge);
    }

    /// Records the outcome of an attempt. An attempt that may be applied remains charged until [`Self::prune`]
    /// removes it.
    pub fn finish(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        self.in_flight.finish(attempt, outcome, now);
    }

    /// Removes charges in flight that the ledger includes or that can no longer be applied, and outgoing transfers
    /// whose allotment has a newer revision: these were applied or never will be. Does nothing while the ledger is not
    /// consistent. `is_known` returns whether a job or its end is stored.
    pub fn prune(&mut self, ledger: &Ledger, is_known: impl Fn(&str) -> bool) {
        if !ledger.is_consistent() {
            return;
        }
        let node = &self.node;
        self.outgoing.retain(|team, outgoing| {
            ledger.allotment_revision(team, node) <= outgoing.allotment_revision
        });
        self.in_flight.prune(ledger, node, is_known);
    }

    /// Whether any charge or outgoing transfer waits for [`Self::prune`].
    pub fn has_pending(&self) -> bool {
        !self.in_flight.is_empty() || !self.outgoing.is_empty()
    }

    /// Time at which this controller last admitted a job of a team.
    pub(crate) fn last_admission_at(&self, team: &str) -> Option<Time> {
        self.last_admission_at.get(team).copied()
    }

    /// Time at which this controller last admitted a job of a team or lacked units for one.
    pub(crate) fn last_decision_at(&self, team: &str) -> Option<Time> {
        let short_at = self.shortages.own_shortage_at(team);
        self.last_admission_at(team)
            .into_iter()
            .chain(short_at)
            .reduce(f64::max)
    }

    /// Whether the outcome of a transfer out of this controller's allotment of a team is unknown.
    pub(crate) fn has_outgoing(&self, team: &str) -> bool {
        self.outgoing.contains_key(team)
    }

    /// Records that a transfer out of this controller's allotment is sent, conditional on the allotment's revision.
    pub(crate) fn begin_transfer(&mut self, team: &Rc<str>, amount: QuotaAmount, revision: u64) {
        let outgoing = OutgoingTransfer {
            amount,
            allotment_revision: revision,
        };
        self.outgoing.insert(team.clone(), outgoing);
    }

    /// Records that the outcome of a transfer out of this controller's allotment is known, so its units are no longer
    /// withheld. This is safe before the ledger includes an applied transfer: the allotment has a new revision, and the
    /// store refuses creations that are conditional on the old one.
    pub fn transfer_settled(&mut self, team: &str) {
        self.outgoing.remove(team);
    }

    /// Recent shortages of this controller by team, to be announced to other controllers.
    pub fn shortages(&self, now: Time) -> Vec<(Rc<str>, QuotaAmount)> {
        self.shortages.recent_own_shortages(now)
    }

    /// Records a shortage that another controller announced. Ignores announcements of this controller itself.
    pub fn on_request(&mut self, node: &Rc<str>, team: &Rc<str>, amount: QuotaAmount, now: Time) {
        self.shortages.discard_old_requests(now);
        if *node != self.node {
            self.shortages.record_request(node, team, amount, now);
        }
    }
}
