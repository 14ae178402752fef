use super::*;

#[test]
fn what_is_read_right_after_a_stall_may_have_waited_as_long() {
    let mut stalls = Stalls::default();
    for at in [10_000, 10_200, 10_400] {
        stalls.turns(Time(at));
        assert_eq!(stalls.waited(Time(at)), Time(0), "turns that follow each other are no stall");
    }
    stalls.turns(Time(12_900));
    assert_eq!(stalls.waited(Time(12_900)), Time(2_500));
    stalls.turns(Time(13_000));
    assert_eq!(stalls.waited(Time(13_000)), Time(2_500), "it takes some turns to read what has come");
    stalls.turns(Time(13_250));
    assert_eq!(stalls.waited(Time(13_250)), Time(0), "what comes later has not waited");
}
