//! The sidecar: runs beside one upstream; all requests to the upstream pass through it.

use std::process::ExitCode;
use std::sync::Arc;

use ebonyusher::cli::{EXIT_UNREACHABLE, exit_with, read_node_file, stop_signal};
use ebonyusher::platform::HttpPlatform;
use ebonyusher::settings::SidecarFile;
use ebonyusher::sidecar::SidecarNode;

const NAME: &str = "ebonyusher-sidecar";
const DESCRIPTION: &str = "Runs beside one upstream; all requests to the upstream pass through it";

#[tokio::main]
async fn main() -> ExitCode {
    let file: SidecarFile = match read_node_file(NAME, DESCRIPTION) {
        Ok(file) => file,
        Err(code) => return code,
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
