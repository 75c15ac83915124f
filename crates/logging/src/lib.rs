//! Logs of a process: one line an event, structured, bounded, and never in the way of the work.
//!
//! ```text
//! 1774620332.027 INFO  relay: Sent to a server. request=9c41d07b server=i-7f3a basis=affinity
//! ```
//!
//! A line has the time of day in seconds, the level, the part that speaks (a fixed prefix), a short
//! sentence, and fields `name=value`. A value with blanks, quotes or `=` stands in double quotes
//! with the escapes of Rust. The field `request` names the caller's request; all decisions on it
//! carry it, in every process.
//!
//! Lines go through a bounded buffer to a thread that writes them. What does not fit is dropped and
//! counted: lines of requests that go well first, failures last ([`LinePriority`]). A reader that stops
//! reading, a closed pipe or a full disk therefore changes nothing for the rest of the process.
//!
//! | module | job |
//! |---|---|
//! | `settings` | where logs go and how much is said |
//! | `line` | how a record becomes a line |
//! | `sampling` | of which requests the plain lines are kept when there are too many |
//! | `buffer` | the bounded buffer |
//! | `writer` | the thread that writes |
//! | `install` | puts them together as the process's logger |

mod buffer;
mod install;
mod line;
mod sampling;
mod settings;
mod writer;

pub use buffer::{DrainedLines, LineBuffer, LinePriority};
pub use install::{dropped_lines, flush, install};
pub use line::{REQUEST_FIELD, format_line};
pub use sampling::RequestSampling;
pub use settings::{LogSettings, LoggingError};
pub use writer::LineWriter;
