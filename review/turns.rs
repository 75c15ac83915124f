//! What the scripts about emptied stores share: model servers that answer turns, clients that send them, and the loss of
//! a disk. The module `kit` stands beside it.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const MODEL_SERVERS: usize = 4;
const PIECES: usize = 8;
/// The pause before a refused request is sent again, and the clients' threads.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const CLIENTS: usize = 20;
/// The least tries of a kept turn that count.
const LEAST_TRIES: usize = 5;

// --------------------------------------------------------------------------------------------- servers

/// A model server: it answers each turn with a whole stream.
fn serve(name: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        println!("runs {attempt}");
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {name}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in 1..=PIECES {
            let piece = format!("id: {number}\ndata: {attempt}.{number}\n\n");
            answer.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
        }
        answer.push_str("0\r\n\r\n");
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

pub fn run_server(name: &str, address: &str) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let name = name.to_owned();
        thread::spawn(move || serve(&name, stream));
    }
}

pub fn start_servers(system: &System, folder: &Path) -> Vec<Process> {
    let start = |number: usize| {
        let (name, address) = (format!("i-{number}"), free_address());
        let mut command = Command::new(std::env::current_exe().expect("a program has a path"));
        command.args(["server", &name, &address.to_string()]);
        let output =
            fs::File::create(folder.join(&name)).unwrap_or_else(|it| cannot_run(&it.to_string()));
        let process = Process::start(&name, command.stdout(Stdio::from(output)));
        let is_up = || TcpStream::connect(address).is_ok();
        if !wait_until(Duration::from_secs(5), is_up) {
            cannot_run(&format!("{name} does not listen"));
        }
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        system.store.put(
            &format!("servers/{name}"),
            &server_entry("agent-llm", address, zone, 12, "ready"),
        );
        process
    };
    (0..MODEL_SERVERS).map(start).collect()
}

// --------------------------------------------------------------------------------------------- clients

/// Sends a turn. Returns its status, and whether its answer is whole.
pub fn send_turn(
    gateway: SocketAddr,
    program: &str,
    attempt: &str,
    previous: Option<&str>,
) -> (u16, bool) {
    let mut headers = vec![
        ("Host", "review.example"),
        ("Attempt-Id", attempt),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Program-Deadline-Ms", "9000"),
        ("Token-Budget", "23040"),
        ("Token-Count", "100,288"),
        ("Deadline-Ms", "2000"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    let answer =
        send(gateway, "POST", "/fault-diag/1", &headers, b"input;", Duration::from_secs(3));
    (answer.status, answer.status == 200 && answer.is_whole() && answer.events().len() == PIECES)
}

/// What clients got within a time.
#[derive(Default)]
pub struct Tally {
    pub tries: usize,
    pub served: usize,
    statuses: BTreeMap<u16, usize>,
    /// Tries of each kept turn that was not served.
    unserved_tries: Vec<usize>,
    kept: usize,
}

impl Tally {
    fn add(&mut self, (status, is_whole): (u16, bool)) {
        self.tries += 1;
        self.served += usize::from(is_whole);
        *self.statuses.entry(status).or_default() += 1;
    }

    fn merge(&mut self, other: Self) {
        self.tries += other.tries;
        self.served += other.served;
        self.kept += other.kept;
        self.unserved_tries.extend(other.unserved_tries);
        for (status, count) in other.statuses {
            *self.statuses.entry(status).or_default() += count;
        }
    }

    /// Kept turns that reached no server in many tries.
    pub fn lost(&self) -> String {
        let lost = self.unserved_tries.iter().filter(|tries| **tries >= LEAST_TRIES).count();
        format!("{lost} of {} kept turns reach no server in {LEAST_TRIES} tries or more", self.kept)
    }

    pub fn describe(&self) -> String {
        format!(
            "{} of {} requests are served whole; answers by status: {:?}",
            self.served, self.tries, self.statuses
        )
    }
}

/// Sends for a time: each client goes on with its share of the kept turns, if there are any, and begins new
/// programs meanwhile.
pub fn send_for(time: Duration, label: &str, kept: &[String], gateways: &[SocketAddr]) -> Tally {
    let until = Instant::now() + time;
    let client = |number: usize| {
        let mine: Vec<String> = kept.iter().skip(number).step_by(CLIENTS).cloned().collect();
        let (gateways, label) = (gateways.to_vec(), label.to_owned());
        move || {
            let mut tally = Tally { kept: mine.len(), ..Tally::default() };
            let mut open: Vec<(String, usize)> = mine.into_iter().map(|turn| (turn, 0)).collect();
            let mut round = 0;
            while Instant::now() < until {
                round += 1;
                let gateway = gateways[(number + round) % gateways.len()];
                open.retain_mut(|(turn, tries)| {
                    if Instant::now() > until {
                        return true;
                    }
                    *tries += 1;
                    let program = turn.trim_end_matches("-1");
                    let answer = send_turn(
                        gateway,
                        program,
                        &format!("{program}-{label}{tries}"),
                        Some(turn),
                    );
                    tally.add(answer);
                    !answer.1
                });
                let program = format!("{label}{number}x{round}");
                tally.add(send_turn(gateway, &program, &format!("{program}-1"), None));
                thread::sleep(RETRY_PAUSE);
            }
            tally.unserved_tries = open.into_iter().map(|(_, tries)| tries).collect();
            tally
        }
    };
    let clients: Vec<_> = (0..CLIENTS).map(|number| thread::spawn(client(number))).collect();
    let mut all = Tally::default();
    for client in clients {
        all.merge(client.join().expect("a client does not panic"));
    }
    all
}

pub fn lose_disk(system: &System, machine: &Machine, process: &mut Process) {
    process.kill();
    let removed = fs::remove_dir_all(system.data_folder(machine));
    removed.unwrap_or_else(|error| cannot_run(&format!("removing a disk: {error}")));
    record(&format!("{} is gone, and its disk is lost", machine.name));
}

/// Serves the first turns of programs, which are kept. Returns the turns.
pub fn keep_turns(count: usize, gateways: &[SocketAddr]) -> Vec<String> {
    let serve_first = |number: usize| {
        let mut tries = 0;
        let mut attempt = String::new();
        let is_served = || {
            tries += 1;
            let program = format!("p{number}t{tries}");
            attempt = format!("{program}-1");
            let (status, is_served) =
                send_turn(gateways[number % gateways.len()], &program, &attempt, None);
            if !is_served {
                record(&format!("{attempt} gets {status}"));
                thread::sleep(RETRY_PAUSE);
            }
            is_served
        };
        if !wait_until(Duration::from_secs(15), is_served) {
            cannot_run("first turns are not served");
        }
        attempt
    };
    let kept = (0..count).map(serve_first).collect();
    record(&format!("{count} first turns are served whole and kept"));
    kept
}
