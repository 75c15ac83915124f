//! Callers' and operators' connections at a daemon.
//!
//! Mirrors `dahlia-daemon`'s `gateway` and `operators`; the reading of answers is the daemon's
//! own [`AnswerReader`].

use dahlia_api::{ApiError, CallRequest, ErrorKind};
use dahlia_configuration::{ChangeOutcome, ChangeProposal};
use dahlia_node::request::{Request, Response};
use dahlia_node::wire::AnswerFrame;
use dahlia_node::{AnswerEvent, AnswerReader, FrameOutcome, StartPosition};
use dahlia_types::{CallId, DaemonId, Duration, TenantId, Timestamp};

use super::World;
use super::agenda::{Delivery, Target};
use super::caller::CallerMessage;
use super::daemon::Waiter;
use super::network::Channel;
use super::settings::daemon_at;

/// Pause before asking again who owns the program.
const RELOCATE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time without any owner before a follower gives up.
const OWNERLESS_LIMIT: Duration = Duration::from_secs(20);
/// An owner that says nothing for so long is asked anew.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Longest time to connect to another daemon.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// What callers and operators ask of a daemon.
#[derive(Debug, Clone)]
pub(crate) enum GatewayRequest {
    /// A call, and its answer.
    Chat { tenant: TenantId, call: CallRequest, repeatable: bool },
    /// A call's answer from a place on.
    Read { tenant: TenantId, call: CallId, start: StartPosition },
    /// Anything that is answered at once.
    Operate(Request),
    /// A change of the configuration.
    Configure(ChangeProposal),
}

/// A connection of a caller or an operator.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) caller: usize,
    tenant: TenantId,
    follow: Option<Follow>,
}

/// The reading of an answer for a caller.
#[derive(Debug)]
struct Follow {
    reader: AnswerReader,
    source: Option<(u64, DaemonId)>,
    last_contact: Timestamp,
    last_frame: Timestamp,
    step: u64,
}

impl World {
    pub(crate) fn gateway_request(
        &mut self,
        id: DaemonId,
        name: u64,
        caller: usize,
        request: GatewayRequest,
    ) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        if !daemon.takes_callers() {
            self.send_to_caller(id, name, caller, CallerMessage::Refused { connection: name });
            return;
        }
        let mut connection = Connection { caller, tenant: TenantId::new(""), follow: None };
        match request {
            GatewayRequest::Chat { tenant, call, repeatable } => {
                connection.tenant = tenant.clone();
                daemon.connections.insert(name, connection);
                let request = Request::Submit { tenant, call, repeatable };
                self.node_request(id, request, Waiter::Connection(name));
            }
            GatewayRequest::Read { tenant, call, start } => {
                connection.tenant = tenant;
                daemon.connections.insert(name, connection);
                self.follow(id, name, call, start);
            }
            GatewayRequest::Configure(proposal) => {
                daemon.connections.insert(name, connection);
                self.propose_change(id, name, proposal);
            }
            GatewayRequest::Operate(request) => {
                daemon.connections.insert(name, connection);
                self.node_request(id, request, Waiter::Connection(name));
            }
        }
    }

    /// The node answered what a connection asked.
    pub(crate) fn connection_answered(&mut self, id: DaemonId, name: u64, response: Response) {
        match response {
            Response::Begun { call } | Response::Ended { call, .. } => {
                self.follow(id, name, call, StartPosition::default());
            }
            Response::Failed(error) => {
                self.last_to_caller(id, name, CallerMessage::Failed { connection: name, error });
            }
            Response::Program(_) | Response::Programs(_) => {
                self.last_to_caller(id, name, CallerMessage::Done { connection: name });
            }
            Response::Ledger(_) | Response::Limits(_) => {
                unreachable!("callers of this world have no ledger and no rate limits")
            }
            Response::NotOwner { .. } => {
                let error = ApiError::new(ErrorKind::Internal, "the owner answered \"not owner\"");
                self.last_to_caller(id, name, CallerMessage::Failed { connection: name, error });
            }
        }
    }

    /// The node decided on an operator's change.
    pub(crate) fn change_answered(&mut self, id: DaemonId, name: u64, verdict: ChangeOutcome) {
        self.last_to_caller(id, name, CallerMessage::Decided { connection: name, verdict });
    }

    fn follow(&mut self, id: DaemonId, name: u64, call: CallId, start: StartPosition) {
        let now = self.now;
        #[cfg(feature = "test-switches")]
        let glues = !self.switches.is_on(crate::Switch::AttemptComparison);
        let Some(connection) = self.connection(id, name) else { return };
        #[allow(unused_mut)]
        let mut reader = AnswerReader::new(connection.tenant.clone(), call, start);
        #[cfg(feature = "test-switches")]
        if glues {
            reader.disable_comparison();
        }
        connection.follow =
            Some(Follow { reader, source: None, last_contact: now, last_frame: now, step: 0 });
        self.connect_to_owner(id, name);
    }

    fn connection(&mut self, id: DaemonId, name: u64) -> Option<&mut Connection> {
        self.daemons.get_mut(&id)?.connections.get_mut(&name)
    }

    fn follow_of(&mut self, id: DaemonId, name: u64) -> Option<&mut Follow> {
        self.connection(id, name)?.follow.as_mut()
    }

    fn connect_to_owner(&mut self, id: DaemonId, name: u64) {
        let now = self.now;
        let source = self.fresh_name();
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let (life, zone) = (daemon.life, daemon.zone);
        let Some(follow) = daemon.connections.get_mut(&name).and_then(|it| it.follow.as_mut())
        else {
            return;
        };
        let group = follow.reader.call().program.group;
        let address = daemon.node.as_ref().and_then(|node| node.owner_address(group));
        let Some(owner) = address.and_then(daemon_at) else {
            self.relocate(id, name);
            return;
        };
        follow.source = Some((source, owner));
        follow.last_frame = now;
        let read = follow.reader.request();
        self.follow_timer_in(id, name, SILENCE_LIMIT);
        let Some(target) = self.daemons.get(&owner) else { return };
        let (from, to) = (Some(zone), Some(target.zone));
        let own = Target::Daemon(id, life);
        if self.network.is_cut(from, to, now) || self.network.is_cut(to, from, now) {
            let lost = Delivery::SourceLost { source };
            self.agenda.push(now + HANDSHAKE_TIMEOUT, own, lost);
            return;
        }
        if !target.is_up() {
            let latency = self.network.latency(from, to, now, &mut self.random).times(2);
            self.agenda.push(now + latency, own, Delivery::SourceLost { source });
            return;
        }
        let owner_life = target.life;
        // The connection is made first: one way there and back, then the request.
        let latency = self.network.latency(from, to, now, &mut self.random).times(3);
        let open = Delivery::OpenAnswer { source, gateway: (id, life), read };
        self.agenda.push(now + latency, Target::Daemon(owner, owner_life), open);
    }

    /// Looks for the owner again after a pause, unless there was none for too long.
    fn relocate(&mut self, id: DaemonId, name: u64) {
        let now = self.now;
        let Some(follow) = self.follow_of(id, name) else { return };
        follow.source = None;
        if now.since(follow.last_contact) > OWNERLESS_LIMIT {
            let error = ApiError::new(ErrorKind::Unavailable, "no owner can be reached");
            self.last_to_caller(id, name, CallerMessage::Failed { connection: name, error });
            return;
        }
        self.follow_timer_in(id, name, RELOCATE_PAUSE);
    }

    fn follow_timer_in(&mut self, id: DaemonId, name: u64, length: Duration) {
        let Some(follow) = self.follow_of(id, name) else { return };
        follow.step += 1;
        let step = follow.step;
        let target = Target::Daemon(id, self.daemons[&id].life);
        let timer = Delivery::FollowTimer { connection: name, step };
        self.agenda.push(self.now + length, target, timer);
    }

    pub(crate) fn follow_timer(&mut self, id: DaemonId, name: u64, step: u64) {
        let now = self.now;
        let Some(follow) = self.follow_of(id, name) else { return };
        if follow.step != step {
            return;
        }
        if follow.source.is_none() {
            self.connect_to_owner(id, name);
            return;
        }
        let silence = now.since(follow.last_frame);
        if silence >= SILENCE_LIMIT {
            self.relocate(id, name);
        } else {
            self.follow_timer_in(id, name, Duration(SILENCE_LIMIT.0 - silence.0));
        }
    }

    fn connection_of_source(&self, id: DaemonId, source: u64) -> Option<u64> {
        let daemon = self.daemons.get(&id)?;
        let reads = |connection: &Connection| {
            connection
                .follow
                .as_ref()
                .is_some_and(|follow| follow.source.is_some_and(|(present, _)| present == source))
        };
        daemon.connections.iter().find(|(_, held)| reads(held)).map(|(name, _)| *name)
    }

    pub(crate) fn source_lost(&mut self, id: DaemonId, source: u64) {
        if let Some(name) = self.connection_of_source(id, source) {
            self.relocate(id, name);
        }
    }

    pub(crate) fn frame_arrived(&mut self, id: DaemonId, source: u64, frame: AnswerFrame) {
        let now = self.now;
        let Some(name) = self.connection_of_source(id, source) else { return };
        let Some(follow) = self.follow_of(id, name) else { return };
        follow.last_contact = now;
        follow.last_frame = now;
        match follow.reader.handle_frame(frame) {
            FrameOutcome::Nothing => {}
            FrameOutcome::FindOwner => self.relocate(id, name),
            FrameOutcome::Events(followed) => {
                for followed in followed {
                    self.pass_on(id, name, followed);
                }
            }
        }
    }

    fn pass_on(&mut self, id: DaemonId, name: u64, followed: AnswerEvent) {
        match followed {
            AnswerEvent::Text { attempt, offset, text } => {
                let Some(caller) = self.connection(id, name).map(|held| held.caller) else {
                    return;
                };
                let message = CallerMessage::Text { connection: name, attempt, offset, text };
                self.send_to_caller(id, name, caller, message);
            }
            AnswerEvent::End { .. } => {
                self.last_to_caller(id, name, CallerMessage::End { connection: name });
            }
            AnswerEvent::Failed(error) => {
                self.last_to_caller(id, name, CallerMessage::Failed { connection: name, error });
            }
        }
    }

    fn last_to_caller(&mut self, id: DaemonId, name: u64, message: CallerMessage) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(connection) = daemon.connections.get(&name) else { return };
        let caller = connection.caller;
        self.send_to_caller(id, name, caller, message);
        self.connection_gone(id, name);
    }

    fn send_to_caller(&mut self, id: DaemonId, name: u64, caller: usize, message: CallerMessage) {
        let Some(daemon) = self.daemons.get(&id) else { return };
        let channel = Channel::Named(name, true);
        let zone = Some(daemon.zone);
        if let Some(at) = self.network.arrival(channel, zone, None, self.now, &mut self.random) {
            self.agenda.push(at, Target::World, Delivery::Caller(caller, message));
        }
    }

    /// The connection's process ended.
    pub(crate) fn connection_broken(&mut self, zone: usize, name: u64, caller: usize) {
        let channel = Channel::Named(name, true);
        let arrival = self.network.arrival(channel, Some(zone), None, self.now, &mut self.random);
        if let Some(at) = arrival {
            let message = CallerMessage::Broken { connection: name };
            self.agenda.push(at, Target::World, Delivery::Caller(caller, message));
        }
    }

    /// A connection ended at its caller's side, or has got its last message.
    pub(crate) fn connection_gone(&mut self, id: DaemonId, name: u64) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(connection) = daemon.connections.remove(&name) else { return };
        let zone = daemon.zone;
        let Some((source, owner)) = connection.follow.and_then(|follow| follow.source) else {
            return;
        };
        if let Some(held) = self.daemons.get(&owner) {
            let (life, owner_zone) = (held.life, held.zone);
            let latency =
                self.network.latency(Some(zone), Some(owner_zone), self.now, &mut self.random);
            let target = Target::Daemon(owner, life);
            self.agenda.push(self.now + latency, target, Delivery::CloseAnswer { source });
        }
    }
}
