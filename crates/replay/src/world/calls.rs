//! Requests to engines and their replies, over connections that break.

use dahlia_adapters::engine::AttemptState;
use dahlia_node::request::ReleaseEnd;
use dahlia_node::{EngineReport, Event as NodeEvent, ReleaseOrder, StartAttempt};
use dahlia_types::{AttemptId, Bytes, DaemonId, Duration, Incarnation, ProgramId, Term, Timestamp};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};
use super::daemon::REPORT_INTERVAL;
use super::network::Channel;
use super::settings::engine_number;
use crate::trace::CrashPoint;

/// Longest time to make a connection, as the engine adapter's settings have it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time from sending until the answer begins, as the engine adapter's settings have it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What is asked of an engine.
#[derive(Debug, Clone)]
pub(crate) enum EngineRequest {
    Generate(Box<StartAttempt>),
    Resume { attempt: AttemptId, offset: u64 },
    Cancel { attempt: AttemptId, epoch: Term, only_waiting: bool },
    Fence { program: ProgramId, epoch: Term },
    Hold { program: ProgramId, epoch: Term, length: Duration },
    Release { program: ProgramId, epoch: Term, ended: bool },
    Load,
}

/// Where an engine's reply goes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplyPath {
    pub(crate) daemon: DaemonId,
    pub(crate) life: u32,
    /// Name of the request; of the stream too, when it opens one.
    pub(crate) rpc: u64,
    /// When the daemon sent it.
    pub(crate) sent: Timestamp,
}

/// What an engine answers.
#[derive(Debug, Clone)]
pub(crate) enum EngineAnswer {
    /// A stream follows.
    Opened,
    State(AttemptState),
    Fenced {
        incarnation: Incarnation,
    },
    Done,
    Released {
        incarnation: Incarnation,
        freed: Bytes,
    },
    Load(Box<EngineReport>),
}

/// Why there is no answer, as far as it matters to who asked.
#[derive(Debug, Clone)]
pub(crate) enum RpcError {
    /// Refused, or never sent: it had no effect and never will.
    NotRun(String),
    /// Refused: too much work.
    Overloaded,
    /// Refused: the call is too large.
    TooLarge,
    /// The engine knows the attempt already.
    Known,
    /// The engine does not know the attempt.
    Unseen,
    /// A newer owner was seen.
    StaleEpoch,
    /// It may have had its effect, or may yet.
    Unknown,
}

/// A reply.
pub(crate) type RpcResult = Result<EngineAnswer, RpcError>;

/// What a request was for.
#[derive(Debug, Clone)]
pub(crate) enum RpcPurpose {
    Attempt { task: u64, step: u64 },
    FenceForRelease { order: Box<ReleaseOrder>, left: Vec<AttemptId> },
    Release { order: Box<ReleaseOrder> },
    Load,
    Nothing,
}

/// A request without a reply.
#[derive(Debug, Clone)]
pub(crate) struct OpenRpc {
    pub(crate) engine: u32,
    pub(crate) purpose: RpcPurpose,
}

impl World {
    /// Sends a request to an engine.
    pub(crate) fn call_engine(
        &mut self,
        id: DaemonId,
        engine: u32,
        request: EngineRequest,
        purpose: RpcPurpose,
    ) -> u64 {
        let rpc = self.fresh_name();
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(&id) else { return rpc };
        daemon.open_rpcs.insert(rpc, OpenRpc { engine, purpose });
        let (life, zone) = (daemon.life, Some(daemon.zone));
        let is_named = daemon.uses.contains(&engine);
        let own = Target::Daemon(id, life);
        let fail = |error: RpcError| Delivery::Rpc { rpc, result: Box::new(Err(error)) };
        let timeout = RpcError::Unknown;
        self.agenda.push(now + RESPONSE_TIMEOUT, own, fail(timeout));
        let Some(target) = self.engines.get(&engine).filter(|_| is_named) else {
            self.agenda.push(now, own, fail(RpcError::NotRun("no such engine".to_owned())));
            return rpc;
        };
        let (engine_zone, engine_life) = (Some(target.zone), target.life);
        let is_cut = self.network.is_cut(zone, engine_zone, now)
            || self.network.is_cut(engine_zone, zone, now);
        // A connection from before the cut is still there as often as not; a new one cannot be
        // made, and then no byte leaves.
        if is_cut && self.random.random_bool(0.5) {
            let error = RpcError::NotRun("no connection".to_owned());
            self.agenda.push(now + CONNECT_TIMEOUT, own, fail(error));
            return rpc;
        }
        if !target.is_up() {
            let latency = self.network.latency(zone, engine_zone, now, &mut self.random).times(2);
            let error = RpcError::NotRun("connection refused".to_owned());
            self.agenda.push(now + latency, own, fail(error));
            return rpc;
        }
        let channel = Channel::Named(rpc, false);
        let at = self.network.arrival(channel, zone, engine_zone, now, &mut self.random);
        if let Some(at) = at {
            let path = ReplyPath { daemon: id, life, rpc, sent: now };
            let call = Delivery::EngineCall { request: Box::new(request), path };
            self.agenda.push(at, Target::Engine(engine, engine_life), call);
        }
        rpc
    }

    /// An engine's reply arrived, or its time is up.
    pub(crate) fn rpc_done(&mut self, id: DaemonId, rpc: u64, result: RpcResult) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(open) = daemon.open_rpcs.remove(&rpc) else { return };
        match open.purpose {
            RpcPurpose::Attempt { task, step } => self.attempt_reply(id, task, step, rpc, result),
            RpcPurpose::FenceForRelease { order, left } => match result {
                Ok(_) => self.continue_release(id, order, left),
                Err(_) => self.release_done(id, &order, ReleaseEnd::Failed),
            },
            RpcPurpose::Release { order } => {
                let end = match result {
                    Ok(EngineAnswer::Released { incarnation, freed }) => {
                        ReleaseEnd::Confirmed { incarnation, freed }
                    }
                    _ => ReleaseEnd::Failed,
                };
                self.release_done(id, &order, end);
            }
            RpcPurpose::Load => {
                if let Ok(EngineAnswer::Load(report)) = result {
                    self.node_event(id, NodeEvent::EngineReported(*report));
                }
            }
            RpcPurpose::Nothing => {}
        }
    }

    /// Reads the load of each engine, and again after the interval.
    pub(crate) fn read_loads(&mut self, id: DaemonId) {
        let engines: Vec<u32> = self.daemons[&id].uses.iter().copied().collect();
        for engine in engines {
            self.call_engine(id, engine, EngineRequest::Load, RpcPurpose::Load);
        }
        let life = self.daemons[&id].life;
        self.agenda.push(self.now + REPORT_INTERVAL, Target::Daemon(id, life), Delivery::ReadLoads);
    }

    /// Asks an engine to free a program's memory: first the attempts of unknown outcome are
    /// cancelled there, one after the other.
    pub(crate) fn begin_release(&mut self, id: DaemonId, order: ReleaseOrder) {
        let left = order.request.fence.clone();
        self.continue_release(id, Box::new(order), left);
    }

    fn continue_release(
        &mut self,
        id: DaemonId,
        order: Box<ReleaseOrder>,
        mut left: Vec<AttemptId>,
    ) {
        let Some(engine) = engine_number(&order.request.holder.engine) else {
            return;
        };
        let epoch = order.epoch;
        if left.is_empty() {
            let (program, ended) = (order.request.program, order.ended);
            let request = EngineRequest::Release { program, epoch, ended };
            self.call_engine(id, engine, request, RpcPurpose::Release { order });
            return;
        }
        let attempt = left.remove(0);
        let purpose = RpcPurpose::FenceForRelease { order, left };
        let request = EngineRequest::Cancel { attempt, epoch, only_waiting: false };
        self.call_engine(id, engine, request, purpose);
    }

    fn release_done(&mut self, id: DaemonId, order: &ReleaseOrder, end: ReleaseEnd) {
        let confirmed = matches!(end, ReleaseEnd::Confirmed { .. });
        let event = NodeEvent::ReleaseEnded {
            program: order.request.program,
            holder: order.request.holder.clone(),
            covers: order.request.covers,
            end,
        };
        if confirmed && self.crash_here(id, CrashPoint::BeforeReleaseRecorded) {
            self.node_event_later(id, event);
            return;
        }
        self.node_event(id, event);
    }

    /// Sends an engine's reply on its way.
    pub(crate) fn engine_replies(&mut self, engine: u32, path: ReplyPath, result: RpcResult) {
        let delivery = Delivery::Rpc { rpc: path.rpc, result: Box::new(result) };
        self.engine_sends(engine, path, delivery);
    }

    /// Sends something from an engine to a daemon over the request's connection.
    pub(crate) fn engine_sends(&mut self, engine: u32, path: ReplyPath, delivery: Delivery) {
        let (Some(held), Some(daemon)) =
            (self.engines.get(&engine), self.daemons.get(&path.daemon))
        else {
            return;
        };
        let (from, to) = (Some(held.zone), Some(daemon.zone));
        let extra = held.answer_delay(self.now);
        let channel = Channel::Named(path.rpc, true);
        let leaves = self.now + extra;
        if let Some(at) = self.network.arrival(channel, from, to, leaves, &mut self.random) {
            self.agenda.push(at, Target::Daemon(path.daemon, path.life), delivery);
        }
    }
}
