//! The clients of ledgers and of rate limits behind the traits that a relay uses.

use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_limits::{ProgramKey, ProgramRequest, VersionedLimit};
use dahlia_relay::{LedgerUnavailable, LimitReached, TenantLimits, TurnLedger};
use dahlia_types::{Duration, TenantId};

use crate::ledger_client::LedgerClient;
use crate::limit_client::LimitClient;

/// Clients of the owners of replica groups. Cheap to clone.
#[derive(Clone)]
pub struct GroupServices {
    /// Client of the ledgers of turns.
    pub ledger: LedgerClient,
    /// Client of the keepers of limits.
    pub limits: LimitClient,
}

impl TurnLedger for GroupServices {
    async fn submit(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        self.ledger.submit(command, patience).await
    }

    async fn submit_for_retained_turn(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerUnavailable> {
        self.ledger.submit_for_retained_turn(command, patience).await
    }
}

impl TenantLimits for GroupServices {
    async fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        request: Option<ProgramRequest>,
        most_wait: Duration,
    ) -> Result<(), LimitReached> {
        self.limits.admit(tenant, limit, request, most_wait).await
    }

    fn refund(&self, tenant: &TenantId, program: Option<ProgramKey>) {
        self.limits.refund(tenant, program);
    }
}
