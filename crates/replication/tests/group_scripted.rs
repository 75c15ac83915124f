//! Schedules that random tests rarely find, scripted message by message. They run with the
//! safety mechanism that they test and, where a switch exists, without it.

use dahlia_replication::group::{
    AppendResult, ChangeError, Faults, GroupBody, GroupMessage, GroupSettings, MemberChange,
    Output, Replica, Role,
};
use dahlia_types::{DaemonId, GroupId, Incarnation, LogIndex, ReplicaId, Timestamp};

const GROUP: GroupId = GroupId(1);

fn id(index: usize) -> ReplicaId {
    ReplicaId { daemon: DaemonId(index as u32), incarnation: Incarnation(1) }
}

/// Replicas whose messages the test delivers or drops explicitly.
struct ScriptedCluster {
    replicas: Vec<Replica>,
    now: Timestamp,
    pending: Vec<GroupMessage>,
    /// A replica to which all appends are dropped, so that it gets only heartbeats.
    without_appends: Option<usize>,
    /// All messages ever sent.
    sent: Vec<GroupMessage>,
    delivered: Vec<Vec<Vec<u8>>>,
}

impl ScriptedCluster {
    fn new(replicas: usize, voters: usize, faults: Faults) -> Self {
        let settings = GroupSettings {
            max_append_entries: 1,
            max_in_flight_appends: 1,
            faults,
            ..GroupSettings::default()
        };
        let now = Timestamp(1_000_000);
        let first: Vec<ReplicaId> = (0..voters).map(id).collect();
        let make = |index: usize| {
            if index < voters {
                Replica::bootstrap(id(index), GROUP, first.clone(), settings.clone(), 3, now)
            } else {
                Replica::join(id(index), GROUP, settings.clone(), 3, now)
            }
        };
        Self {
            replicas: (0..replicas).map(make).collect(),
            now,
            pending: Vec::new(),
            without_appends: None,
            sent: Vec::new(),
            delivered: vec![Vec::new(); replicas],
        }
    }

    fn process_outputs(&mut self, index: usize) {
        for output in self.replicas[index].take_outputs() {
            match output {
                Output::Send(message) => {
                    self.sent.push(message.clone());
                    self.pending.push(message);
                }
                Output::Committed(entry) => self.delivered[index].push(entry.payload.to_vec()),
                Output::Removed { .. } => self.replicas[index].retire(self.now),
                _ => {}
            }
        }
    }

    /// Delivers the messages between some replicas in order and drops all others, until no message is
    /// pending or `is_done` holds.
    fn deliver_until(&mut self, between: &[usize], is_done: impl Fn(&Self) -> bool) {
        while !self.pending.is_empty() && !is_done(self) {
            let message = self.pending.remove(0);
            let (from, to) = (message.from.daemon.0 as usize, message.to.daemon.0 as usize);
            let is_entry = matches!(message.body, GroupBody::Append(_));
            let is_dropped = is_entry && self.without_appends == Some(to);
            if between.contains(&from) && between.contains(&to) && !is_dropped {
                self.replicas[to].step(message, self.now);
                self.process_outputs(to);
            }
        }
        self.pending.clear();
    }

    fn deliver_all(&mut self, between: &[usize]) {
        self.deliver_until(between, |_| false);
    }

    /// Lets a replica's election timeout expire until the others elect it. None of its entries are
    /// delivered.
    fn elect(&mut self, index: usize, between: &[usize]) {
        assert!(self.try_to_elect(index, between), "replica {index} is not elected");
    }

    fn try_to_elect(&mut self, index: usize, between: &[usize]) -> bool {
        const ATTEMPTS: usize = 5;
        for _ in 0..ATTEMPTS {
            let timeout = GroupSettings::default().election_timeout();
            self.now = self.replicas[index].next_deadline().max(self.now + timeout);
            self.replicas[index].tick(self.now);
            self.process_outputs(index);
            self.deliver_until(between, |cluster| cluster.replicas[index].role() == Role::Leader);
            if self.replicas[index].role() == Role::Leader {
                return true;
            }
        }
        false
    }

    /// Lets the leader retransmit unanswered messages.
    fn retransmit(&mut self, index: usize) {
        self.now = self.now + GroupSettings::default().retransmit_timeout();
        self.replicas[index].tick(self.now);
        self.process_outputs(index);
    }

    /// The last acknowledgement of an append by a replica.
    fn last_acknowledgement(&self, from: ReplicaId) -> GroupMessage {
        let is_acknowledgement = |message: &&GroupMessage| match &message.body {
            GroupBody::AppendResponse(response) => {
                message.from == from && matches!(response.result, AppendResult::Matched { .. })
            }
            _ => false,
        };
        self.sent.iter().rev().find(is_acknowledgement).cloned().expect("it answered")
    }

    fn change_members(
        &mut self,
        index: usize,
        change: MemberChange,
    ) -> Result<LogIndex, ChangeError> {
        let changed = self.replicas[index].change_members(change);
        self.process_outputs(index);
        changed
    }
}

/// Runs the schedule of figure 8 in Ongaro and Ousterhout 2014. Returns the commands that the first
/// leader delivered, and whether its entry remains in the log under the last leader.
fn run_figure_eight(faults: Faults) -> (Vec<Vec<u8>>, bool) {
    let mut cluster = ScriptedCluster::new(5, 5, faults);
    cluster.elect(0, &[0, 1, 2, 3, 4]);
    cluster.retransmit(0);
    cluster.deliver_all(&[0, 1, 2, 3, 4]);
    assert_eq!(cluster.replicas[0].committed(), LogIndex(1));

    cluster.replicas[0].propose(b"a".to_vec(), cluster.now).expect("it leads");
    cluster.process_outputs(0);
    cluster.deliver_until(&[0, 1], |cluster| cluster.replicas[1].last_index() == LogIndex(2));

    cluster.elect(4, &[2, 3, 4]);
    cluster.elect(0, &[0, 1, 2]);
    cluster.retransmit(0);
    for copy in [1, 2] {
        let has_copy = |cluster: &ScriptedCluster| {
            cluster.replicas[0].status().peers[&id(copy)].matched >= LogIndex(2)
        };
        cluster.deliver_until(&[0, copy], has_copy);
        assert!(has_copy(&cluster));
        cluster.retransmit(0);
    }
    cluster.pending.clear();
    assert_eq!(cluster.replicas[2].last_index(), LogIndex(2), "only the old entry is copied");

    cluster.elect(4, &[2, 3, 4]);
    cluster.retransmit(4);
    cluster.deliver_all(&[2, 3, 4]);
    let mut entries = cluster.replicas[2].log_entries();
    let term = entries.find(|entry| entry.index == LogIndex(2)).map(|entry| entry.term);
    let first = cluster.replicas[0].log_entries().find(|entry| entry.index == LogIndex(2));
    (cluster.delivered[0].clone(), term == first.map(|entry| entry.term))
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_copies() {
    let (delivered, survived) = run_figure_eight(Faults::default());
    assert_eq!((delivered, survived), (Vec::new(), false));
}

#[test]
fn counting_copies_of_an_earlier_term_would_lose_a_committed_command() {
    let faults = Faults { commit_earlier_terms: true, ..Faults::default() };
    let (delivered, survived) = run_figure_eight(faults);
    assert_eq!((delivered, survived), (vec![b"a".to_vec()], false));
}

/// An acknowledgement from before a replica's removal arrives after the replica was emptied and added
/// again. Returns the leader's answer to the promotion of the empty replica.
fn promote_after_late_acknowledgement(faults: Faults) -> Result<LogIndex, ChangeError> {
    let all = [0, 1, 2, 3];
    let mut cluster = ScriptedCluster::new(4, 3, faults);
    cluster.elect(0, &all);
    cluster.retransmit(0);
    cluster.deliver_all(&all);
    // More entries than a learner may lag, so that it has caught up only if they are acknowledged.
    for number in 0..100_u8 {
        cluster.replicas[0].propose(vec![number], cluster.now).expect("it leads");
    }
    cluster.process_outputs(0);
    cluster.deliver_all(&all);
    let learner = id(3);
    cluster.change_members(0, MemberChange::AddLearner(learner)).expect("the change is valid");
    cluster.deliver_all(&all);
    cluster.retransmit(0);
    cluster.deliver_all(&all);
    let late = cluster.last_acknowledgement(learner);
    cluster.change_members(0, MemberChange::Remove(learner)).expect("the change is valid");
    cluster.deliver_all(&all);
    assert_eq!(cluster.replicas[3].last_index(), LogIndex(0), "it was emptied");
    cluster.change_members(0, MemberChange::AddLearner(learner)).expect("the change is valid");
    cluster.deliver_all(&[0, 1, 2]);
    let now = cluster.now;
    cluster.replicas[0].step(late, now);
    cluster.process_outputs(0);
    cluster.change_members(0, MemberChange::Promote(learner))
}

#[test]
fn a_late_acknowledgement_of_an_earlier_membership_does_not_count() {
    let result = promote_after_late_acknowledgement(Faults::default());
    assert!(matches!(result, Err(ChangeError::NotCaughtUp { .. })), "{result:?}");
}

#[test]
fn counting_a_late_acknowledgement_would_give_an_empty_replica_a_vote() {
    let faults = Faults { accept_any_session: true, ..Faults::default() };
    let result = promote_after_late_acknowledgement(faults);
    assert!(result.is_ok(), "{result:?}");
}

/// A lagging voter that does not know of a replica's removal requests the vote of the removed and emptied
/// replica. Returns whether the lagging voter is elected without the committed command.
fn lagging_voter_wins_with_vote_of_removed_replica(faults: Faults) -> bool {
    let all = [0, 1, 2, 3];
    let mut cluster = ScriptedCluster::new(4, 3, faults);
    cluster.elect(2, &all);
    cluster.retransmit(2);
    cluster.deliver_all(&all);
    cluster.without_appends = Some(0);
    let changes = [
        MemberChange::AddLearner(id(3)),
        MemberChange::Promote(id(3)),
        MemberChange::Remove(id(1)),
    ];
    cluster.replicas[2].propose(b"committed".to_vec(), cluster.now).expect("it leads");
    for change in changes {
        cluster.change_members(2, change).expect("the change is valid");
        cluster.deliver_all(&all);
        cluster.retransmit(2);
        cluster.deliver_all(&all);
    }
    assert_eq!(cluster.delivered[2], [b"committed"]);
    assert_eq!(cluster.replicas[1].last_index(), LogIndex(0), "it was emptied");
    cluster.try_to_elect(0, &[0, 1])
}

#[test]
fn a_removed_replica_does_not_vote_for_a_candidate_with_an_older_log() {
    assert!(!lagging_voter_wins_with_vote_of_removed_replica(Faults::default()));
}

#[test]
fn forgetting_the_log_of_a_removed_replica_would_lose_a_committed_command() {
    let faults = Faults { forget_retired_log: true, ..Faults::default() };
    assert!(lagging_voter_wins_with_vote_of_removed_replica(faults));
}

/// A peer rejects entries that it acknowledged, and each of its answers arrives twice.
#[test]
fn a_peer_that_rejects_acknowledged_entries_causes_no_append_storm() {
    const ROUNDS: usize = 10;
    let all = [0, 1, 2];
    let mut cluster = ScriptedCluster::new(3, 3, Faults::default());
    cluster.elect(0, &all);
    cluster.retransmit(0);
    cluster.deliver_all(&all);
    cluster.replicas[0].propose(b"a".to_vec(), cluster.now).expect("it leads");
    cluster.process_outputs(0);
    cluster.deliver_all(&all);
    let mut rejection = cluster.last_acknowledgement(id(1));
    let matched = cluster.replicas[0].status().peers[&id(1)].matched;
    cluster.sent.clear();
    for round in 0..ROUNDS {
        let previous_index = if round == 0 { matched.next() } else { matched };
        let GroupBody::AppendResponse(response) = &mut rejection.body else { panic!("an answer") };
        response.result = AppendResult::Rejected { previous_index, hint: LogIndex(0) };
        for _ in 0..2 {
            cluster.replicas[0].step(rejection.clone(), cluster.now);
            cluster.process_outputs(0);
        }
    }
    let is_append = |message: &&GroupMessage| matches!(message.body, GroupBody::Append(_));
    let appends = cluster.sent.iter().filter(is_append).count();
    assert!(appends <= 1, "{appends} appends for {} answers", 2 * ROUNDS);
}
