use serde::{Deserialize, Serialize};

use super::GroupMap;

/// What a rank is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RankOrder {
    /// Copy the experts that a map adds.
    Prepare {
        version: u64,
        #[serde(with = "super::packed_map")]
        map: GroupMap,
    },
    /// Switch to a prepared map as a pass begins.
    Arm { version: u64, pass: u64 },
    /// Forget that the rank was to switch.
    Disarm { version: u64 },
    /// Do nothing but refuse, from now on, orders with a smaller number.
    Fence,
    /// Keep the group from beginning a pass.
    Hold { pass: u64 },
    /// Let the group begin a pass that this rank has held.
    Release { pass: u64 },
}

/// An order with what shuts out late ones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankCommand {
    /// The order.
    pub order: RankOrder,
    /// Epoch of the group that it is meant for.
    pub epoch: u64,
    /// A rank refuses an order with a smaller number than one that it has seen.
    pub fence: u64,
}

impl RankOrder {
    /// A word for the log.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Fence => "fence",
            Self::Hold { .. } => "hold",
            Self::Release { .. } => "release",
        }
    }
}
