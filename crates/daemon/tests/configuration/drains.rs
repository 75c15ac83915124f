//! Daemons that the document drains.

use serde_json::json;

use crate::support::{MODEL, Operator, Plan, System, wait_for, wait_until_in_force};

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_the_document_drains_hands_over_and_comes_back() {
    let system = System::start(Plan::default()).await;
    let mut operator = Operator::at(&system.daemons[0]).await;
    wait_until_in_force(std::slice::from_mut(&mut operator), 1).await;
    let program = system.program(MODEL).await.expect("is created").program;
    operator.edit("draining_daemons = []", "draining_daemons = [2]", "drain").await;
    wait_for("the drained daemon to own nothing", async || {
        let (code, status) = system.readiness(&system.daemons[1]).await?;
        (code == 503 && status["groups_led"] == json!(0)).then_some(())
    })
    .await;
    wait_for("the others to own every group", async || {
        let mut led = 0;
        for position in [0, 2, 3] {
            let (_, status) = system.readiness(&system.daemons[position]).await?;
            led += status["groups_led"].as_u64()?;
        }
        (led == 4).then_some(())
    })
    .await;
    let (code, body) = system.call(&program, 4).await;
    assert_eq!(code, 200, "{body}");
    operator.edit("draining_daemons = [2]", "draining_daemons = []", "back").await;
    wait_for("the daemon to take calls again", async || {
        let (code, _) = system.readiness(&system.daemons[1]).await?;
        (code == 200).then_some(())
    })
    .await;
}
