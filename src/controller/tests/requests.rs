//! The controller's routines against scripted peers on loopback.

use std::cell::Cell;

use crate::controller::leading::leader_loop::ROUND_TRANSACTIONS_MAX;
use crate::controller::replication::WATCH_TIMEOUT_S;
use crate::controller::socket_budget::{RESERVED_SOCKETS, direct_commands_max};
use crate::controller::users::writes::USER_WRITES_MAX;
use crate::controller::workers::contacts::WorkerContact;
use crate::controller::*;
use crate::http::{Request, Response};
use crate::leadership::LeaderTerm;
use crate::peers::WorkerLocation;
use crate::protocol::users::JobState;
use crate::runtime::Signal;
use crate::store::keys;
use crate::test_support::{job, types};

pub(in crate::controller) const LIMITS: ServerLimits = ServerLimits {
    connections: 16,
    request_s: 5.0,
    idle_s: 60.0,
    evictable_idle_s: 30.0,
};

pub(in crate::controller) fn answer(status: u16, text: String) -> Response {
    Response {
        status,
        body: text.into_bytes(),
        retry_after: None,
    }
}

/// A state service on loopback that shows a job, and its end only to a watch that is answered after the store's
/// revision was read. During an outage it rejects reads of the revision.
fn scripted_store(runtime: &Runtime, outage: Rc<Cell<bool>>) -> (SocketAddr, Scope) {
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.addr().unwrap();
    let asked = Rc::new(Signal::default());
    let handler_runtime = runtime.clone();
    let handler = Rc::new(move |request: Request| {
        let (asked, runtime, outage) = (asked.clone(), handler_runtime.clone(), outage.clone());
        Box::pin(async move {
            let path = request.path;
            if outage.get() {
                return answer(503, "{}".into());
            }
            if path.starts_with("/keys?") {
                let spec = serde_json::to_string(&job("j-1", 1)).unwrap();
                let types = serde_json::to_string(&types()).unwrap();
                return answer(
                    200,
                    format!(
                        r#"{{"Pairs":[{{"K":"{}","V":{spec},"Stamp":4}},
                        {{"K":"{}","V":{types},"Stamp":5}}],"Truncated":false,"Epoch":5}}"#,
                        keys::job("j-1"),
                        keys::machine_types()
                    ),
                );
            }
            if path.ends_with(&keys::revision_probe()) {
                asked.set();
                return answer(404, r#"{"Epoch":7}"#.into());
            }
            if path.contains("After=5&") {
                asked.wait().await;
                return answer(
                    200,
                    format!(
                        r#"{{"Epoch":7,"News":[{{"Put":"{}","V":{{"end":"done","done":1}},"Stamp":7}}]}}"#,
                        keys::job_end("j-1")
                    ),
                );
            }
            // A watch that never gets a change.
            runtime.sleep(WATCH_TIMEOUT_S).await;
            answer(503, "{}".into())
        }) as _
    });
    let scope = Scope::new(runtime);
    scope.spawn(serve(runtime.clone(), listener, LIMITS, handler));
    (addr, scope)
}

/// 0.6 of the sockets were once reserved for workers and users: not enough for a far larger fleet.
#[test]
fn sockets_suffice_for_all_workers_and_for_own_connections() {
    for (sockets, workers) in [(2068, 1934), (3674, 3133), (1200, 600), (16, 7)] {
        let mut config = crate::config::tests::sample();
        config.peers = vec![config.peers[0].clone(); 4];
        config.deployment.limits.max_sockets = sockets;
        let front = front_sockets(&config);
        assert!(ServerLimits::connections_within(front) >= workers);
        let own = USER_WRITES_MAX + direct_commands_max(&config) + 4 * (peers::LINKS_PER_PEER + 1);
        assert!(sockets < 100 || front + own + RESERVED_SOCKETS <= sockets);
    }
}

/// All workers of a large fleet in one peer heartbeat once exceeded the size of a frame: the connections broke at
/// each.
#[test]
fn peer_heartbeats_rotate_through_a_large_fleet() {
    Runtime::run::<calloop::Error>(|runtime| {
        let node = Controller::new(runtime, Rc::new(crate::config::tests::sample()));
        for i in 0..600 {
            let worker = WorkerLocation {
                machine: format!("i-{i:06}"),
                zone: "north".into(),
                addr: "127.0.0.1:9".into(),
                agent_epoch: 1,
            };
            let seen = WorkerContact {
                heartbeat_at: node.now(),
                redirect: None,
                leader_unreachable_at: None,
                location: worker.clone(),
            };
            node.worker_contacts
                .by_machine
                .borrow_mut()
                .insert(worker.machine, seen);
        }
        let mut told = String::new();
        let mut all = std::collections::BTreeSet::new();
        for _ in 0..3 {
            let peer_heartbeat = node.peer_heartbeat(&mut told);
            assert!(peer_heartbeat.workers.len() <= peers::WORKERS_PER_HEARTBEAT);
            all.extend(
                peer_heartbeat
                    .workers
                    .into_iter()
                    .map(|worker| worker.machine),
            );
        }
        assert_eq!(all.len(), 600);
        runtime.stop();
        Ok(Scope::new(runtime))
    })
    .unwrap();
}

/// A process that crashed during its campaign may be elected after its end.
#[test]
fn the_lease_of_a_previous_incarnation_is_revoked() {
    let ended = Rc::new(Cell::new(false));
    let seen = ended.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut config = crate::config::tests::sample();
        config.services.state = listener.addr().unwrap();
        let record = crate::store::records::LeaderRecord {
            node: config.node.clone(),
            incarnation: 1,
        };
        let value = serde_json::to_string(&record).unwrap();
        let stored = format!(
            r#"{{"K":"{}","V":{value},"Stamp":9,"Permit":5}}"#,
            keys::leader()
        );
        let pair = stored.clone();
        let (handler_runtime, ended) = (runtime.clone(), ended.clone());
        let started = Rc::new(Cell::new(false));
        let handler = Rc::new(move |request: Request| {
            let (runtime, ended, started) =
                (handler_runtime.clone(), ended.clone(), started.clone());
            let (stored, pair) = (stored.clone(), pair.clone());
            Box::pin(async move {
                let path = request.path.as_str();
                if request.method == "DELETE" && path.ends_with("/5") {
                    ended.set(true);
                    runtime.stop();
                }
                if path.starts_with("/keys?") {
                    // There was no leader when this process started and read the store.
                    started.set(true);
                    return answer(200, r#"{"Pairs":[],"Truncated":false,"Epoch":5}"#.into());
                }
                if path.ends_with(&keys::leader()) {
                    return match started.get() {
                        true => answer(200, stored),
                        false => answer(404, r#"{"Epoch":4}"#.into()),
                    };
                }
                if path.contains("After=5&") {
                    let put = pair.replacen("\"K\"", "\"Put\"", 1);
                    return answer(200, format!(r#"{{"Epoch":9,"News":[{put}]}}"#));
                }
                runtime.sleep(WATCH_TIMEOUT_S).await;
                answer(503, "{}".into())
            }) as _
        });
        let root = Scope::new(runtime);
        root.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        let node = Rc::new(Controller::new(runtime, Rc::new(config)));
        root.spawn(node.clone().watch_state());
        root.spawn(node.clone().run_elections());
        Ok(root)
    })
    .unwrap();
    assert!(seen.get());
}

/// Partitioned from the state service and the other controllers, but not from workers and users.
#[test]
fn a_partitioned_controller_serves_nobody_and_names_no_new_leader() {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        // A state service that rejects everything.
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut config = crate::config::tests::sample();
        config.services.state = listener.addr().unwrap();
        let handler = Rc::new(|_| Box::pin(async { Response::retry_later(503, "no", 1) }) as _);
        let root = Scope::new(runtime);
        root.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        let node = Rc::new(Controller::new(runtime, Rc::new(config)));
        let runtime = runtime.clone();
        root.spawn(node.clone().serve_read_barriers());
        root.spawn(async move {
            // It was the leader; its lease is no longer trusted.
            node.replication.is_loaded.set(true);
            let host = node.config.node.clone();
            {
                let mut view = node.replication.replica.borrow_mut();
                view.machine_types = Some(Rc::new(types()));
                let incarnation = node.incarnation;
                let record = crate::store::records::LeaderRecord {
                    node: host,
                    incarnation,
                };
                view.leader = Some(crate::store::replica::Versioned {
                    record,
                    revision: 7,
                });
            }
            node.leadership.term.set(Some(LeaderTerm {
                fencing_token: 7,
                lease: 1,
                renewal_sent_at: f64::NEG_INFINITY,
            }));
            let mut worker = crate::test_support::FakeWorker::new("i-1", "small", "north");
            let heartbeat = serde_json::to_vec(&worker.next()).unwrap();
            let reply = node.handle_heartbeat(&heartbeat).await;
            assert_eq!(
                reply.status,
                503,
                "{}",
                String::from_utf8_lossy(&reply.body)
            );
            assert_eq!(node.readiness().status, 503);
            assert_eq!(node.query("j-1").await.status, 503);
            let asked = serde_json::to_vec(&job("j-1", 1)).unwrap();
            let answer = node.submit(&asked).await;
            assert_eq!(answer.status, 503);
            assert!(answer.retry_after.is_some());
            end.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}

fn status_of(answer: &Response) -> (u16, String) {
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let state = value["Status"].as_str().unwrap_or_default().to_owned();
    (answer.status, state)
}

/// A query at a follower right after another node answered `done` must not show an older state.
#[test]
fn a_follower_answers_no_older_than_the_query() {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let outage = Rc::new(Cell::new(false));
        let (addr, peers) = scripted_store(runtime, outage.clone());
        let mut config = crate::config::tests::sample();
        config.services.state = addr;
        let node = Rc::new(Controller::new(runtime, Rc::new(config)));
        let root = Scope::new(runtime);
        let runtime = runtime.clone();
        root.spawn(node.clone().watch_state());
        root.spawn(node.clone().serve_read_barriers());
        root.spawn(async move {
            let _peers = peers;
            while !node.replication.is_loaded.get() {
                node.replication.advanced.notified().await;
            }
            // The replica shows a queued job; no user is answered so.
            let seen = node.replication.replica.borrow().jobs["j-1"]
                .status("j-1")
                .state;
            assert_eq!(seen, JobState::Queued);
            assert_eq!(
                status_of(&node.query("j-1").await),
                (200, "done".to_owned())
            );
            assert_eq!(node.query("j-2").await.status, 404);
            let resubmitted = serde_json::to_vec(&job("j-1", 1)).unwrap();
            let again = node.submit(&resubmitted).await;
            assert_eq!(status_of(&again), (200, "done".to_owned()));
            // When the state service can't be asked, nothing but final states is answered.
            outage.set(true);
            assert_eq!(node.query("j-2").await.status, 503);
            assert_eq!(node.query("j-1").await.status, 200);
            // Once it can, all queries are answered again.
            outage.set(false);
            assert_eq!(node.query("j-2").await.status, 404);
            end.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}

/// Jobs that ended once kept a round writing for as long as more of them came: for ten seconds nothing was placed.
#[test]
fn a_leader_round_ends_however_much_there_is_to_write() {
    let written = Rc::new(Cell::new(0));
    let count = written.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut config = crate::config::tests::sample();
        config.services.state = listener.addr().unwrap();
        let state = &mut config.deployment.state;
        (state.rps, state.write_rps) = (1e6, 1e6);
        let handler = Rc::new(move |_: Request| {
            count.set(count.get() + 1);
            Box::pin(async { answer(200, r#"{"Epoch":300}"#.into()) }) as _
        });
        let root = Scope::new(runtime);
        root.spawn(serve(runtime.clone(), listener, LIMITS, handler));
        let mut store = crate::test_support::FakeStore::default();
        for i in 0..200 {
            store.submit(&job(&format!("j-{i}"), 1));
        }
        let mut leader = store.elect_with(config.clone(), "n0", runtime.now());
        leader.end_all();
        let node = Rc::new(Controller::new(runtime, Rc::new(config)));
        node.leadership.term.set(Some(LeaderTerm {
            fencing_token: leader.fencing_token,
            lease: 1,
            renewal_sent_at: f64::INFINITY,
        }));
        node.replication.record_current_at(f64::INFINITY);
        let fencing_token = leader.fencing_token;
        *node.leadership.leader.borrow_mut() = Some(leader);
        let runtime = runtime.clone();
        root.spawn(async move {
            node.write_leader_state(fencing_token).await;
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert_eq!(written.get(), ROUND_TRANSACTIONS_MAX);
}

/// Submissions are refused with 503 and `Retry-After` while the stored jobs take the controllers' memory; a job that is
/// known already is answered.
#[test]
fn a_submission_is_refused_at_once_when_the_controllers_have_no_memory_for_another_job() {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let outage = Rc::new(Cell::new(false));
        let (state, store_scope) = scripted_store(runtime, outage);
        let mut config = crate::config::tests::sample();
        config.services.state = state;
        config.deployment.limits.ram_mb = 0.1;
        let controller = Rc::new(Controller::new(runtime, Rc::new(config)));
        let scope = Scope::new(runtime);
        controller.start_routines(&scope);
        let runtime = runtime.clone();
        let check = Scope::new(&runtime);
        let runtime_to_stop = runtime.clone();
        check.spawn(async move {
            while !controller.replication.is_loaded.get() {
                runtime_to_stop.sleep(0.01).await;
            }
            let submit = |id| serde_json::to_vec(&job(id, 1)).unwrap();
            let refused = controller.submit(&submit("j-2")).await;
            assert_eq!((refused.status, refused.retry_after), (503, Some(10)));
            assert_eq!(controller.submit(&submit("j-1")).await.status, 200);
            drop((store_scope, scope));
            end.set(true);
            runtime_to_stop.stop();
        });
        Ok(check)
    })
    .unwrap();
    assert!(finished.get());
}
