use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::Time;

/// What a message is known by, here and at its requester: its id and the address that its answer goes to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageKey {
    pub id: String,
    pub reply_to: String,
}

/// One delivery of a message: the connection that brought it, counted, and its tag there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    pub conn: u64,
    pub tag: u64,
}

/// Whether a repeat is harmless, and for a tokened method where and for how long it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    Idempotent,
    Tokened {
        /// All workers know each other's tokens.
        all_workers: bool,
        token_lifetime: Time,
    },
    SideEffecting,
}

/// What a delivery says of its message, and its method's description of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryInfo {
    pub effect: Effect,
    /// How long the requester still waits.
    pub time_left: Time,
    /// The broker has delivered it before, and it was not given back by a scheduler that proves that nothing was sent.
    pub redelivered: bool,
    /// How long ago it was first put into its queue, where that is known.
    pub age: Option<Time>,
    /// How often schedulers gave it back unsent.
    pub requeue_count: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    Ok,
    Denied,
    Aborted,
}

/// The one final answer of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FinalAnswer {
    pub kind: AnswerKind,
    pub reason: String,
    pub body: Bytes,
}

impl FinalAnswer {
    fn of(kind: AnswerKind, reason: &str) -> FinalAnswer {
        FinalAnswer { kind, reason: reason.to_owned(), body: Bytes::new() }
    }
}

/// What an inbox acts through.
pub trait InboxDriver {
    /// Notes on disk that attempts may be sent from here on; `intent_written` or `intent_failed` follows, with this number.
    fn write_intent(&mut self, name: &MessageKey, no: u64);
    /// Notes the answer, and that it need not be kept any more; nobody waits for either.
    fn write_answer(&mut self, name: &MessageKey, answer: &FinalAnswer);
    fn remove_record(&mut self, name: &MessageKey);
    /// Hands the RPC to the engine, which answers by `until` (`answered`) or does not take it (`refused`).
    fn submit(&mut self, name: &MessageKey, until: Time);
    /// Publishes the answer and acknowledges the delivery in one transaction of the broker, so that either both are done or
    /// neither; `settled` follows, or the connection ends.
    fn settle(&mut self, name: &MessageKey, delivery: Delivery, answer: &FinalAnswer);
    /// Puts a copy that says that nothing was sent into its queue and acknowledges the delivery, in one transaction.
    fn requeue(&mut self, name: &MessageKey, delivery: Delivery, requeue_count: u32);
    /// The same into the dead-letter exchange, with the reason.
    fn dead_letter(&mut self, delivery: Delivery, why: &str);
    fn log(&mut self, name: &MessageKey, line: &str);
}

/// How far a message has come.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its intent, of this number, is being written; nothing was sent. The word of an earlier one is none for this: what was
    /// noted after it may have taken it back.
    Intending(u64),
    /// The engine had no room for it; nothing was sent. It is asked for again, as long as half of its time is left.
    Again,
    /// The engine has it.
    Asked,
    /// It has its answer, which waits for the broker's word, or for the next delivery.
    Answered(FinalAnswer),
    /// A record of a run before this one says that attempts may have been sent since this moment.
    SentBefore(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    stage: Stage,
    /// On connections that are up; more than one where the requester sent it twice.
    deliveries: Vec<Delivery>,
    terms: Option<DeliveryInfo>,
    /// When its requester gives up.
    until: Time,
    /// The broker has its answer, for one delivery at least.
    settled: bool,
    /// When the last connection that brought it ended, or it was read from the journal.
    alone_since: Option<Time>,
}

/// Decides what becomes of each message.
///
/// Guards against effects that happen twice after a redelivery, whoever had the message before: connection lost, scheduler
/// killed, broker restarted, a consumer cancelled. It harms where a broker redelivers messages that nobody has looked at: a
/// side-effecting one is then aborted although it never ran, which the prefetch keeps rare (see `PrefetchController`).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Inbox<D> {
    driver: D,
    messages: BTreeMap<MessageKey, Message>,
    /// Records are kept so long after nothing was heard of their message.
    keep: Time,
    intents: u64,
    stopping: bool,
}

impl Message {
    /// Whether half of its time is left yet: what is given back later than that has little chance elsewhere.
    fn may_wait(&self, now: Time) -> bool {
        let left = self.terms.map_or(Time(0), |t| t.time_left);
        now + Time(left.0 / 2) < self.until
    }
}

/// A message that was given back so often is denied: no instance can take it.
const MOST_GIVEN_BACK: u32 = 5;

impl<D: InboxDriver> Inbox<D> {
    pub fn new(driver: D, keep: Time) -> Inbox<D> {
        Inbox { driver, messages: BTreeMap::new(), keep, intents: 0, stopping: false }
    }

    pub fn driver(&mut self) -> &mut D {
        &mut self.driver
    }

    /// Messages that are held, those that wait for a delivery included.
    pub fn held(&self) -> usize {
        self.messages.len()
    }

    /// Messages that the engine has or is about to get.
    pub fn open(&self) -> usize {
        self.messages.values().filter(|m| matches!(m.stage, Stage::Intending(_) | Stage::Asked)).count()
    }

    /// The journal of the run before has an intent, so old, and no answer.
    pub fn recovered_intent(&mut self, now: Time, name: MessageKey, age: Time) {
        self.recovered(now, name, Stage::SentBefore(now - age));
    }

    /// It has an answer that the broker may not have got.
    pub fn recovered_answer(&mut self, now: Time, name: MessageKey, answer: FinalAnswer) {
        self.recovered(now, name, Stage::Answered(answer));
    }

    fn recovered(&mut self, now: Time, name: MessageKey, stage: Stage) {
        let (deliveries, settled, alone_since) = (Vec::new(), false, Some(now));
        let message = Message { stage, deliveries, terms: None, until: now, settled, alone_since };
        self.messages.insert(name, message);
    }

    /// A message comes.
    pub fn delivered(&mut self, now: Time, name: MessageKey, delivery: Delivery, terms: DeliveryInfo) {
        if let Some(message) = self.messages.get_mut(&name) {
            // The same message again: its old delivery has ended, or the requester has sent it twice.
            message.deliveries.push(delivery);
            message.alone_since = None;
            match message.stage.clone() {
                Stage::Intending(_) | Stage::Again | Stage::Asked => {}
                Stage::Answered(answer) => self.driver.settle(&name, delivery, &answer),
                Stage::SentBefore(since) => self.repeat(now, &name, terms, Some(now - since)),
            }
            return;
        }
        // Until more is known of it, nothing was sent.
        let (stage, deliveries) = (Stage::Intending(0), vec![delivery]);
        let until = now + terms.time_left;
        let message =
            Message { stage, deliveries, terms: Some(terms), until, settled: false, alone_since: None };
        self.messages.insert(name.clone(), message);
        if terms.redelivered {
            // Whoever had it may have sent it, from the moment on at which it came into its queue.
            return self.repeat(now, &name, terms, terms.age);
        }
        if terms.time_left == Time(0) {
            return self.end(&name, FinalAnswer::of(AnswerKind::Denied, "it came too late"));
        }
        if self.stopping {
            return self.requeue(&name);
        }
        match terms.effect {
            Effect::Idempotent => self.submit(&name),
            _ => self.intend(&name),
        }
    }

    fn intend(&mut self, name: &MessageKey) {
        self.intents += 1;
        if let Some(message) = self.messages.get_mut(name) {
            message.stage = Stage::Intending(self.intents);
            self.driver.write_intent(name, self.intents);
        }
    }

    /// A message that may have had its attempt before, so long ago if that is known.
    fn repeat(&mut self, now: Time, name: &MessageKey, terms: DeliveryInfo, sent: Option<Time>) {
        let left = match (terms.effect, sent) {
            (Effect::Idempotent, _) => terms.time_left,
            // Where it went is not known, so it may go anywhere only if the token is known all_workers, and only for as long as
            // the token is remembered.
            (Effect::Tokened { all_workers: true, token_lifetime }, Some(sent)) => {
                terms.time_left.min(token_lifetime - sent)
            }
            _ => Time(0),
        };
        if let Some(message) = self.messages.get_mut(name) {
            message.terms = Some(DeliveryInfo { time_left: left, redelivered: true, ..terms });
            message.until = now + left;
        }
        match terms.effect {
            Effect::Idempotent if left > Time(0) => self.submit(name),
            Effect::Idempotent => self.end(name, FinalAnswer::of(AnswerKind::Denied, "it came too late")),
            _ if left > Time(0) => self.intend(name),
            _ => self
                .end(name, FinalAnswer::of(AnswerKind::Aborted, "it was delivered before and may have run")),
        }
    }

    fn submit(&mut self, name: &MessageKey) {
        if let Some(message) = self.messages.get_mut(name) {
            message.stage = Stage::Asked;
            self.driver.submit(name, message.until);
        }
    }

    /// The intent is on disk: from here on a crash cannot hide that it may have been sent.
    pub fn intent_written(&mut self, name: &MessageKey, no: u64) {
        let Some(message) = self.messages.get(name).filter(|m| m.stage == Stage::Intending(no)) else {
            return;
        };
        match message.terms {
            _ if message.deliveries.is_empty() => self.forget(name),
            Some(terms) if self.stopping && !terms.redelivered => self.requeue(name),
            _ => self.submit(name),
        }
    }

    /// It could not be written: nothing is sent.
    pub fn intent_failed(&mut self, name: &MessageKey, no: u64) {
        let Some(message) = self.messages.get(name).filter(|m| m.stage == Stage::Intending(no)) else {
            return;
        };
        self.driver.log(name, "its intent could not be written: it is not sent");
        match message.terms {
            _ if message.deliveries.is_empty() => self.forget(name),
            // A tokened one that may have been sent before must not go back as one that was not.
            Some(terms) if terms.redelivered => {
                let why = "it was delivered before and cannot be noted now";
                self.end(name, FinalAnswer::of(AnswerKind::Aborted, why));
            }
            _ => self.requeue(name),
        }
    }

    /// The engine has ended it.
    pub fn answered(&mut self, name: &MessageKey, answer: FinalAnswer) {
        let Some(message) = self.messages.get(name).filter(|m| m.stage == Stage::Asked) else { return };
        let denied_repeat = answer.kind == AnswerKind::Denied
            && message.terms.is_some_and(|t| t.redelivered && t.effect != Effect::Idempotent);
        // This run's attempts never ran, but one before may have: no denial.
        let answer = if denied_repeat {
            FinalAnswer::of(AnswerKind::Aborted, "it was delivered before and may have run")
        } else {
            answer
        };
        self.end(name, answer);
    }

    /// The engine has not taken it: nothing was sent.
    pub fn refused(&mut self, now: Time, name: &MessageKey, why: &str, for_good: bool) {
        let stopping = self.stopping;
        let Some(message) = self.messages.get_mut(name).filter(|m| m.stage == Stage::Asked) else { return };
        let terms = message.terms;
        if !for_good && !stopping && !message.deliveries.is_empty() && message.may_wait(now) {
            // At once another instance would be as full, or there is none: it would go round and be denied in no time.
            message.stage = Stage::Again;
            return;
        }
        if for_good && terms.is_none_or(|t| !t.redelivered || t.effect == Effect::Idempotent) {
            return self.end(name, FinalAnswer::of(AnswerKind::Denied, why));
        }
        self.put_off(name, why);
    }

    /// It goes back unsent; one that may have been sent before cannot, and ends here.
    fn put_off(&mut self, name: &MessageKey, why: &str) {
        let terms = self.messages.get(name).and_then(|m| m.terms);
        if terms.is_some_and(|t| t.redelivered && t.effect != Effect::Idempotent) {
            return self.end(name, FinalAnswer::of(AnswerKind::Aborted, why));
        }
        self.requeue(name);
    }

    fn end(&mut self, name: &MessageKey, answer: FinalAnswer) {
        let Some(message) = self.messages.get_mut(name) else { return };
        if message.terms.is_none_or(|t| t.effect != Effect::Idempotent) {
            self.driver.write_answer(name, &answer);
        }
        message.stage = Stage::Answered(answer.clone());
        message.deliveries.iter().for_each(|d| self.driver.settle(name, *d, &answer));
    }

    /// Other instances may take it; one that nobody could take is denied, as nothing was sent.
    fn requeue(&mut self, name: &MessageKey) {
        let Some(message) = self.messages.get(name) else { return };
        let requeue_count = message.terms.map_or(0, |t| t.requeue_count) + 1;
        if requeue_count > MOST_GIVEN_BACK {
            return self.end(name, FinalAnswer::of(AnswerKind::Denied, "no scheduler could take it"));
        }
        // Two copies could run twice: the last goes back. Those before it are dead already, or the requester's repeats.
        let deliveries = message.deliveries.clone();
        if let [before @ .., last] = deliveries.as_slice() {
            self.driver.requeue(name, *last, requeue_count);
            before.iter().for_each(|d| self.driver.dead_letter(*d, "sent twice, and given back once"));
        }
        self.forget(name);
    }

    fn forget(&mut self, name: &MessageKey) {
        if self.messages.remove(name).is_some_and(|m| m.terms.is_none_or(|t| t.effect != Effect::Idempotent))
        {
            self.driver.remove_record(name);
        }
    }

    /// The broker has the answer and the acknowledgement.
    pub fn settled(&mut self, name: &MessageKey, delivery: Delivery) {
        let Some(message) = self.messages.get_mut(name) else { return };
        message.deliveries.retain(|d| *d != delivery);
        message.settled = true;
        if message.deliveries.is_empty() {
            self.forget(name);
        }
    }

    /// A connection has ended: what it brought comes again, here or elsewhere, unless the broker has its acknowledgement.
    pub fn connection_lost(&mut self, now: Time, conn: u64) {
        let mut over = Vec::new();
        for (name, message) in &mut self.messages {
            let before = message.deliveries.len();
            message.deliveries.retain(|d| d.conn != conn);
            if before > 0 && message.deliveries.is_empty() {
                message.alone_since = Some(now);
                // What was not sent yet is another's now, or comes again.
                if message.settled || matches!(message.stage, Stage::Intending(_) | Stage::Again) {
                    over.push(name.clone());
                }
            }
        }
        over.iter().for_each(|name| self.forget(name));
    }

    /// No more is asked for: what comes from here on, and what was not sent yet, goes back.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Messages that the engine had no room for are asked for again, or given back when half of their time is over; those
    /// whose intent is not on disk in their time are not sent; records whose message has not come again are
    /// forgotten after theirs.
    pub fn sweep(&mut self, now: Time) {
        let again: Vec<MessageKey> = self
            .messages
            .iter()
            .filter(|(_, m)| m.stage == Stage::Again)
            .map(|(name, _)| name.clone())
            .collect();
        for name in again {
            let may_wait = self.messages.get(&name).is_some_and(|m| m.may_wait(now));
            if may_wait && !self.stopping {
                self.submit(&name);
            } else {
                self.put_off(&name, "no room");
            }
        }
        let unwritten = |m: &Message| matches!(m.stage, Stage::Intending(_)) && m.until <= now;
        let late: Vec<MessageKey> =
            self.messages.iter().filter(|(_, m)| unwritten(m)).map(|(name, _)| name.clone()).collect();
        for name in late {
            let before = self.messages.get(&name).and_then(|m| m.terms).is_some_and(|t| t.redelivered);
            let end = if before { AnswerKind::Aborted } else { AnswerKind::Denied };
            self.end(&name, FinalAnswer::of(end, "the journal was too slow: it was not sent"));
        }
        let over = |m: &Message| {
            let waits = matches!(m.stage, Stage::Answered(_) | Stage::SentBefore(_));
            // What may run again is worth no more than its requester waits: answers kept for long would fill the memory.
            let harmless = m.terms.is_some_and(|t| t.effect == Effect::Idempotent) && m.until <= now;
            waits && m.alone_since.is_some_and(|since| harmless || since + self.keep <= now)
        };
        let long: Vec<MessageKey> =
            self.messages.iter().filter(|(_, m)| over(m)).map(|(name, _)| name.clone()).collect();
        long.iter().for_each(|name| self.forget(name));
    }
}
