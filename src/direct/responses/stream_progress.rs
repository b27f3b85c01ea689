use tokio::time::Instant;

/// How far the stream of one attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::direct) struct StreamProgress {
    /// Number of times at which one or more events arrived.
    pub(in crate::direct) events: u32,
    /// When the first event arrived.
    pub(in crate::direct) first: Option<Instant>,
}

impl StreamProgress {
    /// Returns whether the upstream went on with its answer after the first event.
    pub(in crate::direct) const fn has_gone_on(&self) -> bool {
        self.events > 1
    }

    /// Records that one or more events have arrived.
    pub(in crate::direct) fn record_event(&mut self, now: Instant) {
        self.events += 1;
        self.first.get_or_insert(now);
    }
}
