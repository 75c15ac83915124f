//! A program's budget in drawn plays: turns that come to several regions at once, groups that fall silent, answers
//! and commands that are lost, gateways that end. After each step no program has been given more than its budget,
//! and none is refused as spent while it has tokens left.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use dahlia_api::{ApiError, ErrorKind};
use dahlia_daemon::core_handle::{CoreHandle, CoreMessage, channel};
use dahlia_daemon::ledger_breaker::LedgerBreakerSettings;
use dahlia_daemon::ledger_client::LedgerClient;
use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, ProgramName, TurnEnd,
    TurnId, TurnInput, TurnRefusal,
};
use dahlia_node::request::{Request, Response};
use dahlia_relay::TurnLedger;
use dahlia_types::{
    DaemonId, Duration, GroupHomes, GroupId, Incarnation, Region, ReplicaId, Timestamp, Tokens,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

const GROUPS: u32 = 8;
const REGIONS: [&str; 3] = ["east", "north", "south"];
const GATEWAYS_PER_REGION: usize = 2;
const PROGRAMS: usize = 4;
const BUDGET: u64 = 120;
const LARGEST_TURN: u64 = 20;
const SEEDS: u64 = 40;
const STEPS: usize = 40;
const TURNS_PER_STEP: usize = 6;
/// Far above what a play takes.
const TIMEOUT: Duration = Duration::from_secs(4);

/// The ledgers of all groups, and what is wrong with them.
struct Groups {
    ledgers: BTreeMap<GroupId, Ledger>,
    random: StdRng,
    silent: BTreeSet<GroupId>,
    /// The share of commands that are lost, and of answers to commands that were applied.
    lost: f64,
    now: Timestamp,
}

impl Groups {
    fn answer(&mut self, group: GroupId, command: LedgerCommand) -> Response {
        let failed = || Response::Failed(ApiError::new(ErrorKind::Unavailable, "lost"));
        if self.silent.contains(&group) || self.random.random_bool(self.lost) {
            return failed();
        }
        self.now = self.now + Duration::from_millis(1);
        let ledger =
            self.ledgers.entry(group).or_insert_with(|| Ledger::new(LedgerLimits::default()));
        let reply = ledger.apply(&command.clone().with_timestamp(self.now));
        if self.random.random_bool(self.lost) {
            // It is applied once more, as when another daemon passes it on.
            ledger.apply(&command.with_timestamp(self.now));
            return failed();
        }
        Response::Ledger(reply)
    }
}

fn start(seed: u64) -> (Arc<Mutex<Groups>>, CoreHandle) {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, mut inbox) = channel(own);
    let groups = Arc::new(Mutex::new(Groups {
        ledgers: BTreeMap::new(),
        random: StdRng::seed_from_u64(seed),
        silent: BTreeSet::new(),
        lost: 0.0,
        now: Timestamp(1),
    }));
    let answering = Arc::clone(&groups);
    tokio::spawn(async move {
        let mut waiting = Vec::new();
        while let Some(message) = inbox.recv().await {
            let CoreMessage::Request(Request::Ledger { group, command }, reply) = message else {
                panic!("not a request to a ledger");
            };
            waiting.push((group, command, reply));
            // Commands of several callers reach groups in any order.
            tokio::task::yield_now().await;
            while let Ok(CoreMessage::Request(Request::Ledger { group, command }, reply)) =
                inbox.try_recv()
            {
                waiting.push((group, command, reply));
            }
            while !waiting.is_empty() {
                let mut groups = answering.lock().expect("not poisoned");
                let index = groups.random.random_range(0..waiting.len());
                let (group, command, reply) = waiting.swap_remove(index);
                let _ = reply.send(groups.answer(group, command));
            }
        }
    });
    (groups, core)
}

/// What callers and servers know of one program.
#[derive(Debug, Default, Clone)]
struct Record {
    /// Tokens that were handed to callers.
    handed_out: u64,
    /// The most that ledgers may have charged: what settled turns generated, and the most of all others that
    /// may have been opened.
    charged: u64,
    /// Turns that were answered whole.
    whole: Vec<TurnId>,
}

struct Play {
    groups: Arc<Mutex<Groups>>,
    core: CoreHandle,
    gateways: Vec<LedgerClient>,
    records: Arc<Mutex<Vec<Record>>>,
    random: StdRng,
    turns: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        let (groups, core) = start(seed ^ 0x5eed);
        let mut play = Self {
            groups,
            core,
            gateways: Vec::new(),
            records: Arc::new(Mutex::new(vec![Record::default(); PROGRAMS])),
            random: StdRng::seed_from_u64(seed),
            turns: 0,
        };
        for number in 0..REGIONS.len() * GATEWAYS_PER_REGION {
            play.gateways.push(play.gateway(number));
        }
        play
    }

    fn gateway(&self, number: usize) -> LedgerClient {
        // Callers are never turned away for what earlier ones met.
        let settings = LedgerBreakerSettings {
            succession_ms: 60_000,
            most_held: 1_000_000,
            ..LedgerBreakerSettings::default()
        };
        let homes = GroupHomes::new(REGIONS.map(Region::new));
        let region = Region::new(REGIONS[number % REGIONS.len()]);
        LedgerClient::new(self.core.clone(), GROUPS, settings).with_region(region, homes)
    }

    /// Draws what is wrong until the next step.
    fn disturb(&mut self) {
        let mut groups = self.groups.lock().expect("not poisoned");
        groups.silent.clear();
        groups.lost = *[0.0, 0.0, 0.1].choose(&mut self.random).expect("not empty");
        match self.random.random_range(0..4) {
            0 => {
                groups.silent.insert(GroupId(self.random.random_range(0..GROUPS)));
            }
            1 => {
                let lost = self.random.random_range(0..REGIONS.len() as u32);
                let regions = REGIONS.len() as u32;
                groups
                    .silent
                    .extend((0..GROUPS).filter(|group| group % regions == lost).map(GroupId));
            }
            _ => {}
        }
        drop(groups);
        if self.random.random_bool(0.2) {
            let number = self.random.random_range(0..self.gateways.len());
            self.gateways[number] = self.gateway(number);
        }
    }

    /// Runs turns of drawn programs at drawn gateways at the same time.
    async fn step(&mut self, may_fail: bool) {
        let mut turns = JoinSet::new();
        for _ in 0..TURNS_PER_STEP {
            self.turns += 1;
            let program = self.random.random_range(0..PROGRAMS);
            let previous = {
                let records = self.records.lock().expect("not poisoned");
                let whole = &records[program].whole;
                whole.choose(&mut self.random).filter(|_| self.random.random_bool(0.7)).cloned()
            };
            turns.spawn(run_turn(Turn {
                client: self.gateways.choose(&mut self.random).expect("not empty").clone(),
                records: Arc::clone(&self.records),
                program,
                turn: TurnId::new(None, &format!("t-{}", self.turns)),
                previous,
                is_kept: self.random.random_bool(0.8),
                most: self.random.random_range(1..=LARGEST_TURN),
                end: self.random.random_range(0..4),
                may_fail,
            }));
        }
        while let Some(ended) = turns.join_next().await {
            ended.expect("no turn panics");
        }
        let records = self.records.lock().expect("not poisoned");
        for (program, record) in records.iter().enumerate() {
            let handed_out = record.handed_out;
            assert!(handed_out <= BUDGET, "program {program} got {handed_out} of {BUDGET} tokens");
        }
    }
}

struct Turn {
    client: LedgerClient,
    records: Arc<Mutex<Vec<Record>>>,
    program: usize,
    turn: TurnId,
    previous: Option<TurnId>,
    is_kept: bool,
    most: u64,
    end: u32,
    may_fail: bool,
}

/// Opens a turn, hands out tokens and closes it, or its gateway ends before that.
async fn run_turn(turn: Turn) {
    let Turn { client, records, program, turn, previous, is_kept, most, end, may_fail } = turn;
    let record = |update: &dyn Fn(&mut Record)| {
        update(&mut records.lock().expect("not poisoned")[program]);
    };
    let retention = Duration::from_secs(60);
    let input = TurnInput { previous, new_input: b"in".to_vec(), retention };
    let name = ProgramName::new(None, &format!("program-{program}"));
    let open = LedgerCommand::Open(OpenTurn {
        program: name.clone(),
        turn: turn.clone(),
        budget: Some(Tokens(BUDGET)),
        max_generated: Tokens(most),
        input: is_kept.then_some(input),
        at: Timestamp::ZERO,
    });
    record(&|record| record.charged += most);
    let reply = submit(&client, is_kept, open).await;
    let (generated, end) = match (&reply, end) {
        (Ok(LedgerReply::Opened(_)), 0) => (most, TurnEnd::Incomplete),
        (Ok(LedgerReply::Opened(_)), 1) => {
            // Its gateway ends. The servers may have handed out everything.
            record(&|record| record.handed_out += most);
            return;
        }
        (Ok(LedgerReply::Opened(_)), _) => {
            let (generated, output) = (Tokens(most / 2), b"out".to_vec());
            let served_by = "server".to_owned();
            (most / 2, TurnEnd::Completed { generated, output, served_by })
        }
        (Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { used, .. })), _) => {
            let used = used.0;
            record(&|record| {
                record.charged -= most;
                let charged = record.charged;
                assert!(used <= charged, "refused at {used} tokens used, {charged} at most are");
            });
            return;
        }
        (reply, _) if !may_fail => panic!("neither opened nor refused as spent: {reply:?}"),
        (Ok(_), _) => return,
        (Err(_), _) => (0, TurnEnd::NotRun),
    };
    record(&|record| record.handed_out += generated);
    let is_whole = matches!(end, TurnEnd::Completed { .. });
    let close = CloseTurn { program: name, turn: turn.clone(), end, at: Timestamp::ZERO };
    for _ in 0..3 {
        if submit(&client, is_kept, LedgerCommand::Close(close.clone())).await.is_ok() {
            if is_whole && is_kept {
                record(&|record| record.whole.push(turn.clone()));
            }
            // With faults, its charge may be settled later or never.
            if !may_fail {
                record(&|record| record.charged -= most - generated);
            }
            return;
        }
    }
}

async fn submit(
    client: &LedgerClient,
    is_kept: bool,
    command: LedgerCommand,
) -> Result<LedgerReply, dahlia_relay::LedgerUnavailable> {
    match is_kept {
        true => client.submit_for_retained_turn(command, TIMEOUT).await,
        false => client.submit(command, TIMEOUT).await,
    }
}

/// Guards against a budget that is spent once in each region, whatever fails meanwhile.
#[tokio::test]
async fn no_program_gets_more_than_its_budget_in_drawn_plays() {
    let mut plays = JoinSet::new();
    for seed in 0..SEEDS {
        plays.spawn(async move {
            let mut play = Play::new(seed);
            for _ in 0..STEPS {
                play.disturb();
                play.step(true).await;
            }
        });
    }
    while let Some(ended) = plays.join_next().await {
        ended.expect("every play holds");
    }
}

/// The opposite promise: without faults, turns in all regions get the whole budget.
#[tokio::test]
async fn programs_get_their_whole_budget_when_nothing_fails() {
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        for _ in 0..STEPS {
            play.step(false).await;
        }
        let records = play.records.lock().expect("not poisoned").clone();
        for (program, record) in records.iter().enumerate() {
            let charged = record.charged;
            assert!(charged <= BUDGET, "seed {seed}: program {program} is charged {charged}");
            assert!(charged + LARGEST_TURN > BUDGET, "seed {seed}: program {program}: {record:?}");
        }
    }
}
