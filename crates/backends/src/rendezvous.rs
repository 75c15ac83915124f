//! Rendezvous hashing (Thaler and Ravishankar 1998): all daemons compute the same ranking of
//! servers.

use crate::BackendId;

/// Returns the weight of a server for a key with this hash. The server with the largest weight is
/// preferred.
pub(crate) fn weight(hash: u64, server: &BackendId) -> u64 {
    let of_name = server.name.bytes().fold(mix(hash), |state, byte| mix(state ^ u64::from(byte)));
    match server.born {
        0 => of_name,
        born => mix(of_name ^ born),
    }
}

/// The finaliser of SplitMix64 (Steele, Lea and Flood 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
