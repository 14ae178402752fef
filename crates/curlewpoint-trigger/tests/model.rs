//! Two instances, one message and a broker, explored breadth-first through every order of drops, redeliveries, crashes and
//! stops: the rules hold in every state that can be reached, and each way to weaken the protocol is caught.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{
    AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey,
};
use test_case::test_case;

/// What an inbox has asked for and what has not been done yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    WriteIntent(u64),
    WriteAnswer(FinalAnswer),
    WriteDone,
    Ask,
    Settle(Delivery, FinalAnswer),
    GiveBack(Delivery, u32),
    DeadLetter(Delivery),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Acts(Vec<Act>);

impl InboxDriver for Acts {
    fn write_intent(&mut self, _: &MessageKey, no: u64) {
        self.0.push(Act::WriteIntent(no));
    }
    fn write_answer(&mut self, _: &MessageKey, answer: &FinalAnswer) {
        self.0.push(Act::WriteAnswer(answer.clone()));
    }
    fn remove_record(&mut self, _: &MessageKey) {
        self.0.push(Act::WriteDone);
    }
    fn submit(&mut self, _: &MessageKey, _: Time) {
        self.0.push(Act::Ask);
    }
    fn settle(&mut self, _: &MessageKey, delivery: Delivery, answer: &FinalAnswer) {
        self.0.push(Act::Settle(delivery, answer.clone()));
    }
    fn requeue(&mut self, _: &MessageKey, delivery: Delivery, requeue_count: u32) {
        self.0.push(Act::GiveBack(delivery, requeue_count));
    }
    fn dead_letter(&mut self, delivery: Delivery, _: &str) {
        self.0.push(Act::DeadLetter(delivery));
    }
    fn log(&mut self, _: &MessageKey, _: &str) {}
}

/// What the disk of an instance holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Note {
    Nothing,
    Intent,
    Answer(FinalAnswer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Engine {
    Idle,
    /// Its attempt may be sent at any moment.
    Asked,
    Ran,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Instance {
    inbox: Inbox<Acts>,
    disk: Note,
    engine: Engine,
    /// The connection that is up, and those that ended without the instance knowing it yet.
    conn: u64,
    dead: BTreeSet<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Broker {
    Ready { redelivered: bool, requeue_count: u32 },
    Out { to: usize, delivery: Delivery, requeue_count: u32 },
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct World {
    broker: Broker,
    answers: Vec<AnswerKind>,
    dead_letters: u8,
    effects: u8,
    instances: [Instance; 2],
    /// Connections that may still drop and processes that may still be killed; writes that may fail, stops and refusals.
    faults: u8,
    mishaps: u8,
}

/// How the protocol may be weakened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Weak {
    No,
    /// The broker's flag is not looked at.
    FlagIgnored,
    /// Intents are taken for written when they are not.
    IntentNotAwaited,
    /// Answer and acknowledgement are two steps.
    NoTransaction,
    /// What goes back says that nothing was sent although the engine has it.
    GivesBackWhatIsOut,
}

/// Who takes the messages.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Who {
    /// Two instances that share nothing: what the broker says of redelivery is all that they know of each other.
    Two,
    /// One, from a broker that forgets what it has delivered: its journal is all that it knows.
    OneOfAForgetfulBroker,
}

fn name() -> MessageKey {
    MessageKey { id: "m1".to_owned(), reply_to: "office".to_owned() }
}

fn inbox() -> Inbox<Acts> {
    Inbox::new(Acts::default(), Time(1_000_000))
}

const NOW: Time = Time(10_000_000);

impl World {
    fn new(faults: u8) -> World {
        let instance = |no: u64| Instance {
            inbox: inbox(),
            disk: Note::Nothing,
            engine: Engine::Idle,
            conn: no * 100,
            dead: BTreeSet::new(),
        };
        World {
            broker: Broker::Ready { redelivered: false, requeue_count: 0 },
            answers: Vec::new(),
            dead_letters: 0,
            effects: 0,
            instances: [instance(1), instance(2)],
            faults,
            mishaps: 1,
        }
    }

    /// The broker learns that a connection has ended: what was out on it is ready again.
    fn requeue(&mut self, conn: u64) {
        if let Broker::Out { delivery, requeue_count, .. } = self.broker {
            if delivery.conn == conn {
                self.broker = Broker::Ready { redelivered: true, requeue_count };
            }
        }
    }

    /// Whether the broker would accept what is done for a delivery now.
    fn is_out(&self, of: Delivery) -> bool {
        matches!(self.broker, Broker::Out { delivery, .. } if delivery == of)
    }

    /// All states that follow this one.
    fn next(&self, effect: Effect, weak: Weak, who: Who) -> Vec<World> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            all.push(next);
        };
        for no in if who == Who::Two { 0..2 } else { 0..1 } {
            let at = &self.instances[no];
            if let Broker::Ready { redelivered, requeue_count } = self.broker {
                step(&|w| {
                    // On one connection it comes again only if it was given back.
                    let delivery = Delivery { conn: w.instances[no].conn, tag: u64::from(requeue_count) };
                    w.broker = Broker::Out { to: no, delivery, requeue_count };
                    let redelivered = redelivered && weak != Weak::FlagIgnored && who == Who::Two;
                    let age = Some(Time(10));
                    let terms =
                        DeliveryInfo { effect, time_left: Time(20_000), redelivered, age, requeue_count };
                    w.instances[no].inbox.delivered(NOW, name(), delivery, terms);
                });
            }
            // Acts are done in their order, but the disk, the engine and the broker each at their own pace: the first of each.
            let acts = &self.instances[no].inbox.clone().driver().0.clone();
            let kind = |a: &Act| match a {
                Act::WriteIntent(_) | Act::WriteAnswer(_) | Act::WriteDone => 0,
                Act::Ask => 1,
                Act::Settle(..) | Act::GiveBack(..) | Act::DeadLetter(_) => 2,
            };
            for of in 0..3 {
                let Some(which) = acts.iter().position(|a| kind(a) == of) else { continue };
                step(&|w| {
                    let act = w.instances[no].inbox.driver().0.remove(which);
                    w.act(no, act, weak);
                });
                if let (Act::WriteIntent(intent), true) = (&acts[which], self.mishaps > 0) {
                    step(&|w| {
                        w.mishaps -= 1;
                        w.instances[no].inbox.driver().0.remove(which);
                        w.instances[no].inbox.intent_failed(&name(), *intent);
                    });
                }
            }
            match at.engine {
                Engine::Idle => {}
                Engine::Asked => {
                    step(&|w| {
                        w.effects += 1;
                        w.instances[no].engine = Engine::Ran;
                    });
                    if self.mishaps > 0 {
                        step(&|w| w.refused(no, weak));
                    }
                    for end in [AnswerKind::Denied, AnswerKind::Aborted] {
                        step(&|w| w.answered(no, end));
                    }
                }
                Engine::Ran => {
                    for end in [AnswerKind::Ok, AnswerKind::Aborted] {
                        step(&|w| w.answered(no, end));
                    }
                }
            }
            // Time passes: a little, and half of what the requester waits.
            for later in [Time(1), Time(15_000)] {
                let mut swept = self.clone();
                swept.instances[no].inbox.sweep(NOW + later);
                if swept != *self {
                    step(&|w| w.instances[no].inbox.sweep(NOW + later));
                }
            }
            // The connection ends; the instance hears of it later, and may have a new one by then.
            if self.faults > 0 {
                step(&|w| {
                    w.faults -= 1;
                    let old = w.instances[no].conn;
                    w.instances[no].dead.insert(old);
                    w.instances[no].conn = old + 1;
                    w.requeue(old);
                });
            }
            for &conn in &at.dead {
                step(&|w| {
                    let i = &mut w.instances[no];
                    i.dead.remove(&conn);
                    let gone = |a: &Act| matches!(a, Act::Settle(d, _) | Act::GiveBack(d, _) | Act::DeadLetter(d) if d.conn == conn);
                    i.inbox.driver().0.retain(|a| !gone(a));
                    i.inbox.connection_lost(NOW, conn);
                });
            }
            // The process is killed and starts anew: what it had not written is lost, what it had sent may still run.
            if self.faults > 0 {
                for runs in [false, true] {
                    if runs && at.engine != Engine::Asked {
                        continue;
                    }
                    step(&|w| {
                        w.faults -= 1;
                        w.effects += u8::from(runs);
                        let i = &mut w.instances[no];
                        let old = i.conn;
                        (i.inbox, i.engine, i.conn) = (inbox(), Engine::Idle, old + 1);
                        i.dead.clear();
                        match i.disk.clone() {
                            Note::Nothing => {}
                            Note::Intent => i.inbox.recovered_intent(NOW, name(), Time(20)),
                            Note::Answer(answer) => i.inbox.recovered_answer(NOW, name(), answer),
                        }
                        w.requeue(old);
                    });
                }
            }
            if self.mishaps > 0 {
                step(&|w| {
                    w.mishaps -= 1;
                    w.instances[no].inbox.stop();
                });
            }
        }
        all
    }

    fn answered(&mut self, no: usize, end: AnswerKind) {
        let i = &mut self.instances[no];
        i.engine = Engine::Idle;
        i.inbox.answered(&name(), FinalAnswer { kind: end, reason: String::new(), body: Bytes::new() });
    }

    fn refused(&mut self, no: usize, weak: Weak) {
        self.mishaps -= 1;
        if weak != Weak::GivesBackWhatIsOut {
            self.instances[no].engine = Engine::Idle;
        }
        self.instances[no].inbox.refused(NOW, &name(), "full", false);
    }

    fn act(&mut self, no: usize, act: Act, weak: Weak) {
        let i = &mut self.instances[no];
        match act {
            Act::WriteIntent(intent) => {
                if weak != Weak::IntentNotAwaited {
                    i.disk = Note::Intent;
                }
                i.inbox.intent_written(&name(), intent);
            }
            Act::WriteAnswer(answer) => i.disk = Note::Answer(answer),
            Act::WriteDone => i.disk = Note::Nothing,
            Act::Ask => i.engine = Engine::Asked,
            Act::Settle(delivery, answer) => {
                if weak == Weak::NoTransaction {
                    // The answer is out whatever becomes of the acknowledgement.
                    self.answers.push(answer.kind);
                }
                if self.is_out(delivery) {
                    if weak != Weak::NoTransaction {
                        self.answers.push(answer.kind);
                    }
                    self.broker = Broker::Gone;
                    self.instances[no].inbox.settled(&name(), delivery);
                }
            }
            Act::GiveBack(delivery, requeue_count) => {
                if self.is_out(delivery) {
                    self.broker = Broker::Ready { redelivered: false, requeue_count };
                }
            }
            Act::DeadLetter(delivery) => {
                if self.is_out(delivery) {
                    self.dead_letters += 1;
                    self.broker = Broker::Gone;
                }
            }
        }
    }

    /// The rules that hold at any moment, for an effect that must not happen twice.
    fn broken(&self, effect: Effect) -> Option<&'static str> {
        if self.answers.len() > 1 {
            return Some("two final answers");
        }
        let once = effect == Effect::SideEffecting || effect == IN_CELLS;
        if once && self.effects > 1 {
            return Some("an effect twice");
        }
        if self.answers == [AnswerKind::Denied] && self.effects > 0 && once {
            return Some("denied, and it ran");
        }
        if self.answers == [AnswerKind::Ok] && self.effects == 0 {
            return Some("ok, and it never ran");
        }
        if self.broker == Broker::Gone && self.answers.is_empty() {
            return Some("lost without an answer");
        }
        None
    }
}

/// How many states there are, or the first break with the state that it was found in.
fn explore(effect: Effect, weak: Weak, who: Who, faults: u8) -> Result<usize, String> {
    let mut seen = BTreeSet::from([World::new(faults)]);
    let mut todo = VecDeque::from([World::new(faults)]);
    while let Some(world) = todo.pop_front() {
        if let Some(what) = world.broken(effect) {
            return Err(format!("{what}: {world:?}"));
        }
        let next = world.next(effect, weak, who);
        // Where nothing can go on but faults, the message has been answered.
        let quiet = next.iter().all(|n| n.faults < world.faults || n.mishaps < world.mishaps);
        if quiet && world.answers.is_empty() {
            return Err(format!("stuck without an answer: {world:?}"));
        }
        for n in next {
            if seen.insert(n.clone()) {
                todo.push_back(n);
            }
        }
    }
    Ok(seen.len())
}

const EVERYWHERE: Effect = Effect::Tokened { all_workers: true, token_lifetime: Time(50_000) };
const IN_CELLS: Effect = Effect::Tokened { all_workers: false, token_lifetime: Time(50_000) };

#[test_case(Effect::SideEffecting, Who::Two, 1 ; "side effecting")]
#[test_case(EVERYWHERE, Who::Two, 1 ; "a token that all workers know")]
#[test_case(IN_CELLS, Who::Two, 1 ; "a token that cells know")]
#[test_case(Effect::Idempotent, Who::Two, 1 ; "idempotent")]
#[test_case(Effect::SideEffecting, Who::OneOfAForgetfulBroker, 3 ; "side effecting, from a forgetful broker")]
#[test_case(IN_CELLS, Who::OneOfAForgetfulBroker, 2 ; "tokened, from a forgetful broker")]
fn every_order_of_faults_keeps_the_rules(effect: Effect, who: Who, faults: u8) {
    let states = explore(effect, Weak::No, who, faults).unwrap_or_else(|why| panic!("{why}"));
    println!("{effect:?} {who:?}: {states} states");
    assert!(states > 500, "{states}");
}

#[test_case(Effect::SideEffecting ; "side effecting")]
#[test_case(EVERYWHERE ; "a token that all workers know")]
#[test_case(Effect::Idempotent ; "idempotent")]
#[ignore = "minutes: two drops or kills, a million states"]
fn two_faults_keep_the_rules(effect: Effect) {
    let states = explore(effect, Weak::No, Who::Two, 2).unwrap_or_else(|why| panic!("{why}"));
    println!("{effect:?}: {states} states");
    assert!(states > 50_000, "{states}");
}

#[test_case(Weak::FlagIgnored, Who::Two, "an effect twice")]
#[test_case(Weak::IntentNotAwaited, Who::OneOfAForgetfulBroker, "an effect twice")]
#[test_case(Weak::NoTransaction, Who::Two, "two final answers")]
#[test_case(Weak::GivesBackWhatIsOut, Who::Two, "an effect twice")]
fn a_weakened_protocol_is_caught(weak: Weak, who: Who, want: &str) {
    let told = explore(Effect::SideEffecting, weak, who, 2).expect_err("it is caught");
    assert!(told.starts_with(want), "{told}");
}
