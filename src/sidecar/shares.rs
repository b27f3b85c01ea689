use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which an account counts as active after its last request.
const ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Multiple of its fair share of the slots at which an account must leave the last free slots to
/// others.
const MAX_SHARE_FACTOR: f64 = 2.0;
/// Number of stored accounts at which the inactive ones are dropped.
const MAX_ACCOUNTS: usize = 1_024;

/// Tracks the slots that each client account holds and its fair share among the active accounts.
#[derive(Debug, Default)]
pub(super) struct Shares {
    accounts: HashMap<String, AccountUsage>,
    /// Number and total weight of the active accounts, as last counted.
    active: ActiveTotals,
}

#[derive(Debug)]
struct AccountUsage {
    running: u32,
    weight: f64,
    last_request: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct ActiveTotals {
    count: usize,
    weight: f64,
    counted_at: Option<Instant>,
}

/// Minimum interval between two counts of the active accounts.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

impl Shares {
    /// Records that an account requests a slot.
    pub(super) fn record_request(&mut self, account: &str, weight: f64, now: Instant) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, usage| usage.is_active(now));
        }
        if let Some(usage) = self.accounts.get_mut(account) {
            (usage.weight, usage.last_request) = (weight, now);
        } else {
            let usage = AccountUsage { running: 0, weight, last_request: now };
            self.accounts.insert(account.to_owned(), usage);
            self.active.counted_at = None;
        }
        self.refresh_active(now);
    }

    /// Counts the active accounts again if the last count is too old.
    fn refresh_active(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < COUNT_INTERVAL;
        if self.active.counted_at.is_some_and(fresh) {
            return;
        }
        let active = self.accounts.values().filter(|usage| usage.is_active(now));
        let weights = active.map(|usage| usage.weight);
        let (count, weight) = weights.fold((0, 0.0), |sum, weight| (sum.0 + 1, sum.1 + weight));
        self.active = ActiveTotals { count, weight, counted_at: Some(now) };
    }

    /// Records that an account got a slot.
    pub(super) fn record_start(&mut self, account: &str) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.running += 1;
        }
    }

    /// Records that an account freed a slot.
    pub(super) fn record_end(&mut self, account: &str) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Whether an account holds so much more than its fair share that the last free slots are
    /// reserved for others. Always false if no other account is active.
    pub(super) fn is_over_share(&self, account: &str, slots: u32) -> bool {
        let Some(usage) = self.accounts.get(account).filter(|_| self.active.count > 1) else {
            return false;
        };
        let fair = f64::from(slots) * usage.weight / self.active.weight;
        f64::from(usage.running) >= (fair * MAX_SHARE_FACTOR).max(1.0)
    }
}

impl AccountUsage {
    fn is_active(&self, now: Instant) -> bool {
        self.running > 0 || now.saturating_duration_since(self.last_request) < ACTIVE_TIME
    }
}
