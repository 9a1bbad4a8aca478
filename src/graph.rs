//! Which jobs wait on which, what follows from the ends that are stored, and what is passed back along a
//! chain. Nothing here is written anywhere: every controller derives the same from the followed store. All walks
//! are iterative, as chains may be long.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// How a job stands, by what is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is not over.
    Open,
    /// Its end is stored as done.
    Done,
    /// Its end is stored as cancelled.
    Cancelled,
}

/// What an end or a new job brought about.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Moved {
    /// Jobs that wait for nothing any more.
    pub ready: Vec<Rc<str>>,
    /// Jobs that are cancelled, as one that they need is.
    pub cancelled: Vec<Rc<str>>,
}

/// The jobs that wait, and on whom.
#[derive(Debug, Default)]
pub struct Graph {
    /// For each job that waits, how many of those that it needs are not over.
    open: HashMap<Rc<str>, usize>,
    /// For each job that is not over, those that wait on it.
    dependents: HashMap<Rc<str>, Vec<Rc<str>>>,
    /// Jobs that are cancelled by what they need and have no end of their own.
    cancelled: HashSet<Rc<str>>,
    moved: Moved,
}

impl Graph {
    /// Adds a job that needs others, each of which was accepted before; `standing` tells how these are.
    pub fn add(&mut self, id: &Rc<str>, needs: &[String], standing: impl Fn(&str) -> Standing) {
        let mut open = 0;
        for need in needs {
            match standing(need) {
                Standing::Done => {}
                Standing::Open if !self.cancelled.contains(need.as_str()) => open += 1,
                Standing::Open | Standing::Cancelled => {
                    self.cancel(id);
                    return;
                }
            }
        }
        if open == 0 {
            self.moved.ready.push(id.clone());
            return;
        }
        self.open.insert(id.clone(), open);
        for need in needs.iter().filter(|n| standing(n) == Standing::Open) {
            let waiting = self.dependents.entry(need.as_str().into()).or_default();
            waiting.push(id.clone());
        }
    }

    /// A job's own end is stored.
    pub fn ended(&mut self, id: &Rc<str>, done: bool) {
        self.open.remove(id);
        if done {
            for next in self.dependents.remove(id).unwrap_or_default() {
                let Some(open) = self.open.get_mut(&next) else {
                    continue;
                };
                *open -= 1;
                if *open == 0 {
                    self.open.remove(&next);
                    self.moved.ready.push(next);
                }
            }
        } else {
            self.cancel_dependents(id);
        }
        self.cancelled.remove(id);
    }

    fn cancel(&mut self, id: &Rc<str>) {
        self.open.remove(id);
        self.cancelled.insert(id.clone());
        self.moved.cancelled.push(id.clone());
        self.cancel_dependents(id);
    }

    /// All that need a job, directly or through others.
    fn cancel_dependents(&mut self, id: &Rc<str>) {
        let mut reached = vec![id.clone()];
        while let Some(id) = reached.pop() {
            for next in self.dependents.remove(&id).unwrap_or_default() {
                // One that ended by itself, or was reached on another way, is no longer open.
                if self.open.remove(&next).is_some() {
                    self.cancelled.insert(next.clone());
                    self.moved.cancelled.push(next.clone());
                    reached.push(next);
                }
            }
        }
    }

    /// Whether a job waits for others.
    pub fn is_waiting(&self, id: &str) -> bool {
        self.open.contains_key(id)
    }

    /// What came about since this was last asked.
    pub fn take_moved(&mut self) -> Moved {
        std::mem::take(&mut self.moved)
    }
}

/// Passes what a job asks for back to all that it needs, as far as that asks for more of them. `raise` takes a
/// job and the one that needs it, and tells whether it asks for more than before.
pub fn pass_back<J: Copy>(
    from: J,
    needs: impl Fn(J) -> Vec<J>,
    mut raise: impl FnMut(J, J) -> bool,
) {
    let mut reached = vec![from];
    while let Some(job) = reached.pop() {
        for need in needs(job) {
            if raise(need, job) {
                reached.push(need);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG: usize = 5000;

    fn names(ids: &[Rc<str>]) -> Vec<&str> {
        let mut names: Vec<&str> = ids.iter().map(|id| &**id).collect();
        names.sort_unstable();
        names
    }

    fn needs(ids: &[&str]) -> Vec<String> {
        ids.iter().map(|id| (*id).to_owned()).collect()
    }

    fn open(_: &str) -> Standing {
        Standing::Open
    }

    #[test]
    fn a_job_is_ready_once_all_that_it_needs_are_done() {
        let mut graph = Graph::default();
        graph.add(&"c".into(), &needs(&["a", "b"]), open);
        graph.add(&"d".into(), &needs(&["c"]), open);
        graph.ended(&"a".into(), true);
        // An end that comes again counts once.
        graph.ended(&"a".into(), true);
        assert_eq!(graph.take_moved(), Moved::default());
        graph.ended(&"b".into(), true);
        assert_eq!(names(&graph.take_moved().ready), ["c"]);
        assert!(!graph.is_waiting("c") && graph.is_waiting("d"));
        // Submitted when all is over.
        graph.add(&"e".into(), &needs(&["a", "b"]), |_| Standing::Done);
        assert_eq!(names(&graph.take_moved().ready), ["e"]);
    }

    #[test]
    fn a_cancellation_reaches_all_that_need_the_job_and_no_others() {
        let mut graph = Graph::default();
        graph.add(&"b".into(), &needs(&["a"]), open);
        graph.add(&"c".into(), &needs(&["a", "x"]), open);
        graph.add(&"d".into(), &needs(&["b", "c"]), open);
        graph.add(&"y".into(), &needs(&["x"]), open);
        graph.ended(&"a".into(), false);
        assert_eq!(names(&graph.take_moved().cancelled), ["b", "c", "d"]);
        // One that names a job that is cancelled by what it needs.
        graph.add(&"e".into(), &needs(&["x", "d"]), open);
        assert_eq!(names(&graph.take_moved().cancelled), ["e"]);
        graph.ended(&"x".into(), true);
        assert_eq!(names(&graph.take_moved().ready), ["y"]);
        // The ends that follow from it, once stored, change nothing.
        graph.ended(&"b".into(), false);
        assert_eq!(graph.take_moved(), Moved::default());
        graph.add(&"f".into(), &needs(&["b"]), |_| Standing::Cancelled);
        assert_eq!(names(&graph.take_moved().cancelled), ["f"]);
    }

    #[test]
    fn long_chains_and_many_dependents_are_walked_without_recursion() {
        let mut graph = Graph::default();
        let name = |n: usize| format!("j-{n}");
        for n in 1..LONG {
            graph.add(&name(n).into(), &[name(n - 1)], open);
            graph.add(&name(LONG + n).into(), &[name(0)], open);
        }
        graph.ended(&name(0).into(), false);
        assert_eq!(graph.take_moved().cancelled.len(), 2 * (LONG - 1));
        let mut priority = vec![0; LONG];
        priority[LONG - 1] = 3;
        pass_back(
            LONG - 1,
            |job| job.checked_sub(1).into_iter().collect(),
            |need, job| {
                let more = priority[need] < priority[job];
                priority[need] = priority[need].max(priority[job]);
                more
            },
        );
        assert!(priority.iter().all(|p| *p == 3));
    }
}
