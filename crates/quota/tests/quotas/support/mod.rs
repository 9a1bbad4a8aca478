//! Simulation of controllers, a store and users in memory. Messages are delayed, lost, duplicated and applied late.

pub mod checker;
pub mod controller;
pub mod store;
pub mod world;

use std::collections::BTreeSet;
use std::rc::Rc;

use quota::{QuotaSection, QuotaSettings};

/// Parses and validates the section `quota` of a features file, for the teams red, blue and green.
pub fn settings(text: &str) -> Rc<QuotaSettings> {
    let section: QuotaSection = toml::from_str(text).unwrap();
    let known = BTreeSet::from(["red", "blue", "green"]);
    Rc::new(QuotaSettings::check(&section, &known).unwrap())
}
