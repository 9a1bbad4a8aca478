//! A leader's model of which images a machine's cache holds or fetches. It is inferred, because workers report only the
//! states of their tasks.

use std::rc::Rc;

use crate::runtime::Time;

/// The size and speed of the image cache of a machine type.
#[derive(Debug, Clone, Copy)]
pub struct CacheCapacity {
    /// Size in gigabytes.
    pub size_gb: f64,
    /// Fetch rate in gigabytes per second, shared by all fetches of a machine.
    pub gb_per_s: f64,
}

/// The state of an image on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ImageState {
    /// The image is requested and expected to be complete at `due`.
    Fetching { due: Time },
    /// The worker reported a task that has the image.
    Present,
}

#[derive(Debug, Clone)]
struct CachedImage {
    name: Rc<str>,
    size_gb: f64,
    state: ImageState,
}

/// The images that a machine holds or fetches.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    /// Ordered by last use, the least recently used image first.
    images: Vec<CachedImage>,
}

impl ImageCache {
    fn position(&self, name: &str) -> Option<usize> {
        self.images.iter().position(|image| *image.name == *name)
    }

    /// Seconds until an image is complete; 0 if it is present, None if it is neither present nor requested.
    pub fn remaining_fetch_s(&self, name: &str, now: Time) -> Option<f64> {
        let image = &self.images[self.position(name)?];
        Some(match image.state {
            ImageState::Present => 0.0,
            ImageState::Fetching { due } => (due - now).max(0.0),
        })
    }

    /// The names of the images that are present or requested.
    pub fn names(&self) -> impl Iterator<Item = &Rc<str>> {
        self.images.iter().map(|image| &image.name)
    }

    /// Seconds that the fetch of another image takes, if it takes `uncontended_s` alone. Fetches share the rate of the
    /// machine, so however large the other images are, each of them slows it down by no more than its own time.
    pub fn new_fetch_s(&self, uncontended_s: f64, now: Time) -> f64 {
        let is_in_progress = |image: &&CachedImage| match image.state {
            ImageState::Present => false,
            ImageState::Fetching { due } => due > now,
        };
        let in_progress = self.images.iter().filter(is_in_progress).count();
        let one_after_the_other_s = self.fetch_backlog_s(now) + uncontended_s;
        one_after_the_other_s.min(uncontended_s * (in_progress + 1) as f64)
    }

    /// Seconds until the fetches requested so far are complete.
    fn fetch_backlog_s(&self, now: Time) -> f64 {
        let due = self.images.iter().filter_map(|image| match image.state {
            ImageState::Present => None,
            ImageState::Fetching { due } => Some(due),
        });
        due.fold(now, f64::max) - now
    }

    /// Records that a task that needs an image was assigned to the machine. The image becomes the most recently used
    /// one. If it is neither present nor requested, a fetch is added, and the least recently used images are evicted
    /// until the rest fits into the cache or only this image is left.
    pub fn request(&mut self, name: &str, size_gb: f64, capacity: CacheCapacity, now: Time) {
        if let Some(position) = self.position(name) {
            let image = self.images.remove(position);
            self.images.push(image);
            return;
        }
        self.images.push(CachedImage {
            name: name.into(),
            size_gb,
            state: ImageState::Fetching {
                due: now + self.new_fetch_s(uncontended_fetch_s(size_gb, capacity), now),
            },
        });
        let mut total_gb: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while total_gb > capacity.size_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).size_gb;
        }
    }

    /// Records a worker's report of a task that needs an image: the task has the image if `is_present`, else it is
    /// being fetched.
    pub fn observe(
        &mut self,
        name: &str,
        size_gb: f64,
        is_present: bool,
        capacity: CacheCapacity,
        now: Time,
    ) {
        self.request(name, size_gb, capacity, now);
        if is_present && let Some(image) = self.images.last_mut() {
            image.state = ImageState::Present;
        }
    }

    /// Removes an image unless it is known to be present: the worker cancels its fetch once no task needs the image.
    pub fn forget_fetch(&mut self, name: &str) {
        self.images
            .retain(|image| image.state == ImageState::Present || *image.name != *name);
    }
}

/// Seconds that a machine without other fetches takes to fetch an image; 0 without a positive fetch rate.
pub fn uncontended_fetch_s(size_gb: f64, capacity: CacheCapacity) -> f64 {
    if capacity.gb_per_s > 0.0 {
        size_gb / capacity.gb_per_s
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
