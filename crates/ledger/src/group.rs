//! Which replica group holds a program, and which one's owner keeps a tenant's limit.

use dahlia_types::{GroupId, TenantId};

use crate::ProgramName;

/// Offset basis and prime of the 64-bit FNV-1a hash (Fowler, Noll, Vo; RFC 9923).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The group that holds `program` in a system of `groups` groups, numbered from 0. The same on
/// every build and machine: daemons of two builds must agree on it.
pub fn group_of(program: &ProgramName, groups: u32) -> GroupId {
    hashed(program.as_bytes(), groups)
}

/// The group whose owner keeps a tenant's rate limit. The same on every build and machine.
pub fn group_of_tenant(tenant: &TenantId, groups: u32) -> GroupId {
    hashed(tenant.as_str().as_bytes(), groups)
}

fn hashed(name: &[u8], groups: u32) -> GroupId {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash = name.iter().fold(FNV_OFFSET, step);
    // The low bits of FNV-1a mix least.
    let mixed = hash ^ (hash >> 32);
    GroupId((mixed % u64::from(groups.max(1))) as u32)
}
