//! Heartbeats of workers: answered by the leader or by a delegate, or redirected to the leader; and what other
//! controllers do for workers that cannot reach the leader.

pub(crate) mod contacts;
pub(crate) mod delegation;
pub(crate) mod heartbeats;
pub(crate) mod relay;
pub(crate) mod step_down_requests;
