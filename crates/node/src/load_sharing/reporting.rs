//! A daemon's own loads, and when to report them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{Duration, Timestamp};

use super::LoadSharingSettings;
use super::message::{ItemLoad, LoadMessage, LoadPart, ReporterState};

/// A daemon's own loads, and the state of reporting them.
#[derive(Debug)]
pub(super) struct Reporting {
    own_address: SocketAddr,
    loads: BTreeMap<u64, ItemLoad>,
    state: ReporterState,
    /// Token times that have not been reported yet.
    times: BTreeMap<u64, ItemLoad>,
    loaded_since: Option<Timestamp>,
    /// None before the first report.
    last_report_at: Option<Timestamp>,
    has_changed: bool,
}

impl Reporting {
    pub(super) fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            loads: BTreeMap::new(),
            state: ReporterState::default(),
            times: BTreeMap::new(),
            loaded_since: None,
            last_report_at: None,
            has_changed: false,
        }
    }

    /// Updates the loads.
    pub(super) fn update(&mut self, own: &[ItemLoad], reaches_groups: bool, now: Timestamp) {
        let loaded = own.iter().filter(|load| load.is_loaded());
        let loads: BTreeMap<u64, ItemLoad> =
            loaded.map(|load| (load.item, load.without_times())).collect();
        let state = ReporterState { reaches_groups, is_leaving: false };
        self.has_changed |= loads != self.loads || state != self.state;
        for load in own.iter().filter(|load| load.timed_tokens > 0) {
            let time = ItemLoad { in_flight: 0, tokens: 0, ..*load };
            let sum = self.times.entry(load.item).or_insert(ItemLoad::none(load.item));
            *sum = sum.plus(&time);
        }
        self.loaded_since = match loads.is_empty() {
            true => None,
            false => self.loaded_since.or(Some(now)),
        };
        (self.loads, self.state) = (loads, state);
    }

    /// When the daemon last went from no load to load; none without load.
    pub(super) fn loaded_since(&self) -> Option<Timestamp> {
        self.loaded_since
    }

    /// Whether a report is due. New token times alone do not make it due early: they come with every event of
    /// a stream.
    pub(super) fn is_due(&self, settings: &LoadSharingSettings, now: Timestamp) -> bool {
        let Some(last_report_at) = self.last_report_at else { return true };
        let is_idle = self.loads.is_empty() && self.times.is_empty();
        let interval = match self.has_changed {
            // The driver calls once per report interval, with some jitter.
            true => Duration::ZERO,
            false => settings.renewal(is_idle),
        };
        now.since(last_report_at) >= interval
    }

    /// Builds the messages that report the current loads, and counts them as reported.
    pub(super) fn messages(&mut self, now: Timestamp) -> Vec<LoadMessage> {
        self.last_report_at = Some(now);
        self.has_changed = false;
        let mut loads = std::mem::take(&mut self.times);
        for (item, load) in &self.loads {
            let sum = loads.entry(*item).or_insert(ItemLoad::none(*item));
            *sum = sum.plus(load);
        }
        let mut messages = Vec::new();
        let mut first = Some(0);
        while let Some(item) = first {
            let loads = loads.range(item..).map(|(_, load)| *load);
            let part = LoadPart::from(item, loads, Duration::ZERO);
            first = part.next();
            messages.push(self.message(part, self.state));
        }
        messages
    }

    /// Takes the token times that have not been reported yet.
    pub(super) fn take_times(&mut self) -> Vec<ItemLoad> {
        std::mem::take(&mut self.times).into_values().collect()
    }

    /// Builds the message that tells an aggregator that this daemon leaves it.
    pub(super) fn leave_message(&self) -> LoadMessage {
        let part = LoadPart::from(0, std::iter::empty(), Duration::ZERO);
        self.message(part, ReporterState { is_leaving: true, ..self.state })
    }

    /// Makes a report due at once, because the aggregator has changed.
    pub(super) fn reset_schedule(&mut self) {
        self.last_report_at = None;
    }

    fn message(&self, part: LoadPart, state: ReporterState) -> LoadMessage {
        LoadMessage::Report { part, state, reply_to: self.own_address }
    }
}
