//! Zones that the leader can't reach.

use crate::autoscale::{CloudAnswer, CloudCall};
use crate::testing::{FakeStore, FakeWorker, job};

/// While a zone was cut off, all that was lost there was once rented there anew, where there were
/// now the fewest machines; it came up and was not heard for the whole time.
#[test]
fn nothing_is_rented_in_a_zone_that_is_cut_off() {
    let mut store = FakeStore::default();
    let mut large = job("j-1", 200);
    large.types = Some(vec!["small".into()]);
    store.submit(&large);
    let mut lead = store.elect("n0", 0.0);
    let worker = |i: usize, zone| FakeWorker::new(&format!("i-{i}"), "small", zone);
    let mut north: Vec<FakeWorker> = (0..14).map(|i| worker(i, "north")).collect();
    let mut south: Vec<FakeWorker> = (14..28).map(|i| worker(i, "south")).collect();
    let mut zones = Vec::new();
    let mut lost = Vec::new();
    for step in 0..120 {
        let now = 1.0 + f64::from(step);
        for w in &mut north {
            w.checkin(&mut lead, now);
        }
        if now < 20.0 {
            for w in &mut south {
                w.checkin(&mut lead, now);
            }
        }
        lead.last_report = now;
        lead.tend(now);
        while let Some(call) = lead.next_cloud_call(now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) => {
                    if now > 24.0 && lost.is_empty() {
                        zones.push(rent.zone.clone());
                    }
                    CloudAnswer::NoCapacity
                }
                CloudCall::Delete(names) => {
                    lost.extend(names.iter().map(|_| now));
                    CloudAnswer::Deleted
                }
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Types => CloudAnswer::Failed,
            };
            lead.on_cloud(call, answer, now);
        }
    }
    // They are kept for a while: most cuts end before others would be up in their place.
    assert_eq!(lost.len(), 14);
    let kept = 20.0 + 2.5 * 30.0;
    assert!(lost.iter().all(|at| (*at - kept).abs() < 2.0), "{lost:?}");
    assert!(!zones.is_empty());
    assert!(zones.iter().all(|z| z == "north"), "{zones:?}");
}
