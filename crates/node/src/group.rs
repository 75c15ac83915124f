//! One replica group on this daemon: its replica, its programs, and what waits for its log.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_ledger::LedgerCommand;
use dahlia_program::{Command, EngineIncarnation, ExpirePrograms, GroupState, Lifecycle};
use dahlia_replication::group::{Proposal, ProposeError, Replica, Role};
use dahlia_replication::maintenance::Maintenance;
use dahlia_types::{
    AttemptId, CallId, Duration, GroupId, LogIndex, ProgramId, Term, Timestamp, Tokens,
};

use crate::Action;
use crate::routing::ReplyTo;

/// How often an owner has a ledger that holds something expire. Well below the most that one
/// stamp moves a ledger's time.
const LEDGER_EXPIRY_INTERVAL: Duration = Duration::from_secs(4);

/// What a proposal was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposalPurpose {
    /// A request to be answered when the command is applied.
    Request(ReplyTo),
    /// An attempt's intent: dispatch when it is durable.
    Intent(IntentPurpose),
    /// Nothing waits for it.
    Housekeeping,
}

/// What an intent's dispatch needs besides the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct IntentPurpose {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The engine's life.
    pub(crate) holder: EngineIncarnation,
    /// Upper bound of the prompt.
    pub(crate) prompt_bound: Tokens,
    /// The engine's queue priority.
    pub(crate) priority: u64,
}

/// An attempt that this node runs as owner.
#[derive(Debug, Clone)]
pub(crate) struct LiveAttempt {
    /// The epoch that it runs under.
    pub(crate) epoch: Term,
    /// When it is cancelled, or cancelled again.
    pub(crate) cancel_at: Timestamp,
}

/// A release that is under way or due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRelease {
    /// When to ask again.
    pub(crate) due: Timestamp,
    /// Failures so far.
    pub(crate) failures: u32,
    /// Whether an answer is awaited.
    pub(crate) awaits_response: bool,
}

/// A group on this daemon.
pub(crate) struct Group {
    pub(crate) replica: Replica,
    pub(crate) state: GroupState,
    /// Proposals of this node by their place in the log.
    pub(crate) pending: BTreeMap<LogIndex, (Term, ProposalPurpose)>,
    /// Commands that the replica could not take at the moment.
    pub(crate) deferred: Vec<(Command, ProposalPurpose)>,
    /// Attempts that run here.
    pub(crate) live: BTreeMap<AttemptId, LiveAttempt>,
    /// Attempts that were taken over: placement on this daemon does not know them.
    pub(crate) taken_over: BTreeSet<AttemptId>,
    /// Requests that wait for a call's outcome.
    pub(crate) waiters: BTreeMap<CallId, BTreeSet<ReplyTo>>,
    /// Releases that are due or under way.
    pub(crate) releases: BTreeMap<(ProgramId, EngineIncarnation), PendingRelease>,
    /// The term in which this node took up its duties as owner, if it has.
    pub(crate) serving: Option<Term>,
    /// When expired programs are next looked for.
    pub(crate) next_expiry: Timestamp,
    /// When the ledger is next to forget what is no longer kept.
    pub(crate) next_ledger_expiry: Timestamp,
    /// Decides on changes of members while this node leads.
    pub(crate) maintenance: Maintenance,
    /// The entry that set the members.
    pub(crate) members_index: LogIndex,
}

impl Group {
    /// A group with an empty state.
    pub(crate) fn new(replica: Replica, state: GroupState, maintenance: Maintenance) -> Self {
        Self {
            replica,
            state,
            pending: BTreeMap::new(),
            deferred: Vec::new(),
            live: BTreeMap::new(),
            taken_over: BTreeSet::new(),
            waiters: BTreeMap::new(),
            releases: BTreeMap::new(),
            serving: None,
            next_expiry: Timestamp::ZERO,
            next_ledger_expiry: Timestamp::ZERO,
            maintenance,
            members_index: LogIndex(0),
        }
    }

    /// The group's identifier.
    pub(crate) fn id(&self) -> GroupId {
        self.replica.group()
    }

    /// What must be durable before anything that the replica put out since the last call.
    pub(crate) fn take_durable(&mut self) -> Option<Action> {
        self.replica.take_durable_change().map(|change| Action::Persist(Box::new(change)))
    }

    /// Whether this node may act as the owner of the group's programs.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving == Some(self.replica.term()) && self.replica.is_leader_ready()
    }

    /// Puts a command into the log. Gives the purpose back when this replica does not lead.
    pub(crate) fn propose(
        &mut self,
        command: Command,
        purpose: ProposalPurpose,
        now: Timestamp,
    ) -> Result<(), ProposalPurpose> {
        match self.replica.propose(encode(&command), now) {
            Ok(Proposal { index, term }) => {
                self.pending.insert(index, (term, purpose));
                Ok(())
            }
            Err(ProposeError::Overloaded { .. }) => {
                self.deferred.push((command, purpose));
                Ok(())
            }
            // A leader that hands over refuses proposals and may yet go on leading. What it knows
            // must not be lost then: an attempt's end comes only once.
            Err(ProposeError::NotLeader { .. })
                if self.replica.role() == Role::Leader
                    && !matches!(purpose, ProposalPurpose::Request(_)) =>
            {
                self.deferred.push((command, purpose));
                Ok(())
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::TooLarge { .. }) => Err(purpose),
        }
    }

    /// Proposes to end idle programs and forget ended ones, if there are any.
    pub(crate) fn propose_expiry(&mut self, keep_records: Duration, now: Timestamp) {
        let due = self.state.programs().any(|program| match program.lifecycle() {
            Lifecycle::Open => {
                let idle = now.since(program.last_activity());
                idle >= program.specification().idle_expiry && program.open_calls().next().is_none()
            }
            Lifecycle::Closed { at, .. } => now.since(at) >= keep_records,
        });
        if due {
            let command = Command::ExpirePrograms(ExpirePrograms { now, keep_records });
            // Not leading any more is fine: the next owner looks for itself.
            let _ = self.propose(command, ProposalPurpose::Housekeeping, now);
        }
        self.propose_ledger_expiry(now);
    }

    fn propose_ledger_expiry(&mut self, now: Timestamp) {
        if self.state.ledger().is_empty() || now < self.next_ledger_expiry {
            return;
        }
        self.next_ledger_expiry = now + LEDGER_EXPIRY_INTERVAL;
        let command = Command::Ledger(LedgerCommand::Expire { now });
        let _ = self.propose(command, ProposalPurpose::Housekeeping, now);
    }

    /// Takes the purpose of the entry at `index`, and those of proposals that are now known to
    /// be lost because another entry stands at or after their place.
    pub(crate) fn resolve_proposals(&mut self, index: LogIndex, term: Term) -> ResolvedProposals {
        let mut resolved = ResolvedProposals::default();
        while let Some((oldest, _)) = self.pending.first_key_value() {
            if *oldest > index {
                break;
            }
            let Some((oldest, (proposed_term, purpose))) = self.pending.pop_first() else {
                break;
            };
            if oldest == index && proposed_term == term {
                resolved.committed = Some(purpose);
            } else {
                resolved.lost.push(purpose);
            }
        }
        resolved
    }
}

/// What became of proposals when an entry was committed.
#[derive(Debug, Default)]
pub(crate) struct ResolvedProposals {
    /// The purpose of the entry itself, if this node proposed it.
    pub(crate) committed: Option<ProposalPurpose>,
    /// Purposes of proposals that other entries replaced.
    pub(crate) lost: Vec<ProposalPurpose>,
}

/// Encodes a command for the log.
pub(crate) fn encode(command: &Command) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(command, bincode::config::standard());
    encoded.expect("commands have only plain fields")
}

/// Decodes a command from the log.
pub(crate) fn decode(payload: &[u8]) -> Option<Command> {
    let decoded = bincode::serde::decode_from_slice(payload, bincode::config::standard());
    decoded.ok().map(|(command, _)| command)
}
