//! Tests of relays.

use super::*;
use crate::protocol::workers::Command;
use crate::test_support::FakeWorker;

/// Guards against relay records that the store rejects as too large, and against reporting a completed task twice.
#[test]
fn relayed_tasks_fit_into_values_and_are_relayed_once() {
    let mut relay = Relay::new(7);
    let mut worker = FakeWorker::new("i-1", "small", "south");
    worker.heartbeat.fencing_token = 7;
    for task in 0..300 {
        let task = format!("j-{}/{}", task / 3, task % 3);
        let start = Command::Launch {
            task: task.clone(),
            attempt: 4,
        };
        worker.execute(7, &[start]);
        worker.exit_task(&task, ExitReason::Done);
    }
    assert!(relay.record(&worker.heartbeat) && !relay.record(&worker.heartbeat));
    let mut relayed_count = 0;
    for part in 0.. {
        let record = relay.take_record("south", 2048);
        if record.jobs.is_empty() {
            break;
        }
        assert_eq!(record.agent_epochs.is_empty(), part > 0);
        assert!(serde_json::to_string(&record).unwrap().len() <= 2048);
        let tasks = record.jobs.iter().flat_map(|job| &job.done);
        relayed_count += tasks.map(|range| range.count).sum::<u32>();
    }
    assert_eq!(relayed_count, 300);
}
