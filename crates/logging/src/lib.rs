//! Structured logs of a process: one line per event, in bounded memory, without blocking the
//! threads that log.
//!
//! ```text
//! 1774620332.027 INFO  relay: Sent to a server. request=9c41d07b server=i-7f3a basis=affinity
//! ```
//!
//! A line has the Unix time in seconds, the level, the part of the process that logs (the target of
//! the record), a short sentence, and fields `name=value`. A value with blanks, quotes or `=` is
//! written in double quotes with the escapes of Rust. The field `request` identifies the caller's
//! request and is in all lines on decisions about it, in every process.
//!
//! Lines go through a bounded buffer to a thread that writes them. Lines that do not fit are
//! dropped and counted: lines of successful requests first, failures last ([`LinePriority`]). A
//! reader that stops reading, a closed pipe or a full disk therefore does not affect the rest of
//! the process.
//!
//! | module | job |
//! |---|---|
//! | `settings` | destination, levels and limits of the logs |
//! | `line` | formats a record as a line |
//! | `sampling` | selects the requests whose routine lines are logged when there are too many |
//! | `buffer` | the bounded buffer |
//! | `writer` | the thread that writes |
//! | `install` | installs the process's logger |

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
