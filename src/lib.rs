//! capervale, a cluster scheduler: controllers take users' jobs, rent machines, command workers
//! and keep all state in a state service.
//!
//! The core (the `leader` with `fleet`, `scheduler`, `autoscale` and `pricing`, and the `view` of what is stored) is
//! made of state machines without input or output; the routines of [`node`] do that around them.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub(crate) mod api;
pub(crate) mod arrivals;
pub(crate) mod assignment_log;
pub(crate) mod autoscale;
pub(crate) mod cluster;
pub mod config;
pub(crate) mod election;
pub mod features;
pub(crate) mod fleet;
pub(crate) mod graph;
pub(crate) mod http;
pub(crate) mod images;
pub(crate) mod jobs;
pub(crate) mod leader;
pub mod node;
pub(crate) mod picker;
pub(crate) mod preempt;
pub(crate) mod pricing;
pub mod quota_report;
pub(crate) mod quota_store;
pub(crate) mod rt;
pub(crate) mod scheduler;
pub(crate) mod store;
pub(crate) mod view;
pub(crate) mod wire;
pub(crate) mod zones;

#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
