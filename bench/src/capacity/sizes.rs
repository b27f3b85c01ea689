/// Sizes of the system that the capacity page is calculated for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Number of entries.
    pub entries: f64,
    /// Number of sidecars, one for each upstream.
    pub sidecars: f64,
    /// Services in steady use.
    pub services: f64,
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Share of requests that must not run twice.
    pub order_share: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Teams that the client accounts belong to.
    pub teams: f64,
    /// Settings changes per day.
    pub changes_per_day: f64,
    /// Links that an entry keeps to each service.
    pub subset: f64,
    /// Ranks of a group.
    pub ranks: f64,
    /// Ranks per sidecar.
    pub ranks_each: f64,
    /// Layers with experts.
    pub layers: f64,
    /// Steps per second.
    pub steps: f64,
    /// Seconds between two plans.
    pub plan_seconds: f64,
    /// Seconds between two polls of an entry.
    pub poll_seconds: f64,
    /// Instances replaced per day.
    pub replaced_per_day: f64,
}

/// Sizes planned for the next two years.
pub const TARGET_SIZES: Sizes = Sizes {
    entries: 370.0,
    sidecars: 720.0,
    services: 19.0,
    requests: 3_900.0,
    tokens: 1.3e6,
    order_share: 0.02,
    accounts: 1_200.0,
    teams: 20.0,
    changes_per_day: 750.0,
    subset: 6.0,
    ranks: 256.0,
    ranks_each: 8.0,
    layers: 60.0,
    steps: 25.0,
    plan_seconds: 10.0,
    poll_seconds: 2.0,
    replaced_per_day: 350.0,
};

impl Sizes {
    /// Returns the number of links of one entry.
    pub fn entry_links(&self) -> f64 {
        self.services * self.subset
    }

    /// Returns the mean number of links of one sidecar.
    pub fn sidecar_links(&self) -> f64 {
        self.entries * self.entry_links() / self.sidecars
    }

    /// Returns the seconds between two link reports on a link, at least 2. The interval grows with the
    /// number of links, so that a sidecar spends a fixed number of bytes per second on them.
    pub fn report_seconds(&self) -> f64 {
        const REPORT_BYTES: f64 = 320.0;
        const REPORT_BUDGET: f64 = 1_200.0;
        const MIN_SECONDS: f64 = 2.0;
        (self.sidecar_links() * REPORT_BYTES / REPORT_BUDGET).max(MIN_SECONDS)
    }

    /// Returns the requests per second that must not run twice.
    pub fn orders(&self) -> f64 {
        self.requests * self.order_share
    }

    /// Returns the settings changes per second.
    pub fn changes_per_second(&self) -> f64 {
        self.changes_per_day / 86_400.0
    }
}
