//! Routed requests, put together from the lines that name them.

use std::collections::{BTreeMap, HashMap};

use super::LogLine;

/// The field that names a request.
const REQUEST: &str = "request";
/// Stands where a line belongs to no request.
const NOT_NAMED: &str = "-";

/// How a request ended, as far as its gateway knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// Handed on whole.
    Whole,
    /// Ended by the gateway itself, for this cause.
    Refused(String),
    /// Its stream broke off, for this cause.
    Broken(String),
    /// Its caller left before its end.
    Left,
}

/// One request at one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedRequest {
    /// When it was taken, in seconds since 1970.
    pub taken: f64,
    /// When its caller stops waiting for it.
    pub deadline: f64,
    /// The server that it was sent to last.
    pub server: Option<String>,
    /// When it was first sent to a server.
    pub sent: Option<f64>,
    /// When its answer began.
    pub began: Option<f64>,
    /// When and how it ended; none while it goes on.
    pub end: Option<(f64, RequestEnd)>,
}

impl LoggedRequest {
    /// Whether it is at a server at a moment. Of one whose process ended nothing more is heard: it is
    /// over at its deadline at the latest.
    pub fn is_sent_at(&self, at: f64) -> bool {
        let is_sent = self.sent.is_some_and(|sent| sent <= at);
        let end = self.end.as_ref().map_or(self.deadline, |(end, _)| *end);
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
    pub fn add(&mut self, line: &LogLine) {
        let Some(name) = line.field(REQUEST).filter(|name| *name != NOT_NAMED) else { return };
        if line.sentence == "Taken." {
            self.open.insert(name.to_owned(), self.requests.len());
            let deadline_ms = line.field("deadline_ms").and_then(|text| text.parse::<f64>().ok());
            let deadline = line.at + deadline_ms.unwrap_or_default() / 1_000.0;
            let (server, sent, began, end) = (None, None, None, None);
            let taken = line.at;
            self.requests.push(LoggedRequest { taken, deadline, server, sent, began, end });
            return;
        }
        let Some(request) = self.open.get(name).and_then(|place| self.requests.get_mut(*place))
        else {
            return;
        };
        let cause = || line.field("cause").unwrap_or("unknown").to_owned();
        match line.sentence.as_str() {
            "Server chosen." => {
                request.server = line.field("server").map(str::to_owned);
                request.sent.get_or_insert(line.at);
            }
            "Stream began." => request.began = Some(line.at),
            "Answered." => {
                request.began.get_or_insert(line.at);
                request.end = Some((line.at, RequestEnd::Whole));
            }
            "Stream ended whole." => request.end = Some((line.at, RequestEnd::Whole)),
            "Refused." => request.end = Some((line.at, RequestEnd::Refused(cause()))),
            "Stream broken off." => request.end = Some((line.at, RequestEnd::Broken(cause()))),
            "The caller left." => request.end = Some((line.at, RequestEnd::Left)),
            _ => {}
        }
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &LoggedRequest> {
        self.requests.iter()
    }

    /// Requests at each server at a moment.
    pub fn at_servers(&self, at: f64) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for request in self.requests.iter().filter(|request| request.is_sent_at(at)) {
            if let Some(server) = &request.server {
                *counts.entry(server.as_str()).or_default() += 1;
            }
        }
        counts
    }
}
