//! The durable changes of a replica, and recovery from them.

use dahlia_replication::group::{
    Append, DurableChange, DurableReplica, EntryData, GroupBody, GroupMessage, GroupSettings,
    LogEntry, MemberChange, Members, Output, Replica, Role, VoteRequest,
};
use dahlia_types::{
    DaemonId, Duration, GroupId, Incarnation, LogIndex, ReplicaId, Term, Timestamp,
};

const GROUP: GroupId = GroupId(3);

fn id(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) }
}

fn settings() -> GroupSettings {
    GroupSettings { is_durable: true, ..GroupSettings::default() }
}

fn at(millis: u64) -> Timestamp {
    Timestamp(1_000_000) + Duration::from_millis(millis)
}

fn message(from: u32, term: u64, body: GroupBody) -> GroupMessage {
    GroupMessage { group: GROUP, from: id(from), to: id(1), term: Term(term), body }
}

fn append(term: u64, previous: u64, previous_term: u64, payloads: &[&'static [u8]]) -> GroupBody {
    let entry = |(payload, index): (&&'static [u8], u64)| LogEntry {
        index: LogIndex(index),
        term: Term(term),
        data: EntryData::Command((*payload).into()),
    };
    GroupBody::Append(Append {
        session: LogIndex(0),
        sent: at(0),
        previous_index: LogIndex(previous),
        previous_term: Term(previous_term),
        committed: LogIndex(0),
        entries: payloads.iter().zip(previous + 1..).map(entry).collect(),
    })
}

/// A simulated disk, which applies durable changes to the recorded state.
#[derive(Default)]
struct Disk(Option<DurableReplica>);

impl Disk {
    fn sync(&mut self, replica: &mut Replica) -> Vec<Output> {
        match replica.take_durable_change() {
            None => {}
            Some(DurableChange::Image(image)) => self.0 = Some(*image),
            Some(DurableChange::Update { update, .. }) => {
                self.0.as_mut().expect("an image first").apply(update).expect("no gap");
            }
        }
        replica.take_outputs()
    }

    fn recover(&self) -> Replica {
        let durable = self.0.clone().expect("something was recorded");
        Replica::recover(id(1), durable, settings(), 5, at(5_000))
    }
}

fn bootstrap_voter() -> Replica {
    Replica::bootstrap(id(1), GROUP, vec![id(1), id(2), id(3)], settings(), 5, at(0))
}

/// Creates a leader that is the only voter, with its first entry committed.
fn single_voter_leader(disk: &mut Disk) -> Replica {
    let mut replica = Replica::bootstrap(id(1), GROUP, vec![id(1)], settings(), 5, at(0));
    replica.campaign(at(1));
    disk.sync(&mut replica);
    assert!(replica.is_leader_ready());
    replica
}

#[test]
fn a_recovered_voter_keeps_its_log_and_votes_once_in_a_term() {
    let (mut replica, mut disk) = (bootstrap_voter(), Disk::default());
    replica.step(message(2, 4, append(4, 0, 0, &[b"one", b"two", b"three"])), at(10));
    disk.sync(&mut replica);
    replica.step(message(3, 5, append(5, 1, 4, &[b"other"])), at(20));
    disk.sync(&mut replica);
    let vote = VoteRequest { last_index: LogIndex(9), last_term: Term(5), transfer: true };
    replica.step(message(2, 6, GroupBody::Vote(vote)), at(30));
    let outputs = disk.sync(&mut replica);
    let is_granted = |output: &Output| {
        let Output::Send(sent) = output else { return false };
        sent.body == GroupBody::VoteResponse { granted: true }
    };
    assert!(outputs.iter().any(is_granted));

    let mut recovered = disk.recover();
    let entries = |replica: &Replica| replica.log_entries().cloned().collect::<Vec<_>>();
    assert_eq!(entries(&recovered), entries(&replica));
    assert_eq!(
        (recovered.term(), recovered.role(), recovered.id()),
        (Term(6), Role::Follower, id(1))
    );
    assert_eq!(recovered.members(), replica.members());
    assert_eq!(recovered.take_durable_change(), None, "no new changes");
    recovered.step(message(3, 6, GroupBody::Vote(vote)), at(5_001));
    assert!(!recovered.take_outputs().iter().any(is_granted), "it has voted in this term");
}

#[test]
fn without_a_disk_no_change_is_recorded() {
    let members = vec![id(1)];
    let mut replica = Replica::bootstrap(id(1), GROUP, members, GroupSettings::default(), 5, at(0));
    replica.campaign(at(1));
    replica.propose(b"one".to_vec(), at(2)).expect("it leads");
    assert_eq!(replica.take_durable_change(), None);
    replica.take_outputs();
    assert_eq!(replica.durable_image(Vec::new()), None);
}

#[test]
fn an_image_replaces_all_changes_before_it() {
    let mut disk = Disk::default();
    let mut replica = single_voter_leader(&mut disk);
    for payload in [b"one", b"two"] {
        replica.propose(payload.to_vec(), at(2)).expect("it leads");
        disk.sync(&mut replica);
    }
    let Some(DurableChange::Image(image)) = replica.durable_image(b"state".to_vec()) else {
        panic!("an image");
    };
    assert_eq!((image.base.index, &image.base.data[..]), (replica.applied(), &b"state"[..]));
    assert!(image.entries.is_empty());
    disk.0 = Some(*image);
    replica.propose(b"three".to_vec(), at(3)).expect("it leads");
    disk.sync(&mut replica);
    let mut recovered = disk.recover();
    assert_eq!(recovered.last_index(), replica.last_index());
    assert_eq!(
        recovered.committed(),
        LogIndex(3),
        "the entry after the image is not known committed"
    );
    recovered.campaign(at(6_000));
    let outputs = disk.sync(&mut recovered);
    let is_third = |output: &Output| matches!(output, Output::Committed(entry) if &entry.payload[..] == b"three");
    assert!(outputs.iter().any(is_third));
}

#[test]
fn late_initial_voters_and_an_emptied_log_are_recorded() {
    let mut disk = Disk::default();
    let mut replica = Replica::join(id(1), GROUP, settings(), 5, at(0));
    replica.step(message(2, 4, append(4, 0, 0, &[b"one"])), at(10));
    disk.sync(&mut replica);
    replica.set_initial_voters(vec![id(1), id(2)], at(20));
    disk.sync(&mut replica);
    let recovered = disk.recover();
    assert_eq!(*recovered.members(), Members::of_voters([id(1), id(2)]));
    assert_eq!(recovered.role(), Role::Follower);

    replica.retire(at(30));
    disk.sync(&mut replica);
    let durable = disk.0.clone().expect("recorded");
    assert_eq!(durable.hard_state.term, Term(4));
    assert_eq!(durable.hard_state.last_before_retirement, (Term(4), LogIndex(1)));
    assert_eq!(disk.recover().last_index(), LogIndex(0));
}

/// A leader that is a quorum alone commits without an answer. An entry that it has not synced must not
/// reach the learner as committed, not even while the promotion of a second voter is uncommitted.
#[test]
fn a_leader_that_is_a_quorum_alone_sends_nothing_before_its_sync() {
    let mut disk = Disk::default();
    let mut replica = single_voter_leader(&mut disk);
    let sends_unsynced = |replica: &Replica, outputs: &[Output]| {
        let sent = outputs.iter().filter_map(|output| match output {
            Output::Send(message) => Some(message),
            _ => None,
        });
        let sent: Vec<&GroupMessage> = sent.collect();
        assert!(!sent.is_empty());
        sent.into_iter().any(|message| replica.may_send_unsynced(message))
    };
    replica.change_members(MemberChange::AddLearner(id(2))).expect("it leads");
    let outputs = disk.sync(&mut replica);
    assert!(!sends_unsynced(&replica, &outputs));
    let learner = Replica::join(id(2), GROUP, settings(), 6, at(0));
    let mut nodes = [replica, learner];
    let mut now = 10;
    deliver(outputs, &mut nodes, now);
    while nodes[0].members().voters.len() == 1 {
        tick_and_deliver(&mut nodes, now);
        now += 50;
        // Rejected until the learner has answered.
        let _ = nodes[0].change_members(MemberChange::Promote(id(2)));
    }
    nodes[0].propose(b"one".to_vec(), at(now)).expect("it leads");
    let outputs = disk.sync(&mut nodes[0]);
    assert!(!sends_unsynced(&nodes[0], &outputs), "the promotion is not committed");
    deliver(outputs, &mut nodes, now);
    while !nodes[0].status().ready || nodes[0].status().change_in_progress {
        now += 50;
        tick_and_deliver(&mut nodes, now);
    }
    nodes[0].propose(b"two".to_vec(), at(now)).expect("it leads");
    let outputs = disk.sync(&mut nodes[0]);
    assert!(sends_unsynced(&nodes[0], &outputs), "with two voters, a commit needs an answer");
}

fn tick_and_deliver(nodes: &mut [Replica; 2], now: u64) {
    for index in 0..nodes.len() {
        nodes[index].tick(at(now));
        let _ = nodes[index].take_durable_change();
        let outputs = nodes[index].take_outputs();
        deliver(outputs, nodes, now);
    }
}

fn deliver(outputs: Vec<Output>, nodes: &mut [Replica; 2], now: u64) {
    for output in outputs {
        let Output::Send(message) = output else { continue };
        nodes[message.to.daemon.0 as usize - 1].step(message, at(now));
    }
}

/// Recovers three replicas whose machines lost power together.
fn recover_three_replicas(seed: u64) -> Vec<Replica> {
    let voters = vec![id(1), id(2), id(3)];
    let start = |own: u32| {
        let settings = settings();
        let mut replica =
            Replica::bootstrap(id(own), GROUP, voters.clone(), settings.clone(), seed, at(0));
        let mut disk = Disk::default();
        disk.sync(&mut replica);
        let durable = disk.0.expect("an image");
        Replica::recover(id(own), durable, settings, seed, at(0))
    };
    (1..=3).map(start).collect()
}

/// Milliseconds until one of the replicas is a ready leader.
fn time_to_leader(mut replicas: Vec<Replica>) -> u64 {
    const LATENCY_MS: u64 = 2;
    const TIMEOUT_MS: u64 = 10_000;
    let mut in_flight: Vec<(u64, GroupMessage)> = Vec::new();
    for now in 0..TIMEOUT_MS {
        let (due, later) = in_flight.into_iter().partition(|(due, _)| *due <= now);
        in_flight = later;
        let mut due: Vec<(u64, GroupMessage)> = due;
        for replica in &mut replicas {
            replica.tick(at(now));
            let own = replica.id();
            for (_, message) in due.extract_if(.., |(_, message)| message.to == own) {
                replica.step(message, at(now));
            }
            replica.take_durable_change();
            for output in replica.take_outputs() {
                if let Output::Send(message) = output {
                    in_flight.push((now + LATENCY_MS, message));
                }
            }
        }
        if replicas.iter().any(Replica::is_leader_ready) {
            return now;
        }
    }
    TIMEOUT_MS
}

#[test]
fn a_group_soon_has_a_leader_after_all_machines_lost_power() {
    let mut times: Vec<u64> =
        (0..200).map(|seed| time_to_leader(recover_three_replicas(seed))).collect();
    times.sort_unstable();
    let heartbeat = settings().heartbeat_interval_ms;
    let (middle, last) = (times[100], times[199]);
    assert!(middle <= heartbeat, "the median group took {middle} ms");
    // After a split vote, the replicas draw new delays.
    assert!(last <= 3 * heartbeat, "the slowest group took {last} ms");
}

/// The durable state of one of three voters before the first entry.
fn durable_state_of_voter() -> DurableReplica {
    let mut disk = Disk::default();
    disk.sync(&mut bootstrap_voter());
    disk.0.expect("the initial layout is recorded")
}

/// Takes the messages of all replicas.
fn take_messages(replicas: &mut [Replica]) -> Vec<GroupMessage> {
    let outputs = replicas.iter_mut().flat_map(Replica::take_outputs);
    let messages = outputs.filter_map(|output| match output {
        Output::Send(message) => Some(message),
        _ => None,
    });
    messages.collect()
}

#[test]
fn two_simultaneous_pre_candidates_elect_a_leader_in_the_first_round() {
    for seed in 0..20 {
        let make =
            |own| Replica::recover(id(own), durable_state_of_voter(), settings(), seed, at(0));
        // The third voter is dead, so each of the two needs the other's vote.
        let mut replicas: Vec<Replica> = [1, 2].map(make).into();
        let deadline = replicas.iter().map(Replica::next_deadline).max().expect("two");
        let mut now = deadline;
        replicas.iter_mut().for_each(|replica| replica.tick(now));
        assert!(replicas.iter().all(|replica| replica.role() == Role::PreCandidate));
        for _ in 0..4 {
            now = now + Duration::from_millis(1);
            for message in take_messages(&mut replicas) {
                if let Some(to) = replicas.iter_mut().find(|replica| replica.id() == message.to) {
                    to.step(message, now);
                }
            }
        }
        let leaders = replicas.iter().filter(|replica| replica.role() == Role::Leader).count();
        assert_eq!(leaders, 1, "seed {seed}");
    }
}

/// Milliseconds until the next pre-vote of a recovered replica, from the moment when it may be notified
/// that the address of another voter is known. Its first pre-votes were lost.
fn time_to_next_request(is_notified: bool, seed: u64) -> u64 {
    let mut replica = Replica::recover(id(1), durable_state_of_voter(), settings(), seed, at(0));
    let first = replica.next_deadline();
    replica.tick(first);
    assert!(!take_messages(std::slice::from_mut(&mut replica)).is_empty(), "the first requests");
    let found = first + Duration::from_millis(5);
    if is_notified {
        replica.peer_address_found(id(2), found);
    }
    replica.next_deadline().since(found).as_millis()
}

#[test]
fn a_recovered_voter_retries_soon_when_another_voter_becomes_reachable() {
    let heartbeat = settings().heartbeat_interval_ms;
    for seed in 0..50 {
        let (notified, not_notified) =
            (time_to_next_request(true, seed), time_to_next_request(false, seed));
        assert!(notified <= heartbeat / 2, "seed {seed}: {notified}");
        assert!(not_notified >= heartbeat, "seed {seed}: {not_notified}");
    }
}

#[test]
fn a_voter_that_knows_a_leader_does_not_retry_when_another_voter_is_found() {
    let mut replica = Replica::recover(id(1), durable_state_of_voter(), settings(), 1, at(0));
    replica.step(message(2, 4, append(4, 0, 0, &[])), at(1));
    let before = replica.next_deadline();
    replica.peer_address_found(id(3), at(2));
    assert_eq!(replica.next_deadline(), before);
}
