//! Simulation that compares policies for expert maps on traces of token counts.

mod full_plan;
mod generate;
mod options;
mod order_costs;
mod plot;
mod policy;
mod report;
mod run;
mod simulation;
mod trace;

pub use generate::{TraceKind, generate_trace};
pub use options::{ExpertOptions, TraceSource};
pub use order_costs::order_costs;
pub use report::{ExpertReport, PolicyReport};
pub use run::{ExpertError, run};
pub use trace::{Trace, TraceError, TraceHeader, TraceStep, parse_trace, read_trace};
