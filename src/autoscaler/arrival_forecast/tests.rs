//! Tests of the arrival forecast.

use super::*;
use crate::test_support::job;

/// Guards against machines rented for an arrival burst as if it went on, and against rates that outlive the arrivals.
/// 50 jobs at the same moment must hardly raise the rate; a steady rate must be recognized, and must fall once arrivals
/// have ended.
#[test]
fn burst_hardly_raises_rate_and_rate_decays() {
    let mut forecast = ArrivalForecast::new(3.0, 120.0, 0.0);
    let spec = job("j-1", 1);
    let class = class_key(&spec);
    for _ in 0..50 {
        forecast.record_arrival(&spec, 0.5);
    }
    let rate_after_burst = forecast.expected_rate(&class, 1.0);
    assert!(rate_after_burst < 0.11, "{rate_after_burst}");
    for i in 1..40 {
        forecast.record_arrival(&spec, f64::from(i) * 10.0);
    }
    let steady = forecast.expected_rate(&class, 395.0);
    assert!((0.08..0.13).contains(&steady), "{steady}");
    // The arrivals have ended: the rate falls.
    assert!(forecast.expected_rate(&class, 450.0) < steady);
    assert!(forecast.expected_rate(&class, 600.0) <= 0.13);
}

/// Guards against a bound on arrivals per interval that ignores their usual number: where several jobs of a class
/// arrive in each interval, most would not be counted, and too few machines would be rented.
#[test]
fn frequent_arrivals_are_not_a_burst() {
    let mut forecast = ArrivalForecast::new(3.0, 150.0, 0.0);
    let spec = job("j-1", 1);
    let class = class_key(&spec);
    let mut now = 0.0;
    while now < 200.0 {
        now += 0.25;
        forecast.record_arrival(&spec, now);
    }
    let rate = forecast.expected_rate(&class, now);
    assert!((3.5..4.2).contains(&rate), "{rate}");
    // After some intervals without arrivals the rate is nearly zero.
    let rate_after_end = forecast.expected_rate(&class, now + 30.0);
    assert!(rate_after_end < 0.2, "{rate_after_end}");
}
