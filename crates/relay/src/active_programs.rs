//! Tracks whether a request belongs to an active program. The work already spent on such a program
//! is lost if the request is refused, so it goes before requests of new programs.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use dahlia_admission::Stage;

use crate::request::RequestHead;
use crate::router::hash_key;
use crate::{HeaderNames, Tenant};

/// The most programs that are remembered; they take some hundred kilobytes. The programs that were
/// added first are forgotten first, and then count as new.
const MAX_REMEMBERED: usize = 4_096;

/// The stages of programs that this gateway has seen, by hashes of their tenants and names.
#[derive(Debug, Default)]
pub(crate) struct ActivePrograms(Mutex<Programs>);

#[derive(Debug, Default)]
struct Programs {
    stages: HashMap<u64, Stage>,
    /// Oldest first.
    order: VecDeque<u64>,
}

impl ActivePrograms {
    /// The stage of a request's program. A request outside a stream that names a program was sent
    /// on behalf of one of the program's turns, so that program is active.
    pub(crate) fn stage(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
        is_stream: bool,
    ) -> Stage {
        let Some(program) = program_hash(head, names, tenant) else { return Stage::First };
        if !is_stream || head.text(&names.previous_turn).is_some() {
            return Stage::UnderWay;
        }
        let programs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        programs.stages.get(&program).copied().unwrap_or(Stage::First)
    }

    /// Records that a turn of the program is being answered.
    pub(crate) fn record_answer(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
    ) {
        self.record(program_hash(head, names, tenant), Stage::UnderWay);
    }

    /// Records that a program that has not started was told to retry.
    pub(crate) fn record_retry_later(
        &self,
        head: &RequestHead,
        names: &HeaderNames,
        tenant: Option<&Tenant>,
    ) {
        self.record(program_hash(head, names, tenant), Stage::Returning);
    }

    fn record(&self, program: Option<u64>, stage: Stage) {
        let Some(program) = program else { return };
        let mut programs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = programs.stages.get(&program).copied();
        if previous.is_some_and(Stage::is_under_way) {
            return;
        }
        programs.stages.insert(program, stage);
        if previous.is_some() {
            return;
        }
        programs.order.push_back(program);
        if programs.order.len() > MAX_REMEMBERED
            && let Some(oldest) = programs.order.pop_front()
        {
            programs.stages.remove(&oldest);
        }
    }
}

/// Hashes a program with its tenant, since programs of two tenants may have the same name.
fn program_hash(head: &RequestHead, names: &HeaderNames, tenant: Option<&Tenant>) -> Option<u64> {
    let program = head.text(&names.program)?;
    let tenant = tenant.map_or("", |tenant| tenant.name.as_str());
    // Headers cannot contain a line feed, so it separates tenant and program.
    Some(hash_key(format!("{tenant}\n{program}").as_bytes()))
}
