use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::{HeldExperts, RankClient, RankCommand, RankCounts, RankError, RankOrder, RankState};

/// Orders that one leader may give before its numbers reach those of the next one.
const ORDERS_OF_TERM: u64 = 1 << 24;

/// What a leader knows of its own orders at a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderStatus {
    /// The rank has taken an order of this leader, and so refuses earlier leaders.
    pub fenced: bool,
    /// An order without an answer may still be carried out.
    pub in_doubt: bool,
    /// The rank holds the group by an order of this leader.
    pub holds: bool,
    /// The rank was not armed as it took an order of this leader, and was told nothing of the kind
    /// since.
    pub unarmed: bool,
    /// When the last order to the rank ended.
    pub last_order_ended: Option<Instant>,
}

/// The ranks of a group in one epoch, as their leader reaches them.
#[derive(Debug)]
pub struct RankSet<P> {
    clients: Vec<P>,
    order_statuses: Vec<OrderStatus>,
    epoch: u64,
    fence: u64,
}

/// Another leader has given orders since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deposed;

/// The first number for the orders of a term.
///
/// ```
/// # use ebonyusher::remap::first_fence;
/// assert!(first_fence(2) > first_fence(1) + 1_000_000);
/// ```
pub const fn first_fence(term: u64) -> u64 {
    term * ORDERS_OF_TERM
}

impl<P: RankClient> RankSet<P> {
    /// The ranks in their order; orders are numbered from `fence` on.
    pub fn new(clients: Vec<P>, epoch: u64, fence: u64) -> Self {
        let order_statuses = vec![OrderStatus::default(); clients.len()];
        Self { clients, order_statuses, epoch, fence }
    }

    /// Epoch that the group is in.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the last order.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// What is known of the orders at each rank.
    pub fn order_statuses(&self) -> &[OrderStatus] {
        &self.order_statuses
    }

    /// Ranks of the group.
    pub const fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are no ranks.
    pub const fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Reads the states of all ranks at once; nothing for a rank without an answer, or whose answer
    /// may be older than the last order to it.
    pub async fn states(&self) -> Vec<Option<RankState>> {
        let all: Vec<usize> = (0..self.clients.len()).collect();
        self.states_of(&all).await
    }

    /// The same of some ranks.
    pub async fn states_of(&self, ranks: &[usize]) -> Vec<Option<RankState>> {
        let sent = Instant::now();
        let read = |rank: &usize| {
            let client = self.clients.get(*rank);
            async move { client?.state().await.ok() }
        };
        let read = join_all(ranks.iter().map(read)).await;
        let after = |(state, rank): (Option<RankState>, &usize)| {
            let state = state?;
            let seen = sent.checked_sub(Duration::from_millis(state.lag_ms));
            let last_order = self.order_statuses.get(*rank)?.last_order_ended;
            last_order.is_none_or(|ended| seen >= Some(ended)).then_some(state)
        };
        read.into_iter().zip(ranks).map(after).collect()
    }

    /// Reads the state of one rank.
    pub async fn state_of(&self, rank: usize) -> Option<RankState> {
        self.clients.get(rank)?.state().await.ok()
    }

    /// Reads the states of all ranks, and takes the ways to them apart again.
    pub async fn states_and_clients(self) -> Vec<(Option<RankState>, P)> {
        let states = self.states().await;
        states.into_iter().zip(self.clients).collect()
    }

    /// Reads what some ranks counted.
    pub async fn counts(&self, ranks: &[usize]) -> Vec<Option<RankCounts>> {
        let read = |rank: &usize| {
            let client = self.clients.get(*rank);
            async move { client?.counts().await.ok() }
        };
        join_all(ranks.iter().map(read)).await
    }

    /// Reads what all ranks hold.
    pub async fn held(&self) -> Vec<Option<Vec<HeldExperts>>> {
        join_all(self.clients.iter().map(|client| async { client.held().await.ok() })).await
    }

    /// Gives an order to a rank from the machine of another one, and tells how it ended.
    ///
    /// # Errors
    /// [`Deposed`] if the rank has taken orders of another leader since.
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

    /// Gives orders to ranks at once, each with a number of its own, and tells how each ended.
    ///
    /// # Errors
    /// [`Deposed`] if a rank has taken orders of another leader since.
    pub async fn command(
        &mut self,
        orders: Vec<(usize, RankOrder)>,
    ) -> Result<Vec<Result<(), RankError>>, Deposed> {
        let commands: Vec<(usize, RankCommand)> = orders
            .into_iter()
            .map(|(rank, order)| {
                // A greater number at each order: once a rank has taken one, it refuses those
                // before it that come late.
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
                    // A rank that is armed refuses to prepare.
                    RankOrder::Prepare { .. } => status.unarmed = true,
                    _ => {}
                }
            }
            Err(RankError::Unknown) => status.in_doubt = true,
            Err(RankError::Refused | RankError::Fenced) => {}
        }
    }
}
