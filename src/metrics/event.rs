/// Events that are counted as such, not by [`Reason`](crate::outcome::Reason).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A request arrived.
    Request,
    /// A request got its upstream's own response.
    Ran,
    /// A repeated idempotency key was answered with the stored response.
    Replay,
    /// A broken stream was resumed.
    Resume,
    /// An upstream crashed.
    Crash,
    /// A link to a sidecar was lost.
    LinkLost,
    /// Newer settings were put in force.
    Settings,
    /// A read of the platform's table.
    TableRead,
    /// A write of the platform's table.
    TableWrite,
    /// A control message between processes.
    Control,
    /// Bytes of control messages between processes and with the platform.
    ControlBytes,
    /// An order was refused because of an outdated fencing token.
    FenceRefused,
    /// The ranks agreed to a switch of the expert map.
    SwitchDone,
    /// A switch of the expert map was refused.
    SwitchRefused,
}

impl Event {
    /// All events, in the order of their counters.
    pub const ALL: [Self; 14] = [
        Self::Request,
        Self::Ran,
        Self::Replay,
        Self::Resume,
        Self::Crash,
        Self::LinkLost,
        Self::Settings,
        Self::TableRead,
        Self::TableWrite,
        Self::Control,
        Self::ControlBytes,
        Self::FenceRefused,
        Self::SwitchDone,
        Self::SwitchRefused,
    ];

    /// Returns the name of the counter.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Ran => "ran",
            Self::Replay => "replay",
            Self::Resume => "resume",
            Self::Crash => "crash",
            Self::LinkLost => "link-lost",
            Self::Settings => "settings",
            Self::TableRead => "table-read",
            Self::TableWrite => "table-write",
            Self::Control => "control",
            Self::ControlBytes => "control-bytes",
            Self::FenceRefused => "fence-refused",
            Self::SwitchDone => "switch-done",
            Self::SwitchRefused => "switch-refused",
        }
    }
}
