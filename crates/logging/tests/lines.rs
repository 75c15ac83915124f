//! What becomes of lines: their form, what is dropped first, and that nobody waits for a reader.

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
/// A bound on a hang, never a measure.
const PATIENCE: Duration = Duration::from_secs(10);

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
            name: "line ends of others",
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
fn plain_lines_are_dropped_first_and_failures_last() {
    let buffer = LineBuffer::new(40);
    let ten = "123456789\n";
    for rank in [LinePriority::Routine, LinePriority::StateChange, LinePriority::Failure] {
        for _ in 0..4 {
            buffer.push(rank, ten);
        }
    }
    let taken = buffer.drain();
    assert_eq!(taken.lines.len(), 40);
    assert_eq!(taken.dropped, [2, 3, 3]);
    assert_eq!(buffer.total_dropped(), 8);
    assert_eq!(buffer.drain().dropped, [0, 0, 0], "told once");
}

#[test]
fn a_request_keeps_all_its_plain_lines_or_none() {
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
    assert_eq!(lost, 0, "a wider share holds the narrower one");
}

#[test]
fn fewer_requests_are_kept_while_there_is_no_room() {
    let buffer = LineBuffer::new(40);
    for _ in 0..10 {
        buffer.push(LinePriority::Routine, "123456789\n");
    }
    assert_eq!(buffer.drain().one_in, 2);
    assert_eq!(buffer.drain().one_in, 1, "there is plenty of room again");
}

/// A reader that takes nothing until it is told to.
struct Stuck {
    began: Sender<()>,
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.began.send(());
        let _ = self.release.recv();
        self.written.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up() {
    const LINES: u64 = 100_000;
    let (began, begins) = channel();
    let (release, released) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck { began, release: released, written: Arc::clone(&written) };
    let buffer = Arc::new(LineBuffer::new(1_000));
    LineWriter::new(Arc::clone(&buffer), stuck, NO_WAIT).start().expect("a thread");
    buffer.push(LinePriority::Failure, "first\n");
    begins.recv_timeout(PATIENCE).expect("the writer begins");
    // The writer hangs from here on. All these calls come back.
    for _ in 0..LINES {
        buffer.push(LinePriority::Failure, "later\n");
    }
    assert_eq!(buffer.total_dropped(), LINES - 1_000 / 6);
    drop(release);
    buffer.flush(PATIENCE);
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(text.starts_with("first\n"), "{text}");
    assert!(text.contains("WARN  logs: Lines were dropped for want of room. routine=0"), "{text}");
}

/// A closed pipe, or a full disk.
struct Broken(Arc<AtomicBool>);

impl Write for Broken {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.0.store(true, Ordering::SeqCst);
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::StorageFull.into())
    }
}

#[test]
fn a_closed_pipe_or_a_full_disk_changes_nothing() {
    let was_asked = Arc::new(AtomicBool::new(false));
    let buffer = Arc::new(LineBuffer::new(1_000));
    let mut writer = LineWriter::new(Arc::clone(&buffer), Broken(was_asked.clone()), NO_WAIT);
    buffer.push(LinePriority::StateChange, "lost\n");
    writer.write_pending();
    assert!(was_asked.load(Ordering::SeqCst));
    buffer.push(LinePriority::StateChange, "lost too\n");
    writer.write_pending();
    buffer.flush(NO_WAIT);
    assert_eq!(buffer.drain().lines, "", "nothing piles up");
}

#[test]
fn settings_are_checked() {
    struct Case {
        text: &'static str,
        named: &'static str,
    }
    let cases = [
        Case { text: "level = \"loud\"", named: "log.level" },
        Case { text: "[parts]\npeers = \"x\"", named: "log.parts.peers" },
        Case { text: "buffer_kb = 1", named: "log.buffer_kb" },
        Case { text: "gather_ms = 60000", named: "log.gather_ms" },
    ];
    for Case { text, named } in cases {
        let settings: LogSettings = toml::from_str(text).expect("well formed");
        let error = settings.check().expect_err(text).to_string();
        assert!(error.contains(named), "{error}");
    }
    LogSettings::default().check().expect("the defaults hold");
}
