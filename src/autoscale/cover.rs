//! Which machines serve the work: those there are, those that come, those to be rented.

use std::collections::BTreeMap;

use super::{CHEAP, Class, Demand, PoolKey, RENT_MAX, Rents, Unit, tasks_that_fit};
use crate::fleet::Role;
use crate::leader::{Leader, type_allowed};
use crate::rt::Time;
use crate::wire::Submission;

impl Leader {
    /// The machines that are there or coming, cheapest and fullest first.
    pub(super) fn units(&self, now: Time) -> Vec<Unit> {
        let t = &self.config.tunables;
        let mut units: Vec<Unit> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| !m.leaving && !m.suspect && m.notice.is_none())
            .filter(|(_, m)| !self.is_cut_off(m))
            .filter_map(|(index, m)| {
                let type_index = m.type_index?;
                let late =
                    !m.is_up() && now - m.rented > self.types[type_index].boot_s * t.late_boots;
                let capacity = self.capacity_of(type_index);
                (!late).then(|| Unit {
                    index: Some(*index),
                    type_index,
                    spot: m.spot,
                    zone: m.zone.clone(),
                    room: capacity,
                    price: self.unit_price(type_index, m.spot),
                    used: m.used.largest_share(capacity),
                    up: m.is_up(),
                    has_large: m.has_large(t.large_share),
                    has_small: !m.is_empty() && !m.has_large(t.large_share),
                    top: m
                        .slots
                        .iter()
                        .filter(|(_, slot)| !slot.over)
                        .map(|(key, _)| self.jobs[&key.job].spec.priority)
                        .max(),
                    large: false,
                    taken: false,
                })
            })
            .collect();
        units.sort_by(|a, b| {
            a.price
                .total_cmp(&b.price)
                .then(b.up.cmp(&a.up))
                .then(b.used.total_cmp(&a.used))
        });
        units
    }

    /// Finds machines for the tasks of a class: those there are, then rented ones. Returns what it found none for.
    pub(super) fn cover(
        &self,
        class: &Class,
        want: Demand,
        units: &mut Vec<Unit>,
        there: &BTreeMap<PoolKey, u32>,
        rents: &mut Rents,
        now: Time,
    ) -> Demand {
        let spec = &class.spec;
        let mut left = want;
        let kinds = self.kinds(spec);
        let large_class = self.is_large_class(class);
        let cheap = self.cheapest(spec) * CHEAP;
        let suits = |unit: &Unit| {
            kinds.contains(&(unit.type_index, unit.spot))
                && spec.zone.as_ref().is_none_or(|z| **z == *unit.zone)
                && (!unit.taken || unit.large == large_class)
        };
        let take_from = |unit: &mut Unit, left: &mut Demand| {
            let need = if unit.price <= cheap {
                left.full
            } else {
                left.lean
            };
            let fits = tasks_that_fit(class.amount, unit.room);
            if need <= 1e-6 || fits < 1.0 {
                return;
            }
            let take = fits.min(need);
            unit.room = unit.room.minus(class.amount.times(take));
            unit.taken = true;
            unit.large = large_class;
            left.full -= take;
            left.lean -= take;
            left.rent -= take;
        };
        // Machines that do such work already come first, then free ones, then, for large work,
        // those where small tasks would make way.
        let rank = |u: &Unit| match (large_class, u.has_large, u.has_small) {
            (true, true, _) | (false, false, true) => 0,
            (_, false, false) => 1,
            (true, false, true) if u.top < Some(spec.priority) => 2,
            (false, true, _) if u.used <= self.config.tunables.large_share => 1,
            _ => u8::MAX,
        };
        for pass in 0..3 {
            for unit in units.iter_mut().filter(|u| suits(u) && rank(u) == pass) {
                take_from(unit, &mut left);
            }
        }
        loop {
            let (cheap_only, need) = if left.full > 1e-6 && left.full > left.lean {
                (true, left.full)
            } else {
                (false, left.lean.min(left.rent))
            };
            if need <= 1e-6 {
                return left;
            }
            let limit = if cheap_only { cheap } else { f64::INFINITY };
            let Some((pool, per_machine, room)) =
                self.best_pool(class, need, limit, there, rents, now)
            else {
                if cheap_only {
                    left.full = left.lean;
                    continue;
                }
                if large_class {
                    // Nothing more to be had: the least busy machines of small work turn.
                    let mut order: Vec<usize> = (0..units.len()).collect();
                    order.sort_by(|a, b| units[*a].used.total_cmp(&units[*b].used));
                    for at in order {
                        if suits(&units[at]) && units[at].has_small {
                            take_from(&mut units[at], &mut left);
                        }
                    }
                }
                return left;
            };
            let machines = (need / per_machine)
                .ceil()
                .min(f64::from(room.min(RENT_MAX)));
            let role = if large_class {
                Role::Large
            } else {
                Role::Shared
            };
            *rents.entry((pool.clone(), role)).or_insert(0) += machines as u32;
            for _ in 0..machines as u32 {
                let take = per_machine.min(need);
                let capacity = self.capacity_of(pool.type_index);
                units.push(Unit {
                    index: None,
                    type_index: pool.type_index,
                    spot: pool.spot,
                    zone: pool.zone.clone(),
                    room: capacity.minus(class.amount.times(take)),
                    price: self.unit_price(pool.type_index, pool.spot),
                    used: 0.0,
                    up: false,
                    has_large: false,
                    has_small: false,
                    top: None,
                    large: large_class,
                    taken: true,
                });
                left.full -= take;
                left.lean -= take;
                left.rent -= take;
            }
        }
    }

    /// How many machines of each pool there are.
    pub(super) fn pool_counts(&self) -> BTreeMap<PoolKey, u32> {
        let mut counts = BTreeMap::new();
        for m in self.fleet.machines.values() {
            let Some(type_index) = m.type_index else {
                continue;
            };
            let key = PoolKey {
                type_index,
                spot: m.spot,
                zone: m.zone.clone(),
            };
            *counts.entry(key).or_insert(0) += 1;
        }
        counts
    }

    /// Where machines for `left` tasks of a class cost least, among pools that have room as far as
    /// known: the pool, the tasks that fit on a machine, and how many machines may be asked for.
    pub(super) fn best_pool(
        &self,
        class: &Class,
        left: f64,
        limit: f64,
        there: &BTreeMap<PoolKey, u32>,
        rents: &Rents,
        now: Time,
    ) -> Option<(PoolKey, f64, u32)> {
        let cut_off = |zone: &str| self.zones.is_zone_cut_off(zone);
        let kinds = self.kinds(&class.spec);
        let elsewhere = kinds.iter().any(|(t, _)| {
            let mut zones = self.types[*t].zones.iter();
            zones.any(|z| !cut_off(z) && class.spec.zone.as_ref().is_none_or(|only| only == z))
        });
        let mut best: Option<(f64, u32, PoolKey, f64, u32)> = None;
        for (type_index, spot) in kinds {
            let t = &self.types[type_index];
            let per_machine = tasks_that_fit(class.amount, self.capacity_of(type_index));
            if per_machine < 1.0 || self.unit_price(type_index, spot) > limit {
                continue;
            }
            let each = if spot { t.spot_price } else { t.price };
            let cost = (left / per_machine).ceil() * each;
            for zone in &t.zones {
                if class.spec.zone.as_ref().is_some_and(|z| z != zone)
                    || (elsewhere && cut_off(zone))
                {
                    continue;
                }
                let pool = PoolKey {
                    type_index,
                    spot,
                    zone: zone.as_str().into(),
                };
                let asked: u32 = [Role::Shared, Role::Large]
                    .iter()
                    .filter_map(|role| rents.get(&(pool.clone(), *role)))
                    .sum();
                let count = there.get(&pool).copied().unwrap_or(0) + asked;
                let room = match self.cloud.pools.get(&pool) {
                    Some(p) if p.refused_until > now => p.limit.saturating_sub(count),
                    // One request tells whether it has room again.
                    Some(p) if p.backoff_s > 0.0 => RENT_MAX.saturating_sub(asked),
                    _ => u32::MAX,
                };
                if room == 0 {
                    continue;
                }
                let better = best
                    .as_ref()
                    .is_none_or(|(c, n, ..)| (cost, count) < (*c, *n));
                if better {
                    best = Some((cost, count, pool, per_machine, room));
                }
            }
        }
        best.map(|(.., pool, per_machine, room)| (pool, per_machine, room))
    }

    pub(super) fn cheapest(&self, spec: &Submission) -> f64 {
        self.kinds(spec)
            .iter()
            .map(|(t, spot)| self.unit_price(*t, *spot))
            .fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn unit_price(&self, type_index: usize, spot: bool) -> f64 {
        let t = &self.types[type_index];
        let price = if spot { t.spot_price } else { t.price };
        price / t.cpus.max(1.0)
    }

    pub(super) fn kinds(&self, spec: &Submission) -> Vec<(usize, bool)> {
        let mut kinds = Vec::new();
        for (index, t) in self.types.iter().enumerate() {
            if type_allowed(spec, t) {
                kinds.push((index, false));
                if spec.spot {
                    kinds.push((index, true));
                }
            }
        }
        kinds
    }
}
