//! What the scripts share: a stand-in of the platform's metadata store, HTTP/1.1 for stand-ins of servers and
//! clients, and the processes of the system. Only the standard library.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The exit code of a script whose rule held, was broken, and that could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// ---------------------------------------------------------------------------------------------- record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the script began.
pub fn seconds() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Begins the record of what was sent, answered and run.
pub fn open_record(path: &Path) {
    seconds();
    let file = File::create(path)
        .unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line to the record and to standard output.
pub fn record(line: &str) {
    let line = format!("{:8.3} s  {line}\n", seconds());
    print!("{line}");
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends a script that cannot run.
pub fn cannot_run(reason: &str) -> ! {
    record(&format!("the case could not run: {reason}"));
    finish(NOT_RUN)
}

/// Ends the script, all processes that it started and its folder.
pub fn finish(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().iter() {
        // SAFETY: the list holds children that have not been waited for, so their numbers are still their own.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    for folder in FOLDERS.lock().unwrap().iter() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends the script as one that could not run, if it takes longer than it may.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("it took too long")
    });
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Whether the disruption is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ------------------------------------------------------------------------------------------------ JSON

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
            }
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<f64> {
        if let Json::Number(number) = self { Some(*number) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(b']', |parser| parser.value()).map(Json::List),
            b'{' => {
                let field = |parser: &mut Self| {
                    parser.space();
                    let name = parser.string()?;
                    parser.space();
                    parser.take(":")?;
                    Some((name, parser.value()?))
                };
                self.items(b'}', field).map(Json::Table)
            }
            _ => self.number(),
        }
    }

    fn items<T>(&mut self, end: u8, item: impl Fn(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        self.at += 1;
        let mut items = Vec::new();
        self.space();
        if *self.bytes.get(self.at)? == end {
            self.at += 1;
            return Some(items);
        }
        loop {
            items.push(item(self)?);
            self.space();
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b',' => {}
                byte if byte == end => return Some(items),
                _ => return None,
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[begin..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let sign = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(sign.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .enumerate()
            .fold(0u32, |word, (index, byte)| word | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            let sign = BASE64[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= group.len() { sign } else { '=' });
        }
    }
    text
}

// ------------------------------------------------------------------------------------------------ HTTP

/// A request as a server or the store reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// The first line and the headers; none at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(length, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk)?;
        let end = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !end.is_empty() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if length == 0 {
            return Ok(());
        }
        take(&chunk);
    }
}

/// Reads one request; none at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if find_header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = find_header(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// How an answer ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// It is complete by its framing.
    Whole,
    /// It broke off, or never came.
    Cut(String),
}

/// An answer as a client sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub ending: Ending,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn is_whole(&self) -> bool {
        self.ending == Ending::Whole
    }

    /// The data of each event, with its identifier.
    pub fn events(&self) -> Vec<(String, String)> {
        events_of(&self.body)
    }
}

/// The events of a stream: identifier and data.
pub fn events_of(body: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(body).into_owned();
    let mut events = Vec::new();
    for event in text.split("\n\n").filter(|event| !event.trim().is_empty()) {
        let field = |name: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        events.push((field("id:"), field("data:")));
    }
    events
}

/// Sends a request on a new connection, and reads its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer =
        Answer { status: 0, headers: Vec::new(), body: Vec::new(), ending: Ending::Whole };
    if let Err(error) = exchange(address, method, target, headers, body, limit, &mut answer) {
        answer.ending = Ending::Cut(error.to_string());
    }
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let (first, answered) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    answer.headers = answered;
    let body = &mut answer.body;
    if find_header(&answer.headers, "transfer-encoding").is_some() {
        return read_chunks(&mut reader, |chunk| body.extend_from_slice(chunk));
    }
    if let Some(length) = find_header(&answer.headers, "content-length") {
        let length: u64 = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let read = reader.take(length).read_to_end(body)?;
        return if read as u64 == length {
            Ok(())
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        };
    }
    reader.read_to_end(body).map(drop)
}

// ----------------------------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Items {
    revision: u64,
    /// Value in base64, revision and creation.
    items: BTreeMap<String, (String, u64, u64)>,
    history: Vec<(u64, String, String)>,
}

impl Items {
    fn item(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
        )
    }

    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.2);
        let item = (value, self.revision, created);
        self.history.push((self.revision, key.to_owned(), Self::item(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let gone =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"gone\":true}}", self.revision);
            self.history.push((self.revision, key.to_owned(), gone));
        }
    }

    fn events_since(&self, prefix: &str, after: u64) -> Vec<String> {
        let later =
            self.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        later.map(|(_, _, event)| event.clone()).collect()
    }
}

/// A stand-in of the platform's metadata store, without faults.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    items: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|it| cannot_run(&it.to_string()));
        let store = Self { address: listener.local_addr().unwrap(), items: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.items.0.lock().unwrap().put(key, base64(value.as_bytes()));
        self.items.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.items.0.lock().unwrap().remove(key);
        self.items.1.notify_all();
    }

    /// Whether a key has this value.
    pub fn holds(&self, key: &str, value: &str) -> bool {
        let items = self.items.0.lock().unwrap();
        items.items.get(key).is_some_and(|item| item.0 == base64(value.as_bytes()))
    }

    pub fn has(&self, key: &str) -> bool {
        self.items.0.lock().unwrap().items.contains_key(key)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let kind = request
            .path()
            .trim_start_matches("/dahlialadder/kv-")
            .split('/')
            .next()
            .unwrap_or_default();
        match kind {
            "key" => {
                let key = request.query("key").unwrap_or_default();
                let items = self.items.0.lock().unwrap();
                match items.items.get(&key) {
                    None => (404, "{}".to_owned()),
                    Some(item) => {
                        let item = Items::item(&key, item);
                        (200, item.replacen('{', &format!("{{\"at\":{},", items.revision), 1))
                    }
                }
            }
            "range" => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let items = self.items.0.lock().unwrap();
                let found =
                    items.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> = found.map(|(key, item)| Items::item(key, item)).collect();
                let page = found[..found.len().min(500)].join(",");
                let more = found.len() > 500;
                (200, format!("{{\"items\":[{page}],\"more\":{more},\"at\":{}}}", items.revision))
            }
            "watch" => self.watch(request),
            "txn" => self.commit(request),
            "lease" => (200, "{\"lease\":7,\"ttl_ms\":60000}".to_owned()),
            "keep" => (200, "{\"ttl_ms\":60000}".to_owned()),
            _ => (200, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait = request.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut items = self.items.0.lock().unwrap();
        loop {
            let events = items.events_since(&prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), items.revision),
                );
            }
            items = self.items.1.wait_timeout(items, left).unwrap().0;
        }
    }

    fn commit(&self, request: &Request) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| call.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let mut items = self.items.0.lock().unwrap();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let holds = |row: &Json| {
            let now = items.items.get(&text(row, "key")).map_or(0, |item| item.1);
            row.get("revision").and_then(Json::number) == Some(now as f64)
        };
        if !rows("expected_rev").iter().all(holds) {
            let keys = rows("expected_rev").iter().map(|row| text(row, "key")).collect::<Vec<_>>();
            let found = keys.iter().filter_map(|key| Some(Items::item(key, items.items.get(key)?)));
            return (412, format!("{{\"items\":[{}]}}", found.collect::<Vec<_>>().join(",")));
        }
        for row in rows("put") {
            items.put(&text(&row, "key"), text(&row, "value"));
        }
        for key in rows("remove") {
            items.remove(key.text().unwrap_or_default());
        }
        let revision = items.revision;
        drop(items);
        self.items.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

// ------------------------------------------------------------------------------------------- processes

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// The option of `prctl` by which a process gets a signal when the one that started it ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process that the script started. It is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a process that ends with the script at the latest. To be called by the main thread.
    pub fn start(name: &str, command: &mut Command) -> Self {
        // SAFETY: the call has no effect but on the new process.
        let bind = || match unsafe { prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        // SAFETY: the closure only makes a system call.
        let command = unsafe { command.pre_exec(bind) };
        let child = command.stdin(Stdio::null()).spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("starting {name}: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        Self { name: name.to_owned(), child }
    }

    /// What the process writes to its standard output, if that is a pipe.
    pub fn output(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for, so its number is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process. Its file descriptors are closed when this returns.
    pub fn kill(&mut self) {
        let pid = self.child.id();
        CHILDREN.lock().unwrap().retain(|other| *other != pid);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            let pid = self.child.id();
            CHILDREN.lock().unwrap().retain(|other| *other != pid);
        }
        has_ended
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports given to processes: below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// A loopback address that is free now and is given out once.
pub fn free_address() -> SocketAddr {
    static NEXT: OnceLock<Mutex<u32>> = OnceLock::new();
    let first = || {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        time.map_or(0, |time| time.subsec_micros()) ^ std::process::id().wrapping_mul(7_919)
    };
    let mut next = NEXT.get_or_init(|| Mutex::new(first())).lock().unwrap();
    for _ in 0..PORTS {
        *next = next.wrapping_add(1);
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + *next % PORTS) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// A folder under the system's temporary folder, removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("dahlia-review-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        FOLDERS.lock().unwrap().push(path.clone());
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A machine of the system.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub is_gateway: bool,
    /// Where it talks to the others.
    pub peers: SocketAddr,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Machine {
    pub fn new(name: &str, zone: &str, is_gateway: bool) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            is_gateway,
            peers: free_address(),
            callers: free_address(),
            ready: free_address(),
            metrics: free_address(),
        }
    }
}

/// How many lines of each log are recorded when the system does not start.
const LOG_LINES: usize = 12;

/// A small deployment: its machines, and the folder of their settings and disks.
pub struct System {
    pub root: PathBuf,
    pub folder: Folder,
    pub store: Store,
    pub stores: Vec<Machine>,
    pub gateways: Vec<Machine>,
}

impl System {
    /// Stores and gateways in the zones `hall-a` to `hall-d`.
    pub fn new(name: &str, stores: usize, gateways: usize) -> Self {
        let zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
        let machine = |role: &str, number: usize, is_gateway| {
            let zone = zones[number % zones.len()];
            Machine::new(&format!("{role}-{zone}-{}", number / zones.len() + 1), zone, is_gateway)
        };
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".to_owned());
        Self {
            root: PathBuf::from(root),
            folder: Folder::new(name),
            store: Store::start(),
            stores: (0..stores).map(|it| machine("storage", it, false)).collect(),
            gateways: (0..gateways).map(|it| machine("edge", it, true)).collect(),
        }
    }

    pub fn data_folder(&self, machine: &Machine) -> PathBuf {
        self.folder.0.join(format!("disk-{}", machine.name))
    }

    pub fn log_file(&self, machine: &Machine) -> PathBuf {
        self.folder.0.join(format!("{}.log", machine.name))
    }

    /// The settings of a process, as `deploy/settings.toml.template` gives them with the figures of bcw-field.
    fn settings(&self, machine: &Machine, is_first_start: bool) -> String {
        let seeds: Vec<String> =
            self.stores.iter().take(3).map(|store| format!("\"{}\"", store.peers)).collect();
        let more = match machine.is_gateway {
            true => format!(
                "caller_address = \"{}\"\nreadiness_address = \"{}\"\n",
                machine.callers, machine.ready
            ),
            false => String::new(),
        };
        let data = match machine.is_gateway {
            true => String::new(),
            false => format!("data_folder = \"{}\"\n", self.data_folder(machine).display()),
        };
        let Machine { name, zone, peers, callers, metrics, .. } = machine;
        format!(
            "[native]\nname = \"{name}\"\nmetadata_store = \"{store}\"\ngrace_s = 8\n\
             first_start = {is_first_start}\nleaving_limit_ms = 2000\nchange_limit_ms = 2000\n\
             contact_limit_ms = 3000\n{more}metrics_address = \"{metrics}\"\n\
             [daemon]\nzone = \"{zone}\"\nregion = \"gulf-south\"\npeer_address = \"{peers}\"\n\
             gateway_address = \"{callers}\"\noperators_address = \"127.0.0.1:1\"\nseeds = [{seeds}]\n{data}\
             [regions]\nhall-a = \"gulf-south\"\nhall-b = \"gulf-south\"\nhall-c = \"gulf-south\"\n\
             hall-d = \"gulf-south\"\n\
             [credentials]\ntenant_key = \"bayou-current-tenant-key-1\"\n\
             operator_token = \"bayou-current-operator-token-1\"\npeer_key = \"bayou-current-peer-key-1\"\n\
             [tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[layout]\ngroups = 8\n\
             [membership]\nsync_interval_ms = 5000\n[zone_liveness]\n[log]\nlevel = \"info\"\n\
             [groups]\nheartbeat_interval_ms = 150\nelection_timeout_ms = 600\n\
             [relay]\nmemory_mb = 220\n[backends]\n[rate_limits]\n",
            store = self.store.address,
            seeds = seeds.join(", "),
        )
    }

    /// Starts a machine's process with the command of the deploy file.
    pub fn start(&self, machine: &Machine, is_first_start: bool) -> Process {
        let file = self.folder.0.join(format!("{}.toml", machine.name));
        fs::write(&file, self.settings(machine, is_first_start))
            .unwrap_or_else(|it| cannot_run(&it.to_string()));
        let log = File::options().create(true).append(true).open(self.log_file(machine)).unwrap();
        let mut command = Command::new(self.root.join("target/release/dahlialadder-native"));
        command.arg(if machine.is_gateway { "gateway" } else { "store" });
        command.env("DAHLIALADDER_NODE_FILE", &file).current_dir(&self.root);
        command.stdout(log.try_clone().unwrap()).stderr(log);
        Process::start(&machine.name, &mut command)
    }

    /// Waits until all gateways are ready.
    pub fn await_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        for gateway in &self.gateways {
            while !is_ready(gateway) {
                if Instant::now() > until {
                    for machine in self.stores.iter().chain(&self.gateways) {
                        let log = fs::read_to_string(self.log_file(machine)).unwrap_or_default();
                        let lines: Vec<&str> = log.lines().collect();
                        for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
                            record(&format!("log of {}: {line}", machine.name));
                        }
                    }
                    cannot_run(&format!("{} is not ready", gateway.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

/// Asks a gateway as the platform does.
pub fn is_ready(gateway: &Machine) -> bool {
    let host = [("Host", "platform")];
    let limit = Duration::from_millis(500);
    send(gateway.ready, "GET", "/dahlialadder/ready", &host, &[], limit).status == 200
}

/// Waits until a condition holds, for a time. Returns whether it does.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// The operator's configuration: the routes of bcw-field, with the service of each.
pub fn configuration(version: u32) -> String {
    let route = |name: &str, kind: &str, timeout: u32, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_ms\":200,\"priority\":1,\"service\":\"{service}\"{more}}}"
        )
    };
    let turns = ",\"max_attempts\":1,\"sticky\":true,\"retain\":true,\"retention_s\":60,\"gap_target_ms\":200";
    let walks = ",\"max_attempts\":1,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200";
    let routes = [
        route("fault-diag", "stream", 4000, "agent-llm", turns),
        route("commission-walk", "stream", 4000, "agent-llm", walks),
        route("flash-confirm", "safe", 1200, "field-app", ",\"max_attempts\":2"),
        route("warranty-look", "unsafe", 3000, "field-app", ",\"max_attempts\":1"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"agent-llm\",\"health_path\":\"/health\",\"max_conns\":160,\
         \"engine\":{{\"slots\":12,\"kv_capacity\":127559,\"event_tokens\":9}}}},\
         {{\"name\":\"field-app\",\"health_path\":\"/health\",\"max_conns\":110}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}}}}",
        routes.join(",")
    )
}

/// A server's entry in the store.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"{state}\",\"cold_remaining_ms\":0,\"call_seq\":1}}"
    )
}
