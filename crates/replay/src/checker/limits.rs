//! Budgets, calls at most once, and calls that were said not to have run.

use super::Found;
use super::view::View;
use crate::Promise;
use crate::world::CallerOutcome;

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

/// No attempt of a call starts whose caller is told, before or after, that it did not run.
pub(super) fn check_not_run(view: &View<'_>, found: &mut Found) {
    for (call, seen) in &view.calls {
        let said = seen.told.iter().find_map(|(_, outcome, _)| match outcome {
            CallerOutcome::NotRun(reason) => Some(reason.clone()),
            _ => None,
        });
        let refused = seen.refused.first().map(|kind| kind.name().to_owned());
        if let Some(reason) = said.or(refused)
            && !seen.started.is_empty()
        {
            let what = format!("{call} was started, and its caller was told {reason:?}");
            found.broken(Promise::NotRun, what);
        }
    }
}
