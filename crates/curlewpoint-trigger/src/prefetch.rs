use curlewpoint::types::Time;

/// Decides how many messages to hold at a time.
///
/// What is held here and not answered in time is lost to the instances that could have answered it, and what is held when this
/// one dies is aborted where it is side-effecting; what is not held here waits in its queue for all. So no more is held than
/// is answered in a part of the time that requesters wait (Little's law). Where answers take longer than that part by
/// themselves, holding more may still bring more: half as many more are tried from time to time, and kept if answers come faster.
/// Guards against a prefetch that is a constant: too many when workers are slow, too few when they are fast. It harms where
/// answers come in bursts with long pauses: after a pause it starts from the least.
#[derive(Clone, Debug)]
pub struct PrefetchController {
    most: u64,
    /// Answers a second, faded.
    rate: f64,
    /// How long messages had left when they came, in milliseconds, faded.
    left: f64,
    answers: u64,
    late: u64,
    full: bool,
    /// The rate before more were tried, whether those are under way by now, and when that may be done again.
    tried: Option<(f64, bool)>,
    rest: Time,
    began: Time,
    window: u64,
    blocked: bool,
    stopping: bool,
}

/// Answers are counted for so long before the window moves, unless there are two for each message held before that.
const SPAN: Time = Time(50_000);
const LEAST_SPAN: Time = Time(5_000);
/// Half as many more are worth it if answers come so many times as fast; if not, that is not tried again for so long.
const RISE: f64 = 1.2;
const REST: Time = Time(300_000);
/// The part of the time left within which what is held is to be answered.
const PART: f64 = 0.25;
const LEAST: u64 = 2;
const FADE: f64 = 0.3;
/// More late or denied answers than this share halve the window.
const LATE: f64 = 0.05;

impl PrefetchController {
    /// Holds no more than this, whatever is answered.
    pub fn new(now: Time, most: u64) -> PrefetchController {
        PrefetchController {
            most: most.max(LEAST),
            rate: 0.0,
            left: 0.0,
            answers: 0,
            late: 0,
            full: false,
            tried: None,
            rest: now,
            began: now,
            window: LEAST,
            blocked: false,
            stopping: false,
        }
    }

    /// How many messages the broker may have sent here without an acknowledgement; nought: none, so consumers are to be
    /// cancelled (in `basic.qos` nought means any number).
    pub fn prefetch(&self) -> u64 {
        if self.blocked || self.stopping {
            return 0;
        }
        self.window
    }

    /// A message has come; with it so many are held.
    pub fn delivered(&mut self, left: Time, held: u64) {
        self.left += (left.ms() - self.left) * if self.left == 0.0 { 1.0 } else { FADE / 10.0 };
        self.full |= held >= self.window;
    }

    /// A message has its final answer; late are those that were denied or came after their time.
    pub fn answered(&mut self, late: bool) {
        self.answers += 1;
        self.late += u64::from(late);
    }

    /// The broker takes no answers, or takes them again: what is not acknowledged would only pile up here.
    pub fn blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Time has passed; true: `prefetch` may have changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let span = now - self.began;
        if span < LEAST_SPAN || (span < SPAN && self.answers < 2 * self.window) {
            return false;
        }
        let before = self.window;
        let rate = self.answers as f64 * 1000.0 / span.ms();
        self.rate += (rate - self.rate) * if self.rate == 0.0 { 1.0 } else { FADE };
        let due = (self.rate * PART * self.left / 1000.0).ceil() as u64;
        let tried = self.tried.take();
        if self.late as f64 > LATE * self.answers as f64 {
            self.window /= 2;
        } else if !self.full {
            self.window = self.window.min(due.max(LEAST));
        } else if let Some((before, false)) = tried {
            // Answers of before are among these: the next ones count.
            self.tried = Some((before, true));
        } else if tried.is_some_and(|(before, _)| rate < before * RISE) {
            (self.window, self.rest) = (due.max(self.window * 2 / 3).min(self.window), now + REST);
        } else if self.window < due {
            // All of it was used, and nothing was late: more may be asked for, up to what is answered in time.
            self.window = (self.window * 2).min(due);
        } else if self.rest <= now && rate > 0.0 && self.window < self.most {
            (self.window, self.tried) = (self.window * 3 / 2, Some((rate, false)));
        }
        self.window = self.window.clamp(LEAST, self.most);
        (self.answers, self.late, self.full, self.began) = (0, 0, false, now);
        self.window != before
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// A queue that is never empty, workers that take `takes` ms for a message and answer `rate` a second at most, messages
    /// that wait `left` ms: the window after two minutes, and how many were late in its last half.
    fn run(rate: f64, takes: u64, left: u64, most: u64) -> (u64, u64) {
        let mut intake = PrefetchController::new(Time(0), most);
        let (mut waiting, mut served, mut late_at_last) = (std::collections::VecDeque::new(), 0.0, 0);
        for now in (0..1_200_000u64).step_by(10) {
            while (waiting.len() as u64) < intake.prefetch() {
                waiting.push_back(now);
                intake.delivered(Time(left * 10), waiting.len() as u64);
            }
            served = f64::min(served + rate / 1000.0, 1.0 + rate / 1000.0);
            while served >= 1.0 && waiting.front().is_some_and(|came| came + takes * 10 <= now) {
                served -= 1.0;
                let late = waiting.pop_front().is_some_and(|came| now - came > left * 10);
                late_at_last += u64::from(late && now > 600_000);
                intake.answered(late);
            }
            intake.tick(Time(now));
        }
        (intake.prefetch(), late_at_last)
    }

    #[test_case(100.0, 1, 4_000, 1_000, 80..=110 ; "a quarter of what is answered in the time left")]
    #[test_case(100.0, 1, 4_000, 50, 50..=50 ; "the bound")]
    #[test_case(1.0, 1, 8_000, 1_000, 2..=4 ; "few where workers are slow")]
    #[test_case(2_000.0, 1, 1_000, 10_000, 400..=600 ; "many where they are fast")]
    #[test_case(1e6, 2_000, 4_000, 200, 200..=200 ; "many where each takes long and they are many")]
    #[test_case(20.0, 2_000, 4_000, 1_000, 20..=80 ; "as many as bring more, where each takes long")]
    fn the_window_follows_what_is_answered_in_time(
        rate: f64, takes: u64, left: u64, most: u64, want: std::ops::RangeInclusive<u64>,
    ) {
        let (window, late) = run(rate, takes, left, most);
        assert!(want.contains(&window), "{window}");
        assert_eq!(late, 0);
    }

    #[test]
    fn late_answers_halve_it_and_silence_brings_it_down() {
        let mut intake = PrefetchController::new(Time(0), 1_000);
        for round in 1..=8u64 {
            intake.delivered(Time(40_000), intake.prefetch());
            (0..500).for_each(|_| intake.answered(false));
            intake.tick(Time(round * 5_000));
        }
        let wide = intake.prefetch();
        assert!(wide > 100, "{wide}");
        (0..2 * wide).for_each(|no| intake.answered(no % 10 == 0));
        intake.tick(Time(45_000));
        assert_eq!(intake.prefetch(), wide / 2);
        for round in 2..60 {
            intake.tick(Time(round * 50_000));
        }
        assert_eq!(intake.prefetch(), LEAST);
    }

    #[test]
    fn a_blocked_broker_and_a_stop_take_nothing_more() {
        let mut intake = PrefetchController::new(Time(0), 9);
        intake.blocked(true);
        assert_eq!(intake.prefetch(), 0);
        intake.blocked(false);
        assert_eq!(intake.prefetch(), LEAST);
        intake.stop();
        assert_eq!(intake.prefetch(), 0);
    }
}
