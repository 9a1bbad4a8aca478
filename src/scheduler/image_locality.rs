//! Image locality: how soon a machine would have a task's image, and whether the task should wait for another machine.

use std::collections::HashMap;
use std::rc::Rc;

use crate::fleet::Fleet;
use crate::jobs::Job;
use crate::jobs::objectives::strictest_start_target_s;
use crate::protocol::users::Submission;
use crate::runtime::Time;
use crate::scheduler::candidates::CandidateMachine;
use crate::scheduler::image_cache::uncontended_fetch_s;
use crate::scheduler::pass::SchedulingView;

/// A wait for an image is negligible up to this fraction of the task's expected run time or of its start target,
/// whichever is shorter.
const NEGLIGIBLE_FETCH_RATIO: f64 = 0.1;
/// Upper limit of the wait for an image on a machine, as a multiple of the time that the fetch takes without other
/// fetches. [`FETCH_TIME_MAX_WAITED_RATIO`] extends the limit.
const FETCH_TIME_MAX_RATIO: f64 = 1.5;
/// Extension of the limit on the wait for an image, as a fraction of the time that the job has waited already.
const FETCH_TIME_MAX_WAITED_RATIO: f64 = 0.2;
/// Factor on the wait for an image that is not requested yet: another fetch delays the other fetches of the machine and
/// takes space in its cache.
const NEW_FETCH_WEIGHT: f64 = 2.0;

/// How widespread each image is in the fleet.
#[derive(Debug, Default)]
pub(crate) struct ImagePrevalence {
    /// The fraction of the schedulable machines that have or fetch each image.
    share_by_image: HashMap<Rc<str>, f64>,
}

impl ImagePrevalence {
    /// Computes the prevalence of all images that the schedulable machines of a fleet have or fetch.
    pub(super) fn from_fleet(fleet: &Fleet, now: Time) -> Self {
        let mut share_by_image: HashMap<Rc<str>, f64> = HashMap::new();
        let schedulable = fleet
            .machines
            .values()
            .filter(|machine| fleet.is_schedulable(machine, now));
        let mut machine_count: f64 = 0.0;
        for machine in schedulable {
            machine_count += 1.0;
            for image in machine.image_cache.names() {
                match share_by_image.get_mut(image) {
                    Some(count) => *count += 1.0,
                    None => {
                        share_by_image.insert(image.clone(), 1.0);
                    }
                }
            }
        }
        for count in share_by_image.values_mut() {
            *count /= machine_count.max(1.0);
        }
        ImagePrevalence { share_by_image }
    }

    /// The fraction of the schedulable machines that have or fetch an image.
    fn share(&self, image: &str) -> f64 {
        self.share_by_image.get(image).copied().unwrap_or(0.0)
    }
}

/// How long tasks on a machine wait for their image, as levels on a logarithmic scale: 0 if the wait is negligible, and
/// one more for each doubling of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ImageWaitLevels {
    /// The level for the next task on the machine.
    pub(super) current: u8,
    /// The level for the tasks after it: the next task has requested the image by then.
    pub(super) once_requested: u8,
}

impl ImageWaitLevels {
    fn same(level: u8) -> Self {
        ImageWaitLevels {
            current: level,
            once_requested: level,
        }
    }
}

/// Decides how long a job's tasks wait for their image.
#[derive(Clone, Copy)]
pub(super) struct ImageWaitPolicy {
    is_gang: bool,
    /// The longest negligible wait, in seconds.
    negligible_s: f64,
    /// Seconds for which the job has waited since it was ready.
    waited_s: f64,
    /// The fraction of the schedulable machines that have or fetch the image. The larger it is, the sooner one of them
    /// has free capacity, and the longer tasks wait before they request the image on another machine.
    prevalence: f64,
}

impl ImageWaitPolicy {
    /// Whether a task should wait for another machine: this one is so busy with other fetches that others will have the
    /// image sooner, or the job has not waited long enough yet for one of the machines that already have it.
    fn is_too_long(&self, fetch: ImageFetch) -> bool {
        fetch.total_s
            > fetch.uncontended_s * FETCH_TIME_MAX_RATIO
                + self.waited_s * FETCH_TIME_MAX_WAITED_RATIO
            || (!fetch.is_requested && self.waited_s < fetch.uncontended_s * self.prevalence)
    }

    /// Returns the level of a wait, see [`ImageWaitLevels`].
    fn wait_level(&self, wait_s: f64) -> u8 {
        (wait_s / self.negligible_s)
            .max(1.0)
            .log2()
            .ceil()
            .min(f64::from(u8::MAX)) as u8
    }
}

/// How long a machine takes to fetch an image.
#[derive(Clone, Copy)]
struct ImageFetch {
    /// Whether the image is present or requested.
    is_requested: bool,
    /// Seconds that the fetch takes on a machine without other fetches.
    uncontended_s: f64,
    /// Seconds until the image is complete. An image that is not requested yet is assumed to be requested now.
    total_s: f64,
}

impl SchedulingView<'_> {
    /// Returns the policy by which a job's tasks wait for their image.
    pub(super) fn image_wait_policy(&self, job: &Job) -> ImageWaitPolicy {
        let spec = &job.spec;
        ImageWaitPolicy {
            is_gang: job.is_gang(),
            negligible_s: self
                .autoscaler
                .expected_run_s(job)
                .min(strictest_start_target_s(self.config, spec))
                * NEGLIGIBLE_FETCH_RATIO,
            waited_s: self.now - job.ready_at,
            prevalence: self.scheduler.image_prevalence.share(&spec.image),
        }
    }

    /// Returns how long a job's tasks would wait for their image on a machine. Returns None if another machine is
    /// expected to be the better choice, see [`ImageWaitPolicy::is_too_long`].
    pub(super) fn image_wait_levels(
        &self,
        candidate: &CandidateMachine,
        spec: &Submission,
        policy: ImageWaitPolicy,
    ) -> Option<ImageWaitLevels> {
        let Some(machine) = self.fleet.machines.get(&candidate.machine) else {
            return Some(ImageWaitLevels::same(0));
        };
        let remaining_s = machine.image_cache.remaining_fetch_s(&spec.image, self.now);
        if policy.is_gang {
            // Gangs prefer machines that have or fetch the image: a new fetch may take longer than a gang should wait.
            return Some(ImageWaitLevels::same(u8::from(remaining_s.is_none())));
        }
        let uncontended_s = uncontended_fetch_s(
            spec.image_gb,
            self.catalog.image_cache_capacity(candidate.type_index),
        );
        let fetch = ImageFetch {
            is_requested: remaining_s.is_some(),
            uncontended_s,
            total_s: remaining_s
                .unwrap_or_else(|| machine.image_cache.new_fetch_s(uncontended_s, self.now)),
        };
        if policy.is_too_long(fetch) {
            return None;
        }
        let once_requested = policy.wait_level(fetch.total_s);
        Some(if fetch.is_requested {
            ImageWaitLevels::same(once_requested)
        } else {
            ImageWaitLevels {
                current: policy.wait_level(fetch.total_s * NEW_FETCH_WEIGHT),
                once_requested,
            }
        })
    }
}
