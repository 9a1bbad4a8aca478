//! Deletion of dependency parts by the leader.

use super::exchange_heartbeats;
use crate::store::keys;
use crate::test_support::{FakeStore, FakeWorker, job};

/// A replica may lack a job whose record is stored, for example because a later version wrote the record in a form that
/// this version can't read. The job's dependencies would be lost with its parts, so the state service must refuse their
/// deletion; the other writes of the same transaction must not be lost with it.
#[test]
fn parts_of_a_job_that_has_a_record_are_not_deleted() {
    let mut store = FakeStore::default();
    let part = keys::dependency_part("j-9", 1);
    store.put(keys::job("j-9"), &"a record of a later version");
    store.put(part.clone(), &["j-1"]);
    let obsolete_part = keys::dependency_part("j-8", 1);
    store.put(obsolete_part.clone(), &["j-1"]);
    store.submit(&job("j-1", 1));
    let mut leader = store.elect("n0", 0.0);
    let mut worker = FakeWorker::new("i-1", "small", "north");
    exchange_heartbeats(&mut worker, &mut leader, 1.0);
    store.schedule_and_write(&mut leader, 2.0);
    store.schedule_and_write(&mut leader, 4.0);
    worker.send_heartbeat(&mut leader, 4.5);
    assert_eq!(worker.running(), ["j-1/0"]);
    assert!(store.keys.contains_key(&part));
    // The deletion of the other part was lost with the refused transaction; the next leader repeats it.
    leader.end_all();
    store.schedule_and_write(&mut leader, 10.0);
    assert!(store.keys.contains_key(&part));
    store.keys.remove(&keys::job("j-9"));
    store.submit(&job("j-2", 1));
    let mut next = store.elect("n1", 20.0);
    exchange_heartbeats(&mut worker, &mut next, 21.0);
    store.schedule_and_write(&mut next, 22.0);
    for key in [&part, &obsolete_part] {
        assert!(!store.keys.contains_key(key), "{key}");
    }
}
