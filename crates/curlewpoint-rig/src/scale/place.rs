use curlewpoint::types::Time;

/// Number of regions and of zones: 4 zones in the first region, 3 in each other.
pub const REGIONS: usize = 5;
pub const ZONES: usize = 16;

/// Assumed one-way latencies in tenths of a millisecond, as the plan gives none: within a zone, between zones of a region, and
/// between regions.
pub const WAYS: [Time; 3] = [Time(3), Time(10), Time(400)];

/// The zone of an instance, assigned round-robin.
pub fn zone_of(instance: usize) -> usize {
    instance % ZONES
}

/// The region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone % REGIONS
}

/// One-way latency between two instances. It is constant for a link, so that the link keeps its order, and up to 50% longer
/// than the base latency, depending on the link.
pub fn way(a: usize, b: usize, link: u64) -> Time {
    let (x, y) = (zone_of(a), zone_of(b));
    let base = match (x == y, region_of(x) == region_of(y)) {
        (true, _) => WAYS[0],
        (false, true) => WAYS[1],
        (false, false) => WAYS[2],
    };
    Time(base.0 + link.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (base.0 / 2 + 1))
}
