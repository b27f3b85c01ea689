use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebonyusher::metrics::Event;
use ebonyusher::outcome::Outcome;

use super::inject::Injector;
use super::run::{Meters, starts};
use super::tally::{AccountCounts, Counts};
use super::{LoadOptions, LoadReport};

impl LoadReport {
    pub(super) fn fill_meters(&mut self, meters: &Meters, seconds: f64) {
        for meter in &meters.entries {
            for (reason, count) in meter.retries().nonzero() {
                *self.retries.entry(reason).or_default() += count;
            }
            self.resumes += meter.get(Event::Resume);
        }
        self.crashes = meters.sidecars.iter().map(|meter| meter.get(Event::Crash)).sum();
        let bytes = meters.sum(Event::ControlBytes) - meters.bytes;
        let nodes = meters.entries.len() + meters.sidecars.len();
        self.control_bytes_per_node_s = bytes as f64 / seconds / nodes as f64;
    }

    pub(super) fn fill_counts(&mut self, counts: &Counts, options: &LoadOptions, seconds: f64) {
        let outcome = |word: &str| counts.outcomes.get(word).copied().unwrap_or_default();
        self.sent = counts.sent;
        self.resent = counts.resent;
        self.ran = outcome("ran");
        self.not_run = outcome("not-run");
        self.no_answer = outcome("no-answer");
        self.unknown = outcome("unknown") + self.no_answer;
        self.wrong_answer = counts.wrong;
        self.short_answer = counts.short;
        self.broken_answer = counts.broken;
        self.idempotent_failed = counts.idempotent_failed as f64 / counts.idempotent.max(1) as f64;
        self.p50_ms = millis(counts.total.value_at_quantile(0.5));
        self.p99_ms = millis(counts.total.value_at_quantile(0.99));
        self.first_token_p95_ms = millis(counts.first.value_at_quantile(0.95));
        self.token_gap_p95_ms = millis(counts.gaps.value_at_quantile(0.95));
        self.refusals.clone_from(&counts.refusals);
        let served: u64 = counts.accounts.values().map(|account| account.served).sum();
        self.goodput = served as f64 / seconds;
        self.fill_accounts(counts, options);
    }

    fn fill_accounts(&mut self, counts: &Counts, options: &LoadOptions) {
        let others: Vec<&AccountCounts> =
            counts.accounts.iter().filter(|(at, _)| **at > 0).map(|(_, account)| account).collect();
        let p99 = |of: fn(&AccountCounts) -> u64| -> Vec<f64> {
            others.iter().map(|account| millis(of(account))).collect()
        };
        let total = p99(|account| account.total.value_at_quantile(0.99));
        let first = p99(|account| account.first.value_at_quantile(0.99));
        let most = total.iter().copied().fold(0.0, f64::max);
        let least = total.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        self.account_p99_spread = most / least;
        self.account_p99_ms = mean(&total);
        self.account_first_p99_ms = mean(&first);
        let served: f64 = counts.accounts.values().map(|account| account.served as f64).sum();
        let fair = served / options.accounts as f64;
        // What an account is due is what it asked for, but no more than an even part.
        let shares: Vec<f64> = counts
            .accounts
            .values()
            .map(|account| (account.served as f64 / fair.min(account.asked as f64)).min(1.0))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        self.account_jain = sum * sum / (shares.len() as f64 * squares);
    }

    pub(super) fn fill_upstreams(
        &mut self,
        injector: &Injector,
        counts: &Counts,
        starts_before: u64,
    ) {
        let site = &injector.site;
        let mut runs: HashMap<String, u32> = HashMap::new();
        for plain in &site.plains {
            for (key, times) in plain.handler.run_counts() {
                *runs.entry(key).or_default() += times;
            }
        }
        for (key, told) in &counts.orders {
            let times = runs.get(key).copied().unwrap_or_default();
            let only_not_run = told.iter().all(|outcome| *outcome == Some(Outcome::NotRun));
            let ran = told.contains(&Some(Outcome::Ran));
            self.double_run += u64::from(times > 1);
            self.lost_order += u64::from(ran && times == 0);
            self.false_not_run += u64::from(only_not_run && times > 0);
        }
        let unique: HashSet<&Vec<u8>> = counts.not_run_chats.iter().collect();
        let started =
            |body: &&&Vec<u8>| site.engines.iter().any(|engine| engine.handler.starts().has(body));
        self.false_not_run += unique.iter().filter(started).count() as u64;
        let reached = (self.sent + self.resent - self.not_run.min(self.sent)).max(1);
        self.attempts_per_call = (starts(site) - starts_before) as f64 / reached as f64;
        let cached: u64 = site.engines.iter().map(|engine| engine.handler.cache_hits()).sum();
        let chats: u64 = site.engines.iter().map(|engine| engine.handler.starts().count()).sum();
        self.cached = cached as f64 / chats.max(1) as f64;
        if let Some((place, at)) = injector.left {
            let last = site.engines[place].handler.starts().last();
            let since = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(at));
            self.leaving_last_start_ms = since.as_secs_f64() * 1e3;
        }
    }
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1e3
}
