//! Image locality: how soon a machine would have a task's image, and whether waiting for another is better.

use std::collections::HashMap;
use std::rc::Rc;

use crate::fleet::Fleet;
use crate::jobs::Job;
use crate::jobs::objectives::strictest_start_target_s;
use crate::protocol::users::Submission;
use crate::runtime::Time;
use crate::scheduler::candidates::CandidateMachine;
use crate::scheduler::image_cache::fetch_s;
use crate::scheduler::pass::SchedulingView;

/// A wait for an image is negligible up to this part of a task's run time, or of the time in which it is to start.
const NEGLIGIBLE_FETCH_RATIO: f64 = 0.1;
/// A machine is asked for an image if that takes at most so many times as long as fetching it alone ...
const FETCH_TIME_MAX_RATIO: f64 = 1.5;
/// ... plus this part of what the job has waited already.
const FETCH_TIME_MAX_WAITED_RATIO: f64 = 0.2;
/// An image that is yet to be requested counts as so many times as far.
const NEW_FETCH_WEIGHT: f64 = 2.0;

/// On how many machines each image is.
#[derive(Debug, Default)]
pub(crate) struct ImagePrevalence {
    /// The part of the schedulable machines that has or fetches each image.
    share_by_image: HashMap<Rc<str>, f64>,
}

impl ImagePrevalence {
    /// Counts the schedulable machines of a fleet.
    pub(super) fn count(fleet: &Fleet, now: Time) -> Self {
        let mut share_by_image: HashMap<Rc<str>, f64> = HashMap::new();
        let schedulable = fleet
            .machines
            .values()
            .filter(|machine| fleet.is_schedulable(machine, now));
        let mut machines: f64 = 0.0;
        for machine in schedulable {
            machines += 1.0;
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
            *count /= machines.max(1.0);
        }
        ImagePrevalence { share_by_image }
    }

    /// The part of the machines that has or fetches an image.
    fn share(&self, image: &str) -> f64 {
        self.share_by_image.get(image).copied().unwrap_or(0.0)
    }
}

/// How far an image is from a machine, in steps: 0 if the wait is negligible, and one more for each doubling of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ImageDistance {
    /// For the next task.
    pub(super) current: u8,
    /// For the tasks after it: the image is requested by then.
    pub(super) once_requested: u8,
}

impl ImageDistance {
    fn same(distance: u8) -> Self {
        ImageDistance {
            current: distance,
            once_requested: distance,
        }
    }
}

/// How long a job's tasks should wait for their image.
#[derive(Clone, Copy)]
pub(super) struct ImageWaitPolicy {
    is_gang: bool,
    /// A wait that hardly matters, in seconds.
    negligible_s: f64,
    /// For how many seconds the job has waited.
    waited_s: f64,
    /// The part of the machines that has the image: the larger, the sooner one of them has room.
    prevalence: f64,
}

impl ImageWaitPolicy {
    /// Whether a fetch would take so long that the task should wait for another machine.
    fn is_too_long(&self, fetch: ImageFetch) -> bool {
        fetch.total_s
            > fetch.alone_s * FETCH_TIME_MAX_RATIO + self.waited_s * FETCH_TIME_MAX_WAITED_RATIO
            || (!fetch.is_requested && self.waited_s < fetch.alone_s * self.prevalence)
    }

    /// The distance that a wait of so many seconds amounts to.
    fn steps(&self, wait_s: f64) -> u8 {
        (wait_s / self.negligible_s)
            .max(1.0)
            .log2()
            .ceil()
            .min(f64::from(u8::MAX)) as u8
    }
}

/// How long a machine takes for an image.
#[derive(Clone, Copy)]
struct ImageFetch {
    /// The image is present or requested.
    is_requested: bool,
    /// Seconds that the image takes on a machine with nothing else to fetch.
    alone_s: f64,
    /// Seconds until the image is complete, if it is requested now at the latest.
    total_s: f64,
}

impl SchedulingView<'_> {
    /// How long a job's tasks should wait for their image.
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

    /// How far a job's image is from a machine. None if the machine is so busy with other images that others will have
    /// it sooner.
    pub(super) fn image_distance(
        &self,
        candidate: &CandidateMachine,
        spec: &Submission,
        policy: ImageWaitPolicy,
    ) -> Option<ImageDistance> {
        let Some(machine) = self.fleet.machines.get(&candidate.machine) else {
            return Some(ImageDistance::same(0));
        };
        let remaining_s = machine.image_cache.remaining_fetch_s(&spec.image, self.now);
        if policy.is_gang {
            // Fetching the image may take longer than a gang should wait.
            return Some(ImageDistance::same(u8::from(remaining_s.is_none())));
        }
        let alone_s = fetch_s(
            spec.image_gb,
            self.catalog.image_cache_capacity(candidate.type_index),
        );
        let fetch = ImageFetch {
            is_requested: remaining_s.is_some(),
            alone_s,
            total_s: remaining_s
                .unwrap_or_else(|| machine.image_cache.fetch_backlog_s(self.now) + alone_s),
        };
        if policy.is_too_long(fetch) {
            return None;
        }
        let once_requested = policy.steps(fetch.total_s);
        Some(if fetch.is_requested {
            ImageDistance::same(once_requested)
        } else {
            // What is fetched delays what else the machine fetches, and takes room in its cache.
            ImageDistance {
                current: policy.steps(fetch.total_s * NEW_FETCH_WEIGHT),
                once_requested,
            }
        })
    }
}
