/// Something countable that has no reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A request arrived.
    Request,
    /// A request got the upstream's own answer.
    Ran,
    /// A stored answer was given for a repeated idempotency key.
    Replay,
    /// A broken stream was taken up again.
    Resume,
    /// An upstream crashed.
    Crash,
    /// A link to a peer was lost.
    LinkLost,
    /// Newer settings were put in force.
    Settings,
    /// A read of the platform's table.
    TableRead,
    /// A write of the platform's table.
    TableWrite,
    /// A message of control between processes.
    Control,
    /// Bytes of control between processes and with the platform.
    ControlBytes,
    /// An order was refused for its old fencing number.
    FenceRefused,
    /// A switch of the expert map was agreed.
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

    /// The counter's name.
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
