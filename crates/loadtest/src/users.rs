//! Users that submit and cancel jobs at all controllers at the same time.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Sender};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::RngExt;

use crate::http::call;

const CALL: Duration = Duration::from_secs(5);
/// Longest latency recorded, in microseconds.
const LATENCY_MAX_US: u64 = 10_000_000;
const DIGITS: u8 = 3;

/// What users do.
pub struct Plan {
    /// Where the controllers are.
    pub fronts: Vec<SocketAddr>,
    /// Teams in whose name jobs are submitted.
    pub teams: Vec<String>,
    /// How many users there are at a time.
    pub users: usize,
    /// Jobs submitted in all.
    pub jobs: u64,
    /// Probability that an accepted job is cancelled right after.
    pub cancelled: f64,
    /// How long a user waits who was refused.
    pub pause: Duration,
    /// The first id.
    pub first_id: u64,
}

/// What users were told.
pub struct Told {
    /// Answers by status; 0: none.
    pub statuses: Mutex<std::collections::BTreeMap<u16, u64>>,
    /// What was said with answers other than 200 and 201.
    pub reasons: Mutex<std::collections::BTreeMap<String, u64>>,
    /// Latencies of submissions in microseconds.
    pub latencies: Mutex<Histogram<u64>>,
}

impl Told {
    fn new() -> Self {
        let histogram = Histogram::new_with_max(LATENCY_MAX_US, DIGITS);
        Told {
            statuses: Mutex::default(),
            reasons: Mutex::default(),
            latencies: Mutex::new(histogram.expect("bounds that are constant and valid")),
        }
    }

    fn note(&self, status: u16, body: String, took: Duration) {
        if !matches!(status, 200 | 201) {
            let mut reasons = self.reasons.lock().expect("no user panics");
            *reasons.entry(format!("{status} {body}")).or_default() += 1;
        }
        let mut statuses = self.statuses.lock().expect("no user panics");
        *statuses.entry(status).or_default() += 1;
        let mut latencies = self.latencies.lock().expect("no user panics");
        latencies.saturating_record(took.as_micros() as u64);
    }

    /// How many answers had a status.
    pub fn count(&self, status: u16) -> u64 {
        let statuses = self.statuses.lock().expect("no user panics");
        statuses.get(&status).copied().unwrap_or(0)
    }
}

/// A job of one task of two CPUs.
pub fn submission(id: &str, team: &str) -> String {
    format!(
        r#"{{"Uid":"{id}","Jobclass":"load","Crew":"{team}","Shape":"batch","Urgency":"normal","Legs":1,
        "Cores":2.0,"Gpus":0.0,"MemoryGb":4.0,"Bundle":"img","ImageGb":0.5,"Together":false,"Apart":false,
        "Loaner":true,"ExpectedS":30.0,"WaypointS":0.0,"StashS":0.0}}"#
    )
}

/// Lets the users do all that; `between` is called after each submission, with its number.
pub fn play(plan: &Plan, mut between: impl FnMut(u64)) -> Told {
    let told = Told::new();
    let next = AtomicU64::new(0);
    let (progress, submitted) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..plan.users {
            let progress = progress.clone();
            scope.spawn(|| submit_all(plan, &next, &told, progress));
        }
        drop(progress);
        for number in submitted {
            between(number);
        }
    });
    told
}

fn submit_all(plan: &Plan, next: &AtomicU64, told: &Told, progress: Sender<u64>) {
    let mut rng = rand::rng();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= plan.jobs {
            return;
        }
        let id = format!("j-{}", plan.first_id + number);
        let team = &plan.teams[number as usize % plan.teams.len()];
        let front = plan.fronts[rng.random_range(0..plan.fronts.len())];
        let began = Instant::now();
        let body = submission(&id, team);
        let answer = call(front, "POST", "/v1/jobs", &body, CALL);
        let (status, said) = answer.unwrap_or_else(|e| (0, e.kind().to_string()));
        told.note(status, said, began.elapsed());
        // Nobody listens once the run is given up.
        let _ = progress.send(number);
        if !matches!(status, 200 | 201) {
            std::thread::sleep(plan.pause);
        }
        if status == 201 && rng.random_bool(plan.cancelled) {
            let path = format!("/v1/jobs/{id}/withdraw");
            // One that is not confirmed goes on, as a user's would who gives up.
            let _ = call(front, "POST", &path, "", CALL);
        }
    }
}
