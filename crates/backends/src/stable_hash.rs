//! A hash that all daemons compute alike, whatever their build.

use crate::rendezvous::mix;

/// Hashes bytes: FNV-1a, with a further mixing step for short texts.
pub fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let fold = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    mix(bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, fold))
}
