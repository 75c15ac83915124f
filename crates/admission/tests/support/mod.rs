//! A simulation of one gateway's queue in front of a service with some slots, with programs that arrive
//! at given times.

use std::collections::{BTreeMap, HashMap};

use dahlia_admission::{AdmissionQueue, QueuedRequest, Stage, TenantKey, Ticket, WaitingSettings};
use dahlia_types::{Duration, Timestamp, Tokens};

/// The shape of a program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramKind {
    pub rank: u32,
    pub turns: u32,
    /// Milliseconds that a server works on one turn.
    pub turn_ms: u64,
    /// Milliseconds between two turns.
    pub pause_ms: u64,
    /// Milliseconds within which the program is in time.
    pub objective_ms: u64,
    /// Milliseconds that the caller of one turn waits.
    pub timeout_ms: u64,
    /// The most tries of one turn.
    pub max_tries: u32,
}

/// The arrival of a program.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    pub tenant: u64,
    pub kind: ProgramKind,
}

/// How many programs ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    /// Programs refused at their first turn.
    pub refused_first: u32,
    /// Programs refused at a later turn.
    pub refused_later: u32,
}

impl Outcome {
    pub fn total(self) -> u32 {
        self.in_time + self.late + self.refused()
    }

    pub fn refused(self) -> u32 {
        self.refused_first + self.refused_later
    }

    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total().max(1))
    }
}

/// The results of a scenario.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub all: Outcome,
    pub by_rank: BTreeMap<u32, Outcome>,
    pub by_tenant: BTreeMap<u64, Outcome>,
    /// Retries after a refusal.
    pub retries: u32,
    /// Retries that were served.
    pub retries_served: u32,
}

struct ProgramState {
    arrival: Arrival,
    turns_left: u32,
    tries_left: u32,
    was_refused: bool,
}

/// Runs arrivals, one step a millisecond.
pub struct Scenario {
    queue: AdmissionQueue,
    slots: usize,
    /// The end in milliseconds and the program of each turn that runs.
    running: Vec<(u64, usize)>,
    programs: Vec<ProgramState>,
    /// The program of each ticket, and the time in milliseconds at which it leaves the queue.
    tickets: HashMap<Ticket, (usize, u64)>,
    /// Programs by the time in milliseconds of their next try.
    next_tries: BTreeMap<u64, Vec<usize>>,
    report: Report,
}

impl Scenario {
    pub fn new(settings: WaitingSettings, slots: usize) -> Self {
        Self {
            queue: AdmissionQueue::new(settings),
            slots,
            running: Vec::new(),
            programs: Vec::new(),
            tickets: HashMap::new(),
            next_tries: BTreeMap::new(),
            report: Report::default(),
        }
    }

    pub fn run(mut self, arrivals: &[Arrival]) -> Report {
        for arrival in arrivals {
            let program = self.programs.len();
            let (turns_left, tries_left) = (arrival.kind.turns, arrival.kind.max_tries);
            self.programs.push(ProgramState {
                arrival: *arrival,
                turns_left,
                tries_left,
                was_refused: false,
            });
            self.next_tries.entry(arrival.at_ms).or_default().push(program);
        }
        let mut now = 0;
        while !self.next_tries.is_empty() || !self.running.is_empty() || !self.queue.is_empty() {
            self.end_turns(now);
            self.end_waits(now);
            for program in self.next_tries.remove(&now).unwrap_or_default() {
                self.request_turn(program, now);
            }
            self.dispatch_waiting(now);
            now += 1;
        }
        self.report
    }

    fn request(&self, program: usize, now: u64) -> QueuedRequest {
        let ProgramState { arrival, turns_left, was_refused, .. } = &self.programs[program];
        let Arrival { kind, tenant, at_ms } = *arrival;
        let stage = match (*turns_left < kind.turns, was_refused) {
            (true, _) => Stage::UnderWay,
            (false, true) => Stage::Returning,
            (false, false) => Stage::First,
        };
        QueuedRequest {
            rank: kind.rank,
            stage,
            tenant: TenantKey(tenant),
            cost: Tokens(kind.turn_ms),
            bytes: 1,
            due: timestamp(at_ms + kind.objective_ms),
            leave_by: timestamp(now + kind.timeout_ms / 4),
        }
    }

    fn request_turn(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        self.queue.record_arrival(&request, timestamp(now));
        if self.queue.may_skip_queue(&request, timestamp(now)) {
            if self.running.len() < self.slots {
                self.start_turn(program, now);
                return;
            }
            self.queue.record_servers_full(timestamp(now));
        }
        match self.queue.enqueue(request, timestamp(now)) {
            Err(_) => self.refuse(program, now),
            Ok(entry) => {
                let leave_at = request.leave_by.0 / 1_000;
                self.tickets.insert(entry.ticket, (program, leave_at));
                for ticket in entry.displaced {
                    let (program, _) = self.tickets.remove(&ticket).expect("it waited");
                    self.refuse(program, now);
                }
            }
        }
    }

    fn start_turn(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        self.queue.record_dispatch(&request, timestamp(now));
        let ProgramState { arrival, was_refused, .. } = &mut self.programs[program];
        self.report.retries_served += u32::from(std::mem::take(was_refused));
        self.running.push((now + arrival.kind.turn_ms, program));
    }

    fn refuse(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        let wait = self.queue.retry_after(&request, Duration::ZERO, timestamp(now)).as_millis();
        let program_state = &mut self.programs[program];
        program_state.tries_left -= 1;
        if program_state.tries_left > 0 && wait <= program_state.arrival.kind.timeout_ms / 3 {
            program_state.was_refused = true;
            self.report.retries += 1;
            self.next_tries.entry(now + wait.max(1)).or_default().push(program);
            return;
        }
        let is_first = program_state.turns_left == program_state.arrival.kind.turns;
        self.count(program, |outcome| match is_first {
            true => outcome.refused_first += 1,
            false => outcome.refused_later += 1,
        });
    }

    fn end_turns(&mut self, now: u64) {
        let (ended, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, usize)> = ended;
        for (_, program) in ended {
            let ProgramState { arrival, turns_left, tries_left, .. } = &mut self.programs[program];
            let kind = arrival.kind;
            self.queue.record_attempt_end(Duration::from_millis(kind.turn_ms), timestamp(now));
            *turns_left -= 1;
            *tries_left = kind.max_tries;
            if *turns_left > 0 {
                self.next_tries.entry(now + kind.pause_ms.max(1)).or_default().push(program);
                continue;
            }
            let is_in_time = now <= arrival.at_ms + kind.objective_ms;
            self.count(program, |outcome| match is_in_time {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            });
        }
    }

    fn end_waits(&mut self, now: u64) {
        let due = self.tickets.iter().filter(|(_, (_, leave_at))| *leave_at <= now);
        let mut due: Vec<Ticket> = due.map(|(ticket, _)| *ticket).collect();
        due.sort_unstable();
        for ticket in due {
            let (program, _) = self.tickets.remove(&ticket).expect("it waited");
            self.queue.remove(ticket);
            self.refuse(program, now);
        }
    }

    fn dispatch_waiting(&mut self, now: u64) {
        while self.running.len() < self.slots {
            let Some(ticket) = self.queue.dequeue(timestamp(now)) else { return };
            let (program, _) = self.tickets.remove(&ticket).expect("it waited");
            self.start_turn(program, now);
        }
    }

    fn count(&mut self, program: usize, add: impl Fn(&mut Outcome)) {
        let arrival = self.programs[program].arrival;
        add(&mut self.report.all);
        add(self.report.by_rank.entry(arrival.kind.rank).or_default());
        add(self.report.by_tenant.entry(arrival.tenant).or_default());
    }
}

fn timestamp(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}
