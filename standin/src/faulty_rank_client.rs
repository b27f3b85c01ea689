use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ebonyusher::remap::{HeldExperts, RankClient, RankCommand, RankCounts, RankError, RankState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::RankGroupStandin;

/// Max one-way delay of an order or a read.
const MAX_DELAY: Duration = Duration::from_millis(4);
/// Time for which a caller waits for an answer that does not come.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Range of delays of late orders, in seconds.
const LATE_SECONDS: std::ops::Range<f64> = 2.0..12.0;
/// Age of reports that are read from another machine.
const REMOTE_LAG: Duration = Duration::from_millis(200);

/// Faults between a leader and the ranks, each as a share of the orders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrderFaults {
    /// Share of orders that are lost.
    pub lost: f64,
    /// Share of orders that are carried out but whose answer is lost.
    pub unanswered: f64,
    /// Share of orders that are carried out seconds later, without an answer.
    pub late: f64,
}

/// A leader's client to one rank of a [`RankGroupStandin`], with injected faults.
#[derive(Clone, Debug)]
pub struct FaultyRankClient {
    group: RankGroupStandin,
    rank: usize,
    faults: OrderFaults,
    reachable: Arc<AtomicBool>,
    /// Whether reports are as old as those read from another machine.
    remote: bool,
    rng: Arc<Mutex<SmallRng>>,
}

impl FaultyRankClient {
    /// Creates a client to a rank, with faults drawn from a seed. The rank answers while
    /// `reachable` is true.
    pub fn new(
        group: &RankGroupStandin,
        rank: usize,
        faults: OrderFaults,
        reachable: Arc<AtomicBool>,
        seed: u64,
    ) -> Self {
        let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        Self { group: group.clone(), rank, faults, reachable, remote: false, rng }
    }

    /// Makes reports as old as those that are read from another machine.
    #[must_use]
    pub fn with_remote_lag(self) -> Self {
        Self { remote: true, ..self }
    }

    fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    async fn deliver(&self) -> Result<(), RankError> {
        sleep(MAX_DELAY.mul_f64(self.draw())).await;
        if self.reachable.load(Ordering::Relaxed) {
            return Ok(());
        }
        sleep(ANSWER_TIMEOUT).await;
        Err(RankError::Unknown)
    }

    fn apply_late(&self, command: &RankCommand) {
        let (group, rank, command) = (self.group.clone(), self.rank, command.clone());
        let delay = LATE_SECONDS.start + self.draw() * (LATE_SECONDS.end - LATE_SECONDS.start);
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(delay)).await;
            group.apply(rank, &command).ok();
        });
    }
}

impl RankClient for FaultyRankClient {
    async fn state(&self) -> Result<RankState, RankError> {
        self.deliver().await?;
        let lag = if self.remote { REMOTE_LAG } else { Duration::ZERO };
        let state = self.group.state(self.rank, lag);
        sleep(MAX_DELAY.mul_f64(self.draw())).await;
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        Ok(RankState { lag_ms, ..state })
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        self.deliver().await?;
        Ok(RankCounts::default())
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        self.deliver().await?;
        Ok(self.group.held(self.rank))
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        self.deliver().await?;
        let OrderFaults { lost, unanswered, late } = self.faults;
        let draw = self.draw();
        if draw < lost + late {
            if draw >= lost {
                self.apply_late(command);
            }
            sleep(ANSWER_TIMEOUT).await;
            return Err(RankError::Unknown);
        }
        let result = self.group.apply(self.rank, command);
        if draw < lost + late + unanswered {
            sleep(ANSWER_TIMEOUT).await;
            return Err(RankError::Unknown);
        }
        sleep(MAX_DELAY.mul_f64(self.draw())).await;
        result
    }
}
