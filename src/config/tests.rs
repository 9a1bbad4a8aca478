//! Tests of `config`.

use super::*;

pub(crate) const SAMPLE: &str = r#"
host_name = "n0"
domain = "north"
front = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
later = "unknown fields are ignored"
[[known]]
host_name = "n1"
domain = "south"
endpoint = "127.0.0.2:8081"
[services]
cloud = "127.0.0.9:1"
state = "127.0.0.9:2"
[deployment]
count = 2
zones = ["north", "south"]
skew_ms = 250.0
[[deployment.teams]]
name = "red"
cpus = 0.0
cpus_max = 40.0
gpus = 0.0
gpus_max = 0.0
[[deployment.teams]]
name = "blue"
cpus = 20.0
[[deployment.objectives]]
kind = "finished"
class = "sums"
within_s = 80.0
share = 0.9
[deployment.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 50.0
[deployment.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.limits]
cores = 0.1
ram_mb = 64.0
max_sockets = 1000
"#;

pub(crate) fn sample() -> Config {
    Config::parse(SAMPLE, "sample").unwrap()
}

#[test]
fn invalid_settings_are_reported_in_one_line_that_names_the_field() {
    assert_eq!(sample().team("red").unwrap().cpus, 0.0);
    for (from, to, expected) in [
        ("write_rps = 20.0", "write_rps = 0.0", "write_rps"),
        ("lease_s = 20.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 20.0", "lease_s = nan", "lease_s"),
        // Workers' leases so short that the leader could not renew its own lease in time.
        ("lease_s = 20.0", "lease_s = 0.2", "leader's lease"),
        ("share = 0.9", "times = -1.0", "objectives.times"),
        ("report_s = 3.0", "report_s = inf", "report_s"),
        ("127.0.0.9:1", "nowhere", "line 12"),
        ("cpus = 20.0", "cpus = -20.0", "teams.blue.cpus"),
        ("cancel_s = 50.0", "cancel_s = 21.0", "cancel_s"),
        ("rps = 2.0", "rps = = 2.0", "line"),
        ("txn_ops = 16", "", "txn_ops"),
        (
            "[deployment.cloud]",
            "[deployment.state.next]\nvalue_kb = 0.0\n[deployment.cloud]",
            "state.next.value_kb",
        ),
        (
            "[deployment.cloud]",
            "[deployment.state.next]\ntxn_ops = 0\n[deployment.cloud]",
            "state.next.txn_ops",
        ),
    ] {
        let text = SAMPLE.replacen(from, to, 1);
        let error = Config::parse(&text, "file").unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
        assert!(!error.contains('\n'), "{error}");
    }
}

#[test]
fn settings_without_optional_sections_or_with_extreme_values_are_accepted() {
    let start_of = |section: &str| SAMPLE.find(section).unwrap();
    let teams = start_of("[[deployment.teams]]")..start_of("[[deployment.objectives]]");
    let objectives = start_of("[[deployment.objectives]]")..start_of("[deployment.workers]");
    let peers = start_of("[[known]]")..start_of("[services]");
    for omitted in [teams, objectives, peers] {
        let mut text = SAMPLE.to_owned();
        text.replace_range(omitted, "");
        Config::parse(&text, "file").unwrap();
    }
    for (from, to) in [
        ("count = 2", "count = 9"),
        ("zones = [\"north\", \"south\"]", "zones = []"),
        ("cpus = 20.0", "gpus_max = 1.5"),
        ("write_rps = 20.0", "write_rps = 0.5"),
        ("txn_ops = 16", "txn_ops = 1"),
        ("max_sockets = 1000", "max_sockets = 16"),
        ("max_sockets = 1000", "max_sockets = 100000"),
        ("cores = 0.1", "cores = 4.0"),
    ] {
        assert!(SAMPLE.contains(from), "{from}");
        Config::parse(&SAMPLE.replacen(from, to, 1), "file").unwrap();
    }
}

#[test]
fn scripts_can_only_set_valid_tunables_within_limits_on_memory_and_run_time() {
    let tunables =
        Tunables::from_script("return { rho = 0.1 * 3, weights = { high = 5 } }").unwrap();
    assert!((tunables.rho - 0.3).abs() < 1e-9);
    assert_eq!(tunables.weights, [1.0, 2.0, 5.0, 8.0]);
    for invalid_script in [
        "return { rho = 0.6 }",
        "return { rho = 0/0 }",
        "return { weights = { low = 2 } }",
        "return { colour = 1 }",
        "return 3",
        "while true do end",
        "local t = {} for i = 1, 1e9 do t[i] = i end return t",
        "return io.open('/etc/hostname')",
        "return load('return {}')()",
        "error('no')",
    ] {
        let error = Tunables::from_script(invalid_script)
            .unwrap_err()
            .to_string();
        assert!(!error.contains('\n'), "{error}");
    }
}

#[test]
fn objectives_of_unknown_kinds_are_accepted() {
    for (text, kind) in [
        ("finished", ObjectiveKind::Finished),
        ("deadline", ObjectiveKind::Deadline),
        ("wait", ObjectiveKind::Wait),
        ("guarantee", ObjectiveKind::Guarantee),
        ("makespan", ObjectiveKind::Other("makespan".into())),
    ] {
        let text = SAMPLE.replacen("kind = \"finished\"", &format!("kind = \"{text}\""), 1);
        let config = Config::parse(&text, "file").unwrap();
        assert_eq!(config.deployment.objectives[0].kind, kind);
    }
}
