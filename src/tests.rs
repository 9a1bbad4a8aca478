//! Tests of the state machines, which need no routines around them.

mod dependency_graphs;
mod graph;
mod large_fleet;
pub(crate) mod production;
mod random_faults;
mod scenarios;
mod state_limits;
mod stored_formats;
