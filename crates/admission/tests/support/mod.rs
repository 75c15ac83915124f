//! One gateway's queue before a service with some slots, and programs that come by a pattern.

use std::collections::{BTreeMap, HashMap};

use dahlia_admission::{AdmissionQueue, QueuedRequest, Stage, TenantKey, Ticket, WaitingSettings};
use dahlia_types::{Duration, Timestamp, Tokens};

/// How a program is made.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub rank: u32,
    pub turns: u32,
    /// How long a server works on one turn.
    pub turn_ms: u64,
    /// Between two turns.
    pub pause_ms: u64,
    /// Within which the program is in time.
    pub aim_ms: u64,
    /// How long the caller of one turn waits.
    pub patience_ms: u64,
    /// Tries of one turn.
    pub tries: u32,
}

/// A program that begins at a moment.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    pub tenant: u64,
    pub kind: Kind,
}

/// What became of programs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    pub refused_first: u32,
    pub refused_later: u32,
}

impl Outcome {
    pub fn asked(self) -> u32 {
        self.in_time + self.late + self.refused()
    }

    pub fn refused(self) -> u32 {
        self.refused_first + self.refused_later
    }

    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked().max(1))
    }
}

/// What a day showed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub all: Outcome,
    pub by_rank: BTreeMap<u32, Outcome>,
    pub by_tenant: BTreeMap<u64, Outcome>,
    /// Tries after a refusal, and those of them that were served.
    pub came_back: u32,
    pub came_back_served: u32,
}

struct Program {
    arrival: Arrival,
    turns_left: u32,
    tries_left: u32,
    was_refused: bool,
}

/// Plays arrivals, one step a millisecond.
pub struct Scenario {
    queue: AdmissionQueue,
    slots: usize,
    running: Vec<(u64, usize)>,
    programs: Vec<Program>,
    tickets: HashMap<Ticket, (usize, u64)>,
    /// Programs whose next try comes at a moment.
    coming: BTreeMap<u64, Vec<usize>>,
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
            coming: BTreeMap::new(),
            report: Report::default(),
        }
    }

    pub fn play(mut self, arrivals: &[Arrival]) -> Report {
        for arrival in arrivals {
            let program = self.programs.len();
            let (turns_left, tries_left) = (arrival.kind.turns, arrival.kind.tries);
            self.programs.push(Program {
                arrival: *arrival,
                turns_left,
                tries_left,
                was_refused: false,
            });
            self.coming.entry(arrival.at_ms).or_default().push(program);
        }
        let mut now = 0;
        while !self.coming.is_empty() || !self.running.is_empty() || !self.queue.is_empty() {
            self.end_turns(now);
            self.end_waits(now);
            for program in self.coming.remove(&now).unwrap_or_default() {
                self.ask(program, now);
            }
            self.fill(now);
            now += 1;
        }
        self.report
    }

    fn request(&self, program: usize, now: u64) -> QueuedRequest {
        let Program { arrival, turns_left, was_refused, .. } = &self.programs[program];
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
            due: moment(at_ms + kind.aim_ms),
            leave_by: moment(now + kind.patience_ms / 4),
        }
    }

    fn ask(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        self.queue.record_arrival(&request, moment(now));
        if self.queue.may_skip_queue(&request, moment(now)) {
            if self.running.len() < self.slots {
                self.run(program, now);
                return;
            }
            self.queue.record_servers_full(moment(now));
        }
        match self.queue.enqueue(request, moment(now)) {
            Err(_) => self.refuse(program, now),
            Ok(joined) => {
                let leave_at = request.leave_by.0 / 1_000;
                self.tickets.insert(joined.ticket, (program, leave_at));
                for ticket in joined.displaced {
                    let (program, _) = self.tickets.remove(&ticket).expect("it waited");
                    self.refuse(program, now);
                }
            }
        }
    }

    fn run(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        self.queue.record_dispatch(&request, moment(now));
        let Program { arrival, was_refused, .. } = &mut self.programs[program];
        self.report.came_back_served += u32::from(std::mem::take(was_refused));
        self.running.push((now + arrival.kind.turn_ms, program));
    }

    fn refuse(&mut self, program: usize, now: u64) {
        let request = self.request(program, now);
        let wait = self.queue.retry_after(&request, Duration::ZERO, moment(now)).as_millis();
        let program_state = &mut self.programs[program];
        program_state.tries_left -= 1;
        if program_state.tries_left > 0 && wait <= program_state.arrival.kind.patience_ms / 3 {
            program_state.was_refused = true;
            self.report.came_back += 1;
            self.coming.entry(now + wait.max(1)).or_default().push(program);
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
            let Program { arrival, turns_left, tries_left, .. } = &mut self.programs[program];
            let kind = arrival.kind;
            self.queue.record_attempt_end(Duration::from_millis(kind.turn_ms), moment(now));
            *turns_left -= 1;
            *tries_left = kind.tries;
            if *turns_left > 0 {
                self.coming.entry(now + kind.pause_ms.max(1)).or_default().push(program);
                continue;
            }
            let is_in_time = now <= arrival.at_ms + kind.aim_ms;
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

    fn fill(&mut self, now: u64) {
        while self.running.len() < self.slots {
            let Some(ticket) = self.queue.dequeue(moment(now)) else { return };
            let (program, _) = self.tickets.remove(&ticket).expect("it waited");
            self.run(program, now);
        }
    }

    fn count(&mut self, program: usize, add: impl Fn(&mut Outcome)) {
        let arrival = self.programs[program].arrival;
        add(&mut self.report.all);
        add(self.report.by_rank.entry(arrival.kind.rank).or_default());
        add(self.report.by_tenant.entry(arrival.tenant).or_default());
    }
}

fn moment(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}
