//! Documents, records and a modelled key-value service, shared by the test files.
#![allow(dead_code)]

use std::sync::Arc;

use dahlia_configuration::{
    AcceptAction, AcceptEvent, Accepter, ChangeId, Proposal, Record, ServiceRecord, Settings,
    SwapFailure, Verdict,
};
use dahlia_types::{Duration, Generation, Timestamp};

pub const DOCUMENT: &str = r#"
[models."agent-8b/fault-codes@3"]
base = "agent-8b"
adapter = "fault-codes"
version = "3"
engines = ["e1", "e2", "e3"]
weight_bytes = 1000

[engines.e1]
[engines.e2]
[engines.e3]
"#;

pub fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

pub fn proposal(change: &str, expected: u64, document: &str) -> Proposal {
    Proposal {
        change: ChangeId(change.to_owned()),
        expected: Generation(expected),
        author: "operator".to_owned(),
        document: document.to_owned(),
        repeated: false,
    }
}

/// The key of the configuration in a key-value service.
#[derive(Default)]
pub struct Service {
    /// All values that the key ever had; the version is the position from 1.
    pub values: Vec<Vec<u8>>,
    /// Ignores the expected version, as a service without compare-and-swap.
    pub ignores_version: bool,
}

impl Service {
    pub fn read(&self) -> Option<ServiceRecord> {
        let bytes = self.values.last()?.clone();
        Some(ServiceRecord { version: self.values.len() as u64, bytes })
    }

    /// An answer with older data.
    pub fn read_older(&self, behind: usize) -> Option<ServiceRecord> {
        let version = self.values.len().checked_sub(behind).filter(|version| *version > 0)?;
        Some(ServiceRecord { version: version as u64, bytes: self.values[version - 1].clone() })
    }

    pub fn swap(&mut self, expected: Option<u64>, value: Vec<u8>) -> Result<(), SwapFailure> {
        if !self.ignores_version && expected.unwrap_or(0) != self.values.len() as u64 {
            return Err(SwapFailure::Conflict);
        }
        self.values.push(value);
        Ok(())
    }

    /// Accepts `change` without any fault and gives the record.
    pub fn accept(&mut self, change: &str, document: &str) -> Arc<Record> {
        let mut accepter = Accepter::new(Settings::default());
        let newest = self.values.last().map(|bytes| Record::decode(bytes).expect("accepted"));
        let expected = newest.map_or(0, |record| record.generation().0);
        let proposed = AcceptEvent::Proposed(proposal(change, expected, document));
        let mut actions = accepter.handle(proposed, at(0));
        loop {
            let event = match actions.pop().expect("an accepter with work acts") {
                AcceptAction::Read => AcceptEvent::Read(Ok(self.read())),
                AcceptAction::Swap { expected, value } => {
                    AcceptEvent::Swapped(self.swap(expected, value))
                }
                AcceptAction::Finished(_, Verdict::Accepted(record)) => return record,
                AcceptAction::Finished(_, verdict) => panic!("{verdict:?}"),
            };
            actions = accepter.handle(event, at(0));
        }
    }
}
