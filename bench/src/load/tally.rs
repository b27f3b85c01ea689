use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::outcome::Outcome;
use hdrhistogram::Histogram;

use super::load_request::{AnswerCheck, LoadRequest, RequestKind};
use crate::client::Reply;

/// Longest time that is recorded, in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of what the callers saw, shared by their tasks.
#[derive(Debug)]
pub struct Tally(Mutex<Counts>);

/// Counts of a load run.
#[derive(Debug)]
pub struct Counts {
    /// Requests sent, without repeats of an order.
    pub sent: u64,
    /// Repeats of an order with the same key.
    pub resent: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Refusals by reason, as callers saw them.
    pub refusals: BTreeMap<String, u64>,
    /// Answers whose content belongs to another request.
    pub mismatched: u64,
    /// Answers that were truncated without an error.
    pub truncated_silently: u64,
    /// Answers that were truncated with an error.
    pub truncated_with_error: u64,
    /// Idempotent requests: chats and look-ups.
    pub idempotent: u64,
    /// Idempotent requests that got neither a correct answer nor a refusal.
    pub idempotent_failed: u64,
    /// Time of complete answers, in microseconds.
    pub total_time: Histogram<u64>,
    /// Time to the first byte of complete chats, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Longest time between two tokens of each complete chat, in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Counts and times by account.
    pub accounts: HashMap<usize, AccountCounts>,
    /// Outcomes reported to callers, by the key of the order.
    pub order_outcomes: HashMap<String, Vec<Option<Outcome>>>,
    /// Bodies of chats that were answered with `not-run`.
    pub not_run_chats: Vec<Vec<u8>>,
}

/// Counts of one account.
#[derive(Debug)]
pub struct AccountCounts {
    /// Requests sent.
    pub sent: u64,
    /// Tokens requested in chats.
    pub requested_tokens: u64,
    /// Tokens served in complete chats.
    pub served_tokens: u64,
    /// Time to the first byte of complete chats, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time of complete chats, in microseconds.
    pub total_time: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

impl Default for AccountCounts {
    fn default() -> Self {
        Self {
            sent: 0,
            requested_tokens: 0,
            served_tokens: 0,
            first_byte: histogram(),
            total_time: histogram(),
        }
    }
}

impl Tally {
    /// Returns counts at zero.
    pub fn new() -> Self {
        Self(Mutex::new(Counts {
            sent: 0,
            resent: 0,
            outcomes: BTreeMap::new(),
            refusals: BTreeMap::new(),
            mismatched: 0,
            truncated_silently: 0,
            truncated_with_error: 0,
            idempotent: 0,
            idempotent_failed: 0,
            total_time: histogram(),
            first_byte: histogram(),
            token_gaps: histogram(),
            accounts: HashMap::new(),
            order_outcomes: HashMap::new(),
            not_run_chats: Vec::new(),
        }))
    }

    /// Locks the counts.
    pub fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request and its answer; `reply` is `None` if there was no answer.
    pub fn record(&self, request: &LoadRequest, reply: Option<&Reply>, is_repeat: bool) {
        let mut counts = self.lock();
        if is_repeat {
            counts.resent += 1;
        } else {
            counts.sent += 1;
            counts.accounts.entry(request.account).or_default().sent += 1;
        }
        let outcome = reply.and_then(|reply| reply.outcome);
        let outcome_name = outcome.map_or("no-answer", Outcome::as_str);
        *counts.outcomes.entry(outcome_name.to_owned()).or_default() += 1;
        if let Some(reason) = reply.and_then(|reply| reply.reason) {
            *counts.refusals.entry(reason.as_str().to_owned()).or_default() += 1;
        }
        let check =
            reply.filter(|_| outcome == Some(Outcome::Ran)).map(|reply| request.check(reply));
        counts.record_answer(request, reply, check);
        if let Some(key) = &request.key {
            counts.order_outcomes.entry(key.clone()).or_default().push(outcome);
        }
    }
}

impl Counts {
    fn record_answer(
        &mut self,
        request: &LoadRequest,
        reply: Option<&Reply>,
        check: Option<AnswerCheck>,
    ) {
        match check {
            Some(AnswerCheck::Mismatched) => self.mismatched += 1,
            Some(AnswerCheck::TruncatedSilently) => self.truncated_silently += 1,
            Some(AnswerCheck::TruncatedWithError) => self.truncated_with_error += 1,
            Some(AnswerCheck::Correct) | None => {}
        }
        let correct = check == Some(AnswerCheck::Correct);
        if request.kind != RequestKind::Order {
            self.idempotent += 1;
            let refused = reply.is_some_and(|reply| reply.outcome == Some(Outcome::NotRun));
            self.idempotent_failed += u64::from(!correct && !refused);
        }
        let Some(reply) = reply else { return };
        if correct {
            self.total_time.record(micros(reply.total)).ok();
        }
        if let RequestKind::Chat { tokens } = request.kind {
            let account = self.accounts.entry(request.account).or_default();
            account.requested_tokens += u64::from(tokens);
            if correct {
                account.served_tokens += u64::from(tokens);
                account.first_byte.record(micros(reply.first_byte)).ok();
                account.total_time.record(micros(reply.total)).ok();
                self.first_byte.record(micros(reply.first_byte)).ok();
                self.token_gaps.record(micros(reply.max_gap)).ok();
            }
            if reply.outcome == Some(Outcome::NotRun) {
                self.not_run_chats.push(request.body.to_vec());
            }
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS)
}
