use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::outcome::Outcome;
use hdrhistogram::Histogram;

use super::load_request::{AnswerCheck, LoadRequest, RequestKind};
use crate::client::Reply;

/// Longest time that is told apart, in microseconds.
const MOST_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// What the callers saw.
#[derive(Debug)]
pub struct Tally(Mutex<Counts>);

/// Counts of a run.
#[derive(Debug)]
pub struct Counts {
    /// Requests sent, repeats of an order left out.
    pub sent: u64,
    /// Repeats of an order with the same key.
    pub resent: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Refusals by reason, as callers saw them.
    pub refusals: BTreeMap<String, u64>,
    /// Answers that were another request's.
    pub wrong: u64,
    /// Answers cut short without a sign.
    pub short: u64,
    /// Answers cut short with a sign.
    pub broken: u64,
    /// Idempotent requests.
    pub idempotent: u64,
    /// Idempotent requests without their whole answer, refusals as overload left out.
    pub idempotent_failed: u64,
    /// Time of whole answers.
    pub total: Histogram<u64>,
    /// Time to the first byte of chats.
    pub first: Histogram<u64>,
    /// Longest time between tokens of chats.
    pub gaps: Histogram<u64>,
    /// Times by account.
    pub accounts: HashMap<usize, AccountCounts>,
    /// What callers were told of each order's key.
    pub orders: HashMap<String, Vec<Option<Outcome>>>,
    /// Bodies of chats that were told only `not-run`.
    pub not_run_chats: Vec<Vec<u8>>,
}

/// Counts of one account.
#[derive(Debug)]
pub struct AccountCounts {
    /// Requests sent.
    pub sent: u64,
    /// Tokens asked for in chats.
    pub asked: u64,
    /// Tokens served in whole chats.
    pub served: u64,
    /// Time to the first byte of chats, refused ones left out.
    pub first: Histogram<u64>,
    /// Time of whole chats.
    pub total: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, DIGITS).expect("the bounds are valid")
}

impl Default for AccountCounts {
    fn default() -> Self {
        Self { sent: 0, asked: 0, served: 0, first: histogram(), total: histogram() }
    }
}

impl Tally {
    /// Counts at zero.
    pub fn new() -> Self {
        Self(Mutex::new(Counts {
            sent: 0,
            resent: 0,
            outcomes: BTreeMap::new(),
            refusals: BTreeMap::new(),
            wrong: 0,
            short: 0,
            broken: 0,
            idempotent: 0,
            idempotent_failed: 0,
            total: histogram(),
            first: histogram(),
            gaps: histogram(),
            accounts: HashMap::new(),
            orders: HashMap::new(),
            not_run_chats: Vec::new(),
        }))
    }

    /// The counts.
    pub fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request and what became of it; nothing stands for no answer at all.
    pub fn note(&self, work: &LoadRequest, reply: Option<&Reply>, again: bool) {
        let mut counts = self.lock();
        if again {
            counts.resent += 1;
        } else {
            counts.sent += 1;
            counts.accounts.entry(work.account).or_default().sent += 1;
        }
        let outcome = reply.and_then(|reply| reply.outcome);
        let word = outcome.map_or("no-answer", Outcome::as_str);
        *counts.outcomes.entry(word.to_owned()).or_default() += 1;
        if let Some(reason) = reply.and_then(|reply| reply.reason) {
            *counts.refusals.entry(reason.as_str().to_owned()).or_default() += 1;
        }
        let verdict =
            reply.filter(|_| outcome == Some(Outcome::Ran)).map(|reply| work.judge(reply));
        counts.judge(work, reply, verdict);
        if let Some(key) = &work.key {
            counts.orders.entry(key.clone()).or_default().push(outcome);
        }
    }
}

impl Counts {
    fn judge(&mut self, work: &LoadRequest, reply: Option<&Reply>, verdict: Option<AnswerCheck>) {
        match verdict {
            Some(AnswerCheck::Wrong) => self.wrong += 1,
            Some(AnswerCheck::Short) => self.short += 1,
            Some(AnswerCheck::Broken) => self.broken += 1,
            Some(AnswerCheck::Right) | None => {}
        }
        let right = verdict == Some(AnswerCheck::Right);
        if work.kind != RequestKind::Order {
            self.idempotent += 1;
            let refused = reply.is_some_and(|reply| reply.outcome == Some(Outcome::NotRun));
            self.idempotent_failed += u64::from(!right && !refused);
        }
        let Some(reply) = reply else { return };
        if right {
            self.total.record(micros(reply.total)).ok();
        }
        if let RequestKind::Chat { tokens } = work.kind {
            let account = self.accounts.entry(work.account).or_default();
            account.asked += u64::from(tokens);
            if right {
                account.served += u64::from(tokens);
                account.first.record(micros(reply.first_byte)).ok();
                account.total.record(micros(reply.total)).ok();
                self.first.record(micros(reply.first_byte)).ok();
                self.gaps.record(micros(reply.max_gap)).ok();
            }
            if reply.outcome == Some(Outcome::NotRun) {
                self.not_run_chats.push(work.body.to_vec());
            }
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MOST_MICROS).clamp(1, MOST_MICROS)
}
