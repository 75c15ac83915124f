//! Rate limits of tenants, enforced by all gateways together. The crate does no I/O: it takes a state,
//! an event and the current time, and returns a verdict or a message.
//!
//! Each tenant has a *keeper*: one daemon that counts the tenant's requests over the whole system, in a
//! sliding window if the deployment sets one, else in a token bucket. While permits are plentiful,
//! gateways admit requests without asking and report them a few times a second, so no request waits.
//! The interval between reports bounds what the keeper does not know yet (bounded ignorance:
//! Krishnakumar and Bernstein, "Bounded Ignorance", ACM TODS 19(4), 1994). Once the bucket is less than
//! three quarters full, the keeper says so in its answers, and gateways ask before they admit.
//!
//! The keeper knows the active programs. Where the limit is too low for all of them, it lets only as
//! many programs start as it can serve to their end: a program that is refused its seventh turn has
//! wasted six.
//!
//! | module | contents |
//! |---|---|
//! | `rate` | a validated limit |
//! | `bucket` | a token bucket that may go below zero |
//! | `window` | a count over a sliding window |
//! | `tolerance` | how many requests a window allows |
//! | `permits` | either of the two counters, as the deployment is configured |
//! | `message` | messages between gateways and keepers |
//! | `keeper` | counts tenants' requests and answers gateways that ask |
//! | `tenant_limit` | one tenant's limit at its keeper: which request may pass when |
//! | `reservation` | permits that the keeper reserves for gateways it cannot reach |
//! | `programs` | active programs, and how many requests a program needs |
//! | `gateway` | admits, reports and asks |
//! | `local_quota` | what a gateway admits without the keeper |
//! | `return_times` | when a gateway without the keeper told refused programs to come back |
//! | `handover` | what gateways tell a keeper of programs that it has not seen |
//! | `history` | what a gateway reports to a new keeper |
//! | `lost_history` | what no gateway can report because of restarts |
//! | `settings` | intervals, timeouts and shares |

mod bucket;
mod gateway;
mod handover;
mod history;
mod keeper;
mod local_quota;
mod lost_history;
mod message;
mod permits;
mod programs;
mod rate;
mod reservation;
mod return_times;
mod settings;
mod tenant_limit;
mod tolerance;
mod window;

pub use gateway::{Admission, KeeperAnswer, LimitGateway};
pub use handover::{ActiveProgramReport, ProgramHandover, ProgramMeans, ProgramProgress};
pub use keeper::LimitKeeper;
pub use local_quota::UNREACHABLE_RESERVATION_TIME;
pub use message::{
    DelayedRequest, KeeperTerm, LimitCommand, LimitReply, PastRequests, ProgramKey, ProgramRequest,
    TenantUsage, UsageReport, Verdict, VersionedLimit,
};
pub use rate::{InvalidRate, RateLimit};
pub use settings::LimitSettings;
pub(crate) use tolerance::Tolerance;
