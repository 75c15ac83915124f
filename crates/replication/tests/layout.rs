//! The initial layout of groups, the directory, merged heartbeats, and validation of settings.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::directory::{Directory, GroupDescription, initial_layout};
use dahlia_replication::group::{
    Coalescer, GroupBody, GroupMessage, GroupSettings, Heartbeat, HeartbeatResponse, Members,
    PeerBatch,
};
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::{MemberInfo, MemberState, MembershipSettings};
use dahlia_types::{
    DaemonId, GroupId, Incarnation, LogIndex, Region, ReplicaId, Term, Timestamp, Zone,
};

const CONFIG: bincode::config::Configuration = bincode::config::standard();

fn id(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) }
}

fn member(daemon: u32, zone: &str, region: &str) -> MemberInfo {
    MemberInfo {
        daemon: DaemonId(daemon),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::new(zone),
        region: Region::new(region),
        state: MemberState::Live,
        holds_groups: true,
    }
}

/// Members in seven zones and two regions, as in the target deployment.
fn target_members() -> Vec<MemberInfo> {
    let zones =
        [("a", "x"), ("b", "x"), ("c", "x"), ("d", "x"), ("e", "y"), ("f", "y"), ("g", "y")];
    let numbers = 1..=370_u32;
    numbers.map(|n| zones[n as usize % 7]).zip(1..).map(|((z, r), n)| member(n, z, r)).collect()
}

#[test]
fn the_layout_spreads_over_zones_stays_in_a_region_and_is_balanced() {
    let members = target_members();
    let infos: BTreeMap<ReplicaId, &MemberInfo> =
        members.iter().map(|info| (info.replica(), info)).collect();
    let layout = initial_layout(&members, 740, 3);
    assert_eq!(layout.len(), 740);
    let mut directory = Directory::new();
    for description in layout {
        let zones: BTreeSet<&Zone> =
            description.members.iter().map(|member| &infos[member].zone).collect();
        let regions: BTreeSet<&Region> =
            description.members.iter().map(|member| &infos[member].region).collect();
        assert_eq!((zones.len(), regions.len()), (3, 1), "{description:?}");
        assert_eq!(description.leader, description.members.first().copied());
        assert!(directory.merge(description));
    }
    let (replicas, leaders) = (directory.replica_counts(), directory.leader_counts());
    assert_eq!(replicas.len(), 370, "every daemon holds a replica");
    let range = |counts: &BTreeMap<DaemonId, u32>| {
        (counts.values().min().copied(), counts.values().max().copied())
    };
    println!("replicas {:?}, leaders {:?}", range(&replicas), range(&leaders));
    assert!(replicas.values().all(|count| (3..=12).contains(count)), "{:?}", range(&replicas));
    assert!(leaders.values().all(|count| *count <= 4), "{:?}", range(&leaders));
}

#[test]
fn each_daemon_shares_groups_with_few_others() {
    let layout = initial_layout(&target_members(), 740, 3);
    let mut peers: BTreeMap<ReplicaId, BTreeSet<ReplicaId>> = BTreeMap::new();
    for description in &layout {
        for member in &description.members {
            let others = description.members.iter().filter(|other| *other != member);
            peers.entry(*member).or_default().extend(others);
        }
    }
    let total: usize = peers.values().map(BTreeSet::len).sum();
    let mean = total as f64 / peers.len() as f64;
    println!("peers per daemon: {mean:.2}");
    assert!(mean <= 5.0, "{mean}");
}

#[test]
fn small_deployments_use_all_available_members() {
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let four: Vec<MemberInfo> =
        halls.iter().zip(1..).map(|(hall, number)| member(number, hall, "gulf-south")).collect();
    for description in initial_layout(&four, 16, 3) {
        assert_eq!(description.members.len(), 3);
    }
    assert_eq!(initial_layout(&four[..2], 4, 3)[3].members.len(), 2);
    assert!(initial_layout(&[], 4, 3).is_empty());
    let mut leaving = four.clone();
    leaving[0].state = MemberState::Leaving;
    let layout = initial_layout(&leaving, 16, 3);
    assert!(layout.iter().all(|description| !description.members.contains(&id(1))));
}

#[test]
fn a_region_too_small_for_a_majority_holds_no_groups() {
    let mut members: Vec<MemberInfo> =
        (1..=4).map(|number| member(number, &format!("z{number}"), "large")).collect();
    members.push(member(5, "far", "small"));
    for description in initial_layout(&members, 20, 3) {
        assert!(!description.members.contains(&id(5)));
    }
    // With two daemons in the large region, the third voter may be in the small one: the majority stays
    // in the large region.
    let layout = initial_layout(&members[2..], 4, 3);
    assert!(layout.iter().all(|description| description.members.len() == 3));
}

#[test]
fn the_directory_keeps_the_newest_description() {
    let group = GroupId(3);
    let describe = |leader: u32, index: u64, term: u64| {
        let members = Members::of_voters([id(1), id(2), id(leader)]);
        GroupDescription::of_leader(group, &members, LogIndex(index), id(leader), Term(term))
    };
    let mut directory = Directory::new();
    assert!(directory.merge(describe(3, 5, 2)));
    assert!(!directory.merge(describe(3, 5, 2)));
    assert!(!directory.merge(describe(4, 900, 1)), "an earlier term is older whatever its index");
    assert!(directory.merge(describe(3, 6, 2)));
    assert!(directory.merge(describe(4, 6, 3)));
    assert_eq!(directory.leader(group), Some(id(4)));
    assert_eq!(directory.route(group), [id(4), id(1), id(2)]);
    assert!(directory.route(GroupId(9)).is_empty());
}

fn heartbeat(group: u32, to: u32) -> GroupMessage {
    let heartbeat = Heartbeat {
        session: LogIndex(2),
        sent: Timestamp(1_800_000_000_000_000),
        committed: LogIndex(70_000),
    };
    let body = GroupBody::Heartbeat(heartbeat);
    GroupMessage { group: GroupId(group), from: id(1), to: id(to), term: Term(4), body }
}

#[test]
fn merged_heartbeats_are_split_unchanged() {
    let mut coalescer = Coalescer::new();
    let mut sent = Vec::new();
    for group in 0..20 {
        sent.push(heartbeat(group, 2));
    }
    let answer = HeartbeatResponse { session: LogIndex(2), sent: Timestamp(7) };
    let body = GroupBody::HeartbeatResponse(answer);
    sent.push(GroupMessage { group: GroupId(50), from: id(1), to: id(2), term: Term(4), body });
    let body = GroupBody::TimeoutNow;
    sent.push(GroupMessage { group: GroupId(51), from: id(1), to: id(2), term: Term(4), body });
    for message in &sent {
        coalescer.push(message.clone());
    }
    coalescer.push(heartbeat(0, 3));
    let batches = coalescer.take();
    let destinations: Vec<DaemonId> = batches.iter().map(|(daemon, _)| *daemon).collect();
    assert_eq!(destinations, [DaemonId(2), DaemonId(3)]);
    assert!(coalescer.take().is_empty());

    let encoded = bincode::serde::encode_to_vec(&batches[0].1, CONFIG).expect("encodes");
    let separate: usize = sent
        .iter()
        .map(|message| bincode::serde::encode_to_vec(message, CONFIG).expect("encodes").len())
        .sum();
    println!("22 messages: {separate} bytes separately, {} merged", encoded.len());
    assert!(encoded.len() * 2 < separate);
    let (decoded, _): (PeerBatch, usize) =
        bincode::serde::decode_from_slice(&encoded, CONFIG).expect("decodes");
    let mut received = decoded.into_messages();
    received.sort_by_key(|message| message.group);
    assert_eq!(received, sent);
}

#[test]
fn default_settings_are_valid_and_errors_name_the_field() {
    assert_eq!(GroupSettings::default().check(), Ok(()));
    assert_eq!(MembershipSettings::default().check(), Ok(()));
    assert_eq!(MaintenanceSettings::default().check(), Ok(()));
    let wrong = GroupSettings { election_timeout_ms: 500, ..GroupSettings::default() };
    let error = wrong.check().expect_err("less than three heartbeats");
    assert_eq!(
        error.to_string(),
        "setting `groups.election_timeout_ms` is 500; allowed: 600 to 60000"
    );
    let wrong = MembershipSettings { cross_region_share: 1.5, ..Default::default() };
    assert_eq!(wrong.check().expect_err("a share").field, "membership.cross_region_share");
    let wrong = MaintenanceSettings { voters: 0, ..Default::default() };
    assert_eq!(wrong.check().expect_err("no voters").field, "maintenance.voters");
}

#[test]
fn settings_files_reject_unknown_fields_and_cannot_disable_mechanisms() {
    let read: GroupSettings = toml::from_str("heartbeat_interval_ms = 100").expect("reads");
    assert_eq!(read.heartbeat_interval_ms, 100);
    assert_eq!(read.faults, GroupSettings::default().faults);
    assert!(toml::from_str::<GroupSettings>("heartbeat = 100").is_err());
    assert!(toml::from_str::<GroupSettings>("[faults]\nshort_quorum = true").is_err());
}

#[test]
fn the_layout_uses_only_daemons_that_hold_groups() {
    let mut members = target_members();
    for info in &mut members {
        info.holds_groups = info.daemon.0 % 10 == 0;
    }
    for description in initial_layout(&members, 100, 3) {
        assert_eq!(description.members.len(), 3);
        assert!(description.members.iter().all(|member| member.daemon.0 % 10 == 0));
    }
}
