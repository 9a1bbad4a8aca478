//! Decides whether submitted jobs are admitted.

use std::rc::Rc;

use crate::Time;
use crate::admission::Admissions;
use crate::amount::QuotaAmount;
use crate::in_flight::Attempt;
use crate::ledger::Ledger;
use crate::transfer;

/// Bounds in seconds of the time after which a refused submission should be retried.
const RETRY_MIN_S: f64 = 1.0;
const RETRY_MAX_S: f64 = 30.0;

/// Time in seconds after which a refused submission should be retried if no estimate of releases exists.
const RETRY_DEFAULT_S: f64 = 5.0;

/// Decision on a submitted job.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The job is to be stored, conditional on the revisions of the attempt.
    Admitted(Attempt),
    /// This controller's allotment lacks units that [`transfer::refill`] can transfer to it.
    NeedsRefill,
    /// The units in this controller's allotment, the team's free units and the shared pool do not suffice at present,
    /// or the team is overdrawn.
    Refused {
        /// Time in seconds after which the submission should be retried: the estimated time until enough units are
        /// released, within bounds, or a default without an estimate.
        retry_after_s: f64,
    },
    /// The job needs more units than its team can ever hold under the settings.
    ExceedsQuota,
    /// No settings are in force, those in force differ from this controller's, or the ledger is not consistent.
    NotReady,
}

impl Admissions {
    /// Decides on a job. A job whose creation is already in flight is not charged again.
    pub fn decide(
        &mut self,
        ledger: &Ledger,
        job: &str,
        team: &str,
        charge: QuotaAmount,
        now: Time,
    ) -> Decision {
        if !charge.fits_within(&self.settings().obtainable(team)) {
            return Decision::ExceedsQuota;
        }
        let Some(settings_revision) = self.settings_in_force(ledger) else {
            return Decision::NotReady;
        };
        let charge = self.settings().counted(team, charge);
        let team: Rc<str> = team.into();
        let is_charged = self.in_flight.contains(job);
        let needed = if is_charged {
            QuotaAmount::ZERO
        } else {
            charge
        };
        if !self.may_admit(ledger, &team, needed) {
            return self.on_shortage(ledger, &team, charge, now);
        }
        let attempt = Attempt {
            job: job.into(),
            allotment_revision: ledger.allotment_revision(&team, self.node()),
            node: self.node().clone(),
            team,
            settings_revision,
        };
        self.begin_attempt(&attempt, charge, now);
        Decision::Admitted(attempt)
    }

    /// Returns whether the team's record was written under the settings in force, the team is not overdrawn, and
    /// this incarnation's allotment covers the charge.
    fn may_admit(&self, ledger: &Ledger, team: &str, charge: QuotaAmount) -> bool {
        let stored = ledger.teams.get(team);
        let Some(record) = stored.and_then(|team| team.stored.record.as_ref()) else {
            return false;
        };
        ledger.generation() == Some(record.generation)
            && !self.is_overdrawn(ledger, team, record)
            && self.owned_allotment(ledger, team).is_some()
            && charge.is_covered_by(&self.available(ledger, team))
    }

    /// Records the shortage, to be announced to other controllers, and decides between a refill and a refusal.
    fn on_shortage(
        &mut self,
        ledger: &Ledger,
        team: &Rc<str>,
        charge: QuotaAmount,
        now: Time,
    ) -> Decision {
        let missing = self.missing(ledger, team, charge);
        self.shortages.record_own_shortage(team, missing, now);
        if transfer::refill(ledger, self, team, charge, now).is_some() {
            return Decision::NeedsRefill;
        }
        Decision::Refused {
            retry_after_s: ledger
                .release_wait_s(team, missing, now)
                .unwrap_or(RETRY_DEFAULT_S)
                .clamp(RETRY_MIN_S, RETRY_MAX_S),
        }
    }
}
