//! Puts a relay's commands to the ledgers in replica groups.

use dahlia_ledger::{
    ImportTurn, KeptChain, LedgerCommand, LedgerReply, OpenTurn, TurnId, TurnRefusal, group_of,
};
use dahlia_node::request::{Request, Response};
use dahlia_relay::{LedgerUnavailable, TurnLedger};
use dahlia_types::{GroupId, Timestamp};
use futures::future::join_all;

use crate::core::CoreHandle;

/// The ledgers of all groups, by way of this daemon's node. Cheap to clone.
#[derive(Clone)]
pub struct LedgerClient {
    core: CoreHandle,
    groups: u32,
}

/// What the other groups say of a turn that the own group does not have.
enum Elsewhere {
    Found(KeptChain),
    Refused(TurnRefusal),
}

impl LedgerClient {
    /// A client of a system of `groups` groups: the node's `group_count`.
    pub fn new(core: CoreHandle, groups: u32) -> Self {
        Self { core, groups }
    }

    async fn ask_group(
        &self,
        group: GroupId,
        command: LedgerCommand,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        match self.core.request(Request::Ledger { group, command }).await {
            Response::Ledger(reply) => Ok(reply),
            Response::Failed(error) => unavailable(format!("{group}: {error}")),
            other => unavailable(format!("{group} answered {other:?}")),
        }
    }

    /// A new program may go on from a turn of an earlier program, which another group holds.
    /// Its chain is taken over, and the turn opened again. Opening by the chain instead, without
    /// recording it, would give a repeated opening another answer than the first.
    async fn open_from_elsewhere(
        &self,
        open: OpenTurn,
        previous: TurnId,
        own: GroupId,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        let chain = match self.find_elsewhere(&previous, own).await? {
            Elsewhere::Found(chain) => chain,
            Elsewhere::Refused(refusal) => return Ok(LedgerReply::Refused(refusal)),
        };
        let (program, at) = (open.program.clone(), Timestamp::ZERO);
        let import = ImportTurn { program, turn: previous, chain, at };
        match self.ask_group(own, LedgerCommand::Import(import)).await? {
            LedgerReply::Imported => self.ask_group(own, LedgerCommand::Open(open)).await,
            other => Ok(other),
        }
    }

    /// Only when every group says so there is no such turn.
    async fn find_elsewhere(
        &self,
        turn: &TurnId,
        own: GroupId,
    ) -> Result<Elsewhere, LedgerUnavailable> {
        let read = || LedgerCommand::Read { turn: turn.clone(), at: Timestamp::ZERO };
        let others = (0..self.groups).map(GroupId).filter(|group| *group != own);
        let replies = join_all(others.map(|group| self.ask_group(group, read()))).await;
        let mut refusal = TurnRefusal::NoSuchTurn { previous: turn.clone() };
        let mut silent = None;
        for reply in replies {
            match reply {
                Ok(LedgerReply::Chain(chain)) => return Ok(Elsewhere::Found(chain)),
                Ok(LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })) => {}
                Ok(LedgerReply::Refused(other)) => refusal = other,
                Ok(other) => silent = Some(format!("a group answered {other:?}")),
                Err(error) => silent = Some(error.reason),
            }
        }
        silent.map_or(Ok(Elsewhere::Refused(refusal)), unavailable)
    }
}

impl TurnLedger for LedgerClient {
    async fn ask(&self, command: LedgerCommand) -> Result<LedgerReply, LedgerUnavailable> {
        let Some(program) = command.program() else {
            return unavailable("the command names no program".to_owned());
        };
        let group = group_of(program, self.groups);
        let reply = self.ask_group(group, command.clone()).await?;
        match (command, reply) {
            (
                LedgerCommand::Open(open),
                LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous }),
            ) => self.open_from_elsewhere(open, previous, group).await,
            (_, reply) => Ok(reply),
        }
    }
}

fn unavailable<T>(reason: String) -> Result<T, LedgerUnavailable> {
    Err(LedgerUnavailable { reason })
}
