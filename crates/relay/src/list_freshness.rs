//! Holds requests back for a moment while the list of servers is too old to go by.
//!
//! After the process stood still, requests and the news of servers that have left wait together, and the news takes longer:
//! it has to be asked for. A list that is old because nobody answers is all there is, so nothing waits for it.

use dahlia_types::Duration;
use tokio::sync::watch;
use tokio::time::{self, Instant, timeout_at};

use crate::RelaySettings;

/// How late the end of a wait must be noticed to show that the process stood still, so that nothing could arrive.
const MIN_STAND_STILL: time::Duration = time::Duration::from_millis(250);

/// How recent the list of servers is.
#[derive(Debug)]
pub(crate) struct ListFreshness {
    state: watch::Sender<ListState>,
    /// None if no age is too old.
    max_age: Option<time::Duration>,
    max_wait: time::Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct ListState {
    /// The time as of which the list is complete; none if that was never known.
    complete_as_of: Option<Instant>,
    /// Whether the source of the list does not answer.
    is_source_silent: bool,
}

impl ListFreshness {
    pub(crate) fn new(settings: &RelaySettings) -> Self {
        Self {
            state: watch::Sender::default(),
            max_age: settings.most_list_age_ms.map(time::Duration::from_millis),
            max_wait: time::Duration::from_millis(settings.most_list_wait_ms),
        }
    }

    /// Records that the list is complete as of a time.
    pub(crate) fn record_complete(&self, as_of: Instant) {
        self.state.send_modify(|state| {
            state.complete_as_of = state.complete_as_of.max(Some(as_of));
            state.is_source_silent = false;
        });
    }

    /// Records that the source of the list does not answer.
    pub(crate) fn record_silence(&self) {
        self.state.send_modify(|state| state.is_source_silent = true);
    }

    /// Waits until the list is recent, its source is known not to answer, or the longest wait is over. Returns the time
    /// waited; none if nothing was to be waited for.
    pub(crate) async fn await_recent(&self) -> Option<Duration> {
        if self.is_usable(&self.state.borrow()) {
            return None;
        }
        let started = Instant::now();
        while !self.wait_once().await {}
        Some(Duration::from_secs_f64(started.elapsed().as_secs_f64()))
    }

    /// Waits once. Returns whether that is enough: without an update in time, the list that is there has to do.
    async fn wait_once(&self) -> bool {
        let mut states = self.state.subscribe();
        let end = Instant::now() + self.max_wait;
        let recent = timeout_at(end, states.wait_for(|state| self.is_usable(state))).await;
        recent.is_ok() || end.elapsed() < MIN_STAND_STILL
    }

    fn is_usable(&self, state: &ListState) -> bool {
        let ListState { complete_as_of, is_source_silent } = *state;
        let Some((as_of, max_age)) = complete_as_of.zip(self.max_age) else { return true };
        is_source_silent || as_of.elapsed() <= max_age
    }
}
