//! A server's answer while it arrives.

use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dahlia_backends::{
    AttemptEnd, BackendAddress, BackendId, Backends, SoftwareVersion, TokenTimes, TurnEstimate,
    TurnSize,
};
use dahlia_types::{Duration, Timestamp};
use http::response;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::select;
use tokio::time::Instant;

use crate::connection::{ServerConnection, loss_cause};
use crate::end_confirmation::{EndConfirmation, EndEvidence, second_connection_changed};
use crate::liveness::LivenessWatch;
use crate::memory::{BodyBuffer, CallerQuota, ReservationError, ReservedBody};
use crate::pool::{KeepAlive, Pool};
use crate::received_answer::{EndProblem, ReceivedAnswer};
use crate::relay::{Clock, Shared};
use crate::repeat_budget::ServiceBudget;
use crate::repeats::{Loss, LossCause};
use crate::request_log::RequestLog;
use crate::wait_queues::SlotGuard;

/// The answer was incomplete, missing, or belonged to another request.
#[derive(Debug, Snafu)]
#[snafu(display("the server's answer was not whole"))]
pub(crate) struct BrokenAnswer {
    pub(crate) loss: Loss,
}

/// Why an answer could not be read completely.
#[derive(Debug, Snafu)]
pub(crate) enum ReadWholeError {
    #[snafu(transparent)]
    Broken { source: BrokenAnswer },
    /// The answer is longer than the memory for one caller. No other server's answer would be
    /// shorter.
    #[snafu(transparent)]
    NoMemory { source: ReservationError },
}

/// A server that was chosen for a request.
pub(crate) struct ChosenServer {
    pub(crate) server: BackendAddress,
    /// The request's size that the choice used.
    pub(crate) size: Option<TurnSize>,
    /// The estimate for the server, if it decided the choice.
    pub(crate) expected: Option<TurnEstimate>,
}

/// Reports to [`Backends`] how an attempt ended; as cancelled by the caller, if nothing else was
/// recorded.
pub(crate) struct AttemptGuard {
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
    server: BackendId,
    version: SoftwareVersion,
    end: AttemptEnd,
    log: RequestLog,
    /// The request's size that the choice used.
    size: TurnSize,
    /// The estimate for the server, if it decided the choice.
    expected: Option<TurnEstimate>,
    started: Timestamp,
    /// When the attempt was sent; none before that, and once its answer has begun.
    sent_at: Option<Timestamp>,
    /// None before the head of the answer.
    received: Option<ReceivedAnswer>,
    /// Detects that the server stops responding.
    pub(crate) watch: LivenessWatch,
    /// Dropped after the end is reported: only then can the next request use the slot.
    slot: SlotGuard,
}

impl AttemptGuard {
    /// Starts an attempt at the chosen server. `may_run_again` says whether its request may run more
    /// than once. `repeats` are those for which it may leave the server while it does not respond;
    /// none if no other server may get it.
    pub(crate) fn new<L>(
        shared: &Shared<L>,
        chosen: &ChosenServer,
        may_run_again: bool,
        repeats: Option<ServiceBudget>,
        log: RequestLog,
        slot: SlotGuard,
    ) -> Self {
        let ChosenServer { server, size, expected } = chosen;
        Self {
            watch: LivenessWatch::new(
                &shared.liveness,
                &shared.backends,
                server,
                &shared.settings,
                may_run_again,
                repeats,
            ),
            backends: Arc::clone(&shared.backends),
            clock: Arc::clone(&shared.clock),
            server: server.id.clone(),
            version: server.version.clone(),
            end: AttemptEnd::Cancelled,
            size: size.unwrap_or_default(),
            expected: *expected,
            started: (shared.clock)(),
            log,
            sent_at: None,
            received: None,
            slot,
        }
    }

    /// Records that the attempt did not produce an answer.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.end = end;
        self.log.attempt_failed(&self.server, end, cause, self.received.as_ref());
    }

    /// Logs that the attempt waited for a newer list of servers.
    pub(crate) fn log_list_wait(&self, waited: Duration) {
        self.log.list_awaited(&self.server, waited);
    }

    /// Begins to follow an answer.
    pub(crate) fn follow_answer(&mut self, received: ReceivedAnswer) {
        self.received = Some(received);
    }

    /// Reports the arrival times of tokens to [`Backends`].
    fn record_tokens(&self, times: TokenTimes) {
        let now = (self.clock)();
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.record_token_times(&self.server, times, now);
    }

    /// Whether the server's zone is being evacuated.
    fn is_evacuated(&self) -> bool {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.is_evacuated(&self.server)
    }

    /// Records that the attempt is being sent.
    pub(crate) fn record_send(&mut self) {
        self.sent_at = Some((self.clock)());
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn record_head(&mut self) {
        let now = (self.clock)();
        if let Some(sent_at) = self.sent_at.take() {
            let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
            backends.record_response_time(&self.server, now.since(sent_at), now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = (self.clock)();
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting_time = self.sent_at.map(|sent_at| now.since(sent_at));
        if let Some(waiting_time) = waiting_time.filter(|_| self.end == AttemptEnd::Cancelled) {
            backends.record_unanswered(&self.server, waiting_time, now);
        }
        backends.end_turn(&self.server, self.size, self.end, now);
        drop(backends);
        self.slot.record_end(self.end);
        if let Some(expected) = self.expected.filter(|_| self.end == AttemptEnd::Answered) {
            self.log.turn_ended(expected, now.since(self.started));
        }
    }
}

/// An answer whose head has arrived. Dropping it before its end closes the connection.
pub(crate) struct ServerResponse {
    pub(crate) parts: response::Parts,
    /// The server said that it did not run the request.
    pub(crate) did_not_run: bool,
    body: Incoming,
    /// None once the body has ended, complete or not.
    connection: Option<ServerConnection>,
    /// Confirms the end of an answer that ends with its connection.
    confirmation: Option<Box<EndConfirmation>>,
    keep_alive: KeepAlive,
    pool: Arc<Pool>,
    guard: AttemptGuard,
}

/// What comes next of an answer.
enum Arrival {
    Data(Option<Result<Bytes, hyper::Error>>),
    /// The answer cannot come any more, or is not waited for.
    Lost(Loss),
}

impl ServerResponse {
    pub(crate) fn new(
        parts: response::Parts,
        body: Incoming,
        did_not_run: bool,
        connection: ServerConnection,
        keep_alive: KeepAlive,
        pool: Arc<Pool>,
        guard: AttemptGuard,
    ) -> Self {
        let connection = Some(connection);
        let confirmation = None;
        Self { parts, did_not_run, body, connection, confirmation, keep_alive, pool, guard }
    }

    /// Has the end of the answer confirmed: it ends with its connection, and its caller is to get it.
    pub(crate) fn confirm_end_by(&mut self, confirmation: Box<EndConfirmation>) {
        self.confirmation = Some(confirmation);
    }

    pub(crate) fn server(&self) -> &BackendId {
        &self.guard.server
    }

    /// The version of the server's software.
    pub(crate) fn version(&self) -> &SoftwareVersion {
        &self.guard.version
    }

    /// Takes what is known of the part of the answer that has arrived.
    pub(crate) fn take_received(&mut self) -> Option<ReceivedAnswer> {
        self.guard.received.take()
    }

    /// Reports the arrival times of tokens to [`Backends`].
    pub(crate) fn record_tokens(&self, times: TokenTimes) {
        self.guard.record_tokens(times);
    }

    /// Records that this is no answer for the caller.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.guard.fail(end, cause);
    }

    /// Overrides the end that is reported for the attempt.
    pub(crate) fn set_end(&mut self, end: AttemptEnd) {
        self.guard.end = end;
    }

    /// Returns the next piece of the body; none at its end.
    ///
    /// # Errors
    /// The body broke off, or it ended and is not complete. The connection is then closed.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        match self.receive().await? {
            Arrival::Lost(loss) => {
                self.connection = None;
                let cause = format!("{} in its answer", loss.cause.describe());
                self.guard.fail(AttemptEnd::Unreachable, &cause);
                Some(Err(BrokenAnswer { loss }))
            }
            Arrival::Data(Some(Ok(piece))) => {
                self.guard.watch.record_contact();
                if let Some(received) = &mut self.guard.received {
                    received.push(&piece);
                }
                Some(Ok(piece))
            }
            Arrival::Data(Some(Err(error))) => {
                self.connection = None;
                self.guard.fail(AttemptEnd::Broken, &error.to_string());
                Some(Err(BrokenAnswer { loss: loss_cause(&error).into() }))
            }
            Arrival::Data(None) => self.finish().await.err().map(Err),
        }
    }

    /// Waits for the next piece or the end of the body. None once the body has ended.
    async fn receive(&mut self) -> Option<Arrival> {
        let connection = self.connection.as_mut()?;
        let mut lost = pin!(self.guard.watch.wait_until_lost());
        loop {
            select! {
                biased;
                data = connection.next_data(&mut self.body) => return Some(Arrival::Data(data)),
                loss = &mut lost => return Some(Arrival::Lost(loss)),
                () = second_connection_changed(&mut self.confirmation) => {}
            }
        }
    }

    /// Ends the answer after its last byte.
    ///
    /// # Errors
    /// It is not complete. The connection is then closed.
    async fn finish(&mut self) -> Result<(), BrokenAnswer> {
        if let Some(problem) = self.problem_at_end().await {
            self.connection = None;
            self.guard.fail(AttemptEnd::Broken, problem.describe());
            return Err(BrokenAnswer { loss: problem.loss_cause().into() });
        }
        self.return_connection();
        self.guard.end = match self.parts.status.is_server_error() {
            true => AttemptEnd::Failed,
            false => AttemptEnd::Answered,
        };
        Ok(())
    }

    /// Why the answer is not complete although it has ended; none if it is complete.
    async fn problem_at_end(&mut self) -> Option<EndProblem> {
        let received = self.guard.received.as_ref()?;
        if let Some(problem) = received.problem_at_end() {
            return Some(problem);
        }
        let confirmation = self.confirmation.take()?;
        let started = Instant::now();
        let evidence = confirmation.confirm().await;
        self.guard.log.end_checked(&self.guard.server, evidence, started.elapsed());
        match evidence {
            EndEvidence::Answered | EndEvidence::Identified => {
                self.guard.watch.record_contact();
                None
            }
            EndEvidence::KeptOpen => None,
            EndEvidence::Ended => Some(EndProblem::ServerEnded),
            EndEvidence::None => Some(EndProblem::Unconfirmed),
        }
    }

    /// Reads the whole body. While no memory is available for more of it, the rest waits at the
    /// server.
    ///
    /// # Errors
    /// The body broke off, or is longer than the limit or than the memory for one caller.
    pub(crate) async fn read_whole(
        &mut self,
        limit: usize,
        caller: &CallerQuota,
    ) -> Result<ReservedBody, ReadWholeError> {
        let expected = self.body.size_hint().exact();
        let expected = expected.filter(|&bytes| bytes <= limit as u64);
        let mut buffer = BodyBuffer::new(expected, limit, caller);
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if buffer.len() + piece.len() > limit {
                self.connection = None;
                self.guard.fail(AttemptEnd::Broken, "the answer is too long");
                return Err(BrokenAnswer { loss: LossCause::InvalidAnswer.into() }.into());
            }
            if let Err(error) = buffer.push_when_available(&piece).await {
                self.connection = None;
                self.guard.fail(AttemptEnd::Cancelled, &error.to_string());
                return Err(error.into());
            }
        }
        Ok(buffer.finish())
    }

    /// Reads and discards the rest of a short body, so that the connection can be reused.
    pub(crate) async fn discard_rest(&mut self, limit: usize) {
        let mut discarded = 0;
        while let Some(Ok(piece)) = self.next().await {
            discarded += piece.len();
            if discarded > limit {
                self.connection = None;
                return;
            }
        }
    }

    fn return_connection(&mut self) {
        // No further request is sent to a zone that is being evacuated.
        let connection = self.connection.take().filter(|_| !self.guard.is_evacuated());
        if let Some(connection) = connection {
            self.pool.put(&self.guard.server, connection, self.keep_alive);
        }
    }
}
