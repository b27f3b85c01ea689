use std::collections::BTreeMap;

use serde::Serialize;

/// Results of a load run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Requests sent, without repeats of an order.
    pub sent: u64,
    /// Repeats of an order with the same key.
    pub resent: u64,
    /// Requests that ran, as reported to the caller.
    pub ran: u64,
    /// Requests that did not run, as reported to the caller.
    pub not_run: u64,
    /// Requests whose outcome was reported as unknown, and requests without an answer.
    pub unknown: u64,
    /// Requests without an answer, included in `unknown`.
    pub no_answer: u64,
    /// Answers whose content belongs to another request.
    pub wrong_answer: u64,
    /// Answers that were truncated without an error, so that the caller could not notice.
    pub short_answer: u64,
    /// Answers that were truncated with an error, so that the caller could notice.
    pub broken_answer: u64,
    /// Requests that ran although every answer to the caller said that they did not run.
    pub false_not_run: u64,
    /// Orders that ran more than once.
    pub double_run: u64,
    /// Orders that were reported as run but are missing in the ledger.
    pub lost_order: u64,
    /// Share of idempotent requests that got neither a correct answer nor a refusal.
    pub idempotent_failed: f64,
    /// Attempts started at upstreams, per request or repeat that was not answered with `not-run`.
    pub attempts_per_call: f64,
    /// Median time of complete answers.
    pub p50_ms: f64,
    /// 99th percentile of the time of complete answers.
    pub p99_ms: f64,
    /// 95th percentile of the time to the first token of complete chats.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the longest time between two tokens of a complete chat.
    pub token_gap_p95_ms: f64,
    /// Time that entry and sidecar add to the 99th percentile of look-ups.
    pub added_p99_ms: f64,
    /// CPU time that entry and sidecar add, divided by that of two minimal proxies.
    pub cpu_ratio_to_passthrough: f64,
    /// Largest p99 of the time of complete chats of an account divided by the smallest such p99,
    /// without the first account.
    pub account_p99_spread: f64,
    /// Mean over the accounts of the p99 of the time of complete chats, without the first account.
    pub account_p99_ms: f64,
    /// Mean over the accounts of the p99 of the time to the first token, without the first account.
    pub account_first_p99_ms: f64,
    /// Jain's fairness index over the accounts. Each account counts with the share that it was
    /// served of its due tokens: those it requested, up to an even share of all served tokens.
    pub account_jain: f64,
    /// Tokens of complete chats served per second.
    pub goodput: f64,
    /// Refusals that callers received, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Retries at the entries, by reason.
    pub retries: BTreeMap<String, u64>,
    /// Crashes of upstreams that sidecars detected.
    pub crashes: u64,
    /// Streams that were resumed.
    pub resumes: u64,
    /// Share of chats whose prompt prefix was cached.
    pub cached: f64,
    /// Mean control traffic of a node, in bytes per second.
    pub control_bytes_per_node_s: f64,
    /// Reads of the platform's table per second.
    pub table_reads_s: f64,
    /// Writes of the platform's table per second.
    pub table_writes_s: f64,
    /// Time from marking an upstream as leaving until the last request starts there.
    pub leaving_last_start_ms: f64,
    /// Longest time until a settings change was applied by all processes.
    pub settings_spread_ms: f64,
}

impl LoadReport {
    /// Returns whether the guarantees that must hold under every fault were kept.
    pub const fn holds(&self) -> bool {
        self.wrong_answer == 0
            && self.short_answer == 0
            && self.false_not_run == 0
            && self.double_run == 0
            && self.lost_order == 0
    }
}
