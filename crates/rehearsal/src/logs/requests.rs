//! Routed requests, put together from the lines that name them.

use std::collections::{BTreeMap, HashMap};

use super::LogLine;

/// The field that names a request.
const REQUEST: &str = "request";
/// Stands where a line belongs to no request.
const NOT_NAMED: &str = "-";

/// How a request ended, as far as its gateway knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Handed on whole.
    Completed,
    /// Ended by the gateway itself, for this cause.
    Refused(String),
    /// Its stream broke off, for this cause.
    Interrupted(String),
    /// Its caller left before its end.
    CallerLeft,
}

/// One request at one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedRequest {
    /// When it was taken, in seconds since 1970.
    pub accepted_at: f64,
    /// When its caller stops waiting for it.
    pub deadline: f64,
    /// The server that it was sent to last.
    pub server: Option<String>,
    /// When it was first sent to a server.
    pub sent_at: Option<f64>,
    /// When its answer began.
    pub answer_began_at: Option<f64>,
    /// When and how it ended; none while it goes on.
    pub outcome: Option<(f64, RequestOutcome)>,
}

impl LoggedRequest {
    /// Whether it is at a server at a moment. Of one whose process ended nothing more is heard: it is
    /// over at its deadline at the latest.
    pub fn is_at_server(&self, at: f64) -> bool {
        let is_sent = self.sent_at.is_some_and(|sent| sent <= at);
        let end = self.outcome.as_ref().map_or(self.deadline, |(end, _)| *end);
        is_sent && at < end
    }
}

/// All requests of some logs, in the order in which they were taken.
#[derive(Debug, Clone, Default)]
pub struct LoggedRequests {
    requests: Vec<LoggedRequest>,
    /// The present one of each name: a caller may use a name again.
    open: HashMap<String, usize>,
}

impl LoggedRequests {
    /// Takes a line in; lines that belong to no request are passed over.
    pub fn add_line(&mut self, line: &LogLine) {
        let Some(name) = line.field(REQUEST).filter(|name| *name != NOT_NAMED) else { return };
        if line.message == "Taken." {
            self.open.insert(name.to_owned(), self.requests.len());
            let deadline_ms = line.field("deadline_ms").and_then(|text| text.parse::<f64>().ok());
            let deadline = line.timestamp + deadline_ms.unwrap_or_default() / 1_000.0;
            let (server, sent_at, answer_began_at, outcome) = (None, None, None, None);
            let accepted_at = line.timestamp;
            self.requests.push(LoggedRequest {
                accepted_at,
                deadline,
                server,
                sent_at,
                answer_began_at,
                outcome,
            });
            return;
        }
        let Some(request) = self.open.get(name).and_then(|place| self.requests.get_mut(*place))
        else {
            return;
        };
        let cause = || line.field("cause").unwrap_or("unknown").to_owned();
        match line.message.as_str() {
            "Server chosen." => {
                request.server = line.field("server").map(str::to_owned);
                request.sent_at.get_or_insert(line.timestamp);
            }
            "Stream began." => request.answer_began_at = Some(line.timestamp),
            "Answered." => {
                request.answer_began_at.get_or_insert(line.timestamp);
                request.outcome = Some((line.timestamp, RequestOutcome::Completed));
            }
            "Stream ended whole." => {
                request.outcome = Some((line.timestamp, RequestOutcome::Completed))
            }
            "Refused." => {
                request.outcome = Some((line.timestamp, RequestOutcome::Refused(cause())))
            }
            "Stream broken off." => {
                request.outcome = Some((line.timestamp, RequestOutcome::Interrupted(cause())))
            }
            "The caller left." => {
                request.outcome = Some((line.timestamp, RequestOutcome::CallerLeft))
            }
            _ => {}
        }
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &LoggedRequest> {
        self.requests.iter()
    }

    /// Requests at each server at a moment.
    pub fn count_by_server(&self, at: f64) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for request in self.requests.iter().filter(|request| request.is_at_server(at)) {
            if let Some(server) = &request.server {
                *counts.entry(server.as_str()).or_default() += 1;
            }
        }
        counts
    }
}
