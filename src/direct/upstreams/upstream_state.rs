use tokio::time::Instant;

use crate::capacity::{SentRequest, SlowStart};
use crate::direct::upstreams::Measured;
use crate::direct::{Candidate, Liveness, Upstream};

/// What the choice of an upstream is based on.
impl Upstream {
    /// Returns the state on which the choice of an upstream is based.
    pub fn candidate(&self, liveness: &Liveness, now: Instant) -> Candidate {
        let mut state = self.lock();
        let inactive_until = state.is_measured_in(liveness).then(|| {
            state.inactivity.avoid_until(liveness.active_time(), liveness.silence_limit(), now)
        });
        let avoid_until =
            state.backoff.until().filter(|until| *until > now).max(inactive_until.flatten());
        if avoid_until.is_some() {
            state.avoided = Some(now);
        }
        Candidate {
            own: state.in_flight,
            others: state.load.map(|report| report.others(now)),
            avoid_until,
        }
    }

    /// Returns the work, the speed and the slow start of the upstream.
    pub(in crate::direct) fn measured(&self, now: Instant) -> Measured {
        let state = self.lock();
        let mut slow_start = SlowStart::new(self.known_since);
        let returned = [state.avoided, state.backoff.until(), state.paused_until];
        for at in returned.into_iter().flatten() {
            slow_start.restart(at.min(now));
        }
        Measured {
            work: state.work.max(0.0) + state.failed_work.get(now),
            is_busy: state.in_flight > 0,
            speed: state.speed,
            slow_start,
            slots: state.load.map(|report| report.load.slots),
        }
    }

    /// Records that a request failed, whose work still counts for some time.
    pub(in crate::direct) fn record_error(&self, sent: &SentRequest, now: Instant) {
        self.lock().failed_work.add(sent.work, now);
    }

    /// Records whether the upstream is slow. Returns whether that is a change.
    pub(in crate::direct) fn set_slow(&self, is_slow: bool) -> bool {
        let mut state = self.lock();
        std::mem::replace(&mut state.is_slow, is_slow) != is_slow
    }

    /// Returns whether the log last reported the upstream as slow.
    pub(in crate::direct) fn is_slow(&self) -> bool {
        self.lock().is_slow
    }
}
