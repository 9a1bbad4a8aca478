//! A store that changes at random as controllers change it, for tests of loads: every kind of key, and keys that belong to
//! others.

use std::collections::{BTreeMap, BTreeSet};

use quota::{
    AccountId, AllotmentRecord, OwnerRecord, QuotaAmount, SettingsRecord, SharedRecord, TeamRecord,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use crate::admission_quota::store_mapping::key_of;
use crate::store::keys;
use crate::store::records::{
    AssignedRange, AssignmentRecord, DelegationRecord, EndRecord, JobAssignments, JobEnd,
    JobRecord, LeaderRecord, MachineEntry, RelayRecord, StepDownRequest, TaskRange,
};
use crate::test_support::{job, types};

const TASKS: u32 = 3;
const NODES: [&str; 2] = ["n0", "n1"];
const PARTS_MAX: u32 = 3;
/// The number of the first assignment record: the keys of 99 and 100 sort in the reverse order of the numbers.
const FIRST_RECORD: u64 = 95;
/// Number of valid assignment records beyond which the oldest one is rewritten.
const RECORDS_KEPT: usize = 3;

/// A change of a key; a value of None is a deletion.
pub struct StoredChange {
    pub key: String,
    pub value: Option<Box<RawValue>>,
    pub revision: u64,
}

/// The state of a task according to the assignment log, and the record that holds it.
#[derive(Clone, Copy)]
struct LoggedTask {
    state: TaskState,
    record: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum TaskState {
    Assigned,
    Done,
    Released,
}

/// A job that was created.
struct CreatedJob {
    id: String,
    dependencies: Vec<usize>,
    end: Option<JobEnd>,
    has_record: bool,
    stored_parts: BTreeSet<u32>,
    tasks: BTreeMap<u32, LoggedTask>,
}

/// The store, its log of changes, and what the controllers know that change it.
pub struct ChangingStore {
    pub keys: BTreeMap<String, (Box<RawValue>, u64)>,
    pub changes: Vec<StoredChange>,
    pub revision: u64,
    jobs: Vec<CreatedJob>,
    valid_records: BTreeSet<u64>,
    invalid_records: BTreeSet<u64>,
    next_record: u64,
    rng: SmallRng,
}

fn encoded(value: &impl Serialize) -> Option<Box<RawValue>> {
    Some(to_raw_value(value).unwrap())
}

impl ChangingStore {
    pub fn new(rng: SmallRng) -> Self {
        ChangingStore {
            keys: BTreeMap::new(),
            changes: Vec::new(),
            revision: 0,
            jobs: Vec::new(),
            valid_records: BTreeSet::new(),
            invalid_records: BTreeSet::new(),
            next_record: FIRST_RECORD,
            rng,
        }
    }

    /// Makes a random transaction, if one of the drawn kind is possible.
    pub fn change(&mut self) {
        match self.rng.random_range(0..16) {
            0..4 => self.create_job(),
            4 | 5 => self.end_job(),
            6 | 7 => self.delete_job(),
            8 => self.delete_part(),
            9 | 10 => self.write_assignment_record(),
            11 => self.delete_assignment_record(),
            12 => self.change_leader(),
            13 => self.change_delegation(),
            14 => self.change_quota(),
            _ => self.write_other_record(),
        }
    }

    /// Applies a transaction. The watch may deliver its changes in any order.
    fn apply(&mut self, mut changes: Vec<(String, Option<Box<RawValue>>)>) {
        self.revision += 1;
        changes.shuffle(&mut self.rng);
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                None => {
                    self.keys.remove(&key);
                }
            }
            self.changes.push(StoredChange {
                key,
                value,
                revision: self.revision,
            });
        }
    }

    /// Draws one of the jobs that fulfil a condition.
    fn draw_job(&mut self, is_eligible: impl Fn(&[CreatedJob], usize) -> bool) -> Option<usize> {
        let eligible: Vec<usize> = (0..self.jobs.len())
            .filter(|index| is_eligible(&self.jobs, *index))
            .collect();
        (!eligible.is_empty()).then(|| eligible[self.rng.random_range(0..eligible.len())])
    }

    fn create_job(&mut self) {
        // Ids come in no order, so that a page of a listing ends anywhere among the jobs by acceptance.
        let id = format!("j-{}", self.rng.next_u64() >> 32);
        let mut dependencies = Vec::new();
        for _ in 0..self.rng.random_range(0..4) {
            dependencies.extend(self.draw_job(|_, _| true));
        }
        dependencies.sort_unstable();
        dependencies.dedup();
        let ids: Vec<String> = dependencies
            .iter()
            .map(|index| self.jobs[*index].id.clone())
            .collect();
        let parts_max = PARTS_MAX.min(ids.len() as u32);
        let parts = self.rng.random_range(0..=parts_max);
        let charged_to = self.rng.random_bool(0.5).then(|| NODES[0].into());
        let mut spec = job(&id, TASKS);
        if parts == 0 {
            spec.waits_on = ids.clone();
        }
        let record = JobRecord {
            spec,
            submitted_unix_ms: Some(self.revision),
            dependency_parts: parts,
            charged_to,
        };
        let mut changes = vec![(keys::job(&id), encoded(&record))];
        for part in 1..=parts {
            let part_ids = ids.iter().skip(part as usize - 1);
            let part_ids: Vec<&String> = part_ids.step_by(parts as usize).collect();
            changes.push((keys::dependency_part(&id, part), encoded(&part_ids)));
        }
        self.apply(changes);
        self.jobs.push(CreatedJob {
            id,
            dependencies,
            end: None,
            has_record: true,
            stored_parts: (1..=parts).collect(),
            tasks: BTreeMap::new(),
        });
    }

    fn end_job(&mut self) {
        let Some(index) = self.draw_job(|jobs, index| jobs[index].end.is_none()) else {
            return;
        };
        let is_done = |dependency: &usize| self.jobs[*dependency].end == Some(JobEnd::Done);
        let may_be_done = self.jobs[index].dependencies.iter().all(is_done);
        let end = if may_be_done && self.rng.random_bool(0.7) {
            JobEnd::Done
        } else {
            JobEnd::Cancelled
        };
        let record = EndRecord {
            end,
            tasks_done: 0,
            ended_unix_ms: None,
        };
        self.jobs[index].end = Some(end);
        let key = keys::job_end(&self.jobs[index].id);
        self.apply(vec![(key, encoded(&record))]);
    }

    fn delete_job(&mut self) {
        let is_finished =
            |jobs: &[CreatedJob], index: usize| jobs[index].end.is_some() && jobs[index].has_record;
        if let Some(index) = self.draw_job(is_finished) {
            let job = &mut self.jobs[index];
            job.has_record = false;
            let key = keys::job(&job.id);
            self.apply(vec![(key, None)]);
        }
    }

    fn delete_part(&mut self) {
        let has_obsolete_part = |jobs: &[CreatedJob], index: usize| {
            !jobs[index].has_record && !jobs[index].stored_parts.is_empty()
        };
        if let Some(index) = self.draw_job(has_obsolete_part) {
            let job = &mut self.jobs[index];
            let part = job.stored_parts.pop_first().unwrap();
            let key = keys::dependency_part(&job.id, part);
            self.apply(vec![(key, None)]);
        }
    }

    /// Writes an assignment record with a new state of a task, and with what only the oldest record still holds.
    fn write_assignment_record(&mut self) {
        let number = self.next_record;
        let is_open =
            |jobs: &[CreatedJob], index: usize| jobs[index].has_record && jobs[index].end.is_none();
        let Some(index) = self.draw_job(is_open) else {
            return;
        };
        let task = self.rng.random_range(0..TASKS);
        let states = [TaskState::Assigned, TaskState::Done, TaskState::Released];
        let state = states[self.rng.random_range(0..states.len())];
        let logged = LoggedTask {
            state,
            record: number,
        };
        self.jobs[index].tasks.insert(task, logged);
        let mut assignments = vec![assignment(&self.jobs[index].id, task, state)];
        if self.valid_records.len() >= RECORDS_KEPT
            && let Some(oldest) = self.valid_records.pop_first()
        {
            self.invalid_records.insert(oldest);
            assignments.extend(self.rewrite(oldest, number));
        }
        self.valid_records.insert(number);
        self.next_record += 1;
        let record = AssignmentRecord {
            oldest_valid: self.valid_records.first().copied().unwrap_or(number),
            zones: vec!["north".into()],
            machines: vec![MachineEntry {
                name: "i-1".into(),
                zone_index: 0,
            }],
            jobs: assignments,
        };
        self.apply(vec![(keys::assignment_record(number), encoded(&record))]);
    }

    /// The assignments and completions of which the record `oldest` is the newest; the record `number` holds them from
    /// now on. Released tasks are left out.
    fn rewrite(&mut self, oldest: u64, number: u64) -> Vec<JobAssignments> {
        let mut assignments = Vec::new();
        for job in self.jobs.iter_mut().filter(|job| job.has_record) {
            let of_oldest = |logged: &&mut LoggedTask| {
                logged.record == oldest && logged.state != TaskState::Released
            };
            for (task, logged) in job.tasks.iter_mut().map(|(task, logged)| (*task, logged)) {
                if of_oldest(&logged) {
                    logged.record = number;
                    assignments.push(assignment(&job.id, task, logged.state));
                }
            }
        }
        assignments
    }

    fn delete_assignment_record(&mut self) {
        if let Some(number) = self.invalid_records.pop_first() {
            self.apply(vec![(keys::assignment_record(number), None)]);
        }
    }

    fn change_leader(&mut self) {
        let is_deleted = self.rng.random_bool(0.4);
        let record = LeaderRecord {
            node: NODES[self.rng.random_range(0..NODES.len())].into(),
            incarnation: self.rng.random_range(1..4),
        };
        let value = if is_deleted { None } else { encoded(&record) };
        self.apply(vec![(keys::leader(), value)]);
    }

    fn change_delegation(&mut self) {
        let record = DelegationRecord {
            fencing_token: self.rng.random_range(1..4),
            zone: "north".into(),
            revoked: self.rng.random_bool(0.5),
        };
        let key = keys::delegation(record.fencing_token, self.rng.random_range(1..3));
        let is_deleted = self.rng.random_bool(0.3);
        let value = if is_deleted { None } else { encoded(&record) };
        self.apply(vec![(key, value)]);
    }

    fn change_quota(&mut self) {
        let amount = QuotaAmount::of_job(self.rng.random_range(1..9), 1.0, 0.0, 1.0);
        let (team, node) = ("blue".into(), NODES[0].into());
        let incarnation = self.rng.random_range(0..3);
        let (account, value) = match self.rng.random_range(0..5) {
            0 => {
                let record = SettingsRecord {
                    digest: "digest".into(),
                    generation: incarnation,
                    open: true,
                };
                (AccountId::Settings, encoded(&record))
            }
            1 => (AccountId::Shared, encoded(&SharedRecord { free: amount })),
            2 => {
                let record = TeamRecord {
                    generation: 1,
                    held: amount,
                    free: amount,
                    uncharged: QuotaAmount::ZERO,
                };
                (AccountId::Team(team), encoded(&record))
            }
            3 => (
                AccountId::Owner(node),
                encoded(&OwnerRecord { incarnation }),
            ),
            _ => {
                let record = AllotmentRecord {
                    incarnation,
                    size: amount,
                };
                (AccountId::Allotment { team, node }, encoded(&record))
            }
        };
        let is_deleted = self.rng.random_bool(0.2);
        let value = if is_deleted { None } else { value };
        self.apply(vec![(key_of(&account), value)]);
    }

    fn write_other_record(&mut self) {
        let fencing_token = self.rng.random_range(1..4);
        let change = match self.rng.random_range(0..3) {
            0 => (keys::machine_types(), encoded(&types())),
            1 => {
                let request = StepDownRequest { fencing_token };
                (keys::step_down_request(NODES[0]), encoded(&request))
            }
            _ => {
                let record = RelayRecord {
                    fencing_token,
                    zone: "north".into(),
                    jobs: Vec::new(),
                    agent_epochs: Vec::new(),
                };
                (keys::relay(NODES[0]), encoded(&record))
            }
        };
        self.apply(vec![change]);
    }
}

/// An entry of an assignment record for one task.
fn assignment(id: &str, task: u32, state: TaskState) -> JobAssignments {
    let range = TaskRange::single(task);
    let mut entry = JobAssignments {
        id: id.to_owned(),
        ..JobAssignments::default()
    };
    match state {
        TaskState::Assigned => {
            entry.attempt = 1;
            entry.assigned.push(AssignedRange {
                tasks: range,
                machine_index: 0,
            });
        }
        TaskState::Done => entry.done.push(range),
        TaskState::Released => entry.released.push(range),
    }
    entry
}
