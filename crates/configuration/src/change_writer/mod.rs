//! Writes an operator's change: validates it, writes it by compare-and-swap, and reads it back by
//! its identity if the reply was lost.

mod message;

use std::sync::Arc;

use dahlia_types::{Duration, Generation, Timestamp};

pub use message::{
    ChangeOutcome, ChangeProposal, ChangeWriterAction, ChangeWriterEvent, ServiceUnavailable,
    SwapFailure, VersionedValue,
};

use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Digest, Mechanism};

/// Writes operators' changes to the key-value service, one at a time.
#[derive(Debug)]
pub struct ChangeWriter {
    settings: ConfigurationSettings,
    /// The newest record that was in force or written here.
    newest_record: Option<Arc<ConfigurationRecord>>,
    pending: Option<PendingChange>,
    switches: Switches,
}

/// The change being decided.
#[derive(Debug)]
struct PendingChange {
    proposal: ChangeProposal,
    deadline: Timestamp,
    step: Step,
    /// The record of the last swap, sent again as long as it is of the next generation.
    candidate: Option<Arc<ConfigurationRecord>>,
    /// Whether the reply to a swap was lost, in this request or an earlier one of the same change.
    in_doubt: bool,
    /// Whether a swap found another version than expected.
    lost_race: bool,
}

/// The step of a pending change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Reading,
    Swapping,
    Pausing { until: Timestamp },
}

impl ChangeWriter {
    /// Creates a writer without a pending change.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self { settings, newest_record: None, pending: None, switches: Switches::default() }
    }

    /// Whether a change is being decided.
    pub fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// Switches a mechanism off, to show that a test fails without it.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Handles an event and returns the driver's actions in order.
    pub fn handle(&mut self, event: ChangeWriterEvent, now: Timestamp) -> Vec<ChangeWriterAction> {
        match event {
            ChangeWriterEvent::Proposed(proposal) => self.on_proposed(proposal, now),
            ChangeWriterEvent::Activated(record) => {
                self.update_newest(record);
                Vec::new()
            }
            ChangeWriterEvent::Read(result) => self.on_read(result, now),
            ChangeWriterEvent::Swapped(result) => self.on_swapped(result, now),
            ChangeWriterEvent::Tick => self.on_tick(now),
        }
    }

    fn update_newest(&mut self, record: Arc<ConfigurationRecord>) {
        let newest = self.newest_record.as_ref().map(|known| known.generation());
        if newest < Some(record.generation()) {
            self.newest_record = Some(record);
        }
    }

    fn on_proposed(&mut self, proposal: ChangeProposal, now: Timestamp) -> Vec<ChangeWriterAction> {
        if let Some(pending) = &self.pending {
            let same_change = pending.proposal.change == proposal.change;
            if same_change && pending.proposal.document == proposal.document {
                return Vec::new();
            }
            return vec![ChangeWriterAction::Answer(proposal.change, ChangeOutcome::Busy)];
        }
        if let Err(error) = proposal.check() {
            return vec![ChangeWriterAction::Answer(
                proposal.change,
                ChangeOutcome::Invalid(error),
            )];
        }
        let in_doubt = proposal.repeated;
        self.pending = Some(PendingChange {
            proposal,
            deadline: now + self.settings.accept_within,
            step: Step::Reading,
            candidate: None,
            in_doubt,
            lost_race: false,
        });
        vec![ChangeWriterAction::Read]
    }

    fn on_read(
        &mut self,
        result: Result<Option<VersionedValue>, ServiceUnavailable>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        if self.pending.as_ref().is_none_or(|pending| pending.step != Step::Reading) {
            return Vec::new();
        }
        let Ok(found) = result else {
            return self.pause_before_retry(now);
        };
        let version = found.as_ref().map(|found| found.version);
        match found.map(|found| ConfigurationRecord::decode(&found.bytes)) {
            None => self.decide(version, None, now),
            Some(Ok(record)) => self.decide(version, Some(Arc::new(record)), now),
            // A later build wrote the record. An unreadable record must not be replaced.
            Some(Err(_)) => self.finish(ChangeOutcome::Unavailable),
        }
    }

    /// Decides by the newest known record, from the service or from other daemons.
    fn decide(
        &mut self,
        version: Option<u64>,
        read: Option<Arc<ConfigurationRecord>>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        // The service may answer with stale data. A generation that daemons have in force was
        // accepted, so the next one must follow it. The version of the swap guards against a stale
        // read.
        let base = newer_of(read, self.newest_record.clone());
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let proposal = &pending.proposal;
        if let Some(base) = &base
            && let Some(found) = base.changes().find(|change| change.change == proposal.change)
        {
            let is_same_document = found.document == Digest::of(proposal.document.as_bytes());
            let outcome = match (is_same_document, found.generation == base.generation()) {
                (false, _) => ChangeOutcome::IdentityReused(found.clone()),
                (true, true) => ChangeOutcome::Accepted(base.clone()),
                (true, false) => ChangeOutcome::AcceptedEarlier(found.clone()),
            };
            return self.finish(outcome);
        }
        let newest = base.as_ref().map_or(Generation(0), |base| base.generation());
        if newest > proposal.expected {
            return self.finish_with_conflict(base.as_deref(), newest);
        }
        if newest < proposal.expected {
            // Either the service answered with stale data, or the operator named a wrong
            // generation.
            return self.pause_before_retry(now);
        }
        self.swap(version, base.as_deref(), now)
    }

    fn finish_with_conflict(
        &mut self,
        base: Option<&ConfigurationRecord>,
        newest: Generation,
    ) -> Vec<ChangeWriterAction> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let next = pending.proposal.expected.next();
        let mut changes = base.into_iter().flat_map(ConfigurationRecord::changes);
        let conflicting_change = changes.find(|change| change.generation == next).cloned();
        if pending.in_doubt && conflicting_change.is_none() {
            // The list no longer goes back far enough: the swap whose reply was lost may have
            // succeeded.
            return self.finish(ChangeOutcome::Unknown);
        }
        self.finish(ChangeOutcome::Conflict { newest, conflicting_change })
    }

    fn swap(
        &mut self,
        version: Option<u64>,
        base: Option<&ConfigurationRecord>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        let next_generation = base.map_or(Generation(0), ConfigurationRecord::generation).next();
        let previous =
            pending.candidate.take().filter(|previous| previous.generation() == next_generation);
        let ChangeProposal { change, author, document, .. } = pending.proposal.clone();
        let candidate = match previous {
            Some(previous) => previous,
            None => match ConfigurationRecord::after(base, change, author, document, now) {
                Ok(record) => Arc::new(record),
                Err(_) => return self.finish(ChangeOutcome::Unavailable),
            },
        };
        let value = candidate.bytes().to_vec();
        pending.candidate = Some(candidate);
        pending.step = Step::Swapping;
        vec![ChangeWriterAction::Swap { expected: version, value }]
    }

    fn on_swapped(
        &mut self,
        result: Result<(), SwapFailure>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        let read_back = self.switches.is_on(Mechanism::ReadBack);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.step == Step::Swapping)
        else {
            return Vec::new();
        };
        match result {
            Ok(()) => {
                let accepted = pending.candidate.take().map(ChangeOutcome::Accepted);
                self.finish(accepted.unwrap_or(ChangeOutcome::Unknown))
            }
            Err(SwapFailure::Conflict) => {
                pending.lost_race = true;
                pending.step = Step::Reading;
                vec![ChangeWriterAction::Read]
            }
            Err(SwapFailure::NotRun) => self.pause_before_retry(now),
            Err(SwapFailure::Unknown) if !read_back => self.finish(ChangeOutcome::Unavailable),
            Err(SwapFailure::Unknown) => {
                // The request may still be in flight. The same swap is retried: both expect the
                // same version, so at most one of them takes effect.
                pending.in_doubt = true;
                self.pause_before_retry(now)
            }
        }
    }

    fn pause_before_retry(&mut self, now: Timestamp) -> Vec<ChangeWriterAction> {
        let until = now + self.settings.retry_pause;
        if let Some(pending) = &mut self.pending {
            pending.step = Step::Pausing { until };
        }
        self.on_tick(now)
    }

    fn on_tick(&mut self, now: Timestamp) -> Vec<ChangeWriterAction> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if now >= pending.deadline {
            let outcome = self.outcome_at_deadline();
            return self.finish(outcome);
        }
        match pending.step {
            Step::Pausing { until } if now >= until => {
                pending.step = Step::Reading;
                vec![ChangeWriterAction::Read]
            }
            _ => Vec::new(),
        }
    }

    /// The outcome of a change that is not decided at its deadline.
    fn outcome_at_deadline(&self) -> ChangeOutcome {
        let Some(pending) = &self.pending else {
            return ChangeOutcome::Unavailable;
        };
        let is_swapping = pending.step == Step::Swapping;
        if pending.in_doubt || is_swapping {
            return ChangeOutcome::Unknown;
        }
        let newest = self.newest_record.as_ref().map_or(Generation(0), |known| known.generation());
        if pending.lost_race || newest > pending.proposal.expected {
            return ChangeOutcome::Conflict { newest, conflicting_change: None };
        }
        ChangeOutcome::Unavailable
    }

    fn finish(&mut self, outcome: ChangeOutcome) -> Vec<ChangeWriterAction> {
        if let ChangeOutcome::Accepted(record) = &outcome {
            self.update_newest(record.clone());
        }
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        vec![ChangeWriterAction::Answer(pending.proposal.change, outcome)]
    }

    /// When to pass the next [`ChangeWriterEvent::Tick`]; none without a pending change.
    pub fn next_tick(&self, now: Timestamp) -> Option<Timestamp> {
        let pending = self.pending.as_ref()?;
        let due = match pending.step {
            Step::Pausing { until } => until.min(pending.deadline),
            Step::Reading | Step::Swapping => pending.deadline,
        };
        Some(due.max(now + Duration::from_millis(1)))
    }
}

/// The record of the newer generation.
fn newer_of(
    one: Option<Arc<ConfigurationRecord>>,
    other: Option<Arc<ConfigurationRecord>>,
) -> Option<Arc<ConfigurationRecord>> {
    let generation =
        |record: &Option<Arc<ConfigurationRecord>>| record.as_ref().map(|it| it.generation());
    if generation(&one) >= generation(&other) { one } else { other }
}
