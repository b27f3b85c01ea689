use std::str::FromStr;

/// Slopes that are measured together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlopeGroup {
    /// Idle nodes.
    Idle,
    /// Requests, orders, tokens and streams.
    Traffic,
    /// Size and changes of settings.
    Settings,
    /// Planning, step admission and the size of token counts.
    Group,
    /// Size of the platform's instance list.
    List,
}

impl SlopeGroup {
    /// All groups.
    pub const ALL: [Self; 5] = [Self::Idle, Self::Traffic, Self::Settings, Self::Group, Self::List];
}

impl FromStr for SlopeGroup {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "idle" => Ok(Self::Idle),
            "traffic" => Ok(Self::Traffic),
            "settings" => Ok(Self::Settings),
            "group" => Ok(Self::Group),
            "list" => Ok(Self::List),
            _ => Err(format!("expected idle, traffic, settings, group or list, got {text:?}")),
        }
    }
}
