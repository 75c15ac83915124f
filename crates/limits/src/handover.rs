//! What gateways tell a keeper of programs that it has not seen itself.
//!
//! A keeper's record of programs ends with the keeper. Its successor would take a program that is under way
//! for a new one, and would not know how many requests programs need. Gateways have both: each question says
//! what passed of its program, and the first report to a new keeper carries the rest.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, TenantId};
use serde::{Deserialize, Serialize};

use crate::ProgramKey;

/// The range of a program's requests that a keeper accepts as a mean. Longer programs are few, or loop.
const MEAN_REQUESTS_RANGE: (u32, u32) = (1, 128);
/// The longest duration of a program that a keeper accepts as a mean.
const MAX_MEAN_DURATION: Duration = Duration::from_secs(600);
const HUNDREDTHS: u32 = 100;

/// What passed of a program at one gateway within the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramProgress {
    /// The number of its requests that passed. 0 for a program that starts.
    pub requests: u32,
    /// The time since the first of them.
    pub age: Duration,
    /// The time since the last of them.
    pub idle: Duration,
}

impl ProgramProgress {
    /// The progress of a program whose request names an earlier one that this gateway does not know:
    /// the program rested for longer than the window, or came from another gateway.
    pub(crate) const UNRECORDED: Self =
        Self { requests: 1, age: Duration::ZERO, idle: Duration::ZERO };
}

/// Means over programs that have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProgramMeans {
    /// Hundredths of requests of a program.
    pub request_hundredths: u32,
    /// The time from a program's first to its last request.
    pub duration: Duration,
}

impl ProgramMeans {
    pub(crate) fn new(requests: f64, duration: Duration) -> Self {
        Self { request_hundredths: (requests * f64::from(HUNDREDTHS)) as u32, duration }
    }

    /// The requests of a program.
    pub(crate) fn requests(&self) -> f64 {
        f64::from(self.request_hundredths) / f64::from(HUNDREDTHS)
    }

    /// Bounds the means to what a keeper accepts.
    fn clamped(self) -> Self {
        let (min, max) = MEAN_REQUESTS_RANGE;
        Self {
            request_hundredths: self.request_hundredths.clamp(min * HUNDREDTHS, max * HUNDREDTHS),
            duration: self.duration.min(MAX_MEAN_DURATION),
        }
    }
}

/// A program that had a request pass at the reporting gateway a short time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveProgramReport {
    /// Its tenant.
    pub tenant: TenantId,
    /// The program.
    pub program: ProgramKey,
    /// What passed of it there.
    pub progress: ProgramProgress,
}

/// What a gateway tells a keeper that is new to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramHandover {
    /// The means that an earlier keeper told the gateway.
    pub means: Option<ProgramMeans>,
    /// Programs that may be active.
    pub programs: Vec<ActiveProgramReport>,
}

impl ProgramHandover {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.means.is_none() && self.programs.is_empty()
    }
}

/// The means that gateways told a new keeper.
#[derive(Debug, Default)]
pub(crate) struct ReportedMeans {
    by_gateway: BTreeMap<DaemonId, ProgramMeans>,
}

impl ReportedMeans {
    pub(crate) fn record(&mut self, gateway: DaemonId, means: ProgramMeans) {
        self.by_gateway.insert(gateway, means.clamped());
    }

    /// Returns the median of each figure, which a few odd reports do not change. None without reports.
    pub(crate) fn median(&self) -> Option<ProgramMeans> {
        let reported = self.by_gateway.values();
        let (mut requests, mut durations): (Vec<u32>, Vec<Duration>) =
            reported.map(|means| (means.request_hundredths, means.duration)).unzip();
        requests.sort_unstable();
        durations.sort_unstable();
        let middle = requests.len() / 2;
        let request_hundredths = *requests.get(middle)?;
        Some(ProgramMeans { request_hundredths, duration: durations[middle] })
    }
}
