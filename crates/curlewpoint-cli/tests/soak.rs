//! A minute of the soak, its seeds the same each time.

mod test_servers;

use std::process::Command;

/// Seeds that draw each of the mixes of failing calls once, and a crowd; so many at a time.
const SEEDS: [u64; 6] = [1, 7, 302, 306, 317, 326];
const AT_A_TIME: usize = 2;
/// Runs that have to count: one in which the rig itself was late judges the machine.
const LEAST_COUNTED: usize = 2;

fn soak(seed: u64, faults: &str) -> (bool, String) {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
    soak.args(["fleet", "soak", "--seconds", "8", "--seed", &seed.to_string(), "--faults", faults]);
    let done = soak.output().expect("it runs");
    let told = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    (done.status.success(), told)
}

/// Guards all that the soak judges: final answers, effects, drains, load orders, goings, budgets, crashes.
#[test]
fn a_minute_of_the_soak_keeps_the_rules() {
    let library = test_servers::faults_library();
    let library = library.to_str().expect("a path of text");
    let mut counted = 0;
    for seeds in SEEDS.chunks(AT_A_TIME) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|&seed| {
                let library = library.to_owned();
                std::thread::spawn(move || soak(seed, &library))
            })
            .collect();
        for run in runs {
            let (kept, told) = run.join().expect("it was played");
            println!("{told}");
            assert!(kept, "{told}");
            counted += usize::from(told.contains("0 do not count"));
        }
    }
    assert!(counted >= LEAST_COUNTED, "{counted} of {} runs count: the machine was too busy", SEEDS.len());
}

/// Guards against a script with a slip in it that fails nothing, and so proves nothing.
#[test]
fn a_script_that_cannot_be_read_starts_nothing() {
    let mut node = Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
    node.args(["node", "/nonexistent"]).env("LD_PRELOAD", test_servers::faults_library());
    let done = node.env("CURLEWPOINT_FAULTS", "seed 1; send tcp EINT 5%").output().expect("it runs");
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success());
    assert!(told.contains("rule 2, word 3 'EINT': no such fault"), "{told}");
}
