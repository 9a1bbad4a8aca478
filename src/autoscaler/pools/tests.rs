//! Tests of pools that refuse machines.

use super::*;

const BOOT_S: f64 = 100.0;

/// The backoff doubles from refusal to refusal, within its bounds; meanwhile only as many machines as there were may be
/// requested.
#[test]
fn a_pool_that_refuses_is_left_alone_for_longer_each_time() {
    let mut pool = Pool::default();
    assert!(!pool.is_exhausted(0.0));
    assert_eq!(pool.rental_limit(7, 0, 0.0), None);
    let mut now = 0.0;
    for backoff_s in [30.0, 60.0, 80.0, 80.0] {
        pool.record_refusal(BOOT_S, 7, now);
        assert_eq!(pool.rental_limit(7, 0, now), Some(0));
        assert_eq!(pool.rental_limit(4, 0, now + backoff_s - 0.1), Some(3));
        now += backoff_s;
        assert!(pool.is_exhausted(now));
        // One request shows whether it has room again.
        assert_eq!(
            pool.rental_limit(9, 10, now),
            Some(MACHINES_PER_RENT_MAX - 10)
        );
    }
}

/// A request that is served in full ends the backoff, but not the limit from the last refusal before its time.
#[test]
fn a_pool_that_serves_a_request_in_full_has_room_again() {
    let mut pool = Pool::default();
    pool.record_refusal(BOOT_S, 7, 0.0);
    pool.record_success();
    assert_eq!(pool.rental_limit(7, 0, 29.9), Some(0));
    assert!(pool.is_exhausted(29.9));
    assert_eq!(pool.rental_limit(7, 0, 30.0), None);
    assert!(!pool.is_exhausted(30.0));
    pool.record_refusal(BOOT_S, 7, 30.0);
    assert_eq!(pool.rental_limit(7, 0, 59.9), Some(0));
    assert_eq!(pool.rental_limit(7, 0, 60.0), Some(MACHINES_PER_RENT_MAX));
}

/// Without a boot time there is no backoff either.
#[test]
fn a_pool_of_machines_that_boot_at_once_is_asked_again_at_once() {
    let mut pool = Pool::default();
    pool.record_refusal(0.0, 7, 5.0);
    assert!(!pool.is_exhausted(5.0));
    assert_eq!(pool.rental_limit(7, 0, 5.0), None);
}
