//! The sidecar: stands beside one upstream and lets every request to it through.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, long};
use ebonyusher::cli::{
    EXIT_INPUT, EXIT_UNREACHABLE, Logs, exit_with, logs_options, read_args, stop_signal,
};
use ebonyusher::platform::HttpPlatform;
use ebonyusher::settings::{SidecarFile, read_file};
use ebonyusher::sidecar::SidecarNode;

const NAME: &str = "ebonyusher-sidecar";

struct Args {
    settings: PathBuf,
    logs: Logs,
}

fn options() -> OptionParser<Args> {
    let settings =
        long("settings").short('s').help("The sidecar's own settings file").argument("FILE");
    let logs = logs_options();
    bpaf::construct!(Args { settings, logs })
        .to_options()
        .descr("Stands beside one upstream and lets every request to it through")
        .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match read_args(options()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    args.logs.start();
    let file: SidecarFile = match read_file(&args.settings) {
        Ok(file) => file,
        Err(err) => return exit_with(NAME, &err, EXIT_INPUT),
    };
    let platform = Arc::new(HttpPlatform::new(file.platform));
    match SidecarNode::start(file, platform).await {
        Ok(node) => {
            stop_signal().await;
            node.close().await;
            ExitCode::SUCCESS
        }
        Err(err) => exit_with(NAME, &err, EXIT_UNREACHABLE),
    }
}
