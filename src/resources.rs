//! The scheduler's resource vector, in floating point.
//!
//! Admission quotas use exact integer amounts of their own (`quota::QuotaAmount`), because their sums are stored and
//! compared by several controllers. The scheduler's sums are estimates that stay within one controller.

/// A vector of resources: the capacity or load of a machine, or the demand of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs, which may be fractional.
    pub cpus: f64,
    /// Number of GPUs, which may be fractional.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Tolerance for the rounding errors of sums of decimal amounts, in units of each resource.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// A task that demands no more than this of a resource is taken to demand none of it.
const NEGLIGIBLE_DEMAND: f64 = 1e-9;
/// Upper limit of the number of tasks that fit. It keeps the number finite for tasks that demand next to nothing.
const FITTING_TASKS_MAX: f64 = 1e6;

impl Resources {
    /// Returns the sum, component by component.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// Returns the difference, component by component.
    pub fn minus(self, other: Resources) -> Resources {
        self.plus(other.times(-1.0))
    }

    /// Returns the smaller value of each component.
    pub fn component_min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// Returns all components multiplied by a factor.
    pub fn times(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Returns whether this demand fits into `free` resources.
    pub fn fits(self, free: Resources) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
    }

    /// Returns the dominant share: the largest share that this demand takes of any resource of `capacity`. Infinite if
    /// it takes a resource that `capacity` lacks.
    pub fn largest_share(self, capacity: Resources) -> f64 {
        let share = |used: f64, total: f64| match (used > ROUNDING_TOLERANCE, total > 0.0) {
            (true, true) => used / total,
            (true, false) => f64::INFINITY,
            (false, _) => 0.0,
        };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory_gb, capacity.memory_gb))
    }
}

/// Returns how many tasks fit into free resources, at most `FITTING_TASKS_MAX`.
pub fn tasks_that_fit(task: Resources, free: Resources) -> f64 {
    let per_resource = |free: f64, task: f64| {
        if task > NEGLIGIBLE_DEMAND {
            ((free + ROUNDING_TOLERANCE) / task).floor().max(0.0)
        } else {
            f64::INFINITY
        }
    };
    per_resource(free.cpus, task.cpus)
        .min(per_resource(free.gpus, task.gpus))
        .min(per_resource(free.memory_gb, task.memory_gb))
        .min(FITTING_TASKS_MAX)
}
