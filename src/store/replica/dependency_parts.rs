//! The dependency parts in the replica: the values that hold those dependencies of a job that don't fit into the job's
//! own record.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::value::RawValue;

use crate::store::keys;
use crate::store::records::decode;

/// Names a dependency part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DependencyPartId {
    /// The id of the job that depends on the jobs in the part.
    pub job: Rc<str>,
    /// The number of the part; the parts of a job are numbered from 1.
    pub number: u32,
}

impl DependencyPartId {
    /// The key of the part.
    pub fn key(&self) -> String {
        keys::dependency_part(&self.job, self.number)
    }
}

/// A stored dependency part.
#[derive(Debug)]
enum DependencyPart {
    /// Its ids are yet to be added to the job's submission.
    Unmerged(Vec<String>),
    /// The job's submission contains its ids.
    Merged,
    /// Its value can't be decoded, as a later version may have written it.
    Unreadable,
}

/// The dependency parts that are stored, whether or not their jobs are known.
#[derive(Debug, Default)]
pub(super) struct DependencyParts {
    by_job: BTreeMap<Rc<str>, BTreeMap<u32, DependencyPart>>,
}

impl DependencyParts {
    /// Records that a part is stored. A part never changes, so a repeated event has no effect.
    pub(super) fn insert(&mut self, id: &DependencyPartId, value: &RawValue) {
        let parts = self.by_job.entry(id.job.clone()).or_default();
        parts
            .entry(id.number)
            .or_insert_with(|| match decode(value) {
                Some(ids) => DependencyPart::Unmerged(ids),
                None => DependencyPart::Unreadable,
            });
    }

    /// Records that a part is deleted.
    pub(super) fn remove(&mut self, id: &DependencyPartId) {
        let Some(parts) = self.by_job.get_mut(&id.job) else {
            return;
        };
        parts.remove(&id.number);
        if parts.is_empty() {
            self.by_job.remove(&id.job);
        }
    }

    /// Takes out the ids in all parts of a job; None if one of its `count` parts is missing or can't be read.
    pub(super) fn take_all(&mut self, job: &str, count: u32) -> Option<Vec<String>> {
        let parts = self.by_job.get(job)?;
        let is_available = |number| matches!(parts.get(&number), Some(DependencyPart::Unmerged(_)));
        if !(1..=count).all(is_available) {
            return None;
        }
        Some(self.take_known(job))
    }

    /// Takes out the ids in those parts of a job that are stored and can be read.
    pub(super) fn take_known(&mut self, job: &str) -> Vec<String> {
        let parts = self.by_job.get_mut(job).into_iter().flatten();
        let mut ids = Vec::new();
        for (_, part) in parts {
            if let DependencyPart::Unmerged(part_ids) = part {
                ids.append(part_ids);
                *part = DependencyPart::Merged;
            }
        }
        ids
    }

    /// Returns the parts that are stored, by job and number.
    pub(super) fn ids(&self) -> impl Iterator<Item = DependencyPartId> {
        self.by_job.iter().flat_map(|(job, parts)| {
            parts.keys().map(|number| DependencyPartId {
                job: job.clone(),
                number: *number,
            })
        })
    }
}
