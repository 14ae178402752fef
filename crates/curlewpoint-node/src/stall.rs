//! Detects that this process was not scheduled for a while, for example because it was stopped or starved. What it
//! reads right after may have waited in kernel buffers for as long, which shortens the time left for it.

use curlewpoint::types::Time;

/// Event-loop iterations are at most the module's tick apart, a fifth of this; a longer gap is a stall.
const MAX_ITERATION_GAP: Time = Time(1_000);
/// Input that is read within this time after a stall may have arrived during it.
const CATCH_UP: Time = Time(300);

/// A stall, or several with too little time between them to read what had arrived.
#[derive(Debug)]
struct Stall {
    began: Time,
    ended: Time,
}

/// Detects stalls from the iterations of the event loop that owns the engine.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_iteration: Option<Time>,
    last_stall: Option<Stall>,
}

impl StallDetector {
    /// Returns the length of the stall that has just ended, if there was one.
    pub fn iteration_started(&mut self, now: Time) -> Option<Time> {
        let gap = self.last_iteration.map_or(Time(0), |last| now - last);
        self.last_iteration = Some(now);
        if gap <= MAX_ITERATION_GAP {
            return None;
        }
        let began = now - gap;
        let unread_since = self.last_stall.take().filter(|last| began - last.ended <= CATCH_UP);
        self.last_stall = Some(Stall { began: unread_since.map_or(began, |last| last.began), ended: now });
        Some(gap)
    }

    /// Upper bound on the time that input read now has waited in kernel buffers.
    pub fn possible_delay(&self, now: Time) -> Time {
        let recent = self.last_stall.as_ref().filter(|stall| now - stall.ended <= CATCH_UP);
        recent.map_or(Time(0), |stall| stall.ended - stall.began)
    }
}

#[cfg(test)]
mod tests;
