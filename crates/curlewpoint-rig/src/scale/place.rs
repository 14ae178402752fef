use curlewpoint::types::Time;

/// Regions, and zones in all: 4 in the first, 3 in each other.
pub const REGIONS: usize = 5;
pub const ZONES: usize = 16;

/// Ways between two instances, one way; assumptions, as the plan names none: within a zone, between zones of a region,
/// between regions, in tenths of a millisecond.
pub const WAYS: [Time; 3] = [Time(3), Time(10), Time(400)];

/// A zone, spread over the instances in turn.
pub fn zone_of(instance: usize) -> usize {
    instance % ZONES
}

/// The region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone % REGIONS
}

/// One way between two instances, the same each time, so that what is sent on one link keeps its order; up to half as
/// much again by the link.
pub fn way(a: usize, b: usize, link: u64) -> Time {
    let (x, y) = (zone_of(a), zone_of(b));
    let base = match (x == y, region_of(x) == region_of(y)) {
        (true, _) => WAYS[0],
        (false, true) => WAYS[1],
        (false, false) => WAYS[2],
    };
    Time(base.0 + link.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (base.0 / 2 + 1))
}
