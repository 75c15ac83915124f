//! An accepted configuration is in force everywhere in time and never reverts.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, Timestamp};

use super::Found;
use super::view::View;
use crate::Promise;
use crate::trace::{Event, Fault, Trace};

/// In force everywhere within this time (letter 1).
const BOUND: Duration = Duration::from_secs(7);

pub(super) fn check(trace: &Trace, view: &View<'_>, found: &mut Found) {
    check_rising(view, found);
    check_one_change_each(view, found);
    for (accepted, generation) in &view.accepted {
        check_spread(trace, view, *accepted, *generation, found);
    }
}

/// No daemon ever goes back, over all its lives.
fn check_rising(view: &View<'_>, found: &mut Found) {
    let mut highest: BTreeMap<DaemonId, u64> = BTreeMap::new();
    for (_, daemon, generation) in &view.in_force {
        let before = highest.entry(*daemon).or_default();
        if generation < before {
            let what = format!("{daemon} went back from generation {before} to {generation}");
            found.broken(Promise::Configuration, what);
        }
        *before = (*before).max(*generation);
    }
}

/// Two operators are never told that their changes made the same generation.
fn check_one_change_each(view: &View<'_>, found: &mut Found) {
    let mut seen = std::collections::BTreeSet::new();
    for (_, generation) in &view.accepted {
        if !seen.insert(*generation) {
            let what = format!("two changes were accepted as generation {generation}");
            found.broken(Promise::Configuration, what);
        }
    }
}

/// Daemons that ran undisturbed have the generation, or a later one, in time; all others at the
/// end.
fn check_spread(
    trace: &Trace,
    view: &View<'_>,
    accepted: Timestamp,
    generation: u64,
    found: &mut Found,
) {
    let due = accepted + BOUND;
    let disturbed = is_disturbed(trace, view, accepted, due);
    let by = if disturbed { view.seen.end } else { due };
    if view.seen.end < due {
        return;
    }
    for (daemon, started) in last_starts(view) {
        // A daemon that has just come back serves nobody until it knows the generation.
        if started + BOUND > by {
            continue;
        }
        let has = view
            .in_force
            .iter()
            .any(|(at, other, in_force)| *other == daemon && *at <= by && *in_force >= generation);
        if !has {
            let what = format!("generation {generation} was not in force on {daemon} in time");
            found.broken(Promise::Configuration, what);
        }
    }
}

/// Daemons that run at the end, with their last start.
fn last_starts(view: &View<'_>) -> BTreeMap<DaemonId, Timestamp> {
    let mut starts: BTreeMap<DaemonId, Timestamp> = BTreeMap::new();
    for (at, daemon) in &view.started {
        starts.insert(*daemon, *at);
    }
    for (at, daemon) in &view.ended {
        if starts.get(daemon).is_some_and(|started| started <= at) {
            starts.remove(daemon);
        }
    }
    starts
}

/// Whether daemons or their links were disturbed at some moment between two. The key-value
/// service does not count: generations spread without it.
fn is_disturbed(trace: &Trace, view: &View<'_>, from: Timestamp, to: Timestamp) -> bool {
    trace.events.iter().any(|timed| {
        let Event::Fault(fault) = &timed.event else { return false };
        let begins = view.seen.start + timed.at;
        let ends = begins + fault.length();
        let concerns = !matches!(
            fault,
            Fault::Outage { .. }
                | Fault::LostReply { .. }
                | Fault::Stale { .. }
                | Fault::Leave { .. }
                | Fault::Lag { .. }
                | Fault::Late { .. }
                | Fault::Crossed { .. }
                | Fault::LoseReplies { .. }
        );
        // A crash comes when its point is next passed.
        let open_end = matches!(fault, Fault::Crash { .. } | Fault::Stop { .. });
        concerns && begins <= to && (open_end || ends + BOUND >= from)
    })
}
