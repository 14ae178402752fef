//! The checker that all tests on sockets use, fed with records that are good and with spoilt ones.

#[path = "stand/record.rs"]
mod record;

use record::{Conn, End, Record};
use test_case::test_case;

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

fn faults(sent: &str, got: &str, end: End, passed_on: &[&str]) -> Vec<String> {
    let mut record = Record::default();
    record.conns.push(Conn { sent: sent.into(), got: got.into(), end });
    passed_on.iter().for_each(|id| record.hears(id));
    record.says(ID, b"done");
    record.says(OTHER, b"another");
    record.faults()
}

#[test_case(&call("1", ID), &good("1"), End::Open, &[ID] ; "one answer")]
#[test_case(&(call("1", ID) + &row(&["CHECK", "2", ""])), &(row(&["2", "fit", "", ""]) + &good("1")), End::Open, &[ID] ; "answers in another order")]
#[test_case(&call("1", ID), &row(&["1", "refused", "", ""]), End::Open, &[] ; "refused")]
#[test_case(&call("1", ID), "", End::Closed, &[] ; "closed before a byte was passed on")]
#[test_case(&call("1", ID), "", End::Left, &[ID] ; "its client has left")]
#[test_case(&(call("1", ID) + &row(&["CANCEL", "1"])), "", End::Open, &[ID] ; "withdrawn")]
#[test_case(&call("1", ID)[..60], "", End::Closed, &[] ; "half a request")]
#[test_case(&(call("1", ID) + &call("1", OTHER)), &good("1"), End::Closed, &[ID] ; "a tag twice, then closed")]
fn a_good_record_has_no_fault(sent: &str, got: &str, end: End, passed_on: &[&str]) {
    assert_eq!(faults(sent, got, end, passed_on), Vec::<String>::new());
}

#[test_case(&call("1", ID), "", End::Open, &[ID], &["no answer"] ; "an answer was dropped")]
#[test_case(&(call("1", ID) + &call("2", OTHER)), &good("1"), End::Open, &[ID, OTHER], &[OTHER] ; "one of two was dropped")]
#[test_case(&row(&["CHECK", "1", ""]), "", End::Open, &[], &["no answer"] ; "a check was dropped")]
#[test_case(&call("1", ID), &(good("1") + &good("1")), End::Open, &[ID], &["too many"] ; "a second answer")]
#[test_case(&call("1", ID), &(good("1") + &good("2")), End::Open, &[ID], &["too many"] ; "an answer to nothing")]
#[test_case(&call("1", ID), "", End::Closed, &[ID], &["passed on"] ; "passed on, and closed")]
#[test_case(&call("1", ID), &good("1")[..12], End::Closed, &[ID], &["no whole answer", "without an answer"] ; "half an answer")]
#[test_case(&call("1", ID), &row(&["1", "good", "", "another"]), End::Open, &[ID], &["no worker made"] ; "what another was given")]
#[test_case(&call("1", ID), &row(&["1", "fit", "", ""]), End::Open, &[ID], &["'fit' to a CALL"] ; "a word for something else")]
#[test_case(&(call("1", ID) + &row(&["CANCEL", "1"])), &(good("1") + &good("1")), End::Open, &[ID], &["too many"] ; "withdrawn, and answered twice")]
#[test_case(&call("1", ID)[..60], "", End::Closed, &[ID], &["asked it whole"] ; "half a request was passed on")]
fn a_spoilt_record_is_told(sent: &str, got: &str, end: End, passed_on: &[&str], told: &[&str]) {
    let faults = faults(sent, got, end, passed_on);
    assert!(faults.len() == told.len() && faults.iter().zip(told).all(|(f, t)| f.contains(t)), "{faults:?}");
}
