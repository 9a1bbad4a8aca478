//! Amounts of resources, tasks and jobs, counted in whole units.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// The units of a limit that is not set. Far larger than any sum of charges of real jobs, and small enough that sums
/// of several such limits are far from overflowing.
pub const UNBOUNDED: i64 = 1 << 50;

/// A quantity that a quota limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDimension {
    /// CPUs; one unit is a thousandth of a CPU.
    Cpus,
    /// GPUs; one unit is a thousandth of a GPU.
    Gpus,
    /// Memory; one unit is a MB.
    Memory,
    /// Number of tasks.
    Tasks,
    /// Number of jobs.
    Jobs,
}

impl QuotaDimension {
    /// All dimensions, in the order in which they are stored and displayed.
    pub const ALL: [QuotaDimension; 5] = [
        QuotaDimension::Cpus,
        QuotaDimension::Gpus,
        QuotaDimension::Memory,
        QuotaDimension::Tasks,
        QuotaDimension::Jobs,
    ];

    /// Name of the dimension in the settings and in reports.
    pub fn name(self) -> &'static str {
        match self {
            QuotaDimension::Cpus => "cpus",
            QuotaDimension::Gpus => "gpus",
            QuotaDimension::Memory => "memory_gb",
            QuotaDimension::Tasks => "tasks",
            QuotaDimension::Jobs => "jobs",
        }
    }

    /// Number of units in one CPU, GPU, GB, task or job, which are the measures in the settings.
    pub fn units_per_whole(self) -> f64 {
        match self {
            QuotaDimension::Cpus | QuotaDimension::Gpus | QuotaDimension::Memory => 1000.0,
            QuotaDimension::Tasks | QuotaDimension::Jobs => 1.0,
        }
    }
}

/// Numbers of units, one for each dimension.
///
/// This type is deliberately not the scheduler's resource vector, whose components are floating-point numbers
/// because it is compared with machines and priced. Quota accounts transfer amounts between each other for months,
/// and must add up to the total exactly at every controller; rounding errors would create or lose units. Whole units
/// also have a single stored form. Quotas limit tasks and jobs as well, which are not resources of a machine.
///
/// Of the stored amounts, only the shared pool may be negative, see [`crate::SharedRecord`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAmount {
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    milli_cpus: i64,
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    milli_gpus: i64,
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    memory_mb: i64,
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    tasks: i64,
    #[serde(rename = "j", default, skip_serializing_if = "is_zero")]
    jobs: i64,
}

fn is_zero(amount: &i64) -> bool {
    *amount == 0
}

impl QuotaAmount {
    /// Zero units of each dimension.
    pub const ZERO: QuotaAmount = QuotaAmount {
        milli_cpus: 0,
        milli_gpus: 0,
        memory_mb: 0,
        tasks: 0,
        jobs: 0,
    };

    /// Creates an amount from a function that returns the units of a dimension.
    pub fn from_fn(mut units: impl FnMut(QuotaDimension) -> i64) -> Self {
        QuotaAmount {
            milli_cpus: units(QuotaDimension::Cpus),
            milli_gpus: units(QuotaDimension::Gpus),
            memory_mb: units(QuotaDimension::Memory),
            tasks: units(QuotaDimension::Tasks),
            jobs: units(QuotaDimension::Jobs),
        }
    }

    /// The charge of a job with `tasks` tasks, each of the given size. Fractions of a unit per task are rounded up, and
    /// each dimension is capped at [`UNBOUNDED`].
    pub fn of_job(tasks: u32, cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        QuotaAmount::from_fn(|dimension| {
            let per_task = match dimension {
                QuotaDimension::Cpus => cpus,
                QuotaDimension::Gpus => gpus,
                QuotaDimension::Memory => memory_gb,
                QuotaDimension::Tasks => 1.0,
                QuotaDimension::Jobs => return 1,
            };
            let units = (per_task * dimension.units_per_whole())
                .ceil()
                .min(UNBOUNDED as f64) as i64;
            units.saturating_mul(i64::from(tasks)).min(UNBOUNDED)
        })
    }

    /// The number of units of a dimension.
    pub fn get(&self, dimension: QuotaDimension) -> i64 {
        match dimension {
            QuotaDimension::Cpus => self.milli_cpus,
            QuotaDimension::Gpus => self.milli_gpus,
            QuotaDimension::Memory => self.memory_mb,
            QuotaDimension::Tasks => self.tasks,
            QuotaDimension::Jobs => self.jobs,
        }
    }

    fn combine(self, other: Self, operation: impl Fn(i64, i64) -> i64) -> Self {
        QuotaAmount::from_fn(|dimension| operation(self.get(dimension), other.get(dimension)))
    }

    /// The minimum of both amounts in each dimension.
    pub fn min(self, other: Self) -> Self {
        self.combine(other, i64::min)
    }

    /// The maximum of both amounts in each dimension.
    pub fn max(self, other: Self) -> Self {
        self.combine(other, i64::max)
    }

    /// This amount with negative dimensions set to zero.
    pub fn non_negative(self) -> Self {
        self.max(QuotaAmount::ZERO)
    }

    /// This amount divided by a number, rounded towards zero. A divisor below 1 counts as 1.
    pub fn divided_by(self, divisor: i64) -> Self {
        QuotaAmount::from_fn(|dimension| self.get(dimension) / divisor.max(1))
    }

    /// Returns whether this amount is at most `other` in every dimension.
    pub fn fits_within(&self, other: &Self) -> bool {
        QuotaDimension::ALL
            .iter()
            .all(|dimension| self.get(*dimension) <= other.get(*dimension))
    }

    /// Returns whether `available` is at least this amount in every dimension in which this amount is positive.
    /// Unlike [`Self::fits_within`], ignores the other dimensions, in which `available` may be negative.
    pub fn is_covered_by(&self, available: &Self) -> bool {
        QuotaDimension::ALL.iter().all(|dimension| {
            self.get(*dimension) <= 0 || self.get(*dimension) <= available.get(*dimension)
        })
    }

    /// Whether every dimension is zero.
    pub fn is_zero(&self) -> bool {
        *self == QuotaAmount::ZERO
    }

    /// This amount with all dimensions set to zero in which `needed` is not positive.
    pub fn restricted_to(self, needed: Self) -> Self {
        self.combine(needed, |units, needed| if needed > 0 { units } else { 0 })
    }
}

impl Add for QuotaAmount {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        self.combine(other, i64::saturating_add)
    }
}

impl Sub for QuotaAmount {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.combine(other, i64::saturating_sub)
    }
}

impl AddAssign for QuotaAmount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for QuotaAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

/// Writes CPUs, GPUs, GB, tasks and jobs as the settings do, without dimensions that are zero or unbounded; `-` if no
/// dimension is left. Amounts in the settings are below a quarter of [`UNBOUNDED`], so one of half of it or more comes
/// from a limit that is not set.
impl fmt::Display for QuotaAmount {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for dimension in QuotaDimension::ALL {
            let units = self.get(dimension);
            if units.abs() >= UNBOUNDED / 2 || units == 0 {
                continue;
            }
            let amount = units as f64 / dimension.units_per_whole();
            write!(out, "{separator}{}={amount}", dimension.name())?;
            separator = " ";
        }
        if separator.is_empty() {
            write!(out, "-")?;
        }
        Ok(())
    }
}
