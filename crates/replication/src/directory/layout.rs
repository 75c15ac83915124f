//! The initial layout of groups over daemons.
//!
//! Groups share few replica sets (copysets, Cidon and others 2013). Each daemon is in two sets, so it
//! exchanges heartbeats with few other daemons, and these can be merged. Two or three simultaneous
//! deaths rarely affect the quorum of a set.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{DaemonId, GroupHomes, GroupId, LogIndex, Region, ReplicaId, Term, Zone};

use super::GroupDescription;
use crate::membership::{MemberInfo, MemberState};

/// The number of replica sets that contain each daemon.
const SETS_PER_DAEMON: usize = 2;

/// Lays out `group_count` groups of `replicas_per_group` voters over the live members that may
/// hold groups.
///
/// Voters of a group are in different zones if there are enough zones, and a majority of them is in
/// one region. Leaders are balanced. The result depends only on the arguments. With fewer members than
/// replicas, each group has all members; without members, there are no groups.
pub fn initial_layout(
    members: &[MemberInfo],
    group_count: u32,
    replicas_per_group: usize,
) -> Vec<GroupDescription> {
    initial_layout_with_homes(members, group_count, replicas_per_group, &GroupHomes::default())
}

/// Like [`initial_layout`], with each group in its home region if that has enough members for a
/// majority: as many voters as the region has members, and the leader.
pub fn initial_layout_with_homes(
    members: &[MemberInfo],
    group_count: u32,
    replicas_per_group: usize,
    homes: &GroupHomes,
) -> Vec<GroupDescription> {
    let live: Vec<&MemberInfo> = members.iter().filter(|member| may_hold(member)).collect();
    let sets = replica_sets(&live, replicas_per_group);
    let all: Vec<Vec<ReplicaId>> = sets.iter().flat_map(|near| near.sets.clone()).collect();
    if all.is_empty() {
        return Vec::new();
    }
    let mut leaders: BTreeMap<DaemonId, u32> = BTreeMap::new();
    let mut layout = Vec::new();
    for group in (0..group_count).map(GroupId) {
        let home = homes.home_of(group).and_then(|region| {
            let near = sets.iter().find(|sets| sets.region == *region && sets.has_majority)?;
            Some((near, homes.groups_at(region, group_count)))
        });
        let description = match home {
            Some((near, groups)) => {
                let index = groups.iter().position(|other| *other == group).unwrap_or(0);
                let set = choose_set(index, groups.len(), &near.sets);
                describe_group(group, set, &near.members, &mut leaders)
            }
            None => {
                let set = choose_set(group.0 as usize, group_count as usize, &all);
                describe_group(group, set, set, &mut leaders)
            }
        };
        layout.push(description);
    }
    layout
}

/// The replica sets of one region, with as many members there as possible.
struct RegionSets {
    region: Region,
    /// The members of the region that may hold groups.
    members: Vec<ReplicaId>,
    has_majority: bool,
    sets: Vec<Vec<ReplicaId>>,
}

fn may_hold(member: &MemberInfo) -> bool {
    member.state == MemberState::Live && member.holds_groups
}

fn choose_set(group: usize, group_count: usize, sets: &[Vec<ReplicaId>]) -> &[ReplicaId] {
    // If there are fewer groups than sets, they use sets from the whole list, which is ordered by
    // region.
    let index = if group_count < sets.len() { group * sets.len() / group_count } else { group };
    &sets[index % sets.len()]
}

fn describe_group(
    group: GroupId,
    set: &[ReplicaId],
    may_lead: &[ReplicaId],
    leaders: &mut BTreeMap<DaemonId, u32>,
) -> GroupDescription {
    let led_count = |replica: &ReplicaId| leaders.get(&replica.daemon).copied().unwrap_or(0);
    let candidates = set.iter().copied().filter(|replica| may_lead.contains(replica));
    let leader = candidates.min_by_key(|replica| (led_count(replica), replica.daemon));
    let mut members = set.to_vec();
    members.sort_by_key(|member| (Some(*member) != leader, *member));
    if let Some(leader) = leader {
        *leaders.entry(leader.daemon).or_insert(0) += 1;
    }
    GroupDescription { group, members, leader, term: Term(0), index: LogIndex(0) }
}

fn replica_sets(live: &[&MemberInfo], replicas: usize) -> Vec<RegionSets> {
    let mut regions: BTreeMap<&Region, Vec<&MemberInfo>> = BTreeMap::new();
    for member in live {
        regions.entry(&member.region).or_default().push(member);
    }
    let majority = replicas / 2 + 1;
    let is_large = |members: &Vec<&MemberInfo>| members.len() >= majority;
    let has_large = regions.values().any(is_large);
    let mut sets: Vec<RegionSets> = Vec::new();
    for (region, near) in &regions {
        // A region too small for a majority holds no groups if another region can.
        if has_large && !is_large(near) {
            continue;
        }
        let far: Vec<&MemberInfo> =
            live.iter().copied().filter(|member| member.region != **region).collect();
        // Members of other regions are used evenly over the sets of all regions.
        let mut all: Vec<Vec<ReplicaId>> =
            sets.iter().flat_map(|earlier| earlier.sets.clone()).collect();
        let earlier = all.len();
        for turn in 0..SETS_PER_DAEMON {
            add_sets_of_region(&mut all, near, &far, replicas, turn);
        }
        sets.push(RegionSets {
            region: (*region).clone(),
            members: near.iter().map(|member| member.replica()).collect(),
            has_majority: is_large(near),
            sets: all.split_off(earlier),
        });
    }
    sets
}

/// Adds sets that together contain every daemon of a region at least once.
fn add_sets_of_region(
    sets: &mut Vec<Vec<ReplicaId>>,
    near: &[&MemberInfo],
    far: &[&MemberInfo],
    replicas: usize,
    turn: usize,
) {
    let mut unused: BTreeMap<&Zone, Vec<&MemberInfo>> = BTreeMap::new();
    for member in near {
        unused.entry(&member.zone).or_default().push(member);
    }
    for (index, members) in unused.values_mut().enumerate() {
        members.sort_by_key(|member| member.daemon);
        // Each turn rotates every zone differently, so that its sets differ from those before.
        let shift = turn * (index + 1) % members.len();
        members.rotate_left(shift);
    }
    while unused.values().any(|members| !members.is_empty()) {
        let set = next_set(&mut unused, near, far, replicas, sets);
        sets.push(set);
    }
}

fn next_set(
    unused: &mut BTreeMap<&Zone, Vec<&MemberInfo>>,
    near: &[&MemberInfo],
    far: &[&MemberInfo],
    replicas: usize,
    earlier: &[Vec<ReplicaId>],
) -> Vec<ReplicaId> {
    let mut set: Vec<&MemberInfo> = Vec::new();
    while set.len() < replicas {
        let Some(member) =
            take_unused(unused, &set).or_else(|| choose_used(near, far, &set, earlier))
        else {
            break;
        };
        set.push(member);
    }
    set.into_iter().map(MemberInfo::replica).collect()
}

/// Takes an unused daemon from the zone with the fewest members of the set. Of several such zones, it
/// takes the one with the most unused daemons.
fn take_unused<'a>(
    unused: &mut BTreeMap<&Zone, Vec<&'a MemberInfo>>,
    set: &[&MemberInfo],
) -> Option<&'a MemberInfo> {
    let zones = unused.iter_mut().filter(|(_, members)| !members.is_empty());
    let best =
        zones.min_by_key(|(zone, members)| (count_in_zone(set, zone), usize::MAX - members.len()));
    best.and_then(|(_, members)| members.pop())
}

/// Chooses a daemon that is in another set already: first of the same region, then of others; from the
/// zone with the fewest members of the set; then the daemon in the fewest sets.
fn choose_used<'a>(
    near: &[&'a MemberInfo],
    far: &[&'a MemberInfo],
    set: &[&MemberInfo],
    earlier: &[Vec<ReplicaId>],
) -> Option<&'a MemberInfo> {
    let uses =
        |member: &MemberInfo| earlier.iter().filter(|set| set.contains(&member.replica())).count();
    let used: BTreeSet<DaemonId> = set.iter().map(|member| member.daemon).collect();
    let pick = |members: &[&'a MemberInfo]| {
        let free = members.iter().copied().filter(|member| !used.contains(&member.daemon));
        free.min_by_key(|member| (count_in_zone(set, &member.zone), uses(member), member.daemon))
    };
    pick(near).or_else(|| pick(far))
}

fn count_in_zone(set: &[&MemberInfo], zone: &Zone) -> usize {
    set.iter().filter(|member| member.zone == *zone).count()
}
