//! Requests to the ledgers of caller-named programs: their way to the owner, and what it does.
//!
//! A caller's turn waits for them, so they take a faster way than other requests: a redirection
//! is followed at once, and a member that does not answer soon is no longer the only one asked.

use dahlia_ledger::{LedgerCommand, LedgerReply, TurnRefusal};
use dahlia_program::Command;
use dahlia_types::{DaemonId, GroupId, Timestamp};

use crate::Action;
use crate::group::Purpose;
use crate::node::Node;
use crate::request::{Request, RequestId, Response};
use crate::routing::ReplyTo;
use crate::wire::PeerMessage;

/// Bytes of a command besides its texts: names, numbers, lengths.
const COMMAND_OVERHEAD: usize = 4_096;

impl Node {
    /// Sends an urgent request to whoever probably owns its group. While that daemon is silent,
    /// another member is asked as well: it knows when there is a new owner.
    pub(crate) fn route_urgent(
        &mut self,
        id: RequestId,
        request: Request,
        tries: u32,
        now: Timestamp,
    ) {
        let own = self.settings.own.daemon;
        let group = request.group();
        let likely = self.owner_hint(group).filter(|daemon| *daemon != own);
        let suspect = likely.filter(|daemon| self.is_suspect(*daemon, now));
        let first = likely.filter(|_| suspect.is_none());
        if let Some(suspect) = suspect {
            self.router.ask_for_help_now(id, now);
            if self.router.should_ask_suspect(id, now) {
                self.send_request(id, request.clone(), suspect);
            }
        }
        let target = first.or_else(|| self.member_besides(group, suspect, tries, now));
        match target {
            Some(target) => {
                self.router.record_asked(id, target);
                self.send_request(id, request, target);
            }
            // Nobody who could know the owner is known yet; news may arrive any moment.
            None if suspect.is_none() => self.router.retry_soon(id, now),
            None => {}
        }
    }

    fn member_besides(
        &self,
        group: GroupId,
        besides: Option<DaemonId>,
        tries: u32,
        now: Timestamp,
    ) -> Option<DaemonId> {
        let others = self.possible_owners(group);
        let others = others.into_iter().filter(|daemon| Some(*daemon) != besides);
        let (silent, heard): (Vec<DaemonId>, Vec<DaemonId>) =
            others.partition(|daemon| self.is_suspect(*daemon, now));
        let candidates = if heard.is_empty() { silent } else { heard };
        let place = (tries as usize).checked_rem(candidates.len())?;
        candidates.get(place).copied()
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

    /// Puts a command into the log as owner. Reads go through the log too: an owner that was
    /// replaced unawares must not say that there is no such turn.
    pub(crate) fn serve_ledger(
        &mut self,
        to: ReplyTo,
        id: GroupId,
        command: LedgerCommand,
        now: Timestamp,
    ) {
        let own = self.settings.own.daemon;
        let most = self.settings.group.max_payload_bytes.saturating_sub(COMMAND_OVERHEAD);
        if command.text_bytes() > most {
            let refusal = TurnRefusal::LimitReached { limit: "entry_bytes".to_owned() };
            self.reply(to, Response::Ledger(LedgerReply::Refused(refusal)));
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let command = Command::Ledger(command.with_timestamp(now));
        let refused = group.propose(command, Purpose::Request(to), now).is_err();
        let leader = group.replica.leader().map(|leader| leader.daemon);
        if refused {
            let hint = leader.filter(|leader| *leader != own);
            self.reply(to, Response::NotOwner { hint });
        }
        self.dirty.insert(id);
    }
}
