//! A daemon without groups that a later process has replaced.
//!
//! It is no member any more: it neither answers other daemons nor tells them anything of itself, so that it
//! cannot contradict the later process. Its callers may still have requests open. It records the ends of
//! their turns, which no other process can: a turn has the identifier of one attempt of a caller, and only
//! the process that opened it knows what became of it.

use dahlia_api::{ApiError, ErrorKind};
use dahlia_ledger::LedgerCommand;
use dahlia_types::{Incarnation, Timestamp};

use crate::node::Node;
use crate::request::{Request, RequestId, Response};
use crate::wire::PeerMessage;
use crate::{Action, Event};

impl Node {
    /// Ends this daemon's membership, since a later incarnation runs. A daemon with groups stops at once:
    /// others vote and lead in its place.
    pub(crate) fn supersede(&mut self, by: Incarnation, is_elsewhere: bool) {
        log::error!(
            target: "members",
            incarnation:% = by, is_elsewhere = is_elsewhere;
            "A later incarnation of this daemon runs."
        );
        // The later incarnation is this daemon's previous one if the clock was set back.
        let restart_after = Some(by).filter(|_| !is_elsewhere);
        if self.settings.holds_groups || !self.groups.is_empty() {
            self.actions.push(Action::Stop { restart_after });
            return;
        }
        self.is_superseded = true;
        self.actions.push(Action::Superseded { restart_after });
    }

    /// Handles an event while superseded. Requests that are on their way are still answered.
    pub(crate) fn handle_superseded(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Tick => self.route_due(now),
            Event::Message { from, message: PeerMessage::Response { id, response } } => {
                self.handle_response(from, id, response, now);
            }
            Event::Request { id, request } if is_end_of_turn(&request) => {
                self.accept_request(id, request, now);
            }
            Event::Request { id, .. } => self.refuse_request(id),
            _ => {}
        }
    }

    fn refuse_request(&mut self, id: RequestId) {
        let error = ApiError::new(ErrorKind::Unavailable, "a later process of this daemon runs");
        self.actions.push(Action::Respond { id, response: Response::Failed(error) });
    }
}

fn is_end_of_turn(request: &Request) -> bool {
    matches!(request, Request::Ledger { command: LedgerCommand::Close(_), .. })
}
