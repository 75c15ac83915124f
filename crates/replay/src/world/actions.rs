//! Carrying out a node's actions, as `dahlia-daemon`'s core does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use dahlia_node::request::Response;
use dahlia_node::wire::PeerMessage;
use dahlia_node::{Action, Event as NodeEvent};
use dahlia_types::{DaemonId, Duration, ReplicaId};

use super::World;
use super::agenda::{Delivery, Target};
use super::calls::{EngineRequest, RpcPurpose};
use super::daemon::Waiter;
use super::network::Channel;
use super::observe::Observation;
use super::settings::{daemon_at, engine_number};
use crate::trace::CrashPoint;

impl World {
    /// Carries actions out in their order, up to the daemon's death.
    pub(crate) fn perform_all(&mut self, id: DaemonId, actions: Vec<Action>) {
        let life = self.daemons.get(&id).map(|held| held.life);
        let mut left: VecDeque<Action> = actions.into();
        while let Some(action) = left.pop_front() {
            let Some(daemon) = self.daemons.get(&id).filter(|held| held.is_up()) else { return };
            if Some(daemon.life) != life {
                return;
            }
            let point = point_before(&action).filter(|_| !daemon.is_frozen);
            let stopped = point.is_some_and(|point| self.crash_here(id, point));
            if stopped || self.daemons.get(&id).is_some_and(|held| held.is_frozen) {
                left.push_front(action);
                self.keep_for_later(id, left);
                return;
            }
            let is_start = matches!(action, Action::StartAttempt(_));
            self.perform(id, action);
            if is_start && self.crash_here(id, CrashPoint::AfterSend) {
                self.keep_for_later(id, left);
                return;
            }
        }
    }

    /// A daemon that was stopped in the middle goes on there when it wakes; a dead one does not.
    fn keep_for_later(&mut self, id: DaemonId, left: VecDeque<Action>) {
        if let Some(daemon) = self.daemons.get_mut(&id)
            && daemon.is_frozen
        {
            daemon.backlog.insert(0, Delivery::Actions(left.into()));
        }
    }

    fn perform(&mut self, id: DaemonId, action: Action) {
        match action {
            Action::Send { to, message } | Action::SendUnsynced { to, message } => {
                self.send(id, to, message);
            }
            Action::Respond { id: request, response } => self.node_responded(id, request, response),
            Action::StartAttempt(start) => self.start_attempt(id, *start),
            Action::ResumeAttempt(start) => self.resume_attempt(id, *start),
            Action::CancelAttempt { attempt, epoch } => {
                if let Some(engine) = self.engine_of_attempt(id, attempt) {
                    let request = EngineRequest::Cancel { attempt, epoch, only_waiting: false };
                    self.call_engine(id, engine, request, RpcPurpose::Nothing);
                }
            }
            Action::RecallAttempt { attempt, epoch } => {
                if let Some(engine) = self.engine_of_attempt(id, attempt) {
                    let request = EngineRequest::Cancel { attempt, epoch, only_waiting: true };
                    self.call_engine(id, engine, request, RpcPurpose::Nothing);
                }
            }
            Action::DetachAttempt { attempt } => self.leave_attempt(id, attempt),
            Action::ForgetAnswer { call } => {
                if let Some(daemon) = self.daemons.get_mut(&id) {
                    daemon.board.remove(&call);
                }
            }
            Action::HoldCache { program, engine, epoch, length } => {
                if let Some(engine) = engine_number(&engine) {
                    let request = EngineRequest::Hold { program, epoch, length };
                    self.call_engine(id, engine, request, RpcPurpose::Nothing);
                }
            }
            Action::Release(order) => self.begin_release(id, *order),
            Action::Layout(step) => {
                let life = self.daemons[&id].life;
                self.layout_step(id, life, step);
            }
            Action::SetEngines(addresses) => {
                if let Some(daemon) = self.daemons.get_mut(&id) {
                    let named = addresses.iter().filter_map(|it| engine_number(&it.engine));
                    daemon.uses.extend(named);
                }
            }
            Action::KeyValue(step) => self.key_value_step(id, step),
            Action::AnswerChange { id: request, outcome } => {
                let daemon = self.daemons.get_mut(&id);
                let waiter = daemon.and_then(|daemon| daemon.waiting.remove(&request));
                if let Some(Waiter::Connection(connection)) = waiter {
                    self.change_answered(id, connection, outcome);
                }
            }
            Action::ConfigurationInForce(record) => {
                let generation = record.generation().0;
                let seen = Observation::InForce { daemon: id, generation };
                self.seen.note(self.now, seen);
            }
            // Engines here serve one model throughout, and no virtual daemon has a disk.
            Action::Order(_)
            | Action::Store(_)
            | Action::Persist(_)
            | Action::DocumentShared(_)
            | Action::Feed(_) => {}
            Action::BackendFailureReported(_)
            | Action::LoadsReported(_)
            | Action::OriginFound { .. }
            | Action::GatewaysConsulted { .. }
            | Action::CrashReportReceived(_)
            | Action::ReachChanged(_) => {}
            Action::Stop { .. } | Action::Superseded { .. } => self.kill_daemon(id, Duration::ZERO),
        }
    }

    fn send(&mut self, from: DaemonId, to: SocketAddr, message: PeerMessage) {
        let Some(to) = daemon_at(to) else { return };
        let (Some(sender), Some(receiver)) = (self.daemons.get(&from), self.daemons.get(&to))
        else {
            return;
        };
        if !receiver.is_up() {
            return;
        }
        let (one, other) = (Some(sender.zone), Some(receiver.zone));
        let target = Target::Daemon(to, receiver.life);
        let from_replica = ReplicaId { daemon: from, incarnation: sender.incarnation };
        let channel = Channel::Peers(from.0, to.0);
        let arrivals = self.network.peer_arrivals(channel, one, other, self.now, &mut self.random);
        for at in arrivals {
            let event = NodeEvent::Message { from: from_replica, message: message.clone() };
            self.agenda.push(at, target, Delivery::Node(Box::new(event)));
        }
    }
}

/// The durable step that an action stands behind, if any.
fn point_before(action: &Action) -> Option<CrashPoint> {
    match action {
        Action::StartAttempt(_) => Some(CrashPoint::BeforeSend),
        Action::ResumeAttempt(_) => Some(CrashPoint::BeforeEnquiry),
        Action::Release(_) => Some(CrashPoint::BeforeRelease),
        Action::Respond { response, .. }
        | Action::Send { message: PeerMessage::Response { response, .. }, .. } => match response {
            Response::Begun { .. } => Some(CrashPoint::BeforeBegun),
            Response::Ended { .. } => Some(CrashPoint::BeforeAnswer),
            _ => None,
        },
        _ => None,
    }
}
