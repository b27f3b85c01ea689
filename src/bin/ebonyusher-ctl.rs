//! The operator's client of the administration API.

use std::process::ExitCode;

use ebonyusher::admin::ClientError;
use ebonyusher::cli::{EXIT_INPUT, EXIT_REFUSED, EXIT_UNREACHABLE, exit_with, read_args};
use ebonyusher::ctl::{CtlError, options, run};

const NAME: &str = "ebonyusher-ctl";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = match read_args(options()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let Err(err) = run(args).await else {
        return ExitCode::SUCCESS;
    };
    let code = match &err {
        CtlError::Input(_) | CtlError::Check(_) | CtlError::NoKey => EXIT_INPUT,
        CtlError::Client(ClientError::Refused(_)) | CtlError::Differs | CtlError::NotLogged => {
            EXIT_REFUSED
        }
        CtlError::Client(_) => EXIT_UNREACHABLE,
    };
    exit_with(NAME, &err, code)
}
