use super::{ATTEMPTS_PER_MACHINE_MAX, FreeAttempts};
use crate::http::BODY_BYTES_MAX;
use crate::protocol::workers::{ExitReason, Heartbeat, TaskState, TaskStatus};

#[test]
fn a_heartbeat_with_all_attempts_that_a_machine_may_hold_fits_into_a_request() {
    let longest = TaskStatus {
        task: "j-123456789012345678/99999".into(),
        attempt: u64::MAX,
        state: TaskState::Exited,
        exit_reason: Some(ExitReason::Incomplete),
        saved: Some(false),
    };
    let heartbeat = Heartbeat {
        machine: "i-000000000000000001".into(),
        addr: "255.255.255.255:65535".into(),
        type_name: "a-long-name-of-a-machine-type".into(),
        zone: "a-long-name-of-a-zone".into(),
        spot: false,
        agent_epoch: u64::MAX,
        sequence: u64::MAX,
        fencing_token: u64::MAX,
        preemption_notice_s: Some(1.0 / 3.0),
        tasks: vec![longest; ATTEMPTS_PER_MACHINE_MAX as usize],
    };
    assert!(serde_json::to_vec(&heartbeat).unwrap().len() <= BODY_BYTES_MAX);
}

#[test]
fn some_attempts_are_left_however_many_arrays_take_all_they_may() {
    let mut attempts = FreeAttempts {
        in_memory: 90_000,
        for_services: 90_000,
        to_be_stored: u32::MAX,
        reserve_user: None,
        reserve: 1000,
    };
    let mut previous = u32::MAX;
    for index in 0..9 {
        let share = attempts.for_array(index, 0);
        assert!(share > 0 && share < previous);
        attempts.take(share as usize);
        // An array that has its share gets no more of what it left.
        assert!(attempts.for_array(index, share) <= 1);
        previous = share;
    }
    assert!(attempts.suffice_for_gang(1));
}

#[test]
fn only_the_array_with_the_most_completed_tasks_goes_on_when_memory_is_used_up() {
    let attempts = FreeAttempts {
        in_memory: 0,
        for_services: 0,
        to_be_stored: u32::MAX,
        reserve_user: Some(3),
        reserve: 1000,
    };
    assert_eq!(attempts.for_array(2, 0), 0);
    assert_eq!(attempts.for_array(3, 400), 600);
}
