use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Priority class of a request: a higher class is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served when no request of a higher class waits.
    Low,
    /// The default class.
    #[default]
    Normal,
    /// Served first.
    High,
}

impl Priority {
    /// Number of classes.
    pub const COUNT: usize = 3;

    /// Returns the class as an index, lowest class first.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the value used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }

    /// Parses the value used in headers.
    ///
    /// ```
    /// # use ebonyusher::settings::Priority;
    /// assert_eq!(Priority::parse("high"), Some(Priority::High));
    /// ```
    pub fn parse(word: &str) -> Option<Self> {
        [Self::Low, Self::Normal, Self::High].into_iter().find(|class| class.as_str() == word)
    }
}
