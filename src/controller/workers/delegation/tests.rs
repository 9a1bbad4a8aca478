//! Tests of delegation.

use super::*;
use std::cell::Cell;

use crate::controller::tests::requests::{LIMITS, answer};
use crate::http::{Request, serve};
use crate::protocol::workers::{HeartbeatReply, TaskStatus};
use crate::runtime::{Runtime, Scope};
use crate::test_support::{FakeWorker, job, types};

/// The scripted store's answers to the successive checks of the delegation.
const CHECK_ANSWERS: [(u16, &str); 3] = [
    (200, r#"{"Epoch":9}"#),
    (409, r#"{"failed":["x"],"Epoch":9}"#),
    (503, "{}"),
];

/// The store's content: n1 leads and has delegated the zone south, and job j-2 is cancelled.
fn stored_keys() -> String {
    let specs = ["j-1", "j-2"].map(|id| serde_json::to_string(&job(id, 2)).unwrap());
    let types = serde_json::to_string(&types()).unwrap();
    let delegation = r#"{"token":7,"zone":"south","over":false}"#;
    let keys = [
        (keys::leader(), r#"{"host":"n1","incarnation":1}"#, 7),
        (keys::delegation(7, 1), delegation, 8),
        (keys::job("j-1"), &specs[0], 2),
        (keys::job("j-2"), &specs[1], 3),
        (keys::job_end("j-2"), r#"{"end":"aborted","done":0}"#, 9),
        (keys::machine_types(), &types, 1),
    ];
    let pairs = keys
        .map(|(key, value, revision)| format!(r#"{{"K":"{key}","V":{value},"Stamp":{revision}}}"#));
    let pairs = pairs.join(",");
    format!(r#"{{"Pairs":[{pairs}],"Truncated":false,"Epoch":9}}"#)
}

/// A delegate answers a heartbeat only if the store, read after the heartbeat arrived, shows that the delegation is in
/// force. Otherwise it could renew a lease that a later leader considers expired, and that leader would start tasks
/// elsewhere while they still run on the machine. As the answer renews the lease, it must carry stop commands for
/// cancelled jobs.
#[test]
fn heartbeats_are_answered_for_the_leader_only_while_its_delegation_is_in_force() {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut config = crate::config::tests::sample();
        config.services.state = listener.addr().unwrap();
        let checks = Rc::new(Cell::new(0));
        let (handler_runtime, handler_checks) = (runtime.clone(), checks.clone());
        let handler = Rc::new(move |request: Request| {
            let (runtime, checks) = (handler_runtime.clone(), handler_checks.clone());
            Box::pin(async move {
                if request.path.starts_with("/keys?") {
                    return answer(200, stored_keys());
                }
                if request.path == crate::protocol::paths::TXN {
                    let (status, body) = CHECK_ANSWERS[checks.get()];
                    checks.set(checks.get() + 1);
                    return answer(status, body.into());
                }
                // A watch that never gets a change.
                runtime
                    .sleep(crate::controller::replication::WATCH_TIMEOUT_S)
                    .await;
                answer(503, "{}".into())
            }) as _
        });
        let root = Scope::new(runtime);
        root.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        let node = Rc::new(Controller::new(runtime, Rc::new(config)));
        root.spawn(node.clone().watch_state());
        root.spawn(node.clone().check_delegations());
        let runtime = runtime.clone();
        root.spawn(async move {
            while !node.replication.is_loaded.get() {
                node.replication.advanced.notified().await;
            }
            let mut worker = FakeWorker::new("i-1", "small", "south");
            let running = |task: &str| TaskStatus {
                task: task.into(),
                attempt: 1,
                state: TaskState::Running,
                exit_reason: None,
                saved: None,
            };
            worker.heartbeat.tasks = vec![running("j-1/0"), running("j-2/0")];
            let send_heartbeat = async |worker: &mut FakeWorker| {
                let body = serde_json::to_vec(&worker.next()).unwrap();
                node.handle_heartbeat(&body).await
            };
            let answer = send_heartbeat(&mut worker).await;
            assert_eq!(answer.status, 200);
            let reply: HeartbeatReply = serde_json::from_slice(&answer.body).unwrap();
            let stop = Command::Stop {
                task: "j-2/0".into(),
                attempt: 1,
                grace_s: 0.0,
            };
            assert_eq!((reply.fencing_token, reply.commands), (7, vec![stop]));
            assert_eq!(send_heartbeat(&mut worker).await.status, 421);
            assert_eq!(send_heartbeat(&mut worker).await.status, 503);
            // A delegate answers neither a worker in a zone without a delegation nor a worker that has seen a higher
            // fencing token. It does not ask the store in these cases.
            worker.heartbeat.zone = "north".into();
            assert_eq!(send_heartbeat(&mut worker).await.status, 421);
            (worker.heartbeat.zone, worker.heartbeat.fencing_token) = ("south".into(), 8);
            assert_eq!(send_heartbeat(&mut worker).await.status, 421);
            assert_eq!(checks.get(), 3);
            end.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}
