use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClientBuilder;
use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Hint, SettingsRpcClient, Versions};
use crate::metrics::{Event, Meter};
use crate::platform::Table;
use crate::settings::{SettingsPublisher, SettingsStore, Snapshot, check_team};

/// Time limit for a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Width of the random variation of the poll interval, as a fraction of the interval.
const JITTER: f64 = 0.2;
/// Factor by which the poll interval grows while the platform doesn't respond, so that it isn't
/// overloaded when it comes back.
const DOWN_FACTOR: f64 = 2.0;

/// Keeps the settings in force in this process up to date. It polls the platform, fetches from a
/// peer that announces a newer revision, and from the seed peers while the platform is down.
#[derive(Debug)]
pub struct SettingsFollower<P> {
    store: SettingsStore<P>,
    publisher: SettingsPublisher,
    hints: mpsc::Receiver<Hint>,
    seeds: Vec<SocketAddr>,
    key: String,
    poll: Duration,
    meter: Arc<Meter>,
}

/// Sends hints to a [`SettingsFollower`].
pub type HintSender = mpsc::Sender<Hint>;

/// Maximum number of hints that wait while one is handled. More are not needed, as they would only
/// repeat that there is a newer revision.
const HINT_BACKLOG: usize = 4;

impl<P: Table> SettingsFollower<P> {
    /// Creates a follower and the sender of hints to it.
    pub fn new(
        platform: Arc<P>,
        publisher: SettingsPublisher,
        seeds: Vec<SocketAddr>,
        key: String,
        poll: Duration,
        meter: Arc<Meter>,
    ) -> (HintSender, Self) {
        let (sender, hints) = mpsc::channel(HINT_BACKLOG);
        let store = SettingsStore::new(platform);
        (sender, Self { store, publisher, hints, seeds, key, poll, meter })
    }

    /// Polls and handles hints until the task is stopped.
    pub async fn run(mut self) {
        let mut delay = Duration::ZERO;
        loop {
            tokio::select! {
                () = sleep(delay) => delay = self.poll_once().await,
                Some(hint) = self.hints.recv() => self.handle_hint(hint).await,
            }
        }
    }

    /// Polls the platform, or the seeds if it is down, and returns the delay until the next poll.
    async fn poll_once(&self) -> Duration {
        self.meter.count(Event::TableRead);
        let current = self.publisher.current().get();
        let factor = match self.store.newer(&current).await {
            Ok(newer) => {
                newer.into_iter().for_each(|snapshot| self.publish(snapshot));
                1.0
            }
            Err(err) => {
                warn!("settings: polling the platform failed: {err}");
                self.fetch_from_seeds().await;
                DOWN_FACTOR
            }
        };
        let jitter = 1.0 + JITTER * (rand::random::<f64>() - 0.5);
        // Without any settings in force there is no reason to wait long, so polls are five times as
        // frequent until then.
        let startup_factor = if self.publisher.current().get().revision == 0 { 0.2 } else { 1.0 };
        self.poll.mul_f64(factor * jitter * startup_factor)
    }

    async fn fetch_from_seeds(&self) {
        for seed in &self.seeds {
            self.fetch_from(*seed).await;
        }
    }

    /// Fetches the revision of a hint, from the peer in it or else from the platform.
    async fn handle_hint(&self, hint: Hint) {
        if hint.revision <= self.publisher.current().get().revision {
            return;
        }
        match hint.peer {
            Some(peer) => self.fetch_from(peer).await,
            None => drop(self.poll_once().await),
        }
    }

    /// Fetches newer settings from a peer.
    async fn fetch_from(&self, peer: SocketAddr) {
        let client = HttpClientBuilder::default()
            .request_timeout(PEER_TIMEOUT)
            .build(format!("http://{peer}"));
        let Ok(client) = client else { return };
        self.meter.count(Event::Control);
        let current = self.publisher.current().get();
        let answer = client.newer(self.key.clone(), Versions::of(&current)).await;
        if let Ok(Some(delta)) = answer {
            delta.apply(&current).into_iter().for_each(|snapshot| self.publish(snapshot));
        }
    }

    /// Puts a snapshot in force unless its settings are invalid.
    fn publish(&self, snapshot: Snapshot) {
        let invalid = snapshot
            .teams
            .iter()
            .find_map(|(team, doc)| check_team(&doc.settings).err().map(|err| (team.clone(), err)));
        if let Some((team, err)) = invalid {
            warn!("settings: revision {} is invalid, team {team}: {err}", snapshot.revision);
            return;
        }
        let revision = snapshot.revision;
        if self.publisher.offer(snapshot) {
            self.meter.count(Event::Settings);
            self.meter.gauge("settings-revision", revision);
            info!("settings: revision {revision} is in force");
        }
    }
}
