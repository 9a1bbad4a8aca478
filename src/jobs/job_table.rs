//! The jobs that a leader knows, by index and by id.

use std::collections::{BTreeMap, HashMap, btree_map};
use std::ops::Index;
use std::rc::Rc;

use super::{Job, JobIndex};

/// The jobs that a leader knows, in the order in which they were added.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<JobIndex, Job>,
    index_by_id: HashMap<Rc<str>, JobIndex>,
    next_index: JobIndex,
}

impl JobTable {
    /// Returns the index of the job with this id.
    pub fn index_of(&self, id: &str) -> Option<JobIndex> {
        self.index_by_id.get(id).copied()
    }

    /// Returns whether the table contains a job with this id.
    pub fn contains_id(&self, id: &str) -> bool {
        self.index_by_id.contains_key(id)
    }

    /// Adds a job and returns its index, which no other job of this table ever has.
    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = self.next_index;
        self.next_index += 1;
        self.index_by_id.insert(job.id.clone(), index);
        self.jobs.insert(index, job);
        index
    }

    /// Removes a job by its index and returns it.
    pub fn remove(&mut self, index: &JobIndex) -> Option<Job> {
        let job = self.jobs.remove(index)?;
        self.index_by_id.remove(&job.id);
        Some(job)
    }

    /// Returns the number of jobs.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns a job by its index.
    pub fn get(&self, index: &JobIndex) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// Returns a job by its index, for modification.
    pub fn get_mut(&mut self, index: &JobIndex) -> Option<&mut Job> {
        self.jobs.get_mut(index)
    }

    /// Iterates over the jobs with their indices, in the order of the indices.
    pub fn iter(&self) -> btree_map::Iter<'_, JobIndex, Job> {
        self.jobs.iter()
    }

    /// Iterates over the jobs, in the order of their indices.
    pub fn values(&self) -> btree_map::Values<'_, JobIndex, Job> {
        self.jobs.values()
    }

    /// Iterates over the indices, in ascending order.
    #[cfg(test)]
    pub fn keys(&self) -> btree_map::Keys<'_, JobIndex, Job> {
        self.jobs.keys()
    }
}

impl Index<&JobIndex> for JobTable {
    type Output = Job;

    fn index(&self, index: &JobIndex) -> &Job {
        &self.jobs[index]
    }
}
