use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::members::MemberId;

/// Rings on which members stand, each in an order of its own.
pub const RING_COUNT: u8 = 4;
/// The order in which members are asked to watch the list.
pub const WATCHER_SALT: u64 = 99;

/// A member's place in an order that every instance reckons alike.
pub fn order_key(salt: u64, id: MemberId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&id.instance.0.to_be_bytes());
    bytes[8..].copy_from_slice(&id.run.0.to_be_bytes());
    xxh3_64_with_seed(&bytes, salt)
}

/// Whom `me` looks after on a ring: the next of `others` round it, wherever `me` stands.
pub fn monitored_member(ring: u8, me: MemberId, others: impl Iterator<Item = MemberId>) -> Option<MemberId> {
    let mine = order_key(u64::from(ring), me);
    others.filter(|o| *o != me).min_by_key(|o| (order_key(u64::from(ring), *o).wrapping_sub(mine), *o))
}
