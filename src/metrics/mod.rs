//! Counters, kept in the process and sent to a statsd server together with gauges.

mod event;
mod meter;
mod reason_counters;

pub use event::Event;
pub use meter::{Meter, MeterError};
pub use reason_counters::ReasonCounters;
