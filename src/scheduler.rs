//! The scheduler: decides in which order waiting jobs are placed and to which machines their tasks are assigned.
//!
//! A [`SchedulingPass`](pass::SchedulingPass) visits the waiting jobs in the order of [`order`] and places each as a
//! job array ([`arrays`]) or as a gang ([`gangs`]). It reads the leader's state through a
//! [`SchedulingView`](pass::SchedulingView) and returns assignments. The leader carries them out before the next job is
//! placed, and launches them once they are stored. The pricing rule ([`pricing`], [`candidate_queue`]) decides which of
//! the allowed machines ([`candidates`]) a task gets.

mod arrays;
pub(crate) mod attempt_limits;
pub(crate) mod candidate_queue;
mod candidates;
mod gangs;
pub(crate) mod image_cache;
pub(crate) mod image_locality;
mod order;
pub(crate) mod pass;
pub(crate) mod preemption;
pub(crate) mod pricing;
mod zone_constraint;

use std::collections::BTreeSet;

use crate::config::Tunables;
use crate::fleet::Fleet;
use crate::jobs::JobIndex;
use crate::runtime::Time;
use crate::scheduler::image_locality::ImagePrevalence;
use crate::scheduler::pricing::PricingRule;

/// The users' objective for the largest jobs: they should start within this many seconds of being ready.
pub(crate) const LARGE_JOB_START_TARGET_S: f64 = 240.0;

/// The scheduler's state between passes.
pub(crate) struct Scheduler {
    /// Decides which machine a task gets.
    pub(crate) pricing_rule: PricingRule,
    /// Jobs that have pending tasks.
    pub(crate) waiting_jobs: BTreeSet<JobIndex>,
    /// Whether a scheduling pass should run because of a change since the last one.
    pub(crate) scheduling_pass_requested: bool,
    /// The jobs that passes have visited since the last one that reached the end of the order. A pass that ends early is
    /// continued by the next one, which leaves these out.
    pub(crate) visited_jobs: BTreeSet<JobIndex>,
    /// Whether the last pass left tasks unplaced because too many decisions wait to be stored.
    pub(crate) waits_for_writes: bool,
    /// The fraction of the schedulable machines that have or fetch each image, as of the last update.
    pub(crate) image_prevalence: ImagePrevalence,
}

impl Scheduler {
    /// Creates a scheduler without waiting jobs and requests a first pass.
    pub(crate) fn new(tunables: &Tunables) -> Self {
        Scheduler {
            pricing_rule: PricingRule::new(tunables.rho, tunables.large_share),
            waiting_jobs: BTreeSet::new(),
            scheduling_pass_requested: true,
            visited_jobs: BTreeSet::new(),
            waits_for_writes: false,
            image_prevalence: ImagePrevalence::default(),
        }
    }

    /// Recomputes [`Scheduler::image_prevalence`] from the fleet.
    pub(crate) fn update_image_prevalence(&mut self, fleet: &Fleet, now: Time) {
        self.image_prevalence = ImagePrevalence::from_fleet(fleet, now);
    }
}
