use serde::{Deserialize, Serialize};

/// Whether a request ran. Sent in the header `ebonyusher-outcome`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and this is its response.
    Ran,
    /// It did not run and will not.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the name used in headers.
    ///
    /// ```
    /// # use ebonyusher::outcome::Outcome;
    /// assert_eq!(Outcome::parse("not-run"), Some(Outcome::NotRun));
    /// assert_eq!(Outcome::parse("maybe"), None);
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == name)
    }
}
