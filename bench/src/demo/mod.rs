//! Demo that runs the whole system in one process.

mod demo_cluster;
mod report;
mod run;

pub use demo_cluster::{DemoCluster, TEAM};
pub use report::{ChatReport, DemoReport, LookupReport, OrderReport, SettingsReport};
pub use run::{DemoError, apply_example_settings, run_once};
