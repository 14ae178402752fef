//! Detects that this process was not scheduled for a while, for example because it was stopped or starved. What it
//! reads right after may have waited in kernel buffers for as long, which shortens the time left for it.

use curlewpoint::types::Time;

/// Event-loop iterations are at most the module's tick apart, a fifth of this; a longer gap is a stall.
const MAX_ITERATION_GAP: Time = Time(1_000);
/// Input that is read within this time after a stall may have arrived during it.
const CATCH_UP: Time = Time(300);

/// Detects stalls from the iterations of the event loop that owns the engine.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_iteration: Option<Time>,
    /// End and length of the last stall.
    last_stall: Option<(Time, Time)>,
}

impl StallDetector {
    /// Returns the length of the stall that has just ended, if there was one.
    pub fn iteration_started(&mut self, now: Time) -> Option<Time> {
        let gap = self.last_iteration.map_or(Time(0), |last| now - last);
        self.last_iteration = Some(now);
        if gap <= MAX_ITERATION_GAP {
            return None;
        }
        self.last_stall = Some((now, gap));
        Some(gap)
    }

    /// Upper bound on the time that input read now has waited in kernel buffers.
    pub fn possible_delay(&self, now: Time) -> Time {
        self.last_stall.filter(|(end, _)| now - *end <= CATCH_UP).map_or(Time(0), |(_, length)| length)
    }
}

#[cfg(test)]
mod tests;
