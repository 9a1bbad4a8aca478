//! The state service, a consensus-backed key-value store: its client, the keys and records that the controllers store
//! in it, and the replica of these records that every controller keeps current by a watch.

pub mod client;
pub mod keys;
pub mod records;
pub mod replica;
pub mod transaction;
