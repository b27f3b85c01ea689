use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use smallvec::SmallVec;
use spdlog::{info, warn};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::in_flight::InFlight;
use super::signals::Signals;
use crate::metrics::{Event, Meter};
use crate::peer::CrashReport;

/// Time in which all requests of a crashed upstream break.
const BREAK_WINDOW: Duration = Duration::from_millis(50);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells an upstream's crash from a single broken connection, and watches until it is back.
#[derive(Debug)]
pub struct CrashWatch {
    addr: std::net::SocketAddr,
    in_flight: InFlight,
    signals: Signals,
    meter: Arc<Meter>,
    broken_requests: AtomicU32,
    window_open: AtomicBool,
    wake: Notify,
    crash_count: AtomicU32,
}

impl CrashWatch {
    /// Watches the upstream at an address.
    pub fn new(
        addr: std::net::SocketAddr,
        in_flight: InFlight,
        signals: Signals,
        meter: Arc<Meter>,
    ) -> Self {
        Self {
            addr,
            in_flight,
            signals,
            meter,
            broken_requests: AtomicU32::new(0),
            window_open: AtomicBool::new(false),
            wake: Notify::new(),
            crash_count: AtomicU32::new(0),
        }
    }

    /// Tells that a request's connection broke or could not be made. Called while the request is
    /// still on the list of those in flight.
    pub fn report_broken(self: &Arc<Self>) {
        self.broken_requests.fetch_add(1, Ordering::SeqCst);
        if !self.window_open.swap(true, Ordering::SeqCst) {
            let suspects = self.in_flight.fingerprints();
            let running = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
            tokio::spawn(Arc::clone(self).detect_crash(suspects, running));
        }
    }

    /// Tells that no connection could be made.
    pub fn report_refused(&self) {
        self.signals.set_up(false);
        self.wake.notify_one();
    }

    /// A crash breaks all requests in flight; one broken connection among others is none.
    async fn detect_crash(self: Arc<Self>, suspects: SmallVec<[u64; 8]>, running: u32) {
        sleep(BREAK_WINDOW).await;
        let broken = self.broken_requests.swap(0, Ordering::SeqCst);
        let all_broke = broken >= running;
        self.window_open.store(false, Ordering::SeqCst);
        if !all_broke {
            return;
        }
        let serial = self.crash_count.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{serial}", self.signals.incarnation);
        warn!("sidecar: upstream crashed with {running} requests in flight");
        self.meter.count(Event::Crash);
        self.signals
            .report_crash(CrashReport { event: xxh3_64(name.as_bytes()), prints: suspects });
        if !self.probe().await {
            self.report_refused();
        }
    }

    async fn probe(&self) -> bool {
        matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(self.addr)).await, Ok(Ok(_)))
    }

    /// Probes the upstream while it is down, until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            if self.signals.is_up() {
                self.wake.notified().await;
                continue;
            }
            if self.probe().await {
                info!("sidecar: upstream accepts connections");
                self.signals.set_up(true);
            } else {
                sleep(PROBE_INTERVAL).await;
            }
        }
    }
}
