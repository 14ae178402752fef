use super::*;
use test_case::test_case;

#[test]
fn a_script_is_parsed_rule_by_rule() {
    let text =
        "seed 7; send tcp short 50% containing prewarm times 1; recv udp EINTR 2.5% after 100 until 900; \
                clock step -3600000 after 20";
    let script = Script::parse(text).unwrap();
    assert_eq!(script.seed, 7);
    assert_eq!(script.clock_steps, [ClockStep { by_ms: -3_600_000, after_ms: 20 }]);
    let [send, recv] = &script.rules[..] else { panic!("{script:?}") };
    assert_eq!((send.fault, send.share, send.times), (Fault::Short, 0.5, 1));
    assert_eq!(send.containing.as_deref(), Some("prewarm"));
    assert_eq!((recv.fault, recv.transport), (Fault::Error(libc::EINTR), Some(Transport::Udp)));
    assert_eq!((recv.after_ms, recv.until_ms), (100, 900));
}

#[test_case("sned tcp short 5%", 1, "sned" ; "an unknown call")]
#[test_case("send sctp short 5%", 2, "sctp" ; "an unknown transport")]
#[test_case("send tcp EINT 5%", 3, "EINT" ; "an unknown fault")]
#[test_case("accept short 5%", 2, "short" ; "short does not apply to accept")]
#[test_case("send tcp EINTR 500%", 4, "500%" ; "a share out of range")]
#[test_case("recv tcp EINTR 5% containing x", 5, "containing" ; "received data is not known in advance")]
#[test_case("clock step soon", 3, "soon" ; "not a number")]
fn a_syntax_error_is_reported_with_its_position(text: &str, word: usize, at: &str) {
    let error = Script::parse(&format!("seed 1; {text}")).unwrap_err();
    assert_eq!((error.rule, error.word, error.text.as_str()), (2, word, at));
}
