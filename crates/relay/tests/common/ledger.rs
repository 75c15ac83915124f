//! A ledger that answers as it is told and remembers what it was asked.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use dahlia_ledger::{CloseTurn, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, TurnEnd};
use dahlia_limits::{ProgramKey, VersionedLimit};
use dahlia_relay::{LedgerUnavailable, LimitReached, TenantLimits, TurnLedger};
use dahlia_types::{Duration, TenantId};
use tokio::sync::watch;

type Reply = Result<LedgerReply, LedgerUnavailable>;

/// Opens with an empty history and closes everything, unless told otherwise.
#[derive(Clone)]
pub struct TestLedger {
    commands: Arc<Mutex<Vec<LedgerCommand>>>,
    opens: Arc<Mutex<VecDeque<Reply>>>,
    closes: Arc<Mutex<VecDeque<Reply>>>,
    answers_opens: Arc<watch::Sender<bool>>,
    answers_closes: Arc<watch::Sender<bool>>,
    admissions: Arc<Mutex<Vec<(TenantId, VersionedLimit)>>>,
    given_back: Arc<Mutex<Vec<TenantId>>>,
    limits: Arc<Mutex<VecDeque<LimitReached>>>,
}

impl Default for TestLedger {
    fn default() -> Self {
        Self {
            commands: Arc::default(),
            opens: Arc::default(),
            closes: Arc::default(),
            answers_opens: Arc::new(watch::Sender::new(true)),
            answers_closes: Arc::new(watch::Sender::new(true)),
            admissions: Arc::default(),
            given_back: Arc::default(),
            limits: Arc::default(),
        }
    }
}

impl TestLedger {
    pub fn next_open(&self, reply: Reply) {
        self.opens.lock().expect("whole").push_back(reply);
    }

    pub fn next_close(&self, reply: Reply) {
        self.closes.lock().expect("whole").push_back(reply);
    }

    /// Whether openings get their reply, or wait until this is called again.
    pub fn answer_opens(&self, answers: bool) {
        self.answers_opens.send_replace(answers);
    }

    /// Whether closes get their reply, or wait until this is called again.
    pub fn answer_closes(&self, answers: bool) {
        self.answers_closes.send_replace(answers);
    }

    pub fn opened(&self) -> Vec<OpenTurn> {
        let commands = self.commands.lock().expect("whole");
        let opens = commands.iter().filter_map(|command| match command {
            LedgerCommand::Open(open) => Some(open.clone()),
            _ => None,
        });
        opens.collect()
    }

    pub fn closed(&self) -> Vec<CloseTurn> {
        let commands = self.commands.lock().expect("whole");
        let closes = commands.iter().filter_map(|command| match command {
            LedgerCommand::Close(close) => Some(close.clone()),
            _ => None,
        });
        closes.collect()
    }

    /// The next request of a tenant with a limit is beyond it.
    pub fn next_limit(&self, retry_after: Duration) {
        self.limits.lock().expect("whole").push_back(LimitReached { retry_after });
    }

    /// Requests that were counted against a limit.
    pub fn admissions(&self) -> Vec<(TenantId, VersionedLimit)> {
        self.admissions.lock().expect("whole").clone()
    }

    /// Counted requests that did not run.
    pub fn given_back(&self) -> Vec<TenantId> {
        self.given_back.lock().expect("whole").clone()
    }

    pub fn ends(&self) -> Vec<TurnEnd> {
        self.closed().into_iter().map(|close| close.end).collect()
    }
}

pub fn unavailable() -> Reply {
    Err(LedgerUnavailable { reason: "told so".into(), retry_after: None, was_not_submitted: false })
}

impl TurnLedger for TestLedger {
    async fn submit(&self, command: LedgerCommand, _patience: Duration) -> Reply {
        let is_open = matches!(command, LedgerCommand::Open(_));
        self.commands.lock().expect("whole").push(command);
        if is_open {
            let mut answers = self.answers_opens.subscribe();
            let _ = answers.wait_for(|answers| *answers).await;
            let told = self.opens.lock().expect("whole").pop_front();
            return told.unwrap_or(Ok(LedgerReply::Opened(OpenedTurn::default())));
        }
        let mut answers = self.answers_closes.subscribe();
        let _ = answers.wait_for(|answers| *answers).await;
        let told = self.closes.lock().expect("whole").pop_front();
        told.unwrap_or(Ok(LedgerReply::Closed))
    }
}

impl TenantLimits for TestLedger {
    async fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        _program: Option<ProgramKey>,
        _most_wait: Duration,
    ) -> Result<(), LimitReached> {
        if let Some(reached) = self.limits.lock().expect("whole").pop_front() {
            return Err(reached);
        }
        self.admissions.lock().expect("whole").push((tenant.clone(), limit));
        Ok(())
    }

    fn refund(&self, tenant: &TenantId, _program: Option<ProgramKey>) {
        self.given_back.lock().expect("whole").push(tenant.clone());
    }
}
