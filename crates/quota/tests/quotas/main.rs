//! Quotas on a store in memory: generated schedules, and single late messages.

mod late_creations;
mod schedules;
mod support;
