//! capervale, a cluster scheduler: controllers accept users' jobs, rent machines from a cloud, send commands to the
//! workers on them, and keep all state in a state service, a consensus-backed key-value store. One controller at a time
//! is the leader.
//!
//! The core consists of state machines without input or output, so that tests can run it with any order of events:
//!
//! - `leader` composes `jobs`, `scheduler`, `autoscaler` and `fleet`, and turns events into actions;
//! - `store` defines the keys and records of the state service, and the replica of it that every controller keeps;
//! - `admission_quota` maps the accounts of the `quota` package to the store.
//!
//! The routines of [`controller`] do the input and output around the core: they call the state service, the cloud and
//! the workers, and answer requests. They use `leadership` (election and lease), `peers` (heartbeats between
//! controllers), `protocol` (messages), `http` and `runtime` (event loop, timers, sockets). [`config`] reads the
//! configuration files. `resources` defines amounts of CPUs, GPUs and memory of tasks; `memory` reads what this process holds.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub mod admission_quota;
pub(crate) mod autoscaler;
pub mod config;
pub mod controller;
pub(crate) mod fleet;
pub(crate) mod http;
pub(crate) mod jobs;
pub(crate) mod leader;
pub(crate) mod leadership;
pub(crate) mod memory;
pub(crate) mod peers;
pub(crate) mod protocol;
pub(crate) mod resources;
pub(crate) mod runtime;
pub(crate) mod scheduler;
pub(crate) mod store;

#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
