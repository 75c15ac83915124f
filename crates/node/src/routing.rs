//! The way of a request from the daemon that took it to the owner of its group.
//!
//! A request is repeated until the owner answers or its time is up. Repeating is safe: creations
//! carry an identifier drawn beforehand, and calls carry a key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, GroupId, Timestamp};

use crate::request::{Request, RequestId};

/// An owner that did not answer in this time is asked again, or another member is.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same for requests whose answer may take long.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a member said that it is not the owner.
const REDIRECT_PAUSE: Duration = Duration::from_millis(40);
/// A request is given up after this time. Longer than a fail-over.
const REQUEST_LIMIT: Duration = Duration::from_secs(15);
/// The same for requests whose answer may take long.
const LONG_REQUEST_LIMIT: Duration = Duration::from_secs(3_600);

/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplyTo {
    /// A request of this daemon's gateway or operators' server.
    Here(RequestId),
    /// A request that another daemon passed on.
    Peer {
        /// Where the answer goes.
        address: SocketAddr,
        /// That daemon's name for the request.
        id: RequestId,
    },
}

/// A request of this daemon on its way.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) request: Request,
    /// When it is sent again, or to another member.
    pub(crate) next_try: Timestamp,
    deadline: Timestamp,
    tries: u32,
}

/// All requests of this daemon that have no answer yet, and what is known of owners.
#[derive(Debug, Default)]
pub(crate) struct Router {
    requests: BTreeMap<RequestId, RoutedRequest>,
    hints: BTreeMap<GroupId, DaemonId>,
}

impl Router {
    /// Takes in a request; it is due at once.
    pub(crate) fn add(&mut self, id: RequestId, request: Request, now: Timestamp) {
        let limit = if request.waits() { LONG_REQUEST_LIMIT } else { REQUEST_LIMIT };
        let routed = RoutedRequest { request, next_try: now, deadline: now + limit, tries: 0 };
        self.requests.insert(id, routed);
    }

    /// Requests that are due to be sent. Marks them as sent at `now`.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<(RequestId, Request, u32)> {
        let mut due = Vec::new();
        for (id, routed) in &mut self.requests {
            if routed.next_try > now || routed.deadline <= now {
                continue;
            }
            let wait = if routed.request.waits() { LONG_ANSWER_TIMEOUT } else { ANSWER_TIMEOUT };
            routed.next_try = now + wait;
            due.push((*id, routed.request.clone(), routed.tries));
            routed.tries += 1;
        }
        due
    }

    /// Requests whose time is up.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<RequestId> {
        let expired =
            |(id, routed): (&RequestId, &RoutedRequest)| (routed.deadline <= now).then_some(*id);
        let ids: Vec<RequestId> = self.requests.iter().filter_map(expired).collect();
        for id in &ids {
            self.requests.remove(id);
        }
        ids
    }

    /// Removes an answered request. None when it was answered before.
    pub(crate) fn finish(&mut self, id: RequestId) -> Option<RoutedRequest> {
        self.requests.remove(&id)
    }

    /// A member said that it does not own the group.
    pub(crate) fn redirect(&mut self, id: RequestId, hint: Option<DaemonId>, now: Timestamp) {
        let Some(routed) = self.requests.get_mut(&id) else {
            return;
        };
        routed.next_try = now + REDIRECT_PAUSE;
        let group = routed.request.group();
        match hint {
            Some(daemon) => {
                self.hints.insert(group, daemon);
            }
            None => {
                self.hints.remove(&group);
            }
        }
    }

    /// Who may own a group.
    pub(crate) fn hint(&self, group: GroupId) -> Option<DaemonId> {
        self.hints.get(&group).copied()
    }

    /// Notes who owns a group.
    pub(crate) fn set_hint(&mut self, group: GroupId, owner: DaemonId) {
        self.hints.insert(group, owner);
    }

    /// Forgets a hint that did not answer.
    pub(crate) fn drop_hint(&mut self, group: GroupId) {
        self.hints.remove(&group);
    }

    /// Forgets hints that name a daemon.
    pub(crate) fn drop_hints_to(&mut self, daemon: DaemonId) {
        self.hints.retain(|_, owner| *owner != daemon);
    }

    /// Requests without an answer.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
