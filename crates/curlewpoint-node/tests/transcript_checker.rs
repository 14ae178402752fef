//! Tests the transcript checker of the socket tests with valid and with invalid transcripts.

#[path = "test_servers/transcript.rs"]
mod transcript;

use test_case::test_case;
use transcript::{ClientConn, ConnState, Transcript};

const ID: &str = "9b1f03aa5c7e2d41";
const OTHER: &str = "9b1f03aa5c7e2d42";

fn array(words: &[&str]) -> String {
    let words = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len()));
    format!("*{}\r\n{}", words.len(), words.collect::<String>())
}

fn call(tag: &str, id: &str) -> String {
    array(&["CALL", tag, "read", &format!("req={id},timeout=500"), "body"])
}

fn good(tag: &str) -> String {
    array(&[tag, "good", "", "done"])
}

fn violations(sent: &str, received: &str, state: ConnState, reached_worker: &[&str]) -> Vec<String> {
    let mut transcript = Transcript::default();
    transcript.conns.push(ClientConn { sent: sent.into(), received: received.into(), state });
    reached_worker.iter().for_each(|id| transcript.worker_received(id));
    transcript.worker_answered(ID, b"done");
    transcript.worker_answered(OTHER, b"another");
    transcript.violations()
}

#[test_case(&call("1", ID), &good("1"), ConnState::Open, &[ID] ; "one reply")]
#[test_case(&(call("1", ID) + &array(&["CHECK", "2", ""])), &(array(&["2", "fit", "", ""]) + &good("1")), ConnState::Open, &[ID] ; "replies in another order")]
#[test_case(&call("1", ID), &array(&["1", "refused", "", ""]), ConnState::Open, &[] ; "refused")]
#[test_case(&call("1", ID), "", ConnState::ClosedByScheduler, &[] ; "closed before a byte reached a worker")]
#[test_case(&call("1", ID), "", ConnState::ClosedByClient, &[ID] ; "closed by its client")]
#[test_case(&(call("1", ID) + &array(&["CANCEL", "1"])), "", ConnState::Open, &[ID] ; "withdrawn")]
#[test_case(&call("1", ID)[..60], "", ConnState::ClosedByScheduler, &[] ; "an incomplete request")]
#[test_case(&(call("1", ID) + &call("1", OTHER)), &good("1"), ConnState::ClosedByScheduler, &[ID] ; "a tag twice, then closed")]
fn a_valid_transcript_has_no_violations(
    sent: &str, received: &str, state: ConnState, reached_worker: &[&str],
) {
    assert_eq!(violations(sent, received, state, reached_worker), Vec::<String>::new());
}

#[test_case(&call("1", ID), "", ConnState::Open, &[ID], &["no reply"] ; "a lost reply")]
#[test_case(&(call("1", ID) + &call("2", OTHER)), &good("1"), ConnState::Open, &[ID, OTHER], &[OTHER] ; "one of two replies lost")]
#[test_case(&array(&["CHECK", "1", ""]), "", ConnState::Open, &[], &["no reply"] ; "a lost reply to a check")]
#[test_case(&call("1", ID), &(good("1") + &good("1")), ConnState::Open, &[ID], &["unexpected reply"] ; "a second reply")]
#[test_case(&call("1", ID), &(good("1") + &good("2")), ConnState::Open, &[ID], &["unexpected reply"] ; "a reply without a request")]
#[test_case(&call("1", ID), "", ConnState::ClosedByScheduler, &[ID], &["reached a worker"] ; "closed after it reached a worker")]
#[test_case(&call("1", ID), &good("1")[..12], ConnState::ClosedByScheduler, &[ID], &["incomplete or malformed", "without a reply"] ; "an incomplete reply")]
#[test_case(&call("1", ID), &array(&["1", "good", "", "another"]), ConnState::Open, &[ID], &["no worker gave"] ; "the body of another reply")]
#[test_case(&call("1", ID), &array(&["1", "fit", "", ""]), ConnState::Open, &[ID], &["'fit' in reply to CALL"] ; "the status of another command")]
#[test_case(&(call("1", ID) + &array(&["CANCEL", "1"])), &(good("1") + &good("1")), ConnState::Open, &[ID], &["unexpected reply"] ; "withdrawn and answered twice")]
#[test_case(&call("1", ID)[..60], "", ConnState::ClosedByScheduler, &[ID], &["sent it completely"] ; "an incomplete request reached a worker")]
fn violations_are_reported(
    sent: &str, received: &str, state: ConnState, reached_worker: &[&str], want: &[&str],
) {
    let found = violations(sent, received, state, reached_worker);
    assert!(found.len() == want.len() && found.iter().zip(want).all(|(f, w)| f.contains(w)), "{found:?}");
}
