//! Step 5: sends a request to servers in turn, until one answers or the request is given up.

use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use dahlia_admission::Stage;
use dahlia_backends::{
    Affinity, AttemptEnd, BackendAddress, BackendId, Backends, Choice, ChoiceBasis, ChoiceRequest,
    SharedPrompt, SoftwareVersion, TurnSize,
};
use dahlia_types::{Duration, Timestamp, Tokens};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::attempt::{PreparedRequest, SendOutcome, connect};
use crate::counted_runs::CountedRuns;
use crate::counters::count;
use crate::memory::{CallerQuota, ReservedBody};
use crate::outgoing::OutgoingRequest;
use crate::prompt_parts::SharedPromptParts;
use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::repeat_budget::RepeatPermit;
use crate::repeats::RepeatCause;
use crate::request::RequestHead;
use crate::request_log::RequestLog;
use crate::router::{RouteMatch, hash_key};
use crate::server_response::{
    AttemptGuard, BrokenAnswer, ChosenServer, ReadWholeError, ServerResponse,
};
use crate::suspicion::Suspicion;
use crate::turn::Turn;
use crate::version_bound::VersionBound;
use crate::wait_queues::SlotGuard;
use crate::{Route, TurnLedger, priority_level};

/// A request with the state of all its attempts.
pub(crate) struct Exchange<L: TurnLedger> {
    pub(crate) shared: Arc<Shared<L>>,
    pub(crate) matched: RouteMatch,
    /// When the caller must have its answer.
    pub(crate) deadline: Instant,
    /// When its body was complete.
    pub(crate) arrived: Timestamp,
    /// When its caller gives up, which may come back before.
    pub(crate) caller_deadline: Timestamp,
    /// When it stops waiting in the queue for a server.
    pub(crate) leave_by: Timestamp,
    pub(crate) turn: Option<Turn<L>>,
    /// Identifier of the last event that was sent to the caller.
    pub(crate) last_event: Option<Bytes>,
    pub(crate) log: RequestLog,
    head: RequestHead,
    /// The memory quota of its caller's connection.
    pub(crate) caller: CallerQuota,
    body: ReservedBody,
    preferred: Option<BackendId>,
    tried: Vec<BackendId>,
    /// Number of servers that may have run it and whose answer is lost.
    pub(crate) lost_answers: u32,
    /// Servers among these that count against the route's attempt limit; those that have ended
    /// since do not.
    pub(crate) counted_runs: CountedRuns,
    /// Why the next send is a repeat; none before the first send.
    pub(crate) repeat_cause: Option<RepeatCause>,
    /// The repeat that is reserved for the next send.
    pub(crate) permit: Option<RepeatPermit>,
    /// The server of the last attempt.
    pub(crate) current: Option<BackendAddress>,
    /// The software versions at which it may run.
    pub(crate) bound_version: VersionBound,
    /// Whether other daemons can learn where its stream began.
    is_origin_recorded: bool,
    /// Tells when other daemons have been sent where its stream began.
    pub(crate) origin_sent: Option<oneshot::Receiver<()>>,
    /// None until it goes to servers.
    pub(crate) suspicion: Option<Suspicion>,
    /// Number of servers that did not run it.
    pub(crate) refusals: u32,
    /// Whether a server may be running it now.
    pub(crate) is_sent: bool,
}

/// The part of a server's answer that must be there before the caller gets any of it.
pub(crate) enum Answer {
    /// The whole answer.
    Whole { response: Box<ServerResponse>, body: ReservedBody },
    /// A stream with its first piece; no piece if the stream is empty.
    Stream { response: Box<ServerResponse>, first: Option<Bytes> },
}

impl<L: TurnLedger> Exchange<L> {
    pub(crate) fn new(
        shared: Arc<Shared<L>>,
        matched: RouteMatch,
        head: RequestHead,
        body: ReservedBody,
        deadline: Instant,
        log: RequestLog,
        caller: &CallerQuota,
    ) -> Self {
        let arrived = (shared.clock)();
        let time_left = deadline.saturating_duration_since(Instant::now());
        let leave_by = Self::leave_by(arrived, time_left, shared.settings.waiting.wait_share);
        let caller_timeout = head.caller_timeout.unwrap_or(time_left);
        let caller_deadline = arrived + Duration::from_secs_f64(caller_timeout.as_secs_f64());
        Self {
            arrived,
            caller_deadline,
            leave_by,
            caller: caller.clone(),
            log,
            shared,
            matched,
            deadline,
            turn: None,
            last_event: None,
            head,
            body,
            preferred: None,
            tried: Vec::new(),
            lost_answers: 0,
            counted_runs: CountedRuns::default(),
            repeat_cause: None,
            permit: None,
            current: None,
            bound_version: VersionBound::Any,
            is_origin_recorded: false,
            origin_sent: None,
            suspicion: None,
            refusals: 0,
            is_sent: false,
        }
    }

    pub(crate) fn head(&self) -> &RequestHead {
        &self.head
    }

    pub(crate) fn route(&self) -> &Route {
        self.matched.route()
    }

    /// Opens the request's turn, if it is one, and puts the turn's history before the body.
    pub(crate) async fn open_turn(&mut self) -> Result<(), Refusal> {
        let opening = Turn::open(
            &self.shared,
            &self.matched,
            &self.head,
            &self.body.bytes,
            self.deadline,
            &self.caller,
        );
        let Some((turn, opened)) = opening.await? else { return Ok(()) };
        self.turn = Some(turn);
        self.log.turn_opened(opened.history.len(), opened.last_served_by.as_deref());
        self.preferred = opened.last_served_by.as_deref().map(BackendId::from);
        self.prepend_history(opened.history)
    }

    /// Puts the history of earlier turns before the body.
    fn prepend_history(&mut self, history: Vec<u8>) -> Result<(), Refusal> {
        if history.is_empty() {
            return Ok(());
        }
        let retry_after = Duration::from_millis(self.shared.settings.retry_after_ms);
        let grown = self.body.reservation.grow(history.len());
        grown.map_err(|_| Refusal::MemoryFull { retry_after })?;
        let mut prompt = history;
        prompt.extend_from_slice(&self.body.bytes);
        self.body.bytes = Bytes::from(prompt);
        Ok(())
    }

    /// Sends the request to servers until one has answered it.
    ///
    /// # Errors
    /// The reason why there is no answer.
    pub(crate) async fn obtain_answer(&mut self) -> Result<Answer, Refusal> {
        self.begin_suspicion();
        self.refuse_if_withheld().await?;
        let max_bytes = self.shared.settings.most_answer_bytes;
        loop {
            let mut response = self.send_until_response().await?;
            let loss = if self.route().is_stream && response.parts.status.is_success() {
                match response.next().await {
                    Some(Err(BrokenAnswer { loss })) => loss,
                    Some(Ok(first)) => return Ok(Answer::Stream { response, first: Some(first) }),
                    None => return Ok(Answer::Stream { response, first: None }),
                }
            } else {
                match response.read_whole(max_bytes, &self.caller).await {
                    Ok(body) => return Ok(Answer::Whole { response, body }),
                    Err(ReadWholeError::NoMemory { .. }) => {
                        return Err(Refusal::AnswerLost);
                    }
                    Err(ReadWholeError::Broken { source }) => source.loss,
                }
            };
            // The connection must close before another server gets the request.
            drop(response);
            self.handle_answer_lost(loss).await?;
        }
    }

    /// Sends the request to servers until one begins to answer.
    pub(crate) async fn send_until_response(&mut self) -> Result<Box<ServerResponse>, Refusal> {
        loop {
            let chosen = self.acquire_server().await?;
            let repeats = self.may_move_on().then(|| self.service_budget());
            self.record_send();
            let slot = SlotGuard::new(&self.shared.queues, self.matched.service_name());
            let log = self.log.clone();
            let may_run_again = self.may_run_again();
            let guard = AttemptGuard::new(&self.shared, &chosen, may_run_again, repeats, log, slot);
            let server = chosen.server;
            if let Some(suspicion) = &self.suspicion {
                suspicion.mark_sent(&server.id);
            }
            count(&self.shared.counters.attempts);
            self.log.sent(&server.id, self.repeat_cause, self.deadline);
            let outcome = self.send_within_memory_limit(&server, guard).await;
            self.tried.push(server.id.clone());
            self.current = Some(server);
            match outcome {
                SendOutcome::Responding(response) => return Ok(response),
                SendOutcome::AnswerLost(loss) => self.handle_answer_lost(loss).await?,
                SendOutcome::NotRun { retry_after } => self.handle_not_run(retry_after)?,
            }
        }
    }

    /// Sends the request to one server, unless too many bytes are already on their way there. A
    /// server that does not read would only make this gateway hold more memory.
    async fn send_within_memory_limit(
        &mut self,
        server: &BackendAddress,
        mut guard: AttemptGuard,
    ) -> SendOutcome {
        let Some(_reservation) = self.shared.memory.reserve_send(&server.id, self.body.bytes.len())
        else {
            guard.fail(AttemptEnd::Cancelled, "too many bytes are on their way there");
            return SendOutcome::NotRun { retry_after: None };
        };
        self.send_to(server, guard).await
    }

    /// Sends the request to one server, on the first of its connections that is still open.
    async fn send_to(&mut self, server: &BackendAddress, mut guard: AttemptGuard) -> SendOutcome {
        // Another server can replace one lost answer while repeats are left. A second loss must be
        // avoided.
        let tolerates_loss =
            self.may_run_again() && self.lost_answers == 0 && self.service_budget().has_repeat();
        while let Some(connected) = connect(&self.shared, server, tolerates_loss).await {
            let is_new = connected.idle_for.is_none();
            self.mark_sent();
            guard = match self.prepare(server).send(connected, guard).await {
                Ok(sent) => return sent,
                Err(guard) => guard,
            };
            self.mark_not_run();
            if is_new {
                break;
            }
        }
        guard.fail(AttemptEnd::Unreachable, "no connection took a byte of it");
        SendOutcome::NotRun { retry_after: None }
    }

    fn prepare<'a>(&'a self, server: &'a BackendAddress) -> PreparedRequest<'a, L> {
        let outgoing = OutgoingRequest {
            names: &self.shared.headers,
            head: &self.head,
            body: &self.body.bytes,
            expected_instance: &server.id,
            priority: priority_level(self.matched.rank(), self.head.program_time_left),
            tenant: self.matched.tenant().map(|tenant| &tenant.name),
            last_event: self.last_event.as_ref(),
            deadline: self.deadline,
        };
        PreparedRequest {
            shared: &self.shared,
            service: self.matched.service(),
            server,
            is_stream: self.route().is_stream,
            outgoing,
        }
    }

    /// Chooses a server. The choice counts as an attempt in flight.
    pub(crate) fn choose_server(&self) -> Choice {
        let request = ChoiceRequest {
            service: self.matched.service_name(),
            affinity: self.affinity(),
            preferred: self.preferred.as_ref(),
            tried: &self.tried,
            size: self.turn_size(),
            version: self.bound_version.required(),
        };
        if self.bound_version == VersionBound::Unknown {
            let retry_after = Duration::from_millis(self.shared.settings.retry_after_ms);
            return Choice::NoBackend { retry_after };
        }
        let now = (self.shared.clock)();
        let avoided = self.servers_to_avoid();
        let mut backends = self.shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
        let choice = choose_avoiding(&mut backends, &request, avoided, now);
        if let Choice::Use { server, basis } = &choice {
            self.log.chosen(&server.id, basis, self.tried.len(), self.body.bytes.len());
        }
        choice
    }

    /// Combines a chosen server with the request's size and the estimate that the choice used.
    pub(crate) fn chosen_server(
        &self,
        server: BackendAddress,
        basis: &ChoiceBasis,
    ) -> ChosenServer {
        ChosenServer { server, size: self.turn_size(), expected: basis.estimate }
    }

    /// The request's size for a model server; none if the caller does not state it.
    fn turn_size(&self) -> Option<TurnSize> {
        self.head.turn_size(&self.shared.headers).filter(|_| self.route().is_stream)
    }

    /// Whether no server has received the request yet.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.tried.is_empty()
    }

    /// Whether the ledger has an earlier turn of this program.
    pub(crate) fn has_previous_turn(&self) -> bool {
        self.preferred.is_some()
    }

    /// The stage of its program, as far as the request's head and this gateway's memory tell.
    pub(crate) fn program_stage(&self) -> Stage {
        let is_stream = self.route().is_stream;
        let tenant = self.matched.tenant();
        self.shared.programs.stage(&self.head, &self.shared.headers, tenant, is_stream)
    }

    /// The cost of the request in tokens; 1 if the caller does not state it.
    pub(crate) fn cost(&self) -> Tokens {
        self.head.total_tokens(&self.shared.headers).unwrap_or(Tokens(1))
    }

    /// The body that servers get.
    pub(crate) fn body_content(&self) -> Bytes {
        self.body.bytes.clone()
    }

    pub(crate) fn body_bytes(&self) -> usize {
        self.body.bytes.len()
    }

    pub(crate) fn program_time_left(&self) -> Option<Duration> {
        self.head.program_time_left
    }

    pub(crate) fn record_retry_later(&self) {
        let tenant = self.matched.tenant();
        self.shared.programs.record_retry_later(&self.head, &self.shared.headers, tenant);
    }

    /// Notes that the caller gets an event of a server of this version. All further events must come from servers of
    /// the version that made the first one.
    pub(crate) fn bind_to_version(&mut self, version: &SoftwareVersion) {
        if self.bound_version == VersionBound::Any {
            self.bound_version = VersionBound::of(version);
        }
        if !self.is_origin_recorded && self.route().is_resumable {
            self.is_origin_recorded = true;
            self.record_origin();
        }
    }

    /// Whether only servers of one software version may go on with the stream.
    pub(crate) fn is_bound_to_version(&self) -> bool {
        self.bound_version != VersionBound::Any
    }

    /// Notes that the answer has begun. If no other server may get the request, its body is freed.
    pub(crate) fn mark_answer_begun(&mut self) {
        let tenant = self.matched.tenant();
        self.shared.programs.record_answer(&self.head, &self.shared.headers, tenant);
        if !self.may_run_again() {
            if let Some(suspicion) = &self.suspicion {
                suspicion.content.release_body();
            }
            self.body =
                ReservedBody { bytes: Bytes::new(), reservation: self.caller.empty_reservation() };
        }
    }

    /// Chooses what the request's server should already hold, on sticky routes. If the parts of a
    /// prompt that other requests share outweigh the rest, programs with the same parts go to the
    /// same few servers, so that few servers have to read these parts. Otherwise each program stays
    /// on one server. Requests that are no streams go by the object that they concern, if the
    /// caller names one.
    fn affinity(&self) -> Option<Affinity> {
        if !self.route().is_sticky {
            return None;
        }
        let names = &self.shared.headers;
        let hash = |text: &str| hash_key(text.as_bytes());
        if !self.route().is_stream
            && let Some(object) = self.head.affinity_object(names)
        {
            return Some(Affinity::Object(hash(object)));
        }
        let program = self.head.text(&names.program);
        let shared = self.head.text(&names.prompt_parts).and_then(SharedPromptParts::parse);
        match (shared, program) {
            (Some(shared), _) if shared.are_majority => {
                let prompt = SharedPrompt { hash: hash(shared.last), tokens: shared.tokens };
                Some(Affinity::SharedPrompt(prompt))
            }
            (_, Some(program)) => Some(Affinity::Program(hash(program))),
            (Some(shared), None) => Some(Affinity::Program(hash(shared.last))),
            (None, None) => None,
        }
    }

    fn mark_sent(&mut self) {
        self.is_sent = true;
        if let Some(turn) = &mut self.turn {
            turn.mark_sent();
        }
    }

    /// Notes that the last server did not run the request. The turn counts as not run unless
    /// another server may have run it.
    pub(crate) fn mark_not_run(&mut self) {
        self.is_sent = false;
        if self.may_have_run() {
            return;
        }
        if let Some(turn) = &mut self.turn {
            turn.mark_not_run();
        }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.is_sent || self.lost_answers > 0
    }

    pub(crate) fn refusal_without_server(&self, retry_after: Duration) -> Refusal {
        if self.may_have_run() {
            return Refusal::AnswerLost;
        }
        Refusal::Busy { retry_after }
    }

    /// The refusal for a request whose deadline has passed.
    pub(crate) fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run() {
            return Refusal::DeadlinePassed;
        }
        Refusal::Busy { retry_after: Duration::from_millis(self.shared.settings.retry_after_ms) }
    }
}

/// Chooses a server, one of those to avoid only if no other takes the request.
fn choose_avoiding(
    backends: &mut Backends,
    request: &ChoiceRequest<'_>,
    mut avoided: Vec<BackendId>,
    now: Timestamp,
) -> Choice {
    if !avoided.is_empty() {
        avoided.extend_from_slice(request.tried);
        let choice = backends.choose(&ChoiceRequest { tried: &avoided, ..*request }, now);
        if matches!(choice, Choice::Use { .. }) {
            return choice;
        }
    }
    backends.choose(request, now)
}
