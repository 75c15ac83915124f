//! A table over time of the outcomes of requests, their latency and the load of servers.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{LoggedRequest, LoggedRequests, RequestOutcome};

/// The upper quantile of the time to the first text that the table shows.
const HIGH_QUANTILE: f64 = 0.9;

/// One row: the requests accepted within a time window.
#[derive(Debug, Default)]
struct Window<'a> {
    requests: Vec<&'a LoggedRequest>,
}

impl Window<'_> {
    fn count(&self, is_counted: impl Fn(&RequestOutcome) -> bool) -> usize {
        let ends = self.requests.iter().filter_map(|request| request.outcome.as_ref());
        ends.filter(|(_, end)| is_counted(end)).count()
    }

    /// Milliseconds from acceptance to the beginning of the answer, in ascending order.
    fn first_text_millis(&self) -> Vec<f64> {
        let waits = self
            .requests
            .iter()
            .filter_map(|request| Some(request.answer_began_at? - request.accepted_at));
        let mut waits: Vec<f64> = waits.map(|seconds| seconds * 1_000.0).collect();
        waits.sort_by(f64::total_cmp);
        waits
    }
}

/// Formats the table, with windows of `window_s` seconds, and counts the causes of requests
/// without a complete answer.
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
        let waits = window.first_text_millis();
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
        row.expect("writing to a string does not fail");
    }
    if !causes.is_empty() {
        text.push_str("\nnot answered whole, by cause:\n");
    }
    for (cause, count) in causes {
        writeln!(text, "{count:7}  {cause}").expect("writing to a string does not fail");
    }
    append_repeats(requests, &mut text);
    text
}

/// Appends how often requests were sent again, by service and cause.
fn append_repeats(requests: &LoggedRequests, text: &mut String) {
    let mut first_sends: BTreeMap<&str, u32> = BTreeMap::new();
    let mut repeats: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for request in requests.iter().filter(|request| request.sent_at.is_some()) {
        let service = request.service.as_deref().unwrap_or("unknown");
        *first_sends.entry(service).or_default() += 1;
        for cause in &request.repeat_causes {
            *repeats.entry((service, cause)).or_default() += 1;
        }
    }
    if repeats.is_empty() {
        return;
    }
    text.push_str("\nsent again, by service and cause:\n");
    for ((service, cause), count) in repeats {
        let first = first_sends.get(service).copied().unwrap_or_default();
        writeln!(text, "{count:7}  {service}: {cause} (of {first} first sends)")
            .expect("writing to a string does not fail");
    }
}

/// The cause why a request has no complete answer; `None` when it has one.
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

/// The quantile `share` of sorted values; 0 when there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share) as usize;
    sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
