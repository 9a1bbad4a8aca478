//! The list of tests that are known to fail lets just these fail.

use std::fs;
use std::process::Command;

/// Whether the script passes, for a list and the lines of a test run.
fn passes(list: &str, output: &str) -> bool {
    let dir = tempfile::tempdir().unwrap();
    let (list_at, output_at) = (dir.path().join("list"), dir.path().join("output"));
    fs::write(&list_at, list).unwrap();
    fs::write(&output_at, output).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let run = Command::new("bash")
        .arg(script)
        .args([&list_at, &output_at])
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&run.stdout);
    // What is let through is printed.
    assert!(!run.status.success() || list.lines().all(|line| printed.contains(line)));
    run.status.success()
}

const RUN: &str = "test a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED. 1 passed\n";
const LIST: &str = "a::one; the cause; issue 17\n";

#[test]
fn only_listed_tests_may_fail_and_they_must() {
    assert!(passes(LIST, RUN));
    let both = RUN.replace("two ... ok", "two ... FAILED");
    assert!(!passes(LIST, &both));
    assert!(passes(&format!("{LIST}a::two; another; issue 2\n"), &both));
    let none = RUN.replace("FAILED\ntest a", "ok\ntest a");
    assert!(!passes(LIST, &none));
    assert!(!passes("a::three; no such test; issue 17\n", RUN));
    assert!(!passes(LIST, "error: could not compile `x`\n"));
    assert!(!passes(LIST, ""));
    // One binary crashed.
    let crashed = format!("     Running unittests x\n{RUN}     Running tests/y.rs\n");
    assert!(!passes(LIST, &crashed));
}

#[test]
fn lists_are_short_and_their_lines_complete() {
    assert!(!passes("", RUN));
    for line in [
        "a::one",
        "a::one; the cause",
        "a::one; ; issue 17",
        "a::one; the cause; issue",
        "; the cause; issue 17",
    ] {
        assert!(!passes(&format!("{line}\n"), RUN), "{line}");
    }
    let names = ["a", "b", "c", "d"];
    let run: String = names.map(|n| format!("test {n} ... FAILED\n")).concat();
    let run = format!("{run}test result: FAILED.\n");
    let list = |n| -> String {
        let lines = names[..n]
            .iter()
            .map(|n| format!("{n}; the cause; issue 17\n"));
        lines.collect()
    };
    assert!(!passes(&list(4), &run));
    assert!(passes(&list(3), &run.replace("test d ... FAILED\n", "")));
}
