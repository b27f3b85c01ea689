use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Subscription;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use smallvec::SmallVec;
use spdlog::{debug, info, warn};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::{CrashKeys, Member, Suspects};
use crate::id::Incarnation;
use crate::metrics::{Event, Meter};
use crate::peer::{CrashReport, Hello, LinkReport, LinkRpcClient};
use crate::settings::CurrentSettings;

/// Time limit for opening a connection, for opening the link, and for its first report.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive reports that may be missed before a link counts as lost.
const MAX_MISSED_REPORTS: u32 = 3;
/// Lower bound of the time without a report after which a link counts as lost.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Entries notify a sidecar of a new settings revision after a random delay up to this, so that
/// usually only one of them has to.
const REVISION_SPREAD: Duration = Duration::from_millis(200);

/// Typical size of a report on the wire, in bytes. The meter counts it for every report.
const REPORT_BYTES: u64 = 300;

/// Keeps the link to one sidecar open. Each link runs in a task of its own.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) member: Arc<Member>,
    pub(super) hello: Hello,
    pub(super) suspects: Arc<Suspects>,
    pub(super) crash_sender: mpsc::Sender<CrashReport>,
    pub(super) current: CurrentSettings,
    pub(super) meter: Arc<Meter>,
}

/// The sidecar's incarnation and the requests in flight when a link was lost.
#[derive(Debug)]
struct LostLink {
    incarnation: Option<Incarnation>,
    requests: SmallVec<[CrashKeys; 2]>,
}

impl Link {
    /// Opens the link, and reopens it whenever it is lost, until the task is stopped.
    pub(super) async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut lost = None;
        loop {
            match self.connect().await {
                Ok((client, reports)) => {
                    backoff = INITIAL_BACKOFF;
                    lost = Some(self.read_reports(&client, reports, lost.take()).await);
                }
                Err(refused) => {
                    if refused {
                        self.report_lost_requests(lost.take(), None);
                    }
                    sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Connects and opens the link. The error is `true` if the connection failed, as when the
    /// sidecar's address refuses it, and `false` if the sidecar did not respond in time or did not
    /// open the link.
    async fn connect(&self) -> Result<(WsClient, Subscription<LinkReport>), bool> {
        let url = format!("ws://{}", self.member.instance.peer);
        let connecting = WsClientBuilder::default().connection_timeout(CONNECT_TIMEOUT).build(url);
        let client = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(client)) => client,
            Ok(Err(_)) => return Err(true),
            Err(_) => return Err(false),
        };
        let opening = timeout(CONNECT_TIMEOUT, client.open(self.hello.clone())).await;
        match opening {
            Ok(Ok(reports)) => Ok((client, reports)),
            _ => Err(false),
        }
    }

    /// Applies reports until the link is lost.
    async fn read_reports(
        &mut self,
        client: &WsClient,
        mut reports: Subscription<LinkReport>,
        mut lost: Option<LostLink>,
    ) -> LostLink {
        let mut silence_timeout = CONNECT_TIMEOUT;
        loop {
            let report = tokio::select! {
                report = timeout(silence_timeout, reports.next()) => report,
                () = self.current.changed() => {
                    self.send_revision(client).await;
                    continue;
                }
            };
            let Ok(Some(Ok(report))) = report else { break };
            self.meter.count(Event::Control);
            self.meter.add(Event::ControlBytes, REPORT_BYTES);
            let next = Duration::from_millis(u64::from(report.next_ms));
            silence_timeout = MIN_SILENCE_TIMEOUT.max(next * MAX_MISSED_REPORTS);
            let first = !self.member.is_linked();
            self.report_lost_requests(lost.take(), Some(report.from));
            self.apply(&report);
            if first {
                debug!("link: opened the link to {}", self.member.instance.name);
                self.send_revision(client).await;
            }
        }
        info!("link: lost the link to {}", self.member.instance.name);
        self.meter.count(Event::LinkLost);
        self.suspects.record_lost_sidecar();
        let (incarnation, requests) = self.member.unlink();
        LostLink { incarnation, requests }
    }

    /// Applies a report to the member, and records and shares the crashes in it.
    fn apply(&self, report: &LinkReport) {
        self.member.apply_report(report);
        for crash in &report.crashes {
            self.suspects.record_crash(crash);
            self.share_crash(crash.clone());
        }
    }

    /// Notifies the sidecar of this entry's settings revision if the sidecar has an older one.
    async fn send_revision(&self, client: &WsClient) {
        let revision = self.current.get().revision;
        if revision <= self.member.revision() {
            return;
        }
        sleep(rand::random_range(Duration::ZERO..REVISION_SPREAD)).await;
        if revision > self.member.revision() {
            self.meter.count(Event::Control);
            client.revision(self.hello.clone(), revision).await.ok();
        }
    }

    /// Reports the requests that were in flight on a lost link as suspects if the sidecar died. Its
    /// requests died with it, and its upstream may have crashed as well. If the same incarnation is
    /// back, only the connection was lost. If several sidecars were lost at once, no request is to
    /// blame. `current_incarnation` is `None` if the sidecar's address refuses connections.
    fn report_lost_requests(
        &self,
        lost: Option<LostLink>,
        current_incarnation: Option<Incarnation>,
    ) {
        let Some(lost) = lost else { return };
        let Some(from) = lost.incarnation.filter(|from| Some(*from) != current_incarnation) else {
            return;
        };
        if lost.requests.is_empty() || !self.suspects.is_single_loss() {
            return;
        }
        let event = xxh3_64(format!("{from}-lost").as_bytes());
        let report = CrashReport::new(event, &lost.requests);
        self.suspects.record_crash(&report);
        self.share_crash(report);
    }

    fn share_crash(&self, report: CrashReport) {
        if self.crash_sender.try_send(report).is_err() {
            warn!("link: a crash is not shared, too many wait for the platform's table");
        }
    }
}
