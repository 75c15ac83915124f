//! The calls of a chain run in the order in which the program issued them.

use std::collections::BTreeSet;

use dahlia_types::{AttemptId, CallId, ChainId, ProgramId, Timestamp};

use super::Found;
use super::view::{CallView, View};
use crate::Promise;
use crate::world::CallerOutcome;

pub(super) fn check(view: &View<'_>, found: &mut Found) {
    let chains: BTreeSet<(ProgramId, ChainId)> =
        view.calls.keys().map(|call| (call.program, call.chain)).collect();
    for (program, chain) in chains {
        for (call, seen) in view.chain(program, chain) {
            for (at, attempt) in &seen.started {
                check_start(view, *call, *at, *attempt, found);
            }
        }
    }
}

fn check_start(
    view: &View<'_>,
    call: CallId,
    at: Timestamp,
    attempt: AttemptId,
    found: &mut Found,
) {
    for (other, seen) in view.chain(call.program, call.chain) {
        if other.number > call.number && is_overtaken(seen, at) && !is_given_up(view, attempt, at) {
            let what = format!("{attempt} was started after {other} had been");
            found.broken(Promise::Order, what);
        }
        if other.number < call.number && is_running(seen, at) {
            let what = format!("{attempt} was started while {other} was being answered");
            found.broken(Promise::Order, what);
        }
    }
}

/// Whether a later call had been started before `at`.
fn is_overtaken(later: &CallView<'_>, at: Timestamp) -> bool {
    later.started.iter().any(|(started, _)| *started < at)
}

/// Whether the attempt had been given up before it started: its engine could not be reached, and
/// the call went on by another attempt or its caller was told that nobody knows. Such a late start
/// cannot be called back without the engine; it is counted in the figures.
pub(super) fn is_given_up(view: &View<'_>, attempt: AttemptId, at: Timestamp) -> bool {
    let Some(seen) = view.calls.get(&attempt.call) else {
        return false;
    };
    let retried = seen
        .accepted
        .iter()
        .any(|accepted| accepted.at < at && accepted.attempt.attempt > attempt.attempt);
    let unknown = seen
        .told
        .iter()
        .any(|(told, outcome, _)| *told < at && **outcome == CallerOutcome::Unknown);
    retried || unknown
}

/// Whether the attempt that answered an earlier call had not ended at `at`.
fn is_running(earlier: &CallView<'_>, at: Timestamp) -> bool {
    let Some(CallerOutcome::Answered(text)) = earlier.outcome() else {
        return false;
    };
    let ended = earlier.texts.iter().find(|(_, whole)| whole == text);
    ended.is_some_and(|(ended, _)| *ended > at)
}
