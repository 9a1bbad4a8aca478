//! Small examples of dependency graphs.

use std::rc::Rc;

use crate::jobs::dependency_graph::*;

const CHAIN_JOBS: usize = 5000;

fn sorted(ids: &[Rc<str>]) -> Vec<&str> {
    let mut sorted: Vec<&str> = ids.iter().map(|id| &**id).collect();
    sorted.sort_unstable();
    sorted
}

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|id| (*id).to_owned()).collect()
}

fn always_open(_: &str) -> JobOutcome {
    JobOutcome::Open
}

/// A job must not start before all of its dependencies are done, and must not stay blocked afterwards.
#[test]
fn a_job_is_ready_once_all_dependencies_are_done() {
    let mut graph = DependencyGraph::default();
    graph.add(&"c".into(), &ids(&["a", "b"]), always_open);
    graph.add(&"d".into(), &ids(&["c"]), always_open);
    graph.record_end(&"a".into(), true);
    // The repeated end of "a" must not count as the end of "b".
    graph.record_end(&"a".into(), true);
    assert_eq!(graph.take_changes(), ReadinessChanges::default());
    graph.record_end(&"b".into(), true);
    assert_eq!(sorted(&graph.take_changes().ready), ["c"]);
    assert!(!graph.is_blocked("c") && graph.is_blocked("d"));
    // A job that is submitted after all its dependencies are done is ready at once.
    graph.add(&"e".into(), &ids(&["a", "b"]), |_| JobOutcome::Done);
    assert_eq!(sorted(&graph.take_changes().ready), ["e"]);
}

/// Each dependent must be reported as cancelled exactly once, also if it is reached on several paths or submitted
/// later.
#[test]
fn a_cancellation_propagates_to_all_dependents_and_no_others() {
    let mut graph = DependencyGraph::default();
    graph.add(&"b".into(), &ids(&["a"]), always_open);
    graph.add(&"c".into(), &ids(&["a", "x"]), always_open);
    graph.add(&"d".into(), &ids(&["b", "c"]), always_open);
    graph.add(&"y".into(), &ids(&["x"]), always_open);
    graph.record_end(&"a".into(), false);
    assert_eq!(sorted(&graph.take_changes().cancelled), ["b", "c", "d"]);
    // A job is cancelled at once if one of its dependencies was cancelled through a dependency of its own.
    graph.add(&"e".into(), &ids(&["x", "d"]), always_open);
    assert_eq!(sorted(&graph.take_changes().cancelled), ["e"]);
    graph.record_end(&"x".into(), true);
    assert_eq!(sorted(&graph.take_changes().ready), ["y"]);
    // The derived end of "b" is stored: nothing new follows from it.
    graph.record_end(&"b".into(), false);
    assert_eq!(graph.take_changes(), ReadinessChanges::default());
    graph.add(&"f".into(), &ids(&["b"]), |_| JobOutcome::Cancelled);
    assert_eq!(sorted(&graph.take_changes().cancelled), ["f"]);
}

/// A recursive walk would overflow the stack on a chain of thousands of jobs.
#[test]
fn long_chains_and_many_dependents_are_walked_without_recursion() {
    let mut graph = DependencyGraph::default();
    let name = |n: usize| format!("j-{n}");
    for n in 1..CHAIN_JOBS {
        graph.add(&name(n).into(), &[name(n - 1)], always_open);
        graph.add(&name(CHAIN_JOBS + n).into(), &[name(0)], always_open);
    }
    graph.record_end(&name(0).into(), false);
    assert_eq!(graph.take_changes().cancelled.len(), 2 * (CHAIN_JOBS - 1));
    let mut priority = vec![0; CHAIN_JOBS];
    priority[CHAIN_JOBS - 1] = 3;
    propagate_requirements(
        [CHAIN_JOBS - 1],
        |job| job as u64,
        |job| job.checked_sub(1).into_iter().collect(),
        |dependency, job| {
            let is_raised = priority[dependency] < priority[job];
            priority[dependency] = priority[dependency].max(priority[job]);
            is_raised
        },
    );
    assert!(priority.iter().all(|p| *p == 3));
}
