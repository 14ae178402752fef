//! Model check of two instances, one message and a broker: a breadth-first search through every order of connection losses,
//! redeliveries, kills and stops. The invariants hold in every reachable state, and each weakened protocol breaks one.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{
    AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey,
};
use test_case::test_case;

/// A pending action of an inbox.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    WriteIntent(u64),
    WriteAnswer(FinalAnswer),
    RemoveRecord,
    Submit,
    Settle(Delivery, FinalAnswer),
    Requeue(Delivery, u32),
    DeadLetter(Delivery),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct PendingActions(Vec<Action>);

impl InboxDriver for PendingActions {
    fn write_intent(&mut self, _: &MessageKey, number: u64) {
        self.0.push(Action::WriteIntent(number));
    }
    fn write_answer(&mut self, _: &MessageKey, answer: &FinalAnswer) {
        self.0.push(Action::WriteAnswer(answer.clone()));
    }
    fn remove_record(&mut self, _: &MessageKey) {
        self.0.push(Action::RemoveRecord);
    }
    fn submit(&mut self, _: &MessageKey, _: Time) {
        self.0.push(Action::Submit);
    }
    fn settle(&mut self, _: &MessageKey, delivery: Delivery, answer: &FinalAnswer) {
        self.0.push(Action::Settle(delivery, answer.clone()));
    }
    fn requeue(&mut self, _: &MessageKey, delivery: Delivery, requeue_count: u32) {
        self.0.push(Action::Requeue(delivery, requeue_count));
    }
    fn dead_letter(&mut self, delivery: Delivery, _: &str) {
        self.0.push(Action::DeadLetter(delivery));
    }
    fn log(&mut self, _: &MessageKey, _: &str) {}
}

/// The journal record on the disk of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DiskRecord {
    None,
    Intent,
    Answer(FinalAnswer),
}

/// State of the message in the engine of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EngineState {
    Idle,
    /// The attempt may be sent at any time.
    Submitted,
    Ran,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Instance {
    inbox: Inbox<PendingActions>,
    disk: DiskRecord,
    engine: EngineState,
    /// The open connection, and those whose end the instance has not noticed yet.
    conn: u64,
    dead: BTreeSet<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum BrokerState {
    Ready { redelivered: bool, requeue_count: u32 },
    Delivered { to: usize, delivery: Delivery, requeue_count: u32 },
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ModelState {
    broker: BrokerState,
    answers: Vec<AnswerKind>,
    dead_letters: u8,
    effects: u8,
    instances: [Instance; 2],
    /// Number of connection losses and kills that may still happen.
    faults: u8,
    /// Number of failed writes, refusals and stops that may still happen.
    minor_faults: u8,
}

/// The protocol, or a way in which it is weakened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Correct,
    /// The broker's redelivered flag is ignored.
    RedeliveredFlagIgnored,
    /// Intents count as written before they are on disk.
    IntentNotAwaited,
    /// Answer and acknowledgement are two separate steps.
    NoTransaction,
    /// A message is requeued as unsent although the engine has it.
    RequeuesSubmitted,
}

/// The consumers of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Consumers {
    /// Two instances that share nothing but the broker's redelivered flag.
    Two,
    /// One instance of a broker that never sets the redelivered flag, so only the journal tells what was sent.
    OneWithoutRedeliveredFlag,
}

fn key() -> MessageKey {
    MessageKey { id: "m1".to_owned(), reply_to: "office".to_owned() }
}

fn inbox() -> Inbox<PendingActions> {
    Inbox::new(PendingActions::default(), Time(1_000_000))
}

const NOW: Time = Time(10_000_000);

impl ModelState {
    fn new(faults: u8) -> ModelState {
        let instance = |number: u64| Instance {
            inbox: inbox(),
            disk: DiskRecord::None,
            engine: EngineState::Idle,
            conn: number * 100,
            dead: BTreeSet::new(),
        };
        ModelState {
            broker: BrokerState::Ready { redelivered: false, requeue_count: 0 },
            answers: Vec::new(),
            dead_letters: 0,
            effects: 0,
            instances: [instance(1), instance(2)],
            faults,
            minor_faults: 1,
        }
    }

    /// The broker learns that a connection has ended: a message delivered on it is ready again.
    fn requeue(&mut self, conn: u64) {
        if let BrokerState::Delivered { delivery, requeue_count, .. } = self.broker {
            if delivery.conn == conn {
                self.broker = BrokerState::Ready { redelivered: true, requeue_count };
            }
        }
    }

    /// Whether the delivery is still unacknowledged, so that the broker accepts a transaction for it.
    fn is_unacked(&self, of: Delivery) -> bool {
        matches!(self.broker, BrokerState::Delivered { delivery, .. } if delivery == of)
    }

    /// All successors of this state.
    fn next(&self, effect: Effect, variant: Variant, consumers: Consumers) -> Vec<ModelState> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            all.push(next);
        };
        for index in if consumers == Consumers::Two { 0..2 } else { 0..1 } {
            let instance = &self.instances[index];
            if let BrokerState::Ready { redelivered, requeue_count } = self.broker {
                step(&|w| {
                    // A connection delivers the message again only if it was requeued, so the count serves as the tag.
                    let delivery = Delivery { conn: w.instances[index].conn, tag: u64::from(requeue_count) };
                    w.broker = BrokerState::Delivered { to: index, delivery, requeue_count };
                    let redelivered = redelivered
                        && variant != Variant::RedeliveredFlagIgnored
                        && consumers == Consumers::Two;
                    let age = Some(Time(10));
                    let info =
                        DeliveryInfo { effect, time_left: Time(20_000), redelivered, age, requeue_count };
                    w.instances[index].inbox.delivered(NOW, key(), delivery, info);
                });
            }
            // The disk, the engine and the broker each perform their actions in order, but independently of each other.
            let actions = &self.instances[index].inbox.clone().driver().0.clone();
            let target_of = |a: &Action| match a {
                Action::WriteIntent(_) | Action::WriteAnswer(_) | Action::RemoveRecord => 0,
                Action::Submit => 1,
                Action::Settle(..) | Action::Requeue(..) | Action::DeadLetter(_) => 2,
            };
            for target in 0..3 {
                let Some(position) = actions.iter().position(|a| target_of(a) == target) else { continue };
                step(&|w| {
                    let action = w.instances[index].inbox.driver().0.remove(position);
                    w.perform(index, action, variant);
                });
                if let (Action::WriteIntent(intent), true) = (&actions[position], self.minor_faults > 0) {
                    step(&|w| {
                        w.minor_faults -= 1;
                        w.instances[index].inbox.driver().0.remove(position);
                        w.instances[index].inbox.intent_failed(&key(), *intent);
                    });
                }
            }
            match instance.engine {
                EngineState::Idle => {}
                EngineState::Submitted => {
                    step(&|w| {
                        w.effects += 1;
                        w.instances[index].engine = EngineState::Ran;
                    });
                    if self.minor_faults > 0 {
                        step(&|w| w.refused(index, variant));
                    }
                    for end in [AnswerKind::Denied, AnswerKind::Aborted] {
                        step(&|w| w.answered(index, end));
                    }
                }
                EngineState::Ran => {
                    for end in [AnswerKind::Ok, AnswerKind::Aborted] {
                        step(&|w| w.answered(index, end));
                    }
                }
            }
            // Time passes: a little, or more than half of the requester's waiting time.
            for later in [Time(1), Time(15_000)] {
                let mut swept = self.clone();
                swept.instances[index].inbox.sweep(NOW + later);
                if swept != *self {
                    step(&|w| w.instances[index].inbox.sweep(NOW + later));
                }
            }
            // The connection ends. The instance notices later and may have a new connection by then.
            if self.faults > 0 {
                step(&|w| {
                    w.faults -= 1;
                    let old = w.instances[index].conn;
                    w.instances[index].dead.insert(old);
                    w.instances[index].conn = old + 1;
                    w.requeue(old);
                });
            }
            for &conn in &instance.dead {
                step(&|w| {
                    let i = &mut w.instances[index];
                    i.dead.remove(&conn);
                    let gone = |a: &Action| matches!(a, Action::Settle(d, _) | Action::Requeue(d, _) | Action::DeadLetter(d) if d.conn == conn);
                    i.inbox.driver().0.retain(|a| !gone(a));
                    i.inbox.connection_lost(NOW, conn);
                });
            }
            // The process is killed and restarted: unwritten actions are lost, an attempt that was sent may still run.
            if self.faults > 0 {
                for attempt_runs in [false, true] {
                    if attempt_runs && instance.engine != EngineState::Submitted {
                        continue;
                    }
                    step(&|w| {
                        w.faults -= 1;
                        w.effects += u8::from(attempt_runs);
                        let i = &mut w.instances[index];
                        let old = i.conn;
                        (i.inbox, i.engine, i.conn) = (inbox(), EngineState::Idle, old + 1);
                        i.dead.clear();
                        match i.disk.clone() {
                            DiskRecord::None => {}
                            DiskRecord::Intent => i.inbox.recovered_intent(NOW, key(), Time(20)),
                            DiskRecord::Answer(answer) => i.inbox.recovered_answer(NOW, key(), answer),
                        }
                        w.requeue(old);
                    });
                }
            }
            if self.minor_faults > 0 {
                step(&|w| {
                    w.minor_faults -= 1;
                    w.instances[index].inbox.stop();
                });
            }
        }
        all
    }

    fn answered(&mut self, index: usize, end: AnswerKind) {
        let i = &mut self.instances[index];
        i.engine = EngineState::Idle;
        i.inbox.answered(&key(), FinalAnswer { kind: end, reason: String::new(), body: Bytes::new() });
    }

    fn refused(&mut self, index: usize, variant: Variant) {
        self.minor_faults -= 1;
        if variant != Variant::RequeuesSubmitted {
            self.instances[index].engine = EngineState::Idle;
        }
        self.instances[index].inbox.refused(NOW, &key(), "full", false);
    }

    fn perform(&mut self, index: usize, action: Action, variant: Variant) {
        let i = &mut self.instances[index];
        match action {
            Action::WriteIntent(intent) => {
                if variant != Variant::IntentNotAwaited {
                    i.disk = DiskRecord::Intent;
                }
                i.inbox.intent_written(&key(), intent);
            }
            Action::WriteAnswer(answer) => i.disk = DiskRecord::Answer(answer),
            Action::RemoveRecord => i.disk = DiskRecord::None,
            Action::Submit => i.engine = EngineState::Submitted,
            Action::Settle(delivery, answer) => {
                if variant == Variant::NoTransaction {
                    // The answer is published whether or not the acknowledgement succeeds.
                    self.answers.push(answer.kind);
                }
                if self.is_unacked(delivery) {
                    if variant != Variant::NoTransaction {
                        self.answers.push(answer.kind);
                    }
                    self.broker = BrokerState::Gone;
                    self.instances[index].inbox.settled(&key(), delivery);
                }
            }
            Action::Requeue(delivery, requeue_count) => {
                if self.is_unacked(delivery) {
                    self.broker = BrokerState::Ready { redelivered: false, requeue_count };
                }
            }
            Action::DeadLetter(delivery) => {
                if self.is_unacked(delivery) {
                    self.dead_letters += 1;
                    self.broker = BrokerState::Gone;
                }
            }
        }
    }

    /// Returns the invariant that this state violates.
    fn violation(&self, effect: Effect) -> Option<&'static str> {
        if self.answers.len() > 1 {
            return Some("two final answers");
        }
        let once = effect == Effect::SideEffecting || effect == KNOWN_TO_CELL;
        if once && self.effects > 1 {
            return Some("an effect happened twice");
        }
        if self.answers == [AnswerKind::Denied] && self.effects > 0 && once {
            return Some("denied although it ran");
        }
        if self.answers == [AnswerKind::Ok] && self.effects == 0 {
            return Some("ok although it never ran");
        }
        if self.broker == BrokerState::Gone && self.answers.is_empty() {
            return Some("lost without an answer");
        }
        None
    }
}

/// Explores all reachable states. Returns their number, or the first violation with its state.
fn explore(effect: Effect, variant: Variant, consumers: Consumers, faults: u8) -> Result<usize, String> {
    let mut seen = BTreeSet::from([ModelState::new(faults)]);
    let mut todo = VecDeque::from([ModelState::new(faults)]);
    while let Some(state) = todo.pop_front() {
        if let Some(violation) = state.violation(effect) {
            return Err(format!("{violation}: {state:?}"));
        }
        let next = state.next(effect, variant, consumers);
        // If only faults can change the state, the message must have been answered.
        let is_quiescent =
            next.iter().all(|n| n.faults < state.faults || n.minor_faults < state.minor_faults);
        if is_quiescent && state.answers.is_empty() {
            return Err(format!("stuck without an answer: {state:?}"));
        }
        for n in next {
            if seen.insert(n.clone()) {
                todo.push_back(n);
            }
        }
    }
    Ok(seen.len())
}

const KNOWN_TO_ALL: Effect = Effect::Tokened { all_workers: true, token_lifetime: Time(50_000) };
const KNOWN_TO_CELL: Effect = Effect::Tokened { all_workers: false, token_lifetime: Time(50_000) };

#[test_case(Effect::SideEffecting, Consumers::Two, 1 ; "side effecting")]
#[test_case(KNOWN_TO_ALL, Consumers::Two, 1 ; "a token that all workers know")]
#[test_case(KNOWN_TO_CELL, Consumers::Two, 1 ; "a token that cells know")]
#[test_case(Effect::Idempotent, Consumers::Two, 1 ; "idempotent")]
#[test_case(Effect::SideEffecting, Consumers::OneWithoutRedeliveredFlag, 3 ; "side effecting, without the redelivered flag")]
#[test_case(KNOWN_TO_CELL, Consumers::OneWithoutRedeliveredFlag, 2 ; "tokened, without the redelivered flag")]
fn the_invariants_hold_for_every_order_of_faults(effect: Effect, consumers: Consumers, faults: u8) {
    let states = explore(effect, Variant::Correct, consumers, faults)
        .unwrap_or_else(|violation| panic!("{violation}"));
    println!("{effect:?} {consumers:?}: {states} states");
    assert!(states > 500, "{states}");
}

#[test_case(Effect::SideEffecting ; "side effecting")]
#[test_case(KNOWN_TO_ALL ; "a token that all workers know")]
#[test_case(Effect::Idempotent ; "idempotent")]
#[ignore = "takes minutes: two connection losses or kills, a million states"]
fn the_invariants_hold_for_two_faults(effect: Effect) {
    let states = explore(effect, Variant::Correct, Consumers::Two, 2)
        .unwrap_or_else(|violation| panic!("{violation}"));
    println!("{effect:?}: {states} states");
    assert!(states > 50_000, "{states}");
}

#[test_case(Variant::RedeliveredFlagIgnored, Consumers::Two, "an effect happened twice")]
#[test_case(Variant::IntentNotAwaited, Consumers::OneWithoutRedeliveredFlag, "an effect happened twice")]
#[test_case(Variant::NoTransaction, Consumers::Two, "two final answers")]
#[test_case(Variant::RequeuesSubmitted, Consumers::Two, "an effect happened twice")]
fn a_weakened_protocol_violates_an_invariant(variant: Variant, consumers: Consumers, want: &str) {
    let violation = explore(Effect::SideEffecting, variant, consumers, 2).expect_err("a violation");
    assert!(violation.starts_with(want), "{violation}");
}
