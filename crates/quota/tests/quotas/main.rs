//! Quotas on an in-memory store: random schedules with faults, and scenarios with a single late transaction.

mod late_creations;
mod schedules;
mod support;
