//! Copies of start commands that were executed and answered, and arrive once more: also after a controller or the
//! machine was back within a second, and after the task has completed, moved or been cancelled.

use super::*;
use crate::protocol::workers::ExitReason;

/// Who is back within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Returns {
    controller: bool,
    machine: Option<MachineReturn>,
}

/// How a machine that lost its tasks comes back.
#[derive(Debug, Clone, Copy, PartialEq)]
enum MachineReturn {
    /// In the agent epoch that it was in, with the fencing token that it had seen.
    SameEpoch,
    /// In the next agent epoch.
    LaterEpoch,
    /// In its first agent epoch, with a sequence that starts anew and without a fencing token.
    Anew,
}

/// What becomes of the tasks before the copies arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    /// The first task completes, and its job goes on.
    Completed,
    /// The first task completes, and its job is cancelled later.
    CompletedAndCancelled,
    /// The tasks fail and are started on other machines.
    Moved,
    /// The job is cancelled.
    Cancelled,
}

/// Seconds that the controllers have to react to each event.
const REACTION_S: f64 = 8.0;
/// Seconds after which copies arrive before the machine has sent a heartbeat.
const AT_ONCE_S: f64 = 0.0;
/// Seconds within which a machine that lost ended tasks is returned: the worker's lease.
const RETURNED_S_MAX: f64 = 20.0;
const FATES: [Fate; 4] = [
    Fate::Completed,
    Fate::CompletedAndCancelled,
    Fate::Moved,
    Fate::Cancelled,
];

fn has_first_task(worker: &Worker) -> bool {
    let tasks = worker.tasks_of("j-1");
    tasks.iter().any(|status| status.task == "j-1/0")
}

async fn bring_about(world: &Rc<World>, worker: &Rc<Worker>, fate: Fate) {
    match fate {
        Fate::Completed => {}
        Fate::CompletedAndCancelled | Fate::Cancelled => {
            world.cancel_until_confirmed(1, "j-1").await;
        }
        Fate::Moved => {
            // A single failure doesn't make the machine suspect.
            let error = ExitReason::Error;
            worker.fake.borrow_mut().exit_task("j-1/0", error);
            worker.schedule_heartbeat(world.now());
            let workers = || world.all_workers().into_iter();
            let has_moved = || workers().any(|w| w.name != worker.name && has_first_task(&w));
            world.wait_until("moved", 60.0, has_moved).await;
        }
    }
}

async fn come_back(world: &Rc<World>, worker: &Rc<Worker>, returns: Returns) {
    if returns.controller {
        let leader = world.leader().unwrap();
        world.kill(leader);
        world.run(0.3).await;
        world.start(leader);
    }
    match returns.machine {
        None => {}
        Some(MachineReturn::SameEpoch) => world.restart_in_same_epoch(worker),
        Some(MachineReturn::LaterEpoch) => world.restart(worker),
        Some(MachineReturn::Anew) => world.restart_anew(worker),
    }
}

/// Runs directly launched tasks, lets `fate` and the return happen in the given order, and delivers copies of the start
/// commands: after the return, and again after the time for cancelling.
async fn run_with_late_copies(
    world: Rc<World>,
    returns: Returns,
    fate: Fate,
    is_fate_first: bool,
    first_copies_after_s: f64,
) {
    start_cluster(&world, 3).await;
    world.run(6.0).await;
    let completes = matches!(fate, Fate::Completed | Fate::CompletedAndCancelled);
    let (run_s, stagger_s) = if completes { (4.0, 90.0) } else { (90.0, 0.0) };
    world.checks.task_stagger_s.set(stagger_s);
    // Otherwise the answer to a heartbeat may start the tasks, and there is no command to be copied.
    let is_late = |worker: Rc<Worker>| worker.next_heartbeat_in_s() > 1.0;
    let all_are_late = || world.all_workers().into_iter().all(is_late);
    world
        .wait_until("no heartbeat is due", 20.0, all_are_late)
        .await;
    submit_and_wait_until_running(&world, &limited_job("j-1", 4, run_s)).await;
    let mut workers = world.all_workers().into_iter();
    let worker = workers.find(|worker| has_first_task(worker)).unwrap();
    assert!(World::was_launched_directly(&worker, "j-1/0"));
    // All commands are executed and answered; a first task that completes is forgotten if the leader allows it.
    world.run(REACTION_S).await;
    let cancel_s = world.config.deployment.workers.cancel_s;
    if is_fate_first {
        bring_about(&world, &worker, fate).await;
        world.run(cancel_s + REACTION_S).await;
    }
    come_back(&world, &worker, returns).await;
    world.run(first_copies_after_s).await;
    world.repeat_direct_launches(&worker);
    world.run(REACTION_S).await;
    if !is_fate_first {
        bring_about(&world, &worker, fate).await;
        world.run(REACTION_S).await;
    }
    world.repeat_direct_launches(&worker);
    world
        .run(world.config.deployment.workers.cancel_s + 5.0)
        .await;
    world.repeat_direct_launches(&worker);
    world.run(REACTION_S).await;
    world.wait_for_all_jobs(400.0).await;
}

/// Plays each fate before or after the return, as `is_fate_first` says, with and without the controller.
fn assert_copies_start_nothing(
    machine: Option<MachineReturn>,
    is_fate_first: bool,
    first_copies_after_s: f64,
) {
    for controller in [false, true] {
        let returns = Returns {
            controller,
            machine,
        };
        for fate in FATES {
            println!("{returns:?}, {fate:?}");
            run_scenario(enable_direct_launches, async move |world: Rc<World>| {
                run_with_late_copies(world, returns, fate, is_fate_first, first_copies_after_s)
                    .await;
            });
        }
    }
}

/// Guards against a completed task that was forgotten and is started again by a copy after its job was cancelled.
#[test]
fn late_copies_start_nothing_on_a_machine_that_stays() {
    for is_fate_first in [true, false] {
        assert_copies_start_nothing(None, is_fate_first, AT_ONCE_S);
    }
}

/// Guards against copies that the worker takes for commands of its present agent epoch.
#[test]
fn late_copies_start_nothing_on_a_machine_that_is_back_in_a_later_agent_epoch() {
    for is_fate_first in [true, false] {
        assert_copies_start_nothing(Some(MachineReturn::LaterEpoch), is_fate_first, AT_ONCE_S);
    }
}

/// Guards against a task that is started elsewhere because its machine lost it within the agent epoch, and then on that
/// machine by a copy.
#[test]
fn late_copies_start_nothing_on_a_machine_that_lost_its_tasks_before_they_moved_or_ended() {
    for machine in [MachineReturn::SameEpoch, MachineReturn::Anew] {
        for first_copies_after_s in [AT_ONCE_S, REACTION_S] {
            assert_copies_start_nothing(Some(machine), false, first_copies_after_s);
        }
    }
}

/// Guards against a machine that stays in use although its worker no longer knows which attempts have ended there.
#[test]
fn late_copies_start_nothing_once_a_machine_that_lost_ended_tasks_is_returned() {
    for machine in [MachineReturn::SameEpoch, MachineReturn::Anew] {
        assert_copies_start_nothing(Some(machine), true, RETURNED_S_MAX);
    }
}

/// The worker has lost the attempts that keep copies from starting their tasks, and nothing has been heard of it yet.
#[test]
fn late_copies_start_nothing_on_a_machine_that_lost_ended_tasks_and_was_not_heard_yet() {
    for machine in [MachineReturn::SameEpoch, MachineReturn::Anew] {
        assert_copies_start_nothing(Some(machine), true, AT_ONCE_S);
    }
}
