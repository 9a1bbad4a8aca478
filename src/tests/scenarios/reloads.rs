//! A leader whose replica is loaded again during its term.

use super::{assign_without_launch, count_launches};
use crate::protocol::workers::ExitReason;
use crate::store::keys;
use crate::test_support::job;

/// The load reads the page with the ends of jobs before that with their records. If the leader stores a job's end and
/// deletes its record in between, the replica shows a job that has not ended. A leader that took it over started its
/// task again, although the job was done.
#[test]
fn a_reload_revives_no_job_that_the_leader_has_finished() {
    let (mut store, mut leader, mut worker) = assign_without_launch(&job("j-1", 1));
    worker.send_heartbeat(&mut leader, 2.5);
    // The last changes that the watch delivered.
    let known_revision = store.revision;
    // The pages of the load: without the end of j-1, but with its record and with that of a job accepted meanwhile.
    store.submit(&job("j-2", 1));
    let replica = store.replica();
    worker.exit_task("j-1/0", ExitReason::Done);
    for now in [3.0, 4.0, 5.0, 6.0, 7.0] {
        worker.send_heartbeat(&mut leader, now);
        store.schedule_and_write(&mut leader, now + 0.5);
    }
    assert!(!store.keys.contains_key(&keys::job("j-1")));
    assert!(leader.job_index("j-1").is_none());
    leader.resync(&replica, known_revision, 8.0);
    assert!(leader.job_index("j-1").is_none());
    store.schedule_and_write(&mut leader, 9.0);
    assert_eq!(count_launches(&worker.send_heartbeat(&mut leader, 9.5)), 1);
    assert_eq!(worker.running(), ["j-2/0"]);
}
