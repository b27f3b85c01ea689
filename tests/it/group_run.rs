//! A stand-in group that steps in lock-step through real sidecars.

use std::sync::Arc;
use std::time::Duration;

use ebonyusher::group::{ExpertMap, Shape};
use ebonyusher::settings::{Group, GroupShape, Kind, RevisionRecord, SettingsStore};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher::units::{Size, Span};
use ebonyusher_standin::{
    CrashTrigger, Faults, Fleet, LockStepDriver, RankEngine, UpstreamNode, loopback,
};
use rstest::rstest;
use tokio::task::JoinHandle;

use crate::site::{service, team, until};

const RANKS: usize = 4;
const EXPERTS: usize = 8;
const SLOTS: usize = 4;
const SERVICE: &str = "akwaaba/chat";
const PACE: Duration = Duration::from_millis(4);

struct Ranks {
    fleet: Fleet,
    engines: Vec<UpstreamNode<RankEngine>>,
    sidecars: Vec<Option<SidecarNode>>,
    lock_step: LockStepDriver,
    running: JoinHandle<()>,
}

fn group_shape() -> GroupShape {
    let expert_size = Size::from_bytes(1 << 20);
    GroupShape { ranks: RANKS, experts: EXPERTS, slots: SLOTS, layers: 2, expert_size }
}

fn uneven() -> Vec<Vec<f64>> {
    let layer = |hot: usize| (0..EXPERTS).map(|at| if at == hot { 700.0 } else { 10.0 }).collect();
    vec![layer(1), layer(6)]
}

impl Ranks {
    async fn start(fences: bool) -> Self {
        let fleet = Fleet::start().await.unwrap();
        let shape: Shape = group_shape().shape();
        let mut settings = team();
        let mut chat = service(Kind::Engine);
        let interval = Span::from_millis(60);
        chat.group = Some(Group { skew: 9.0, moves: 1.0, shape: Some(group_shape()), interval });
        settings.services.insert("chat".to_owned(), chat);
        let line = RevisionRecord {
            revision: 0,
            team: "akwaaba".to_owned(),
            version: 0,
            operator: "test".to_owned(),
            change: "1".to_owned(),
        };
        SettingsStore::new(fleet.client()).replace(&line, &settings, 0).await.unwrap();
        let (mut engines, mut sidecars) = (Vec::new(), Vec::new());
        let initial = ExpertMap::initial(&shape);
        for rank in 0..RANKS {
            let engine = Arc::new(RankEngine::new(rank, fences, Duration::from_millis(1)));
            engine.load(&initial.layers);
            let (_crash, crashes) = CrashTrigger::new();
            let node =
                UpstreamNode::start(loopback(), engine, crashes, Duration::from_secs(1)).await;
            engines.push(node.unwrap());
            sidecars.push(Some(start_sidecar(&fleet, rank, &engines[rank]).await));
        }
        let handlers = engines.iter().map(|node| Arc::clone(&node.handler)).collect();
        let peers = sidecars.iter().flatten().map(SidecarNode::peer_addr).collect();
        let lock_step = LockStepDriver::new(shape, handlers, peers, uneven(), PACE);
        let running = tokio::spawn(lock_step.clone().run());
        Self { fleet, engines, sidecars, lock_step, running }
    }

    fn steps(&self) -> usize {
        self.lock_step.log().steps.len()
    }

    fn version(&self) -> u64 {
        self.lock_step.log().steps.last().map_or(0, |step| step.map.version)
    }

    async fn replace_sidecar(&mut self, rank: usize) {
        if let Some(sidecar) = self.sidecars[rank].take() {
            sidecar.kill();
        }
        let sidecar = start_sidecar(&self.fleet, rank, &self.engines[rank]).await;
        self.lock_step.set_peer(rank, sidecar.peer_addr());
        self.sidecars[rank] = Some(sidecar);
    }

    fn assert_sound(&self) {
        let log = self.lock_step.log();
        assert_eq!((log.mixed_map_steps, log.missing_weight_steps), (0, 0));
        let versions: Vec<u64> = log.steps.iter().map(|step| step.map.version).collect();
        assert!(versions.is_sorted(), "a map was undone");
    }
}

async fn start_sidecar(
    fleet: &Fleet,
    rank: usize,
    engine: &UpstreamNode<RankEngine>,
) -> SidecarNode {
    let mut file = fleet.sidecar_file(&format!("rank-{rank}"), SERVICE, engine.addr());
    file.poll = Span::from_millis(100);
    fleet.sidecar(file).await.unwrap()
}

#[tokio::test]
async fn the_group_evens_out_and_no_step_sees_two_maps() {
    let ranks = Ranks::start(true).await;

    until(|| {
        let log = ranks.lock_step.log();
        log.steps.last().is_some_and(|step| step.map.version > 0 && step.skew < 1.1)
    })
    .await;
    ranks.running.abort();

    ranks.assert_sound();
    assert!(ranks.lock_step.log().steps[0].skew > 1.5);
    let waits: u64 = ranks.sidecars.iter().flatten().map(|node| node.gate().waits()).sum();
    assert_eq!(waits, 0, "a rank waited in an ordinary switch");
}

#[rstest]
#[case::engines_fence(true)]
#[case::engines_ignore_fences(false)]
#[tokio::test]
async fn a_rank_that_starts_anew_finds_its_group(#[case] fences: bool) {
    let mut ranks = Ranks::start(fences).await;
    until(|| ranks.version() > 0).await;

    for rank in [0, 2] {
        ranks.replace_sidecar(rank).await;
        let steps = ranks.steps();
        until(|| ranks.steps() > steps + 20).await;
    }
    ranks.running.abort();

    ranks.assert_sound();
    let stale: u64 = ranks.engines.iter().map(|node| node.handler.stale_orders()).sum();
    assert_eq!(stale, 0);
}

#[tokio::test]
async fn the_group_goes_on_while_the_store_is_down() {
    let ranks = Ranks::start(true).await;
    until(|| ranks.steps() > 5).await;

    let platform = &ranks.fleet.platform.platform;
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let steps = ranks.steps();
    until(|| ranks.steps() > steps + 100).await;
    platform.set_faults(Faults::default());
    until(|| ranks.version() > 0).await;
    ranks.running.abort();

    ranks.assert_sound();
}
