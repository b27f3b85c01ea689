use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two changes.
const WINDOW: Duration = Duration::from_millis(250);
/// Minimum number of samples for a change.
const MIN_SAMPLES: u32 = 4;
/// Share of late first events above which the capacity is lowered.
const MAX_LATE_SHARE: f64 = 0.25;
/// Increase of the capacity, in requests.
const INCREASE: f64 = 0.5;
/// Factor by which the capacity is lowered.
const DECREASE: f64 = 0.85;
/// Share of the capacity below which a late first event has other causes than the load.
const MIN_LOAD_SHARE: f64 = 0.5;
/// Requests above the capacity up to which a late first event counts: admission lets some wait.
const LOAD_MARGIN: f64 = 1.0;
/// Time without samples after which the capacity is that of the settings.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Estimates how many requests each engine of a group serves on time, from the times to the first
/// event at the load when the requests were sent.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityEstimator {
    slots: f64,
    max: f64,
    capacity: f64,
    window: Window,
    lowered: Option<Instant>,
    last: Option<Instant>,
}

/// Samples since the last change.
#[derive(Clone, Debug, Default, PartialEq)]
struct Window {
    since: Option<Instant>,
    /// Samples at a load from which something follows for the capacity.
    samples: u32,
    late: u32,
    /// Highest load at which a first event was on time.
    max_load: f64,
}

impl CapacityEstimator {
    /// Creates an estimator for engines with so many slots and places in the queue.
    pub fn new(slots: u32, queue: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let max = slots + f64::from(queue);
        Self { slots, max, capacity: slots, window: Window::default(), lowered: None, last: None }
    }

    /// Returns the number of slots.
    pub const fn slots(&self) -> f64 {
        self.slots
    }

    /// Records a first event. `load` is the number of requests at the engine when the request was
    /// sent, itself included.
    pub fn record(&mut self, load: f64, time: Duration, target: Duration, now: Instant) {
        // At a low load, late first events have other causes, and those on time prove nothing.
        let is_evidence = load.is_finite() && load > self.capacity * MIN_LOAD_SHARE;
        if !is_evidence {
            return;
        }
        if self.is_stale(now) {
            self.capacity = self.slots;
            self.window = Window::default();
        }
        self.last = Some(now);
        self.window.since.get_or_insert(now);
        let is_late = time > target;
        if !is_late {
            self.window.record_on_time(load);
        } else if load <= self.capacity + LOAD_MARGIN && self.is_sent_since_lowered(time, now) {
            self.window.record_late();
        }
        let since = self.window.since.unwrap_or(now);
        if self.window.samples < MIN_SAMPLES || now.saturating_duration_since(since) < WINDOW {
            return;
        }
        self.change(now);
        self.window = Window { since: Some(now), ..Window::default() };
    }

    /// Returns the capacity of an engine in requests, `None` without recent samples.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::capacity::CapacityEstimator;
    /// # use tokio::time::Instant;
    /// let mut estimator = CapacityEstimator::new(10, 20);
    /// let (now, target) = (Instant::now(), Duration::from_millis(400));
    /// assert_eq!(estimator.capacity(now), None);
    /// for ms in [0, 100, 200, 300] {
    ///     let now = now + Duration::from_millis(ms);
    ///     estimator.record(9.0, Duration::from_millis(700), target, now);
    /// }
    /// assert_eq!(estimator.capacity(now), Some(8.5));
    /// ```
    pub fn capacity(&self, now: Instant) -> Option<f64> {
        (self.last.is_some() && !self.is_stale(now)).then_some(self.capacity)
    }

    fn is_stale(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now.saturating_duration_since(last) >= MAX_AGE)
    }

    /// Returns whether a request was sent after the capacity was last lowered: an earlier one is no
    /// reason to lower it again.
    fn is_sent_since_lowered(&self, time: Duration, now: Instant) -> bool {
        self.lowered.is_none_or(|lowered| now.saturating_duration_since(lowered) >= time)
    }

    fn change(&mut self, now: Instant) {
        let late_share = f64::from(self.window.late) / f64::from(self.window.samples);
        if late_share > MAX_LATE_SHARE {
            self.capacity *= DECREASE;
            self.lowered = Some(now);
        } else if self.window.late == 0 && self.window.max_load > self.capacity - 1.0 {
            // Late first events arrive after those on time, so one step above the latter is enough.
            let next = (self.capacity + INCREASE).min(self.window.max_load + 1.0);
            self.capacity = next.max(self.capacity);
        }
        self.capacity = self.capacity.clamp((self.slots * 0.5).max(1.0), self.max);
    }
}

impl Window {
    fn record_on_time(&mut self, load: f64) {
        self.samples += 1;
        self.max_load = self.max_load.max(load);
    }

    fn record_late(&mut self) {
        self.samples += 1;
        self.late += 1;
    }
}
