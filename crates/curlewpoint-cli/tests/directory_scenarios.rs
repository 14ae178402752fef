//! Fault scenarios for the copy directory with real processes: holders of an entry are killed or suspended, the fleet is
//! partitioned or loses a zone, a function is called everywhere, one or all instances start empty, a peer misuses the
//! directory. Each is checked by the five rules, by the bytes of each instance's worst second and by its own expectations,
//! all from the traffic through the relays. Each has few calls.

mod common;

use test_case::test_case;

/// Runs a scenario. Returns the exit code, the output, and the bytes sent in the worst second of the directory with their
/// limit.
fn run_scenario(name: &str, schedulers: &str) -> (Option<i32>, String, [f64; 2]) {
    let (code, output) = common::run_scenario(name, schedulers, &["--directory", "3KiB"]);
    let line = output
        .lines()
        .find(|l| l.starts_with("directory: worst second"))
        .unwrap_or_else(|| panic!("{output}"));
    let cells: Vec<f64> = line.split([' ', ';']).filter_map(|w| w.parse().ok()).collect();
    let worst = [cells[0], cells[1]];
    (code, output, worst)
}

/// Twelve instances form one column, in which all hold each entry. Sixteen form two, where queries go through a contact.
#[test_case("holders", "16" ; "holders are killed repeatedly during queries")]
#[test_case("returned", "12" ; "holders are suspended and resume with outdated entries")]
#[test_case("split", "16" ; "the halves are partitioned and rejoin")]
#[test_case("zone", "12" ; "a zone fails and recovers")]
#[test_case("called", "16" ; "a function is suddenly called everywhere")]
#[test_case("newcomer", "9" ; "one instance starts empty in a warm fleet")]
#[test_case("cold", "9" ; "all instances start empty at once")]
#[test_case("misled", "12" ; "peers flood, send plausible lies or do not read")]
fn a_directory_fault_scenario_keeps_the_rules(name: &str, schedulers: &str) {
    let (code, output, [sent, max]) = run_scenario(name, schedulers);
    assert_eq!(code, Some(0), "{output}");
    // Without traffic the scenario would not have tested the directory.
    assert!(sent > 100.0 && sent <= max, "{output}");
}
