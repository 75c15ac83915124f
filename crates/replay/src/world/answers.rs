//! Text of answers at their owner, and the gateways that read it.
//!
//! Mirrors `dahlia-daemon`'s `answers` and `serve_answers` modules.

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::{Request, Response};
use dahlia_node::wire::{AnswerFrame, ReadAnswer};
use dahlia_types::{AttemptId, DaemonId, Duration};

use super::World;
use super::agenda::{Delivery, Target};
use super::daemon::Waiter;
use super::network::Channel;

/// How often a reader without news is told that the owner is there.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A call's text over its attempts.
#[derive(Debug, Default)]
pub(crate) struct BoardText {
    attempt: u32,
    text: String,
}

/// A gateway that reads an answer here.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) gateway: (DaemonId, u32),
    read: ReadAnswer,
}

impl World {
    /// A gateway asks for an answer.
    pub(crate) fn open_answer(
        &mut self,
        id: DaemonId,
        source: u64,
        gateway: (DaemonId, u32),
        read: ReadAnswer,
    ) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let group = read.call.program.group;
        let owns = daemon.node.as_ref().is_some_and(|node| node.owns(group));
        let request = Request::AwaitOutcome { tenant: read.tenant.clone(), call: read.call };
        daemon.sources.insert(source, Source { gateway, read });
        if !owns {
            self.last_frame(id, source, AnswerFrame::NotOwner { hint: None });
            return;
        }
        self.send_new_text(id, source);
        self.beat_later(id, source);
        self.node_request(id, request, Waiter::Source(source));
    }

    pub(crate) fn close_answer(&mut self, id: DaemonId, source: u64) {
        if let Some(daemon) = self.daemons.get_mut(&id) {
            daemon.sources.remove(&source);
        }
    }

    /// Adds to an attempt's text and tells readers.
    pub(crate) fn append_answer(&mut self, id: DaemonId, attempt: AttemptId, text: &str) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let board = daemon.board.entry(attempt.call).or_default();
        if attempt.attempt < board.attempt {
            return;
        }
        if attempt.attempt > board.attempt {
            *board = BoardText { attempt: attempt.attempt, text: String::new() };
        }
        board.text.push_str(text);
        let readers = daemon.sources.iter().filter(|(_, held)| held.read.call == attempt.call);
        let readers: Vec<u64> = readers.map(|(source, _)| *source).collect();
        for source in readers {
            self.send_new_text(id, source);
        }
    }

    fn send_new_text(&mut self, id: DaemonId, source: u64) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(held) = daemon.sources.get_mut(&source) else { return };
        let Some(board) = daemon.board.get(&held.read.call) else { return };
        let same = held.read.attempt == board.attempt || held.read.attempt == 0;
        let start = if same { held.read.offset as usize } else { 0 };
        let Some(rest) = board.text.get(start..).filter(|rest| !rest.is_empty()) else { return };
        let (attempt, offset, text) = (board.attempt, start as u64, rest.to_owned());
        held.read.attempt = attempt;
        held.read.offset = offset + text.len() as u64;
        self.send_frame(id, source, AnswerFrame::Piece { attempt, offset, text });
    }

    /// The owner's node answered what a reader waits for.
    pub(crate) fn source_ended(&mut self, id: DaemonId, source: u64, response: Response) {
        let frame = match response {
            Response::Ended { attempt, outcome, .. } => AnswerFrame::End { attempt, outcome },
            Response::Failed(error) => AnswerFrame::Failed(error),
            Response::NotOwner { hint } => AnswerFrame::NotOwner { hint },
            _ => {
                let message = "the owner answered another question";
                AnswerFrame::Failed(ApiError::new(ErrorKind::Internal, message))
            }
        };
        self.last_frame(id, source, frame);
    }

    pub(crate) fn answer_beat(&mut self, id: DaemonId, source: u64) {
        let Some(daemon) = self.daemons.get(&id) else { return };
        let Some(held) = daemon.sources.get(&source) else { return };
        let group = held.read.call.program.group;
        if !daemon.node.as_ref().is_some_and(|node| node.owns(group)) {
            self.last_frame(id, source, AnswerFrame::NotOwner { hint: None });
            return;
        }
        self.send_frame(id, source, AnswerFrame::KeepAlive);
        self.beat_later(id, source);
    }

    fn beat_later(&mut self, id: DaemonId, source: u64) {
        let target = Target::Daemon(id, self.daemons[&id].life);
        self.agenda.push(self.now + KEEP_ALIVE, target, Delivery::AnswerBeat { source });
    }

    fn last_frame(&mut self, id: DaemonId, source: u64, frame: AnswerFrame) {
        self.send_frame(id, source, frame);
        self.close_answer(id, source);
    }

    fn send_frame(&mut self, id: DaemonId, source: u64, frame: AnswerFrame) {
        let Some(daemon) = self.daemons.get(&id) else { return };
        let Some(held) = daemon.sources.get(&source) else { return };
        let (gateway, life) = held.gateway;
        let Some(reader) = self.daemons.get(&gateway) else { return };
        let (from, to) = (Some(daemon.zone), Some(reader.zone));
        let channel = Channel::Named(source, true);
        if let Some(at) = self.network.arrival(channel, from, to, self.now, &mut self.random) {
            let delivery = Delivery::Frame { source, frame: Box::new(frame) };
            self.agenda.push(at, Target::Daemon(gateway, life), delivery);
        }
    }

    /// The owner's process ended: the connection breaks at the gateway.
    pub(crate) fn tell_source_lost(&mut self, id: DaemonId, source: u64, gateway: (DaemonId, u32)) {
        let (Some(owner), Some(reader)) = (self.daemons.get(&id), self.daemons.get(&gateway.0))
        else {
            return;
        };
        let (from, to) = (Some(owner.zone), Some(reader.zone));
        if self.network.is_cut(from, to, self.now) {
            return;
        }
        let channel = Channel::Named(source, true);
        if let Some(at) = self.network.arrival(channel, from, to, self.now, &mut self.random) {
            let target = Target::Daemon(gateway.0, gateway.1);
            self.agenda.push(at, target, Delivery::SourceLost { source });
        }
    }
}
