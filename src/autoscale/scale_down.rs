//! Machines that are lost or not needed any more.

use super::{CHARGED_S, DISTRUST, HEARING_REPORTS, MOVE_ROOM, Unit};
use crate::jobs::MachineIndex;
use crate::leader::Leader;
use crate::rt::Time;

impl Leader {
    /// Machines that died, never came up, fail their tasks or are no longer heard of.
    pub(super) fn find_lost(&mut self, now: Time) {
        let w = &self.config.deployment.workers;
        let tunables = &self.config.tunables;
        let silent_s = w.report_s * tunables.silent_reports;
        let up = || {
            let machines = self.fleet.machines.values();
            machines.filter(|machine| machine.is_up() && !self.is_cut_off(machine))
        };
        let heard = up()
            .filter(|machine| {
                machine
                    .last_word()
                    .is_some_and(|h| self.silent_s(h, now) < silent_s)
            })
            .count();
        // When hardly anybody is heard any more, it is rather this node that is cut off: then
        // only the workers' leases tell.
        let trusted = heard * 2 >= up().count()
            && (heard < 2 || now - self.last_report() < w.report_s * HEARING_REPORTS);
        let mute = self.is_mute();
        let doubt_s = self.doubt_s();
        let mut lost = Vec::new();
        for (index, machine) in &self.fleet.machines {
            if machine.leaving {
                continue;
            }
            let boot_s = machine
                .type_index
                .map_or(w.lease_s, |tunables| self.types[tunables].boot_s);
            let gone = if machine.suspect {
                machine
                    .slots
                    .values()
                    .all(|s| s.over || s.running_since.is_none())
                    || now - machine.cool_until > w.lease_s
            } else if machine.has_launch_in_doubt(now, doubt_s) {
                true
            } else if let Some(since) = machine.deaf_since {
                // What is on it ends with its worker's lease: nothing renews that.
                trusted && !mute && self.silent_s(since, now) > silent_s
            } else if self.is_cut_off(machine) && machine.only_stopped() {
                // What is left there of gangs that have broken holds all of them up.
                trusted
            } else if machine.is_up() {
                // For ever it can't be this node: once most of a fleet had died at once, and what was
                // left was never trusted again, nor the others replaced.
                let last = machine.last_word().unwrap_or(self.began);
                let long = heard > 0 && self.silent_s(last, now) > self.off_after_s * DISTRUST;
                (trusted || long) && self.is_silent(machine, now)
            } else if let Some(up_at) = machine.listed_running {
                trusted && self.silent_s(up_at.max(self.began), now) > silent_s
            } else if machine.listed_at.is_some() || machine.type_index.is_some() {
                now - machine.rented > boot_s * tunables.lost_boots
            } else {
                // Known only from a former leader's notes.
                trusted && self.silent_s(self.began, now) > silent_s
            };
            if gone {
                lost.push(*index);
            }
        }
        for index in lost {
            self.give_back(index, "lost");
        }
        if trusted {
            self.watch_zones(now);
        }
    }

    pub(super) fn give_back(&mut self, index: MachineIndex, reason: &str) {
        if let Some(machine) = self.fleet.machines.get_mut(&index)
            && !machine.leaving
        {
            tracing::info!("returning {}: {reason}", machine.name);
            machine.leaving = true;
            self.cloud.deletes.push(index);
        }
    }

    /// Drains and returns machines that have not been needed for a while.
    pub(super) fn scale_down(&mut self, units: &[Unit], now: Time) {
        let idle_ratio = self.config.tunables.idle_ratio;
        let mut back = Vec::new();
        let mut moves = Vec::new();
        // What is free on machines that stay.
        let stay = units.iter().filter(|u| u.taken && u.up && !u.large);
        let mut free = stay
            .filter_map(|u| self.fleet.machines.get(&u.index?))
            .map(|machine| (machine.capacity.cpus - machine.used.cpus).max(0.0))
            .sum::<f64>()
            * MOVE_ROOM;
        for unit in units {
            let Some(index) = unit.index else { continue };
            let Some(machine) = self.fleet.machines.get_mut(&index) else {
                continue;
            };
            if unit.taken {
                machine.surplus_since = None;
                continue;
            }
            let since = *machine.surplus_since.get_or_insert(now);
            if !machine.is_up() || now - since < self.types[unit.type_index].boot_s * idle_ratio {
                continue;
            }
            let paid = now - machine.rented > CHARGED_S * 0.95;
            if machine.is_empty() {
                if paid && machine.slots.is_empty() {
                    back.push(index);
                }
            } else {
                // Nothing new goes there, so that it can be returned.
                machine.draining = true;
                if paid && machine.used.cpus <= free && machine.all_saves(&self.jobs) {
                    free -= machine.used.cpus;
                    moves.push(index);
                }
            }
        }
        for index in moves {
            self.move_off(index);
        }
        for index in back {
            self.give_back(index, "not needed");
        }
    }

    /// Lets what runs on a machine save, to go on elsewhere. At the end of a day a single long task
    /// on each of a hundred machines once held them all for minutes.
    pub(super) fn move_off(&mut self, index: MachineIndex) {
        let Some(machine) = self.fleet.machines.get_mut(&index) else {
            return;
        };
        for (key, slot) in machine.slots.iter_mut().filter(|(_, s)| !s.over) {
            slot.stop.get_or_insert(self.jobs[&key.job].spec.save_s);
        }
        machine.direct_wanted = true;
        self.fleet.calls.insert(index);
    }
}
