//! Names that callers give to programs and turns. A tenant's name is part of each: a name cannot be
//! made without saying whose it is, so that no tenant can name what belongs to another.
//!
//! In their encoded form they are one text, which is the caller's alone where there are no tenants.
//! Logs of replica groups that were written before there were tenants hold names of this form.

use std::fmt;

use dahlia_types::TenantId;
use serde::{Deserialize, Serialize};

/// Stands between tenant and name. Names come from headers, which cannot hold it.
const SEPARATOR: char = '\0';

fn scoped(tenant: Option<&TenantId>, name: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{SEPARATOR}{name}"),
        None => name.to_owned(),
    }
}

/// The caller's own part of a scoped text.
fn own_part(text: &str) -> &str {
    text.rsplit_once(SEPARATOR).map_or(text, |(_, name)| name)
}

macro_rules! caller_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// A name as a tenant's caller gives it; of no tenant where callers need no key.
            pub fn new(tenant: Option<&TenantId>, name: &str) -> Self {
                Self(scoped(tenant, name))
            }

            /// The name alone, as the caller knows it.
            pub fn name(&self) -> &str {
                own_part(&self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.name())
            }
        }
    };
}

caller_name!(
    /// A caller's name for a program; unique for its tenant, at most 128 bytes.
    ProgramName
);
caller_name!(
    /// A caller's name for one try of one turn; unique for its tenant, at most 128 bytes.
    TurnId
);

impl ProgramName {
    /// Tenant and name.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}
