//! The callers' side: issuing calls, taking answers, coming back after refusals.

use dahlia_engine_model::Segment;
use dahlia_placement::{ChainPause, Event};
use dahlia_types::{AttemptId, ChainId, Duration, Tokens, Usage};

use super::Driver;
use super::agenda::Happening;
use crate::metrics::{CallRecord, Outcome, ProgramRecord};
use crate::workload::{After, ChainScript};

/// The tool name of a wait for sub-agents.
const SUB_AGENT: &str = "sub-agent";
/// The tool name of a wait for the person.
const PERSON: &str = "person";

impl Driver<'_> {
    pub(super) fn arrive(&mut self, program: usize) {
        let chain = self.programs[program].begin();
        self.next_call(program, chain);
    }

    /// Issues the chain's next call.
    fn next_call(&mut self, program: usize, chain: usize) {
        self.prepare_call(program, chain, Duration::ZERO);
        self.issue(program, chain);
    }

    pub(super) fn issue(&mut self, program: usize, chain: usize) {
        if self.programs[program].ended {
            return;
        }
        let at = self.now + self.client_link(program);
        self.agenda.add(at, Happening::Ready { program, chain });
    }

    pub(super) fn first_token(&mut self, attempt: AttemptId) {
        let Some((program, chain)) = self.current(attempt) else { return };
        let run = &mut self.programs[program].chains[chain];
        if run.first_token.is_some() {
            return;
        }
        let wait = self.now.since(run.issued);
        run.first_token = Some(wait);
        self.result.longest_wait = self.result.longest_wait.max(wait);
    }

    pub(super) fn answer(&mut self, attempt: AttemptId, usage: Usage) {
        let Some((program, chain)) = self.current(attempt) else { return };
        self.record_call(program, chain, usage);
        self.programs[program].last_answer = self.now;
        let run = &mut self.programs[program].chains[chain];
        run.under_way = false;
        let Some(turn) = run.turns.pop_front() else { return };
        run.history.push(Segment { hash: turn.answer_hash, tokens: turn.generated });
        match turn.after {
            After::End => self.end_chain(program, chain),
            After::Pause { tool, length } => self.pause(program, chain, tool, length),
            After::Hang { tool } => {
                let name = self.workload.tools[tool].name.clone();
                self.begin_pause(program, chain, &name);
                self.expire_later(program);
            }
            After::Abandon => {
                self.begin_pause(program, chain, PERSON);
                self.expire_later(program);
            }
            After::SubAgents(children) => self.branch(program, chain, children),
        }
    }

    fn record_call(&mut self, program: usize, chain: usize, usage: Usage) {
        self.result.answered += 1;
        let run = &self.programs[program];
        let first_token = run.chains[chain].first_token.unwrap_or_default();
        if self.result.is_measured(run.script.arrives) {
            let (prompt, cached) = (usage.prompt.0, usage.cached.0);
            self.result.calls.push(CallRecord { first_token, prompt, cached });
        }
    }

    pub(super) fn refused(&mut self, program: usize, chain: usize, retry_after: Duration) {
        if self.programs[program].ended {
            return;
        }
        let most = self.workload.program.caller_retries;
        let run = &mut self.programs[program].chains[chain];
        if run.caller_retries < most {
            run.caller_retries += 1;
            self.agenda.add(self.now + retry_after, Happening::Issue { program, chain });
            return;
        }
        let first = chain == 0 && run.number == 1;
        run.under_way = false;
        self.result.given_up += 1;
        self.end_program(program, if first { Outcome::Refused } else { Outcome::Failed });
    }

    /// Ends a program: its scheduler is told and its measures are taken.
    pub(super) fn end_program(&mut self, program: usize, outcome: Outcome) {
        let link = self.client_link(program);
        let run = &mut self.programs[program];
        if run.ended {
            return;
        }
        run.ended = true;
        self.result.interrupted += run.calls_under_way();
        self.live -= 1;
        self.untold += 1;
        let record = ProgramRecord {
            arrives: run.script.arrives,
            latency: run.last_answer.since(run.script.arrives),
            paused: run.chains.first().map_or(Duration::ZERO, |main| main.paused),
            ended: self.now,
            outcome,
        };
        self.result.add_program(record);
        let id = run.id;
        for host in &mut self.engines {
            host.host_memory.drop_program(id);
        }
        let event = Box::new(Event::ProgramClosed(id));
        let scheduler = self.programs[program].owner;
        self.agenda.add(self.now + link, Happening::Tell { scheduler, event });
    }

    /// The program and chain of an attempt, if the attempt is of the chain's current call.
    pub(super) fn current(&self, attempt: AttemptId) -> Option<(usize, usize)> {
        let program = attempt.call.program.number as usize;
        let chain = attempt.call.chain.0 as usize;
        let run = self.programs.get(program).filter(|run| !run.ended)?;
        let number = run.chains.get(chain)?.number;
        (number == attempt.call.number).then_some((program, chain))
    }

    pub(super) fn client_link(&self, program: usize) -> Duration {
        let run = &self.programs[program];
        self.network.client_to_owner(run.script.entry, run.owner)
    }

    fn pause(&mut self, program: usize, chain: usize, tool: usize, length: Duration) {
        let name = self.workload.tools[tool].name.clone();
        self.begin_pause(program, chain, &name);
        let run = &mut self.programs[program].chains[chain];
        run.paused = super::network::add(run.paused, length);
        self.prepare_call(program, chain, length);
        self.agenda.add(self.now + length, Happening::Issue { program, chain });
    }

    /// Makes the next turn the current call, to be issued after `length`.
    fn prepare_call(&mut self, program: usize, chain: usize, length: Duration) {
        let run = &mut self.programs[program].chains[chain];
        let Some(turn) = run.turns.front() else { return };
        run.history.push(turn.message);
        run.number += 1;
        run.attempt = 1;
        run.caller_retries = 0;
        run.first_token = None;
        run.under_way = true;
        run.issued = self.now + length;
        self.result.issued += 1;
    }

    fn branch(&mut self, program: usize, chain: usize, children: Vec<ChainScript>) {
        self.begin_pause(program, chain, SUB_AGENT);
        for script in children {
            let child = self.programs[program].branch(chain, script);
            self.next_call(program, child);
        }
    }

    fn end_chain(&mut self, program: usize, chain: usize) {
        let Some(parent) = self.programs[program].chains[chain].parent else {
            self.end_program(program, Outcome::Completed);
            return;
        };
        let run = &mut self.programs[program];
        let event = Event::ChainEnded { program: run.id, chain: ChainId(chain as u32) };
        // The sub-agent that ends last determined the parent's wait.
        run.chains[parent].paused = run.chains[chain].paused;
        run.chains[parent].children -= 1;
        let all_ended = run.chains[parent].children == 0;
        self.tell_owner(program, event);
        if all_ended {
            self.next_call(program, parent);
        }
    }

    fn begin_pause(&mut self, program: usize, chain: usize, tool: &str) {
        let run = &self.programs[program];
        let context = run.chains[chain].history.iter().map(|segment| segment.tokens.0).sum();
        let pause = ChainPause {
            program: run.id,
            chain: ChainId(chain as u32),
            tool: Some(tool.to_owned()),
            context: Tokens(context),
        };
        self.tell_owner(program, Event::PauseBegan(pause));
    }

    /// The owner sees an answer, and what it asks for, before the caller does.
    fn tell_owner(&mut self, program: usize, event: Event) {
        let scheduler = self.programs[program].owner;
        self.tell(scheduler, event);
    }

    fn expire_later(&mut self, program: usize) {
        let idle = Duration::from_secs_f64(self.workload.program.idle_expiry_seconds);
        self.agenda.add(self.now + idle, Happening::Expire { program });
    }
}
