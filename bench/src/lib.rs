//! Load tests, experiments on expert maps, cost measurements and the demo.

pub mod args;
pub mod capacity;
pub mod choice;
pub mod client;
pub mod demo;
pub mod expert;
pub mod load;
pub mod slopes;
