use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::Level;
use super::line::{Dropped, Line};
use crate::units::millis;

/// Maximum number of buffered bytes; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum number of lines per second; lines beyond it are dropped and counted.
const MAX_LINES_PER_S: u32 = 400;
const SECOND: Duration = Duration::from_secs(1);
/// Delay before each write, so that lines are written in batches.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time limit for writing the last lines on close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes log lines from a dedicated thread. Clones share one buffer.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    node: String,
    level: Level,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    buffered: Vec<u8>,
    writing: bool,
    dropped: u64,
    lines_this_second: u32,
    second_start: Instant,
}

impl EventLog {
    /// Starts a log that writes lines of this level or a more severe one.
    pub fn start<W: Write + Send + 'static>(node: &str, level: Level, out: W) -> Self {
        let state = State {
            buffered: Vec::new(),
            writing: false,
            dropped: 0,
            lines_this_second: 0,
            second_start: Instant::now(),
        };
        let shared = Arc::new(Shared {
            node: node.to_owned(),
            level,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        thread::spawn(move || writer.run(out));
        Self { shared }
    }

    /// Queues one event for writing. Its type has to serialize the name of the event as a field
    /// `event`. Never waits for the output.
    ///
    /// ```
    /// # use ebonyusher::event_log::{EventLog, Level};
    /// #[derive(serde::Serialize)]
    /// #[serde(tag = "event", rename_all = "kebab-case")]
    /// enum Event {
    ///     Started { version: &'static str },
    /// }
    /// let log = EventLog::start("entry-1", Level::Info, std::io::sink());
    /// log.write(Level::Info, &Event::Started { version: "1" });
    /// log.close();
    /// ```
    pub fn write<T: Serialize>(&self, level: Level, event: &T) {
        if level > self.shared.level {
            return;
        }
        let mut state = self.shared.lock();
        if !state.admit_line() {
            state.dropped += 1;
            return;
        }
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            self.shared.append(&mut state, Level::Warn, &Dropped { lines: dropped });
        }
        self.shared.append(&mut state, level, event);
        self.shared.changed.notify_all();
    }

    /// Waits a short time for the last lines to be written.
    pub fn close(self) {
        let state = self.shared.lock();
        let busy = |state: &mut State| state.writing || !state.buffered.is_empty();
        let waited = self.shared.changed.wait_timeout_while(state, CLOSE_TIMEOUT, busy);
        drop(waited);
    }
}

impl State {
    /// Counts a line, and returns whether the rate limit and the buffer have room for it.
    fn admit_line(&mut self) -> bool {
        let now = Instant::now();
        if now.saturating_duration_since(self.second_start) >= SECOND {
            self.second_start = now;
            self.lines_this_second = 0;
        }
        self.lines_this_second += 1;
        self.lines_this_second <= MAX_LINES_PER_S && self.buffered.len() < MAX_BUFFERED_BYTES
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends one line to the buffer.
    fn append<T: Serialize>(&self, state: &mut State, level: Level, event: &T) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at = millis(at);
        let line = Line { at, node: &self.node, level, event };
        let before = state.buffered.len();
        if serde_json::to_writer(&mut state.buffered, &line).is_err() {
            state.buffered.truncate(before);
            state.dropped += 1;
            return;
        }
        state.buffered.push(b'\n');
    }

    /// Writes the buffer to the output in batches, for as long as the process runs.
    fn run<W: Write>(&self, mut out: W) {
        let mut batch = Vec::new();
        loop {
            let state = self.lock();
            let empty = |state: &mut State| state.buffered.is_empty();
            let state = self.changed.wait_while(state, empty);
            drop(state);
            thread::sleep(BATCH_DELAY);
            {
                let mut state = self.lock();
                std::mem::swap(&mut state.buffered, &mut batch);
                state.writing = true;
            }
            // If the output fails, there is nowhere left to report it.
            out.write_all(&batch).and_then(|()| out.flush()).ok();
            batch.clear();
            self.lock().writing = false;
            self.changed.notify_all();
        }
    }
}
