use curlewpoint::types::Time;

/// Decides how many messages to hold at a time.
///
/// A message that is held here and not answered in time could have been answered by another instance, and a side-effecting
/// message held by an instance that is killed is aborted. A message that is not held waits in its queue for all instances.
/// So the window is limited to the number of messages answered within a fraction of the requesters' waiting time (Little's
/// law). Where a single answer takes longer than that fraction, a larger window may still raise the throughput: from time to
/// time the window is enlarged by half, and kept if answers come faster.
///
/// A constant prefetch would be too large when workers are slow and too small when they are fast. The cost: with bursts of
/// answers and long pauses in between, the window starts from its minimum after each pause.
#[derive(Clone, Debug)]
pub struct PrefetchController {
    max_window: u64,
    /// Answers per second, as a moving average.
    rate: f64,
    /// Time left of messages at their delivery, in milliseconds, as a moving average.
    time_left: f64,
    answers: u64,
    late: u64,
    /// Whether the window was used up in this interval.
    full: bool,
    /// The rate before the window was enlarged as a trial, and whether a full interval has begun with the larger window.
    trial: Option<(f64, bool)>,
    /// The earliest time of the next trial.
    next_trial: Time,
    interval_start: Time,
    window: u64,
    blocked: bool,
    stopping: bool,
}

/// Answers are counted for this time (5 s) before the window is adjusted. The interval ends earlier once there are two answers
/// for each message of the window, but not before `MIN_INTERVAL` (0.5 s).
const MAX_INTERVAL: Time = Time(50_000);
const MIN_INTERVAL: Time = Time(5_000);
/// A window enlarged as a trial is kept if the answer rate grows by this factor.
const MIN_RATE_GAIN: f64 = 1.2;
/// Pause after a trial without that gain (30 s).
const TRIAL_PAUSE: Time = Time(300_000);
/// The fraction of the time left within which held messages are to be answered.
const TIME_LEFT_SHARE: f64 = 0.25;
const MIN_WINDOW: u64 = 2;
const SMOOTHING_FACTOR: f64 = 0.3;
/// The window is halved if a larger share of the answers is late or denied.
const MAX_LATE_SHARE: f64 = 0.05;

impl PrefetchController {
    /// `max_window` is the upper limit of the window.
    pub fn new(now: Time, max_window: u64) -> PrefetchController {
        PrefetchController {
            max_window: max_window.max(MIN_WINDOW),
            rate: 0.0,
            time_left: 0.0,
            answers: 0,
            late: 0,
            full: false,
            trial: None,
            next_trial: now,
            interval_start: now,
            window: MIN_WINDOW,
            blocked: false,
            stopping: false,
        }
    }

    /// The number of unacknowledged messages that the broker may have delivered here. Zero means none, so consumers are to
    /// be cancelled (in `basic.qos` zero means unlimited).
    pub fn prefetch(&self) -> u64 {
        if self.blocked || self.stopping {
            return 0;
        }
        self.window
    }

    /// Records a delivery. `held` is the number of messages held, including this one.
    pub fn delivered(&mut self, time_left: Time, held: u64) {
        self.time_left += (time_left.ms() - self.time_left)
            * if self.time_left == 0.0 { 1.0 } else { SMOOTHING_FACTOR / 10.0 };
        self.full |= held >= self.window;
    }

    /// Records a final answer. An answer counts as late if it is denied or comes after its time.
    pub fn answered(&mut self, late: bool) {
        self.answers += 1;
        self.late += u64::from(late);
    }

    /// The broker has blocked or unblocked publishing. While it blocks, messages would only pile up here.
    pub fn blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Adjusts the window at the end of an interval. Returns whether the window has changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let elapsed = now - self.interval_start;
        if elapsed < MIN_INTERVAL || (elapsed < MAX_INTERVAL && self.answers < 2 * self.window) {
            return false;
        }
        let before = self.window;
        let rate = self.answers as f64 * 1000.0 / elapsed.ms();
        self.rate += (rate - self.rate) * if self.rate == 0.0 { 1.0 } else { SMOOTHING_FACTOR };
        let target = (self.rate * TIME_LEFT_SHARE * self.time_left / 1000.0).ceil() as u64;
        let trial = self.trial.take();
        if self.late as f64 > MAX_LATE_SHARE * self.answers as f64 {
            self.window /= 2;
        } else if !self.full {
            self.window = self.window.min(target.max(MIN_WINDOW));
        } else if let Some((rate_before, false)) = trial {
            // This interval includes answers from before the trial; the next one counts.
            self.trial = Some((rate_before, true));
        } else if trial.is_some_and(|(rate_before, _)| rate < rate_before * MIN_RATE_GAIN) {
            (self.window, self.next_trial) =
                (target.max(self.window * 2 / 3).min(self.window), now + TRIAL_PAUSE);
        } else if self.window < target {
            // The window was used up and few answers were late: it grows up to the number that is answered in time.
            self.window = (self.window * 2).min(target);
        } else if self.next_trial <= now && rate > 0.0 && self.window < self.max_window {
            (self.window, self.trial) = (self.window * 3 / 2, Some((rate, false)));
        }
        self.window = self.window.clamp(MIN_WINDOW, self.max_window);
        (self.answers, self.late, self.full, self.interval_start) = (0, 0, false, now);
        self.window != before
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Simulates two minutes with a queue that is never empty, workers that take `service_ms` for a message and give at most
    /// `rate` answers per second, and messages with `time_left_ms`. Returns the final window and the number of late answers in
    /// the second half.
    fn run(rate: f64, service_ms: u64, time_left_ms: u64, max_window: u64) -> (u64, u64) {
        let mut controller = PrefetchController::new(Time(0), max_window);
        let (mut waiting, mut capacity, mut late_count) = (std::collections::VecDeque::new(), 0.0, 0);
        for now in (0..1_200_000u64).step_by(10) {
            while (waiting.len() as u64) < controller.prefetch() {
                waiting.push_back(now);
                controller.delivered(Time(time_left_ms * 10), waiting.len() as u64);
            }
            capacity = f64::min(capacity + rate / 1000.0, 1.0 + rate / 1000.0);
            while capacity >= 1.0 && waiting.front().is_some_and(|arrival| arrival + service_ms * 10 <= now) {
                capacity -= 1.0;
                let late = waiting.pop_front().is_some_and(|arrival| now - arrival > time_left_ms * 10);
                late_count += u64::from(late && now > 600_000);
                controller.answered(late);
            }
            controller.tick(Time(now));
        }
        (controller.prefetch(), late_count)
    }

    #[test_case(100.0, 1, 4_000, 1_000, 80..=110 ; "a quarter of the answers within the time left")]
    #[test_case(100.0, 1, 4_000, 50, 50..=50 ; "limited by the maximum window")]
    #[test_case(1.0, 1, 8_000, 1_000, 2..=4 ; "a small window for slow workers")]
    #[test_case(2_000.0, 1, 1_000, 10_000, 400..=600 ; "a large window for fast workers")]
    #[test_case(1e6, 2_000, 4_000, 200, 200..=200 ; "the maximum window for slow answers at a high rate")]
    #[test_case(20.0, 2_000, 4_000, 1_000, 20..=80 ; "a window that still raises the rate, for slow answers")]
    fn the_window_follows_the_number_of_answers_in_time(
        rate: f64, service_ms: u64, time_left_ms: u64, max_window: u64, want: std::ops::RangeInclusive<u64>,
    ) {
        let (window, late) = run(rate, service_ms, time_left_ms, max_window);
        assert!(want.contains(&window), "{window}");
        assert_eq!(late, 0);
    }

    #[test]
    fn late_answers_halve_the_window_and_idle_intervals_shrink_it() {
        let mut controller = PrefetchController::new(Time(0), 1_000);
        for round in 1..=8u64 {
            controller.delivered(Time(40_000), controller.prefetch());
            (0..500).for_each(|_| controller.answered(false));
            controller.tick(Time(round * 5_000));
        }
        let large_window = controller.prefetch();
        assert!(large_window > 100, "{large_window}");
        (0..2 * large_window).for_each(|number| controller.answered(number % 10 == 0));
        controller.tick(Time(45_000));
        assert_eq!(controller.prefetch(), large_window / 2);
        for round in 2..60 {
            controller.tick(Time(round * 50_000));
        }
        assert_eq!(controller.prefetch(), MIN_WINDOW);
    }

    #[test]
    fn a_blocked_broker_or_a_stop_sets_the_prefetch_to_zero() {
        let mut controller = PrefetchController::new(Time(0), 9);
        controller.blocked(true);
        assert_eq!(controller.prefetch(), 0);
        controller.blocked(false);
        assert_eq!(controller.prefetch(), MIN_WINDOW);
        controller.stop();
        assert_eq!(controller.prefetch(), 0);
    }
}
