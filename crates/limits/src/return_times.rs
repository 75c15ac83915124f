//! When a gateway that decides without the keeper told refused programs to come back.
//!
//! Programs that are refused together would otherwise all be told the time of the next permit, and all but
//! one of them would be refused again.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::ProgramKey;

/// How late a program may come back and still go before others.
const MAX_LATE_RETURN: Duration = Duration::from_millis(500);

/// Return times of programs that were refused while under way. A permit will be there for each.
#[derive(Debug, Default)]
pub(crate) struct ReturnTimes {
    by_program: BTreeMap<ProgramKey, Timestamp>,
}

impl ReturnTimes {
    /// Forgets all times: the keeper decides again.
    pub(crate) fn clear(&mut self) {
        self.by_program.clear();
    }

    /// Whether a program was told a time that is not long past.
    pub(crate) fn contains(&self, program: ProgramKey) -> bool {
        self.by_program.contains_key(&program)
    }

    /// Removes a program whose request passes.
    pub(crate) fn remove(&mut self, program: ProgramKey) {
        self.by_program.remove(&program);
    }

    /// Records when a refused program is to come back. A program that has a time keeps it.
    pub(crate) fn assign(&mut self, program: ProgramKey, at: Timestamp) {
        self.by_program.entry(program).or_insert(at);
    }

    /// Returns how many programs go before a request of `program`: those with an earlier time, or all if it
    /// has none. A program that is too late goes before nobody.
    pub(crate) fn count_before(&mut self, program: Option<ProgramKey>, now: Timestamp) -> usize {
        self.by_program.retain(|_, at| now.since(*at) < MAX_LATE_RETURN);
        let own = program.and_then(|program| self.by_program.get(&program)).copied();
        let times = self.by_program.iter();
        let earlier = times
            .filter(|(other, at)| Some(**other) != program && own.is_none_or(|own| **at < own));
        earlier.count()
    }
}
