//! On the simulator's wire schedulers share nothing.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

#[test]
fn it_opens_no_socket() {
    let mut start = Command::new(env!("CARGO_BIN_EXE_curlewpoint-drill"));
    let mut child = start.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("it starts");
    let mut input = child.stdin.take().expect("piped");
    input.write_all(b"SYNC batch=1 moment=0.0\nEOF_BATCH\n").expect("it reads");
    let mut reply = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut reply).expect("it answers");
    assert_eq!(reply, "EOR batch=1\n");
    // It reads on, so it lives: what it has open now is what a scheduler there has.
    let links = std::fs::read_dir(format!("/proc/{}/fd", child.id())).expect("it lives");
    let open = links.filter_map(|l| std::fs::read_link(l.ok()?.path()).ok());
    assert_eq!(open.filter(|l| l.to_string_lossy().starts_with("socket:")).count(), 0);
    drop(input);
    assert!(child.wait().expect("it ends").success());
}
