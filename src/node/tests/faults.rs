//! Two troubles at once, each brought about in its order, against whole controllers in memory. What guards
//! against each is told in docs/design.md.

use std::rc::Rc;

use futures_util::future::join_all;
use serde_json::value::to_raw_value;

use super::world::{NODES, Worker, World, play};
use crate::config::Config;
use crate::testing::job;
use crate::view::{End, EndRecord, key};
use crate::wire::{Change, JobState, Kind, Priority, ReportTask, Submission, TaskState, Txn};

/// A job whose tasks run for so long.
fn running(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        estimate_s: run_s,
        ..job(id, tasks)
    }
}

/// One of the team that has a limit.
fn limited(id: &str, tasks: u32, run_s: f64) -> Submission {
    Submission {
        team: "red".into(),
        ..running(id, tasks, run_s)
    }
}

fn plain(_: &mut Config) {}

/// Machines in turn in the zones, and controllers led by the first.
async fn begin(w: &Rc<World>, machines: usize) {
    for i in 0..machines {
        w.boot(["north", "south"][i % 2]);
    }
    w.start_led_by(0).await;
}

/// Submits a job and lets all its tasks start.
async fn runs(w: &Rc<World>, spec: &Submission) {
    w.submit_surely(1, spec).await;
    let all = spec.tasks as usize;
    w.until("running", 30.0, || w.live(&spec.id) == all).await;
}

async fn another_leads(w: &World, than: usize) -> usize {
    let other = || w.leader().filter(|l| *l != than);
    w.until("led by another", 60.0, || other().is_some()).await;
    other().unwrap()
}

/// A worker that has tasks of a job.
fn holder(w: &World, id: &str) -> Rc<Worker> {
    let all = w.all_workers();
    all.into_iter().find(|k| !k.live_of(id).is_empty()).unwrap()
}

// ---- cancellations that the leader does not hear of

/// The state service refuses the leader alone, a cancellation is told by another controller, then the service
/// is out for longer than `cancel_s` while the workers report to the old leader all along.
#[test]
fn a_cancellation_that_the_refused_leader_never_sees_ends_its_tasks_in_time() {
    for slow_s in [0.0, 0.2] {
        play(plain, async move |w: Rc<World>| {
            begin(&w, 4).await;
            runs(&w, &running("j-1", 8, 400.0)).await;
            runs(&w, &running("j-2", 4, 30.0)).await;
            for line in &w.state.lines {
                line.slow_s.set(slow_s);
            }
            w.state.refuse(0, 14.0);
            w.run(1.0).await;
            assert_eq!(w.cancel_surely(1, "j-1").await, JobState::Cancelled);
            w.run(0.5).await;
            let out_s = w.config.deployment.workers.cancel_s + 20.0;
            w.state.outage(out_s);
            for _ in 0..15 {
                w.run(out_s / 15.0).await;
                w.look_closely("j-1").await;
                w.look_closely("j-2").await;
            }
            w.run(5.0).await;
            assert_eq!(w.live("j-1"), 0);
            w.see_the_end(200.0).await;
        });
    }
}

/// The leader's lease is renewed all along, but its watch shows nothing any more.
#[test]
fn a_leader_whose_watch_stalls_does_not_keep_cancelled_tasks() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        runs(&w, &running("j-1", 8, 400.0)).await;
        w.state.lines[0].stalled_until.set(w.now() + 200.0);
        w.run(0.5).await;
        assert_eq!(w.cancel_surely(1, "j-1").await, JobState::Cancelled);
        // It gives no answers that rest on what it can't know, and makes way.
        w.run(w.config.leader_life_s()).await;
        assert!(!w.acts(0));
        another_leads(&w, 0).await;
        w.run(w.config.deployment.workers.cancel_s).await;
        assert_eq!(w.live("j-1"), 0);
        w.see_the_end(100.0).await;
    });
}

/// A leader is cut from the state service and the other controllers while workers and users still reach it.
#[test]
fn a_leader_cut_off_from_all_but_workers_and_users_does_no_harm() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        runs(&w, &running("j-1", 6, 400.0)).await;
        runs(&w, &running("j-2", 4, 60.0)).await;
        w.state.refuse(0, 120.0);
        let next = another_leads(&w, 0).await;
        assert!(!w.acts(0));
        assert_eq!(w.cancel_surely(next, "j-1").await, JobState::Cancelled);
        for _ in 0..20 {
            w.look_closely("j-1").await;
            w.look_closely("j-2").await;
            w.run(3.0).await;
        }
        assert_eq!(w.live("j-1"), 0);
        w.see_the_end(200.0).await;
    });
}

/// Jobs are cancelled in the seconds in which the lead changes hands, by a crash and by giving it up.
#[test]
fn cancellations_while_the_lead_changes_hands_hold() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 6).await;
        let ids: Vec<String> = (1..=8).map(|i| format!("j-{i}")).collect();
        for id in &ids {
            runs(&w, &running(id, 2, 300.0)).await;
        }
        w.node(0).unwrap().resign.set();
        for id in &ids[..4] {
            w.run(0.3).await;
            w.cancel_surely(1, id).await;
        }
        let next = another_leads(&w, 0).await;
        w.kill(next);
        let live = (next + 1) % NODES;
        for id in &ids[4..] {
            w.run(0.8).await;
            w.cancel_surely(live, id).await;
        }
        w.start(next);
        w.run(w.config.deployment.workers.cancel_s + 5.0).await;
        assert!(ids.iter().all(|id| w.live(id) == 0));
        w.see_the_end(60.0).await;
    });
}

/// Work that is to start at once is launched directly.
fn direct(config: &mut Config) {
    config.deployment.objectives[0].kind = crate::config::ObjectiveKind::Wait;
    config.deployment.objectives[0].within_s = Some(1.0);
}

/// Between the round that makes a direct launch and the connection on which it goes out, its job is cancelled and
/// the leader knows that.
#[test]
fn nothing_starts_of_a_job_whose_cancellation_is_known() {
    play(direct, async |w: Rc<World>| {
        begin(&w, 4).await;
        w.run(6.0).await;
        for k in w.all_workers() {
            let at = k.fake.borrow().report.addr.parse().unwrap();
            w.rt.slow_connections(at, 0.6);
        }
        for i in 0..10 {
            let id = format!("j-{i}");
            w.submit_surely(0, &running(&id, 4, 20.0)).await;
            w.run(0.3).await;
            w.cancel_surely(0, &id).await;
            w.run(4.0).await;
        }
        w.see_the_end(60.0).await;
        assert_eq!(*w.checks.late_starts.borrow(), Vec::<String>::new());
    });
}

// ---- limits and places under troubles

/// Every team at its limit, jobs cancelled whose machines are cut off or hang, and the leader changes: by one
/// that has read the store anew, in which a job's end comes before the job.
#[test]
fn cancelled_tasks_count_until_they_are_off_whoever_leads() {
    for back_at_once in [false, true] {
        play(plain, async move |w: Rc<World>| {
            begin(&w, 8).await;
            runs(&w, &limited("j-1", 20, 300.0)).await;
            w.submit_surely(1, &limited("j-2", 20, 20.0)).await;
            w.run(3.0).await;
            assert_eq!(w.live("j-2"), 0);
            let stuck: Vec<_> = w.all_workers().into_iter().take(3).collect();
            for k in &stuck {
                k.hangs_until.set(w.now() + 15.0);
            }
            stuck[0].mute_until.set(w.now() + 60.0);
            w.run(0.3).await;
            assert_eq!(w.cancel_surely(1, "j-1").await, JobState::Cancelled);
            w.run(1.0).await;
            if back_at_once {
                // Only processes that read the store anew can lead.
                for at in 0..NODES {
                    w.kill(at);
                }
                w.run(0.2).await;
                for at in 0..NODES {
                    w.start(at);
                }
                w.until("led", 30.0, || w.leader().is_some()).await;
            } else {
                w.kill(0);
                another_leads(&w, 0).await;
                w.start(0);
            }
            w.see_the_end(300.0).await;
        });
    }
}

/// A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation
/// falls into that spell.
#[test]
fn a_limit_holds_while_machines_cannot_be_asked() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 8).await;
        runs(&w, &limited("j-1", 10, 60.0)).await;
        runs(&w, &limited("j-2", 10, 300.0)).await;
        w.submit_surely(1, &limited("j-3", 20, 20.0)).await;
        let asked: Vec<_> = w.all_workers().into_iter().take(4).collect();
        for (i, k) in asked.iter().enumerate() {
            let until = w.now() + 30.0;
            if i % 2 == 0 {
                k.deaf_until.set(until);
            } else {
                k.mute_until.set(until);
                k.commands_held_until.set(until);
            }
        }
        w.kill(0);
        w.run(1.0).await;
        assert_eq!(w.cancel_surely(1, "j-2").await, JobState::Cancelled);
        another_leads(&w, 0).await;
        w.run(3.0).await;
        w.start(0);
        w.see_the_end(400.0).await;
    });
}

/// Jobs bound to one zone, by name or by their tasks, arrays too, lose machines that still run them.
#[test]
fn jobs_of_one_zone_that_lose_machines_stay_there() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 8).await;
        let mut named = running("j-1", 6, 30.0);
        named.zone = Some("south".into());
        let mut together = running("j-2", 6, 30.0);
        together.one_zone = true;
        let mut spread = running("j-3", 4, 30.0);
        spread.spread = true;
        for spec in [&named, &together, &spread] {
            runs(&w, spec).await;
        }
        let lost = holder(&w, "j-1");
        w.remove(&lost.name);
        let hangs = holder(&w, "j-2");
        hangs.hangs_until.set(w.now() + 18.0);
        let mute = holder(&w, "j-3");
        mute.mute_until.set(w.now() + 60.0);
        w.kill(0);
        w.run(10.0).await;
        w.start(0);
        w.see_the_end(300.0).await;
    });
}

/// More work than room, urgent and not, while the state service is slow.
#[test]
fn a_crowd_over_slow_links_is_all_served() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for line in &w.state.lines {
            line.slow_s.set(0.25);
        }
        for i in 0..12 {
            let mut spec = running(&format!("j-{i}"), 12, 8.0);
            spec.priority = [Priority::High, Priority::Normal, Priority::Low][i % 3];
            w.submit_surely(i % NODES, &spec).await;
        }
        w.see_the_end(500.0).await;
    });
}

// ---- changes of leader

/// Jobs of two or three tasks end far apart across a change of leader.
#[test]
fn tasks_that_end_far_apart_across_leaders_are_all_counted_once() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        w.checks.apart_s.set(12.0);
        for i in 0..4 {
            runs(&w, &running(&format!("j-{i}"), 2 + i % 2, 6.0)).await;
        }
        w.run(4.0).await;
        let mut leader = 0;
        for _ in 0..3 {
            w.kill(leader);
            let next = another_leads(&w, leader).await;
            w.start(leader);
            leader = next;
            w.run(5.0).await;
        }
        let starts = w.checks.starts.get();
        w.see_the_end(200.0).await;
        // What was done is not done again.
        assert_eq!((starts, w.checks.starts.get()), (10, 10));
    });
}

/// Controllers hand over and back, all end, and one returns within a second.
#[test]
fn leaders_that_hand_over_and_back_and_all_end_lose_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        runs(&w, &running("j-1", 8, 40.0)).await;
        w.submit_surely(2, &running("j-2", 8, 10.0)).await;
        let mut leader = 0;
        for _ in 0..2 {
            w.node(leader).unwrap().resign.set();
            leader = another_leads(&w, leader).await;
            w.run(1.0).await;
        }
        for at in 0..NODES {
            w.kill(at);
        }
        w.run(0.4).await;
        w.start(leader);
        w.until("led", 20.0, || w.acts(leader)).await;
        w.kill(leader);
        w.run(0.1).await;
        w.start(leader);
        w.run(6.0).await;
        for at in (0..NODES).filter(|at| *at != leader) {
            w.start(at);
        }
        w.see_the_end(200.0).await;
    });
}

/// Leaders change ten times in two minutes, also inside an outage.
#[test]
fn ten_leaders_in_two_minutes_lose_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 6).await;
        for i in 0..6 {
            w.submit_surely(1, &running(&format!("j-{i}"), 6, 25.0))
                .await;
        }
        let mut cancelled = 0;
        for turn in 0..10 {
            w.run(6.0).await;
            if turn == 4 {
                w.state.outage(12.0);
            }
            let Some(leader) = w.leader().or(Some(turn % NODES)) else {
                continue;
            };
            w.kill(leader);
            w.run([0.2, 2.0, 5.0][turn % 3]).await;
            w.start(leader);
            if turn % 4 == 3 {
                let id = format!("j-{cancelled}");
                cancelled += 1;
                w.cancel(turn % NODES, &id).await;
            }
        }
        w.see_the_end(300.0).await;
    });
}

/// All controllers are away for longer than the workers' lease.
#[test]
fn all_controllers_away_for_longer_than_a_lease_forget_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        runs(&w, &running("j-1", 8, 300.0)).await;
        runs(&w, &limited("j-2", 4, 15.0)).await;
        w.run(13.0).await;
        for at in 0..NODES {
            w.kill(at);
        }
        w.run(w.config.deployment.workers.lease_s + 8.0).await;
        for at in 0..NODES {
            w.start(at);
        }
        w.until("led", 20.0, || w.leader().is_some()).await;
        w.cancel_surely(1, "j-1").await;
        w.see_the_end(200.0).await;
    });
}

/// The leader ends while machines with long tasks can't be reached, or don't hear the new leader's answers.
#[test]
fn long_tasks_on_machines_that_the_new_leader_does_not_reach_run_once() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 6).await;
        runs(&w, &running("j-1", 12, 60.0)).await;
        let all = w.all_workers();
        let until = w.now() + 45.0;
        all[0].deaf_until.set(until);
        all[1].mute_until.set(until);
        all[1].commands_held_until.set(until);
        all[2].mute_until.set(until);
        all[3].hangs_until.set(w.now() + 12.0);
        w.kill(0);
        another_leads(&w, 0).await;
        w.run(20.0).await;
        w.start(0);
        w.see_the_end(400.0).await;
    });
}

/// New machines are up within two seconds and get work at once while writes lag, and the leader ends.
#[test]
fn new_machines_that_get_work_while_writes_lag_run_it_once_across_leaders() {
    for late in [1, 2, 3] {
        play(plain, async move |w: Rc<World>| {
            begin(&w, 2).await;
            w.cloud.room.set(10);
            w.submit_surely(1, &running("j-1", 40, 60.0)).await;
            w.until("rented", 20.0, || w.workers.borrow().len() > 2)
                .await;
            w.run(1.0).await;
            w.state.lines[0].late_writes.set(late);
            w.run(1.5).await;
            w.kill(0);
            w.run(0.5).await;
            w.start(0);
            w.see_the_end(400.0).await;
        });
    }
}

// ---- old messages

/// A report is held back until a new leader has acted, and then arrives there; others reach every controller just
/// as it begins. Nothing else was heard of those machines yet.
#[test]
fn reports_kept_for_the_next_leader_free_nothing_and_open_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 8).await;
        // Reports from before anything ran there.
        let far: Vec<_> = w.all_workers().into_iter().take(4).collect();
        let last = |k: &Rc<Worker>| k.reports.borrow().last().unwrap().clone();
        let empty: Vec<_> = far.iter().map(last).collect();
        runs(&w, &running("j-1", 16, 60.0)).await;
        w.run(2.0).await;
        for k in &far {
            // They are silent for the new leader, but for the copies; others have room.
            k.mute_until.set(w.now() + 14.0);
            k.commands_held_until.set(w.now() + 14.0);
        }
        w.kill(0);
        let mut leads = false;
        for _ in 0..200 {
            let begun = w.leader().is_some();
            if begun {
                for report in &empty {
                    join_all((1..NODES).map(|at| w.deliver(at, report))).await;
                }
            }
            if begun && leads {
                break;
            }
            leads = begun;
            w.run(0.1).await;
        }
        assert!(leads);
        w.run(20.0).await;
        w.start(0);
        w.see_the_end(300.0).await;
    });
}

/// Old reports arrive after newer ones, from an earlier session or attempt too, and at every controller.
#[test]
fn old_reports_after_newer_ones_change_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 8).await;
        w.run(4.0).await;
        runs(&w, &running("j-1", 12, 60.0)).await;
        let mut turn = 0;
        for step in 0..40 {
            if step == 6 {
                // A session ends: what it had starts anew elsewhere.
                w.all_workers()[0].mute_until.set(w.now() + 24.0);
            }
            // Of one machine at a time: the others could be given what it seems to have lost.
            let all = w.all_workers();
            for k in [&all[step / 2 % all.len()]] {
                let reports = k.reports.borrow().clone();
                turn = (turn * 31 + 7) % 1009;
                for old in [&reports[0], &reports[turn % reports.len()]] {
                    join_all((0..NODES).map(|at| w.deliver(at, old))).await;
                }
            }
            w.run(1.0).await;
        }
        w.see_the_end(300.0).await;
    });
}

/// A command or its answer is held up for seconds, and the machine then goes on.
#[test]
fn commands_held_up_start_nothing_twice_and_nothing_that_was_cancelled() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for round in 0..4 {
            let held: Vec<_> = w
                .all_workers()
                .into_iter()
                .skip(round % 2)
                .take(2)
                .collect();
            for k in &held {
                k.commands_held_until.set(w.now() + 25.0);
            }
            let id = format!("j-{round}");
            let mut spec = running(&id, 16, 10.0);
            spec.priority = Priority::High;
            w.submit_surely(1, &spec).await;
            w.run(2.0).await;
            for k in &held {
                k.hangs_until.set(w.now() + 8.0);
            }
            w.run(1.0).await;
            if round % 2 == 0 {
                w.cancel_surely(2, &id).await;
            }
            w.run(15.0).await;
        }
        w.see_the_end(300.0).await;
    });
}

/// A direct launch is held up for longer than `cancel_s`, its job is cancelled, and the cloud can't return the
/// machine: its lease must run out, or the launch would start the task then.
#[test]
fn a_held_launch_of_a_cancelled_job_never_starts_though_the_cloud_is_out() {
    play(direct, async |w: Rc<World>| {
        begin(&w, 2).await;
        w.run(6.0).await;
        let held_s = 2.0 * w.config.deployment.workers.cancel_s;
        for k in w.all_workers() {
            k.commands_held_until.set(w.now() + held_s);
        }
        w.submit_surely(1, &running("j-1", 8, 300.0)).await;
        w.run(2.5).await;
        w.cloud.outage_until.set(w.now() + held_s);
        w.cancel_surely(1, "j-1").await;
        w.run(held_s + 10.0).await;
        assert_eq!(w.live("j-1"), 0);
        w.see_the_end(100.0).await;
    });
}

/// Workers can't open connections to any controller, while direct commands still reach them.
#[test]
fn machines_that_only_hear_direct_commands_get_no_work_and_lose_theirs_once() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        runs(&w, &running("j-1", 16, 40.0)).await;
        let mute: Vec<_> = w.all_workers().into_iter().take(2).collect();
        for k in &mute {
            k.mute_until.set(w.now() + 60.0);
        }
        w.run(30.0).await;
        // Their leases have run out, and nothing new was begun there.
        assert!(mute.iter().all(|k| k.live_of("j-1").is_empty()));
        w.see_the_end(300.0).await;
    });
}

// ---- the state service's answers

/// A transaction is carried out at once and only its answer is lost, while others read what it wrote.
#[test]
fn answers_lost_at_once_make_nobody_tell_anything_older() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for i in 0..12 {
            let id = format!("j-{i}");
            let spec = running(&id, 2, 4.0);
            let (at, other) = (i % NODES, (i + 1) % NODES);
            w.state.lines[at].lose_answers.set(2);
            let submitted = w.submit(at, &spec);
            let looks = async {
                for _ in 0..10 {
                    w.look_closely(&id).await;
                    w.run(0.15).await;
                }
            };
            futures_util::future::join(submitted, looks).await;
            w.submit_surely(other, &spec).await;
            if i % 3 == 0 {
                w.state.lines[at].lose_answers.set(1);
                let cancelled = w.cancel(at, &id);
                let looks = join_all((0..4).map(|_| w.look_closely(&id)));
                futures_util::future::join(cancelled, looks).await;
                w.cancel_surely(other, &id).await;
                w.look_closely(&id).await;
            }
        }
        w.see_the_end(200.0).await;
    });
}

/// A transaction without an answer is carried out late, after newer ones of the same controller.
#[test]
fn writes_carried_out_late_change_nothing() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for i in 0..16 {
            for line in &w.state.lines {
                line.late_writes.set(u32::from(i % 3 == 0));
            }
            let id = format!("j-{i}");
            w.submit_surely(i % NODES, &running(&id, 6, 6.0)).await;
            w.run(1.0).await;
            if i % 4 == 1 {
                w.cancel_surely((i + 1) % NODES, &id).await;
            }
            w.look_closely(&id).await;
        }
        w.see_the_end(300.0).await;
    });
}

/// The write of an assignment gets no answer, and the leader ends before it is carried out: nothing of it may have
/// started, as the next leader knows nothing of it and starts the tasks elsewhere before it has heard all machines.
#[test]
fn nothing_starts_before_its_assignment_is_known_to_be_stored() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 8).await;
        w.run(4.0).await;
        w.state.lines[0].late_writes.set(u32::MAX);
        w.submit_surely(1, &running("j-1", 8, 60.0)).await;
        // The leader gives up waiting for an answer, and workers report, before the first copy is carried out.
        w.run(4.5).await;
        assert_eq!(w.live("j-1"), 0);
        for k in w.all_workers().iter().step_by(2) {
            k.mute_until.set(w.now() + 15.0);
        }
        w.kill(0);
        another_leads(&w, 0).await;
        w.until("running", 30.0, || w.live("j-1") == 8).await;
        w.start(0);
        w.see_the_end(200.0).await;
    });
}

/// Everything that was ever sent to the state service is carried out again, within a tenure and under the next.
#[test]
fn everything_written_may_come_again_at_any_time() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for i in 0..10 {
            let id = format!("j-{i}");
            w.submit_surely(i % NODES, &running(&id, 4, 5.0)).await;
            w.run(3.0).await;
            w.state.repeat_everything();
            if i % 4 == 3 {
                w.cancel_surely(i % NODES, &id).await;
                w.state.repeat_everything();
                let leader = w.leader().unwrap_or(0);
                w.kill(leader);
                w.run(0.3).await;
                w.start(leader);
                w.until("led", 30.0, || w.leader().is_some()).await;
            }
            w.look_closely(&id).await;
        }
        w.see_the_end(200.0).await;
        w.state.repeat_everything();
        for i in 0..10 {
            w.look_closely(&format!("j-{i}")).await;
        }
    });
}

/// Others' keys in the state service change, which no watch of ours shows: questions are answered, and the leader
/// may act.
#[test]
fn changes_of_others_in_the_store_hold_nobody_up() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 2).await;
        runs(&w, &running("j-1", 4, 10.0)).await;
        for _ in 0..20 {
            w.run(1.0).await;
            w.state.store.borrow_mut().revision += 1;
            assert!(w.acts(0));
            let told = w.look_closely("j-1").await;
            assert!(told.iter().all(|(status, _)| *status == 200), "{told:?}");
        }
        w.see_the_end(60.0).await;
    });
}

// ---- users

/// Users ask at all nodes, again and again within milliseconds, and repeat the submission, right after a job was
/// accepted, ended or confirmed as cancelled; some cancel at once.
#[test]
fn close_looks_at_all_nodes_show_nothing_older() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 4).await;
        for i in 0..15 {
            let id = format!("j-{i}");
            let spec = running(&id, 1, 3.0);
            w.submit_surely(i % NODES, &spec).await;
            if i % 5 == 0 {
                w.cancel_surely((i + 1) % NODES, &id).await;
            }
            for _ in 0..40 {
                let told = w.look_closely(&id).await;
                // Without any trouble all questions are answered.
                assert!(told.iter().all(|(status, _)| *status == 200), "{told:?}");
                w.run(0.12).await;
            }
        }
        w.see_the_end(60.0).await;
    });
}

/// A cancellation, a question or a repeated submission meets the end of a job's last task.
#[test]
fn a_cancellation_at_the_end_of_the_last_task_has_one_outcome() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 6).await;
        let mut outcomes = Vec::new();
        for i in 0..36 {
            let id = format!("j-{i}");
            runs(&w, &running(&id, 2, 4.0)).await;
            w.until("complete", 10.0, || w.checks.is_complete(&id))
                .await;
            w.run(0.06 * i as f64).await;
            let (cancelled, _) = futures_util::future::join(
                w.cancel(i % NODES, &id),
                join_all((0..3).map(|_| w.look_closely(&id))),
            )
            .await;
            w.look_closely(&id).await;
            outcomes.push(cancelled.1.unwrap());
        }
        // Both come about.
        assert!(outcomes.contains(&JobState::Done) && outcomes.contains(&JobState::Cancelled));
        w.see_the_end(60.0).await;
    });
}

/// The end of a job is stored between what a cancellation read and its own write: done stays done.
#[test]
fn a_cancellation_that_comes_after_the_stored_end_does_not_replace_it() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 2).await;
        runs(&w, &running("j-1", 1, 60.0)).await;
        w.state.lines[1].slow_s.set(0.3);
        let ends = async {
            w.run(0.45).await;
            w.checks.completed("j-1/0");
            let record = EndRecord {
                end: End::Done,
                done: 1,
                at_ms: None,
            };
            let put = Change::Put {
                key: key::end("j-1"),
                value: to_raw_value(&record).unwrap(),
                lease: None,
            };
            w.state.apply(&Txn {
                conditions: Vec::new(),
                changes: vec![put],
            });
        };
        let (told, ()) = futures_util::future::join(w.cancel(1, "j-1"), ends).await;
        assert_eq!(told, (200, Some(JobState::Done)));
        let all = w.look_closely("j-1").await;
        assert!(
            all.iter().all(|told| *told == (200, Some(JobState::Done))),
            "{all:?}"
        );
        w.see_the_end(60.0).await;
    });
}

/// One-task jobs come four a second for minutes, a quarter of them cancelled.
#[test]
fn a_stream_of_small_jobs_with_cancellations_is_all_served() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 10).await;
        for i in 0..600 {
            let id = format!("j-{i}");
            w.submit_surely(i % NODES, &running(&id, 1, 4.0)).await;
            if i % 4 == 0 {
                w.cancel_surely((i + 1) % NODES, &id).await;
            }
            w.run(0.2).await;
        }
        w.see_the_end(120.0).await;
    });
}

/// Requests that are no submissions, or can never run, are told so at every node; what is known is answered for as it
/// is, whatever is repeated of it.
#[test]
fn bad_requests_and_repeats_get_their_answers_at_every_node() {
    play(plain, async |w: Rc<World>| {
        begin(&w, 2).await;
        runs(&w, &running("j-1", 1, 3.0)).await;
        runs(&w, &running("j-2", 1, 100.0)).await;
        w.cancel_surely(1, "j-2").await;
        w.run(8.0).await;
        let good = serde_json::to_value(running("j-9", 2, 3.0)).unwrap();
        let fields: Vec<String> = good.as_object().unwrap().keys().cloned().collect();
        let nullable = ["Rigs", "Yard", "DueS"];
        for at in 0..NODES {
            for field in fields.iter().filter(|f| !nullable.contains(&f.as_str())) {
                let mut bad = good.clone();
                bad.as_object_mut().unwrap().remove(field);
                assert_eq!(w.send(at, &bad.to_string()).await, 400, "without {field}");
                bad[field] = serde_json::Value::Null;
                assert_eq!(w.send(at, &bad.to_string()).await, 400, "{field} null");
            }
            for body in ["", "{", "[]", "17", "null", "\"j-9\""] {
                assert_eq!(w.send(at, body).await, 400, "{body}");
            }
            let never = |change: &dyn Fn(&mut Submission)| {
                let mut spec = running("j-9", 2, 3.0);
                change(&mut spec);
                serde_json::to_string(&spec).unwrap()
            };
            for body in [
                never(&|s| s.team = "nobody".into()),
                never(&|s| s.cpus = 65.0),
                never(&|s| s.types = Some(vec!["huge".into()])),
                never(&|s| s.zone = Some("west".into())),
                never(&|s| (s.team, s.kind, s.tasks) = ("red".into(), Kind::Gang, 21)),
                // Half of the tasks at most in a zone, and one zone for all.
                never(&|s| (s.kind, s.spread, s.one_zone) = (Kind::Gang, true, true)),
                never(&|s| {
                    (s.kind, s.spread) = (Kind::Gang, true);
                    s.zone = Some("south".into());
                }),
            ] {
                assert_eq!(w.send(at, &body).await, 422, "{body}");
            }
            assert_eq!(w.ask(at, "j-9").await.0, 404);
            assert_eq!(w.cancel(at, "j-9").await.0, 404);
            assert_eq!(w.cancel(at, "j-1").await, (200, Some(JobState::Done)));
            let again = w.submit(at, &running("j-1", 1, 3.0)).await;
            assert_eq!(again, (200, Some(JobState::Done)));
            assert_eq!(w.cancel(at, "j-2").await, (200, Some(JobState::Cancelled)));
            let again = w.submit(at, &running("j-2", 1, 100.0)).await;
            assert_eq!(again, (200, Some(JobState::Cancelled)));
        }
        w.see_the_end(60.0).await;
    });
}

// ---- zones

/// A zone with workers and a controller is cut off for longer than the lease: its tasks are kept by a controller there,
/// or run elsewhere once they are surely over; a cancellation reaches them in time.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease_runs_nothing_twice() {
    for leader_ends in [false, true] {
        play(plain, async move |w: Rc<World>| {
            for i in 0..28 {
                w.boot(["north", "south"][i % 2]);
            }
            w.start_led_by(0).await;
            runs(&w, &running("j-1", 56, 100.0)).await;
            runs(&w, &running("j-2", 20, 300.0)).await;
            w.cut.set(("south", w.now() + 90.0));
            w.run(15.0).await;
            w.cancel_surely(0, "j-2").await;
            let south = |k: &&Rc<Worker>| k.zone == "south";
            if leader_ends {
                // The one in the south is kept from leading by the state service for a moment.
                w.state.refuse(1, 8.0);
                w.kill(0);
                w.until("led", 30.0, || w.acts(2)).await;
                w.start(0);
            } else {
                let all = w.all_workers();
                assert!(!all.iter().filter(south).any(|k| k.lost_a_session()));
            }
            w.run(w.config.deployment.workers.cancel_s).await;
            assert_eq!(w.live("j-2"), 0);
            w.see_the_end(400.0).await;
            let over = |t: &ReportTask| t.state == TaskState::Exited;
            let all = w.all_workers();
            assert!(
                all.iter()
                    .all(|k| k.fake.borrow().report.tasks.iter().all(over))
            );
        });
    }
}
