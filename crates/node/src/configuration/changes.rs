//! Changes of the configuration that this node brings in: those of operators, and the first
//! document of a new system.

use dahlia_configuration::{
    ChangeId, ChangeOutcome, ChangeProposal, ChangeWriterAction, ChangeWriterEvent, Digest,
    FollowerEvent,
};
use dahlia_types::{Duration, Generation, Timestamp};

use crate::Action;
use crate::key_value::{ChangeStep, KeyValueOperation};
use crate::node::Node;
use crate::request::RequestId;

/// Daemons of one system offer the first document one after the other, this far apart.
const FIRST_DOCUMENT_STAGGER: Duration = Duration::from_millis(300);
/// Pause before the first document is offered again.
const FIRST_DOCUMENT_RETRY: Duration = Duration::from_secs(2);
/// Author of the first document.
const FIRST_AUTHOR: &str = "settings";

impl Node {
    /// An operator asks for a change.
    pub(crate) fn propose_change(
        &mut self,
        id: RequestId,
        proposal: ChangeProposal,
        now: Timestamp,
    ) {
        if !self.configuration.is_followed {
            // A daemon that does not know the newest generation cannot tell what follows it.
            let outcome = ChangeOutcome::Unavailable;
            self.actions.push(Action::AnswerChange { id, outcome });
            return;
        }
        let change = proposal.change.clone();
        let decisions =
            self.configuration.change_writer.handle(ChangeWriterEvent::Proposed(proposal), now);
        if let [ChangeWriterAction::Answer(_, outcome)] = decisions.as_slice() {
            // Refused at once: whoever waits for an earlier request of this change waits on.
            self.actions.push(Action::AnswerChange { id, outcome: outcome.clone() });
            return;
        }
        self.configuration.waiting.entry(change).or_default().insert(id);
        self.carry_out_change(decisions, now);
    }

    pub(super) fn accept(&mut self, event: ChangeWriterEvent, now: Timestamp) {
        let decisions = self.configuration.change_writer.handle(event, now);
        self.carry_out_change(decisions, now);
    }

    fn carry_out_change(&mut self, decisions: Vec<ChangeWriterAction>, now: Timestamp) {
        for decision in decisions {
            match decision {
                ChangeWriterAction::Read => {
                    let step = self.next_step();
                    self.actions.push(Action::KeyValue(KeyValueOperation::ReadForChange(step)));
                }
                ChangeWriterAction::Swap { expected, value } => {
                    let step = self.next_step();
                    let swap = KeyValueOperation::Swap { step, expected, value };
                    self.actions.push(Action::KeyValue(swap));
                }
                ChangeWriterAction::Answer(change, outcome) => self.decided(&change, &outcome, now),
            }
        }
    }

    fn next_step(&mut self) -> ChangeStep {
        self.configuration.step.0 += 1;
        self.configuration.step
    }

    fn decided(&mut self, change: &ChangeId, outcome: &ChangeOutcome, now: Timestamp) {
        log::info!(target: "configuration", "Change {change}: {}.", summary(outcome));
        if let ChangeOutcome::Accepted(record) = outcome {
            // Others get the record before the operator gets the answer: an acceptance that only
            // this daemon knew of could be lost with it while the service is down.
            self.follow(FollowerEvent::Accepted(record.clone()), now);
        }
        for id in self.configuration.waiting.remove(change).unwrap_or_default() {
            self.actions.push(Action::AnswerChange { id, outcome: outcome.clone() });
        }
    }

    /// Offers the document of the settings when the system has none. Each daemon with the same
    /// settings offers the same change, so that only one of them takes effect.
    pub(super) fn offer_first_document(&mut self, now: Timestamp) {
        let own = self.settings.own.daemon;
        let part = &self.configuration;
        let Some(document) = part.first_document.clone().filter(|_| part.is_followed) else {
            return;
        };
        let Some(at) = part.next_offer else {
            let before = part.peers.iter().flatten().filter(|peer| peer.daemon < own);
            let wait = FIRST_DOCUMENT_STAGGER.times(before.count() as u64);
            self.configuration.next_offer = Some(now + wait);
            return;
        };
        if now < at || part.change_writer.is_busy() {
            return;
        }
        self.configuration.next_offer = Some(now + FIRST_DOCUMENT_RETRY);
        let digest = Digest::of(document.as_bytes()).to_string();
        let proposal = ChangeProposal {
            change: ChangeId(format!("first-{}", &digest[..16])),
            expected: Generation(0),
            author: FIRST_AUTHOR.to_owned(),
            document,
            repeated: true,
        };
        self.accept(ChangeWriterEvent::Proposed(proposal), now);
    }
}

fn summary(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted(record) => {
            format!("accepted as generation {}", record.generation())
        }
        ChangeOutcome::AcceptedEarlier(change) => {
            format!("accepted earlier as generation {}", change.generation)
        }
        ChangeOutcome::Conflict { newest, .. } => {
            format!("refused, generation {newest} is the newest")
        }
        ChangeOutcome::Invalid(error) => format!("refused, {error}"),
        ChangeOutcome::IdentityReused(_) => "refused, its identity was used before".to_owned(),
        ChangeOutcome::Busy => "refused, another change is being decided".to_owned(),
        ChangeOutcome::Unavailable => "refused, the key-value service does not answer".to_owned(),
        ChangeOutcome::Unknown => "its outcome is unknown".to_owned(),
    }
}
