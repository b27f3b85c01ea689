use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::shares::Shares;
use super::{QueueError, SlotRequest};
use crate::settings::Priority;

/// Smoothing factor of the exponentially weighted moving average of time per token.
const COST_SMOOTHING: f64 = 0.05;
/// Number of stored finish tags at which those that virtual time has passed are dropped.
const MAX_ACCOUNTS: usize = 4_096;
/// Free slots that are reserved for accounts within their share.
const RESERVED_SLOTS: u32 = 1;
/// Number of slots below which none is reserved.
const MIN_SLOTS_FOR_RESERVE: u32 = 4;
/// Maximum number of waiting requests per class that are examined for one whose account is within
/// its share.
const MAX_EXAMINED_PER_CLASS: usize = 256;
/// Units of a start tag per unit of virtual time. Tags are integers, so that they can be ordered.
const TAG_SCALE: f64 = 1_000.0;

/// Sort key of a waiting request: virtual start time, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartTag {
    virtual_start: u64,
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
/// The queue implements start-time fair queueing: a request's start tag is the finish tag of its
/// account's last request or the current virtual time, whichever is later, and the waiting request
/// with the smallest start tag in its class is served first.
#[derive(Debug)]
pub(super) struct QueueState {
    pub(super) slots: u32,
    pub(super) running: u32,
    pub(super) closed: bool,
    /// Number of load reports so far.
    pub(super) load_seq: u64,
    /// Waiting requests by priority class, lowest class first.
    classes: [BTreeMap<StartTag, Waiter>; Priority::COUNT],
    /// Virtual finish time of each account's last request.
    finish_tags: HashMap<String, f64>,
    pub(super) shares: Shares,
    /// Largest start tag of the requests that have got a slot. Like the finish tags, it is a cost
    /// in tokens divided by the account's weight.
    virtual_time: f64,
    arrivals: u64,
    /// Moving average of the run time per token.
    millis_per_cost: f64,
    /// Sum of the costs of all waiting requests.
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

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    pub(super) const fn has_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Frees a slot that an account held.
    pub(super) fn free_slot(&mut self, account: &str) {
        self.shares.record_end(account);
        self.running = self.running.saturating_sub(1);
    }

    /// Assigns the account's next start tag and advances its finish tag by the request's cost.
    pub(super) fn assign_start_tag(&mut self, request: &SlotRequest<'_>) -> StartTag {
        let length = request.cost / request.weight;
        let start = self
            .finish_tags
            .get(request.account)
            .map_or(self.virtual_time, |finish| finish.max(self.virtual_time));
        self.set_finish_tag(request.account, start + length);
        self.arrivals += 1;
        StartTag { virtual_start: to_tag_units(start), arrival: self.arrivals }
    }

    /// Charges an account for cost beyond the estimate, or refunds it if the amount is negative.
    /// The amount is a cost divided by the account's weight.
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

    /// Whether so few slots are free that they are reserved for accounts within their share.
    fn is_scarce(&self) -> bool {
        self.slots >= MIN_SLOTS_FOR_RESERVE
            && self.slots - self.running.min(self.slots) <= RESERVED_SLOTS
    }

    /// Whether an account may have a free slot now.
    pub(super) fn can_start(&self, account: &str) -> bool {
        self.has_slot() && !(self.is_scarce() && self.shares.is_over_share(account, self.slots))
    }

    /// Occupies a slot for an account and advances virtual time to the request's start tag.
    pub(super) fn take_slot(&mut self, start_tag: StartTag, account: &str) {
        self.shares.record_start(account);
        self.running += 1;
        self.virtual_time = self.virtual_time.max(start_tag.virtual_start as f64 / TAG_SCALE);
    }

    /// Estimates the milliseconds until a request with a start tag gets a slot; without a tag,
    /// until one behind all waiting requests does. Each running request counts as half of the mean
    /// cost of the waiting ones.
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

    /// Estimates the run time of a request in milliseconds.
    pub(super) fn run_millis(&self, cost: f64) -> f64 {
        cost * self.millis_per_cost
    }

    /// Updates the estimate of time per token with a completed run.
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

    /// Removes a waiting request, and returns whether it was still waiting.
    pub(super) fn remove(&mut self, priority: Priority, start_tag: StartTag) -> bool {
        let Some(waiter) = self.classes[priority.index()].remove(&start_tag) else {
            return false;
        };
        self.waiting_cost -= waiter.cost;
        true
    }

    /// Grants free slots to waiting requests, highest class and smallest start tag first, and
    /// refuses those that can no longer end before their deadline.
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

    /// Removes the first waiting request whose account may have a slot.
    fn pop_startable(&mut self) -> Option<(StartTag, Waiter)> {
        if !self.is_scarce() {
            return self.pop();
        }
        for class in (0..Priority::COUNT).rev() {
            let waiting = self.classes[class].iter().take(MAX_EXAMINED_PER_CLASS);
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

    /// Removes the first waiting request of the highest class.
    fn pop(&mut self) -> Option<(StartTag, Waiter)> {
        let class = self.classes.iter_mut().rev().find(|class| !class.is_empty())?;
        let (start_tag, waiter) = class.pop_first()?;
        self.waiting_cost -= waiter.cost;
        Some((start_tag, waiter))
    }

    /// Refuses all waiting and later requests.
    pub(super) fn close(&mut self) {
        self.closed = true;
        while let Some((_, waiter)) = self.pop() {
            waiter.grant.send(Err(QueueError::Closed)).ok();
        }
    }
}

fn to_tag_units(virtual_time: f64) -> u64 {
    (virtual_time * TAG_SCALE).max(0.0) as u64
}
