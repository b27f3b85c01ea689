use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::{
    HeldExperts, MapUpdate, RankClient, RankCommand, RankCounts, RankError, RankOrder, RankState,
};
use crate::membership::GroupName;

/// Number of ranks of a branch through which it is tried to reach the others.
const MAX_HEADS: usize = 3;
/// Number of orders that a leader can give before its fencing tokens reach those of the next term.
pub(super) const ORDERS_PER_TERM: u64 = 1 << 24;

/// Outcome of a leader's own orders to one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderStatus {
    /// The rank has accepted an order of this leader and therefore refuses earlier leaders.
    pub fenced: bool,
    /// An order that got no answer may still be carried out.
    pub in_doubt: bool,
    /// The rank holds the group by an order of this leader.
    pub holds: bool,
    /// The rank was not armed when it accepted an order of this leader, and the leader has not
    /// tried to arm it since.
    pub unarmed: bool,
    /// When the last order to the rank ended.
    pub last_order_ended: Option<Instant>,
}

/// Clients for all ranks of a group in one epoch, and the outcome of the leader's orders to each.
#[derive(Debug)]
pub struct RankSet<P> {
    clients: Vec<P>,
    order_statuses: Vec<OrderStatus>,
    group: GroupName,
    epoch: u64,
    fence: u64,
}

/// A later leader has given orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deposed;

/// The fencing token that a term's orders are counted from.
///
/// ```
/// # use ebonyusher::remap::first_fence;
/// assert!(first_fence(2) > first_fence(1) + 1_000_000);
/// ```
pub const fn first_fence(term: u64) -> u64 {
    term * ORDERS_PER_TERM
}

impl<P: RankClient> RankSet<P> {
    /// The ranks of a group. `clients` has one client per rank, in the order of the ranks'
    /// positions. The fencing tokens of the set's orders start after `fence`.
    pub fn new(clients: Vec<P>, group: GroupName, epoch: u64, fence: u64) -> Self {
        let order_statuses = vec![OrderStatus::default(); clients.len()];
        Self { clients, order_statuses, group, epoch, fence }
    }

    /// Epoch of the group.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Fencing token of the last order.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Takes the version for a new map: the next fencing token. No leader gives it to another map,
    /// and it is greater than the versions of earlier terms, also of those that no rank reports.
    ///
    /// ```
    /// # use ebonyusher::{membership::GroupName, remap::{RankSet, first_fence}};
    /// # use ebonyusher_standin::FaultyRankClient;
    /// let group = GroupName::default();
    /// let mut earlier = RankSet::<FaultyRankClient>::new(Vec::new(), group.clone(), 1, first_fence(1));
    /// let mut next = RankSet::<FaultyRankClient>::new(Vec::new(), group, 1, first_fence(2));
    /// assert!(next.new_version() > earlier.new_version());
    /// ```
    pub const fn new_version(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Outcome of the orders to each rank.
    pub fn order_statuses(&self) -> &[OrderStatus] {
        &self.order_statuses
    }

    /// Number of ranks.
    pub const fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are no ranks.
    pub const fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Reads the states of all ranks concurrently. A rank is `None` if it does not answer, if its
    /// state may be older than the last order to it, or if it is in another group.
    pub async fn states(&self) -> Vec<Option<RankState>> {
        let all: Vec<usize> = (0..self.clients.len()).collect();
        self.states_of(&all).await
    }

    /// Like [`RankSet::states`], for some of the ranks.
    pub async fn states_of(&self, ranks: &[usize]) -> Vec<Option<RankState>> {
        let sent = Instant::now();
        let read = |rank: &usize| {
            let client = self.clients.get(*rank);
            async move { client?.state().await.ok() }
        };
        let read = join_all(ranks.iter().map(read)).await;
        self.drop_unusable(ranks, read, sent)
    }

    /// Like [`RankSet::states`], once each rank has copied the experts of a map, or after
    /// `max_wait`.
    pub async fn prepared_states(
        &self,
        version: u64,
        max_wait: Duration,
    ) -> Vec<Option<RankState>> {
        let sent = Instant::now();
        let read = self.clients.iter().map(|client| client.prepared_state(version, max_wait));
        let read = join_all(read).await.into_iter().map(Result::ok).collect();
        let all: Vec<usize> = (0..self.clients.len()).collect();
        self.drop_unusable(&all, read, sent)
    }

    /// Makes a map known beside all ranks but `local`. It is sent to some and passed on from there,
    /// so that what this machine sends grows with the square root of the number of ranks. Returns
    /// the number of ranks beside which the map is not known afterwards.
    pub async fn share_map(&self, local: usize, update: &MapUpdate) -> usize {
        let others = self.clients.iter().enumerate().filter(|(rank, _)| *rank != local);
        let others: Vec<&P> = others.map(|(_, client)| client).collect();
        let branch = (others.len() as f64).sqrt().ceil().max(1.0) as usize;
        let shared = others.chunks(branch).map(|branch| share_branch(branch, update));
        join_all(shared).await.into_iter().sum()
    }

    /// Drops the states of another group and those that may be older than the last order to the
    /// rank. They were asked for at `sent`.
    fn drop_unusable(
        &self,
        ranks: &[usize],
        read: Vec<Option<RankState>>,
        sent: Instant,
    ) -> Vec<Option<RankState>> {
        let after = |(state, rank): (Option<RankState>, &usize)| {
            let state = state.filter(|state| state.group == self.group)?;
            let seen = sent.checked_sub(Duration::from_millis(state.lag_ms));
            let last_order = self.order_statuses.get(*rank)?.last_order_ended;
            last_order.is_none_or(|ended| seen >= Some(ended)).then_some(state)
        };
        read.into_iter().zip(ranks).map(after).collect()
    }

    /// Reads the state of one rank, even if it may be older than the last order.
    pub async fn state_of(&self, rank: usize) -> Option<RankState> {
        let state = self.clients.get(rank)?.state().await.ok();
        state.filter(|state| state.group == self.group)
    }

    /// Reads the token counts of some ranks.
    pub async fn counts(&self, ranks: &[usize]) -> Vec<Option<RankCounts>> {
        let read = |rank: &usize| {
            let client = self.clients.get(*rank);
            async move { client?.counts().await.ok() }
        };
        join_all(ranks.iter().map(read)).await
    }

    /// Reads which experts each rank holds.
    pub async fn held(&self) -> Vec<Option<Vec<HeldExperts>>> {
        join_all(self.clients.iter().map(|client| async { client.held().await.ok() })).await
    }

    /// Gives an order to `rank` from the machine of the rank `via`, and returns its outcome.
    ///
    /// # Errors
    /// [`Deposed`] if the rank has accepted an order of a later leader.
    pub async fn command_via(
        &mut self,
        via: usize,
        rank: usize,
        order: RankOrder,
    ) -> Result<Result<(), RankError>, Deposed> {
        self.fence += 1;
        let command = RankCommand { order, epoch: self.epoch, fence: self.fence };
        let ended = self.clients[via].command_at(&self.clients[rank], &command).await;
        self.record(rank, &command.order, ended);
        if ended == Err(RankError::Fenced) { Err(Deposed) } else { Ok(ended) }
    }

    /// Gives orders to ranks concurrently, each with its own fencing token, and returns the
    /// outcomes.
    ///
    /// # Errors
    /// [`Deposed`] if a rank has accepted an order of a later leader.
    pub async fn command(
        &mut self,
        orders: Vec<(usize, RankOrder)>,
    ) -> Result<Vec<Result<(), RankError>>, Deposed> {
        let commands: Vec<(usize, RankCommand)> = orders
            .into_iter()
            .map(|(rank, order)| {
                // The token grows with each order, so that a rank which has accepted one refuses
                // earlier orders that arrive late.
                self.fence += 1;
                (rank, RankCommand { order, epoch: self.epoch, fence: self.fence })
            })
            .collect();
        let clients = &self.clients;
        let given = commands.iter().map(|(rank, command)| clients[*rank].command(command));
        let ended = join_all(given).await;
        for ((rank, command), ended) in commands.iter().zip(&ended) {
            self.record(*rank, &command.order, *ended);
        }
        if ended.contains(&Err(RankError::Fenced)) { Err(Deposed) } else { Ok(ended) }
    }

    /// Records the outcome of an order.
    fn record(&mut self, rank: usize, order: &RankOrder, ended: Result<(), RankError>) {
        let status = &mut self.order_statuses[rank];
        status.last_order_ended = Some(Instant::now());
        if matches!(order, RankOrder::Arm { .. }) {
            status.unarmed = false;
        }
        match ended {
            Ok(()) => {
                status.fenced = true;
                status.in_doubt = false;
                match order {
                    RankOrder::Hold { .. } => status.holds = true,
                    RankOrder::Release { .. } => status.holds = false,
                    // An armed rank refuses to prepare.
                    RankOrder::Prepare { .. } => status.unarmed = true,
                    _ => {}
                }
            }
            Err(RankError::Unknown) => status.in_doubt = true,
            Err(RankError::Refused | RankError::Fenced | RankError::MapMissing) => {}
        }
    }
}

/// Makes a map known beside the ranks of a branch, through the first one that can be reached.
/// Returns the number of ranks beside which it is not known afterwards.
async fn share_branch<P: RankClient>(branch: &[&P], update: &MapUpdate) -> usize {
    for (at, head) in branch.iter().enumerate().take(MAX_HEADS) {
        if let Ok(missing) = head.share_map(update, &branch[at + 1..]).await {
            return at + missing;
        }
    }
    branch.len()
}
