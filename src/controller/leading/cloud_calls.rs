//! Calls to the cloud: those of the leader, one at a time, and those that any controller makes for the machine types.

use std::rc::Rc;

use futures_util::future::select;

use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::config::Config;
use crate::controller::{ANSWER_BYTES_MAX, Controller};
use crate::http::{CallError, Client};
use crate::protocol::cloud::{MachineList, MachineNames, MachineTypes};
use crate::protocol::json::from_object;
use crate::protocol::paths;
use crate::runtime::{Runtime, TokenBucket};

/// Time limit of a call to the cloud, in seconds.
const CALL_TIMEOUT_S: f64 = 5.0;
/// Share of the cloud's rate limit that a controller uses.
const CLOUD_RATE_SHARE: f64 = 0.85;

/// A client of the cloud's API that stays within the cloud's rate limit.
pub(crate) struct CloudApi {
    /// Clock and timers.
    runtime: Runtime,
    /// The HTTP client of the cloud.
    client: Client,
    /// Delays calls to stay within the cloud's rate limit.
    rate_limit: TokenBucket,
}

impl CloudApi {
    /// A client of the cloud at the address in the settings.
    pub fn new(runtime: &Runtime, config: &Config) -> Self {
        let rps = config.deployment.cloud.rps;
        CloudApi {
            runtime: runtime.clone(),
            client: Client::new(runtime, config.services.cloud, ANSWER_BYTES_MAX),
            rate_limit: TokenBucket::new(rps * CLOUD_RATE_SHARE, rps),
        }
    }

    /// Makes a call as soon as the rate limit allows it.
    pub async fn call(&self, call: &CloudCall) -> CloudAnswer {
        let wait_s = self.rate_limit.acquire(1.0, self.runtime.now());
        self.runtime.sleep(wait_s).await;
        let (method, path, body) = http_request(call);
        let response = self
            .client
            .call(method, &path, body.as_deref(), CALL_TIMEOUT_S)
            .await;
        parse_response(call, &path, response)
    }
}

impl Controller {
    /// Makes the calls to the cloud that the leader requests.
    pub(crate) async fn call_cloud(self: Rc<Self>) {
        let pause_s = self.fleet_interval_s() * 2.0;
        loop {
            let now = self.now();
            let call = self
                .trusted_fencing_token()
                .and_then(|token| self.with_leader(token, |leader| leader.next_cloud_call(now)))
                .flatten();
            let Some(call) = call else {
                let due = std::pin::pin!(self.leadership.cloud_calls_due.take());
                select(due, self.runtime.sleep(pause_s)).await;
                continue;
            };
            let Some(fencing_token) = self.trusted_fencing_token() else {
                continue;
            };
            let answer = self.cloud.call(&call).await;
            let has_failed = matches!(answer, CloudAnswer::Failed);
            let now = self.now();
            // The answer is recorded even if the term is not trusted at this moment: it shows what the cloud did.
            self.leadership
                .with_leader_of_term(fencing_token, |leader| {
                    leader.on_cloud_answer(call, answer, now);
                });
            self.leadership.round_due.set();
            if has_failed {
                self.runtime.sleep(pause_s).await;
            }
        }
    }
}

/// The HTTP method, path and body of a call.
fn http_request(call: &CloudCall) -> (&'static str, String, Option<Vec<u8>>) {
    match call {
        CloudCall::MachineTypes => ("GET", paths::MACHINE_TYPES.to_owned(), None),
        CloudCall::List { after } if after.is_empty() => {
            ("GET", format!("{}?Limit=500", paths::MACHINES), None)
        }
        CloudCall::List { after } => (
            "GET",
            format!("{}?After={after}&Limit=500", paths::MACHINES),
            None,
        ),
        CloudCall::Rent(rent, _) => (
            "POST",
            paths::MACHINES.to_owned(),
            serde_json::to_vec(rent).ok(),
        ),
        CloudCall::Delete(names) => (
            "POST",
            paths::MACHINES_DELETE.to_owned(),
            serde_json::to_vec(&MachineNames {
                machines: names.clone(),
            })
            .ok(),
        ),
    }
}

/// Interprets the HTTP status and body of the response to a call, or the error of a call without a response.
fn parse_response(
    call: &CloudCall,
    path: &str,
    response: Result<(u16, Vec<u8>), CallError>,
) -> CloudAnswer {
    match (call, response) {
        (CloudCall::MachineTypes, Ok((200, body))) => match from_object::<MachineTypes>(&body) {
            Ok(list) if !list.types.is_empty() => CloudAnswer::MachineTypes(list.types),
            _ => CloudAnswer::Failed,
        },
        (CloudCall::List { .. }, Ok((200, body))) => match from_object::<MachineList>(&body) {
            Ok(list) => CloudAnswer::List(list.machines, list.truncated),
            Err(_) => CloudAnswer::Failed,
        },
        (CloudCall::Rent(..), Ok((200, body))) => match from_object::<MachineNames>(&body) {
            Ok(names) => CloudAnswer::Rented(names.machines),
            Err(_) => CloudAnswer::Failed,
        },
        (CloudCall::Rent(..), Ok((503, body))) if contains(&body, b"no capacity") => {
            CloudAnswer::NoCapacity
        }
        (CloudCall::Rent(rent, _), Ok((400, _))) => {
            // Handled like missing capacity: other pools are tried instead of sending the same request again.
            tracing::warn!(?rent, "the cloud rejected a request as malformed");
            CloudAnswer::NoCapacity
        }
        (CloudCall::Delete(_), Ok((200, _))) => CloudAnswer::Deleted,
        (_, Ok((status, _))) => {
            tracing::debug!(
                status,
                path,
                "the cloud answered a call with an unexpected status"
            );
            CloudAnswer::Failed
        }
        (_, Err(error)) => {
            tracing::debug!(%error, path, "call to the cloud failed");
            CloudAnswer::Failed
        }
    }
}

/// Whether `haystack` contains `needle`, which must not be empty.
fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
