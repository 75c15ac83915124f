//! Routed requests, built from the log lines that name them.

use std::collections::{BTreeMap, HashMap};

use super::LogLine;

/// The log field with the id of a request.
const REQUEST_FIELD: &str = "request";
/// The id in lines that belong to no request.
const NO_REQUEST: &str = "-";

/// The outcome of a request at its gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was forwarded.
    Completed,
    /// The gateway refused it, with this cause.
    Refused(String),
    /// Its stream broke off, with this cause.
    Interrupted(String),
    /// Its caller left before the answer ended.
    CallerLeft,
}

/// One request at one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedRequest {
    /// When the gateway accepted it, in seconds since 1970.
    pub accepted_at: f64,
    /// When its caller stops waiting for it.
    pub deadline: f64,
    /// The service that its route leads to.
    pub service: Option<String>,
    /// The server that it was sent to last.
    pub server: Option<String>,
    /// When it was first sent to a server.
    pub sent_at: Option<f64>,
    /// What came of each send that was followed by another, in order.
    pub repeat_causes: Vec<String>,
    /// When its answer began.
    pub answer_began_at: Option<f64>,
    /// When and how it ended; `None` while it is open.
    pub outcome: Option<(f64, RequestOutcome)>,
}

impl LoggedRequest {
    /// Whether a server processes it at the time `at`. When its gateway process has ended, the logs
    /// have no outcome, so it counts until its deadline.
    pub fn is_at_server(&self, at: f64) -> bool {
        let is_sent = self.sent_at.is_some_and(|sent| sent <= at);
        let end = self.outcome.as_ref().map_or(self.deadline, |(end, _)| *end);
        is_sent && at < end
    }
}

/// All requests of the logs, in the order in which they were accepted.
#[derive(Debug, Clone, Default)]
pub struct LoggedRequests {
    requests: Vec<LoggedRequest>,
    /// Index of the latest request of each id: a caller may reuse an id.
    latest_by_id: HashMap<String, usize>,
}

impl LoggedRequests {
    /// Applies a line; lines that belong to no request are ignored.
    pub fn add_line(&mut self, line: &LogLine) {
        let Some(name) = line.field(REQUEST_FIELD).filter(|name| *name != NO_REQUEST) else {
            return;
        };
        if line.message == "Taken." {
            self.latest_by_id.insert(name.to_owned(), self.requests.len());
            let deadline_ms = line.field("deadline_ms").and_then(|text| text.parse::<f64>().ok());
            let deadline = line.timestamp + deadline_ms.unwrap_or_default() / 1_000.0;
            self.requests.push(LoggedRequest {
                accepted_at: line.timestamp,
                deadline,
                service: line.field("service").map(str::to_owned),
                server: None,
                sent_at: None,
                repeat_causes: Vec::new(),
                answer_began_at: None,
                outcome: None,
            });
            return;
        }
        let Some(request) =
            self.latest_by_id.get(name).and_then(|place| self.requests.get_mut(*place))
        else {
            return;
        };
        let cause = || line.field("cause").unwrap_or("unknown").to_owned();
        match line.message.as_str() {
            "Server chosen." => {
                request.server = line.field("server").map(str::to_owned);
                request.sent_at.get_or_insert(line.timestamp);
            }
            "Sent again." => request.repeat_causes.push(cause()),
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

    /// Iterates over all requests.
    pub fn iter(&self) -> impl Iterator<Item = &LoggedRequest> {
        self.requests.iter()
    }

    /// Counts the requests at each server at the time `at`.
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
