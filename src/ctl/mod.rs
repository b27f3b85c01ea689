//! The operator's command-line client.

mod args;
mod error;
mod explain;
mod run;
mod show;

pub use args::{Args, Command, Target, options};
pub use error::CtlError;
pub use explain::explain;
pub use run::run;
