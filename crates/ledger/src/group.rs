//! The replica group that holds a program, and the one whose owner keeps a tenant's rate limit.

use dahlia_types::{GroupHomes, GroupId, Region, TenantId};

use crate::ProgramName;

/// Offset basis and prime of the 64-bit FNV-1a hash (Fowler, Noll, Vo; RFC 9923).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The group that holds `program` in a system of `groups` groups, numbered from 0. It is the same
/// in every build and on every machine: daemons of different builds must agree on it.
pub fn group_of(program: &ProgramName, groups: u32) -> GroupId {
    hash_to_group(program.as_bytes(), groups)
}

/// The group that holds the kept turns of `program` for gateways in `region`: a group whose home is
/// there, so that texts need not leave the region. If there is none, the group of [`group_of`].
pub fn group_in_region(
    program: &ProgramName,
    homes: &GroupHomes,
    region: &Region,
    groups: u32,
) -> GroupId {
    let local = homes.groups_at(region, groups);
    let index = hash_to_group(program.as_bytes(), local.len() as u32);
    local.get(index.0 as usize).copied().unwrap_or_else(|| group_of(program, groups))
}

/// The group whose owner keeps a tenant's rate limit. It is the same in every build and on every
/// machine.
pub fn group_of_tenant(tenant: &TenantId, groups: u32) -> GroupId {
    hash_to_group(tenant.as_str().as_bytes(), groups)
}

fn hash_to_group(name: &[u8], groups: u32) -> GroupId {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash = name.iter().fold(FNV_OFFSET, step);
    // The low bits of FNV-1a mix least.
    let mixed = hash ^ (hash >> 32);
    GroupId((mixed % u64::from(groups.max(1))) as u32)
}
