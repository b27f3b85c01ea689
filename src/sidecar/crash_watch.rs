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
use crate::entry::CrashKeys;
use crate::metrics::{Event, Meter};
use crate::peer::CrashReport;

/// Time within which the connections of all requests break when the upstream crashes.
const BREAK_WINDOW: Duration = Duration::from_millis(50);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Distinguishes a crash of the upstream from a single broken connection, and probes the upstream
/// until it accepts connections again.
#[derive(Debug)]
pub struct CrashWatch {
    addr: std::net::SocketAddr,
    in_flight: InFlight,
    signals: Signals,
    meter: Arc<Meter>,
    /// Requests whose connection broke in the current window.
    broken_requests: AtomicU32,
    /// Whether a crash detection is waiting for [`BREAK_WINDOW`] to end.
    window_open: AtomicBool,
    /// Wakes the probe loop when the upstream is down.
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

    /// Records that a request's connection broke. Must be called while the request is still in the
    /// list of those in flight.
    pub fn report_broken(self: &Arc<Self>) {
        self.broken_requests.fetch_add(1, Ordering::SeqCst);
        if !self.window_open.swap(true, Ordering::SeqCst) {
            let suspects = self.in_flight.requests();
            let running = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
            tokio::spawn(Arc::clone(self).detect_crash(suspects, running));
        }
    }

    /// Marks the upstream as down, because no connection could be made, and starts to probe it.
    pub fn report_refused(&self) {
        self.signals.set_up(false);
        self.wake.notify_one();
    }

    /// Waits for the window to end and reports a crash if at least `running` connections broke,
    /// where `running` is the number of requests in flight when the first one broke. A single
    /// broken connection among others is not a crash.
    async fn detect_crash(self: Arc<Self>, suspects: SmallVec<[CrashKeys; 2]>, running: u32) {
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
        self.signals.report_crash(CrashReport::new(xxh3_64(name.as_bytes()), &suspects));
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
