//! How many voters a group needs to bear the losses that a deployment declares.
//!
//! With `2f + 1` voters every `f` of them may be lost, their disks included: an entry is committed
//! on `f + 1`, so that one copy is left, and `f + 1` voters are left to agree. Zones are borne in
//! the same way, by spreading the voters: the zones that may be lost together must hold no more
//! than `f` of them.

use std::collections::BTreeMap;
use std::fmt;

use dahlia_types::{InvalidSetting, Zone, check_range};
use serde::{Deserialize, Serialize};

use crate::membership::Member;

/// Most voters of a group. Each further one costs a copy of everything, and an answer that a commit
/// waits for.
pub const MAX_VOTERS: usize = 9;
/// Largest number that a setting may say; what cannot be borne is reported, not refused.
const MOST_LOSSES: u32 = 1_000;

/// What may be lost at once without a promise broken: so many machines, or so many zones, or so
/// many regions.
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

/// What can be borne on the machines that are there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterTarget {
    /// Voters that each group should have; odd, 1 at least.
    pub voters: usize,
    /// Demands that are not met with them.
    pub shortfalls: Vec<Shortfall>,
}

/// A demand that cannot be met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// The field of the settings.
    pub field: &'static str,
    /// What it says.
    pub requested: u32,
    /// What is borne instead.
    pub tolerated: u32,
    /// What would be needed.
    pub requirement: String,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { field, requested, tolerated, requirement } = self;
        write!(f, "{field} = {requested} cannot be borne, {tolerated} can: {requirement}")
    }
}

impl LossTolerance {
    /// So many machines, whatever their zones.
    pub const fn of_machines(machines: u32) -> Self {
        Self { machines, zones: 0, regions: 0 }
    }

    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("tolerance.machines", self.machines, 0, MOST_LOSSES)?;
        check_range("tolerance.zones", self.zones, 0, MOST_LOSSES)?;
        check_range("tolerance.regions", self.regions, 0, MOST_LOSSES)
    }

    /// Voters that each group needs where machines and zones are plenty.
    pub fn wanted_voters(&self) -> usize {
        let losses = self.machines.max(self.zones);
        (2 * losses as usize + 1).min(MAX_VOTERS)
    }

    /// Voters that each group should have with these machines that may hold groups, by zone.
    pub fn target(&self, holders: &HolderCounts) -> VoterTarget {
        let most = odd_at_most(holders.total().clamp(1, MAX_VOTERS));
        let wanted = self.wanted_voters().min(most);
        let bears_zones = |voters: &usize| holders.tolerated_zones(*voters) >= self.zones;
        // More voters than machines need can make a spread over zones even.
        let spread = (wanted..=most).step_by(2).find(bears_zones);
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

/// Machines that may hold groups, counted by zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderCounts {
    by_zone: BTreeMap<Zone, usize>,
}

impl HolderCounts {
    /// Counts members that are to hold groups. A dead or leaving one counts: it may come back with
    /// its disk, and a group that did without its vote would bear less.
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

    /// All machines.
    pub fn total(&self) -> usize {
        self.by_zone.values().sum()
    }

    /// Zones that have one.
    pub fn zones(&self) -> usize {
        self.by_zone.len()
    }

    /// Zones that a group of so many voters can lose, spread as evenly as the machines allow.
    fn tolerated_zones(&self, voters: usize) -> u32 {
        let mut used = self.spread(voters);
        used.sort_unstable_by(|a, b| b.cmp(a));
        let mut lost = 0;
        let may_go = |in_zone: &&usize| {
            lost += **in_zone;
            lost <= voters / 2
        };
        used.iter().take_while(may_go).count() as u32
    }

    /// Voters in each zone: one after the other goes to the zone with fewest that has room.
    fn spread(&self, voters: usize) -> Vec<usize> {
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
