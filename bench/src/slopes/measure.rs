use std::time::Duration;

use displaydoc::Display;
use ebonyusher::admin::ClientError;
use ebonyusher::platform::{Instance, Phase};
use ebonyusher_standin::{FleetError, loopback};
use thiserror::Error;
use tokio::time::sleep;

use super::measure_group::measure_group;
use super::measure_settings::measure_settings;
use super::measure_traffic::measure_traffic;
use super::slope_cluster::SlopeCluster;
use super::{Point, Slope, SlopeFile, SlopeGroup};

/// Duration of a measurement of idle nodes.
const IDLE_TIME: Duration = Duration::from_secs(6);
const ACCOUNTS: usize = 10;

/// Why slopes could not be measured.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum SlopesError {
    /// {0}
    Fleet(#[from] FleetError),
    /// {0}
    Admin(#[from] ClientError),
    /// no entry is running
    NoEntry,
}

/// Measures the slopes of one group, or of all groups.
///
/// # Errors
/// [`SlopesError`] if a node can't be started or a settings change is not accepted.
pub async fn measure_slopes(only: Option<SlopeGroup>) -> Result<SlopeFile, SlopesError> {
    let mut slopes = Vec::new();
    for group in SlopeGroup::ALL {
        if only.is_some_and(|only| only != group) {
            continue;
        }
        slopes.extend(match group {
            SlopeGroup::Idle => measure_idle().await?,
            SlopeGroup::Traffic => measure_traffic().await?,
            SlopeGroup::Settings => measure_settings().await?,
            SlopeGroup::Group => measure_group().await,
            SlopeGroup::List => vec![measure_list()],
        });
    }
    Ok(SlopeFile { slopes })
}

/// Measures the size of the platform's instance list.
fn measure_list() -> Slope {
    let instance = |index: usize| Instance {
        name: format!("bench-assistant-{index:04}"),
        service: "petrov/bench-assistant".to_owned(),
        domain: "stara-zagora".to_owned(),
        data: loopback(),
        peer: loopback(),
        phase: Phase::Live,
    };
    let size = |count: usize| {
        let list: Vec<Instance> = (0..count).map(instance).collect();
        let bytes = serde_json::to_vec(&list).unwrap_or_default().len();
        Point { x: count as f64, y: bytes as f64 }
    };
    Slope::fit("list_bytes", "instances", "B", [50, 200, 500, 1_000].map(size).to_vec())
}

/// Measures nodes without traffic, which only keep their links and poll.
async fn measure_idle() -> Result<Vec<Slope>, SlopesError> {
    let (mut entry_cpu, mut entry_bytes) = (Vec::new(), Vec::new());
    for links in [2, 8, 16, 32] {
        let cluster = SlopeCluster::start(1, links, 0, ACCOUNTS).await?;
        let usage = cluster.measure_usage(sleep(IDLE_TIME)).await;
        let x = links as f64;
        entry_cpu.push(Point { x, y: usage.entry_cpu });
        entry_bytes.push(Point { x, y: usage.entry_bytes });
    }
    let (mut sidecar_cpu, mut sidecar_bytes) = (Vec::new(), Vec::new());
    let (mut entry_reads, mut sidecar_reads) = (Vec::new(), Vec::new());
    for links in [1, 4, 8, 16] {
        let cluster = SlopeCluster::start(links, 1, 0, ACCOUNTS).await?;
        let usage = cluster.measure_usage(sleep(IDLE_TIME)).await;
        let x = links as f64;
        sidecar_cpu.push(Point { x, y: usage.sidecar_cpu });
        sidecar_bytes.push(Point { x, y: usage.sidecar_bytes });
        entry_reads.push(Point { x, y: usage.reads });
    }
    // These measurements last 18 s, longer than the poll interval of a sidecar.
    for sidecars in [4, 16, 32] {
        let cluster = SlopeCluster::start(1, sidecars, 0, ACCOUNTS).await?;
        let usage = cluster.measure_usage(sleep(IDLE_TIME * 3)).await;
        sidecar_reads.push(Point { x: sidecars as f64, y: usage.reads });
    }
    Ok(vec![
        Slope::fit("entry_idle_cpu", "links", "us/s", entry_cpu),
        Slope::fit("entry_idle_bytes", "links", "B/s", entry_bytes),
        Slope::fit("sidecar_idle_cpu", "links", "us/s", sidecar_cpu),
        Slope::fit("sidecar_idle_bytes", "links", "B/s", sidecar_bytes),
        Slope::fit("entry_reads", "entries", "reads/s", entry_reads),
        Slope::fit("sidecar_reads", "sidecars", "reads/s", sidecar_reads),
    ])
}
