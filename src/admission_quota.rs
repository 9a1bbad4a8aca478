//! Admission quotas: keys and values of the accounts of the `quota` package in the state service, and a report on
//! these accounts for operators.

pub mod report;
pub(crate) mod store_mapping;
