use super::*;
use test_case::test_case;

#[test_case("1500", Some(Time(15_000)))]
#[test_case("0.25", Some(Time(2)) ; "fractions of a tick are rounded down")]
#[test_case("0", None)]
#[test_case("-5", None)]
#[test_case("+5", None)]
#[test_case("1e3", None)]
#[test_case("NaN", None)]
#[test_case("inf", None)]
#[test_case("99999999999999999999999", None)]
#[test_case("", None)]
fn timeout_must_be_a_plain_positive_number(text: &str, want: Option<Time>) {
    assert_eq!(parse_timeout(text), want);
}

#[test_case("memory_mb:512;lanes:2", Some(vec![("memory_mb", 512.0), ("lanes", 2.0)]))]
#[test_case("", Some(vec![]))]
#[test_case("lanes:many", None)]
#[test_case("lanes", None)]
fn malformed_call_parameters_are_rejected(text: &str, want: Option<Vec<(&str, f64)>>) {
    assert_eq!(parse_info(text).collect::<Option<Vec<_>>>(), want);
}

#[test]
fn tags_are_accepted_once_and_consecutive_tags_share_a_run() {
    for from in [1, 100, u64::MAX - 3000] {
        let mut tags = TagSet::default();
        assert!((from..from + 1000).all(|tag| tags.insert(tag, 4)) && tags.runs.len() == 1);
        assert!(!tags.insert(from + 6, 4) && tags.insert(from + 1001, 4) && tags.insert(from + 1000, 4));
        assert!(!tags.insert(from + 1001, 4) && tags.runs.len() == 1);
        // One run and three single tags reach the limit of four runs.
        assert!([1999, 2003, 2001].iter().all(|n| tags.insert(from + n, 4)) && tags.runs.len() == 4);
        assert!(tags.insert(from + 2000, 4) && tags.insert(from + 2002, 4) && tags.runs.len() == 2);
        assert!((1999..=2003).all(|n| tags.contains(from + n)) && !tags.contains(from + 2004));
    }
}

/// Guards against refusing a new tag because many tags that are not consecutive were used before it.
#[test]
fn at_the_limit_of_runs_a_new_tag_is_accepted_and_another_run_is_forgotten() {
    let mut tags = TagSet::default();
    assert!([10, 11, 20, 30, 40].iter().all(|tag| tags.insert(*tag, 4)) && tags.runs.len() == 4);
    assert!(tags.insert(50, 4) && !tags.insert(50, 4), "above all runs");
    assert!(tags.runs.len() == 4 && !tags.contains(10) && !tags.contains(11));
    assert!([20, 30, 40].iter().all(|tag| !tags.insert(*tag, 4)));
    assert!(tags.insert(5, 4) && !tags.insert(5, 4), "below all runs");
    assert!(tags.runs.len() == 4 && !tags.contains(50));
    assert!([20, 30, 40].iter().all(|tag| !tags.insert(*tag, 4)));
    assert!(tags.insert(35, 4) && !tags.insert(35, 4), "between two runs");
    assert!(tags.runs.len() == 4 && !tags.contains(5));
}

#[test]
fn fields_are_matched_by_full_name() {
    let fields = "req=9b1f03aa5c7e2d41,timeout=1500";
    assert_eq!((field(fields, "timeout"), field(fields, "time")), (Some("1500"), None));
}

#[test]
fn tag_set_contains_only_inserted_tags() {
    let mut tags = TagSet::default();
    assert!(!tags.contains(1) && !tags.contains(7));
    assert!(tags.insert(7, 9) && tags.insert(1, 9));
    assert!(tags.contains(1) && tags.contains(7) && !tags.contains(2));
}

#[test_case(b"1", true, Some(1))]
#[test_case(b"18446744073709551615", true, Some(u64::MAX) ; "the largest that is supported")]
#[test_case(b"18446744073709551616", true, None ; "above the largest")]
#[test_case(b"0", false, None)]
#[test_case(b"000", false, None)]
#[test_case(b"", false, None ; "empty")]
#[test_case(b"-1", false, None)]
#[test_case(b"7x", false, None)]
fn a_tag_is_a_decimal_number_from_one_up(word: &[u8], is_valid: bool, parsed: Option<u64>) {
    assert_eq!((is_tag(word), parse_tag(word)), (is_valid, parsed));
}
