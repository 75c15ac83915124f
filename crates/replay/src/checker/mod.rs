//! Judges a run by what was seen from outside: one rule for each promise.
//!
//! | module | job |
//! |---|---|
//! | `view` | observations by call and program |
//! | `order`, `history`, `answers`, `limits`, `ends`, `configuration` | the rules |
//! | `figures` | what a run measured |
//! | `expectations` | outcomes that a trace states |

mod answers;
mod configuration;
mod ends;
mod expectations;
mod figures;
mod history;
mod limits;
mod order;
mod view;

use serde::Serialize;

use crate::Promise;
use crate::trace::Trace;
use crate::world::Observations;

pub use figures::{Figures, percentile};

use view::View;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
    /// Whether it is an outcome that the trace states, rather than a promise of every run.
    pub is_stated: bool,
}

/// What the checker found.
#[derive(Debug, Clone, Default)]
pub struct Judgement {
    /// Broken promises, each with what was seen; empty when all held.
    pub violations: Vec<Violation>,
    /// What the run measured.
    pub figures: Figures,
}

impl Judgement {
    /// Whether all promises held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether a promise was broken.
    pub fn breaks(&self, promise: Promise) -> bool {
        self.violations.iter().any(|violation| violation.promise == promise)
    }
}

/// Judges a run of a trace.
pub fn judge(trace: &Trace, seen: &Observations) -> Judgement {
    let view = View::new(seen);
    let mut found = Found::default();
    order::check(&view, &mut found);
    history::check(&view, &mut found);
    limits::check_budget(&view, &mut found);
    limits::check_at_most_once(&view, &mut found);
    limits::check_not_run(&view, &mut found);
    answers::check(&view, &mut found);
    configuration::check(trace, &view, &mut found);
    ends::check_release(&view, &mut found);
    ends::check_leaving(trace, &view, &mut found);
    ends::check_stops(&view, &mut found);
    ends::check_progress(&view, &mut found);
    expectations::check(trace, &view, &mut found);
    let figures = figures::measure(&view);
    Judgement { violations: found.violations, figures }
}

/// Violations as they are found.
#[derive(Debug, Default)]
struct Found {
    violations: Vec<Violation>,
}

impl Found {
    fn broken(&mut self, promise: Promise, what: impl Into<String>) {
        self.violations.push(Violation { promise, what: what.into(), is_stated: false });
    }

    fn not_as_stated(&mut self, promise: Promise, what: String) {
        self.violations.push(Violation { promise, what, is_stated: true });
    }
}
