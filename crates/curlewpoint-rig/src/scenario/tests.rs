use super::*;
use test_case::test_case;

#[test]
fn all_shipped_plays_are_read() {
    for (name, text) in SHIPPED_SCENARIOS {
        let play = FleetScenario::parse(name, text).unwrap_or_else(|f| panic!("{f}"));
        assert!(!play.events.is_empty() && !play.expects.is_empty(), "{name}");
        assert!(play.events.iter().all(|e| e.at + e.len < play.script.length), "{name}");
        assert!(play.spans.iter().all(|s| s.at + s.len < play.script.length), "{name}");
    }
}

#[test_case("at 5s cut schedulers", "it needs `from` and a party" ; "a cut from nobody")]
#[test_case("at 5s kill schedulers from list", "it takes no `from`" ; "a kill from somebody")]
#[test_case("at 5s kil schedulers", "'kil' is none of cut" ; "an unknown action")]
#[test_case("at 5s kill schedulrs", "'schedulrs' is none of schedulers" ; "an unknown party")]
#[test_case("at 5s flood schedulers from others for 2s", "it takes no `from`" ; "a flood from somebody")]
#[test_case("at 5s call schedulers evry 2s", "'evry' is none of part" ; "an unknown word")]
#[test_case("expect serves soon", "'soon'" ; "a limit that is none")]
#[test_case("expect tolld 5ms", "'tolld' is none of list-connections" ; "an unknown limit")]
#[test_case("cold maybe", "neither yes nor no" ; "nonsense")]
#[test_case("measure all at 5s", "measure NAME at TIME for TIME" ; "a span without its length")]
#[test_case("measure all at 5s for 0s", "longer than nothing" ; "an empty span")]
#[test_case("length 10s\nmeasure all at 5s for 5s", "the play ends before it is over" ; "a span beyond the end")]
#[test_case("idle-rows 100001", "no whole number up to 100000" ; "more rows than a list may have")]
#[test_case("lenth 5s", "no directive 'lenth'" ; "an unknown directive")]
fn faults_are_told(line: &str, want: &str) {
    let told = FleetScenario::parse("x.play", line).unwrap_err();
    assert!(told.rendered.contains(want), "{told}");
}
