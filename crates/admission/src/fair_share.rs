//! Which tenant is next, by start-time fair queueing.
//!
//! A tenant's tag is the virtual time at which its requests so far are paid for. The tenant with the
//! lowest tag is next. Virtual time is the tag of the last request that went. So an idle tenant saves up
//! nothing, and a tenant that sends many times its share delays only itself.

use std::collections::BTreeMap;

use dahlia_types::Tokens;

use crate::TenantKey;

/// The tags of tenants since the queue was last empty.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairShares {
    virtual_time: u64,
    tags: BTreeMap<TenantKey, u64>,
}

impl FairShares {
    /// Returns the virtual time at which a tenant's next request would start.
    pub(crate) fn start(&self, tenant: TenantKey) -> u64 {
        self.tags.get(&tenant).copied().unwrap_or(0).max(self.virtual_time)
    }

    /// Charges a tenant for a request that goes.
    pub(crate) fn charge(&mut self, tenant: TenantKey, cost: Tokens) {
        let start = self.start(tenant);
        self.virtual_time = start;
        self.tags.insert(tenant, start.saturating_add(cost.0.max(1)));
    }

    /// Resets all tags. Used when the queue is empty, so that there is nothing to share.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
