//! Trace to text. What is written reads back as the same trace.

use std::fmt::Write as _;

use dahlia_types::Duration;

use super::event::{
    Deployment, EndOfProgram, Event, Expectation, Fault, ProgramScript, PromptForm, Subject, Work,
};
use super::line::write_duration;
use super::{Timed, Trace};

/// Writes a trace.
pub fn write(trace: &Trace) -> String {
    let mut text = String::new();
    let Trace { name, promise, seed, seeds, .. } = trace;
    // Writing into a string cannot fail.
    let _ = writeln!(text, "trace name={name} promise={promise} seed={seed} seeds={seeds}");
    let _ = writeln!(text, "{}", write_deployment(&trace.deployment));
    for Timed { at, event } in &trace.events {
        let event = match event {
            Event::Work(work) => write_work(work),
            Event::Fault(fault) => write_fault(fault),
        };
        let _ = writeln!(text, "{} {event}", write_duration(*at));
    }
    for expectation in &trace.expectations {
        let _ = writeln!(text, "{}", write_expectation(expectation));
    }
    text
}

fn write_deployment(deployment: &Deployment) -> String {
    format!(
        "deployment zones={} daemons={} groups={} replicas={} engines={} cache={} batch={} \
         zone_link={} client_link={} loss={} duplicate={} reorder={} attempt_limit={}",
        deployment.zones.join(","),
        deployment.daemons,
        deployment.groups,
        deployment.replicas,
        deployment.engines,
        deployment.cache,
        deployment.batch,
        write_duration(deployment.zone_link),
        write_duration(deployment.client_link),
        deployment.loss,
        deployment.duplicate,
        deployment.reorder,
        write_duration(deployment.attempt_limit),
    )
}

fn write_expectation(expectation: &Expectation) -> String {
    let mut text = format!("expect outcome={}", expectation.outcome.name());
    if !expectation.program.is_empty() {
        let _ = write!(text, " program={}", expectation.program);
    }
    if expectation.least > 0 {
        let _ = write!(text, " least={}", expectation.least);
    }
    if expectation.most < u32::MAX {
        let _ = write!(text, " most={}", expectation.most);
    }
    text
}

fn write_work(work: &Work) -> String {
    match work {
        Work::Program(script) => write_program(script),
        Work::Raise { program, budget } => format!("raise program={program} budget={budget}"),
        Work::Close { program } => format!("close program={program}"),
        Work::Change { name, gateway } => format!("change name={name} gateway={gateway}"),
        Work::Repeat { program, chain, number, gateway } => {
            format!("repeat program={program} chain={chain} number={number} gateway={gateway}")
        }
    }
}

fn write_program(script: &ProgramScript) -> String {
    let form = match script.form {
        PromptForm::New => "new",
        PromptForm::Whole => "whole",
    };
    let end = match script.end {
        EndOfProgram::Close => "close",
        EndOfProgram::Leave => "leave",
        EndOfProgram::Abandon => "abandon",
    };
    let pipelined = if script.pipelined { "yes" } else { "no" };
    format!(
        "program name={} tenant={} group={} budget={} expiry={} turns={} prompt={} answer={} \
         pause={} gateway={} once={} agents={} agent_turns={} hang={} pipelined={pipelined} \
         form={form} end={end}",
        script.name,
        script.tenant,
        script.group,
        script.budget,
        write_duration(script.expiry),
        script.turns,
        script.prompt,
        script.answer,
        write_duration(script.pause),
        script.gateway,
        script.once,
        script.agents,
        script.agent_turns,
        script.hang,
    )
}

fn write_fault(fault: &Fault) -> String {
    let fields = match fault {
        Fault::Kill { subject, .. } | Fault::Freeze { subject, .. } => match subject {
            Subject::Daemon(daemon) => format!(" daemon={daemon}"),
            Subject::Engine(engine) => format!(" engine={engine}"),
            Subject::OwnerOf(group) => format!(" owner={group}"),
        },
        Fault::Crash { point, skip, .. } | Fault::Pause { point, skip, .. } => {
            format!(" point={} skip={skip}", point.name())
        }
        Fault::Cut { from, to, .. } => format!(" from={from} to={to}"),
        Fault::Isolate { zone, .. } => format!(" zone={zone}"),
        Fault::Slow { zone, by, .. } => format!(" zone={zone} by={}", write_duration(*by)),
        Fault::Outage { .. } | Fault::Stale { .. } => String::new(),
        Fault::LostReply { count } => format!(" count={count}"),
        Fault::Leave { engine, .. } | Fault::Crossed { engine, .. } => format!(" engine={engine}"),
        Fault::Lag { engine, by, .. } | Fault::Late { engine, by, .. } => {
            format!(" engine={engine} by={}", write_duration(*by))
        }
        Fault::LoseReplies { engine, count } => format!(" engine={engine} count={count}"),
        Fault::Stop { daemon, .. } => format!(" daemon={daemon}"),
    };
    let length = fault.length();
    let length = if length == Duration::ZERO {
        String::new()
    } else {
        format!(" for={}", write_duration(length))
    };
    format!("{}{fields}{length}", fault.name())
}
