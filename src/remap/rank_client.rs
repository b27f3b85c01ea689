use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::{Instant, sleep};

use super::{Armed, HeldExperts, MapUpdate, RankCommand, RankOrder, RankState};

/// Interval between two readings of a rank's state while it copies experts.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a call to a rank failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error, Serialize, Deserialize)]
pub enum RankError {
    /// the order does not fit the rank's state
    Refused,
    /// another leader has given orders since
    Fenced,
    /// the rank gives no answer; an order may be carried out later
    Unknown,
    /// the map is not known beside the rank; the order was not given
    MapMissing,
}

/// Token counts of a rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankCounts {
    /// Epoch of the group that the counts belong to.
    pub epoch: u64,
    /// How often each expert was chosen since the rank's start, set by set.
    pub counts: Vec<u64>,
}

/// A client for one rank.
pub trait RankClient: Send + Sync + 'static {
    /// Reads the rank's state.
    ///
    /// # Errors
    /// [`RankError::Unknown`] without an answer.
    fn state(&self) -> impl Future<Output = Result<RankState, RankError>> + Send;

    /// Reads the rank's state once it has copied the experts of a map, or after `max_wait`.
    ///
    /// # Errors
    /// [`RankError::Unknown`] without an answer.
    fn prepared_state(
        &self,
        version: u64,
        max_wait: Duration,
    ) -> impl Future<Output = Result<RankState, RankError>> + Send {
        async move {
            let until = Instant::now() + max_wait;
            loop {
                let state = self.state().await?;
                if state.prepared == Some(version) || Instant::now() >= until {
                    return Ok(state);
                }
                sleep(COPY_POLL_INTERVAL).await;
            }
        }
    }

    /// Makes a map known beside this rank and beside others, to which it is passed on from here, so
    /// that an order to prepare it can be given without it. Returns the number of these ranks beside
    /// which the map is not known afterwards. The default implementation does nothing, for clients
    /// that send the map with the order.
    ///
    /// # Errors
    /// [`RankError`] if the map could not be sent to this rank's machine.
    fn share_map(
        &self,
        _update: &MapUpdate,
        _others: &[&Self],
    ) -> impl Future<Output = Result<usize, RankError>> + Send {
        async { Ok(0) }
    }

    /// Reads the rank's token counts.
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
    /// [`RankError`] if the rank refuses the order or does not answer.
    fn command(&self, command: &RankCommand) -> impl Future<Output = Result<(), RankError>> + Send;

    /// Gives an order to another rank from the machine of this one, if the client supports that.
    /// The default implementation gives it from the caller's machine.
    ///
    /// # Errors
    /// [`RankError`] if the other rank refuses the order or does not answer.
    fn command_at(
        &self,
        other: &Self,
        command: &RankCommand,
    ) -> impl Future<Output = Result<(), RankError>> + Send {
        other.command(command)
    }
}

/// Gives an order from the rank's own machine, where its report is current. An order to arm counts as
/// accepted once the report names its version and pass: an answer without a name may belong to an
/// earlier order.
///
/// # Errors
/// As [`RankClient::command`]; [`RankError::Unknown`] if the report names another switch or none.
///
/// ```
/// # use std::sync::{Arc, atomic::AtomicBool};
/// # use ebonyusher::remap::{RankCommand, RankError, RankOrder, command_confirmed};
/// # use ebonyusher_standin::{FaultyRankClient, OrderFaults, RankGroupStandin};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (group, reachable) = (RankGroupStandin::new(1), Arc::new(AtomicBool::new(true)));
/// let rank = FaultyRankClient::new(&group, 0, OrderFaults::default(), reachable, 1);
/// let order = RankOrder::Arm { version: 1, pass: 3 };
/// let command = RankCommand { order, epoch: 1, fence: 1 };
/// assert_eq!(command_confirmed(&rank, &command).await, Err(RankError::Refused));
/// # });
/// ```
pub async fn command_confirmed<P: RankClient>(
    rank: &P,
    command: &RankCommand,
) -> Result<(), RankError> {
    rank.command(command).await?;
    let RankOrder::Arm { version, pass } = command.order else { return Ok(()) };
    let state = rank.state().await?;
    let is_armed = state.armed == Some(Armed { version, pass });
    // The pass may have begun since.
    if is_armed || state.map == version { Ok(()) } else { Err(RankError::Unknown) }
}

/// Creates clients for ranks.
pub trait RankConnector: Send + Sync + 'static {
    /// Client for a rank.
    type Client: RankClient;

    /// Returns a client for the rank at an address. It connects on first use.
    fn client(&self, addr: SocketAddr) -> Self::Client;
}
