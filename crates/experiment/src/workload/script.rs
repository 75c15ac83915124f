//! What each program will do, drawn before the run and told to nobody.

use dahlia_engine_model::Segment;
use dahlia_types::{Duration, TenantId, Timestamp, Tokens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::Zipf;

use super::{ProgramShape, Workload};

/// What follows an answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum After {
    /// The chain ends.
    End,
    /// A tool or a person answers after a while.
    Pause { tool: usize, length: Duration },
    /// A tool never returns.
    Hang { tool: usize },
    /// The caller never comes back.
    Abandon,
    /// Sub-agents run, and the chain goes on when all have ended.
    SubAgents(Vec<ChainScript>),
}

/// One call of a chain.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Turn {
    /// What is new in the history.
    pub message: Segment,
    /// Tokens that the model will generate.
    pub generated: Tokens,
    /// Hash of the answer.
    pub answer_hash: u64,
    pub after: After,
}

/// A chain of calls.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ChainScript {
    /// History before the first call; for an inheriting sub-agent, before its own first message.
    pub prefix: Vec<Segment>,
    /// Whether the parent's history comes before everything.
    pub inherits: bool,
    pub turns: Vec<Turn>,
}

/// A program.
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
    let arrivals = arrivals(workload, load, &mut random);
    let tenants = Tenants::draw(&workload.program, seed);
    let programs = arrivals.into_iter().map(|arrives| {
        // Each program has its own stream, so that one's shape does not move the next one's.
        let mut own = ChaCha8Rng::seed_from_u64(random.random());
        Writer { workload, random: &mut own }.program(arrives, &tenants)
    });
    programs.collect()
}

/// A Poisson process with the rate of the phase.
fn arrivals(workload: &Workload, load: f64, random: &mut ChaCha8Rng) -> Vec<Timestamp> {
    let run = &workload.run;
    let highest = run.phases.iter().map(|phase| phase.factor).fold(1.0, f64::max);
    let peak = run.programs_per_second * load * highest;
    let mut found = Vec::new();
    let mut now = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        now -= uniform.ln() / peak;
        if now >= run.seconds {
            return found;
        }
        // Thinning: candidates at the peak rate are kept in proportion (Lewis and Shedler 1979).
        let phase = run.phases.iter().find(|phase| now < phase.until_seconds);
        let factor = phase.map_or(1.0, |phase| phase.factor);
        if random.random_range(0.0..highest) < factor {
            found.push(Timestamp::ZERO + Duration::from_secs_f64(now));
        }
    }
}

/// The tenants' instructions and their shares of the programs.
struct Tenants {
    instructions: Vec<Segment>,
    shares: Zipf<f64>,
}

impl Tenants {
    fn draw(shape: &ProgramShape, seed: u64) -> Self {
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

struct Writer<'a> {
    workload: &'a Workload,
    random: &'a mut ChaCha8Rng,
}

impl Writer<'_> {
    fn program(&mut self, arrives: Timestamp, tenants: &Tenants) -> ProgramScript {
        let shape = &self.workload.program;
        let rank: f64 = self.random.sample(tenants.shares);
        let tenant = (rank as usize - 1).min(shape.tenants - 1);
        let document = shape.document_tokens.sample_integer(1, self.random);
        let document = self.segment(document);
        let prefix = vec![tenants.instructions[tenant], document];
        let loops = self.random.random_bool(shape.loop_share);
        let turns = if loops {
            u64::from(shape.turn_limit)
        } else {
            shape.turns.sample_integer(1, self.random).min(u64::from(shape.turn_limit))
        };
        let abandoned = self.random.random_bool(shape.abandon_share);
        let abandoned_at = abandoned.then(|| self.random.random_range(0..turns));
        let main = self.chain(prefix, false, turns, abandoned_at, true);
        ProgramScript {
            arrives,
            tenant: TenantId::new(format!("tenant-{tenant}")),
            entry: self.random.random_range(0..self.workload.deployment.zones.len()),
            main,
        }
    }

    fn chain(
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
            let mut turn = self.turn();
            length += turn.message.tokens.0 + turn.generated.0;
            let last = number + 1 == count || length >= self.workload.program.history_limit;
            turn.after = if abandoned_at == Some(number) {
                After::Abandon
            } else if last {
                After::End
            } else {
                self.after(may_branch, instructions)
            };
            let ends = matches!(turn.after, After::End | After::Abandon | After::Hang { .. });
            turns.push(turn);
            if ends {
                break;
            }
        }
        ChainScript { prefix, inherits, turns }
    }

    fn turn(&mut self) -> Turn {
        let shape = &self.workload.program;
        let message = shape.message_tokens.sample_integer(1, self.random);
        let generated = shape.generated_tokens.sample_integer(1, self.random);
        Turn {
            message: self.segment(message),
            generated: Tokens(generated.min(shape.max_generated)),
            answer_hash: self.random.random(),
            after: After::End,
        }
    }

    fn after(&mut self, may_branch: bool, instructions: Segment) -> After {
        let shape = &self.workload.program;
        if may_branch && self.random.random_bool(shape.branch_probability) {
            let count = shape.sub_agents.sample_integer(0, self.random);
            if count > 0 {
                let children = (0..count).map(|_| self.sub_agent(instructions)).collect();
                return After::SubAgents(children);
            }
        }
        let tool = self.tool();
        let drawn = &self.workload.tools[tool];
        if self.random.random_bool(drawn.hang_probability) {
            return After::Hang { tool };
        }
        let seconds = drawn.pause_seconds.sample(self.random);
        After::Pause { tool, length: Duration::from_secs_f64(seconds) }
    }

    fn sub_agent(&mut self, instructions: Segment) -> ChainScript {
        let shape = &self.workload.program;
        let turns = shape.sub_agent_turns.sample_integer(1, self.random);
        let inherits = self.random.random_bool(shape.inherit_probability);
        self.chain(vec![instructions], inherits, turns, None, false)
    }

    fn tool(&mut self) -> usize {
        let tools = &self.workload.tools;
        let total: f64 = tools.iter().map(|tool| tool.weight).sum();
        let mut left = self.random.random_range(0.0..total);
        for (index, tool) in tools.iter().enumerate() {
            left -= tool.weight;
            if left < 0.0 {
                return index;
            }
        }
        tools.len() - 1
    }

    fn segment(&mut self, tokens: u64) -> Segment {
        Segment { hash: self.random.random(), tokens: Tokens(tokens) }
    }
}
