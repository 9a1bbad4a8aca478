//! Leadership of a controller: elections, the leader's rounds, its direct commands to workers, its calls to the cloud.

pub(crate) mod cloud_calls;
pub(crate) mod direct_commands;
pub(crate) mod elections;
pub(crate) mod leader_loop;
pub(crate) mod leadership_state;
pub(crate) mod machine_types;
