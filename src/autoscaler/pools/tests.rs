//! Tests of pools that refuse machines.

use super::*;

const BOOT_S: f64 = 100.0;

/// The backoff doubles with each refusal, within its bounds. During the backoff only machines that were lost since the
/// refusal may be requested; after it, a single request. Without this, requests to an exhausted pool use up the calls
/// to the cloud.
#[test]
fn backoff_doubles_with_each_refusal() {
    let mut backoff = PoolBackoff::default();
    assert!(!backoff.is_exhausted(0.0));
    assert_eq!(backoff.rental_limit(7, 0, 0.0), None);
    let mut now = 0.0;
    for backoff_s in [30.0, 60.0, 80.0, 80.0] {
        backoff.record_refusal(BOOT_S, 7, now);
        assert_eq!(backoff.rental_limit(7, 0, now), Some(0));
        assert_eq!(backoff.rental_limit(4, 0, now + backoff_s - 0.1), Some(3));
        now += backoff_s;
        assert!(backoff.is_exhausted(now));
        // A single request tests whether the pool has machines again.
        assert_eq!(
            backoff.rental_limit(9, 10, now),
            Some(MACHINES_PER_RENT_MAX - 10)
        );
    }
}

/// A request served in full resets the duration of the backoff, but doesn't end the present backoff early.
#[test]
fn full_rental_resets_backoff_duration() {
    let mut backoff = PoolBackoff::default();
    backoff.record_refusal(BOOT_S, 7, 0.0);
    backoff.record_success();
    assert_eq!(backoff.rental_limit(7, 0, 29.9), Some(0));
    assert!(backoff.is_exhausted(29.9));
    assert_eq!(backoff.rental_limit(7, 0, 30.0), None);
    assert!(!backoff.is_exhausted(30.0));
    backoff.record_refusal(BOOT_S, 7, 30.0);
    assert_eq!(backoff.rental_limit(7, 0, 59.9), Some(0));
    assert_eq!(
        backoff.rental_limit(7, 0, 60.0),
        Some(MACHINES_PER_RENT_MAX)
    );
}

/// Backoffs are multiples of the boot time: a pool of machines without boot time is never exhausted.
#[test]
fn no_backoff_without_boot_time() {
    let mut backoff = PoolBackoff::default();
    backoff.record_refusal(0.0, 7, 5.0);
    assert!(!backoff.is_exhausted(5.0));
    assert_eq!(backoff.rental_limit(7, 0, 5.0), None);
}
