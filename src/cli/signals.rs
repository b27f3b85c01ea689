use std::io;

use tokio::signal::unix::{Signal as Stream, SignalKind, signal};

/// A signal that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Stop,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// The signal handlers of a process.
#[derive(Debug)]
pub struct Signals {
    term: Stream,
    int: Stream,
    hup: Stream,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If a handler can't be installed.
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
