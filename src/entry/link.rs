use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Subscription;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use smallvec::SmallVec;
use spdlog::{debug, info};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::{Member, Suspects};
use crate::id::Incarnation;
use crate::metrics::{Event, Meter};
use crate::peer::{CrashNote, Hello, LinkNote, LinkRpcClient};
use crate::settings::CurrentSettings;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Notes that may fail to come before a link counts as lost.
const MISSED_NOTES: u32 = 3;
/// Silence that every link may keep.
const LEAST_SILENCE: Duration = Duration::from_secs(3);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Entries that tell a sidecar of a revision do so at different moments, so that one serves.
const TELL_SPREAD: Duration = Duration::from_millis(200);

/// Usual size of a note on the wire.
const NOTE_BYTES: u64 = 300;

/// Keeps the link to one sidecar open. One task runs it.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) member: Arc<Member>,
    pub(super) hello: Hello,
    pub(super) suspects: Arc<Suspects>,
    pub(super) crashes: mpsc::Sender<CrashNote>,
    pub(super) current: CurrentSettings,
    pub(super) meter: Arc<Meter>,
}

/// What was in flight when a link was lost.
#[derive(Debug)]
struct Lost {
    from: Option<Incarnation>,
    prints: SmallVec<[u64; 8]>,
}

impl Link {
    /// Opens the link again and again, until the task is stopped.
    pub(super) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut lost = None;
        loop {
            match self.connect().await {
                Ok((client, notes)) => {
                    pause = FIRST_PAUSE;
                    lost = Some(self.follow(&client, notes, lost.take()).await);
                }
                Err(refused) => {
                    if refused {
                        self.judge(lost.take(), None);
                    }
                    sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Connects; an error tells whether the sidecar's address refused the connection at once.
    async fn connect(&self) -> Result<(WsClient, Subscription<LinkNote>), bool> {
        let url = format!("ws://{}", self.member.instance.peer);
        let connecting = WsClientBuilder::default().connection_timeout(CONNECT_TIMEOUT).build(url);
        let client = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(client)) => client,
            Ok(Err(_)) => return Err(true),
            Err(_) => return Err(false),
        };
        let opening = timeout(CONNECT_TIMEOUT, client.open(self.hello.clone())).await;
        match opening {
            Ok(Ok(notes)) => Ok((client, notes)),
            _ => Err(false),
        }
    }

    /// Takes notes in until the link is lost.
    async fn follow(
        &mut self,
        client: &WsClient,
        mut notes: Subscription<LinkNote>,
        mut lost: Option<Lost>,
    ) -> Lost {
        let mut silence = CONNECT_TIMEOUT;
        loop {
            let note = tokio::select! {
                note = timeout(silence, notes.next()) => note,
                () = self.current.changed() => {
                    self.tell_revision(client).await;
                    continue;
                }
            };
            let Ok(Some(Ok(note))) = note else { break };
            self.meter.count(Event::Control);
            self.meter.add(Event::ControlBytes, NOTE_BYTES);
            let next = Duration::from_millis(u64::from(note.next_ms));
            silence = LEAST_SILENCE.max(next * MISSED_NOTES);
            let first = !self.member.is_linked();
            self.judge(lost.take(), Some(note.from));
            self.take(&note);
            if first {
                debug!("link: {} is linked", self.member.instance.name);
                self.tell_revision(client).await;
            }
        }
        info!("link: {} is lost", self.member.instance.name);
        self.meter.count(Event::LinkLost);
        self.suspects.lost();
        let (from, prints) = self.member.unlink();
        Lost { from, prints }
    }

    fn take(&self, note: &LinkNote) {
        self.member.note(note);
        for crash in &note.crashes {
            self.suspects.note(crash);
            self.crashes.try_send(crash.clone()).ok();
        }
    }

    async fn tell_revision(&self, client: &WsClient) {
        let revision = self.current.get().revision;
        if revision <= self.member.revision() {
            return;
        }
        sleep(rand::random_range(Duration::ZERO..TELL_SPREAD)).await;
        if revision > self.member.revision() {
            self.meter.count(Event::Control);
            client.revision(self.hello.clone(), revision).await.ok();
        }
    }

    /// A sidecar that died took its upstream's requests along, and perhaps its upstream: what was
    /// in flight is suspect. A sidecar that is still the same was only cut off.
    fn judge(&self, lost: Option<Lost>, now: Option<Incarnation>) {
        let Some(lost) = lost else { return };
        let Some(from) = lost.from.filter(|from| Some(*from) != now) else {
            return;
        };
        if lost.prints.is_empty() || !self.suspects.is_single_loss() {
            return;
        }
        let event = xxh3_64(format!("{from}-lost").as_bytes());
        let note = CrashNote { event, prints: lost.prints };
        self.suspects.note(&note);
        self.crashes.try_send(note).ok();
    }
}
