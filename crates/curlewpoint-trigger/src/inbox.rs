use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::Time;

/// Identifies a message, here and at its requester: its id and the address that receives its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageKey {
    pub id: String,
    pub reply_to: String,
}

/// One delivery of a message: the number of the connection and the delivery tag on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    pub conn: u64,
    pub tag: u64,
}

/// Whether a method may run twice and, for a tokened method, where and for how long a token is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    Idempotent,
    Tokened {
        /// All workers share their tokens. Otherwise only the workers of one cell do.
        all_workers: bool,
        token_lifetime: Time,
    },
    SideEffecting,
}

/// Properties of a delivery, from its message and from the description of its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryInfo {
    pub effect: Effect,
    /// Time for which the requester still waits.
    pub time_left: Time,
    /// The broker has delivered the message before, and no scheduler has requeued it with the statement that nothing was
    /// sent.
    pub redelivered: bool,
    /// Time since the message was first put into its queue, if known.
    pub age: Option<Time>,
    /// Number of times that schedulers have requeued the message unsent.
    pub requeue_count: u32,
}

/// The kinds of final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    Ok,
    Denied,
    Aborted,
}

/// The final answer of a message. A message has exactly one.
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

/// Performs the actions of an inbox.
pub trait InboxDriver {
    /// Records on disk that attempts may be sent from now on. `intent_written` or `intent_failed` follows with the same
    /// number.
    fn write_intent(&mut self, key: &MessageKey, number: u64);
    /// Records the answer. The inbox does not wait for the write.
    fn write_answer(&mut self, key: &MessageKey, answer: &FinalAnswer);
    /// Removes the record of the message. The inbox does not wait for the write.
    fn remove_record(&mut self, key: &MessageKey);
    /// Submits the RPC to the engine, which answers by `until` (`answered`) or refuses it (`refused`).
    fn submit(&mut self, key: &MessageKey, until: Time);
    /// Publishes the answer and acknowledges the delivery in one broker transaction, so that either both happen or
    /// neither. `settled` follows, or the connection ends.
    fn settle(&mut self, key: &MessageKey, delivery: Delivery, answer: &FinalAnswer);
    /// Publishes the message to its queue again, marked as unsent, and acknowledges the delivery, in one transaction.
    fn requeue(&mut self, key: &MessageKey, delivery: Delivery, requeue_count: u32);
    /// Publishes the message with the reason to the dead-letter queue and acknowledges the delivery, in one transaction.
    fn dead_letter(&mut self, delivery: Delivery, reason: &str);
    fn log(&mut self, key: &MessageKey, line: &str);
}

/// Processing state of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// The intent with this number is being written; nothing was sent. The result of an earlier intent does not count, as a
    /// later write may have removed its record.
    WritingIntent(u64),
    /// The engine was full; nothing was sent. The RPC is submitted again while more than half of its time is left.
    RetryLater,
    /// The engine has the RPC.
    Submitted,
    /// The answer is known. It waits for the broker's confirmation or for the next delivery.
    Answered(FinalAnswer),
    /// The journal record of a previous run states that attempts may have been sent since this time.
    SentBefore(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    stage: Stage,
    /// Deliveries on open connections; more than one if the requester sent the message twice.
    deliveries: Vec<Delivery>,
    info: Option<DeliveryInfo>,
    /// The time at which the requester gives up.
    until: Time,
    /// The broker has committed the answer for at least one delivery.
    settled: bool,
    /// The time since which the message has had no delivery: its last connection ended, or it was read from the journal.
    undelivered_since: Option<Time>,
}

/// Decides for each message whether it is submitted, answered, requeued or dead-lettered.
///
/// Prevents an effect from happening twice when a message is redelivered after a lost connection, a killed scheduler, a
/// restarted broker or a cancelled consumer. The cost: a broker may also redeliver messages that no scheduler has processed.
/// A side-effecting one is then aborted although it never ran. A small prefetch keeps this rare (see
/// `PrefetchController`).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Inbox<D> {
    driver: D,
    messages: BTreeMap<MessageKey, Message>,
    /// Time for which a record is kept while its message has no delivery.
    retention: Time,
    intent_count: u64,
    stopping: bool,
}

impl Message {
    /// Whether more than half of the requester's waiting time is left. A message requeued later than that is unlikely to be
    /// answered in time by another instance.
    fn may_retry(&self, now: Time) -> bool {
        let time_left = self.info.map_or(Time(0), |t| t.time_left);
        now + Time(time_left.0 / 2) < self.until
    }
}

/// A message that was requeued more often is denied, as no instance can take it.
const MAX_REQUEUES: u32 = 5;

impl<D: InboxDriver> Inbox<D> {
    pub fn new(driver: D, retention: Time) -> Inbox<D> {
        Inbox { driver, messages: BTreeMap::new(), retention, intent_count: 0, stopping: false }
    }

    pub fn driver(&mut self) -> &mut D {
        &mut self.driver
    }

    /// Number of messages held, including those that wait for a delivery.
    pub fn held(&self) -> usize {
        self.messages.len()
    }

    /// Number of messages that the engine has or will receive after their intent is written.
    pub fn open(&self) -> usize {
        self.messages
            .values()
            .filter(|m| matches!(m.stage, Stage::WritingIntent(_) | Stage::Submitted))
            .count()
    }

    /// Takes over an intent without an answer from the journal of the previous run; `age` is the time since it was written.
    pub fn recovered_intent(&mut self, now: Time, key: MessageKey, age: Time) {
        self.recovered(now, key, Stage::SentBefore(now - age));
    }

    /// Takes over an answer from the journal of the previous run. The broker may not have received it.
    pub fn recovered_answer(&mut self, now: Time, key: MessageKey, answer: FinalAnswer) {
        self.recovered(now, key, Stage::Answered(answer));
    }

    fn recovered(&mut self, now: Time, key: MessageKey, stage: Stage) {
        let (deliveries, settled, undelivered_since) = (Vec::new(), false, Some(now));
        let message = Message { stage, deliveries, info: None, until: now, settled, undelivered_since };
        self.messages.insert(key, message);
    }

    /// Handles a delivery of a message.
    pub fn delivered(&mut self, now: Time, key: MessageKey, delivery: Delivery, info: DeliveryInfo) {
        if let Some(message) = self.messages.get_mut(&key) {
            // A known message: its previous delivery has ended, or the requester has sent it twice.
            message.deliveries.push(delivery);
            message.undelivered_since = None;
            match message.stage.clone() {
                Stage::WritingIntent(_) | Stage::RetryLater | Stage::Submitted => {}
                Stage::Answered(answer) => self.driver.settle(&key, delivery, &answer),
                Stage::SentBefore(since) => self.handle_repeat(now, &key, info, Some(now - since)),
            }
            return;
        }
        // The initial stage; no intent has the number 0.
        let (stage, deliveries) = (Stage::WritingIntent(0), vec![delivery]);
        let until = now + info.time_left;
        let message =
            Message { stage, deliveries, info: Some(info), until, settled: false, undelivered_since: None };
        self.messages.insert(key.clone(), message);
        if info.redelivered {
            // A previous consumer may have sent it at any time since it was put into its queue.
            return self.handle_repeat(now, &key, info, info.age);
        }
        if info.time_left == Time(0) {
            return self.end(&key, FinalAnswer::of(AnswerKind::Denied, "it came too late"));
        }
        if self.stopping {
            return self.requeue(&key);
        }
        match info.effect {
            Effect::Idempotent => self.submit(&key),
            _ => self.start_intent(&key),
        }
    }

    fn start_intent(&mut self, key: &MessageKey) {
        self.intent_count += 1;
        if let Some(message) = self.messages.get_mut(key) {
            message.stage = Stage::WritingIntent(self.intent_count);
            self.driver.write_intent(key, self.intent_count);
        }
    }

    /// Handles a message whose attempt may have been sent before; `sent_ago` is the time since then, if known.
    fn handle_repeat(&mut self, now: Time, key: &MessageKey, info: DeliveryInfo, sent_ago: Option<Time>) {
        let time_left = match (info.effect, sent_ago) {
            (Effect::Idempotent, _) => info.time_left,
            // The worker of the earlier attempt is not known, so a repeat is safe only if all workers share their tokens, and
            // only for as long as the token is remembered.
            (Effect::Tokened { all_workers: true, token_lifetime }, Some(sent_ago)) => {
                info.time_left.min(token_lifetime - sent_ago)
            }
            _ => Time(0),
        };
        if let Some(message) = self.messages.get_mut(key) {
            message.info = Some(DeliveryInfo { time_left, redelivered: true, ..info });
            message.until = now + time_left;
        }
        match info.effect {
            Effect::Idempotent if time_left > Time(0) => self.submit(key),
            Effect::Idempotent => self.end(key, FinalAnswer::of(AnswerKind::Denied, "it came too late")),
            _ if time_left > Time(0) => self.start_intent(key),
            _ => self
                .end(key, FinalAnswer::of(AnswerKind::Aborted, "it was delivered before and may have run")),
        }
    }

    fn submit(&mut self, key: &MessageKey) {
        if let Some(message) = self.messages.get_mut(key) {
            message.stage = Stage::Submitted;
            self.driver.submit(key, message.until);
        }
    }

    /// The intent is on disk: after a crash it is known that the message may have been sent.
    pub fn intent_written(&mut self, key: &MessageKey, number: u64) {
        let Some(message) = self.messages.get(key).filter(|m| m.stage == Stage::WritingIntent(number)) else {
            return;
        };
        match message.info {
            _ if message.deliveries.is_empty() => self.forget(key),
            Some(info) if self.stopping && !info.redelivered => self.requeue(key),
            _ => self.submit(key),
        }
    }

    /// The intent could not be written: nothing is sent.
    pub fn intent_failed(&mut self, key: &MessageKey, number: u64) {
        let Some(message) = self.messages.get(key).filter(|m| m.stage == Stage::WritingIntent(number)) else {
            return;
        };
        self.driver.log(key, "the intent could not be written; the message is not sent");
        match message.info {
            _ if message.deliveries.is_empty() => self.forget(key),
            // A tokened message that may have been sent before must not be requeued as unsent.
            Some(info) if info.redelivered => {
                let reason = "it was delivered before and cannot be noted now";
                self.end(key, FinalAnswer::of(AnswerKind::Aborted, reason));
            }
            _ => self.requeue(key),
        }
    }

    /// The engine has answered the RPC.
    pub fn answered(&mut self, key: &MessageKey, answer: FinalAnswer) {
        let Some(message) = self.messages.get(key).filter(|m| m.stage == Stage::Submitted) else { return };
        let denied_repeat = answer.kind == AnswerKind::Denied
            && message.info.is_some_and(|t| t.redelivered && t.effect != Effect::Idempotent);
        // The attempts of this run never ran, but an earlier one may have, so the answer must not be a denial.
        let answer = if denied_repeat {
            FinalAnswer::of(AnswerKind::Aborted, "it was delivered before and may have run")
        } else {
            answer
        };
        self.end(key, answer);
    }

    /// The engine has refused the RPC: nothing was sent. `is_permanent`: another attempt would be refused as well.
    pub fn refused(&mut self, now: Time, key: &MessageKey, reason: &str, is_permanent: bool) {
        let stopping = self.stopping;
        let Some(message) = self.messages.get_mut(key).filter(|m| m.stage == Stage::Submitted) else {
            return;
        };
        let info = message.info;
        if !is_permanent && !stopping && !message.deliveries.is_empty() && message.may_retry(now) {
            // If requeued at once, the message would go from one full instance to the next, or back to the only one, and soon
            // exceed the limit of requeues.
            message.stage = Stage::RetryLater;
            return;
        }
        if is_permanent && info.is_none_or(|t| !t.redelivered || t.effect == Effect::Idempotent) {
            return self.end(key, FinalAnswer::of(AnswerKind::Denied, reason));
        }
        self.requeue_or_abort(key, reason);
    }

    /// Requeues a message as unsent. One that may have been sent before is aborted instead.
    fn requeue_or_abort(&mut self, key: &MessageKey, reason: &str) {
        let info = self.messages.get(key).and_then(|m| m.info);
        if info.is_some_and(|t| t.redelivered && t.effect != Effect::Idempotent) {
            return self.end(key, FinalAnswer::of(AnswerKind::Aborted, reason));
        }
        self.requeue(key);
    }

    fn end(&mut self, key: &MessageKey, answer: FinalAnswer) {
        let Some(message) = self.messages.get_mut(key) else { return };
        if message.info.is_none_or(|t| t.effect != Effect::Idempotent) {
            self.driver.write_answer(key, &answer);
        }
        message.stage = Stage::Answered(answer.clone());
        message.deliveries.iter().for_each(|d| self.driver.settle(key, *d, &answer));
    }

    /// Requeues a message for other instances. After too many requeues it is denied, as nothing was sent.
    fn requeue(&mut self, key: &MessageKey) {
        let Some(message) = self.messages.get(key) else { return };
        let requeue_count = message.info.map_or(0, |t| t.requeue_count) + 1;
        if requeue_count > MAX_REQUEUES {
            return self.end(key, FinalAnswer::of(AnswerKind::Denied, "no scheduler could take it"));
        }
        // Two requeued copies could both run, so only the last delivery is requeued. The earlier ones have ended already or
        // are repeats of the requester.
        let deliveries = message.deliveries.clone();
        if let [earlier @ .., last] = deliveries.as_slice() {
            self.driver.requeue(key, *last, requeue_count);
            earlier.iter().for_each(|d| self.driver.dead_letter(*d, "sent twice, and given back once"));
        }
        self.forget(key);
    }

    fn forget(&mut self, key: &MessageKey) {
        if self.messages.remove(key).is_some_and(|m| m.info.is_none_or(|t| t.effect != Effect::Idempotent)) {
            self.driver.remove_record(key);
        }
    }

    /// The broker has committed the answer and the acknowledgement.
    pub fn settled(&mut self, key: &MessageKey, delivery: Delivery) {
        let Some(message) = self.messages.get_mut(key) else { return };
        message.deliveries.retain(|d| *d != delivery);
        message.settled = true;
        if message.deliveries.is_empty() {
            self.forget(key);
        }
    }

    /// A connection has ended: its deliveries are redelivered, here or elsewhere, unless the broker has committed their
    /// acknowledgements.
    pub fn connection_lost(&mut self, now: Time, conn: u64) {
        let mut ended = Vec::new();
        for (key, message) in &mut self.messages {
            let count_before = message.deliveries.len();
            message.deliveries.retain(|d| d.conn != conn);
            if count_before > 0 && message.deliveries.is_empty() {
                message.undelivered_since = Some(now);
                // A message that was not sent yet is redelivered, here or elsewhere.
                if message.settled || matches!(message.stage, Stage::WritingIntent(_) | Stage::RetryLater) {
                    ended.push(key.clone());
                }
            }
        }
        ended.iter().for_each(|key| self.forget(key));
    }

    /// Stops submitting: messages delivered from now on, and those not sent yet, are requeued.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Submits RPCs again that a full engine refused, or requeues them when half of their time has passed. Ends messages
    /// whose intent was not written in time. Drops records whose message was not redelivered within the retention time.
    pub fn sweep(&mut self, now: Time) {
        let to_retry: Vec<MessageKey> = self
            .messages
            .iter()
            .filter(|(_, m)| m.stage == Stage::RetryLater)
            .map(|(key, _)| key.clone())
            .collect();
        for key in to_retry {
            let may_retry = self.messages.get(&key).is_some_and(|m| m.may_retry(now));
            if may_retry && !self.stopping {
                self.submit(&key);
            } else {
                self.requeue_or_abort(&key, "no room");
            }
        }
        let intent_overdue = |m: &Message| matches!(m.stage, Stage::WritingIntent(_)) && m.until <= now;
        let unwritten: Vec<MessageKey> =
            self.messages.iter().filter(|(_, m)| intent_overdue(m)).map(|(key, _)| key.clone()).collect();
        for key in unwritten {
            let redelivered = self.messages.get(&key).and_then(|m| m.info).is_some_and(|t| t.redelivered);
            let kind = if redelivered { AnswerKind::Aborted } else { AnswerKind::Denied };
            self.end(&key, FinalAnswer::of(kind, "the journal was too slow: it was not sent"));
        }
        let is_obsolete = |m: &Message| {
            let is_waiting = matches!(m.stage, Stage::Answered(_) | Stage::SentBefore(_));
            // The answer of an idempotent message is only kept while its requester waits, as the message may run again:
            // answers kept for longer would fill the memory.
            let expired = m.info.is_some_and(|t| t.effect == Effect::Idempotent) && m.until <= now;
            is_waiting && m.undelivered_since.is_some_and(|since| expired || since + self.retention <= now)
        };
        let obsolete: Vec<MessageKey> =
            self.messages.iter().filter(|(_, m)| is_obsolete(m)).map(|(key, _)| key.clone()).collect();
        obsolete.iter().for_each(|key| self.forget(key));
    }
}
