//! Tests of `image_cache`.

use super::*;

const CACHE: CacheCapacity = CacheCapacity {
    size_gb: 5.0,
    gb_per_s: 0.5,
};

/// Guards against wrong estimates of when images are complete: a fetch shares the rate with those in progress, so it
/// takes its own time once for each of them at most, and no longer than all of them one after the other.
#[test]
fn a_fetch_is_delayed_by_those_in_progress_but_not_by_their_size_alone() {
    let mut images = ImageCache::default();
    images.request("a", 2.0, CACHE, 0.0);
    images.request("smaller", 1.0, CACHE, 0.0);
    assert_eq!(images.remaining_fetch_s("a", 1.0), Some(3.0));
    assert_eq!(images.remaining_fetch_s("smaller", 1.0), Some(3.0));
    assert_eq!(images.fetch_backlog_s(1.0), 3.0);
    let mut images = ImageCache::default();
    images.request("a", 1.0, CACHE, 0.0);
    images.request("equal", 1.0, CACHE, 0.0);
    images.request("larger", 2.0, CACHE, 0.0);
    assert_eq!(images.remaining_fetch_s("equal", 1.0), Some(3.0));
    assert_eq!(images.remaining_fetch_s("larger", 1.0), Some(7.0));
    assert_eq!(images.fetch_backlog_s(1.0), 7.0);
}

/// Guards against wrong estimates of which images a machine has: a cancelled fetch no longer counts, and an image that is
/// present stays until it is evicted as the least recently used.
#[test]
fn cancelled_fetches_are_forgotten_and_least_recently_used_images_are_evicted() {
    let mut images = ImageCache::default();
    images.request("a", 2.0, CACHE, 0.0);
    images.request("b", 1.0, CACHE, 0.0);
    images.observe("a", 2.0, true, CACHE, 3.0);
    assert_eq!(images.remaining_fetch_s("a", 3.0), Some(0.0));
    // No task needs the images any more: the incomplete fetch of "b" is cancelled, "a" is present and stays.
    images.forget_fetch("b");
    images.forget_fetch("a");
    assert_eq!(images.remaining_fetch_s("b", 3.0), None);
    assert_eq!(images.fetch_backlog_s(3.0), 0.0);
    images.observe("c", 2.0, true, CACHE, 4.0);
    images.request("a", 2.0, CACHE, 5.0);
    images.request("d", 2.0, CACHE, 5.0);
    assert_eq!(images.remaining_fetch_s("c", 5.0), None);
    assert_eq!(images.remaining_fetch_s("a", 5.0), Some(0.0));
}
