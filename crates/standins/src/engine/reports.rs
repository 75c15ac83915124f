//! What the engine has published: load reports with their lag, cache events with theirs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dahlia_adapters::engine::{CacheEvent, LoadReport};

use super::EngineFaults;

/// Cache events that are kept; older ones are lost to readers that lag so far.
const KEPT_CACHE_EVENTS: usize = 100_000;

/// Published reports of one life, with the real time of each.
#[derive(Debug, Default)]
pub(super) struct Reports {
    loads: VecDeque<(Instant, LoadReport)>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Reports {
    /// Publishes a load report; reports that no reader can see any more are dropped.
    pub(super) fn add_load(&mut self, report: LoadReport, faults: EngineFaults) {
        let delay = Duration::from_millis(faults.load_report_delay_ms);
        self.loads.push_back((Instant::now(), report));
        while self.loads.get(1).is_some_and(|(at, _)| at.elapsed() >= delay) {
            self.loads.pop_front();
        }
    }

    /// The newest load report that has the age that is in force; the oldest kept if none has.
    pub(super) fn load(&self, faults: EngineFaults) -> Option<LoadReport> {
        let delay = Duration::from_millis(faults.load_report_delay_ms);
        let visible = self.loads.iter().rev().find(|(at, _)| at.elapsed() >= delay);
        let (at, report) = visible.or(self.loads.front())?;
        let age = dahlia_types::Duration(at.elapsed().as_micros() as u64);
        Some(LoadReport { age, ..report.clone() })
    }

    /// Publishes a cache event.
    pub(super) fn add_cache_event(&mut self, event: CacheEvent) {
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// The cache events after a sequence number that a reader sees now.
    pub(super) fn cache_events(&self, after: u64, faults: EngineFaults) -> Vec<CacheEvent> {
        let delay = Duration::from_millis(faults.cache_event_delay_ms);
        let gap = faults.cache_event_gap;
        let late = self.events.iter().filter(|(at, _)| at.elapsed() >= delay);
        let kept = late.map(|(_, event)| *event).filter(|event| {
            let lost = gap > 0 && event.sequence.is_multiple_of(gap);
            event.sequence > after && !lost
        });
        kept.collect()
    }
}
