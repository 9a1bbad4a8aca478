//! Tests of delegation.

use super::*;
use std::cell::Cell;

use crate::controller::tests::requests::{LIMITS, answer};
use crate::http::{Request, serve};
use crate::protocol::workers::{HeartbeatReply, TaskStatus};
use crate::runtime::{Runtime, Scope};
use crate::test_support::{FakeWorker, job, types};

/// What the scripted store says when it is asked whether the delegation is in force.
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
        (keys::leader(), r#"{"host":"n1","incarnation":1}"#, 7),
        (keys::delegation(7, 1), word, 8),
        (keys::job("j-1"), &specs[0], 2),
        (keys::job("j-2"), &specs[1], 3),
        (keys::job_end("j-2"), r#"{"end":"aborted","done":0}"#, 9),
        (keys::machine_types(), &types, 1),
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
    Runtime::run::<calloop::Error>(move |runtime| {
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut config = crate::config::tests::sample();
        config.services.state = listener.addr().unwrap();
        let asked = Rc::new(Cell::new(0));
        let (handler_runtime, count) = (runtime.clone(), asked.clone());
        let handler = Rc::new(move |request: Request| {
            let (runtime, asked) = (handler_runtime.clone(), count.clone());
            Box::pin(async move {
                if request.path.starts_with("/keys?") {
                    return answer(200, stored());
                }
                if request.path == crate::protocol::paths::TXN {
                    let (status, body) = ANSWERS[asked.get()];
                    asked.set(asked.get() + 1);
                    return answer(status, body.into());
                }
                // A watch for what never comes.
                runtime.sleep(crate::controller::replication::WATCH_S).await;
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
            let mut w = FakeWorker::new("i-1", "small", "south");
            let running = |task: &str| TaskStatus {
                task: task.into(),
                attempt: 1,
                state: TaskState::Running,
                exit_reason: None,
                saved: None,
            };
            w.heartbeat.tasks = vec![running("j-1/0"), running("j-2/0")];
            let ask = async |w: &mut FakeWorker| {
                let body = serde_json::to_vec(&w.next()).unwrap();
                node.handle_heartbeat(&body).await
            };
            let told = ask(&mut w).await;
            assert_eq!(told.status, 200);
            let reply: HeartbeatReply = serde_json::from_slice(&told.body).unwrap();
            let stop = Command::Stop {
                task: "j-2/0".into(),
                attempt: 1,
                grace_s: 0.0,
            };
            assert_eq!((reply.fencing_token, reply.commands), (7, vec![stop]));
            assert_eq!(ask(&mut w).await.status, 421);
            assert_eq!(ask(&mut w).await.status, 503);
            // Nobody stands in elsewhere, nor under an older token than the worker has seen.
            w.heartbeat.zone = "north".into();
            assert_eq!(ask(&mut w).await.status, 421);
            (w.heartbeat.zone, w.heartbeat.fencing_token) = ("south".into(), 8);
            assert_eq!(ask(&mut w).await.status, 421);
            assert_eq!(asked.get(), 3);
            end.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}
