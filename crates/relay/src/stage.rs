//! Tracks whether a request belongs to an active program. The work already spent on such a program
//! is lost if the request is refused, so it goes before requests of new programs.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use dahlia_admission::Stage;

use crate::request::RequestHead;
use crate::router::key_of;
use crate::{HeaderNames, Tenant};

/// The most programs that are remembered; they take some hundred kilobytes. The programs that were
/// added first are forgotten first, and then count as new.
const MOST_REMEMBERED: usize = 4_096;

/// The stages of programs that this gateway has seen, by hashes of their tenants and names.
#[derive(Debug, Default)]
pub(crate) struct ProgramsUnderWay(Mutex<Programs>);

#[derive(Debug, Default)]
struct Programs {
    stages: HashMap<u64, Stage>,
    /// Oldest first.
    order: VecDeque<u64>,
}

impl ProgramsUnderWay {
    /// The stage of a request, on a stream or another route. A request that is no stream and names
    /// a program was sent on behalf of one of the program's turns.
    pub(crate) fn stage(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
        is_stream: bool,
    ) -> Stage {
        let Some(program) = key(head, names, tenant) else { return Stage::First };
        if !is_stream || head.text(&names.previous_turn).is_some() {
            return Stage::UnderWay;
        }
        let programs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        programs.stages.get(&program).copied().unwrap_or(Stage::First)
    }

    /// Records that a turn of the program is being answered.
    pub(crate) fn answered(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
    ) {
        self.note(key(head, names, tenant), Stage::UnderWay);
    }

    /// Records that a program that has not started was told to retry.
    pub(crate) fn told_to_come_back(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
    ) {
        self.note(key(head, names, tenant), Stage::Returning);
    }

    fn note(&self, program: Option<u64>, stage: Stage) {
        let Some(program) = program else { return };
        let mut programs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = programs.stages.get(&program).copied();
        if before.is_some_and(Stage::is_under_way) {
            return;
        }
        programs.stages.insert(program, stage);
        if before.is_some() {
            return;
        }
        programs.order.push_back(program);
        if programs.order.len() > MOST_REMEMBERED
            && let Some(oldest) = programs.order.pop_front()
        {
            programs.stages.remove(&oldest);
        }
    }
}

/// Hashes a program with its tenant, since programs of two tenants may have the same name.
fn key(head: &RequestHead, names: &HeaderNames, tenant: Option<&Tenant>) -> Option<u64> {
    let program = head.text(&names.program)?;
    let tenant = tenant.map_or("", |tenant| tenant.name.as_str());
    // Headers cannot contain a line feed, so it separates tenant and program.
    Some(key_of(format!("{tenant}\n{program}").as_bytes()))
}
