//! What the relay asks of the keepers of tenants' rate limits. The daemon answers by the owners of
//! replica groups.

use std::future::Future;

use dahlia_limits::{ProgramKey, VersionedLimit};
use dahlia_types::{Duration, TenantId};
use snafu::Snafu;

/// A tenant sends more than it may. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the tenant's limit is reached"))]
pub struct LimitReached {
    /// When there will be room for it.
    pub retry_after: Duration,
}

/// The limits of all tenants, over all gateways together.
pub trait TenantLimits: Clone + Send + Sync + 'static {
    /// Counts one more request of a tenant. While the limit is near, it asks a keeper, and waits for
    /// the request's turn if that comes soon enough.
    ///
    /// # Errors
    /// [`LimitReached`]; then it is not counted.
    fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        max_wait: Duration,
    ) -> impl Future<Output = Result<(), LimitReached>> + Send;

    /// A request that was counted has not run and never will.
    fn refund(&self, tenant: &TenantId, program: Option<ProgramKey>);
}
