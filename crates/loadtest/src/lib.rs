//! Load tests of real controller processes on loopback, against fakes of the state service and the cloud. Users submit
//! thousands of jobs concurrently while controllers are killed and restarted. The history of the state service shows
//! afterwards whether the quotas were kept.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod controllers;
pub mod http;
pub mod report;
pub mod schemes;
pub mod state_service;
pub mod usage_history;
pub mod users;
