//! Debug log of the state of the fleet.

use std::collections::BTreeMap;

use crate::fleet::machine_catalog::{MachineCatalog, MachineOption};
use crate::fleet::{Fleet, Machine};
use crate::protocol::workers::TaskState;

/// Counts of the machines of one type, on demand or spot.
#[derive(Debug, Default)]
struct MachineCounts {
    /// Machines whose workers have not made contact in this term.
    not_up: u32,
    up: u32,
    draining: u32,
    /// The sum of the used dominant shares of the machines that are up: 1.0 is one fully used machine.
    used_machines: f64,
}

/// Logs the number of attempts in each state, and the number and use of the machines of each type.
pub(crate) fn log_fleet(fleet: &Fleet, catalog: &MachineCatalog) {
    log_attempts(fleet);
    let count = |matches: fn(&Machine) -> bool| {
        let machines = fleet.machines.values();
        machines.filter(|machine| matches(machine)).count()
    };
    tracing::debug!(
        unacknowledged = count(|machine| machine.unacknowledged_heartbeats > 0),
        unresponsive = count(|machine| machine.unresponsive_since.is_some()),
        "machines that may not receive heartbeat answers"
    );
    let mut counts: BTreeMap<MachineOption, MachineCounts> = BTreeMap::new();
    for machine in fleet.machines.values() {
        let Some(type_index) = machine.type_index else {
            continue;
        };
        let spot = machine.spot;
        let counts = counts
            .entry(MachineOption { type_index, spot })
            .or_default();
        counts.draining += u32::from(machine.draining);
        if machine.is_up() {
            counts.up += 1;
            counts.used_machines += machine.used.largest_share(machine.capacity);
        } else {
            counts.not_up += 1;
        }
    }
    for (option, counts) in counts {
        tracing::debug!(
            machine_type = %catalog[option.type_index].name,
            spot = option.spot,
            // The names of log fields stay as they are for tools that search the log.
            coming = counts.not_up,
            up = counts.up,
            draining = counts.draining,
            used = counts.used_machines,
            "machines of a type"
        );
    }
}

fn log_attempts(fleet: &Fleet) {
    let attempts = || {
        let machines = fleet.machines.values();
        machines.flat_map(|machine| machine.attempts.values())
    };
    let in_state = |state| {
        attempts()
            .filter(|a| !a.completed && a.state == state)
            .count()
    };
    tracing::debug!(
        unreported = in_state(None),
        fetching = in_state(Some(TaskState::Fetching)),
        running = in_state(Some(TaskState::Running)),
        completed = attempts().filter(|a| a.completed).count(),
        "attempts by state"
    );
}
