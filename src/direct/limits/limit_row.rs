use serde::{Deserialize, Serialize};

/// The rate that one incarnation of an upstream names.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RowLimit {
    /// Id of the upstream.
    pub upstream: String,
    /// Start time of the incarnation, if the platform lists it.
    pub incarnation: Option<u64>,
    /// Requests per second from all entries together.
    pub rate: f64,
}

/// What an entry tells the others: the limits that it knows, and that it lives.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitRow {
    /// Number of the write, which rises with each renewal.
    pub renewal: u64,
    /// The limits.
    pub limits: Vec<RowLimit>,
}

impl LimitRow {
    /// Returns whether the row names this limit of this incarnation.
    ///
    /// ```
    /// # use ebonyusher::direct::{LimitRow, RowLimit};
    /// let limit = RowLimit { upstream: "u-1".into(), incarnation: Some(1), rate: 2.0 };
    /// let row = LimitRow { renewal: 1, limits: vec![limit.clone()] };
    /// let other = RowLimit { rate: 3.0, ..limit };
    /// assert!(!row.names(&other) && row.limits_incarnation(&other));
    /// ```
    pub fn names(&self, limit: &RowLimit) -> bool {
        self.limits.contains(limit)
    }

    /// Returns whether the row names any limit of this incarnation.
    pub fn limits_incarnation(&self, limit: &RowLimit) -> bool {
        self.limits
            .iter()
            .any(|own| own.upstream == limit.upstream && own.incarnation == limit.incarnation)
    }
}
