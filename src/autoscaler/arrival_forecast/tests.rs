//! Tests of the arrival forecast.

use super::*;
use crate::test_support::job;

#[test]
fn a_crowd_counts_once_and_rates_fade() {
    let mut expected = ArrivalForecast::new(3.0, 120.0, 0.0);
    let spec = job("j-1", 1);
    let class = class_key(&spec);
    for _ in 0..50 {
        expected.record_arrival(&spec, 0.5);
    }
    let crowd = expected.rate(&class, 1.0);
    assert!(crowd < 0.11, "{crowd}");
    for i in 1..40 {
        expected.record_arrival(&spec, f64::from(i) * 10.0);
    }
    let steady = expected.rate(&class, 395.0);
    assert!((0.08..0.13).contains(&steady), "{steady}");
    // They have ended: soon there is little left of the rate, and then nothing.
    assert!(expected.rate(&class, 450.0) < steady);
    assert!(expected.rate(&class, 600.0) <= 0.13);
}

/// Where several jobs of a class come in each interval, most of them once counted as a crowd,
/// and the machines for them were never enough.
#[test]
fn frequent_arrivals_are_no_crowd() {
    let mut expected = ArrivalForecast::new(3.0, 150.0, 0.0);
    let spec = job("j-1", 1);
    let class = class_key(&spec);
    let mut now = 0.0;
    while now < 200.0 {
        now += 0.25;
        expected.record_arrival(&spec, now);
    }
    let rate = expected.rate(&class, now);
    assert!((3.5..4.2).contains(&rate), "{rate}");
    // Nothing for some intervals: they have ended.
    let later = expected.rate(&class, now + 30.0);
    assert!(later < 0.2, "{later}");
}
