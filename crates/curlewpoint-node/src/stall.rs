//! Notices that this process got no turn for a while, as when it was stopped or starved: what it reads right after may have
//! lain in the kernel for as long, and so much less time is left for it.

use curlewpoint::types::Time;

/// Turns are no further apart than the module's tick, a fifth of this; longer gaps are stalls.
const GAP: Time = Time(1_000);
/// What is read within this time after a stall may have come during it.
const SETTLES: Time = Time(300);

/// The turns of the task that owns the engine.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    last_turn: Option<Time>,
    /// The end of the last stall, and its length.
    last_stall: Option<(Time, Time)>,
}

impl Stalls {
    /// A turn begins.
    pub fn turns(&mut self, now: Time) {
        let gap = self.last_turn.map_or(Time(0), |last| now - last);
        if gap > GAP {
            self.last_stall = Some((now, gap));
        }
        self.last_turn = Some(now);
    }

    /// How long what is read now may have waited for this process.
    pub fn waited(&self, now: Time) -> Time {
        self.last_stall.filter(|(end, _)| now - *end <= SETTLES).map_or(Time(0), |(_, length)| length)
    }
}

#[cfg(test)]
mod tests;
