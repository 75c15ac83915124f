//! Rate limits kept by the owner of a replica group, asked through a gateway, in virtual time.

mod cluster;

use cluster::{Cluster, GATEWAY, GROUP, LINK_DELAY, OTHER_GATEWAYS};
use dahlia_limits::{
    KeeperTerm, LimitCommand, LimitReply, ProgramKey, RateLimit, TenantUsage, UsageReport, Verdict,
    VersionedLimit,
};
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_replication::group::GroupSettings;
use dahlia_types::{DaemonId, Duration, Incarnation, TenantId};

/// To the owner and back.
const TWO_LINKS: Duration = Duration::from_micros(2 * LINK_DELAY.as_micros());

fn known() -> VersionedLimit {
    let limit = RateLimit::new(10.0, 100.0).expect("a limit").expect("some");
    VersionedLimit { generation: 1, limit }
}

fn put(cluster: &mut Cluster, command: LimitCommand) -> RequestId {
    cluster.request(Request::Limits { group: GROUP, command })
}

fn reply(response: Response) -> LimitReply {
    match response {
        Response::Limits(reply) => reply,
        other => panic!("expected a keeper's answer, found {other:?}"),
    }
}

fn question() -> LimitCommand {
    let (tenant, limit) = (TenantId::new("oak"), known());
    LimitCommand::Ask { tenant, limit, program: None, max_wait: Duration::ZERO }
}

fn report(requests: usize) -> LimitCommand {
    let usage = TenantUsage {
        tenant: TenantId::new("oak"),
        limit: known(),
        requests: vec![Some(ProgramKey(1)); requests],
        delayed: Vec::new(),
        refunded: Vec::new(),
        past: Vec::new(),
    };
    let (gateway, incarnation) = (DaemonId(GATEWAY), Incarnation(1));
    LimitCommand::Report(UsageReport { gateway, incarnation, sequence: 1, usage: vec![usage] })
}

fn ask(cluster: &mut Cluster) -> (Verdict, KeeperTerm, Duration) {
    let id = put(cluster, question());
    let (response, took) = cluster.wait_for_response(id);
    let LimitReply::Answer { verdict, keeper, .. } = reply(response) else {
        panic!("a question has an answer");
    };
    (verdict, keeper, took)
}

#[test]
fn the_owner_answers_without_its_log() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    let before = cluster.ledger(cluster.owner().expect("an owner")).size();
    let (verdict, _, took) = ask(&mut cluster);
    assert_eq!((verdict, took), (Verdict::Pass { after: Duration::ZERO }, TWO_LINKS));
    assert_eq!(cluster.ledger(cluster.owner().expect("an owner")).size(), before);
}

#[test]
fn what_a_gateway_reported_is_counted_for_all() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    // A keeper that has been there for ten seconds takes the bucket for full.
    cluster.advance(Duration::from_secs(10));
    let id = put(&mut cluster, report(100));
    let LimitReply::Counted { scarce, .. } = reply(cluster.wait_for_response(id).0) else {
        panic!("a report is counted");
    };
    assert_eq!(scarce, [TenantId::new("oak")]);
    let (verdict, _, _) = ask(&mut cluster);
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

#[test]
fn another_owner_keeps_the_limit_under_another_term() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    let (_, first, _) = ask(&mut cluster);
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let (_, second, took) = ask(&mut cluster);
    assert!(second.0 > first.0, "{second:?} after {first:?}");
    assert!(took < Duration::from_millis(3_500), "{took:?}");
}

#[test]
fn a_gateway_that_is_cut_off_reaches_the_keeper_by_way_of_another() {
    let mut cluster = Cluster::start_with_other_gateways(GroupSettings::default());
    ask(&mut cluster);
    assert!(!OTHER_GATEWAYS.is_empty());
    cluster.cut_from_stores(GATEWAY);
    let (_, _, took) = ask(&mut cluster);
    assert!(took <= Duration::from_millis(300), "{took:?}");
}
