//! A tenant's rate limit, kept by all gateways together. No I/O: `(state, event, now)` in, a verdict
//! or a message out.
//!
//! Each tenant has a *keeper*: one daemon that counts the tenant's requests over the whole system: in a
//! sliding window where the deployment names one, else in a token bucket. While the bucket is well filled, gateways admit without asking and report what they
//! admitted a few times a second, so a request waits for nobody. What the keeper does not know of yet
//! is bounded by the time between reports (the idea of bounded ignorance: Krishnakumar and Bernstein,
//! "Bounded Ignorance", ACM TODS 19(4), 1994). Once the bucket is less than three quarters full, the
//! keeper says so in its answers, and gateways ask before they admit.
//!
//! The keeper knows the programs under way. Where the limit leaves too little for all, it lets as many
//! programs begin as it can serve to their end: a program that loses its seventh turn has wasted six.
//!
//! | module | job |
//! |---|---|
//! | `rate` | a limit, checked |
//! | `bucket` | a token bucket that may go below zero |
//! | `window` | a count over a sliding window |
//! | `tolerance` | how much a window allows |
//! | `permits` | one of the two, as the deployment is set |
//! | `message` | what gateways and keepers say to each other |
//! | `keeper` | counts a tenant's requests and decides what is asked |
//! | `kept` | one tenant's limit at its keeper: which request may pass when |
//! | `unheard` | what gateways may let pass that the keeper does not hear of |
//! | `programs` | programs under way, and what a program needs |
//! | `gateway` | admits, reports and asks |
//! | `own` | what it lets pass without the keeper |
//! | `history` | what a gateway tells a new keeper |
//! | `memory` | what nobody can tell it any more |
//! | `settings` | times and shares, and where they come from |

mod bucket;
mod gateway;
mod history;
mod keeper;
mod kept;
mod memory;
mod message;
mod own;
mod permits;
mod programs;
mod rate;
mod settings;
mod tolerance;
mod unheard;
mod window;

pub use gateway::{Admission, KeeperAnswer, LimitGateway};
pub use keeper::LimitKeeper;
pub use message::{
    DelayedRequest, KeeperTerm, LimitCommand, LimitReply, PastRequests, ProgramKey, TenantUsage,
    UsageReport, Verdict, VersionedLimit,
};
pub use own::UNREACHABLE_RESERVATION_TIME;
pub use rate::{InvalidRate, RateLimit};
pub use settings::LimitSettings;
pub(crate) use tolerance::Tolerance;
