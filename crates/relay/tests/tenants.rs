//! Whose request it is: what a caller may not say, keys, ranks, names of a tenant's own, and limits.

mod common;

use std::fmt::Write as _;

use common::caller::{Caller, call, post};
use common::ledger::unavailable;
use common::stand_in::{Got, StandIn, chunk, event, last_chunk, ok, shed, stream_head};
use common::{Bed, resumable, route, table, turns, until};
use dahlia_ledger::{LedgerReply, ProgramName, TurnEnd, TurnId, TurnRefusal};
use dahlia_limits::{RateLimit, VersionedLimit};
use dahlia_relay::{RelaySettings, Route, RouteTable, Tenant};
use dahlia_types::{Duration, KeyDigest, TenantId};

const KEY: &str = "Authorization: Key secret-of-oak\r\n";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let digest = |key: &&str| KeyDigest::of(key.as_bytes());
    let keys = keys.iter().map(digest).collect();
    Tenant { name: TenantId::new(name), keys, priority: None, limit: None }
}

fn oak() -> Tenant {
    tenant("oak", &["secret-of-oak", "second-of-oak"])
}

fn elm() -> Tenant {
    tenant("elm", &["secret-of-elm"])
}

fn tenants(routes: Vec<Route>, tenants: Vec<Tenant>) -> RouteTable {
    RouteTable { tenants: Some(tenants), ..table(routes) }
}

/// All values of a header, as a server got them.
fn values<'a>(got: &'a Got, name: &str) -> Vec<&'a str> {
    let same = got.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    same.map(|(_, value)| value.as_str()).collect()
}

/// All that a server got, for what must not be in it.
fn bytes(got: &Got) -> String {
    let mut text = format!("{}\n{}", got.line, got.body);
    for (name, value) in &got.headers {
        write!(text, "\n{name}: {value}").expect("a text takes all");
    }
    text
}

#[tokio::test]
async fn what_only_the_system_may_say_never_reaches_a_server_from_a_caller() {
    struct Case {
        name: &'static str,
        lines: &'static str,
    }
    let cases = [
        Case { name: "plain", lines: "X-Tenant: elm\r\nX-Hold: forged\r\nX-Memory: forged\r\n" },
        Case {
            name: "in another case",
            lines: "x-TENANT: elm\r\nX-HOLD: forged\r\nx-memory: forged\r\n",
        },
        Case {
            name: "twice",
            lines: "X-Tenant: elm\r\nX-Tenant: oak\r\nX-Hold: forged\r\nX-Hold: forged\r\n",
        },
        Case {
            name: "named in Connection",
            lines: "Connection: x-tenant, x-hold, authorization\r\nX-Tenant: elm\r\nX-Hold: forged\r\n",
        },
        Case {
            name: "with the relay's own",
            lines: "X-Priority: 0\r\nX-Expected: forged\r\nX-Tenant: elm\r\n",
        },
    ];
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(tenants(vec![route()], vec![oak(), elm()])), &[&server]).await;
    for Case { name, lines } in cases {
        let reply = call(bed.address, &post("t-1", &format!("{lines}{KEY}"), "")).await;
        assert_eq!(reply.status, 200, "{name}");
        let got = server.got().pop().expect("it came");
        assert_eq!(values(&got, "x-tenant"), ["oak"], "{name}");
        assert_eq!(values(&got, "x-expected"), ["s-1"], "{name}");
        assert_eq!(values(&got, "x-priority"), ["5"], "{name}");
        let bytes = bytes(&got);
        assert!(!bytes.contains("forged") && !bytes.contains("elm"), "{name}: {bytes}");
        assert!(!bytes.contains("secret"), "{name}: the key went on: {bytes}");
    }
}

#[tokio::test]
async fn a_trailer_names_no_tenant() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(tenants(vec![route()], vec![oak(), elm()])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    let head = "POST /a/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\nTrailer: X-Tenant\r\n\
                Transfer-Encoding: chunked\r\n";
    caller
        .send(&format!("{head}{KEY}\r\n3\r\nabc\r\n0\r\nX-Tenant: elm\r\nX-Hold: forged\r\n\r\n"))
        .await;
    assert_eq!(caller.reply().await.status, 200);
    let got = server.got().remove(0);
    assert_eq!(values(&got, "x-tenant"), ["oak"]);
    assert!(!bytes(&got).contains("forged"));
}

#[tokio::test]
async fn a_second_server_is_told_the_tenant_and_not_the_key() {
    let first = StandIn::new("s-1", shed).await;
    let second = StandIn::new("s-2", ok).await;
    let bed = Bed::new(Some(tenants(vec![route()], vec![oak()])), &[&first, &second]).await;
    // Which one comes first is drawn: in some of these calls it is the one that refuses.
    for number in 0..12 {
        let reply = call(bed.address, &post(&format!("t-{number}"), KEY, "")).await;
        assert_eq!(reply.status, 200);
    }
    assert!(!first.got().is_empty(), "no call met the first server");
    for got in first.got().iter().chain(&second.got()) {
        assert_eq!(values(got, "x-tenant"), ["oak"]);
        assert!(!bytes(got).contains("secret"));
    }
}

#[tokio::test]
async fn a_stream_that_is_resumed_is_told_the_tenant_and_not_the_key() {
    let script = |got: &Got| match got.header("x-last-event") {
        None => vec![stream_head(got), chunk(&event(1, "a")), common::stand_in::Step::Reset],
        Some(_) => vec![stream_head(got), chunk(&event(2, "b")), last_chunk()],
    };
    let first = StandIn::new("s-1", script).await;
    let second = StandIn::new("s-2", script).await;
    let bed = Bed::new(Some(tenants(vec![resumable()], vec![oak()])), &[&first, &second]).await;
    let reply = call(bed.address, &post("t-1", KEY, "")).await;
    assert!(reply.is_whole);
    let got: Vec<Got> = first.got().into_iter().chain(second.got()).collect();
    assert_eq!(got.len(), 2);
    for got in &got {
        assert_eq!(values(got, "x-tenant"), ["oak"]);
        assert!(!bytes(got).contains("secret"));
    }
}

#[tokio::test]
async fn keys_open_what_their_tenant_may_do() {
    struct Case {
        name: &'static str,
        lines: &'static str,
        path: &'static str,
        status: u16,
        tenant: &'static [&'static str],
    }
    let cases = [
        Case { name: "a key", lines: KEY, path: "/a/", status: 200, tenant: &["oak"] },
        Case {
            name: "the second key",
            lines: "Authorization: Key second-of-oak\r\n",
            path: "/a/",
            status: 200,
            tenant: &["oak"],
        },
        Case {
            name: "another tenant's",
            lines: "Authorization: Key secret-of-elm\r\n",
            path: "/a/",
            status: 200,
            tenant: &["elm"],
        },
        Case {
            name: "the scheme in another case",
            lines: "Authorization: kEY  secret-of-oak\r\n",
            path: "/a/",
            status: 200,
            tenant: &["oak"],
        },
        Case { name: "no key", lines: "", path: "/a/", status: 401, tenant: &[] },
        Case {
            name: "an empty key",
            lines: "Authorization: Key \r\n",
            path: "/a/",
            status: 401,
            tenant: &[],
        },
        Case {
            name: "another scheme",
            lines: "Authorization: Bearer secret-of-oak\r\n",
            path: "/a/",
            status: 401,
            tenant: &[],
        },
        Case {
            name: "no scheme",
            lines: "Authorization: secret-of-oak\r\n",
            path: "/a/",
            status: 401,
            tenant: &[],
        },
        Case {
            name: "an unknown key",
            lines: "Authorization: Key secret-of-oa\r\n",
            path: "/a/",
            status: 401,
            tenant: &[],
        },
        Case {
            name: "two keys",
            lines: "Authorization: Key secret-of-oak\r\nAuthorization: Key secret-of-elm\r\n",
            path: "/a/",
            status: 401,
            tenant: &[],
        },
        Case {
            name: "an open route without a key",
            lines: "",
            path: "/open/",
            status: 200,
            tenant: &[],
        },
        Case {
            name: "an open route with a key",
            lines: KEY,
            path: "/open/",
            status: 200,
            tenant: &["oak"],
        },
        Case {
            name: "an open route with an unknown key",
            lines: "Authorization: Key x\r\n",
            path: "/open/",
            status: 200,
            tenant: &[],
        },
        Case { name: "no route", lines: KEY, path: "/none/", status: 404, tenant: &[] },
    ];
    let server = StandIn::new("s-1", ok).await;
    let open = Route { path_prefix: "/open/".into(), is_open: true, ..route() };
    let bed = Bed::new(Some(tenants(vec![route(), open], vec![oak(), elm()])), &[&server]).await;
    for Case { name, lines, path, status, tenant } in cases {
        let before = server.got().len();
        let request = post("t-1", lines, "").replacen("/a/", path, 1);
        let reply = call(bed.address, &request).await;
        assert_eq!(reply.status, status, "{name}");
        let got = server.got().split_off(before);
        assert_eq!(got.len(), usize::from(status == 200), "{name}");
        for got in &got {
            assert_eq!(values(got, "x-tenant"), tenant, "{name}");
            assert!(
                !bytes(got).contains("secret") && values(got, "authorization").is_empty(),
                "{name}"
            );
        }
        if status == 401 {
            assert_eq!(reply.header("www-authenticate"), Some("Key"), "{name}");
            assert!(!reply.body.contains("secret"), "{name}: {}", reply.body);
        }
    }
}

#[tokio::test]
async fn before_any_configuration_nobody_is_told_that_a_key_is_unknown() {
    let bed = Bed::new(None, &[]).await;
    assert_eq!(call(bed.address, &post("t-1", KEY, "")).await.status, 503);
}

#[tokio::test]
async fn a_key_that_is_taken_away_stops_with_the_configuration() {
    let server = StandIn::new("s-1", ok).await;
    let first = tenants(vec![route()], vec![oak()]);
    let bed = Bed::new(Some(first.clone()), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", KEY, "")).await;
    assert_eq!(caller.reply().await.status, 200);
    let left = tenant("oak", &["second-of-oak"]);
    let next = RouteTable { generation: 2, tenants: Some(vec![left]), ..first };
    bed.relay.set_routes(std::sync::Arc::new(next));
    // Also on a connection that stays open.
    caller.send(&post("t-2", KEY, "")).await;
    assert_eq!(caller.reply().await.status, 401);
}

#[tokio::test]
async fn without_tenants_a_callers_authorization_is_the_services_matter() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
    assert_eq!(call(bed.address, &post("t-1", KEY, "")).await.status, 200);
    let got = server.got().remove(0);
    assert_eq!(values(&got, "authorization"), ["Key secret-of-oak"]);
    assert_eq!(values(&got, "x-tenant"), [""; 0]);
}

#[tokio::test]
async fn a_tenants_rank_goes_before_its_routes() {
    let server = StandIn::new("s-1", ok).await;
    let ranked = |tenant: Tenant, priority| Tenant { priority: Some(priority), ..tenant };
    let urgent = Route { path_prefix: "/u/".into(), priority: 0, ..route() };
    let table = tenants(vec![urgent, route()], vec![ranked(oak(), 0), ranked(elm(), 1)]);
    let bed = Bed::new(Some(table), &[&server]).await;
    let mut levels = Vec::new();
    for (key, path) in [("oak", "/u/"), ("oak", "/a/"), ("elm", "/u/"), ("elm", "/a/")] {
        let lines = format!("Authorization: Key secret-of-{key}\r\n");
        let request = post("t-1", &lines, "").replacen("/a/", path, 1);
        assert_eq!(call(bed.address, &request).await.status, 200);
        let got = server.got().pop().expect("it came");
        let level: u32 = values(&got, "x-priority")[0].parse().expect("a number");
        levels.push(level);
    }
    assert!(levels.is_sorted_by(|left, right| left < right), "{levels:?}");
}

#[tokio::test]
async fn turns_are_named_with_their_tenant() {
    let stream = |got: &Got| vec![stream_head(got), chunk(&event(1, "a")), last_chunk()];
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(tenants(vec![turns()], vec![oak(), elm()])), &[&server]).await;
    for key in ["oak", "elm"] {
        let lines =
            format!("X-Program: p-1\r\nX-Previous: t-0\r\nAuthorization: Key secret-of-{key}\r\n");
        assert!(call(bed.address, &post("t-1", &lines, "")).await.is_whole);
    }
    let opened = bed.ledger.opened();
    for (open, name) in opened.iter().zip(["oak", "elm"]) {
        let tenant = TenantId::new(name);
        let (program, turn) =
            (ProgramName::new(Some(&tenant), "p-1"), TurnId::new(Some(&tenant), "t-1"));
        assert_eq!((&open.program, &open.turn), (&program, &turn));
        let previous = open.input.as_ref().and_then(|input| input.previous.clone());
        assert_eq!(previous, Some(TurnId::new(Some(&tenant), "t-0")));
    }
    assert_ne!(opened[0].program, opened[1].program, "two tenants may use one name");
    assert_eq!(bed.ledger.closed()[1].turn, opened[1].turn);
}

fn limited(tenant: Tenant) -> (Tenant, VersionedLimit) {
    let limit = RateLimit::new(10.0, 5.0).expect("a limit").expect("some");
    (Tenant { limit: Some(limit), ..tenant }, VersionedLimit { generation: 1, limit })
}

#[tokio::test]
async fn beyond_its_limit_a_tenant_is_told_at_once_when_to_come_back() {
    let server = StandIn::new("s-1", ok).await;
    let (oak, limit) = limited(oak());
    let bed = Bed::new(Some(tenants(vec![route()], vec![oak.clone(), elm()])), &[&server]).await;
    bed.ledger.next_limit(Duration::from_millis(1_250));
    let reply = call(bed.address, &post("t-1", KEY, "")).await;
    assert_eq!((reply.status, reply.header("retry-after")), (429, Some("1.250")));
    assert!(server.got().is_empty());
    assert_eq!(call(bed.address, &post("t-1", KEY, "")).await.status, 200);
    let other = "Authorization: Key secret-of-elm\r\n";
    assert_eq!(call(bed.address, &post("t-2", other, "")).await.status, 200);
    assert_eq!(
        bed.ledger.admissions(),
        [(oak.name, limit)],
        "a tenant without a limit is not counted"
    );
    assert!(bed.ledger.given_back().is_empty());
}

#[tokio::test]
async fn a_permit_comes_back_when_no_server_has_run_the_request() {
    let server = StandIn::new("s-1", |got| match got.line.contains("/lost/") {
        true => vec![common::stand_in::Step::Reset],
        false => shed(got),
    })
    .await;
    let (oak, _) = limited(oak());
    let lost = Route { path_prefix: "/lost/".into(), ..common::once() };
    let table = tenants(vec![lost, turns()], vec![oak.clone()]);
    let bed = Bed::new(Some(table), &[&server]).await;
    let request = post("t-0", KEY, "").replacen("/a/", "/lost/", 1);
    assert_eq!(call(bed.address, &request).await.status, 502);
    assert!(bed.ledger.given_back().is_empty(), "it may have run");
    let turn = format!("X-Program: p-1\r\n{KEY}");
    let spent = TurnRefusal::BudgetSpent { budget: Default::default(), used: Default::default() };
    bed.ledger.next_open(Ok(LedgerReply::Refused(spent)));
    assert_eq!(call(bed.address, &post("t-1", &turn, "")).await.status, 402);
    assert_eq!(bed.ledger.given_back().len(), 1, "the ledger refused it");
    bed.ledger.next_open(unavailable());
    assert_eq!(call(bed.address, &post("t-2", &turn, "")).await.status, 503);
    assert_eq!(bed.ledger.given_back().len(), 2, "the ledger did not answer");
    assert_eq!(call(bed.address, &post("t-3", &turn, "")).await.status, 503);
    assert_eq!(bed.ledger.given_back().len(), 3, "every server refused it");
    assert_eq!(bed.ledger.ends().last(), Some(&TurnEnd::NotRun));
}

#[tokio::test]
async fn a_program_under_way_of_one_tenant_makes_none_of_another_go_before_others() {
    const UPLOADED: usize = 110 * 1_024;
    let server =
        StandIn::new("s-1", |got| vec![stream_head(got), chunk(&event(1, "a")), last_chunk()]);
    let server = server.await;
    let settings = RelaySettings { memory_mb: Some(1), ..RelaySettings::default() };
    let table = tenants(vec![turns()], vec![oak(), elm()]);
    let bed = Bed::with_settings(settings, Some(table), &[&server]).await;
    let turn = |name: &str, key: &str| post(name, &format!("X-Program: p-1\r\n{key}"), "first");
    assert_eq!(call(bed.address, &turn("t-1", KEY)).await.status, 200);
    let mut slow = Vec::new();
    for _ in 0..3 {
        let mut caller = Caller::new(bed.address).await;
        let head = post("t", KEY, "");
        let length = format!("Content-Length: {}", UPLOADED + 1);
        let head = head.replace("Content-Length: 0", &length);
        caller.send(&(head + &"x".repeat(UPLOADED))).await;
        slow.push(caller);
    }
    let held = || bed.relay.counters().held_bytes;
    until("they are held", || held() >= 3 * UPLOADED as u64).await;
    let elms = "Authorization: Key secret-of-elm\r\n";
    assert_eq!(call(bed.address, &turn("t-2", elms)).await.status, 503);
    assert_eq!(call(bed.address, &turn("t-3", KEY)).await.status, 200);
}
