use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::shares::Shares;
use super::{QueueError, SlotRequest};
use crate::settings::Priority;

/// Weight of the newest run in the estimate of time per token.
const COST_SMOOTHING: f64 = 0.05;
/// Accounts remembered before those without waiting requests are dropped.
const MAX_ACCOUNTS: usize = 4_096;
/// Free slots that are kept for accounts within their share.
const RESERVED_SLOTS: u32 = 1;
/// Slots below which none is kept free.
const MIN_SLOTS_FOR_RESERVE: u32 = 4;
/// Waiting requests of accounts over their share that are passed over in search of another.
const MAX_SKIPPED: usize = 256;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Place in the queue: virtual start time, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartTag {
    virtual_start_micros: u64,
    arrival: u64,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) grant: oneshot::Sender<Result<(), QueueError>>,
    pub(super) account: String,
    pub(super) cost: f64,
    pub(super) deadline: Instant,
}

/// Slots, waiting requests and virtual time of a [`super::Queue`].
///
/// Start-time fair queueing: a request starts, in virtual time, when its account's last one ends,
/// and the waiting request with the least start goes first within its class.
#[derive(Debug)]
pub(super) struct QueueState {
    pub(super) slots: u32,
    pub(super) running: u32,
    pub(super) closed: bool,
    pub(super) load_seq: u64,
    classes: [BTreeMap<StartTag, Waiter>; Priority::COUNT],
    finish_tags: HashMap<String, f64>,
    pub(super) shares: Shares,
    virtual_time: f64,
    arrivals: u64,
    millis_per_cost: f64,
    waiting_cost: f64,
}

impl QueueState {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            closed: false,
            load_seq: 0,
            classes: Default::default(),
            finish_tags: HashMap::new(),
            shares: Shares::default(),
            virtual_time: 0.0,
            arrivals: 0,
            millis_per_cost: 0.0,
            waiting_cost: 0.0,
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    pub(super) const fn has_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Takes a slot back.
    pub(super) fn free_slot(&mut self, account: &str) {
        self.shares.record_end(account);
        self.running = self.running.saturating_sub(1);
    }

    /// Takes the account's next place in virtual time.
    pub(super) fn assign_start_tag(&mut self, request: &SlotRequest<'_>) -> StartTag {
        let length = request.cost / request.weight;
        let start = self
            .finish_tags
            .get(request.account)
            .map_or(self.virtual_time, |finish| finish.max(self.virtual_time));
        self.set_finish_tag(request.account, start + length);
        self.arrivals += 1;
        StartTag { virtual_start_micros: to_micros(start), arrival: self.arrivals }
    }

    /// Gives the account back what a request did not use, or charges what it used beyond.
    pub(super) fn charge(&mut self, account: &str, amount: f64) {
        let finish = self.finish_tags.get(account).map(|finish| finish + amount);
        if let Some(finish) = finish {
            self.set_finish_tag(account, finish);
        }
    }

    fn set_finish_tag(&mut self, account: &str, finish: f64) {
        if let Some(tag) = self.finish_tags.get_mut(account) {
            *tag = finish;
            return;
        }
        if self.finish_tags.len() >= MAX_ACCOUNTS {
            let virtual_time = self.virtual_time;
            self.finish_tags.retain(|_, finish| *finish > virtual_time);
        }
        self.finish_tags.insert(account.to_owned(), finish);
    }

    /// Whether the free slots are so few that they are for accounts within their share.
    fn is_scarce(&self) -> bool {
        self.slots >= MIN_SLOTS_FOR_RESERVE
            && self.slots - self.running.min(self.slots) <= RESERVED_SLOTS
    }

    /// Whether an account may have a free slot now.
    pub(super) fn can_start(&self, account: &str) -> bool {
        self.has_slot() && !(self.is_scarce() && self.shares.is_over_share(account, self.slots))
    }

    pub(super) fn take_slot(&mut self, start_tag: StartTag, account: &str) {
        self.shares.record_start(account);
        self.running += 1;
        self.virtual_time =
            self.virtual_time.max(start_tag.virtual_start_micros as f64 / MICROS_PER_MILLI);
    }

    /// Estimated milliseconds until a request at a place gets a slot.
    pub(super) fn wait_millis(&self, priority: Priority, start_tag: Option<StartTag>) -> f64 {
        if self.has_slot() && self.waiting() == 0 {
            return 0.0;
        }
        let ahead =
            self.cost_ahead(priority, start_tag) + f64::from(self.running) * self.mean_cost() / 2.0;
        ahead * self.millis_per_cost / f64::from(self.slots.max(1))
    }

    fn cost_ahead(&self, priority: Priority, start_tag: Option<StartTag>) -> f64 {
        let Some(start_tag) = start_tag else {
            return self.waiting_cost;
        };
        let higher = self.classes[priority.index() + 1..].iter().flat_map(BTreeMap::values);
        let same = self.classes[priority.index()].range(..start_tag).map(|(_, waiter)| waiter);
        higher.chain(same).map(|waiter| waiter.cost).sum()
    }

    fn mean_cost(&self) -> f64 {
        let waiting = self.waiting();
        if waiting == 0 { 0.0 } else { self.waiting_cost / waiting as f64 }
    }

    /// Estimated milliseconds that a request runs.
    pub(super) fn run_millis(&self, cost: f64) -> f64 {
        cost * self.millis_per_cost
    }

    pub(super) fn record_run(&mut self, cost: f64, millis: f64) {
        let rate = millis / cost.max(1.0);
        if self.millis_per_cost == 0.0 {
            self.millis_per_cost = rate;
        }
        self.millis_per_cost += COST_SMOOTHING * (rate - self.millis_per_cost);
    }

    pub(super) fn push(&mut self, priority: Priority, start_tag: StartTag, waiter: Waiter) {
        self.waiting_cost += waiter.cost;
        self.classes[priority.index()].insert(start_tag, waiter);
    }

    pub(super) fn remove(&mut self, priority: Priority, start_tag: StartTag) -> bool {
        let Some(waiter) = self.classes[priority.index()].remove(&start_tag) else {
            return false;
        };
        self.waiting_cost -= waiter.cost;
        true
    }

    /// Hands free slots to waiting requests, highest class and earliest start first.
    pub(super) fn grant(&mut self, now: Instant) {
        while self.has_slot() {
            let Some((start_tag, waiter)) = self.pop_startable() else { return };
            let run = std::time::Duration::from_secs_f64(self.run_millis(waiter.cost) / 1e3);
            if now + run > waiter.deadline {
                waiter.grant.send(Err(QueueError::Deadline)).ok();
                continue;
            }
            if waiter.grant.send(Ok(())).is_ok() {
                self.take_slot(start_tag, &waiter.account);
            }
        }
    }

    /// The first waiting request whose account may have a slot.
    fn pop_startable(&mut self) -> Option<(StartTag, Waiter)> {
        if !self.is_scarce() {
            return self.pop();
        }
        for class in (0..Priority::COUNT).rev() {
            let waiting = self.classes[class].iter().take(MAX_SKIPPED);
            let allowed = |waiter: &Waiter| !self.shares.is_over_share(&waiter.account, self.slots);
            let found = waiting
                .filter(|(_, waiter)| allowed(waiter))
                .map(|(start_tag, _)| *start_tag)
                .next();
            if let Some(start_tag) = found {
                let waiter = self.classes[class].remove(&start_tag)?;
                self.waiting_cost -= waiter.cost;
                return Some((start_tag, waiter));
            }
        }
        None
    }

    fn pop(&mut self) -> Option<(StartTag, Waiter)> {
        let class = self.classes.iter_mut().rev().find(|class| !class.is_empty())?;
        let (start_tag, waiter) = class.pop_first()?;
        self.waiting_cost -= waiter.cost;
        Some((start_tag, waiter))
    }

    /// Refuses all waiting requests and all later ones.
    pub(super) fn close(&mut self) {
        self.closed = true;
        while let Some((_, waiter)) = self.pop() {
            waiter.grant.send(Err(QueueError::Closed)).ok();
        }
    }
}

fn to_micros(virtual_time: f64) -> u64 {
    (virtual_time * MICROS_PER_MILLI).max(0.0) as u64
}
