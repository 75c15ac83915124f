//! Schedules that chance rarely finds, laid out message by message, with and without the
//! mechanism that they are about.

use dahlia_replication::group::{
    AppendResult, ChangeError, Faults, GroupBody, GroupMessage, GroupSettings, MemberChange,
    Output, Replica, Role,
};
use dahlia_types::{DaemonId, GroupId, Incarnation, LogIndex, ReplicaId, Timestamp};

const GROUP: GroupId = GroupId(1);

fn id(place: usize) -> ReplicaId {
    ReplicaId { daemon: DaemonId(place as u32), incarnation: Incarnation(1) }
}

/// Replicas whose every message the test delivers or drops.
struct Desk {
    replicas: Vec<Replica>,
    now: Timestamp,
    waiting: Vec<GroupMessage>,
    /// A replica that gets no entries, only heartbeats.
    starved: Option<usize>,
    /// Everything that was ever sent.
    sent: Vec<GroupMessage>,
    delivered: Vec<Vec<Vec<u8>>>,
}

impl Desk {
    fn new(replicas: usize, voters: usize, faults: Faults) -> Self {
        let settings = GroupSettings {
            max_append_entries: 1,
            max_in_flight_appends: 1,
            faults,
            ..GroupSettings::default()
        };
        let now = Timestamp(1_000_000);
        let first: Vec<ReplicaId> = (0..voters).map(id).collect();
        let make = |place: usize| {
            if place < voters {
                Replica::bootstrap(id(place), GROUP, first.clone(), settings.clone(), 3, now)
            } else {
                Replica::join(id(place), GROUP, settings.clone(), 3, now)
            }
        };
        Self {
            replicas: (0..replicas).map(make).collect(),
            now,
            waiting: Vec::new(),
            starved: None,
            sent: Vec::new(),
            delivered: vec![Vec::new(); replicas],
        }
    }

    fn take(&mut self, place: usize) {
        for output in self.replicas[place].take_outputs() {
            match output {
                Output::Send(message) => {
                    self.sent.push(message.clone());
                    self.waiting.push(message);
                }
                Output::Committed(entry) => self.delivered[place].push(entry.payload.to_vec()),
                Output::Removed { .. } => self.replicas[place].retire(self.now),
                _ => {}
            }
        }
    }

    /// Delivers what goes between some replicas, in order, and drops the rest, until nothing
    /// waits or `is_done` holds.
    fn pump_until(&mut self, between: &[usize], is_done: impl Fn(&Self) -> bool) {
        while !self.waiting.is_empty() && !is_done(self) {
            let message = self.waiting.remove(0);
            let (from, to) = (message.from.daemon.0 as usize, message.to.daemon.0 as usize);
            let is_entry = matches!(message.body, GroupBody::Append(_));
            let is_withheld = is_entry && self.starved == Some(to);
            if between.contains(&from) && between.contains(&to) && !is_withheld {
                self.replicas[to].step(message, self.now);
                self.take(to);
            }
        }
        self.waiting.clear();
    }

    fn pump(&mut self, between: &[usize]) {
        self.pump_until(between, |_| false);
    }

    /// Lets a replica's time run out until some others elect it; no entry leaves it.
    fn elect(&mut self, place: usize, between: &[usize]) {
        assert!(self.try_to_elect(place, between), "replica {place} is not elected");
    }

    fn try_to_elect(&mut self, place: usize, between: &[usize]) -> bool {
        const TRIES: usize = 5;
        for _ in 0..TRIES {
            let timeout = GroupSettings::default().election_timeout();
            self.now = self.replicas[place].next_deadline().max(self.now + timeout);
            self.replicas[place].tick(self.now);
            self.take(place);
            self.pump_until(between, |desk| desk.replicas[place].role() == Role::Leader);
            if self.replicas[place].role() == Role::Leader {
                return true;
            }
        }
        false
    }

    /// Lets the leader send again what it still has to.
    fn resend(&mut self, place: usize) {
        self.now = self.now + GroupSettings::default().retransmit_timeout();
        self.replicas[place].tick(self.now);
        self.take(place);
    }

    /// The last answer in which a replica said up to where its log is equal.
    fn last_acknowledgement(&self, from: ReplicaId) -> GroupMessage {
        let is_acknowledgement = |message: &&GroupMessage| match &message.body {
            GroupBody::AppendResponse(response) => {
                message.from == from && matches!(response.result, AppendResult::Matched { .. })
            }
            _ => false,
        };
        self.sent.iter().rev().find(is_acknowledgement).cloned().expect("it answered")
    }

    fn change(&mut self, place: usize, change: MemberChange) -> Result<LogIndex, ChangeError> {
        let changed = self.replicas[place].change_members(change);
        self.take(place);
        changed
    }
}

/// Figure 8 of Ongaro and Ousterhout 2014. Returns the commands that the first leader delivered
/// and whether its entry survived the last leader.
fn figure_eight(faults: Faults) -> (Vec<Vec<u8>>, bool) {
    let mut desk = Desk::new(5, 5, faults);
    desk.elect(0, &[0, 1, 2, 3, 4]);
    desk.resend(0);
    desk.pump(&[0, 1, 2, 3, 4]);
    assert_eq!(desk.replicas[0].committed(), LogIndex(1));

    desk.replicas[0].propose(b"a".to_vec(), desk.now).expect("it leads");
    desk.take(0);
    desk.pump_until(&[0, 1], |desk| desk.replicas[1].last_index() == LogIndex(2));

    desk.elect(4, &[2, 3, 4]);
    desk.elect(0, &[0, 1, 2]);
    desk.resend(0);
    for copy in [1, 2] {
        let has_copy =
            |desk: &Desk| desk.replicas[0].status().peers[&id(copy)].matched >= LogIndex(2);
        desk.pump_until(&[0, copy], has_copy);
        assert!(has_copy(&desk));
        desk.resend(0);
    }
    desk.waiting.clear();
    assert_eq!(desk.replicas[2].last_index(), LogIndex(2), "only the old entry is copied");

    desk.elect(4, &[2, 3, 4]);
    desk.resend(4);
    desk.pump(&[2, 3, 4]);
    let mut entries = desk.replicas[2].log_entries();
    let term = entries.find(|entry| entry.index == LogIndex(2)).map(|entry| entry.term);
    let first = desk.replicas[0].log_entries().find(|entry| entry.index == LogIndex(2));
    (desk.delivered[0].clone(), term == first.map(|entry| entry.term))
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let (delivered, survived) = figure_eight(Faults::default());
    assert_eq!((delivered, survived), (Vec::new(), false));
}

#[test]
fn counting_copies_of_an_earlier_term_would_lose_a_committed_command() {
    let faults = Faults { commit_earlier_terms: true, ..Faults::default() };
    let (delivered, survived) = figure_eight(faults);
    assert_eq!((delivered, survived), (vec![b"a".to_vec()], false));
}

/// An acknowledgement from before a removal comes after the replica was emptied and added
/// again. Returns whether the leader would give the empty replica a vote.
fn promote_after_late_acknowledgement(faults: Faults) -> Result<LogIndex, ChangeError> {
    let all = [0, 1, 2, 3];
    let mut desk = Desk::new(4, 3, faults);
    desk.elect(0, &all);
    desk.resend(0);
    desk.pump(&all);
    // More than a learner may lag, so that only acknowledged entries make it caught up.
    for number in 0..100_u8 {
        desk.replicas[0].propose(vec![number], desk.now).expect("it leads");
    }
    desk.take(0);
    desk.pump(&all);
    let learner = id(3);
    desk.change(0, MemberChange::AddLearner(learner)).expect("fits");
    desk.pump(&all);
    desk.resend(0);
    desk.pump(&all);
    let late = desk.last_acknowledgement(learner);
    desk.change(0, MemberChange::Remove(learner)).expect("fits");
    desk.pump(&all);
    assert_eq!(desk.replicas[3].last_index(), LogIndex(0), "it was emptied");
    desk.change(0, MemberChange::AddLearner(learner)).expect("fits");
    desk.pump(&[0, 1, 2]);
    let now = desk.now;
    desk.replicas[0].step(late, now);
    desk.take(0);
    desk.change(0, MemberChange::Promote(learner))
}

#[test]
fn a_late_acknowledgement_of_an_earlier_stay_does_not_count() {
    let refused = promote_after_late_acknowledgement(Faults::default());
    assert!(matches!(refused, Err(ChangeError::NotCaughtUp { .. })), "{refused:?}");
}

#[test]
fn counting_a_late_acknowledgement_would_give_an_empty_replica_a_vote() {
    let faults = Faults { accept_any_session: true, ..Faults::default() };
    let promoted = promote_after_late_acknowledgement(faults);
    assert!(promoted.is_ok(), "{promoted:?}");
}

/// A replica that was removed and emptied is asked by a voter that lags and does not know of
/// the removal. Returns whether that one is elected without the committed command.
fn lagging_voter_wins_with_a_removed_one(faults: Faults) -> bool {
    let all = [0, 1, 2, 3];
    let mut desk = Desk::new(4, 3, faults);
    desk.elect(2, &all);
    desk.resend(2);
    desk.pump(&all);
    desk.starved = Some(0);
    let changes = [
        MemberChange::AddLearner(id(3)),
        MemberChange::Promote(id(3)),
        MemberChange::Remove(id(1)),
    ];
    desk.replicas[2].propose(b"committed".to_vec(), desk.now).expect("it leads");
    for change in changes {
        desk.change(2, change).expect("fits");
        desk.pump(&all);
        desk.resend(2);
        desk.pump(&all);
    }
    assert_eq!(desk.delivered[2], [b"committed"]);
    assert_eq!(desk.replicas[1].last_index(), LogIndex(0), "it was emptied");
    desk.try_to_elect(0, &[0, 1])
}

#[test]
fn a_removed_replica_does_not_vote_for_one_that_lacks_what_it_had() {
    assert!(!lagging_voter_wins_with_a_removed_one(Faults::default()));
}

#[test]
fn forgetting_the_log_of_a_removed_replica_would_lose_a_committed_command() {
    let faults = Faults { forget_retired_log: true, ..Faults::default() };
    assert!(lagging_voter_wins_with_a_removed_one(faults));
}

/// A peer denies what it acknowledged, and each of its answers arrives twice.
#[test]
fn a_peer_that_denies_what_it_acknowledged_causes_no_storm() {
    const ROUNDS: usize = 10;
    let all = [0, 1, 2];
    let mut desk = Desk::new(3, 3, Faults::default());
    desk.elect(0, &all);
    desk.resend(0);
    desk.pump(&all);
    desk.replicas[0].propose(b"a".to_vec(), desk.now).expect("it leads");
    desk.take(0);
    desk.pump(&all);
    let mut denial = desk.last_acknowledgement(id(1));
    let matched = desk.replicas[0].status().peers[&id(1)].matched;
    desk.sent.clear();
    for round in 0..ROUNDS {
        let previous_index = if round == 0 { matched.next() } else { matched };
        let GroupBody::AppendResponse(response) = &mut denial.body else { panic!("an answer") };
        response.result = AppendResult::Rejected { previous_index, hint: LogIndex(0) };
        for _ in 0..2 {
            desk.replicas[0].step(denial.clone(), desk.now);
            desk.take(0);
        }
    }
    let is_append = |message: &&GroupMessage| matches!(message.body, GroupBody::Append(_));
    let appends = desk.sent.iter().filter(is_append).count();
    assert!(appends <= 1, "{appends} appends for {} answers", 2 * ROUNDS);
}
