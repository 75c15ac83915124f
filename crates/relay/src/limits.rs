//! The interface of the relay to the keepers of tenants' rate limits. The daemon implements it with
//! the owners of replica groups.

use std::future::Future;

use dahlia_limits::{ProgramKey, ProgramRequest, VersionedLimit};
use dahlia_types::{Duration, TenantId};
use snafu::Snafu;

/// A tenant exceeds its rate limit. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the tenant's limit is reached"))]
pub struct LimitReached {
    /// When the limit will admit the request.
    pub retry_after: Duration,
}

/// The rate limits of all tenants, across all gateways.
pub trait TenantLimits: Clone + Send + Sync + 'static {
    /// Counts one more request of a tenant. While the tenant is near its limit, this asks a keeper,
    /// and delays the request if it can be admitted within `max_wait`.
    ///
    /// # Errors
    /// [`LimitReached`]; the request is not counted.
    fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramRequest>,
        max_wait: Duration,
    ) -> impl Future<Output = Result<(), LimitReached>> + Send;

    /// Takes back a counted request that has not run and never will.
    fn refund(&self, tenant: &TenantId, program: Option<ProgramKey>);
}
