//! How many voters a group needs to tolerate the losses that a deployment declares.
//!
//! With `2f + 1` voters, any `f` of them may be lost, including their disks: a committed entry is on
//! `f + 1` voters, so one copy remains, and the remaining `f + 1` voters are a quorum. Losses of zones
//! are tolerated by spreading the voters: the zones that may be lost together must hold no more than
//! `f` of them.

use std::collections::BTreeMap;
use std::fmt;

use dahlia_types::{InvalidSetting, Zone, check_range};
use serde::{Deserialize, Serialize};

use crate::membership::Member;

/// Most voters of a group. Each further voter costs another copy of all data, and a further answer that
/// commits wait for.
pub const MAX_VOTERS: usize = 9;
/// The largest value of a setting. A loss that cannot be tolerated is reported, not rejected.
const MAX_LOSSES: u32 = 1_000;

/// The losses that a deployment must tolerate without breaking a promise: at once so many machines, or
/// so many zones, or so many regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LossTolerance {
    /// Machines that hold groups.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl Default for LossTolerance {
    fn default() -> Self {
        Self::of_machines(1)
    }
}

/// The number of voters to use on the existing machines, and the losses that it cannot tolerate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterTarget {
    /// Voters that each group should have; odd and at least 1.
    pub voters: usize,
    /// Declared losses that this number of voters does not tolerate.
    pub shortfalls: Vec<Shortfall>,
}

/// A declared loss that cannot be tolerated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// The settings field that declares it.
    pub field: &'static str,
    /// The value of the field.
    pub requested: u32,
    /// The loss that is tolerated instead.
    pub tolerated: u32,
    /// What would be required to tolerate the declared loss.
    pub requirement: String,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { field, requested, tolerated, requirement } = self;
        write!(f, "{field} = {requested} cannot be tolerated, only {tolerated} can: {requirement}")
    }
}

impl LossTolerance {
    /// Tolerates the loss of so many machines, whatever their zones.
    pub const fn of_machines(machines: u32) -> Self {
        Self { machines, zones: 0, regions: 0 }
    }

    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("tolerance.machines", self.machines, 0, MAX_LOSSES)?;
        check_range("tolerance.zones", self.zones, 0, MAX_LOSSES)?;
        check_range("tolerance.regions", self.regions, 0, MAX_LOSSES)
    }

    /// Voters that each group needs if there are enough machines and zones.
    pub fn wanted_voters(&self) -> usize {
        let losses = self.machines.max(self.zones);
        (2 * losses as usize + 1).min(MAX_VOTERS)
    }

    /// The number of voters that each group should have on these machines.
    pub fn target(&self, holders: &HolderCounts) -> VoterTarget {
        let most = odd_at_most(holders.total().clamp(1, MAX_VOTERS));
        let wanted = self.wanted_voters().min(most);
        let tolerates_zones = |voters: &usize| holders.tolerated_zones(*voters) >= self.zones;
        // The zones may require more voters than the machines do, so that they can be spread evenly.
        let spread = (wanted..=most).step_by(2).find(tolerates_zones);
        let voters = spread.unwrap_or(wanted);
        VoterTarget { voters, shortfalls: self.shortfalls(voters, holders) }
    }

    fn shortfalls(&self, voters: usize, holders: &HolderCounts) -> Vec<Shortfall> {
        let machines = (voters / 2) as u32;
        let zones = holders.tolerated_zones(voters);
        let shortfall = |field, requested: u32, tolerated: u32, requirement: String| {
            (requested > tolerated).then_some(Shortfall {
                field,
                requested,
                tolerated,
                requirement,
            })
        };
        let machines_needed = 2 * u64::from(self.machines) + 1;
        let zones_needed = 2 * u64::from(self.zones) + 1;
        let shortfalls = [
            shortfall(
                "tolerance.machines",
                self.machines,
                machines,
                format!(
                    "{machines_needed} machines that hold groups are needed (at most {MAX_VOTERS} \
                     are used by a group), {} are there",
                    holders.total()
                ),
            ),
            shortfall(
                "tolerance.zones",
                self.zones,
                zones,
                format!(
                    "{zones_needed} zones with machines that hold groups are needed, {} are there",
                    holders.zones()
                ),
            ),
            shortfall(
                "tolerance.regions",
                self.regions,
                0,
                "a group keeps its majority in one region".to_owned(),
            ),
        ];
        shortfalls.into_iter().flatten().collect()
    }
}

/// The number of machines in each zone that may hold groups.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderCounts {
    by_zone: BTreeMap<Zone, usize>,
}

impl HolderCounts {
    /// Counts members that may hold groups. Dead and leaving ones count: they may come back with their
    /// disks, and a group without their votes would tolerate fewer losses.
    pub fn of_members<'a>(members: impl IntoIterator<Item = &'a Member>) -> Self {
        let infos = members.into_iter().map(|member| &member.record.info);
        Self::of_zones(infos.filter(|info| info.holds_groups).map(|info| info.zone.clone()))
    }

    /// Counts one machine for each zone given.
    pub fn of_zones(zones: impl IntoIterator<Item = Zone>) -> Self {
        let mut by_zone = BTreeMap::new();
        for zone in zones {
            *by_zone.entry(zone).or_insert(0) += 1;
        }
        Self { by_zone }
    }

    /// The number of all machines.
    pub fn total(&self) -> usize {
        self.by_zone.values().sum()
    }

    /// The number of zones with at least one machine.
    pub fn zones(&self) -> usize {
        self.by_zone.len()
    }

    /// The number of zones that a group can lose with `voters` voters, spread as evenly as the machines
    /// allow.
    fn tolerated_zones(&self, voters: usize) -> u32 {
        let mut used = self.spread_over_zones(voters);
        used.sort_unstable_by(|a, b| b.cmp(a));
        let mut lost = 0;
        let is_tolerated = |in_zone: &&usize| {
            lost += **in_zone;
            lost <= voters / 2
        };
        used.iter().take_while(is_tolerated).count() as u32
    }

    /// The number of voters in each zone: each voter goes to the zone with the fewest voters that has
    /// room.
    fn spread_over_zones(&self, voters: usize) -> Vec<usize> {
        let room: Vec<usize> = self.by_zone.values().copied().collect();
        let mut used = vec![0; room.len()];
        for _ in 0..voters {
            let free = (0..room.len()).filter(|zone| used[*zone] < room[*zone]);
            let Some(zone) = free.min_by_key(|zone| used[*zone]) else { break };
            used[zone] += 1;
        }
        used
    }
}

fn odd_at_most(number: usize) -> usize {
    if number.is_multiple_of(2) { number - 1 } else { number }
}
