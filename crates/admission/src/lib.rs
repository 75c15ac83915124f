//! Admission of requests while all servers are full: which requests wait at a gateway, which goes next,
//! and which are refused. The crate does no I/O: it takes a state, an event and the current time, and
//! returns a decision.
//!
//! Each service has its own queue at each gateway. The queue is bounded in requests and bytes, and a
//! request stays in it only as long as there is time left to be served elsewhere. Its order is
//!
//! 1. the rank of the request's route,
//! 2. tenants within their share of programs, then those far above it,
//! 3. active programs, then those that were told to come back, then new ones,
//! 4. requests that can still be in time, then those that will be late,
//! 5. the tenant that has been given the least, in tokens (start-time fair queueing: Goyal, Vin, Cheng,
//!    1996),
//! 6. the earliest due time.
//!
//! | module | contents |
//! |---|---|
//! | `queued_request` | a request that may have to wait |
//! | `queue` | requests that wait for one service |
//! | `fair_share` | which tenant is next |
//! | `program_pacing` | how many programs may start |
//! | `drain_rate` | how fast a queue empties |
//! | `returns` | when refused callers come back |
//! | `settings` | bounds |

mod drain_rate;
mod fair_share;
mod program_pacing;
mod queue;
mod queued_request;
mod returns;
mod settings;

pub use queue::{AdmissionQueue, QueueEntry, QueueRejection};
pub use queued_request::{QueuedRequest, Stage, TenantKey, Ticket};
pub use settings::WaitingSettings;
