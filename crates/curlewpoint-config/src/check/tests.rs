use crate::parse;
use test_case::test_case;

const GOOD: &str = "name a\nlisten 127.0.0.1:1\nlist 127.0.0.1:2\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  deadline 2s\n}\n";

#[test]
fn defaults_fill_what_is_not_said() {
    let config = parse("t", GOOD).unwrap();
    assert_eq!(config.number("connections", "dial-limit"), 250.0);
    assert_eq!(config.settings()["familyInfo"]["keepAlive"], 8000.0);
    assert_eq!(config.settings()["loadInfo"]["names"][0], "utilization");
}

#[test_case("nmae b", "no directive 'nmae'" ; "unknown")]
#[test_case("nmae b", "did you mean name?" ; "and its neighbour")]
#[test_case("name b", "name stands twice" ; "duplicate")]
#[test_case("seed x", "'x' is not a number" ; "nonsense")]
#[test_case("stop-limit 5", "write 500ms" ; "no unit")]
#[test_case("drain-grace 5s", "it belongs in a block of workers" ; "the wrong place")]
#[test_case("method m {\n}", "method m stands twice" ; "one name twice")]
#[test_case("method n {\n}", "method n: effect is missing" ; "a method without its effect")]
#[test_case("method n {\neffect tokened\nsoft-deadline 3s\ndeadline 2s\n}", "soft deadline lies after" ; "deadlines crossed")]
#[test_case("workers {", "this block is not closed" ; "an open block")]
#[test_case("}", "no block is open" ; "a stray brace")]
#[test_case("log-level \"info", "not closed" ; "an open quote")]
#[test_case("tenant a {\nshare 60%\n}\ntenant b {\nshare 60%\n}", "add up to 120%" ; "shares over the whole")]
#[test_case("include x", "include takes one file" ; "an include in memory")]
#[test_case("log-level", "log-level needs a value" ; "no value")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 0B\n}", "directory must be from 1KiB to 1MiB" ; "a directory without bytes")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 2GiB\n}", "directory must be from 1KiB to 1MiB" ; "a directory without bounds")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 3000\n}", "not an amount of memory" ; "a directory without a unit")]
fn a_fault_is_told_with_its_line(more: &str, want: &str) {
    let told = parse("t.conf", &format!("{GOOD}{more}\n")).unwrap_err();
    assert!(told.rendered.contains(want), "{}", told.rendered);
    assert!(told.rendered.contains("t.conf:"), "{}", told.rendered);
}

#[test]
fn an_include_stands_for_its_file_and_its_faults_are_told_there() {
    let folder = std::env::temp_dir().join(format!("curlewpoint-include-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("main.conf", &format!("include more.conf\n{GOOD}"));
    write("more.conf", "stop-limit 7s\n");
    let config = crate::load(folder.join("main.conf")).unwrap();
    assert_eq!(config.number("", "stop-limit"), 7000.0);
    write("more.conf", "stop-limit soon\ninclude main.conf\n");
    let told = crate::load(folder.join("main.conf")).unwrap_err().drawn;
    assert!(told.contains("more.conf:1:12") && told.contains("does one include itself?"), "{told}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn all_faults_are_told_at_once() {
    let told = parse("t", &format!("{GOOD}nmae b\nseed x\nstop-limit 5\n}}\n")).unwrap_err();
    assert_eq!(told.count, 4, "{}", told.rendered);
}
