mod changing_store;
mod dependency_parts;
mod paged_load;

use super::*;
use crate::store::keys;
use crate::test_support::job;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).unwrap()
}

/// A deleted record of the assignment log reappears when a late copy of its transaction is applied. If its task states
/// counted, a task would be assigned again to a machine that it left long before.
#[test]
fn a_deleted_assignment_record_that_reappears_has_no_effect() {
    let spec = serde_json::to_string(&job("j-1", 2)).unwrap();
    let old = r#"{"z":["north"],"m":[["i-1",0]],"j":[{"i":"j-1","a":7,"b":[[0,2,0]]}]}"#;
    let newer = r#"{"o":9,"j":[{"i":"j-1","d":[[1,1]],"f":[[0,1]]}]}"#;
    let newest = r#"{"o":10,"j":[{"i":"j-1","d":[[1,1]]}]}"#;
    let done_and_running = |replica: &StateReplica| {
        let status = replica.jobs["j-1"].status("j-1");
        (status.done, status.running)
    };
    let mut replica = StateReplica::default();
    replica.apply(&keys::job("j-1"), Some(&raw(&spec)), 1);
    replica.apply(&keys::assignment_record(8), Some(&raw(old)), 2);
    assert_eq!(done_and_running(&replica), (0, 2));
    replica.apply(&keys::assignment_record(9), Some(&raw(newer)), 3);
    replica.apply(&keys::assignment_record(10), Some(&raw(newest)), 4);
    for number in [8, 9] {
        replica.apply(&keys::assignment_record(number), None, 5);
    }
    assert_eq!(done_and_running(&replica), (1, 0));
    replica.apply(&keys::assignment_record(8), Some(&raw(old)), 6);
    assert_eq!(done_and_running(&replica), (1, 0));
    // A load reads the records in key order: the old record comes before the one that makes it invalid.
    let mut fresh = StateReplica::default();
    fresh.apply(&keys::job("j-1"), Some(&raw(&spec)), 1);
    fresh.apply(&keys::assignment_record(8), Some(&raw(old)), 6);
    fresh.apply(&keys::assignment_record(10), Some(&raw(newest)), 4);
    fresh.finish_load(0.0, 0);
    assert_eq!(done_and_running(&fresh), (1, 0));
}
