use std::time::{Duration, Instant};

use crate::direct::event::Event;
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// First backoff after a failed call, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Tracks whether the platform responds to the calls on one topic.
#[derive(Debug)]
pub(in crate::direct) struct PlatformHealth {
    topic: &'static str,
    log: EventLog,
    down_since: Option<Instant>,
    recovered_at: Option<Instant>,
    backoff: Duration,
}

impl PlatformHealth {
    pub(in crate::direct) const fn new(topic: &'static str, log: EventLog) -> Self {
        Self { topic, log, down_since: None, recovered_at: None, backoff: INITIAL_BACKOFF }
    }

    /// Records that a call got a response.
    pub(in crate::direct) fn record_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        if let Some(since) = self.down_since.take() {
            self.recovered_at = Some(Instant::now());
            self.log_change(Level::Info, true, "", since.elapsed());
        }
    }

    /// Records a failed call. Returns the backoff until the next one.
    pub(in crate::direct) fn record_failure(&mut self, detail: &str) -> Duration {
        if self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            self.log_change(Level::Warn, false, detail, Duration::ZERO);
        }
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        backoff.mul_f64(rand::random_range(0.8..1.2))
    }

    /// Returns how long the next call may wait for changes. The first one after an outage does not
    /// wait, since its response tells whether the store came back from an older copy.
    pub(in crate::direct) fn next_wait(&self, max: Duration) -> Duration {
        if self.down_since.is_some() { Duration::ZERO } else { max }
    }

    /// Records that the platform's store came back from an older copy, which counts as the end of an
    /// outage.
    pub(in crate::direct) fn record_rewind(&mut self, era: u64) {
        self.recovered_at = Some(Instant::now());
        self.log.write(Level::Warn, &Event::StoreRewound { topic: self.topic, era });
    }

    /// Returns the time since the end of the last outage of the platform, if there was one.
    pub(in crate::direct) fn since_recovery(&self) -> Option<Duration> {
        self.recovered_at.map(|at| at.elapsed())
    }

    fn log_change(&self, level: Level, up: bool, detail: &str, down: Duration) {
        let event = Event::Platform { topic: self.topic, up, detail, down_ms: millis(down) };
        self.log.write(level, &event);
    }
}
