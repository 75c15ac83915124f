//! Step 3: a program's turn in the ledger. It is opened before anything is sent, and closed at its
//! end.
//!
//! A turn always holds the end that the ledger must record if the turn stopped now, and its drop
//! submits that end. So callers that disconnect, deadlines and faults need no code of their own.

use std::sync::Arc;

use bytes::Bytes;
use dahlia_ledger::{
    CloseTurn, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, ProgramName, TurnEnd, TurnId,
    TurnInput, TurnRefusal,
};
use dahlia_types::{Duration, Tokens};
use tokio::runtime::Handle;
use tokio::time::{self, Instant, sleep};

use crate::counters::{Gauge, GaugeGuard};
use crate::events::Event;
use crate::memory::{CallerQuota, MemoryReservation};
use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::request::RequestHead;
use crate::router::RouteMatch;
use crate::{LedgerUnavailable, TurnLedger};

/// A turn whose end the ledger has not yet confirmed.
pub(crate) struct Turn<L: TurnLedger> {
    shared: Arc<Shared<L>>,
    program: ProgramName,
    turn: TurnId,
    retains_text: bool,
    tokens_per_event: Tokens,
    events: u64,
    output: Vec<u8>,
    /// The memory of the output, reserved until the ledger has it.
    reservation: MemoryReservation,
    /// The end to record if the turn stops now; none if the ledger knows it already.
    end: Option<TurnEnd>,
    open: Option<GaugeGuard>,
}

impl<L: TurnLedger> Turn<L> {
    /// Opens the turn of a request, if the request is a turn.
    ///
    /// # Errors
    /// The ledger refuses the turn or did not answer; nothing was sent and nothing will be.
    pub(crate) async fn open(
        shared: &Arc<Shared<L>>,
        matched: &RouteMatch,
        head: &RequestHead,
        body: &Bytes,
        deadline: Instant,
        caller: &CallerQuota,
    ) -> Result<Option<(Self, OpenedTurn)>, Refusal> {
        let Some(command) = open_command(shared, matched, head, body)? else { return Ok(None) };
        let engine = matched.service().and_then(|service| service.engine.as_ref());
        let mut turn = Self {
            shared: Arc::clone(shared),
            program: command.program.clone(),
            turn: command.turn.clone(),
            retains_text: matched.route().retains_turns,
            tokens_per_event: engine.map_or(Tokens(1), |engine| engine.tokens_per_event),
            events: 0,
            output: Vec::new(),
            reservation: caller.empty_reservation(),
            end: Some(TurnEnd::NotRun),
            open: Some(GaugeGuard::new(&shared.counters, Gauge::UnsettledTurns)),
        };
        let retains_text = turn.retains_text;
        let command = LedgerCommand::Open(command);
        let reply = submit(shared, retains_text, command, time_left_until(deadline)).await;
        let opened = turn.handle_open_reply(reply)?;
        Ok(Some((turn, opened)))
    }

    fn handle_open_reply(
        &mut self,
        reply: Result<LedgerReply, LedgerUnavailable>,
    ) -> Result<OpenedTurn, Refusal> {
        let retry_after = Duration::from_millis(self.shared.settings.retry_after_ms);
        let refusal = match reply {
            Ok(LedgerReply::Opened(opened)) => return Ok(opened),
            Ok(LedgerReply::Refused(refusal)) => refusal,
            // The turn may have been recorded, so the drop closes it.
            Ok(_) => return Err(Refusal::LedgerUnavailable { retry_after }),
            Err(error) => {
                if error.was_not_submitted {
                    self.mark_settled();
                }
                let retry_after = error.retry_after.unwrap_or(retry_after);
                return Err(Refusal::LedgerUnavailable { retry_after });
            }
        };
        self.mark_settled();
        Err(match refusal {
            TurnRefusal::BudgetSpent { .. } => Refusal::BudgetSpent,
            TurnRefusal::NoSuchTurn { previous } => {
                log::warn!(
                    target: "relay",
                    request = self.turn.name(), previous = previous.name();
                    "The previous turn is not known."
                );
                Refusal::NoSuchTurn
            }
            // An earlier attempt had this identifier, and its outcome cannot be reported again.
            TurnRefusal::AlreadyEnded => Refusal::AnswerLost,
            TurnRefusal::NotEnded { .. } | TurnRefusal::LimitReached { .. } => {
                Refusal::Busy { retry_after }
            }
        })
    }

    /// Notes that a server may run the turn from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.end = Some(TurnEnd::Incomplete);
    }

    /// Notes that no server has run the turn, and that none will unless it is sent again.
    pub(crate) fn mark_not_run(&mut self) {
        self.end = Some(TurnEnd::NotRun);
    }

    /// Whether the turn's text is retained.
    pub(crate) fn retains_text(&self) -> bool {
        self.retains_text
    }

    /// Records an event that is forwarded to the caller. `reservation` covers what is retained of
    /// it.
    pub(crate) fn record_event(&mut self, event: &Event, reservation: MemoryReservation) {
        self.reservation.merge(reservation);
        let Some(data) = &event.data else { return };
        self.events += 1;
        if self.retains_text {
            self.output.extend_from_slice(data);
            self.output.push(b'\n');
        }
    }

    /// Completes the turn with a whole answer. If the turn's text is retained, this returns once
    /// the text is durable: only then may the caller learn of the end, since it may continue from
    /// this turn at once.
    ///
    /// # Errors
    /// The ledger did not confirm it.
    pub(crate) async fn complete(mut self, served_by: String) -> Result<(), LedgerUnavailable> {
        self.end = Some(TurnEnd::Completed {
            generated: Tokens(self.events.saturating_mul(self.tokens_per_event.0)),
            output: std::mem::take(&mut self.output),
            served_by,
        });
        if !self.retains_text {
            return Ok(());
        }
        let Some(command) = self.close_command() else { return Ok(()) };
        let result = close_with_retries(&self.shared, self.retains_text, &command).await;
        if result.is_ok() {
            self.mark_settled();
        }
        result
    }

    fn close_command(&self) -> Option<CloseTurn> {
        Some(CloseTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            end: self.end.clone()?,
            at: (self.shared.clock)(),
        })
    }

    fn mark_settled(&mut self) {
        self.end = None;
    }
}

impl<L: TurnLedger> Drop for Turn<L> {
    fn drop(&mut self) {
        let Some(command) = self.close_command() else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let (shared, open) = (Arc::clone(&self.shared), self.open.take());
        let reservation = self.reservation.split(usize::MAX);
        let retains_text = self.retains_text;
        runtime.spawn(async move {
            if let Err(error) = close_with_retries(&shared, retains_text, &command).await {
                log::warn!(
                    target: "relay",
                    request = command.turn.name(),
                    cause:% = error;
                    "The end of the turn is not recorded."
                );
            }
            drop((open, reservation));
        });
    }
}

/// Submits the end of a turn to the ledger until it is recorded or the time for that is over.
async fn close_with_retries<L: TurnLedger>(
    shared: &Shared<L>,
    retains_text: bool,
    command: &CloseTurn,
) -> Result<(), LedgerUnavailable> {
    let settings = &shared.settings;
    let give_up_at = Instant::now() + time::Duration::from_millis(settings.close_turn_ms);
    let pause = time::Duration::from_millis(settings.close_turn_pause_ms);
    loop {
        let close = LedgerCommand::Close(command.clone());
        let error = match submit(shared, retains_text, close, time_left_until(give_up_at)).await {
            Ok(LedgerReply::Closed) => return Ok(()),
            Ok(reply) => LedgerUnavailable {
                reason: format!("it replied {reply:?}"),
                retry_after: None,
                was_not_submitted: false,
            },
            Err(error) => error,
        };
        if Instant::now() + pause >= give_up_at {
            return Err(error);
        }
        sleep(pause).await;
    }
}

/// Submits a command to the ledger that stores turns of this kind.
async fn submit<L: TurnLedger>(
    shared: &Shared<L>,
    retains_text: bool,
    command: LedgerCommand,
    timeout: Duration,
) -> Result<LedgerReply, LedgerUnavailable> {
    match retains_text {
        true => shared.ledger.submit_for_retained_turn(command, timeout).await,
        false => shared.ledger.submit(command, timeout).await,
    }
}

/// The time left until a moment.
fn time_left_until(moment: Instant) -> Duration {
    let left = moment.saturating_duration_since(Instant::now());
    Duration::from_micros(left.as_micros() as u64)
}

/// Builds the command that opens a request's turn. Only streams of programs with a budget or with
/// retained turns are turns.
fn open_command<L: TurnLedger>(
    shared: &Shared<L>,
    matched: &RouteMatch,
    head: &RequestHead,
    body: &Bytes,
) -> Result<Option<OpenTurn>, Refusal> {
    let (route, names) = (matched.route(), &shared.headers);
    let tenant = matched.tenant().map(|tenant| &tenant.name);
    if !route.is_stream {
        return Ok(None);
    }
    let Some(program) = head.program(names, tenant)? else {
        return match route.retains_turns {
            true => Err(Refusal::NotProper { reason: "a turn must name its program" }),
            false => Ok(None),
        };
    };
    let budget = head.budget(names)?;
    if budget.is_none() && !route.retains_turns {
        return Ok(None);
    }
    let turn = head.identifier(&names.attempt)?;
    let turn = turn.ok_or(Refusal::NotProper { reason: "the attempt id of a turn" })?;
    let max_generated = head.max_generated(names);
    if budget.is_some() && max_generated.is_none() {
        return Err(Refusal::NotProper {
            reason: "a turn with a budget must name its token count",
        });
    }
    let input = route.retains_turns.then_some(());
    let input = match input {
        Some(()) => Some(TurnInput {
            previous: head.previous_turn(names, tenant)?,
            new_input: body.to_vec(),
            retention: route.retention,
        }),
        None => None,
    };
    Ok(Some(OpenTurn {
        program,
        turn: TurnId::new(tenant, turn),
        budget,
        max_generated: max_generated.unwrap_or_default(),
        input,
        at: (shared.clock)(),
    }))
}
