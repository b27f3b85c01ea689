use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Events kept for readers.
const MAX_EVENTS: usize = 256;

/// A bounded cache of prompt prefixes that publishes its changes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    held: HashSet<u64>,
    order: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

/// A change of the cache. Readers may miss some: the numbers then have a gap.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// Prefix that came in.
    pub stored: Option<u64>,
    /// Prefix that went out.
    pub removed: Option<u64>,
}

impl PrefixCache {
    /// An empty cache for so many prefixes.
    pub fn new(capacity: usize) -> Self {
        let (held, order, events) = (HashSet::new(), VecDeque::new(), VecDeque::new());
        Self { capacity, held, order, events, seq: 0 }
    }

    /// Uses a prefix, and tells whether it was cached.
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

    /// Events after a number, without the newest `late` ones and without every `gap`th.
    pub fn events_after(&self, seq: u64, late: usize, gap: u64) -> Vec<CacheEvent> {
        let shown = self.events.len().saturating_sub(late);
        let events = self.events.iter().take(shown).filter(|event| event.seq > seq);
        events.filter(|event| gap == 0 || event.seq % gap != 0).cloned().collect()
    }
}
