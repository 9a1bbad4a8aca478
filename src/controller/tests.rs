//! Tests of whole controllers with their routines, in memory.

mod chains;
mod dependency_parts;
mod faults;
mod quotas;
mod random_faults;
pub(super) mod requests;
mod versions;
mod world;
