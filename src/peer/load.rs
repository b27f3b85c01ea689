use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Load of an upstream as its sidecar measures it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that the upstream runs at a time.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// Estimated time until a new request gets a slot, in milliseconds.
    pub wait_ms: u32,
    /// Sequence number of the report, which increases within an incarnation of the sidecar.
    pub seq: u64,
}

/// A load header is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadError;

impl fmt::Display for Load {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { slots, running, waiting, wait_ms, seq } = self;
        write!(out, "{slots},{running},{waiting},{wait_ms},{seq}")
    }
}

impl FromStr for Load {
    type Err = LoadError;

    /// Parses the value of a load header.
    ///
    /// ```
    /// # use ebonyusher::peer::Load;
    /// let load = Load { slots: 8, running: 3, waiting: 0, wait_ms: 0, seq: 9 };
    /// assert_eq!(load.to_string().parse(), Ok(load));
    /// ```
    fn from_str(text: &str) -> Result<Self, LoadError> {
        let mut fields = text.split(',');
        let mut next = || fields.next().ok_or(LoadError);
        let load = Self {
            slots: next()?.parse().map_err(|_| LoadError)?,
            running: next()?.parse().map_err(|_| LoadError)?,
            waiting: next()?.parse().map_err(|_| LoadError)?,
            wait_ms: next()?.parse().map_err(|_| LoadError)?,
            seq: next()?.parse().map_err(|_| LoadError)?,
        };
        Ok(load)
    }
}
