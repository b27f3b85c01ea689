//! Load on a small cluster with injected faults. Every answer is checked.

mod baseline;
mod fault;
mod fault_injector;
mod fill_report;
mod forwarder;
mod isolated_node;
mod load_cluster;
mod load_request;
mod options;
mod report;
mod run;
pub(crate) mod settings;
mod tally;

pub use baseline::{Baseline, measure_baseline};
pub use fault::{Fault, FaultAt};
pub(crate) use isolated_node::IsolatedNode;
pub use options::{LoadOptions, PolicyName};
pub use report::LoadReport;
pub use run::{LoadError, run};
