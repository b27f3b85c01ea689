use serde::{Deserialize, Serialize};

/// Faults of the platform that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Faults {
    /// Table and object store refuse all calls.
    pub down: bool,
    /// Delay of each call to the table and the object store, in milliseconds.
    pub slow_ms: u64,
    /// Share of table writes (0 to 1) that take effect but whose answer is lost.
    pub lost_answers: f64,
    /// Share of table writes (0 to 1) that neither take effect nor are answered.
    pub lost_writes: f64,
    /// Age of the list of instances that is served, in milliseconds.
    pub list_lag_ms: u64,
    /// The list of instances refuses all calls.
    pub list_down: bool,
}
