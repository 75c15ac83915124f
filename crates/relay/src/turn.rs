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
use crate::memory::{CallerBytes, Held};
use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::request::RequestHead;
use crate::router::Matched;
use crate::{LedgerUnavailable, TurnLedger};

/// A turn whose end the ledger has not yet confirmed.
pub(crate) struct Turn<L: TurnLedger> {
    shared: Arc<Shared<L>>,
    program: ProgramName,
    turn: TurnId,
    retains: bool,
    tokens_per_event: Tokens,
    events: u64,
    output: Vec<u8>,
    /// The memory of the output, reserved until the ledger has it.
    held: Held,
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
        matched: &Matched,
        head: &RequestHead,
        body: &Bytes,
        deadline: Instant,
        caller: &CallerBytes,
    ) -> Result<Option<(Self, OpenedTurn)>, Refusal> {
        let Some(command) = open_command(shared, matched, head, body)? else { return Ok(None) };
        let engine = matched.service().and_then(|service| service.engine.as_ref());
        let mut turn = Self {
            shared: Arc::clone(shared),
            program: command.program.clone(),
            turn: command.turn.clone(),
            retains: matched.route().retains_turns,
            tokens_per_event: engine.map_or(Tokens(1), |engine| engine.tokens_per_event),
            events: 0,
            output: Vec::new(),
            held: caller.nothing(),
            end: Some(TurnEnd::NotRun),
            open: Some(GaugeGuard::new(&shared.counters, Gauge::UnsettledTurns)),
        };
        let retains = turn.retains;
        let command = LedgerCommand::Open(command);
        let reply = ask(shared, retains, command, until(deadline)).await;
        let opened = turn.opened(reply)?;
        Ok(Some((turn, opened)))
    }

    fn opened(
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
                    self.settled();
                }
                let retry_after = error.retry_after.unwrap_or(retry_after);
                return Err(Refusal::LedgerUnavailable { retry_after });
            }
        };
        self.settled();
        Err(match refusal {
            TurnRefusal::BudgetSpent { .. } => Refusal::BudgetSpent,
            TurnRefusal::NoSuchTurn { .. } => Refusal::NoSuchTurn,
            // An earlier attempt had this identifier, and its outcome cannot be reported again.
            TurnRefusal::AlreadyEnded => Refusal::AnswerLost,
            TurnRefusal::NotEnded { .. } | TurnRefusal::LimitReached { .. } => {
                Refusal::Busy { retry_after }
            }
        })
    }

    /// Notes that a server may run the turn from now on.
    pub(crate) fn may_run(&mut self) {
        self.end = Some(TurnEnd::Incomplete);
    }

    /// Notes that no server has run the turn, and that none will unless it is sent again.
    pub(crate) fn did_not_run(&mut self) {
        self.end = Some(TurnEnd::NotRun);
    }

    /// Whether the turn's text is retained.
    pub(crate) fn retains(&self) -> bool {
        self.retains
    }

    /// Records an event that is forwarded to the caller. `reservation` covers what is retained of
    /// it.
    pub(crate) fn hand_on(&mut self, event: &Event, held: Held) {
        self.held.join(held);
        let Some(data) = &event.data else { return };
        self.events += 1;
        if self.retains {
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
    pub(crate) async fn whole(mut self, served_by: String) -> Result<(), LedgerUnavailable> {
        self.end = Some(TurnEnd::Completed {
            generated: Tokens(self.events.saturating_mul(self.tokens_per_event.0)),
            output: std::mem::take(&mut self.output),
            served_by,
        });
        if !self.retains {
            return Ok(());
        }
        let Some(command) = self.close_command() else { return Ok(()) };
        let confirmed = offer(&self.shared, self.retains, &command).await;
        if confirmed.is_ok() {
            self.settled();
        }
        confirmed
    }

    fn close_command(&self) -> Option<CloseTurn> {
        Some(CloseTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            end: self.end.clone()?,
            at: (self.shared.clock)(),
        })
    }

    fn settled(&mut self) {
        self.end = None;
    }
}

impl<L: TurnLedger> Drop for Turn<L> {
    fn drop(&mut self) {
        let Some(command) = self.close_command() else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let (shared, open) = (Arc::clone(&self.shared), self.open.take());
        let held = self.held.split(usize::MAX);
        let retains = self.retains;
        runtime.spawn(async move {
            if let Err(error) = offer(&shared, retains, &command).await {
                log::warn!(
                    target: "relay",
                    request = command.turn.name(),
                    cause:% = error;
                    "The end of the turn is not recorded."
                );
            }
            drop((open, held));
        });
    }
}

/// Submits the end of a turn to the ledger until it is recorded or the time for that is over.
async fn offer<L: TurnLedger>(
    shared: &Shared<L>,
    retains: bool,
    command: &CloseTurn,
) -> Result<(), LedgerUnavailable> {
    let settings = &shared.settings;
    let end = Instant::now() + time::Duration::from_millis(settings.close_turn_ms);
    let pause = time::Duration::from_millis(settings.close_turn_pause_ms);
    loop {
        let close = LedgerCommand::Close(command.clone());
        let error = match ask(shared, retains, close, until(end)).await {
            Ok(LedgerReply::Closed) => return Ok(()),
            Ok(reply) => LedgerUnavailable {
                reason: format!("it replied {reply:?}"),
                retry_after: None,
                was_not_submitted: false,
            },
            Err(error) => error,
        };
        if Instant::now() + pause >= end {
            return Err(error);
        }
        sleep(pause).await;
    }
}

/// Submits a command to the ledger that stores turns of this kind.
async fn ask<L: TurnLedger>(
    shared: &Shared<L>,
    retains: bool,
    command: LedgerCommand,
    patience: Duration,
) -> Result<LedgerReply, LedgerUnavailable> {
    match retains {
        true => shared.ledger.submit_for_retained_turn(command, patience).await,
        false => shared.ledger.submit(command, patience).await,
    }
}

/// The time left until a moment.
fn until(moment: Instant) -> Duration {
    let left = moment.saturating_duration_since(Instant::now());
    Duration::from_micros(left.as_micros() as u64)
}

/// Builds the command that opens a request's turn. Only streams of programs with a budget or with
/// retained turns are turns.
fn open_command<L: TurnLedger>(
    shared: &Shared<L>,
    matched: &Matched,
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
            true => Err(Refusal::NotProper { what: "a turn must name its program" }),
            false => Ok(None),
        };
    };
    let budget = head.budget(names)?;
    if budget.is_none() && !route.retains_turns {
        return Ok(None);
    }
    let turn = head.identifier(&names.attempt)?;
    let turn = turn.ok_or(Refusal::NotProper { what: "the attempt id of a turn" })?;
    let max_generated = head.most_generated(names);
    if budget.is_some() && max_generated.is_none() {
        return Err(Refusal::NotProper { what: "a turn with a budget must name its token count" });
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
