use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::Level;
use super::line::{Dropped, Line};

/// Bytes that may wait for standard output; what comes beyond is dropped and counted.
const MAX_WAITING_BYTES: usize = 64 << 10;
/// Lines that are taken in one second; what comes beyond is dropped and counted.
const MAX_LINES_PER_S: u32 = 400;
const SECOND: Duration = Duration::from_secs(1);
/// Pause in which lines gather, so that many go out in one write.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the last lines to go out.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Writes log lines from a thread of its own. Clones share one buffer.
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
    waiting: Vec<u8>,
    writing: bool,
    dropped: u64,
    lines: u32,
    second: Instant,
}

impl EventLog {
    /// Starts a log of the lines at a level or above.
    pub fn start<W: Write + Send + 'static>(node: &str, level: Level, out: W) -> Self {
        let state = State {
            waiting: Vec::new(),
            writing: false,
            dropped: 0,
            lines: 0,
            second: Instant::now(),
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

    /// Writes one event; its type names it in a field `event`. Never waits for the output.
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
        if !state.has_room() {
            state.dropped += 1;
            return;
        }
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            self.shared.put(&mut state, Level::Warn, &Dropped { lines: dropped });
        }
        self.shared.put(&mut state, level, event);
        self.shared.changed.notify_all();
    }

    /// Waits a short time for the last lines to go out.
    pub fn close(self) {
        let state = self.shared.lock();
        let busy = |state: &mut State| state.writing || !state.waiting.is_empty();
        let waited = self.shared.changed.wait_timeout_while(state, CLOSE_TIME, busy);
        drop(waited);
    }
}

impl State {
    fn has_room(&mut self) -> bool {
        let now = Instant::now();
        if now.saturating_duration_since(self.second) >= SECOND {
            self.second = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_S && self.waiting.len() < MAX_WAITING_BYTES
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put<T: Serialize>(&self, state: &mut State, level: Level, event: &T) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        let line = Line { at, node: &self.node, level, event };
        let before = state.waiting.len();
        if serde_json::to_writer(&mut state.waiting, &line).is_err() {
            state.waiting.truncate(before);
            state.dropped += 1;
            return;
        }
        state.waiting.push(b'\n');
    }

    fn run<W: Write>(&self, mut out: W) {
        let mut batch = Vec::new();
        loop {
            let state = self.lock();
            let empty = |state: &mut State| state.waiting.is_empty();
            let state = self.changed.wait_while(state, empty);
            drop(state);
            thread::sleep(GATHER_TIME);
            {
                let mut state = self.lock();
                std::mem::swap(&mut state.waiting, &mut batch);
                state.writing = true;
            }
            // Without a usable output there is nowhere left to say so.
            out.write_all(&batch).and_then(|()| out.flush()).ok();
            batch.clear();
            self.lock().writing = false;
            self.changed.notify_all();
        }
    }
}
