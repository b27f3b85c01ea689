use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Max number of events that are kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 256;

/// A bounded least-recently-used cache of prompt prefixes that publishes its changes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    held: HashSet<u64>,
    order: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

/// A change of the cache. A gap in the sequence numbers shows a reader that it missed events.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// Prefix that was added.
    pub stored: Option<u64>,
    /// Prefix that was evicted.
    pub removed: Option<u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        let (held, order, events) = (HashSet::new(), VecDeque::new(), VecDeque::new());
        Self { capacity, held, order, events, seq: 0 }
    }

    /// Marks a prefix as used, adds it if absent, and returns whether it was cached.
    pub fn touch(&mut self, prefix: u64) -> bool {
        if self.held.contains(&prefix) {
            self.order.retain(|known| *known != prefix);
            self.order.push_back(prefix);
            return true;
        }
        self.held.insert(prefix);
        self.order.push_back(prefix);
        self.publish(Some(prefix), None);
        if self.order.len() > self.capacity {
            let oldest = self.order.pop_front();
            oldest.into_iter().for_each(|prefix| {
                self.held.remove(&prefix);
                self.publish(None, Some(prefix));
            });
        }
        false
    }

    fn publish(&mut self, stored: Option<u64>, removed: Option<u64>) {
        self.seq += 1;
        self.events.push_back(CacheEvent { seq: self.seq, stored, removed });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number, without the newest `delayed` ones and without
    /// those whose number is a multiple of `loss_interval` (0 loses none).
    pub fn events_after(&self, seq: u64, delayed: usize, loss_interval: u64) -> Vec<CacheEvent> {
        let visible = self.events.len().saturating_sub(delayed);
        let events = self.events.iter().take(visible).filter(|event| event.seq > seq);
        events
            .filter(|event| loss_interval == 0 || event.seq % loss_interval != 0)
            .cloned()
            .collect()
    }
}
