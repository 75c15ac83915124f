//! Mechanisms that a test can switch off, to show that its checker notices their absence.

use std::collections::BTreeSet;

/// The mechanisms of one part that are switched off.
///
/// A part offers a way to switch something off only in builds with its feature `test-switches`:
/// outside of those this is always empty.
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
    /// Whether a mechanism is in place.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Takes a mechanism out.
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.off.insert(mechanism);
    }
}
