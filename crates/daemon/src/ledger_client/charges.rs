//! Turns of programs in a system of several regions: charged in the one group that holds the
//! program's budget, with their text in a group of this daemon's region.
//!
//! The budget is held by the group that the program's register names. The register is in the group
//! of [`group_of`], on which all daemons agree; the first holder that is recorded there stands.

use dahlia_ledger::{
    CloseTurn, KeptChain, LedgerCommand, LedgerReply, OpenTurn, ProgramName, RENEW_REGISTER_BELOW,
    TurnEnd, TurnRefusal, group_of, read_holder, record_holder, recorded_holder, renew_register,
};
use dahlia_relay::LedgerUnavailable;
use dahlia_types::{GroupId, Timestamp, Tokens};
use futures::future::join;
use tokio::time::{self, Instant, sleep, timeout};

use super::holders::{ChargedElsewhere, Holder};
use super::{LedgerClient, LedgerResult};
use crate::ledger_breaker::Stage;

/// How long the end of a turn waits until its charge is settled in another group, which may be cut
/// off. Settling goes on after that.
const SETTLEMENT_WAIT: time::Duration = time::Duration::from_millis(300);
/// How long the charge of a turn is tried to be settled. A ledger gives up open turns after 300 s.
const SETTLEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Pause between two tries.
const SETTLEMENT_PAUSE: time::Duration = time::Duration::from_millis(500);
/// How long a register is tried to be read or renewed while no caller waits for it.
const BACKGROUND_TIMEOUT: time::Duration = time::Duration::from_secs(4);

impl LedgerClient {
    /// Opens a turn with a budget. `local` is the group for its text, or for its charge if this is
    /// the first turn of its program.
    pub(super) async fn open_charged(
        &self,
        open: OpenTurn,
        local: GroupId,
        deadline: Instant,
    ) -> LedgerResult {
        let known = self.holders().use_holder(&open.program, self.clock.now());
        if let Some(Holder { group, renews }) = known {
            if renews {
                self.renew_in_background(&open.program, group);
            }
            return self.open_at(group, open, local, deadline).await;
        }
        // Most turns enter the region that holds their program's budget.
        let continues = open.input.as_ref().is_some_and(|input| input.previous.is_some());
        if continues && let Some(reply) = self.open_if_held(&open, local, deadline).await? {
            return Ok(reply);
        }
        let stage = if continues { Stage::UnderWay } else { Stage::First };
        match self.find_holder(&open.program, local, stage, deadline).await {
            Ok(holder) => self.open_at(holder, open, local, deadline).await,
            // Without the register, this region serves the programs whose budget it holds.
            Err(error) if continues => Err(error),
            Err(error) => match self.open_if_held(&open, local, deadline).await? {
                Some(reply) => Ok(reply),
                None => Err(error),
            },
        }
    }

    /// Opens a turn in `local` if that group holds the program's budget; none if it does not.
    async fn open_if_held(
        &self,
        open: &OpenTurn,
        local: GroupId,
        deadline: Instant,
    ) -> Result<Option<LedgerReply>, LedgerUnavailable> {
        if open.max_generated == Tokens(0) {
            return Ok(None);
        }
        // A ledger that knows the program's budget ignores this one; any other refuses the turn.
        let command = OpenTurn { budget: Some(Tokens(0)), ..open.clone() };
        let reply = self.open_and_charge(command, local, deadline).await?;
        if is_not_held(&reply) {
            return Ok(None);
        }
        self.learn_in_background(&open.program, local);
        Ok(Some(reply))
    }

    /// Opens a turn that is charged in `holder`.
    async fn open_at(
        &self,
        holder: GroupId,
        open: OpenTurn,
        local: GroupId,
        deadline: Instant,
    ) -> LedgerResult {
        if holder == local {
            return self.open_and_charge(open, local, deadline).await;
        }
        let not_run = not_run(&open);
        let has_text = open.input.is_some();
        let mut opened = None;
        // The charge comes last: it would be reserved in vain while the group for the text is silent.
        if has_text {
            let text = OpenTurn { budget: None, ..open.clone() };
            let reply = self.open_with_text(text, local, deadline).await?;
            if !matches!(reply, LedgerReply::Opened(_)) {
                return Ok(reply);
            }
            opened = Some(reply);
        }
        self.holders().charge_elsewhere(&open.turn, ChargedElsewhere { holder, has_text });
        let turn = open.turn.charge();
        let charge = LedgerCommand::Open(OpenTurn { turn, input: None, ..open });
        let charged = self.ask_group(holder, charge, deadline).await.map_err(submitted)?;
        if matches!(charged, LedgerReply::Opened(_)) {
            return Ok(opened.unwrap_or(charged));
        }
        self.holders().take_charged_elsewhere(&not_run.turn);
        self.cancel(holder, charge_end(&not_run), &charged);
        if has_text {
            tokio::spawn(self.clone().settle(local, not_run));
        }
        Ok(charged)
    }

    /// Opens a turn in the group that has its text and that it is charged in.
    pub(super) async fn open_and_charge(
        &self,
        open: OpenTurn,
        group: GroupId,
        deadline: Instant,
    ) -> LedgerResult {
        let not_run = open.budget.map(|_| not_run(&open));
        let reply = self.open_with_text(open, group, deadline).await?;
        if let Some(not_run) = not_run {
            self.cancel(group, not_run, &reply);
        }
        Ok(reply)
    }

    /// Closes a turn that was refused. Its command may reach the group once more, by way of another
    /// daemon, when there is room in the budget; it must not open the turn then.
    fn cancel(&self, group: GroupId, not_run: CloseTurn, reply: &LedgerReply) {
        let is_final = match reply {
            LedgerReply::Refused(TurnRefusal::AlreadyEnded) => true,
            LedgerReply::Refused(_) => is_not_held(reply),
            _ => true,
        };
        if !is_final {
            tokio::spawn(self.clone().settle(group, not_run));
        }
    }

    /// Closes a turn in the group that has its text, and in the one that it is charged in.
    pub(super) async fn close_charged(&self, close: CloseTurn, local: GroupId) -> LedgerResult {
        let charged = self.holders().take_charged_elsewhere(&close.turn);
        let Some(ChargedElsewhere { holder, has_text }) = charged else {
            return self.send_command(local, LedgerCommand::Close(close)).await;
        };
        let settlement = tokio::spawn(self.clone().settle(holder, charge_end(&close)));
        let reply = match has_text {
            true => self.send_command(local, LedgerCommand::Close(close)).await,
            false => Ok(LedgerReply::Closed),
        };
        // A settlement that takes longer goes on by itself.
        let _ = timeout(SETTLEMENT_WAIT, settlement).await;
        reply
    }

    /// Records the end of a turn in a group, until that has succeeded or the time is over.
    async fn settle(self, group: GroupId, close: CloseTurn) {
        let give_up_at = Instant::now() + SETTLEMENT_TIMEOUT;
        loop {
            let error = match self.send_command(group, LedgerCommand::Close(close.clone())).await {
                Ok(_) => return,
                Err(error) => error,
            };
            if Instant::now() >= give_up_at {
                log::warn!(
                    target: "ledger",
                    request = close.turn.name(), program = close.program.name(),
                    group:% = group, cause:% = error;
                    "The charge of a turn is not settled; it may be charged its most."
                );
                return;
            }
            sleep(SETTLEMENT_PAUSE).await;
        }
    }

    /// The group that holds a program's budget: the recorded one, or `local` from now on.
    async fn find_holder(
        &self,
        program: &ProgramName,
        local: GroupId,
        stage: Stage,
        deadline: Instant,
    ) -> Result<GroupId, LedgerUnavailable> {
        let register = group_of(program, self.groups);
        let ask = |command| self.ask_group_for(stage, register, command, deadline);
        let recorded = ask(record_holder(program, local));
        let (recorded, mut reply) = join(recorded, ask(read_holder(program))).await;
        let was_read_first = matches!(
            (&recorded, &reply),
            (Ok(LedgerReply::Imported), Ok(LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })))
        );
        if was_read_first {
            reply = ask(read_holder(program)).await;
        }
        match reply? {
            LedgerReply::Chain(chain) => self.learn_holder(program, &chain, local),
            _ => {
                let reply = recorded?;
                self.unavailable(register, format!("{register} replied {reply:?}"))
            }
        }
    }

    /// Records the holder that a register names.
    fn learn_holder(
        &self,
        program: &ProgramName,
        register: &KeptChain,
        local: GroupId,
    ) -> Result<GroupId, LedgerUnavailable> {
        let holder = recorded_holder(register).filter(|holder| holder.0 < self.groups);
        let Some(holder) = holder else {
            let reason = "the register of a program's budget cannot be read".to_owned();
            return self.unavailable(group_of(program, self.groups), reason);
        };
        if holder != local {
            log::info!(
                target: "ledger",
                program = program.name(), group:% = holder, local:% = local;
                "A program's budget is held by another group."
            );
        }
        self.holders().record(program, holder, register.retention, self.clock.now());
        if register.retention < RENEW_REGISTER_BELOW {
            self.renew_in_background(program, holder);
        }
        Ok(holder)
    }

    /// Reads the register of a program whose budget `local` holds, so that it is renewed in time.
    fn learn_in_background(&self, program: &ProgramName, local: GroupId) {
        let (client, program) = (self.clone(), program.clone());
        tokio::spawn(async move {
            match client.read_or_record(&program, local).await {
                Ok(holder) if holder != local => log::warn!(
                    target: "ledger",
                    program = program.name(), group:% = holder, local:% = local;
                    "Two groups hold a program's budget."
                ),
                Ok(_) => {}
                Err(error) => log::info!(
                    target: "ledger", program = program.name(), cause:% = error;
                    "The register of a program's budget was not read."
                ),
            }
        });
    }

    /// The recorded holder of a program's budget, for a program that is probably registered.
    async fn read_or_record(
        &self,
        program: &ProgramName,
        local: GroupId,
    ) -> Result<GroupId, LedgerUnavailable> {
        let register = group_of(program, self.groups);
        let deadline = Instant::now() + BACKGROUND_TIMEOUT;
        match self.ask_group(register, read_holder(program), deadline).await? {
            LedgerReply::Chain(chain) => self.learn_holder(program, &chain, local),
            _ => self.find_holder(program, local, Stage::UnderWay, deadline).await,
        }
    }

    /// Renews the register of a program.
    fn renew_in_background(&self, program: &ProgramName, holder: GroupId) {
        let (client, program) = (self.clone(), program.clone());
        tokio::spawn(async move {
            if let Err(error) = client.renew(&program, holder).await {
                log::warn!(
                    target: "ledger", program = program.name(), cause:% = error;
                    "The register of a program's budget is not renewed."
                );
            }
        });
    }

    async fn renew(&self, program: &ProgramName, holder: GroupId) -> Result<(), LedgerUnavailable> {
        let register = group_of(program, self.groups);
        let deadline = Instant::now() + BACKGROUND_TIMEOUT;
        let [open, close] = renew_register(program, rand::random());
        match self.ask_group(register, open, deadline).await? {
            LedgerReply::Opened(_) => {}
            LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. }) => {
                // It has expired, although this daemon knew it.
                let found = self.find_holder(program, holder, Stage::UnderWay, deadline).await;
                return found.map(drop);
            }
            other => return self.unavailable(register, format!("{register} replied {other:?}")),
        }
        self.send_command(register, close).await?;
        self.holders().record_renewed(program, holder, self.clock.now());
        Ok(())
    }
}

/// Whether a group refused a turn because it does not hold the program's budget.
fn is_not_held(reply: &LedgerReply) -> bool {
    matches!(reply, LedgerReply::Refused(TurnRefusal::BudgetSpent { budget: Tokens(0), .. }))
}

/// An error of one of the groups of a turn: the turn may have been submitted to the other one.
fn submitted(error: LedgerUnavailable) -> LedgerUnavailable {
    LedgerUnavailable { was_not_submitted: false, ..error }
}

/// The end of a turn that will not run.
fn not_run(open: &OpenTurn) -> CloseTurn {
    CloseTurn {
        program: open.program.clone(),
        turn: open.turn.clone(),
        end: TurnEnd::NotRun,
        at: Timestamp::ZERO,
    }
}

/// The end of a turn for the ledger that it is charged in and that has none of its text.
fn charge_end(close: &CloseTurn) -> CloseTurn {
    let end = match &close.end {
        TurnEnd::Completed { generated, served_by, .. } => TurnEnd::Completed {
            generated: *generated,
            output: Vec::new(),
            served_by: served_by.clone(),
        },
        other => other.clone(),
    };
    CloseTurn { turn: close.turn.charge(), end, program: close.program.clone(), at: close.at }
}
