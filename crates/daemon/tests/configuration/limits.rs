//! Defaults and limits of the document in force.

use dahlia_api::headers;
use dahlia_api::operators::CreateProgramRequest;

use crate::support::{MODEL, Operator, Plan, System, error_name, wait_until_in_force};

#[tokio::test(flavor = "multi_thread")]
async fn a_program_gets_the_documents_defaults_within_its_tenants_limits() {
    let system = System::start(Plan { daemons: 1, engines: 1, ..Plan::default() }).await;
    let mut operators = [Operator::at(&system.daemons[0]).await];
    wait_until_in_force(&mut operators, 1).await;
    let defaults = format!("[defaults]\nmodel = \"{MODEL}\"\n");
    operators[0].edit("[defaults]\n", &defaults, "model").await;
    operators[0].edit("budget_tokens = 1000000", "budget_tokens = 777", "budget").await;
    let limits = "[tenants.night-shift]\nmost_budget_tokens = 700\n[defaults]\n";
    operators[0].edit("[defaults]\n", limits, "limits").await;
    wait_until_in_force(&mut operators, 4).await;
    let plain = |tenant: &str, budget_tokens| CreateProgramRequest {
        tenant: tenant.to_owned(),
        budget_tokens,
        ..CreateProgramRequest::default()
    };
    let program = system.create(plain("day-shift", 0)).await.expect("takes the defaults");
    assert_eq!(program.model, MODEL);
    assert_eq!(program.budget.map(|budget| budget.total_tokens), Some(777));
    let refused = system.create(plain("night-shift", 0)).await.expect_err("over its limit");
    assert_eq!(error_name(&refused), "limit_reached");
    assert!(refused.message().contains("700"), "{}", refused.message());
    // The same request fails however often it is sent: an advice to come back would mislead.
    assert!(refused.metadata().get(headers::RPC_RETRY_AFTER).is_none(), "{refused:?}");
    system.create(plain("night-shift", 700)).await.expect("at its limit");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tenants_open_calls_are_limited() {
    let system = System::start(Plan { daemons: 1, engines: 1, ..Plan::default() }).await;
    let mut operators = [Operator::at(&system.daemons[0]).await];
    wait_until_in_force(&mut operators, 1).await;
    operators[0].edit("open_calls = 500", "open_calls = 2", "few").await;
    wait_until_in_force(&mut operators, 2).await;
    let mut programs = Vec::new();
    for _ in 0..6 {
        programs.push(system.program(MODEL).await.expect("is created").program);
    }
    let calls = programs.iter().map(|program| system.call(program, 40));
    let answers = futures::future::join_all(calls).await;
    let answered = answers.iter().filter(|(code, _)| *code == 200).count();
    let refused = answers
        .iter()
        .filter(|(code, body)| *code != 200 && body.to_string().contains("limit_reached"));
    assert_eq!((answered, refused.count()), (2, 4), "{answers:?}");
}
