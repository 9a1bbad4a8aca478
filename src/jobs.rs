//! The leader's view of the jobs: the state of each task, which assignment records hold that state, dependencies
//! between jobs, and the resources that teams use.

pub mod assignment_log;
pub mod class_key;
pub mod dependency_graph;
mod job;
pub mod job_table;
pub mod objectives;
pub mod task_name;
pub mod team_usage;

pub use job::{Job, Task};

use crate::protocol::users::{Priority, Submission};
use crate::resources::Resources;

/// A job's index in the [`job_table::JobTable`].
pub type JobIndex = u32;
/// A machine's index in the fleet.
pub type MachineIndex = u32;
/// The number of an assignment record in the assignment log.
pub type RecordNumber = u64;

/// Returns the resources that each task of a job takes.
pub fn task_resources(spec: &Submission) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    }
}

/// Returns a priority as a number from 0 (low) to 3 (production).
pub fn priority_rank(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
