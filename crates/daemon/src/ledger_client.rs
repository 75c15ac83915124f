//! Puts a relay's commands to the ledgers in replica groups.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_api::ErrorKind;
use dahlia_ledger::{
    ChargedChain, ImportCharged, ImportTurn, LedgerCommand, LedgerReply, OpenTurn, ProgramName,
    TurnId, TurnRefusal, group_in_region, group_of,
};
use dahlia_node::request::{Request, Response};
use dahlia_node::{CutOff, Reachability};
use dahlia_relay::{LedgerUnavailable, TurnLedger};
use dahlia_types::{Duration, GroupHomes, GroupId, Region, Timestamp};
use futures::future::join_all;
use tokio::select;
use tokio::sync::watch;
use tokio::time::{self, Instant, sleep_until};

use crate::clock::Clock;
use crate::core_handle::CoreHandle;
use crate::ledger_breaker::{Admission, LedgerBreaker, LedgerBreakerSettings, Stage};
use crate::turn_away::TurnAwaySettings;

/// The ledgers of all groups, by way of this daemon's node. Cheap to clone.
#[derive(Clone)]
pub struct LedgerClient {
    core: CoreHandle,
    groups: u32,
    homes: GroupHomes,
    region: Region,
    breaker: Arc<Mutex<LedgerBreaker>>,
    clock: Clock,
    turn_away: TurnAwaySettings,
}

/// What the other groups say of a turn that the own group does not have.
enum Elsewhere {
    Found(ChargedChain),
    Refused(TurnRefusal),
}

/// Frees the place of a probe or of a caller that is held, also when its caller leaves.
struct PlaceGuard<'a> {
    client: &'a LedgerClient,
    group: GroupId,
    free: fn(&mut LedgerBreaker, GroupId),
}

impl Drop for PlaceGuard<'_> {
    fn drop(&mut self) {
        (self.free)(&mut self.client.breaker(), self.group);
    }
}

impl LedgerClient {
    /// A client of a system of `groups` groups: the node's `group_count`.
    pub fn new(core: CoreHandle, groups: u32, settings: LedgerBreakerSettings) -> Self {
        let breaker = Arc::new(Mutex::new(LedgerBreaker::new(settings)));
        Self {
            core,
            groups,
            homes: GroupHomes::default(),
            region: Region::new(""),
            breaker,
            clock: Clock::start(),
            turn_away: TurnAwaySettings::default(),
        }
    }

    /// A client that goes by the node's clock, and turns callers away like this when cut off.
    pub fn with_turn_away(self, turn_away: TurnAwaySettings, clock: Clock) -> Self {
        Self { turn_away, clock, ..self }
    }

    /// A client in `region`, which keeps turns in a group at home there.
    pub fn with_region(self, region: Region, homes: GroupHomes) -> Self {
        Self { region, homes, ..self }
    }

    fn breaker(&self) -> MutexGuard<'_, LedgerBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks for a caller that waits for the answer before anything else can be done for it.
    async fn ask_group(
        &self,
        group: GroupId,
        command: LedgerCommand,
        until: Instant,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let turn = command.turn().cloned();
        let asked = Instant::now();
        let reply = self.ask_admitted(group, command, until).await;
        let request = turn.as_ref().map_or("-", |turn| turn.name());
        let took_ms = asked.elapsed().as_millis() as u64;
        match &reply {
            Ok(reply) => log::info!(
                target: "ledger",
                request = request, group:% = group, reply = reply.name(), took_ms = took_ms;
                "The ledger answered."
            ),
            Err(error) => log::warn!(
                target: "ledger",
                request = request, group:% = group, cause:% = error,
                was_asked = !error.was_not_submitted, took_ms = took_ms;
                "No answer of the ledger."
            ),
        }
        reply
    }

    async fn ask_admitted(
        &self,
        group: GroupId,
        command: LedgerCommand,
        until: Instant,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let mut reach = self.core.reachability();
        if let Some(cut) = reach.borrow_and_update().cut_off {
            return Err(LedgerUnavailable { was_not_submitted: true, ..self.turned_away(cut) });
        }
        let now = self.clock.now();
        let admission = self.breaker().admit(group, stage(&command), left(until), now);
        let guard = |free| Some(PlaceGuard { client: self, group, free });
        let (wait, _place) = match admission {
            Admission::Ask { wait } => (wait, None),
            Admission::Hold { wait } => (wait, guard(LedgerBreaker::end_hold)),
            Admission::Probe { wait } => (wait, guard(LedgerBreaker::end_probe)),
            Admission::Refuse { retry_after } => {
                return Err(LedgerUnavailable {
                    reason: format!("{group} is silent"),
                    retry_after: Some(retry_after),
                    was_not_submitted: true,
                });
            }
        };
        let client = self.clone();
        let mut answer = Box::pin(async move { client.answer_of(group, command).await });
        let end = Instant::now() + time::Duration::from_micros(wait.as_micros());
        // Both ways the caller is let go, but a late answer still tells that the group is back.
        select! {
            biased;
            reply = &mut answer => reply,
            cut = cut_off(&mut reach) => {
                tokio::spawn(answer);
                Err(self.turned_away(cut))
            }
            () = sleep_until(end) => {
                tokio::spawn(answer);
                let now = self.clock.now();
                self.note(group, |breaker| breaker.record_timeout(group, wait, now));
                self.unavailable(group, format!("{group} did not answer in time"))
            }
        }
    }

    /// Another daemon may reach the owners.
    fn turned_away(&self, cut: CutOff) -> LedgerUnavailable {
        let retry_after = self.turn_away.retry_after(cut, rand::random(), self.clock.now());
        LedgerUnavailable {
            reason: "this daemon is cut off".to_owned(),
            retry_after: Some(retry_after),
            was_not_submitted: false,
        }
    }

    /// The answer of a group, however long it takes.
    async fn answer_of(
        &self,
        group: GroupId,
        command: LedgerCommand,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        match self.core.request(Request::Ledger { group, command }).await {
            Response::Ledger(reply) => {
                self.note(group, |breaker| breaker.record_answer(group));
                Ok(reply)
            }
            Response::Failed(error) => {
                if error.kind == ErrorKind::Unavailable {
                    let now = self.clock.now();
                    self.note(group, |breaker| breaker.record_missing_owner(group, now));
                }
                self.unavailable(group, format!("{group}: {error}"))
            }
            other => self.unavailable(group, format!("{group} answered {other:?}")),
        }
    }

    /// Tells the breaker something, and says when it changes its mind on a group.
    fn note(&self, group: GroupId, tell: impl FnOnce(&mut LedgerBreaker)) {
        let mut breaker = self.breaker();
        let was_silent = breaker.is_unresponsive(group);
        tell(&mut breaker);
        match (was_silent, breaker.is_unresponsive(group)) {
            (false, true) => log::warn!(target: "ledger", group:% = group; "A group is silent."),
            (true, false) => log::info!(target: "ledger", group:% = group; "A group is back."),
            _ => {}
        }
    }

    fn unavailable<T>(&self, group: GroupId, reason: String) -> Result<T, LedgerUnavailable> {
        let retry_after = Some(self.breaker().retry_after(group, self.clock.now()));
        Err(LedgerUnavailable { reason, retry_after, was_not_submitted: false })
    }

    /// A new program may go on from a turn of an earlier program, which another group holds.
    /// Its chain is taken over, and the turn opened again. Opening by the chain instead, without
    /// recording it, would give a repeated opening another answer than the first.
    async fn open_from_elsewhere(
        &self,
        open: OpenTurn,
        previous: TurnId,
        own: GroupId,
        until: Instant,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let chain = match self.find_elsewhere(&open.program, &previous, own, until).await? {
            Elsewhere::Found(chain) => chain,
            Elsewhere::Refused(refusal) => return Ok(LedgerReply::Refused(refusal)),
        };
        let ChargedChain { chain, charge } = chain;
        let (program, at) = (open.program.clone(), Timestamp::ZERO);
        let import = ImportTurn { program, turn: previous, chain, at };
        let command = match charge {
            Some(charge) => {
                LedgerCommand::ImportCharged(Box::new(ImportCharged { import, charge }))
            }
            None => LedgerCommand::Import(import),
        };
        match self.ask_group(own, command, until).await? {
            LedgerReply::Imported => self.ask_group(own, LedgerCommand::Open(open), until).await,
            other => Ok(other),
        }
    }

    /// Only when every group says so there is no such turn.
    async fn find_elsewhere(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        own: GroupId,
        until: Instant,
    ) -> Result<Elsewhere, LedgerUnavailable> {
        let read = || self.read_command(program, turn);
        let others = (0..self.groups).map(GroupId).filter(|group| *group != own);
        let replies = join_all(others.map(|group| self.ask_group(group, read(), until))).await;
        let mut refusal = TurnRefusal::NoSuchTurn { previous: turn.clone() };
        let mut silent = None;
        for reply in replies {
            match reply {
                Ok(LedgerReply::ChargedChain(found)) => return Ok(Elsewhere::Found(found)),
                Ok(LedgerReply::Chain(chain)) => {
                    return Ok(Elsewhere::Found(ChargedChain { chain, charge: None }));
                }
                Ok(LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })) => {}
                Ok(LedgerReply::Refused(other)) => refusal = other,
                Ok(other) => {
                    silent = Some(self.unavailable(own, format!("a group answered {other:?}")))
                }
                Err(error) => silent = Some(Err(error)),
            }
        }
        silent.unwrap_or(Ok(Elsewhere::Refused(refusal)))
    }

    /// Where there are regions, the program itself may have turns in the other group.
    fn read_command(&self, program: &ProgramName, turn: &TurnId) -> LedgerCommand {
        let (turn, at) = (turn.clone(), Timestamp::ZERO);
        if self.homes.groups_at(&self.region, self.groups).is_empty() {
            return LedgerCommand::Read { turn, at };
        }
        LedgerCommand::ReadCharged { turn, program: program.clone(), at }
    }

    async fn ask_owner(
        &self,
        group: GroupId,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let until = Instant::now() + time::Duration::from_micros(patience.as_micros());
        if let LedgerCommand::Close(_) = command {
            return self.answer_of(group, command).await;
        }
        let reply = self.ask_group(group, command.clone(), until).await?;
        match (command, reply) {
            (
                LedgerCommand::Open(open),
                LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous }),
            ) => {
                let opened = self.open_from_elsewhere(open, previous, group, until).await;
                // The first opening was put to the ledger, whatever came of the later steps.
                opened.map_err(|error| LedgerUnavailable { was_not_submitted: false, ..error })
            }
            (_, reply) => Ok(reply),
        }
    }

    fn no_program<T>(&self) -> Result<T, LedgerUnavailable> {
        self.unavailable(GroupId::default(), "the command names no program".to_owned())
    }
}

impl TurnLedger for LedgerClient {
    async fn submit(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let Some(program) = command.program() else { return self.no_program() };
        let group = group_of(program, self.groups);
        self.ask_owner(group, command, patience).await
    }

    async fn submit_for_retained_turn(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let Some(program) = command.program() else { return self.no_program() };
        let group = group_in_region(program, &self.homes, &self.region, self.groups);
        self.ask_owner(group, command, patience).await
    }
}

/// Whether a program has turns behind it. Where their text is not kept this cannot be told.
fn stage(command: &LedgerCommand) -> Stage {
    match command {
        LedgerCommand::Open(OpenTurn { input: Some(input), .. }) if input.previous.is_none() => {
            Stage::First
        }
        _ => Stage::UnderWay,
    }
}

/// Returns when this daemon is cut off.
async fn cut_off(reach: &mut watch::Receiver<Reachability>) -> CutOff {
    let seen = reach.wait_for(|reach| reach.cut_off.is_some()).await;
    match seen.ok().and_then(|reach| reach.cut_off) {
        Some(cut) => cut,
        // The process is about to end.
        None => std::future::pending().await,
    }
}

/// What is left until a moment.
fn left(until: Instant) -> Duration {
    let left = until.saturating_duration_since(Instant::now());
    Duration::from_micros(left.as_micros() as u64)
}
