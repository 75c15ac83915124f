//! A ledger with scripted replies that records its commands.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use dahlia_ledger::{CloseTurn, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, TurnEnd};
use dahlia_limits::{ProgramKey, ProgramRequest, VersionedLimit};
use dahlia_relay::{LedgerUnavailable, LimitReached, TenantLimits, TurnLedger};
use dahlia_types::{Duration, TenantId};
use tokio::sync::watch;

type Reply = Result<LedgerReply, LedgerUnavailable>;

/// Opens turns with an empty history and closes all turns, unless other replies are queued.
#[derive(Clone)]
pub struct TestLedger {
    commands: Arc<Mutex<Vec<LedgerCommand>>>,
    opens: Arc<Mutex<VecDeque<Reply>>>,
    closes: Arc<Mutex<VecDeque<Reply>>>,
    answers_opens: Arc<watch::Sender<bool>>,
    answers_closes: Arc<watch::Sender<bool>>,
    admissions: Arc<Mutex<Vec<(TenantId, VersionedLimit)>>>,
    refunded: Arc<Mutex<Vec<TenantId>>>,
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
            refunded: Arc::default(),
            limits: Arc::default(),
        }
    }
}

impl TestLedger {
    pub fn queue_open_reply(&self, reply: Reply) {
        self.opens.lock().expect("the lock is not poisoned").push_back(reply);
    }

    pub fn queue_close_reply(&self, reply: Reply) {
        self.closes.lock().expect("the lock is not poisoned").push_back(reply);
    }

    /// Sets whether commands that open turns get their reply, or wait until this is set.
    pub fn set_answers_opens(&self, answers: bool) {
        self.answers_opens.send_replace(answers);
    }

    /// Sets whether commands that close turns get their reply, or wait until this is set.
    pub fn set_answers_closes(&self, answers: bool) {
        self.answers_closes.send_replace(answers);
    }

    pub fn opened_turns(&self) -> Vec<OpenTurn> {
        let commands = self.commands.lock().expect("the lock is not poisoned");
        let opens = commands.iter().filter_map(|command| match command {
            LedgerCommand::Open(open) => Some(open.clone()),
            _ => None,
        });
        opens.collect()
    }

    pub fn closed_turns(&self) -> Vec<CloseTurn> {
        let commands = self.commands.lock().expect("the lock is not poisoned");
        let closes = commands.iter().filter_map(|command| match command {
            LedgerCommand::Close(close) => Some(close.clone()),
            _ => None,
        });
        closes.collect()
    }

    /// Rejects the next request of a tenant with a rate limit.
    pub fn queue_limit_reached(&self, retry_after: Duration) {
        self.limits
            .lock()
            .expect("the lock is not poisoned")
            .push_back(LimitReached { retry_after });
    }

    /// The requests that were counted against a limit.
    pub fn admissions(&self) -> Vec<(TenantId, VersionedLimit)> {
        self.admissions.lock().expect("the lock is not poisoned").clone()
    }

    /// The tenants of refunded requests.
    pub fn refunded(&self) -> Vec<TenantId> {
        self.refunded.lock().expect("the lock is not poisoned").clone()
    }

    pub fn turn_ends(&self) -> Vec<TurnEnd> {
        self.closed_turns().into_iter().map(|close| close.end).collect()
    }
}

pub fn ledger_unavailable() -> Reply {
    Err(LedgerUnavailable {
        reason: "scripted failure".into(),
        retry_after: None,
        was_not_submitted: false,
    })
}

impl TurnLedger for TestLedger {
    async fn submit(&self, command: LedgerCommand, _timeout: Duration) -> Reply {
        let is_open = matches!(command, LedgerCommand::Open(_));
        self.commands.lock().expect("the lock is not poisoned").push(command);
        if is_open {
            let mut answers = self.answers_opens.subscribe();
            let _ = answers.wait_for(|answers| *answers).await;
            let reply = self.opens.lock().expect("the lock is not poisoned").pop_front();
            return reply.unwrap_or(Ok(LedgerReply::Opened(OpenedTurn::default())));
        }
        let mut answers = self.answers_closes.subscribe();
        let _ = answers.wait_for(|answers| *answers).await;
        let reply = self.closes.lock().expect("the lock is not poisoned").pop_front();
        reply.unwrap_or(Ok(LedgerReply::Closed))
    }
}

impl TenantLimits for TestLedger {
    async fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        _request: Option<ProgramRequest>,
        _max_wait: Duration,
    ) -> Result<(), LimitReached> {
        if let Some(reached) = self.limits.lock().expect("the lock is not poisoned").pop_front() {
            return Err(reached);
        }
        self.admissions.lock().expect("the lock is not poisoned").push((tenant.clone(), limit));
        Ok(())
    }

    fn refund(&self, tenant: &TenantId, _program: Option<ProgramKey>) {
        self.refunded.lock().expect("the lock is not poisoned").push(tenant.clone());
    }
}
