//! Routes requests to ledgers of caller-named programs, and serves them at the owner.
//!
//! A caller's turn waits for these requests, so they are routed faster than others: a redirect is
//! followed at once, and another member is asked as well if the first does not answer soon.

use dahlia_ledger::{LedgerCommand, LedgerReply, TurnInput, TurnRefusal};
use dahlia_program::Command;
use dahlia_types::{DaemonId, GroupId, Timestamp};

use crate::Action;
use crate::group::ProposalPurpose;
use crate::node::Node;
use crate::request::{Request, RequestId, Response};
use crate::routing::ReplyTo;
use crate::wire::PeerMessage;

/// Bytes of a command besides its texts: names, numbers and lengths.
const COMMAND_OVERHEAD_BYTES: usize = 4_096;
/// How much more room than its input a first turn must find.
const FIRST_TURN_ROOM_FACTOR: u64 = 8;

impl Node {
    /// Sends an urgent request to the probable owner of its group. While that daemon does not respond,
    /// another member is asked as well, because it learns of a new owner.
    pub(crate) fn route_urgent(
        &mut self,
        id: RequestId,
        request: Request,
        tries: u32,
        now: Timestamp,
    ) {
        let own = self.settings.own.daemon;
        let group = request.group();
        let probable_owner = self.owner_hint(group).filter(|daemon| *daemon != own);
        let suspect = probable_owner.filter(|daemon| self.is_suspect(*daemon, now));
        let preferred = probable_owner.filter(|_| suspect.is_none());
        if let Some(suspect) = suspect {
            self.router.ask_for_help_now(id, now);
            if self.router.should_ask_suspect(id, now) {
                self.send_request(id, request.clone(), suspect);
            }
        }
        let target = preferred.or_else(|| self.pick_other_member(group, suspect, tries, now));
        match target {
            Some(target) => {
                self.router.record_asked(id, target);
                self.send_request(id, request, target);
            }
            // No daemon that could know the owner is known yet, but one may become known at any moment.
            None if suspect.is_none() => self.router.retry_soon(id, now),
            None => {}
        }
    }

    fn pick_other_member(
        &self,
        group: GroupId,
        excluded: Option<DaemonId>,
        tries: u32,
        now: Timestamp,
    ) -> Option<DaemonId> {
        let others = self.possible_owners(group);
        let others = others.into_iter().filter(|daemon| Some(*daemon) != excluded);
        let (suspects, responsive): (Vec<DaemonId>, Vec<DaemonId>) =
            others.partition(|daemon| self.is_suspect(*daemon, now));
        let candidates = if responsive.is_empty() { suspects } else { responsive };
        let index = (tries as usize).checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }

    fn is_suspect(&self, daemon: DaemonId, now: Timestamp) -> bool {
        self.router.is_suspect(daemon, now) || self.is_in_silent_zone(daemon)
    }

    fn send_request(&mut self, id: RequestId, request: Request, daemon: DaemonId) {
        if let Some(to) = self.address(daemon) {
            let message = PeerMessage::Request { id, request, reply_to: self.settings.address };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Proposes a command as owner. Reads go through the log too: an owner that was replaced without
    /// noticing must not reply that a turn does not exist.
    pub(crate) fn serve_ledger(
        &mut self,
        to: ReplyTo,
        id: GroupId,
        command: LedgerCommand,
        now: Timestamp,
    ) {
        let own = self.settings.own.daemon;
        let max_text_bytes =
            self.settings.group.max_payload_bytes.saturating_sub(COMMAND_OVERHEAD_BYTES);
        if command.text_bytes() > max_text_bytes {
            let refusal = TurnRefusal::LimitReached { limit: "entry_bytes".to_owned() };
            self.reply(to, Response::Ledger(LedgerReply::Refused(refusal)));
            return;
        }
        if !self.has_ledger_memory(&command) {
            let refusal = TurnRefusal::LimitReached { limit: "ledger_memory".to_owned() };
            self.reply(to, Response::Ledger(LedgerReply::Refused(refusal)));
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let command = Command::Ledger(command.with_timestamp(now));
        let refused = group.propose(command, ProposalPurpose::Request(to), now).is_err();
        let leader = group.replica.leader().map(|leader| leader.daemon);
        if refused {
            let hint = leader.filter(|leader| *leader != own);
            self.reply(to, Response::NotOwner { hint });
        }
        self.dirty.insert(id);
    }

    /// Whether this daemon has memory for the text that a command adds. The text of a turn that ends is always
    /// accepted, since its server has run it.
    fn has_ledger_memory(&self, command: &LedgerCommand) -> bool {
        let Some(memory) = self.settings.ledger_memory else { return true };
        let needed_room = match command {
            LedgerCommand::Open(open) => open.input.as_ref().map_or(0, text_room),
            LedgerCommand::Import(_) | LedgerCommand::ImportCharged(_) => {
                command.text_bytes() as u64
            }
            _ => 0,
        };
        if needed_room == 0 {
            return true;
        }
        let used = self.groups.values().map(|group| group.state.ledger().size().text_bytes.0);
        used.sum::<u64>().saturating_add(needed_room) <= memory.0
    }
}

/// The room that the input of a turn needs. A first turn takes an eighth of what is left at most, so that large
/// ones leave room for small ones and for the turns that follow.
fn text_room(input: &TurnInput) -> u64 {
    let bytes = input.new_input.len() as u64;
    if input.previous.is_some() { bytes } else { bytes.saturating_mul(FIRST_TURN_ROOM_FACTOR) }
}
