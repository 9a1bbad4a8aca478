//! The catalog of machine types that the cloud offers: resources, prices, and which jobs may use them.

use std::ops::Index;
use std::rc::Rc;

use crate::jobs::task_resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::Submission;
use crate::resources::Resources;
use crate::scheduler::image_cache::CacheCapacity;

/// A machine type, rented either on demand or as a spot machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOption {
    /// The type's index in the catalog.
    pub type_index: usize,
    /// Whether the cloud may preempt the machine.
    pub spot: bool,
}

/// The machine types that the cloud offers. A type's index is its position in the cloud's list.
#[derive(Debug, Clone)]
pub struct MachineCatalog {
    types: Rc<Vec<MachineType>>,
}

impl MachineCatalog {
    /// Creates a catalog of the types in the order in which the cloud lists them.
    pub fn new(types: Rc<Vec<MachineType>>) -> Self {
        MachineCatalog { types }
    }

    /// Returns the number of types.
    pub fn len(&self) -> usize {
        self.types.len()
    }

    /// Returns the index of the type with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// Returns the resources of a machine of a type.
    pub fn capacity(&self, type_index: usize) -> Resources {
        capacity_of_type(&self.types[type_index])
    }

    /// Returns the size and the fetch rate of the image cache of a machine of a type.
    pub(crate) fn image_cache_capacity(&self, type_index: usize) -> CacheCapacity {
        let machine_type = &self.types[type_index];
        CacheCapacity {
            size_gb: machine_type.cache_gb,
            gb_per_s: machine_type.fetch_gb_per_s,
        }
    }

    /// Returns the price of one CPU on a machine of a type, on demand or spot.
    pub fn unit_price(&self, type_index: usize, spot: bool) -> f64 {
        let machine_type = &self.types[type_index];
        let price = if spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        price / machine_type.cpus.max(1.0)
    }

    /// Returns the options on which a job's tasks may run: each allowed type on demand and, if the job tolerates spot
    /// machines, right after it the same type as a spot machine.
    pub fn options(&self, spec: &Submission) -> Vec<MachineOption> {
        let mut options = Vec::new();
        for (type_index, machine_type) in self.types.iter().enumerate() {
            if is_type_allowed(spec, machine_type) {
                options.push(MachineOption {
                    type_index,
                    spot: false,
                });
                if spec.spot {
                    options.push(MachineOption {
                        type_index,
                        spot: true,
                    });
                }
            }
        }
        options
    }

    /// Returns the longest boot time of any type, in seconds.
    pub fn longest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// Returns whether a list holds types with the same names in the same order. Prices may differ.
    pub fn has_same_types(&self, types: &[MachineType]) -> bool {
        types.len() == self.types.len()
            && types
                .iter()
                .zip(&*self.types)
                .all(|(a, b)| a.name == b.name)
    }
}

impl Index<usize> for MachineCatalog {
    type Output = MachineType;

    fn index(&self, type_index: usize) -> &MachineType {
        &self.types[type_index]
    }
}

/// Returns the resources of a machine of a type.
pub fn capacity_of_type(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}

/// Returns whether a job's tasks may run on a type, on demand or as a spot machine: the job allows the type, the type
/// is offered in the job's zone, and a task fits.
pub fn is_type_allowed(spec: &Submission, machine_type: &MachineType) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&machine_type.name))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| machine_type.zones.contains(zone))
        && task_resources(spec).fits(capacity_of_type(machine_type))
}
