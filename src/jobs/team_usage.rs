//! The resources that the tasks of each team use, compared with the team limits in the settings.

use crate::config::Team;
use crate::resources::Resources;

/// Tolerance for the rounding errors of sums of decimal amounts, in units of each resource.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The resources of each team's tasks that are or may be on machines. Teams are identified by their index in the
/// settings.
#[derive(Debug, Clone)]
pub struct TeamUsage {
    used: Vec<Resources>,
}

impl TeamUsage {
    /// Creates the usage of teams that use no resources.
    pub fn new(teams: &[Team]) -> Self {
        TeamUsage {
            used: vec![Resources::default(); teams.len()],
        }
    }

    /// Adds to the resources that a team uses.
    pub fn add(&mut self, team: usize, resources: Resources) {
        let used = &mut self.used[team];
        *used = used.plus(resources);
    }

    /// Subtracts from the resources that a team uses.
    pub fn subtract(&mut self, team: usize, resources: Resources) {
        let used = &mut self.used[team];
        *used = used.minus(resources);
    }

    /// Returns whether a team stays within its limits on CPUs and GPUs if it uses `more` resources. A limit of 0 means
    /// that the resource is not limited.
    pub fn is_within(&self, team: usize, more: Resources, limit: &Team) -> bool {
        let used = self.used[team].plus(more);
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING_TOLERANCE;
        within(used.cpus, limit.cpus_max) && within(used.gpus, limit.gpus_max)
    }
}
