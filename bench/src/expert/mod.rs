//! Expert maps: policies compared on traces of token counts.

mod full;
mod make;
mod options;
mod order_costs;
mod plot;
mod policy;
mod report;
mod run;
mod sim;
mod trace;

pub use make::{TraceKind, make};
pub use options::{ExpertOptions, Source};
pub use order_costs::order_costs;
pub use report::{ExpertReport, PolicyReport};
pub use run::{ExpertError, run};
pub use trace::{Header, Step, Trace, TraceError, parse, read};
