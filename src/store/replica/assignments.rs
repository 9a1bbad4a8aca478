//! The assignment log in the replica: which of its records are stored and valid, and the task states that they hold.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use serde_json::value::RawValue;

use super::{MachineLocation, RecordedTask, ReplicatedJob};
use crate::store::records::{AssignmentRecord, JobAssignments, MachineEntry, decode};

/// The number of machines up to which unused locations are kept.
const LOCATIONS_KEPT_MIN: usize = 1000;

/// Numbers of the stored records of the assignment log, and of the oldest valid one. The task states from the records
/// are kept in the jobs, see [`ReplicatedJob::tasks`].
#[derive(Debug, Default)]
pub struct AssignmentRecords {
    numbers: BTreeSet<u64>,
    oldest_valid: u64,
    locations: Locations,
}

/// The machines that task states refer to, by name: the states on a machine share one location.
#[derive(Debug, Default)]
struct Locations {
    by_machine: HashMap<String, Rc<MachineLocation>>,
    /// Unused locations are dropped when there are more than this.
    drop_above: usize,
}

impl Locations {
    /// Returns the location of a machine.
    fn get(&mut self, machine: &MachineEntry, zone: &str) -> Rc<MachineLocation> {
        if let Some(known) = self.by_machine.get(&machine.name)
            && known.zone == zone
        {
            return known.clone();
        }
        if self.by_machine.len() > self.drop_above {
            self.by_machine
                .retain(|_, location| Rc::strong_count(location) > 1);
            self.drop_above = (self.by_machine.len() * 2).max(LOCATIONS_KEPT_MIN);
        }
        let location = Rc::new(MachineLocation {
            machine: machine.name.clone(),
            zone: zone.to_owned(),
        });
        self.by_machine
            .insert(machine.name.clone(), location.clone());
        location
    }

    /// Returns the locations of a record's machines, in the order in which the record lists them.
    fn of_record(&mut self, record: &AssignmentRecord) -> Vec<Rc<MachineLocation>> {
        let zone = |index: u32| record.zones.get(index as usize).map_or("", String::as_str);
        let machines = record.machines.iter();
        machines
            .map(|machine| self.get(machine, zone(machine.zone_index)))
            .collect()
    }
}

impl AssignmentRecords {
    /// Returns the numbers of all stored records, valid or not, in ascending order.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.numbers.iter().copied()
    }

    /// Returns the number of the oldest valid record, according to the records applied so far.
    pub fn oldest_valid(&self) -> u64 {
        self.oldest_valid
    }

    /// Applies a record, or its deletion.
    pub(super) fn apply(
        &mut self,
        record_number: u64,
        value: Option<&RawValue>,
        jobs: &mut HashMap<Rc<str>, ReplicatedJob>,
    ) {
        let Some(value) = value else {
            self.numbers.remove(&record_number);
            return;
        };
        self.numbers.insert(record_number);
        let Some(record) = decode::<AssignmentRecord>(value) else {
            return;
        };
        self.oldest_valid = self.oldest_valid.max(record.oldest_valid);
        // A deleted record reappears if a late copy of its transaction is applied; its task states are outdated then.
        if record_number >= self.oldest_valid {
            let locations = self.locations.of_record(&record);
            apply_record(record_number, &record, &locations, jobs);
        }
    }

    /// Drops task states that come from records that are no longer valid. A load of the replica needs this: it reads
    /// records in the order of their keys, so a record may be applied before the one that makes it invalid.
    pub(super) fn drop_obsolete_tasks(&self, jobs: &mut HashMap<Rc<str>, ReplicatedJob>) {
        for job in jobs.values_mut() {
            job.drop_obsolete_tasks(self.oldest_valid);
        }
    }
}

/// Applies a valid record, except for jobs that are not in the replica. Such a job has either been deleted, or has not
/// been read yet by a load in progress; in the latter case the watch delivers the job and then the record again.
fn apply_record(
    record_number: u64,
    record: &AssignmentRecord,
    locations: &[Rc<MachineLocation>],
    jobs: &mut HashMap<Rc<str>, ReplicatedJob>,
) {
    for assignments in &record.jobs {
        let Some(job) = jobs.get_mut(assignments.id.as_str()) else {
            continue;
        };
        let Some(task_count) = job.spec.as_ref().map(|spec| spec.tasks) else {
            continue;
        };
        apply_assignments(job, task_count, record_number, assignments, locations);
    }
}

fn apply_assignments(
    job: &mut ReplicatedJob,
    task_count: u32,
    record_number: u64,
    assignments: &JobAssignments,
    locations: &[Rc<MachineLocation>],
) {
    for range in &assignments.assigned {
        let Some(location) = locations.get(range.machine_index as usize) else {
            continue;
        };
        for task in range.tasks.tasks_below(task_count) {
            let location = location.clone();
            let attempt = assignments.attempt;
            job.record_task(
                task,
                record_number,
                RecordedTask::Assigned { location, attempt },
            );
        }
    }
    for (ranges, state) in [
        (&assignments.done, RecordedTask::Done),
        (&assignments.released, RecordedTask::Released),
    ] {
        for task in ranges
            .iter()
            .flat_map(|range| range.tasks_below(task_count))
        {
            job.record_task(task, record_number, state.clone());
        }
    }
}
