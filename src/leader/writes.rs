//! What the leader writes to the state service, one transaction at a time.

use super::*;

/// What users don't need it may use, as long as the store takes it.
const LEADER_WRITE_SHARE_MAX: f64 = 0.85;
const WRITE_SHARE_RISE: f64 = 1.02;
/// Completions and releases may wait this long, in report intervals, to be written together.
const LAZY_WRITE_REPORTS: f64 = 0.25;
/// One write in so many of the leader's is for the log.
const LOG_WRITES: f64 = 3.0;
/// Old values of the log that are told anew in one transaction, or deleted.
const RETOLD_MAX: usize = 4;
const CLEARED_MAX: usize = 4;
/// The limits of what is written are halved so often at the most.
const LIMIT_BACKOFF_MAX: u32 = 5;
/// Part of a transaction's size that is used at the most.
const TXN_BYTES: usize = 48 * 1024;

impl Leader {
    /// Tells that a task is no longer as the log says: to be written at once or, if others may join
    /// it, a little later.
    pub(super) fn mark_pending_write(
        &mut self,
        index: JobIndex,
        task: u32,
        at_once: bool,
        now: Time,
    ) {
        let report_s = self.config.deployment.workers.report_s;
        let due = if at_once {
            now
        } else {
            now + report_s * LAZY_WRITE_REPORTS
        };
        let tasks = Vec::new();
        let dirty = self
            .dirty
            .entry(index)
            .or_insert(PendingWrites { due, tasks });
        dirty.due = dirty.due.min(due);
        dirty.tasks.push(task);
    }

    /// The next transaction to send, if one is due; it stays the same until its outcome is told.
    pub fn next_txn(&mut self, now: Time) -> Option<Rc<Txn>> {
        if let Some(flight) = &self.in_flight {
            return Some(flight.txn.clone());
        }
        let state = &self.config.deployment.state;
        let rate = state.write_rps * self.write_share;
        self.write_tokens =
            (self.write_tokens + (now - self.write_refill) * rate).min(rate.max(1.0));
        self.write_refill = now;
        let txn_ops = (state.txn_ops >> self.limit_backoff).max(2);
        let ops = (self.write_tokens as usize).min(txn_ops);
        if ops == 0 {
            return None;
        }
        let mut txn = Txn {
            conditions: vec![Condition {
                key: key::leader(),
                version: self.token,
            }],
            changes: Vec::new(),
        };
        let mut log_due = self.log_due_at().is_some_and(|at| at <= now);
        if ops == 1 && log_due && !self.ends.is_empty() {
            // One write is allowed and two are due: each has its turn. Under a low limit the log once took all
            // of them, and the ends of jobs, with those that wait on them, came a hundred seconds late.
            self.end_next = !self.end_next;
            log_due = !self.end_next;
        }
        let most = ops.saturating_sub(usize::from(log_due));
        let (conditions, changes) = (&mut txn.conditions, &mut txn.changes);
        let zones = self.zones.write(self.token, most, conditions, changes);
        let mut flight_ends = Vec::new();
        for index in &self.ends {
            if txn.changes.len() + usize::from(log_due) >= ops {
                break;
            }
            let job = &self.jobs[index];
            let record = EndRecord {
                end: job.ended.unwrap_or(End::Done),
                done: job.done,
                at_ms: self.unix_ms(now),
            };
            txn.conditions.push(Condition {
                key: key::end(&job.id),
                version: 0,
            });
            txn.changes.push(put(key::end(&job.id), &record)?);
            flight_ends.push(*index);
        }
        let mut writers = Vec::new();
        if log_due {
            writers = self.log_changes(ops - txn.changes.len(), now);
        }
        let mut oldest = self.log.oldest();
        if let Some(writer) = writers.last_mut() {
            let (from, learned) = self.retell(writer);
            oldest = from;
            for (needed, told) in learned {
                self.log.learn(needed, told);
            }
        }
        // Clearing away is worth no write that anything else could use.
        let spare = txn_ops.min(self.write_tokens as usize / 2);
        let used = txn.changes.len() + writers.len();
        let gone = self.log.stale(spare.saturating_sub(used).min(CLEARED_MAX));
        let mut told = Vec::new();
        for mut writer in writers {
            writer.record.oldest = oldest;
            let number = self.log.number();
            txn.conditions.push(Condition {
                key: key::run(number),
                version: 0,
            });
            txn.changes.push(put(key::run(number), &writer.record)?);
            told.push((number, writer.told));
        }
        if !told.is_empty() {
            self.logged_at = now;
        }
        for number in &gone {
            let key = key::run(*number);
            txn.changes.push(Change::Delete { key });
        }
        let mut cleared = Vec::new();
        for index in &self.settled {
            if txn.changes.len() >= spare {
                break;
            }
            txn.changes.push(Change::Delete {
                key: key::job(&self.jobs[index].id),
            });
            cleared.push(*index);
        }
        for key in self
            .zones
            .take_stale(spare.saturating_sub(txn.changes.len()))
        {
            txn.changes.push(Change::Delete { key });
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.write_tokens -= txn.changes.len() as f64;
        let txn = Rc::new(txn);
        self.in_flight = Some(InFlight {
            txn: txn.clone(),
            told,
            oldest,
            gone,
            ends: flight_ends,
            cleared,
            zones,
        });
        Some(txn)
    }

    /// Fills values of the log, `most` at the most, with what is due; what isn't yet takes the room
    /// that is left.
    pub(super) fn log_changes(&mut self, most: usize, now: Time) -> Vec<Writer> {
        let value_max =
            (self.config.deployment.state.value_kb * 1024.0) as usize >> self.limit_backoff;
        let mut order: Vec<(Time, JobIndex)> =
            self.dirty.iter().map(|(k, d)| (d.due, *k)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut full: Vec<Writer> = Vec::new();
        let mut writer = Writer::new(value_max);
        'jobs: for (due, index) in order {
            let Some(mut dirty) = self.dirty.remove(&index) else {
                continue;
            };
            let Some(job) = self.jobs.get(&index).filter(|j| j.ended.is_none()) else {
                continue;
            };
            dirty.tasks.sort_unstable();
            dirty.tasks.dedup();
            let fleet = &self.fleet;
            let place = |m| {
                let m = fleet.machines.get(&m)?;
                Some((&*m.name, &*m.zone))
            };
            for (at, task) in dirty.tasks.iter().enumerate() {
                if writer.add(index, job, *task, place) {
                    continue;
                }
                let bytes: usize = full.iter().map(Writer::bytes).sum();
                let room = full.len() + 1 < most && bytes + 2 * value_max < TXN_BYTES;
                if due <= now && room && !writer.is_empty() {
                    full.push(std::mem::replace(&mut writer, Writer::new(value_max)));
                    if writer.add(index, job, *task, place) {
                        continue;
                    }
                }
                if writer.is_empty() {
                    // Never stored, and so never launched.
                    tracing::error!("{}/{task}: too large to store", job.id);
                    continue;
                }
                dirty.tasks.drain(..at);
                self.dirty.insert(index, dirty);
                break 'jobs;
            }
        }
        if !writer.is_empty() {
            full.push(writer);
        }
        full
    }

    /// Tells anew what the oldest values still tell alone, in a value that is written in any case;
    /// returns the oldest that counts from then on. Those before it go later: one that was deleted
    /// comes back if its transaction is carried out once more, and must not count then.
    pub(super) fn retell(&self, writer: &mut Writer) -> (u64, Vec<(usize, usize)>) {
        let mut oldest = self.log.oldest();
        let mut learned = Vec::new();
        for (number, tasks) in self.log.surplus(RETOLD_MAX) {
            let needed = |index: &JobIndex, task: u32| {
                // What is over and off all machines is known by its end.
                let job = self
                    .jobs
                    .get(index)
                    .filter(|_| !self.settled.contains(index));
                job.filter(|job| job.needs(task, number))
            };
            let live: Vec<(JobIndex, u32, &Job)> = tasks
                .iter()
                .filter_map(|(index, task)| Some((*index, *task, needed(index, *task)?)))
                .collect();
            learned.push((live.len(), tasks.len()));
            let fleet = &self.fleet;
            let place = |m| {
                let m = fleet.machines.get(&m)?;
                Some((&*m.name, &*m.zone))
            };
            let all = live
                .iter()
                .all(|(index, task, job)| writer.add(*index, job, *task, place));
            if !all {
                break;
            }
            oldest = number + 1;
        }
        (oldest, learned)
    }

    /// When the log is to be written next, if it is. So many values a second are enough: each takes in what
    /// came meanwhile. Tasks end all the time, so that something is always due: each such moment once took a
    /// write of its own.
    pub(super) fn log_due_at(&self) -> Option<Time> {
        let gap = LOG_WRITES / (self.config.deployment.state.write_rps * LEADER_WRITE_SHARE);
        let first = self.dirty.values().map(|d| d.due).min_by(f64::total_cmp);
        first.map(|due| due.max(self.logged_at + gap))
    }

    /// When something lazy is due to be written, if anything is.
    pub fn next_write_at(&self) -> Option<Time> {
        if !self.ends.is_empty() || self.zones.wants_write() {
            return Some(self.began);
        }
        match self.log_due_at() {
            None if !self.settled.is_empty() => Some(self.write_refill + 1.0),
            first => first,
        }
    }

    /// Takes in the outcome of the transaction under way.
    pub fn txn_done(&mut self, outcome: TxnOutcome, now: Time) -> AfterTxn {
        let Some(flight) = &self.in_flight else {
            return AfterTxn::Go;
        };
        match outcome {
            TxnOutcome::Applied(revision) => {
                self.write_share =
                    (self.write_share * WRITE_SHARE_RISE).min(LEADER_WRITE_SHARE_MAX);
                self.applied(revision, now);
                AfterTxn::Go
            }
            TxnOutcome::Unknown | TxnOutcome::Refused => {
                self.write_share = LEADER_WRITE_SHARE;
                AfterTxn::Again
            }
            TxnOutcome::TooLarge => {
                // The same again would be refused for ever, and all writes wait for this one: what it said is
                // said anew in smaller pieces.
                self.limit_backoff = (self.limit_backoff + 1).min(LIMIT_BACKOFF_MAX);
                self.take_back(now);
                AfterTxn::Again
            }
            TxnOutcome::Conflict(failed) => {
                if failed.contains(&key::leader()) {
                    return AfterTxn::Lost;
                }
                let ends: Vec<String> = flight
                    .ends
                    .iter()
                    .map(|index| key::end(&self.jobs[index].id))
                    .collect();
                if let Some(other) = failed.iter().find(|k| !ends.contains(k)) {
                    // Only this tenure writes that key: a copy was applied, even if all that is
                    // known of is one that was refused. The office was once given up for that.
                    return AfterTxn::ReadBack(other.clone());
                }
                // A user's withdrawal came first, or a copy of ours; the view will tell which.
                for index in flight.ends.clone() {
                    if failed.contains(&key::end(&self.jobs[&index].id)) {
                        self.ends.remove(&index);
                    }
                }
                self.take_back(now);
                AfterTxn::Go
            }
        }
    }

    /// The transaction under way was not carried out: what it told is to be told anew.
    pub(super) fn take_back(&mut self, now: Time) {
        let Some(flight) = self.in_flight.take() else {
            return;
        };
        for zone in &flight.zones {
            self.zones.stored(zone, None, now);
        }
        for (index, task, _) in flight.told.into_iter().flat_map(|(_, told)| told) {
            self.mark_pending_write(index, task, true, now);
        }
    }

    /// Whether the transaction under way was found applied at this revision; 0: it was not.
    pub fn read_back(&mut self, revision: u64, now: Time) {
        if revision > 0 {
            self.applied(revision, now);
        }
    }

    pub(super) fn applied(&mut self, revision: u64, now: Time) {
        let Some(flight) = self.in_flight.take() else {
            return;
        };
        for zone in &flight.zones {
            self.zones.stored(zone, Some(revision), now);
        }
        for (number, told) in flight.told {
            for (index, task, what) in told {
                if let Some(job) = self.jobs.get_mut(&index) {
                    job.stored(task, what, number);
                    self.log.enter(number, index, task);
                }
                if let Recorded::Bound(_) = what {
                    self.launch_ready(index, task, now);
                }
            }
        }
        self.log.forget_before(flight.oldest);
        for number in flight.gone {
            self.log.cleared(number);
        }
        for index in flight.ends {
            self.ends.remove(&index);
            if let Some(job) = self.jobs.get_mut(&index) {
                job.end_stored = true;
            }
            self.maybe_settle(index);
        }
        for index in flight.cleared {
            // A stray attempt may have shown up while this was written: the job is needed until that
            // is off. Its going once ended the process.
            if self.jobs.get(&index).is_some_and(|job| job.slots > 0) {
                continue;
            }
            self.settled.remove(&index);
            if let Some(job) = self.jobs.remove(&index) {
                self.by_id.remove(&job.id);
                for part in 1..=job.parts {
                    self.zones.clear_away(key::needs(&job.id, part));
                }
            }
            self.active.remove(&index);
        }
    }
}
