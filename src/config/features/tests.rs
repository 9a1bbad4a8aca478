//! Tests of `features`.

use super::*;

fn error_lines(text: &str) -> Vec<String> {
    let config = crate::config::tests::sample();
    match Features::parse(text, "f", &config) {
        Ok(_) => Vec::new(),
        Err(FeaturesError(problems)) => problems.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_feature_without_a_section_is_disabled() {
    let config = crate::config::tests::sample();
    assert!(Features::parse("", "f", &config).unwrap().quota.is_none());
}

#[test]
fn each_problem_is_reported_in_one_line() {
    let cases = [
        ("[quotas]", "unknown field"),
        ("[quota]", "missing field `total`"),
        ("[quota]\ntotal = {}", "names no amount"),
        (
            "[quota]\ntotal = { cpus = 0 }",
            "quota.total.cpus: 0 is not",
        ),
        (
            "[quota]\ntotal = { cpus = nan }",
            "quota.total.cpus: NaN is not",
        ),
        (
            "[quota]\ntotal = { cpus = -1 }",
            "quota.total.cpus: -1 is not",
        ),
        (
            "[quota]\ntotal = { cpus = inf }",
            "quota.total.cpus: inf is not",
        ),
        (
            "[quota]\ntotal = { jobs = 1.5 }",
            "quota.total.jobs: 1.5 is not",
        ),
        ("[quota]\ntotal = { cpu = 5 }", "unknown field `cpu`"),
        (
            "[quota]\ntotal = { cpus = 9 }\n[[quota.teams]]\nname = \"pink\"",
            "unknown team pink",
        ),
        (
            "[quota]\ntotal = { cpus = 9 }\n[[quota.teams]]\nname = \"red\"\nguaranteed = { cpus = 3 }\nlimit = { cpus = 2 }",
            "red: guaranteed cpus above its limit",
        ),
        (
            "[quota]\ntotal = { cpus = 9 }\n[[quota.teams]]\nname = \"red\"\nlimit = { cpus = 10 }",
            "red: limit of cpus above the total",
        ),
        (
            "[quota]\ntotal = { cpus = 9 }\n[[quota.teams]]\nname = \"red\"\nguaranteed = { cpus = 5 }\n[[quota.teams]]\nname = \"blue\"\nguaranteed = { cpus = 5 }",
            "guarantees of cpus sum to more than the total",
        ),
        (
            "[quota]\ntotal = { cpus = 9 }\n[[quota.teams]]\nname = \"red\"\n[[quota.teams]]\nname = \"red\"",
            "red twice",
        ),
    ];
    for (text, expected) in cases {
        let lines = error_lines(text);
        assert_eq!(lines.len(), 1, "{text}: {lines:?}");
        assert!(lines[0].contains(expected), "{text}: {lines:?}");
        assert!(!lines[0].contains('\n'));
    }
    let lines = error_lines("[quota]\ntotal = { cpus = 0, jobs = 0 }");
    assert_eq!(lines.len(), 2, "{lines:?}");
}

#[test]
fn quotas_are_rejected_if_their_transactions_exceed_the_limit_of_changes() {
    let mut config = crate::config::tests::sample();
    config.deployment.state.txn_ops = 2;
    let parsed = Features::parse("[quota]\ntotal = { cpus = 9 }", "f", &config);
    assert!(parsed.unwrap_err().to_string().contains("needs 3 changes"));
}

/// Operators copy the example as their first features file.
#[test]
fn the_example_features_file_is_valid() {
    let config = crate::config::tests::sample();
    let example = include_str!("../../../deploy/features.example.toml");
    let features = Features::parse(example, "features.example.toml", &config).unwrap();
    assert!(features.quota.is_some());
}
