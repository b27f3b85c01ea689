//! Callers that don't behave, against the real entry and the real sidecar as processes of their own:
//! what each holds stays within a node's memory, and it goes on answering.
//!
//! One test at a time, since each fills what a process may hold.

mod cluster;
mod memory;
mod program;
mod streams;
