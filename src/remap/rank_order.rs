use serde::{Deserialize, Serialize};

use super::SharedMap;

/// An order from a leader to a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RankOrder {
    /// Copy the experts that a map adds.
    Prepare {
        version: u64,
        #[serde(with = "super::packed_map")]
        map: SharedMap,
    },
    /// Switch to a prepared map at the start of a pass.
    Arm { version: u64, pass: u64 },
    /// Cancel an armed switch.
    Disarm { version: u64 },
    /// Only refuse orders with a smaller fencing token from now on.
    Fence,
    /// Keep the group from starting a pass.
    Hold { pass: u64 },
    /// Let the group start a pass that this rank has held.
    Release { pass: u64 },
}

/// An order with the epoch and fencing token by which a rank recognizes and refuses late orders.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankCommand {
    /// The order.
    pub order: RankOrder,
    /// Epoch of the group that the order is meant for.
    pub epoch: u64,
    /// Fencing token: a rank refuses an order whose token is smaller than one that it has seen.
    pub fence: u64,
}

impl RankOrder {
    /// Name of the order.
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

    /// Version of the map that the order is about.
    pub const fn version(&self) -> Option<u64> {
        match self {
            Self::Prepare { version, .. }
            | Self::Arm { version, .. }
            | Self::Disarm { version } => Some(*version),
            Self::Fence | Self::Hold { .. } | Self::Release { .. } => None,
        }
    }
}
