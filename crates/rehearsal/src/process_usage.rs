//! Processor time and memory of a process, from the Linux `/proc` file system (proc(5)).

use std::fs;

/// Clock ticks in a second of `/proc/<pid>/stat`. 100 on every Linux that Rust supports
/// (`USER_HZ`, proc(5)).
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of `utime` after the command's closing parenthesis.
const USER_TIME_FIELD: usize = 11;
const BYTES_PER_KIB: u64 = 1_024;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in seconds, user and system.
    pub processor_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage of process `id`; `None` when it has ended.
pub fn read_usage(id: u32) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The command name may contain spaces, so fields are counted from its closing parenthesis.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident: u64 = resident.trim().trim_end_matches(" kB").trim().parse().ok()?;
    Some(ProcessUsage {
        processor_seconds: (user + system) / TICKS_PER_SECOND,
        resident_bytes: resident * BYTES_PER_KIB,
    })
}
