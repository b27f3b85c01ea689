use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which an account counts as active after its last request.
const ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Part of its fair share of the slots that an account may hold before it must leave the last
/// free ones to others.
const GENEROSITY: f64 = 2.0;
/// Accounts remembered before those that are no longer active are dropped.
const MAX_ACCOUNTS: usize = 1_024;

/// Slots that each client account holds, against its fair share among the active ones.
#[derive(Debug, Default)]
pub(super) struct Shares {
    accounts: HashMap<String, Holding>,
    /// Number and weight of the active accounts, as last counted.
    active: Active,
}

#[derive(Debug)]
struct Holding {
    running: u32,
    weight: f64,
    last: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Active {
    count: usize,
    weight: f64,
    at: Option<Instant>,
}

/// How often the active accounts are counted.
const COUNT_PAUSE: Duration = Duration::from_millis(50);

impl Shares {
    /// Takes in that an account asks for a slot.
    pub(super) fn seen(&mut self, account: &str, weight: f64, now: Instant) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, holding| holding.is_active(now));
        }
        if let Some(holding) = self.accounts.get_mut(account) {
            (holding.weight, holding.last) = (weight, now);
        } else {
            let holding = Holding { running: 0, weight, last: now };
            self.accounts.insert(account.to_owned(), holding);
            self.active.at = None;
        }
        self.count(now);
    }

    fn count(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < COUNT_PAUSE;
        if self.active.at.is_some_and(fresh) {
            return;
        }
        let active = self.accounts.values().filter(|holding| holding.is_active(now));
        let weights = active.map(|holding| holding.weight);
        let (count, weight) = weights.fold((0, 0.0), |sum, weight| (sum.0 + 1, sum.1 + weight));
        self.active = Active { count, weight, at: Some(now) };
    }

    /// Takes in that an account got a slot.
    pub(super) fn start(&mut self, account: &str) {
        if let Some(holding) = self.accounts.get_mut(account) {
            holding.running += 1;
        }
    }

    /// Takes in that an account gave a slot back.
    pub(super) fn end(&mut self, account: &str) {
        if let Some(holding) = self.accounts.get_mut(account) {
            holding.running = holding.running.saturating_sub(1);
        }
    }

    /// Whether an account holds so much more than its share that the last free slots are for
    /// others. Never if no other account is active.
    pub(super) fn is_over(&self, account: &str, slots: u32) -> bool {
        let Some(holding) = self.accounts.get(account).filter(|_| self.active.count > 1) else {
            return false;
        };
        let fair = f64::from(slots) * holding.weight / self.active.weight;
        f64::from(holding.running) >= (fair * GENEROSITY).max(1.0)
    }
}

impl Holding {
    fn is_active(&self, now: Instant) -> bool {
        self.running > 0 || now.saturating_duration_since(self.last) < ACTIVE_TIME
    }
}
