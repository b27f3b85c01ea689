use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebonyusher::metrics::Event;
use ebonyusher::outcome::Outcome;

use super::fault_injector::FaultInjector;
use super::run::{Meters, started_requests};
use super::tally::{AccountCounts, Counts};
use super::{LoadOptions, LoadReport};

impl LoadReport {
    /// Adds retries, resumed streams, crashes and control traffic from the counters of the nodes.
    pub(super) fn fill_meters(&mut self, meters: &Meters, seconds: f64) {
        for meter in &meters.entries {
            for (reason, count) in meter.retries().nonzero() {
                *self.retries.entry(reason).or_default() += count;
            }
            self.resumes += meter.get(Event::Resume);
        }
        self.crashes = meters.sidecars.iter().map(|meter| meter.get(Event::Crash)).sum();
        let bytes = meters.sum(Event::ControlBytes) - meters.control_bytes_before;
        let nodes = meters.entries.len() + meters.sidecars.len();
        self.control_bytes_per_node_s = bytes as f64 / seconds / nodes as f64;
    }

    /// Adds outcomes, checks of answers and times as the callers saw them.
    pub(super) fn fill_counts(&mut self, counts: &Counts, options: &LoadOptions, seconds: f64) {
        let outcome = |name: &str| counts.outcomes.get(name).copied().unwrap_or_default();
        self.sent = counts.sent;
        self.resent = counts.resent;
        self.ran = outcome("ran");
        self.not_run = outcome("not-run");
        self.no_answer = outcome("no-answer");
        self.unknown = outcome("unknown") + self.no_answer;
        self.wrong_answer = counts.mismatched;
        self.short_answer = counts.truncated_silently;
        self.broken_answer = counts.truncated_with_error;
        self.idempotent_failed = counts.idempotent_failed as f64 / counts.idempotent.max(1) as f64;
        self.p50_ms = millis(counts.total_time.value_at_quantile(0.5));
        self.p99_ms = millis(counts.total_time.value_at_quantile(0.99));
        self.first_token_p95_ms = millis(counts.first_byte.value_at_quantile(0.95));
        self.token_gap_p95_ms = millis(counts.token_gaps.value_at_quantile(0.95));
        self.refusals.clone_from(&counts.refusals);
        let served: u64 = counts.accounts.values().map(|account| account.served_tokens).sum();
        self.goodput = served as f64 / seconds;
        self.fill_accounts(counts, options);
    }

    fn fill_accounts(&mut self, counts: &Counts, options: &LoadOptions) {
        let others: Vec<&AccountCounts> = counts
            .accounts
            .iter()
            .filter(|(index, _)| **index > 0)
            .map(|(_, account)| account)
            .collect();
        let per_account = |of: fn(&AccountCounts) -> u64| -> Vec<f64> {
            others.iter().map(|account| millis(of(account))).collect()
        };
        let total = per_account(|account| account.total_time.value_at_quantile(0.99));
        let first = per_account(|account| account.first_byte.value_at_quantile(0.99));
        let max = total.iter().copied().fold(0.0, f64::max);
        let min = total.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        self.account_p99_spread = max / min;
        self.account_p99_ms = mean(&total);
        self.account_first_p99_ms = mean(&first);
        let served: f64 =
            counts.accounts.values().map(|account| account.served_tokens as f64).sum();
        let even_share = served / options.accounts as f64;
        // An account is due the tokens that it requested, up to an even share of all served tokens.
        let shares: Vec<f64> = counts
            .accounts
            .values()
            .map(|account| {
                (account.served_tokens as f64 / even_share.min(account.requested_tokens as f64))
                    .min(1.0)
            })
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        self.account_jain = sum * sum / (shares.len() as f64 * squares);
    }

    /// Compares what the upstreams ran with the outcomes that callers received.
    pub(super) fn fill_upstreams(
        &mut self,
        injector: &FaultInjector,
        counts: &Counts,
        started_before: u64,
    ) {
        let cluster = &injector.cluster;
        let mut runs: HashMap<String, u32> = HashMap::new();
        for plain in &cluster.plain_services {
            for (key, times) in plain.handler.run_counts() {
                *runs.entry(key).or_default() += times;
            }
        }
        for (key, outcomes) in &counts.order_outcomes {
            let times = runs.get(key).copied().unwrap_or_default();
            let only_not_run = outcomes.iter().all(|outcome| *outcome == Some(Outcome::NotRun));
            let ran = outcomes.contains(&Some(Outcome::Ran));
            self.double_run += u64::from(times > 1);
            self.lost_order += u64::from(ran && times == 0);
            self.false_not_run += u64::from(only_not_run && times > 0);
        }
        let unique: HashSet<&Vec<u8>> = counts.not_run_chats.iter().collect();
        let started = |body: &&&Vec<u8>| {
            cluster.engines.iter().any(|engine| engine.handler.starts().has(body))
        };
        self.false_not_run += unique.iter().filter(started).count() as u64;
        let may_have_run = (self.sent + self.resent - self.not_run.min(self.sent)).max(1);
        self.attempts_per_call =
            (started_requests(cluster) - started_before) as f64 / may_have_run as f64;
        let cached: u64 = cluster.engines.iter().map(|engine| engine.handler.cache_hits()).sum();
        let chats: u64 = cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum();
        self.cached = cached as f64 / chats.max(1) as f64;
        if let Some((index, left_at)) = injector.left_upstream {
            let last = cluster.engines[index].handler.starts().last();
            let since = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(left_at));
            self.leaving_last_start_ms = since.as_secs_f64() * 1e3;
        }
    }
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1e3
}
