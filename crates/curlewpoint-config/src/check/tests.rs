use crate::parse;
use test_case::test_case;

const VALID_CONFIG: &str = "name a\nlisten 127.0.0.1:1\nlist 127.0.0.1:2\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  deadline 2s\n}\n";

#[test]
fn defaults_fill_directives_that_are_not_given() {
    let config = parse("t", VALID_CONFIG).unwrap();
    assert_eq!(config.number("connections", "dial-limit"), 250.0);
    assert_eq!(config.settings()["familyInfo"]["keepAlive"], 8000.0);
    assert_eq!(config.settings()["loadInfo"]["names"][0], "utilization");
}

#[test_case("nmae b", "no directive 'nmae'" ; "unknown")]
#[test_case("nmae b", "did you mean name?" ; "a similar name is suggested")]
#[test_case("name b", "name is given twice" ; "duplicate")]
#[test_case("seed x", "'x' is not a number" ; "not a number")]
#[test_case("stop-limit 5", "write 500ms" ; "no unit")]
#[test_case("drain-grace 5s", "it belongs in a block of workers" ; "in the wrong block")]
#[test_case("method m {\n}", "method m is given twice" ; "a method name twice")]
#[test_case("method n {\n}", "method n: effect is missing" ; "a method without its effect")]
#[test_case("method n {\neffect tokened\nsoft-deadline 3s\ndeadline 2s\n}", "soft deadline lies after" ; "soft deadline after the deadline")]
#[test_case("workers {", "this block is not closed" ; "an unclosed block")]
#[test_case("}", "no block is open" ; "a stray brace")]
#[test_case("log-level \"info", "not closed" ; "an unclosed quote")]
#[test_case("tenant a {\nshare 60%\n}\ntenant b {\nshare 60%\n}", "add up to 120%" ; "shares of more than 100 percent")]
#[test_case("include x", "include takes one file" ; "an include in memory")]
#[test_case("log-level", "log-level needs a value" ; "no value")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 0B\n}", "directory must be from 1KiB to 1MiB" ; "a directory of zero bytes")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 2GiB\n}", "directory must be from 1KiB to 1MiB" ; "a directory over the limit")]
#[test_case("fleet {\nname f\nlisten 127.0.0.1:3\ndirectory 3000\n}", "not an amount of memory" ; "a directory without a unit")]
fn an_error_is_reported_with_its_file(extra: &str, expected: &str) {
    let errors = parse("t.conf", &format!("{VALID_CONFIG}{extra}\n")).unwrap_err();
    assert!(errors.rendered.contains(expected), "{}", errors.rendered);
    assert!(errors.rendered.contains("t.conf:"), "{}", errors.rendered);
}

#[test]
fn an_include_is_replaced_by_its_file_and_errors_name_that_file() {
    let folder = std::env::temp_dir().join(format!("curlewpoint-include-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("main.conf", &format!("include more.conf\n{VALID_CONFIG}"));
    write("more.conf", "stop-limit 7s\n");
    let config = crate::load(folder.join("main.conf")).unwrap();
    assert_eq!(config.number("", "stop-limit"), 7000.0);
    write("more.conf", "stop-limit soon\ninclude main.conf\n");
    let errors = crate::load(folder.join("main.conf")).unwrap_err().rendered;
    assert!(errors.contains("more.conf:1:12") && errors.contains("does one include itself?"), "{errors}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn all_errors_are_reported_at_once() {
    let errors = parse("t", &format!("{VALID_CONFIG}nmae b\nseed x\nstop-limit 5\n}}\n")).unwrap_err();
    assert_eq!(errors.count, 4, "{}", errors.rendered);
}
