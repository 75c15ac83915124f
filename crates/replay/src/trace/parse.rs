//! Text to trace. Errors name the line and the field.

use dahlia_types::Duration;
use snafu::Snafu;

use super::event::{
    CrashPoint, Deployment, EndOfProgram, Event, Expectation, Fault, OutcomeKind, ProgramScript,
    PromptForm, Subject, Work,
};
use super::line::{Line, error};
use super::{Timed, Trace};
use crate::Promise;

/// A trace that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum TraceError {
    /// A field is missing, unknown or has a value that is not allowed.
    #[snafu(display("line {line}: field `{field}` is {value:?}; allowed: {allowed}"))]
    Field {
        /// The line, from 1.
        line: usize,
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A line begins with a word that no trace knows.
    #[snafu(display("line {line}: no such line: {keyword:?}"))]
    Keyword {
        /// The line, from 1.
        line: usize,
        /// The word.
        keyword: String,
    },
    /// The trace does not say what it is for.
    #[snafu(display("no line `trace name=… promise=…`"))]
    Headless,
}

const PROMPT_FORMS: [(PromptForm, &str); 2] =
    [(PromptForm::New, "new"), (PromptForm::Whole, "whole")];
const ENDS: [(EndOfProgram, &str); 3] = [
    (EndOfProgram::Close, "close"),
    (EndOfProgram::Leave, "leave"),
    (EndOfProgram::Abandon, "abandon"),
];
const YES_OR_NO: [(bool, &str); 2] = [(true, "yes"), (false, "no")];

/// Reads a trace.
///
/// # Errors
/// [`TraceError`] naming the first line that cannot be read.
pub fn parse(text: &str) -> Result<Trace, TraceError> {
    let mut head = None;
    let mut deployment = Deployment::default();
    let mut events = Vec::new();
    let mut expectations = Vec::new();
    for (index, text) in text.lines().enumerate() {
        let text = text.split('#').next().unwrap_or_default();
        if text.trim().is_empty() {
            continue;
        }
        let mut line = Line::read(index + 1, text)?;
        match (line.keyword.as_str(), line.at) {
            ("trace", None) => head = Some(read_head(&mut line)?),
            ("deployment", None) => deployment = read_deployment(&mut line)?,
            ("expect", None) => expectations.push(read_expectation(&mut line)?),
            (_, Some(at)) => events.push(Timed { at, event: read_event(&mut line)? }),
            _ => return KeywordSnafu { line: line.number, keyword: line.keyword }.fail(),
        }
        line.finish()?;
    }
    let (name, promise, seed, seeds) = head.ok_or(TraceError::Headless)?;
    events.sort_by_key(|timed| timed.at);
    Ok(Trace { name, promise, seed, seeds, deployment, events, expectations })
}

fn read_head(line: &mut Line) -> Result<(String, Promise, u64, u64), TraceError> {
    let name = line.required("name", "a name")?;
    let promise: String = line.required("promise", "a promise")?;
    let number = line.number;
    let parsed =
        promise.parse().map_err(|allowed: String| error(number, "promise", &promise, allowed))?;
    Ok((name, parsed, line.number("seed", 1)?, line.number("seeds", 1)?))
}

fn read_deployment(line: &mut Line) -> Result<Deployment, TraceError> {
    let base = Deployment::default();
    let zones: Option<String> = line.optional("zones", "names with commas between them")?;
    let zones = zones.map(|text| text.split(',').map(str::to_owned).collect());
    let deployment = Deployment {
        zones: zones.unwrap_or(base.zones),
        daemons: line.number("daemons", base.daemons)?,
        groups: line.number("groups", base.groups)?,
        replicas: line.number("replicas", base.replicas)?,
        engines: line.number("engines", base.engines)?,
        cache: line.number("cache", base.cache)?,
        batch: line.number("batch", base.batch)?,
        zone_link: line.duration("zone_link", base.zone_link)?,
        client_link: line.duration("client_link", base.client_link)?,
        loss: line.number("loss", base.loss)?,
        duplicate: line.number("duplicate", base.duplicate)?,
        reorder: line.number("reorder", base.reorder)?,
        attempt_limit: line.duration("attempt_limit", base.attempt_limit)?,
    };
    check_deployment(line.number, &deployment)?;
    Ok(deployment)
}

fn check_deployment(line: usize, deployment: &Deployment) -> Result<(), TraceError> {
    let counts = [
        ("daemons", deployment.daemons, 1, 100),
        ("groups", deployment.groups, 1, 100),
        ("replicas", deployment.replicas, 1, deployment.daemons.min(7)),
        ("engines", deployment.engines, 1, 100),
        ("batch", deployment.batch, 1, 1_000),
    ];
    for (field, value, low, high) in counts {
        if !(low..=high).contains(&value) {
            return Err(error(line, field, &value.to_string(), format!("{low} to {high}")));
        }
    }
    let shares = [
        ("loss", deployment.loss),
        ("duplicate", deployment.duplicate),
        ("reorder", deployment.reorder),
    ];
    for (field, value) in shares {
        if !(0.0..=0.5).contains(&value) {
            return Err(error(line, field, &value.to_string(), "0 to 0.5"));
        }
    }
    Ok(())
}

fn read_expectation(line: &mut Line) -> Result<Expectation, TraceError> {
    Ok(Expectation {
        program: line.optional("program", "a program's name")?.unwrap_or_default(),
        outcome: line.choice("outcome", &OutcomeKind::ALL, None)?,
        least: line.number("least", 0)?,
        most: line.number("most", u32::MAX)?,
    })
}

fn read_event(line: &mut Line) -> Result<Event, TraceError> {
    if let Some(work) = read_work(line)? {
        return Ok(Event::Work(work));
    }
    match read_fault(line)? {
        Some(fault) => Ok(Event::Fault(fault)),
        None => KeywordSnafu { line: line.number, keyword: line.keyword.clone() }.fail(),
    }
}

fn read_work(line: &mut Line) -> Result<Option<Work>, TraceError> {
    const NAME: &str = "a program's name";
    Ok(Some(match line.keyword.as_str() {
        "program" => Work::Program(read_program(line)?),
        "raise" => Work::Raise {
            program: line.required("program", NAME)?,
            budget: line.required("budget", "a number of tokens")?,
        },
        "close" => Work::Close { program: line.required("program", NAME)? },
        "change" => Work::Change {
            name: line.required("name", "a name")?,
            gateway: line.number("gateway", 1)?,
        },
        "repeat" => Work::Repeat {
            program: line.required("program", NAME)?,
            chain: line.number("chain", 0)?,
            number: line.required("number", "a call's number from 1")?,
            gateway: line.required("gateway", "a daemon's number")?,
        },
        _ => return Ok(None),
    }))
}

fn read_program(line: &mut Line) -> Result<ProgramScript, TraceError> {
    let base = ProgramScript::default();
    Ok(ProgramScript {
        name: line.required("name", "a name")?,
        tenant: line.optional("tenant", "a name")?.unwrap_or(base.tenant),
        group: line.number("group", base.group)?,
        budget: line.number("budget", base.budget)?,
        expiry: line.duration("expiry", base.expiry)?,
        turns: line.number("turns", base.turns)?,
        prompt: line.number("prompt", base.prompt)?,
        answer: line.number("answer", base.answer)?,
        pause: line.duration("pause", base.pause)?,
        gateway: line.number("gateway", base.gateway)?,
        once: line.number("once", base.once)?,
        agents: line.number("agents", base.agents)?,
        agent_turns: line.number("agent_turns", base.agent_turns)?,
        hang: line.number("hang", base.hang)?,
        pipelined: line.choice("pipelined", &YES_OR_NO, Some(base.pipelined))?,
        form: line.choice("form", &PROMPT_FORMS, Some(base.form))?,
        end: line.choice("end", &ENDS, Some(base.end))?,
    })
}

fn read_fault(line: &mut Line) -> Result<Option<Fault>, TraceError> {
    const ZONE: &str = "a zone's name";
    const ENGINE: &str = "an engine's number";
    let length = line.duration("for", Duration::ZERO)?;
    Ok(Some(match line.keyword.as_str() {
        "kill" => Fault::Kill { subject: read_subject(line)?, length },
        "freeze" => Fault::Freeze { subject: read_subject(line)?, length },
        "crash" => Fault::Crash {
            point: line.choice("point", &CrashPoint::ALL, None)?,
            skip: line.number("skip", 0)?,
            length,
        },
        "pause" => Fault::Pause {
            point: line.choice("point", &CrashPoint::ALL, None)?,
            skip: line.number("skip", 0)?,
            length,
        },
        "cut" => Fault::Cut {
            from: line.required("from", ZONE)?,
            to: line.required("to", ZONE)?,
            length,
        },
        "isolate" => Fault::Isolate { zone: line.required("zone", ZONE)?, length },
        "slow" => {
            let by = line.duration("by", Duration::from_millis(50))?;
            Fault::Slow { zone: line.required("zone", ZONE)?, by, length }
        }
        "outage" => Fault::Outage { length },
        "lost-reply" => Fault::LostReply { count: line.number("count", 1)? },
        "stale" => Fault::Stale { length },
        "leave" => Fault::Leave { engine: line.required("engine", ENGINE)?, length },
        "lag" => {
            let by = line.duration("by", Duration::from_secs(1))?;
            Fault::Lag { engine: line.required("engine", ENGINE)?, by, length }
        }
        "late" => {
            let by = line.duration("by", Duration::from_millis(500))?;
            Fault::Late { engine: line.required("engine", ENGINE)?, by, length }
        }
        "crossed" => Fault::Crossed { engine: line.required("engine", ENGINE)?, length },
        "lose-replies" => Fault::LoseReplies {
            engine: line.required("engine", ENGINE)?,
            count: line.number("count", 1)?,
        },
        "stop" => Fault::Stop { daemon: line.required("daemon", "a daemon's number")?, length },
        _ => return Ok(None),
    }))
}

fn read_subject(line: &mut Line) -> Result<Subject, TraceError> {
    if let Some(daemon) = line.optional("daemon", "a daemon's number")? {
        return Ok(Subject::Daemon(daemon));
    }
    if let Some(engine) = line.optional("engine", "an engine's number")? {
        return Ok(Subject::Engine(engine));
    }
    let group = line.required("owner", "a group's number, or instead a daemon= or an engine=")?;
    Ok(Subject::OwnerOf(group))
}
