use serde::{Deserialize, Serialize};

/// Faults of the platform that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Faults {
    /// Table and object store refuse everything.
    pub down: bool,
    /// Table and object store answer so much later, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect but whose answer is lost.
    pub lost_answers: f64,
    /// Share of writes that are lost on the way, with no answer.
    pub lost_writes: f64,
    /// The list of instances shows what was true so long ago, in milliseconds.
    pub list_lag_ms: u64,
    /// The list of instances refuses everything.
    pub list_down: bool,
}
