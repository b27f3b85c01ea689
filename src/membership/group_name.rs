use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a group, as its ranks report it. Empty if they report none, as in a service with a
/// single group that needs no name. Clones share the text.
///
/// ```
/// # use ebonyusher::membership::GroupName;
/// assert!(GroupName::default().is_empty());
/// assert_eq!(GroupName::from("g-1").as_str(), "g-1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupName(Arc<str>);

impl GroupName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the ranks report no name.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Default for GroupName {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl From<&str> for GroupName {
    fn from(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for GroupName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
