//! Mechanisms that a test can switch off, to show that its checker notices their absence.

use std::collections::BTreeSet;

/// The mechanisms of one component that are switched off.
///
/// A component lets them be switched off only in builds with its feature `test-switches`: in other
/// builds this set is always empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switches<Mechanism: Ord> {
    off: BTreeSet<Mechanism>,
}

impl<Mechanism: Ord> Default for Switches<Mechanism> {
    fn default() -> Self {
        Self { off: BTreeSet::new() }
    }
}

impl<Mechanism: Ord> Switches<Mechanism> {
    /// Whether a mechanism is on.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Switches a mechanism off.
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.off.insert(mechanism);
    }
}
