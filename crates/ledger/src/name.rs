//! Names that callers give to programs and turns. Each name includes its tenant and cannot be
//! created without stating it, so that no tenant can refer to what belongs to another.
//!
//! A name is encoded as a single text, which is just the caller's name if there is no tenant. Logs
//! of replica groups that were written before tenants existed hold names of this form.

use std::fmt;

use dahlia_types::TenantId;
use serde::{Deserialize, Serialize};

/// Separates tenant and name. Names come from headers, which cannot contain it.
const SEPARATOR: char = '\0';

fn scoped(tenant: Option<&TenantId>, name: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{SEPARATOR}{name}"),
        None => name.to_owned(),
    }
}

/// The caller's name without its tenant.
fn unscoped_name(text: &str) -> &str {
    text.rsplit_once(SEPARATOR).map_or(text, |(_, name)| name)
}

macro_rules! caller_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// A name given by a caller of `tenant`; there is no tenant if callers need no key.
            pub fn new(tenant: Option<&TenantId>, name: &str) -> Self {
                Self(scoped(tenant, name))
            }

            /// The name as the caller gave it, without the tenant.
            pub fn name(&self) -> &str {
                unscoped_name(&self.0)
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
    /// A caller's name for a program: unique within its tenant, at most 128 bytes.
    ProgramName
);
caller_name!(
    /// A caller's name for one attempt at one turn: unique within its tenant, at most 128 bytes.
    TurnId
);

impl ProgramName {
    /// The bytes of tenant and name.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl TurnId {
    /// The turn that holds the register of a program.
    pub(crate) fn register_of(program: &ProgramName) -> Self {
        Self::of_system("register", &program.0)
    }

    /// A turn that renews a register.
    pub(crate) fn renewal(nonce: u64) -> Self {
        Self::of_system("renewal", &format!("{nonce:016x}"))
    }

    /// The name under which this turn is charged in a ledger that does not have its text. The text may
    /// come to that ledger later, under the turn's own name.
    pub fn charge(&self) -> Self {
        Self::of_system("charge", &self.0)
    }

    /// A turn that belongs to the system. The control character keeps it apart from callers' names, which
    /// come from headers.
    fn of_system(kind: &str, name: &str) -> Self {
        Self(format!("\u{1}{kind}{SEPARATOR}{name}"))
    }
}
