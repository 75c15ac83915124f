//! Which requests wait at a gateway while no server has a place for them, who goes next, and who is
//! refused. No I/O: `(state, event, now)` in, a decision out.
//!
//! Each service has a queue of its own at each gateway. It is bounded in number and bytes, and nobody
//! stays in it for longer than leaves time to be served elsewhere. Its order is
//!
//! 1. the rank of the request's route,
//! 2. tenants within their share of programs, then those far beyond it,
//! 3. programs under way, then those that were told to come back, then new ones,
//! 4. whether it can still be in time,
//! 5. the tenant that has had the least, in tokens (start-time fair queueing: Goyal, Vin, Cheng, 1996),
//! 6. the earliest due.
//!
//! | module | job |
//! |---|---|
//! | `queued_request` | a request that may not go yet |
//! | `queue` | those that wait for one service |
//! | `fair_share` | which tenant is next |
//! | `programs` | how many programs may begin |
//! | `drain` | how fast a queue empties |
//! | `returns` | when those that are refused come back |
//! | `settings` | bounds |

mod drain;
mod fair_share;
mod programs;
mod queue;
mod queued_request;
mod returns;
mod settings;

pub use queue::{AdmissionQueue, QueueEntry, QueueRejection};
pub use queued_request::{QueuedRequest, Stage, TenantKey, Ticket};
pub use settings::WaitingSettings;
