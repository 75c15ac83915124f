//! Each caller gets the whole answer to its own call, the same one at every gateway.

use super::Found;
use super::view::View;
use crate::Promise;
use crate::world::CallerOutcome;

pub(super) fn check(view: &View<'_>, found: &mut Found) {
    for (call, seen) in &view.calls {
        for (_, outcome, gateway) in &seen.told {
            if let CallerOutcome::Answered(text) = outcome
                && !seen.texts.iter().any(|(_, whole)| whole == text)
            {
                let what = format!(
                    "{call} was answered at {gateway} with {} bytes that no engine gave as its \
                     whole answer",
                    text.len()
                );
                found.broken(Promise::WholeAnswer, what);
            }
        }
        let Some((_, first, one)) = seen.told.first() else { continue };
        for (_, outcome, other) in &seen.told[1..] {
            if !is_same(first, outcome) {
                let what = format!(
                    "{call} ended as {} at {one} and as {} at {other}",
                    describe(first),
                    describe(outcome)
                );
                found.broken(Promise::WholeAnswer, what);
            }
        }
    }
    for call in &view.replaced {
        let attempts = view.calls.get(call).map_or(0, |seen| seen.started.len());
        if attempts < 2 {
            let what = format!("{call} had one attempt, and its caller was told of another answer");
            found.broken(Promise::WholeAnswer, what);
        }
    }
    for (call, had, offset) in &view.out_of_place {
        let what = format!("the caller of {call} had {had} bytes and got a piece from {offset} on");
        found.broken(Promise::WholeAnswer, what);
    }
}

fn is_same(one: &CallerOutcome, other: &CallerOutcome) -> bool {
    match (one, other) {
        (CallerOutcome::NotRun(_), CallerOutcome::NotRun(_)) => true,
        _ => one == other,
    }
}

fn describe(outcome: &CallerOutcome) -> String {
    match outcome {
        CallerOutcome::Answered(text) => format!("an answer of {} bytes", text.len()),
        CallerOutcome::NotRun(reason) => format!("not run ({reason})"),
        CallerOutcome::Unknown => "unknown".to_owned(),
    }
}
