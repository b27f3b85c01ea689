//! Load on a small fleet, with faults, checked answer by answer.

mod baseline;
mod fault;
mod fill;
mod forwarder;
mod hosted;
mod inject;
mod options;
mod report;
mod run;
pub(crate) mod settings;
mod site;
mod tally;
mod work;

pub use baseline::{Baseline, measure};
pub use fault::{Fault, FaultAt};
pub(crate) use hosted::Hosted;
pub use options::{LoadOptions, PolicyName};
pub use report::LoadReport;
pub use run::{LoadError, run};
