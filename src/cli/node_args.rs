use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, long};
use serde::de::DeserializeOwned;

use super::{EXIT_INPUT, LogOptions, exit_with, log_options, read_args};
use crate::settings::read_file;

/// Command line of a process that has its own settings file.
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

/// Parses the command line, starts logging and reads the settings file.
///
/// # Errors
/// The exit code with which the program should end at once.
pub fn read_node_file<T: DeserializeOwned>(
    program: &str,
    description: &'static str,
) -> Result<T, ExitCode> {
    let args = read_args(node_options(description))?;
    args.logs.start();
    read_file(&args.settings).map_err(|err| exit_with(program, &err, EXIT_INPUT))
}
