use super::*;
use test_case::test_case;

#[test]
fn all_shipped_scenarios_parse() {
    for (name, text) in SHIPPED_SCENARIOS {
        let scenario = FleetScenario::parse(name, text).unwrap_or_else(|f| panic!("{f}"));
        assert!(!scenario.events.is_empty() && !scenario.limits.is_empty(), "{name}");
        assert!(scenario.events.iter().all(|e| e.at + e.duration < scenario.script.length), "{name}");
        assert!(scenario.spans.iter().all(|s| s.at + s.duration < scenario.script.length), "{name}");
    }
}

#[test_case("at 5s cut schedulers", "it needs `from` and a party" ; "a cut without a second party")]
#[test_case("at 5s kill schedulers from list", "it takes no `from`" ; "a kill with a second party")]
#[test_case("at 5s kil schedulers", "'kil' is none of cut" ; "an unknown action")]
#[test_case("at 5s kill schedulrs", "'schedulrs' is none of schedulers" ; "an unknown party")]
#[test_case("at 5s flood schedulers from others for 2s", "it takes no `from`" ; "a flood with a second party")]
#[test_case("at 5s call schedulers evry 2s", "'evry' is none of part" ; "an unknown word")]
#[test_case("expect serves soon", "'soon'" ; "a limit without a value")]
#[test_case("expect tolld 5ms", "'tolld' is none of list-connections" ; "an unknown limit")]
#[test_case("cold maybe", "neither yes nor no" ; "neither yes nor no")]
#[test_case("measure all at 5s", "measure NAME at TIME for TIME" ; "a span without its length")]
#[test_case("measure all at 5s for 0s", "longer than zero" ; "an empty span")]
#[test_case("length 10s\nmeasure all at 5s for 5s", "the scenario ends before the span does" ; "a span beyond the end")]
#[test_case("idle-rows 100001", "no whole number up to 100000" ; "more rows than a list may have")]
#[test_case("lenth 5s", "no directive 'lenth'" ; "an unknown directive")]
fn errors_name_what_is_wrong(line: &str, expected: &str) {
    let errors = FleetScenario::parse("x.play", line).unwrap_err();
    assert!(errors.rendered.contains(expected), "{errors}");
}
