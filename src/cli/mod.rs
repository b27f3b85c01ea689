//! Code shared by the binaries: command-line options, logging, signals and exit codes.

mod exit;
mod log_options;
mod node_args;
mod run_node;
mod signals;
mod stop;

pub use exit::{EXIT_INPUT, EXIT_REFUSED, EXIT_UNREACHABLE, exit_with, read_args};
pub use log_options::{LogFormat, LogOptions, log_options};
pub use node_args::read_node_file;
pub use run_node::{Node, run_node};
pub use signals::{Signal, Signals};
pub use stop::stop_signal;
