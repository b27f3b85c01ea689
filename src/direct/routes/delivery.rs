/// How often a request of a route may run, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Idempotent: may run any number of times.
    Idempotent,
    /// Runs at most once per request of a caller.
    AtMostOnce,
    /// A stream of events that another upstream can resume after any event.
    ResumableStream,
    /// A stream of events that runs at most once.
    SingleStream,
}

impl Delivery {
    /// Returns whether the request may run again after an attempt that may have run.
    ///
    /// ```
    /// # use ebonyusher::direct::Delivery;
    /// assert!(Delivery::Idempotent.may_rerun());
    /// assert!(!Delivery::AtMostOnce.may_rerun());
    /// ```
    pub const fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}
