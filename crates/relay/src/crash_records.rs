//! Records of servers that ended while a request was there, without I/O.
//!
//! A mark says that one server ended under one request. A void mark says that it does not count any more, and wins over
//! the mark itself, so that gateways agree on the same marks in whatever order they learn of them.

use std::collections::{BTreeMap, HashMap};

use dahlia_backends::ServerDigest;
use dahlia_types::{Duration, Timestamp};

use crate::RequestFingerprint;

/// The most requests with marks, at some 200 bytes each.
const MAX_REQUESTS: usize = 4_096;
/// The part of the requests that is dropped when there are too many.
const DROPPED_PART: usize = MAX_REQUESTS / 8;
/// The most marks of one request.
const MAX_MARKS: usize = 24;

/// One server ended while one request was there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashMark {
    /// The request.
    pub request: RequestFingerprint,
    /// The incarnation of the server.
    pub server: ServerDigest,
    /// Whether the mark does not count any more.
    pub is_void: bool,
    /// How much longer it is kept.
    pub lifetime: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    is_void: bool,
    expires_at: Timestamp,
}

type Marks = BTreeMap<ServerDigest, Mark>;

/// The marks of all requests.
#[derive(Debug, Default)]
pub(crate) struct CrashRecords {
    requests: HashMap<RequestFingerprint, Marks>,
    /// How many of these requests have a body of each length.
    body_lengths: HashMap<u64, usize>,
}

impl CrashRecords {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether some request with a body of this length has marks.
    pub(crate) fn has_body_length(&self, bytes: u64) -> bool {
        self.body_lengths.contains_key(&bytes)
    }

    /// The servers that count as ended under a request.
    pub(crate) fn ended_servers(&self, request: RequestFingerprint, now: Timestamp) -> usize {
        self.valid(request, now).filter(|(_, mark)| !mark.is_void).count()
    }

    /// How long until fewer than `limit` servers count as ended under a request.
    pub(crate) fn time_until_below(
        &self,
        request: RequestFingerprint,
        limit: usize,
        now: Timestamp,
    ) -> Duration {
        let counted = self.valid(request, now).filter(|(_, mark)| !mark.is_void);
        let mut expiries: Vec<Timestamp> = counted.map(|(_, mark)| mark.expires_at).collect();
        expiries.sort_unstable();
        let surplus = expiries.len().saturating_sub(limit.saturating_sub(1));
        let last = surplus.checked_sub(1).and_then(|last| expiries.get(last));
        last.map_or(Duration::ZERO, |last| last.since(now))
    }

    /// The marks of a request.
    pub(crate) fn marks(&self, request: RequestFingerprint, now: Timestamp) -> Vec<CrashMark> {
        self.valid(request, now).map(|(server, mark)| mark.told(request, *server, now)).collect()
    }

    /// The marks of all requests.
    pub(crate) fn all(&self, now: Timestamp) -> Vec<CrashMark> {
        self.requests.keys().flat_map(|request| self.marks(*request, now)).collect()
    }

    /// At most this many marks, those of the requests under which most servers ended first.
    pub(crate) fn worst(&self, max: usize, now: Timestamp) -> Vec<CrashMark> {
        let ranked = self.requests.iter().map(|(request, marks)| rank(*request, marks));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let marks = ranked.into_iter().flat_map(|(_, _, request)| self.marks(request, now));
        marks.take(max).collect()
    }

    /// A hash of all marks, by which two gateways notice that they know different ones.
    pub(crate) fn digest(&self, now: Timestamp) -> u64 {
        self.all(now).into_iter().map(hash_mark).fold(0, |digest, hash| digest ^ hash)
    }

    /// Adds a mark. Returns whether it is new, or void for the first time.
    pub(crate) fn add(&mut self, mark: CrashMark, now: Timestamp) -> bool {
        if mark.lifetime == Duration::ZERO {
            return false;
        }
        if !self.requests.contains_key(&mark.request) {
            self.make_room(now);
            *self.body_lengths.entry(mark.request.body_bytes).or_default() += 1;
        }
        let marks = self.requests.entry(mark.request).or_default();
        if let Some(known) = marks.get_mut(&mark.server).filter(|known| now < known.expires_at) {
            let is_changed = mark.is_void && !known.is_void;
            known.is_void |= mark.is_void;
            return is_changed;
        }
        let added = Mark { is_void: mark.is_void, expires_at: now + mark.lifetime };
        marks.insert(mark.server, added);
        if marks.len() > MAX_MARKS {
            drop_oldest(marks);
        }
        true
    }

    /// Voids the marks of a request. Returns those that counted before.
    pub(crate) fn void(
        &mut self,
        request: RequestFingerprint,
        only: Option<ServerDigest>,
        now: Timestamp,
    ) -> Vec<CrashMark> {
        let Some(marks) = self.requests.get_mut(&request) else { return Vec::new() };
        let is_named = |server: &ServerDigest| only.is_none_or(|only| only == *server);
        let mut voided = Vec::new();
        for (server, mark) in marks.iter_mut().filter(|(server, _)| is_named(server)) {
            if !mark.is_void && now < mark.expires_at {
                mark.is_void = true;
                voided.push(mark.told(request, *server, now));
            }
        }
        voided
    }

    /// Drops marks whose time is over.
    pub(crate) fn prune(&mut self, now: Timestamp) {
        self.requests.retain(|_, marks| {
            marks.retain(|_, mark| now < mark.expires_at);
            !marks.is_empty()
        });
        self.count_body_lengths();
    }

    fn valid(
        &self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ServerDigest, &Mark)> {
        let marks = self.requests.get(&request).into_iter().flatten();
        marks.filter(move |(_, mark)| now < mark.expires_at)
    }

    /// Makes room for one more request. Those under which the fewest servers ended go first, so that many requests with one
    /// mark each do not push out one that ends its servers.
    fn make_room(&mut self, now: Timestamp) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        self.prune(now);
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let mut ranked: Vec<(usize, Timestamp, RequestFingerprint)> =
            self.requests.iter().map(|(request, marks)| rank(*request, marks)).collect();
        ranked.select_nth_unstable(DROPPED_PART);
        for (_, _, request) in &ranked[..DROPPED_PART] {
            self.requests.remove(request);
        }
        self.count_body_lengths();
        log::warn!(
            target: "relay", dropped = DROPPED_PART;
            "Marks of ended servers are dropped before their time: there are too many."
        );
    }

    fn count_body_lengths(&mut self) {
        self.body_lengths.clear();
        for request in self.requests.keys() {
            *self.body_lengths.entry(request.body_bytes).or_default() += 1;
        }
    }
}

impl Mark {
    fn told(&self, request: RequestFingerprint, server: ServerDigest, now: Timestamp) -> CrashMark {
        CrashMark { request, server, is_void: self.is_void, lifetime: self.expires_at.since(now) }
    }
}

fn rank(request: RequestFingerprint, marks: &Marks) -> (usize, Timestamp, RequestFingerprint) {
    let counted = marks.values().filter(|mark| !mark.is_void).count();
    let last = marks.values().map(|mark| mark.expires_at).max().unwrap_or(Timestamp::ZERO);
    (counted, last, request)
}

/// Drops a void mark, or the one that expires first.
fn drop_oldest(marks: &mut Marks) {
    let oldest = marks.iter().min_by_key(|(_, mark)| (!mark.is_void, mark.expires_at));
    if let Some(server) = oldest.map(|(server, _)| *server) {
        marks.remove(&server);
    }
}

fn hash_mark(mark: CrashMark) -> u64 {
    let CrashMark { request, server, is_void, .. } = mark;
    let bytes = request.digest.to_le_bytes().into_iter();
    let bytes = bytes.chain(request.body_bytes.to_le_bytes()).chain(server.0.to_le_bytes());
    dahlia_backends::stable_hash(bytes.chain([u8::from(is_void)]))
}
