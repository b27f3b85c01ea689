use std::time::Duration;

use tokio::time::Instant;

/// Silence after which new requests go to other upstreams: an engine's events are a tenth of a
/// second apart.
const SILENT: Duration = Duration::from_millis(400);
/// Silence after which what may be repeated is moved. Callers leave after two seconds.
const STUCK: Duration = Duration::from_millis(800);
/// Pause after which an upstream that all callers have left is tried with one request.
const RETRIAL: Duration = Duration::from_secs(2);

/// For how long an upstream with requests has shown no sign of life, counted in the time of its
/// service's [`Pulse`](super::Pulse).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// Time at the last sign of life, or at the first request after it; nothing if no answer is
    /// due.
    since: Option<Duration>,
    /// When the last request there ended while it was silent.
    left: Option<Instant>,
}

impl Silence {
    /// Takes in that a request is sent there.
    pub fn sent(&mut self, alive: Duration) {
        if self.since.is_none() || self.left.take().is_some() {
            self.since = Some(alive);
        }
    }

    /// Takes in a sign of life.
    pub fn heard(&mut self, alive: Duration) {
        *self = Self { since: Some(alive), left: None };
    }

    /// Takes in that no request is there any longer.
    pub fn emptied(&mut self, alive: Duration, now: Instant) {
        if self.is_silent(alive) {
            self.left = Some(now);
        } else {
            *self = Self::default();
        }
    }

    /// Until when new requests had better go elsewhere, if it is silent.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Silence;
    /// # use tokio::time::Instant;
    /// let mut silence = Silence::default();
    /// let now = Instant::now();
    /// silence.sent(Duration::from_secs(1));
    /// assert_eq!(silence.rests_until(Duration::from_millis(1_300), now), None);
    /// assert!(silence.rests_until(Duration::from_millis(1_500), now).is_some());
    /// ```
    pub fn rests_until(&self, alive: Duration, now: Instant) -> Option<Instant> {
        let until = self.left.unwrap_or(now) + RETRIAL;
        (self.is_silent(alive) && until > now).then_some(until)
    }

    /// Whether what may be repeated had better be moved.
    pub fn is_stuck(&self, alive: Duration) -> bool {
        self.lasts(alive) > STUCK
    }

    fn is_silent(&self, alive: Duration) -> bool {
        self.lasts(alive) > SILENT
    }

    fn lasts(&self, alive: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| alive.saturating_sub(since))
    }
}
