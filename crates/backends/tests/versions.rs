//! Software versions of servers: choices at one version, and what a service recently had.

use std::net::SocketAddr;

use dahlia_backends::{
    BackendId, BackendRecord, BackendSettings, BackendState, Backends, Choice, ChoiceRequest,
    ServiceName, SoftwareVersion, VersionDigest, VersionView,
};
use dahlia_types::{Duration, Timestamp, Zone};

const NOW: Timestamp = Timestamp(1_000_000);
/// Travels between daemons.
const DIGEST_OF_V1_2: u64 = 18_296_317_616_087_943_713;
/// How long a version that left still counts.
const RECENT: Duration = Duration::from_secs(600);

fn service() -> ServiceName {
    ServiceName("service".into())
}

fn named(name: &str) -> SoftwareVersion {
    SoftwareVersion::Named(name.into())
}

fn digest(name: &str) -> VersionDigest {
    named(name).digest().expect("a named version has a digest")
}

fn record(number: usize, version: SoftwareVersion) -> BackendRecord {
    BackendRecord {
        id: BackendId::new(format!("s-{number}"), 0),
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 1 + number as u16)),
        zone: Zone("zone".into()),
        slots: 8,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version,
    }
}

fn backends(versions: &[SoftwareVersion]) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone("zone".into()), 1);
    for (number, version) in versions.iter().enumerate() {
        backends.put(record(number, version.clone()), NOW);
    }
    backends
}

fn choose(backends: &mut Backends, version: Option<VersionDigest>, tried: &[BackendId]) -> Choice {
    let service = service();
    let request = ChoiceRequest {
        service: &service,
        affinity: None,
        preferred: None,
        tried,
        size: None,
        version,
    };
    backends.choose(&request, NOW)
}

/// Guards against a stream that goes on at a server of another version, or of a version that is not known.
#[test]
fn a_request_at_one_version_goes_to_its_servers_alone() {
    let versions = [named("v1"), named("v2"), SoftwareVersion::Unknown, SoftwareVersion::Uniform];
    let mut backends = backends(&versions);
    for (number, name) in ["v1", "v2"].into_iter().enumerate() {
        for _ in 0..20 {
            match choose(&mut backends, Some(digest(name)), &[]) {
                Choice::Use { server, .. } => {
                    assert_eq!(
                        (server.id, server.version),
                        (record(number, named(name)).id, named(name))
                    );
                }
                other => assert!(matches!(other, Choice::Full { .. }), "{name}: {other:?}"),
            }
        }
    }
}

/// Guards against a wait for servers that will never take the request.
#[test]
fn a_version_without_a_server_left_is_told_apart_from_a_full_one() {
    let mut backends = backends(&[named("v1"), named("v2")]);
    let tried = [record(0, named("v1")).id];
    let cases = [("v3", &[][..], true), ("v1", &tried[..], true), ("v2", &tried[..], false)];
    for (name, tried, has_none) in cases {
        let choice = choose(&mut backends, Some(digest(name)), tried);
        assert_eq!(matches!(choice, Choice::NoBackend { .. }), has_none, "{name}: {choice:?}");
    }
}

/// Guards against a sample of a large service that misses the few servers of a version.
#[test]
fn the_last_server_of_a_version_is_found_in_a_large_service() {
    let mut versions = vec![named("v2"); 3_000];
    versions[1_777] = named("v1");
    let mut backends = backends(&versions);
    let choice = choose(&mut backends, Some(digest("v1")), &[]);
    assert!(matches!(&choice, Choice::Use { server, .. } if server.id.name == "s-1777"));
    let tried = [record(1_777, named("v1")).id];
    let choice = choose(&mut backends, Some(digest("v1")), &tried);
    assert!(matches!(choice, Choice::NoBackend { .. }), "{choice:?}");
}

#[test]
fn a_service_has_several_versions_until_the_others_have_been_gone_for_long() {
    let mut backends = backends(&[named("v1"), named("v1")]);
    let view = |backends: &Backends, at| backends.versions(&service(), at);
    assert_eq!(view(&backends, NOW), VersionView::Only(digest("v1")));
    backends.put(record(2, named("v2")), NOW);
    assert_eq!(view(&backends, NOW), VersionView::Several);
    let left_at = NOW + Duration::from_secs(5);
    backends.remove(&record(0, named("v1")).id, left_at);
    assert_eq!(view(&backends, left_at + RECENT), VersionView::Several, "one is left");
    backends.put(record(1, named("v2")), left_at);
    assert_eq!(view(&backends, left_at), VersionView::Several, "the last one changed its version");
    assert_eq!(view(&backends, left_at + RECENT), VersionView::Only(digest("v2")));
    backends.put(record(3, SoftwareVersion::Unknown), left_at + RECENT);
    assert_eq!(view(&backends, left_at + RECENT), VersionView::Several);
    let other = ServiceName("other".into());
    assert_eq!(backends.versions(&other, NOW), VersionView::Nothing);
}

#[test]
fn servers_of_one_unknown_version_may_differ() {
    let backends = backends(&[SoftwareVersion::Unknown]);
    assert_eq!(backends.versions(&service(), NOW), VersionView::Several);
}

/// Guards against daemons of two builds, or of two machines, that disagree about a version.
#[test]
fn digests_are_the_same_at_all_daemons() {
    assert_eq!(digest("v1.2"), VersionDigest(DIGEST_OF_V1_2));
    assert_ne!(digest("v1"), digest("v1.1"));
    assert_eq!(SoftwareVersion::Unknown.digest(), None);
    assert_eq!(SoftwareVersion::Uniform.digest(), Some(VersionDigest(0)));
}

/// Guards against streams that are refused for minutes after the version of a server became known: one incarnation has
/// one version, so its service never had two.
#[test]
fn a_version_that_becomes_known_is_no_second_one() {
    let mut backends = backends(&[SoftwareVersion::Unknown]);
    backends.put(record(0, named("v1")), Timestamp(1));
    assert_eq!(backends.versions(&service(), Timestamp(2)), VersionView::Only(digest("v1")));
}
