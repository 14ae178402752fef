//! Scenarios of single messages: which actions the inbox takes for each.

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{
    AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey,
};
use test_case::test_case;

/// Records the actions of the inbox as text.
#[derive(Default)]
struct RecordingDriver(Vec<String>);

impl InboxDriver for RecordingDriver {
    fn write_intent(&mut self, _: &MessageKey, number: u64) {
        self.0.push(format!("intent {number}"));
    }
    fn write_answer(&mut self, _: &MessageKey, answer: &FinalAnswer) {
        self.0.push(format!("record {:?}", answer.kind));
    }
    fn remove_record(&mut self, _: &MessageKey) {
        self.0.push("remove".to_owned());
    }
    fn submit(&mut self, _: &MessageKey, until: Time) {
        self.0.push(format!("submit {}", (until - NOW).ms()));
    }
    fn settle(&mut self, _: &MessageKey, delivery: Delivery, answer: &FinalAnswer) {
        self.0.push(format!("settle {} {:?}", delivery.tag, answer.kind));
    }
    fn requeue(&mut self, _: &MessageKey, delivery: Delivery, requeue_count: u32) {
        self.0.push(format!("requeue {} {requeue_count}", delivery.tag));
    }
    fn dead_letter(&mut self, delivery: Delivery, _: &str) {
        self.0.push(format!("dead-letter {}", delivery.tag));
    }
    fn log(&mut self, _: &MessageKey, _: &str) {}
}

const NOW: Time = Time(1_000_000);
const KNOWN_TO_ALL: Effect = Effect::Tokened { all_workers: true, token_lifetime: Time(50_000) };
const KNOWN_TO_CELL: Effect = Effect::Tokened { all_workers: false, token_lifetime: Time(50_000) };

struct Scenario(Inbox<RecordingDriver>);

fn key() -> MessageKey {
    MessageKey { id: "m1".to_owned(), reply_to: "office".to_owned() }
}

fn delivery(conn: u64, tag: u64) -> Delivery {
    Delivery { conn, tag }
}

fn info(effect: Effect) -> DeliveryInfo {
    DeliveryInfo {
        effect,
        time_left: Time(40_000),
        redelivered: false,
        age: Some(Time(20_000)),
        requeue_count: 0,
    }
}

impl Scenario {
    fn new() -> Scenario {
        Scenario(Inbox::new(RecordingDriver::default(), Time(100_000)))
    }

    fn deliver(&mut self, tag: u64, info: DeliveryInfo) {
        self.0.delivered(NOW, key(), delivery(1, tag), info);
    }

    fn answer(&mut self, kind: AnswerKind) {
        self.0.answered(&key(), FinalAnswer { kind, reason: String::new(), body: Bytes::new() });
    }

    /// The actions since the last call.
    fn actions(&mut self) -> String {
        std::mem::take(&mut self.0.driver().0).join(", ")
    }
}

#[test]
fn an_intent_is_written_before_the_rpc_is_submitted_and_the_message_settled_once() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    assert_eq!(s.actions(), "intent 1");
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), "submit 4000");
    s.answer(AnswerKind::Ok);
    s.answer(AnswerKind::Aborted);
    assert_eq!(s.actions(), "record Ok, settle 1 Ok");
    s.0.settled(&key(), delivery(1, 1));
    assert_eq!((s.actions().as_str(), s.0.held()), ("remove", 0));
}

#[test]
fn an_idempotent_message_is_not_journalled() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::Idempotent));
    s.answer(AnswerKind::Ok);
    s.0.settled(&key(), delivery(1, 1));
    assert_eq!((s.actions().as_str(), s.0.held()), ("submit 4000, settle 1 Ok", 0));
}

#[test_case(Effect::Idempotent, Some(20_000), "submit 4000" ; "idempotent")]
#[test_case(Effect::SideEffecting, Some(20_000), "record Aborted, settle 1 Aborted" ; "side effecting")]
#[test_case(KNOWN_TO_CELL, Some(20_000), "record Aborted, settle 1 Aborted" ; "a token that one cell knows")]
#[test_case(KNOWN_TO_ALL, Some(20_000), "intent 1" ; "a token that all workers know")]
#[test_case(KNOWN_TO_ALL, Some(50_000), "record Aborted, settle 1 Aborted" ; "a token that is forgotten by now")]
#[test_case(KNOWN_TO_ALL, None, "record Aborted, settle 1 Aborted" ; "a token of unknown age")]
fn a_redelivered_message_is_handled_by_its_effect(effect: Effect, age: Option<u64>, want: &str) {
    let mut s = Scenario::new();
    s.deliver(1, DeliveryInfo { redelivered: true, age: age.map(Time), ..info(effect) });
    assert_eq!(s.actions(), want);
}

/// The token is remembered for 5 s, 2 s of which have passed.
#[test]
fn a_repeat_by_token_has_the_remaining_token_lifetime() {
    let mut s = Scenario::new();
    s.deliver(1, DeliveryInfo { redelivered: true, ..info(KNOWN_TO_ALL) });
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), "intent 1, submit 3000");
    // Nothing was sent by this run, but an earlier attempt may have run: no denial, and no requeue as unsent.
    s.0.refused(NOW, &key(), "no such tenant", true);
    assert_eq!(s.actions(), "record Aborted, settle 1 Aborted");
}

#[test]
fn an_answer_is_kept_for_the_redelivery_after_a_lost_connection() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    s.0.intent_written(&key(), 1);
    s.0.connection_lost(NOW, 1);
    s.answer(AnswerKind::Ok);
    s.actions();
    // The redelivery finds the answer that this instance already has.
    s.0.delivered(
        NOW,
        key(),
        delivery(2, 9),
        DeliveryInfo { redelivered: true, ..info(Effect::SideEffecting) },
    );
    assert_eq!(s.actions(), "settle 9 Ok");
    s.0.settled(&key(), delivery(2, 9));
    assert_eq!((s.actions().as_str(), s.0.held()), ("remove", 0));
}

#[test]
fn a_lost_connection_withdraws_a_message_that_was_not_sent() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    s.0.connection_lost(NOW, 1);
    s.0.intent_written(&key(), 1);
    assert_eq!((s.actions().as_str(), s.0.held()), ("intent 1, remove", 0));
}

/// The model found that the result of the first intent was taken for that of the second, although the removal written in
/// between had deleted the first record.
#[test]
fn the_result_of_an_earlier_intent_sends_nothing() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    s.0.connection_lost(NOW, 1);
    s.0.delivered(NOW, key(), delivery(2, 1), info(Effect::SideEffecting));
    s.actions();
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), "");
    s.0.intent_written(&key(), 2);
    assert_eq!(s.actions(), "submit 4000");
}

#[test]
fn after_a_kill_the_journal_record_decides() {
    let mut s = Scenario::new();
    s.0.recovered_intent(NOW, key(), Time(10_000));
    s.deliver(1, info(Effect::SideEffecting));
    assert_eq!(s.actions(), "record Aborted, settle 1 Aborted");
    let mut s = Scenario::new();
    let ok = FinalAnswer { kind: AnswerKind::Ok, reason: String::new(), body: Bytes::from_static(b"%PDF") };
    s.0.recovered_answer(NOW, key(), ok);
    s.deliver(1, DeliveryInfo { redelivered: true, ..info(Effect::SideEffecting) });
    assert_eq!(s.actions(), "settle 1 Ok");
    // By token: the lifetime counts from the recorded intent, 1 s before the start.
    let mut s = Scenario::new();
    s.0.recovered_intent(NOW, key(), Time(10_000));
    s.deliver(1, info(KNOWN_TO_ALL));
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), "intent 1, submit 4000");
}

#[test]
fn a_message_whose_intent_cannot_be_written_is_not_sent() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    s.0.intent_failed(&key(), 1);
    assert_eq!((s.actions().as_str(), s.0.held()), ("intent 1, requeue 1 1, remove", 0));
    // A message that was requeued too often is denied instead of being requeued for ever.
    s.deliver(2, DeliveryInfo { requeue_count: 5, ..info(Effect::SideEffecting) });
    s.0.intent_failed(&key(), 2);
    assert_eq!(s.actions(), "intent 2, record Denied, settle 2 Denied");
}

/// On a stalled disk the result of an intent may come after the requester has given up. It must not cause a send.
#[test_case(false, "Denied" ; "nothing was sent")]
#[test_case(true, "Aborted" ; "an earlier attempt may have been sent")]
fn an_intent_written_too_late_sends_nothing(redelivered: bool, want: &str) {
    let mut s = Scenario::new();
    s.deliver(1, DeliveryInfo { redelivered, ..info(KNOWN_TO_ALL) });
    s.0.sweep(NOW + Time(29_999));
    assert_eq!(s.actions(), "intent 1");
    s.0.sweep(NOW + Time(40_000));
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), format!("record {want}, settle 1 {want}"));
}

#[test]
fn a_permanently_refused_message_is_denied() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::Idempotent));
    s.0.refused(NOW, &key(), "no such tenant", true);
    assert_eq!(s.actions(), "submit 4000, settle 1 Denied");
}

/// While the engine is full, the RPC is submitted again for half of the message's time and then requeued for another
/// instance.
#[test]
fn a_message_refused_by_a_full_engine_is_retried_and_requeued_in_time() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::Idempotent));
    s.0.refused(NOW, &key(), "full", false);
    s.0.sweep(NOW + Time(1_000));
    assert_eq!(s.actions(), "submit 4000, submit 4000");
    s.0.refused(NOW + Time(1_000), &key(), "full", false);
    s.0.sweep(NOW + Time(20_000));
    assert_eq!((s.actions().as_str(), s.0.held()), ("requeue 1 1", 0));
    // A message that may have been sent before is not requeued as unsent.
    s.deliver(2, DeliveryInfo { redelivered: true, ..info(KNOWN_TO_ALL) });
    s.0.intent_written(&key(), 1);
    s.0.refused(NOW, &key(), "full", false);
    s.actions();
    s.0.sweep(NOW + Time(29_000));
    assert_eq!(s.actions(), "record Aborted, settle 2 Aborted");
}

#[test]
fn a_message_without_time_left_is_denied() {
    let mut s = Scenario::new();
    s.deliver(1, DeliveryInfo { time_left: Time(0), ..info(Effect::SideEffecting) });
    assert_eq!(s.actions(), "record Denied, settle 1 Denied");
}

#[test]
fn a_stop_requeues_unsent_messages_and_answers_the_rest() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::SideEffecting));
    s.0.stop();
    s.0.intent_written(&key(), 1);
    assert_eq!(s.actions(), "intent 1, requeue 1 1, remove");
    s.deliver(2, info(Effect::Idempotent));
    assert_eq!(s.actions(), "requeue 2 1");
    // A message that may have run is answered even while stopping.
    s.deliver(3, DeliveryInfo { redelivered: true, ..info(Effect::SideEffecting) });
    assert_eq!(s.actions(), "record Aborted, settle 3 Aborted");
}

/// The requester has sent a message twice while it was open: it is submitted once, and both deliveries get the answer.
#[test]
fn a_message_sent_twice_is_submitted_once() {
    let mut s = Scenario::new();
    s.deliver(1, info(Effect::Idempotent));
    s.deliver(2, info(Effect::Idempotent));
    s.answer(AnswerKind::Ok);
    assert_eq!(s.actions(), "submit 4000, settle 1 Ok, settle 2 Ok");
    s.0.settled(&key(), delivery(1, 1));
    assert_eq!(s.0.held(), 1);
    s.0.settled(&key(), delivery(1, 2));
    assert_eq!(s.0.held(), 0);
}

/// A flapping connection leaves answers without a delivery. Those of idempotent methods are dropped when their requester
/// has given up.
#[test_case(Effect::Idempotent, 0 ; "idempotent")]
#[test_case(Effect::SideEffecting, 1 ; "side effecting")]
fn an_undelivered_answer_is_kept_if_the_message_must_not_run_again(effect: Effect, held: usize) {
    let mut s = Scenario::new();
    s.deliver(1, info(effect));
    s.0.intent_written(&key(), 1);
    s.0.connection_lost(NOW, 1);
    s.answer(AnswerKind::Ok);
    s.0.sweep(NOW + Time(39_999));
    assert_eq!(s.0.held(), 1);
    s.0.sweep(NOW + Time(40_000));
    assert_eq!(s.0.held(), held);
}

#[test]
fn a_record_is_kept_for_the_retention_time() {
    let mut s = Scenario::new();
    s.0.recovered_intent(NOW, key(), Time(0));
    s.0.sweep(NOW + Time(99_999));
    assert_eq!(s.0.held(), 1);
    s.0.sweep(NOW + Time(100_000));
    assert_eq!((s.0.held(), s.actions().as_str()), (0, "remove"));
}
