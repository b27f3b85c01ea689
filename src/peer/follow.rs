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

const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Polls are spread over this part of the interval.
const JITTER: f64 = 0.2;
/// Polls are this much rarer while the platform does not answer, so that its return meets no herd.
const DOWN_FACTOR: f64 = 2.0;

/// Keeps the settings in force in this process up to date: from the platform, from a peer that
/// tells of a newer revision, and from the seeds while the platform is down.
#[derive(Debug)]
pub struct Follower<P> {
    store: SettingsStore<P>,
    publisher: SettingsPublisher,
    hints: mpsc::Receiver<Hint>,
    seeds: Vec<SocketAddr>,
    key: String,
    poll: Duration,
    meter: Arc<Meter>,
}

/// Sends hints to a [`Follower`].
pub type HintSender = mpsc::Sender<Hint>;

/// Hints that wait while one is followed; more of them would say the same.
const HINT_BACKLOG: usize = 4;

impl<P: Table> Follower<P> {
    /// Makes a follower and the way to hint to it.
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

    /// Follows until the process ends.
    pub async fn run(mut self) {
        let mut pause = Duration::ZERO;
        loop {
            tokio::select! {
                () = sleep(pause) => pause = self.poll_once().await,
                Some(hint) = self.hints.recv() => self.follow(hint).await,
            }
        }
    }

    async fn poll_once(&self) -> Duration {
        self.meter.count(Event::TableRead);
        let present = self.publisher.current().get();
        let factor = match self.store.newer(&present).await {
            Ok(newer) => {
                newer.into_iter().for_each(|snapshot| self.offer(snapshot));
                1.0
            }
            Err(err) => {
                warn!("settings: {err}");
                self.ask_seeds().await;
                DOWN_FACTOR
            }
        };
        let jitter = 1.0 + JITTER * (rand::random::<f64>() - 0.5);
        // Nothing in force yet: there is no reason to wait long.
        let first = if self.publisher.current().get().revision == 0 { 0.2 } else { 1.0 };
        self.poll.mul_f64(factor * jitter * first)
    }

    async fn ask_seeds(&self) {
        for seed in &self.seeds {
            self.ask(*seed).await;
        }
    }

    async fn follow(&self, hint: Hint) {
        if hint.revision <= self.publisher.current().get().revision {
            return;
        }
        match hint.peer {
            Some(peer) => self.ask(peer).await,
            None => drop(self.poll_once().await),
        }
    }

    async fn ask(&self, peer: SocketAddr) {
        let client = HttpClientBuilder::default()
            .request_timeout(PEER_TIMEOUT)
            .build(format!("http://{peer}"));
        let Ok(client) = client else { return };
        self.meter.count(Event::Control);
        let present = self.publisher.current().get();
        let answer = client.newer(self.key.clone(), Versions::of(&present)).await;
        if let Ok(Some(delta)) = answer {
            delta.apply(&present).into_iter().for_each(|snapshot| self.offer(snapshot));
        }
    }

    fn offer(&self, snapshot: Snapshot) {
        let fault = snapshot
            .teams
            .iter()
            .find_map(|(team, doc)| check_team(&doc.settings).err().map(|err| (team.clone(), err)));
        if let Some((team, err)) = fault {
            warn!("settings: revision {} is at fault, team {team}: {err}", snapshot.revision);
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
