//! One replica group on this daemon: its replica, its programs and its pending proposals.

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

/// How often an owner proposes the expiry of a nonempty ledger. It is well below the most that one
/// timestamp advances a ledger's time.
const LEDGER_EXPIRY_INTERVAL: Duration = Duration::from_secs(4);

/// The purpose of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposalPurpose {
    /// A request that is answered when the command is applied.
    Request(ReplyTo),
    /// An attempt's intent. The attempt is dispatched when the intent is durable.
    Intent(IntentPurpose),
    /// Maintenance that nothing waits for.
    Housekeeping,
}

/// Data needed to dispatch an intent, besides the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct IntentPurpose {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The engine's incarnation.
    pub(crate) holder: EngineIncarnation,
    /// Upper bound of the prompt's tokens.
    pub(crate) prompt_bound: Tokens,
    /// The engine's queue priority.
    pub(crate) priority: u64,
}

/// An attempt that this node runs as owner.
#[derive(Debug, Clone)]
pub(crate) struct LiveAttempt {
    /// The epoch under which it runs.
    pub(crate) epoch: Term,
    /// When to cancel it, or to cancel it again if it has not ended since.
    pub(crate) cancel_at: Timestamp,
}

/// A release of a program's memory at an engine that is in progress or due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRelease {
    /// When to send the next request.
    pub(crate) due: Timestamp,
    /// Number of failures so far.
    pub(crate) failures: u32,
    /// Whether a response is outstanding.
    pub(crate) awaits_response: bool,
}

/// A group on this daemon.
pub(crate) struct Group {
    pub(crate) replica: Replica,
    pub(crate) state: GroupState,
    /// Proposals of this node by log index.
    pub(crate) pending_proposals: BTreeMap<LogIndex, (Term, ProposalPurpose)>,
    /// Commands that the replica could not accept yet.
    pub(crate) deferred_commands: Vec<(Command, ProposalPurpose)>,
    /// Attempts that this node runs.
    pub(crate) live_attempts: BTreeMap<AttemptId, LiveAttempt>,
    /// Attempts resumed from a previous owner, unknown to placement on this daemon.
    pub(crate) resumed_attempts: BTreeSet<AttemptId>,
    /// Requests that wait for a call's outcome.
    pub(crate) waiters: BTreeMap<CallId, BTreeSet<ReplyTo>>,
    /// Releases that are due or in progress.
    pub(crate) releases: BTreeMap<(ProgramId, EngineIncarnation), PendingRelease>,
    /// The term in which this node assumed ownership, if it has.
    pub(crate) serving_term: Option<Term>,
    /// When to check next for expired programs.
    pub(crate) next_expiry: Timestamp,
    /// When to propose the next expiry of the ledger.
    pub(crate) next_ledger_expiry: Timestamp,
    /// Decides on member changes while this node leads.
    pub(crate) maintenance: Maintenance,
    /// The log index of the entry that set the members.
    pub(crate) members_index: LogIndex,
}

impl Group {
    /// Creates a group without pending proposals.
    pub(crate) fn new(replica: Replica, state: GroupState, maintenance: Maintenance) -> Self {
        Self {
            replica,
            state,
            pending_proposals: BTreeMap::new(),
            deferred_commands: Vec::new(),
            live_attempts: BTreeMap::new(),
            resumed_attempts: BTreeSet::new(),
            waiters: BTreeMap::new(),
            releases: BTreeMap::new(),
            serving_term: None,
            next_expiry: Timestamp::ZERO,
            next_ledger_expiry: Timestamp::ZERO,
            maintenance,
            members_index: LogIndex(0),
        }
    }

    /// Returns the group's identifier.
    pub(crate) fn id(&self) -> GroupId {
        self.replica.group()
    }

    /// Takes the change that must be durable before any replica output since the last call is used.
    pub(crate) fn take_durable_change(&mut self) -> Option<Action> {
        self.replica.take_durable_change().map(|change| Action::Persist(Box::new(change)))
    }

    /// Whether this node may act as the owner of the group's programs.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving_term == Some(self.replica.term()) && self.replica.is_leader_ready()
    }

    /// Proposes a command for the log, now or later. Gives the purpose back if this replica does not lead or
    /// the command is too large.
    pub(crate) fn propose(
        &mut self,
        command: Command,
        purpose: ProposalPurpose,
        now: Timestamp,
    ) -> Result<(), ProposalPurpose> {
        match self.replica.propose(encode(&command), now) {
            Ok(Proposal { index, term }) => {
                self.pending_proposals.insert(index, (term, purpose));
                Ok(())
            }
            Err(ProposeError::Overloaded { .. }) => {
                self.deferred_commands.push((command, purpose));
                Ok(())
            }
            // A leader refuses proposals during a leadership transfer, but may remain leader. Its
            // proposals must not be lost then, because an attempt's end is reported only once.
            Err(ProposeError::NotLeader { .. })
                if self.replica.role() == Role::Leader
                    && !matches!(purpose, ProposalPurpose::Request(_)) =>
            {
                self.deferred_commands.push((command, purpose));
                Ok(())
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::TooLarge { .. }) => Err(purpose),
        }
    }

    /// Proposes to close idle programs and delete ended ones, if there are any.
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
            // A lost leadership is no problem: the next owner checks as well.
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

    /// Takes the purpose of the entry at `index`, and those of proposals that are now known to be lost
    /// because another entry was committed at or after their index.
    pub(crate) fn resolve_proposals(&mut self, index: LogIndex, term: Term) -> ResolvedProposals {
        let mut resolved = ResolvedProposals::default();
        while let Some((oldest, _)) = self.pending_proposals.first_key_value() {
            if *oldest > index {
                break;
            }
            let Some((oldest, (proposed_term, purpose))) = self.pending_proposals.pop_first()
            else {
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

/// What the commit of an entry decides about proposals.
#[derive(Debug, Default)]
pub(crate) struct ResolvedProposals {
    /// The purpose of the committed entry, if this node proposed it.
    pub(crate) committed: Option<ProposalPurpose>,
    /// The purposes of proposals that other entries replaced.
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
