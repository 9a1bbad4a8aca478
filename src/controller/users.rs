//! Requests of users: submissions, queries and cancellations, with the checks and store writes that they need.

pub(crate) mod cancellations;
pub(crate) mod job_creation;
pub(crate) mod memory_admission;
pub(crate) mod requests;
pub(crate) mod submission_checks;
pub(crate) mod submissions;
pub(crate) mod writes;
