//! A stand-in group of ranks that steps in lock-step and switches expert maps through real
//! sidecars.

use std::sync::Arc;
use std::time::Duration;

use ebonyusher::group::{ExpertMap, Shape};
use ebonyusher::settings::{Group, GroupShape, Kind, RevisionRecord, SettingsStore};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher::switch::{GroupRpcClient, ProposalId};
use ebonyusher::units::{Size, Span};
use ebonyusher_standin::{
    CrashTrigger, Faults, Fleet, LINK_KEY, LockStepDriver, RankEngine, UpstreamNode, loopback,
};
use jsonrpsee::http_client::HttpClientBuilder;
use rstest::rstest;
use tokio::task::JoinHandle;

use crate::test_cluster::{service, team, wait_until};

const RANKS: usize = 4;
const EXPERTS: usize = 8;
const SLOTS: usize = 4;
const SERVICE: &str = "akwaaba/chat";
const STEP_TIME: Duration = Duration::from_millis(4);

/// Rank engines with their sidecars, and the driver that steps them in lock-step.
struct TestGroup {
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

/// Returns the loads of the experts in each layer, with one hot expert in each.
fn uneven_loads() -> Vec<Vec<f64>> {
    let layer = |hot: usize| (0..EXPERTS).map(|at| if at == hot { 700.0 } else { 10.0 }).collect();
    vec![layer(1), layer(6)]
}

impl TestGroup {
    async fn start(check_fences: bool) -> Self {
        let fleet = Fleet::start().await.unwrap();
        let shape: Shape = group_shape().shape();
        let mut settings = team();
        let mut chat = service(Kind::Engine);
        let interval = Span::from_millis(60);
        chat.group = Some(Group { skew: 9.0, moves: 1.0, shape: Some(group_shape()), interval });
        settings.services.insert("chat".to_owned(), chat);
        let record = RevisionRecord {
            revision: 0,
            team: "akwaaba".to_owned(),
            version: 0,
            operator: "test".to_owned(),
            change: "1".to_owned(),
        };
        SettingsStore::new(fleet.client()).replace(&record, &settings, 0).await.unwrap();
        let (mut engines, mut sidecars) = (Vec::new(), Vec::new());
        let initial = ExpertMap::initial(&shape);
        for rank in 0..RANKS {
            let engine = Arc::new(RankEngine::new(rank, check_fences, Duration::from_millis(1)));
            engine.load(&initial.layers);
            let (_crash, crashes) = CrashTrigger::new();
            let node =
                UpstreamNode::start(loopback(), engine, crashes, Duration::from_secs(1)).await;
            engines.push(node.unwrap());
            sidecars.push(Some(start_sidecar(&fleet, rank, &engines[rank]).await));
        }
        let handlers = engines.iter().map(|node| Arc::clone(&node.handler)).collect();
        let peers = sidecars.iter().flatten().map(SidecarNode::peer_addr).collect();
        let lock_step = LockStepDriver::new(shape, handlers, peers, uneven_loads(), STEP_TIME);
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

    fn assert_consistent(&self) {
        let log = self.lock_step.log();
        assert_eq!((log.mixed_map_steps, log.missing_weight_steps), (0, 0));
        let versions: Vec<u64> = log.steps.iter().map(|step| step.map.version).collect();
        assert!(versions.is_sorted(), "the group went back to an earlier map");
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
async fn the_load_is_balanced_and_no_step_uses_two_maps() {
    let group = TestGroup::start(true).await;

    wait_until(|| {
        let log = group.lock_step.log();
        log.steps.last().is_some_and(|step| step.map.version > 0 && step.skew < 1.1)
    })
    .await;
    group.running.abort();

    group.assert_consistent();
    assert!(group.lock_step.log().steps[0].skew > 1.5);
    let waits: u64 = group.sidecars.iter().flatten().map(|node| node.gate().waits()).sum();
    assert_eq!(waits, 0, "a rank waited in a switch without faults");
}

/// Guards against two maps of one ID: a map that the ranks have voted down and the one planned after
/// it (issue 51, review/1).
#[tokio::test]
async fn a_map_that_was_voted_down_leaves_its_version_to_no_other() {
    const VOTED_DOWN: u32 = 12;
    let group = TestGroup::start(true).await;
    let sidecar = group.sidecars[0].as_ref().expect("a sidecar").peer_addr();
    let client = HttpClientBuilder::default().build(format!("http://{sidecar}")).expect("a client");
    let report = || async { client.report(LINK_KEY.to_owned()).await.expect("a report") };
    let mut epoch = 0;
    while epoch == 0 {
        epoch = report().await.epoch;
    }

    let last = ProposalId { epoch, fence: epoch, serial: VOTED_DOWN };
    client.ask(LINK_KEY.to_owned(), last).await.expect("a vote");
    wait_until(|| group.version() > 0).await;
    group.running.abort();

    assert!(group.version() > u64::from(VOTED_DOWN), "version {}", group.version());
    group.assert_consistent();
}

#[rstest]
#[case::engines_check_fences(true)]
#[case::engines_ignore_fences(false)]
#[tokio::test]
async fn a_rank_with_a_new_sidecar_rejoins_its_group(#[case] check_fences: bool) {
    let mut group = TestGroup::start(check_fences).await;
    wait_until(|| group.version() > 0).await;

    for rank in [0, 2] {
        group.replace_sidecar(rank).await;
        let steps = group.steps();
        wait_until(|| group.steps() > steps + 20).await;
    }
    group.running.abort();

    group.assert_consistent();
    let stale: u64 = group.engines.iter().map(|node| node.handler.stale_orders()).sum();
    assert_eq!(stale, 0);
}

#[tokio::test]
async fn the_group_keeps_stepping_while_the_store_is_down() {
    let group = TestGroup::start(true).await;
    wait_until(|| group.steps() > 5).await;

    let platform = &group.fleet.platform.platform;
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let steps = group.steps();
    wait_until(|| group.steps() > steps + 100).await;
    platform.set_faults(Faults::default());
    wait_until(|| group.version() > 0).await;
    group.running.abort();

    group.assert_consistent();
}
