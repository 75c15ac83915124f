//! Sends a relay's commands to the ledgers in replica groups.

mod charges;
mod holders;

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

use holders::KnownHolders;

/// A ledger's reply to a command.
type LedgerResult = Result<LedgerReply, LedgerUnavailable>;

/// A client of the ledgers of all groups, through this daemon's node. Cheap to clone.
#[derive(Clone)]
pub struct LedgerClient {
    core: CoreHandle,
    groups: u32,
    homes: GroupHomes,
    region: Region,
    breaker: Arc<Mutex<LedgerBreaker>>,
    holders: Arc<Mutex<KnownHolders>>,
    clock: Clock,
    turn_away: TurnAwaySettings,
}

/// The result of looking up a turn in the other groups.
enum TurnLookup {
    Found { group: GroupId, chain: ChargedChain },
    Refused(TurnRefusal),
}

/// Ends a probe or a hold at the breaker when it is dropped, also when the caller leaves.
struct BreakerGuard<'a> {
    client: &'a LedgerClient,
    group: GroupId,
    free: fn(&mut LedgerBreaker, GroupId),
}

impl Drop for BreakerGuard<'_> {
    fn drop(&mut self) {
        (self.free)(&mut self.client.breaker(), self.group);
    }
}

impl LedgerClient {
    /// Creates a client for `groups` groups, the node's `group_count`.
    pub fn new(core: CoreHandle, groups: u32, settings: LedgerBreakerSettings) -> Self {
        let breaker = Arc::new(Mutex::new(LedgerBreaker::new(settings)));
        Self {
            core,
            groups,
            homes: GroupHomes::default(),
            region: Region::new(""),
            breaker,
            holders: Arc::default(),
            clock: Clock::start(),
            turn_away: TurnAwaySettings::default(),
        }
    }

    /// Uses the node's clock, and these retry delays while this daemon is cut off.
    pub fn with_turn_away(self, turn_away: TurnAwaySettings, clock: Clock) -> Self {
        Self { turn_away, clock, ..self }
    }

    /// Sets the client's region. Retained turns then go to a group whose home is there, and are charged
    /// in the one group that holds their program's budget.
    pub fn with_region(self, region: Region, homes: GroupHomes) -> Self {
        Self { region, homes, ..self }
    }

    fn breaker(&self) -> MutexGuard<'_, LedgerBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holders(&self) -> MutexGuard<'_, KnownHolders> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command for a waiting caller, and logs the reply.
    async fn ask_group(
        &self,
        group: GroupId,
        command: LedgerCommand,
        deadline: Instant,
    ) -> LedgerResult {
        let stage = stage_of(&command);
        self.ask_group_for(stage, group, command, deadline).await
    }

    /// Does the same for a caller whose turn is of this stage.
    async fn ask_group_for(
        &self,
        stage: Stage,
        group: GroupId,
        command: LedgerCommand,
        deadline: Instant,
    ) -> LedgerResult {
        let (turn, program) = (command.turn().cloned(), command.program().cloned());
        let command_name = command.name();
        let asked = Instant::now();
        let reply = self.ask_admitted(stage, group, command, deadline).await;
        let request = turn.as_ref().map_or("-", |turn| turn.name());
        let program = program.as_ref().map_or("-", |program| program.name());
        let took_ms = asked.elapsed().as_millis() as u64;
        match &reply {
            Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { budget, used })) => log::info!(
                target: "ledger",
                request = request, program = program, group:% = group, command = command_name,
                reply = "budget-spent", budget = budget.0, used = used.0, took_ms = took_ms;
                "The ledger answered."
            ),
            Ok(reply) => log::info!(
                target: "ledger",
                request = request, program = program, group:% = group, command = command_name,
                reply = reply.name(), took_ms = took_ms;
                "The ledger answered."
            ),
            Err(error) => log::warn!(
                target: "ledger",
                request = request, program = program, group:% = group, command = command_name, cause:% = error,
                was_asked = !error.was_not_submitted, took_ms = took_ms;
                "No answer of the ledger."
            ),
        }
        reply
    }

    /// Sends a command if the daemon is connected and the breaker admits it, and waits as long as the
    /// breaker allows.
    async fn ask_admitted(
        &self,
        stage: Stage,
        group: GroupId,
        command: LedgerCommand,
        deadline: Instant,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let mut reach = self.core.reachability();
        if let Some(cut) = reach.borrow_and_update().cut_off {
            return Err(LedgerUnavailable { was_not_submitted: true, ..self.cut_off_error(cut) });
        }
        let now = self.clock.now();
        let admission = self.breaker().admit(group, stage, time_left(deadline), now);
        let guard = |free| Some(BreakerGuard { client: self, group, free });
        let (wait, _guard) = match admission {
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
        let mut answer = Box::pin(async move { client.send_command(group, command).await });
        let end = Instant::now() + time::Duration::from_micros(wait.as_micros());
        // In both other cases the caller stops waiting, but the command goes on: a late answer still
        // shows that the group is back.
        select! {
            biased;
            reply = &mut answer => reply,
            cut = wait_for_cut_off(&mut reach) => {
                tokio::spawn(answer);
                Err(self.cut_off_error(cut))
            }
            () = sleep_until(end) => {
                tokio::spawn(answer);
                let now = self.clock.now();
                self.update_breaker(group, |breaker| breaker.record_timeout(group, wait, now));
                self.unavailable(group, format!("{group} did not answer in time"))
            }
        }
    }

    /// The error while this daemon is cut off. Another daemon may reach the owners.
    fn cut_off_error(&self, cut: CutOff) -> LedgerUnavailable {
        let retry_after = self.turn_away.retry_after(cut, rand::random(), self.clock.now());
        LedgerUnavailable {
            reason: "this daemon is cut off".to_owned(),
            retry_after: Some(retry_after),
            was_not_submitted: false,
        }
    }

    /// Sends a command to a group and waits for the answer, however long it takes.
    async fn send_command(
        &self,
        group: GroupId,
        command: LedgerCommand,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        match self.core.request(Request::Ledger { group, command }).await {
            Response::Ledger(reply) => {
                self.update_breaker(group, |breaker| breaker.record_answer(group));
                Ok(reply)
            }
            Response::Failed(error) => {
                if error.kind == ErrorKind::Unavailable {
                    let now = self.clock.now();
                    self.update_breaker(group, |breaker| breaker.record_missing_owner(group, now));
                }
                self.unavailable(group, format!("{group}: {error}"))
            }
            other => self.unavailable(group, format!("{group} answered {other:?}")),
        }
    }

    /// Updates the breaker, and logs when a group becomes unresponsive or answers again.
    fn update_breaker(&self, group: GroupId, update: impl FnOnce(&mut LedgerBreaker)) {
        let mut breaker = self.breaker();
        let was_unresponsive = breaker.is_unresponsive(group);
        update(&mut breaker);
        match (was_unresponsive, breaker.is_unresponsive(group)) {
            (false, true) => log::warn!(target: "ledger", group:% = group; "A group is silent."),
            (true, false) => log::info!(target: "ledger", group:% = group; "A group is back."),
            _ => {}
        }
    }

    fn unavailable<T>(&self, group: GroupId, reason: String) -> Result<T, LedgerUnavailable> {
        let retry_after = Some(self.breaker().retry_after(group, self.clock.now()));
        Err(LedgerUnavailable { reason, retry_after, was_not_submitted: false })
    }

    /// Opens a turn that continues from a turn of an earlier program in another group. The earlier
    /// turn's chain is imported first, and then the turn is opened again. Opening with the chain without
    /// recording it would give a repeated opening another answer than the first.
    async fn open_with_import(
        &self,
        open: OpenTurn,
        previous: TurnId,
        own: GroupId,
        deadline: Instant,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let found = self.find_in_other_groups(&open.program, &previous, own, deadline).await?;
        let (from, ChargedChain { chain, charge }) = match found {
            TurnLookup::Found { group, chain } => (group, chain),
            TurnLookup::Refused(refusal) => return Ok(LedgerReply::Refused(refusal)),
        };
        log::info!(
            target: "ledger",
            request = open.turn.name(), program = open.program.name(), previous = previous.name(),
            from:% = from, group:% = own, used_there = charge.map_or(0, |charge| charge.used().0);
            "A turn continues from another group."
        );
        let (program, at) = (open.program.clone(), Timestamp::ZERO);
        let import = ImportTurn { program, turn: previous, chain, at };
        // Only a build that held the budget once in each region charged a turn there.
        let charge = charge.filter(|charge| open.budget.is_some() && charge.budget.is_some());
        let command = match charge {
            Some(charge) => {
                LedgerCommand::ImportCharged(Box::new(ImportCharged { import, charge }))
            }
            None => LedgerCommand::Import(import),
        };
        match self.ask_group(own, command, deadline).await? {
            LedgerReply::Imported => self.ask_group(own, LedgerCommand::Open(open), deadline).await,
            other => Ok(other),
        }
    }

    /// Looks for a turn in all other groups. The turn does not exist only when every group says so.
    async fn find_in_other_groups(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        own: GroupId,
        deadline: Instant,
    ) -> Result<TurnLookup, LedgerUnavailable> {
        let read = &|| self.read_command(program, turn);
        let others = (0..self.groups).map(GroupId).filter(|group| *group != own);
        let ask = |group| async move { (group, self.ask_group(group, read(), deadline).await) };
        let replies = join_all(others.map(ask)).await;
        let mut refusal = TurnRefusal::NoSuchTurn { previous: turn.clone() };
        let mut unavailable_reply = None;
        for (group, reply) in replies {
            match reply {
                Ok(LedgerReply::ChargedChain(chain)) => {
                    return Ok(TurnLookup::Found { group, chain });
                }
                Ok(LedgerReply::Chain(chain)) => {
                    let chain = ChargedChain { chain, charge: None };
                    return Ok(TurnLookup::Found { group, chain });
                }
                Ok(LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })) => {}
                Ok(LedgerReply::Refused(other)) => refusal = other,
                Ok(other) => {
                    unavailable_reply =
                        Some(self.unavailable(own, format!("a group answered {other:?}")))
                }
                Err(error) => unavailable_reply = Some(Err(error)),
            }
        }
        unavailable_reply.unwrap_or(Ok(TurnLookup::Refused(refusal)))
    }

    /// The command that reads a turn's chain. With regions it also reads the program's charge, since the
    /// program itself may have turns in the other group.
    fn read_command(&self, program: &ProgramName, turn: &TurnId) -> LedgerCommand {
        let (turn, at) = (turn.clone(), Timestamp::ZERO);
        if self.homes.groups_at(&self.region, self.groups).is_empty() {
            return LedgerCommand::Read { turn, at };
        }
        LedgerCommand::ReadCharged { turn, program: program.clone(), at }
    }

    /// Opens a turn in the group that has its text, and imports the chain that it continues if that is in
    /// another group.
    async fn open_with_text(
        &self,
        open: OpenTurn,
        group: GroupId,
        deadline: Instant,
    ) -> LedgerResult {
        let reply = self.ask_group(group, LedgerCommand::Open(open.clone()), deadline).await?;
        let LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous }) = reply else {
            return Ok(reply);
        };
        let opened = self.open_with_import(open, previous, group, deadline).await;
        // The first opening was submitted to the ledger, whatever the later steps returned.
        opened.map_err(|error| LedgerUnavailable { was_not_submitted: false, ..error })
    }

    /// Submits a command on a turn whose text, if it is kept, is in `local`.
    async fn submit_to(
        &self,
        local: GroupId,
        command: LedgerCommand,
        patience: Duration,
    ) -> LedgerResult {
        let deadline = Instant::now() + time::Duration::from_micros(patience.as_micros());
        match command {
            LedgerCommand::Open(open) if self.homes.has_homes() && open.budget.is_some() => {
                self.open_charged(open, local, deadline).await
            }
            LedgerCommand::Open(open) => self.open_and_charge(open, local, deadline).await,
            LedgerCommand::Close(close) => self.close_charged(close, local).await,
            other => self.ask_group(local, other, deadline).await,
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
        self.submit_to(group, command, patience).await
    }

    async fn submit_for_retained_turn(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let Some(program) = command.program() else { return self.no_program() };
        let group = group_in_region(program, &self.homes, &self.region, self.groups);
        self.submit_to(group, command, patience).await
    }
}

/// The stage of a command's program. It is unknown, and counts as under way, where the text of turns is
/// not retained.
fn stage_of(command: &LedgerCommand) -> Stage {
    match command {
        LedgerCommand::Open(OpenTurn { input: Some(input), .. }) if input.previous.is_none() => {
            Stage::First
        }
        _ => Stage::UnderWay,
    }
}

/// Waits until this daemon is cut off.
async fn wait_for_cut_off(reach: &mut watch::Receiver<Reachability>) -> CutOff {
    let seen = reach.wait_for(|reach| reach.cut_off.is_some()).await;
    match seen.ok().and_then(|reach| reach.cut_off) {
        Some(cut) => cut,
        // The process is about to end.
        None => std::future::pending().await,
    }
}

/// The time left before a deadline.
fn time_left(deadline: Instant) -> Duration {
    let time_left = deadline.saturating_duration_since(Instant::now());
    Duration::from_micros(time_left.as_micros() as u64)
}
