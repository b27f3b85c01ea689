//! Counters and gauges, kept in the process and sent on in the statsd format.

mod event;
mod meter;
mod reason_counters;

pub use event::Event;
pub use meter::{Meter, MeterError};
pub use reason_counters::ReasonCounters;
