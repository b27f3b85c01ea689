//! Everything in one process, for a newcomer.

mod report;
mod run;
mod stage;

pub use report::{ChatReport, DemoReport, LookupReport, OrderReport, SettingsReport};
pub use run::{DemoError, apply, run_once};
pub use stage::{Stage, TEAM};
