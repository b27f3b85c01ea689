//! Leaders of several groups over simulated time, while ranks move from group to group. No order
//! reaches a running rank of another group, and no pass begins under two maps.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ebonyusher::remap::{
    GroupMap, LeaderTerm, PeerRank, RankClient, RankError, RankOrder, RankSet, SharedMap, Sidecar,
    SwitchError, armed_last, first_fence, settle_switch, switch,
};
use jsonrpsee::http_client::HttpClientBuilder;
use proptest::prelude::*;
use tokio::time::{sleep, timeout};

use super::host_client::HostClient;
use super::world::{PASS_TIME, World, host_addr, name};
use crate::remap_faults::Freezing;

const RANKS: usize = 4;
const GROUPS: usize = 3;
const SWITCH_PAUSE: Duration = Duration::from_millis(120);

/// Returns the client of a rank for a leader: direct, or past a sidecar that gives no answer.
fn client(
    world: &Arc<World>,
    leader: &LeaderTerm,
    host: usize,
    local: bool,
) -> PeerRank<HostClient> {
    let direct = Arc::new(HostClient::new(world, host).with_checked_terms());
    let addr = host_addr(host);
    if local {
        return PeerRank::local(direct, addr, leader.clone());
    }
    // Nothing listens on this port.
    let sidecar = "127.0.0.1:9".parse().unwrap();
    let rpc = HttpClientBuilder::default().build(format!("http://{sidecar}")).unwrap();
    let sidecar = Sidecar { addr: sidecar, client: rpc };
    PeerRank::via_sidecar(direct, addr, sidecar, leader.clone(), RANKS)
}

/// Leads a group for a term, from beside rank `local`, until it is deposed. It never learns that a
/// rank has moved but by the states that it reads.
async fn lead(world: Arc<World>, group: usize, local: usize, term: u64, all_local: bool) {
    let leader = LeaderTerm { group: name(group).as_str().into(), term };
    let map = SharedMap::from(GroupMap { sets: Vec::new() });
    let mut version = term * 1_000;
    let mut fence = first_fence(term);
    loop {
        let state = world.groups[group].state(0, Duration::ZERO);
        let hosts = (0..RANKS).map(|rank| world.host(group, rank));
        let clients = hosts.enumerate();
        let clients = clients
            .map(|(rank, host)| client(&world, &leader, host, all_local || rank == local))
            .collect();
        let mut ranks = RankSet::new(clients, leader.group.clone(), state.epoch, fence);
        let last_armed = armed_last(local, RANKS);
        let mut ended = settle_switch(&mut ranks, local, &last_armed).await.map(|_| 0);
        while ended.is_ok() {
            sleep(SWITCH_PAUSE).await;
            version += 1;
            ended = match switch(&mut ranks, local, version, &map).await {
                Err(SwitchError::Failed(..)) => {
                    settle_switch(&mut ranks, local, &last_armed).await.map(|_| 0)
                }
                ended => ended,
            };
        }
        if ended == Err(SwitchError::Deposed) {
            return;
        }
        fence = ranks.fence();
        sleep(SWITCH_PAUSE).await;
    }
}

/// Spawns a leader that goes on with a greater term when it is deposed. Returns the flag that
/// freezes it.
fn spawn_leader(
    world: &Arc<World>,
    group: usize,
    local: usize,
    all_local: bool,
) -> Arc<AtomicBool> {
    let world = Arc::clone(world);
    let inner = Box::pin(async move {
        for round in 1.. {
            let term = round * 10 * GROUPS as u64 + group as u64;
            lead(Arc::clone(&world), group, local, term, all_local).await;
            sleep(SWITCH_PAUSE).await;
        }
    });
    let frozen = Arc::new(AtomicBool::new(false));
    tokio::spawn(Freezing { inner, frozen: Arc::clone(&frozen) });
    frozen
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().expect("runtime")
}

/// A rank that moves between two groups, while the leader of the first one is frozen.
#[derive(Clone, Copy, Debug)]
struct Move {
    groups: (usize, usize),
    rank: usize,
    wait_ms: u64,
    /// Time for which the leader stays frozen after the groups have formed.
    frozen_ms: u64,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = (0..GROUPS, 1..GROUPS, 0..RANKS, 0..1_500_u64, 0..900_u64);
    let one = one.prop_map(|(group, by, rank, wait_ms, frozen_ms)| Move {
        groups: (group, (group + by) % GROUPS),
        rank,
        wait_ms,
        frozen_ms,
    });
    prop::collection::vec(one, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against orders to a rank that has moved to a group in the same epoch, which the rank
    /// itself can't tell from those of its own leader.
    #[test]
    fn no_order_for_one_group_reaches_a_rank_of_another(
        epochs in prop::collection::vec(1..4_u64, GROUPS),
        moves in moves(),
        all_local in any::<bool>(),
    ) {
        let (strays, splits, switched) = runtime().block_on(async {
            let groups: Vec<(u64, usize)> = epochs.iter().map(|epoch| (*epoch, RANKS)).collect();
            let world = World::new(&groups);
            let mut frozen = Vec::new();
            for (at, group) in world.groups.iter().enumerate() {
                group.run_passes(PASS_TIME);
                frozen.push(spawn_leader(&world, at, at, all_local));
            }
            for Move { groups: (one, other), rank, wait_ms, frozen_ms } in moves {
                sleep(Duration::from_millis(wait_ms)).await;
                frozen[one].store(true, Ordering::Relaxed);
                world.exchange(one, other, rank).await;
                sleep(Duration::from_millis(frozen_ms)).await;
                frozen[one].store(false, Ordering::Relaxed);
            }
            let before = maps(&world);
            let advance = async {
                while maps(&world).iter().zip(&before).any(|(now, before)| now <= before) {
                    sleep(SWITCH_PAUSE).await;
                }
            };
            let switched = timeout(Duration::from_secs(240), advance).await.is_ok();
            (world.strays(), world.split_passes(), switched)
        });

        prop_assert_eq!(strays, Vec::<String>::new());
        prop_assert!(splits.iter().all(Vec::is_empty), "{splits:?}");
        prop_assert!(switched);
    }
}

fn maps(world: &World) -> Vec<u64> {
    world.groups.iter().map(|group| group.state(0, Duration::ZERO).map).collect()
}

/// Guards against two leaders of one group that split it or hinder the other groups.
#[test]
fn two_leaders_of_one_group_do_not_hinder_the_others() {
    let (splits, before, after) = runtime().block_on(async {
        let world = World::new(&[(1, RANKS); GROUPS]);
        for (at, group) in world.groups.iter().enumerate() {
            group.run_passes(PASS_TIME);
            spawn_leader(&world, at, 0, true);
        }
        sleep(Duration::from_secs(2)).await;
        let before = maps(&world);
        spawn_leader(&world, 1, 2, true);
        sleep(Duration::from_secs(20)).await;
        (world.split_passes(), before, maps(&world))
    });

    assert!(splits.iter().all(Vec::is_empty), "{splits:?}");
    assert!(after.iter().zip(&before).all(|(after, before)| after > before));
}

/// Guards against a leader beside a rank in another group, and a bypassed sidecar of such a rank.
#[rstest::rstest]
#[tokio::test(start_paused = true)]
async fn an_order_to_a_rank_in_another_group_is_refused(#[values(true, false)] local: bool) {
    let world = World::new(&[(2, RANKS), (1, RANKS)]);
    let leader = LeaderTerm { group: "g-0".into(), term: 2 };
    let moved = client(&world, &leader, world.host(0, 1), local);
    moved.state().await.unwrap();

    world.exchange(0, 1, 1).await;
    let mut ranks = RankSet::new(vec![moved], leader.group, 2, first_fence(2));
    let order = RankOrder::Hold { pass: 100 };
    let ended = ranks.command(vec![(0, order)]).await.unwrap();

    assert_eq!(ended, [Err(RankError::Refused)]);
    assert_eq!(world.groups[1].state(1, Duration::ZERO).held, None);
}
