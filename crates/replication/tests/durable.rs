//! What a replica gives out to be durable, and what it goes on with.

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

/// Takes changes as a disk would and keeps what they make.
#[derive(Default)]
struct Kept(Option<DurableReplica>);

impl Kept {
    fn take(&mut self, replica: &mut Replica) -> Vec<Output> {
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

fn voter() -> Replica {
    Replica::bootstrap(id(1), GROUP, vec![id(1), id(2), id(3)], settings(), 5, at(0))
}

/// A leader of a group of its own, with its first entry committed.
fn alone(kept: &mut Kept) -> Replica {
    let mut replica = Replica::bootstrap(id(1), GROUP, vec![id(1)], settings(), 5, at(0));
    replica.campaign(at(1));
    kept.take(&mut replica);
    assert!(replica.is_leader_ready());
    replica
}

#[test]
fn a_recovered_voter_keeps_its_log_and_votes_once_in_a_term() {
    let (mut replica, mut kept) = (voter(), Kept::default());
    replica.step(message(2, 4, append(4, 0, 0, &[b"one", b"two", b"three"])), at(10));
    kept.take(&mut replica);
    replica.step(message(3, 5, append(5, 1, 4, &[b"other"])), at(20));
    kept.take(&mut replica);
    let vote = VoteRequest { last_index: LogIndex(9), last_term: Term(5), transfer: true };
    replica.step(message(2, 6, GroupBody::Vote(vote)), at(30));
    let outputs = kept.take(&mut replica);
    let is_granted = |output: &Output| {
        let Output::Send(sent) = output else { return false };
        sent.body == GroupBody::VoteResponse { granted: true }
    };
    assert!(outputs.iter().any(is_granted));

    let mut again = kept.recover();
    let entries = |replica: &Replica| replica.log_entries().cloned().collect::<Vec<_>>();
    assert_eq!(entries(&again), entries(&replica));
    assert_eq!((again.term(), again.role(), again.id()), (Term(6), Role::Follower, id(1)));
    assert_eq!(again.members(), replica.members());
    assert_eq!(again.take_durable_change(), None, "nothing is new");
    again.step(message(3, 6, GroupBody::Vote(vote)), at(5_001));
    assert!(!again.take_outputs().iter().any(is_granted), "it has voted in this term");
}

#[test]
fn without_a_disk_nothing_is_given_out() {
    let members = vec![id(1)];
    let mut replica = Replica::bootstrap(id(1), GROUP, members, GroupSettings::default(), 5, at(0));
    replica.campaign(at(1));
    replica.propose(b"one".to_vec(), at(2)).expect("it leads");
    assert_eq!(replica.take_durable_change(), None);
    replica.take_outputs();
    assert_eq!(replica.durable_image(Vec::new()), None);
}

#[test]
fn an_image_takes_the_place_of_all_changes_before_it() {
    let mut kept = Kept::default();
    let mut replica = alone(&mut kept);
    for payload in [b"one", b"two"] {
        replica.propose(payload.to_vec(), at(2)).expect("it leads");
        kept.take(&mut replica);
    }
    let Some(DurableChange::Image(image)) = replica.durable_image(b"state".to_vec()) else {
        panic!("an image");
    };
    assert_eq!((image.base.index, &image.base.data[..]), (replica.applied(), &b"state"[..]));
    assert!(image.entries.is_empty());
    kept.0 = Some(*image);
    replica.propose(b"three".to_vec(), at(3)).expect("it leads");
    kept.take(&mut replica);
    let mut again = kept.recover();
    assert_eq!(again.last_index(), replica.last_index());
    assert_eq!(again.committed(), LogIndex(3), "the entry after the image is not known committed");
    again.campaign(at(6_000));
    let outputs = kept.take(&mut again);
    let is_third = |output: &Output| matches!(output, Output::Committed(entry) if &entry.payload[..] == b"three");
    assert!(outputs.iter().any(is_third));
}

#[test]
fn first_voters_learnt_late_and_an_emptied_log_are_recorded() {
    let mut kept = Kept::default();
    let mut replica = Replica::join(id(1), GROUP, settings(), 5, at(0));
    replica.step(message(2, 4, append(4, 0, 0, &[b"one"])), at(10));
    kept.take(&mut replica);
    replica.set_initial_voters(vec![id(1), id(2)], at(20));
    kept.take(&mut replica);
    let again = kept.recover();
    assert_eq!(*again.members(), Members::of_voters([id(1), id(2)]));
    assert_eq!(again.role(), Role::Follower);

    replica.retire(at(30));
    kept.take(&mut replica);
    let durable = kept.0.clone().expect("recorded");
    assert_eq!(durable.hard_state.term, Term(4));
    assert_eq!(durable.hard_state.last_before_retirement, (Term(4), LogIndex(1)));
    assert_eq!(kept.recover().last_index(), LogIndex(0));
}

/// A leader that is a quorum alone commits without an answer. What it has not synced must not
/// reach the learner as committed, also not when it has just been given company.
#[test]
fn a_leader_that_is_a_quorum_alone_sends_nothing_before_its_sync() {
    let mut kept = Kept::default();
    let mut replica = alone(&mut kept);
    let sends_early = |replica: &Replica, outputs: &[Output]| {
        let sent = outputs.iter().filter_map(|output| match output {
            Output::Send(message) => Some(message),
            _ => None,
        });
        let sent: Vec<&GroupMessage> = sent.collect();
        assert!(!sent.is_empty());
        sent.into_iter().any(|message| replica.may_send_unsynced(message))
    };
    replica.change_members(MemberChange::AddLearner(id(2))).expect("it leads");
    let outputs = kept.take(&mut replica);
    assert!(!sends_early(&replica, &outputs));
    let learner = Replica::join(id(2), GROUP, settings(), 6, at(0));
    let mut nodes = [replica, learner];
    let mut now = 10;
    deliver(outputs, &mut nodes, now);
    while nodes[0].members().voters.len() == 1 {
        exchange(&mut nodes, now);
        now += 50;
        // Refused until the learner has answered.
        let _ = nodes[0].change_members(MemberChange::Promote(id(2)));
    }
    nodes[0].propose(b"one".to_vec(), at(now)).expect("it leads");
    let outputs = kept.take(&mut nodes[0]);
    assert!(!sends_early(&nodes[0], &outputs), "the promotion is not committed");
    deliver(outputs, &mut nodes, now);
    while !nodes[0].status().ready || nodes[0].status().change_in_progress {
        now += 50;
        exchange(&mut nodes, now);
    }
    nodes[0].propose(b"two".to_vec(), at(now)).expect("it leads");
    let outputs = kept.take(&mut nodes[0]);
    assert!(sends_early(&nodes[0], &outputs), "two voters need an answer");
}

fn exchange(nodes: &mut [Replica; 2], now: u64) {
    for place in 0..nodes.len() {
        nodes[place].tick(at(now));
        let _ = nodes[place].take_durable_change();
        let outputs = nodes[place].take_outputs();
        deliver(outputs, nodes, now);
    }
}

fn deliver(outputs: Vec<Output>, nodes: &mut [Replica; 2], now: u64) {
    for output in outputs {
        let Output::Send(message) = output else { continue };
        nodes[message.to.daemon.0 as usize - 1].step(message, at(now));
    }
}

/// Three replicas whose machines lost power together, on a network of two milliseconds.
fn recovered_trio(seed: u64) -> Vec<Replica> {
    let voters = vec![id(1), id(2), id(3)];
    let start = |own: u32| {
        let settings = settings();
        let mut replica =
            Replica::bootstrap(id(own), GROUP, voters.clone(), settings.clone(), seed, at(0));
        let mut kept = Kept::default();
        kept.take(&mut replica);
        let durable = kept.0.expect("an image");
        Replica::recover(id(own), durable, settings, seed, at(0))
    };
    (1..=3).map(start).collect()
}

/// Milliseconds until one of the replicas leads.
fn time_to_leader(mut replicas: Vec<Replica>) -> u64 {
    const LATENCY: u64 = 2;
    const MOST: u64 = 10_000;
    let mut on_way: Vec<(u64, GroupMessage)> = Vec::new();
    for now in 0..MOST {
        let (due, later) = on_way.into_iter().partition(|(due, _)| *due <= now);
        on_way = later;
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
                    on_way.push((now + LATENCY, message));
                }
            }
        }
        if replicas.iter().any(Replica::is_leader_ready) {
            return now;
        }
    }
    MOST
}

#[test]
fn a_group_that_lost_power_as_a_whole_soon_has_a_leader() {
    let mut times: Vec<u64> = (0..200).map(|seed| time_to_leader(recovered_trio(seed))).collect();
    times.sort_unstable();
    let heartbeat = settings().heartbeat_interval_ms;
    let (middle, last) = (times[100], times[199]);
    assert!(middle <= heartbeat, "half of the groups took more than {middle} ms");
    // A split vote costs another draw.
    assert!(last <= 3 * heartbeat, "the slowest group took {last} ms");
}

/// What a voter of three has on its disk before the first entry.
fn kept_by_a_voter() -> DurableReplica {
    let mut kept = Kept::default();
    kept.take(&mut voter());
    kept.0.expect("the first layout is recorded")
}

/// Messages of each replica to the others, taken at one moment.
fn sent(replicas: &mut [Replica]) -> Vec<GroupMessage> {
    let outputs = replicas.iter_mut().flat_map(Replica::take_outputs);
    let messages = outputs.filter_map(|output| match output {
        Output::Send(message) => Some(message),
        _ => None,
    });
    messages.collect()
}

#[test]
fn two_that_ask_for_votes_at_the_same_moment_elect_one_in_the_first_round() {
    for seed in 0..20 {
        let make = |own| Replica::recover(id(own), kept_by_a_voter(), settings(), seed, at(0));
        // The third is dead: each of the two needs the other's vote.
        let mut pair: Vec<Replica> = [1, 2].map(make).into();
        let deadline = pair.iter().map(Replica::next_deadline).max().expect("two");
        let mut now = deadline;
        pair.iter_mut().for_each(|replica| replica.tick(now));
        assert!(pair.iter().all(|replica| replica.role() == Role::PreCandidate));
        for _ in 0..4 {
            now = now + Duration::from_millis(1);
            for message in sent(&mut pair) {
                if let Some(to) = pair.iter_mut().find(|replica| replica.id() == message.to) {
                    to.step(message, now);
                }
            }
        }
        let leaders = pair.iter().filter(|replica| replica.role() == Role::Leader).count();
        assert_eq!(leaders, 1, "seed {seed}");
    }
}

/// Milliseconds from the moment a recovered replica hears where a voter is to its next pre-vote.
/// What it asked before reached nobody.
fn time_to_next_request(is_told: bool, seed: u64) -> u64 {
    let mut replica = Replica::recover(id(1), kept_by_a_voter(), settings(), seed, at(0));
    let first = replica.next_deadline();
    replica.tick(first);
    assert!(!sent(std::slice::from_mut(&mut replica)).is_empty(), "the first requests");
    let found = first + Duration::from_millis(5);
    if is_told {
        replica.peer_address_found(id(2), found);
    }
    replica.next_deadline().since(found).as_millis()
}

#[test]
fn a_recovered_voter_asks_again_soon_when_another_one_can_be_reached() {
    let heartbeat = settings().heartbeat_interval_ms;
    for seed in 0..50 {
        let (told, untold) = (time_to_next_request(true, seed), time_to_next_request(false, seed));
        assert!(told <= heartbeat / 2, "seed {seed}: {told}");
        assert!(untold >= heartbeat, "seed {seed}: {untold}");
    }
}

#[test]
fn a_voter_that_knows_a_leader_does_not_ask_because_another_one_is_found() {
    let mut replica = Replica::recover(id(1), kept_by_a_voter(), settings(), 1, at(0));
    replica.step(message(2, 4, append(4, 0, 0, &[])), at(1));
    let before = replica.next_deadline();
    replica.peer_address_found(id(3), at(2));
    assert_eq!(replica.next_deadline(), before);
}
