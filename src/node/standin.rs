//! Answering workers in the name of a leader whom they can't reach, see [`crate::zones`].

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use futures_channel::oneshot;
use serde_json::value::to_raw_value;

use super::{FOLLOW_GAP_S, Node, POLL_S, POLLS_MAX, RETRY_S};
use crate::http::Response;
use crate::lead::{TxnOutcome, split_task};
use crate::view::{JobLog, RelayRecord, key};
use crate::wire::{Change, Command, Condition, Report, ReportReply, TaskState, Txn, Why};

/// Bytes of a relayed value that are kept free.
const RELAY_MARGIN: usize = 512;
/// Bytes that a job's id is written with, and a range of its tasks.
const JOB_BYTES: usize = 48;
const RANGE_BYTES: usize = 16;

/// The word of a leader that is to be seen standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Word {
    token: u64,
    key: String,
    version: u64,
}

/// What is to be told to the leader of a zone's tasks.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    token: u64,
    told: HashSet<(String, u64)>,
    /// Completed tasks, by job and attempt.
    pending: BTreeMap<(String, u64), BTreeSet<u32>>,
    /// The sessions that were told, and those that are to be.
    sessions: HashMap<String, u64>,
    begun: Vec<(String, u64)>,
}

impl Relay {
    /// For a leader with this token.
    pub(crate) fn new(token: u64) -> Self {
        Relay {
            token,
            ..Relay::default()
        }
    }

    /// Takes in a report; whether it shows something to be told.
    pub(crate) fn note(&mut self, report: &Report) -> bool {
        let mut fresh = false;
        // One that has not yet seen the token may still be given something by a former leader.
        if report.token == self.token
            && self.sessions.insert(report.machine.clone(), report.session) != Some(report.session)
        {
            self.begun.push((report.machine.clone(), report.session));
            fresh = true;
        }
        for t in &report.tasks {
            let done = t.state == TaskState::Exited && t.why == Some(Why::Done);
            if done
                && let Some((id, task)) = split_task(&t.task)
                && self.told.insert((t.task.clone(), t.attempt))
            {
                let key = (id.to_owned(), t.attempt);
                self.pending.entry(key).or_default().insert(task);
                fresh = true;
            }
        }
        fresh
    }

    /// Takes as much as fits into a value.
    pub(crate) fn take(&mut self, zone: &str, limit: usize) -> RelayRecord {
        let mut jobs = Vec::new();
        let mut bytes = RELAY_MARGIN;
        let mut sessions = Vec::new();
        while bytes < limit
            && let Some((machine, session)) = self.begun.pop()
        {
            bytes += machine.len() + RANGE_BYTES;
            sessions.push((machine, session));
        }
        while let Some(((id, attempt), tasks)) = self.pending.pop_first() {
            let mut done: Vec<(u32, u32)> = Vec::new();
            for task in &tasks {
                match done.last_mut() {
                    Some((first, n)) if *first + *n == *task => *n += 1,
                    _ => done.push((*task, 1)),
                }
            }
            bytes += id.len() + JOB_BYTES + done.len() * RANGE_BYTES;
            if bytes > limit && !(jobs.is_empty() && sessions.is_empty()) {
                self.pending.insert((id, attempt), tasks);
                break;
            }
            jobs.push(JobLog {
                id,
                attempt,
                done,
                ..JobLog::default()
            });
        }
        RelayRecord {
            token: self.token,
            zone: zone.to_owned(),
            jobs,
            sessions,
        }
    }

    fn give_back(&mut self, record: RelayRecord) {
        self.begun.extend(record.sessions);
        for log in &record.jobs {
            let tasks = self.pending.entry((log.id.clone(), log.attempt));
            let all = log.done.iter().flat_map(|(first, n)| *first..first + n);
            tasks.or_default().extend(all);
        }
    }
}

/// Stops for all that a worker has of jobs that are over: a cancelled job must be gone in time, and
/// its worker's lease goes on here.
pub(crate) fn stops(report: &Report, over: impl Fn(&str) -> bool) -> Vec<Command> {
    let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
    live.filter(|t| over(&t.task))
        .map(|t| Command::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: 0.0,
        })
        .collect()
}

impl Node {
    /// Answers a report in the leader's name, if the leader lets others do so in the worker's zone.
    pub(super) async fn stand_in(&self, report: &Report, token: u64) -> Option<Response> {
        let word = {
            let view = self.view.borrow();
            let mut words = view.stand_ins.iter();
            words.find_map(|(key, (record, version))| {
                let stands = !record.over && record.token == token && record.zone == report.zone;
                stands.then(|| Word {
                    token,
                    key: key.clone(),
                    version: *version,
                })
            })
        };
        let Some(word) = word.filter(|_| report.token <= token) else {
            self.relays.borrow_mut().remove(&report.zone);
            return None;
        };
        if self.word_queue.borrow().len() >= POLLS_MAX {
            return Some(Response::later(503, "too many reports", RETRY_S));
        }
        let (tell, told) = oneshot::channel();
        self.word_queue.borrow_mut().push((word, tell));
        self.word_work.set();
        match self.rt.timeout(POLL_S, told).await {
            Ok(Ok(Some(true))) => {}
            // Taken back, or another leads by now.
            Ok(Ok(Some(false))) => return None,
            _ => {
                return Some(Response::later(
                    503,
                    "the leader's word is not known",
                    RETRY_S,
                ));
            }
        }
        let fresh = {
            let mut relays = self.relays.borrow_mut();
            let relay = relays.entry(report.zone.clone()).or_default();
            if relay.token != token {
                *relay = Relay::new(token);
            }
            relay.note(report)
        };
        if fresh {
            self.relay_work.set();
        }
        let commands = stops(report, |task| self.is_over(task));
        Some(Response::json(200, &ReportReply { token, commands }))
    }

    /// Reads, for reports that wait, whether leaders' words still stand; then waits for the view to
    /// show all that was stored by then. A read answers only what came before it began.
    pub(super) async fn word_duty(self: Rc<Self>) {
        loop {
            self.word_work.take().await;
            let waiting = self.word_queue.take();
            let mut known: Vec<(Word, Option<bool>)> = Vec::new();
            for (word, tell) in waiting {
                let found = known.iter().find(|(w, _)| *w == word).map(|(_, ok)| *ok);
                let stands = match found {
                    Some(stands) => stands,
                    None => {
                        let stands = self.word_stands(&word).await;
                        known.push((word, stands));
                        stands
                    }
                };
                let _ = tell.send(stands);
            }
            self.rt.sleep(FOLLOW_GAP_S).await;
        }
    }

    /// None: the store gave no word.
    async fn word_stands(&self, word: &Word) -> Option<bool> {
        let compare = Txn {
            conditions: vec![
                Condition {
                    key: key::leader(),
                    version: word.token,
                },
                Condition {
                    key: word.key.clone(),
                    version: word.version,
                },
            ],
            changes: Vec::new(),
        };
        match self.store.txn(&compare).await {
            TxnOutcome::Applied(revision) => {
                self.heard_state();
                self.reach(revision).await.then_some(true)
            }
            TxnOutcome::Conflict(_) => Some(false),
            TxnOutcome::Refused | TxnOutcome::TooLarge | TxnOutcome::Unknown => None,
        }
    }

    /// Tells the leader of tasks that completed where it can't see them.
    pub(super) async fn relay_duty(self: Rc<Self>) {
        let limit = (self.config.deployment.state.value_kb * 1024.0) as usize;
        loop {
            self.relay_work.take().await;
            let zones: Vec<String> = self.relays.borrow().keys().cloned().collect();
            for zone in zones {
                let taken = {
                    let mut relays = self.relays.borrow_mut();
                    let relay = relays.get_mut(&zone);
                    relay.map(|r| r.take(&zone, limit))
                };
                let tells = |r: &RelayRecord| !(r.jobs.is_empty() && r.sessions.is_empty());
                let Some(record) = taken.filter(tells) else {
                    continue;
                };
                if !self.write_relay(&record).await {
                    let mut relays = self.relays.borrow_mut();
                    let relay = relays.get_mut(&zone);
                    if let Some(relay) = relay.filter(|r| r.token == record.token) {
                        relay.give_back(record);
                    }
                }
                self.relay_work.set();
            }
            self.rt.sleep(self.config.deployment.workers.report_s).await;
        }
    }

    async fn write_relay(&self, record: &RelayRecord) -> bool {
        let Ok(value) = to_raw_value(record) else {
            return false;
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: key::leader(),
                version: record.token,
            }],
            changes: vec![Change::Put {
                key: key::relay(&self.config.node),
                value,
                lease: None,
            }],
        };
        // One that is too large is given up: it only saves time.
        let outcome = self.user_write(&txn).await;
        matches!(outcome, Some(TxnOutcome::Applied(_) | TxnOutcome::TooLarge))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;

    use crate::http::{Request, serve};
    use crate::node::tests::{LIMITS, answer};
    use crate::rt::{Rt, Scope};
    use crate::testing::{FakeWorker, job, types};
    use crate::wire::ReportTask;

    /// What the scripted store says when it is asked whether the leader's word stands.
    const ANSWERS: [(u16, &str); 3] = [
        (200, r#"{"Epoch":9}"#),
        (409, r#"{"failed":["x"],"Epoch":9}"#),
        (503, "{}"),
    ];

    /// The store's content: n1 leads, lets others answer in the south, and a job is cancelled.
    fn stored() -> String {
        let specs = ["j-1", "j-2"].map(|id| serde_json::to_string(&job(id, 2)).unwrap());
        let types = serde_json::to_string(&types()).unwrap();
        let word = r#"{"token":7,"zone":"south","over":false}"#;
        let keys = [
            (key::leader(), r#"{"host":"n1","incarnation":1}"#, 7),
            (key::stand_in(7, 1), word, 8),
            (key::job("j-1"), &specs[0], 2),
            (key::job("j-2"), &specs[1], 3),
            (key::end("j-2"), r#"{"end":"aborted","done":0}"#, 9),
            (key::types(), &types, 1),
        ];
        let pairs = keys.map(|(k, v, stamp)| format!(r#"{{"K":"{k}","V":{v},"Stamp":{stamp}}}"#));
        let pairs = pairs.join(",");
        format!(r#"{{"Pairs":[{pairs}],"Truncated":false,"Epoch":9}}"#)
    }

    /// A controller answers in the leader's name only if the store, asked after the report came,
    /// shows that it may: else a later leader would start elsewhere what still runs there. What is
    /// cancelled is stopped by the answer, as the worker's lease goes on.
    #[test]
    fn reports_are_answered_for_the_leader_only_while_its_word_stands() {
        let finished = Rc::new(Cell::new(false));
        let end = finished.clone();
        Rt::run::<calloop::Error>(move |rt| {
            let mut listener = rt.listen("127.0.0.1:0".parse().unwrap()).unwrap();
            let mut config = crate::config::tests::sample();
            config.services.state = listener.addr().unwrap();
            let asked = Rc::new(Cell::new(0));
            let (rt2, count) = (rt.clone(), asked.clone());
            let handler = Rc::new(move |request: Request| {
                let (rt, asked) = (rt2.clone(), count.clone());
                Box::pin(async move {
                    if request.path.starts_with("/keys?") {
                        return answer(200, stored());
                    }
                    if request.path == crate::wire::path::TXN {
                        let (status, body) = ANSWERS[asked.get()];
                        asked.set(asked.get() + 1);
                        return answer(status, body.into());
                    }
                    // A watch for what never comes.
                    rt.sleep(crate::node::WATCH_S).await;
                    answer(503, "{}".into())
                }) as _
            });
            let root = Scope::new(rt);
            root.spawn(serve(rt.clone(), listener, LIMITS, handler));
            let node = Rc::new(Node::new(rt, Rc::new(config)));
            root.spawn(node.clone().follow_duty());
            root.spawn(node.clone().word_duty());
            let rt = rt.clone();
            root.spawn(async move {
                while !node.loaded.get() {
                    node.moved.next().await;
                }
                let mut w = FakeWorker::new("i-1", "small", "south");
                let running = |task: &str| ReportTask {
                    task: task.into(),
                    attempt: 1,
                    state: TaskState::Running,
                    why: None,
                    saved: None,
                };
                w.report.tasks = vec![running("j-1/0"), running("j-2/0")];
                let ask = async |w: &mut FakeWorker| {
                    let body = serde_json::to_vec(&w.next()).unwrap();
                    node.report(&body).await
                };
                let told = ask(&mut w).await;
                assert_eq!(told.status, 200);
                let reply: ReportReply = serde_json::from_slice(&told.body).unwrap();
                let stop = Command::Stop {
                    task: "j-2/0".into(),
                    attempt: 1,
                    grace_s: 0.0,
                };
                assert_eq!((reply.token, reply.commands), (7, vec![stop]));
                assert_eq!(ask(&mut w).await.status, 421);
                assert_eq!(ask(&mut w).await.status, 503);
                // Nobody stands in elsewhere, nor under an older token than the worker has seen.
                w.report.zone = "north".into();
                assert_eq!(ask(&mut w).await.status, 421);
                (w.report.zone, w.report.token) = ("south".into(), 8);
                assert_eq!(ask(&mut w).await.status, 421);
                assert_eq!(asked.get(), 3);
                end.set(true);
                rt.stop();
            });
            Ok(root)
        })
        .unwrap();
        assert!(finished.get());
    }

    #[test]
    fn what_is_told_to_the_leader_fits_into_values_and_is_told_once() {
        let mut relay = Relay::new(7);
        let mut w = FakeWorker::new("i-1", "small", "south");
        w.report.token = 7;
        for task in 0..300 {
            let task = format!("j-{}/{}", task / 3, task % 3);
            let start = Command::Start {
                task: task.clone(),
                attempt: 4,
            };
            w.execute(7, &[start]);
            w.end(&task, Why::Done);
        }
        assert!(relay.note(&w.report) && !relay.note(&w.report));
        let mut told = 0;
        for part in 0.. {
            let record = relay.take("south", 2048);
            if record.jobs.is_empty() {
                break;
            }
            assert_eq!(record.sessions.is_empty(), part > 0);
            assert!(serde_json::to_string(&record).unwrap().len() <= 2048);
            let tasks = record.jobs.iter().flat_map(|j| &j.done);
            told += tasks.map(|(_, n)| n).sum::<u32>();
        }
        assert_eq!(told, 300);
    }
}
