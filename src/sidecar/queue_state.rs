use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::shares::Shares;
use super::{QueueError, Ticket};
use crate::settings::Priority;

/// Weight of the newest run in the estimate of time per token.
const COST_GAIN: f64 = 0.05;
/// Accounts remembered before those without waiting requests are dropped.
const MAX_ACCOUNTS: usize = 4_096;
/// Free slots that are kept for accounts within their share.
const RESERVED_SLOTS: u32 = 1;
/// Slots below which none is kept free.
const LEAST_SLOTS: u32 = 4;
/// Waiting requests of accounts over their share that are passed over in search of another.
const MAX_PASSED_OVER: usize = 256;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Place in the queue: virtual start time, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    start_micros: u64,
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
    pub(super) report: u64,
    classes: [BTreeMap<Place, Waiter>; Priority::COUNT],
    ends: HashMap<String, f64>,
    pub(super) shares: Shares,
    clock: f64,
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
            report: 0,
            classes: Default::default(),
            ends: HashMap::new(),
            shares: Shares::default(),
            clock: 0.0,
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
    pub(super) fn end(&mut self, account: &str) {
        self.shares.end(account);
        self.running = self.running.saturating_sub(1);
    }

    /// Takes the account's next place in virtual time.
    pub(super) fn take_place(&mut self, ticket: &Ticket<'_>) -> Place {
        let length = ticket.cost / ticket.weight;
        let start = self.ends.get(ticket.account).map_or(self.clock, |end| end.max(self.clock));
        self.set_end(ticket.account, start + length);
        self.arrivals += 1;
        Place { start_micros: to_micros(start), arrival: self.arrivals }
    }

    /// Gives the account back what a request did not use, or charges what it used beyond.
    pub(super) fn settle(&mut self, account: &str, difference: f64) {
        let end = self.ends.get(account).map(|end| end + difference);
        if let Some(end) = end {
            self.set_end(account, end);
        }
    }

    fn set_end(&mut self, account: &str, end: f64) {
        if let Some(known) = self.ends.get_mut(account) {
            *known = end;
            return;
        }
        if self.ends.len() >= MAX_ACCOUNTS {
            let clock = self.clock;
            self.ends.retain(|_, end| *end > clock);
        }
        self.ends.insert(account.to_owned(), end);
    }

    /// Whether the free slots are so few that they are for accounts within their share.
    fn is_scarce(&self) -> bool {
        self.slots >= LEAST_SLOTS && self.slots - self.running.min(self.slots) <= RESERVED_SLOTS
    }

    /// Whether an account may have a free slot now.
    pub(super) fn may_start(&self, account: &str) -> bool {
        self.has_slot() && !(self.is_scarce() && self.shares.is_over(account, self.slots))
    }

    pub(super) fn start(&mut self, place: Place, account: &str) {
        self.shares.start(account);
        self.running += 1;
        self.clock = self.clock.max(place.start_micros as f64 / MICROS_PER_MILLI);
    }

    /// Estimated milliseconds until a request at a place gets a slot.
    pub(super) fn wait_millis(&self, priority: Priority, place: Option<Place>) -> f64 {
        if self.has_slot() && self.waiting() == 0 {
            return 0.0;
        }
        let ahead =
            self.cost_ahead(priority, place) + f64::from(self.running) * self.mean_cost() / 2.0;
        ahead * self.millis_per_cost / f64::from(self.slots.max(1))
    }

    fn cost_ahead(&self, priority: Priority, place: Option<Place>) -> f64 {
        let Some(place) = place else {
            return self.waiting_cost;
        };
        let higher = self.classes[priority.index() + 1..].iter().flat_map(BTreeMap::values);
        let same = self.classes[priority.index()].range(..place).map(|(_, waiter)| waiter);
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

    pub(super) fn learn(&mut self, cost: f64, millis: f64) {
        let rate = millis / cost.max(1.0);
        if self.millis_per_cost == 0.0 {
            self.millis_per_cost = rate;
        }
        self.millis_per_cost += COST_GAIN * (rate - self.millis_per_cost);
    }

    pub(super) fn push(&mut self, priority: Priority, place: Place, waiter: Waiter) {
        self.waiting_cost += waiter.cost;
        self.classes[priority.index()].insert(place, waiter);
    }

    pub(super) fn remove(&mut self, priority: Priority, place: Place) -> bool {
        let Some(waiter) = self.classes[priority.index()].remove(&place) else {
            return false;
        };
        self.waiting_cost -= waiter.cost;
        true
    }

    /// Hands free slots to waiting requests, highest class and earliest start first.
    pub(super) fn grant(&mut self, now: Instant) {
        while self.has_slot() {
            let Some((place, waiter)) = self.pop_startable() else { return };
            let run = std::time::Duration::from_secs_f64(self.run_millis(waiter.cost) / 1e3);
            if now + run > waiter.deadline {
                waiter.grant.send(Err(QueueError::Deadline)).ok();
                continue;
            }
            if waiter.grant.send(Ok(())).is_ok() {
                self.start(place, &waiter.account);
            }
        }
    }

    /// The first waiting request whose account may have a slot.
    fn pop_startable(&mut self) -> Option<(Place, Waiter)> {
        if !self.is_scarce() {
            return self.pop();
        }
        for class in (0..Priority::COUNT).rev() {
            let waiting = self.classes[class].iter().take(MAX_PASSED_OVER);
            let allowed = |waiter: &Waiter| !self.shares.is_over(&waiter.account, self.slots);
            let found =
                waiting.filter(|(_, waiter)| allowed(waiter)).map(|(place, _)| *place).next();
            if let Some(place) = found {
                let waiter = self.classes[class].remove(&place)?;
                self.waiting_cost -= waiter.cost;
                return Some((place, waiter));
            }
        }
        None
    }

    fn pop(&mut self) -> Option<(Place, Waiter)> {
        let class = self.classes.iter_mut().rev().find(|class| !class.is_empty())?;
        let (place, waiter) = class.pop_first()?;
        self.waiting_cost -= waiter.cost;
        Some((place, waiter))
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
