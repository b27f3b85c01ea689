use std::future::Future;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use serde::de::DeserializeOwned;

use super::{EXIT_INPUT, EXIT_UNREACHABLE, Signal, Signals, exit_with};
use crate::settings::{ParseError, read_file};

/// A long-running component that a process runs until a stop signal.
pub trait Node {
    /// The type of its settings file.
    type File: DeserializeOwned;

    /// Handles a reload of the settings file, with its new content or why it can't be read.
    fn reload(&self, read: &Result<Self::File, ParseError>);

    /// Shuts down gracefully.
    fn close(self) -> impl Future<Output = ()>;
}

/// Starts a node with its settings file and runs it until a stop signal. Returns the exit code of the
/// program.
pub async fn run_node<N: Node>(
    program: &str,
    path: &Path,
    start: impl AsyncFnOnce(&N::File) -> io::Result<N>,
) -> ExitCode {
    // The handlers are installed before anything else, because an unhandled signal kills the
    // process.
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(err) => return exit_with(program, &err, EXIT_UNREACHABLE),
    };
    let file = match read_file(path) {
        Ok(file) => file,
        Err(err) => return exit_with(program, &err, EXIT_INPUT),
    };
    let node = match start(&file).await {
        Ok(node) => node,
        Err(err) => return exit_with(program, &err, EXIT_UNREACHABLE),
    };
    while signals.next().await == Signal::Reload {
        node.reload(&read_file(path));
    }
    node.close().await;
    ExitCode::SUCCESS
}
