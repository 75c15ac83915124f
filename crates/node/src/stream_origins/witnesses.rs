//! The daemons that are told where a stream began. All daemons that know the same members compute the same ones from
//! the stream's key, so that the one to which the caller comes back knows whom to ask.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Zone};

use super::{OriginService, StreamKey};

/// How many daemons are told of a stream.
const TOLD_WITNESSES: usize = 2;
/// The least number of daemons that are asked, as long as there are so many. Members may have changed since others
/// were told.
const MIN_ASKED_WITNESSES: usize = 5;

/// How many keepers of the own region are told of a stream.
const TOLD_KEEPERS: usize = 2;
/// How many keepers of each other region are told of a stream, so that it can go on there.
const TOLD_DISTANT_KEEPERS: usize = 1;
/// How many keepers of each region are asked. Members may have changed since others were told.
const ASKED_KEEPERS: usize = 3;

/// How many keepers of each region have the views of a service. Most of them decide, so one may be lost.
const SERVICE_KEEPERS: usize = 3;

/// A daemon that may be told where streams began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
}

/// Returns the daemons that `own` tells of a stream that it serves.
pub(super) fn witnesses_to_tell(
    stream: StreamKey,
    members: &[WitnessCandidate],
    own: DaemonId,
) -> Vec<&WitnessCandidate> {
    first_ranked(stream.0, members, Some(own), TOLD_WITNESSES)
}

/// Returns the daemons that `own` asks about a stream that another daemon served. That one did not tell itself, so
/// where it may rank among the first, those that took its place are asked as well.
pub(super) fn witnesses_to_ask(
    stream: StreamKey,
    members: &[WitnessCandidate],
    own: DaemonId,
) -> Vec<WitnessCandidate> {
    // One more, since `own` may be among them.
    let mut ranked = first_ranked(stream.0, members, None, MIN_ASKED_WITNESSES + 1);
    let possible_servers = &ranked[..ranked.len().min(TOLD_WITNESSES)];
    let mut asked: Vec<&WitnessCandidate> = possible_servers.to_vec();
    for server in possible_servers {
        let told = first_ranked(stream.0, members, Some(server.daemon), TOLD_WITNESSES);
        asked.extend(told);
    }
    asked.append(&mut ranked);
    let mut daemons = BTreeSet::from([own]);
    asked.retain(|member| daemons.insert(member.daemon));
    let told = TOLD_WITNESSES * (TOLD_WITNESSES + 1);
    asked.truncate(MIN_ASKED_WITNESSES.max(told));
    asked.into_iter().cloned().collect()
}

/// Returns the keepers that `own` tells of a stream that it serves. `regions` begins with the own one.
pub(super) fn keepers_to_tell(
    stream: StreamKey,
    regions: &[Vec<WitnessCandidate>],
    own: DaemonId,
) -> impl Iterator<Item = &WitnessCandidate> {
    regions.iter().enumerate().flat_map(move |(place, keepers)| {
        let count = if place == 0 { TOLD_KEEPERS } else { TOLD_DISTANT_KEEPERS };
        first_ranked(stream.0, keepers, Some(own), count)
    })
}

/// Returns the keepers that `own` asks about a stream that another daemon served.
pub(super) fn keepers_to_ask(
    stream: StreamKey,
    regions: &[Vec<WitnessCandidate>],
    own: DaemonId,
) -> Vec<WitnessCandidate> {
    let ranked = regions
        .iter()
        .flat_map(|keepers| first_ranked(stream.0, keepers, Some(own), ASKED_KEEPERS));
    ranked.cloned().collect()
}

/// Returns the keepers of a service's views, which are told and asked.
pub(super) fn service_keepers(
    service: OriginService,
    regions: &[Vec<WitnessCandidate>],
    own: DaemonId,
) -> Vec<&WitnessCandidate> {
    let ranked = regions
        .iter()
        .flat_map(|keepers| first_ranked(service.0, keepers, Some(own), SERVICE_KEEPERS));
    ranked.collect()
}

/// Returns the first members but one in an order that depends on a stream's or service's key: by a hash, but one of each zone before a
/// second one of any, so that the loss of a zone leaves one that knows.
fn first_ranked(
    key: u64,
    members: &[WitnessCandidate],
    without: Option<DaemonId>,
    count: usize,
) -> Vec<&WitnessCandidate> {
    let mut chosen: Vec<&WitnessCandidate> = Vec::with_capacity(count);
    while chosen.len() < count {
        let is_left = |member: &&WitnessCandidate| {
            Some(member.daemon) != without && chosen.iter().all(|it| it.daemon != member.daemon)
        };
        let rank = |member: &&WitnessCandidate| {
            let is_new_zone = chosen.iter().all(|it| it.zone != member.zone);
            (is_new_zone, weight(key, member.daemon), Reverse(member.daemon))
        };
        let Some(next) = members.iter().filter(is_left).max_by_key(rank) else { break };
        chosen.push(next);
    }
    chosen
}

/// The finaliser of SplitMix64 over both.
fn weight(key: u64, daemon: DaemonId) -> u64 {
    const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = key ^ u64::from(daemon.0).wrapping_add(1).wrapping_mul(GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
