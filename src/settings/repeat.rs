use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: may run any number of times.
    Free,
    /// The upstream itself handles idempotency keys: may be sent again with the same key.
    Keyed,
    /// Runs at most once for each idempotency key.
    #[default]
    Never,
}

impl Repeat {
    /// Returns whether the request may run again after an attempt that may have run.
    pub const fn may_rerun(self) -> bool {
        matches!(self, Self::Free | Self::Keyed)
    }

    /// Returns the value used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Keyed => "keyed",
            Self::Never => "never",
        }
    }

    /// Parses the value used in headers.
    ///
    /// ```
    /// # use ebonyusher::settings::Repeat;
    /// assert_eq!(Repeat::parse("never"), Some(Repeat::Never));
    /// ```
    pub fn parse(word: &str) -> Option<Self> {
        [Self::Free, Self::Keyed, Self::Never].into_iter().find(|kind| kind.as_str() == word)
    }
}
