//! Load and experiments, and the demo.

pub mod client;
pub mod demo;
