//! Runs the soak for a minute, with fixed seeds.

mod test_servers;

use std::process::Command;

/// Together these seeds cover each mix of failing calls, and a crowd of idle clients.
const SEEDS: [u64; 6] = [1, 7, 302, 306, 317, 326];
const PARALLEL_RUNS: usize = 2;
/// The minimum number of runs that count. A run in which the rig itself was late does not, as it measures the machine.
const MIN_COUNTED_RUNS: usize = 2;

fn soak(seed: u64, faults: &str) -> (bool, String) {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
    soak.args(["fleet", "soak", "--seconds", "8", "--seed", &seed.to_string(), "--faults", faults]);
    let result = soak.output().expect("the program runs");
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    (result.status.success(), output)
}

/// Guards the rules that the soak checks: final answers, effects, drains, load orders, disconnects, budgets, crashes.
#[test]
fn a_soak_of_one_minute_keeps_the_rules() {
    let library = test_servers::faults_library();
    let library = library.to_str().expect("a UTF-8 path");
    let mut counted = 0;
    for seeds in SEEDS.chunks(PARALLEL_RUNS) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|&seed| {
                let library = library.to_owned();
                std::thread::spawn(move || soak(seed, &library))
            })
            .collect();
        for run in runs {
            let (kept, output) = run.join().expect("the run completes");
            println!("{output}");
            assert!(kept, "{output}");
            counted += usize::from(output.contains("0 do not count"));
        }
    }
    assert!(counted >= MIN_COUNTED_RUNS, "{counted} of {} runs count: the machine was too busy", SEEDS.len());
}

/// Guards against a misspelled fault script that injects no faults, so that a test passes without testing anything.
#[test]
fn an_invalid_fault_script_starts_nothing() {
    let mut node = Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
    node.args(["node", "/nonexistent"]).env("LD_PRELOAD", test_servers::faults_library());
    let result =
        node.env("CURLEWPOINT_FAULTS", "seed 1; send tcp EINT 5%").output().expect("the program runs");
    let output = String::from_utf8_lossy(&result.stderr).into_owned();
    assert!(!result.status.success());
    assert!(output.contains("rule 2, word 3 'EINT': no such fault"), "{output}");
}
