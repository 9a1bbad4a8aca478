//! Controllers, a store and users in memory, whose messages are delayed, lost, repeated and applied late.

pub mod checker;
pub mod controller;
pub mod store;
pub mod world;

use std::collections::BTreeSet;
use std::rc::Rc;

use quota::{QuotaSection, QuotaSettings};

/// Quotas as an operator writes them, for teams red, blue and green.
pub fn settings(text: &str) -> Rc<QuotaSettings> {
    let section: QuotaSection = toml::from_str(text).unwrap();
    let known = BTreeSet::from(["red", "blue", "green"]);
    Rc::new(QuotaSettings::check(&section, &known).unwrap())
}
