//! Random commands with fixed seeds: the books of memory and attempts stay right.

mod support;

use std::collections::BTreeSet;

use dahlia_engine_model::{
    AfterHold, AttemptStatus, Cancel, EngineCommand, EngineEvent, EngineReply, Export, Hold,
    Import, Release, Submit,
};
use dahlia_types::{AttemptId, Duration, Term, Tokens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{Bench, attempt, model, program, segment, submit, tenant};

const SEEDS: u64 = 40;
const STEPS: usize = 400;
const PROGRAMS: u64 = 8;
const CAPACITY: u64 = 16_384;
/// Memory that one step may take beyond the capacity; see the cache's `grow_private`.
const OVERSHOOT: u64 = 64;

struct Run {
    bench: Bench,
    random: ChaCha8Rng,
    calls: u32,
    accepted: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let bench = Bench::with(|parameters| {
            parameters.kv_capacity = Tokens(CAPACITY);
            parameters.max_batch = 6;
            parameters.max_leap_steps = 1 + seed % 3 * 20;
        });
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { bench, random, calls: 0, accepted: BTreeSet::new(), ended: BTreeSet::new() }
    }

    fn draw_submit(&mut self) -> Submit {
        self.calls += 1;
        let number = self.random.random_range(0..PROGRAMS);
        let length = self.random.random_range(1..4);
        // Few distinct hashes, so that prefixes are shared in many ways.
        let prompt = (0..length)
            .map(|_| segment(self.random.random_range(0..3), 100 * self.random.random_range(1..12)))
            .collect();
        let generate = self.random.random_range(1..300);
        let mut drawn = submit(number, self.calls, prompt, generate);
        drawn.priority.0 = self.random.random_range(0..4);
        drawn
    }

    fn step(&mut self) {
        let number = self.random.random_range(0..PROGRAMS);
        match self.random.random_range(0..10) {
            0..=4 => {
                let drawn = self.draw_submit();
                let id = drawn.attempt;
                if self.bench.submit(drawn) == EngineReply::Accepted {
                    self.accepted.insert(id);
                }
            }
            5 => self.cancel(number),
            6 => self.hold(number),
            7 => {
                let release = Release { program: program(number), epoch: Term(1), closing: false };
                self.bench.handle(EngineCommand::Release(release));
            }
            8 => self.export(number),
            _ => {
                let pass = Duration::from_millis(self.random.random_range(0..4000));
                let events = self.bench.until(self.bench.now + pass);
                self.take(events);
            }
        }
    }

    fn cancel(&mut self, number: u64) {
        let call = self.random.random_range(1..self.calls + 2);
        let id = attempt(number, call);
        let cancel = Cancel { attempt: id, epoch: Term(1), only_waiting: false };
        let reply = self.bench.handle(EngineCommand::Cancel(cancel));
        if matches!(reply, EngineReply::Cut(_) | EngineReply::NeverStarted) {
            self.ended.insert(id);
        }
    }

    fn hold(&mut self, number: u64) {
        let until = self.bench.now + Duration::from_millis(self.random.random_range(0..8000));
        let after = if self.random.random() { AfterHold::Free } else { AfterHold::Cache };
        let hold = Hold { program: program(number), epoch: Term(1), until, after };
        self.bench.handle(EngineCommand::Hold(hold));
    }

    fn export(&mut self, number: u64) {
        let segments = vec![segment(0, 100 * self.random.random_range(1..12))];
        let export = Export {
            program: program(number),
            epoch: Term(1),
            tenant: tenant("tenant"),
            model: model(),
            segments,
        };
        self.bench.handle(EngineCommand::Export(export));
    }

    fn take(&mut self, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::Finished { attempt, .. } => {
                    assert!(self.ended.insert(attempt), "{attempt} ended twice");
                }
                EngineEvent::Exported { image, .. } => {
                    let import = Import { epoch: Term(1), image };
                    self.bench.handle(EngineCommand::Import(import));
                }
                _ => {}
            }
        }
    }

    fn check_memory(&self, seed: u64) {
        let load = self.bench.engine.load_report(self.bench.now);
        assert!(load.resident.0 <= CAPACITY + OVERSHOOT, "seed {seed}: {load:?}");
        assert!(load.pinned <= load.resident, "seed {seed}: {load:?}");
    }
}

#[test]
fn every_accepted_attempt_ends_once_and_memory_is_bounded() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
            run.check_memory(seed);
        }
        let events = run.bench.run();
        run.take(events);
        let open: Vec<_> = run.accepted.difference(&run.ended).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?} did not end");
        for id in &run.accepted {
            let status = run.bench.engine.status(*id);
            let under_way =
                matches!(status, AttemptStatus::Waiting | AttemptStatus::Running { .. });
            assert!(!under_way, "seed {seed}: {id} is {status:?}");
        }
        assert_eq!(run.bench.engine.load_report(run.bench.now).pinned, Tokens::ZERO, "seed {seed}");
    }
}

#[test]
fn nothing_is_listed_for_programs_that_were_released_as_ended() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        for number in 0..PROGRAMS {
            let release = Release { program: program(number), epoch: Term(1), closing: true };
            run.bench.handle(EngineCommand::Release(release));
        }
        run.bench.run();
        let inventory = run.bench.engine.inventory(run.bench.now);
        assert!(inventory.programs.is_empty(), "seed {seed}: {inventory:?}");
    }
}
