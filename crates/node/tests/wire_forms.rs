//! Tests the encoding of messages between daemons and of log entries. During a rolling upgrade, daemons
//! of two builds serve together, so a build must read what the previous build writes, and write what
//! the previous build reads.
//!
//! `wire_forms/6.txt` holds a sample of each kind as the build with protocol version 6 writes it, with a
//! name and hexadecimal bytes per line. The first build from which upgrades are supported wrote it, and
//! it must never be regenerated: a changed encoding needs a new version and a new file.
//! `wire_forms/6-datagrams.txt` holds kinds added later under that version. Builds without such a kind
//! drop its datagram, but would close a connection that carried it.

use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::net::SocketAddr;

use bytes::Bytes;
use dahlia_ledger::{
    CloseTurn, KeptChain, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, ProgramName, TurnEnd,
    TurnId, TurnInput, TurnRefusal,
};
use dahlia_limits::{
    KeeperTerm, LimitCommand, LimitReply, ProgramHandover, ProgramKey, RateLimit, TenantUsage,
    UsageReport, Verdict, VersionedLimit,
};
use dahlia_node::crash_reports::{CrashMessage, CrashRecord, RequestKey};
use dahlia_node::feed::{FeedMessage, SourceReport};
use dahlia_node::load_sharing::{ItemLoad, LoadMessage, LoadPart, ReporterState};
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_node::stream_origins::{
    Origin, OriginAnswer, OriginMessage, OriginService, OriginView, StreamKey, StreamRecord,
};
use dahlia_node::wire::{ConnectionPurpose, Hello, PROTOCOL_VERSION, PeerMessage, Transport};
use dahlia_program::Command;
use dahlia_replication::group::{
    Append, AppendResponse, AppendResult, EntryData, GroupBody, GroupHeartbeat, GroupMessage,
    HeartbeatBatch, LogEntry, Members, PeerBatch, SnapshotChunk, SnapshotResponse, VoteRequest,
};
use dahlia_replication::membership::{
    Envelope, Fact, FactKey, Health, MemberInfo, MemberMessage, MemberRecord, MemberState,
    SyncChunk, SyncDigest,
};
use dahlia_types::{
    DaemonId, Duration, GroupId, Incarnation, LogIndex, Region, ReplicaId, TenantId, Term,
    Timestamp, Tokens, Zone,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const SAMPLE_FILES: [&str; 2] =
    [include_str!("wire_forms/6.txt"), include_str!("wire_forms/6-datagrams.txt")];
const ENCODING: bincode::config::Configuration = bincode::config::standard();

fn stored_samples() -> BTreeMap<&'static str, &'static str> {
    SAMPLE_FILES
        .iter()
        .flat_map(|stored| stored.lines())
        .filter_map(|line| line.split_once(' '))
        .collect()
}

/// Compares samples with the stored bytes, and collects the current encodings.
#[derive(Default)]
struct SampleChecker {
    encoded: String,
    mismatches: Vec<String>,
}

impl SampleChecker {
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        sample: T,
    ) {
        let bytes =
            bincode::serde::encode_to_vec(&sample, ENCODING).expect("samples can be encoded");
        let mut hex = String::new();
        bytes
            .iter()
            .for_each(|byte| write!(hex, "{byte:02x}").expect("writing to a string succeeds"));
        writeln!(self.encoded, "{name} {hex}").expect("writing to a string succeeds");
        let Some(stored) = stored_samples().get(name).copied() else {
            return self.mismatches.push(format!("{name}: no sample is stored"));
        };
        if stored != hex {
            self.mismatches.push(format!("{name}: encoded as {hex}, stored {stored}"));
        }
        let stored: Vec<u8> = (0..stored.len() / 2)
            .map(|index| u8::from_str_radix(&stored[2 * index..2 * index + 2], 16).expect("hex"))
            .collect();
        let read = bincode::serde::decode_from_slice::<T, _>(&stored, ENCODING).ok();
        if read.is_none_or(|(read, _)| read != sample) {
            self.mismatches.push(format!("{name}: the stored sample decodes to another value"));
        }
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 38], 8144))
}

fn replica(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1_800_000_000_123) }
}

fn record(health: Health) -> MemberRecord {
    let info = MemberInfo {
        daemon: DaemonId(3_310_598_380),
        incarnation: Incarnation(1_800_000_000_123),
        address: address(),
        zone: Zone::new("hall-a"),
        region: Region::new("gulf-south"),
        state: MemberState::Live,
        holds_groups: true,
    };
    MemberRecord { info, version: 65_537, health }
}

fn envelope(body: MemberMessage, facts: Vec<Fact>) -> PeerMessage {
    let members = vec![record(Health::Alive), record(Health::Suspect), record(Health::Dead)];
    let (from, address) = (replica(7), address());
    PeerMessage::Membership(Box::new(Envelope { from, address, body, members, facts }))
}

fn fact(key: FactKey) -> Fact {
    Fact { key, version: 1 << 40, bytes: Bytes::from_static(b"any bytes") }
}

fn program() -> ProgramName {
    ProgramName::new(Some(&TenantId::new("bayou")), "3fa81c")
}

fn turn(name: &str) -> TurnId {
    TurnId::new(Some(&TenantId::new("bayou")), name)
}

fn open() -> LedgerCommand {
    LedgerCommand::Open(OpenTurn {
        program: program(),
        turn: turn("e5b2907c14da6f38"),
        budget: Some(Tokens(2_304)),
        max_generated: Tokens(288),
        input: Some(TurnInput {
            previous: Some(turn("40c8f1a7b3e9265d")),
            new_input: b"Fault 0x31 on input two.".to_vec(),
            retention: Duration::from_secs(60),
        }),
        at: Timestamp(1_000_001),
    })
}

fn close(end: TurnEnd) -> LedgerCommand {
    let (program, turn, at) = (program(), turn("e5b2907c14da6f38"), Timestamp(2_000_002));
    LedgerCommand::Close(CloseTurn { program, turn, end, at })
}

fn chain() -> KeptChain {
    let served_by = "i-7f3a91c2@1800000000000".to_owned();
    KeptChain { text: b"kept".to_vec(), served_by, retention: Duration::from_secs(60) }
}

fn request(command: LedgerCommand) -> PeerMessage {
    let request = Request::Ledger { group: GroupId(5), command };
    PeerMessage::Request { id: RequestId(77), request, reply_to: address() }
}

fn response(reply: LedgerReply) -> PeerMessage {
    PeerMessage::Response { id: RequestId(77), response: Response::Ledger(reply) }
}

fn groups(body: GroupBody) -> PeerMessage {
    let (from, to) = (replica(7), replica(8));
    let message = GroupMessage { group: GroupId(5), from, to, term: Term(9), body };
    let heartbeat = GroupHeartbeat {
        group: GroupId(6),
        term: Term(4),
        session: LogIndex(2),
        committed: Some(LogIndex(300)),
    };
    let batch = HeartbeatBatch { from, to, sent: Timestamp(5_000_000), groups: vec![heartbeat] };
    PeerMessage::Groups(PeerBatch { heartbeats: vec![batch], messages: vec![message] })
}

fn members() -> Members {
    Members { voters: [replica(7), replica(8)].into(), learners: [replica(9)].into() }
}

fn check_membership(checker: &mut SampleChecker) {
    let ping =
        MemberMessage::Ping { sequence: 300, to: replica(8), on_behalf_of: Some(DaemonId(9)) };
    let ack = MemberMessage::Ack { sequence: 300, answering: replica(8), on_behalf_of: None };
    let request = MemberMessage::PingRequest { sequence: 300, target: replica(8) };
    let digest = SyncDigest { members: vec![1, 70_000], facts: vec![0, u32::MAX] };
    let chunk = SyncChunk { wanted_members: 5, wanted_facts: 1 << 63 };
    let facts = vec![
        fact(FactKey::Configuration),
        fact(FactKey::Group(GroupId(5))),
        fact(FactKey::DaemonLoad(DaemonId(7))),
        fact(FactKey::BackendFailure { backend: "i-1@5".to_owned(), reporter: DaemonId(7) }),
        fact(FactKey::Other(3)),
        fact(FactKey::Document(1)),
    ];
    checker.check("membership-ping", envelope(ping, Vec::new()));
    checker.check("membership-ack", envelope(ack, Vec::new()));
    checker.check("membership-ping-request", envelope(request, Vec::new()));
    checker.check("membership-gossip", envelope(MemberMessage::Gossip, facts));
    checker.check("membership-sync-request", envelope(MemberMessage::SyncRequest(digest), vec![]));
    checker.check("membership-sync-chunk", envelope(MemberMessage::SyncChunk(chunk), vec![]));
}

fn check_groups(checker: &mut SampleChecker) {
    let entry = |index, data| LogEntry { index: LogIndex(index), term: Term(9), data };
    let append = Append {
        session: LogIndex(2),
        sent: Timestamp(5_000_000),
        previous_index: LogIndex(299),
        previous_term: Term(8),
        committed: LogIndex(298),
        entries: vec![
            entry(300, EntryData::NoOp),
            entry(301, EntryData::Command(Bytes::from_static(b"command"))),
            entry(302, EntryData::Members(members())),
        ],
    };
    let vote = VoteRequest { last_index: LogIndex(300), last_term: Term(8), transfer: true };
    let answer = |result| AppendResponse { session: LogIndex(2), sent: Timestamp(5), result };
    let rejected = AppendResult::Rejected { previous_index: LogIndex(299), hint: LogIndex(250) };
    let chunk = SnapshotChunk {
        session: LogIndex(2),
        sent: Timestamp(5),
        index: LogIndex(300),
        last_term: Term(8),
        members: members(),
        total: 4_096,
        offset: 1_024,
        data: Bytes::from_static(b"part"),
    };
    let received = SnapshotResponse {
        session: LogIndex(2),
        sent: Timestamp(5),
        index: LogIndex(300),
        received: 1_028,
    };
    let matched = AppendResult::Matched { index: LogIndex(302) };
    let bodies = [
        ("groups-pre-vote", GroupBody::PreVote(vote)),
        ("groups-pre-vote-response", GroupBody::PreVoteResponse { granted: true }),
        ("groups-vote", GroupBody::Vote(vote)),
        ("groups-vote-response", GroupBody::VoteResponse { granted: false }),
        ("groups-append", GroupBody::Append(append)),
        ("groups-append-matched", GroupBody::AppendResponse(answer(matched))),
        ("groups-append-rejected", GroupBody::AppendResponse(answer(rejected))),
        ("groups-snapshot-chunk", GroupBody::SnapshotChunk(chunk)),
        ("groups-snapshot-response", GroupBody::SnapshotResponse(received)),
        ("groups-timeout-now", GroupBody::TimeoutNow),
        ("groups-removed", GroupBody::Removed { index: LogIndex(300) }),
    ];
    for (name, body) in bodies {
        checker.check(name, groups(body));
    }
}

fn check_ledger(checker: &mut SampleChecker) {
    let whole = TurnEnd::Completed {
        generated: Tokens(63),
        output: b"Done.\n".to_vec(),
        served_by: "i-7f3a91c2@1800000000000".to_owned(),
    };
    let read = LedgerCommand::ReadCharged {
        turn: turn("40c8f1a7b3e9265d"),
        program: program(),
        at: Timestamp(3),
    };
    checker.check("ledger-open", request(open()));
    checker.check("ledger-close-whole", request(close(whole.clone())));
    checker.check("ledger-close-not-run", request(close(TurnEnd::NotRun)));
    checker.check("ledger-close-broken", request(close(TurnEnd::Incomplete)));
    checker.check("ledger-read-for", request(read));
    let request = Request::Ledger { group: GroupId(5), command: open() };
    let passed_on = PeerMessage::Forward { id: RequestId(78), request, reply_to: address() };
    checker.check("ledger-passed-on", passed_on);
    let opened = OpenedTurn { history: b"kept".to_vec(), last_served_by: Some("i-1@5".into()) };
    let previous = turn("40c8f1a7b3e9265d");
    let spent = TurnRefusal::BudgetSpent { budget: Tokens(10), used: Tokens(9) };
    let replies = [
        ("reply-opened", LedgerReply::Opened(opened)),
        ("reply-budget-spent", LedgerReply::Refused(spent)),
        (
            "reply-no-such-turn",
            LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous: previous.clone() }),
        ),
        ("reply-not-ended", LedgerReply::Refused(TurnRefusal::NotEnded { previous })),
        ("reply-already-ended", LedgerReply::Refused(TurnRefusal::AlreadyEnded)),
        ("reply-closed", LedgerReply::Closed),
        ("reply-chain", LedgerReply::Chain(chain())),
    ];
    for (name, reply) in replies {
        checker.check(name, response(reply));
    }
    let not_owner = Response::NotOwner { hint: Some(DaemonId(7)) };
    let not_owner = PeerMessage::Response { id: RequestId(77), response: not_owner };
    checker.check("reply-not-owner", not_owner);
    // Entries of a group's log are also stored on the disks of stores.
    checker.check("log-open", Command::Ledger(open()));
    checker.check("log-close", Command::Ledger(close(whole)));
    checker.check("log-expire", Command::Ledger(LedgerCommand::Expire { now: Timestamp(9) }));
}

fn check_limits(checker: &mut SampleChecker) {
    let limit = RateLimit::new(12.5, 20.0).expect("a limit can be kept").expect("there is one");
    let limit = VersionedLimit { generation: 4, limit };
    let tenant = TenantId::new("bayou");
    let usage = TenantUsage {
        tenant: tenant.clone(),
        limit,
        requests: vec![Some(ProgramKey(9)), None],
        delayed: Vec::new(),
        refunded: vec![None],
        past: Vec::new(),
    };
    let report = UsageReport {
        gateway: DaemonId(7),
        incarnation: Incarnation(1_800_000_000_123),
        sequence: 3,
        usage: vec![usage],
        handover: ProgramHandover::default(),
    };
    let ask = LimitCommand::Ask {
        tenant: tenant.clone(),
        limit,
        program: Some(ProgramKey(9)),
        max_wait: Duration::from_millis(150),
        progress: None,
    };
    for (name, command) in [("limits-report", LimitCommand::Report(report)), ("limits-ask", ask)] {
        let request = Request::Limits { group: GroupId(5), command };
        let message = PeerMessage::Request { id: RequestId(79), request, reply_to: address() };
        checker.check(name, message);
    }
    let keeper = KeeperTerm(9);
    let verdict = Verdict::Refuse { retry_after: Duration::from_millis(300) };
    let replies = [
        ("limits-counted", LimitReply::Counted { scarce: vec![tenant], keeper, means: None }),
        ("limits-answer", LimitReply::Answer { verdict, is_scarce: true, keeper }),
    ];
    for (name, reply) in replies {
        let response = Response::Limits(reply);
        checker.check(name, PeerMessage::Response { id: RequestId(79), response });
    }
}

fn check_feed(checker: &mut SampleChecker) {
    let report = SourceReport {
        after: 1 << 33,
        at: (1 << 33) + 7,
        age: Duration::from_millis(250),
        contents: b"changes".to_vec(),
    };
    let subscribe = FeedMessage::Subscribe { known: 1 << 33, reply_to: address(), sent_at: None };
    checker.check("feed-subscribe", PeerMessage::Feed(subscribe));
    checker.check("feed-report", PeerMessage::Feed(FeedMessage::Report { report, echo: None }));
}

fn loads() -> [(&'static str, PeerMessage); 3] {
    let load = |item| ItemLoad {
        item,
        in_flight: 3,
        tokens: 70_000,
        timed_tokens: 300,
        timed_micros: 90_000,
    };
    let part = || LoadPart {
        number: 300,
        first: 0,
        last: u64::MAX,
        age: Duration::from_millis(150),
        loads: vec![load(7), load(u64::MAX - 1)],
    };
    let state = ReporterState { reaches_groups: true, is_leaving: false };
    let told = LoadMessage::Report { part: part(), state, reply_to: address() };
    let view = LoadMessage::View { part: part(), reaching: vec![DaemonId(7), DaemonId(70_000)] };
    let sum = LoadMessage::Sum { part: part(), reply_to: address() };
    [("loads-told", told), ("loads-view", view), ("loads-sum", sum)]
        .map(|(name, message)| (name, PeerMessage::Loads(message)))
}

fn check_loads(checker: &mut SampleChecker) {
    loads().into_iter().for_each(|(name, message)| checker.check(name, message));
}

fn origins() -> [(&'static str, PeerMessage); 5] {
    let (id, stream) = (RequestId(1 << 40), StreamKey(0xfeed_beef_0000_0001));
    let origin = Origin(18_296_317_616_087_943_713);
    let record = StreamRecord { stream, origin, lifetime: Duration::from_millis(4_200) };
    let answer = |answer| OriginMessage::Answer { id, stream, answer };
    let views =
        vec![(OriginService(7), OriginView::Only(origin)), (OriginService(8), OriginView::Several)];
    let ask = OriginMessage::Ask { id, stream, service: OriginService(7), reply_to: address() };
    [
        ("origins-tell", OriginMessage::Tell { records: vec![record] }),
        ("origins-ask", ask),
        ("origins-began", answer(OriginAnswer::Began(origin))),
        ("origins-unknown", answer(OriginAnswer::Unknown(OriginView::Only(origin)))),
        ("origins-tell-views", OriginMessage::TellViews { views, knows_past: true }),
    ]
    .map(|(name, message)| (name, PeerMessage::Origins(message)))
}

fn check_origins(checker: &mut SampleChecker) {
    for (name, message) in origins() {
        checker.check(name, message);
    }
}

fn crashes() -> [(&'static str, PeerMessage); 4] {
    let (id, digest) = (RequestId(1 << 40), 0xfeed_beef_0000_0001);
    let request = RequestKey { digest: u128::MAX - 5, body_bytes: 580_000 };
    let lifetime = Duration::from_secs(600);
    let record = CrashRecord { request, server: u64::MAX - 7, is_void: false, lifetime };
    let void = CrashRecord { is_void: true, ..record };
    let records = vec![record, void];
    [
        ("crashes-consult", CrashMessage::Consult { id, records, reply_to: address() }),
        ("crashes-answer", CrashMessage::Answer { id, records: vec![record], in_flight: 2 }),
        ("crashes-inform", CrashMessage::Inform { records: vec![void] }),
        ("crashes-compare", CrashMessage::Compare { digest, reply_to: address() }),
    ]
    .map(|(name, message)| (name, PeerMessage::Crashes(message)))
}

fn check_crashes(checker: &mut SampleChecker) {
    for (name, message) in crashes() {
        checker.check(name, message);
    }
}

/// A kind that was added after the first build of this version would close a connection to that build.
#[test]
fn kinds_added_later_are_sent_only_in_datagrams() {
    for (name, message) in loads().into_iter().chain(origins()).chain(crashes()) {
        assert_eq!(message.transport(), Transport::DatagramOnly, "{name}");
    }
    // All other kinds are among the samples of that build, or older.
    let envelope = envelope(MemberMessage::Gossip, Vec::new());
    assert_eq!(envelope.transport(), Transport::DatagramIfFits);
    let subscribe = FeedMessage::Subscribe { known: 1, reply_to: address(), sent_at: None };
    assert_eq!(PeerMessage::Feed(subscribe).transport(), Transport::Connection);
}

#[test]
fn encodings_match_the_stored_samples() {
    let mut checker = SampleChecker::default();
    let hello = Hello {
        version: 6,
        daemon: DaemonId(3_310_598_380),
        incarnation: Incarnation(1_800_000_000_123),
        proof: [0xab; 32],
        purpose: ConnectionPurpose::Messages,
    };
    checker.check("hello", hello);
    check_membership(&mut checker);
    check_groups(&mut checker);
    check_ledger(&mut checker);
    check_limits(&mut checker);
    check_feed(&mut checker);
    check_loads(&mut checker);
    check_origins(&mut checker);
    check_crashes(&mut checker);
    let stored = stored_samples().len();
    let found = checker.encoded.lines().count();
    assert!(
        checker.mismatches.is_empty() && stored == found,
        "{stored} stored, {found} checked\n{}\nas found:\n{}",
        checker.mismatches.join("\n"),
        checker.encoded
    );
}

/// A peer with another version is refused, so a new version first needs a build that accepts both.
#[test]
fn the_protocol_version_matches_the_stored_samples() {
    assert_eq!(PROTOCOL_VERSION, 6);
}
