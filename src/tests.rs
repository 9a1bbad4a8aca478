//! Tests of the state machines that need no routines around them.

mod dependency_graphs;
mod graph;
