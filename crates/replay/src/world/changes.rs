//! Operators who change the configuration, and race each other.

use dahlia_configuration::{ChangeId, ChangeOutcome, ChangeProposal};
use dahlia_types::{Generation, ProgramId};

use super::World;
use super::caller::{Change, Doing};
use super::observe::Observation;
use super::settings::document;
use crate::trace::ProgramScript;

/// Documents of changes differ by this limit and up.
const FIRST_LIMIT: u32 = 2_000;

impl World {
    /// An operator begins a change, made from the generation that it last heard of.
    pub(crate) fn begin_change(&mut self, name: String, gateway: u32) {
        let expected = self.newest_accepted().max(1);
        let open_calls = FIRST_LIMIT + self.callers.len() as u32;
        let change = Change { name, open_calls, expected, repeated: false, remade: 0 };
        let script = ProgramScript { gateway, ..ProgramScript::default() };
        let doing = Doing::Configure(change);
        let index = self.add_caller(script, ProgramId::default(), doing);
        self.open_run(index, 0, gateway);
    }

    fn newest_accepted(&self) -> u64 {
        let accepted = self.seen.seen.iter().filter_map(|seen| match &seen.what {
            Observation::ChangeAccepted { generation, .. } => Some(*generation),
            _ => None,
        });
        accepted.max().unwrap_or(0)
    }

    pub(crate) fn proposal_of(&self, change: &Change) -> ChangeProposal {
        ChangeProposal {
            change: ChangeId(format!("{}-{}", change.name, change.remade)),
            expected: Generation(change.expected),
            author: "operator".to_owned(),
            document: document(&self.trace.deployment, change.open_calls),
            repeated: change.repeated,
        }
    }

    /// An operator learns what became of its change.
    pub(crate) fn change_decided(&mut self, index: usize, number: u32, verdict: ChangeOutcome) {
        let now = self.now;
        let Doing::Configure(change) = &mut self.callers[index].doing else { return };
        let name = change.name.clone();
        let accepted = match verdict {
            ChangeOutcome::Accepted(record) => Some(record.generation()),
            ChangeOutcome::AcceptedEarlier(summary) => Some(summary.generation),
            ChangeOutcome::Conflict { newest, .. } => {
                // Made anew from the generation that it lost to: another change.
                change.expected = newest.0;
                change.remade += 1;
                change.repeated = false;
                None
            }
            ChangeOutcome::Unknown => {
                change.repeated = true;
                None
            }
            ChangeOutcome::Busy | ChangeOutcome::Unavailable => None,
            ChangeOutcome::Invalid(_) | ChangeOutcome::IdentityReused(_) => {
                let what = format!("the change {name} was refused for good");
                self.seen.note(now, Observation::Unfinished { what });
                self.callers[index].done = true;
                return;
            }
        };
        match accepted {
            Some(generation) => {
                let generation = generation.0;
                let accepted = Observation::ChangeAccepted { change: name, generation };
                self.seen.note(now, accepted);
                self.end_run(index, number);
                self.callers[index].done = true;
            }
            None => self.try_elsewhere(index, number),
        }
    }
}
