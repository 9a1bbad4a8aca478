//! Tests of whole controllers with their routines, in memory.

mod chains;
mod dependency_parts;
mod faults;
mod quotas;
mod random_faults;
mod random_loads;
pub(super) mod requests;
mod versions;
mod world;
