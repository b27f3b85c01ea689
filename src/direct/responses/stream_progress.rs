/// How far the stream of one attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::direct) struct StreamProgress {
    /// Number of times at which one or more events arrived.
    pub(in crate::direct) events: u32,
}

impl StreamProgress {
    /// Returns whether the upstream went on with its answer after the first event.
    pub(in crate::direct) const fn has_gone_on(&self) -> bool {
        self.events > 1
    }

    /// Records that one or more events have arrived.
    pub(in crate::direct) const fn record_event(&mut self) {
        self.events += 1;
    }
}
