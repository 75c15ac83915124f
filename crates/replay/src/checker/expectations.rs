//! Outcomes that a trace states.

use super::Found;
use super::view::View;
use crate::trace::{OutcomeKind, Trace};
use crate::world::CallerOutcome;

pub(super) fn check(trace: &Trace, view: &View<'_>, found: &mut Found) {
    for stated in &trace.expectations {
        let of_program = |program| {
            stated.program.is_empty() || view.seen.names.get(&program) == Some(&stated.program)
        };
        let count = view
            .calls
            .iter()
            .filter(|(call, seen)| {
                of_program(call.program) && seen.outcome().map(kind) == Some(stated.outcome)
            })
            .count() as u32;
        if !(stated.least..=stated.most).contains(&count) {
            let what = format!(
                "{count} calls of {:?} ended as {}; stated: {} to {}",
                stated.program,
                stated.outcome.name(),
                stated.least,
                stated.most
            );
            found.not_as_stated(trace.promise, what);
        }
    }
}

fn kind(outcome: &CallerOutcome) -> OutcomeKind {
    match outcome {
        CallerOutcome::Answered(_) => OutcomeKind::Answered,
        CallerOutcome::NotRun(_) => OutcomeKind::NotRun,
        CallerOutcome::Unknown => OutcomeKind::Unknown,
    }
}
