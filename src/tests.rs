//! Tests of the sans-I/O state machines: no network, no disk, and a simulated clock.

mod allocation_meter;
mod dependency_graph_examples;
mod dependency_graphs;
mod extreme_submissions;
mod gang_machines;
mod large_fleet;
mod memory;
pub(crate) mod production;
mod random_faults;
mod scenarios;
mod simulated_fleet;
mod state_limits;
mod stored_formats;
