//! capervale, a cluster scheduler: controllers take users' jobs, rent machines, command workers
//! and keep all state in a state service.
//!
//! The core ([`leader::Leader`] with [`fleet`], [`scheduler`], [`autoscale`] and [`pricing`], and
//! [`view::View`]) is made of state machines without input or output; the routines of [`node`]
//! do that around them.

pub mod api;
pub mod arrivals;
pub mod assignment_log;
pub mod autoscale;
pub mod cluster;
pub mod config;
pub mod election;
pub mod fleet;
pub mod graph;
pub mod http;
pub mod images;
pub mod jobs;
pub mod leader;
pub mod node;
pub mod picker;
pub(crate) mod preempt;
pub mod pricing;
pub mod rt;
pub mod scheduler;
pub mod store;
pub mod view;
pub mod wire;
pub(crate) mod zones;

#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
