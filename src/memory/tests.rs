use super::{MemoryLevels, MemoryUse};

#[test]
fn memory_use_is_read_from_the_status_of_the_process() {
    let status = "Name:\tcapervale\nVmHWM:\t   70000 kB\nVmRSS:\t   50000 kB\n";
    let expected = MemoryUse {
        resident_mb: 51.2,
        peak_mb: 71.68,
    };
    assert_eq!(MemoryUse::parse(status), Some(expected));
    assert_eq!(MemoryUse::parse("VmRSS:\t many kB\nVmHWM:\t 1 kB\n"), None);
    assert_eq!(MemoryUse::parse(""), None);
}

#[test]
fn each_level_of_memory_use_is_logged_once() {
    let mut levels = MemoryLevels::default();
    let logged: Vec<bool> = [40.0, 50.0, 55.0, 62.0, 55.0, 99.0, 99.0]
        .map(|used_mb| levels.rises(used_mb, 100.0))
        .to_vec();
    assert_eq!(logged, [false, true, false, true, false, true, false]);
}
