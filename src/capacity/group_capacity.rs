use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::capacity::{CapacityEstimator, FirstEvent, RequestSize, SLOW_FACTOR};
use crate::capacity::{SpeedBaseline, WorkEstimator};
use crate::direct::Engine;

/// Places in the queue of an engine, per slot.
const QUEUE_PER_SLOT: u32 = 2;
/// Maximum number of routes whose work is recorded.
const MAX_ROUTES: usize = 256;
/// Interval at which the speeds of the upstreams are logged.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// What an entry has learned of all upstreams of a group together.
#[derive(Debug, Default)]
pub struct GroupCapacity {
    /// Response time of the faster upstreams.
    pub baseline: SpeedBaseline,
    routes: Mutex<HashMap<String, WorkEstimator>>,
    engines: Mutex<Option<CapacityEstimator>>,
    last_review: Mutex<Option<Instant>>,
}

impl GroupCapacity {
    /// Returns the work of a request of a route.
    pub fn work(&self, route: &str, size: &RequestSize, engine: &Engine) -> f64 {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.get(route).map_or(1.0, |estimator| estimator.work(size, engine))
    }

    /// Records a complete stream of a route.
    pub fn record_stream(&self, route: &str, size: &RequestSize, events: u32, engine: &Engine) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(estimator) = routes.get_mut(route) {
            return estimator.record(size, events, engine);
        }
        if routes.len() < MAX_ROUTES {
            routes.entry(route.to_owned()).or_default().record(size, events, engine);
        }
    }

    /// Records a time to the first event. Those at slow upstreams are no evidence of the capacity of
    /// the others.
    pub fn record_first_event(
        &self,
        first: &FirstEvent,
        target: Duration,
        engine: &Engine,
        now: Instant,
    ) {
        if first.sent.slowness >= SLOW_FACTOR {
            return;
        }
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        let known = engines.take().filter(|known| known.slots() == f64::from(engine.slots.max(1)));
        let create = || CapacityEstimator::new(engine.slots, engine.slots * QUEUE_PER_SLOT);
        let known = engines.insert(known.unwrap_or_else(create));
        known.record(first.sent.load, first.time, target, now);
    }

    /// Returns the capacity of an engine in requests, `None` without recent samples.
    pub fn capacity(&self, now: Instant) -> Option<f64> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.as_ref().and_then(|known| known.capacity(now))
    }

    /// Returns whether the speeds of the upstreams are due to be logged.
    pub fn is_review_due(&self, now: Instant) -> bool {
        let mut last = self.last_review.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REVIEW_INTERVAL;
        if last.is_some_and(is_recent) {
            return false;
        }
        *last = Some(now);
        true
    }
}
