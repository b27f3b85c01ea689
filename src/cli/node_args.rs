use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, long};
use serde::de::DeserializeOwned;

use super::{EXIT_INPUT, LogOptions, exit_with, log_options, read_args};
use crate::settings::read_file;

/// Command line of a process with a settings file of its own.
#[derive(Clone, Debug)]
struct NodeArgs {
    settings: PathBuf,
    logs: LogOptions,
}

fn node_options(description: &'static str) -> OptionParser<NodeArgs> {
    let settings = long("settings").short('s').help("The process's own settings file");
    let settings = settings.argument("FILE");
    let logs = log_options();
    bpaf::construct!(NodeArgs { settings, logs })
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Reads the command line and the settings file that it names, and starts the log.
///
/// # Errors
/// The exit code that the program ends with at once.
pub fn read_node_file<T: DeserializeOwned>(
    program: &str,
    description: &'static str,
) -> Result<T, ExitCode> {
    let args = read_args(node_options(description))?;
    args.logs.start();
    read_file(&args.settings).map_err(|err| exit_with(program, &err, EXIT_INPUT))
}
