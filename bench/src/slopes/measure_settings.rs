use std::collections::BTreeMap;
use std::sync::Arc;

use ebonyusher::settings::{Snapshot, TeamDoc};

use super::accounting::{resident_bytes, thread_micros};
use super::slope_cluster::{ENTRY_THREAD, SIDECAR_THREAD, SlopeCluster};
use super::{Point, Slope, SlopesError};
use crate::load::settings::{TEAM, team};

const ACCOUNTS: [usize; 4] = [50, 200, 600, 1_200];
/// Settings changes per measurement.
const CHANGES: usize = 6;
const SIDECARS: usize = 8;
/// Copies held at once, so that their size shows in the resident memory.
const SNAPSHOT_COPIES: usize = 64;

/// Measures the size of the settings and the cost of a change in each process.
pub(super) async fn measure_settings() -> Result<Vec<Slope>, SlopesError> {
    let (mut bytes, mut memory) = (Vec::new(), Vec::new());
    let (mut entry, mut sidecar, mut spread) = (Vec::new(), Vec::new(), Vec::new());
    for accounts in ACCOUNTS {
        let x = accounts as f64;
        let text = serde_json::to_vec(&team(accounts)).unwrap_or_default();
        bytes.push(Point { x, y: text.len() as f64 });
        memory.push(Point { x, y: snapshot_bytes(accounts) });
        let mut cluster = SlopeCluster::start(1, SIDECARS, 0, accounts).await?;
        let before = (thread_micros(ENTRY_THREAD), thread_micros(SIDECAR_THREAD));
        let mut max_spread: f64 = 0.0;
        for _ in 0..CHANGES {
            max_spread =
                max_spread.max(cluster.change_settings(accounts).await?.as_secs_f64() * 1e3);
        }
        let changes = CHANGES as f64;
        entry.push(Point { x, y: (thread_micros(ENTRY_THREAD) - before.0) / changes });
        let sidecars = (thread_micros(SIDECAR_THREAD) - before.1) / changes / SIDECARS as f64;
        sidecar.push(Point { x, y: sidecars });
        spread.push(Point { x, y: max_spread });
    }
    Ok(vec![
        Slope::fit("settings_bytes", "accounts", "B", bytes),
        Slope::fit("settings_memory", "accounts", "B resident", memory),
        Slope::fit("entry_change_cpu", "accounts", "us a change", entry),
        Slope::fit("sidecar_change_cpu", "accounts", "us a change", sidecar),
        Slope::fit("settings_spread", "accounts", "ms", spread),
    ])
}

/// Returns the resident memory of one snapshot of the settings.
fn snapshot_bytes(accounts: usize) -> f64 {
    let before = resident_bytes();
    let copies: Vec<Snapshot> = (0..SNAPSHOT_COPIES)
        .map(|_| {
            let doc = TeamDoc { version: 1, settings: team(accounts) };
            Snapshot::new(1, BTreeMap::from([(TEAM.to_owned(), Arc::new(doc))]))
        })
        .collect();
    (resident_bytes() - before).max(0.0) / copies.len() as f64
}
