//! The daemons that are told where a stream began. All daemons that know the same members compute the same ones from
//! the stream's key, so that the one to which the caller comes back knows whom to ask.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Zone};

use super::StreamKey;

/// How many daemons are told of a stream.
const TOLD_WITNESSES: usize = 2;
/// The least number of daemons that are asked, as long as there are so many. Members may have changed since others
/// were told.
const MIN_ASKED_WITNESSES: usize = 5;

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
pub(super) fn told_witnesses(
    stream: StreamKey,
    members: &[WitnessCandidate],
    own: DaemonId,
) -> Vec<WitnessCandidate> {
    let mut ranked = rank(stream, members, Some(own));
    ranked.truncate(TOLD_WITNESSES);
    ranked.into_iter().cloned().collect()
}

/// Returns the daemons that `own` asks about a stream that another daemon served. That one did not tell itself, so
/// where it may rank among the first, those that took its place are asked as well.
pub(super) fn asked_witnesses(
    stream: StreamKey,
    members: &[WitnessCandidate],
    own: DaemonId,
) -> Vec<WitnessCandidate> {
    let ranked = rank(stream, members, None);
    let possible_servers = ranked.iter().take(TOLD_WITNESSES).map(|member| Some(member.daemon));
    let told = [None].into_iter().chain(possible_servers).flat_map(|server| {
        rank(stream, members, server).into_iter().take(TOLD_WITNESSES).collect::<Vec<_>>()
    });
    let mut asked: Vec<&WitnessCandidate> = Vec::new();
    for member in told.filter(|member| member.daemon != own) {
        if !asked.contains(&member) {
            asked.push(member);
        }
    }
    for member in ranked.iter().copied().filter(|member| member.daemon != own) {
        if asked.len() < MIN_ASKED_WITNESSES && !asked.contains(&member) {
            asked.push(member);
        }
    }
    asked.into_iter().cloned().collect()
}

/// Returns the members but one in an order that depends on the stream: by a hash, but one of each zone before a second
/// one of any, so that the loss of a zone leaves one that knows.
fn rank(
    stream: StreamKey,
    members: &[WitnessCandidate],
    without: Option<DaemonId>,
) -> Vec<&WitnessCandidate> {
    let mut ranked: Vec<&WitnessCandidate> =
        members.iter().filter(|member| Some(member.daemon) != without).collect();
    ranked.sort_by_key(|member| (Reverse(weight(stream, member.daemon)), member.daemon));
    let mut zones = BTreeSet::new();
    let (mut first, rest): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|member| zones.insert(&member.zone));
    first.extend(rest);
    first
}

/// The finaliser of SplitMix64 over both.
fn weight(stream: StreamKey, daemon: DaemonId) -> u64 {
    const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = stream.0 ^ u64::from(daemon.0).wrapping_add(1).wrapping_mul(GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
