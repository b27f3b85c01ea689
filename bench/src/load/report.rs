use std::collections::BTreeMap;

use serde::Serialize;

/// What a run of load saw.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Requests sent, repeats of an order left out.
    pub sent: u64,
    /// Repeats of an order with the same key.
    pub resent: u64,
    /// Answers that ran.
    pub ran: u64,
    /// Answers that said that the request did not run.
    pub not_run: u64,
    /// Answers that left it open, and requests with no answer.
    pub unknown: u64,
    /// Requests with no answer, counted in `unknown` too.
    pub no_answer: u64,
    /// Answers that were another request's.
    pub wrong_answer: u64,
    /// Answers cut short without a sign.
    pub short_answer: u64,
    /// Answers cut short with a sign.
    pub broken_answer: u64,
    /// Requests that ran although their callers were told otherwise.
    pub false_not_run: u64,
    /// Orders that ran more than once.
    pub double_run: u64,
    /// Orders that were answered as run but are not in the ledger.
    pub lost_order: u64,
    /// Idempotent requests without their whole answer, refusals left out, as a share.
    pub idempotent_failed: f64,
    /// Starts at upstreams over requests that reached one.
    pub attempts_per_call: f64,
    /// Median time of whole answers.
    pub p50_ms: f64,
    /// Time that 99 in 100 whole answers take at most.
    pub p99_ms: f64,
    /// Time to the first token that 95 in 100 chats take at most.
    pub first_token_p95_ms: f64,
    /// Longest time between two tokens that 95 in 100 chats see at most.
    pub token_gap_p95_ms: f64,
    /// What entry and sidecar add to 99 in 100 look-ups, at most.
    pub added_p99_ms: f64,
    /// Processor time of one hop over that of a bare pass-through.
    pub cpu_ratio_to_passthrough: f64,
    /// Greatest over least p99 of whole chats among the accounts but the first.
    pub account_p99_spread: f64,
    /// Mean p99 of whole chats among the accounts but the first.
    pub account_p99_ms: f64,
    /// Mean p99 of time to the first token among the accounts but the first.
    pub account_first_p99_ms: f64,
    /// Jain's index of what accounts were served of what they were due.
    pub account_jain: f64,
    /// Tokens served a second.
    pub goodput: f64,
    /// Refusals as callers saw them, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Retries at the entries, by reason.
    pub retries: BTreeMap<String, u64>,
    /// Crashes that sidecars saw.
    pub crashes: u64,
    /// Streams that were taken up again.
    pub resumes: u64,
    /// Share of chats whose prompt prefix was cached.
    pub cached: f64,
    /// Bytes of control that a node sends and receives a second, on average.
    pub control_bytes_per_node_s: f64,
    /// Reads of the platform's table a second.
    pub table_reads_s: f64,
    /// Writes of the platform's table a second.
    pub table_writes_s: f64,
    /// Time from the order to leave to the last start at that upstream.
    pub leaving_last_start_ms: f64,
    /// Longest time until a change of settings was in force everywhere.
    pub settings_spread_ms: f64,
}

impl LoadReport {
    /// Whether the promises that no fault may break were kept.
    pub const fn holds(&self) -> bool {
        self.wrong_answer == 0
            && self.short_answer == 0
            && self.false_not_run == 0
            && self.double_run == 0
            && self.lost_order == 0
    }
}
