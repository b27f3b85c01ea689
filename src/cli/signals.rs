use std::io;

use tokio::signal::unix::{Signal as Stream, SignalKind, signal};

/// What an operator tells a process by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// End gracefully (SIGTERM, SIGINT).
    Stop,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// The signals that a process listens to.
#[derive(Debug)]
pub struct Signals {
    term: Stream,
    int: Stream,
    hup: Stream,
}

impl Signals {
    /// Listens from now on.
    ///
    /// # Errors
    /// If the signals can't be listened to.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.term.recv() => Signal::Stop,
            _ = self.int.recv() => Signal::Stop,
            _ = self.hup.recv() => Signal::Reload,
        }
    }
}
