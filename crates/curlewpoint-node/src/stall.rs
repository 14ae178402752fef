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
    pub fn iteration_started(&mut self, now: Time) {
        let gap = self.last_iteration.map_or(Time(0), |last| now - last);
        if gap > MAX_ITERATION_GAP {
            self.last_stall = Some((now, gap));
        }
        self.last_iteration = Some(now);
    }

    /// Upper bound on the time that input read now has waited in kernel buffers.
    pub fn possible_delay(&self, now: Time) -> Time {
        self.last_stall.filter(|(end, _)| now - *end <= CATCH_UP).map_or(Time(0), |(_, length)| length)
    }
}

#[cfg(test)]
mod tests;
