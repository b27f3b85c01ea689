use std::future::Future;
use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{HeldExperts, RankCommand, RankState};

/// Why a rank did not do as told, or told nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error, Serialize, Deserialize)]
pub enum RankError {
    /// the order does not fit the rank's state
    Refused,
    /// another leader has given orders since
    Fenced,
    /// the rank gives no answer; an order may be carried out later
    Unknown,
}

/// What a rank counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankCounts {
    /// Epoch of the group that they belong to.
    pub epoch: u64,
    /// How often each expert was chosen since the rank's start, set by set.
    pub counts: Vec<u64>,
}

/// The way to one rank.
pub trait RankClient: Send + Sync + 'static {
    /// Reads the rank's state.
    ///
    /// # Errors
    /// [`RankError::Unknown`] without an answer.
    fn state(&self) -> impl Future<Output = Result<RankState, RankError>> + Send;

    /// Reads what the rank counted.
    ///
    /// # Errors
    /// [`RankError::Unknown`] without an answer.
    fn counts(&self) -> impl Future<Output = Result<RankCounts, RankError>> + Send;

    /// Reads the experts that the rank holds under the map in force, by set.
    ///
    /// # Errors
    /// [`RankError::Unknown`] without an answer.
    fn held(&self) -> impl Future<Output = Result<Vec<HeldExperts>, RankError>> + Send;

    /// Gives an order.
    ///
    /// # Errors
    /// As [`RankError`] says.
    fn command(&self, command: &RankCommand) -> impl Future<Output = Result<(), RankError>> + Send;

    /// Gives an order to another rank from the machine of this one, where that is possible.
    ///
    /// # Errors
    /// As [`RankError`] says.
    fn command_at(
        &self,
        other: &Self,
        command: &RankCommand,
    ) -> impl Future<Output = Result<(), RankError>> + Send {
        other.command(command)
    }
}

/// Makes ways to ranks.
pub trait RankConnector: Send + Sync + 'static {
    /// The way to a rank.
    type Client: RankClient;

    /// Makes a way to the rank at an address. Connects on first use.
    fn client(&self, addr: SocketAddr) -> Self::Client;
}
