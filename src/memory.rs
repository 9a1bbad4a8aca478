//! The resident memory of this process, as the operating system counts it, against the limit in the settings.

/// Bytes in a megabyte, as the limit in the settings counts.
pub(crate) const BYTES_PER_MB: f64 = 1e6;
/// Bytes in a kibibyte, the unit of `/proc/self/status` and of the limit on stored values.
pub(crate) const BYTES_PER_KIB: f64 = 1024.0;
/// The lowest share of the limit at which memory use is logged.
const LOGGED_SHARE_MIN: f64 = 0.5;
/// Shares of the limit between two logged levels of memory use.
const LOGGED_SHARE_STEP: f64 = 0.1;

/// The memory that this process holds, in megabytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct MemoryUse {
    /// Resident memory now.
    pub(crate) resident_mb: f64,
    /// The highest resident memory since the start of the process.
    pub(crate) peak_mb: f64,
}

impl MemoryUse {
    /// Reads the memory use of this process. None if the operating system doesn't tell.
    pub(crate) fn read() -> Option<Self> {
        Self::parse(&std::fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        Some(MemoryUse {
            resident_mb: field_mb(status, "VmRSS:")?,
            peak_mb: field_mb(status, "VmHWM:")?,
        })
    }
}

fn field_mb(status: &str, name: &str) -> Option<f64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: f64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * BYTES_PER_KIB / BYTES_PER_MB)
}

/// Decides when memory use is logged: each time that it reaches a higher level than any before.
#[derive(Debug, Default)]
pub(crate) struct MemoryLevels {
    highest_logged: u32,
}

impl MemoryLevels {
    /// Returns whether `used_mb` reaches a level that was not logged before.
    pub(crate) fn rises(&mut self, used_mb: f64, limit_mb: f64) -> bool {
        let share = used_mb / limit_mb;
        if share < LOGGED_SHARE_MIN {
            return false;
        }
        let level = ((share - LOGGED_SHARE_MIN) / LOGGED_SHARE_STEP) as u32 + 1;
        let rises = level > self.highest_logged;
        self.highest_logged = self.highest_logged.max(level);
        rises
    }
}

#[cfg(test)]
mod tests;
