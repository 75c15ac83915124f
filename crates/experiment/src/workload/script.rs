//! Generates the behaviour of each program before the run. Schedulers do not see it.

use dahlia_engine_model::Segment;
use dahlia_types::{Duration, TenantId, Timestamp, Tokens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::Zipf;

use super::{ProgramShape, Workload};

/// The step that follows an answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NextStep {
    /// The chain ends.
    End,
    /// A tool or a person responds after a delay.
    Pause { tool: usize, length: Duration },
    /// A tool never returns.
    Hang { tool: usize },
    /// The caller never returns.
    Abandon,
    /// Sub-agents run, and the chain continues when all have ended.
    SubAgents(Vec<ChainScript>),
}

/// One call of a chain and the step that follows it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Turn {
    /// The message that the turn adds to the history.
    pub message: Segment,
    /// Tokens that the model will generate.
    pub generated: Tokens,
    /// Hash of the answer.
    pub answer_hash: u64,
    pub next_step: NextStep,
}

/// A chain of calls.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ChainScript {
    /// History before the first call; for an inheriting sub-agent, before its own first message.
    pub prefix: Vec<Segment>,
    /// Whether the chain starts with its parent's history.
    pub inherits: bool,
    pub turns: Vec<Turn>,
}

/// The behaviour of a program.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ProgramScript {
    pub arrives: Timestamp,
    pub tenant: TenantId,
    /// Number of the zone that its caller reaches first.
    pub entry: usize,
    pub main: ChainScript,
}

/// Draws the programs of a run. The same seed gives the same programs for every policy.
pub(crate) fn generate(workload: &Workload, load: f64, seed: u64) -> Vec<ProgramScript> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let arrivals = generate_arrivals(workload, load, &mut random);
    let tenants = TenantDistribution::generate(&workload.program, seed);
    let programs = arrivals.into_iter().map(|arrives| {
        // Each program has its own random stream, so that its draws do not affect the next program.
        let mut program_random = ChaCha8Rng::seed_from_u64(random.random());
        ScriptGenerator { workload, random: &mut program_random }
            .generate_program(arrives, &tenants)
    });
    programs.collect()
}

/// Generates a Poisson process with the rate of each phase.
fn generate_arrivals(workload: &Workload, load: f64, random: &mut ChaCha8Rng) -> Vec<Timestamp> {
    let run = &workload.run;
    let max_factor = run.phases.iter().map(|phase| phase.factor).fold(1.0, f64::max);
    let peak_rate = run.programs_per_second * load * max_factor;
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        now -= uniform.ln() / peak_rate;
        if now >= run.seconds {
            return arrivals;
        }
        // Thinning: candidates at the peak rate are kept in proportion (Lewis and Shedler 1979).
        let phase = run.phases.iter().find(|phase| now < phase.until_seconds);
        let factor = phase.map_or(1.0, |phase| phase.factor);
        if random.random_range(0.0..max_factor) < factor {
            arrivals.push(Timestamp::ZERO + Duration::from_secs_f64(now));
        }
    }
}

/// The tenants' instructions and their shares of the programs.
struct TenantDistribution {
    instructions: Vec<Segment>,
    shares: Zipf<f64>,
}

impl TenantDistribution {
    fn generate(shape: &ProgramShape, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x7e4a_1175);
        let instructions = (0..shape.tenants).map(|_| Segment {
            hash: random.random(),
            tokens: Tokens(shape.system_tokens.sample_integer(1, &mut random)),
        });
        let instructions = instructions.collect();
        let shares = Zipf::new(shape.tenants as f64, 1.0).expect("there is a tenant");
        Self { instructions, shares }
    }
}

struct ScriptGenerator<'a> {
    workload: &'a Workload,
    random: &'a mut ChaCha8Rng,
}

impl ScriptGenerator<'_> {
    fn generate_program(
        &mut self,
        arrives: Timestamp,
        tenants: &TenantDistribution,
    ) -> ProgramScript {
        let shape = &self.workload.program;
        let rank: f64 = self.random.sample(tenants.shares);
        let tenant = (rank as usize - 1).min(shape.tenants - 1);
        let document = shape.document_tokens.sample_integer(1, self.random);
        let document = self.generate_segment(document);
        let prefix = vec![tenants.instructions[tenant], document];
        let loops = self.random.random_bool(shape.loop_share);
        let turns = if loops {
            u64::from(shape.turn_limit)
        } else {
            shape.turns.sample_integer(1, self.random).min(u64::from(shape.turn_limit))
        };
        let abandoned = self.random.random_bool(shape.abandon_share);
        let abandoned_at = abandoned.then(|| self.random.random_range(0..turns));
        let main = self.generate_chain(prefix, false, turns, abandoned_at, true);
        ProgramScript {
            arrives,
            tenant: TenantId::new(format!("tenant-{tenant}")),
            entry: self.random.random_range(0..self.workload.deployment.zones.len()),
            main,
        }
    }

    fn generate_chain(
        &mut self,
        prefix: Vec<Segment>,
        inherits: bool,
        count: u64,
        abandoned_at: Option<u64>,
        may_branch: bool,
    ) -> ChainScript {
        let instructions = prefix[0];
        let mut length: u64 = prefix.iter().map(|segment| segment.tokens.0).sum();
        let mut turns = Vec::new();
        for number in 0..count {
            let mut turn = self.generate_turn();
            length += turn.message.tokens.0 + turn.generated.0;
            let last = number + 1 == count || length >= self.workload.program.history_limit;
            turn.next_step = if abandoned_at == Some(number) {
                NextStep::Abandon
            } else if last {
                NextStep::End
            } else {
                self.choose_next_step(may_branch, instructions)
            };
            let ends =
                matches!(turn.next_step, NextStep::End | NextStep::Abandon | NextStep::Hang { .. });
            turns.push(turn);
            if ends {
                break;
            }
        }
        ChainScript { prefix, inherits, turns }
    }

    fn generate_turn(&mut self) -> Turn {
        let shape = &self.workload.program;
        let message = shape.message_tokens.sample_integer(1, self.random);
        let generated = shape.generated_tokens.sample_integer(1, self.random);
        Turn {
            message: self.generate_segment(message),
            generated: Tokens(generated.min(shape.max_generated)),
            answer_hash: self.random.random(),
            next_step: NextStep::End,
        }
    }

    fn choose_next_step(&mut self, may_branch: bool, instructions: Segment) -> NextStep {
        let shape = &self.workload.program;
        if may_branch && self.random.random_bool(shape.branch_probability) {
            let count = shape.sub_agents.sample_integer(0, self.random);
            if count > 0 {
                let children = (0..count).map(|_| self.generate_sub_agent(instructions)).collect();
                return NextStep::SubAgents(children);
            }
        }
        let tool = self.choose_tool();
        let chosen_tool = &self.workload.tools[tool];
        if self.random.random_bool(chosen_tool.hang_probability) {
            return NextStep::Hang { tool };
        }
        let seconds = chosen_tool.pause_seconds.sample(self.random);
        NextStep::Pause { tool, length: Duration::from_secs_f64(seconds) }
    }

    fn generate_sub_agent(&mut self, instructions: Segment) -> ChainScript {
        let shape = &self.workload.program;
        let turns = shape.sub_agent_turns.sample_integer(1, self.random);
        let inherits = self.random.random_bool(shape.inherit_probability);
        self.generate_chain(vec![instructions], inherits, turns, None, false)
    }

    fn choose_tool(&mut self) -> usize {
        let tools = &self.workload.tools;
        let total: f64 = tools.iter().map(|tool| tool.weight).sum();
        let mut remaining_weight = self.random.random_range(0.0..total);
        for (index, tool) in tools.iter().enumerate() {
            remaining_weight -= tool.weight;
            if remaining_weight < 0.0 {
                return index;
            }
        }
        tools.len() - 1
    }

    fn generate_segment(&mut self, tokens: u64) -> Segment {
        Segment { hash: self.random.random(), tokens: Tokens(tokens) }
    }
}
