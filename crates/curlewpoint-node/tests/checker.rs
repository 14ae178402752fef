//! The checker that all tests on sockets use, fed with records that are good and with spoilt ones.

#[path = "test_servers/transcript.rs"]
mod transcript;

use test_case::test_case;
use transcript::{ClientConn, ConnState, Transcript};

const ID: &str = "9b1f03aa5c7e2d41";
const OTHER: &str = "9b1f03aa5c7e2d42";

fn row(words: &[&str]) -> String {
    let words = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len()));
    format!("*{}\r\n{}", words.len(), words.collect::<String>())
}

fn call(tag: &str, id: &str) -> String {
    row(&["CALL", tag, "read", &format!("req={id},timeout=500"), "body"])
}

fn good(tag: &str) -> String {
    row(&[tag, "good", "", "done"])
}

fn faults(sent: &str, got: &str, end: ConnState, passed_on: &[&str]) -> Vec<String> {
    let mut record = Transcript::default();
    record.conns.push(ClientConn { sent: sent.into(), received: got.into(), state: end });
    passed_on.iter().for_each(|id| record.worker_received(id));
    record.worker_answered(ID, b"done");
    record.worker_answered(OTHER, b"another");
    record.violations()
}

#[test_case(&call("1", ID), &good("1"), ConnState::Open, &[ID] ; "one answer")]
#[test_case(&(call("1", ID) + &row(&["CHECK", "2", ""])), &(row(&["2", "fit", "", ""]) + &good("1")), ConnState::Open, &[ID] ; "answers in another order")]
#[test_case(&call("1", ID), &row(&["1", "refused", "", ""]), ConnState::Open, &[] ; "refused")]
#[test_case(&call("1", ID), "", ConnState::ClosedByScheduler, &[] ; "closed before a byte was passed on")]
#[test_case(&call("1", ID), "", ConnState::ClosedByClient, &[ID] ; "its client has left")]
#[test_case(&(call("1", ID) + &row(&["CANCEL", "1"])), "", ConnState::Open, &[ID] ; "withdrawn")]
#[test_case(&call("1", ID)[..60], "", ConnState::ClosedByScheduler, &[] ; "half a request")]
#[test_case(&(call("1", ID) + &call("1", OTHER)), &good("1"), ConnState::ClosedByScheduler, &[ID] ; "a tag twice, then closed")]
fn a_good_record_has_no_fault(sent: &str, got: &str, end: ConnState, passed_on: &[&str]) {
    assert_eq!(faults(sent, got, end, passed_on), Vec::<String>::new());
}

#[test_case(&call("1", ID), "", ConnState::Open, &[ID], &["no answer"] ; "an answer was dropped")]
#[test_case(&(call("1", ID) + &call("2", OTHER)), &good("1"), ConnState::Open, &[ID, OTHER], &[OTHER] ; "one of two was dropped")]
#[test_case(&row(&["CHECK", "1", ""]), "", ConnState::Open, &[], &["no answer"] ; "a check was dropped")]
#[test_case(&call("1", ID), &(good("1") + &good("1")), ConnState::Open, &[ID], &["too many"] ; "a second answer")]
#[test_case(&call("1", ID), &(good("1") + &good("2")), ConnState::Open, &[ID], &["too many"] ; "an answer to nothing")]
#[test_case(&call("1", ID), "", ConnState::ClosedByScheduler, &[ID], &["passed on"] ; "passed on, and closed")]
#[test_case(&call("1", ID), &good("1")[..12], ConnState::ClosedByScheduler, &[ID], &["no whole answer", "without an answer"] ; "half an answer")]
#[test_case(&call("1", ID), &row(&["1", "good", "", "another"]), ConnState::Open, &[ID], &["no worker made"] ; "what another was given")]
#[test_case(&call("1", ID), &row(&["1", "fit", "", ""]), ConnState::Open, &[ID], &["'fit' to a CALL"] ; "a word for something else")]
#[test_case(&(call("1", ID) + &row(&["CANCEL", "1"])), &(good("1") + &good("1")), ConnState::Open, &[ID], &["too many"] ; "withdrawn, and answered twice")]
#[test_case(&call("1", ID)[..60], "", ConnState::ClosedByScheduler, &[ID], &["asked it whole"] ; "half a request was passed on")]
fn a_spoilt_record_is_told(sent: &str, got: &str, end: ConnState, passed_on: &[&str], told: &[&str]) {
    let faults = faults(sent, got, end, passed_on);
    assert!(faults.len() == told.len() && faults.iter().zip(told).all(|(f, t)| f.contains(t)), "{faults:?}");
}
