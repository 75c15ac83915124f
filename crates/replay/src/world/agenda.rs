//! What is due when, and for whom.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use dahlia_node::wire::{AnswerFrame, ReadAnswer};
use dahlia_node::{Action, Event as NodeEvent};
use dahlia_types::{DaemonId, Timestamp};

use super::caller::CallerMessage;
use super::calls::{EngineRequest, ReplyPath, RpcResult};
use super::faults::FaultEnd;
use super::gateway::GatewayRequest;
use super::streams::StreamLine;

/// For whom something is. The number after a process is its life: what was meant for an earlier
/// life is lost with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    World,
    Daemon(DaemonId, u32),
    Engine(u32, u32),
}

/// What happens.
#[derive(Debug, Clone)]
pub(crate) enum Delivery {
    /// An event of the trace.
    TraceEvent(usize),
    /// A fault ends.
    FaultEnds(FaultEnd),
    /// Something for a caller.
    Caller(usize, CallerMessage),
    /// Engines are looked at from outside.
    Sample,

    /// The node's timer.
    Tick,
    /// What a stopped daemon was about to do.
    Actions(Vec<Action>),
    /// Anything for the node.
    Node(Box<NodeEvent>),
    /// A request to an engine is due to be made again, or its time is up.
    Rpc { rpc: u64, result: Box<RpcResult> },
    /// A line of an engine's stream.
    Line { stream: u64, line: StreamLine },
    /// An attempt's pause is over.
    AttemptPause { task: u64, step: u64 },
    /// Engines' load is read.
    ReadLoads,
    /// A caller's request.
    Gateway { connection: u64, caller: usize, request: Box<GatewayRequest> },
    /// A caller went away.
    CallerGone { connection: u64 },
    /// A gateway asks the owner for an answer.
    OpenAnswer { source: u64, gateway: (DaemonId, u32), read: ReadAnswer },
    /// The gateway no longer reads.
    CloseAnswer { source: u64 },
    /// A frame from the owner, for a gateway's reader.
    Frame { source: u64, frame: Box<AnswerFrame> },
    /// The connection to the owner could not be made, or broke.
    SourceLost { source: u64 },
    /// A reader's pause is over, or it looks for silence.
    FollowTimer { connection: u64, step: u64 },
    /// The owner tells a gateway that it is there.
    AnswerBeat { source: u64 },
    /// A planned stop looks whether all has ended.
    DrainPoll,

    /// The engine's model has something to do.
    EngineWakes,
    /// A request to the engine.
    EngineCall { request: Box<EngineRequest>, path: ReplyPath },
    /// A reader of an engine's stream closed its connection.
    StreamClosed { stream: u64 },
}

#[derive(Debug)]
struct Due {
    at: Timestamp,
    serial: u64,
    target: Target,
    delivery: Delivery,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The heap gives the greatest first: the earliest, and among these the first pushed.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.serial).cmp(&(self.at, self.serial))
    }
}

/// Everything that is due.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    due: BinaryHeap<Due>,
    serial: u64,
}

impl Agenda {
    /// Adds something that is due at a time.
    pub(crate) fn push(&mut self, at: Timestamp, target: Target, delivery: Delivery) {
        self.serial += 1;
        self.due.push(Due { at, serial: self.serial, target, delivery });
    }

    /// Takes what is due next.
    pub(crate) fn pop(&mut self) -> Option<(Timestamp, Target, Delivery)> {
        let due = self.due.pop()?;
        Some((due.at, due.target, due.delivery))
    }
}
