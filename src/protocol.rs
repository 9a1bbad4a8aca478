//! The wire protocol: messages, with one module per communication partner, and HTTP paths.
//!
//! The names that are sent appear only here, as serde renames; the rest of the code uses the usual terms of cluster
//! schedulers.

pub mod cloud;
pub(crate) mod json;
pub mod paths;
pub mod store;
pub mod users;
pub mod workers;
