//! A table over time of what became of requests, and where they waited.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{LoggedRequest, LoggedRequests, RequestOutcome};

/// The share of requests whose time to the first piece is below the second figure shown.
const HIGH_QUANTILE: f64 = 0.9;

/// One row: requests taken within a stretch of time.
#[derive(Debug, Default)]
struct Window<'a> {
    requests: Vec<&'a LoggedRequest>,
}

impl Window<'_> {
    fn count(&self, is_counted: impl Fn(&RequestOutcome) -> bool) -> usize {
        let ends = self.requests.iter().filter_map(|request| request.outcome.as_ref());
        ends.filter(|(_, end)| is_counted(end)).count()
    }

    /// Milliseconds from the taking to the beginning of the answer, in rising order.
    fn waits(&self) -> Vec<f64> {
        let waits = self
            .requests
            .iter()
            .filter_map(|request| Some(request.answer_began_at? - request.accepted_at));
        let mut waits: Vec<f64> = waits.map(|seconds| seconds * 1_000.0).collect();
        waits.sort_by(f64::total_cmp);
        waits
    }
}

/// Writes the table, with windows of so many seconds, and the causes of what was not answered whole.
pub fn format_report(requests: &LoggedRequests, window_s: f64) -> String {
    let Some(first) = requests.iter().map(|request| request.accepted_at).reduce(f64::min) else {
        return "no requests in these logs\n".to_owned();
    };
    let mut windows: BTreeMap<u64, Window<'_>> = BTreeMap::new();
    let mut causes: BTreeMap<String, u32> = BTreeMap::new();
    for request in requests.iter() {
        let place = ((request.accepted_at - first) / window_s) as u64;
        windows.entry(place).or_default().requests.push(request);
        if let Some(cause) = cause(request) {
            *causes.entry(cause).or_default() += 1;
        }
    }
    let mut text = String::from(
        "from s   taken   whole refused  broken    left    open  first ms p50   p90  at servers  least middle most\n",
    );
    for (place, window) in &windows {
        let from = *place as f64 * window_s;
        let is = |wanted: fn(&RequestOutcome) -> bool| window.count(wanted);
        let whole = is(|end| *end == RequestOutcome::Completed);
        let refused = is(|end| matches!(end, RequestOutcome::Refused(_)));
        let broken = is(|end| matches!(end, RequestOutcome::Interrupted(_)));
        let left = is(|end| *end == RequestOutcome::CallerLeft);
        let open = window.requests.iter().filter(|request| request.outcome.is_none()).count();
        let waits = window.waits();
        let (middle, high) = (quantile(&waits, 0.5), quantile(&waits, HIGH_QUANTILE));
        let loads = requests.count_by_server(first + from + window_s / 2.0);
        let mut loads: Vec<u32> = loads.into_values().collect();
        loads.sort_unstable();
        let sum: u32 = loads.iter().sum();
        let load = |place: usize| loads.get(place).copied().unwrap_or_default();
        let (least, most) = (load(0), load(loads.len().saturating_sub(1)));
        let row = writeln!(
            text,
            "{from:6.1} {:7} {whole:7} {refused:7} {broken:7} {left:7} {open:7} {middle:13.0} \
             {high:5.0} {sum:11} {least:6} {:6} {most:4}",
            window.requests.len(),
            load(loads.len() / 2),
        );
        row.expect("a string takes all");
    }
    if !causes.is_empty() {
        text.push_str("\nnot answered whole, by cause:\n");
    }
    for (cause, count) in causes {
        writeln!(text, "{count:7}  {cause}").expect("a string takes all");
    }
    text
}

/// Why a request was not answered whole; none when it was.
fn cause(request: &LoggedRequest) -> Option<String> {
    match &request.outcome {
        Some((_, RequestOutcome::Completed)) => None,
        Some((_, RequestOutcome::Refused(cause))) => Some(format!("refused: {cause}")),
        Some((_, RequestOutcome::Interrupted(cause))) => Some(format!("broken off: {cause}")),
        Some((_, RequestOutcome::CallerLeft)) if request.answer_began_at.is_some() => {
            Some("the caller left in the middle of the answer".to_owned())
        }
        Some((_, RequestOutcome::CallerLeft)) if request.sent_at.is_some() => {
            Some("the caller left while a server worked".to_owned())
        }
        Some((_, RequestOutcome::CallerLeft)) => {
            Some("the caller left before a server was asked".to_owned())
        }
        None => Some("no end in these logs: the process ended, or they end before".to_owned()),
    }
}

/// The value below which a share of sorted values lies; 0 for none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share) as usize;
    sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
