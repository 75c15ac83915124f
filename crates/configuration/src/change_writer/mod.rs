//! Acceptance of an operator's change: validate, compare-and-swap, and read back by the change's
//! identity when the reply was lost.

mod message;

use std::sync::Arc;

use dahlia_types::{Duration, Generation, Timestamp};

pub use message::{
    ChangeOutcome, ChangeProposal, ChangeWriterAction, ChangeWriterEvent, ServiceUnavailable,
    SwapFailure, VersionedValue,
};

use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Digest, Mechanism};

/// Brings one change at a time into the service.
#[derive(Debug)]
pub struct ChangeWriter {
    settings: ConfigurationSettings,
    known: Option<Arc<ConfigurationRecord>>,
    work: Option<Work>,
    switches: Switches,
}

/// The change being decided.
#[derive(Debug)]
struct Work {
    proposal: ChangeProposal,
    deadline: Timestamp,
    step: Step,
    candidate: Option<Arc<ConfigurationRecord>>,
    /// Some swap's reply was lost, of this request or an earlier one.
    in_doubt: bool,
    /// Some swap found another state than expected.
    lost: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Reading,
    Swapping,
    Pausing { until: Timestamp },
}

impl ChangeWriter {
    /// An accepter without work.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self { settings, known: None, work: None, switches: Switches::default() }
    }

    /// Whether a change is being decided.
    pub fn is_busy(&self) -> bool {
        self.work.is_some()
    }

    /// Switches a mechanism off, to show that a checker notices.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Takes an event and gives what the driver is to do, in order.
    pub fn handle(&mut self, event: ChangeWriterEvent, now: Timestamp) -> Vec<ChangeWriterAction> {
        match event {
            ChangeWriterEvent::Proposed(proposal) => self.propose(proposal, now),
            ChangeWriterEvent::Activated(record) => {
                self.observe(record);
                Vec::new()
            }
            ChangeWriterEvent::Read(result) => self.on_read(result, now),
            ChangeWriterEvent::Swapped(result) => self.on_swapped(result, now),
            ChangeWriterEvent::Tick => self.on_tick(now),
        }
    }

    fn observe(&mut self, record: Arc<ConfigurationRecord>) {
        let newest = self.known.as_ref().map(|known| known.generation());
        if newest < Some(record.generation()) {
            self.known = Some(record);
        }
    }

    fn propose(&mut self, proposal: ChangeProposal, now: Timestamp) -> Vec<ChangeWriterAction> {
        if let Some(work) = &self.work {
            let same_change = work.proposal.change == proposal.change;
            if same_change && work.proposal.document == proposal.document {
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
        self.work = Some(Work {
            proposal,
            deadline: now + self.settings.accept_within,
            step: Step::Reading,
            candidate: None,
            in_doubt,
            lost: false,
        });
        vec![ChangeWriterAction::Read]
    }

    fn on_read(
        &mut self,
        result: Result<Option<VersionedValue>, ServiceUnavailable>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        if self.work.as_ref().is_none_or(|work| work.step != Step::Reading) {
            return Vec::new();
        }
        let Ok(found) = result else {
            return self.pause(now);
        };
        let version = found.as_ref().map(|found| found.version);
        match found.map(|found| ConfigurationRecord::decode(&found.bytes)) {
            None => self.decide(version, None, now),
            Some(Ok(record)) => self.decide(version, Some(Arc::new(record)), now),
            // A later build wrote it. What cannot be read must not be replaced.
            Some(Err(_)) => self.finish(ChangeOutcome::Unavailable),
        }
    }

    /// Decides from the newest record that is known, from the service or from other daemons.
    fn decide(
        &mut self,
        version: Option<u64>,
        read: Option<Arc<ConfigurationRecord>>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        // The service may answer with older data. What daemons have in force was accepted, so the
        // next generation has to come after it; the swap's version guards against a stale read.
        let base = newer(read, self.known.clone());
        let Some(work) = &self.work else {
            return Vec::new();
        };
        let proposal = &work.proposal;
        if let Some(base) = &base
            && let Some(found) = base.changes().find(|change| change.change == proposal.change)
        {
            let same = found.document == Digest::of(proposal.document.as_bytes());
            let verdict = match (same, found.generation == base.generation()) {
                (false, _) => ChangeOutcome::IdentityReused(found.clone()),
                (true, true) => ChangeOutcome::Accepted(base.clone()),
                (true, false) => ChangeOutcome::AcceptedEarlier(found.clone()),
            };
            return self.finish(verdict);
        }
        let newest = base.as_ref().map_or(Generation(0), |base| base.generation());
        if newest > proposal.expected {
            return self.lose(base.as_deref(), newest);
        }
        if newest < proposal.expected {
            // Either the operator is ahead of a service that answers with older data, or wrong.
            return self.pause(now);
        }
        self.swap(version, base.as_deref(), now)
    }

    fn lose(
        &mut self,
        base: Option<&ConfigurationRecord>,
        newest: Generation,
    ) -> Vec<ChangeWriterAction> {
        let Some(work) = &self.work else {
            return Vec::new();
        };
        let next = work.proposal.expected.next();
        let mut changes = base.into_iter().flat_map(ConfigurationRecord::changes);
        let conflicting_change = changes.find(|change| change.generation == next).cloned();
        if work.in_doubt && conflicting_change.is_none() {
            // The list no longer reaches back: the lost reply may have been an acceptance.
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
        let Some(work) = &mut self.work else {
            return Vec::new();
        };
        let follows = base.map_or(Generation(0), ConfigurationRecord::generation).next();
        let kept = work.candidate.take().filter(|kept| kept.generation() == follows);
        let ChangeProposal { change, author, document, .. } = work.proposal.clone();
        let candidate = match kept {
            Some(kept) => kept,
            None => match ConfigurationRecord::after(base, change, author, document, now) {
                Ok(record) => Arc::new(record),
                Err(_) => return self.finish(ChangeOutcome::Unavailable),
            },
        };
        let value = candidate.bytes().to_vec();
        work.candidate = Some(candidate);
        work.step = Step::Swapping;
        vec![ChangeWriterAction::Swap { expected: version, value }]
    }

    fn on_swapped(
        &mut self,
        result: Result<(), SwapFailure>,
        now: Timestamp,
    ) -> Vec<ChangeWriterAction> {
        let read_back = self.switches.is_on(Mechanism::ReadBack);
        let Some(work) = self.work.as_mut().filter(|work| work.step == Step::Swapping) else {
            return Vec::new();
        };
        match result {
            Ok(()) => {
                let accepted = work.candidate.take().map(ChangeOutcome::Accepted);
                self.finish(accepted.unwrap_or(ChangeOutcome::Unknown))
            }
            Err(SwapFailure::Conflict) => {
                work.lost = true;
                work.step = Step::Reading;
                vec![ChangeWriterAction::Read]
            }
            Err(SwapFailure::NotRun) => self.pause(now),
            Err(SwapFailure::Unknown) if !read_back => self.finish(ChangeOutcome::Unavailable),
            Err(SwapFailure::Unknown) => {
                // The request may still be on its way. The same swap is tried again: both expect
                // the same version, so that at most one of them takes effect.
                work.in_doubt = true;
                self.pause(now)
            }
        }
    }

    fn pause(&mut self, now: Timestamp) -> Vec<ChangeWriterAction> {
        let until = now + self.settings.retry_pause;
        if let Some(work) = &mut self.work {
            work.step = Step::Pausing { until };
        }
        self.on_tick(now)
    }

    fn on_tick(&mut self, now: Timestamp) -> Vec<ChangeWriterAction> {
        let Some(work) = &mut self.work else {
            return Vec::new();
        };
        if now >= work.deadline {
            let verdict = self.late_verdict();
            return self.finish(verdict);
        }
        match work.step {
            Step::Pausing { until } if now >= until => {
                work.step = Step::Reading;
                vec![ChangeWriterAction::Read]
            }
            _ => Vec::new(),
        }
    }

    /// What is known when the time is over.
    fn late_verdict(&self) -> ChangeOutcome {
        let Some(work) = &self.work else {
            return ChangeOutcome::Unavailable;
        };
        let is_swapping = work.step == Step::Swapping;
        if work.in_doubt || is_swapping {
            return ChangeOutcome::Unknown;
        }
        let newest = self.known.as_ref().map_or(Generation(0), |known| known.generation());
        if work.lost || newest > work.proposal.expected {
            return ChangeOutcome::Conflict { newest, conflicting_change: None };
        }
        ChangeOutcome::Unavailable
    }

    fn finish(&mut self, verdict: ChangeOutcome) -> Vec<ChangeWriterAction> {
        if let ChangeOutcome::Accepted(record) = &verdict {
            self.observe(record.clone());
        }
        let Some(work) = self.work.take() else {
            return Vec::new();
        };
        vec![ChangeWriterAction::Answer(work.proposal.change, verdict)]
    }

    /// When to pass the next [`ChangeWriterEvent::Tick`]; none without work.
    pub fn next_tick(&self, now: Timestamp) -> Option<Timestamp> {
        let work = self.work.as_ref()?;
        let due = match work.step {
            Step::Pausing { until } => until.min(work.deadline),
            Step::Reading | Step::Swapping => work.deadline,
        };
        Some(due.max(now + Duration::from_millis(1)))
    }
}

fn newer(
    one: Option<Arc<ConfigurationRecord>>,
    other: Option<Arc<ConfigurationRecord>>,
) -> Option<Arc<ConfigurationRecord>> {
    let generation =
        |record: &Option<Arc<ConfigurationRecord>>| record.as_ref().map(|it| it.generation());
    if generation(&one) >= generation(&other) { one } else { other }
}
