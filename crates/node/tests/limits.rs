//! Rate limits kept by the owner of a replica group, with requests through a gateway, in virtual time.

mod cluster;

use cluster::{Cluster, GATEWAY, GROUP, LINK_DELAY, OTHER_GATEWAYS};
use dahlia_limits::{
    KeeperTerm, LimitCommand, LimitReply, ProgramHandover, ProgramKey, RateLimit, TenantUsage,
    UsageReport, Verdict, VersionedLimit,
};
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_replication::group::GroupSettings;
use dahlia_types::{DaemonId, Duration, Incarnation, TenantId};

/// Round trip from the gateway to the owner.
const ROUND_TRIP: Duration = Duration::from_micros(2 * LINK_DELAY.as_micros());

fn versioned_limit() -> VersionedLimit {
    let limit =
        RateLimit::new(10.0, 100.0).expect("the rate is valid").expect("the rate is limited");
    VersionedLimit { generation: 1, limit }
}

fn send(cluster: &mut Cluster, command: LimitCommand) -> RequestId {
    cluster.request(Request::Limits { group: GROUP, command })
}

fn limit_reply(response: Response) -> LimitReply {
    match response {
        Response::Limits(reply) => reply,
        other => panic!("expected a keeper's reply, found {other:?}"),
    }
}

fn permit_request() -> LimitCommand {
    let (tenant, limit) = (TenantId::new("oak"), versioned_limit());
    LimitCommand::Ask { tenant, limit, program: None, max_wait: Duration::ZERO, progress: None }
}

fn usage_report(requests: usize) -> LimitCommand {
    let usage = TenantUsage {
        tenant: TenantId::new("oak"),
        limit: versioned_limit(),
        requests: vec![Some(ProgramKey(1)); requests],
        delayed: Vec::new(),
        refunded: Vec::new(),
        past: Vec::new(),
    };
    let (gateway, incarnation) = (DaemonId(GATEWAY), Incarnation(1));
    LimitCommand::Report(UsageReport {
        gateway,
        incarnation,
        sequence: 1,
        usage: vec![usage],
        handover: ProgramHandover::default(),
    })
}

/// Asks the keeper for a permit; returns the verdict, the term of the keeper and the time that it took.
fn ask(cluster: &mut Cluster) -> (Verdict, KeeperTerm, Duration) {
    let id = send(cluster, permit_request());
    let (response, took) = cluster.wait_for_response(id);
    let LimitReply::Answer { verdict, keeper, .. } = limit_reply(response) else {
        panic!("the reply to a question is an wait_for_response");
    };
    (verdict, keeper, took)
}

#[test]
fn the_owner_answers_without_writing_to_its_log() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    let before = cluster.ledger(cluster.owner().expect("an owner")).size();
    let (verdict, _, took) = ask(&mut cluster);
    assert_eq!((verdict, took), (Verdict::Pass { after: Duration::ZERO }, ROUND_TRIP));
    assert_eq!(cluster.ledger(cluster.owner().expect("an owner")).size(), before);
}

#[test]
fn requests_reported_by_a_gateway_count_against_the_limit() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    // After ten seconds a new keeper considers the bucket full.
    cluster.advance(Duration::from_secs(10));
    let id = send(&mut cluster, usage_report(100));
    let LimitReply::Counted { scarce, .. } = limit_reply(cluster.wait_for_response(id).0) else {
        panic!("the reply to a report is a count");
    };
    assert_eq!(scarce, [TenantId::new("oak")]);
    let (verdict, _, _) = ask(&mut cluster);
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

#[test]
fn a_new_owner_keeps_the_limit_under_a_later_term() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    let (_, first, _) = ask(&mut cluster);
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let (_, second, took) = ask(&mut cluster);
    assert!(second.0 > first.0, "{second:?} after {first:?}");
    assert!(took < Duration::from_millis(3_500), "{took:?}");
}

#[test]
fn a_gateway_that_is_cut_off_reaches_the_keeper_through_another() {
    let mut cluster = Cluster::start_with_other_gateways(GroupSettings::default());
    ask(&mut cluster);
    assert!(!OTHER_GATEWAYS.is_empty());
    cluster.cut_from_stores(GATEWAY);
    let (_, _, took) = ask(&mut cluster);
    assert!(took <= Duration::from_millis(300), "{took:?}");
}
