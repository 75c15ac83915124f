//! Routing of requests from the daemon that received them to the owner of their group.
//!
//! A request is retried until the owner answers or its deadline passes. Retrying is safe: creations carry an
//! identifier drawn beforehand, calls carry a key, and commands to ledgers name their turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, Timestamp};

use crate::request::{Request, RequestId};

/// An urgent request is also sent to another member after this time without an answer, because a caller's turn
/// waits for it. Longer than a commit takes while a disk is slow.
const URGENT_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// An urgent request fails after this time without an answer. Longer than a fail-over with one round of votes,
/// and shorter than callers wait for a turn.
const URGENT_REQUEST_LIMIT: Duration = Duration::from_millis(3_500);
/// Delay before the next member is asked while members still name a silent owner.
const SILENT_OWNER_PAUSE: Duration = Duration::from_millis(100);
/// A daemon that did not answer is asked last for this time, unless it is heard from.
const SUSPICION_TIME: Duration = Duration::from_millis(1_200);
/// A request that the owner has not answered directly after this time is also sent through a helper. About
/// thirty times the usual response time, which is 4 to 6 ms on the users' platform.
const HELP_DELAY: Duration = Duration::from_millis(150);
/// Delay before another helper is asked: the previous one may be cut off as well.
const NEXT_HELPER_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of helpers asked for one request. Each may send it to the owner once more.
const MAX_HELPERS: usize = 3;
/// Maximum number of requests that a daemon forwards for others at a time. Further ones are dropped, and their
/// senders try another helper.
const MAX_FORWARDED: usize = 1_024;
/// Maximum number of consecutive redirects followed without delay: two members that name each other must not
/// bounce a request without a pause.
const MAX_IMMEDIATE_REDIRECTS: u32 = 2;
/// A request that is not answered in this time is sent to the owner again, or to another member.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Like [`ANSWER_TIMEOUT`], for requests whose answer may take long.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a member replied that it is not the owner.
const REDIRECT_DELAY: Duration = Duration::from_millis(40);
/// A request fails after this time without an answer. Longer than a fail-over.
const REQUEST_LIMIT: Duration = Duration::from_secs(15);
/// Like [`REQUEST_LIMIT`], for requests whose answer may take long.
const LONG_REQUEST_LIMIT: Duration = Duration::from_secs(3_600);

/// Where the answer to a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplyTo {
    /// To this daemon's gateway or operators' server.
    Here(RequestId),
    /// To another daemon that asked to forward the request.
    Peer {
        /// Address of that daemon.
        address: SocketAddr,
        /// That daemon's identifier of the request.
        id: RequestId,
    },
}

/// A request that this daemon routes and that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) request: Request,
    /// When it is sent next, to the owner or another member.
    pub(crate) next_try: Timestamp,
    deadline: Timestamp,
    tries: u32,
    /// The daemon that an urgent request was last sent to, until it answers.
    last_asked: Option<DaemonId>,
    /// When an urgent request was last sent to a suspected daemon.
    suspect_asked_at: Option<Timestamp>,
    immediate_redirects: u32,
    /// Where the answer goes.
    pub(crate) reply_to: ReplyTo,
    /// When the next helper is asked, unless the answer arrives before.
    help_at: Timestamp,
    /// Helpers asked so far.
    helpers: Vec<DaemonId>,
}

impl RoutedRequest {
    fn new(request: Request, reply_to: ReplyTo, now: Timestamp) -> Self {
        let limit = match &request {
            request if request.is_urgent() => URGENT_REQUEST_LIMIT,
            request if request.waits() => LONG_REQUEST_LIMIT,
            _ => REQUEST_LIMIT,
        };
        Self {
            request,
            next_try: now,
            deadline: now + limit,
            tries: 0,
            last_asked: None,
            suspect_asked_at: None,
            immediate_redirects: 0,
            reply_to,
            help_at: now + HELP_DELAY,
            helpers: Vec::new(),
        }
    }

    /// Whether a helper should be asked now. A request that is forwarded for another daemon is sent to the
    /// owner only, so that no request circulates.
    fn needs_help(&self, now: Timestamp) -> bool {
        let is_own = matches!(self.reply_to, ReplyTo::Here(_));
        let may_ask = self.request.is_urgent() && self.helpers.len() < MAX_HELPERS;
        is_own && may_ask && self.help_at <= now && now < self.deadline
    }

    /// Whether a daemon was asked to forward the request.
    pub(crate) fn has_helper(&self, daemon: DaemonId) -> bool {
        self.helpers.contains(&daemon)
    }
}

/// All requests without an answer yet, and what is known about the owners of groups.
#[derive(Debug, Default)]
pub(crate) struct Router {
    requests: BTreeMap<RequestId, RoutedRequest>,
    hints: BTreeMap<GroupId, DaemonId>,
    /// Daemons that did not answer, with the time until which they are asked last.
    suspects: BTreeMap<DaemonId, Timestamp>,
    /// The helper that answered last, with the time until which helpers are asked without delay.
    working_helper: Option<(DaemonId, Timestamp)>,
    /// Number of requests forwarded for other daemons so far; part of their identifiers.
    forwarded: u64,
}

/// Set in the identifiers of forwarded requests, and not in those that the driver chooses.
const FORWARDED_BIT: u64 = 1 << 63;

impl Router {
    /// Adds a request of this daemon, due at once.
    pub(crate) fn add(&mut self, id: RequestId, request: Request, now: Timestamp) {
        self.requests.insert(id, RoutedRequest::new(request, ReplyTo::Here(id), now));
    }

    /// Adds a request that another daemon asks to forward, due at once. Returns whether there was room for it.
    pub(crate) fn add_forwarded(
        &mut self,
        request: Request,
        reply_to: ReplyTo,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> bool {
        let others = self.requests.values();
        let forwarded = others.filter(|it| matches!(it.reply_to, ReplyTo::Peer { .. })).count();
        if forwarded >= MAX_FORWARDED {
            return false;
        }
        // The identifiers of an earlier incarnation must not be used again, as with the driver's.
        self.forwarded += 1;
        let id = RequestId(FORWARDED_BIT | ((incarnation.0 << 20) + self.forwarded));
        self.requests.insert(id, RoutedRequest::new(request, reply_to, now));
        true
    }

    /// Requests for which a helper should be asked now. The next helper is due after a delay.
    pub(crate) fn take_requests_for_helpers(
        &mut self,
        now: Timestamp,
    ) -> Vec<(RequestId, Request)> {
        let mut unanswered = Vec::new();
        for (id, routed) in &mut self.requests {
            if routed.needs_help(now) {
                routed.help_at = now + NEXT_HELPER_DELAY;
                unanswered.push((*id, routed.request.clone()));
            }
        }
        unanswered
    }

    /// Asks a helper without delay if one reached the silent owner recently. Otherwise the owner may be dead,
    /// and the other members are about to elect a new one.
    pub(crate) fn ask_for_help_now(&mut self, id: RequestId, now: Timestamp) {
        let is_helper_working = self.working_helper.is_some_and(|(_, until)| now < until);
        if let Some(routed) = self.requests.get_mut(&id)
            && is_helper_working
            && routed.helpers.is_empty()
        {
            routed.help_at = now;
        }
    }

    /// Chooses a helper for a request among candidates and records that it is asked: the helper that answered
    /// last, or else one chosen by the identifier of the request. No helper is asked twice for a request.
    pub(crate) fn choose_helper(
        &mut self,
        id: RequestId,
        candidates: &[DaemonId],
    ) -> Option<DaemonId> {
        let routed = self.requests.get_mut(&id)?;
        let is_new = |daemon: &&DaemonId| !routed.helpers.contains(daemon);
        let unasked: Vec<DaemonId> = candidates.iter().filter(is_new).copied().collect();
        let working =
            self.working_helper.map(|(helper, _)| helper).filter(|helper| unasked.contains(helper));
        let other = || unasked.get((id.0 % unasked.len().max(1) as u64) as usize).copied();
        let helper = working.or_else(other)?;
        routed.helpers.push(helper);
        Some(helper)
    }

    /// Records that a helper returned the answer of an owner that does not answer directly.
    pub(crate) fn record_help(
        &mut self,
        helper: DaemonId,
        owner: Option<DaemonId>,
        now: Timestamp,
    ) {
        self.working_helper = Some((helper, now + SUSPICION_TIME));
        if let Some(owner) = owner {
            self.suspects.insert(owner, now + SUSPICION_TIME);
        }
    }

    /// Makes requests due at once that wait for a silent daemon.
    pub(crate) fn retry_silent(&mut self, is_silent: impl Fn(DaemonId) -> bool, now: Timestamp) {
        for routed in self.requests.values_mut() {
            if routed.last_asked.is_some_and(&is_silent) {
                routed.next_try = now;
            }
        }
    }

    /// Takes the requests that are due to be sent, and marks them as sent at `now`.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<(RequestId, Request, u32)> {
        let mut due = Vec::new();
        for (id, routed) in &mut self.requests {
            if routed.next_try > now || routed.deadline <= now {
                continue;
            }
            let timeout = match &routed.request {
                request if request.is_urgent() => URGENT_ANSWER_TIMEOUT,
                request if request.waits() => LONG_ANSWER_TIMEOUT,
                _ => ANSWER_TIMEOUT,
            };
            routed.next_try = now + timeout;
            if let Some(silent) = routed.last_asked.take() {
                self.suspects.insert(silent, now + SUSPICION_TIME);
            }
            due.push((*id, routed.request.clone(), routed.tries));
            routed.tries += 1;
        }
        due
    }

    /// Removes the requests whose deadline has passed, and returns those of this daemon. Forwarded ones need no
    /// reply: their senders have the same limit.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<RequestId> {
        let expired =
            |(id, routed): (&RequestId, &RoutedRequest)| (routed.deadline <= now).then_some(*id);
        let ids: Vec<RequestId> = self.requests.iter().filter_map(expired).collect();
        let routed = ids.into_iter().filter_map(|id| self.requests.remove(&id));
        let own = |routed: RoutedRequest| match routed.reply_to {
            ReplyTo::Here(id) => Some(id),
            ReplyTo::Peer { .. } => None,
        };
        routed.filter_map(own).collect()
    }

    /// Removes an answered request. None when it was answered before.
    pub(crate) fn finish(&mut self, id: RequestId) -> Option<RoutedRequest> {
        self.requests.remove(&id)
    }

    /// Handles the reply of a member that does not own the group. The owner that it names is lost if that
    /// daemon's zone is silent. Returns whether the request is due at once.
    pub(crate) fn redirect(
        &mut self,
        id: RequestId,
        from: DaemonId,
        hint: Option<DaemonId>,
        is_lost: bool,
        now: Timestamp,
    ) -> bool {
        let is_silent = is_lost || hint.is_some_and(|hint| self.is_suspect(hint, now));
        let Some(routed) = self.requests.get_mut(&id) else {
            return false;
        };
        let is_urgent = routed.request.is_urgent();
        // The reply of another member does not replace the answer that is still awaited.
        if is_urgent && routed.last_asked.is_some_and(|asked| asked != from) {
            return false;
        }
        routed.last_asked = None;
        routed.next_try = now + REDIRECT_DELAY;
        // Unless the owner is silent here, a helper would get the same reply.
        if !is_silent {
            routed.help_at = now + HELP_DELAY;
        }
        let group = routed.request.group();
        if is_urgent && is_silent {
            // If the owner's zone is lost, the members are electing a new owner.
            routed.next_try = now + if is_lost { REDIRECT_DELAY } else { SILENT_OWNER_PAUSE };
            return false;
        }
        let names_another = hint.is_some_and(|hint| hint != from);
        let is_immediate =
            is_urgent && names_another && routed.immediate_redirects < MAX_IMMEDIATE_REDIRECTS;
        routed.immediate_redirects = if is_immediate { routed.immediate_redirects + 1 } else { 0 };
        if is_immediate {
            routed.next_try = now;
        }
        match hint {
            Some(daemon) => {
                self.hints.insert(group, daemon);
            }
            None => {
                self.hints.remove(&group);
            }
        }
        is_immediate
    }

    /// Makes a request due again after a short delay, because there was no daemon to ask.
    pub(crate) fn retry_soon(&mut self, id: RequestId, now: Timestamp) {
        if let Some(routed) = self.requests.get_mut(&id) {
            routed.next_try = now + REDIRECT_DELAY;
            routed.help_at = now + HELP_DELAY;
        }
    }

    /// Records that an urgent request was sent to a daemon, whose answer is now awaited.
    pub(crate) fn record_asked(&mut self, id: RequestId, daemon: DaemonId) {
        if let Some(routed) = self.requests.get_mut(&id) {
            routed.last_asked = Some(daemon);
        }
    }

    /// Whether a suspected daemon should be asked as well, once per answer timeout: it may only be slow, or the
    /// request may have been lost.
    pub(crate) fn should_ask_suspect(&mut self, id: RequestId, now: Timestamp) -> bool {
        let Some(routed) = self.requests.get_mut(&id) else {
            return false;
        };
        let is_due = routed
            .suspect_asked_at
            .is_none_or(|asked_at| now.since(asked_at) >= URGENT_ANSWER_TIMEOUT);
        if is_due {
            routed.suspect_asked_at = Some(now);
        }
        is_due
    }

    /// Whether a daemon failed to answer recently.
    pub(crate) fn is_suspect(&self, daemon: DaemonId, now: Timestamp) -> bool {
        self.suspects.get(&daemon).is_some_and(|until| *until > now)
    }

    /// Clears the suspicion of a daemon that answered.
    pub(crate) fn clear_suspicion(&mut self, daemon: DaemonId) {
        self.suspects.remove(&daemon);
    }

    /// The daemon that probably owns a group.
    pub(crate) fn hint(&self, group: GroupId) -> Option<DaemonId> {
        self.hints.get(&group).copied()
    }

    /// Records the probable owner of a group.
    pub(crate) fn set_hint(&mut self, group: GroupId, owner: DaemonId) {
        self.hints.insert(group, owner);
    }

    /// Removes the hint of a group.
    pub(crate) fn drop_hint(&mut self, group: GroupId) {
        self.hints.remove(&group);
    }

    /// Removes the hints that name a daemon.
    pub(crate) fn drop_hints_to(&mut self, daemon: DaemonId) {
        self.hints.retain(|_, owner| *owner != daemon);
    }

    /// Whether all requests are answered.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests without an answer.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
