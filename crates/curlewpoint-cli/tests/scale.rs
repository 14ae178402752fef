//! Tests the command line of the scale rig: reports, and invalid input reported in one line that names it.

use std::process::{Command, Output};

use test_case::test_case;

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_curlewpoint"))
        .args(["fleet", "scale"])
        .args(args)
        .output()
        .expect("the program runs")
}

#[test_case(&["--sizes", "15"], "--sizes: '15' is not a number from 16 to 4000"; "too small")]
#[test_case(&["--sizes", "100,4001"], "--sizes: '4001' is not a number from 16 to 4000"; "too large")]
#[test_case(&["--sizes", "many"], "--sizes: 'many' is not a number from 16 to 4000"; "not a number")]
#[test_case(&["--sizes", ""], "--sizes: '' is not a number from 16 to 4000"; "empty")]
#[test_case(&["--sizes", "100,100"], "--sizes: 100 follows 100, but sizes must be ascending"; "not ascending")]
#[test_case(&["--parts", "steady,herd"], "--parts: 'herd' is not one of steady, module, start, faults, worker"; "unknown part")]
#[test_case(&["--seed", "-1"], "--seed: '-1' is not a whole number"; "invalid seed")]
#[test_case(&["--pace", "999"], "--pace: '999' is not a number from 1000 to 1000000000"; "too slow")]
#[test_case(&["--directory", "no"], "--directory: 'no' is not a number from 100 to 1000000"; "invalid budget")]
#[test_case(&["--json", "/nowhere/figures.json"], "--json: /nowhere/figures.json: No such file"; "missing folder")]
fn invalid_input_is_reported_in_one_line_that_names_it(args: &[&str], message: &str) {
    // Joined with `=`, so that a value may begin with a dash.
    let args: Vec<String> = args.chunks(2).map(|a| format!("{}={}", a[0], a[1])).collect();
    let out = scale(&args.iter().map(String::as_str).collect::<Vec<_>>());
    let errors = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{errors}");
    assert!(out.stdout.is_empty());
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.starts_with(&format!("curlewpoint: {message}")), "{errors}");
}

#[test]
fn a_report_of_two_sizes_is_reproducible_as_text_and_json() {
    let file = std::env::temp_dir().join(format!("scale-{}.json", std::process::id()));
    let run = || {
        let name = file.to_str().expect("a UTF-8 path");
        let out = scale(&["--sizes", "16,32", "--parts", "steady,module,start", "--small", "--json", name]);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        let json = std::fs::read_to_string(&file).expect("the report was written");
        (String::from_utf8(out.stdout).expect("text"), json)
    };
    let (text, json) = run();
    assert!(text.contains("steady: bytes sent") && text.contains("all start: bytes in 6 s"));
    assert!(text.contains("budget or promise"));
    let report: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(report["outcomes"][1]["schedulers"], 32);
    assert_eq!(report["steps"]["sizes"], serde_json::json!([16, 32]));
    assert!(report["fits"].as_array().is_some_and(|f| f.iter().any(|f| f["name"] == "steady: bytes sent")));
    // The report holds no measured times, so it is reproducible.
    assert_eq!(run(), (text, json));
    let _ = std::fs::remove_file(file);
}
