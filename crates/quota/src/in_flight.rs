//! Charges of job creations that the ledger does not include yet.

use std::collections::HashMap;
use std::rc::Rc;

use crate::Time;
use crate::amount::QuotaAmount;
use crate::ledger::Ledger;
use crate::records::{AccountId, RevisionCondition};

/// Time in seconds after which a creation in doubt that the ledger still does not include may not have been applied. A
/// new revision of the allotment then settles it.
const IN_DOUBT_LIMIT_S: f64 = 2.0;

/// An attempt to create a job that is charged to an allotment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Id of the job.
    pub job: Rc<str>,
    /// Name of the job's team.
    pub team: Rc<str>,
    /// Revision of the settings record on which the creation is conditional.
    pub(crate) settings_revision: u64,
    /// Revision of the allotment on which the creation is conditional.
    pub(crate) allotment_revision: u64,
    /// Name of the controller that makes the attempt.
    pub(crate) node: Rc<str>,
}

impl Attempt {
    /// The revisions on which the creation must be conditional.
    pub fn conditions(&self) -> [RevisionCondition; 2] {
        [
            RevisionCondition {
                account: AccountId::Settings,
                revision: self.settings_revision,
            },
            RevisionCondition {
                account: AccountId::allotment(&self.team, &self.node),
                revision: self.allotment_revision,
            },
        ]
    }
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The creation was not applied and never will be.
    NotApplied,
    /// The creation was applied, or its outcome is unknown: it may have been applied, or may still be.
    MayBeApplied,
}

/// The charge of a job with attempts in flight. Several attempts to create the same job are charged once.
#[derive(Debug)]
struct Charge {
    team: Rc<str>,
    amount: QuotaAmount,
    /// Number of attempts without an answer.
    unanswered: u32,
    /// Time of the first outcome [`AttemptOutcome::MayBeApplied`]; None if no attempt has had this outcome.
    in_doubt_since: Option<Time>,
    /// Highest revisions on which any attempt is conditional.
    settings_revision: u64,
    allotment_revision: u64,
}

/// All charges at one controller that the ledger may not include yet.
#[derive(Debug, Default)]
pub(crate) struct InFlightCharges {
    by_job: HashMap<Rc<str>, Charge>,
    /// Sum of the charges, by team.
    by_team: HashMap<Rc<str>, QuotaAmount>,
}

impl InFlightCharges {
    /// Whether a job has a charge in flight.
    pub fn contains(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// Whether no charge is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Sum of a team's charges in flight.
    pub fn of_team(&self, team: &str) -> QuotaAmount {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// Adds an attempt, and the job's charge if this is its first attempt in flight.
    pub fn add_attempt(&mut self, attempt: &Attempt, amount: QuotaAmount) {
        let by_team = &mut self.by_team;
        let charge = self.by_job.entry(attempt.job.clone()).or_insert_with(|| {
            *by_team.entry(attempt.team.clone()).or_default() += amount;
            Charge {
                team: attempt.team.clone(),
                amount,
                unanswered: 0,
                in_doubt_since: None,
                settings_revision: 0,
                allotment_revision: 0,
            }
        });
        charge.unanswered += 1;
        charge.settings_revision = charge.settings_revision.max(attempt.settings_revision);
        charge.allotment_revision = charge.allotment_revision.max(attempt.allotment_revision);
    }

    /// Records the outcome of an attempt. An attempt that may be applied remains charged until [`Self::prune`]
    /// removes it.
    pub fn finish(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        let Some(charge) = self.by_job.get_mut(&attempt.job) else {
            return;
        };
        charge.unanswered = charge.unanswered.saturating_sub(1);
        if outcome == AttemptOutcome::MayBeApplied {
            charge.in_doubt_since.get_or_insert(now);
        }
        if charge.unanswered == 0 && charge.in_doubt_since.is_none() {
            self.remove(&attempt.job);
        }
    }

    /// Removes the charges of jobs that the ledger includes, and of attempts that can no longer be applied because a
    /// record on which they are conditional has a newer revision. The charge of a job with unanswered attempts remains.
    /// `is_known` returns whether a job or its end is stored.
    pub fn prune(&mut self, ledger: &Ledger, node: &str, is_known: impl Fn(&str) -> bool) {
        let settings_revision = ledger.settings.revision;
        let settled = |(job, charge): (&Rc<str>, &Charge)| {
            let allotment_revision = ledger.allotment_revision(&charge.team, node);
            let is_refused = allotment_revision > charge.allotment_revision
                || settings_revision > charge.settings_revision;
            (charge.unanswered == 0 && (is_refused || is_known(job))).then(|| job.clone())
        };
        let settled: Vec<Rc<str>> = self.by_job.iter().filter_map(settled).collect();
        for job in settled {
            self.remove(&job);
        }
    }

    fn remove(&mut self, job: &str) {
        if let Some(charge) = self.by_job.remove(job)
            && let Some(sum) = self.by_team.get_mut(&charge.team)
        {
            *sum -= charge.amount;
        }
    }

    /// Returns whether a creation of a team's jobs has been in doubt for longer than [`IN_DOUBT_LIMIT_S`]. A new
    /// revision of the allotment settles such creations.
    pub fn has_creations_in_doubt(&self, team: &str, now: Time) -> bool {
        self.by_job.values().any(|charge| {
            &*charge.team == team
                && charge.unanswered == 0
                && charge
                    .in_doubt_since
                    .is_some_and(|since| now - since > IN_DOUBT_LIMIT_S)
        })
    }
}
