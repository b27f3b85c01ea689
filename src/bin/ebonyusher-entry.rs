//! The entry: accepts requests from callers and operators.

use std::process::ExitCode;
use std::sync::Arc;

use ebonyusher::cli::{EXIT_UNREACHABLE, exit_with, read_node_file, stop_signal};
use ebonyusher::entry::{EntryNode, PowerOfTwoChoices};
use ebonyusher::platform::HttpPlatform;
use ebonyusher::settings::EntryFile;

const NAME: &str = "ebonyusher-entry";
const DESCRIPTION: &str = "Accepts requests from callers and operators";

#[tokio::main]
async fn main() -> ExitCode {
    let file: EntryFile = match read_node_file(NAME, DESCRIPTION) {
        Ok(file) => file,
        Err(code) => return code,
    };
    let platform = Arc::new(HttpPlatform::new(file.platform));
    match EntryNode::start(file, platform, PowerOfTwoChoices).await {
        Ok(node) => {
            stop_signal().await;
            node.close().await;
            ExitCode::SUCCESS
        }
        Err(err) => exit_with(NAME, &err, EXIT_UNREACHABLE),
    }
}
