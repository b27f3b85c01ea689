use std::time::Duration;

use crate::direct::Engine;
use crate::direct::upstreams::retry_after_stall;

/// Share of the target gap between events that the mean gap may reach. The rest absorbs the
/// variance of the gaps.
const MEAN_GAP_SHARE: f64 = 0.8;
/// Capacity of an engine, in requests, below which admission is not limited by the gap target. Such
/// an engine is too slow for any stream to meet the target, and serving many requests late is
/// better than serving few late.
const MIN_CAPACITY: f64 = 3.0;
/// Share of the target time to the first byte that a request may spend waiting for a slot.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Assumed duration of a stream before the first one has completed.
pub(super) const DEFAULT_STREAM_DURATION: Duration = Duration::from_secs(2);
/// Upper bound of the retry-after time for requests refused under load.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Lower bound of that time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time without activity from any engine after which the engines count as stalled. A switch of
/// expert maps takes less.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);
/// Time without activity that is usual for engines with requests, which is several passes.
const USUAL_SILENCE: Duration = Duration::from_millis(250);
/// Minimum number of requests in flight for the engines to count as stalled.
const STALL_MIN_REQUESTS: u32 = 4;

/// State of an engine service as an entry knows it when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Sizes and speeds from the settings.
    pub engine: Engine,
    /// Mean number of requests per engine, running and waiting.
    pub mean: f64,
    /// Number of requests at the least loaded engine.
    pub min: f64,
    /// Current mean gap between events of a stream.
    pub gap: Option<Duration>,
    /// Mean duration of a stream.
    pub stream_duration: Option<Duration>,
    /// Requests of this entry in flight at all engines.
    pub own_requests: u32,
    /// Number of requests that an engine serves on time, if it is learned.
    pub learned_capacity: Option<f64>,
    /// Time since the last activity of any engine.
    pub inactive_for: Option<Duration>,
}

/// Latency targets of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time to the first byte.
    pub first_byte: Duration,
    /// Maximum gap between events of a stream.
    pub gap: Option<Duration>,
}

/// Decision whether a request is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is sent.
    Admit,
    /// The request would not be served in time, or would slow down those that run. The caller may
    /// retry after this time.
    Refuse(Duration),
}

impl EngineLoad {
    /// Returns how many requests an engine can run at its current speed with streams on time.
    pub fn capacity(&self, targets: &LatencyTargets) -> f64 {
        let by_gap = self.capacity_by_gap(targets);
        self.learned_capacity.map_or(by_gap, |learned| learned.min(by_gap))
    }

    fn capacity_by_gap(&self, targets: &LatencyTargets) -> f64 {
        let slots = f64::from(self.engine.slots);
        let (Some(gap), Some(target)) = (self.gap, targets.gap) else { return slots };
        let step = self.engine.step.as_secs_f64();
        let each = self.engine.per_request.as_secs_f64();
        let running = self.mean.min(slots);
        // The ratio of the measured gap to the step time that the settings predict covers uneven
        // and slow ranks and prompt processing.
        let slowness = gap.as_secs_f64() / (step + each * running);
        let capacity = (target.as_secs_f64() * MEAN_GAP_SHARE / slowness - step) / each;
        if capacity < MIN_CAPACITY { slots } else { capacity.min(slots) }
    }

    /// Returns for how long no engine has shown activity, if that is longer than usual. A group that
    /// switches expert maps, or is about to stall, serves the next request no sooner than that.
    pub fn silence(&self) -> Option<Duration> {
        let is_busy = self.own_requests >= STALL_MIN_REQUESTS;
        self.inactive_for.filter(|inactive_for| is_busy && *inactive_for > USUAL_SILENCE)
    }

    /// Returns whether the engines are stalled, for example because their group has lost a rank.
    pub fn is_stalled(&self) -> bool {
        self.own_requests >= STALL_MIN_REQUESTS
            && self.inactive_for.is_some_and(|inactive_for| inactive_for > STALL_THRESHOLD)
    }

    /// Decides whether to admit a request, by the expected wait at the least loaded engine.
    ///
    /// Under overload a standing queue makes every stream late, so the queue is kept short and the
    /// other requests are refused at once. After the loss of a rank, a request that arrives while
    /// the group is stalled would wait until its caller gives up, so it is refused as well.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{Admission, Engine, EngineLoad, LatencyTargets};
    /// let engine = Engine {
    ///     slots: 12,
    ///     step: Duration::from_millis(6),
    ///     per_request: Duration::from_micros(350),
    ///     stride: 5,
    ///     read_per_s: 61_200.0,
    ///     experts: None,
    /// };
    /// let idle = EngineLoad {
    ///     engine,
    ///     mean: 1.0,
    ///     min: 0.0,
    ///     gap: None,
    ///     stream_duration: None,
    ///     own_requests: 4,
    ///     learned_capacity: None,
    ///     inactive_for: None,
    /// };
    /// let full = EngineLoad { mean: 16.0, min: 15.0, ..idle };
    /// let targets = LatencyTargets { first_byte: Duration::from_millis(400), gap: None };
    /// assert_eq!(idle.decide(&targets), Admission::Admit);
    /// assert!(matches!(full.decide(&targets), Admission::Refuse(_)));
    /// let stalled = EngineLoad { inactive_for: Some(Duration::from_secs(1)), ..idle };
    /// assert!(matches!(stalled.decide(&targets), Admission::Refuse(_)));
    /// ```
    pub fn decide(&self, targets: &LatencyTargets) -> Admission {
        if self.is_stalled() {
            return Admission::Refuse(retry_after_stall(self.inactive_for.unwrap_or_default()));
        }
        let capacity = self.capacity(targets);
        let ahead = self.ahead(capacity);
        let wait = self.wait(ahead, capacity);
        if wait <= targets.first_byte.as_secs_f64() * MAX_WAIT_SHARE {
            return Admission::Admit;
        }
        Admission::Refuse(self.retry_after(ahead, capacity))
    }

    /// Returns after which time a refused request with so many requests ahead may return.
    pub(crate) fn retry_after(&self, ahead: f64, capacity: f64) -> Duration {
        let wait = Duration::from_secs_f64(self.wait(ahead.max(0.0), capacity));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the mean time in which one slot of an engine comes free.
    pub(crate) fn slot_time(&self, capacity: f64) -> Duration {
        Duration::from_secs_f64(self.wait(1.0, capacity))
    }

    /// Returns for how long a request may wait for a slot.
    pub(crate) fn max_wait(targets: &LatencyTargets) -> Duration {
        targets.first_byte.mul_f64(MAX_WAIT_SHARE)
    }

    /// Returns the time, in seconds, until as many slots of an engine have come free.
    fn wait(&self, ahead: f64, capacity: f64) -> f64 {
        let stream_duration = self.stream_duration.unwrap_or(DEFAULT_STREAM_DURATION).as_secs_f64();
        ahead * stream_duration / capacity
    }

    /// Returns the expected wait for a slot at the least loaded engine.
    pub fn expected_wait(&self, targets: &LatencyTargets) -> Duration {
        let capacity = self.capacity(targets);
        let wait = self.wait(self.ahead(capacity), capacity);
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns how many requests, with the next one, exceed the capacity at the least loaded engine.
    fn ahead(&self, capacity: f64) -> f64 {
        (self.min + 1.0 - capacity).max(0.0)
    }
}
