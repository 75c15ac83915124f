//! Simulates callers, which issue calls, receive answers and retry after refusals.

use dahlia_engine_model::Segment;
use dahlia_placement::{ChainPause, Event};
use dahlia_types::{AttemptId, ChainId, Duration, Tokens, Usage};

use super::Driver;
use super::event_queue::SimulationEvent;
use crate::metrics::{CallRecord, Outcome, ProgramRecord};
use crate::workload::{ChainScript, NextStep};

/// The tool name that is reported while a chain waits for sub-agents.
const SUB_AGENT_TOOL: &str = "sub-agent";
/// The tool name that is reported while a chain waits for a person.
const PERSON_TOOL: &str = "person";

impl Driver<'_> {
    pub(super) fn start_program(&mut self, program: usize) {
        let chain = self.programs[program].add_main_chain();
        self.issue_next_call(program, chain);
    }

    /// Issues the chain's next call.
    fn issue_next_call(&mut self, program: usize, chain: usize) {
        self.prepare_call(program, chain, Duration::ZERO);
        self.send_call(program, chain);
    }

    pub(super) fn send_call(&mut self, program: usize, chain: usize) {
        if self.programs[program].ended {
            return;
        }
        let at = self.now + self.client_delay(program);
        self.queue.add(at, SimulationEvent::Ready { program, chain });
    }

    pub(super) fn record_first_token(&mut self, attempt: AttemptId) {
        let Some((program, chain)) = self.find_current_call(attempt) else { return };
        let run = &mut self.programs[program].chains[chain];
        if run.first_token.is_some() {
            return;
        }
        let wait = self.now.since(run.issued);
        run.first_token = Some(wait);
        self.result.longest_wait = self.result.longest_wait.max(wait);
    }

    pub(super) fn handle_answer(&mut self, attempt: AttemptId, usage: Usage) {
        let Some((program, chain)) = self.find_current_call(attempt) else { return };
        self.record_call(program, chain, usage);
        self.programs[program].last_answer = self.now;
        let run = &mut self.programs[program].chains[chain];
        run.under_way = false;
        let Some(turn) = run.turns.pop_front() else { return };
        run.history.push(Segment { hash: turn.answer_hash, tokens: turn.generated });
        match turn.next_step {
            NextStep::End => self.end_chain(program, chain),
            NextStep::Pause { tool, length } => self.start_tool_pause(program, chain, tool, length),
            NextStep::Hang { tool } => {
                let name = self.workload.tools[tool].name.clone();
                self.report_pause(program, chain, &name);
                self.schedule_expiry(program);
            }
            NextStep::Abandon => {
                self.report_pause(program, chain, PERSON_TOOL);
                self.schedule_expiry(program);
            }
            NextStep::SubAgents(children) => self.start_sub_agents(program, chain, children),
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

    pub(super) fn handle_refusal(&mut self, program: usize, chain: usize, retry_after: Duration) {
        if self.programs[program].ended {
            return;
        }
        let max_retries = self.workload.program.caller_retries;
        let run = &mut self.programs[program].chains[chain];
        if run.caller_retries < max_retries {
            run.caller_retries += 1;
            self.queue.add(self.now + retry_after, SimulationEvent::Issue { program, chain });
            return;
        }
        let first = chain == 0 && run.number == 1;
        run.under_way = false;
        self.result.given_up += 1;
        self.end_program(program, if first { Outcome::Refused } else { Outcome::Failed });
    }

    /// Ends a program, records its measurements and notifies its scheduler.
    pub(super) fn end_program(&mut self, program: usize, outcome: Outcome) {
        let delay = self.client_delay(program);
        let run = &mut self.programs[program];
        if run.ended {
            return;
        }
        run.ended = true;
        self.result.interrupted += run.calls_under_way();
        self.running_programs -= 1;
        self.unreported_ends += 1;
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
        self.queue.add(self.now + delay, SimulationEvent::Notify { scheduler, event });
    }

    /// Finds the program and chain of an attempt if it belongs to the chain's current call.
    pub(super) fn find_current_call(&self, attempt: AttemptId) -> Option<(usize, usize)> {
        let program = attempt.call.program.number as usize;
        let chain = attempt.call.chain.0 as usize;
        let run = self.programs.get(program).filter(|run| !run.ended)?;
        let number = run.chains.get(chain)?.number;
        (number == attempt.call.number).then_some((program, chain))
    }

    pub(super) fn client_delay(&self, program: usize) -> Duration {
        let run = &self.programs[program];
        self.network.client_to_owner_delay(run.script.entry, run.owner)
    }

    fn start_tool_pause(&mut self, program: usize, chain: usize, tool: usize, length: Duration) {
        let name = self.workload.tools[tool].name.clone();
        self.report_pause(program, chain, &name);
        let run = &mut self.programs[program].chains[chain];
        run.paused = super::network::sum(run.paused, length);
        self.prepare_call(program, chain, length);
        self.queue.add(self.now + length, SimulationEvent::Issue { program, chain });
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

    fn start_sub_agents(&mut self, program: usize, chain: usize, children: Vec<ChainScript>) {
        self.report_pause(program, chain, SUB_AGENT_TOOL);
        for script in children {
            let child = self.programs[program].add_sub_agent(chain, script);
            self.issue_next_call(program, child);
        }
    }

    fn end_chain(&mut self, program: usize, chain: usize) {
        let Some(parent) = self.programs[program].chains[chain].parent else {
            self.end_program(program, Outcome::Completed);
            return;
        };
        let run = &mut self.programs[program];
        let event = Event::ChainEnded { program: run.id, chain: ChainId(chain as u32) };
        // The sub-agent that ends last determines how long the parent waits.
        run.chains[parent].paused = run.chains[chain].paused;
        run.chains[parent].children -= 1;
        let all_ended = run.chains[parent].children == 0;
        self.notify_owner(program, event);
        if all_ended {
            self.issue_next_call(program, parent);
        }
    }

    fn report_pause(&mut self, program: usize, chain: usize, tool: &str) {
        let run = &self.programs[program];
        let context = run.chains[chain].history.iter().map(|segment| segment.tokens.0).sum();
        let pause = ChainPause {
            program: run.id,
            chain: ChainId(chain as u32),
            tool: Some(tool.to_owned()),
            context: Tokens(context),
        };
        self.notify_owner(program, Event::PauseBegan(pause));
    }

    /// Notifies the owner without delay, because it sees an answer and the tool calls in it before
    /// the caller does.
    fn notify_owner(&mut self, program: usize, event: Event) {
        let scheduler = self.programs[program].owner;
        self.notify(scheduler, event);
    }

    fn schedule_expiry(&mut self, program: usize) {
        let idle = Duration::from_secs_f64(self.workload.program.idle_expiry_seconds);
        self.queue.add(self.now + idle, SimulationEvent::Expire { program });
    }
}
