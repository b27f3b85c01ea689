//! Calls of leaders to a sidecar whose rank is in another group or has a later leader.

use std::net::SocketAddr;
use std::time::Duration;

use ebonyusher::cli::Node;
use ebonyusher::platform::Table;
use ebonyusher::remap::{
    GroupMap, LeaderTerm, MapUpdate, PrepareOrder, RankCommand, RankError, RankOrder, RankRpcClient,
};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use super::sidecars::{free_port, start_sidecars};
use super::world::{World, host_addr};
use crate::large_group::until;

fn rpc_client(addr: SocketAddr) -> HttpClient {
    HttpClientBuilder::default().build(format!("http://{addr}")).unwrap()
}

fn leader(group: &str, term: u64) -> LeaderTerm {
    LeaderTerm { group: group.into(), term }
}

/// Guards against orders of another group's leader, which may have the rank's epoch and a great
/// term, and against a sidecar that does not take over because such a leader calls it.
#[tokio::test]
async fn a_leader_of_another_group_gives_no_orders_and_does_not_count() {
    let world = World::new(&[(1, 3), (1, 3)]);
    let port = free_port();
    let nodes = start_sidecars(&world, &[0], port).await;
    let sidecar = rpc_client(SocketAddr::new(host_addr(0).ip(), port));
    let other = leader("g-1", 50);
    let command = RankCommand { order: RankOrder::Hold { pass: 9 }, epoch: 1, fence: u64::MAX };

    until("the own group's term", async || {
        let state = sidecar.state(other.clone()).await.unwrap();
        assert_eq!(state.unwrap().group, "g-0".into(), "states are read for every leader");
        world.get("term/desk/g-0").await.unwrap().is_some()
    })
    .await;
    let prepare = PrepareOrder { version: 1, digest: 1, epoch: 1, fence: 1 };
    let update = MapUpdate::between(None, &GroupMap::in_turn(1, 3, 3).into());
    let refused = [
        sidecar.command(other.clone(), command.clone()).await.unwrap(),
        sidecar.command_at(other.clone(), host_addr(2), command).await.unwrap(),
        sidecar.prepare(other.clone(), prepare).await.unwrap(),
        sidecar.share_map(other.clone(), update, Vec::new()).await.unwrap().map(|_| ()),
        sidecar.counts(other.clone()).await.unwrap().map(|_| ()),
        sidecar.held(other).await.unwrap().map(|_| ()),
    ];

    assert_eq!(refused, [Err(RankError::Refused); 6]);
    assert!((0..3).all(|rank| world.groups[0].state(rank, Duration::ZERO).held.is_none()));
    for node in nodes {
        node.close().await;
    }
}

/// Guards against terms of one group that are held against the leader of another after the rank has
/// moved, and against orders of the former group's leader.
#[tokio::test]
async fn a_sidecar_tells_the_leaders_of_its_group_apart_by_their_terms() {
    let world = World::new(&[(1, 3), (1, 3)]);
    let port = free_port();
    let moved = world.host(0, 1);
    let nodes = start_sidecars(&world, &[moved], port).await;
    let sidecar = rpc_client(SocketAddr::new(host_addr(moved).ip(), port));
    let fence = |fence| RankCommand { order: RankOrder::Fence, epoch: 2, fence };

    sidecar.state(leader("g-0", 40)).await.unwrap().unwrap();
    let earlier = sidecar.command(leader("g-0", 39), fence(1)).await.unwrap();
    world.exchange(0, 1, 1).await;
    let former = sidecar.command(leader("g-0", 41), fence(2)).await.unwrap();
    let present = sidecar.command(leader("g-1", 3), fence(3)).await.unwrap();

    assert_eq!(earlier, Err(RankError::Fenced));
    assert_eq!((former, present), (Err(RankError::Refused), Ok(())));
    for node in nodes {
        node.close().await;
    }
}
