//! Dependencies between jobs: which jobs are blocked, which become ready or are cancelled when a dependency ends, and
//! how requirements are propagated along a chain.
//!
//! The graph isn't stored: every controller derives the same graph from its replica. All traversals are iterative,
//! because chains may be too long for recursion.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// The state of a dependency according to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// No end of the dependency is stored.
    Open,
    /// The dependency is stored as done.
    Done,
    /// The dependency is stored as cancelled.
    Cancelled,
}

/// The jobs that became ready or are cancelled because a job ended or was added.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReadinessChanges {
    /// Jobs that are no longer blocked.
    pub ready: Vec<Rc<str>>,
    /// Jobs that are cancelled because a dependency is.
    pub cancelled: Vec<Rc<str>>,
}

/// The blocked jobs and their dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// For each blocked job, the number of its dependencies that have not ended.
    open_dependencies: HashMap<Rc<str>, usize>,
    /// For each job that has not ended, the jobs that depend on it.
    dependents: HashMap<Rc<str>, Vec<Rc<str>>>,
    /// Jobs that are cancelled because a dependency is, and whose own end is not stored yet.
    cancelled: HashSet<Rc<str>>,
    /// The changes since the last call of [`take_changes`](Self::take_changes).
    changes: ReadinessChanges,
}

impl DependencyGraph {
    /// Adds a job with dependencies. Each dependency must have been accepted before the job; `outcome` returns its
    /// state.
    pub fn add(
        &mut self,
        id: &Rc<str>,
        dependencies: &[String],
        outcome: impl Fn(&str) -> JobOutcome,
    ) {
        self.add_with_unknown(id, dependencies, 0, outcome);
    }

    /// Adds a job of which some dependencies are not known. It never becomes ready, and is cancelled if one of the known
    /// dependencies is.
    pub fn add_incomplete(
        &mut self,
        id: &Rc<str>,
        known_dependencies: &[String],
        outcome: impl Fn(&str) -> JobOutcome,
    ) {
        self.add_with_unknown(id, known_dependencies, 1, outcome);
    }

    /// Adds a job with `unknown_dependencies` dependencies that never end in addition to `dependencies`.
    fn add_with_unknown(
        &mut self,
        id: &Rc<str>,
        dependencies: &[String],
        unknown_dependencies: usize,
        outcome: impl Fn(&str) -> JobOutcome,
    ) {
        let mut open_dependencies = unknown_dependencies;
        for dependency in dependencies {
            match outcome(dependency) {
                JobOutcome::Done => {}
                JobOutcome::Open if !self.cancelled.contains(dependency.as_str()) => {
                    open_dependencies += 1
                }
                JobOutcome::Open | JobOutcome::Cancelled => {
                    self.cancel(id);
                    return;
                }
            }
        }
        if open_dependencies == 0 {
            self.changes.ready.push(id.clone());
            return;
        }
        self.open_dependencies.insert(id.clone(), open_dependencies);
        for dependency in dependencies
            .iter()
            .filter(|dependency| outcome(dependency) == JobOutcome::Open)
        {
            let dependents = self
                .dependents
                .entry(dependency.as_str().into())
                .or_default();
            dependents.push(id.clone());
        }
    }

    /// Handles the stored end of a job: `done` is true if the job is done and false if it is cancelled.
    pub fn record_end(&mut self, id: &Rc<str>, done: bool) {
        self.open_dependencies.remove(id);
        if done {
            for dependent in self.dependents.remove(id).unwrap_or_default() {
                let Some(open_dependencies) = self.open_dependencies.get_mut(&dependent) else {
                    continue;
                };
                *open_dependencies -= 1;
                if *open_dependencies == 0 {
                    self.open_dependencies.remove(&dependent);
                    self.changes.ready.push(dependent);
                }
            }
        } else {
            self.cancel_dependents(id);
        }
        self.cancelled.remove(id);
    }

    fn cancel(&mut self, id: &Rc<str>) {
        self.open_dependencies.remove(id);
        self.cancelled.insert(id.clone());
        self.changes.cancelled.push(id.clone());
        self.cancel_dependents(id);
    }

    /// Cancels all jobs that depend on a job, directly or indirectly.
    fn cancel_dependents(&mut self, id: &Rc<str>) {
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            for dependent in self.dependents.remove(&id).unwrap_or_default() {
                // A dependent that has ended or was visited on another path is no longer blocked.
                if self.open_dependencies.remove(&dependent).is_some() {
                    self.cancelled.insert(dependent.clone());
                    self.changes.cancelled.push(dependent.clone());
                    to_visit.push(dependent);
                }
            }
        }
    }

    /// Returns whether a job is blocked.
    #[cfg(test)]
    pub fn is_blocked(&self, id: &str) -> bool {
        self.open_dependencies.contains_key(id)
    }

    /// Returns the changes since the last call and clears them.
    pub fn take_changes(&mut self) -> ReadinessChanges {
        std::mem::take(&mut self.changes)
    }
}

/// Propagates requirements of the jobs in `sources` to all jobs that they depend on, directly or indirectly. `order`
/// returns the position of a job in the order of acceptance. `raise` raises the requirements of a dependency (first
/// argument) to those of its dependent (second argument) and returns whether they changed.
///
/// A job is accepted after its dependencies. Visiting the latest accepted job first therefore visits each job only
/// once, after all of its dependents. In any other order, a chain of diamond-shaped dependencies would be traversed
/// once for each of its paths, whose number grows exponentially.
pub fn propagate_requirements<J: Copy + Ord>(
    sources: impl IntoIterator<Item = J>,
    order: impl Fn(J) -> u64,
    dependencies: impl Fn(J) -> Vec<J>,
    mut raise: impl FnMut(J, J) -> bool,
) {
    let mut to_visit: BTreeSet<(u64, J)> =
        sources.into_iter().map(|job| (order(job), job)).collect();
    while let Some((_, job)) = to_visit.pop_last() {
        for dependency in dependencies(job) {
            if raise(dependency, job) {
                to_visit.insert((order(dependency), dependency));
            }
        }
    }
}
