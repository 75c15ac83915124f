//! Step 3: identifies the tenant of a request, and applies the tenant's rate limit.
//!
//! A caller authenticates with a key of its tenant. The key is not passed on: servers, ledgers and
//! keepers of limits get the tenant's name.

use dahlia_ledger::ProgramName;
use dahlia_limits::{ProgramKey, ProgramRequest, VersionedLimit};
use dahlia_types::{Duration, TenantId};
use tokio::time::Instant;

use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::request::RequestHead;
use crate::router::{RouteMatch, hash_key};
use crate::{LimitReached, TenantLimits};

/// A request waits for its permit at most its remaining time divided by this. That is as long as
/// its caller would wait before a retry, so the wait costs the caller nothing and saves the
/// connection and the position in line.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Finds the tenant of a request by its key, and removes the key from the head.
///
/// # Errors
/// The route requires a key, and no tenant has the caller's key.
pub(crate) fn authenticate<L>(
    shared: &Shared<L>,
    matched: &mut RouteMatch,
    head: &mut RequestHead,
) -> Result<(), Refusal> {
    if !matched.has_tenants() {
        return Ok(());
    }
    let key = head.key_digest(&shared.headers);
    head.remove_key();
    let is_known = key.is_some_and(|key| matched.find_tenant(key));
    if is_known || matched.route().is_open {
        return Ok(());
    }
    Err(Refusal::UnknownKey { scheme: shared.headers.key_scheme })
}

/// A permit for one request of a tenant with a rate limit. It counts until it is refunded.
pub(crate) struct Permit {
    tenant: TenantId,
    program: Option<ProgramKey>,
}

impl Permit {
    /// Acquires a permit, if the request's tenant has a limit.
    ///
    /// # Errors
    /// The tenant exceeds its limit.
    pub(crate) async fn acquire<L: TenantLimits>(
        shared: &Shared<L>,
        matched: &RouteMatch,
        head: &RequestHead,
        deadline: Instant,
    ) -> Result<Option<Self>, Refusal> {
        let Some(tenant) = matched.tenant() else { return Ok(None) };
        let Some(limit) = tenant.limit else { return Ok(None) };
        let versioned_limit = VersionedLimit { generation: matched.generation(), limit };
        let program = head.program(&shared.headers, Some(&tenant.name))?;
        let program = program.as_ref().map(program_key);
        let continues = head.previous_turn(&shared.headers, Some(&tenant.name))?.is_some();
        let request = program.map(|program| ProgramRequest { program, continues });
        let max_wait = deadline.saturating_duration_since(Instant::now()) / MAX_WAIT_DIVISOR;
        let max_wait = Duration::from_micros(max_wait.as_micros() as u64);
        match shared.ledger.admit(&tenant.name, versioned_limit, request, max_wait).await {
            Ok(()) => Ok(Some(Self { tenant: tenant.name.clone(), program })),
            Err(LimitReached { retry_after }) => Err(Refusal::LimitReached { retry_after }),
        }
    }

    /// Takes the permit back, because the request has not run and never will.
    pub(crate) fn refund<L: TenantLimits>(self, shared: &Shared<L>) {
        shared.ledger.refund(&self.tenant, self.program);
    }
}

fn program_key(program: &ProgramName) -> ProgramKey {
    ProgramKey(hash_key(program.name().as_bytes()))
}
