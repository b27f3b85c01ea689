use std::time::Duration;

use super::Engine;

/// Part of the longest pause on time that the mean pause may take, since pauses vary.
const MEAN_GAP_SHARE: f64 = 0.8;
/// Fewest requests at an engine for which it pays to keep the others out: below it the engine is
/// too slow for any stream to be on time, and serving many late is better than few late.
const MIN_CAPACITY: f64 = 3.0;
/// Part of the time to the first byte on time that a request may wait for a place.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Length of a stream before any was seen.
const DEFAULT_STREAM_DURATION: Duration = Duration::from_secs(2);
/// Most of the time in which refused callers are asked back.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Silence of all engines after which they are taken to stand: a switch of maps is over sooner.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);
/// Fewest requests in flight whose silence says so.
const STALL_MIN_REQUESTS: u32 = 4;
/// When callers may come back to engines that stand: a group that has lost a rank takes about two
/// seconds to start and form again.
const STALL_RETRY_AFTER: Duration = Duration::from_millis(1_700);

/// What an entry knows of an engine service when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Sizes and speeds by the settings.
    pub engine: Engine,
    /// Mean requests at an engine, running and waiting.
    pub mean: f64,
    /// Requests at the least loaded engine.
    pub min: f64,
    /// Mean pause between events at present.
    pub gap: Option<Duration>,
    /// Mean length of a stream.
    pub stream_duration: Option<Duration>,
    /// This entry's requests at all engines.
    pub own_requests: u32,
    /// Time without a sign of life of any engine.
    pub inactive_for: Option<Duration>,
}

/// When answers of a route are on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time to the first byte.
    pub first_byte: Duration,
    /// Longest pause between events.
    pub gap: Option<Duration>,
}

/// Whether a request is sent on, or when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent on.
    Admit,
    /// It would not be served in a useful time, or would slow down those that run.
    Refuse(Duration),
}

impl EngineLoad {
    /// Requests at an engine up to which streams come on time, at the present speed.
    pub fn capacity(&self, targets: &LatencyTargets) -> f64 {
        let slots = f64::from(self.engine.slots);
        let (Some(gap), Some(target)) = (self.gap, targets.gap) else { return slots };
        let step = self.engine.step.as_secs_f64();
        let each = self.engine.per_request.as_secs_f64();
        let running = self.mean.min(slots);
        // The speed against the settings covers uneven ranks, slow ones, and prompts being read.
        let slowness = gap.as_secs_f64() / (step + each * running);
        let capacity = (target.as_secs_f64() * MEAN_GAP_SHARE / slowness - step) / each;
        if capacity < MIN_CAPACITY { slots } else { capacity.min(slots) }
    }

    /// Whether the engines stand, as a group does that has lost a rank.
    pub fn is_stalled(&self) -> bool {
        self.own_requests >= STALL_MIN_REQUESTS
            && self.inactive_for.is_some_and(|inactive_for| inactive_for > STALL_THRESHOLD)
    }

    /// Decides by the wait that is to be expected at the least loaded engine. Answers overload:
    /// with a queue that stands, every stream is late, so it is kept short and the rest refused at
    /// once. Answers the loss of a rank: whoever comes while the group stands would wait until its
    /// caller leaves.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{Engine, EngineLoad, LatencyTargets, Admission};
    /// let engine = Engine {
    ///     slots: 12,
    ///     step: Duration::from_millis(6),
    ///     per_request: Duration::from_micros(350),
    ///     stride: 5,
    ///     read_per_s: 61_200.0,
    ///     experts: None,
    /// };
    /// let idle =
    ///     EngineLoad { engine, mean: 1.0, min: 0.0, gap: None, stream_duration: None, own_requests: 4, inactive_for: None };
    /// let full = EngineLoad { mean: 16.0, min: 15.0, ..idle };
    /// let targets = LatencyTargets { first_byte: Duration::from_millis(400), gap: None };
    /// assert_eq!(idle.decide(&targets), Admission::Admit);
    /// assert!(matches!(full.decide(&targets), Admission::Refuse(_)));
    /// let stalled = EngineLoad { inactive_for: Some(Duration::from_secs(1)), ..idle };
    /// assert!(matches!(stalled.decide(&targets), Admission::Refuse(_)));
    /// ```
    pub fn decide(&self, targets: &LatencyTargets) -> Admission {
        if self.is_stalled() {
            return Admission::Refuse(STALL_RETRY_AFTER);
        }
        let capacity = self.capacity(targets);
        let stream_duration = self.stream_duration.unwrap_or(DEFAULT_STREAM_DURATION).as_secs_f64();
        let ahead = (self.min + 1.0 - capacity).max(0.0);
        let wait = ahead * stream_duration / capacity;
        if wait <= targets.first_byte.as_secs_f64() * MAX_WAIT_SHARE {
            return Admission::Admit;
        }
        let retry_after = Duration::from_secs_f64(wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Admission::Refuse(retry_after)
    }
}
