//! Runs random commands with fixed seeds and checks the accounting of memory and attempts.

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
use support::{Harness, attempt_id, model_id, program_id, segment, submit_command, tenant_id};

const SEED_COUNT: u64 = 40;
const STEPS_PER_SEED: usize = 400;
const PROGRAM_COUNT: u64 = 8;
const CAPACITY_TOKENS: u64 = 16_384;
/// Memory that one step may use in excess of the capacity; see the cache's `grow_private`.
const OVERSHOOT_TOKENS: u64 = 64;

struct RandomRun {
    harness: Harness,
    random: ChaCha8Rng,
    calls: u32,
    accepted: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let harness = Harness::with_parameters(|parameters| {
            parameters.kv_capacity = Tokens(CAPACITY_TOKENS);
            parameters.max_batch = 6;
            parameters.max_leap_steps = 1 + seed % 3 * 20;
        });
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { harness, random, calls: 0, accepted: BTreeSet::new(), ended: BTreeSet::new() }
    }

    fn draw_submit(&mut self) -> Submit {
        self.calls += 1;
        let number = self.random.random_range(0..PROGRAM_COUNT);
        let length = self.random.random_range(1..4);
        // There are few distinct hashes, so that programs share prefixes in many ways.
        let prompt = (0..length)
            .map(|_| segment(self.random.random_range(0..3), 100 * self.random.random_range(1..12)))
            .collect();
        let generate = self.random.random_range(1..300);
        let mut drawn = submit_command(number, self.calls, prompt, generate);
        drawn.priority.0 = self.random.random_range(0..4);
        drawn
    }

    fn run_random_command(&mut self) {
        let number = self.random.random_range(0..PROGRAM_COUNT);
        match self.random.random_range(0..10) {
            0..=4 => {
                let drawn = self.draw_submit();
                let id = drawn.attempt;
                if self.harness.submit(drawn) == EngineReply::Accepted {
                    self.accepted.insert(id);
                }
            }
            5 => self.cancel(number),
            6 => self.hold(number),
            7 => {
                let release =
                    Release { program: program_id(number), epoch: Term(1), closing: false };
                self.harness.handle(EngineCommand::Release(release));
            }
            8 => self.export(number),
            _ => {
                let elapsed = Duration::from_millis(self.random.random_range(0..4000));
                let events = self.harness.run_until(self.harness.now + elapsed);
                self.handle_events(events);
            }
        }
    }

    fn cancel(&mut self, number: u64) {
        let call = self.random.random_range(1..self.calls + 2);
        let id = attempt_id(number, call);
        let cancel = Cancel { attempt: id, epoch: Term(1), only_waiting: false };
        let reply = self.harness.handle(EngineCommand::Cancel(cancel));
        if matches!(reply, EngineReply::Cut(_) | EngineReply::NeverStarted) {
            self.ended.insert(id);
        }
    }

    fn hold(&mut self, number: u64) {
        let until = self.harness.now + Duration::from_millis(self.random.random_range(0..8000));
        let after = if self.random.random() { AfterHold::Free } else { AfterHold::Cache };
        let hold = Hold { program: program_id(number), epoch: Term(1), until, after };
        self.harness.handle(EngineCommand::Hold(hold));
    }

    fn export(&mut self, number: u64) {
        let segments = vec![segment(0, 100 * self.random.random_range(1..12))];
        let export = Export {
            program: program_id(number),
            epoch: Term(1),
            tenant: tenant_id("tenant"),
            model: model_id(),
            segments,
        };
        self.harness.handle(EngineCommand::Export(export));
    }

    fn handle_events(&mut self, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::Finished { attempt, .. } => {
                    assert!(self.ended.insert(attempt), "{attempt} ended twice");
                }
                EngineEvent::Exported { image, .. } => {
                    let import = Import { epoch: Term(1), image };
                    self.harness.handle(EngineCommand::Import(import));
                }
                _ => {}
            }
        }
    }

    fn check_memory(&self, seed: u64) {
        let load = self.harness.engine.load_report(self.harness.now);
        assert!(load.resident.0 <= CAPACITY_TOKENS + OVERSHOOT_TOKENS, "seed {seed}: {load:?}");
        assert!(load.pinned <= load.resident, "seed {seed}: {load:?}");
    }
}

#[test]
fn every_accepted_attempt_ends_once_and_memory_is_bounded() {
    for seed in 0..SEED_COUNT {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS_PER_SEED {
            run.run_random_command();
            run.check_memory(seed);
        }
        let events = run.harness.run_until_idle();
        run.handle_events(events);
        let open: Vec<_> = run.accepted.difference(&run.ended).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?} did not end");
        for id in &run.accepted {
            let status = run.harness.engine.status(*id);
            let is_live = matches!(status, AttemptStatus::Waiting | AttemptStatus::Running { .. });
            assert!(!is_live, "seed {seed}: {id} is {status:?}");
        }
        assert_eq!(
            run.harness.engine.load_report(run.harness.now).pinned,
            Tokens::ZERO,
            "seed {seed}"
        );
    }
}

#[test]
fn the_inventory_is_empty_once_all_programs_are_released_as_ended() {
    for seed in 0..SEED_COUNT {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS_PER_SEED {
            run.run_random_command();
        }
        for number in 0..PROGRAM_COUNT {
            let release = Release { program: program_id(number), epoch: Term(1), closing: true };
            run.harness.handle(EngineCommand::Release(release));
        }
        run.harness.run_until_idle();
        let inventory = run.harness.engine.inventory(run.harness.now);
        assert!(inventory.programs.is_empty(), "seed {seed}: {inventory:?}");
    }
}
