use std::str::FromStr;

use serde::Serialize;

/// Severity of a line, most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Something failed.
    Error,
    /// Something was refused, lost or given up.
    Warn,
    /// A decision, or a change in the process's view of the system.
    Info,
    /// An intermediate step of a decision.
    Debug,
}

impl FromStr for Level {
    type Err = String;

    /// Parses the name used in settings.
    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(format!("expected error, warn, info or debug, got {text:?}")),
        }
    }
}
