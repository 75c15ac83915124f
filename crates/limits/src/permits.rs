//! Permits of one tenant, by the window that the deployment counts in, or else by a bucket.

use dahlia_types::{Duration, Timestamp};

use crate::bucket::Bucket;
use crate::memory::Forgotten;
use crate::unheard::Unheard;
use crate::window::Window;
use crate::{LimitSettings, RateLimit};

/// How a tenant's requests are counted.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Permits {
    /// The deployment names no window.
    Bucket(Bucket),
    /// It does.
    Window(Window),
}

impl Permits {
    /// Permits of a tenant that nothing is known of, by a keeper that has been there since a moment.
    /// What a keeper before may have let pass has been made up for after some time.
    pub(crate) fn new(
        settings: &LimitSettings,
        limit: RateLimit,
        since: Timestamp,
        now: Timestamp,
    ) -> Self {
        if let Some(tolerance) = settings.tolerance() {
            return Self::Window(Window::new(limit, tolerance, since));
        }
        let share = settings.first_share;
        let refilled = now.since(since).as_secs_f64() * limit.per_second() / limit.burst();
        Self::Bucket(Bucket::new(limit, (share + refilled).min(1.0), now))
    }

    pub(crate) fn limit(&self) -> RateLimit {
        match self {
            Self::Bucket(bucket) => bucket.limit(),
            Self::Window(window) => window.limit(),
        }
    }

    /// The most permits that there ever are.
    pub(crate) fn most(&self) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.limit().burst(),
            Self::Window(window) => window.allowance(),
        }
    }

    /// Puts another limit in force.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.set_limit(limit, now),
            Self::Window(window) => window.set_limit(limit, now),
        }
    }

    /// Permits at this moment; negative when more was let pass than the limit allows.
    pub(crate) fn level(&mut self, now: Timestamp) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.level(now),
            Self::Window(window) => window.level(now),
        }
    }

    /// Permits by what is known, also of a keeper that has just begun.
    pub(crate) fn known_level(&mut self, now: Timestamp) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.level(now),
            Self::Window(window) => window.known_level(now),
        }
    }

    /// Whether requests of late may be unknown, since their keeper has just begun. A bucket makes up
    /// for them by what it holds at first.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        matches!(self, Self::Window(window) if window.is_catching_up(now))
    }

    /// What passed before that nobody remembers. A bucket makes up for it as well.
    pub(crate) fn set_forgotten(&mut self, forgotten: Option<Forgotten>) {
        if let Self::Window(window) = self {
            window.set_forgotten(forgotten);
        }
    }

    /// So many requests were asked for.
    pub(crate) fn note_asked(&mut self, requests: f64) {
        if let Self::Window(window) = self {
            window.note_asked(requests);
        }
    }

    /// What is known of gateways that are not heard. A bucket does not go by it.
    pub(crate) fn unheard(&mut self) -> Option<&mut Unheard> {
        match self {
            Self::Bucket(_) => None,
            Self::Window(window) => Some(window.unheard()),
        }
    }

    /// Takes permits for requests that passed so long ago, under another keeper.
    pub(crate) fn take_earlier(&mut self, permits: f64, ago: Duration, now: Timestamp) {
        if let Self::Window(window) = self {
            window.take(permits, Timestamp(now.0.saturating_sub(ago.as_micros())));
        }
    }

    /// Takes permits for requests that pass in so long, whether they are there or not.
    pub(crate) fn take(&mut self, permits: f64, wait: Duration, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.take(permits, now),
            Self::Window(window) => window.take(permits, now + wait),
        }
    }

    /// Puts permits back that were not used.
    pub(crate) fn put_back(&mut self, permits: f64, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.put_back(permits, now),
            Self::Window(window) => window.put_back(permits, now),
        }
    }

    /// How long until there are as many as `wanted`, if nobody takes any.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        match self {
            Self::Bucket(bucket) => bucket.time_until(wanted, now),
            Self::Window(window) => window.time_until(wanted, now),
        }
    }
}
