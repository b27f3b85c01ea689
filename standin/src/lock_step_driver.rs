use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::group::{LayerMap, Shape};
use ebonyusher::switch::{EnterReply, GroupRpcClient, LayerCount, MapId, StepCounts};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::RankEngine;

const ENTER_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a step that some rank could not enter is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// A step that all ranks ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepRecord {
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of the step.
    pub step: u64,
    /// Map that the ranks used; if their maps differ, that of the first rank that replied.
    pub map: MapId,
    /// Load of the busiest rank over the mean load of the ranks, averaged over the layers.
    pub skew: f64,
    /// Time until all ranks were admitted to the step, without earlier failed tries.
    pub admission_time: Duration,
}

/// Record of the steps of a group.
#[derive(Clone, Debug, Default)]
pub struct GroupLog {
    /// Completed steps, oldest first.
    pub steps: Vec<StepRecord>,
    /// Number of steps in which ranks of one epoch used different maps.
    pub mixed_map_steps: u64,
    /// Number of steps in which a rank lacked weights that its map assigns to it.
    pub missing_weight_steps: u64,
}

/// Drives the ranks of a group in lock-step through their sidecars.
#[derive(Clone, Debug)]
pub struct LockStepDriver {
    log: Arc<Mutex<GroupLog>>,
    peers: Arc<Mutex<Vec<SocketAddr>>>,
    engines: Vec<Arc<RankEngine>>,
    shape: Shape,
    /// Number of tokens of each expert, by layer.
    tokens: Arc<Mutex<Vec<Vec<f64>>>>,
    /// Duration of a step when all ranks have the same load.
    ideal_step_time: Duration,
}

impl LockStepDriver {
    /// Creates a driver. `engines` and `peers`, the peer addresses of the sidecars, are ordered by
    /// rank.
    pub fn new(
        shape: Shape,
        engines: Vec<Arc<RankEngine>>,
        peers: Vec<SocketAddr>,
        tokens: Vec<Vec<f64>>,
        ideal_step_time: Duration,
    ) -> Self {
        Self {
            log: Arc::default(),
            peers: Arc::new(Mutex::new(peers)),
            engines,
            shape,
            tokens: Arc::new(Mutex::new(tokens)),
            ideal_step_time,
        }
    }

    /// Returns a copy of the record so far.
    pub fn log(&self) -> GroupLog {
        lock(&self.log).clone()
    }

    /// Replaces the sidecar of a rank.
    pub fn set_peer(&self, rank: usize, peer: SocketAddr) {
        lock(&self.peers)[rank] = peer;
    }

    /// Sets the number of tokens of each expert, by layer.
    pub fn set_tokens(&self, tokens: Vec<Vec<f64>>) {
        *lock(&self.tokens) = tokens;
    }

    /// Runs steps until the task is cancelled.
    pub async fn run(self) {
        let mut counts: Vec<Option<StepCounts>> = vec![None; self.shape.ranks];
        let mut step = 1;
        loop {
            let began = Instant::now();
            let entered = self.enter(step, &counts).await;
            let map = entered.and_then(|(_, id)| self.engines.first()?.map(id));
            let (Some((epoch, id)), Some(map)) = (entered, map) else {
                counts.fill(None);
                sleep(RETRY_DELAY).await;
                continue;
            };
            let admission_time = began.elapsed();
            let (skew, counted) = self.simulate_step(&map);
            counts = counted;
            sleep(self.ideal_step_time.mul_f64(skew)).await;
            lock(&self.log).steps.push(StepRecord { epoch, step, map: id, skew, admission_time });
            step += 1;
        }
    }

    /// Has all ranks enter a step. Returns the epoch and the map of the first rank that replied, or
    /// `None` unless all ranks entered in the same epoch.
    async fn enter(&self, step: u64, counts: &[Option<StepCounts>]) -> Option<(u64, MapId)> {
        let peers = lock(&self.peers).clone();
        let mut tasks = JoinSet::new();
        for (peer, counts) in peers.into_iter().zip(counts) {
            let counts = counts.clone();
            tasks.spawn(async move { client(peer)?.enter(step, counts).await.ok() });
        }
        let mut entered = Vec::new();
        while let Some(reply) = tasks.join_next().await {
            match reply.ok().flatten() {
                Some(EnterReply::Run { epoch, map }) => entered.push((epoch, map)),
                Some(EnterReply::Frozen) | None => {}
            }
        }
        let (epoch, map) = entered.first().copied()?;
        let same_epoch =
            entered.len() == self.shape.ranks && entered.iter().all(|(other, _)| *other == epoch);
        if !same_epoch {
            return None;
        }
        if entered.iter().any(|(_, other)| *other != map) {
            lock(&self.log).mixed_map_steps += 1;
        }
        Some((epoch, map))
    }

    /// Returns the skew of one step and the counts of each rank.
    fn simulate_step(&self, map: &[LayerMap]) -> (f64, Vec<Option<StepCounts>>) {
        if self.engines.iter().any(|engine| !engine.holds(map)) {
            lock(&self.log).missing_weight_steps += 1;
        }
        let tokens = lock(&self.tokens).clone();
        let mut skews = 0.0;
        let mut counts = vec![StepCounts::default(); self.shape.ranks];
        for (layer, tokens) in map.iter().zip(&tokens) {
            let loads = layer.loads(tokens);
            let ideal = loads.iter().sum::<f64>() / loads.len() as f64;
            skews += loads.iter().copied().fold(0.0, f64::max) / ideal;
            for (rank, counts) in counts.iter_mut().enumerate() {
                let held_shares = layer.held(rank).iter().zip(layer.shares(rank));
                counts.layers.push(LayerCount {
                    experts: layer.held(rank).to_vec(),
                    tokens: held_shares
                        .map(|(expert, share)| tokens[usize::from(*expert)] * f64::from(*share))
                        .collect(),
                    millis: loads[rank] / ideal,
                });
            }
        }
        let skew = skews / map.len().max(1) as f64;
        (skew, counts.into_iter().map(Some).collect())
    }
}

fn client(peer: SocketAddr) -> Option<HttpClient> {
    HttpClientBuilder::default().request_timeout(ENTER_TIMEOUT).build(format!("http://{peer}")).ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
