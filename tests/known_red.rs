//! Checks `.ci/known-red`, the script that accepts a test run only if exactly the tests listed in KNOWN-RED.txt fail.

use std::fs;
use std::process::Command;

/// Returns whether the script accepts a test run, given the list of known failures and the output of the run.
fn passes(list: &str, output: &str) -> bool {
    let dir = tempfile::tempdir().unwrap();
    let (list_path, output_path) = (dir.path().join("list"), dir.path().join("output"));
    fs::write(&list_path, list).unwrap();
    fs::write(&output_path, output).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let run = Command::new("bash")
        .arg(script)
        .args([&list_path, &output_path])
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&run.stdout);
    // The script must print the failures that it accepts.
    assert!(!run.status.success() || list.lines().all(|line| printed.contains(line)));
    run.status.success()
}

const RUN: &str = "test a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED. 1 passed\n";
const LIST: &str = "a::one; cargo test one, seed 1; it hangs; issue 17\n";

#[test]
fn only_listed_tests_may_fail_and_they_must() {
    assert!(passes(LIST, RUN));
    let two_failures = RUN.replace("two ... ok", "two ... FAILED");
    assert!(!passes(LIST, &two_failures));
    assert!(passes(
        &format!("{LIST}a::two; cargo test two, no seed; it panics; issue 2\n"),
        &two_failures
    ));
    let no_failure = RUN.replace("FAILED\ntest a", "ok\ntest a");
    assert!(!passes(LIST, &no_failure));
    assert!(!passes(
        "a::three; cargo test three; no such test; issue 17\n",
        RUN
    ));
    assert!(!passes(LIST, "error: could not compile `x`\n"));
    assert!(!passes(LIST, ""));
    // A test binary that crashes prints no result line. The script must not accept the run.
    let crashed = format!("     Running unittests x\n{RUN}     Running tests/y.rs\n");
    assert!(!passes(LIST, &crashed));
}

/// The script rejects empty lists, lists with incomplete entries, and lists of more than three entries.
#[test]
fn lists_are_short_and_their_lines_complete() {
    assert!(!passes("", RUN));
    for line in [
        "a::one",
        "a::one; cargo test one",
        "a::one; cargo test one; issue 17",
        "a::one; cargo test one; it hangs",
        "a::one; ; it hangs; issue 17",
        "a::one; cargo test one; ; issue 17",
        "a::one; cargo test one; it hangs; issue",
        "a::one; cargo test one; it hangs; and more; issue 17",
        "; cargo test one; it hangs; issue 17",
    ] {
        assert!(!passes(&format!("{line}\n"), RUN), "{line}");
    }
    let names = ["a", "b", "c", "d"];
    let run: String = names
        .map(|name| format!("test {name} ... FAILED\n"))
        .concat();
    let run = format!("{run}test result: FAILED.\n");
    let list = |count| -> String {
        let lines = names[..count]
            .iter()
            .map(|name| format!("{name}; cargo test {name}; it hangs; issue 17\n"));
        lines.collect()
    };
    assert!(!passes(&list(4), &run));
    assert!(passes(&list(3), &run.replace("test d ... FAILED\n", "")));
}
