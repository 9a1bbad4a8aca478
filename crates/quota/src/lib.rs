//! Admission quotas of teams, enforced by all controllers together.
//!
//! A team's quota consists of a *guarantee*, which other teams cannot use, and a *limit*. Units that are guaranteed
//! to no team form the *shared pool*, from which a team borrows up to its limit. A job is *charged* to its team from
//! its admission until it has finished, which means that it has ended and runs on no machine.
//!
//! The units of each team are divided into *allotments*, one per controller. Allotments are small records in a
//! key-value store with atomic conditional transactions (an escrow scheme). A controller admits jobs from its own
//! allotment without contacting other controllers: the creation of a job is conditional on the revision of the
//! allotment to which it is charged. A change of an allotment therefore invalidates all creations in flight that are
//! conditional on its previous revision.
//!
//! An *incarnation* is one run of a controller's process, identified by a number other than 0. An allotment belongs to
//! one incarnation of its controller; after a restart, the new incarnation takes the allotment over before it admits
//! jobs from it.
//!
//! This package does no input or output, and does not depend on the store's protocol or key names:
//!
//! - [`Ledger`] is the replicated content of the store: accounts, and the charges of unfinished jobs;
//! - [`Admissions`] decides on submissions at one controller, and tracks the charges of creations that may still be
//!   applied;
//! - [`Plan`] is a transaction that moves units between accounts. [`transfer`] and [`supervise`] create plans.
//!
//! Each module uses only those listed before it: `amount`, [`settings`](QuotaSettings), `records`, `release_rate`,
//! `ledger`, `in_flight` and `shortages`, `admission` (the state of a controller), `team_account`, [`transfer`],
//! `decision`, [`supervise`].

#![warn(missing_docs, clippy::too_many_lines)]

mod admission;
mod amount;
mod decision;
mod in_flight;
mod ledger;
mod records;
mod release_rate;
mod settings;
mod shortages;
pub mod supervise;
mod team_account;
pub mod transfer;

pub use admission::Admissions;
pub use amount::{QuotaAmount, QuotaDimension, UNBOUNDED};
pub use decision::Decision;
pub use in_flight::{Attempt, AttemptOutcome};
pub use ledger::{AllotmentUsage, Ledger, TeamUsage};
pub use records::{
    AccountChange, AccountId, AllotmentRecord, OwnerRecord, Plan, RevisionCondition,
    SettingsRecord, SharedRecord, TeamRecord,
};
pub use settings::{
    DimensionFigures, QuotaSection, QuotaSettings, SettingsError, TeamQuota, TeamSection,
};

/// Time in seconds on a monotonic clock.
pub type Time = f64;
