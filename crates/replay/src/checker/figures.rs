//! What a run measured, in virtual time.

use dahlia_types::{Duration, Timestamp};
use serde::Serialize;

use super::order::is_given_up;
use super::view::View;
use crate::world::CallerOutcome;

/// Figures of one run, or of many together.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Runs counted.
    pub runs: u64,
    /// Calls that callers sent.
    pub calls: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls whose callers were told "not run".
    pub not_run: u64,
    /// Calls whose callers were told "unknown".
    pub unknown: u64,
    /// Answers that were replaced while they were read.
    pub replaced: u64,
    /// Daemons killed.
    pub kills: u64,
    /// Calls at most once that were started twice.
    pub run_twice: u64,
    /// Calls that were started and whose callers were told "not run".
    pub not_run_but_ran: u64,
    /// Requests cut by planned stops.
    pub cut_by_stops: u64,
    /// Planned stops.
    pub stops: u64,
    /// Attempts that an engine started after they had been given up, because it could not be
    /// reached in between.
    pub late_starts: u64,
    /// From the death of a group's owner, with a call of it open, to the next outcome that a
    /// caller of that group was told, in microseconds.
    pub fail_over: Vec<u64>,
    /// Changes of the configuration that were accepted.
    pub changes: u64,
    /// From the moment when an operator was told that its change is accepted to the moment when
    /// it was in force on the last daemon that ran, in microseconds.
    pub spread: Vec<u64>,
    /// From an engine's first word that it leaves to the last work it got, in microseconds.
    pub leaving: Vec<u64>,
    /// From the moment when a caller or operator knew that a program is closed to the last moment
    /// at which an engine held memory for it, in microseconds.
    pub release: Vec<u64>,
}

impl Figures {
    /// Adds another run's figures.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.calls += other.calls;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.replaced += other.replaced;
        self.kills += other.kills;
        self.run_twice += other.run_twice;
        self.not_run_but_ran += other.not_run_but_ran;
        self.cut_by_stops += other.cut_by_stops;
        self.stops += other.stops;
        self.late_starts += other.late_starts;
        self.fail_over.extend(&other.fail_over);
        self.changes += other.changes;
        self.spread.extend(&other.spread);
        self.leaving.extend(&other.leaving);
        self.release.extend(&other.release);
    }
}

/// A percentile of microseconds as milliseconds; none of nothing.
pub fn percentile(values: &[u64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let place = ((sorted.len() as f64 * share).ceil() as usize).max(1) - 1;
    sorted.get(place.min(sorted.len().saturating_sub(1))).map(|micros| *micros as f64 / 1e3)
}

pub(super) fn measure(view: &View<'_>) -> Figures {
    let mut figures = Figures { runs: 1, ..Figures::default() };
    for seen in view.calls.values() {
        figures.calls += u64::from(seen.sent.is_some());
        match seen.outcome() {
            Some(CallerOutcome::Answered(_)) => figures.answered += 1,
            Some(CallerOutcome::NotRun(_)) => {
                figures.not_run += 1;
                figures.not_run_but_ran += u64::from(!seen.started.is_empty());
            }
            Some(CallerOutcome::Unknown) => figures.unknown += 1,
            None => {}
        }
        let once = seen.sent.is_some_and(|(_, _, once)| once);
        figures.run_twice += u64::from(once && seen.started.len() > 1);
        let late = seen.started.iter().filter(|(at, attempt)| is_given_up(view, *attempt, *at));
        figures.late_starts += late.count() as u64;
    }
    figures.replaced = view.replaced.len() as u64;
    for (_, cut, _) in &view.stops {
        figures.stops += 1;
        figures.cut_by_stops += u64::from(*cut);
    }
    measure_kills(view, &mut figures);
    figures.changes = view.accepted.len() as u64;
    figures.spread = spread(view);
    figures.leaving = last_work(view);
    for (program, seen) in &view.programs {
        let held = view.seen.last_held.get(program);
        if let (Some(closed), Some(held)) = (seen.closed, held) {
            figures.release.push(held.since(closed).as_micros());
        }
    }
    figures
}

fn measure_kills(view: &View<'_>, figures: &mut Figures) {
    for (killed, owned) in &view.kills {
        figures.kills += 1;
        for group in *owned {
            if let Some(served) = next_served(view, *group, *killed) {
                figures.fail_over.push(served.since(*killed).as_micros());
            }
        }
    }
}

/// The next outcome that a caller of a group was told, if one waited at that moment.
fn next_served(view: &View<'_>, group: u32, killed: Timestamp) -> Option<Timestamp> {
    let of_group = view.calls.iter().filter(|(call, _)| call.program.group.0 == group);
    let open = of_group.filter(|(_, seen)| {
        let sent = seen.sent.is_some_and(|(sent, _, _)| sent < killed);
        sent && seen.told.first().is_some_and(|(told, _, _)| *told > killed)
    });
    let told = open.filter_map(|(_, seen)| seen.told.first().map(|(told, _, _)| *told));
    told.min()
}

fn last_work(view: &View<'_>) -> Vec<u64> {
    let mut last: std::collections::BTreeMap<u32, Duration> = Default::default();
    for received in &view.received_leaving {
        let longest = last.entry(received.engine).or_default();
        *longest = received.leaving_for.max(*longest);
    }
    last.into_values().map(Duration::as_micros).collect()
}

/// How long each accepted generation took to the last daemon that had it, or a later one.
fn spread(view: &View<'_>) -> Vec<u64> {
    let mut lengths = Vec::new();
    for (accepted, generation) in &view.accepted {
        let mut first: std::collections::BTreeMap<_, Timestamp> = Default::default();
        for (at, daemon, in_force) in &view.in_force {
            if in_force >= generation {
                first.entry(*daemon).or_insert(*at);
            }
        }
        lengths.extend(first.values().max().map(|at| at.since(*accepted).as_micros()));
    }
    lengths
}
