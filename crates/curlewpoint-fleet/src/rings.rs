use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::members::MemberId;

/// Number of monitoring rings; each arranges the members in an order of its own.
pub const RING_COUNT: u8 = 4;
/// Salt of the order in which members are selected as watchers.
pub const WATCHER_SALT: u64 = 99;

/// A member's position in a pseudorandom order that is the same at every instance.
pub fn order_key(salt: u64, id: MemberId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&id.instance.0.to_be_bytes());
    bytes[8..].copy_from_slice(&id.run.0.to_be_bytes());
    xxh3_64_with_seed(&bytes, salt)
}

/// The member that `me` monitors on a ring: the next one of `others` after `me`'s position, whether or not `me`
/// is among them.
pub fn monitored_member(ring: u8, me: MemberId, others: impl Iterator<Item = MemberId>) -> Option<MemberId> {
    let own_key = order_key(u64::from(ring), me);
    others.filter(|o| *o != me).min_by_key(|o| (order_key(u64::from(ring), *o).wrapping_sub(own_key), *o))
}
