use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::accounting::resident_bytes;
use super::slope_cluster::SlopeCluster;
use super::{Point, Slope, SlopesError};
use crate::client::Caller;
use crate::load::settings::account_key;

/// Duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(4);
const ACCOUNTS: usize = 10;
/// Tokens of a stream. At the stand-in's default of 5 ms per token it outlasts a measurement.
const STREAM_TOKENS: u32 = 1_200;

/// Measures requests, orders, tokens and streams through one entry and one sidecar.
pub(super) async fn measure_traffic() -> Result<Vec<Slope>, SlopesError> {
    let mut slopes = measure_requests().await?;
    slopes.extend(measure_orders().await?);
    slopes.extend(measure_streams().await?);
    Ok(slopes)
}

async fn measure_requests() -> Result<Vec<Slope>, SlopesError> {
    let cluster = SlopeCluster::start(1, 1, 0, ACCOUNTS).await?;
    let (mut entry, mut sidecar) = (Vec::new(), Vec::new());
    for rate in [100.0, 300.0, 600.0, 900.0] {
        let usage =
            cluster.measure_usage(send_at_rate(&cluster, rate, Method::GET, "/ledger/1")).await;
        entry.push(Point { x: rate, y: usage.entry_cpu });
        sidecar.push(Point { x: rate, y: usage.sidecar_cpu });
    }
    Ok(vec![
        Slope::fit("entry_request_cpu", "requests/s", "us/s", entry),
        Slope::fit("sidecar_request_cpu", "requests/s", "us/s", sidecar),
    ])
}

async fn measure_orders() -> Result<Vec<Slope>, SlopesError> {
    let cluster = SlopeCluster::start(1, 1, 0, ACCOUNTS).await?;
    let (mut writes, mut reads) = (Vec::new(), Vec::new());
    for rate in [10.0, 50.0, 100.0] {
        let usage = cluster
            .measure_usage(send_at_rate(&cluster, rate, Method::POST, "/ledger/orders"))
            .await;
        writes.push(Point { x: rate, y: usage.writes });
        reads.push(Point { x: rate, y: usage.reads });
    }
    Ok(vec![
        Slope::fit("order_writes", "orders/s", "writes/s", writes),
        Slope::fit("order_reads", "orders/s", "reads/s", reads),
    ])
}

async fn measure_streams() -> Result<Vec<Slope>, SlopesError> {
    let cluster = SlopeCluster::start(1, 0, 1, ACCOUNTS).await?;
    let (mut entry, mut sidecar, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for streams in [20, 50, 100, 200] {
        let tasks = start_streams(&cluster, streams);
        sleep(Duration::from_millis(500)).await;
        let before: u64 = cluster.engines[0].handler.tokens();
        let usage = cluster.measure_usage(sleep(MEASURE_TIME)).await;
        let tokens =
            (cluster.engines[0].handler.tokens() - before) as f64 / MEASURE_TIME.as_secs_f64();
        entry.push(Point { x: tokens, y: usage.entry_cpu });
        sidecar.push(Point { x: tokens, y: usage.sidecar_cpu });
        memory.push(Point { x: f64::from(streams), y: resident_bytes() });
        drop(tasks);
        sleep(Duration::from_millis(300)).await;
    }
    Ok(vec![
        Slope::fit("entry_token_cpu", "tokens/s", "us/s", entry),
        Slope::fit("sidecar_token_cpu", "tokens/s", "us/s", sidecar),
        Slope::fit("stream_memory", "streams", "B resident, all roles", memory),
    ])
}

fn start_streams(cluster: &SlopeCluster, streams: u32) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let Some(to) = cluster.entry_nodes().next().map(|node| node.data_addr()) else {
        return tasks;
    };
    for index in 0..streams {
        let caller = Caller::over_h2(&account_key(0));
        tasks.spawn(async move {
            let body =
                format!(r#"{{"stream":true,"max_tokens":{STREAM_TOKENS},"messages":"{index}"}}"#);
            caller.send(to, Method::POST, "/chat", None, body.into()).await.ok();
        });
    }
    tasks
}

/// Sends requests at a steady rate for [`MEASURE_TIME`].
async fn send_at_rate(cluster: &SlopeCluster, rate: f64, method: Method, path: &'static str) {
    let Some(to) = cluster.entry_nodes().next().map(|node| node.data_addr()) else {
        return;
    };
    let caller = Caller::new(&account_key(0));
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    let mut tasks = JoinSet::new();
    for _ in 0..(rate * MEASURE_TIME.as_secs_f64()) as usize {
        ticks.tick().await;
        let (caller, method) = (caller.clone(), method.clone());
        tasks.spawn(async move {
            caller.send(to, method, path, None, Bytes::from_static(b"{}")).await.ok();
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}
