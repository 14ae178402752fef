use super::*;

#[test]
fn input_read_right_after_a_stall_may_be_delayed_by_its_length() {
    let mut stalls = StallDetector::default();
    for at in [10_000, 10_200, 10_400] {
        assert_eq!(stalls.iteration_started(Time(at)), None);
        assert_eq!(stalls.possible_delay(Time(at)), Time(0), "regular iterations are no stall");
    }
    assert_eq!(stalls.iteration_started(Time(12_900)), Some(Time(2_500)));
    assert_eq!(stalls.possible_delay(Time(12_900)), Time(2_500));
    stalls.iteration_started(Time(13_000));
    assert_eq!(stalls.possible_delay(Time(13_000)), Time(2_500), "reading the backlog takes some iterations");
    stalls.iteration_started(Time(13_250));
    assert_eq!(stalls.possible_delay(Time(13_250)), Time(0), "later input has not waited");
}

/// Guards against a budget that counts only the last of two stalls for a request that waited through both.
#[test]
fn input_may_be_delayed_by_several_stalls_in_a_row() {
    let mut stalls = StallDetector::default();
    for at in [10_000, 38_000, 38_010, 41_000] {
        stalls.iteration_started(Time(at));
    }
    assert_eq!(stalls.possible_delay(Time(41_000)), Time(31_000));
    for at in [41_200, 41_400, 44_000] {
        stalls.iteration_started(Time(at));
    }
    assert_eq!(stalls.possible_delay(Time(44_000)), Time(2_600), "what came before was read");
}
