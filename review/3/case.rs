//! A server crashes while it sends an answer without a length. Does the answer look complete to its client?

#[path = "../kit.rs"]
mod kit;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// As many servers as bcw-field has.
const MODEL_SERVERS: usize = 11;
const PLAIN_SERVERS: usize = 9;
/// Answers with a length or chunks, of each kind, before those without.
const FRAMED: usize = 60;
/// The pieces of a whole stream, and the piece after which the server crashes.
const PIECES: usize = 8;
const CRASH_AFTER: usize = 4;
/// The bytes of a whole plain answer, as `(800 B out)` on the page.
const PLAIN_BYTES: usize = 800;
/// The pause between two pieces, below the 200 ms that the page allows.
const PAUSE: Duration = Duration::from_millis(150);
/// Attempts whose answers come without a length begin so.
const UNFRAMED: char = 'u';

// --------------------------------------------------------------------------------------------- servers

/// A server: it answers each request with its whole answer, and tells on standard output what it does.
fn serve(name: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        println!("runs {attempt} {}", String::from_utf8_lossy(&request.body).replace('\n', "/"));
        let is_stream = !request.target.starts_with("/warranty-look/");
        let last_event =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {name}.{attempt}\r\n"
        );
        let answered = match (is_stream, attempt.starts_with(UNFRAMED)) {
            (true, false) => send_chunked_stream(&mut writer, &head, &attempt),
            (false, false) => {
                let length = format!("{head}Content-Length: {PLAIN_BYTES}\r\n\r\n");
                writer
                    .write_all(length.as_bytes())
                    .and_then(|()| writer.write_all(&plain_answer(&attempt)))
            }
            (true, true) => {
                let _ = send_stream_without_length(&mut writer, &head, &attempt, last_event);
                return;
            }
            (false, true) => {
                let _ = send_plain_without_length(&mut writer, &head, &attempt);
                return;
            }
        };
        if answered.is_err() {
            return;
        }
    }
}

fn plain_answer(attempt: &str) -> Vec<u8> {
    format!("{attempt};").bytes().cycle().take(PLAIN_BYTES).collect()
}

fn piece(attempt: &str, number: usize) -> String {
    format!("id: {number}\ndata: {attempt}.{number}\n\n")
}

fn send_chunked_stream(writer: &mut TcpStream, head: &str, attempt: &str) -> std::io::Result<()> {
    let mut answer =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for number in 1..=PIECES {
        let piece = piece(attempt, number);
        answer.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
    }
    answer.push_str("0\r\n\r\n");
    writer.write_all(answer.as_bytes())
}

fn send_stream_without_length(
    writer: &mut TcpStream,
    head: &str,
    attempt: &str,
    last_event: usize,
) -> std::io::Result<()> {
    let head = format!("{head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    writer.write_all(head.as_bytes())?;
    for number in last_event + 1..=PIECES {
        writer.write_all(piece(attempt, number).as_bytes())?;
        println!("sent {attempt} {number}");
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn send_plain_without_length(
    writer: &mut TcpStream,
    head: &str,
    attempt: &str,
) -> std::io::Result<()> {
    writer.write_all(format!("{head}Connection: close\r\n\r\n").as_bytes())?;
    for part in plain_answer(attempt).chunks(PLAIN_BYTES / PIECES).enumerate() {
        writer.write_all(part.1)?;
        println!("sent {attempt} {}", part.0 + 1);
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn run_server(name: &str, address: &str) {
    let listener = TcpListener::bind(address).expect("the address is free");
    println!("listens");
    for stream in listener.incoming().flatten() {
        let name = name.to_owned();
        thread::spawn(move || serve(&name, stream));
    }
}

/// What a server told.
struct Told {
    server: String,
    line: String,
}

/// How long a server that crashed is down.
const DOWN_TIME: Duration = Duration::from_secs(1);

struct Server {
    process: Process,
    service: &'static str,
    address: SocketAddr,
    zone: &'static str,
    slots: u32,
}

struct Servers {
    store: Store,
    servers: BTreeMap<String, Server>,
    teller: Sender<Told>,
    told: Receiver<Told>,
}

impl Servers {
    fn start(store: &Store) -> Self {
        let (teller, told) = channel();
        let mut all = Self { store: store.clone(), servers: BTreeMap::new(), teller, told };
        let zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
        for (service, slots, count) in
            [("agent-llm", 12, MODEL_SERVERS), ("field-app", 6, PLAIN_SERVERS)]
        {
            for number in 0..count {
                let zone = zones[number % zones.len()];
                all.add(format!("i-{service}-{number}"), service, free_address(), zone, slots);
            }
        }
        all
    }

    fn add(
        &mut self,
        name: String,
        service: &'static str,
        address: SocketAddr,
        zone: &'static str,
        slots: u32,
    ) {
        let process = Self::start_one(&name, address, self.teller.clone());
        self.store
            .put(&format!("servers/{name}"), &server_entry(service, address, zone, slots, "ready"));
        self.servers.insert(name, Server { process, service, address, zone, slots });
    }

    fn start_one(name: &str, address: SocketAddr, teller: Sender<Told>) -> Process {
        let mut command = Command::new(std::env::current_exe().expect("a program has a path"));
        command.args(["server", name, &address.to_string()]).stdout(Stdio::piped());
        let mut process = Process::start(name, &mut command);
        let mut output = BufReader::new(process.output().expect("its output is a pipe"));
        let mut first = String::new();
        if output.read_line(&mut first).is_err() || first.trim() != "listens" {
            cannot_run(&format!("{name} does not listen"));
        }
        let server = name.to_owned();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record(&format!("server {server} {line}"));
                let _ = teller.send(Told { server: server.clone(), line });
            }
        });
        process
    }

    /// Waits until a server has sent this part of an answer. Returns that server.
    fn await_part(&self, attempt: &str, part: usize) -> String {
        let wanted = format!("sent {attempt} {part}");
        let until = Instant::now() + Duration::from_secs(5);
        while let Ok(told) = self.told.recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            if told.line == wanted {
                return told.server;
            }
        }
        cannot_run(&format!("no server has sent part {part} of {attempt}"))
    }

    /// Kills a server.
    fn crash(&mut self, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.process.kill();
            record(&format!("server {name} has crashed"));
        }
    }

    /// Starts a crashed server again, as a new incarnation. Its old entry is gone.
    fn restart(&mut self, name: &str) {
        thread::sleep(DOWN_TIME);
        let Some(Server { service, address, zone, slots, .. }) = self.servers.remove(name) else {
            return;
        };
        self.store.remove(&format!("servers/{name}"));
        self.add(format!("{name}-again"), service, address, zone, slots);
        record(&format!("server {name} has started again as {name}-again"));
    }
}

// --------------------------------------------------------------------------------------------- clients

fn send_turn(
    gateway: SocketAddr,
    route: &str,
    program: &str,
    attempt: &str,
    previous: Option<&str>,
    input: &str,
) -> Answer {
    let mut headers = vec![
        ("Host", "review.example"),
        ("Attempt-Id", attempt),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Program-Deadline-Ms", "9000"),
        ("Token-Budget", "23040"),
        ("Token-Count", "100,288"),
        ("Deadline-Ms", "4000"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    send(
        gateway,
        "POST",
        &format!("/{route}/1"),
        &headers,
        input.as_bytes(),
        Duration::from_secs(5),
    )
}

fn send_look(gateway: SocketAddr, attempt: &str) -> Answer {
    let headers = [("Host", "review.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "3000")];
    send(gateway, "POST", "/warranty-look/1", &headers, b"look", Duration::from_secs(5))
}

fn describe(answer: &Answer) -> String {
    let end = match &answer.ending {
        Ending::Whole => "looks complete".to_owned(),
        Ending::Cut(cause) => format!("is broken off ({cause})"),
    };
    let stamp = answer.header("server-stamp").unwrap_or("none");
    format!("{} with {} bytes, stamp {stamp}, {end}", answer.status, answer.body.len())
}

/// Sends requests whose answers have a length or chunks, until each kind was served often enough.
fn serve_framed(gateway: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(30);
    let (mut turns, mut looks, mut tries) = (0, 0, 0);
    while turns < FRAMED || looks < FRAMED {
        if Instant::now() > until {
            cannot_run("requests without trouble are not served");
        }
        tries += 1;
        if turns < FRAMED {
            let attempt = format!("t{tries}");
            let answer = send_turn(gateway, "fault-diag", &attempt, &attempt, None, "first;");
            let is_served =
                answer.status == 200 && answer.is_whole() && answer.events().len() == PIECES;
            turns += usize::from(is_served);
        }
        if looks < FRAMED {
            let attempt = format!("l{tries}");
            let answer = send_look(gateway, &attempt);
            looks += usize::from(answer.status == 200 && answer.body == plain_answer(&attempt));
        }
        if turns == 0 {
            thread::sleep(Duration::from_millis(100));
        }
    }
    record(&format!(
        "{turns} turns and {looks} calls with framed answers are served whole, of {tries} tries of each"
    ));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, name, address] = &arguments[..]
        && role == "server"
    {
        return run_server(name, address);
    }
    open_record(&Path::new(arguments.get(1).map_or("review/3", String::as_str)).join("record.txt"));
    limit_time(Duration::from_secs(100));
    record(&format!("the disruption is {}", if has_trouble() { "on" } else { "off" }));
    let system = System::new("3", 4, 2);
    system.store.put("op/config", &configuration(3));
    let mut servers = Servers::start(&system.store);
    let machines = system.stores.iter().chain(&system.gateways);
    let _processes: Vec<Process> = machines.map(|machine| system.start(machine, true)).collect();
    system.await_ready(Duration::from_secs(20));
    let gateway = system.gateways[0].callers;
    serve_framed(gateway);

    // A turn that is kept, and one that may be resumed, whose answers lack a length.
    let mut stream = |route: &'static str, attempt: &'static str| {
        record(&format!("turn {attempt} is sent on {route}"));
        let client =
            thread::spawn(move || send_turn(gateway, route, "program", attempt, None, "input-1;"));
        let server = servers.await_part(attempt, CRASH_AFTER);
        if has_trouble() {
            servers.crash(&server);
        }
        let answer = client.join().expect("a client does not panic");
        let pieces = answer.events().len();
        record(&format!("turn {attempt}: {}; {pieces} of {PIECES} pieces", describe(&answer)));
        if has_trouble() {
            servers.restart(&server);
        }
        let is_early = answer.status == 200 && answer.is_whole() && pieces < PIECES;
        (answer.is_whole() && pieces == PIECES, is_early)
    };
    let (turn_is_served, turn_is_early) = stream("fault-diag", "u-turn");
    let (walk_is_served, walk_is_early) = stream("commission-walk", "u-walk");

    // A call that must not run twice, whose answer lacks a length.
    record("call u-call is sent");
    let call = thread::spawn(move || send_look(gateway, "u-call"));
    let server = servers.await_part("u-call", CRASH_AFTER);
    if has_trouble() {
        servers.crash(&server);
    }
    let call = call.join().expect("a client does not panic");
    record(&format!("call u-call: {}", describe(&call)));
    let call_is_early =
        call.status == 200 && call.is_whole() && call.body != plain_answer("u-call");

    // What the program goes on from.
    let next = send_turn(gateway, "fault-diag", "program", "next-turn", Some("u-turn"), "input-2;");
    record(&format!("turn next-turn, which goes on from u-turn: {}", describe(&next)));
    thread::sleep(Duration::from_millis(100));
    let call_is_served = call.status == 200 && call.body == plain_answer("u-call");
    if !has_trouble() && !(turn_is_served && walk_is_served && call_is_served) {
        cannot_run("the requests are not served without trouble");
    }
    record(&format!(
        "ends early and looks complete: the kept turn {turn_is_early}, the one that may be resumed {walk_is_early}, \
         the call {call_is_early}"
    ));
    let is_broken = turn_is_early || walk_is_early || call_is_early;
    finish(if is_broken { BROKEN } else { HELD })
}
