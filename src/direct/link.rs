use std::time::{Duration, Instant};

use super::event::Event;
use super::ledger::millis;
use crate::event_log::{EventLog, Level};

/// First pause after a call without an answer, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Whether the platform answers the calls on one topic.
#[derive(Debug)]
pub(super) struct Link {
    topic: &'static str,
    log: EventLog,
    down_since: Option<Instant>,
    returned: Option<Instant>,
    pause: Duration,
}

impl Link {
    pub(super) const fn new(topic: &'static str, log: EventLog) -> Self {
        Self { topic, log, down_since: None, returned: None, pause: FIRST_PAUSE }
    }

    /// Takes in an answer.
    pub(super) fn up(&mut self) {
        self.pause = FIRST_PAUSE;
        if let Some(since) = self.down_since.take() {
            self.returned = Some(Instant::now());
            self.tell(Level::Info, true, "", since.elapsed());
        }
    }

    /// Takes in a call without an answer, and gives the pause until the next one.
    pub(super) fn down(&mut self, detail: &str) -> Duration {
        if self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            self.tell(Level::Warn, false, detail, Duration::ZERO);
        }
        let pause = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        pause.mul_f64(rand::random_range(0.8..1.2))
    }

    /// Time since the platform answered again after it had not.
    pub(super) fn since_return(&self) -> Option<Duration> {
        self.returned.map(|at| at.elapsed())
    }

    fn tell(&self, level: Level, up: bool, detail: &str, down: Duration) {
        let event = Event::Platform { topic: self.topic, up, detail, down_ms: millis(down) };
        self.log.write(level, &event);
    }
}
