//! Documents, records and a simulated key-value service, shared by the test files.
#![allow(dead_code)]

use std::sync::Arc;

use dahlia_configuration::{
    ChangeId, ChangeOutcome, ChangeProposal, ChangeWriter, ChangeWriterAction, ChangeWriterEvent,
    ConfigurationRecord, ConfigurationSettings, SwapFailure, VersionedValue,
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

pub fn proposal(change: &str, expected: u64, document: &str) -> ChangeProposal {
    ChangeProposal {
        change: ChangeId(change.to_owned()),
        expected: Generation(expected),
        author: "operator".to_owned(),
        document: document.to_owned(),
        repeated: false,
    }
}

/// A simulated key-value service with the configuration's key only.
#[derive(Default)]
pub struct FakeKeyValueService {
    /// All values that the key has had. The version of a value is its position, from 1.
    pub values: Vec<Vec<u8>>,
    /// Whether swaps ignore the expected version, like a service without compare-and-swap.
    pub ignores_version: bool,
}

impl FakeKeyValueService {
    pub fn read(&self) -> Option<VersionedValue> {
        let bytes = self.values.last()?.clone();
        Some(VersionedValue { version: self.values.len() as u64, bytes })
    }

    /// Reads a value that is the given number of versions old.
    pub fn read_stale(&self, versions_behind: usize) -> Option<VersionedValue> {
        let version =
            self.values.len().checked_sub(versions_behind).filter(|version| *version > 0)?;
        Some(VersionedValue { version: version as u64, bytes: self.values[version - 1].clone() })
    }

    pub fn swap(&mut self, expected: Option<u64>, value: Vec<u8>) -> Result<(), SwapFailure> {
        if !self.ignores_version && expected.unwrap_or(0) != self.values.len() as u64 {
            return Err(SwapFailure::Conflict);
        }
        self.values.push(value);
        Ok(())
    }

    /// Writes `change` without faults and returns its record.
    pub fn accept(&mut self, change: &str, document: &str) -> Arc<ConfigurationRecord> {
        let mut writer = ChangeWriter::new(ConfigurationSettings::default());
        let newest = self.values.last().map(|bytes| {
            ConfigurationRecord::decode(bytes).expect("accepted records can be decoded")
        });
        let expected = newest.map_or(0, |record| record.generation().0);
        let proposed = ChangeWriterEvent::Proposed(proposal(change, expected, document));
        let mut actions = writer.handle(proposed, at(0));
        loop {
            let event = match actions.pop().expect("a change writer with a pending change acts") {
                ChangeWriterAction::Read => ChangeWriterEvent::Read(Ok(self.read())),
                ChangeWriterAction::Swap { expected, value } => {
                    ChangeWriterEvent::Swapped(self.swap(expected, value))
                }
                ChangeWriterAction::Answer(_, ChangeOutcome::Accepted(record)) => return record,
                ChangeWriterAction::Answer(_, outcome) => panic!("{outcome:?}"),
            };
            actions = writer.handle(event, at(0));
        }
    }
}
