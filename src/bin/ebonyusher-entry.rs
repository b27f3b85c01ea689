//! The entry: accepts requests from callers and operators.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, long};
use ebonyusher::cli::{
    EXIT_INPUT, EXIT_UNREACHABLE, Logs, exit_with, logs_options, read_args, stop_signal,
};
use ebonyusher::entry::{EntryNode, Weighed};
use ebonyusher::platform::HttpPlatform;
use ebonyusher::settings::{EntryFile, read_file};

const NAME: &str = "ebonyusher-entry";

struct Args {
    settings: PathBuf,
    logs: Logs,
}

fn options() -> OptionParser<Args> {
    let settings =
        long("settings").short('s').help("The entry's own settings file").argument("FILE");
    let logs = logs_options();
    bpaf::construct!(Args { settings, logs })
        .to_options()
        .descr("Accepts requests from callers and operators")
        .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match read_args(options()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    args.logs.start();
    let file: EntryFile = match read_file(&args.settings) {
        Ok(file) => file,
        Err(err) => return exit_with(NAME, &err, EXIT_INPUT),
    };
    let platform = Arc::new(HttpPlatform::new(file.platform));
    match EntryNode::start(file, platform, Weighed).await {
        Ok(node) => {
            stop_signal().await;
            node.close().await;
            ExitCode::SUCCESS
        }
        Err(err) => exit_with(NAME, &err, EXIT_UNREACHABLE),
    }
}
