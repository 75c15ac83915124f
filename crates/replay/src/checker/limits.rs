//! Budgets, calls at most once, and calls that were said not to have run.

use dahlia_types::Timestamp;

use super::Found;
use super::view::{CallView, View};
use crate::Promise;

/// Engines never use more than a program's budget, at any moment.
pub(super) fn check_budget(view: &View<'_>, found: &mut Found) {
    for (program, seen) in &view.programs {
        let mut used = 0;
        for (at, usage) in &seen.usage {
            used += usage.total().0;
            let in_force = seen.budgets.iter().filter(|(from, _)| from <= at);
            let budget = in_force.map(|(_, budget)| *budget).max().unwrap_or(0);
            if used > budget {
                let what =
                    format!("engines used {used} tokens for {program}, its budget is {budget}");
                found.broken(Promise::Budget, what);
                break;
            }
        }
    }
}

/// No attempt of a call at most once starts after another one has.
pub(super) fn check_at_most_once(view: &View<'_>, found: &mut Found) {
    for (call, seen) in &view.calls {
        let once = seen.sent.is_some_and(|(_, _, once)| once);
        if once && seen.started.len() > 1 {
            let what = format!("{call} was started {} times", seen.started.len());
            found.broken(Promise::AtMostOnce, what);
        }
    }
}

/// When a caller is told that its call did not run, no attempt of it has started, and none starts
/// afterwards unless somebody asks for the call again or still waits for it.
pub(super) fn check_not_run(view: &View<'_>, found: &mut Found) {
    for seen in view.calls.values() {
        for (told, caller, reason) in &seen.not_run {
            let broken = seen.started.iter().find(|(started, _)| {
                *started <= *told || !is_wanted(seen, *told, *caller, *started)
            });
            if let Some((started, attempt)) = broken {
                let when = if started <= told { "had been" } else { "was later" };
                let what = format!("{attempt} {when} started, and its caller was told {reason:?}");
                found.broken(Promise::NotRun, what);
            }
        }
    }
}

/// Whether somebody wants the call to run at `started`, after `caller` was told at `told` that it
/// did not.
fn is_wanted(seen: &CallView<'_>, told: Timestamp, caller: usize, started: Timestamp) -> bool {
    let asked_again = seen.asked.iter().any(|(at, _)| *at > told && *at <= started);
    let others_wait = seen.asked.iter().any(|(at, other)| {
        let answered = seen.answered.iter().any(|(at, who)| who == other && *at < started);
        *other != caller && *at <= started && !answered
    });
    asked_again || others_wait
}
