//! Stopping work of lower priority so that other work finds room.
//!
//! Only large work needs it: small work takes what comes free as other small tasks end, in order.

use crate::autoscale::{Class, Unit};
use crate::jobs::{JobIndex, MachineIndex};
use crate::leader::Leader;
use crate::rt::Time;

impl Leader {
    /// Stops small tasks of lower priority where large work waits and no machine can be had.
    pub(crate) fn make_room(&mut self, class: &Class, units: &[Unit], now: Time) {
        let ready = units
            .iter()
            .filter(|u| u.large && u.up && !u.has_small && !u.has_large)
            .count();
        let wanted = class.pending as usize;
        let clearing: Vec<MachineIndex> = units
            .iter()
            .filter(|u| u.large && u.has_small)
            .filter_map(|u| u.index)
            .take(wanted.saturating_sub(ready))
            .collect();
        let mut off = Vec::new();
        for index in clearing {
            let jobs = &self.jobs;
            let Some(machine) = self.fleet.machines.get_mut(&index) else {
                continue;
            };
            let lower = |job: JobIndex| jobs[&job].spec.priority < class.spec.priority;
            if !machine.slots.iter().all(|(k, s)| s.over || lower(k.job)) {
                continue;
            }
            for (key, slot) in machine.slots.iter_mut().filter(|(_, s)| !s.over) {
                if slot.stop.is_some() {
                    continue;
                }
                if slot.is_unsent() {
                    off.push((index, *key));
                } else {
                    slot.stop = Some(jobs[&key.job].spec.save_s);
                    machine.direct_wanted = true;
                    self.fleet.calls.insert(index);
                }
            }
        }
        for (index, key) in off {
            self.off(index, key, now);
        }
    }
}
