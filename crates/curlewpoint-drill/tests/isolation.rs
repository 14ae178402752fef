//! Under the simulator schedulers share nothing: the adapter must not open a connection between them.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

#[test]
fn opens_no_socket() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewpoint-drill"));
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    input.write_all(b"SYNC batch=1 moment=0.0\nEOF_BATCH\n").expect("the adapter reads");
    let mut reply = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut reply).expect("the adapter answers");
    assert_eq!(reply, "EOR batch=1\n");
    // The process waits for more input: the files that it has open now are those of a running scheduler.
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", child.id())).expect("the adapter still runs");
    let open = descriptors.filter_map(|d| std::fs::read_link(d.ok()?.path()).ok());
    assert_eq!(open.filter(|target| target.to_string_lossy().starts_with("socket:")).count(), 0);
    drop(input);
    assert!(child.wait().expect("the adapter ends").success());
}
