//! Ends: of programs, of engines' service, of daemons, and of calls.

use dahlia_types::Duration;

use super::Found;
use super::view::View;
use crate::Promise;
use crate::trace::{Event, Fault, Trace};

/// After so long, an engine that says that it leaves gets no new work. Reports are read twice a
/// second.
pub const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Longest planned stop.
const STOP_BOUND: Duration = Duration::from_secs(61);

/// At the end, which is long after the last program ended, engines hold nothing.
pub(super) fn check_release(view: &View<'_>, found: &mut Found) {
    for (program, engine) in &view.seen.held_now {
        let what = format!("e{engine} still holds memory for {program}");
        found.broken(Promise::Release, what);
    }
}

pub(super) fn check_leaving(trace: &Trace, view: &View<'_>, found: &mut Found) {
    let lag = |event: &Event| match event {
        Event::Fault(Fault::Lag { by, .. }) => *by,
        _ => Duration::ZERO,
    };
    let longest = trace.events.iter().map(|timed| lag(&timed.event)).max().unwrap_or_default();
    let bound = Duration(LEAVING_BOUND.0 + longest.0);
    for received in &view.received_leaving {
        if received.leaving_for > bound {
            let what = format!(
                "e{} got {} when it had been leaving for {} ms",
                received.engine,
                received.attempt,
                received.leaving_for.as_millis()
            );
            found.broken(Promise::LeavingEngine, what);
        }
    }
}

pub(super) fn check_stops(view: &View<'_>, found: &mut Found) {
    for (daemon, cut, took) in &view.stops {
        if *cut > 0 {
            let what = format!("the planned stop of {daemon} cut {cut} requests");
            found.broken(Promise::PlannedStop, what);
        }
        if *took > STOP_BOUND {
            let what = format!("the planned stop of {daemon} took {} ms", took.as_millis());
            found.broken(Promise::PlannedStop, what);
        }
    }
}

pub(super) fn check_progress(view: &View<'_>, found: &mut Found) {
    for what in &view.unfinished {
        found.broken(Promise::Progress, format!("never ended: {what}"));
    }
}
