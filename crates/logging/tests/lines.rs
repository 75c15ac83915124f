//! The format of lines, the order in which they are dropped, and a reader that blocks no thread.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use dahlia_logging::{
    LineBuffer, LinePriority, LineWriter, LogSettings, RequestSampling, format_line,
};
use log::{Level, Record};

const NO_WAIT: Duration = Duration::ZERO;
/// Bounds a hang; no test measures against it.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_line_has_time_level_part_sentence_and_fields() {
    struct Case {
        name: &'static str,
        sentence: &'static str,
        value: &'static str,
        line: &'static str,
    }
    let cases = [
        Case {
            name: "plain",
            sentence: "Sent to a server.",
            value: "9c41",
            line: "12.034 WARN  relay: Sent to a server. request=9c41\n",
        },
        Case {
            name: "a value with blanks and quotes",
            sentence: "Refused.",
            value: "a \"b\"=c",
            line: "12.034 WARN  relay: Refused. request=\"a \\\"b\\\"=c\"\n",
        },
        Case {
            name: "line ends in received text",
            sentence: "They said\nERROR",
            value: "x\ny",
            line: "12.034 WARN  relay: They said\\nERROR request=\"x\\ny\"\n",
        },
        Case {
            name: "an empty value",
            sentence: "Refused.",
            value: "",
            line: "12.034 WARN  relay: Refused. request=\"\"\n",
        },
    ];
    for Case { name, sentence, value, line } in cases {
        let fields = [("request", value)];
        let now = SystemTime::UNIX_EPOCH + Duration::from_millis(12_034);
        let args = format_args!("{sentence}");
        let record = Record::builder()
            .level(Level::Warn)
            .target("relay")
            .args(args)
            .key_values(&fields)
            .build();
        assert_eq!(format_line(&record, now), line, "{name}");
    }
}

#[test]
fn routine_lines_are_dropped_first_and_failures_last() {
    let buffer = LineBuffer::new(40);
    let ten_bytes = "123456789\n";
    for priority in [LinePriority::Routine, LinePriority::StateChange, LinePriority::Failure] {
        for _ in 0..4 {
            buffer.push(priority, ten_bytes);
        }
    }
    let drained = buffer.drain();
    assert_eq!(drained.lines.len(), 40);
    assert_eq!(drained.dropped, [2, 3, 3]);
    assert_eq!(buffer.total_dropped(), 8);
    assert_eq!(buffer.drain().dropped, [0, 0, 0], "drops are reported once");
}

#[test]
fn routine_lines_of_a_request_are_kept_or_dropped_together() {
    let mut sampling = RequestSampling::new();
    assert!((0..100).all(|number| sampling.keeps(&format!("r{number}"))));
    sampling.halve();
    sampling.halve();
    let kept: Vec<bool> = (0..1_000).map(|n| sampling.keeps(&format!("r{n}"))).collect();
    let count = kept.iter().filter(|kept| **kept).count();
    assert!((150..350).contains(&count), "a quarter of 1,000 is {count}");
    let again: Vec<bool> = (0..1_000).map(|n| sampling.keeps(&format!("r{n}"))).collect();
    assert_eq!(kept, again);
    sampling.double();
    let kept_now: Vec<bool> = (0..1_000).map(|n| sampling.keeps(&format!("r{n}"))).collect();
    let lost = kept.iter().zip(&kept_now).filter(|(before, now)| **before && !**now).count();
    assert_eq!(lost, 0, "a larger share includes the smaller one");
}

#[test]
fn fewer_requests_are_sampled_while_the_buffer_is_full() {
    let buffer = LineBuffer::new(40);
    for _ in 0..10 {
        buffer.push(LinePriority::Routine, "123456789\n");
    }
    assert_eq!(buffer.drain().one_in, 2);
    assert_eq!(buffer.drain().one_in, 1, "the buffer has enough space again");
}

/// A sink whose writes block until `release` receives a message or its sender is dropped.
struct BlockedSink {
    write_started: Sender<()>,
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.write_started.send(());
        let _ = self.release.recv();
        self.written.lock().expect("no thread panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_reader_does_not_block_threads_that_log() {
    const LINES: u64 = 100_000;
    let (write_started, write_starts) = channel();
    let (release, released) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let sink = BlockedSink { write_started, release: released, written: Arc::clone(&written) };
    let buffer = Arc::new(LineBuffer::new(1_000));
    LineWriter::new(Arc::clone(&buffer), sink, NO_WAIT).start().expect("the thread starts");
    buffer.push(LinePriority::Failure, "first\n");
    write_starts.recv_timeout(HANG_TIMEOUT).expect("the writer starts");
    // The writer is blocked from here on. All these calls must return.
    for _ in 0..LINES {
        buffer.push(LinePriority::Failure, "later\n");
    }
    assert_eq!(buffer.total_dropped(), LINES - 1_000 / 6);
    drop(release);
    buffer.flush(HANG_TIMEOUT);
    let text = String::from_utf8(written.lock().expect("no thread panics").clone())
        .expect("the lines are UTF-8");
    assert!(text.starts_with("first\n"), "{text}");
    assert!(text.contains("WARN  logs: Lines were dropped for want of room. routine=0"), "{text}");
}

/// A sink that fails like a closed pipe and, when it is flushed, like a full disk.
struct FailingSink(Arc<AtomicBool>);

impl Write for FailingSink {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.0.store(true, Ordering::SeqCst);
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::StorageFull.into())
    }
}

#[test]
fn a_closed_pipe_or_a_full_disk_only_loses_lines() {
    let was_written_to = Arc::new(AtomicBool::new(false));
    let buffer = Arc::new(LineBuffer::new(1_000));
    let mut writer =
        LineWriter::new(Arc::clone(&buffer), FailingSink(was_written_to.clone()), NO_WAIT);
    buffer.push(LinePriority::StateChange, "lost\n");
    writer.write_pending();
    assert!(was_written_to.load(Ordering::SeqCst));
    buffer.push(LinePriority::StateChange, "lost too\n");
    writer.write_pending();
    buffer.flush(NO_WAIT);
    assert_eq!(buffer.drain().lines, "", "no lines accumulate");
}

#[test]
fn settings_are_checked() {
    struct Case {
        text: &'static str,
        field: &'static str,
    }
    let cases = [
        Case { text: "level = \"loud\"", field: "log.level" },
        Case { text: "[parts]\npeers = \"x\"", field: "log.parts.peers" },
        Case { text: "buffer_kb = 1", field: "log.buffer_kb" },
        Case { text: "gather_ms = 60000", field: "log.gather_ms" },
    ];
    for Case { text, field } in cases {
        let settings: LogSettings = toml::from_str(text).expect("the settings are well formed");
        let error = settings.check().expect_err(text).to_string();
        assert!(error.contains(field), "{error}");
    }
    LogSettings::default().check().expect("the defaults are valid");
}
