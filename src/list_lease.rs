//! How long the endpoint list may be acted on: a lease that each answer from discovery renews.
//!
//! A list that was asked for at some moment holds every change made before it. A later change counts as notified within
//! the times of [`ListLeaseTerms`], whether or not this process has received it, for example because it did not run or
//! because discovery is unavailable. Nothing new is sent to a worker after that and the drain grace, unless the worker
//! itself has confirmed meanwhile that it does not drain: by its answer to a query or, where workers cannot be asked, by
//! an attempt that it served, as a draining worker rejects new attempts.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{Outcome, Time, WorkerId};

/// When a change of the endpoint list counts as notified, how long attempts may follow it, and whether workers can be
/// asked.
#[derive(Clone, Copy, Debug)]
pub struct ListLeaseTerms {
    /// A change counts as notified at the latest this long after it was made.
    pub notified_within: Time,
    /// Attempts and load orders may follow a notified drain for this long.
    pub drain_grace: Time,
    /// Workers can be asked whether they drain. Otherwise only the attempts that they serve show that they do not.
    pub workers_answer: bool,
}

/// Queries in a row without an answer from which discovery counts as unavailable.
const MIN_OUTAGE_QUERIES: usize = 5;
/// Unanswered queries whose times are kept; more than are sent while a lease lasts.
const MAX_UNANSWERED: usize = 256;
/// A worker in use is queried again this long before its own lease ends.
const RENEW_AHEAD: Time = Time(10_000);
/// Pause after a query that a worker did not confirm.
const QUERY_RETRY_DELAY: Time = Time(10_000);
/// Queries to workers open at a time.
const MAX_OPEN_QUERIES: usize = 8;
/// A query that is open for longer (0.25 s) no longer counts as one of them: workers that do not answer would otherwise
/// keep those that do from being asked.
const QUERY_ANSWER_TIME: Time = Time(2_500);

/// What a worker itself has shown about its drain since the newest answer from discovery.
#[derive(Clone, Copy, Default)]
struct WorkerLease {
    /// When the open query was sent, if there is one.
    queried_at: Option<Time>,
    /// The latest time at which it did not drain for certain.
    confirmed_at: Option<Time>,
    /// No query is sent before this time.
    retry_at: Time,
    /// It turned the last answered query away.
    drains: bool,
    /// The listed process has confirmed this for certain, not one that has its address now.
    is_identified: bool,
}

impl WorkerLease {
    /// The worker did not drain at `at`. Answers may arrive in any order.
    fn confirm(&mut self, at: Time, is_identified: bool) {
        if self.confirmed_at.is_none_or(|newest| newest <= at) {
            (self.confirmed_at, self.is_identified) = (Some(at), is_identified);
        }
    }
}

/// The lease on the endpoint list, and on each worker that has confirmed by itself that it does not drain.
pub struct ListLease {
    terms: ListLeaseTerms,
    /// When the newest answered query was sent.
    confirmed_at: Time,
    /// When the list was received.
    received_at: Time,
    /// Discovery has answered since the start. Otherwise an outage may have begun long before, and workers are asked as
    /// soon as it is detected, however long the lease on the list lasts.
    has_answered: bool,
    /// The last time at which no received answer was left unread.
    read_at: Time,
    /// When the queries after the newest answered one were sent.
    unanswered: VecDeque<Time>,
    /// The query before those: the newest answered one, or the last whose time is no longer kept.
    before_unanswered: Time,
    /// Discovery was queried all along since its last answer, and has answered nothing.
    is_outage: bool,
    workers: BTreeMap<WorkerId, WorkerLease>,
}

impl ListLease {
    /// Starts with a list that was valid at `confirmed_at`. An outage may have begun long before.
    pub fn new(now: Time, confirmed_at: Time, terms: ListLeaseTerms) -> ListLease {
        let (unanswered, workers) = Default::default();
        let (before_unanswered, is_outage) = (confirmed_at, false);
        let has_answered = false;
        ListLease {
            terms,
            confirmed_at,
            received_at: now,
            has_answered,
            read_at: now,
            unanswered,
            before_unanswered,
            is_outage,
            workers,
        }
    }

    /// A query was sent to discovery at `at`, after all answers received by then were read.
    pub fn query_sent(&mut self, at: Time) {
        self.read_at = self.read_at.max(at);
        if self.unanswered.len() == MAX_UNANSWERED {
            self.before_unanswered = self.unanswered.pop_front().unwrap_or(self.before_unanswered);
        }
        self.unanswered.push_back(at);
        self.is_outage = self.detect_outage();
    }

    /// The answer to the query of `queried_at` was taken in.
    pub fn confirm(&mut self, now: Time, queried_at: Time) {
        if queried_at >= self.confirmed_at {
            (self.confirmed_at, self.received_at, self.has_answered) = (queried_at, now, true);
            self.unanswered.retain(|sent| *sent > queried_at);
            self.before_unanswered = self.before_unanswered.max(queried_at);
            self.is_outage = self.detect_outage();
            self.workers.clear();
        }
    }

    /// Whether discovery counts as unavailable.
    pub fn is_outage(&self) -> bool {
        self.is_outage
    }

    /// In a gap between queries as long as a change takes to be notified, discovery may have been available.
    fn detect_outage(&self) -> bool {
        let earlier = std::iter::once(&self.before_unanswered).chain(&self.unanswered);
        let mut gaps = earlier.zip(&self.unanswered).map(|(earlier, later)| *later - *earlier);
        self.unanswered.len() >= MIN_OUTAGE_QUERIES && gaps.all(|gap| gap <= self.terms.notified_within)
    }

    /// The end of the lease on the list, for all workers in it.
    pub fn list_until(&self) -> Time {
        self.limit_to_read(self.list_valid_until())
    }

    /// Until when something new may be sent to a worker.
    pub fn send_until(&self, worker: WorkerId) -> Time {
        self.limit_to_read(self.valid_until(worker))
    }

    /// An answer that this process has received counts as notified though it is still unread.
    fn limit_to_read(&self, until: Time) -> Time {
        until.min(self.read_at + self.terms.drain_grace)
    }

    fn list_valid_until(&self) -> Time {
        self.valid_from(self.confirmed_at)
    }

    /// Until when something new may be sent to a worker that did not drain at `confirmed_at`.
    fn valid_from(&self, confirmed_at: Time) -> Time {
        confirmed_at + self.terms.notified_within + self.terms.drain_grace
    }

    fn valid_until(&self, worker: WorkerId) -> Time {
        let own = self.workers.get(&worker).copied().unwrap_or_default();
        if own.drains {
            return Time(0);
        }
        let own_until = own.confirmed_at.map_or(Time(0), |at| self.valid_from(at));
        self.list_valid_until().max(own_until)
    }

    /// Whether the worker is the listed one, in the listed zone and cell, for certain: by the list while its lease lasts,
    /// else by its own answer. The process that has its address now may be another one.
    pub fn is_identified(&self, now: Time, worker: WorkerId) -> bool {
        let is_confirmed = |own: &WorkerLease| own.is_identified && own.confirmed_at.is_some();
        now <= self.list_valid_until() || self.workers.get(&worker).is_some_and(is_confirmed)
    }

    /// When the newest answered query was sent: the list holds what was listed then.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// The time since the list was valid for certain.
    pub fn age(&self, now: Time) -> Time {
        now - self.confirmed_at
    }

    /// Whether a worker in use, or that would be used, is to be asked whether it drains.
    pub fn needs_query(&self, now: Time, worker: WorkerId) -> bool {
        let own = self.workers.get(&worker).copied().unwrap_or_default();
        let may_wait = self.has_answered || own.confirmed_at.is_some() || own.drains;
        if !self.terms.workers_answer
            || !self.is_outage
            || (may_wait && self.valid_until(worker) > now + RENEW_AHEAD)
        {
            return false;
        }
        let is_recent = |w: &&WorkerLease| w.queried_at.is_some_and(|at| now - at < QUERY_ANSWER_TIME);
        let open = self.workers.values().filter(is_recent).count();
        own.queried_at.is_none() && own.retry_at <= now && open < MAX_OPEN_QUERIES
    }

    /// A worker was asked whether it drains.
    pub fn worker_queried(&mut self, now: Time, worker: WorkerId) {
        self.workers.entry(worker).or_default().queried_at = Some(now);
    }

    /// The query that was sent to a worker at `queried_at` ended; `is_identified`: it went to the listed process for
    /// certain. Returns whether the worker is found to drain and was not before.
    pub fn worker_query_ended(
        &mut self, now: Time, worker: WorkerId, queried_at: Time, outcome: Outcome, is_identified: bool,
    ) -> bool {
        let Some(own) = self.workers.get_mut(&worker).filter(|w| w.queried_at == Some(queried_at)) else {
            return false;
        };
        own.queried_at = None;
        if outcome == Outcome::Ok {
            own.drains = false;
            own.confirm(queried_at, is_identified);
            return false;
        }
        own.retry_at = now + QUERY_RETRY_DELAY;
        if outcome != Outcome::Full {
            return false;
        }
        own.confirmed_at = None;
        !std::mem::replace(&mut own.drains, true)
    }

    /// A worker served the attempt that was sent to it at `sent_at`, however late its answer was read. As attempts may
    /// follow a drain for the grace, the worker may have served it within the grace, but did not drain before.
    /// `is_identified`: as for a query. Workers that can be asked are asked instead, which also holds for a worker
    /// that goes on serving while it drains. An attempt from before the list was received may have gone to a process that
    /// the list has replaced.
    pub fn attempt_served(&mut self, worker: WorkerId, sent_at: Time, is_identified: bool) {
        if self.terms.workers_answer || sent_at <= self.received_at {
            return;
        }
        let own = self.workers.entry(worker).or_default();
        own.confirm(sent_at - self.terms.drain_grace, is_identified);
    }
}

#[cfg(test)]
mod tests;
