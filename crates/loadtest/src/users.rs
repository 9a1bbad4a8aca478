//! Concurrent users that submit jobs to randomly chosen controllers and cancel some of them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Sender};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::RngExt;

use crate::http::send_request;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of recorded latencies in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 10_000_000;
/// Precision of the recorded latencies in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The submissions of a run and the users that make them.
pub struct Workload {
    /// Addresses on which the controllers serve users; each submission goes to a random one.
    pub user_addresses: Vec<SocketAddr>,
    /// Teams to which the jobs are assigned in round-robin order.
    pub teams: Vec<String>,
    /// Number of concurrent users.
    pub users: usize,
    /// Total number of jobs that the users submit.
    pub jobs: u64,
    /// Probability that an accepted job is cancelled right after its submission.
    pub cancel_probability: f64,
    /// Pause of a user between a submission that was not accepted and the next one.
    pub rejection_pause: Duration,
    /// Number in the id of the first job; later jobs have consecutive numbers.
    pub first_id: u64,
}

/// Statistics of the responses to all submissions.
pub struct UserResponses {
    /// Number of submissions by response status; 0 stands for no response.
    pub status_counts: Mutex<std::collections::BTreeMap<u16, u64>>,
    /// Number of submissions by status and body (or kind of I/O error), except those with status 200 or 201.
    pub error_counts: Mutex<std::collections::BTreeMap<String, u64>>,
    /// Latencies of all submissions in microseconds, including those without a response.
    pub latencies: Mutex<Histogram<u64>>,
}

impl UserResponses {
    fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        UserResponses {
            status_counts: Mutex::default(),
            error_counts: Mutex::default(),
            latencies: Mutex::new(histogram.expect("constant histogram bounds are valid")),
        }
    }

    fn record(&self, status: u16, body: String, latency: Duration) {
        if !matches!(status, 200 | 201) {
            let mut error_counts = self.error_counts.lock().expect("no user thread panics");
            *error_counts.entry(format!("{status} {body}")).or_default() += 1;
        }
        let mut status_counts = self.status_counts.lock().expect("no user thread panics");
        *status_counts.entry(status).or_default() += 1;
        let mut latencies = self.latencies.lock().expect("no user thread panics");
        latencies.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the number of submissions with a response status; 0 stands for no response.
    pub fn count(&self, status: u16) -> u64 {
        let status_counts = self.status_counts.lock().expect("no user thread panics");
        status_counts.get(&status).copied().unwrap_or(0)
    }
}

/// Returns the JSON body that submits a job with one task of two CPUs.
pub fn submission(id: &str, team: &str) -> String {
    format!(
        r#"{{"Uid":"{id}","Jobclass":"load","Crew":"{team}","Shape":"batch","Urgency":"normal","Legs":1,
        "Cores":2.0,"Gpus":0.0,"MemoryGb":4.0,"Bundle":"img","ImageGb":0.5,"Together":false,"Apart":false,
        "Loaner":true,"ExpectedS":30.0,"WaypointS":0.0,"StashS":0.0}}"#
    )
}

/// Runs the users until all jobs are submitted. `after_submission` runs on the calling thread after each submission,
/// with the number of the job counted from 0.
pub fn run_users(workload: &Workload, mut after_submission: impl FnMut(u64)) -> UserResponses {
    let responses = UserResponses::new();
    let next_number = AtomicU64::new(0);
    let (submitted, submitted_numbers) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..workload.users {
            let submitted = submitted.clone();
            scope.spawn(|| submit_jobs(workload, &next_number, &responses, submitted));
        }
        drop(submitted);
        for number in submitted_numbers {
            after_submission(number);
        }
    });
    responses
}

/// Runs one user: takes the next job number and submits the job until no numbers are left.
fn submit_jobs(
    workload: &Workload,
    next_number: &AtomicU64,
    responses: &UserResponses,
    submitted: Sender<u64>,
) {
    let mut rng = rand::rng();
    loop {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        if number >= workload.jobs {
            return;
        }
        let id = format!("j-{}", workload.first_id + number);
        let team = &workload.teams[number as usize % workload.teams.len()];
        let address = workload.user_addresses[rng.random_range(0..workload.user_addresses.len())];
        let started_at = Instant::now();
        let body = submission(&id, team);
        let response = send_request(address, "POST", "/v1/jobs", &body, REQUEST_TIMEOUT);
        let (status, body) = response.unwrap_or_else(|e| (0, e.kind().to_string()));
        responses.record(status, body, started_at.elapsed());
        // Sending fails only if the run was aborted and the receiver dropped.
        let _ = submitted.send(number);
        if !matches!(status, 200 | 201) {
            std::thread::sleep(workload.rejection_pause);
        }
        if status == 201 && rng.random_bool(workload.cancel_probability) {
            let path = format!("/v1/jobs/{id}/withdraw");
            // A failed cancellation is not retried: it stands for a user who gives up.
            let _ = send_request(address, "POST", &path, "", REQUEST_TIMEOUT);
        }
    }
}
