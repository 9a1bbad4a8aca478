//! Load tests of real controller processes on loopback, against fakes of the state service and the cloud. Users submit
//! thousands of jobs concurrently while controllers are killed and restarted. Afterwards, the history of the state
//! service is checked: the quotas must have been kept. [`schemes`] is a simulation without processes, which compares
//! ways to divide a quota among controllers.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod controllers;
pub mod http;
pub mod report;
pub mod schemes;
pub mod state_service;
pub mod usage_history;
pub mod users;
