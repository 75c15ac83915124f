//! `/metrics`, `/healthz` and `/readyz` after a few calls.

mod support;

use support::{System, TENANT, send};

/// The value of the metric `name` in the text format.
fn value(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a number")
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_calls_attempts_refusals_and_first_texts() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    system.ask(&program, "Fault code 31").await.content();
    system.ask(&program, "Serial 4711").await.content();
    let poor = system.program_with(TENANT, 3).await.program;
    assert_eq!(system.ask(&poor, "A question longer than three tokens").await.status, 402);
    // A status query updates the gauges.
    system.status(0).await;
    let text = system.metrics(0).await;
    let value = |name: &str| value(&text, name);
    assert_eq!(value("dahlialadder_requests_total"), 3.0);
    assert_eq!(value("dahlialadder_attempts_total"), 2.0);
    assert_eq!(value(r#"dahlialadder_attempt_outcomes_total{outcome="ran"}"#), 2.0);
    assert_eq!(value(r#"dahlialadder_errors_total{error="budget_exhausted"}"#), 1.0);
    assert_eq!(value("dahlialadder_first_text_seconds_count"), 2.0);
    assert_eq!(value(r#"dahlialadder_first_text_seconds_bucket{le="10"}"#), 2.0);
    assert_eq!(value("dahlialadder_groups_led"), 4.0);
    assert_eq!(value("dahlialadder_programs"), 2.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_readiness_are_served() {
    let system = System::one_daemon().await;
    let health = send(system.client.get(system.url(0, "/healthz"))).await;
    assert_eq!((health.status.as_u16(), health.text.as_str()), (200, "alive\n"));
    let ready = send(system.client.get(system.url(0, "/readyz"))).await;
    assert_eq!(ready.status, 200);
    assert_eq!(ready.json()["live_engines"], 1);
}
