//! Short stories of what becomes of a message.

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{
    AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey,
};
use test_case::test_case;

/// What was asked for, in words.
#[derive(Default)]
struct Deeds(Vec<String>);

impl InboxDriver for Deeds {
    fn write_intent(&mut self, _: &MessageKey, no: u64) {
        self.0.push(format!("intent {no}"));
    }
    fn write_answer(&mut self, _: &MessageKey, answer: &FinalAnswer) {
        self.0.push(format!("note {:?}", answer.kind));
    }
    fn remove_record(&mut self, _: &MessageKey) {
        self.0.push("done".to_owned());
    }
    fn submit(&mut self, _: &MessageKey, until: Time) {
        self.0.push(format!("ask {}", (until - NOW).ms()));
    }
    fn settle(&mut self, _: &MessageKey, delivery: Delivery, answer: &FinalAnswer) {
        self.0.push(format!("settle {} {:?}", delivery.tag, answer.kind));
    }
    fn requeue(&mut self, _: &MessageKey, delivery: Delivery, requeue_count: u32) {
        self.0.push(format!("back {} {requeue_count}", delivery.tag));
    }
    fn dead_letter(&mut self, delivery: Delivery, _: &str) {
        self.0.push(format!("dead {}", delivery.tag));
    }
    fn log(&mut self, _: &MessageKey, _: &str) {}
}

const NOW: Time = Time(1_000_000);
const EVERYWHERE: Effect = Effect::Tokened { all_workers: true, token_lifetime: Time(50_000) };
const IN_CELLS: Effect = Effect::Tokened { all_workers: false, token_lifetime: Time(50_000) };

struct Story(Inbox<Deeds>);

fn name() -> MessageKey {
    MessageKey { id: "m1".to_owned(), reply_to: "office".to_owned() }
}

fn at(conn: u64, tag: u64) -> Delivery {
    Delivery { conn, tag }
}

fn terms(effect: Effect) -> DeliveryInfo {
    DeliveryInfo {
        effect,
        time_left: Time(40_000),
        redelivered: false,
        age: Some(Time(20_000)),
        requeue_count: 0,
    }
}

impl Story {
    fn new() -> Story {
        Story(Inbox::new(Deeds::default(), Time(100_000)))
    }

    fn comes(&mut self, tag: u64, terms: DeliveryInfo) {
        self.0.delivered(NOW, name(), at(1, tag), terms);
    }

    fn answered(&mut self, end: AnswerKind) {
        self.0.answered(&name(), FinalAnswer { kind: end, reason: String::new(), body: Bytes::new() });
    }

    /// What was asked for since the last look.
    fn deeds(&mut self) -> String {
        std::mem::take(&mut self.0.driver().0).join(", ")
    }
}

#[test]
fn an_extract_is_noted_before_it_is_asked_for_and_settled_once() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    assert_eq!(s.deeds(), "intent 1");
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), "ask 4000");
    s.answered(AnswerKind::Ok);
    s.answered(AnswerKind::Aborted);
    assert_eq!(s.deeds(), "note Ok, settle 1 Ok");
    s.0.settled(&name(), at(1, 1));
    assert_eq!((s.deeds().as_str(), s.0.held()), ("done", 0));
}

#[test]
fn what_may_be_repeated_is_not_noted() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::Idempotent));
    s.answered(AnswerKind::Ok);
    s.0.settled(&name(), at(1, 1));
    assert_eq!((s.deeds().as_str(), s.0.held()), ("ask 4000, settle 1 Ok", 0));
}

#[test_case(Effect::Idempotent, Some(20_000), "ask 4000" ; "harmless")]
#[test_case(Effect::SideEffecting, Some(20_000), "note Aborted, settle 1 Aborted" ; "it may have run elsewhere")]
#[test_case(IN_CELLS, Some(20_000), "note Aborted, settle 1 Aborted" ; "whose cell is not known")]
#[test_case(EVERYWHERE, Some(20_000), "intent 1" ; "known everywhere")]
#[test_case(EVERYWHERE, Some(50_000), "note Aborted, settle 1 Aborted" ; "forgotten by now")]
#[test_case(EVERYWHERE, None, "note Aborted, settle 1 Aborted" ; "who knows since when")]
fn a_message_delivered_before_goes_by_its_effect(effect: Effect, age: Option<u64>, want: &str) {
    let mut s = Story::new();
    s.comes(1, DeliveryInfo { redelivered: true, age: age.map(Time), ..terms(effect) });
    assert_eq!(s.deeds(), want);
}

/// Its token is remembered for 5 s, 2 of which have passed.
#[test]
fn a_repeat_by_token_has_what_is_left_of_the_span() {
    let mut s = Story::new();
    s.comes(1, DeliveryInfo { redelivered: true, ..terms(EVERYWHERE) });
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), "intent 1, ask 3000");
    // Nothing was sent now, but it may have been before: no denial, and it does not go back as unsent.
    s.0.refused(NOW, &name(), "no such tenant", true);
    assert_eq!(s.deeds(), "note Aborted, settle 1 Aborted");
}

#[test]
fn an_answer_waits_for_the_message_when_its_connection_is_lost() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    s.0.intent_written(&name(), 1);
    s.0.connection_lost(NOW, 1);
    s.answered(AnswerKind::Ok);
    s.deeds();
    // It comes again, and is marked so: here it is known what became of it.
    s.0.delivered(NOW, name(), at(2, 9), DeliveryInfo { redelivered: true, ..terms(Effect::SideEffecting) });
    assert_eq!(s.deeds(), "settle 9 Ok");
    s.0.settled(&name(), at(2, 9));
    assert_eq!((s.deeds().as_str(), s.0.held()), ("done", 0));
}

#[test]
fn a_lost_connection_takes_back_what_was_not_sent() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    s.0.connection_lost(NOW, 1);
    s.0.intent_written(&name(), 1);
    assert_eq!((s.deeds().as_str(), s.0.held()), ("intent 1, done", 0));
}

/// Found by the model: the word of the first intent came for the second, which a note in between had taken back.
#[test]
fn the_word_of_an_earlier_intent_sends_nothing() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    s.0.connection_lost(NOW, 1);
    s.0.delivered(NOW, name(), at(2, 1), terms(Effect::SideEffecting));
    s.deeds();
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), "");
    s.0.intent_written(&name(), 2);
    assert_eq!(s.deeds(), "ask 4000");
}

#[test]
fn after_a_kill_the_journal_decides() {
    let mut s = Story::new();
    s.0.recovered_intent(NOW, name(), Time(10_000));
    s.comes(1, terms(Effect::SideEffecting));
    assert_eq!(s.deeds(), "note Aborted, settle 1 Aborted");
    let mut s = Story::new();
    let ok = FinalAnswer { kind: AnswerKind::Ok, reason: String::new(), body: Bytes::from_static(b"%PDF") };
    s.0.recovered_answer(NOW, name(), ok);
    s.comes(1, DeliveryInfo { redelivered: true, ..terms(Effect::SideEffecting) });
    assert_eq!(s.deeds(), "settle 1 Ok");
    // By token: the span counts from the intent that was noted, 1 s before the start.
    let mut s = Story::new();
    s.0.recovered_intent(NOW, name(), Time(10_000));
    s.comes(1, terms(EVERYWHERE));
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), "intent 1, ask 4000");
}

#[test]
fn what_cannot_be_noted_is_not_sent() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    s.0.intent_failed(&name(), 1);
    assert_eq!((s.deeds().as_str(), s.0.held()), ("intent 1, back 1 1, done", 0));
    // One that nobody could take is denied, and does not go round for ever.
    s.comes(2, DeliveryInfo { requeue_count: 5, ..terms(Effect::SideEffecting) });
    s.0.intent_failed(&name(), 2);
    assert_eq!(s.deeds(), "intent 2, note Denied, settle 2 Denied");
}

/// A disk that stands still: its word comes when the requester has given up, and counts for nothing.
#[test_case(false, "Denied" ; "nothing was sent")]
#[test_case(true, "Aborted" ; "it may have been sent before")]
fn an_intent_that_takes_too_long_sends_nothing(redelivered: bool, want: &str) {
    let mut s = Story::new();
    s.comes(1, DeliveryInfo { redelivered, ..terms(EVERYWHERE) });
    s.0.sweep(NOW + Time(29_999));
    assert_eq!(s.deeds(), "intent 1");
    s.0.sweep(NOW + Time(40_000));
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), format!("note {want}, settle 1 {want}"));
}

#[test]
fn what_no_instance_will_take_is_denied() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::Idempotent));
    s.0.refused(NOW, &name(), "no such tenant", true);
    assert_eq!(s.deeds(), "ask 4000, settle 1 Denied");
}

/// A full engine: it is asked again for half of the message's time, and then another instance may.
#[test]
fn what_there_is_no_room_for_waits_and_goes_back_in_time() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::Idempotent));
    s.0.refused(NOW, &name(), "full", false);
    s.0.sweep(NOW + Time(1_000));
    assert_eq!(s.deeds(), "ask 4000, ask 4000");
    s.0.refused(NOW + Time(1_000), &name(), "full", false);
    s.0.sweep(NOW + Time(20_000));
    assert_eq!((s.deeds().as_str(), s.0.held()), ("back 1 1", 0));
    // One that may have been sent before does not go back as one that was not.
    s.comes(2, DeliveryInfo { redelivered: true, ..terms(EVERYWHERE) });
    s.0.intent_written(&name(), 1);
    s.0.refused(NOW, &name(), "full", false);
    s.deeds();
    s.0.sweep(NOW + Time(29_000));
    assert_eq!(s.deeds(), "note Aborted, settle 2 Aborted");
}

#[test]
fn a_message_that_comes_too_late_is_denied_as_nothing_was_sent() {
    let mut s = Story::new();
    s.comes(1, DeliveryInfo { time_left: Time(0), ..terms(Effect::SideEffecting) });
    assert_eq!(s.deeds(), "note Denied, settle 1 Denied");
}

#[test]
fn a_stop_gives_back_what_was_not_sent_and_answers_the_rest() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::SideEffecting));
    s.0.stop();
    s.0.intent_written(&name(), 1);
    assert_eq!(s.deeds(), "intent 1, back 1 1, done");
    s.comes(2, terms(Effect::Idempotent));
    assert_eq!(s.deeds(), "back 2 1");
    // One that may have run is answered all the same.
    s.comes(3, DeliveryInfo { redelivered: true, ..terms(Effect::SideEffecting) });
    assert_eq!(s.deeds(), "note Aborted, settle 3 Aborted");
}

/// The requester has sent it twice while it was open: one attempt, and each of the two has the answer.
#[test]
fn a_message_sent_twice_is_asked_for_once() {
    let mut s = Story::new();
    s.comes(1, terms(Effect::Idempotent));
    s.comes(2, terms(Effect::Idempotent));
    s.answered(AnswerKind::Ok);
    assert_eq!(s.deeds(), "ask 4000, settle 1 Ok, settle 2 Ok");
    s.0.settled(&name(), at(1, 1));
    assert_eq!(s.0.held(), 1);
    s.0.settled(&name(), at(1, 2));
    assert_eq!(s.0.held(), 0);
}

/// A flapping connection leaves answers without a delivery: those of reads go when nobody waits for them any more.
#[test_case(Effect::Idempotent, 0 ; "it may run again")]
#[test_case(Effect::SideEffecting, 1 ; "it may not")]
fn an_answer_that_nobody_came_for_is_kept_if_it_must_not_run_again(effect: Effect, held: usize) {
    let mut s = Story::new();
    s.comes(1, terms(effect));
    s.0.intent_written(&name(), 1);
    s.0.connection_lost(NOW, 1);
    s.answered(AnswerKind::Ok);
    s.0.sweep(NOW + Time(39_999));
    assert_eq!(s.0.held(), 1);
    s.0.sweep(NOW + Time(40_000));
    assert_eq!(s.0.held(), held);
}

#[test]
fn a_record_is_kept_for_its_time_and_no_longer() {
    let mut s = Story::new();
    s.0.recovered_intent(NOW, name(), Time(0));
    s.0.sweep(NOW + Time(99_999));
    assert_eq!(s.0.held(), 1);
    s.0.sweep(NOW + Time(100_000));
    assert_eq!((s.0.held(), s.deeds().as_str()), (0, "done"));
}
