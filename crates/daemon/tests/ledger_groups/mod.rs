//! The ledgers of all groups in memory, and clients of them in several regions.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use dahlia_api::{ApiError, ErrorKind};
use dahlia_daemon::core_handle::{CoreHandle, CoreMessage, channel};
use dahlia_daemon::ledger_breaker::LedgerBreakerSettings;
use dahlia_daemon::ledger_client::LedgerClient;
use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, OpenedTurn, ProgramName,
    TurnEnd, TurnId, TurnInput, group_in_region, group_of, read_holder,
};
use dahlia_node::request::{Request, Response};
use dahlia_relay::{LedgerUnavailable, TurnLedger};
use dahlia_types::{
    DaemonId, Duration, GroupHomes, GroupId, Incarnation, Region, ReplicaId, Timestamp, Tokens,
};

pub const GROUPS: u32 = 8;
pub const BUDGET: u64 = 100;
pub const TIMEOUT: Duration = Duration::from_secs(4);

/// The ledgers of all groups, and a record of the requests to them.
#[derive(Default)]
pub struct Groups {
    ledgers: BTreeMap<GroupId, Ledger>,
    pub asked: Vec<(GroupId, &'static str)>,
    /// The commands of these requests that open a turn.
    opens: Vec<(GroupId, LedgerCommand)>,
    /// The home region of the groups that have no owner.
    lost: Option<Region>,
    /// What is lost on the way from gateways of a region to groups at home in another one.
    cuts: BTreeMap<(Region, Region), Lost>,
    now: Timestamp,
}

/// What a cut between two regions loses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    Commands,
    /// Commands arrive, and their answers do not.
    Answers,
}

pub struct System {
    pub groups: Arc<Mutex<Groups>>,
    /// A client that knows no regions.
    pub client: LedgerClient,
}

pub fn homes() -> GroupHomes {
    GroupHomes::new(["east", "north", "south"].map(Region::new))
}

pub fn program() -> ProgramName {
    ProgramName::new(None, "p")
}

/// A daemon's core, in front of which all groups answer.
fn core_of(groups: &Arc<Mutex<Groups>>, from: Option<Region>) -> CoreHandle {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, mut inbox) = channel(own);
    let answering = Arc::clone(groups);
    tokio::spawn(async move {
        while let Some(message) = inbox.recv().await {
            let CoreMessage::Request(Request::Ledger { group, command }, reply) = message else {
                panic!("not a request to a ledger");
            };
            let mut groups = answering.lock().expect("not poisoned");
            let _ = reply.send(groups.answer_to(from.as_ref(), group, command));
        }
    });
    core
}

pub fn home_group(region: &str) -> GroupId {
    group_in_region(&program(), &homes(), &Region::new(region), GROUPS)
}

impl System {
    pub fn new() -> Self {
        let groups: Arc<Mutex<Groups>> = Arc::default();
        let core = core_of(&groups, None);
        let client = LedgerClient::new(core, GROUPS, LedgerBreakerSettings::default());
        Self { groups, client }
    }

    /// A gateway in `region` that knows no program.
    pub fn client_in(&self, region: &str) -> LedgerClient {
        let region = Region::new(region);
        let core = core_of(&self.groups, Some(region.clone()));
        let client = LedgerClient::new(core, GROUPS, LedgerBreakerSettings::default());
        client.with_region(region, homes())
    }

    /// Applies a command of a build that asks the groups without a register.
    pub fn apply(&self, group: GroupId, command: LedgerCommand) {
        self.groups.lock().expect("not poisoned").answer(group, command);
    }

    /// Whether the holder of [`program`]'s budget is recorded.
    pub fn is_registered(&self) -> bool {
        let mut groups = self.groups.lock().expect("not poisoned");
        let reply = groups.answer(group_of(&program(), GROUPS), read_holder(&program()));
        matches!(reply, Response::Ledger(LedgerReply::Chain(_)))
    }

    pub fn cut_off_region(&self, region: &str) {
        self.groups.lock().expect("not poisoned").lost = Some(Region::new(region));
    }

    /// Loses commands or answers between gateways in `from` and groups at home in `to`, or nothing any more.
    pub fn cut(&self, from: &str, to: &str, lost: Option<Lost>) {
        let ways = (Region::new(from), Region::new(to));
        let mut groups = self.groups.lock().expect("not poisoned");
        match lost {
            Some(lost) => groups.cuts.insert(ways, lost),
            None => groups.cuts.remove(&ways),
        };
    }

    /// Continues all ledgers from snapshots, with owners whose clock is at `now`.
    pub fn restart_groups(&self, now: Timestamp) {
        let config = bincode::config::standard();
        let mut groups = self.groups.lock().expect("not poisoned");
        groups.now = now;
        for ledger in groups.ledgers.values_mut() {
            let snapshot = bincode::serde::encode_to_vec(&*ledger, config).expect("a snapshot");
            *ledger = bincode::serde::decode_from_slice(&snapshot, config).expect("a ledger").0;
        }
    }

    /// Takes the groups that got commands of `kind` since the last call.
    pub fn asked(&self, kind: &str) -> Vec<GroupId> {
        let asked = std::mem::take(&mut self.groups.lock().expect("not poisoned").asked);
        asked.into_iter().filter(|(_, name)| *name == kind).map(|(group, _)| group).collect()
    }

    /// Applies all commands that opened turns once more, as if they had come by way of another daemon too.
    pub fn repeat_opens(&self) {
        let mut groups = self.groups.lock().expect("not poisoned");
        for (group, command) in groups.opens.clone() {
            groups.answer(group, command);
        }
    }

    pub fn used(&self, group: GroupId) -> Option<u64> {
        let groups = self.groups.lock().expect("not poisoned");
        groups.ledgers.get(&group)?.charge(&program()).map(|charge| charge.used().0)
    }
}

impl Groups {
    /// Answers a gateway in `from`; none if it is not known where it is.
    fn answer_to(
        &mut self,
        from: Option<&Region>,
        group: GroupId,
        command: LedgerCommand,
    ) -> Response {
        let to = homes().home_of(group).cloned();
        let ways = from.cloned().zip(to);
        let lost = ways.and_then(|ways| self.cuts.get(&ways).copied());
        let failed = Response::Failed(ApiError::new(ErrorKind::Unavailable, "cut"));
        if lost == Some(Lost::Commands) {
            return failed;
        }
        let response = self.answer(group, command);
        if lost.is_some() { failed } else { response }
    }

    pub fn answer(&mut self, group: GroupId, command: LedgerCommand) -> Response {
        self.asked.push((group, command.name()));
        if matches!(command, LedgerCommand::Open(_)) {
            self.opens.push((group, command.clone()));
        }
        let is_lost = self.lost.is_some() && homes().home_of(group) == self.lost.as_ref();
        if is_lost {
            return Response::Failed(ApiError::new(ErrorKind::Unavailable, "no owner"));
        }
        let ledger =
            self.ledgers.entry(group).or_insert_with(|| Ledger::new(LedgerLimits::default()));
        Response::Ledger(ledger.apply(&command.with_timestamp(self.now)))
    }
}

pub fn open(turn: &str, previous: Option<&str>, most: u64) -> LedgerCommand {
    let previous = previous.map(|previous| TurnId::new(None, previous));
    let retention = Duration::from_secs(60);
    LedgerCommand::Open(OpenTurn {
        program: program(),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(BUDGET)),
        max_generated: Tokens(most),
        input: Some(TurnInput { previous, new_input: b"in".to_vec(), retention }),
        at: Timestamp::ZERO,
    })
}

pub fn close(turn: &str, generated: u64) -> LedgerCommand {
    let (generated, output) = (Tokens(generated), b"out".to_vec());
    let end = TurnEnd::Completed { generated, output, served_by: "server".into() };
    let turn = TurnId::new(None, turn);
    LedgerCommand::Close(CloseTurn { program: program(), turn, end, at: Timestamp::ZERO })
}

pub type SubmitResult = Result<LedgerReply, LedgerUnavailable>;

pub async fn submit(client: &LedgerClient, command: LedgerCommand) -> SubmitResult {
    client.submit_for_retained_turn(command, TIMEOUT).await
}

pub async fn run_turn(
    client: &LedgerClient,
    turn: &str,
    previous: Option<&str>,
    tokens: u64,
) -> OpenedTurn {
    run_turn_of(&program(), client, turn, previous, tokens).await
}

pub async fn run_turn_of(
    program: &ProgramName,
    client: &LedgerClient,
    turn: &str,
    previous: Option<&str>,
    tokens: u64,
) -> OpenedTurn {
    let (opened, closed) = match (open(turn, previous, tokens), close(turn, tokens)) {
        (LedgerCommand::Open(open), LedgerCommand::Close(close)) => (
            LedgerCommand::Open(OpenTurn { program: program.clone(), ..open }),
            LedgerCommand::Close(CloseTurn { program: program.clone(), ..close }),
        ),
        other => panic!("not the commands of a turn: {other:?}"),
    };
    let opened = match submit(client, opened).await {
        Ok(LedgerReply::Opened(opened)) => opened,
        other => panic!("{turn} is not opened: {other:?}"),
    };
    assert_eq!(submit(client, closed).await, Ok(LedgerReply::Closed));
    opened
}

/// Programs other than [`program`] whose register is in a group at home in `region`.
pub fn programs_registered_in(region: &'static str) -> impl Iterator<Item = ProgramName> {
    let names = (0..).map(|number| ProgramName::new(None, &format!("program-{number}")));
    names.filter(move |name| homes().home_of(group_of(name, GROUPS)) == Some(&Region::new(region)))
}

pub fn program_registered_in(region: &'static str) -> ProgramName {
    programs_registered_in(region).next().expect("every region has groups")
}

pub fn new_program_registered_in(region: &'static str) -> ProgramName {
    programs_registered_in(region).nth(1).expect("every region has groups")
}

/// A program that needs only groups of `region`.
pub fn program_held_by(region: &'static str) -> ProgramName {
    program_registered_in(region)
}

/// Waits for what a client does after its reply.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let limit = std::time::Duration::from_secs(10);
    tokio::time::timeout(limit, met).await.expect("the condition is met in time");
}
