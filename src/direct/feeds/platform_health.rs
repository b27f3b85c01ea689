use std::time::{Duration, Instant};

use crate::direct::event::Event;
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// First backoff after a failed call, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// Time after an outage of the platform within which the upstreams and evacuations that its store has
/// lost are written again.
const RELIST_GRACE: Duration = Duration::from_millis(2_300);
/// Part of the time in which an entry must know all that is new that remains when that grace ends.
const GRACE_RESERVE: Duration = Duration::from_millis(200);

/// Tracks whether the platform responds to the calls on one topic.
#[derive(Debug)]
pub(in crate::direct) struct PlatformHealth {
    topic: &'static str,
    log: EventLog,
    down_since: Option<Instant>,
    recovered_at: Option<Instant>,
    /// When the last call was sent.
    called_at: Option<Instant>,
    /// When the last call that failed was sent.
    failed_call: Option<Instant>,
    /// When the last call was answered.
    answered_at: Option<Instant>,
    /// Earliest time at which the last outage may have ended.
    ended_after: Option<Instant>,
    backoff: Duration,
}

impl PlatformHealth {
    pub(in crate::direct) const fn new(topic: &'static str, log: EventLog) -> Self {
        Self {
            topic,
            log,
            down_since: None,
            recovered_at: None,
            called_at: None,
            failed_call: None,
            answered_at: None,
            ended_after: None,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Records that a call got a response.
    pub(in crate::direct) fn record_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        if let Some(since) = self.down_since.take() {
            self.record_end();
            self.log_change(Level::Info, true, "", since.elapsed());
        }
        self.answered_at = Some(Instant::now());
    }

    /// Records that an outage is over. It may have ended at once after the last call that failed or,
    /// if none did, after the last answer from before.
    fn record_end(&mut self) {
        self.recovered_at = Some(Instant::now());
        self.ended_after = self.failed_call.max(self.answered_at);
    }

    /// Records a failed call. Returns the backoff until the next one.
    pub(in crate::direct) fn record_failure(&mut self, detail: &str) -> Duration {
        if self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            self.log_change(Level::Warn, false, detail, Duration::ZERO);
        }
        self.failed_call = self.called_at;
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        backoff.mul_f64(rand::random_range(0.8..1.2))
    }

    /// Begins a call. Returns how long it may wait for changes. The first one after an outage does not
    /// wait, since its response tells whether the store came back from an older copy.
    pub(in crate::direct) fn begin_call(&mut self, max: Duration) -> Duration {
        self.called_at = Some(Instant::now());
        if self.down_since.is_some() { Duration::ZERO } else { max }
    }

    /// Records that the platform's store came back from an older copy, which counts as the end of an
    /// outage. The answer that shows it is not recorded as a success before.
    pub(in crate::direct) fn record_rewind(&mut self, era: u64) {
        self.record_end();
        self.log.write(Level::Warn, &Event::StoreRewound { topic: self.topic, era });
    }

    /// Returns for how long what the store has lost is kept, soon after an outage. It must be given up
    /// in time by an entry that has to know all that is new within `detection` after the outage.
    pub(in crate::direct) fn relist_grace(&self, detection: Duration) -> Option<Duration> {
        let left = RELIST_GRACE.checked_sub(self.recovered_at?.elapsed())?;
        let bound = detection.checked_sub(GRACE_RESERVE);
        let Some((bound, ended_after)) = bound.zip(self.ended_after) else {
            return Some(left);
        };
        Some(left.min(bound.checked_sub(ended_after.elapsed())?))
    }

    fn log_change(&self, level: Level, up: bool, detail: &str, down: Duration) {
        let event = Event::Platform { topic: self.topic, up, detail, down_ms: millis(down) };
        self.log.write(level, &event);
    }
}
