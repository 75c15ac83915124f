//! Configuration changes proposed through this node: operators' changes, and the first document of a
//! new system.

use dahlia_configuration::{
    ChangeId, ChangeOutcome, ChangeProposal, ChangeWriterAction, ChangeWriterEvent, Digest,
    FollowerEvent,
};
use dahlia_types::{Duration, Generation, Timestamp};

use crate::Action;
use crate::key_value::{ChangeStep, KeyValueOperation};
use crate::node::Node;
use crate::request::RequestId;

/// The daemons of one system propose the first document one after another, at this interval.
const FIRST_DOCUMENT_STAGGER: Duration = Duration::from_millis(300);
/// Delay before the first document is proposed again.
const FIRST_DOCUMENT_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Author of the first document.
const FIRST_DOCUMENT_AUTHOR: &str = "settings";

impl Node {
    /// Handles an operator's proposed change.
    pub(crate) fn propose_change(
        &mut self,
        id: RequestId,
        proposal: ChangeProposal,
        now: Timestamp,
    ) {
        if !self.configuration.is_follower_ready {
            // A daemon that does not know the newest generation cannot determine the next one.
            let outcome = ChangeOutcome::Unavailable;
            self.actions.push(Action::AnswerChange { id, outcome });
            return;
        }
        let change = proposal.change.clone();
        let actions =
            self.configuration.change_writer.handle(ChangeWriterEvent::Proposed(proposal), now);
        if let [ChangeWriterAction::Answer(_, outcome)] = actions.as_slice() {
            // The change was refused at once. Earlier requests for the same change keep waiting.
            self.actions.push(Action::AnswerChange { id, outcome: outcome.clone() });
            return;
        }
        self.configuration.change_waiters.entry(change).or_default().insert(id);
        self.perform_change_actions(actions, now);
    }

    pub(super) fn run_change_writer(&mut self, event: ChangeWriterEvent, now: Timestamp) {
        let actions = self.configuration.change_writer.handle(event, now);
        self.perform_change_actions(actions, now);
    }

    fn perform_change_actions(&mut self, actions: Vec<ChangeWriterAction>, now: Timestamp) {
        for action in actions {
            match action {
                ChangeWriterAction::Read => {
                    let step = self.next_step();
                    self.actions.push(Action::KeyValue(KeyValueOperation::ReadForChange(step)));
                }
                ChangeWriterAction::Swap { expected, value } => {
                    let step = self.next_step();
                    let swap = KeyValueOperation::Swap { step, expected, value };
                    self.actions.push(Action::KeyValue(swap));
                }
                ChangeWriterAction::Answer(change, outcome) => {
                    self.finish_change(&change, &outcome, now)
                }
            }
        }
    }

    fn next_step(&mut self) -> ChangeStep {
        self.configuration.current_step.0 += 1;
        self.configuration.current_step
    }

    fn finish_change(&mut self, change: &ChangeId, outcome: &ChangeOutcome, now: Timestamp) {
        log::info!(target: "configuration", "Change {change}: {}.", describe_outcome(outcome));
        if let ChangeOutcome::Accepted(record) = outcome {
            // Other daemons get the record before the operator gets the answer. If only this daemon
            // knew of the acceptance, it could be lost with it while the service is down.
            self.run_follower(FollowerEvent::Accepted(record.clone()), now);
        }
        for id in self.configuration.change_waiters.remove(change).unwrap_or_default() {
            self.actions.push(Action::AnswerChange { id, outcome: outcome.clone() });
        }
    }

    /// Proposes the document from the settings if the system has none. Daemons with the same settings
    /// propose the same change, so that only one proposal takes effect.
    pub(super) fn offer_first_document(&mut self, now: Timestamp) {
        let own = self.settings.own.daemon;
        let configuration = &self.configuration;
        let Some(document) =
            configuration.first_document.clone().filter(|_| configuration.is_follower_ready)
        else {
            return;
        };
        let Some(at) = configuration.next_first_document_offer else {
            let before = configuration.peers.iter().flatten().filter(|peer| peer.daemon < own);
            let wait = FIRST_DOCUMENT_STAGGER.times(before.count() as u64);
            self.configuration.next_first_document_offer = Some(now + wait);
            return;
        };
        if now < at || configuration.change_writer.is_busy() {
            return;
        }
        self.configuration.next_first_document_offer = Some(now + FIRST_DOCUMENT_RETRY_DELAY);
        let digest = Digest::of(document.as_bytes()).to_string();
        let proposal = ChangeProposal {
            change: ChangeId(format!("first-{}", &digest[..16])),
            expected: Generation(0),
            author: FIRST_DOCUMENT_AUTHOR.to_owned(),
            document,
            repeated: true,
        };
        self.run_change_writer(ChangeWriterEvent::Proposed(proposal), now);
    }
}

fn describe_outcome(outcome: &ChangeOutcome) -> String {
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
