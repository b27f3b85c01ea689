use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{MAX_PRIORITY, Offer};
use crate::capacity::DecayingSum;

/// Maximum number of records of a service; further accounts share one record.
const MAX_RECORDS: usize = 256;
/// Time constant of the work by which accounts are compared.
const COMPARE_TIME: Duration = Duration::from_secs(3);
/// Amount below which a record is dropped when room for another is needed.
const MIN_WORK: f64 = 0.05;
/// Minimum interval between passes over all records, for the fair level or to drop idle records.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of the fair level up to which an account counts as within it.
const LEVEL_MARGIN: f64 = 1.0;
/// Multiple of the fair level that an account must exceed where all requests have one priority.
const SINGLE_MARGIN: f64 = 2.0;
/// Part of all admitted work that such an account must have as well.
const SINGLE_PART: f64 = 0.25;
/// Admitted work below which accounts are not compared, since chance decides.
const MIN_TOTAL: f64 = 10.0;

/// Recent work of the client accounts of a service, by account and priority.
#[derive(Debug)]
pub struct AccountShares {
    usages: HashMap<(u64, u8), Usage>,
    /// Usage of the accounts without a record.
    rest: [Usage; MAX_PRIORITY as usize + 1],
    levels: [Option<Level>; MAX_PRIORITY as usize + 1],
}

/// Work that an account has requested, and the admitted part of it.
#[derive(Clone, Copy, Debug)]
struct Usage {
    asked: DecayingSum,
    admitted: DecayingSum,
}

/// Fair level of a priority, and when it was computed.
#[derive(Clone, Copy, Debug)]
struct Level {
    at: Instant,
    /// Work that each account may have.
    fair: f64,
    /// Admitted work of all accounts.
    total: f64,
}

impl Default for AccountShares {
    fn default() -> Self {
        Self {
            usages: HashMap::new(),
            rest: [Usage::new(); MAX_PRIORITY as usize + 1],
            levels: [None; MAX_PRIORITY as usize + 1],
        }
    }
}

impl AccountShares {
    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, offer: &Offer, now: Instant) {
        let Some(account) = offer.account else { return };
        let priority = offer.priority.min(MAX_PRIORITY);
        if self.usages.len() >= MAX_RECORDS && !self.usages.contains_key(&(account, priority)) {
            self.drop_idle(priority, now);
        }
        if self.usages.len() < MAX_RECORDS {
            self.usages.entry((account, priority)).or_insert_with(Usage::new);
        }
        self.usage_mut(account, priority).asked.add(offer.work, now);
    }

    /// Counts an admitted request.
    pub fn record_admitted(&mut self, offer: &Offer, now: Instant) {
        let Some(account) = offer.account else { return };
        let usage = self.usage_mut(account, offer.priority.min(MAX_PRIORITY));
        usage.admitted.add(offer.work, now);
    }

    /// Returns whether the account of a request has more than its fair share of the admitted work of
    /// this priority. `is_single` is whether all requests have one priority.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::admission::{AccountShares, Offer};
    /// # use ebonyusher::direct::LatencyTargets;
    /// # use tokio::time::Instant;
    /// let mut shares = AccountShares::default();
    /// let targets = LatencyTargets { first_byte: Duration::from_millis(400), gap: None };
    /// let offer = |account| Offer { priority: 0, account: Some(account), targets, work: 1.0, draw: 0.5 };
    /// let now = Instant::now();
    /// for account in [1, 1, 1, 1, 1, 1, 2, 3].repeat(5) {
    ///     shares.record_arrival(&offer(account), now);
    ///     shares.record_arrival(&offer(account), now);
    ///     shares.record_admitted(&offer(account), now);
    /// }
    /// assert!(shares.is_over(&offer(1), false, now));
    /// assert!(!shares.is_over(&offer(2), false, now));
    /// ```
    pub fn is_over(&mut self, offer: &Offer, is_single: bool, now: Instant) -> bool {
        let Some(account) = offer.account else { return false };
        let priority = offer.priority.min(MAX_PRIORITY);
        let Level { fair, total, .. } = self.level(priority, now);
        if total < MIN_TOTAL {
            return false;
        }
        let admitted = self.usage_mut(account, priority).admitted.get(now);
        if is_single {
            return admitted > fair * SINGLE_MARGIN && admitted >= total * SINGLE_PART;
        }
        admitted > fair * LEVEL_MARGIN
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.usages.len()
    }

    fn level(&mut self, priority: u8, now: Instant) -> Level {
        let at = usize::from(priority);
        if let Some(level) = self.levels[at].filter(|level| level.is_recent(now)) {
            return level;
        }
        let usages = self.usages.iter().filter(|((_, recorded), _)| *recorded == priority);
        let usages = usages.map(|(_, usage)| usage).chain([&self.rest[at]]);
        let mut total = 0.0;
        let mut asked: SmallVec<[f64; 32]> = SmallVec::new();
        for usage in usages {
            total += usage.admitted.get(now);
            asked.push(usage.asked.get(now));
        }
        let level = Level { at: now, fair: fair_level(&mut asked, total), total };
        self.levels[at] = Some(level);
        level
    }

    fn usage_mut(&mut self, account: u64, priority: u8) -> &mut Usage {
        let rest = &mut self.rest[usize::from(priority)];
        self.usages.get_mut(&(account, priority)).unwrap_or(rest)
    }

    /// Drops the records of accounts without recent requests, at most once per interval.
    fn drop_idle(&mut self, priority: u8, now: Instant) {
        let level = self.levels[usize::from(priority)];
        if level.is_some_and(|level| level.is_recent(now)) {
            return;
        }
        self.usages.retain(|_, usage| usage.asked.get(now) >= MIN_WORK);
        self.levels[usize::from(priority)] = None;
        self.level(priority, now);
    }
}

impl Level {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LEVEL_INTERVAL
    }
}

impl Usage {
    const fn new() -> Self {
        Self { asked: DecayingSum::new(COMPARE_TIME), admitted: DecayingSum::new(COMPARE_TIME) }
    }
}

/// Returns the level up to which all demands are met when `total` is shared by max-min fairness.
/// What the smaller demands leave is shared by the greater ones.
fn fair_level(demands: &mut [f64], total: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = total;
    for (at, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - at) as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
